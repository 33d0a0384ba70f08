"""App servers: their connections, one attempt on each at a time, and how attempts end."""

from __future__ import annotations

import re
import traceback
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from merlintally.fields import Malformed
from merlintally.interface import LoadReport, Outcome, Presence
from merlintally.net.call_queue import Owner
from merlintally.net.configuration import Address, Deployment
from merlintally.net.invariants import (
    CLIENT_GONE_GRACE_S,
    MAX_SUSPENSION_S,
    STATED_WAIT_SLACK_S,
    Invariant,
    Invariants,
)
from merlintally.net.log import Log
from merlintally.net.requests import Answer, Attempt
from merlintally.net.resp import array_at, bulk, line_end
from merlintally.net.send_guard import SendGuard
from merlintally.net.sockets import Allowance, Stream, connect, tcp_socket
from merlintally.net.timers import Clock
from merlintally.subsets import Listing

FIGURE = re.compile(r"([a-z0-9_]+)=(-?[0-9]{1,12}(?:\.[0-9]{1,12})?)")
ERROR = re.compile(rb"-(BUSY|ERR)((?: [!-~]+)*)")
UNUSABLE: Outcome = "withdrawn"  # of what an app server can't use: the client's fault, and not the server's


def figures(row: str) -> dict[str, float]:
    """What can be read of them. Guards against a good answer that is lost for its figures, which are dropped.

    >>> figures("used=37,cost=4")
    {'used': 37.0, 'cost': 4.0}
    """
    parts = (FIGURE.fullmatch(part) for part in row.split(","))
    return {part[1]: float(part[2]) for part in parts if part}


def answer_at(buffer: bytearray, start: int, end: int, reported: dict[str, str]) -> tuple[Answer, int] | None:
    """The answer at `start` and where it ends; None while it is not whole."""
    if start >= end:
        return None
    if buffer[start] == 0x2D:
        stop = line_end(buffer, start, end)
        if stop is None:
            return None
        # Guards against noise that looks like an error: what was turned away has surely never run.
        line = ERROR.fullmatch(bytes(buffer[start:stop]))
        if line is None:
            raise Malformed("an error line can't be read")
        words = line[2].decode("ascii").split(" ")[1:]
        report = report_of(words[-1], reported) if words and "=" in words[-1] else None
        if line[1] == b"ERR" and words[:1] != ["failed"]:
            return Answer(UNUSABLE, b"-ERR refused by the app server\r\n"), stop + 2
        return Answer("full" if line[1] == b"BUSY" else "error", report=report), stop + 2
    found = array_at(buffer, start, end)
    if found is None:
        return None
    spans, stop = found
    if len(spans) != 3 or spans[0] is None:
        raise Malformed("an answer is not a value and two rows of figures")
    rows = [bytes(buffer[a:b]).decode("ascii", "replace") for a, b in (one or (0, 0) for one in spans[1:])]
    actual = max(0.0, figures(rows[0]).get("cost", 0.0))
    report = report_of(rows[1], reported)
    first, last = spans[0]
    return Answer("ok", bulk(bytes(buffer[first:last])), actual, report), stop


def report_of(row: str, reported: dict[str, str]) -> LoadReport | None:
    """The load report in a row, of the fields that the settings name, by their names in the decisions."""
    return {reported[name]: value for name, value in figures(row).items() if name in reported} or None


