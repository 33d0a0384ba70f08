"""Bounds on when a socket became readable, from the polls of the event loop.

A busy loop reads a socket some time after bytes arrived. A socket that a poll did not report was empty at the
time of that poll; `ObservedLoop` keeps this time with each report of a readable socket.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from _typeshed import FileDescriptorLike

UNKNOWN = float("-inf")
BLOCKING_POLL_S = 0.001  # a poll that takes longer has blocked until a socket became ready
ReadyList = list[tuple[selectors.SelectorKey, int]]


class ReadyTimes:
    """The earliest time at which each file descriptor last reported by a poll can have become readable."""

    def __init__(self, observed: bool = True) -> None:
        self.observed = observed
        self._since: dict[int, float] = {}

    def report(self, descriptor: int, since: float) -> None:
        """Records that a poll reports `descriptor` as readable, which it was not at `since` (monotonic
        seconds)."""
        self._since[descriptor] = since

    def since(self, descriptor: int) -> float:
        """The time in monotonic seconds; `UNKNOWN` if no poll has seen the descriptor empty since it was
        registered, and the present if the running loop is not observed."""
        return self._since.get(descriptor, UNKNOWN) if self.observed else time.monotonic()


class ObservedSelector(selectors.DefaultSelector):
    """The system's default selector; records the results of polls in a `ReadyTimes`."""

    def __init__(self, ready_times: ReadyTimes) -> None:
        super().__init__()
        self._ready_times = ready_times
        self._polls, self._polled_at = 0, time.monotonic()
        self._registered_at_poll: dict[int, int] = {}  # descriptor -> number of polls before

    def register(self, fileobj: FileDescriptorLike, events: int, data: Any = None) -> selectors.SelectorKey:
        key = super().register(fileobj, events, data)
        self._registered_at_poll[key.fd] = self._polls
        return key

    def modify(self, fileobj: FileDescriptorLike, events: int, data: Any = None) -> selectors.SelectorKey:
        key = super().modify(fileobj, events, data)
        self._registered_at_poll[key.fd] = self._polls
        return key

    def select(self, timeout: float | None = None) -> ReadyList:
        """Polls, and records since when the readable descriptors can have been so: since the end of this poll
        if it blocked, otherwise since the previous poll if that included the descriptor."""
        started_at, previous_poll_at = time.monotonic(), self._polled_at
        ready = super().select(timeout)
        ended_at = time.monotonic()
        blocked = ended_at - started_at > BLOCKING_POLL_S
        for key, events in ready:
            if events & selectors.EVENT_READ:
                included = self._registered_at_poll.get(key.fd, self._polls) < self._polls
                since = ended_at if blocked else previous_poll_at if included else UNKNOWN
                self._ready_times.report(key.fd, since)
        self._polls += 1
        self._polled_at = ended_at if blocked else started_at
        return ready


class ObservedLoop(asyncio.SelectorEventLoop):
    """An event loop with an `ObservedSelector`; `ready_times` has its results."""

    def __init__(self) -> None:
        self.ready_times = ReadyTimes()
        super().__init__(ObservedSelector(self.ready_times))


def ready_times() -> ReadyTimes:
    """The `ReadyTimes` of the running loop. If there is none, or it is not an `ObservedLoop`, descriptors
    count as readable since the present."""
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return ReadyTimes(observed=False)
    return loop.ready_times if isinstance(loop, ObservedLoop) else ReadyTimes(observed=False)
