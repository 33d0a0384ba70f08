"""The one queue of events that orders all that happens in the world."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

Call = Callable[..., object]


class Agenda:
    """Calls at their times; those of one moment in the order in which they were put in.

    Nothing is taken out again: what is no longer wanted sees that for itself. Times are seconds of the
    world's clock.

    >>> agenda, seen = Agenda(), []
    >>> agenda.at(2.0, seen.append, "b")
    >>> agenda.at(1.0, seen.append, "a")
    >>> agenda.at(2.0, seen.append, "c")
    >>> agenda.run(3.0), seen, agenda.now
    (3, ['a', 'b', 'c'], 3.0)
    """

    __slots__ = ("now", "heap", "serial")

    def __init__(self, now: float = 0.0) -> None:
        self.now, self.serial = now, 0
        self.heap: list[tuple[float, int, Call, tuple[Any, ...]]] = []

    def at(self, when: float, call: Call, *args: Any) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (when if when > self.now else self.now, self.serial, call, args))

    def after(self, delay: float, call: Call, *args: Any) -> None:
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> int:
        """Make the calls that are due by `until`; gives how many there were."""
        heap, pop, count = self.heap, heapq.heappop, 0
        while heap and heap[0][0] <= until:
            self.now, _, call, args = pop(heap)
            call(*args)
            count += 1
        self.now = max(self.now, until)
        return count

    def next_at(self) -> float | None:
        return self.heap[0][0] if self.heap else None


def chance(seed: int, name: str) -> random.Random:
    """A stream of chance of its own for each part of the world, alike in every process.

    >>> chance(1, "servers").random() == chance(1, "servers").random() != chance(1, "front").random()
    True
    """
    return random.Random(int.from_bytes(blake2b(f"{seed}/{name}".encode(), digest_size=8).digest(), "big"))
