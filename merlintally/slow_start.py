"""How much of its work a gateway may give to a server in slow start (a decision; I/O-free).

A cold server bears a stated number of requests in a stated window, from all gateways together. Each gateway
has a part of it: what one server answers here, times the stated share and multiple. A window is cut into
slots; what is not used in one is gone, so that a window never holds more than `SLOTS + 1` of them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from merlintally.interface import StartFacts

SAFETY = 0.5  # part of the stated budget that is used: a window holds up to 1.5 times that, and chance
SLOTS = 2  # in one window
MEASURED_S = 10.0  # seconds over which answers are counted: the servers that gave them may have left the list


@dataclass(slots=True)
class Slot:
    """What may be sent to one server in one slot, and what was."""

    number: int
    most: int
    sent: int = 0


class ColdServer(Protocol):
    """A server, as far as this module looks at it."""

    name: str
    started: float  # seconds; 0: long ago
    size: float  # as stated, beside those of others; 0: unknown


class SlowStart:
    """The budgets of all cold servers, by name and start: one that leaves the list and returns keeps its."""

    def __init__(self, facts: StartFacts, chance: Random) -> None:
        self._facts, self._chance = facts, chance
        self._slots: dict[tuple[str, float], Slot] = {}
        self._lengths: deque[tuple[float, int]] = deque()  # of the list: since when, and how long
        self._mean_size = 1.0

    def is_cold(self, now: float, started: float) -> bool:
        """Whether a server that started at `started` (0: long ago) has still to warm up."""
        return started > 0 and now - started < self._facts.warm_within

    def listed(self, now: float, sizes: Sequence[float]) -> None:
        """The list holds servers of these stated sizes from now on."""
        stated = [size for size in sizes if size > 0]
        self._mean_size = sum(stated) / len(stated) if stated else 1.0
        self._lengths.append((now, len(sizes)))
        while len(self._lengths) > 1 and self._lengths[1][0] < now - MEASURED_S:
            self._lengths.popleft()
        self._slots = {key: slot for key, slot in self._slots.items() if self.is_cold(now, key[1])}

    def room(self, now: float, server: ColdServer, answers_per_s: float) -> bool:
        """Whether a send is allowed; `answers_per_s` is what all servers together answer here."""
        if not self.is_cold(now, server.started):
            return True
        slot = self._slot(now, server, answers_per_s)
        return slot.sent < slot.most

    def sent(self, name: str, started: float) -> None:
        """A send was decided."""
        if (slot := self._slots.get((name, started))) is not None:
            slot.sent += 1

    def _slot(self, now: float, server: ColdServer, answers_per_s: float) -> Slot:
        """The present slot. A part below one request is the chance of one, drawn once for each slot."""
        facts, age, key = self._facts, max(0.0, now - server.started), (server.name, server.started)
        length = facts.tip_window / SLOTS
        number, slot = int(age / length), self._slots.get(key)
        if slot is None or slot.number != number:
            share = facts.cold_share + (1 - facts.cold_share) * age / facts.warm_within
            part = answers_per_s / self._widest(now) * length
            part = max(part, 1 / facts.gateways / SLOTS) * self._relative_size(server)
            budget = facts.tip_multiple * share * SAFETY * part
            most = int(budget) + (self._chance.random() < budget % 1)
            slot = self._slots[key] = Slot(number, most)
        return slot

    def _relative_size(self, server: ColdServer) -> float:
        """How much of the mean server's work it can do, by the stated sizes; never more than that."""
        return min(1.0, server.size / self._mean_size) if server.size > 0 else 1.0

    def _widest(self, now: float) -> int:
        """The longest list in the time over which answers are counted. Guards against what many servers
        answered taken for the work of the few that are left, where a list shrinks at once."""
        lengths = [
            length
            for at, (_, length) in enumerate(self._lengths)
            if at + 1 == len(self._lengths) or self._lengths[at + 1][0] > now - MEASURED_S
        ]
        return max([1, *lengths])
