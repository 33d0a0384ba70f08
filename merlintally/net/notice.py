"""By when a node must have heard of changes at discovery, and how long it may pause before it asks again."""

from __future__ import annotations

from random import Random

# After a move of discovery to another address, its list counts as known, by the operators' standing test.
MOVED_NOTICE_S = 4.0
# Shares of the time left, within which the node asks again after refusals since an answer: two of them in a
# row leave time for a third call.
PAUSE_SHARES = ((0.25, 0.5), (0.55, 1.0))
LATER_SHARE = (0.75, 1.0)  # of the longest pause between two calls, once discovery could not be reached


class NoticeDeadline:
    """The time at which all changes so far count as known. Times are seconds of one monotonic clock.

    A change counts as known `notice_s` after it was made. What was made before an answered call began is
    known by its answer, so the deadline moves with answers only, and not with calls that are refused.
    `margin_s` is for the call itself. The longest pauses are drawn, so that many nodes do not ask at once.
    """

    def __init__(self, notice_s: float, margin_s: float, random: Random, now: float) -> None:
        self.notice_s, self.margin_s, self.random = notice_s, margin_s, random
        self._due_at = self._call_begun_at = now
        self._shortened = 0  # pauses, since the deadline was moved
        self._move_to(now + notice_s)

    def call_begun(self, now: float) -> None:
        """Record the begin of a call."""
        self._call_begun_at = now

    def answered(self, covered_until: float) -> None:
        """Record an answer that has all changes made before `covered_until`."""
        if covered_until + self.notice_s > self._due_at:
            self._move_to(covered_until + self.notice_s)

    def moved(self, now: float) -> None:
        """Record that discovery has moved to another address."""
        self._move_to(now + MOVED_NOTICE_S)

    def _move_to(self, due_at: float) -> None:
        self._due_at, self._shortened = due_at, 0

    def pause(self, wait_s: float, now: float) -> float:
        """Return for how long to pause before the next call, instead of `wait_s` seconds, if that is longer.

        Negative where the next call is due already.
        """
        between_calls = self._call_begun_at + self.notice_s - self.margin_s - now
        longest = between_calls * self.random.uniform(*LATER_SHARE)
        left = self._due_at - self.margin_s - now
        if left > 0 and self._shortened < len(PAUSE_SHARES):
            before_due = left * self.random.uniform(*PAUSE_SHARES[self._shortened])
            if before_due < min(wait_s, longest):
                self._shortened += 1
                return before_due
        return min(wait_s, longest)
