"""Rows of replicated state, each changed by its owner only, merged in any order and any number of times.

A row belongs to one start of one node. The owner raises the version with every change, so the higher version
wins: the merge is commutative, associative and idempotent, and a row never goes back. Two replicas of one
version that differ are a conflict, caused by a software fault or a corrupt disk: the more restrictive one is
used, both are quarantined with their origin, and the shard has to be compared with other holders again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import NamedTuple
from zlib import crc32

from merlintally.cluster.copies.holders import shard_of

# Kinds of rows.
USE = "use"
SERVER = "server"
OUT = "out"
MARK = "mark"
FIGURES_PER_ROW = {USE: 1, SERVER: 4, OUT: 1, MARK: 1}
MAX_NAME_LENGTH = 200  # characters of a key or a node's name
MAX_VALUE = 1e12
BUCKETS = 16  # per shard; replicas of a shard are compared bucket by bucket

INJECTED_FAULTS = (  # faults that tests inject by name
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
    """A row; on the wire and on disk it is an array: the order of fields matters.

    `key` names what the row is about, `node` and `start` are its owner. `figures` depends on the kind:

    - "use": units drawn of the customer and epoch that the key names
    - "server": start, cold work spent, answer time and share of failures of an app server
    - "out": seconds left of a submission
    - "mark": epoch of a counter
    """

    kind: str
    key: str
    node: str
    start: int
    version: int
    figures: tuple[float, ...]

    @property
    def name(self) -> tuple[str, str, str, int]:
        """What identifies the row: all versions of it have the same name."""
        return self.kind, self.key, self.node, self.start

    def problem(self) -> str:
        """Why the row is invalid, or ""."""
        if self.kind not in FIGURES_PER_ROW:
            return f"unknown kind of row: {self.kind!r:.20}"
        if (
            not self.key
            or not self.node
            or len(self.key) > MAX_NAME_LENGTH
            or len(self.node) > MAX_NAME_LENGTH
        ):
            return "key or node is empty or too long"
        if self.version < 1 or self.start < 1 or len(self.figures) != FIGURES_PER_ROW[self.kind]:
            return f"{self.key:.40}: invalid version, start or number of values"
        if not all(math.isfinite(value) and 0 <= value <= MAX_VALUE for value in self.figures):
            return f"{self.key:.40}: a value is negative, not finite or too large"
        return ""

    @property
    def bucket(self) -> int:
        """The row's bucket within its shard."""
        return crc32(repr(self.name).encode()) % BUCKETS

    def digest(self) -> int:
        """A hash of the whole row. The XOR over a set of rows does not depend on their order."""
        return int.from_bytes(blake2b(repr(tuple(self)).encode(), digest_size=8).digest(), "big")


