"""The queue of a task that owns something, and what its neighbours may say to the owner of the decisions.

It lies below both: neighbours know an `Owner` and its queue, never the dispatcher itself, and a further owner
gets a `Post` of its own with no change to them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import anyio

from merlintally.interface import CounterOutcome
from merlintally.net.configuration import ListedServer
from merlintally.net.requests import Answer, Attempt, Request

Do = Callable[[Callable[..., None], tuple[Any, ...]], None]


class Post:
    """A bounded queue of calls that one task makes, one after another."""

    def __init__(self, most: int) -> None:
        self._send, self._calls = anyio.create_memory_object_stream[
            tuple[Callable[..., None], tuple[Any, ...]]
        ](most)

    async def post(self, call: Callable[..., None], *args: Any) -> None:
        """Put a call in the queue; while it is full the caller waits, and reads no more."""
        try:
            self._send.send_nowait((call, args))
        except anyio.WouldBlock:
            await self._send.send((call, args))

    async def run(self, do: Do, rested: Callable[[], None]) -> None:
        """Hand every call to `do`, and whenever none waits, `rested`."""
        async for call, args in self._calls:
            do(call, args)
            while True:
                try:
                    call, args = self._calls.receive_nowait()
                except anyio.WouldBlock:
                    break
                do(call, args)
            do(rested, ())


class Owner(Protocol):
    """Who owns the decisions, as its neighbours see it: `post` is for every task, and puts one of the other
    calls in the queue; only what runs in the owner's task makes them at once."""

    async def post(self, call: Callable[..., None], *args: Any) -> None: ...
    def take(self, request: Request) -> None: ...
    def left(self, request: Request) -> None: ...
    def ended(self, attempt: Attempt, answer: Answer) -> None: ...
    def listed(self, entries: list[ListedServer], complete: bool) -> None: ...
    def counted(self, name: int, outcome: CounterOutcome, total: float, elapsed: float) -> None: ...
    def counted_late(self, name: int, total: float) -> None: ...
    def noted(self, peer: int, payload: bytes) -> None: ...


class Noting(Protocol):
    """Whoever brings the decisions' notes to the other nodes."""

    def tell(self, payload: bytes) -> None: ...


class Right(Protocol):
    """What this node may do by what the nodes have settled among themselves; looked up at each use."""

    def may_take(self) -> bool: ...
    def may_send(self, server: str) -> bool: ...
