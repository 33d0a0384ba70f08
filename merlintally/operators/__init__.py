"""The operators' file: enables and configures optional parts, beside the deployment's configuration."""

from merlintally.operators.file import ClusterPart, LabPart, LogPart, Operators, read_operators

__all__ = ["ClusterPart", "LabPart", "LogPart", "Operators", "read_operators"]
