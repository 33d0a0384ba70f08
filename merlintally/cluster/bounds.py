"""Upper bounds that follow from the settings of a cluster; `merlintally cluster explain` prints them."""

from __future__ import annotations

from typing import NamedTuple

from merlintally.cluster.copies import ReplicationSettings
from merlintally.cluster.copies.holders import SHARD_COUNT
from merlintally.cluster.work.coordinator import MaintenanceTiming
from merlintally.operators import ClusterPart

MAX_MESSAGE_S = 0.3  # delivery of a message and its write to disk, without faults


class StatedBound(NamedTuple):
    """An upper bound in seconds and the terms that it is the sum of."""

    name: str
    stated_s: float
    parts: str


def bounds_of(part: ClusterPart) -> list[StatedBound]:
    """The bounds of a cluster with these settings.

    >>> [(row.name, round(row.stated_s, 2)) for row in bounds_of(ClusterPart())]
    [('new leader', 3.9), ('right gone', 9.12), ('work goes on', 13.52)]
    """
    terms = MaintenanceTiming(part.lease_s, part.renew_s, part.drift_share, part.warm_s, part.longest_s)
    # Two election timeouts (one election may end in a split vote), then a pre-vote and a vote.
    elected_s = 2 * 2 * part.election_s * (1 + part.drift_share) + part.election_s + 4 * MAX_MESSAGE_S + 0.16
    elected_s = round(elected_s, 1)
    copies = ReplicationSettings()
    equal_s = (
        (part.copies - 1) * SHARD_COUNT * copies.compare_s + 6 * MAX_MESSAGE_S if part.copies > 1 else 0.0
    )
    copies_bound = [
        StatedBound(
            "copies equal",
            equal_s,
            f"{SHARD_COUNT} shards, one each {copies.compare_s:g} s, with each of {part.copies - 1} other "
            f"holders, and 6 messages of {MAX_MESSAGE_S:g}; while all holders are healthy and the byte "
            "budget suffices",
        )
    ]
    return (copies_bound if equal_s else []) + [
        StatedBound(
            "new leader",
            elected_s,
            f"2 x 2 x election_s ({part.election_s:g}) for one split vote, election_s until votes are given, "
            f"4 messages of {MAX_MESSAGE_S:g}, drift",
        ),
        StatedBound(
            "right gone",
            terms.expiry_s,
            f"lease_s ({part.lease_s:g}) by the slowest clock, drift_share "
            f"({part.drift_share:g}) either way, and the longest send, longest_s ({part.longest_s:g})",
        ),
        StatedBound(
            "work goes on",
            elected_s + terms.expiry_s + part.renew_s,
            "new leader, then the end of a right that the old leader may have given, then one renewal",
        ),
    ]
