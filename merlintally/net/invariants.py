"""What must hold whatever happens, looked at while the node runs: each breach is counted and told of.

The checks lie behind the act (an attempt written, an answer passed on, a connection closed), apart from the
guards before it, so that a path which goes round a guard is found here.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from merlintally.net.log import Log

HELD_UP_S = 0.15  # for which a process may stand between reading its clock and writing
GONE_S = 0.1  # from a client's end on, after which nothing begins for it
LATE_S = 0.5  # past a request's deadline, until which an answer is only late
WAIT_SLACK_S = 0.15  # by which the time told to an app server may pass what the client has left


class Invariant(StrEnum):
    """One thing that must hold."""

    ANSWERED_IN_TIME = "every request is answered by its deadline"
    NO_ANSWER_OWED = "no connection is closed by the node while a request on it waits for its answer"
    CLIENT_THERE = "no attempt begins for a client that has left"
    NOT_ANSWERED = "no attempt begins for a request that is answered"
    NOT_TOO_LATE = "no attempt begins past its deadline, or as a repeat that is no longer remembered"
    ONE_COPY = "no request that may not be repeated has two attempts out"
    SERVER_STAYS = "no attempt begins at a server that drains or is gone, past the grace"
    WAIT_TOLD = "no app server is told of more time than the client has left"


class Invariants:
    """Counts breaches. A healthy node has none."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.broken: Counter[Invariant] = Counter()

    def check(self, holds: bool, invariant: Invariant, request: bytes = b"", **fields: object) -> None:
        """Note that an invariant `holds`, or tell of the breach; `request` is the id concerned, if any."""
        if holds:
            return
        self.broken[invariant] += 1
        told = request.decode("ascii", "replace")
        self._log.say(
            f"invariant broken: {invariant} (request {told}, {fields})",
            "invariant.broken",
            invariant=invariant.name,
            submission=told,
            **fields,
        )
