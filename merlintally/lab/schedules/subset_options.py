"""Ways to choose subsets, side by side: how even they are, what a change moves, what they cost a node.

`python -m merlintally.lab.schedules.subset_options` prints a line for each way and size.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from random import Random

from merlintally.subsets import Descent, start_level

Shares = dict[str, float]  # by server, the part of it that a node uses: 1 but at the ends of an aperture
Way = Callable[[int, int, list[str], int], Shares]  # node, nodes, servers, size
SIZES = ((20, 600), (200, 2000), (670, 2000), (200, 9200), (670, 9200))
ZONES = 7
CHANGES = ("server comes", "server goes", "node comes", "node goes")


def random_subset(node: int, nodes: int, servers: list[str], size: int) -> Shares:
    """Drawn anew by each node, with its number as the seed."""
    return dict.fromkeys(Random(node).sample(servers, min(size, len(servers))), 1.0)


def rendezvous(node: int, nodes: int, servers: list[str], size: int) -> Shares:
    """The servers with the highest hashes of node and server."""
    prefix = node.to_bytes(4, "big")
    ranked = sorted(
        servers, key=lambda server: blake2b(prefix + server.encode(), digest_size=8).digest(), reverse=True
    )
    return dict.fromkeys(ranked[:size], 1.0)


def deterministic(node: int, nodes: int, servers: list[str], size: int) -> Shares:
    """Google's: nodes in rounds, each round shuffles the list by its number and deals it out."""
    count = max(1, len(servers) // size)
    dealt, at = list(servers), node % count
    Random(node // count).shuffle(dealt)
    return dict.fromkeys(dealt[at * size : (at + 1) * size], 1.0)


def aperture(node: int, nodes: int, servers: list[str], size: int) -> Shares:
    """Servers on a ring by their hash, evenly; each node has a slice that begins at its own place, and parts
    of the servers at both ends. The slice is a multiple of the distance between nodes."""
    ring = sorted(servers, key=lambda server: blake2b(server.encode(), digest_size=8).digest())
    each = len(ring) / nodes
    begin, end = node * each, (node + min(nodes, -(-size // each))) * each
    shares = Shares()
    at = int(begin)
    while at < end - 1e-9:
        part = min(end, at + 1) - max(begin, at)
        if part > 1e-9:
            shares[ring[at % len(ring)]] = shares.get(ring[at % len(ring)], 0.0) + part
        at += 1
    return shares


def classes(node: int, nodes: int, servers: list[str], size: int) -> Shares:
    """The chosen one; `size` is made of it beforehand, as the others get what it gives."""
    descent, level = Descent(node, nodes), start_level(nodes, len(servers), 128)
    return {server: 1.0 for server in servers if descent.joins_at(server) <= level}


WAYS: dict[str, Way] = {
    "random": random_subset,
    "rendezvous": rendezvous,
    "deterministic": deterministic,
    "aperture": aperture,
    "classes": classes,
}


def names_of(servers: int) -> list[str]:
    return [f"app-{at:05d}" for at in range(servers)]


def all_subsets(way: Way, nodes: int, servers: list[str], size: int) -> list[Shares]:
    return [way(node, nodes, servers, size) for node in range(nodes)]


def spread(values: list[float]) -> float:
    """Most over least."""
    return max(values) / min(values) if min(values) > 0 else float("inf")


def loads(subsets: list[Shares], weights: dict[str, float]) -> list[float]:
    """What each server is sent for its weight, where every node sends as much and goes by weight."""
    found = dict.fromkeys(weights, 0.0)
    for shares in subsets:
        whole = sum(weights[server] * part for server, part in shares.items()) or 1.0
        for server, part in shares.items():
            found[server] += part / whole
    return list(found.values())


def moved(before: list[Shares], after: list[Shares]) -> float:
    """The share of the pairs of node and server that a change makes or ends."""
    nothing = Shares()
    changed = 0
    for at in range(max(len(before), len(after))):
        old = before[at] if at < len(before) else nothing
        new = after[at] if at < len(after) else nothing
        changed += len(old.keys() ^ new.keys())
    return changed / sum(map(len, before))


def measure(name: str, nodes: int, count: int, size: int, changes: bool = True) -> dict[str, float]:
    way, servers = WAYS[name], names_of(count)
    zones = {server: at % ZONES for at, server in enumerate(servers)}
    subsets = all_subsets(way, nodes, servers, size)
    held = Counter(server for shares in subsets for server in shares)
    sizes = [len(shares) for shares in subsets]
    chance = Random(1)
    unlike = {server: chance.choice((1.0, 2.0, 4.0)) for server in servers}
    by_zone = [Counter(zones[server] for server in shares) for shares in subsets]
    began = time.perf_counter()
    way(nodes // 2, nodes, servers, size)
    took = time.perf_counter() - began
    row = {
        "smallest": min(sizes),
        "mean size": sum(sizes) / nodes,
        "largest": max(sizes),
        "by subsets": spread([held[server] for server in servers]),
        "by load": spread(loads(subsets, dict.fromkeys(servers, 1.0))),
        "by weight": spread(loads(subsets, unlike)),
        "fewest zones": min(map(len, by_zone)),
        "most of a zone": max(max(one.values()) / sum(one.values()) for one in by_zone),
        "ms": 1000 * took,
    }
    lists = ([*servers, "app-new"], servers[:7] + servers[8:], servers, servers)
    for change, after, number in zip(CHANGES, lists, (nodes, nodes, nodes + 1, nodes - 1), strict=True):
        if changes:
            row[change] = moved(subsets, all_subsets(way, number, after, size))
    return row


def main() -> None:
    for nodes, count in SIZES[:2] if "--quick" in sys.argv else SIZES:
        size = round((count << start_level(nodes, count, 128)) / nodes)
        for name in WAYS:
            row = measure(name, nodes, count, size)
            cells = " ".join(f"{key}={value:.4g}" for key, value in row.items())
            print(f"{nodes} x {count} {name}: {cells}", flush=True)


if __name__ == "__main__":
    main()
