"""A process that strains an edge node: arguments are port, kind, connections, seconds and seed.

A kind may end with a slash and the most commands that each connection has without an answer.

It prints the number of commands written, and of the answers of each kind, as JSON when it ends.
"""

from __future__ import annotations

import json
import selectors
import socket
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from itertools import count

from merlintally.lab.live.emulator import HOST
from merlintally.lab.pressure.commands import commands, long_order

BATCH = 32  # commands that are encoded at a time for one connection
SLOW_STEP_BYTES = 400
SLOW_STEP_S = 0.1
HALF = 0.5  # of a request that is never finished
READ_BYTES = 1 << 16
ANSWER_KINDS = {"served": b"$", "refused": b"-BUSY", "failed": b"-ERR"}  # by what such an answer begins with


def connected(port: int) -> socket.socket:
    """Connect to the node; the socket does not block."""
    sock = socket.create_connection((HOST, port), timeout=3.0)
    sock.setblocking(False)
    return sock


class Flood:
    """Connections that send at full speed and read what they are sent; a closed one is opened anew.

    With a `window`, each connection waits while so many of its commands have no answer.
    """

    def __init__(self, port: int, kind: str, connections: int, seed: int, window: int = 0) -> None:
        self.port, self.kind, self.seed, self.window = port, kind, seed, window
        self.selector = selectors.DefaultSelector()
        self.unsent: dict[socket.socket, memoryview] = {}
        self.sources: dict[socket.socket, Iterator[bytes]] = {}
        self.unanswered: dict[socket.socket, int] = {}
        self.numbers = count(seed * 1000)
        self.counts = Counter[str]()
        for _ in range(connections):
            self._open()

    def _open(self) -> None:
        with suppress(OSError):
            sock = connected(self.port)
            self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
            self.sources[sock] = commands(self.kind, next(self.numbers))
            self.unsent[sock] = memoryview(b"")
            self.unanswered[sock] = 0

    def run(self, seconds: float) -> Counter[str]:
        """Send until the time is over; returns the numbers of commands and of answers by kind."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if not self.sources:
                time.sleep(0.02)
                self._open()
            for key, events in self.selector.select(0.1):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                try:
                    self._exchange(sock, events)
                except BlockingIOError:
                    continue
                except OSError:
                    self.selector.unregister(sock)
                    sock.close()
                    del self.sources[sock], self.unsent[sock], self.unanswered[sock]
                    self._open()
        return self.counts

    def _exchange(self, sock: socket.socket, events: int) -> None:
        if events & selectors.EVENT_READ:
            if not (received := sock.recv(READ_BYTES)):
                raise OSError("the node has closed the connection")
            answers = {kind: received.count(head) for kind, head in ANSWER_KINDS.items()}
            self.counts.update(answers)
            self.unanswered[sock] -= sum(answers.values())
        if events & selectors.EVENT_WRITE:
            self._write(sock)
        self._await_writable(sock, bool(self.unsent[sock]) or self._commands_due(sock) > 0)

    def _commands_due(self, sock: socket.socket) -> int:
        """Return how many further commands may be sent on a connection."""
        return min(BATCH, self.window - self.unanswered[sock]) if self.window else BATCH

    def _write(self, sock: socket.socket) -> None:
        if not self.unsent[sock] and (due := self._commands_due(sock)) > 0:
            source = self.sources[sock]
            self.unsent[sock] = memoryview(b"".join(next(source) for _ in range(due)))
            self.unanswered[sock] += due
            self.counts["commands"] += due
        if self.unsent[sock]:
            sent = sock.send(self.unsent[sock])
            self.unsent[sock] = self.unsent[sock][sent:]

    def _await_writable(self, sock: socket.socket, wanted: bool) -> None:
        self.selector.modify(sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if wanted else 0))


def write_partly(port: int, connections: int, seconds: float, seed: int, slowly: bool) -> Counter[str]:
    """Send long requests slowly, or one half of each and no more; closed connections are opened anew."""
    ends, rows = time.monotonic() + seconds, dict[socket.socket, tuple[bytes, int]]()
    numbers, counts = count(seed * 100_000), Counter[str]()
    while time.monotonic() < ends:
        while len(rows) < connections:
            with suppress(OSError):
                rows[connected(port)] = (long_order(b"slow-%x" % next(numbers)), 0)
                continue
            break
        for sock, (request, position) in list(rows.items()):
            stop = position + SLOW_STEP_BYTES if slowly else int(len(request) * HALF)
            try:
                with suppress(BlockingIOError):
                    position += sock.send(request[position:stop])
                with suppress(BlockingIOError):
                    if not sock.recv(READ_BYTES):
                        raise OSError("the node has closed the connection")
            except OSError:
                sock.close()
                del rows[sock]
                continue
            counts["commands"] += position >= len(request)
            rows[sock] = (request, position if position < len(request) else 0)
        time.sleep(SLOW_STEP_S)
    return counts


def main(port: int, kind: str, connections: int, seconds: float, seed: int) -> Counter[str]:
    """Strain the node at a port; returns the numbers of commands written whole, and of answers by kind."""
    if kind in ("slow", "half"):
        return write_partly(port, connections, seconds, seed, kind == "slow")
    kind, _, window = kind.partition("/")
    return Flood(port, kind, connections, seed, int(window or 0)).run(seconds)


if __name__ == "__main__":
    port_, kind_, connections_, seconds_, seed_ = sys.argv[1:]
    print(json.dumps(main(int(port_), kind_, int(connections_), float(seconds_), int(seed_))))
