"""Placement of shards on nodes: rendezvous hashing over the members, spread over zones."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b

SHARD_COUNT = 64


@lru_cache(maxsize=200_000)
def shard_of(kind: str, key: str) -> int:
    """The shard of a row's kind and key.

    >>> 0 <= shard_of("use", "00000000b4d65521") < SHARD_COUNT
    True
    """
    return int.from_bytes(blake2b(f"{kind} {key}".encode(), digest_size=4).digest(), "big") % SHARD_COUNT


@lru_cache(maxsize=100_000)
def weight(shard: int, node: str) -> int:
    """The rendezvous weight of a node for a shard; the nodes of the largest weights hold it."""
    return int.from_bytes(blake2b(f"{shard} {node}".encode(), digest_size=8).digest(), "big")


def holders_of(
    shard: int, nodes: Iterable[str], count: int, zones: Mapping[str, str] | None = None
) -> list[str]:
    """The `count` nodes that hold a shard by weight, or all nodes if there are fewer.

    With `zones` (node -> zone) no zone gets a second replica while another has none. If a node leaves, only
    shards that it held move.

    >>> len(set(holders_of(3, "abcd", 2)) & set(holders_of(3, "abcde", 2))) >= 1
    True
    >>> sorted(holders_of(3, ["a", "b", "c"], 2, {"a": "x", "b": "x", "c": "y"}))[-1]
    'c'
    """
    ranked = sorted(nodes, key=lambda node: weight(shard, node), reverse=True)
    if not zones:
        return ranked[:count]
    holders: list[str] = []
    remaining = ranked
    while remaining and len(holders) < count:
        used_zones: set[str] = set()
        skipped: list[str] = []
        for node in remaining:
            if zones.get(node, "") in used_zones or len(holders) >= count:
                skipped.append(node)
            else:
                used_zones.add(zones.get(node, ""))
                holders.append(node)
        remaining = skipped
    return holders
