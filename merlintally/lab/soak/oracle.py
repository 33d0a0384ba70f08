"""The promises of the pages, checked on what was recorded. Nothing here asks a node."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from merlintally.lab.soak.records import Ending, Records, SeenAttempt, SentRequest

ANSWERED = (Ending.SERVED, Ending.REFUSED, Ending.FAILED)
LATE_S = 0.5  # past its deadline, from which a request without an answer is lost
GONE_S = 0.1  # from a client's end on
WAIT_SLACK_S = 0.15
HELD_UP_S = 0.15  # of a node between reading its clock and writing
SEEN_S = 0.03  # between an event on loopback and its record, beside the driver's measured lag


@dataclass(frozen=True, slots=True)
class Limits:
    """What the settings of the soak state."""

    drain_grace_s: float
    window_s: float  # for which a keyed class is remembered
    cold_from: float
    warm_within_s: float
    tip_multiple: float
    tip_window_s: float
    server_per_s: float  # requests of mean work that a warm server can do
    ceiling_per_s: float
    ceiling_units: float
    ceiling_slack: float
    capped: frozenset[str]  # customers of a plan with a ceiling


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken promise, with what shows it."""

    promise: str
    detail: str


def check(records: Records, limits: Limits) -> list[Breach]:
    """All breaches in what was recorded."""
    return [
        *(Breach("a node goes on", line) for line in records.node_faults),
        *_final_answers(records),
        *_clients_that_left(records),
        *_runs(records, limits),
        *_drains(records, limits),
        *_waits_told(records),
        *slow_starts(records, limits),
        *_ceilings(records, limits),
    ]


def _final_answers(records: Records) -> Iterator[Breach]:
    for one in records.requests.values():
        late_s = one.ended_at - one.deadline
        if one.ending in (None, Ending.LOST):
            yield Breach("one final answer", f"{one.id} at {one.node}: {one.detail or 'none'}")
        elif one.ending in ANSWERED and late_s > LATE_S + records.driver_lag_s:
            yield Breach("one final answer", f"{one.id} at {one.node}: {late_s:.3f} s late")


def _clients_that_left(records: Records) -> Iterator[Breach]:
    slack = GONE_S + SEEN_S + records.driver_lag_s
    for attempt in records.attempts:
        request = records.requests.get(attempt.id)
        if request is None or request.ending is not Ending.LEFT or not attempt.on_time:
            continue
        after_s = attempt.first_byte_at - request.ended_at
        if after_s > slack:
            yield Breach("nothing for a client that left", f"{attempt.id}: {after_s:.3f} s after its end")


def _runs(records: Records, limits: Limits) -> Iterator[Breach]:
    by_id = defaultdict[str, list[SeenAttempt]](list)
    for attempt in records.attempts:
        if attempt.ran:
            by_id[attempt.id].append(attempt)
    for id_, attempts in by_id.items():
        effect = records.requests[id_].effect
        attempts.sort(key=lambda one: one.whole_at)
        if effect == "once" and len(attempts) > 1:
            yield Breach("no effect twice", f"{id_} ran {len(attempts)} times, at {_places(attempts)}")
        if effect == "by_key":
            after_s = attempts[-1].whole_at - attempts[0].whole_at
            if after_s > limits.window_s + SEEN_S + records.driver_lag_s:
                yield Breach("no effect twice", f"{id_} again {after_s:.3f} s later, at {_places(attempts)}")


def _places(attempts: list[SeenAttempt]) -> str:
    return ", ".join(f"{one.server} {one.whole_at:.3f}" for one in attempts)


def _drains(records: Records, limits: Limits) -> Iterator[Breach]:
    told = defaultdict[tuple[str, str], list[tuple[float, str]]](list)
    for one in records.told:
        told[one.node, one.server].append((one.at, one.status))
    slack = limits.drain_grace_s + SEEN_S + records.driver_lag_s
    for attempt in records.attempts:
        before = [row for row in told[attempt.node, attempt.server] if row[0] <= attempt.first_byte_at]
        since = None
        for at, status in before:
            since = None if status == "SERVING" else since if since is not None else at
        if since is not None and attempt.first_byte_at - since > slack and attempt.on_time:
            yield Breach(
                "nothing new to a draining server",
                f"{attempt.id} from {attempt.node} at {attempt.server}, "
                f"{attempt.first_byte_at - since:.3f} s after it was told",
            )


def _waits_told(records: Records) -> Iterator[Breach]:
    for attempt in records.attempts:
        request = records.requests.get(attempt.id)
        if request is None:
            yield Breach("a command as the client sent it", f"{attempt.id} at {attempt.server}")
            continue
        if not attempt.on_time:
            continue
        over_s = attempt.wait_told_s - (request.deadline - attempt.whole_at)
        if over_s > WAIT_SLACK_S + SEEN_S + records.driver_lag_s:
            yield Breach("the time told", f"{attempt.id} at {attempt.server}: {over_s:.3f} s too much")


def slow_starts(records: Records, limits: Limits) -> Iterator[Breach]:
    """Yield the servers in slow start that got more than they bear from nodes that knew of their start."""
    arrivals = defaultdict[str, list[SeenAttempt]](list)
    for attempt in sorted(records.attempts, key=lambda one: one.whole_at):
        arrivals[attempt.server].append(attempt)
    for server, starts in records.starts.items():
        for started in starts:
            ends = started + limits.warm_within_s
            cold = [one for one in arrivals[server] if started <= one.whole_at < ends]
            told = {one.node for one in records.told if one.server == server and started <= one.at < ends}
            yield from _falls(server, started, cold, told, limits)


def _falls(
    server: str, started: float, cold: list[SeenAttempt], told: set[str], limits: Limits
) -> Iterator[Breach]:
    """The first fall, if over two thirds of it came from nodes that had been told of the start."""
    first = 0
    for last, attempt in enumerate(cold):
        at = attempt.whole_at
        while at - cold[first].whole_at >= limits.tip_window_s:
            first += 1
        share = (
            limits.cold_from
            + (1 - limits.cold_from) * (cold[first].whole_at - started) / limits.warm_within_s
        )
        bears = limits.tip_multiple * share * limits.server_per_s * limits.tip_window_s
        most = bears + (2 * bears**0.5 + 2 if bears >= 30 else 3 * bears**0.5 + 3)
        came = cold[first : last + 1]
        if len(came) > most:
            if sum(one.node in told for one in came) > len(came) * 2 / 3:
                detail = f"{server}: {len(came)} requests where {most:.1f} are allowed"
                yield Breach("a server in slow start", detail)
            return


def _ceilings(records: Records, limits: Limits) -> Iterator[Breach]:
    first_at = dict[str, float]()
    for attempt in records.attempts:
        first_at[attempt.id] = min(first_at.get(attempt.id, attempt.whole_at), attempt.whole_at)
    by_customer = defaultdict[str, list[tuple[float, SentRequest]]](list)
    for id_, at in first_at.items():
        if (request := records.requests.get(id_)) and request.customer in limits.capped:
            by_customer[request.customer].append((at, request))
    slack = limits.ceiling_slack + limits.ceiling_per_s * HELD_UP_S
    for customer, rows in by_customer.items():
        level, before = limits.ceiling_units, 0.0
        for at, request in sorted(rows, key=lambda row: row[0]):
            level = min(limits.ceiling_units, level + (at - before) * limits.ceiling_per_s) - request.units
            before = at
            if level < -slack:
                yield Breach("ceilings", f"customer {customer}: {-level:.1f} units below the ceiling's store")
                break
