"""Which nodes hold which shard: rendezvous hashing over the members, one zone after another."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b

SHARDS = 64


@lru_cache(maxsize=200_000)
def shard_of(kind: str, key: str) -> int:
    """
    >>> 0 <= shard_of("use", "00000000b4d65521") < SHARDS
    True
    """
    return int.from_bytes(blake2b(f"{kind} {key}".encode(), digest_size=4).digest(), "big") % SHARDS


@lru_cache(maxsize=100_000)
def weight(shard: int, node: str) -> int:
    return int.from_bytes(blake2b(f"{shard} {node}".encode(), digest_size=8).digest(), "big")


def holders_of(
    shard: int, nodes: Iterable[str], count: int, zones: Mapping[str, str] | None = None
) -> list[str]:
    """`count` of the nodes by weight, or all if there are fewer; where zones are known, no zone twice while
    another has none. A node that goes moves its own shards alone.

    >>> len(set(holders_of(3, "abcd", 2)) & set(holders_of(3, "abcde", 2))) >= 1
    True
    >>> sorted(holders_of(3, ["a", "b", "c"], 2, {"a": "x", "b": "x", "c": "y"}))[-1]
    'c'
    """
    ranked = sorted(nodes, key=lambda node: weight(shard, node), reverse=True)
    if not zones:
        return ranked[:count]
    found: list[str] = []
    left = ranked
    while left and len(found) < count:
        taken: set[str] = set()
        rest: list[str] = []
        for node in left:
            if zones.get(node, "") in taken or len(found) >= count:
                rest.append(node)
            else:
                taken.add(zones.get(node, ""))
                found.append(node)
        left = rest
    return found
