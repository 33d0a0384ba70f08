"""Order of machine maintenance: which machine is taken out next, without input or output.

See docs/work-order.md.
"""

from merlintally.cluster.work.coordinator import Coordinator, Report, Terms
from merlintally.cluster.work.order import Choice, Seen, next_turn
from merlintally.cluster.work.state import MISTAKES, Budget, Machine, Request, Turn, Work, machines_of

__all__ = [
    "MISTAKES",
    "Budget",
    "Choice",
    "Coordinator",
    "Machine",
    "Report",
    "Request",
    "Seen",
    "Terms",
    "Turn",
    "Work",
    "machines_of",
    "next_turn",
]
