"""The phases of a node's life from start to exit."""

from __future__ import annotations

from enum import IntEnum

import anyio


class Phase(IntEnum):
    """The phases in their order."""

    STARTING = 0  # not serving yet
    SERVING = 1  # accepts requests
    LEAVING = 2  # shutdown requested; still accepts requests until the load balancer has noticed
    FINISHING = 3  # accepts no new requests, answers the open ones
    ENDED = 4


class Phases:
    """The current phase, which only advances, and events for reaching each."""

    def __init__(self) -> None:
        self.current = Phase.STARTING
        self._reached = {phase: anyio.Event() for phase in Phase}
        self._reached[Phase.STARTING].set()

    def enter(self, phase: Phase) -> None:
        """Advances to `phase`; does nothing if it has been passed."""
        for step in Phase:
            if self.current < step <= phase:
                self.current = step
                self._reached[step].set()

    async def reached(self, phase: Phase) -> None:
        """Waits until `phase` has been reached or passed."""
        await self._reached[phase].wait()
