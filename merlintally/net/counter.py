"""Client of the counter: calls are pipelined on one connection and answered in order."""

from __future__ import annotations

import re
from collections import deque
from contextlib import suppress

import anyio

from merlintally.fields import Malformed, number
from merlintally.interface import CounterOutcome
from merlintally.net.call_queue import Owner
from merlintally.net.configuration import Address, Bounds
from merlintally.net.log import Log
from merlintally.net.resp import line_end
from merlintally.net.sockets import Stream, connect, tcp_socket
from merlintally.net.timers import Clock, Timers

PARTIAL_ANSWER = re.compile(
    rb"|".join(
        (  # what a well-formed answer may begin with: the end of anything else is not waited for
            rb"o?|ok|ok [-+.0-9e]{0,40}\r?",
            *(word[:length] for word in (b"busy\r", b"error\r") for length in range(1, 7)),
        )
    )
)


class Call:
    """One call: adds units to the count named `name`. `began` is in seconds of the node's clock."""

    __slots__ = ("name", "line", "began", "written", "ended")

    def __init__(self, name: int, line: bytes, began: float) -> None:
        self.name, self.line, self.began = name, line, began
        self.written = self.ended = False


class CounterConnection:
    """One connection to the counter, with the calls whose answers are pending, in order."""

    def __init__(self, stream: Stream, now: float) -> None:
        self.stream, self.last_received_at = stream, now
        self.unanswered: deque[Call] = deque()
        self.retired = anyio.Event()  # set once no more calls are written on it