class Store:
    """All rows that a node holds, by shard.

    `quarantine` has the latest replicas that were in conflict, each with its origin; they are kept for
    inspection only. `refused` counts the messages with an invalid row.
    """

    def __init__(self, injected_faults: frozenset[str] = frozenset()) -> None:
        self.rows: dict[int, dict[tuple[str, str, str, int], Row]] = {}  # by shard and name
        self.rows_by_key: dict[tuple[str, str], dict[tuple[str, str, str, int], Row]] = {}  # by kind and key
        self.bucket_digests: dict[int, list[int]] = {}  # by shard
        self.quarantine: list[tuple[str, Row]] = []
        self.conflicting_shards: set[int] = set()
        self.refused = 0
        self.injected_faults = injected_faults

    def get(self, kind: str, key: str, node: str, start: int) -> Row | None:
        return self.rows.get(shard_of(kind, key), {}).get((kind, key, node, start))

    def merge(self, rows: Iterable[Row], origin: str) -> list[Row]:
        """Merge rows from `origin`; return those that changed the store. One invalid row refuses all."""
        rows = list(rows)
        if "a row without a check" not in self.injected_faults and any(row.problem() for row in rows):
            self.refused += 1
            return []
        return [row for row in rows if self._merge_row(row, origin)]

    def _merge_row(self, row: Row, origin: str) -> bool:
        """Merge one valid row; return whether it changed the store."""
        if "a start is forgotten" in self.injected_faults:
            row = row._replace(start=1)
        shard = shard_of(row.kind, row.key)
        held = self.rows.setdefault(shard, {})
        previous = held.get(row.name)
        if previous == row:
            return False
        if previous is not None and "a merge that adds" in self.injected_faults and row.kind == USE:
            row = row._replace(
                version=max(previous.version, row.version),
                figures=tuple(a + b for a, b in zip(previous.figures, row.figures, strict=True)),
            )
        elif previous is not None and previous.version == row.version:
            self.quarantine = [*self.quarantine, (origin, row), ("here", previous)][-1000:]
            self.conflicting_shards.add(shard)
            restrictive = more_restrictive(previous, row)
            if restrictive == previous and "differing copies spread" not in self.injected_faults:
                return False
            row = restrictive if "differing copies spread" not in self.injected_faults else row
        elif (
            previous is not None
            and previous.version > row.version
            and "an older version taken" not in self.injected_faults
        ):
            return False
        self._put(shard, held, previous, row)
        return True

    def _put(
        self, shard: int, held: dict[tuple[str, str, str, int], Row], previous: Row | None, row: Row
    ) -> None:
        digests = self.bucket_digests.setdefault(shard, [0] * BUCKETS)
        digests[row.bucket] ^= row.digest() ^ (previous.digest() if previous is not None else 0)
        held[row.name] = row
        self.rows_by_key.setdefault((row.kind, row.key), {})[row.name] = row

    def forget(self, name: tuple[str, str, str, int]) -> None:
        """Remove one row, if it is held."""
        shard = shard_of(*name[:2])
        row = self.rows.get(shard, {}).pop(name, None)
        if row is not None:
            self.bucket_digests[shard][row.bucket] ^= row.digest()
            self._remove_from_keys(row)

    def _remove_from_keys(self, row: Row) -> None:
        rows = self.rows_by_key[row.kind, row.key]
        del rows[row.name]
        if not rows:
            del self.rows_by_key[row.kind, row.key]

    def drop(self, shard: int) -> None:
        """Remove a shard that other nodes hold now."""
        for row in self.rows.pop(shard, {}).values():
            self._remove_from_keys(row)
        self.bucket_digests.pop(shard, None)
        self.conflicting_shards.discard(shard)

    def digest(self, shard: int) -> int:
        """The digest of a shard, equal to that of any replica with the same rows."""
        combined = 0
        for bucket_digest in self.bucket_digests.get(shard, ()):
            combined ^= bucket_digest
        return combined

    def buckets(self, shard: int) -> list[int]:
        """The digests of a shard's buckets."""
        return list(self.bucket_digests.get(shard, [0] * BUCKETS))

    def shard(self, shard: int) -> Iterator[Row]:
        """The rows of a shard."""
        return iter(self.rows.get(shard, {}).values())

    def of_key(self, kind: str, key: str) -> list[Row]:
        """All owners' rows of one key."""
        return list(self.rows_by_key.get((kind, key), {}).values())

    def used(self, customer: str) -> float:
        """Units that all nodes and starts together drew of a customer and epoch."""
        return sum(row.figures[0] for row in self.of_key(USE, customer))

    def __len__(self) -> int:
        return sum(map(len, self.rows.values()))


def more_restrictive(row: Row, other: Row) -> Row:
    """The row that leads to more cautious decisions: more units drawn, a later start with more cold work
    spent, slower and failing more often, longer out, a later epoch. For every kind, larger values do.

    >>> a = Row(USE, "c", "n", 1, 3, (4.0,))
    >>> more_restrictive(a, a._replace(figures=(5.0,))).figures
    (5.0,)
    """
    return max(row, other, key=lambda candidate: candidate.figures)
