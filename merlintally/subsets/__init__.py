"""Deterministic subsetting: each node works with a bounded subset of a large fleet of app servers.

Subsets spread the load evenly over the servers. The package performs no I/O, reads no clock and draws no
random numbers: the same list yields the same subset after every restart. The design is described in
docs/subsets.md.
"""

from merlintally.subsets.core import MISTAKES, USUAL, Subset, Terms
from merlintally.subsets.descent import Descent, levels_of, start_level
from merlintally.subsets.records import Address, Entry, Listing

__all__ = [
    "MISTAKES",
    "USUAL",
    "Address",
    "Descent",
    "Entry",
    "Listing",
    "Subset",
    "Terms",
    "levels_of",
    "start_level",
]
