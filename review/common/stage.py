"""Stand-ins and a record for the cases of this folder: app servers, discovery's agent, the counter, clients.

They follow the protocol page. Everything runs on loopback addresses and free ports, on the real clock. The
edge nodes are started by the `run` line of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_S = 30.0  # within which an edge node has to answer PING
LATE_S = 0.5  # past its time, from which a request without an answer is lost
SOCKETS_S = 0.05  # by which every time limit is longer on sockets


class CannotRun(Exception):
    """The case could not be played."""


def free_port() -> int:
    """A TCP port of the loopback address that nobody has, below those that outgoing connections get."""
    for _ in range(1000):
        port = random.randint(12_000, 30_000)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            return port
    raise CannotRun("no port is free")


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def say(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")

    def verdict(self, text: str) -> None:
        """A line of the verdict, which is shown as well."""
        self.say(text)
        print(text, flush=True)

    def close(self) -> None:
        self.file.close()


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def array(*words: bytes) -> bytes:
    return b"*%d\r\n%b" % (len(words), b"".join(bulk(word) for word in words))


async def read_words(head: bytes, reader: asyncio.StreamReader) -> list[bytes]:
    """The words of an array of bulk strings whose first line is `head`."""
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """One whole answer of an edge node, as one line or bulk string; empty at the connection's end."""
    head = await reader.readline()
    if not head.endswith(b"\r\n"):
        return b""
    if head.startswith(b"$") and (size := int(head[1:])) >= 0:
        return head + await reader.readexactly(size + 2)
    return head


class AppServer:
    """Answers each command after `work_s` with its own name and the request's id as the value."""

    def __init__(self, name: str, record: Record, work_s: float = 0.03) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.port, self.status, self.since_ms, self.group = 0, "SERVING", 0, 0
        self.commands: list[tuple[float, str]] = []  # when the first line had come, and the id
        self.listener: asyncio.Server | None = None

    async def open(self) -> None:
        self.listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (head := await reader.readline()).startswith(b"*"):
                begun_at = self.record.now()
                words = await read_words(head, reader)
                if words[0] not in (b"Q.ASK", b"Q.DO"):
                    writer.write(b"+OK\r\n" if words[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
                    continue
                id_ = words[2].decode()
                self.commands.append((begun_at, id_))
                self.record.say(f"run {id_} at {self.name}, first byte at {begun_at:.4f}")
                work_s, length = self.terms(words)
                await asyncio.sleep(work_s)
                value = (b"%b did %b" % (self.name.encode(), words[2])).ljust(length, b".")
                writer.write(b"*3\r\n" + bulk(value) + bulk(b"cost=1") + b"$-1\r\n")
        with suppress(OSError, RuntimeError):
            writer.close()

    def terms(self, words: list[bytes]) -> tuple[float, int]:
        """How long the work on a command takes, and the least length of its value in bytes."""
        return self.work_s, 0

    def entry(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": "a",
            "type": "std-4c",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class Agent:
    """Discovery's agent of one edge node: the whole list, and watches that are answered at each change."""

    def __init__(self, name: str, servers: list[AppServer], record: Record) -> None:
        self.name, self.servers, self.record = name, servers, record
        self.port, self.index, self.changed, self.closed = 0, 1, asyncio.Event(), False
        self.changes: dict[str, int] = {}  # by app server: the version of its last change

    async def open(self) -> None:
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """End all watches."""
        self.closed = True
        self.changed.set()

    def tell(self, server: AppServer) -> None:
        """The agent gets a change of one app server."""
        self.index += 1
        self.changes[server.name] = self.index
        self.record.say(f"agent {self.name} has {server.name} as {server.status}")
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, since: int | None) -> bytes:
        rows = [one.entry() for one in self.servers if since is None or self.changes.get(one.name, 1) > since]
        return json.dumps({"index": self.index, "snapshot": since is None, "endpoints": rows}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, ValueError, IndexError):
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                body = await self._answer(line.split()[1].decode())
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % len(body) + body)
        with suppress(OSError, RuntimeError):
            writer.close()

    async def _answer(self, target: str) -> bytes:
        query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if "=" in part)
        if "since" not in query:
            return self.page(None)
        since, ends = int(query["since"]), time.monotonic() + int(query["timeout_ms"]) / 1000
        while not self.closed and self.index <= since and (left := ends - time.monotonic()) > 0:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return self.page(since)


