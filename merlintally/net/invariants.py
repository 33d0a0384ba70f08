"""Invariants that are checked while the node runs; violations are counted and logged.

The checks run after the act (an attempt written, an answer delivered, a connection closed) and independently
of the guards before it, so that a code path that bypasses a guard is detected.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from merlintally.net.log import Log

MAX_SUSPENSION_S = 0.15  # for which a process may be suspended between reading its clock and writing
CLIENT_GONE_GRACE_S = 0.1  # after the end of a client, until which attempts for it may still begin
LATE_ANSWER_GRACE_S = 0.5  # after its deadline, until which a late answer is tolerated
STATED_WAIT_SLACK_S = 0.15  # by which the time stated to an app server may exceed the remaining time


class Invariant(StrEnum):
    """The invariants; the member names are values of the log field `invariant`."""

    ANSWERED_IN_TIME = "every request is answered by its deadline"
    NO_ANSWER_OWED = "the node closes no connection while a request on it is unanswered"
    CLIENT_THERE = "no attempt begins for a client that has disconnected"
    NOT_ANSWERED = "no attempt begins for a request that has an answer"
    NOT_TOO_LATE = "no attempt begins after its deadline or the deduplication window of a retry"
    ONE_COPY = "no one-shot request has two attempts in flight"
    SERVER_STAYS = "no attempt begins at a draining or removed server after the grace period"
    WAIT_TOLD = "no attempt states more time to answer in than its client has left"


class Invariants:
    """Counts and logs violations. A healthy node has none."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.broken: Counter[Invariant] = Counter()

    def check(self, holds: bool, invariant: Invariant, request: bytes = b"", **fields: object) -> None:
        """Count and log a violation unless the invariant `holds`; `request` is the id concerned, if any."""
        if holds:
            return
        self.broken[invariant] += 1
        request_id = request.decode("ascii", "replace")
        self._log.say(
            f"invariant broken: {invariant} (request {request_id}, {fields})",
            "invariant.broken",
            invariant=invariant.name,
            submission=request_id,
            **fields,
        )
