"""Stand-ins on loopback for app servers, discovery, the counter and the way of notes. What they answer is the
world's to say; here it is only put on sockets, with the resets, silences and spoilt answers that it wants."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from contextlib import suppress
from typing import Any

import h11

from merlintally.lab.live.emulator import HOST, Emulator
from merlintally.lab.model.discovery import Entry
from merlintally.lab.model.requests import Try
from merlintally.lab.model.servers import Piece, Server
from merlintally.net.configuration import PRESENCES
from merlintally.net.resp import bulk

RESET = struct.pack("ii", 1, 0)
OK_STATUS, OVERLOADED_STATUS = 200, 503
SPOILT = b"*3\r\n$x\r\n\xff\x00garbage\r\n"
STATUS: dict[str, str] = {presence: word for word, presence in PRESENCES.items()}


async def words_of(reader: asyncio.StreamReader) -> list[bytes]:
    """One RESP2 array of bulk strings; empty at the connection's end. ValueError if it is none."""
    head = await reader.readline()
    if not head:
        return []
    if not head.startswith(b"*"):
        raise ValueError(head[:40])
    found = []
    for _ in range(int(head[1:])):
        size = await reader.readline()
        if not size.startswith(b"$"):
            raise ValueError(size[:40])
        found.append((await reader.readexactly(int(size[1:]) + 2))[:-2])
    return found


def asked_in(target: str) -> dict[str, str]:
    """The names and values of a request's target."""
    return dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if "=" in part)


