"""The log that a majority holds (Raft), without input or output: see docs/agreement.md."""

from merlintally.cluster.agreement.core import FORMS, INJECTED_FAULTS, Pace, Raft, Results
from merlintally.cluster.agreement.log import Config, Entry, Kept, Snapshot

__all__ = ["FORMS", "INJECTED_FAULTS", "Config", "Entry", "Kept", "Pace", "Raft", "Results", "Snapshot"]
