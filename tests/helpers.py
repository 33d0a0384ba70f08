"""Small states for the tests, and stand-ins for what a node talks to."""

from __future__ import annotations

import io
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from itertools import count
from typing import Any

import anyio

from merlintally.choice import Customer, Gateway, Submission
from merlintally.interface import LaneFacts, PlanFacts, ServerFacts, StartFacts
from merlintally.net import Deployment, EdgeNode
from merlintally.net.configuration import ListedServer, parse_deployment, parse_page
from merlintally.net.log import Log
from merlintally.net.polling import ObservedLoop
from merlintally.net.requests import Request
from merlintally.net.resp import array, array_at

PLAN = PlanFacts("plan", 4.0, 8.0, 0, 8.0, 16.0, 1.0, 1.0, 0.0, 1.0)
IDS = count(1)
SERVER = ServerFacts("s1", "on", "z", 0, 0.0, 1.0, "m")
NOTHING = b"$-1\r\n$-1\r\n"
HI = b"$2\r\nhi\r\n"
OK = b"*3\r\n" + HI + NOTHING


def lane(**changes: Any) -> LaneFacts:
    return replace(LaneFacts("lane", 1.0, 4.0, 1.0, 0.0, "harmless", "all", 3.0), **changes)


def gateway(lanes: tuple[LaneFacts, ...] = (), plan: PlanFacts = PLAN, **changes: Any) -> Gateway:
    """A gateway that has run for 100 seconds and knows one server, `s1`."""
    facts = StartFacts(
        number=0,
        gateways=2,
        zone="z",
        lanes=lanes or (lane(),),
        plans=(plan,),
        largest_units=2.0,
        settles=False,
        may_count=True,
        count_time_out=0.05,
        count_price=0.01,
        may_note=False,
        note_price=0.0,
        may_withdraw=True,
        parallel=True,
        most_executions=3,
        retry_after_limit=2.0,
        cross_zone_price=0.0,
        handshake_price=0.0,
        waste_price=0.1,
        drain_grace=0.25,
        cold_share=0.25,
        warm_within=10.0,
        tip_multiple=2.0,
        tip_window=2.0,
    )
    made = Gateway(replace(facts, **changes), 1, 0.0)
    made.roster(100.0, [SERVER], complete=True)
    made.customers["c"] = customer(plan)
    return made


def take(
    at: Gateway,
    number: int = 1,
    now: float = 100.0,
    key: str = "c",
    units: float = 1.0,
    time_left: float = 4.0,
    plan: str = "plan",
    lane_name: str = "lane",
) -> Submission:
    return at.take(now, number, lane_name, key, plan, time_left, units, 2)


def customer(plan: PlanFacts = PLAN, gateways: int = 2, uptime: float = 100.0) -> Customer:
    """A customer of whom the counter has just told that its store is full."""
    made = Customer("c", plan, gateways, 100.0, uptime)
    made.last_update_at = 100.0
    return made


def told(**changes: Any) -> Deployment:
    """What a node is told: one lane of each effect, ports of the system's choosing, nothing known."""
    given: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "seed": "0f",
        "settings": {
            "classes": [
                {
                    "name": name,
                    "aimS": 1.0,
                    "deadlineS": 2.0,
                    "repeat": repeat,
                    "keyScope": "all",
                    "windowS": 5.0,
                }
                for name, repeat in (("look", "repeatable"), ("order", "by_key"), ("pay", "once"))
            ],
            "tariffs": [{"name": "plan", "unitsPerS": 100.0, "mostAtOnce": 100.0}],
            "limits": {"maxAttempts": 3, "mayCancel": True, "maxRetryAfterS": 2.0, "retryAfter": True},
            "familyInfo": {"largest": 6},
        },
    }
    found = parse_deployment(given, {})
    return replace(found, listen=("127.0.0.1", 0), **changes)


def said(
    name: bytes = b"Q.ASK",
    terms: bytes = b"c=look,t=plan,d=1500,units=1,spread=1,first=0",
    body: bytes = b"BODY",
    customer: bytes = b"00000000b4d65521",
    number: bytes = b"",
) -> bytes:
    """A request as a client writes it, each with an id of its own."""
    words = [name, customer, number or b"%016x" % next(IDS), terms]
    return array(*words, *([body] if name == b"Q.DO" else []))


def taken(raw: bytes, client: Any = None, arrived: float = 100.0) -> Request:
    """A request from its words, as a connection takes it; Malformed says what is wrong with them."""
    found = array_at(bytearray(raw), 0, len(raw))
    assert found is not None
    return Request(client, raw, [span for span in found[0] if span is not None], told().facts, arrived)


