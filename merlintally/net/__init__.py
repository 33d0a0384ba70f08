"""The edge node: merlintally.choice makes its decisions. Use `EdgeNode` to embed a node in a program."""

from merlintally.net.configuration import ConfigurationError, Deployment, read_deployment
from merlintally.net.node import EdgeNode

__all__ = ["Deployment", "EdgeNode", "ConfigurationError", "read_deployment"]
