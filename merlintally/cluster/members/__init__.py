"""Who is there (SWIM with Lifeguard's additions), without input or output: see docs/members.md."""

from merlintally.cluster.members.core import FORMS, INJECTED_FAULTS, Member, Members, Rhythm

__all__ = ["FORMS", "INJECTED_FAULTS", "Member", "Members", "Rhythm"]
