"""The usual clients of a play: each sends one request at a time on a connection that it keeps."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from merlintally.lab.live.emulator import HOST
from merlintally.lab.pressure.commands import ask, order
from merlintally.load.sending import answer_end, outcome_of

CLIENTS = 20
CUSTOMERS = 50
PAUSE_S = 0.15  # between the requests of one client
WAIT_MS = 1600
LATE_S = 0.5  # past its time, from which on a request counts as lost


@dataclass(slots=True)
class UsualResult:
    """How the usual requests ended; `late` had no answer when their time was over for `LATE_S`."""

    endings: Counter[str] = field(default_factory=Counter)
    late: int = 0
    latencies: list[float] = field(default_factory=list)  # seconds, of answered requests

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies in seconds; 0 without any."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


class UsualClients:
    """Clients that go on until they are cancelled; every `keyed_of`-th request, if any, has a key."""

    def __init__(
        self, port: int, clients: int = CLIENTS, pause_s: float = PAUSE_S, keyed_of: int = 0
    ) -> None:
        self.port, self.clients, self.pause_s, self.keyed_of = port, clients, pause_s, keyed_of
        self.result, self.numbers = UsualResult(), count(1)

    async def run(self) -> None:
        """Run all clients until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(self.clients):
                group.create_task(self._client(number))

    async def _client(self, number: int) -> None:
        await asyncio.sleep(self.pause_s * number / self.clients)
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while True:
            request = next(self.numbers)
            command = self._command(request)
            for _ in range(2):  # once more on a new connection, where the old one was closed unread
                is_new = connection is None
                try:
                    connection = connection or await asyncio.open_connection(HOST, self.port)
                except OSError:
                    break
                if await self._ask(*connection, command):
                    break
                connection[1].close()
                connection = None
                if is_new:
                    break
            await asyncio.sleep(self.pause_s)

    def _command(self, number: int) -> bytes:
        customer, id_ = b"%016x" % (number % CUSTOMERS), b"usual-%x" % number
        if self.keyed_of and number % self.keyed_of == 0:
            return order(customer, id_, "order", b"BODY", WAIT_MS)
        return ask(customer, id_, wait_ms=WAIT_MS)

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, command: bytes) -> bool:
        """Send a request and record its end; returns False where the connection ended without an answer."""
        sent_at, received = time.monotonic(), b""
        try:
            writer.write(command)
            async with asyncio.timeout(WAIT_MS / 1000 + 2 * LATE_S):
                while answer_end(received) is None:
                    if not (data := await reader.read(1 << 16)):
                        raise ConnectionError
                    received += data
        except (OSError, TimeoutError) as error:
            self.result.endings["unanswered" if isinstance(error, TimeoutError) else "closed"] += 1
            self.result.late += isinstance(error, TimeoutError)
            return False
        passed_s = time.monotonic() - sent_at
        self.result.endings[outcome_of(received)] += 1
        self.result.latencies.append(passed_s)
        self.result.late += passed_s > WAIT_MS / 1000 + LATE_S
        return True