class Link:
    """One connection to an app server. It carries one attempt at a time, so that none waits for another's
    answer, and calling one off, which closes the connection, ends no other."""

    def __init__(self, fleet: Fleet, server: Server, attempt: Attempt) -> None:
        self.fleet, self.server = fleet, server
        self.attempt: Attempt | None = attempt
        self.stream = Stream(tcp_socket(), fleet.held, waits=False)  # an answer frees more than it takes
        self.idle_since, self.dead, self.connected = 0.0, False, False
        attempt.link = self

    async def run(self) -> None:
        try:
            await self._serve()
        except Malformed as wrong:
            self.fleet.log.say(
                f"app server {self.server.name}: {wrong}; the connection is closed",
                "server.spoilt",
                server=self.server.name,
            )
        except (OSError, anyio.ClosedResourceError):
            pass
        except Exception:  # guards against a fault in handling one connection: it ends that one, and no other
            self.fleet.log.say(
                f"app server {self.server.name}: {traceback.format_exc()}",
                "server.failed",
                server=self.server.name,
            )
        finally:
            self.dead = True
            self.stream.close()
            self.fleet.forget(self)
            if (attempt := self.attempt) is not None:
                self.attempt = None
                await self.fleet.report(attempt, Answer("broken" if attempt.written else "unreachable"))

    async def _serve(self) -> None:
        with anyio.fail_after(self.fleet.connect_time_out):
            await connect(self.stream.sock, self.server.address)
        attempt = self.attempt
        if self.dead or (attempt and not self.fleet.guard.allows(attempt, self.server.presence)):
            return
        self.connected = True
        if self.attempt is None:  # called off while it connected: the next one may use it
            self.fleet.rest(self)
        else:
            self.begin(self.attempt)
        fleet, stream = self.fleet, self.stream
        while await self._more():
            found = answer_at(stream.buffer, stream.start, stream.end, fleet.reported)
            if found is None:
                if stream.overfull:
                    raise Malformed("an answer is beyond what is allowed")
                continue
            answer, stream.start = found
            attempt = self.attempt
            if attempt is None or (answer.outcome == "ok" and not attempt.written):
                raise Malformed("an answer came to no question")
            self.attempt = None
            self.dead = self.dead or stream.start < stream.end or not attempt.written
            if not self.dead:
                self.fleet.rest(self)
            await fleet.report(attempt, answer)
            if self.dead:
                return

    async def _more(self) -> int:
        """Wait for more bytes. Guards against answers that stop short: places taken for good."""
        if self.stream.start == self.stream.end:
            return await self.stream.receive()
        with anyio.move_on_after(self.fleet.stall_s):
            return await self.stream.receive()
        raise Malformed("an answer stopped short")

    def begin(self, attempt: Attempt) -> None:
        """Write an attempt out; when that fails before its last byte, it has never run."""
        self.attempt, attempt.link = attempt, self
        wait = attempt.deadline - self.fleet.clock.now()
        try:
            attempt.written = self.stream.write(attempt.request.message(wait))
        except OSError:
            self.end()
            return
        self.fleet.check_begun(attempt, self.server, wait)
        if not attempt.written:
            self.fleet.group.start_soon(self._flush, attempt)

    async def _flush(self, attempt: Attempt) -> None:
        """Write the rest. Guards against a last byte that goes out for nobody, once a repeat is no longer
        remembered, or long after the time that the command tells: an app server begins a request with it."""
        begun_at, guard = self.fleet.clock.now(), self.fleet.guard
        try:
            await self.stream.flush(lambda: guard.allows_rest(attempt, begun_at))
            attempt.written = not self.stream.unsent
        except OSError:
            pass
        if not attempt.written:
            self.end()

    def end(self) -> None:
        """End the connection at once; its task closes it."""
        self.dead = True
        self.stream.hang_up()


