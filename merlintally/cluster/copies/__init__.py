"""Replicated rows of state on the edge nodes, without input or output: see docs/copies.md."""

from merlintally.cluster.copies.holders import holders_of, shard_of
from merlintally.cluster.copies.replication import MESSAGE_TYPES, ReplicationSettings, Replicator
from merlintally.cluster.copies.store import INJECTED_FAULTS, Row, Store

__all__ = [
    "MESSAGE_TYPES",
    "INJECTED_FAULTS",
    "Replicator",
    "Row",
    "Store",
    "ReplicationSettings",
    "holders_of",
    "shard_of",
]
