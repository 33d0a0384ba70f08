"""The event queue of a simulated world, and its streams of random numbers."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

Call = Callable[..., object]


class Agenda:
    """Queue of scheduled calls, ordered by time, and by order of scheduling at the same time.

    A scheduled call can't be cancelled: the callee checks whether it still applies. Times are seconds of the
    world's clock.

    >>> agenda, seen = Agenda(), []
    >>> agenda.at(2.0, seen.append, "b")
    >>> agenda.at(1.0, seen.append, "a")
    >>> agenda.at(2.0, seen.append, "c")
    >>> agenda.run(3.0), seen, agenda.now
    (3, ['a', 'b', 'c'], 3.0)
    """

    __slots__ = ("now", "heap", "sequence")

    def __init__(self, now: float = 0.0) -> None:
        self.now, self.sequence = now, 0
        self.heap: list[tuple[float, int, Call, tuple[Any, ...]]] = []

    def at(self, when: float, call: Call, *args: Any) -> None:
        """Schedule a call at `when`, or now if that is past."""
        self.sequence += 1
        heapq.heappush(self.heap, (when if when > self.now else self.now, self.sequence, call, args))

    def after(self, delay: float, call: Call, *args: Any) -> None:
        """Schedule a call in `delay` seconds."""
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> int:
        """Make the calls due by `until`, advance the clock to it and return the number of calls."""
        heap, pop, count = self.heap, heapq.heappop, 0
        while heap and heap[0][0] <= until:
            self.now, _, call, args = pop(heap)
            call(*args)
            count += 1
        self.now = max(self.now, until)
        return count

    def next_at(self) -> float | None:
        """Time of the next call, if there is one."""
        return self.heap[0][0] if self.heap else None


def random_stream(seed: int, name: str) -> random.Random:
    """A random generator for one part of the world, which depends only on the seed and the name.

    >>> first, second = random_stream(1, "servers"), random_stream(1, "servers")
    >>> first.random() == second.random() != random_stream(1, "front").random()
    True
    """
    return random.Random(int.from_bytes(blake2b(f"{seed}/{name}".encode(), digest_size=8).digest(), "big"))
