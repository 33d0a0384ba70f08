"""A process that stands in for all app servers, discovery and the counter of a measurement on loopback.

App servers share a few listening addresses; of each request, the moments at which it was whole and at which
its answer was written are kept (CLOCK_MONOTONIC, the same in all processes of a machine). The first line of
standard input is a `Spec`, the first of standard output the `Addresses`; once standard input ends, which it
also does when the process that started this one is gone, the `Record` is written, and the process ends.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
from random import Random
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec
from msgspec import Struct

from merlintally.lab.scale.workload import entry
from merlintally.net.resp import array_at, bulk, line_end

HOST = "127.0.0.1"
SPREAD = (0.5, 1.5)  # least and most of a server's time for an answer, in times of the mean
INDEX = 1  # of the list, which never changes
ANSWER_TAIL = bulk(b"cost=1") + b"$-1\r\n"  # the units used, and no load report


class Spec(Struct, frozen=True):
    """What is to be stood in for."""

    servers: int
    zones: int
    answer_s: float  # mean time of an app server for a request
    listeners: int = 8  # addresses that the app servers share
    seed: int = 1


class Addresses(Struct, frozen=True):
    """Where the stand-ins listen."""

    discovery: str
    counter: str
    servers: list[str]


class Attempt(Struct, frozen=True):
    """One request at an app server, monotonic seconds."""

    request: str
    received: float
    answered: float
    handshake: bool = False  # whether it was the first on its connection


class Record(Struct, frozen=True):
    """All that was answered, in the order of the answers."""

    attempts: list[Attempt]


def listening_host(number: int) -> str:
    """An address of the loopback range for a listener that app servers share."""
    return f"127.0.1.{number + 1}"


def server_entry(number: int, zones: int, addresses: list[str]) -> dict[str, object]:
    """One app server as discovery lists it, at one of the shared addresses."""
    return {**entry(number, zones), "address": addresses[number % len(addresses)]}


def list_page(spec: Spec, addresses: list[str], whole: bool = True) -> dict[str, object]:
    """Discovery's whole list, or an answer without changes."""
    servers = range(spec.servers if whole else 0)
    entries = [server_entry(one, spec.zones, addresses) for one in servers]
    return {"index": INDEX, "snapshot": whole, "endpoints": entries}


class AppServerProtocol(asyncio.Protocol):
    """One connection to any app server: requests are answered after a random time."""

    def __init__(self, answer_s: float, random: Random, attempts: list[Attempt]) -> None:
        self.answer_s, self.random, self.attempts = answer_s, random, attempts
        self.buffer, self.used = bytearray(), False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        received = time.monotonic()
        self.buffer += data
        while (found := array_at(self.buffer, 0, len(self.buffer))) is not None:
            spans, stop = found
            words = [bytes(self.buffer[span[0] : span[1]]) for span in spans if span is not None]
            del self.buffer[:stop]
            self._command(words, received)

    def _command(self, words: list[bytes], received: float) -> None:
        if words[0] == b"PING":
            self.transport.write(b"+PONG\r\n")
        elif words[0] in (b"Q.ASK", b"Q.DO"):
            delay = self.answer_s * self.random.uniform(*SPREAD)
            first, self.used = not self.used, True
            asyncio.get_running_loop().call_later(delay, self._answer, words[2], received, first)
        else:
            self.transport.write(b"+OK\r\n")

    def _answer(self, request: bytes, received: float, first: bool) -> None:
        if self.transport.is_closing():
            return
        answer = b"*3\r\n" + bulk(request) + ANSWER_TAIL
        answered = time.monotonic()
        self.transport.write(answer)
        self.attempts.append(Attempt(request.decode(), received, answered, first))


class CounterProtocol(asyncio.Protocol):
    """One connection to the counter: sums by name, answered at once. Nobody else draws."""

    def __init__(self, totals: dict[bytes, float]) -> None:
        self.totals = totals
        self.buffer = bytearray()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (stop := line_end(self.buffer, 0, len(self.buffer))) is not None:
            line = bytes(self.buffer[:stop])
            del self.buffer[: stop + 2]
            self.transport.write(self._answer(line.split()))

    def _answer(self, words: list[bytes]) -> bytes:
        if words[:1] != [b"tally"]:
            return b"pong\r\n"
        total = self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
        return b"ok %.7g\r\n" % total


class DiscoveryServer:
    """Discovery over HTTP: the whole list, and watches in which nothing ever changes."""

    def __init__(self, spec: Spec, addresses: list[str]) -> None:
        self.whole = json.dumps(list_page(spec, addresses)).encode()
        self.unchanged = json.dumps(list_page(spec, addresses, whole=False)).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while not isinstance(event := connection.next_event(), h11.ConnectionClosed):
                if event is h11.NEED_DATA:
                    connection.receive_data(await reader.read(65536))
                elif event is h11.PAUSED:
                    connection.start_next_cycle()
                elif isinstance(event, h11.Request):
                    self._write(connection, writer, await self._body_for(event.target.decode()))
        except (h11.ProtocolError, OSError, asyncio.CancelledError):
            pass  # cancelled at the end of all, while a watch waits
        finally:
            writer.close()

    async def _body_for(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        if "since" not in query:
            return self.whole
        await asyncio.sleep(int(query["timeout_ms"][0]) / 1000)
        return self.unchanged

    def _write(self, connection: h11.Connection, writer: asyncio.StreamWriter, body: bytes) -> None:
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        for event in (
            h11.Response(status_code=200, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ):
            writer.write(connection.send(event) or b"")


def address_of(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


async def stand_in(spec: Spec, attempts: list[Attempt]) -> None:
    """Serve until standard input ends."""
    loop, random = asyncio.get_running_loop(), Random(spec.seed)
    totals: dict[bytes, float] = {}
    app_servers = [
        await loop.create_server(
            lambda: AppServerProtocol(spec.answer_s, random, attempts), listening_host(one), 0
        )
        for one in range(spec.listeners)
    ]
    addresses = [address_of(one) for one in app_servers]
    counter = await loop.create_server(lambda: CounterProtocol(totals), HOST, 0)
    discovery = await asyncio.start_server(DiscoveryServer(spec, addresses).serve, HOST, 0)
    gc.freeze()
    gc.disable()  # a run is short, and a collection would count as a node's time
    say(msgspec.json.encode(Addresses(address_of(discovery), address_of(counter), addresses)))
    await loop.run_in_executor(None, sys.stdin.buffer.read)


def say(line: bytes) -> None:
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


def main() -> None:
    """Stand in as the first line of standard input says."""
    spec = msgspec.json.decode(sys.stdin.buffer.readline(), type=Spec)
    attempts: list[Attempt] = []
    with asyncio.Runner() as runner:
        runner.run(stand_in(spec, attempts))
    say(msgspec.json.encode(Record(attempts)))


if __name__ == "__main__":
    main()
