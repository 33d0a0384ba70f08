"""Which servers a node shares, by a hash: nodes in classes, each server with one node of every class.

At level L there are 2^L classes; node i belongs to class i mod 2^L. A server picks one node of each class, so
that it is in exactly 2^L subsets. The pick descends: class c falls into c and c + 2^L of the next level, a
coin weighted by how many nodes each has says which, and so on until one node is left. A node's subset at one
level is therefore part of its subset at the next, up to the whole list.
"""

from __future__ import annotations

from hashlib import blake2b

HASH_SPAN = 1 << 64  # digests of 8 bytes


def levels_of(nodes: int) -> int:
    """The level at which every node has the whole list.

    >>> [levels_of(nodes) for nodes in (1, 2, 3, 670)]
    [0, 1, 2, 10]
    """
    return max(0, nodes - 1).bit_length()


def class_size(nodes: int, level: int, number: int) -> int:
    """How many nodes a class has.

    >>> [class_size(5, 1, number) for number in range(2)]
    [3, 2]
    """
    return (nodes - 1 - number) // (1 << level) + 1 if number < nodes else 0


def start_level(nodes: int, servers: int, size: int) -> int:
    """The lowest level that gives a node `size` servers, at least two subsets a server.

    >>> start_level(670, 9200, 128), start_level(20, 9200, 128), start_level(2, 9200, 128)
    (4, 1, 1)
    """
    level, top = 1, levels_of(nodes)
    while level < top and (servers << level) < nodes * size:
        level += 1
    return min(level, top)


class Descent:
    """One node's way through the classes."""

    def __init__(self, number: int, nodes: int) -> None:
        if not 0 <= number < nodes:
            raise ValueError(f"node {number} is none of {nodes}")
        self.top = levels_of(nodes)
        self._steps = list[
            tuple[int, bytes, int, bool]
        ]()  # level, its coin's prefix, bound, whether below it
        for level in reversed(range(self.top)):
            of_class = number % (1 << level)
            both, lower = class_size(nodes, level, of_class), class_size(nodes, level + 1, of_class)
            if lower < both:
                prefix = level.to_bytes(1, "big") + of_class.to_bytes(4, "big")
                below = not number >> level & 1
                self._steps.append((level, prefix, HASH_SPAN * lower // both, below))

    def joins_at(self, server: str) -> int:
        """The lowest level at which the server is in this node's subset; about two hashes."""
        name = server.encode()
        for level, prefix, bound, below in self._steps:
            coin = int.from_bytes(blake2b(prefix + name, digest_size=8).digest(), "big")
            if (coin < bound) != below:
                return level + 1
        return 0
