"""Breakdown of a day's loss by cause: refusals within the quota, and admissions beyond it.

Some calls of the gateways are wrapped, and the cause of a decision is read from the gateway's state. The
referee's accounting says what was really lost, so that the table shows a gateway's reason beside the facts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from merlintally.lab.judge.referee import Referee, Submission

# Upper bound of the age in seconds, and the cause's name.
AGE_CLASSES = (
    (0.3, "update under 0.3 s old"),
    (1.0, "update under 1 s old"),
    (3.0, "update under 3 s old"),
    (60.0, "older update"),
)
NO_UPDATE = "no update"


def age_of(customer: Any, now: float) -> str:
    """The age class of a customer's last update from the counter."""
    age = now - customer.last_update_at
    return next((name for limit_s, name in AGE_CLASSES if age < limit_s), NO_UPDATE)


def cause_of(handle: Any, now: float) -> str:
    """The cause of a refusal, from the gateway's state at that moment."""
    customer = handle.customer
    if handle.execution_count:
        return "after an execution"
    if customer.exceeds_ceiling(handle.units):
        return "the ceiling's part"
    if now >= handle.useful_until:
        return "held too long"
    if handle.drawn or customer.within_quota(handle.units, now):
        return "the queue is too long"
    return age_of(customer, now)


@dataclass(slots=True)
class Row:
    """Totals of one cause for one plan."""

    tries: int = 0
    worth: float = 0.0
    units: float = 0.0


@dataclass(slots=True)
class Account:
    """Loss by (kind, plan, cause).

    Kinds: `with room`, refused while the customer's quota bucket was at least half full; `refused`, refused
    with less in it; `beyond`, sent beyond the quota.
    """

    rows: dict[tuple[str, str, str], Row] = field(default_factory=dict)
    tries: int = 0
    worth: float = 0.0  # of all first tries

    def add(self, kind: str, plan: str, cause: str, worth: float, units: float) -> None:
        """Count one try."""
        row = self.rows.setdefault((kind, plan, cause), Row())
        row.tries, row.worth, row.units = row.tries + 1, row.worth + worth, row.units + units

    def table(self) -> list[dict[str, Any]]:
        """Rows by decreasing worth; shares are of all tries and of the worth of all first tries."""
        ordered = sorted(self.rows.items(), key=lambda item: (-item[1].worth, item[0]))
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
            for (kind, plan, cause), row in ordered
        ]


class JudgedWorld(Protocol):
    """A world with a referee."""

    referee: Referee


class WatchedBuild(Protocol):
    """A build whose gateways can be wrapped: `choice` is the module that holds its class `Gateway`."""

    choice: Any


class Watch:
    """Wraps the gateways of one build and the referee of one world; `restore` undoes it for the build."""

    def __init__(self, world: JudgedWorld, build: WatchedBuild) -> None:
        self.world, self.account = world, Account()
        self.refusal_causes: dict[int, str] = {}  # by submission id
        self.admission_causes: dict[int, str] = {}  # by submission id
        self.submission_ids: dict[int, int] = {}  # by id() of the referee's submission
        self.counter_called: set[int] = set()  # submission ids
        self._wrap_gateway(build.choice.Gateway)
        self._wrap_referee()

    def _wrap_gateway(self, gateway_class: Any) -> None:
        self.gateway_class, self.originals = (
            gateway_class,
            (gateway_class.finish, gateway_class._queue, gateway_class._ask),
        )
        finish, queue, ask = self.originals

        def finished(gateway: Any, now: float, handle: Any, why: Any) -> Any:
            self.refusal_causes[handle.id] = cause_of(handle, now)
            return finish(gateway, now, handle, why)

        def queued(gateway: Any, handle: Any, first: bool) -> Any:
            if not first:
                counter = "counter called" if handle.id in self.counter_called else "counter not called"
                beyond = ", beyond the quota on a soft plan" if handle.beyond_quota else ""
                self.admission_causes[handle.id] = (
                    f"{counter}, {age_of(handle.customer, handle.customer.advanced_at)}{beyond}"
                )
            return queue(gateway, handle, first)

        def asking(gateway: Any, now: float, handle: Any) -> Any:
            waits = ask(gateway, now, handle)
            if waits:
                self.counter_called.add(handle.id)
            return waits

        gateway_class.finish, gateway_class._queue, gateway_class._ask = finished, queued, asking

    def _wrap_referee(self) -> None:
        referee, account = self.world.referee, self.account
        taken, answered, charge_units = referee.taken, referee.answered, referee._charge_units
        asked = referee.asked

        def first_asked(first: Any) -> None:
            account.worth += first.worth
            asked(first)

        def was_taken(node: str, trying: Any, now: float) -> None:
            account.tries += 1
            taken(node, trying, now)
            self.submission_ids[id(referee.open[trying.id])] = trying.id

        def was_answered(node: str, trying: Any, kind: str, now: float) -> None:
            submission = referee.open.get(trying.id)
            if submission is not None and kind != "delivered" and not submission.executions:
                first = submission.first
                bucket = referee.usage_of(first.customer, now).quota
                has_room = bucket.refill(now) >= bucket.depth / 2
                cause = self.refusal_causes.get(trying.id, "unknown")
                account.add(
                    "with room" if has_room else "refused",
                    first.customer.plan,
                    cause,
                    first.worth,
                    first.estimated_units,
                )
            answered(node, trying, kind, now)

        def units_charged(submission: Submission, usage: Any, now: float) -> None:
            charge_units(submission, usage, now)
            if not submission.within_quota:
                cause = self.admission_causes.get(self.submission_ids.get(id(submission), -1), "unknown")
                account.add(
                    "beyond",
                    submission.first.customer.plan,
                    cause,
                    submission.first.worth,
                    submission.first.estimated_units,
                )

        referee.asked = first_asked  # type: ignore[method-assign]
        referee.taken = was_taken  # type: ignore[method-assign]
        referee.answered = was_answered  # type: ignore[method-assign]
        referee._charge_units = units_charged  # type: ignore[method-assign]

    def restore(self) -> None:
        """Restore the build's own methods; the referee's stay wrapped."""
        self.gateway_class.finish, self.gateway_class._queue, self.gateway_class._ask = self.originals
