"""Rows of state that only their owner changes, merged in any order and any number of times.

A row belongs to a node and one start of it. Its owner raises the row's version with every change, so of two
copies the higher version holds: the merge is commutative, associative, idempotent and never goes back. Two
copies of one version that differ are a fault of ours or of a disk: the narrower one is acted on, both are
kept aside with where they came from, and the row's shard has to be fetched anew.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import NamedTuple
from zlib import crc32

from merlintally.cluster.copies.holders import shard_of

USE = "use"  # kinds of rows
SERVER = "server"
OUT = "out"
MARK = "mark"
WIDTHS = {USE: 1, SERVER: 4, OUT: 1, MARK: 1}  # figures of a row
MOST_KEY = 200
MOST_FIGURE = 1e12
BUCKETS = 16  # of a shard, whose digests tell where two copies of it differ

MISTAKES = (  # planted by name, in tests only
    "a merge that adds",
    "a start is forgotten",
    "an older version taken",
    "differing copies spread",
    "an older folder is trusted",
    "caught up at the first answer",
    "a shard moves before it is held",
    "a row without a check",
    "a sum counts one's own draws",
    "a forgotten row comes back",
)


class Row(NamedTuple):
    """`kind` and `key` (a customer and its epoch, an app server, a submission, a counter), whose it is, and
    `figures`: units drawn; started, cold work spent, answer time, share of failures; seconds left; an
    epoch."""

    kind: str
    key: str
    node: str
    start: int
    version: int
    figures: tuple[float, ...]

    @property
    def name(self) -> tuple[str, str, str, int]:
        return self.kind, self.key, self.node, self.start

    def wrong(self) -> str:
        """Why it can't be, or ""."""
        if self.kind not in WIDTHS:
            return f"a row of an unknown kind {self.kind!r:.20}"
        if not self.key or not self.node or len(self.key) > MOST_KEY or len(self.node) > MOST_KEY:
            return "a key or a node that is empty or too long"
        if self.version < 1 or self.start < 1 or len(self.figures) != WIDTHS[self.kind]:
            return f"{self.key:.40}: a version, start or number of figures that can't be"
        if not all(math.isfinite(one) and 0 <= one <= MOST_FIGURE for one in self.figures):
            return f"{self.key:.40}: a figure that is negative, not finite or too large"
        return ""

    @property
    def bucket(self) -> int:
        return crc32(repr(self.name).encode()) % BUCKETS

    def digest(self) -> int:
        """Sums of digests tell whether two sets of rows are the same, whatever their order."""
        return int.from_bytes(blake2b(repr(tuple(self)).encode(), digest_size=8).digest(), "big")


class Store:
    """All rows that a node holds, by shard. `quarantine` has the copies that nobody acts on, with their
    origin."""

    def __init__(self, mistakes: frozenset[str] = frozenset()) -> None:
        self.rows: dict[int, dict[tuple[str, str, str, int], Row]] = {}
        # the same rows by kind and key
        self.keys: dict[tuple[str, str], dict[tuple[str, str, str, int], Row]] = {}
        self.digests: dict[int, list[int]] = {}  # by shard and bucket of it
        self.quarantine: list[tuple[str, Row]] = []
        self.suspect: set[int] = set()  # shards in which copies differed
        self.refused = 0
        self.mistakes = mistakes

    def get(self, kind: str, key: str, node: str, start: int) -> Row | None:
        return self.rows.get(shard_of(kind, key), {}).get((kind, key, node, start))

    def merge(self, rows: Iterable[Row], origin: str) -> list[Row]:
        """Take what is newer; gives what was taken. Any row that can't be has all of them refused."""
        rows = list(rows)
        if "a row without a check" not in self.mistakes and any(one.wrong() for one in rows):
            self.refused += 1
            return []
        return [one for one in rows if self._take(one, origin)]

    def _take(self, row: Row, origin: str) -> bool:
        if "a start is forgotten" in self.mistakes:
            row = row._replace(start=1)
        shard = shard_of(row.kind, row.key)
        held = self.rows.setdefault(shard, {})
        had = held.get(row.name)
        if had == row:
            return False
        if had is not None and "a merge that adds" in self.mistakes and row.kind == USE:
            row = row._replace(
                version=max(had.version, row.version),
                figures=tuple(a + b for a, b in zip(had.figures, row.figures, strict=True)),
            )
        elif had is not None and had.version == row.version:
            self.quarantine = [*self.quarantine, (origin, row), ("here", had)][-1000:]
            self.suspect.add(shard)
            narrow = narrower(had, row)
            if narrow == had and "differing copies spread" not in self.mistakes:
                return False
            row = narrow if "differing copies spread" not in self.mistakes else row
        elif had is not None and had.version > row.version and "an older version taken" not in self.mistakes:
            return False
        self._put(shard, held, had, row)
        return True

    def _put(self, shard: int, held: dict[tuple[str, str, str, int], Row], had: Row | None, row: Row) -> None:
        buckets = self.digests.setdefault(shard, [0] * BUCKETS)
        buckets[row.bucket] ^= row.digest() ^ (had.digest() if had is not None else 0)
        held[row.name] = row
        self.keys.setdefault((row.kind, row.key), {})[row.name] = row

    def forget(self, name: tuple[str, str, str, int]) -> None:
        """Drop one row."""
        shard = shard_of(*name[:2])
        row = self.rows.get(shard, {}).pop(name, None)
        if row is not None:
            self.digests[shard][row.bucket] ^= row.digest()
            self._unkey(row)

    def _unkey(self, row: Row) -> None:
        rows = self.keys[row.kind, row.key]
        del rows[row.name]
        if not rows:
            del self.keys[row.kind, row.key]

    def drop(self, shard: int) -> None:
        """Forget a shard: it is held elsewhere now, or is fetched anew."""
        for row in self.rows.pop(shard, {}).values():
            self._unkey(row)
        self.digests.pop(shard, None)
        self.suspect.discard(shard)

    def digest(self, shard: int) -> int:
        found = 0
        for one in self.digests.get(shard, ()):
            found ^= one
        return found

    def buckets(self, shard: int) -> list[int]:
        return list(self.digests.get(shard, [0] * BUCKETS))

    def shard(self, shard: int) -> Iterator[Row]:
        return iter(self.rows.get(shard, {}).values())

    def of(self, kind: str, key: str) -> list[Row]:
        """All owners' rows of one key."""
        return list(self.keys.get((kind, key), {}).values())

    def used(self, customer: str) -> float:
        """Units that all nodes and starts together drew, of one customer and epoch."""
        return sum(row.figures[0] for row in self.of(USE, customer))

    def __len__(self) -> int:
        return sum(map(len, self.rows.values()))


def narrower(one: Row, other: Row) -> Row:
    """The copy that is the more careful one to act on: more units drawn, a later start with more cold work
    spent, slower and failing more, longer out, a later epoch. Every figure of every kind is careful when
    larger.

    >>> a = Row(USE, "c", "n", 1, 3, (4.0,))
    >>> narrower(a, a._replace(figures=(5.0,))).figures
    (5.0,)
    """
    return max(one, other, key=lambda row: row.figures)
