"""The real edge node: the decisions of merlintally.choice on sockets. `EdgeNode` is what to embed."""

from merlintally.net.configuration import Deployment, Faulty, read_deployment
from merlintally.net.node import EdgeNode

__all__ = ["Deployment", "EdgeNode", "Faulty", "read_deployment"]
