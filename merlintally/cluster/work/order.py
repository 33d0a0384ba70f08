"""Who is next: a decision by what is agreed and what is seen, and for all others why not now."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from merlintally.cluster.work.state import OPEN, PAUSED, Machine, Request, Work

ROOM = 0.8  # of what the machines left in a pool bear, beyond which none more is taken out


@dataclass(slots=True)
class Seen:
    """What the leader sees of the fleet now."""

    lost: frozenset[str] = frozenset()  # machines that are out with no turn: dead, or flapping
    rates: dict[str, float] = field(default_factory=dict)  # executions a second, by pool
    voters: frozenset[str] = frozenset()  # names of edge nodes
    leader: str = ""
    blank: frozenset[str] = frozenset()  # voters that have lost their logs


@dataclass(slots=True)
class Choice:
    """`machine` is next in `request`, or nobody ("")."""

    machine: str = ""
    request: str = ""
    why: dict[str, str] = field(default_factory=dict)  # machine that waits -> why not now


def next_turn(work: Work, seen: Seen) -> Choice:
    """One machine at a time is called. Dead ones go first, for taking them out loses nothing more; then those
    in the zone where work is, then by request and place in it; whoever leads goes last."""
    choice, fit = Choice(), list[tuple[tuple[object, ...], str, str]]()
    sizes = work.sizes()
    zones = {work.machines[name].zone for name in work.turns if name in work.machines}
    for at, request in enumerate(work.requests.values()):
        if request.state not in (OPEN, PAUSED):
            continue
        for place, name in enumerate(request.machines):
            machine = work.machines.get(name)
            if machine is None or name in request.done or name in work.turns:
                continue
            if request.state == PAUSED:
                choice.why[name] = f"{request.id} is paused"
            elif why := _why_not(work, seen, machine, request, sizes):
                choice.why[name] = why
            else:
                key = (
                    name not in seen.lost,
                    machine.zone not in zones,
                    seen.leader in machine.edges,
                    at,
                    place,
                )
                fit.append((key, name, request.id))
    if fit:
        _, choice.machine, choice.request = min(fit)
        for _, name, _ in fit:
            if name != choice.machine:
                choice.why[name] = f"{choice.machine} is before it"
    return choice


def _why_not(
    work: Work, seen: Seen, machine: Machine, request: Request, sizes: Counter[tuple[str, str]]
) -> str:
    for budget in work.budgets(request):
        if why := work.over_budget(machine, budget, seen.lost, sizes=sizes):
            return why
    out = {turn.machine for turn in work.turns.values()} | seen.lost | {machine.name}
    if seen.voters & set(machine.edges) and (why := work.too_few_voters(out, seen.voters, seen.blank)):
        return why
    return _too_busy(work, seen, machine, out)


def _too_busy(work: Work, seen: Seen, machine: Machine, out: Iterable[str]) -> str:
    """Never below what the traffic of now needs. A machine on its way back bears nothing yet."""
    rate, gone = seen.rates.get(machine.pool, 0.0), set(out)
    rows = [one for one in work.machines.values() if one.pool == machine.pool and one.bears > 0]
    if machine.bears <= 0 or machine.name in seen.lost or not rows:
        return ""
    left = sum(one.bears for one in rows if one.name not in gone)
    if rate > ROOM * left:
        return f"pool {machine.pool} has {rate:.0f} a second, and those left bear {left:.0f}"
    return ""
