"""The replicated log (Raft), without input or output: see docs/agreement.md."""

from merlintally.cluster.agreement.core import FORMS, MISTAKES, Pace, Raft, Results
from merlintally.cluster.agreement.log import Config, Entry, Kept, Snapshot

__all__ = ["FORMS", "MISTAKES", "Config", "Entry", "Kept", "Pace", "Raft", "Results", "Snapshot"]
