"""The counter: calls written one behind another on one connection, whose answers come in their order."""

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

PART = re.compile(
    rb"|".join(
        (  # of an answer; guards against waiting for the end of one that is spoilt
            rb"o?|ok|ok [-+.0-9e]{0,40}\r?",
            *(word[:at] for word in (b"busy\r", b"error\r") for at in range(1, 7)),
        )
    )
)


class Call:
    __slots__ = ("name", "line", "began", "written", "over")

    def __init__(self, name: int, line: bytes, began: float) -> None:
        self.name, self.line, self.began = name, line, began
        self.written = self.over = False


class Line:
    """One connection to the counter, and the calls written on it in the order of their answers."""

    def __init__(self, stream: Stream, now: float) -> None:
        self.stream, self.heard_at = stream, now
        self.pending: deque[Call] = deque()
        self.left = anyio.Event()  # no more calls are written on it


class Counter:
    """Calls without an answer in time are over; their answers are still awaited, for the order's sake."""

    def __init__(
        self,
        where: Address,
        time_out: float,
        bounds: Bounds,
        dispatcher: Owner,
        clock: Clock,
        timers: Timers,
        log: Log,
    ) -> None:
        self.where, self.time_out, self.bounds = where, time_out, bounds
        self.dispatcher, self.clock, self.timers, self.log = dispatcher, clock, timers, log
        self.unsent: deque[Call] = deque()  # not yet written: nothing is added
        self.line: Line | None = None  # on which calls are written
        self.lines: dict[Line, None] = {}  # it, and those whose last answers are awaited
        self._wanted = anyio.Event()

    def add(self, name: int, amount: float, keep: float) -> bool:
        """Make a call; False where too many are out, and nothing is added."""
        if len(self.unsent) + sum(len(line.pending) for line in self.lines) >= self.bounds.counter_calls:
            return False
        line = b"tally %d %b %d\r\n" % (name, f"{amount:.6f}".encode(), max(1, int(keep * 1000)))
        call = Call(name, line, self.clock.now())
        self.unsent.append(call)
        self.timers.at(call.began + self.time_out, self.expired, call)
        self._write()
        self._wanted.set()
        return True

    def move(self, where: Address) -> None:
        """Call at another address from now on. Guards against units drawn twice or forgotten: what was
        written at the old one gets its answer there, or ends as a call that may have counted."""
        if where != self.where:
            self.where, line = where, self.line
            if line is not None:
                self._leave(line)

    def _leave(self, line: Line) -> None:
        if self.line is line:
            self.line = None
        line.left.set()
        if not line.pending:
            line.stream.hang_up()

    def expired(self, call: Call) -> None:
        """Runs in the task that owns the decisions, as all calls of the timers do."""
        if call.over:
            return
        if call in self.unsent:
            self.unsent.remove(call)
        self._over(call, "timed_out" if call.written else "unreachable")
        for line in self.lines:
            since = max(line.heard_at, line.pending[0].began) if line.pending else self.clock.now()
            if self.clock.now() - since > self.bounds.counter_silence_s:
                self.log.say("the counter is silent; its connection is given up", "counter.silent")
                line.stream.hang_up()

    def _over(self, call: Call, outcome: CounterOutcome, total: float = 0.0) -> None:
        call.over = True
        self.dispatcher.counted(call.name, outcome, total, self.clock.now() - call.began)

    def _write(self) -> None:
        """Write what waits, once the connection stands. One that takes no more bytes is as good as broken."""
        while self.unsent and (line := self.line) is not None:
            call = self.unsent.popleft()
            line.pending.append(call)
            with suppress(OSError):
                call.written = line.stream.write([call.line])
            if not call.written:
                self._leave(line)
                line.stream.hang_up()

    async def run(self) -> None:
        """Connect whenever there are calls to make; a broken connection is seen at once."""
        async with anyio.create_task_group() as group:
            while True:
                if not self.unsent:
                    self._wanted = anyio.Event()
                    await self._wanted.wait()
                where = self.where
                if (stream := await self._connected(where)) is None:
                    continue
                if where != self.where:
                    stream.close()
                    continue
                self.line = line = Line(stream, self.clock.now())
                self.lines[line] = None
                group.start_soon(self._listen, line)
                self._write()
                await line.left.wait()

    async def _connected(self, where: Address) -> Stream | None:
        """A connection to the counter; None where there is none now. One that does not come up in time ends
        no calls: they are over at their own times."""
        try:
            stream = Stream(tcp_socket())
        except OSError as wrong:
            await self._unreachable(wrong)
            return None
        try:
            with anyio.fail_after(self.time_out):
                await connect(stream.sock, where)
            return stream
        except TimeoutError:
            stream.close()
        except OSError as wrong:
            stream.close()
            await self._unreachable(wrong)
        return None

    async def _unreachable(self, wrong: OSError) -> None:
        self.log.say(f"the counter can't be reached: {wrong.strerror}", "counter.unreachable")
        await self._lose(self.unsent)

    async def _lose(self, calls: deque[Call]) -> None:
        while calls:
            await self.dispatcher.enqueue(self._lost, calls.popleft())

    def _lost(self, call: Call) -> None:
        if not call.over:
            self._over(call, "timed_out" if call.written else "unreachable")

    async def _listen(self, line: Line) -> None:
        """Hand on the answers until the connection breaks, or the last one on a connection that was left."""
        try:
            while (line is self.line or line.pending) and await line.stream.receive():
                line.heard_at = self.clock.now()
                await self._answers(line)
        except Malformed as wrong:
            self.log.say(f"counter: {wrong}; the connection is closed", "counter.spoilt")
        finally:
            self.lines.pop(line, None)
            self._leave(line)
            line.stream.close()
            await self._lose(line.pending)

    async def _answers(self, line: Line) -> None:
        stream = line.stream
        while (stop := line_end(stream.buffer, stream.start, stream.end)) is not None:
            answer = bytes(stream.buffer[stream.start : stop]).decode("ascii", "replace")
            stream.start = stop + 2
            if not line.pending:
                raise Malformed("an answer came to no call")
            outcome, total = outcome_of(answer)
            await self.dispatcher.enqueue(self._answered, line.pending.popleft(), outcome, total)
        if not PART.fullmatch(stream.buffer, stream.start, stream.end):
            raise Malformed("an answer begins in an unknown form")

    def _answered(self, call: Call, outcome: CounterOutcome, total: float) -> None:
        if not call.over:
            self._over(call, outcome, total)
        elif outcome == "ok":
            self.dispatcher.counted_late(call.name, total)


def outcome_of(answer: str) -> tuple[CounterOutcome, float]:
    """
    >>> outcome_of("ok 3.5"), outcome_of("busy")
    (('ok', 3.5), ('full', 0.0))
    """
    word, _, rest = answer.partition(" ")
    if word == "ok":
        return "ok", number({"total": rest}, "total")
    if word in ("busy", "error"):
        return "full", 0.0
    raise Malformed(f"an answer has the unknown form {answer!r:.40}")
