"""The plain types that go into and come out of the decisions in merlintally.choice.

Times are seconds with fractions; ids are kept as the protocol in front gives them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal

Effect = Literal["harmless", "stamped", "one-shot"]
Group = Literal["all", "zone", "cell"]
Outcome = Literal["ok", "error", "full", "timed_out", "unreachable", "broken", "withdrawn", "moot"]
Presence = Literal["on", "draining", "gone"]
CounterOutcome = Literal["ok", "full", "timed_out", "unreachable"]


@dataclass(frozen=True, slots=True)
class LaneFacts:
    """What a deployment states about one lane of submissions."""

    name: str
    quoted_time: float
    hard_limit: float
    gain: float
    late_gain: float
    effect: Effect
    discard_group: Group
    remembered: float


@dataclass(frozen=True, slots=True)
class PlanFacts:
    """What a deployment states about one plan; each figure holds for each of its customers."""

    name: str
    rate: float
    burst: float
    open_limit: int
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float
    price: float
    beyond_gain: float
    beyond_cost: float


@dataclass(frozen=True, slots=True)
class StartFacts:
    """All that a gateway is told when it starts."""

    number: int
    gateways: int
    zone: str
    lanes: tuple[LaneFacts, ...]
    plans: tuple[PlanFacts, ...]
    largest_units: float
    settles: bool
    may_count: bool
    count_time_out: float
    count_price: float
    may_note: bool
    note_price: float
    may_withdraw: bool
    parallel: bool
    most_executions: int
    retry_after_limit: float
    cross_zone_price: float
    handshake_price: float
    waste_price: float
    drain_grace: float
    cold_share: float
    warm_within: float
    tip_multiple: float
    tip_window: float


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """One line of the server list; `started` is 0 where the server has run for long."""

    server: str
    presence: Presence
    zone: str
    cell: int
    started: float
    size: float
    machine: str


@dataclass(slots=True)
class Results:
    """What the decisions want done, in plain rows; whoever stands in front takes and clears them."""

    sends: list[tuple[int, str, float]] = field(default_factory=list)  # submission, server, time-out or 0
    bounced: list[tuple[int, float]] = field(default_factory=list)  # submission, come back after (0: unsaid)
    given_up: list[int] = field(default_factory=list)
    withdrawn: list[tuple[int, int]] = field(default_factory=list)  # submission, execution number
    adds: list[tuple[int, float, float]] = field(default_factory=list)  # count, amount, kept for
    notes: list[bytes] = field(default_factory=list)  # to every other gateway
    logs: list[str] = field(default_factory=list)
    wake_after: float | None = None


class Refusal(StrEnum):
    """Why the decisions end a submission without an answer of a server."""

    NO_TIME = "no time is left"
    LATE = "what waits before it takes longer than it has"
    BEYOND_QUOTA = "beyond the quota"
    CEILING = "beyond the ceiling"
    WAITED = "it waited until it could not be in time"
    NOT_AGAIN = "its last execution failed, and it may not be sent again"
    LEAVE = "the node leaves"


LoadReport = Mapping[str, float]  # any of: waiting, held, busy, answer_time, answers_per_s, errors_per_s
