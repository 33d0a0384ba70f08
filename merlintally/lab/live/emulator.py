"""What the stand-ins on loopback and the node processes of a day in real time need of the whole."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

from merlintally.lab.live.pump import Pump
from merlintally.lab.model.requests import Try
from merlintally.lab.play.world import World

HOST = "127.0.0.1"
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]


class NotedNode(Protocol):
    """A node process that notes are passed on to."""

    number: int
    alive: bool
    peer_port: int


class Emulator(Protocol):
    """The day as its stand-ins and node processes see it."""

    world: World
    pump: Pump
    tries: dict[bytes, Try]  # by the id on the wire
    node_of: dict[bytes, str]
    sent: dict[bytes, int]
    strange: int  # commands at app servers that no client sent

    @property
    def nodes(self) -> Sequence[NotedNode]:
        """All node processes, in the order of their numbers."""

    def free_port(self, udp: bool = False) -> int:
        """A port of loopback that is nobody's now."""

    def door(self, node: str, server: str) -> int:
        """The port by which an edge node reaches an app server."""

    def passes(self, sender: int, to: int) -> bool:
        """Whether the way of notes from one edge node to another is open."""

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something as a task that ends with the day."""

    def soon(self, call: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Run a call as a task that ends with the day."""

    async def listen(self, serve: Serve, port: int) -> asyncio.Server:
        """Listen at a port; what serves a connection is a task that ends with the day."""
