"""Directed links between processes: every byte from one party to another passes a door that the test
controls.

A door stands for what `a` opens to `b`: streams, and datagrams at the same port. What goes from a to b on it
obeys the state of (a, b), and what comes back that of (b, a). On a stream, what is cut is held, as TCP would
send it again; a connection that is opened meanwhile is taken and hears nothing.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

from merlintally.lab.live.emulator import HOST
from merlintally.lab.live.standins import reset

STEP_S, CHUNK = 0.01, 65536
KINDS = (
    "cut",
    "one-way",
    "refused",
    "reset",
    "slow",
    "jittered",
    "reordered",
    "doubled",
    "lost",
    "narrow",
    "mute",
)


@dataclass(slots=True)
class State:
    """What a link does to what passes it; all off: it is whole. Times in seconds."""

    cut: bool = False
    refused: bool = False
    mute: bool = False  # takes connections, and nothing comes of them
    delay: float = 0.0
    jitter: float = 0.0
    reorder: float = 0.0  # share of the datagrams that come late
    double: float = 0.0  # share of the datagrams that come twice
    loss: float = 0.0  # share of the datagrams
    rate: float = 0.0  # bytes a second; 0: no limit


def state_of(kind: str, size: float) -> State:
    """The state that a kind of fault puts a link in; `size` is a share, seconds or bytes a second."""
    made = {
        "cut": State(cut=True),
        "one-way": State(cut=True),
        "refused": State(refused=True),
        "reset": State(),
        "slow": State(delay=size or 0.2),
        "jittered": State(jitter=size or 0.2),
        "reordered": State(reorder=size or 0.3),
        "doubled": State(double=size or 0.3),
        "lost": State(loss=size or 0.3),
        "narrow": State(rate=size or 4000.0),
        "mute": State(mute=True),
    }
    return made[kind]


class Net:
    """All links of a scenario. `state(a, b)` may be set for any pair; ("*", b) holds for all that have
    none."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.states: dict[tuple[str, str], State] = {}
        self.whole = State()
        self.doors: list[Door] = []

    def state(self, a: str, b: str) -> State:
        return self.states.get((a, b), self.whole)

    async def door(self, a: str, b: str, target: int, datagrams: bool = False) -> int:
        """A port by which `a` reaches what listens at `target`."""
        made = Door(self, a, b, target)
        await made.open(datagrams)
        self.doors.append(made)
        return made.port

    async def change(self, a: str, b: str, state: State | None, resets: bool = False) -> None:
        """Put a link in a state, or make it whole; `resets` ends all that stands on it."""
        if state is None:
            self.states.pop((a, b), None)
        else:
            self.states[a, b] = state
        for door in self.doors:
            if (door.a, door.b) == (a, b):
                await door.follow(resets)

    def close(self) -> None:
        for door in self.doors:
            door.close()


class Door:
    """One port of loopback: what `a` opens to `b`."""

    def __init__(self, net: Net, a: str, b: str, target: int) -> None:
        self.net, self.a, self.b, self.target, self.port = net, a, b, target, 0
        self.listener: asyncio.Server | None = None
        self.streams: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.way: Any = None

    async def open(self, datagrams: bool) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(50):
            self.listener = await asyncio.start_server(self._serve, HOST, self.port)
            self.port = self.listener.sockets[0].getsockname()[1]
            if not datagrams:
                return
            try:  # the same port for both, which somebody may have
                self.way, _ = await loop.create_datagram_endpoint(
                    lambda: Way(self), local_addr=(HOST, self.port)
                )
                return
            except OSError:
                self.listener.close()
                self.port = 0
        raise OSError("no port is free for streams and datagrams alike")

    async def follow(self, resets: bool) -> None:
        """Refuse, or listen again; end what stands."""
        refused = self.net.state(self.a, self.b).refused
        if refused and self.listener is not None:
            self.listener.close()
            self.listener = None
        elif not refused and self.listener is None:
            with suppress(OSError):
                self.listener = await asyncio.start_server(self._serve, HOST, self.port)
        if resets or refused:
            for writer in list(self.streams):
                reset(writer)

    def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._carry(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.streams.add(writer)
        out: asyncio.StreamWriter | None = None
        try:
            while self.net.state(self.a, self.b).mute or self.net.state(self.a, self.b).cut:
                await asyncio.sleep(STEP_S)
            back, out = await asyncio.open_connection(HOST, self.target)
            self.streams.add(out)
            both = [
                asyncio.ensure_future(self._pump(reader, out, self.a, self.b)),
                asyncio.ensure_future(self._pump(back, writer, self.b, self.a)),
            ]
            try:
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for one in both:
                    one.cancel()
                await asyncio.gather(*both, return_exceptions=True)
        except OSError:
            pass
        finally:
            for end in (writer, out):
                if end is not None:
                    self.streams.discard(end)
                    with suppress(OSError, RuntimeError):
                        end.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, a: str, b: str) -> None:
        net = self.net
        with suppress(OSError):
            while data := await reader.read(CHUNK):
                while (state := net.state(a, b)).cut or state.mute:
                    await asyncio.sleep(STEP_S)
                wait = state.delay + net.random.random() * state.jitter
                if net.random.random() < state.loss:
                    wait += 0.2  # until TCP would send it again
                if state.rate:
                    wait += len(data) / state.rate
                if wait:
                    await asyncio.sleep(wait)
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        if self.way is not None:
            self.way.close()
        for task in self.tasks:
            task.cancel()


class Way(asyncio.DatagramProtocol):
    """Datagrams through a door, one way: what b sends to a has a door of its own."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.out.setblocking(False)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        net = self.door.net
        state, random, loop = net.state(self.door.a, self.door.b), net.random, asyncio.get_running_loop()
        if state.cut or state.mute or state.refused or random.random() < state.loss:
            return
        for _ in range(2 if random.random() < state.double else 1):
            wait = state.delay + random.random() * state.jitter
            if random.random() < state.reorder:
                wait += 0.05 + random.random() * 0.2
            loop.call_later(wait, self._pass, data)

    def _pass(self, data: bytes) -> None:
        with suppress(OSError):
            self.out.sendto(data, (HOST, self.door.target))

    def connection_lost(self, exc: Exception | None) -> None:
        self.out.close()
