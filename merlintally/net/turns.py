"""Turns of client connections: whose command is handled next while many wait.

At most `max_in_work` commands are in work for clients at a time, that is, read from their buffers and not yet
seen by the owner of the decisions. Further connections wait for a turn, which is one command each, whatever
becomes of it: a refused command costs a turn as a served one does. Waiting connections take turns in
rotation, and a connection that had none for at least one rotation goes before those that had. This is the
order of sparse and bulk flows in FQ-CoDel (RFC 8290), with a quantum of one command: what a client waits for
does not grow with the number of commands that others send.
"""

from __future__ import annotations

from collections import deque

import anyio

NEVER = float("-inf")


class Turn:
    """The place of one connection among those that take turns."""

    __slots__ = ("granted", "in_use", "waiting", "last_number", "event")

    def __init__(self) -> None:
        self.granted = False  # and not used yet
        self.in_use = False  # its command is being handled by the connection's own task
        self.waiting = False
        self.last_number = NEVER  # of the last turn that was granted
        self.event = anyio.Event()

    async def until_granted(self) -> None:
        """Wait until the turn is granted; a cancelled wait may be resumed, and keeps the place."""
        if not self.granted:
            await self.event.wait()


class Turns:
    """Grants turns to connections.

    >>> turns, bulk, sparse = Turns(1), Turn(), Turn()
    >>> turns.try_take(bulk), turns.try_take(sparse)
    (True, False)
    """

    def __init__(self, max_in_work: int) -> None:
        self.max_in_work, self.in_work = max_in_work, 0
        self.granted_count = 0
        self._sparse: deque[Turn] = deque()
        self._bulk: deque[Turn] = deque()
        self.waiting_count = 0  # of those in the queues that have not left

    def try_take(self, turn: Turn) -> bool:
        """Grant a turn if one is free and no other connection waits; return whether `turn` has one."""
        if not turn.granted and self.in_work < self.max_in_work and not self.waiting_count:
            self._grant(turn)
        return turn.granted

    def enter(self, turn: Turn) -> None:
        """Have a connection wait, behind those that wait already with as good a right."""
        turn.waiting, turn.event = True, anyio.Event()
        had_turn_lately = turn.last_number + self.waiting_count >= self.granted_count
        (self._bulk if had_turn_lately else self._sparse).append(turn)
        self.waiting_count += 1

    def leave(self, turn: Turn) -> None:
        """Give the place up of a connection that waits; does nothing for any other."""
        if turn.waiting:
            turn.waiting = False
            self.waiting_count -= 1

    def use(self, turn: Turn) -> None:
        """Use a granted turn: its command is in work from now on, until `finish`, or `release` behind a
        `hand_over`."""
        turn.granted, turn.in_use = False, True

    def finish(self, turn: Turn) -> None:
        """The command of a used turn has been handled; does nothing where none is in use."""
        if turn.in_use:
            turn.in_use = False
            self.release()

    def hand_over(self, turn: Turn) -> None:
        """Another task handles the command of a used turn, and calls `release`."""
        turn.in_use = False

    def abandon(self, turn: Turn) -> None:
        """Give a granted turn back that will not be used."""
        if turn.granted:
            turn.granted = False
            self.release()

    def release(self) -> None:
        """One command in work has been handled: grant its turn to the next connection."""
        self.in_work -= 1
        while self.in_work < self.max_in_work and (turn := self._next()) is not None:
            self.leave(turn)
            self._grant(turn)
            turn.event.set()

    def _next(self) -> Turn | None:
        """Remove and return the next connection that still waits."""
        for queue in (self._sparse, self._bulk):
            while queue:
                turn = queue.popleft()
                if turn.waiting:
                    return turn
        return None

    def _grant(self, turn: Turn) -> None:
        self.granted_count += 1
        self.in_work += 1
        turn.granted, turn.last_number = True, self.granted_count
