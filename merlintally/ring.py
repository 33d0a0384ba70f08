"""Sums and samples over a sliding window, kept in a ring of buckets of equal length."""

from __future__ import annotations


class Ring:
    """Sums over the last `bucket_count` buckets of `bucket_s` seconds.

    >>> ring = Ring(0.5, 4)
    >>> ring.add(0.1, 2.0)
    >>> ring.add(0.6, 1.0)
    >>> ring.total(0.7), ring.total(2.2), ring.total(9.0)
    (3.0, 1.0, 0.0)
    """

    __slots__ = ("bucket_s", "bucket_count", "sums", "latest")

    def __init__(self, bucket_s: float, bucket_count: int) -> None:
        self.bucket_s, self.bucket_count = bucket_s, bucket_count
        self.sums = [0.0] * bucket_count
        self.latest = -1  # number of the latest bucket, counted from time 0

    def _advance(self, now: float) -> int:
        """Clear the buckets that are out of the window and return the index of the current one."""
        current = int(now / self.bucket_s)
        if current > self.latest:
            for expired in range(max(self.latest + 1, current - self.bucket_count + 1), current + 1):
                self.sums[expired % self.bucket_count] = 0.0
            self.latest = current
        return current % self.bucket_count

    def add(self, now: float, amount: float) -> None:
        self.sums[self._advance(now)] += amount

    def total(self, now: float) -> float:
        self._advance(now)
        return sum(self.sums)

    def rate(self, now: float) -> float:
        """The sum per second of the window, of whose latest bucket only the time passed counts."""
        covered = (self.bucket_count - 1) * self.bucket_s + now % self.bucket_s
        return self.total(now) / covered


class SampleRing:
    """The samples of the last `bucket_count` buckets of `bucket_s` seconds.

    >>> ring = SampleRing(1.0, 2)
    >>> ring.add(0.5, 4.0)
    >>> ring.add(1.5, 2.0)
    >>> ring.values(1.6), ring.values(2.1)
    ([4.0, 2.0], [2.0])
    """

    __slots__ = ("bucket_s", "bucket_count", "buckets", "latest")

    def __init__(self, bucket_s: float, bucket_count: int) -> None:
        self.bucket_s, self.bucket_count = bucket_s, bucket_count
        self.buckets: list[list[float]] = [[] for _ in range(bucket_count)]
        self.latest = -1  # number of the latest bucket, counted from time 0

    def _advance(self, now: float) -> int:
        """Clear the buckets that are out of the window and return the number of the current one."""
        current = int(now / self.bucket_s)
        if current > self.latest:
            for expired in range(max(self.latest + 1, current - self.bucket_count + 1), current + 1):
                self.buckets[expired % self.bucket_count].clear()
            self.latest = current
        return current

    def add(self, now: float, value: float) -> None:
        self.buckets[self._advance(now) % self.bucket_count].append(value)

    def values(self, now: float) -> list[float]:
        """The samples in the window, from the oldest bucket to the latest."""
        current = self._advance(now)
        return [
            value
            for age in range(self.bucket_count - 1, -1, -1)
            for value in self.buckets[(current - age) % self.bucket_count]
        ]
