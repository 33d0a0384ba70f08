"""Deterministic subsetting: each node works with a bounded subset of a large fleet of app servers.

Subsets spread the load evenly over the servers. The package performs no I/O, reads no clock and draws no
random numbers: the same list yields the same subset after every restart. The design is described in
docs/subsets.md.
"""

from merlintally.subsets.core import DEFAULT_SETTINGS, INJECTED_FAULTS, Subset, SubsetSettings
from merlintally.subsets.descent import Descent, start_level, top_level
from merlintally.subsets.records import Address, Entry, Listing

__all__ = [
    "DEFAULT_SETTINGS",
    "INJECTED_FAULTS",
    "Address",
    "Descent",
    "Entry",
    "Listing",
    "Subset",
    "SubsetSettings",
    "start_level",
    "top_level",
]