class CounterPort:
    """The counter: adds to named numbers, which it forgets when their life is over."""

    def __init__(self) -> None:
        self.port, self.totals = 0, dict[str, tuple[float, float]]()

    async def open(self) -> None:
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while line := await reader.readline():
                match line.decode("ascii", "replace").split():
                    case ["tally", name, amount, life]:
                        now = time.monotonic()
                        total, ends = self.totals.get(name, (0.0, 0.0))
                        if now >= ends:
                            total, ends = 0.0, now + min(60_000, int(life)) / 1000
                        self.totals[name] = (total + float(amount), ends)
                        writer.write(b"ok %.7g\r\n" % (total + float(amount)))
                    case ["ping"]:
                        writer.write(b"pong\r\n")
                    case _:
                        writer.write(b"error\r\n")
        with suppress(OSError, RuntimeError):
            writer.close()


class Node:
    """One edge node, a process of its own."""

    def __init__(self, name: str, number: int, record: Record, folder: Path) -> None:
        self.name, self.number, self.record = name, number, record
        self.port, self.path, self.folder = free_port(), folder / f"{name}.json", folder
        self.configuration: dict[str, Any] = {}
        self.process: asyncio.subprocess.Process | None = None

    def write_configuration(self) -> None:
        """Put the file in its place in one step."""
        draft = self.path.with_suffix(".new")
        draft.write_text(json.dumps(self.configuration), encoding="utf-8")
        draft.replace(self.path)

    async def start(self) -> None:
        """Start the process, as the deploy file does."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        self.write_configuration()
        private = tempfile.mkdtemp(dir=self.folder)
        environment = {
            "PATH": os.environ.get("PATH", os.defpath),
            "TMPDIR": private,
            "PYTHONDONTWRITEBYTECODE": "1",
            "LB_CONFIG": str(self.path),
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": self.configuration["discovery"],
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, start_new_session=True,
        )  # fmt: skip
        log.close()
        self.record.say(f"{self.name} starts as process {self.process.pid}")

    async def ready(self) -> None:
        """Wait until the node answers PING; CannotRun if it doesn't."""
        ends = time.monotonic() + READY_S
        while time.monotonic() < ends:
            if self.ended is not None:
                raise CannotRun(f"{self.name} ended with {self.ended} while it started")
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(array(b"PING"))
                answer = await reader.readline()
                writer.close()
                if answer == b"+PONG\r\n":
                    self.record.say(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    @property
    def ended(self) -> int | None:
        """The exit code, negative for a signal; None while the process runs."""
        return self.process.returncode if self.process is not None else None

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record.say(f"{number.name} to {self.name}")
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process for good."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()


class Request:
    """One request of a client, and how it ended."""

    def __init__(self, id_: str, line: bytes, wait_s: float) -> None:
        self.id, self.line, self.wait_s = id_, line, wait_s
        self.node = ""
        # When its last byte was written to its connection, the last time; 0 while that has never been so.
        self.sent_at = self.ended_at = 0.0
        self.begun_at = 0.0  # when its first byte was written, the last time
        self.answer = b""
        self.closed_after: list[float] = []  # seconds until the node closed a connection on it


class Client:
    """A client with one kept connection, for one request at a time, as the protocol page has it.

    If the node closes the connection under a request, it sends that request once more on a new one.
    """

    def __init__(self, node: Node, record: Record) -> None:
        self.node, self.record = node, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def _connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.node.port)

    def close(self) -> None:
        if self.writer is not None:
            with suppress(OSError, RuntimeError):
                self.writer.close()
        self.reader = self.writer = None

    async def ask(self, request: Request) -> None:
        """Send a request and wait for its answer, until half a second and the slack after its time.

        If it is sent once more, its time is counted anew: the node hears of the full wait once more.
        """
        record, request.node = self.record, self.node.name
        try:
            for turn in range(2):
                async with asyncio.timeout(request.wait_s + LATE_S + SOCKETS_S):
                    if await self._ask_once(request):
                        return
                ran_s = record.now() - request.begun_at
                request.closed_after.append(ran_s)
                record.say(f"closed on {request.id} after {ran_s:.3f} s, turn {turn + 1}")
                self.close()
        except TimeoutError:
            record.say(f"no answer to {request.id} half a second after its time")
            self.close()
        except OSError as error:
            record.say(f"no connection for {request.id}: {error}")
            self.close()
        request.ended_at = record.now()

    async def _ask_once(self, request: Request) -> bool:
        """Returns whether an answer came before the connection's end."""
        if self.reader is not None and self.reader.at_eof():
            self.close()
        if self.writer is None:
            await self._connect()
        assert self.reader is not None and self.writer is not None
        request.begun_at = self.record.now()
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            self.writer.transport.set_write_buffer_limits(0)
            self.writer.write(request.line)
            await self.writer.drain()  # until its last byte is with the system
            request.sent_at = self.record.now()
            self.record.say(f"sent {request.id} to {self.node.name}, waits {request.wait_s:.3f} s")
            request.answer = await read_answer(self.reader)
        request.ended_at = self.record.now()
        if request.answer:
            text = request.answer[:60].decode("ascii", "replace").split("\r\n")
            self.record.say(f"answered {request.id}: {' '.join(text).strip()}")
        return bool(request.answer)


