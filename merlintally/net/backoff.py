"""Backoff for calls to a service that fails or is overloaded."""

from __future__ import annotations

import random


class Backoff:
    """Randomized delays in seconds before the next call, so that many nodes don't retry at the same time.

    After a failure the delay is at least `min_s`, drawn from a range that doubles with each successive
    failure up to `max_s`. After a refusal by an overloaded service it is around `refusal_min_s`, doubled with
    each further refusal up to `refusal_max_s`. Answers shorten the pause gradually: an overloaded service
    still works on calls that have timed out, and recovers only if the load stays lower for a while.
    """

    def __init__(
        self, rng: random.Random, min_s: float, max_s: float, refusal_min_s: float, refusal_max_s: float
    ) -> None:
        self.rng, self.min_s, self.max_s = rng, min_s, max_s
        self.refusal_min_s, self.refusal_max_s = refusal_min_s, refusal_max_s
        self.failures, self.pause_s = 0, 0.0

    def delay_after_failure(self) -> float:
        """The delay after a failure."""
        self.failures += 1
        return self.rng.uniform(self.min_s, max(self.min_s, min(self.max_s, self.min_s * 2.0**self.failures)))

    def delay_after_refusal(self) -> float:
        """The delay after a refusal by an overloaded service."""
        self.pause_s = min(self.refusal_max_s, max(self.refusal_min_s, 2 * self.pause_s))
        return self.pause_s * self.rng.uniform(0.5, 1.5)

    def record_answer(self) -> None:
        """Records an answer: resets the failures and shortens the delay after the next refusal."""
        self.failures, self.pause_s = 0, self.pause_s * 0.6 if self.pause_s > self.refusal_min_s / 4 else 0.0
