"""Connections to app servers: attempts are sent on them, one at a time on each, and their answers parsed."""

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
from merlintally.net.sockets import ResourceLimit, Stream, connect, tcp_socket
from merlintally.net.timers import Clock
from merlintally.subsets import Listing

NAMED_NUMBER = re.compile(r"([a-z0-9_]+)=(-?[0-9]{1,12}(?:\.[0-9]{1,12})?)")
ERROR_LINE = re.compile(rb"-(BUSY|ERR)((?: [!-~]+)*)")
REJECTED: Outcome = "withdrawn"  # for malformed requests, which must not count against the server


def parse_numbers(row: str) -> dict[str, float]:
    """Parses `name=number` pairs separated by commas. Malformed pairs are skipped, so that they don't
    invalidate the answer that carries them.

    >>> parse_numbers("used=37,cost=4")
    {'used': 37.0, 'cost': 4.0}
    """
    parts = (NAMED_NUMBER.fullmatch(part) for part in row.split(","))
    return {part[1]: float(part[2]) for part in parts if part}


def parse_answer(
    buffer: bytearray, start: int, end: int, reported: dict[str, str]
) -> tuple[Answer, int] | None:
    """Parses the answer that begins at `start`: the answer and the offset of its end, or None while it is
    incomplete. Raises `Malformed`.

    `reported` maps the names of load report fields to their names in the decisions.
    """
    if start >= end:
        return None
    if buffer[start] == 0x2D:
        stop = line_end(buffer, start, end)
        if stop is None:
            return None
        # Strict, since a rejected attempt counts as never run: garbage must not be taken for a rejection.
        line = ERROR_LINE.fullmatch(bytes(buffer[start:stop]))
        if line is None:
            raise Malformed("an error line can't be parsed")
        words = line[2].decode("ascii").split(" ")[1:]
        report = load_report(words[-1], reported) if words and "=" in words[-1] else None
        if line[1] == b"ERR" and words[:1] != ["failed"]:
            return Answer(REJECTED, b"-ERR refused by the app server\r\n"), stop + 2
        return Answer("full" if line[1] == b"BUSY" else "error", report=report), stop + 2
    found = array_at(buffer, start, end)
    if found is None:
        return None
    spans, stop = found
    if len(spans) != 3 or spans[0] is None:
        raise Malformed("an answer is not an array of a value and two rows of numbers")
    rows = [bytes(buffer[a:b]).decode("ascii", "replace") for a, b in (span or (0, 0) for span in spans[1:])]
    actual = max(0.0, parse_numbers(rows[0]).get("cost", 0.0))
    report = load_report(rows[1], reported)
    first, last = spans[0]
    return Answer("ok", bulk(bytes(buffer[first:last])), actual, report), stop


def load_report(row: str, reported: dict[str, str]) -> LoadReport | None:
    """The load report in a row: the fields in `reported`, under their decision names; None if empty."""
    return {reported[name]: value for name, value in parse_numbers(row).items() if name in reported} or None


