"""When the event loop learned that a socket has something to read.

A busy loop reads a socket some time after bytes came to it. How long they can have waited follows from the
polls: a socket that a poll did not report was empty then. `ObservedLoop` keeps that moment for each report.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from _typeshed import FileDescriptorLike

UNKNOWN = float("-inf")
WAITED_S = 0.001  # from which a poll has waited, rather than looked
ReadyList = list[tuple[selectors.SelectorKey, int]]


class ReadyTimes:
    """For each file descriptor: the earliest moment at which what a poll last reported can have come."""

    def __init__(self, observed: bool = True) -> None:
        self.observed = observed
        self._since: dict[int, float] = {}

    def report(self, descriptor: int, since: float) -> None:
        """A poll reports `descriptor` as readable; at `since` (monotonic seconds) it was not."""
        self._since[descriptor] = since

    def since(self, descriptor: int) -> float:
        """Monotonic seconds; `UNKNOWN` where no poll has seen it empty since it was last asked about, and the
        present where the running loop is not observed."""
        return self._since.get(descriptor, UNKNOWN) if self.observed else time.monotonic()


class ObservedSelector(selectors.DefaultSelector):
    """The system's selector, telling `ReadyTimes` of what it reports."""

    def __init__(self, ready_times: ReadyTimes) -> None:
        super().__init__()
        self._ready_times = ready_times
        self._polls, self._polled_at = 0, time.monotonic()
        self._asked_at: dict[int, int] = {}  # polls made before each descriptor became part of them

    def register(self, fileobj: FileDescriptorLike, events: int, data: Any = None) -> selectors.SelectorKey:
        key = super().register(fileobj, events, data)
        self._asked_at[key.fd] = self._polls
        return key

    def modify(self, fileobj: FileDescriptorLike, events: int, data: Any = None) -> selectors.SelectorKey:
        key = super().modify(fileobj, events, data)
        self._asked_at[key.fd] = self._polls
        return key

    def select(self, timeout: float | None = None) -> ReadyList:
        """What is ready. Where the poll waited, it was not ready before its end; else it may have come since
        the poll before, if it was part of that."""
        began_at, before = time.monotonic(), self._polled_at
        ready = super().select(timeout)
        ended_at = time.monotonic()
        waited = ended_at - began_at > WAITED_S
        for key, events in ready:
            if events & selectors.EVENT_READ:
                known = self._asked_at.get(key.fd, self._polls) < self._polls
                since = ended_at if waited else before if known else UNKNOWN
                self._ready_times.report(key.fd, since)
        self._polls += 1
        self._polled_at = ended_at if waited else began_at
        return ready


class ObservedLoop(asyncio.SelectorEventLoop):
    """An event loop that knows since when its sockets can have been readable."""

    def __init__(self) -> None:
        self.ready_times = ReadyTimes()
        super().__init__(ObservedSelector(self.ready_times))


def ready_times() -> ReadyTimes:
    """Those of the running loop; where it is not observed, or none runs, what is read counts as just come."""
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return ReadyTimes(observed=False)
    return loop.ready_times if isinstance(loop, ObservedLoop) else ReadyTimes(observed=False)
