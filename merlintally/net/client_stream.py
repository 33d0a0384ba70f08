"""The stream of a client connection, with a lower bound on when its bytes arrived.

Bytes that may have waited in the receive buffer are read until it is empty, so that a client's end is seen
together with the requests before it.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator

from merlintally.fields import Malformed
from merlintally.net.arrivals import Arrivals
from merlintally.net.polling import ReadyTimes
from merlintally.net.resp import array_at
from merlintally.net.sockets import ResourceLimit, Stream, is_transient
from merlintally.net.timers import Clock

FRESH_READ_S = 0.01  # younger bytes are handled without reading on first for the client's end


class ClientStream(Stream):
    """A `Stream` that records the earliest possible arrival of what it reads.

    `not_before` is a time, in Unix seconds, at which the connection did not exist yet.
    """

    def __init__(
        self,
        sock: socket.socket,
        held: ResourceLimit,
        clock: Clock,
        ready_times: ReadyTimes,
        not_before: float,
        memory_wait_s: float,
    ) -> None:
        super().__init__(sock, held, memory_wait_s)
        self._clock, self._ready_times = clock, ready_times
        self._arrivals = Arrivals(not_before)

    async def receive(self) -> int:
        """Wait for more bytes and return their number; 0 if the client has ended the connection.

        Where the bytes may have waited, all that are available are read.
        """
        count = await super().receive()
        if not count:
            return 0
        arrivals, now = self._arrivals, self._clock.now()
        arrivals.mark_empty(self._ready_times.since(self.sock.fileno()) + self._clock.offset)
        arrivals.add(count)
        fresh = now - arrivals.last_empty_at < FRESH_READ_S
        if self.end < len(self.buffer):
            arrivals.mark_empty(now)  # fewer bytes were available than were asked for
            if fresh:
                return count
        remaining = self._read_remaining()
        return count + remaining if remaining is not None else 0

    def _read_remaining(self) -> int | None:
        """Read all available bytes and return their number; None if the connection has ended."""
        total = 0
        while not self.is_full and self._has_room():
            try:
                count = self.sock.recv_into(memoryview(self.buffer)[self.end :])
            except (BlockingIOError, InterruptedError):
                self._arrivals.mark_empty(self._clock.now())
                break
            except OSError as error:
                if is_transient(error):
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
        if self.needs_memory:
            return False
        self._grow()
        return True

    def consume(self, stop: int) -> float:
        """Consume the buffer up to `stop`; positions in it are invalid afterwards.

        Returns the earliest time, in Unix seconds, at which the last of these bytes can have arrived.
        """
        earliest = self._arrivals.consume(stop - self.start)
        self.consume_to(stop)
        return earliest

    def complete_commands(self) -> Iterator[int]:
        """Yield where each complete command ends that was read and not consumed, in order."""
        position = self.start
        try:
            while (command := array_at(self.buffer, position, self.end)) is not None:
                words, position = command
                if words:
                    yield position
        except Malformed:
            return  # framing is lost: further commands cannot be recognized

    def awaits_rest(self) -> bool:
        """Return whether what was read and not consumed is nothing, or the beginning of one command.

        False for a complete command and for malformed input, which are still to be answered.
        """
        try:
            return array_at(self.buffer, self.start, self.end) is None
        except Malformed:
            return False

    def discard(self) -> None:
        """Discard what was read and not consumed."""
        self.consume_to(self.end)
        self._arrivals.clear()
