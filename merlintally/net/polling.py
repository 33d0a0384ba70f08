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
        self._polled_at = time.monotonic()
        self._asked_at: dict[int, float] = {}  # since when each descriptor is part of the polls

    def register(self, fileobj: FileDescriptorLike, events: int, data: Any = None) -> selectors.SelectorKey:
        key = super().register(fileobj, events, data)
        self._asked_at[key.fd] = time.monotonic()
        return key

    def modify(self, fileobj: FileDescriptorLike, events: int, data: Any = None) -> selectors.SelectorKey:
        key = super().modify(fileobj, events, data)
        self._asked_at[key.fd] = time.monotonic()
        return key

    def unregister(self, fileobj: FileDescriptorLike) -> selectors.SelectorKey:
        key = super().unregister(fileobj)
        self._asked_at.pop(key.fd, None)
        return key

    def select(self, timeout: float | None = None) -> ReadyList:
        """What is ready. Looks once without waiting: what is ready then may have come since the last poll,
        and what ends a wait came at its end."""
        since, polled_at = self._polled_at, time.monotonic()
        ready = super().select(0)
        if not ready and (timeout is None or timeout > 0):
            ready = super().select(timeout)
            since = polled_at = time.monotonic()
        for key, events in ready:
            if events & selectors.EVENT_READ:
                known = self._asked_at.get(key.fd, since) < since
                self._ready_times.report(key.fd, since if known else UNKNOWN)
        self._polled_at = polled_at
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
