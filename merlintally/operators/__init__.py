"""The operators' file: what switches parts on and sets them, beside the deployment's own configuration."""

from merlintally.operators.file import ClusterPart, LabPart, LogPart, Operators, read_operators

__all__ = ["ClusterPart", "LabPart", "LogPart", "Operators", "read_operators"]