def ask_line(id_: str, customer: str, wait_s: float, units: int, spread: int, lane: str) -> bytes:
    """A request of a class that may be repeated, under the plan `perus`."""
    terms = f"c={lane},t=perus,d={int(wait_s * 1000)},units={units},spread={spread},first=0"
    return array(b"Q.ASK", customer.encode(), id_.encode(), terms.encode())


def do_line(id_: str, customer: str, wait_s: float, units: int, spread: int, lane: str, body: bytes) -> bytes:
    """A request of a keyed class, under the plan `perus`."""
    terms = f"c={lane},t=perus,d={int(wait_s * 1000)},k={id_},units={units},spread={spread},first=0"
    return array(b"Q.DO", customer.encode(), id_.encode(), terms.encode(), body)


def settings(number: int, nodes: int, classes: list[dict[str, Any]]) -> dict[str, Any]:
    """The object `settings` of a small deployment, as the first site's pages have it."""
    return {
        "slotNo": number,
        "balancers": nodes,
        "az": "a",
        "zones": ["a"],
        "discovery": "pushed",
        "classes": classes,
        "tariffs": [
            {
                "name": "perus", "unitsPerS": 2.2, "mostAtOnce": 12.0, "atOnce": 0, "beyondCosts": 1.0,
                "overWorth": 0.0, "valueFactor": 1.2, "capRate": 0.0, "neverOverDepth": 0.0,
            },
        ],
        "familyInfo": {
            "mayCount": True, "countLimitS": 0.08, "callPrice": 0.01, "largest": 6, "postPaid": True,
        },
        "limits": {
            "maxAttempts": 5, "mayCancel": True, "parallelTries": True, "retryAfter": True, "peers": False,
            "maxRetryAfterS": 2.0, "connectTimeoutS": 0.25, "idleCloseS": 15.0, "maxOpen": 20000,
            "streamsPerConn": 32,
        },
        "prices": {"peer": 0.08, "waste": 0.16},
        "rules": {
            "answerSlackS": 0.016, "drainGraceS": 0.25, "coldFrom": 0.31, "warmWithinS": 17.0,
            "tipMultiple": 2.5, "fallS": 1.5,
        },
    }  # fmt: skip


class Stage:
    """The edge nodes of a case with all that they talk to."""

    def __init__(
        self,
        case: Path,
        nodes: int,
        servers: int,
        classes: list[dict[str, Any]],
        memory_mb: int = 128,
        sockets: int = 1024,
        work_s: float = 0.03,
    ) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.servers = [AppServer(f"s{number}", self.record, work_s) for number in range(servers)]
        self.nodes = [Node(f"n{number}", number, self.record, self.folder) for number in range(nodes)]
        self.agents = [Agent(node.name, self.servers, self.record) for node in self.nodes]
        self.counter, self.classes = CounterPort(), classes
        self.moved: list[Agent] = []  # agents at addresses of later configurations
        self.memory_mb, self.sockets = memory_mb, sockets

    async def open(self) -> None:
        """Open all stand-ins and write each node's configuration."""
        for part in (*self.servers, *self.agents, self.counter):
            await part.open()
        for node, agent in zip(self.nodes, self.agents, strict=True):
            node.configuration = {
                "name": node.name,
                "listen": f"{HOST}:{node.port}",
                "discovery": f"{HOST}:{agent.port}",
                "counter": f"{HOST}:{self.counter.port}",
                "seed": f"{0x8C1F30D27A5BE960 + node.number:x}",
                "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                "known": json.loads(agent.page(None)),
                "settings": settings(node.number, len(self.nodes), self.classes),
            }

    async def start(self) -> None:
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.ready()

    async def close(self) -> None:
        for node in self.nodes:
            await node.stop()
        for agent in (*self.agents, *self.moved):
            agent.close()
        await asyncio.sleep(0.1)
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines()[-40:]:
                self.record.say(f"log of {path.stem}: {line[:400]}")
        for path in sorted(self.folder.rglob("*"), reverse=True):
            path.rmdir() if path.is_dir() else path.unlink()
        self.folder.rmdir()
        self.record.close()


def lost_among(requests: Iterable[Request]) -> list[Request]:
    """Requests that were written whole and got no whole answer by half a second after their time."""
    found = []
    for one in requests:
        late_s = one.ended_at - one.sent_at - one.wait_s
        if one.sent_at and (not one.answer or late_s > LATE_S + SOCKETS_S):
            found.append(one)
    return found


def play(case: Callable[[], Awaitable[int]], limit_s: float = 100.0) -> None:
    """Run a case and exit with its verdict: 1 broken, 0 held, 2 could not run."""

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await case()

    try:
        code = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}", flush=True)
        code = 2
    sys.exit(code)