class Standin:
    """Stands in for an outside system on loopback: `say` gets what came on a connection since it last spoke,
    and gives what to write; None ends the connection, and empty bytes wait for more. What it says is held
    until `gate` is set, where there is one. One that breaks off resets the connection after the first words.
    """

    def __init__(self, say: Callable[[bytes], bytes | None]) -> None:
        self.say, self.heard, self.breaks_off = say, list[bytes](), False
        self.gate: anyio.Event | None = None
        self.accepted = self.ends = 0
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            while True:
                await anyio.wait_readable(self.sock)
                sock, _ = self.sock.accept()
                self.accepted += 1
                group.start_soon(self._speak, sock)

    async def _speak(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        with sock, suppress(OSError):
            waiting = b""
            while True:
                await anyio.wait_readable(sock)
                got = sock.recv(1 << 16)
                if not got:
                    break
                self.heard.append(got)
                waiting += got
                words = self.say(waiting)
                if words is None:
                    break
                if words:
                    if self.gate is not None:
                        await self.gate.wait()
                    sock.sendall(words)
                    waiting = b""
                    if self.breaks_off:
                        await anyio.sleep(0.02)
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        break
        self.ends += 1


def server(answer: bytes | None = OK) -> Standin:
    """An app server that gives one answer to all; None: it breaks the connection instead."""
    return Standin(lambda heard: answer if whole(heard) else b"")


def whole(heard: bytes) -> bool:
    """Whether a command, and no more, was heard."""
    return array_at(bytearray(heard), 0, len(heard)) is not None


def silent() -> Standin:
    """One that hears all and says nothing."""
    return Standin(lambda heard: b"")


async def until(true: Callable[[], bool]) -> None:
    """Wait for what another task brings about; ten times as long as it usually takes, at the most."""
    with anyio.fail_after(5.0):
        while not true():
            await anyio.sleep(0.002)


def listing(*servers: Standin, status: str = "SERVING", index: int = 1) -> bytes:
    """Discovery's whole list, of app servers s0, s1 and so on."""
    rows = [
        {"name": f"s{at}", "address": "{}:{}".format(*one.address), "status": status}
        for at, one in enumerate(servers)
    ]
    body = json.dumps({"index": index, "snapshot": True, "endpoints": rows}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def known(*servers: Standin) -> tuple[ListedServer, ...]:
    return tuple(parse_page(json.loads(listing(*servers).split(b"\r\n\r\n")[1]))[2])


def answers_in(heard: bytes) -> int:
    """How many whole answers, lines or bulk strings, were heard."""
    count = at = 0
    while (stop := heard.find(b"\r\n", at)) >= 0:
        at = stop + 2 + (int(heard[at + 1 : stop]) + 2 if heard[at : at + 1] == b"$" else 0)
        count += at <= len(heard)
    return count


class Scene:
    """A node in service among stand-ins, and clients that talk to it."""

    def __init__(self, node: EdgeNode) -> None:
        self.node = node

    async def connect(self) -> socket.socket:
        sock = socket.create_connection(self.node.address)
        sock.setblocking(False)
        return sock

    async def hear(self, sock: socket.socket, until: int = 0) -> bytes:
        """What the node writes: `until` answers, or all to its end."""
        heard = b""
        with anyio.move_on_after(3.0):
            while not until or answers_in(heard) < until:
                await anyio.wait_readable(sock)
                try:
                    got = sock.recv(1 << 16)
                except ConnectionError:
                    return heard
                if not got:
                    return heard
                heard += got
        return heard

    async def ask(self, *chunks: bytes, until: int = 1) -> bytes:
        sock = await self.connect()
        with sock:
            for chunk in chunks:
                sock.sendall(chunk)
                await anyio.sleep(0.002)
            return await self.hear(sock, until=until)


def play(deployment: Deployment, act: Callable[[Scene], Awaitable[None]], *standins: Standin) -> str:
    """Let a node serve among stand-ins while `act` goes on; gives its log."""
    log = io.StringIO()

    async def scene() -> None:
        node = EdgeNode(deployment, Log("n", 1000.0, log))
        async with anyio.create_task_group() as group:
            for standin in standins:
                group.start_soon(standin.run)
            await group.start(node.serve)
            with anyio.fail_after(15):
                await act(Scene(node))
            group.cancel_scope.cancel()

    anyio.run(scene, backend_options={"loop_factory": ObservedLoop})
    for standin in standins:
        standin.sock.close()
    return log.getvalue()
