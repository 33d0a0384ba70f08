"""Customers, and their submissions: a first try and its retries. Free of I/O."""

from __future__ import annotations

from merlintally.lab.model.days import LaneForm, PlanForm


class Customer:
    """A customer of a plan.

    Its set of edge nodes is `spread` nodes from number `first_node` on, with `weights`.
    Its traffic is `use` times the quota, times `spike_factor` during a spike. `rate` is in units per second,
    `burst` in units.
    """

    __slots__ = (
        "key",
        "plan",
        "form",
        "rate",
        "burst",
        "first_node",
        "spread",
        "weights",
        "use",
        "kind",
        "spike_factor",
    )

    def __init__(
        self,
        key: str,
        form: PlanForm,
        rate: float,
        burst: float,
        first_node: int,
        spread: int,
        use: float,
        kind: str,
    ) -> None:
        self.key, self.form, self.plan, self.rate, self.burst = key, form, form.name, rate, burst
        self.first_node, self.spread, self.use, self.kind = first_node, spread, use, kind
        self.weights: list[float] = []
        self.spike_factor = 1.0


class First:
    """A first try and its retries, of which one can earn the worth.

    `units` are the true units, `estimated_units` is the estimate sent with it; `work` is in core seconds;
    `retries_left` counts the remaining retries; `settled` is set once an answer was delivered.
    """

    __slots__ = (
        "customer",
        "lane",
        "units",
        "estimated_units",
        "work",
        "key",
        "asked_at",
        "retries_left",
        "worth",
        "settled",
    )

    def __init__(
        self,
        customer: Customer,
        lane: LaneForm,
        units: float,
        estimated_units: float,
        work: float,
        key: str,
        asked_at: float,
        retries_left: int,
    ) -> None:
        self.customer, self.lane, self.units, self.estimated_units, self.work = (
            customer,
            lane,
            units,
            estimated_units,
            work,
        )
        self.key, self.asked_at, self.retries_left, self.settled = key, asked_at, retries_left, False
        self.worth = lane.gain * customer.form.price * units


class Try:
    """One try at one edge node. `deadline` is its hard limit; `over`: has an outcome, or its client left."""

    __slots__ = ("id", "first", "sent", "deadline", "over")

    def __init__(self, number: int, first: First, sent: float, deadline: float) -> None:
        self.id, self.first, self.sent, self.deadline, self.over = number, first, sent, deadline, False
