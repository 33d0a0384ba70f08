"""The types of the arguments and results of the decisions in merlintally.choice.

Times are in seconds. Ids are those of the caller.
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
    """The settings of one lane of submissions; times in seconds."""

    name: str
    quoted_time: float
    hard_limit: float
    gain: float  # of an answer within the quoted time
    late_gain: float  # of an answer between quoted time and hard limit, as a share of the gain
    effect: Effect  # whether a repeated execution is safe
    discard_group: Group  # the servers among which a repeated stamped execution is discarded
    remembered: float  # seconds for which servers remember a stamped execution


@dataclass(frozen=True, slots=True)
class PlanFacts:
    """The settings of one plan, which apply to each of its customers; rates in units per second."""

    name: str
    rate: float
    burst: float
    open_limit: int  # executions in flight; 0: no limit
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float
    price: float
    beyond_gain: float
    beyond_cost: float


@dataclass(frozen=True, slots=True)
class StartFacts:
    """The settings of a gateway, fixed at its start."""

    number: int  # of this gateway, from 0
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
    """One row of the server list; `started` is the start time, or 0 if it was long ago."""

    server: str
    presence: Presence
    zone: str
    cell: int
    started: float
    size: float
    machine: str


@dataclass(slots=True)
class Results:
    """The actions to carry out, in rows by kind; sends come first."""

    sends: list[tuple[int, str, float]] = field(
        default_factory=list
    )  # submission, server, timeout in seconds or 0
    bounced: list[tuple[int, float]] = field(
        default_factory=list
    )  # submission, retry after seconds (0: unstated)
    given_up: list[int] = field(default_factory=list)  # submissions
    withdrawn: list[tuple[int, int]] = field(default_factory=list)  # submission, execution number
    adds: list[tuple[int, float, float]] = field(
        default_factory=list
    )  # counter, amount, seconds to keep the counter
    notes: list[bytes] = field(default_factory=list)  # to every other gateway
    logs: list[str] = field(default_factory=list)
    wake_after: float | None = None  # seconds until `Gateway.wake` is due


class Refusal(StrEnum):
    """The reason for which a submission was ended without a server's answer."""

    NO_TIME = "no time left before the hard limit"
    LATE = "the queue is too long to answer it in time"
    BEYOND_QUOTA = "beyond the quota"
    CEILING = "beyond the ceiling"
    WAITED = "waited too long to be answered in time"
    NOT_AGAIN = "an earlier execution may have happened and may not be repeated"
    LEAVE = "the node is shutting down"


LoadReport = Mapping[str, float]  # any of: waiting, held, busy, answer_time, answers_per_s, errors_per_s
