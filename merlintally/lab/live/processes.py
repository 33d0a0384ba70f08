"""Real node processes: started, told their configuration, killed, stopped and always ended."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Protocol

from merlintally.lab.live.emulator import HOST, Emulator
from merlintally.lab.live.ready import answers_ping
from merlintally.lab.live.standins import CounterPort, DiscoveryAgent
from merlintally.lab.model.requests import Try
from merlintally.lab.model.settings import settings_of
from merlintally.lab.play.front import Node
from merlintally.load.sending import answer_end, outcome_of
from merlintally.net.resp import array

READY_S = 10.0  # for a process to answer PING


class NodeHost(Emulator, Protocol):
    """The day as its node processes see it: where they write, and the stand-ins that they are told of."""

    folder: Path
    agents: list[DiscoveryAgent]
    counters: list[CounterPort]
    note_ports: list[int]


class RealNode(Node):
    """One node process and its clients' connections."""

    def __init__(self, live: NodeHost, number: int) -> None:
        self.live, self.number, self.name = live, number, f"n{number}"
        self.zone, self.alive = number % live.world.day.fleet.zones, False
        self.port, self.peer_port = live.free_port(), live.free_port(udp=True)
        self.process: subprocess.Popen[bytes] | None = None
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.open: dict[int, tuple[Try, asyncio.Task[None]]] = {}
        self.folder = live.folder / self.name
        self.folder.mkdir()
        self.log = (self.folder / "log").open("ab")
        self.starts, self.stopped = 0, False

    def configuration(self) -> dict[str, Any]:
        live, agent = self.live, self.live.agents[self.number]
        page = json.loads(agent.page(None))
        return {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{agent.port}",
            "counter": f"{HOST}:{live.counters[self.number].port}",
            "seed": f"{live.world.seed * 1000 + self.number * 50 + self.starts:x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 1024},
            "peer_listen": f"{HOST}:{self.peer_port}",
            "peers": [f"{HOST}:{port}" for port in live.note_ports],
            "peers_all": f"{HOST}:{live.note_ports[self.number]}",
            "known": page,
            "settings": settings_of(live.world.day, self.number),
        }

    def start(self) -> None:
        """Start the process; the front is told when it answers."""
        self.starts += 1
        path = self.write()
        environment = {
            "LB_CONFIG": str(path),
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(Path(__file__).resolve().parents[3]),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "merlintally"], env=environment, stdout=subprocess.DEVNULL, stderr=self.log
        )
        self.alive, self.stopped = True, False

    def moved(self, ends: float) -> None:
        """A new agent at a new port, told by SIGHUP; what the old one knew, it knows."""
        live, old = self.live, self.live.agents[self.number]
        fresh = live.agents[self.number] = DiscoveryAgent(live, self.name)
        fresh.index, fresh.entries = old.index, dict(old.entries)
        live.world.discovery.listeners[self.name] = fresh.hear

        async def move() -> None:
            await fresh.open()
            self.write()
            self._signal(signal.SIGHUP)
            await asyncio.sleep(ends)
            old.close()

        live.spawn(move())

    def write(self) -> Path:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration()))
        return path

    def restart(self, up: Callable[[], None]) -> None:
        async def begin() -> None:
            self.start()
            if await self.ready():
                self.live.pump.tick()
                up()

        self.live.spawn(begin())

    def retire(self, ended: Callable[[], None]) -> None:
        """SIGTERM, as at a planned restart."""

        async def end() -> None:
            self._signal(signal.SIGTERM)
            if self.process is not None:
                await asyncio.to_thread(self.process.wait, 8.0)
            self.alive = False
            self.idle.clear()
            self.live.pump.tick()
            ended()

        self.live.spawn(end())

    async def ready(self) -> bool:
        """Whether it answers PING in time."""
        return await answers_ping(self.port, READY_S)

    def kill(self) -> None:
        """SIGKILL: its connections are reset, and what it had taken is nobody's fault."""
        self.alive = False
        self.live.world.referee.died(self.name, self.live.world.agenda.now)
        self._signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(5.0)
        self.idle.clear()

    def hang(self) -> None:
        self.stopped = True
        self.live.world.referee.waive_answers(self.name)
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.stopped = False
        self.live.world.referee.waive_answers(self.name)
        self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> int | None:
        """End it whatever state it is in; gives its exit code if it had ended by itself."""
        if self.process is None:
            return None
        code = self.process.poll()
        if code is None:
            if self.stopped:
                self._signal(signal.SIGCONT)
            self._signal(signal.SIGTERM)
            try:
                self.process.wait(6.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait(5.0)
        self.log.close()
        return code

    # Its clients.

    def submit(self, trying: Try) -> None:
        task = self.live.spawn(self._submission(trying))
        self.open[trying.id] = (trying, task)

    def leave(self, trying: Try) -> None:
        """The client closes its connection."""
        if trying.id in self.open:
            self.open.pop(trying.id)[1].cancel()

    def noted(self, peer: int, payload: bytes) -> None:
        """Notes go by sockets here."""

    def command(self, trying: Try) -> tuple[bytes, bytes]:
        """The request's id and its command."""
        first = trying.first
        customer, wire = first.customer, b"%016x" % trying.id
        left = max(1, int((trying.deadline - self.live.pump.tick()) * 1000))
        terms = f"c={first.lane.name},t={customer.plan},d={left}"
        if first.lane.effect == "stamped":
            terms += f",k={first.key}"
        terms += f",units={first.estimated_units:g},spread={customer.spread},first={customer.first_node}"
        words = [
            b"Q.ASK" if first.lane.effect == "harmless" else b"Q.DO",
            customer.key.encode(),
            wire,
            terms.encode(),
        ]
        return wire, array(*words, *([] if first.lane.effect == "harmless" else [b"BODY"]))

    async def _submission(self, trying: Try) -> None:
        live = self.live
        front, referee = live.world.front, live.world.referee
        wire, command = self.command(trying)
        live.tries[wire], live.node_of[wire] = trying, self.name
        writer: asyncio.StreamWriter | None = None
        life, reached = self.starts, True
        try:
            reused = bool(self.idle)
            if reused:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection(HOST, self.port)
            referee.taken(self.name, trying, live.pump.tick())
            writer.write(command)
            held = b""
            while (length := answer_end(held)) is None:
                try:
                    got = await reader.read(65536)
                except OSError:
                    got = b""
                if not got and reused and self.alive:
                    # the node closed an idle connection just then: once more, on a new one
                    writer.close()
                    reused = reached = False
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(command)
                    reached = True
                elif not got:
                    raise ConnectionResetError
                held += got
            now = live.pump.tick()
            if trying.over:  # guards against an answer of one whose client left in this very tick
                return
            kind = outcome_of(held)
            referee.answered(self.name, trying, kind, now)
            if len(held) > length:
                referee.second_answer(trying.id, "more bytes behind the answer", now)
            self.idle.append((reader, writer))
            writer = None
            if kind == "delivered":
                front.served(trying)
            else:
                words = held.split() if kind == "bounced" else []
                front.failed(trying, int(words[1]) / 1000 if len(words) > 1 else 0.0)
        except OSError:
            live.pump.tick()
            if not reached or not self.alive or self.starts != life:
                # it never came there, or its node was killed: nobody's fault
                referee.client_left(trying, True)
            front.failed(trying)
        finally:
            self.open.pop(trying.id, None)
            if writer is not None:
                writer.close()


def lines_of(folder: Path, most: int = 20) -> Iterator[str]:
    """The last lines of the nodes' logs."""
    for path in sorted(folder.glob("n*/log")):
        yield from path.read_text(errors="replace").splitlines()[-most:]
