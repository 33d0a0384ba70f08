"""The one place that says whether an attempt may be written now.

An attempt is decided, then waits: in the decisions' results, for a connection, for room in the system's
buffer. What was right when it was decided is looked at again here, right before its bytes are written.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from merlintally.interface import Presence
from merlintally.net.requests import Attempt
from merlintally.net.timers import Clock

REST_S = 0.1  # from the first byte of an attempt to its last: the time that it tells is that of the first


class Refusal(StrEnum):
    """Why an attempt is not written."""

    ANSWERED = "its request is answered"
    CLIENT_LEFT = "its client has left"
    CLIENT_UNSEEN = "its client's end could not be seen behind what is not read"
    SERVER_LEAVES = "its app server drains or is gone"
    TOO_LATE = "its time is over, or as a repeat it is no longer remembered"
    SECOND_COPY = "another attempt of a request that may run once is out"
    WAIT_PASSED = "half-written, it tells its app server of time that has gone by"


class SendGuard:
    """Looks at an attempt before it is written, and counts what it refused."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.refused: Counter[Refusal] = Counter()

    def allows(self, attempt: Attempt, presence: Presence) -> bool:
        """Whether the attempt may be written to its app server, which is listed as `presence`."""
        return self._note(attempt, self._refusal(attempt, presence))

    def allows_rest(self, attempt: Attempt, begun_at: float) -> bool:
        """Whether the rest of one may be written of which the first bytes were at `begun_at`. It is no new
        one, whatever the list says since."""
        stale = self._clock.now() - begun_at > REST_S
        return self._note(attempt, Refusal.WAIT_PASSED if stale else self._refusal(attempt, "on"))

    def _note(self, attempt: Attempt, refusal: Refusal | None) -> bool:
        """Whether there is no refusal; one is counted."""
        if refusal is None:
            return True
        attempt.refusal = refusal
        self.refused[refusal] += 1
        return False

    def _refusal(self, attempt: Attempt, presence: Presence) -> Refusal | None:
        request = attempt.request
        if request.answer is not None:
            return Refusal.ANSWERED
        if request.gone or request.client.has_left():
            request.gone = True
            return Refusal.CLIENT_LEFT
        if request.client.is_unseen():
            return Refusal.CLIENT_UNSEEN
        if presence != "on":
            return Refusal.SERVER_LEAVES
        if self._clock.now() >= attempt.begin_by:
            return Refusal.TOO_LATE
        if request.effect == "one-shot" and any(other.may_run() for other in request.others(attempt)):
            return Refusal.SECOND_COPY
        return None
