"""Assigns servers to nodes by hashing: nodes form classes, and each server selects one node of every class.

At level L there are 2^L classes, and node i belongs to class i mod 2^L. A server selects one node of each
class, so it is in exactly 2^L subsets. To select it, the server descends: class c splits into classes c and
c + 2^L of the next level, a hash weighted by their node counts selects one of the two, and so on until one
node is left. A node's subset at one level is therefore contained in its subset at the next, up to the whole
list.
"""

from __future__ import annotations

from hashlib import blake2b

HASH_SPAN = 1 << 64  # digests of 8 bytes


def top_level(nodes: int) -> int:
    """Returns the level at which every node has the whole list.

    >>> [top_level(nodes) for nodes in (1, 2, 3, 670)]
    [0, 1, 2, 10]
    """
    return max(0, nodes - 1).bit_length()


def class_size(nodes: int, level: int, class_index: int) -> int:
    """Returns the number of nodes in a class.

    >>> [class_size(5, 1, class_index) for class_index in range(2)]
    [3, 2]
    """
    return (nodes - 1 - class_index) // (1 << level) + 1 if class_index < nodes else 0


def start_level(nodes: int, servers: int, size: int) -> int:
    """Returns the lowest level that gives a node `size` servers and each server two nodes, or the top level.

    >>> start_level(670, 9200, 128), start_level(20, 9200, 128), start_level(2, 9200, 128)
    (4, 1, 1)
    """
    level, top = 1, top_level(nodes)
    while level < top and (servers << level) < nodes * size:
        level += 1
    return min(level, top)


class Descent:
    """The path of one node through the classes, from the top level down.

    Raises ValueError if `node_number` is not in 0 to `nodes` - 1.
    """

    def __init__(self, node_number: int, nodes: int) -> None:
        if not 0 <= node_number < nodes:
            raise ValueError(f"node number {node_number} must be at least 0 and less than {nodes}")
        self.top = top_level(nodes)
        # Level, hash prefix of the class, bound of the lower half, whether this node is in the lower half.
        self._splits = list[tuple[int, bytes, int, bool]]()
        for level in reversed(range(self.top)):
            class_index = node_number % (1 << level)
            total, lower = class_size(nodes, level, class_index), class_size(nodes, level + 1, class_index)
            if lower < total:
                prefix = level.to_bytes(1, "big") + class_index.to_bytes(4, "big")
                in_lower_half = not node_number >> level & 1
                self._splits.append((level, prefix, HASH_SPAN * lower // total, in_lower_half))

    def joins_at(self, server: str) -> int:
        """Returns the lowest level at which the server is in this node's subset; takes about two hashes."""
        name = server.encode()
        for level, prefix, bound, in_lower_half in self._splits:
            server_hash = int.from_bytes(blake2b(prefix + name, digest_size=8).digest(), "big")
            if (server_hash < bound) != in_lower_half:
                return level + 1
        return 0
