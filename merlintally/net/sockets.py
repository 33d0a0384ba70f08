"""Non-blocking sockets: reads into a buffer that is parsed in place, gathered writes, and resource limits.

The node uses plain sockets with anyio's readiness calls, since it has to know exactly how much of a message
was written when a connection breaks.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress

import anyio

Buffer = bytes | bytearray | memoryview
MAX_BUFFERS_PER_WRITE = 64  # below the limit of any system
INITIAL_BUFFER_BYTES = 2048
MAX_BUFFER_BYTES = 160 << 10  # holds two of the largest values of a message
RETRY_S = 0.01  # delay before a system call that failed for lack of a resource is repeated
END_POLL_S = 0.05  # between looks for an end behind unread bytes, which wakes no reader
SHORTAGES = frozenset({errno.ENOBUFS, errno.ENOMEM})  # leave the connection intact
# Errors of the route, which the connection may survive; if it does not, the next call reports its end.
ROUTE_ERRORS = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTDOWN}
)
# TCP states (TCP_INFO) in which the peer has ended or reset the connection, even if bytes before that have
# not been read yet.
ENDED_STATES = frozenset({7, 8, 9, 11})  # CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING


def is_transient(error: OSError) -> bool:
    """Whether a failed read or write is to be repeated: the error may pass, and closing the connection would
    lose its requests."""
    return error.errno in SHORTAGES or error.errno in ROUTE_ERRORS


class NoMemory(Exception):
    """A receive buffer could not grow in time, since the memory for buffers is used up."""


class ResourceLimit:
    """Limits a resource held at one time, such as descriptors or bytes of memory.

    `acquire` never blocks and may exceed the limit; callers check `full`, or await `available` first. A part
    of the limit, `reserve`, is only for holders that check `full`; the others check `short`.
    """

    def __init__(self, limit: int, reserve: int = 0) -> None:
        self.limit, self.reserve, self.used = limit, reserve, 0
        self._available, self._ample = anyio.Event(), anyio.Event()

    @property
    def full(self) -> bool:
        return self.used >= self.limit

    @property
    def short(self) -> bool:
        """Whether nothing but the reserve is left."""
        return self.used >= self.limit - self.reserve

    def acquire(self, amount: int = 1) -> None:
        self.used += amount

    def release(self, amount: int = 1) -> None:
        was_full, was_short = self.full, self.short
        self.used -= amount
        if was_full and not self.full:
            available, self._available = self._available, anyio.Event()
            available.set()
        if was_short and not self.short:
            ample, self._ample = self._ample, anyio.Event()
            ample.set()

    async def available(self) -> None:
        """Waits until the limit is not reached."""
        while self.full:
            await self._available.wait()

    async def ample(self) -> None:
        """Waits until more than the reserve is left."""
        while self.short:
            await self._ample.wait()


def send_buffers(sock: socket.socket, buffers: Sequence[Buffer]) -> list[Buffer]:
    """Writes as much as possible without blocking and returns the rest. Raises OSError if the connection is
    broken."""
    rest = list(buffers)
    while rest:
        try:
            written = sock.sendmsg(rest[:MAX_BUFFERS_PER_WRITE])
        except (BlockingIOError, InterruptedError):
            return rest
        except OSError as error:
            if is_transient(error):
                return rest
            raise
        complete = 0
        while complete < len(rest) and written >= len(rest[complete]):
            written -= len(rest[complete])
            complete += 1
        del rest[:complete]
        if rest and written:
            rest[0] = memoryview(rest[0])[written:]
    return rest


class Stream:
    """A connected socket with a receive buffer, whose bytes from `start` to `end` are not yet consumed.

    The buffer's size beyond the initial one counts against the limit `memory`, and is given back as soon as
    the buffer is empty. The buffer grows while more than the reserve of `memory` is left, and waits up to
    `memory_wait_s` for that; without a wait (None) it grows regardless.
    """

    def __init__(
        self,
        sock: socket.socket,
        memory: ResourceLimit | None = None,
        memory_wait_s: float | None = float("inf"),
    ) -> None:
        self.sock, self.closed, self.was_reset = sock, False, False
        self.memory, self.memory_wait_s = memory or ResourceLimit(MAX_BUFFER_BYTES), memory_wait_s
        self.buffer, self.start, self.end = bytearray(INITIAL_BUFFER_BYTES), 0, 0
        self.unsent: list[Buffer] = []

    async def receive(self) -> int:
        """Waits for more bytes and returns their number; 0 if the peer has ended, or the connection is broken
        or closed. Raises `NoMemory` if the buffer can't grow to hold them."""
        while not self.closed:
            if not await self._wait_ready(anyio.wait_readable):
                continue
            self._make_room()
            if self.needs_memory and not await self._wait_for_memory():
                return 0
            self._grow()
            try:
                count = self.sock.recv_into(memoryview(self.buffer)[self.end :])
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                if error.errno not in SHORTAGES:
                    self.was_reset = True  # stays set: data that ends after it may be incomplete
                if not is_transient(error):
                    return 0
                await anyio.sleep(RETRY_S)
                continue
            self.end += count
            return count
        return 0

    async def _wait_ready(self, wait: Callable[[socket.socket], Awaitable[None]]) -> bool:
        """Waits for the socket. Returns False if another task has closed it meanwhile, or the system could
        not wait for it, for example for lack of memory."""
        try:
            await wait(self.sock)
        except anyio.ClosedResourceError:
            return False
        except OSError:
            await anyio.sleep(RETRY_S)
            return False
        return not self.closed

    @property
    def needs_memory(self) -> bool:
        """Whether the buffer has to grow, and may not do so at present."""
        return self.end == len(self.buffer) and self.memory_wait_s is not None and self.memory.short

    async def _wait_for_memory(self) -> bool:
        """Waits until the buffer may grow. Returns False if the connection has ended meanwhile: memory that
        others wait for must not be held for a peer that has gone. Raises `NoMemory` after `memory_wait_s`."""
        ends_at = anyio.current_time() + (self.memory_wait_s or 0.0)
        while self.needs_memory:
            if self.closed or self.peer_ended():
                return False
            if anyio.current_time() >= ends_at:
                raise NoMemory
            with anyio.move_on_after(END_POLL_S):
                await self.memory.ample()
        return not self.closed

    async def end_of_peer(self) -> None:
        """Waits until the peer has ended the connection, without reading: the end may be behind unread
        bytes."""
        while not self.closed and not self.peer_ended():
            await anyio.sleep(END_POLL_S)

    def _make_room(self) -> None:
        self._release_if_empty()
        if self.start and self.end == len(self.buffer):
            unconsumed = self.buffer[self.start : self.end]
            self.buffer[: len(unconsumed)] = unconsumed
            self.start, self.end = 0, len(unconsumed)

    def _release_if_empty(self) -> None:
        """Gives back the memory of a buffer without unconsumed bytes."""
        if self.start < self.end:
            return
        self.start = self.end = 0
        if self.grown_bytes and not self.closed:
            self.memory.release(self.grown_bytes)
            self.buffer = bytearray(INITIAL_BUFFER_BYTES)

    def _grow(self) -> None:
        if self.end == len(self.buffer):
            growth = min(len(self.buffer) * 3, max(0, MAX_BUFFER_BYTES - len(self.buffer)))
            self.memory.acquire(growth)
            self.buffer.extend(bytes(growth))

    def consume_to(self, stop: int) -> None:
        """Consumes the buffer up to `stop`; an empty buffer gives its memory back."""
        self.start = stop
        self._release_if_empty()

    @property
    def grown_bytes(self) -> int:
        """The buffer's size beyond the initial one, which counts against `memory`."""
        return len(self.buffer) - INITIAL_BUFFER_BYTES

    @property
    def is_full(self) -> bool:
        """Whether as many bytes are unconsumed as the buffer may hold."""
        return self.end - self.start >= MAX_BUFFER_BYTES

    def write(self, buffers: Sequence[Buffer]) -> bool:
        """Writes without blocking. Returns whether all was written; if not, `flush` has to follow."""
        self.unsent = [*self.unsent, *buffers] if self.unsent else send_buffers(self.sock, buffers)
        return not self.unsent

    async def flush(self, allowed: Callable[[], bool] = lambda: True) -> None:
        """Writes the rest, until another task closes the connection or `allowed` returns False."""
        while self.unsent and not self.closed:
            if not await self._wait_ready(anyio.wait_writable):
                continue
            if not allowed():
                return
            unsent_before = self.unsent
            self.unsent = send_buffers(self.sock, unsent_before)
            if len(self.unsent) == len(unsent_before) and self.unsent[0] is unsent_before[0]:
                await anyio.sleep(RETRY_S)  # nothing was written: prevents a busy loop

    def peer_ended(self) -> bool:
        """Whether the peer has ended its sending or the connection is broken, as far as the system reports it
        without a read; an end after unread bytes is included."""
        try:
            if not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            return not is_transient(error)
        return self._tcp_state() in ENDED_STATES

    def _tcp_state(self) -> int:
        """The TCP state of the connection; 0 if the system does not provide it."""
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, IndexError):
            return 0

    def nothing_to_read(self) -> bool:
        """Whether there is nothing to read: neither bytes nor the peer's end nor an error."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def end_sending(self) -> None:
        """Shuts down the sending direction."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def shut_down(self) -> None:
        """Shuts down both directions, which wakes the reading task to close the socket. If that fails, the
        socket is closed here, so that a cancelled exchange does not continue."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            self.close()

    def close(self) -> None:
        """Closes the socket and releases the buffer's memory; does nothing if closed."""
        if not self.closed:
            self.closed = True
            self.memory.release(self.grown_bytes)
            anyio.notify_closing(self.sock)
            with suppress(OSError):  # the descriptor is released even then
                self.sock.close()


def configure_tcp(sock: socket.socket) -> socket.socket:
    """Makes a TCP socket non-blocking and disables Nagle's algorithm if possible."""
    sock.setblocking(False)
    with suppress(OSError):  # the connection is only slower without it
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def tcp_socket() -> socket.socket:
    """A new non-blocking TCP socket; raises OSError."""
    return configure_tcp(socket.socket(socket.AF_INET, socket.SOCK_STREAM))


async def connect(sock: socket.socket, address: tuple[str, int]) -> None:
    """Connects a non-blocking socket; raises OSError."""
    try:
        sock.connect(address)
        return
    except (BlockingIOError, InterruptedError):
        pass
    await anyio.wait_writable(sock)
    if error_number := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(error_number, "connect failed")
    sock.getpeername()  # raises if the connection has ended meanwhile
