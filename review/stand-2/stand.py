"""Stand-ins for a case of the review: discovery, app servers, the counter and clients, on loopback.

They follow the protocol page and do nothing that a case doesn't ask for. Times are CLOCK_MONOTONIC seconds,
which all processes of one machine share.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
GIVEN: set[int] = set()
now = time.monotonic


def free_port() -> int:
    """A port of loopback that nobody has, below those that the system gives to outgoing connections."""
    while True:
        port = random.randint(12_000, 30_000)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((HOST, port))
            if port not in GIVEN:
                GIVEN.add(port)
                return port


class Record:
    """The lines of record.txt; `note` adds one with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.began, self.file = now(), path.open("w")
        self.quiet: tuple[str, ...] = ()  # events that are left out, where they are very many

    def note(self, what: str, **fields: Any) -> None:
        if what in self.quiet:
            return
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now() - self.began:9.3f} {what} {details}".rstrip() + "\n")

    def close(self) -> None:
        self.file.close()


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def array(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def parse(buffer: bytearray) -> tuple[list[bytes], int] | None:
    """The words of the command that the buffer begins with, and where it ends; None while it isn't whole."""
    at = buffer.find(b"\r\n")
    if at < 0:
        return None
    words, count, at = [], int(buffer[1:at]), at + 2
    for _ in range(count):
        end = buffer.find(b"\r\n", at)
        if end < 0:
            return None
        length, at = int(buffer[at + 1 : end]), end + 2
        if len(buffer) < at + length + 2:
            return None
        words.append(bytes(buffer[at : at + length]))
        at += length + 2
    return words, at


class Discovery:
    """What answers one edge node. `refuse(now)` says whether a call is refused with status 503, and `delay()`
    for how long an answer is held before it is written."""

    def __init__(self, record: Record, node: str) -> None:
        self.record, self.node, self.port = record, node, free_port()
        self.index, self.entries, self.changed = 1, dict[str, dict[str, Any]](), asyncio.Event()
        self.versions: dict[str, int] = {}
        self.told: dict[tuple[str, str], float] = {}  # server, status -> when it was written to the node
        self.refuse: Callable[[float], bool] = lambda at: False
        self.delay: Callable[[], float] = lambda: 0.0
        self.calls, self.writers = 0, set[asyncio.StreamWriter]()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def set(self, entry: dict[str, Any]) -> None:
        self.index += 1
        self.entries[entry["name"]] = entry
        self.versions[entry["name"]] = self.index
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def page(self, since: int | None) -> dict[str, Any]:
        rows = [
            row
            for name, row in self.entries.items()
            if (row["status"] != "DELETED" if since is None else self.versions[name] > since)
        ]
        return {"index": self.index, "snapshot": since is None, "endpoints": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ")[1].decode()
                fields = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                self.calls += 1
                if self.refuse(now()):
                    self.record.note("discovery.refused", node=self.node, call=target)
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                since = int(fields["since"]) if "since" in fields else None
                if since is not None and since >= self.index:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(int(fields.get("timeout_ms", "0")) / 1000):
                            await self.changed.wait()
                await asyncio.sleep(self.delay())
                if reader.at_eof():
                    break  # given up
                page = self.page(since)
                body = json.dumps(page).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                for row in page["endpoints"]:
                    self.told.setdefault((row["name"], row["status"]), now())
                self.record.note("discovery.told", node=self.node, call=target, rows=len(page["endpoints"]))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class AppServer:
    """An app server. `answer(words)` may be replaced by a case; None leaves a request without an answer."""

    def __init__(self, record: Record, name: str, work_s: float = 0.02) -> None:
        self.record, self.name, self.work_s, self.port = record, name, work_s, free_port()
        self.attempts: list[tuple[float, float, str]] = []  # first byte, last byte, id
        self.ran: list[str] = []
        self.writers: set[asyncio.StreamWriter] = set()

    def entry(self, status: str = "SERVING", since_ms: int = 0, group: int = 1) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": "a",
            "type": "m",
            "group": group,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    async def answer(self, words: list[bytes]) -> bytes | None:
        await asyncio.sleep(self.work_s)
        self.ran.append(words[2].decode())
        return b"*3\r\n" + bulk(b"value of " + words[2]) + bulk(b"cost=1") + b"$-1\r\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        buffer, first = bytearray(), 0.0
        try:
            while chunk := await reader.read(65536):
                first = first if buffer else now()
                buffer += chunk
                if (found := parse(buffer)) is None:
                    continue
                words, stop = found
                del buffer[:stop]
                self.attempts.append((first, now(), words[2].decode()))
                self.record.note(
                    "server.got", server=self.name, id=words[2].decode(), terms=words[3].decode()
                )
                if (answer := await self.answer(words)) is not None:
                    writer.write(answer)
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class CountServer:
    """The counter."""

    def __init__(self) -> None:
        self.port, self.totals = free_port(), dict[str, float]()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[:1] == ["ping"]:
                    writer.write(b"pong\r\n")
                    continue
                total = self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
                writer.write(f"ok {total:.7g}\r\n".encode())
        writer.close()


class Sent:
    """One request of a client."""

    def __init__(self, id_: str, wait_s: float) -> None:
        self.id, self.wait_s, self.sent, self.answered, self.answer = id_, wait_s, now(), 0.0, b""
        self.closed = 0.0


class Client:
    """A client with a pool of connections, one request at a time on each."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.sent: list[Sent] = []

    async def ask(
        self,
        lane: str,
        plan: str,
        wait_ms: int,
        customer: str,
        *,
        one: bool = False,
        key: str = "",
        spread: int = 1,
        first: int = 0,
        units: float = 1,
        patience_s: float = 4.0,
    ) -> Sent:
        id_ = secrets.token_hex(8)
        terms = f"c={lane},t={plan},d={wait_ms}" + (f",k={key}" if key else "")
        terms += f",units={units},spread={spread},first={first}"
        words = [customer.encode(), id_.encode(), terms.encode()]
        raw = array(b"Q.DO", *words, b"BODY") if one else array(b"Q.ASK", *words)
        for _ in range(2):  # once more on a new connection where the old one was closed unread
            try:
                while self.idle:
                    reader, writer = self.idle.pop()
                    if not reader.at_eof():
                        break
                    writer.close()
                else:
                    reader, writer = await asyncio.open_connection(HOST, self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            sent = Sent(id_, wait_ms / 1000)
            self.sent.append(sent)
            writer.write(raw)
            sent.sent = now()
            self.record.note("client.sent", id=id_, terms=terms)
            with suppress(TimeoutError, OSError):
                async with asyncio.timeout(wait_ms / 1000 + patience_s):
                    sent.answer = await self._read(reader)
            if sent.answer:
                sent.answered = now()
                self.idle.append((reader, writer))
            else:
                sent.closed = now()
                writer.close()
            self.record.note(
                "client.answered",
                id=id_,
                after=f"{now() - sent.sent:.3f}",
                answer=sent.answer[:40].decode("ascii", "replace").replace("\r\n", "|").replace(" ", "_"),
            )
            return sent
        raise OSError("the edge node can't be reached")

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        line = await reader.readline()
        if line[:1] == b"$" and line != b"$-1\r\n":
            line += await reader.readexactly(int(line[1:]) + 2)
        return line


class Node:
    """An edge node, started by `run` of the deploy file."""

    def __init__(self, config: dict[str, Any], folder: Path, command: str = "", extra: str = "") -> None:
        self.config, self.folder = config, folder
        self.path = folder / f"{config['name']}.json"
        self.path.write_text(json.dumps(config))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        self.command = command or deploy["run"]
        self.log = folder / f"{config['name']}.log"
        self.port = int(config["listen"].partition(":")[2])

    def start(self) -> None:
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment |= {
            "LB_CONFIG": str(self.path),
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.folder),
        }
        with self.log.open("a") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def ready(self, patience_s: float = 20.0) -> None:
        deadline = now() + patience_s
        while now() < deadline:
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(array(b"PING"))
                async with asyncio.timeout(1.0):
                    line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.config['name']} isn't ready: {self.log.read_text()[-2000:]}")

    def signal(self, number: int) -> None:
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        self.process.wait()


def configuration(
    number: int,
    nodes: int,
    discovery: int,
    counter: int,
    *,
    classes: list[dict[str, Any]],
    plans: list[dict[str, Any]],
    **more: Any,
) -> dict[str, Any]:
    """The configuration of one edge node: the settings of a small deployment."""
    settings: dict[str, Any] = {
        "slotNo": number,
        "balancers": nodes,
        "discovery": "pushed",
        "classes": classes,
        "tariffs": plans,
        "familyInfo": {"mayCount": True, "countLimitS": 0.08, "largest": 6, "callPrice": 0.01},
        "limits": {
            "maxAttempts": 5,
            "mayCancel": True,
            "parallelTries": True,
            "retryAfter": True,
            "maxRetryAfterS": 2.0,
            "connectTimeoutS": 0.25,
            "idleCloseS": 15.0,
        },
        "rules": {
            "drainGraceS": 0.25,
            "coldFrom": 0.31,
            "warmWithinS": 17.0,
            "tipMultiple": 2.5,
            "fallS": 1.5,
        },
    }
    for key, value in more.pop("settings", {}).items():
        settings[key] = {**settings[key], **value} if isinstance(value, dict) else value
    return {
        "name": f"n{number}",
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{discovery}",
        "counter": f"{HOST}:{counter}",
        "seed": f"{1000 + number:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
        **more,
    }


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Record, Path], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 0 if `case` says that the rule held, 1 if it was broken, 2 if it couldn't run."""
    record = Record(folder / "record.txt")
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = 0 if asyncio.run(asyncio.wait_for(case(record, Path(temporary)), 115)) else 1
        except Exception as error:
            record.note("failed", why=repr(error))
            print(f"couldn't run: {error!r}", file=sys.stderr)
        for log in sorted(Path(temporary).glob("*.log")):
            record.file.write(f"--- {log.name}\n{log.read_text(errors='replace')[-6000:]}\n")
    record.close()
    sys.exit(code)
