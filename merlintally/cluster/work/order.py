"""Selection of the next machine to take out, with the reason for each machine that has to wait."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from merlintally.cluster.work.state import OPEN, PAUSED, Machine, Request, Work

MAX_LOAD_SHARE = 0.8  # of the capacity left in a pool


@dataclass(slots=True)
class FleetView:
    """The leader's current view of the fleet.

    `lost`: machines that are out without a turn, as their nodes are dead or flapping. `rates`: executions per
    second, by pool. `voters`: names of edge nodes. `without_log`: voters that have lost their log.
    """

    lost: frozenset[str] = frozenset()
    rates: dict[str, float] = field(default_factory=dict)
    voters: frozenset[str] = frozenset()
    leader: str = ""
    without_log: frozenset[str] = frozenset()


@dataclass(slots=True)
class Choice:
    """The next machine and its request, "" if there is none; `reasons` has the reason for each other one."""

    machine: str = ""
    request: str = ""
    reasons: dict[str, str] = field(default_factory=dict)


def next_turn(work: Work, view: FleetView) -> Choice:
    """Select the machine to call next among those of all open requests.

    Lost machines come first, as taking them out loses no further capacity; then machines of the zone that has
    turns already; then all but the leader's own machine. The rest follows the order of the requests and of
    the machines within each.
    """
    choice, candidates = Choice(), list[tuple[tuple[object, ...], str, str]]()
    sizes = work.sizes()
    zones = {work.machines[name].zone for name in work.turns if name in work.machines}
    for request_position, request in enumerate(work.requests.values()):
        if request.state not in (OPEN, PAUSED):
            continue
        for machine_position, name in enumerate(request.machines):
            machine = work.machines.get(name)
            if machine is None or name in request.done or name in work.turns:
                continue
            if request.state == PAUSED:
                choice.reasons[name] = f"{request.id} is paused"
            elif why := _why_not(work, view, machine, request, sizes):
                choice.reasons[name] = why
            else:
                key = (
                    name not in view.lost,
                    machine.zone not in zones,
                    view.leader in machine.edges,
                    request_position,
                    machine_position,
                )
                candidates.append((key, name, request.id))
    if candidates:
        _, choice.machine, choice.request = min(candidates)
        for _, name, _ in candidates:
            if name != choice.machine:
                choice.reasons[name] = f"{choice.machine} goes first"
    return choice


def _why_not(
    work: Work, view: FleetView, machine: Machine, request: Request, sizes: Counter[tuple[str, str]]
) -> str:
    """Why the machine can't be called now, or ""."""
    for budget in work.budgets(request):
        if why := work.over_budget(machine, budget, view.lost, sizes=sizes):
            return why
    out = {turn.machine for turn in work.turns.values()} | view.lost | {machine.name}
    if view.voters & set(machine.edges) and (why := work.too_few_voters(out, view.voters, view.without_log)):
        return why
    return _too_busy(work, view, machine, out)


def _too_busy(work: Work, view: FleetView, machine: Machine, out: Iterable[str]) -> str:
    """Why the pool would lack capacity without the machine, or "". Returning machines count as out."""
    rate, absent = view.rates.get(machine.pool, 0.0), set(out)
    with_capacity = [
        other for other in work.machines.values() if other.pool == machine.pool and other.bears > 0
    ]
    if machine.bears <= 0 or machine.name in view.lost or not with_capacity:
        return ""
    capacity = sum(other.bears for other in with_capacity if other.name not in absent)
    if rate > MAX_LOAD_SHARE * capacity:
        return f"pool {machine.pool} runs {rate:.0f} executions/s; machines left can serve {capacity:.0f}"
    return ""
