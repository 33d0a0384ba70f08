"""A client's connection: what may have waited is read until nothing is left, so that an end behind a request
is seen with it, and each request is known to have come no earlier than a stated moment."""

from __future__ import annotations

import socket

from merlintally.net.arrivals import Arrivals
from merlintally.net.polling import ReadyTimes
from merlintally.net.sockets import ResourceLimit, Stream, is_transient
from merlintally.net.timers import Clock

FRESH_S = 0.01  # since bytes can have come, up to which their client's end is not looked for at once


class ClientStream(Stream):
    """A `Stream` that knows how old what it reads may be. `came_after` is a moment (Unix seconds) before
    which nothing can have come: one at which the connection was not yet there."""

    def __init__(
        self,
        sock: socket.socket,
        held: ResourceLimit,
        clock: Clock,
        ready_times: ReadyTimes,
        came_after: float,
    ) -> None:
        super().__init__(sock, held)
        self._clock, self._ready_times = clock, ready_times
        self._arrivals = Arrivals(came_after)

    async def receive(self) -> int:
        """Wait for more bytes, and read all there are where they may have waited; 0 when the client has
        ended, whatever it had sent."""
        count = await super().receive()
        if not count:
            return 0
        arrivals, now = self._arrivals, self._clock.now()
        arrivals.seen_empty(self._ready_times.since(self.sock.fileno()) + self._clock.offset)
        arrivals.add(count)
        fresh = now - arrivals.seen_empty_at < FRESH_S
        if self.end < len(self.buffer):
            arrivals.seen_empty(now)  # it asked for more than there was
            if fresh:
                return count
        more = self._read_what_is_left()
        return count + more if more is not None else 0

    def _read_what_is_left(self) -> int | None:
        """How many bytes more were read without a wait; None when the connection's end was found."""
        total = 0
        while not self.is_full and self._has_room():
            try:
                count = self.sock.recv_into(memoryview(self.buffer)[self.end :])
            except (BlockingIOError, InterruptedError):
                self._arrivals.seen_empty(self._clock.now())
                break
            except OSError as wrong:
                if is_transient(wrong):
                    break
                self.was_reset = True
                return None
            if not count:
                return None
            self.end += count
            self._arrivals.add(count)
            total += count
        return total

    def _has_room(self) -> bool:
        self._make_room()
        if self.end == len(self.buffer) and self.memory.full:
            return False
        self._grow()
        return True

    def use(self, stop: int) -> float:
        """The bytes up to `stop` in the buffer are used; gives when the last of them can have come at the
        earliest, in Unix seconds."""
        earliest = self._arrivals.use(stop - self.start)
        self.start = stop
        return earliest

    def throw_away(self) -> None:
        """Forget what was read and not used."""
        self.start = self.end = 0
        self._arrivals.clear()
