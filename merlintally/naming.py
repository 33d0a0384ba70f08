"""Names of counters, derived from the customer's key so that all gateways use the same ones."""

from __future__ import annotations

import hashlib


def count_name(key: str, epoch: int) -> int:
    """The name of the counter of a customer in an epoch.

    >>> count_name("c", 1) == count_name("c", 1) != count_name("c", 2)
    True
    """
    return int.from_bytes(hashlib.blake2b(f"{key}/{epoch}".encode(), digest_size=7).digest(), "big")


def phase(key: str) -> float:
    """The offset of a customer's epochs as a fraction of an epoch, which spreads their starts over time.

    >>> 0 <= phase("c") < 1
    True
    """
    return count_name(key, -1) / 2**56
