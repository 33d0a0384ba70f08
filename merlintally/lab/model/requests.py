"""Customers, and their submissions: a first try and its retries. Free of I/O."""

from __future__ import annotations

from merlintally.lab.model.days import LaneForm, PlanForm


class Customer:
    """A customer of a plan.

    Its set of edge nodes is `spread` nodes from number `first` on, with `weights`.
    Its traffic is `use` times the quota, times `spiking` during a spike. `rate` is in units per second,
    `burst` in units.
    """

    __slots__ = (
        "key",
        "plan",
        "form",
        "rate",
        "burst",
        "first",
        "spread",
        "weights",
        "use",
        "kind",
        "spiking",
    )

    def __init__(
        self,
        key: str,
        form: PlanForm,
        rate: float,
        burst: float,
        first: int,
        spread: int,
        use: float,
        kind: str,
    ) -> None:
        self.key, self.form, self.plan, self.rate, self.burst = key, form, form.name, rate, burst
        self.first, self.spread, self.use, self.kind = first, spread, use, kind
        self.weights: list[float] = []
        self.spiking = 1.0


class First:
    """A first try and its retries, of which one can earn the worth.

    `units` are the true units, `guess` is the estimate sent with it; `work` is in core seconds;
    `left` counts the remaining retries; `settled` is set once an answer was delivered.
    """

    __slots__ = ("customer", "lane", "units", "guess", "work", "key", "asked", "left", "worth", "settled")

    def __init__(
        self,
        customer: Customer,
        lane: LaneForm,
        units: float,
        guess: float,
        work: float,
        key: str,
        asked: float,
        left: int,
    ) -> None:
        self.customer, self.lane, self.units, self.guess, self.work = customer, lane, units, guess, work
        self.key, self.asked, self.left, self.settled = key, asked, left, False
        self.worth = lane.gain * customer.form.price * units


class Try:
    """One try at one edge node. It ends at its hard limit; `over`: has an outcome, or its client left."""

    __slots__ = ("id", "first", "sent", "ends", "over")

    def __init__(self, number: int, first: First, sent: float, ends: float) -> None:
        self.id, self.first, self.sent, self.ends, self.over = number, first, sent, ends, False
