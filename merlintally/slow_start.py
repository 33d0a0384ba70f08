"""Limits on the work that a gateway gives to a server in slow start (I/O-free).

A server that has just started may be sent a stated number of requests per window by all gateways together.
Each gateway has a share: the answers of an average server here, times the stated share and multiple. A window
is divided into slots, and an unused part of one slot is not carried over, so that a window never contains
more than the budgets of `SLOTS_PER_WINDOW + 1` slots.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from merlintally.interface import StartFacts

BUDGET_SHARE_USED = 0.5  # below 1, since a window may contain 1.5 times this share, and random variation
SLOTS_PER_WINDOW = 2
ANSWER_RATE_PERIOD_S = 10.0  # over which answers are counted


@dataclass(slots=True)
class Slot:
    """The budget and the number of requests sent for one server in one slot."""

    number: int
    limit: int
    sent: int = 0


class ColdServer(Protocol):
    """The attributes of a server that this module reads."""

    name: str
    started: float  # start time in seconds; 0 if long ago
    size: float  # relative to other servers; 0 if unknown


class SlowStart:
    """The budgets of all servers in slow start.

    Budgets are kept by server name and start time, so that a server that leaves the list and returns does not
    get a new one.
    """

    def __init__(self, facts: StartFacts, random: Random) -> None:
        self._facts, self._random = facts, random
        self._slots: dict[tuple[str, float], Slot] = {}
        self._list_lengths: deque[tuple[float, int]] = deque()  # of the server list: time of change, length
        self._mean_size = 1.0

    def is_cold(self, now: float, started: float) -> bool:
        """Whether a server that started at `started` (0: long ago) is still in slow start."""
        return started > 0 and now - started < self._facts.warm_within

    def update_servers(self, now: float, sizes: Sequence[float]) -> None:
        """Set the sizes of all listed servers."""
        stated = [size for size in sizes if size > 0]
        self._mean_size = sum(stated) / len(stated) if stated else 1.0
        self._list_lengths.append((now, len(sizes)))
        while len(self._list_lengths) > 1 and self._list_lengths[1][0] < now - ANSWER_RATE_PERIOD_S:
            self._list_lengths.popleft()
        self._slots = {key: slot for key, slot in self._slots.items() if self.is_cold(now, key[1])}

    def has_room(self, now: float, server: ColdServer, answers_per_s: float) -> bool:
        """Whether a request may be sent; `answers_per_s` is the rate of answers of all servers together."""
        if not self.is_cold(now, server.started):
            return True
        slot = self._slot(now, server, answers_per_s)
        return slot.sent < slot.limit

    def record_send(self, name: str, started: float) -> None:
        """Count a request against the budget of a server."""
        if (slot := self._slots.get((name, started))) is not None:
            slot.sent += 1

    def _slot(self, now: float, server: ColdServer, answers_per_s: float) -> Slot:
        """The current slot. A fractional budget is rounded up at random, once per slot."""
        facts, age, key = self._facts, max(0.0, now - server.started), (server.name, server.started)
        length = facts.tip_window / SLOTS_PER_WINDOW
        number, slot = int(age / length), self._slots.get(key)
        if slot is None or slot.number != number:
            share = facts.cold_share + (1 - facts.cold_share) * age / facts.warm_within
            answers = answers_per_s / self._longest_list(now) * length
            answers = max(answers, 1 / facts.gateways / SLOTS_PER_WINDOW) * self._relative_size(server)
            budget = facts.tip_multiple * share * BUDGET_SHARE_USED * answers
            limit = int(budget) + (self._random.random() < budget % 1)
            slot = self._slots[key] = Slot(number, limit)
        return slot

    def _relative_size(self, server: ColdServer) -> float:
        """The stated size relative to the mean, at most 1."""
        return min(1.0, server.size / self._mean_size) if server.size > 0 else 1.0

    def _longest_list(self, now: float) -> int:
        """The longest server list in the period over which answers are counted.

        When the list shrinks at once, the answers still include those of the servers that have left.
        """
        lengths = [
            length
            for at, (_, length) in enumerate(self._list_lengths)
            if at + 1 == len(self._list_lengths) or self._list_lengths[at + 1][0] > now - ANSWER_RATE_PERIOD_S
        ]
        return max([1, *lengths])
