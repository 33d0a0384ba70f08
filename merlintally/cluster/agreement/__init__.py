"""The replicated log (Raft), without input or output: see docs/agreement.md."""

from merlintally.cluster.agreement.core import INJECTED_FAULTS, MESSAGE_TYPES, Raft, RaftSettings, Results
from merlintally.cluster.agreement.log import Config, Entry, PersistentState, Snapshot

__all__ = [
    "MESSAGE_TYPES",
    "INJECTED_FAULTS",
    "Config",
    "Entry",
    "PersistentState",
    "RaftSettings",
    "Raft",
    "Results",
    "Snapshot",
]
