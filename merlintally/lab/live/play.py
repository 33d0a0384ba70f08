"""Plays a day in real time, round real node processes on loopback. Bounded in time and number; every process
that it starts is ended, also when it is interrupted."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from merlintally.forms import InputError
from merlintally.lab.builds.loading import build
from merlintally.lab.live.emulator import HOST, Serve
from merlintally.lab.live.processes import RealNode, lines_of
from merlintally.lab.live.pump import Pump
from merlintally.lab.live.referee import LiveReferee
from merlintally.lab.live.standins import AppServer, CounterPort, DiscoveryAgent, NoteWay
from merlintally.lab.model.days import Day
from merlintally.lab.model.record import Record
from merlintally.lab.model.requests import Try
from merlintally.lab.model.servers import Server
from merlintally.lab.play.simulation import latest, result_of
from merlintally.lab.play.timeline import open_day
from merlintally.lab.play.world import World
from merlintally.lab.tell.results import Result

MOST_NODES, MOST_PER_S, MOST_S = 32, 600.0, 300.0
NOT_REAL = {"zone_cut"}  # no way to cut machines off from each other on one loopback


class Live:
    """One day in real time."""

    def __init__(self, day: Day, seed: int, folder: Path) -> None:
        self.folder = folder
        self.world = World(day, seed, Record(), started=time.time())
        self.world.referee = LiveReferee(self.world.day, self.world.started, self.world.referee.record)
        self.pump = Pump(self.world.agenda)
        self.tries: dict[bytes, Try] = {}
        self.node_of: dict[bytes, str] = {}
        self.sent: dict[bytes, int] = {}
        self.strange = 0  # commands at app servers that no client sent
        self.tasks: set[asyncio.Task[Any]] = set()
        self.servers: dict[str, AppServer] = {}
        self.agents: list[DiscoveryAgent] = []
        self.counters: list[CounterPort] = []
        self.note_ports: list[int] = []
        self.nodes: list[RealNode] = []

    def free_port(self, udp: bool = False) -> int:
        """A port of loopback that is nobody's now."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM if udp else socket.SOCK_STREAM) as sock:
            sock.bind((HOST, 0))
            return int(sock.getsockname()[1])

    def door(self, node: str, server: str) -> int:
        """The port by which an edge node reaches an app server."""
        return self.servers[server].port

    def passes(self, sender: int, to: int) -> bool:
        """Whether the way of notes from one edge node to another is open."""
        return True

    def node(self, number: int) -> RealNode:
        return RealNode(self, number)

    async def prepare(self) -> None:
        """Stand-ins listen, and no node has started yet."""

    async def begin(self) -> None:
        """All nodes have answered, and the load has begun."""

    @property
    def busy(self) -> bool:
        """Whether something beside the load is still to be done."""
        return False

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def listen(self, serve: Serve, port: int) -> asyncio.Server:
        """Listen at a port; what serves a connection is a task that ends with the day."""

        def begin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.spawn(serve(reader, writer))

        return await asyncio.start_server(begin, HOST, port, backlog=512)

    def soon(self, call: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        self.spawn(call())

    def came(self, server: Server) -> None:
        """A server has come into the world: it listens from now on."""
        stand = self.servers[server.name] = AppServer(self, server)
        self.soon(stand.open)

    async def run(self) -> None:
        world, day = self.world, self.world.day
        loop = asyncio.get_running_loop()
        for server in world.servers.values():
            self.servers[server.name] = AppServer(self, server)
        await asyncio.gather(*(one.open() for one in self.servers.values()))
        world.came = self.came
        for number in range(day.fleet.gateways):
            way, _ = await loop.create_datagram_endpoint(
                lambda at=number: NoteWay(self, at),  # type: ignore[misc]
                local_addr=(HOST, 0),
            )
            self.note_ports.append(way.get_extra_info("sockname")[1])
            agent, counter = DiscoveryAgent(self, f"n{number}"), CounterPort(self, number)
            self.agents.append(agent)
            self.counters.append(counter)
            await asyncio.gather(agent.open(), counter.open())
            agent.hear(list(world.discovery.entries.values()), True)
            world.discovery.listeners[agent.name] = agent.hear
        self.nodes.extend([self.node(number) for number in range(day.fleet.gateways)])
        world.nodes.extend(self.nodes)
        try:
            await self.prepare()
            for node in self.nodes:
                node.start()
            if not all(await asyncio.gather(*(node.ready() for node in self.nodes))):
                raise InputError(["a node did not answer PING in time", *lines_of(self.folder, 3)])
            # the day begins when all are ready
            world.agenda.now = world.started = world.referee.started = self.pump.tick()
            open_day(world)
            self.pump.late = 0.0
            await self.begin()
            ends = world.started + latest(day)

            def over() -> bool:
                now = world.agenda.now
                if self.busy:
                    return False
                return now >= ends or (now >= world.started + day.length_s and not world.referee.open)

            await self.pump.run(over)
            world.close()
        finally:
            codes = await asyncio.gather(*(asyncio.to_thread(node.end) for node in self.nodes))
            for node, code in zip(self.nodes, codes, strict=True):
                if code is not None and node.alive:
                    world.notices.append(f"{node.name} had ended by itself, exit code {code}")
            for task in list(self.tasks):
                task.cancel()
            stands: list[Any] = [*self.servers.values(), *self.agents, *self.counters]
            for stand in stands:
                if stand.listener is not None:
                    stand.listener.close()
            await asyncio.gather(*self.tasks, return_exceptions=True)


def play_real(day: Day, seed: int) -> Result:
    """Play a day round real nodes of the module as it stands; InputError if it is too large or too long."""
    for name, value, most in (
        ("gateways", day.fleet.gateways, MOST_NODES),
        ("submissions_per_s", day.traffic.submissions_per_s, MOST_PER_S),
        ("length_s", day.length_s, MOST_S),
    ):
        if value > most:
            raise InputError(
                [f"{name}: {value:g} is more than {most:g}, the most in real time on one machine"]
            )
    began = time.perf_counter()
    with tempfile.TemporaryDirectory(prefix="merlintally-") as folder:

        async def all_of_it() -> Live:
            live = Live(day, seed, Path(folder))
            for trouble in day.trouble:
                if trouble.kind in NOT_REAL:
                    live.world.notices.append(f"{trouble.kind}: can't be done in real time, and is left out")
            live.world.left_out = NOT_REAL
            with_time = asyncio.wait_for(live.run(), latest(day) + 60.0)
            await with_time
            return live

        live = asyncio.run(all_of_it())
        live.world.notices += [f"log: {line}" for line in lines_of(Path(folder), 3)][:20]
    if live.strange:
        live.world.notices.append(f"{live.strange} commands at app servers were no client's")
    if live.pump.late > 0.05:
        live.world.notices.append(f"the emulator ran up to {live.pump.late:.3f} s late: read times with care")
    return result_of(live.world, build("here"), time.perf_counter() - began, True, "real")
