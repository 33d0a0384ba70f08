"""Runs a world's agenda in real time."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from merlintally.lab.model.agenda import Agenda

STEP_S = 0.004  # the longest sleep: sockets put in calls that are due sooner


class Pump:
    """The world's clock follows Unix time from its start, without jumps."""

    def __init__(self, agenda: Agenda) -> None:
        self.agenda, self.offset = agenda, agenda.now - time.monotonic()
        self.late = 0.0  # the longest that a call was made after its time, seconds

    def tick(self) -> float:
        """Make the calls that are due, and give the world's time: sockets do so before they tell it."""
        now = time.monotonic() + self.offset
        self.agenda.run(now)
        self.agenda.now = max(self.agenda.now, now)
        return self.agenda.now

    async def run(self, until: Callable[[], bool]) -> None:
        while not until():
            due = self.agenda.next_at()
            if due is not None:
                self.late = max(self.late, time.monotonic() + self.offset - due)
            self.tick()
            due = self.agenda.next_at()
            wait = STEP_S if due is None else min(STEP_S, due - time.monotonic() - self.offset)
            await anyio.sleep(max(0.0, wait))
