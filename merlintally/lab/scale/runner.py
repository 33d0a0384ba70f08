"""Runs scale tests, one point after another, each in a process of its own with bounded memory."""

from __future__ import annotations

import multiprocessing
import os
import signal
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path

from merlintally.lab.scale.fit import best_fit, value_at
from merlintally.lab.scale.slope import Context, Costs, Derived, Fit, Measure, Point, Row, Slope

MOST_MEMORY_SHARE = 0.5  # of the machine's, for a point's processes together
MOST_PROCESSES = 300  # of one point
LOOK_S = 0.25  # between looks at what a point's processes use
MOST_POINT_S = 900.0  # for one point


class PointFailed(Exception):
    """A point could not be measured; the text says why."""


@dataclass(frozen=True)
class Use:
    """What the processes of one session use."""

    processes: int
    memory: int  # bytes, resident


def machine_memory() -> int:
    """Bytes of memory that the machine has."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def use_of(session: int) -> Use:
    """Count the processes of a session and sum their resident memory (Linux: from /proc)."""
    processes, pages = 0, 0
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:  # it has ended
            continue
        if int(fields[3]) == session:
            processes, pages = processes + 1, pages + int(fields[21])
    return Use(processes, pages * os.sysconf("SC_PAGE_SIZE"))


def _measure_all(sender: Connection, measures: Mapping[str, Measure], size: int, context: Context) -> None:
    """The child's part: measure, and send the values by name, or the text of what failed."""
    os.setsid()
    try:
        sender.send({name: float(measure(size, context)) for name, measure in measures.items()})
    except Exception as wrong:
        sender.send(f"{type(wrong).__name__}: {wrong}")


def measure_point(
    measures: Mapping[str, Measure], size: int, context: Context, most_s: float = MOST_POINT_S
) -> dict[str, float]:
    """Measure one size in a process of its own, which may start others; all are ended with it."""
    spawn = multiprocessing.get_context("spawn")
    receiver, sender = spawn.Pipe(duplex=False)
    process = spawn.Process(target=_measure_all, args=(sender, dict(measures), size, context))
    process.start()
    sender.close()
    try:
        found = _await_result(receiver, process.pid or 0, time.monotonic() + most_s)
    finally:
        _end(process.pid or 0)
        process.join()
    if isinstance(found, str):
        raise PointFailed(found)
    return found


def _await_result(receiver: Connection, session: int, latest: float) -> dict[str, float] | str:
    while not receiver.poll(LOOK_S):
        use = use_of(session)
        if use.memory > MOST_MEMORY_SHARE * machine_memory():
            return f"{use.memory >> 20} MB are over half of the machine's memory"
        if use.processes > MOST_PROCESSES:
            return f"{use.processes} processes are over {MOST_PROCESSES}"
        if time.monotonic() > latest:
            return "not done in time"
    try:
        found: dict[str, float] | str = receiver.recv()
    except EOFError:
        return "the process ended without a result"
    return found


def _end(session: int) -> None:
    """End the processes of a point that are left, each by its id."""
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            if int(fields[3]) == session:
                os.kill(int(folder.name), signal.SIGKILL)
        except OSError:
            continue


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
    return Row(test.name, test.role, test.by, points, fit, at_size, budget, holds)


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
