"""Order of machine maintenance: which machine is taken out next, without input or output.

See docs/work-order.md.
"""

from merlintally.cluster.work.coordinator import Coordinator, MaintenanceTiming, Report
from merlintally.cluster.work.order import Choice, FleetView, next_turn
from merlintally.cluster.work.state import (
    INJECTED_FAULTS,
    Budget,
    Machine,
    Request,
    Turn,
    Work,
    machines_by_name,
)

__all__ = [
    "INJECTED_FAULTS",
    "Budget",
    "Choice",
    "Coordinator",
    "Machine",
    "Report",
    "Request",
    "FleetView",
    "MaintenanceTiming",
    "Turn",
    "Work",
    "machines_by_name",
    "next_turn",
]
