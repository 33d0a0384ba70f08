"""Converts the start times of app servers to the node's clock (I/O-free).

Discovery states them as Unix time. If the wall clock has been stepped since, a direct comparison could make
a server that has just started look warm, or one look cold for good.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import replace

from merlintally.net.configuration import ListedServer

MAX_STEPS = 16
MIN_STEP_S = 0.01  # smaller differences come from reading the clocks one after the other


class WallSteps:
    """The offsets of the wall clock from the node's clock in seconds, the present one and earlier ones."""

    def __init__(self) -> None:
        self.shifts: deque[float] = deque([0.0], maxlen=MAX_STEPS)

    @property
    def shift(self) -> float:
        """The present offset in seconds."""
        return self.shifts[-1]

    def observe(self, wall: float, now: float) -> float:
        """Compares the wall clock with the node's clock; returns the step since the last call in seconds, or
        0 for none."""
        step = wall - now - self.shift
        if abs(step) < MIN_STEP_S:
            return 0.0
        self.shifts.append(wall - now)
        return step


class StartTimes:
    """The start times of listed app servers by the node's clock, each computed when first listed."""

    def __init__(self, steps: WallSteps) -> None:
        self._steps = steps
        self._starts: dict[str, tuple[float, float]] = {}  # server -> stated start, start by the node's clock

    def listed(self, now: float, entries: Iterable[ListedServer], complete: bool) -> list[ListedServer]:
        """The same entries with start times by the node's clock; `complete` if they are the whole list."""
        converted = [self._by_clock(now, entry) for entry in entries]
        if complete:
            listed_servers = {entry.facts.server for entry in converted}
            self._starts = {name: start for name, start in self._starts.items() if name in listed_servers}
        return converted

    def _by_clock(self, now: float, entry: ListedServer) -> ListedServer:
        server, stated = entry.facts.server, entry.facts.started
        if stated <= 0 or entry.facts.presence == "gone":  # unknown start, or no longer relevant
            self._starts.pop(server, None)
            return entry
        start = self._starts.get(server)
        if start is None or start[0] != stated:
            start = self._starts[server] = (stated, self.start_of(stated, now))
        return ListedServer(replace(entry.facts, started=start[1]), entry.address)

    def start_of(self, stated: float, now: float) -> float:
        """Converts a stated start, assuming that it was read at any of the known offsets of the wall clock.

        Returns the latest result that is not after `now`, or `now` if there is none: the server is rather
        taken to be colder than it is.
        """
        possible = [start for shift in self._steps.shifts if (start := stated - shift) <= now]
        return max(possible, default=now)
