"""When app servers started, by a clock that nobody sets (I/O-free).

Discovery states a start as Unix time. The wall clock that it was read from may have been stepped since, by
seconds or by an hour, so that a server which started just now would look warm, or never become it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import replace

from merlintally.net.configuration import Listed

MOST_STEPS = 16  # of the wall clock that are remembered
LEAST_STEP_S = 0.01  # less is no step, but the time between two looks


class WallSteps:
    """By how much the wall clock has been ahead of the node's clock, in seconds: as it is now, and before."""

    def __init__(self) -> None:
        self.shifts: deque[float] = deque([0.0], maxlen=MOST_STEPS)

    @property
    def shift(self) -> float:
        """The present one."""
        return self.shifts[-1]

    def look(self, wall: float, now: float) -> float:
        """Compare the wall clock with the node's clock; gives the step since the last look, 0 for none."""
        step = wall - now - self.shift
        if abs(step) < LEAST_STEP_S:
            return 0.0
        self.shifts.append(wall - now)
        return step


class StartTimes:
    """The starts of listed app servers, by the node's clock; each is worked out when it is first told."""

    def __init__(self, steps: WallSteps) -> None:
        self._steps = steps
        self._known: dict[str, tuple[float, float]] = {}  # stated, and by the node's clock

    def listed(self, now: float, entries: Iterable[Listed], complete: bool) -> list[Listed]:
        """The same entries, their starts by the node's clock; `complete`: they are the whole list."""
        found = [self._by_clock(now, entry) for entry in entries]
        if complete:
            named = {entry.facts.server for entry in found}
            self._known = {name: start for name, start in self._known.items() if name in named}
        return found

    def _by_clock(self, now: float, entry: Listed) -> Listed:
        server, stated = entry.facts.server, entry.facts.started
        if stated <= 0 or entry.facts.presence == "gone":  # long ago, or of no matter any more
            self._known.pop(server, None)
            return entry
        known = self._known.get(server)
        if known is None or known[0] != stated:
            known = self._known[server] = (stated, self.start_of(stated, now))
        return Listed(replace(entry.facts, started=known[1]), entry.address)

    def start_of(self, stated: float, now: float) -> float:
        """The latest moment, not after `now`, that a stated start can mean by any reading of the wall clock
        so far; `now` where all lie ahead. A server is rather held for colder than it is."""
        possible = [start for shift in self._steps.shifts if (start := stated - shift) <= now]
        return max(possible, default=now)
