"""One point of a scale test, measured in a process of its own with bounded memory, processes and time.

That process loads this module and the test's, and no more: neither may load numpy or matplotlib.
"""

from __future__ import annotations

import multiprocessing
import os
import signal
import time
from collections.abc import Mapping
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path

from merlintally.lab.scale.slope import Context, Measure

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
        process.kill()  # it may not have begun a session of its own yet
        process.join()
        _end(process.pid or 0)
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
    """End what a point's process has started and left, each by its id."""
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            if int(fields[3]) == session:
                os.kill(int(folder.name), signal.SIGKILL)
        except OSError:
            continue