class Counter:
    """Makes calls and passes their outcomes to the dispatcher.

    A call that is not answered within `timeout_s` seconds ends as timed out. Its answer is still read, since
    answers are matched to calls by their order.
    """

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        bounds: Bounds,
        dispatcher: Owner,
        clock: Clock,
        timers: Timers,
        log: Log,
    ) -> None:
        self.address, self.timeout_s, self.bounds = address, timeout_s, bounds
        self.dispatcher, self.clock, self.timers, self.log = dispatcher, clock, timers, log
        self.unsent: deque[Call] = deque()  # not yet written, so not counted
        self.current: CounterConnection | None = None  # the one for new calls
        self.connections: dict[CounterConnection, None] = {}  # all that are open
        self._call_added = anyio.Event()

    def add(self, name: int, amount: float, keep_s: float) -> bool:
        """Enqueues a call that adds `amount` units to the count `name`, which the counter keeps for `keep_s`
        seconds. Returns False, with no call made, where too many calls are unanswered."""
        if (
            len(self.unsent) + sum(len(connection.unanswered) for connection in self.connections)
            >= self.bounds.counter_calls
        ):
            return False
        line = b"tally %d %b %d\r\n" % (name, f"{amount:.6f}".encode(), max(1, int(keep_s * 1000)))
        call = Call(name, line, self.clock.now())
        self.unsent.append(call)
        self.timers.call_at(call.began + self.timeout_s, self.expired, call)
        self._write()
        self._call_added.set()
        return True

    def set_address(self, address: Address) -> None:
        """Makes further calls at another address.

        Calls already written get their answers from the old one, or end as calls that may have been counted:
        making them again could count units twice.
        """
        if address != self.address:
            self.address, connection = address, self.current
            if connection is not None:
                self._retire(connection)

    def _retire(self, connection: CounterConnection) -> None:
        if self.current is connection:
            self.current = None
        connection.retired.set()
        if not connection.unanswered:
            connection.stream.shut_down()

    def expired(self, call: Call) -> None:
        """Ends a call whose time is over, and connections that have not answered for `counter_silence_s`.

        Runs in the dispatcher's task, like all timer callbacks.
        """
        if call.ended:
            return
        if call in self.unsent:
            self.unsent.remove(call)
        self._finish(call, "timed_out" if call.written else "unreachable")
        for connection in self.connections:
            waiting_since = (
                max(connection.last_received_at, connection.unanswered[0].began)
                if connection.unanswered
                else self.clock.now()
            )
            if self.clock.now() - waiting_since > self.bounds.counter_silence_s:
                self.log.say("the counter does not answer; its connection is closed", "counter.silent")
                connection.stream.shut_down()

    def _finish(self, call: Call, outcome: CounterOutcome, total: float = 0.0) -> None:
        call.ended = True
        self.dispatcher.counted(call.name, outcome, total, self.clock.now() - call.began)

    def _write(self) -> None:
        """Writes the waiting calls if connected. A connection that does not accept a call whole is closed."""
        while self.unsent and (connection := self.current) is not None:
            call = self.unsent.popleft()
            connection.unanswered.append(call)
            with suppress(OSError):
                call.written = connection.stream.write([call.line])
            if not call.written:
                self._retire(connection)
                connection.stream.shut_down()

    async def run(self) -> None:
        """Connects whenever there are calls to make, and serves the connection until it is given up."""
        async with anyio.create_task_group() as group:
            while True:
                if not self.unsent:
                    self._call_added = anyio.Event()
                    await self._call_added.wait()
                address = self.address
                if (stream := await self._connect(address)) is None:
                    continue
                if address != self.address:
                    stream.close()
                    continue
                self.current = connection = CounterConnection(stream, self.clock.now())
                self.connections[connection] = None
                group.start_soon(self._receive, connection)
                self._write()
                await connection.retired.wait()

    async def _connect(self, address: Address) -> Stream | None:
        """A new connection to the counter, or None. If it is refused, waiting calls fail at once; if it times
        out, they end by their own timeouts."""
        try:
            stream = Stream(tcp_socket())
        except OSError as error:
            await self._fail_unsent(error)
            return None
        try:
            with anyio.fail_after(self.timeout_s):
                await connect(stream.sock, address)
            return stream
        except TimeoutError:
            stream.close()
        except OSError as error:
            stream.close()
            await self._fail_unsent(error)
        return None

    async def _fail_unsent(self, error: OSError) -> None:
        self.log.say(f"the counter can't be reached: {error.strerror}", "counter.unreachable")
        await self._fail_all(self.unsent)

    async def _fail_all(self, calls: deque[Call]) -> None:
        while calls:
            await self.dispatcher.enqueue(self._fail, calls.popleft())

    def _fail(self, call: Call) -> None:
        if not call.ended:
            self._finish(call, "timed_out" if call.written else "unreachable")

    async def _receive(self, connection: CounterConnection) -> None:
        """Reads answers until the connection breaks or, once it takes no more calls, the last has come."""
        try:
            while (connection is self.current or connection.unanswered) and await connection.stream.receive():
                connection.last_received_at = self.clock.now()
                await self._handle_answers(connection)
        except Malformed as error:
            self.log.say(f"counter: {error}; the connection is closed", "counter.spoilt")
        finally:
            self.connections.pop(connection, None)
            self._retire(connection)
            connection.stream.close()
            await self._fail_all(connection.unanswered)

    async def _handle_answers(self, connection: CounterConnection) -> None:
        stream = connection.stream
        while (stop := line_end(stream.buffer, stream.start, stream.end)) is not None:
            answer = bytes(stream.buffer[stream.start : stop]).decode("ascii", "replace")
            stream.start = stop + 2
            if not connection.unanswered:
                raise Malformed("an answer came without a call")
            outcome, total = parse_outcome(answer)
            await self.dispatcher.enqueue(
                self._handle_answer, connection.unanswered.popleft(), outcome, total
            )
        if not PARTIAL_ANSWER.fullmatch(stream.buffer, stream.start, stream.end):
            raise Malformed("an answer begins with an unknown word")

    def _handle_answer(self, call: Call, outcome: CounterOutcome, total: float) -> None:
        if not call.ended:
            self._finish(call, outcome, total)
        elif outcome == "ok":
            self.dispatcher.counted_late(call.name, total)


def parse_outcome(answer: str) -> tuple[CounterOutcome, float]:
    """Parses an answer of the counter: its outcome and, if it is ok, the total. Raises `Malformed`.

    >>> parse_outcome("ok 3.5"), parse_outcome("busy")
    (('ok', 3.5), ('full', 0.0))
    """
    word, _, rest = answer.partition(" ")
    if word == "ok":
        return "ok", number({"total": rest}, "total")
    if word in ("busy", "error"):
        return "full", 0.0
    raise Malformed(f"an answer has the unknown form {answer!r:.40}")
