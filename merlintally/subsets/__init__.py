"""Subsets of app servers: each node works with a bounded part of a large fleet, so that load stays even.

No I/O, no clock, no chance: the same list gives the same subset on every node and at every start.
The design, with the options weighed: docs/subsets.md.
"""

from merlintally.subsets.core import INJECTED_FAULTS, USUAL, Subset, Terms
from merlintally.subsets.descent import Descent, levels_of, start_level
from merlintally.subsets.records import Address, Entry, Listing

__all__ = [
    "INJECTED_FAULTS",
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
