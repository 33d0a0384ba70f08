"""What the nodes of a soak talk to: app servers, discovery and the counter, with troubles of their own."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections import defaultdict
from contextlib import suppress
from random import Random, randint

import h11

from merlintally.fields import Malformed
from merlintally.lab.live.emulator import HOST, Serve
from merlintally.lab.live.standins import OVERLOADED_STATUS, asked_in, reset, write_page
from merlintally.lab.soak.records import Records, SeenAttempt, Told
from merlintally.net.resp import array_at, bulk

NOTHING = b"$-1\r\n"
MOST_READ = 1 << 16
PORTS = (12_000, 30_000)
Row = tuple[int, str, float]  # index, status, start by the wall clock
GIVEN = set[int]()  # to somebody who may not listen yet


def free_port() -> int:
    """A port of loopback that is nobody's now, and that the system gives to no outgoing connection."""
    while True:
        port = randint(*PORTS)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((HOST, port))
            if port not in GIVEN:
                GIVEN.add(port)
                return port


class SoakServer:
    """One app server. Each node reaches it at a port of its own, so that attempts name their node."""

    def __init__(self, name: str, records: Records, chance: Random, nodes: list[str]) -> None:
        self.name, self.records, self.chance, self.nodes = name, records, chance, nodes
        self.group = 0
        self.ports: dict[str, int] = {}  # by node, where it listens
        self.doors: dict[str, int] = {}  # by node, the port of the proxy on the way there
        self.late_until: dict[str, float] = {}  # by node, until when what comes may have been held on its way
        self.listeners: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.status, self.started_wall_s = "SERVING", 0.0
        self.hangs = self.slow = False
        self.trouble = 0.05  # share of attempts that end otherwise than well

    async def up(self) -> None:
        """Listen, at the same ports as before."""
        for node in self.nodes:
            serve = self._serve_for(node)
            if node not in self.ports:
                self.ports[node] = free_port()
            self.listeners.append(await asyncio.start_server(serve, HOST, self.ports[node]))

    async def down(self) -> None:
        """Its process has died: connections are reset, new ones refused."""
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()
        for writer in list(self.writers):
            reset(writer)

    def _serve_for(self, node: str) -> Serve:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.add(writer)
            try:
                await self._serve(node, reader, writer)
            except (OSError, Malformed):
                pass
            finally:
                self.writers.discard(writer)
                with suppress(OSError, RuntimeError):
                    writer.close()

        return serve

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        buffer, first_byte_at = bytearray(), 0.0
        early = self.chance.random() < self.trouble / 5
        while chunk := await reader.read(MOST_READ):
            if not buffer:
                first_byte_at = time.monotonic()
            buffer += chunk
            found = array_at(buffer, 0, len(buffer))
            if found is None:
                if early:  # noise before the request is whole
                    writer.write(b"-BUSY\r\n")
                    await asyncio.sleep(0.05)
                    return reset(writer)
                continue
            words = [bytes(buffer[a:b]) for a, b in (span or (0, 0) for span in found[0])]
            del buffer[: found[1]]
            if not await self._command(node, words, first_byte_at, reader, writer):
                return

    async def _command(
        self,
        node: str,
        words: list[bytes],
        first_byte_at: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Take one attempt; whether the connection goes on."""
        terms = dict(part.split("=", 1) for part in words[3].decode().split(","))
        attempt = SeenAttempt(
            words[2].decode(),
            node,
            self.name,
            first_byte_at,
            time.monotonic(),
            int(terms["d"]) / 1000,
            ran=True,
            on_time=first_byte_at > self.late_until.get(node, 0.0),
        )
        self.records.attempts.append(attempt)
        fate = self.chance.random() / self.trouble if self.trouble else 1.0
        if fate < 0.25:
            attempt.ran = False
            writer.write(b"-BUSY\r\n")
            return True
        await asyncio.sleep(self.chance.uniform(0.005, 0.03) * (20 if self.slow else 1))
        while self.hangs:
            await asyncio.sleep(0.05)
        if fate < 0.4:
            reset(writer)
            return False
        if fate < 0.5:
            await asyncio.sleep(self.chance.uniform(0.2, 3.0))
        if fate < 0.65:
            writer.write(b"-ERR failed\r\n")
        elif fate < 0.75:
            writer.write(b"*3\r\n$x\r\n\xff\x00garbage\r\n")
            return False
        elif fate < 0.85:
            writer.write(b"*3\r\n$500\r\nhalf")
            await asyncio.sleep(0.4)
            return False
        else:
            size = self.chance.choice((10, 10, 10, 5_000, 60_000))
            writer.write(b"*3\r\n" + bulk(words[2] + b"." * size) + NOTHING + NOTHING)
            if fate < 0.95:
                await asyncio.sleep(0.005)
                writer.write(b"*3\r\n" + bulk(b"another") + NOTHING + NOTHING)
        await writer.drain()
        return True


class SoakDiscovery:
    """The list, as each node's agent has it; every node has a port of its own, and a new one after a move."""

    def __init__(self, servers: list[SoakServer], records: Records) -> None:
        self.servers, self.records, self.index = servers, records, 1
        self.changed = asyncio.Event()
        self.rows: dict[str, Row] = {}  # index, status, start by the wall clock
        self.silent: set[str] = set()  # nodes whose agents say nothing
        self.refusing: set[str] = set()  # nodes whose agents refuse calls as overloaded ones do
        self.slow_s = defaultdict[str, float](float)  # by node: delay of each answer, once it is due
        self.told_index = defaultdict[str, int](int)  # by node: the newest list that was written to it
        self.listeners: dict[str, list[asyncio.Server]] = defaultdict(list)
        self.writers: dict[str, set[asyncio.StreamWriter]] = defaultdict(set)
        for server in servers:
            self.rows[server.name] = (1, server.status, 0.0)

    def tell(self, server: SoakServer) -> None:
        """A server's status or start has changed."""
        self.index += 1
        self.rows[server.name] = (self.index, server.status, server.started_wall_s)
        self.changed.set()
        self.changed = asyncio.Event()

    async def open(self, node: str, port: int = 0) -> int:
        """A new port for a node, or a stated one."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers[node].add(writer)
            try:
                await self._serve(node, reader, writer)
            except (h11.ProtocolError, OSError, ValueError):
                pass
            finally:
                self.writers[node].discard(writer)
                with suppress(OSError, RuntimeError):
                    writer.close()

        listener = await asyncio.start_server(serve, HOST, port)
        self.listeners[node].append(listener)
        return int(listener.sockets[0].getsockname()[1])

    def break_watches(self, node: str) -> None:
        """The open calls of a node are reset."""
        for writer in list(self.writers[node]):
            reset(writer)

    def _found(self, since: int | None) -> dict[str, Row]:
        """The list of now, or its changes."""
        return {name: row for name, row in self.rows.items() if since is None or row[0] > since}

    def _record_told(self, node: str, index: int, found: dict[str, Row]) -> None:
        """A list is written to a node now; one that a newer list has overtaken tells it nothing."""
        if index >= self.told_index[node]:
            self.told_index[node] = index
            now = time.monotonic()
            self.records.told += [Told(node, name, status, now) for name, (_, status, _) in found.items()]

    def _body(self, node: str, index: int, since: int | None, found: dict[str, Row]) -> bytes:
        by_name = {server.name: server for server in self.servers}
        shown = []
        for name, (_, status, started) in found.items():
            if since is None and status == "DELETED":
                continue
            shown.append(
                {
                    "name": name,
                    "address": f"{HOST}:{by_name[name].doors[node]}",
                    "zone": "z0",
                    "type": "m",
                    "group": by_name[name].group,
                    "status": status,
                    "weight": 1.0,
                    "since_ms": round(started * 1000),
                }
            )
        return json.dumps({"index": index, "snapshot": since is None, "endpoints": shown}).encode()

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(MOST_READ))
            elif isinstance(event, h11.Request):
                since = self._since(event.target.decode())
                await self._wait(node, event.target.decode())
                if node in self.refusing:
                    write_page(connection, writer, b"", OVERLOADED_STATUS)
                    continue
                index, found = self.index, self._found(since)
                await asyncio.sleep(self.slow_s[node])
                if reader.at_eof() or writer.is_closing():  # the node has given it up: it is told nothing
                    return
                self._record_told(node, index, found)
                write_page(connection, writer, self._body(node, index, since, found))
            elif event is h11.PAUSED:
                connection.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _since(self, target: str) -> int | None:
        asked = asked_in(target)
        return int(asked["since"]) if "since" in asked else None

    async def _wait(self, node: str, target: str) -> None:
        """Until there is something to say, or the wait is over; for good where the agent is silent."""
        since = self._since(target)
        if since is not None:
            ends = time.monotonic() + int(asked_in(target)["timeout_ms"]) / 1000
            while self.index <= since and (left := ends - time.monotonic()) > 0:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)
        while node in self.silent:
            await asyncio.sleep(0.05)


class SoakCounter:
    """The counter: names, amounts and lives; it may be down, or slow."""

    def __init__(self) -> None:
        self.totals: dict[bytes, float] = defaultdict(float)
        self.port, self.slow_s, self.down = 0, 0.0, False
        self.listener: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen; the port stays the same for the whole soak."""
        self.listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                if self.down:
                    return reset(writer)
                words = line.split()
                if len(words) == 4 and words[0] == b"tally":
                    self.totals[words[1]] += float(words[2])
                    await asyncio.sleep(self.slow_s)
                    writer.write(b"ok %.7g\r\n" % self.totals[words[1]])
                else:
                    writer.write(b"error\r\n")
        except (OSError, ValueError):
            pass
        finally:
            with suppress(OSError, RuntimeError):
                writer.close()