def write_page(
    connection: h11.Connection, writer: asyncio.StreamWriter, body: bytes, status: int = OK_STATUS
) -> None:
    """Answer a request of discovery's with a whole body of JSON, or a refusal."""
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    writer.write(connection.send(h11.Response(status_code=status, headers=headers)) or b"")
    writer.write(connection.send(h11.Data(data=body)) or b"")
    writer.write(connection.send(h11.EndOfMessage()) or b"")


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Task:
    """One command at an app server."""

    def __init__(self, trying: Try, number: int, server: Server) -> None:
        self.trying, self.number, self.server = trying, number, server
        self.outcome: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def done(self, outcome: str, _: Piece) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class AppServer:
    """One app server: a listener while its process is up, and commands that become pieces of work."""

    def __init__(self, live: Emulator, server: Server) -> None:
        self.live, self.server = live, server
        self.port = live.free_port()
        self.listener: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        server.on_process_change = self._watched

    def _watched(self, what: str) -> None:
        self.live.soon(self.open if what == "start" else self.shut)

    async def open(self) -> None:
        if self.listener is None and self.server.state != "dead":
            self.listener = await self.live.listen(self._serve, self.port)

    async def shut(self) -> None:
        """The process is gone: new connections are refused, open ones reset."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.connections):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server = self.server
        self.connections.add(writer)
        server.connections += 1
        try:
            if server.connections > self.live.world.day.fleet.connections:
                return reset(writer)
            while words := await words_of(reader):
                if server.state == "silent":  # nothing comes from it, and its connections end once it is back
                    while server.state == "silent":
                        await asyncio.sleep(0.05)
                    return reset(writer)
                if words[0] not in (b"Q.ASK", b"Q.DO"):
                    writer.write(b"+OK\r\n" if words[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
                    continue
                await self._command(words, reader, writer)
        except (ValueError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            server.connections = max(0, server.connections - 1)
            with suppress(OSError, RuntimeError):
                writer.close()

    async def _command(
        self, words: list[bytes], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        live, world = self.live, self.live.world
        now = live.pump.tick()
        trying = live.tries.get(words[2])
        if trying is None:
            live.strange += 1
            writer.write(b"-SYNTAX\r\n")
            return
        number = live.sent[words[2]] = live.sent.get(words[2], -1) + 1
        node = live.node_of.get(words[2], "")
        world.referee.sent(node, trying, number, self.server, now)
        world.referee.reached(trying, number, self.server, now)
        task, first = Task(trying, number, self.server), trying.first
        piece = Piece(first.lane, first.work, first.key, trying.id, task.done)
        self.server.arrive(piece)
        if world.reset_share and world.dice.random() < world.reset_share:
            return self._break(task, writer)  # it breaks under its attempt, which goes on
        gone: asyncio.Future[bytes] = asyncio.ensure_future(reader.read(1))
        both: list[asyncio.Future[Any]] = [task.outcome, gone]
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        now = live.pump.tick()
        if not task.outcome.done():
            # the node has closed: it was called off, or its time was up
            self.server.drop(piece)
            world.referee.ended(trying, number, "withdrawn", now)
            raise ConnectionResetError
        gone.cancel()
        await asyncio.wait([gone])
        self._answer(task, writer)

    def _answer(self, task: Task, writer: asyncio.StreamWriter) -> None:
        outcome, world, first = task.outcome.result(), self.live.world, task.trying.first
        if outcome in ("broken", "unreachable"):
            return self._break(task, writer)
        if outcome == "ok" and world.spoilt_share and world.dice.random() < world.spoilt_share:
            writer.write(SPOILT)
            return self._break(task, writer)
        world.referee.ended(task.trying, task.number, outcome, self.live.pump.tick())
        if outcome == "ok":
            value, use = b"did %d" % task.trying.id, b"cost=%d" % round(first.units)
            writer.write(b"*3\r\n" + bulk(value) + bulk(use) + self._report())
        else:
            writer.write(b"-BUSY\r\n" if outcome == "full" else b"-ERR failed\r\n")

    def _report(self) -> bytes:
        """The load report, or null."""
        told = self.server.report()
        if told is None:
            return b"$-1\r\n"
        rows = (told["waiting"], told["held"], told["busy"])
        return bulk(b"queue=%d,inflight=%d,util=%.2f" % rows)

    def _break(self, task: Task, writer: asyncio.StreamWriter) -> None:
        """Its connection is reset under it."""
        self.live.world.referee.ended(task.trying, task.number, "broken", self.live.pump.tick())
        reset(writer)
        raise ConnectionResetError


class DiscoveryAgent:
    """Discovery as one edge node sees it: HTTP/1.1 on its own address, the whole list and watches."""

    def __init__(self, live: Emulator, name: str) -> None:
        self.live, self.name, self.port = live, name, live.free_port()
        self.index, self.changed, self.closed = 1, asyncio.Event(), False
        self.entries: dict[str, tuple[int, Entry]] = {}
        self.listener: asyncio.Server | None = None

    async def open(self) -> None:
        self.listener = await self.live.listen(self._serve, self.port)

    def close(self) -> None:
        """Nothing stands at its address any more."""
        self.closed = True
        if self.listener is not None:
            self.listener.close()
        self.changed.set()

    def hear(self, entries: list[Entry], whole: bool) -> None:
        """The world's discovery tells this edge node's agent."""
        self.index += 1
        if whole:
            named = {one[0] for one in entries}
            for name, (_, entry) in list(self.entries.items()):
                if name not in named:
                    self.entries[name] = (self.index, (name, "gone", *entry[2:]))
        for one in entries:
            self.entries[one[0]] = (self.index, one)
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, since: int | None) -> bytes:
        """The list, or what changed in it after a version; the referee is told when it is written."""
        found = [entry for index, entry in self.entries.values() if since is None or index > since]
        shown = [one for one in found if since is not None or one[1] != "gone"]
        live = self.live
        rows = [
            {
                "name": name,
                "address": f"{HOST}:{live.door(self.name, name)}",
                "zone": f"z{zone}",
                "type": "m",
                "group": cell,
                "status": STATUS[presence],
                "weight": 1.0,
                "since_ms": round(started * 1000),
            }
            for name, presence, zone, cell, started in shown
        ]
        live.world.referee.servers_listed(self.name, shown, since is None, live.pump.tick())
        return json.dumps({"index": self.index, "snapshot": since is None, "endpoints": rows}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while not self.closed:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Request):
                    body = await self._page_for(event.target.decode())
                    write_page(connection, writer, body)
                elif event is h11.PAUSED:
                    connection.start_next_cycle()
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except (h11.ProtocolError, OSError, ValueError):
            pass
        finally:
            with suppress(OSError, RuntimeError):
                writer.close()

    async def _page_for(self, target: str) -> bytes:
        asked = asked_in(target)
        while self.live.world.discovery.silent:
            await asyncio.sleep(0.05)
        if "since" not in asked:
            return self.page(None)
        since, ends = int(asked["since"]), asyncio.get_running_loop().time() + int(asked["timeout_ms"]) / 1000
        while self.index <= since:
            left = ends - asyncio.get_running_loop().time()
            if left <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return self.page(since)


class CounterPort:
    """The counter as one edge node reaches it: lines, answered in their order."""

    def __init__(self, live: Emulator, number: int) -> None:
        self.live, self.number, self.port = live, number, live.free_port()
        self.listener: asyncio.Server | None = None

    async def open(self) -> None:
        self.listener = await self.live.listen(self._serve, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        due: asyncio.Queue[asyncio.Future[bytes]] = asyncio.Queue(4096)
        answering = asyncio.create_task(self._answers(due, writer))
        try:
            while line := await reader.readline():
                answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
                due.put_nowait(answer)
                self._call(line.split(), answer)
        except (OSError, ValueError, asyncio.QueueFull):
            pass
        finally:
            answering.cancel()
            with suppress(OSError, RuntimeError):
                writer.close()

    def _call(self, words: list[bytes], answer: asyncio.Future[bytes]) -> None:
        live = self.live
        live.pump.tick()

        def told(outcome: str, total: float) -> None:
            if not answer.done():
                answer.set_result(b"ok %.7g\r\n" % total if outcome == "ok" else b"busy\r\n")

        match words:
            case [b"tally", name, amount, life]:
                live.world.referee.counts["counter calls"] += 1
                live.world.counter.call(self.number, int(name), float(amount), int(life) / 1000, told)
            case [b"ping"]:
                answer.set_result(b"pong\r\n")
            case _:
                answer.set_result(b"error\r\n")

    async def _answers(self, due: asyncio.Queue[asyncio.Future[bytes]], writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(await (await due.get()))


class NoteWay(asyncio.DatagramProtocol):
    """The way of one edge node's notes to all others: late, some lost, and from an address that tells whose
    they are."""

    def __init__(self, live: Emulator, number: int) -> None:
        self.live, self.number = live, number
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        world = self.live.world
        self.live.pump.tick()
        for node in self.live.nodes:
            lost = world.dice.random() < world.notes_lost or not self.live.passes(self.number, node.number)
            if node.number != self.number and node.alive and not lost:
                world.referee.counts["note bytes"] += len(data)
                world.agenda.after(
                    world.dice.uniform(*world.day.notes.late_s), self._pass, data, node.peer_port
                )

    def _pass(self, data: bytes, port: int) -> None:
        self.transport.sendto(data, (HOST, port))