class Server:
    """Where one app server listens, and this node's connections to it."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address, self.started = name, address, 0.0
        self.presence: Presence = "on"
        self.links: dict[Link, None] = {}
        self.idle: list[Link] = []  # the last used at the end
        self.leaving_since = float("inf")  # when it was listed as one that drains or is gone

    def set_presence(self, presence: Presence, now: float) -> None:
        """Take up how it is listed from now on."""
        if presence == "on":
            self.leaving_since = float("inf")
        elif self.presence == "on":
            self.leaving_since = now
        self.presence = presence


class Fleet:
    """The app servers that this node works with."""

    def __init__(
        self,
        deployment: Deployment,
        dispatcher: Owner,
        clock: Clock,
        log: Log,
        group: TaskGroup,
        descriptors: Allowance,
        held: Allowance,
    ) -> None:
        self.dispatcher, self.clock, self.log, self.group = dispatcher, clock, log, group
        self.descriptors, self.held, self.reported = descriptors, held, deployment.reported
        self.connect_time_out = deployment.connect_time_out
        self.rest_s, self.stall_s = deployment.bounds.rest_s, deployment.bounds.stall_s
        self.retire_after = deployment.idle_close * deployment.bounds.idle_share
        self.servers: dict[str, Server] = {}
        self.guard, self.invariants = SendGuard(clock), Invariants(log)
        self.drain_grace = deployment.facts.drain_grace

    def check_begun(self, attempt: Attempt, server: Server, wait: float) -> None:
        """Look at an attempt of which the first bytes have just been written, to be answered in `wait` s."""
        request, now, check = attempt.request, self.clock.now(), self.invariants.check
        gone_s = 0.0 if request.client_gone_at is None else now - request.client_gone_at
        left_s, leaving_s = request.deadline - now, now - server.leaving_since
        check(gone_s <= CLIENT_GONE_GRACE_S, Invariant.CLIENT_THERE, request.id, gone_s=gone_s)
        check(request.answer is None, Invariant.NOT_ANSWERED, request.id)
        late_s = now - min(attempt.begin_by, request.deadline)
        check(late_s <= MAX_SUSPENSION_S, Invariant.NOT_TOO_LATE, request.id, late_s=late_s)
        check(wait <= max(0.0, left_s) + STATED_WAIT_SLACK_S, Invariant.WAIT_TOLD, request.id, wait_s=wait)
        check(leaving_s <= self.drain_grace, Invariant.SERVER_STAYS, request.id, server=server.name)
        twice = request.effect == "one-shot" and any(one.may_run() for one in request.others(attempt))
        check(not twice, Invariant.ONE_COPY, request.id)

    def roster(self, entries: Iterable[Listing], complete: bool) -> None:
        """Take a list or its changes. What drains or is gone keeps its attempts and gets nothing more."""
        named = set()
        for entry in entries:
            name, server = entry.facts.server, self.servers.get(entry.facts.server)
            named.add(name)
            if server is None:
                if entry.address is None:
                    continue
                server = self.servers[name] = Server(name, entry.address)
            moved = entry.address is not None and entry.address != server.address
            if moved or entry.facts.started != server.started or entry.facts.presence != "on":
                self._drop_unused(server)
            server.address = entry.address or server.address
            server.set_presence(entry.facts.presence, self.clock.now())
            server.started = entry.facts.started
        for server in list(self.servers.values()):
            if complete and server.name not in named:
                server.set_presence("gone", self.clock.now())
                self._drop_unused(server)
            if server.presence == "gone" and not server.links:
                del self.servers[server.name]

    def _drop_unused(self, server: Server) -> None:
        """End what stands idle, and what has still to connect: it must not send after the drain's grace."""
        for link in list(server.links):
            if not link.connected or link.attempt is None:
                link.end()
        server.idle.clear()

    def send(self, name: str, attempt: Attempt) -> bool:
        """Begin an attempt; False if it can't be and has never run."""
        server = self.servers.get(name)
        if server is None or not self.guard.allows(attempt, server.presence):
            return False
        while (link := self._rested(server)) is not None:
            if not link.dead and link.stream.quiet():  # guards against one that its server has closed
                link.begin(attempt)
                return True
            link.end()
        if self.descriptors.full and not self._give_way():
            self.log.say("no descriptors are left for connections to app servers", "servers.descriptors")
            return False
        try:
            link = Link(self, server, attempt)
        except OSError as wrong:
            self.log.say(f"no connection can be opened: {wrong.strerror}", "servers.open")
            return False
        self.descriptors.take()
        server.links[link] = None
        self.group.start_soon(link.run)
        return True

    def _rested(self, server: Server) -> Link | None:
        """The last used of those idle, but for any that has only just answered or is to be retired. Guards
        against noise or one more copy right behind an answer, taken for the next one, and against a close
        that crosses it: where servers close soon, that comes between two sweeps."""
        now = self.clock.now()
        for at in range(len(server.idle) - 1, -1, -1):
            rest = now - server.idle[at].idle_since
            if rest > self.retire_after:
                break
            if rest >= self.rest_s:
                return server.idle.pop(at)
        return None

    def busy(self, name: str) -> int:
        """How many attempts are out at an app server, or on their way to it."""
        server = self.servers.get(name)
        return sum(link.attempt is not None for link in server.links) if server is not None else 0

    def call_off(self, attempt: Attempt) -> None:
        """Stop waiting: the connection ends, so that nothing else is out on it."""
        link = attempt.link
        if isinstance(link, Link) and link.attempt is attempt:
            link.attempt = None
            if link.connected:
                link.end()

    def rest(self, link: Link) -> None:
        if link.server.presence != "on":
            link.end()
        else:
            link.idle_since = self.clock.now()
            link.server.idle.append(link)

    def forget(self, link: Link) -> None:
        self.descriptors.give()
        link.server.links.pop(link, None)
        if link in link.server.idle:
            link.server.idle.remove(link)

    async def report(self, attempt: Attempt, answer: Answer) -> None:
        attempt.result_queued = True
        await self.dispatcher.enqueue(self.dispatcher.attempt_ended, attempt, answer)

    def sweep(self) -> None:
        """Retire what stands idle well before its server closes it: what crosses that may have run."""
        before = self.clock.now() - self.retire_after
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since < before:
                server.idle.pop(0).end()

    def _give_way(self) -> bool:
        """End the connection that has been idle for longest; False if none is idle."""
        waiting = [server.idle[0] for server in self.servers.values() if server.idle]
        if waiting:
            oldest = min(waiting, key=lambda link: link.idle_since)
            oldest.server.idle.pop(0)
            oldest.end()
        return bool(waiting)
