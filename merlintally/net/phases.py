"""The phases of a node from start to exit: named states of one object, which only go forward."""

from __future__ import annotations

from enum import IntEnum

import anyio


class Phase(IntEnum):
    STARTING = 0  # nothing listens yet
    SERVING = 1  # takes requests
    LEAVING = 2  # told to stop; goes on taking until the front has noticed
    FINISHING = 3  # takes nothing new; answers what it has
    ENDED = 4


class Phases:
    def __init__(self) -> None:
        self.current = Phase.STARTING
        self._reached = {phase: anyio.Event() for phase in Phase}
        self._reached[Phase.STARTING].set()

    def enter(self, phase: Phase) -> None:
        """Go forward to `phase`; one already passed stays passed."""
        for step in Phase:
            if self.current < step <= phase:
                self.current = step
                self._reached[step].set()

    async def reached(self, phase: Phase) -> None:
        await self._reached[phase].wait()
