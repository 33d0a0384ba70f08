"""The counter: calls written one behind another on one connection, whose answers come in their order."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio

from merlintally.fields import Malformed, number
from merlintally.interface import CounterOutcome
from merlintally.net.configuration import Address, Bounds
from merlintally.net.log import Log
from merlintally.net.resp import line_end
from merlintally.net.sockets import Stream, connect, tcp_socket
from merlintally.net.timers import Clock, Timers

if TYPE_CHECKING:
    from merlintally.net.keeper import Keeper


class Call:
    __slots__ = ("name", "line", "began", "written", "over")

    def __init__(self, name: int, line: bytes, began: float) -> None:
        self.name, self.line, self.began = name, line, began
        self.written = self.over = False


class Counter:
    """Calls without an answer in time are over; their answers are still awaited, for the order's sake."""

    def __init__(self, where: Address, time_out: float, bounds: Bounds, keeper: Keeper, clock: Clock,
                 timers: Timers, log: Log) -> None:
        self.where, self.time_out, self.bounds = where, time_out, bounds
        self.keeper, self.clock, self.timers, self.log = keeper, clock, timers, log
        self.unsent: deque[Call] = deque()  # not yet written: nothing is added
        self.pending: deque[Call] = deque()  # written, in the order of their answers
        self.stream: Stream | None = None
        self.heard_at = 0.0
        self._wanted = anyio.Event()

    def add(self, name: int, amount: float, keep: float) -> bool:
        """Make a call; False where too many are out, and nothing is added."""
        if len(self.unsent) + len(self.pending) >= self.bounds.counter_calls:
            return False
        line = b"tally %d %b %d\r\n" % (name, f"{amount:.6f}".encode(), max(1, int(keep * 1000)))
        call = Call(name, line, self.clock.now())
        self.unsent.append(call)
        self.timers.at(call.began + self.time_out, self.expired, call)
        self._write()
        self._wanted.set()
        return True

    def expired(self, call: Call) -> None:
        """Runs in the task that owns the decisions, as all calls of the timers do."""
        if call.over:
            return
        if call in self.unsent:
            self.unsent.remove(call)
        self._over(call, "timed_out" if call.written else "unreachable")
        if self.stream is not None and self.pending:
            since = max(self.heard_at, self.pending[0].began)
            if self.clock.now() - since > self.bounds.counter_silence_s:
                self.log.say("the counter is silent; its connection is given up")
                self.stream.hang_up()

    def _over(self, call: Call, outcome: CounterOutcome, total: float = 0.0) -> None:
        call.over = True
        self.keeper.counted(call.name, outcome, total, self.clock.now() - call.began)

    def _write(self) -> None:
        """Write what waits, once the connection stands. One that takes no more bytes is as good as broken."""
        while self.unsent and self.stream is not None:
            call = self.unsent.popleft()
            self.pending.append(call)
            with suppress(OSError):
                call.written = self.stream.write([call.line])
            if not call.written:
                self.stream.hang_up()
                self.stream = None

    async def run(self) -> None:
        """Connect whenever there are calls to make; a broken connection is seen at once."""
        while True:
            if not self.unsent:
                self._wanted = anyio.Event()
                await self._wanted.wait()
            stream = Stream(tcp_socket())
            try:
                with anyio.fail_after(self.time_out):
                    await connect(stream.sock, self.where)
                self.stream, self.heard_at = stream, self.clock.now()
                self._write()
                await self._listen(stream)
            except TimeoutError:
                pass  # calls that waited for it are over by themselves, each at its time
            except OSError as wrong:
                self.log.say(f"the counter can't be reached: {wrong.strerror}")
                self.pending.extend(self.unsent)
                self.unsent.clear()
            except Malformed as wrong:
                self.log.say(f"counter: {wrong}; the connection is closed")
            finally:
                self.stream = None
                stream.close()
            lost, self.pending = self.pending, deque()
            for call in lost:
                await self.keeper.post(self._lost, call)

    def _lost(self, call: Call) -> None:
        if not call.over:
            self._over(call, "timed_out" if call.written else "unreachable")

    async def _listen(self, stream: Stream) -> None:
        while await stream.receive():
            self.heard_at = self.clock.now()
            while (stop := line_end(stream.buffer, stream.start, stream.end)) is not None:
                answer = bytes(stream.buffer[stream.start:stop]).decode("ascii", "replace")
                stream.start = stop + 2
                if not self.pending:
                    raise Malformed("an answer came to no call")
                outcome, total = outcome_of(answer)
                await self.keeper.post(self._answered, self.pending.popleft(), outcome, total)

    def _answered(self, call: Call, outcome: CounterOutcome, total: float) -> None:
        if not call.over:
            self._over(call, outcome, total)


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
