"""The order of work: which machine is taken out next, without input or output: see docs/work-order.md."""

from merlintally.cluster.work.coordinator import Coordinator, Report, Terms
from merlintally.cluster.work.order import Choice, Seen, next_turn
from merlintally.cluster.work.state import INJECTED_FAULTS, Budget, Machine, Request, Turn, Work, machines_of

__all__ = [
    "INJECTED_FAULTS",
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
