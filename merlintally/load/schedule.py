"""Generates the schedule of a load from its profile and seed, without I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from merlintally.load.profile import Profile
from merlintally.net.resp import array


@dataclass(frozen=True, slots=True)
class Planned:
    """One submission. `due` is seconds after the start, `wait` the client's timeout in seconds, `command` the
    complete encoded command."""

    due: float
    lane: str
    wait: float
    command: bytes


def schedule(profile: Profile) -> Iterator[Planned]:
    """Yield all submissions in order of their due times. Equal profiles give equal schedules."""
    rng = random.Random(profile.seed)
    lanes, groups = profile.lane, profile.customers
    lane_shares, group_shares = [entry.share for entry in lanes], [entry.share for entry in groups]
    first_customers = [sum(entry.count for entry in groups[:index]) for index in range(len(groups))]
    due, number, session_id = 0.0, 0, rng.getrandbits(32)
    while True:
        due += rng.expovariate(profile.rate) if profile.arrivals == "poisson" else 1 / profile.rate
        if due >= profile.seconds:
            return
        number += 1
        lane = rng.choices(lanes, lane_shares)[0]
        group_index = rng.choices(range(len(groups)), group_shares)[0]
        group, customer = (
            groups[group_index],
            first_customers[group_index] + rng.randrange(groups[group_index].count),
        )
        units = rng.randint(*group.units)
        fields = f"c={lane.name},t={group.plan},d={int(lane.wait_s * 1000)}"
        if lane.effect == "stamped":
            fields += f",k={rng.getrandbits(64):016x}"
        fields += f",units={units},spread={group.spread},first=0"
        words = [
            b"Q.ASK" if lane.effect == "harmless" else b"Q.DO",
            b"%016x" % (customer + 1),
            b"%08x%08x" % (session_id, number),
            fields.encode(),
        ]
        if lane.effect != "harmless":
            words.append(b"x" * lane.body_bytes)
        yield Planned(due, lane.name, lane.wait_s, array(*words))
