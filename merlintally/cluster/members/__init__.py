"""Cluster membership (SWIM with the Lifeguard extensions), without input or output: see docs/members.md."""

from merlintally.cluster.members.core import FORMS, MISTAKES, Member, Members, Rhythm

__all__ = ["FORMS", "MISTAKES", "Member", "Members", "Rhythm"]
