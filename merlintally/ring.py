"""Measures over time, kept in fixed buckets that are used again in a ring."""

from __future__ import annotations


class Ring:
    """Sums over the last `count` buckets of `width` seconds.

    >>> ring = Ring(0.5, 4)
    >>> ring.add(0.1, 2.0)
    >>> ring.add(0.6, 1.0)
    >>> ring.total(0.7), ring.total(2.2), ring.total(9.0)
    (3.0, 1.0, 0.0)
    """

    __slots__ = ("width", "count", "sums", "turn")

    def __init__(self, width: float, count: int) -> None:
        self.width, self.count = width, count
        self.sums = [0.0] * count
        self.turn = -1

    def _advance(self, now: float) -> int:
        turn = int(now / self.width)
        if turn > self.turn:
            for stale in range(max(self.turn + 1, turn - self.count + 1), turn + 1):
                self.sums[stale % self.count] = 0.0
            self.turn = turn
        return turn % self.count

    def add(self, now: float, amount: float) -> None:
        self.sums[self._advance(now)] += amount

    def total(self, now: float) -> float:
        self._advance(now)
        return sum(self.sums)

    def rate(self, now: float) -> float:
        """The sum for each second covered; the open bucket counts for what has passed of it."""
        covered = (self.count - 1) * self.width + now % self.width
        return self.total(now) / covered


class SampleRing:
    """The samples of the last `count` buckets of `width` seconds.

    >>> ring = SampleRing(1.0, 2)
    >>> ring.add(0.5, 4.0)
    >>> ring.add(1.5, 2.0)
    >>> ring.values(1.6), ring.values(2.1)
    ([4.0, 2.0], [2.0])
    """

    __slots__ = ("width", "count", "buckets", "turn")

    def __init__(self, width: float, count: int) -> None:
        self.width, self.count = width, count
        self.buckets: list[list[float]] = [[] for _ in range(count)]
        self.turn = -1

    def _advance(self, now: float) -> int:
        turn = int(now / self.width)
        if turn > self.turn:
            for stale in range(max(self.turn + 1, turn - self.count + 1), turn + 1):
                self.buckets[stale % self.count].clear()
            self.turn = turn
        return turn

    def add(self, now: float, value: float) -> None:
        self.buckets[self._advance(now) % self.count].append(value)

    def values(self, now: float) -> list[float]:
        turn = self._advance(now)
        return [v for back in range(self.count - 1, -1, -1) for v in self.buckets[(turn - back) % self.count]]
