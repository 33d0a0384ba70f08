"""Subsets of app servers: each node works with a bounded part of a large fleet, so that load stays even.

No I/O, no clock, no chance: the same list gives the same subset on every node and at every start.
The design, with the options weighed: docs/subsets.md.
"""

from merlintally.subsets.core import MISTAKES, Subset, Terms
from merlintally.subsets.descent import Descent, levels_of, start_level
from merlintally.subsets.records import Address, Entry

__all__ = ["MISTAKES", "Address", "Descent", "Entry", "Subset", "Terms", "levels_of", "start_level"]
