"""When to ask again an outside party that failed, or that says it has too much to do."""

from __future__ import annotations

import random


class Backoff:
    """Waits in seconds, drawn anew each time. Guards against hundreds of nodes that ask again in one beat.

    A party that fails is asked again after `first` to `most`, over a range that doubles with each failure in
    a row. One that is overloaded works also on calls that nobody waits for any more, and answers none in
    time until all ask less: a refusal opens a pause of `spared`, each further one doubles it up to
    `spared_most`, and each answer shortens the next one.
    """

    def __init__(
        self, dice: random.Random, first: float, most: float, spared: float, spared_most: float
    ) -> None:
        self.dice, self.first, self.most = dice, first, most
        self.spared, self.spared_most = spared, spared_most
        self.failures, self.pause = 0, 0.0

    def failed(self) -> float:
        """Seconds to wait after one more failure."""
        self.failures += 1
        return self.dice.uniform(self.first, max(self.first, min(self.most, self.first * 2.0**self.failures)))

    def refused(self) -> float:
        """Seconds to wait after a refusal by one that is overloaded."""
        self.pause = min(self.spared_most, max(self.spared, 2 * self.pause))
        return self.pause * self.dice.uniform(0.5, 1.5)

    def worked(self) -> None:
        """It has answered."""
        self.failures, self.pause = 0, self.pause * 0.6 if self.pause > self.spared / 4 else 0.0
