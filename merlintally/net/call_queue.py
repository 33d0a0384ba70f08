"""A queue of calls to a task that owns some state, and the interfaces around the owner of the decisions.

Neighbouring modules depend on the protocols here and not on the dispatcher itself. Another task that owns
state gets a `CallQueue` of its own.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

import anyio

from merlintally.interface import CounterOutcome
from merlintally.net.configuration import ListedServer
from merlintally.net.requests import Answer, Attempt, Request

MakeCall = Callable[[Callable[..., None], tuple[Any, ...]], None]


class CallQueue:
    """A bounded queue of calls that one task makes in order."""

    def __init__(self, max_calls: int) -> None:
        self._send, self._calls = anyio.create_memory_object_stream[
            tuple[Callable[..., None], tuple[Any, ...]]
        ](max_calls)
        self._waiting_since = float("inf")  # monotonic; of the oldest call, inf while there is none

    async def enqueue(self, call: Callable[..., None], *args: Any) -> None:
        """Append a call; waits while the queue is full, which applies backpressure to the caller."""
        self._waiting_since = min(self._waiting_since, time.monotonic())
        try:
            self._send.send_nowait((call, args))
        except anyio.WouldBlock:
            await self._send.send((call, args))

    @property
    def oldest_s(self) -> float:
        """For how long the oldest call has waited, in seconds; 0 without one."""
        return max(0.0, time.monotonic() - self._waiting_since)

    async def run(
        self,
        make_call: MakeCall,
        on_empty: Callable[[], None],
        on_oldest: Callable[[float], None] = lambda waited_s: None,
    ) -> None:
        """Pass each call to `make_call`, and `on_empty` whenever the queue has become empty.

        `on_oldest` is called before each batch of calls, with the seconds that its oldest one has waited.
        """
        while True:
            call = await self._calls.receive()
            on_oldest(self.oldest_s)
            self._waiting_since = float("inf")
            make_call(*call)
            del call  # the last call is not kept
            self._make_waiting_calls(make_call)
            self._waiting_since = float("inf")
            make_call(on_empty, ())

    def _make_waiting_calls(self, make_call: MakeCall) -> None:
        """Make calls until the queue is empty."""
        with suppress(anyio.WouldBlock):
            while True:
                make_call(*self._calls.receive_nowait())


class Owner(Protocol):
    """The owner of the decisions, as other modules use it.

    Any task may call `enqueue`, with one of the other methods as the call; only code that runs in the owner's
    task calls those directly. `Dispatcher` implements and documents them.
    """

    async def enqueue(self, call: Callable[..., None], *args: Any) -> None: ...
    def take(self, request: Request) -> None: ...
    def client_left(self, request: Request) -> None: ...
    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None: ...
    def listed(self, entries: list[ListedServer], complete: bool) -> None: ...
    def counted(self, counter_name: int, outcome: CounterOutcome, total: float, elapsed: float) -> None: ...
    def counted_late(self, counter_name: int, total: float) -> None: ...
    def noted(self, peer: int, payload: bytes) -> None: ...


class NotePublisher(Protocol):
    """Sends the decisions' notes to all other nodes, without a guarantee of delivery."""

    def publish(self, payload: bytes) -> None: ...


class Permissions(Protocol):
    """What the cluster permits this node: to accept new requests, and to send to an app server.

    Callers ask at each use.
    """

    def may_take(self) -> bool: ...
    def may_send(self, server: str) -> bool: ...
