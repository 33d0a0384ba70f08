"""Model of the shared counter: shards that serve calls in sequence, and its failure modes. Free of I/O."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Literal

from merlintally.lab.model.agenda import Agenda
from merlintally.lab.model.days import CounterForm

AnswerCallback = Callable[[str, float], None]  # outcome ("ok" or "full") and total


class Store:
    """Totals by name; each expires after the lifetime given in its first call."""

    def __init__(self) -> None:
        self.totals: dict[int, tuple[float, float]] = {}  # name -> total, expires at

    def add(self, now: float, name: int, amount: float, lifetime_s: float) -> float:
        """Add `amount` to a total and return the total. A lifetime is capped at 60 s."""
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(lifetime_s, 60.0)
        total += amount
        self.totals[name] = (total, expires_at)
        return total

    def copy(self) -> Store:
        """An independent copy."""
        duplicate = Store()
        duplicate.totals = dict(self.totals)
        return duplicate


class Counter:
    """The counter that all gateways call. After `split`, each gateway reaches one of two replicas."""

    def __init__(self, form: CounterForm, agenda: Agenda) -> None:
        self.form, self.agenda = form, agenda
        self.replicas = [Store()]
        self.replica_of: Callable[[int], int] = lambda gateway: 0
        self.mode: Literal["well", "silent", "refusing"] = "well"
        self.slow, self.calls, self.unanswered = 1.0, 0, 0  # `slow`: factor on the service time
        self.shard_free_at = [[0.0] * form.parts, [0.0] * form.parts]  # by replica and shard

    def call(self, gateway: int, name: int, amount: float, lifetime_s: float, answer: AnswerCallback) -> None:
        """Receive a call; `answer` is called once it is served, or never while the counter is silent."""
        now = self.agenda.now
        self.calls += 1
        if self.mode == "silent":
            self.unanswered += 1
            return
        if self.mode == "refusing":
            answer("full", 0.0)
            return
        replica = self.replica_of(gateway) if len(self.replicas) > 1 else 0
        shard = zlib.crc32(name.to_bytes(8, "big")) % self.form.parts
        starts_at = max(now, self.shard_free_at[replica][shard])
        if starts_at - now > self.form.line_s:
            answer("full", 0.0)
            return
        self.shard_free_at[replica][shard] = ends_at = (
            starts_at + self.form.parts / self.form.calls_per_s * self.slow
        )
        self.agenda.at(ends_at, self._serve, self.replicas[replica], name, amount, lifetime_s, answer)

    def _serve(
        self, store: Store, name: int, amount: float, lifetime_s: float, answer: AnswerCallback
    ) -> None:
        if self.mode == "well":  # calls queued when the counter failed are lost
            answer("ok", store.add(self.agenda.now, name, amount, lifetime_s))

    def empty(self) -> None:
        """Delete all totals."""
        self.replicas = [Store() for _ in self.replicas]

    def split(self, replica_of: Callable[[int], int]) -> None:
        """Split into two replicas that both start from all totals; `replica_of` maps a gateway to 0 or 1."""
        self.replicas, self.replica_of = [self.replicas[0], self.replicas[0].copy()], replica_of

    def heal(self) -> None:
        """End the split: keep replica 0 and drop what was added at the other."""
        self.replicas = self.replicas[:1]
