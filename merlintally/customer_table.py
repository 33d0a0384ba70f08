"""The customers that a gateway keeps, within stated numbers (I/O-free).

Clients name customers, so what is kept for a name is bounded by a number and not by time. When a further
customer comes, one gives way that has nothing open: of those seen once, else of all, the one unused for
longest. Of a customer that gave way, the levels of its buckets are remembered until they are full again.
When there are too many of these as well, the oldest is dropped, and from then on customers that are not known
start with the part of the ceiling that the dropped one had left. So a ceiling's level is never forgotten to
the benefit of a customer.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from merlintally.customer import Customer
from merlintally.interface import PlanFacts

DEFAULT_MAX_CUSTOMERS = 50_000
MIN_MAX_CUSTOMERS = 64
# What one customer takes at the most, in the table and among the remembered levels.
CUSTOMER_BYTES = 1800
RETURNING_SHARE = 0.8  # of the customers, for those that were seen more than once
MAX_LOOKS = 8  # at customers with something open, before the table grows by one


class RememberedLevels(NamedTuple):
    """The buckets of a customer that gave way, each as the time in seconds at which it is full again."""

    plan: PlanFacts
    gateways: int
    ceiling_full_at: float
    balance_full_at: float

    @property
    def full_at(self) -> float:
        """The time from which there is nothing to remember."""
        return max(self.ceiling_full_at, self.balance_full_at)

    @classmethod
    def of(cls, customer: Customer) -> RememberedLevels:
        """Return the levels of a customer as of its last refill."""
        return cls(customer.plan, customer.gateways, customer.ceiling_full_at, customer.balance_full_at)


class CustomerTable:
    """Customers by key, at most `max_customers` besides those with something open."""

    def __init__(self, max_customers: int = DEFAULT_MAX_CUSTOMERS) -> None:
        self.max_customers = max(MIN_MAX_CUSTOMERS, max_customers)
        # Both in the order of use, the least recent first.
        self._seen_once: OrderedDict[str, Customer] = OrderedDict()
        self._returning: OrderedDict[str, Customer] = OrderedDict()
        self._by_mark: dict[int, Customer] = {}
        self._remembered: OrderedDict[str, RememberedLevels] = OrderedDict()
        # By plan: when the ceiling of a customer is full of which nothing is known.
        self._unknown_full_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._seen_once) + len(self._returning)

    def __contains__(self, key: str) -> bool:
        return key in self._seen_once or key in self._returning

    def __getitem__(self, key: str) -> Customer:
        return self._returning[key] if key in self._returning else self._seen_once[key]

    def __setitem__(self, key: str, customer: Customer) -> None:
        """Put in a customer whatever the number; `create` keeps to the number."""
        self._returning.pop(key, None)
        self._seen_once[key] = customer
        self._by_mark[customer.mark] = customer

    def values(self) -> Iterator[Customer]:
        """Yield all customers; the table must not be changed meanwhile."""
        yield from self._seen_once.values()
        yield from self._returning.values()

    def clear(self) -> None:
        """Remove all customers, and keep what is remembered of others."""
        self._seen_once.clear()
        self._returning.clear()
        self._by_mark.clear()

    @property
    def remembered_count(self) -> int:
        """The number of customers that gave way and whose levels are remembered."""
        return len(self._remembered)

    def use(self, key: str) -> Customer | None:
        """Return a customer that is used once more, or None if it is not known."""
        if (customer := self._returning.get(key)) is not None:
            self._returning.move_to_end(key)
            return customer
        if (customer := self._seen_once.pop(key, None)) is None:
            return None
        self._returning[key] = customer
        if len(self._returning) > self.max_customers * RETURNING_SHARE:
            demoted_key, demoted = self._returning.popitem(last=False)
            self._seen_once[demoted_key] = demoted
        return customer

    def with_mark(self, mark: int) -> Customer | None:
        """Return the customer with a mark of notes, or None if it is not known."""
        return self._by_mark.get(mark)

    def create(self, now: float, key: str, plan: PlanFacts, gateways: int, uptime: float) -> Customer:
        """Add a customer that is not known, with the levels that are remembered of it.

        `plan` and `gateways` are ignored where it is remembered. Others give way where there are too many.
        """
        while len(self) >= self.max_customers and self._evict_one(now):
            pass
        levels = self._remembered.pop(key, None)
        if levels is not None and levels.full_at > now:
            plan, gateways = levels.plan, levels.gateways
        customer = self[key] = Customer(key, plan, gateways, now, uptime)
        if levels is not None:
            customer.limit_balance(levels.balance_full_at, now)
            customer.limit_ceiling(levels.ceiling_full_at, now)
        else:
            customer.limit_ceiling(self._unknown_full_at.get(plan.name, now), now)
        return customer

    def _evict_one(self, now: float) -> bool:
        """Remove the customer that may give way; returns False where all that were looked at are in use."""
        for group in (self._seen_once, self._returning):
            for _ in range(min(MAX_LOOKS, len(group))):
                key = next(iter(group))
                if group[key].in_use:
                    group.move_to_end(key)
                else:
                    self._remember(now, self._remove(key))
                    return True
        return False

    def _remove(self, key: str) -> Customer:
        customer = self._seen_once.pop(key, None) or self._returning.pop(key)
        if self._by_mark.get(customer.mark) is customer:
            del self._by_mark[customer.mark]
        return customer

    def _remember(self, now: float, customer: Customer) -> None:
        """Keep the levels of a customer that has been removed, unless its buckets are full."""
        customer.advance(now)
        levels = RememberedLevels.of(customer)
        if levels.full_at <= now:
            return
        self._remembered[customer.key] = levels
        self._remembered.move_to_end(customer.key)
        while len(self._remembered) > self.max_customers:
            _, dropped = self._remembered.popitem(last=False)
            known_full_at = self._unknown_full_at.get(dropped.plan.name, dropped.ceiling_full_at)
            self._unknown_full_at[dropped.plan.name] = max(known_full_at, dropped.ceiling_full_at)

    def forget_idle(self, now: float) -> None:
        """Remove customers that were not used for a while, and levels that are full by now."""
        for key in [customer.key for customer in self.values() if customer.can_forget(now)]:
            self._remove(key)
        full = [key for key, levels in self._remembered.items() if levels.full_at <= now]
        for key in full:
            del self._remembered[key]
