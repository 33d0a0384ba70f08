"""What clients, app servers and discovery of a soak have seen. All times are monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Ending(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"  # with the promise that nothing ran
    FAILED = "failed"
    LEFT = "left"  # the client closed first
    EXCUSED = "excused"  # its node was killed, or never had it
    LOST = "lost"


@dataclass(slots=True)
class SentRequest:
    """One request of a client."""

    id: str
    effect: str
    customer: str
    units: float
    node: str
    sent_at: float  # when its last byte was written
    deadline: float
    ending: Ending | None = None
    ended_at: float = 0.0
    detail: str = ""


@dataclass(slots=True)
class SeenAttempt:
    """One attempt as its app server saw it."""

    id: str
    node: str
    server: str
    first_byte_at: float
    whole_at: float
    wait_told_s: float
    ran: bool  # False: it was turned away, and surely never ran
    on_time: bool = True  # False: its way was in trouble, and it may have been written long before


@dataclass(slots=True)
class Told:
    """A node was told how a server is listed."""

    node: str
    server: str
    status: str
    at: float


@dataclass(slots=True)
class Records:
    """All of a soak."""

    requests: dict[str, SentRequest] = field(default_factory=dict)
    attempts: list[SeenAttempt] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    starts: dict[str, list[float]] = field(default_factory=dict)  # of servers that came up cold
    node_faults: list[str] = field(default_factory=list)  # exits and lines of logs that tell of a fault
    driver_lag_s: float = 0.0  # by which the driver's own loop ran late at the worst
