"""The node's clock, and the one place that keeps its timers."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Any

import anyio

from merlintally.net.log import Log
from merlintally.net.start_times import WallSteps

LOOK_S = 0.005  # between two clocks that are read at once


class Clock:
    """Unix time as it was when the clock was made, and real seconds since. Guards against deadlines, windows
    and graces that shrink or stretch, and wake-ups that are missed, where the wall clock is stepped."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()
        self.wall = WallSteps()

    def now(self) -> float:
        """Seconds; never runs backwards."""
        return time.monotonic() + self.offset

    def look_at_wall(self) -> float:
        """Whether the wall clock was stepped since the last look: by how many seconds, 0 for not at all. A
        look in which the process was held up tells nothing."""
        before, wall, after = self.now(), time.time(), self.now()
        return self.wall.look(wall, after) if after - before < LOOK_S else 0.0


class Timers:
    """Hands calls to the queue at their times. None is taken back: what is no longer wanted is ignored."""

    def __init__(self, clock: Clock, enqueue: Callable[..., Any], log: Log, late: float) -> None:
        self.clock, self.enqueue, self.log, self.late = clock, enqueue, log, late
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number, self.sleeping = 0, anyio.CancelScope()

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.due, (when, self.number, call, args))
        if self.due[0][1] == self.number:
            self.sleeping.cancel()

    async def run(self) -> None:
        while True:
            with anyio.CancelScope() as self.sleeping:
                if self.due:
                    await anyio.sleep(max(0.0, self.due[0][0] - self.clock.now()))
                else:
                    await anyio.sleep_forever()
            now = self.clock.now()
            if self.due and now - self.due[0][0] > self.late:
                late = now - self.due[0][0]
                self.log.say(f"the loop runs {late:.3f} s late", "loop.late", late_s=round(late, 3))
            while self.due and self.due[0][0] <= now:
                _, _, call, args = heapq.heappop(self.due)
                await self.enqueue(call, *args)
