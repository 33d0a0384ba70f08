"""The node's clock and timers."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Any

import anyio

from merlintally.net.log import Log
from merlintally.net.start_times import WallSteps

MIN_CANCELLED = 64  # timers, before the cancelled ones are removed
MAX_READ_S = 0.005  # for reading both clocks; beyond it the comparison is discarded


class Clock:
    """A monotonic clock that begins at the Unix time of its creation.

    Deadlines, windows and timers that use it are not affected when the wall clock is stepped.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()
        self.wall = WallSteps()

    def now(self) -> float:
        """The time in seconds, which never decreases."""
        return time.monotonic() + self.offset

    def wall_clock_step(self) -> float:
        """The step of the wall clock since the last call, in seconds; 0 if there was none.

        Also 0 if the process was suspended between reading the two clocks, so that they can't be compared.
        """
        before, wall, after = self.now(), time.time(), self.now()
        return self.wall.observe(wall, after) if after - before < MAX_READ_S else 0.0


class Timer:
    """One call that is due at a time; a cancelled one refers to nothing."""

    __slots__ = ("call", "args")

    def __init__(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., None] | None = call
        self.args = args


class Timers:
    """Enqueues calls for the dispatcher at given times.

    Cancelling a timer releases what its call refers to at once. A call may be in the queue already by then,
    so calls check by themselves whether they are still needed. A delay of more than `late_limit_s` is logged.
    """

    def __init__(self, clock: Clock, enqueue: Callable[..., Any], log: Log, late_s: float) -> None:
        self.clock, self.enqueue, self.log, self.late_limit_s = clock, enqueue, log, late_s
        self.due: list[tuple[float, int, Timer]] = []  # a heap by time; cancelled timers among them
        self.last_number, self.sleep_scope = 0, anyio.CancelScope()
        self._cancelled = 0  # of those in `due`

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> Timer:
        """Schedules `call(*args)` for `when`, in seconds of the node's clock."""
        timer = Timer(call, args)
        self.last_number += 1
        heapq.heappush(self.due, (when, self.last_number, timer))
        if self.due[0][1] == self.last_number:
            self.sleep_scope.cancel()
        return timer

    def cancel(self, timer: Timer) -> None:
        """Takes a call back that is not due yet; does nothing if it was made or cancelled before."""
        if timer.call is None:
            return
        timer.call, timer.args = None, ()
        self._cancelled += 1
        if self._cancelled > max(MIN_CANCELLED, len(self.due) // 2):
            self.due = [row for row in self.due if row[2].call is not None]
            heapq.heapify(self.due)
            self._cancelled = 0

    async def run(self) -> None:
        """Enqueues due calls until cancelled."""
        while True:
            with anyio.CancelScope() as self.sleep_scope:
                if self.due:
                    await anyio.sleep(max(0.0, self.due[0][0] - self.clock.now()))
                else:
                    await anyio.sleep_forever()
            now = self.clock.now()
            if self.due and now - self.due[0][0] > self.late_limit_s:
                delay_s = now - self.due[0][0]
                self.log.say(f"the loop runs {delay_s:.3f} s late", "loop.late", late_s=round(delay_s, 3))
            while self.due and self.due[0][0] <= now:
                timer = heapq.heappop(self.due)[2]
                call, args = timer.call, timer.args
                if call is None:
                    self._cancelled -= 1
                    continue
                timer.call, timer.args = None, ()
                await self.enqueue(call, *args)
