"""An account of a day's loss: why gateways refused what had room, and let in what was beyond the quota.

The decisions are watched from outside: some of their calls are wrapped, and the cause is read from the state
they left. The referee's books say what was truly lost; so one account sets beside each other what a gateway
went by and what was the case.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from merlintally.lab.judge.referee import Referee, Submission

AGES = ((0.3, "news under 0.3 s"), (1.0, "news under 1 s"), (3.0, "news under 3 s"), (60.0, "older news"))
NEVER = "never heard"


def age_of(customer: Any, now: float) -> str:
    """How old the counter's news of a customer are."""
    age = now - customer.last_update_at
    return next((name for most, name in AGES if age < most), NEVER)


def cause_of(handle: Any, now: float) -> str:
    """Why a submission is refused, from the state at that moment."""
    customer = handle.customer
    if handle.execution_count:
        return "after an execution"
    if customer.exceeds_ceiling(handle.units):
        return "the ceiling's part"
    if now >= handle.useful_until:
        return "held too long"
    if handle.drawn or customer.within_quota(handle.units, now):
        return "the line is too long"
    return age_of(customer, now)


@dataclass(slots=True)
class Row:
    """One cause of one plan."""

    tries: int = 0
    worth: float = 0.0
    units: float = 0.0


@dataclass(slots=True)
class Account:
    """Loss by (kind, plan, cause). Kinds: `with room`, refused while half of the customer's store or more
    was there; `beyond`, sent on beyond the quota; `refused`, refused without room."""

    rows: dict[tuple[str, str, str], Row] = field(default_factory=dict)
    tries: int = 0
    worth: float = 0.0  # of all first tries

    def add(self, kind: str, plan: str, cause: str, worth: float, units: float) -> None:
        row = self.rows.setdefault((kind, plan, cause), Row())
        row.tries, row.worth, row.units = row.tries + 1, row.worth + worth, row.units + units

    def table(self) -> list[dict[str, Any]]:
        """Rows, the most worth first; shares are of all tries and of the worth of all first tries."""
        order = sorted(self.rows.items(), key=lambda item: (-item[1].worth, item[0]))
        return [
            {
                "kind": kind,
                "plan": plan,
                "cause": cause,
                "tries": row.tries,
                "units": round(row.units, 1),
                "share_of_tries": round(row.tries / max(1, self.tries), 4),
                "share_of_worth": round(row.worth / max(1e-9, self.worth), 4),
            }
            for (kind, plan, cause), row in order
        ]


class JudgedWorld(Protocol):
    """A world that a referee judges."""

    referee: Referee


class WatchedBuild(Protocol):
    """A build whose gateways can be wrapped: `choice` is the module that holds its class `Gateway`."""

    choice: Any


class Watch:
    """Wraps the gateways of one build and the referee of one world, while the day is played."""

    def __init__(self, world: JudgedWorld, build: WatchedBuild) -> None:
        self.world, self.account = world, Account()
        self.causes: dict[int, str] = {}
        self.admitted: dict[int, str] = {}
        self.numbers: dict[int, int] = {}  # of submissions, by the identity of the referee's entry
        self.asked: set[int] = set()
        self._wrap_gateway(build.choice.Gateway)
        self._wrap_referee()

    def _wrap_gateway(self, kind: Any) -> None:
        self.kind, self.kept = kind, (kind.finish, kind._queue, kind._ask)
        finish, queue, ask = self.kept

        def finished(gateway: Any, now: float, handle: Any, why: Any) -> Any:
            self.causes[handle.id] = cause_of(handle, now)
            return finish(gateway, now, handle, why)

        def queued(gateway: Any, handle: Any, first: bool) -> Any:
            if not first:
                how = "asked" if handle.id in self.asked else "not asked"
                beyond = ", by the extra of soft plans" if handle.beyond_quota else ""
                self.admitted[handle.id] = (
                    f"{how}, {age_of(handle.customer, handle.customer.advanced_at)}{beyond}"
                )
            return queue(gateway, handle, first)

        def asking(gateway: Any, now: float, handle: Any) -> Any:
            waits = ask(gateway, now, handle)
            if waits:
                self.asked.add(handle.id)
            return waits

        kind.finish, kind._queue, kind._ask = finished, queued, asking

    def _wrap_referee(self) -> None:
        referee, account = self.world.referee, self.account
        taken, answered, take_units = referee.taken, referee.answered, referee._take_units
        asked = referee.asked

        def first_asked(first: Any) -> None:
            account.worth += first.worth
            asked(first)

        def was_taken(node: str, trying: Any, now: float) -> None:
            account.tries += 1
            taken(node, trying, now)
            self.numbers[id(referee.open[trying.id])] = trying.id

        def was_answered(node: str, trying: Any, kind: str, now: float) -> None:
            sub = referee.open.get(trying.id)
            if sub is not None and kind != "delivered" and not sub.executions:
                first = sub.first
                store = referee.book(first.customer, now).quota
                room = store.fill(now) >= store.depth / 2
                cause = self.causes.get(trying.id, "unknown")
                account.add(
                    "with room" if room else "refused", first.customer.plan, cause, first.worth, first.guess
                )
            answered(node, trying, kind, now)

        def units_taken(sub: Submission, book: Any, now: float) -> None:
            take_units(sub, book, now)
            if not sub.inside:
                cause = self.admitted.get(self.numbers.get(id(sub), -1), "unknown")
                account.add("beyond", sub.first.customer.plan, cause, sub.first.worth, sub.first.guess)

        referee.asked = first_asked  # type: ignore[method-assign]
        referee.taken = was_taken  # type: ignore[method-assign]
        referee.answered = was_answered  # type: ignore[method-assign]
        referee._take_units = units_taken  # type: ignore[method-assign]

    def off(self) -> None:
        """Give the build its own calls back."""
        self.kind.finish, self.kind._queue, self.kind._ask = self.kept
