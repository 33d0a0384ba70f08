"""Sockets that never block: reads into a buffer that is parsed in place, gathered writes, allowances.

The node keeps its own sockets under anyio's readiness calls, since its rules need to know exactly how much
of a message was written when a connection broke.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress

import anyio

Buffer = bytes | bytearray | memoryview
GATHERED = 64  # buffers in one write, well below what any system allows
INITIAL_BUFFER_BYTES = 2048
MAX_BUFFER_BYTES = 160 << 10  # holds two of the largest values of a message
RETRY_S = 0.01  # until a call that failed for want of something is made again
SHORTAGES = frozenset({errno.ENOBUFS, errno.ENOMEM})  # the connection is as it was
# Of the way to the other side: the connection may live on; where it does not, the next call tells its end.
UNREACHABLE = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTDOWN}
)


# States of a TCP connection (TCP_INFO) in which the other side has ended: FIN behind bytes not read yet.
ENDED_STATES = frozenset({8, 9, 11})  # CLOSE_WAIT, LAST_ACK, CLOSING


def passes(wrong: OSError) -> bool:
    """Whether a read or write that failed is made again. Guards against a request that is lost with its
    connection, which one call found short of memory, or its way broken for a moment."""
    return wrong.errno in SHORTAGES or wrong.errno in UNREACHABLE


class Allowance:
    """A number of things that may be held at once: descriptors, or bytes."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self._freed = anyio.Event()

    @property
    def full(self) -> bool:
        return self.held >= self.most

    def take(self, amount: int = 1) -> None:
        self.held += amount

    def give(self, amount: int = 1) -> None:
        self.held -= amount
        freed, self._freed = self._freed, anyio.Event()
        freed.set()

    async def room(self) -> None:
        while self.full:
            await self._freed.wait()


def gather(sock: socket.socket, buffers: Sequence[Buffer]) -> list[Buffer]:
    """Write as much as can be written now, and return what is left. A broken connection raises OSError."""
    left = list(buffers)
    while left:
        try:
            written = sock.sendmsg(left[:GATHERED])
        except (BlockingIOError, InterruptedError):
            return left
        except OSError as wrong:
            if passes(wrong):
                return left
            raise
        done = 0
        while done < len(left) and written >= len(left[done]):
            written -= len(left[done])
            done += 1
        del left[:done]
        if left and written:
            left[0] = memoryview(left[0])[written:]
    return left


class Stream:
    """One connected socket: bytes `start` to `end` of `buffer` are read and not yet used. What the buffer has
    beyond its first size is held from an allowance; one that `waits` grows only when that has room."""

    def __init__(self, sock: socket.socket, held: Allowance | None = None, waits: bool = True) -> None:
        self.sock, self.closed, self.was_reset = sock, False, False
        self.held, self.waits = held or Allowance(MAX_BUFFER_BYTES), waits
        self.buffer, self.start, self.end = bytearray(INITIAL_BUFFER_BYTES), 0, 0
        self.unsent: list[Buffer] = []

    async def receive(self) -> int:
        """Wait for more bytes; 0 when the other side has ended or the connection is broken or closed."""
        while not self.closed:
            if not await self._ready(anyio.wait_readable):
                continue
            self._make_room()
            while self.end == len(self.buffer) and self.waits and self.held.full and not self.closed:
                await self.held.room()
            self._grow()
            try:
                got = self.sock.recv_into(memoryview(self.buffer)[self.end :])
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as wrong:
                if wrong.errno not in SHORTAGES:
                    self.was_reset = True  # it stays so: what ends behind it may not be whole
                if not passes(wrong):
                    return 0
                await anyio.sleep(RETRY_S)
                continue
            self.end += got
            return got
        return 0

    async def _ready(self, wait: Callable[[socket.socket], Awaitable[None]]) -> bool:
        """Wait for the socket; False where another task has closed it meanwhile, or it can't be waited for:
        the system may be short of memory for that, for a moment."""
        try:
            await wait(self.sock)
        except anyio.ClosedResourceError:
            return False
        except OSError:
            await anyio.sleep(RETRY_S)
            return False
        return not self.closed

    def _make_room(self) -> None:
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.buffer) > INITIAL_BUFFER_BYTES:
                self.held.give(len(self.buffer) - INITIAL_BUFFER_BYTES)
                self.buffer = bytearray(INITIAL_BUFFER_BYTES)
        elif self.start and self.end == len(self.buffer):
            kept = self.buffer[self.start : self.end]
            self.buffer[: len(kept)] = kept
            self.start, self.end = 0, len(kept)

    def _grow(self) -> None:
        if self.end == len(self.buffer):
            more = min(len(self.buffer) * 3, max(0, MAX_BUFFER_BYTES - len(self.buffer)))
            self.held.take(more)
            self.buffer.extend(bytes(more))

    @property
    def overfull(self) -> bool:
        return self.end - self.start >= MAX_BUFFER_BYTES

    def write(self, buffers: Sequence[Buffer]) -> bool:
        """Write at once what can be; whether nothing is left, else `flush` has to follow."""
        self.unsent = [*self.unsent, *buffers] if self.unsent else gather(self.sock, buffers)
        return not self.unsent

    async def flush(self, allowed: Callable[[], bool] = lambda: True) -> None:
        """Write what is left, or as much as can be until another task closes the connection, or it is no
        longer `allowed`. Guards against a fault of one connection that ends the node's group of tasks."""
        while self.unsent and not self.closed:
            if not await self._ready(anyio.wait_writable):
                continue
            if not allowed():
                return
            before = self.unsent
            self.unsent = gather(self.sock, before)
            if len(self.unsent) == len(before) and self.unsent[0] is before[0]:
                await anyio.sleep(RETRY_S)  # guards against a loop that spins on calls that fail

    def peer_ended(self) -> bool:
        """Whether the other side has ended its sending, or the connection is broken, as far as can be seen
        without reading on: also behind bytes that are not read."""
        try:
            if not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as wrong:
            return not passes(wrong)
        return self._state() in ENDED_STATES

    def _state(self) -> int:
        """The connection's state as the system has it; 0 where it does not say."""
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, IndexError):
            return 0

    def quiet(self) -> bool:
        """Whether nothing waits unread: the other side has neither ended, nor said anything more."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def end_sending(self) -> None:
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def hang_up(self) -> None:
        """End both directions at once; the task that reads it wakes and closes it. Where that fails, it is
        closed here: what is called off must not go on."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.held.give(len(self.buffer) - INITIAL_BUFFER_BYTES)
            anyio.notify_closing(self.sock)
            with suppress(OSError):  # the descriptor is free all the same
                self.sock.close()


def prepared(sock: socket.socket) -> socket.socket:
    """Have a TCP socket never block, and send at once what is written, where the system takes that up."""
    sock.setblocking(False)
    with suppress(OSError):  # guards against a request that is lost with a connection that is only slower
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def tcp_socket() -> socket.socket:
    return prepared(socket.socket(socket.AF_INET, socket.SOCK_STREAM))


async def connect(sock: socket.socket, where: tuple[str, int]) -> None:
    """Connect a socket that does not block; raises OSError when it can't be."""
    try:
        sock.connect(where)
        return
    except (BlockingIOError, InterruptedError):
        pass
    await anyio.wait_writable(sock)
    if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(code, "connect failed")
    sock.getpeername()  # raises where it was ended meanwhile