class Link:
    """One connection to an app server, carrying one attempt at a time.

    No attempt waits for the answer to another, and cancelling one by closing its connection affects no other.
    """

    def __init__(self, fleet: Fleet, server: Server, attempt: Attempt) -> None:
        self.fleet, self.server = fleet, server
        self.attempt: Attempt | None = attempt
        # Doesn't wait for memory, since handling an answer releases more than it uses.
        self.stream = Stream(tcp_socket(), fleet.memory, memory_wait_s=None)
        self.idle_since, self.dead, self.connected = 0.0, False, False
        attempt.link = self

    async def run(self) -> None:
        """Connects and serves attempts until the connection ends; reports an attempt that was in progress."""
        try:
            await self._exchange()
        except Malformed as error:
            self.fleet.log.say(
                f"app server {self.server.name}: {error}; the connection is closed",
                "server.spoilt",
                server=self.server.name,
            )
        except (OSError, anyio.ClosedResourceError):
            pass
        except Exception:  # an unexpected error ends this connection only
            self.fleet.log.say(
                f"app server {self.server.name}: {traceback.format_exc()}",
                "server.failed",
                server=self.server.name,
            )
        finally:
            self.dead = True
            self.stream.close()
            self.fleet.discard(self)
            if (attempt := self.attempt) is not None:
                self.attempt = None
                await self.fleet.report_end(attempt, Answer("broken" if attempt.written else "unreachable"))

    async def _exchange(self) -> None:
        with anyio.fail_after(self.fleet.connect_timeout_s):
            await connect(self.stream.sock, self.server.address)
        if self.dead or not self._may_begin():
            return
        self.connected = True
        if self.attempt is None:  # cancelled while connecting: the connection is available for others
            self.fleet.release(self)
        else:
            self.begin(self.attempt)
        while await self._receive_more():
            if (ended := self._take_answer()) is not None:
                await self.fleet.report_end(*ended)
                ended = None  # a connection at rest keeps no request and no answer
                if self.dead:
                    return

    def _may_begin(self) -> bool:
        """Whether nothing forbids the attempt for which the connection was made, if that is still wanted."""
        return self.attempt is None or self.fleet.guard.allows(self.attempt, self.server.presence)

    def _take_answer(self) -> tuple[Attempt, Answer] | None:
        """Takes a complete answer from the buffer, with the attempt that it ends; None while there is none.

        The connection is then available for others, or dead. Raises `Malformed`.
        """
        stream = self.stream
        parsed = parse_answer(stream.buffer, stream.start, stream.end, self.fleet.reported)
        if parsed is None:
            if stream.is_full:
                raise Malformed("an answer is larger than the receive buffer")
            return None
        answer, stop = parsed
        stream.consume_to(stop)
        attempt, self.attempt = self.attempt, None
        if attempt is None or (answer.outcome == "ok" and not attempt.written):
            self.attempt = attempt
            raise Malformed("an answer came without a request")
        self.dead = self.dead or stream.start < stream.end or not attempt.written
        if not self.dead:
            self.fleet.release(self)
        return attempt, answer

    async def _receive_more(self) -> int:
        """Waits for more bytes; 0 at the end of the connection. A partial answer that gets no further bytes
        for `stall_s` raises `Malformed`, since it would occupy its connection for good."""
        if self.stream.start == self.stream.end:
            return await self.stream.receive()
        with anyio.move_on_after(self.fleet.stall_s):
            return await self.stream.receive()
        raise Malformed("an answer stopped short")

    def begin(self, attempt: Attempt) -> None:
        """Sends an attempt, which has not run if that fails before its last byte is written."""
        self.attempt, attempt.link = attempt, self
        wait = attempt.deadline - self.fleet.clock.now()
        try:
            attempt.written = self.stream.write(attempt.request.message(wait))
        except OSError:
            self.end()
            return
        self.fleet.check_invariants(attempt, self.server, wait)
        if not attempt.written:
            self.fleet.group.start_soon(self._flush, attempt)

    async def _flush(self, attempt: Attempt) -> None:
        """Writes the rest of a partly written attempt while the send guard allows it.

        An app server starts a request at its last byte, which must not go out for a client that has left,
        after the window for repeats, or long after the remaining time stated in the message was computed.
        """
        started_at, guard = self.fleet.clock.now(), self.fleet.guard
        try:
            await self.stream.flush(lambda: guard.allows_rest(attempt, started_at))
            attempt.written = not self.stream.unsent
        except OSError:
            pass
        if not attempt.written:
            self.end()

    def end(self) -> None:
        """Shuts the connection down; its task closes the socket."""
        self.dead = True
        self.stream.shut_down()


