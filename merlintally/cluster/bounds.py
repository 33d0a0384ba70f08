"""The times that the settings promise, computed at one place: `cluster explain` prints them with their
parts."""

from __future__ import annotations

from typing import NamedTuple

from merlintally.cluster.copies import ReplicationSettings
from merlintally.cluster.copies.holders import SHARD_COUNT
from merlintally.cluster.work.coordinator import MaintenanceTiming
from merlintally.operators import ClusterPart

SENT_S = 0.3  # the longest that a message and its write to disk are taken to last where nothing is at fault


class Stated(NamedTuple):
    """A time in seconds and what it is made of."""

    name: str
    stated_s: float
    parts: str


def bounds_of(part: ClusterPart) -> list[Stated]:
    """
    >>> [(row.name, round(row.stated_s, 2)) for row in bounds_of(ClusterPart())]
    [('new leader', 3.9), ('right gone', 9.12), ('work goes on', 13.52)]
    """
    terms = MaintenanceTiming(part.lease_s, part.renew_s, part.drift_share, part.warm_s, part.longest_s)
    # the old one is missed, one vote may be split, then a vote ahead and a vote
    elected = 2 * 2 * part.election_s * (1 + part.drift_share) + part.election_s + 4 * SENT_S + 0.16
    elected = round(elected, 1)
    copies = ReplicationSettings()
    equal = (part.copies - 1) * SHARD_COUNT * copies.compare_s + 6 * SENT_S if part.copies > 1 else 0.0
    compared = [
        Stated(
            "copies equal",
            equal,
            f"{SHARD_COUNT} shards, one each {copies.compare_s:g} s, with each of {part.copies - 1} other "
            f"holders, and 6 messages of {SENT_S:g}; while all holders are well and the byte budget suffices",
        )
    ]
    return (compared if equal else []) + [
        Stated(
            "new leader",
            elected,
            f"2 x 2 x election_s ({part.election_s:g}) for one split vote, election_s until votes are given, "
            f"4 messages of {SENT_S:g}, drift",
        ),
        Stated(
            "right gone",
            terms.expiry_s,
            f"lease_s ({part.lease_s:g}) by the slowest clock, drift_share "
            f"({part.drift_share:g}) either way, and the longest send, longest_s ({part.longest_s:g})",
        ),
        Stated(
            "work goes on",
            elected + terms.expiry_s + part.renew_s,
            "new leader, then a right that the old one may have given, then one renewal",
        ),
    ]
