"""Cluster membership (SWIM with the Lifeguard extensions), without input or output: see docs/members.md."""

from merlintally.cluster.members.core import INJECTED_FAULTS, MESSAGE_TYPES, Member, Members, SwimSettings

__all__ = ["MESSAGE_TYPES", "INJECTED_FAULTS", "Member", "Members", "SwimSettings"]
