"""The last check before the bytes of an attempt are written to an app server.

Between the decision to send and the write, an attempt may wait: for its turn among the results, for a
connection, or for room in the socket's send buffer. The checks are repeated here immediately before the
write.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from merlintally.interface import Presence
from merlintally.net.requests import Attempt
from merlintally.net.timers import Clock

# From the first byte of an attempt to its last. The time to answer in that it states holds at the first byte.
MAX_PARTIAL_WRITE_S = 0.1


class Refusal(StrEnum):
    """Why an attempt is not written; the member names are keys in the log."""

    ANSWERED = "its request already has an answer"
    CLIENT_LEFT = "its client has disconnected"
    CLIENT_UNSEEN = "its client may have disconnected behind unread input"
    SERVER_LEAVES = "its app server is draining or gone"
    TOO_LATE = "its deadline, or the deduplication window of a retry, has passed"
    SECOND_COPY = "another attempt of a one-shot request is in flight"
    WAIT_PASSED = "it was partly written, and the time to answer in that it states is out of date"


class SendGuard:
    """Decides whether an attempt may be written, and counts refusals by reason."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.refused: Counter[Refusal] = Counter()

    def allows(self, attempt: Attempt, presence: Presence) -> bool:
        """Return whether an attempt may be written to its app server, which is listed as `presence`."""
        return self._record(attempt, self._refusal(attempt, presence))

    def allows_rest(self, attempt: Attempt, begun_at: float) -> bool:
        """Return whether the rest of an attempt may be written whose first bytes were written at `begun_at`.

        The presence of its app server is not checked again, since the attempt has already begun.
        """
        timed_out = self._clock.now() - begun_at > MAX_PARTIAL_WRITE_S
        return self._record(attempt, Refusal.WAIT_PASSED if timed_out else self._refusal(attempt, "on"))

    def _record(self, attempt: Attempt, refusal: Refusal | None) -> bool:
        """Count a refusal, if any; return whether there is none."""
        if refusal is None:
            return True
        attempt.refusal = refusal
        self.refused[refusal] += 1
        return False

    def _refusal(self, attempt: Attempt, presence: Presence) -> Refusal | None:
        request = attempt.request
        if request.answer is not None:
            return Refusal.ANSWERED
        if request.client_gone or request.client.has_left():
            request.client_gone = True
            return Refusal.CLIENT_LEFT
        if request.client.end_may_be_unread():
            return Refusal.CLIENT_UNSEEN
        if presence != "on":
            return Refusal.SERVER_LEAVES
        if self._clock.now() >= attempt.begin_by:
            return Refusal.TOO_LATE
        if request.effect == "one-shot" and any(other.may_run() for other in request.others(attempt)):
            return Refusal.SECOND_COPY
        return None
