"""Lower bounds on when the bytes read from a connection arrived (I/O-free).

A request's deadline counts from the arrival of its last byte, which may have waited in the receive buffer:
while the connection was in the listener's backlog, the event loop was busy, or the node had paused reading.
It cannot have arrived before the buffer was last seen empty.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_SEGMENTS = 64  # per connection; further ones are merged into the last, which keeps its earlier time


@dataclass(slots=True)
class Segment:
    """Bytes with the same earliest arrival time."""

    length: int
    earliest_arrival: float


class Arrivals:
    """Tracks the bytes of one connection that were read and not consumed. Times are seconds of one clock."""

    def __init__(self, last_empty_at: float) -> None:
        self.last_empty_at = last_empty_at
        self._segments: deque[Segment] = deque()

    def mark_empty(self, at: float) -> None:
        """Record that the receive buffer was empty at `at`."""
        self.last_empty_at = max(self.last_empty_at, at)

    def add(self, length: int) -> None:
        """Record bytes that were read."""
        last = self._segments[-1] if self._segments else None
        if last and (last.earliest_arrival == self.last_empty_at or len(self._segments) >= MAX_SEGMENTS):
            last.length += length
        else:
            self._segments.append(Segment(length, self.last_empty_at))

    def consume(self, length: int) -> float:
        """Consume bytes from the front; returns the earliest possible arrival time of the last of them."""
        earliest = self.last_empty_at
        while length > 0 and self._segments:
            first = self._segments[0]
            earliest = first.earliest_arrival
            consumed = min(length, first.length)
            first.length -= consumed
            length -= consumed
            if not first.length:
                self._segments.popleft()
        return earliest

    def clear(self) -> None:
        """Forget all bytes that were not consumed."""
        self._segments.clear()