class Server:
    """An app server's address and state, and this node's connections to it."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address, self.started = name, address, 0.0
        self.presence: Presence = "on"
        self.links: dict[Link, None] = {}
        self.idle: list[Link] = []  # in the order of last use, the most recent last
        self.leaving_since = float("inf")  # when it was first listed as draining or gone

    def set_presence(self, presence: Presence, now: float) -> None:
        """Sets the presence from discovery, at `now`."""
        if presence == "on":
            self.leaving_since = float("inf")
        elif self.presence == "on":
            self.leaving_since = now
        self.presence = presence


class Fleet:
    """The app servers that this node uses, with a connection pool for each.

    `descriptors` limits the open connections, `memory` the memory for answers.
    """

    def __init__(
        self,
        deployment: Deployment,
        dispatcher: Owner,
        clock: Clock,
        log: Log,
        group: TaskGroup,
        descriptors: ResourceLimit,
        memory: ResourceLimit,
    ) -> None:
        self.dispatcher, self.clock, self.log, self.group = dispatcher, clock, log, group
        self.descriptors, self.memory, self.reported = descriptors, memory, deployment.reported
        self.connect_timeout_s = deployment.connect_time_out
        self.reuse_delay_s, self.stall_s = deployment.bounds.rest_s, deployment.bounds.stall_s
        self.max_idle_s = deployment.idle_close * deployment.bounds.idle_share
        self.servers: dict[str, Server] = {}
        self.guard, self.invariants = SendGuard(clock), Invariants(log)
        self.drain_grace = deployment.facts.drain_grace

    def check_invariants(self, attempt: Attempt, server: Server, wait: float) -> None:
        """Checks the invariants of an attempt whose first bytes have just been written.

        `wait` is the time for its answer in seconds, as stated to the app server.
        """
        request, now, check = attempt.request, self.clock.now(), self.invariants.check
        gone_s = 0.0 if request.client_gone_at is None else now - request.client_gone_at
        left_s, leaving_s = request.deadline - now, now - server.leaving_since
        check(gone_s <= CLIENT_GONE_GRACE_S, Invariant.CLIENT_THERE, request.id, gone_s=gone_s)
        check(request.answer is None, Invariant.NOT_ANSWERED, request.id)
        late_s = now - min(attempt.begin_by, request.deadline)
        check(late_s <= MAX_SUSPENSION_S, Invariant.NOT_TOO_LATE, request.id, late_s=late_s)
        check(wait <= max(0.0, left_s) + STATED_WAIT_SLACK_S, Invariant.WAIT_TOLD, request.id, wait_s=wait)
        check(leaving_s <= self.drain_grace, Invariant.SERVER_STAYS, request.id, server=server.name)
        second_copy = request.effect == "one-shot" and any(
            other.may_run() for other in request.others(attempt)
        )
        check(not second_copy, Invariant.ONE_COPY, request.id)

    def update_servers(self, entries: Iterable[Listing], complete: bool) -> None:
        """Applies a list of servers, or changes to it unless `complete`. Servers that are draining or gone
        keep their attempts in progress and get no new ones."""
        listed_names = set()
        for entry in entries:
            name, server = entry.facts.server, self.servers.get(entry.facts.server)
            listed_names.add(name)
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
            if complete and server.name not in listed_names:
                server.set_presence("gone", self.clock.now())
                self._drop_unused(server)
            if server.presence == "gone" and not server.links:
                del self.servers[server.name]

    def _drop_unused(self, server: Server) -> None:
        """Ends idle connections, and those still connecting, which could send after the grace period."""
        for link in list(server.links):
            if not link.connected or link.attempt is None:
                link.end()
        server.idle.clear()

    def send(self, name: str, attempt: Attempt) -> bool:
        """Starts an attempt at the server `name`; False if it could not be started and has not run."""
        server = self.servers.get(name)
        if server is None or not self.guard.allows(attempt, server.presence):
            return False
        while (link := self._take_idle(server)) is not None:
            # A connection with something to read was closed by its server, or carries garbage.
            if not link.dead and link.stream.nothing_to_read():
                link.begin(attempt)
                return True
            link.end()
        if self.descriptors.full and not self._close_longest_idle():
            self.log.say("no file descriptors are left for connections to app servers", "servers.descriptors")
            return False
        try:
            link = Link(self, server, attempt)
        except OSError as error:
            self.log.say(f"no connection can be opened: {error.strerror}", "servers.open")
            return False
        self.descriptors.acquire()
        server.links[link] = None
        self.group.start_soon(link.run)
        return True

    def _take_idle(self, server: Server) -> Link | None:
        """Removes and returns the most recently used idle connection that is fit for use, if any.

        Connections that answered less than `reuse_delay_s` ago are skipped: a duplicate answer or garbage
        that follows would be taken for the answer to the next attempt. So are those idle for longer than
        `max_idle_s`, which the server may be closing; this matters between two sweeps.
        """
        now = self.clock.now()
        for index in range(len(server.idle) - 1, -1, -1):
            idle_s = now - server.idle[index].idle_since
            if idle_s > self.max_idle_s:
                break
            if idle_s >= self.reuse_delay_s:
                return server.idle.pop(index)
        return None

    def attempts_in_flight(self, name: str) -> int:
        """The number of attempts in progress at the server `name`, including those still connecting."""
        server = self.servers.get(name)
        return sum(link.attempt is not None for link in server.links) if server is not None else 0

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt by ending its connection; a connection still being set up is kept for others."""
        link = attempt.link
        if isinstance(link, Link) and link.attempt is attempt:
            link.attempt = None
            if link.connected:
                link.end()

    def release(self, link: Link) -> None:
        """Returns a connection to the pool; ends it if its server takes no new attempts."""
        if link.server.presence != "on":
            link.end()
        else:
            link.idle_since = self.clock.now()
            link.server.idle.append(link)

    def discard(self, link: Link) -> None:
        self.descriptors.release()
        link.server.links.pop(link, None)
        if link in link.server.idle:
            link.server.idle.remove(link)

    async def report_end(self, attempt: Attempt, answer: Answer) -> None:
        """Enqueues the end of an attempt for the dispatcher."""
        attempt.result_queued = True
        await self.dispatcher.enqueue(self.dispatcher.attempt_ended, attempt, answer)

    def sweep(self) -> None:
        """Ends idle connections well before their servers close them: an attempt that crosses such a close
        may have run."""
        retire_before = self.clock.now() - self.max_idle_s
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since < retire_before:
                server.idle.pop(0).end()

    def _close_longest_idle(self) -> bool:
        """Ends the connection that has been idle for longest; False if none is idle."""
        longest_idle = [server.idle[0] for server in self.servers.values() if server.idle]
        if longest_idle:
            oldest = min(longest_idle, key=lambda link: link.idle_since)
            oldest.server.idle.pop(0)
            oldest.end()
        return bool(longest_idle)
