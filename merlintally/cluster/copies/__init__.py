"""Replicated rows of state on the edge nodes, without input or output: see docs/copies.md."""

from merlintally.cluster.copies.holders import holders_of, shard_of
from merlintally.cluster.copies.spread import FORMS, Copies, Terms
from merlintally.cluster.copies.store import MISTAKES, Row, Store

__all__ = ["FORMS", "MISTAKES", "Copies", "Row", "Store", "Terms", "holders_of", "shard_of"]
