"""The earliest moment at which bytes that are read from a connection can have come (I/O-free).

A request's time counts from its last byte, which may have waited in the system's buffer: behind a backlog of
new connections, a busy loop, or a pause in which the node read nothing. It can't have come before the buffer
was last seen empty.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MOST_SEGMENTS = 64  # kept for one connection; beyond it neighbours are joined, with the earlier moment


@dataclass(slots=True)
class Segment:
    """Bytes that were read at once."""

    length: int
    earliest: float


class Arrivals:
    """For the bytes of one connection that are read and not yet used. Times are seconds of one clock."""

    def __init__(self, seen_empty_at: float) -> None:
        self.seen_empty_at = seen_empty_at
        self._segments: deque[Segment] = deque()

    def seen_empty(self, at: float) -> None:
        """Nothing was left to read at `at`."""
        self.seen_empty_at = max(self.seen_empty_at, at)

    def add(self, length: int) -> None:
        """Bytes were read; they came after the connection was last seen empty."""
        last = self._segments[-1] if self._segments else None
        if last and (last.earliest == self.seen_empty_at or len(self._segments) >= MOST_SEGMENTS):
            last.length += length
        else:
            self._segments.append(Segment(length, self.seen_empty_at))

    def use(self, length: int) -> float:
        """Take bytes from the front; gives the earliest moment at which the last of them can have come."""
        earliest = self.seen_empty_at
        while length > 0 and self._segments:
            first = self._segments[0]
            earliest = first.earliest
            used = min(length, first.length)
            first.length -= used
            length -= used
            if not first.length:
                self._segments.popleft()
        return earliest

    def clear(self) -> None:
        """What was read is thrown away."""
        self._segments.clear()
