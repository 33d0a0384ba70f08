"""Runs scale tests one after another: their points are measured, fitted and held against the budgets."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from merlintally.lab.scale.fit import best_fit, value_at
from merlintally.lab.scale.point import PointFailed, measure_point
from merlintally.lab.scale.slope import Context, Costs, Derived, Fit, Point, Row, Slope


def row_of(slope: Slope, points: Sequence[Point], context: Context) -> Row:
    """Fit the points and hold the cost at the operators' size against the budget."""
    size = slope.operators_size(context.capacity)
    fit = best_fit(points, slope.unit)
    measured = {point.size: point.value for point in points}
    at_size = measured.get(size, value_at(fit, size))
    fit = Fit(fit.form, fit.unit, fit.error, fit.coefficients, size > max(measured), ())
    return _judged(slope, tuple(points), fit, at_size, context)


def derived_row(derived: Derived, rows: Mapping[str, Row], context: Context) -> Row:
    costs = Costs(rows, context.capacity, value_at)
    points = tuple(Point(size, derived.work_out(size, costs)) for size in derived.sizes)
    at_size = derived.work_out(derived.operators_size(context.capacity), costs)
    error = max((rows[name].fit.error for name in derived.sources), default=0.0)
    return _judged(
        derived, points, Fit("derived", derived.unit, error, sources=derived.sources), at_size, context
    )


def _judged(
    test: Slope | Derived, points: tuple[Point, ...], fit: Fit, at_size: float, context: Context
) -> Row:
    budget = test.budget_of(context.capacity)
    holds = None if budget is None else at_size <= budget
    return Row(
        test.name, test.role, test.by, points, fit, at_size, budget, holds, whole_lists=context.whole_lists
    )


@dataclass(frozen=True)
class Failure:
    """A scale test without a result."""

    name: str
    why: str


def groups_of(slopes: Iterable[Slope]) -> list[list[Slope]]:
    """Slopes that share processes, in the order of their first ones."""
    groups: dict[str, list[Slope]] = {}
    for slope in slopes:
        groups.setdefault(slope.group or f" {slope.name}", []).append(slope)
    return list(groups.values())


def run(
    tests: Sequence[Slope | Derived],
    context: Context,
    known: Mapping[str, Row] | None = None,
    said: Callable[[str], None] = lambda _: None,
) -> Iterator[Row | Failure]:
    """Run the tests one after another; rows of earlier runs (`known`) serve the derived ones."""
    rows = dict(known or {})
    for group in groups_of(one for one in tests if isinstance(one, Slope)):
        for result in _run_group(group, context, said):
            if isinstance(result, Row):
                rows[result.name] = result
            yield result
    for test in tests:
        if isinstance(test, Derived):
            missing = [name for name in test.sources if name not in rows]
            if missing:
                yield Failure(test.name, f"needs the results of {', '.join(missing)}")
            else:
                rows[test.name] = derived_row(test, rows, context)
                yield rows[test.name]


def _run_group(
    group: Sequence[Slope], context: Context, said: Callable[[str], None]
) -> Iterator[Row | Failure]:
    points: dict[str, list[Point]] = {slope.name: [] for slope in group}
    failed: dict[str, str] = {}
    wanted = {slope.name: slope.quick_sizes if context.quick else slope.sizes for slope in group}
    for size in sorted({size for sizes in wanted.values() for size in sizes}):
        measures = {
            one.name: one.measure for one in group if size in wanted[one.name] and one.name not in failed
        }
        if not measures:
            continue
        said(f"{group[0].group or group[0].name} at {size}")
        try:
            for name, value in measure_point(measures, size, context).items():
                points[name].append(Point(size, value))
        except PointFailed as wrong:
            failed |= {name: f"at {size}: {wrong}" for name in measures}
    for slope in group:
        if slope.name in failed:
            yield Failure(slope.name, failed[slope.name])
        else:
            yield row_of(slope, points[slope.name], context)
