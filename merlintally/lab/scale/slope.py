"""What a scale test is, and what comes of one."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from msgspec import Struct

from merlintally.lab.scale.capacity import Capacity

PREFIX = "slopes_"  # of the modules of this package that have SLOPES, a tuple of Slope and Derived
SizeOf = Callable[[Capacity], int]
BudgetOf = Callable[[Capacity], float | None]


class Point(Struct, frozen=True):
    """A cost measured at one size."""

    size: int
    value: float


class Fit(Struct, frozen=True):
    """How a cost grows: a form with its coefficients (fit.py), or the rows that it is worked out from."""

    form: str  # constant, logarithmic, linear, quadratic; derived
    unit: str
    error: float = 0.0  # relative, root mean square over the points
    coefficients: tuple[float, ...] = ()  # the intercept first
    extrapolated: bool = False  # whether at_size lies beyond the points
    sources: tuple[str, ...] = ()  # names of the rows that a derived one is worked out from


class Row(Struct, frozen=True):
    """The result of one scale test."""

    name: str
    role: str
    by: str
    points: tuple[Point, ...]
    fit: Fit
    at_size: float
    budget: float | None
    holds: bool | None  # None: there is no budget for it
    whole_lists: bool = False  # nodes without subsets of app servers

    @property
    def factor(self) -> float | None:
        """The cost at the operators' size over the budget; above 1 the budget is broken."""
        return self.at_size / self.budget if self.budget else None


@dataclass(frozen=True)
class Context:
    """What a measurement may go by beside its size."""

    capacity: Capacity
    quick: bool = False
    seed: int = 1
    whole_lists: bool = False  # nodes work with all app servers, without subsets


Measure = Callable[[int, Context], float]


@dataclass(frozen=True)
class Slope:
    """A cost to be measured at four sizes or more, each in a process of its own.

    `measure` is a function of a module (it is handed to the other process by its name). Slopes with the same
    `group` are measured in the same process at each size: they may share a measurement by `functools.cache`.
    """

    name: str
    role: str  # edge node, app server, voter, holder, counter, discovery
    by: str  # what grows: app servers, tenants, nodes, changes, open requests
    unit: str
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]
    measure: Measure
    size_key: str | SizeOf  # the key of [size] that the cost is taken to, or a function
    budget: str | BudgetOf | None = None  # a key of [budget], a function, or no budget
    about: str = ""  # one line: what is measured, and what of it is simulated
    group: str = ""
    simulated: bool = False  # counted in simulated time, not measured on this machine

    def operators_size(self, capacity: Capacity) -> int:
        return size_of(self.size_key, capacity)

    def budget_of(self, capacity: Capacity) -> float | None:
        return budget_of(self.budget, capacity)


class Costs:
    """Costs of rows at any size, for those worked out from them."""

    def __init__(
        self, rows: Mapping[str, Row], capacity: Capacity, value: Callable[[Fit, int], float]
    ) -> None:
        self._rows, self.capacity, self._value = rows, capacity, value

    def at(self, name: str, size: int) -> float:
        """The cost of row `name` at `size`: as measured there, or by its fit."""
        row = self._rows[name]
        measured = {point.size: point.value for point in row.points}
        return measured[size] if size in measured else self._value(row.fit, size)

    def at_operators_size(self, name: str) -> float:
        return self._rows[name].at_size


@dataclass(frozen=True)
class Derived:
    """A cost worked out from the rows of other tests, at the same kind of sizes."""

    name: str
    role: str
    by: str
    unit: str
    sizes: tuple[int, ...]
    sources: tuple[str, ...]
    work_out: Callable[[int, Costs], float]
    size_key: str | SizeOf
    budget: str | BudgetOf | None = None
    about: str = ""

    def operators_size(self, capacity: Capacity) -> int:
        return size_of(self.size_key, capacity)

    def budget_of(self, capacity: Capacity) -> float | None:
        return budget_of(self.budget, capacity)


def size_of(key: str | SizeOf, capacity: Capacity) -> int:
    return int(getattr(capacity.size, key)) if isinstance(key, str) else key(capacity)


def budget_of(budget: str | BudgetOf | None, capacity: Capacity) -> float | None:
    if isinstance(budget, str):
        return float(getattr(capacity.budget, budget))
    return budget(capacity) if budget is not None else None


def registry() -> list[Slope | Derived]:
    """All scale tests, gathered from this package's modules `slopes_*`: derived ones come last, each behind
    the ones that it is worked out from."""
    package = importlib.import_module(__package__ or "merlintally.lab.scale")
    names = sorted(one.name for one in pkgutil.iter_modules(package.__path__) if one.name.startswith(PREFIX))
    modules = [importlib.import_module(f"{package.__name__}.{name}") for name in names]
    return in_order([one for module in modules for one in module.SLOPES])


def in_order(tests: Sequence[Slope | Derived]) -> list[Slope | Derived]:
    """The measured ones, then the derived ones behind their sources."""
    found: list[Slope | Derived] = [one for one in tests if isinstance(one, Slope)]
    left = [one for one in tests if isinstance(one, Derived)]
    while left:
        waiting = {one.name for one in left}
        ready = [one for one in left if waiting.isdisjoint(one.sources)]
        if not ready:
            raise ValueError(f"worked out from each other: {', '.join(sorted(waiting))}")
        found += ready
        left = [one for one in left if one not in ready]
    return found
