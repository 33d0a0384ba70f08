"""What a load sends and when: made ahead from the profile and its seed, free of I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from merlintally.load.profile import Profile
from merlintally.net.resp import array


@dataclass(frozen=True, slots=True)
class Planned:
    """One submission: when it is due (seconds after the start), and its command, whole."""

    due: float
    lane: str
    wait: float
    command: bytes


def schedule(profile: Profile) -> Iterator[Planned]:
    """All submissions in the order in which they are due; the same for the same profile."""
    dice = random.Random(profile.seed)
    lanes, groups = profile.lane, profile.customers
    lane_shares, group_shares = [one.share for one in lanes], [one.share for one in groups]
    firsts = [sum(one.count for one in groups[:at]) for at in range(len(groups))]
    due, number, session = 0.0, 0, dice.getrandbits(32)
    while True:
        due += dice.expovariate(profile.rate) if profile.arrivals == "poisson" else 1 / profile.rate
        if due >= profile.seconds:
            return
        number += 1
        lane = dice.choices(lanes, lane_shares)[0]
        at = dice.choices(range(len(groups)), group_shares)[0]
        group, customer = groups[at], firsts[at] + dice.randrange(groups[at].count)
        units = dice.randint(*group.units)
        terms = f"c={lane.name},t={group.plan},d={int(lane.wait_s * 1000)}"
        if lane.effect == "stamped":
            terms += f",k={dice.getrandbits(64):016x}"
        terms += f",units={units},spread={group.spread},first=0"
        words = [
            b"Q.ASK" if lane.effect == "harmless" else b"Q.DO",
            b"%016x" % (customer + 1),
            b"%08x%08x" % (session, number),
            terms.encode(),
        ]
        if lane.effect != "harmless":
            words.append(b"x" * lane.body_bytes)
        yield Planned(due, lane.name, lane.wait_s, array(*words))
