"""Clients: the listener, their connections, and the answers they are owed in the order of their commands."""

from __future__ import annotations

import errno
import socket
import traceback
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterator
from functools import partial

import anyio
from anyio.abc import TaskGroup

from merlintally.fields import Malformed
from merlintally.net.admission import Admission, AdmissionLimits, Eviction
from merlintally.net.client_stream import ClientStream
from merlintally.net.closures import BY_CLIENT, CloseReason, Closures
from merlintally.net.configuration import Deployment
from merlintally.net.invariants import Invariant, Invariants
from merlintally.net.log import Log
from merlintally.net.phases import Phase, Phases
from merlintally.net.polling import ready_times
from merlintally.net.post import Owner
from merlintally.net.requests import COMMANDS, PendingAnswer, Request
from merlintally.net.resp import Span, array_at
from merlintally.net.sockets import RETRY_S, Allowance, Buffer, prepared
from merlintally.net.timers import Clock

AT_ONCE = 16  # connections accepted in a row
LINGERING = 8  # reads in a row of a connection that is to be closed
MADE_ROOM = 2 * AT_ONCE  # connections closed at once where descriptors run short
BUSY = b"-BUSY\r\n"
ASIDE = (b"PING", b"CLIENT", b"SELECT", b"QUIT")
SCARCE = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


def plain(wrong: Malformed) -> bytes:
    """What is wrong, in a form that an error line may carry."""
    return " ".join(f"{wrong!s:.200}".split()).encode("ascii", "replace")


class Client:
    """One connection. Guards against answers that overtake: each command has its place among those due."""

    def __init__(
        self,
        clients: Clients,
        sock: socket.socket,
        came_after: float | None = None,
        admission: Admission = Admission.STAYS,
    ) -> None:
        """`came_after`: Unix seconds at which the connection was not there yet; the present if None."""
        now = clients.clock.now()
        self.clients, self.admission = clients, admission
        self.stream = ClientStream(
            sock, clients.held, clients.clock, clients.ready_times, now if came_after is None else came_after
        )
        self.pending: deque[PendingAnswer] = deque()
        self.moved_at = now  # when it last made headway, in either direction
        self.read_at = self.moved_at  # when something of it was last read
        self.whole_by = self.moved_at + clients.bounds.client_patience_s  # the command that is being read
        self.closing = self.ended = False
        self.close_reason: CloseReason | None = None  # the first one
        self.retiring = False  # to be closed as soon as it rests
        self.known = False  # whether it has brought a request
        self.faults = 0  # since then
        self.unread = 0  # bytes held of answers that it has not read
        self._passed = anyio.Event()

    @property
    def who(self) -> str:
        """Where it comes from, for a line in the log."""
        try:
            return ":".join(str(part) for part in self.stream.sock.getpeername())
        except OSError:
            return "one that has gone"

    @property
    def address(self) -> str:
        """Where it comes from, without the port."""
        return self.who.partition(":")[0]

    @property
    def idle(self) -> bool:
        """Whether it is owed nothing, as far as was read."""
        return not self.pending and not self.stream.unsent and not self.ended

    @property
    def finished(self) -> bool:
        """Whether all that it was owed is written, and the end behind it."""
        return self.closing and not self.pending and not self.stream.unsent

    @property
    def rests(self) -> bool:
        """Whether nothing is owed. Guards against a request that has come whole and is not read yet when
        its connection is closed: it counts as taken, and would be lost."""
        stream = self.stream
        return not self.pending and not stream.unsent and stream.start == stream.end and stream.quiet()

    def has_left(self) -> bool:
        """Whether its client has ended the connection, also where that has not been read yet."""
        if not self.ended and self.stream.peer_ended():
            self.end(CloseReason.CLIENT)
        return self.ended

    def end_may_be_unread(self) -> bool:
        """Whether its client's end could stand behind bytes that there is no room to read."""
        stream = self.stream
        return stream.overfull or (stream.end == len(stream.buffer) and self.clients.held.full)

    async def run(self) -> None:
        """Guards against a fault in handling one connection: it ends that one, and no other, and not before
        what was taken of it is answered."""
        try:
            if not await self._or_tell(self._serve) and not self.ended:
                await self._or_tell(self._end_after_fault)
        finally:
            await self._gone()

    async def _or_tell(self, handling: Callable[[], Awaitable[None]]) -> bool:
        """Whether it went well."""
        try:
            await handling()
            return True
        except Exception:
            self._tell_fault()
            return False

    def _tell_fault(self) -> None:
        self.clients.log.say(f"client {self.who}: {traceback.format_exc()}", "client.failed")

    async def _end_after_fault(self) -> None:
        self.close_after_answers(CloseReason.FAILED)
        await self._linger()

    async def _serve(self) -> None:
        while not self.closing:
            if not (got := await self.stream.receive()):
                self.ended = True
                self._close_for(CloseReason.CLIENT)
                return
            self.moved_at = self.read_at = self.clients.clock.now()
            if got == self.stream.end - self.stream.start:
                self._begins()
            await self._read_commands()
            if self.clients.held.full:
                await self._watching(self.clients.held.room)
        await self._linger()

    def _close_for(self, reason: CloseReason) -> None:
        """Take nothing more, and end once all that is owed is answered."""
        self.closing = True
        self.close_reason = self.close_reason or reason

    def close_after_answers(self, reason: CloseReason) -> None:
        """The same, and where nothing is owed end at once."""
        self._close_for(reason)
        self.write_answers()

    async def _read_commands(self) -> None:
        """Take all commands that have come whole; more than may be open wait unread, as do unread answers."""
        stream, most = self.stream, self.clients.bounds.pipelined
        try:
            while not self.closing and stream.start < stream.end:
                if len(self.pending) >= most or stream.unsent:
                    await self._watching(self._until_passed)
                    continue
                found = array_at(stream.buffer, stream.start, stream.end)
                if found is None:
                    if stream.overfull:
                        raise Malformed("a command is beyond what is allowed")
                    return
                spans, stop = found
                first, came_at = stream.start, stream.use(stop)
                self._begins()
                if not spans:
                    await self._fault()
                else:
                    raw = bytes(memoryview(stream.buffer)[first:stop])
                    words = [(one[0] - first, one[1] - first) for one in spans if one is not None]
                    await self._command(raw, words if len(words) == len(spans) else [(0, 0)], came_at)
        except Malformed as wrong:  # the framing is lost: answer what was taken before, and close
            self.clients.log.say(f"client {self.who}: {wrong}; its connection is closed", "client.closed")
            self.pending.append(PendingAnswer([b"-ERR Protocol error: %b\r\n" % plain(wrong)]))
            self.close_after_answers(CloseReason.NO_COMMAND)

    def _begins(self) -> None:
        """A command begins to come, and has to be whole in time; the first one, since the connection came."""
        if self.known:
            self.whole_by = self.read_at + self.clients.bounds.client_patience_s

    async def _command(self, raw: bytes, words: list[Span], came_at: float) -> None:
        """One whole command, the last byte of which came at `came_at` at the earliest."""
        name, clients = raw[words[0][0] : words[0][1]].upper(), self.clients
        if name in COMMANDS:
            try:
                request = self._request_of(raw, words, came_at)
            except Malformed as wrong:
                self.pending.append(PendingAnswer([b"-ERR %b\r\n" % plain(wrong)]))
                self.write_answers()
                await self._fault()
            else:
                self.known, self.faults = True, 0
                if self.admission is not Admission.STAYS:
                    self._retire_for(CloseReason.FEW_DESCRIPTORS)
                if self.admission is Admission.REJECTED and not clients.give_way(urgent=True):
                    self.pending.append(PendingAnswer([BUSY]))
                    self.write_answers()
                    return
                self.pending.append(request)
                clients.held.take(request.held_bytes)
                await clients.dispatcher.post(clients.dispatcher.take, request)
            return
        self.pending.append(PendingAnswer([self._aside(name)]))
        self.write_answers()
        if name in ASIDE:
            await anyio.sleep(0)  # guards against hundreds at once, while all others wait
        else:
            await self._fault()

    def _request_of(self, raw: bytes, words: list[Span], came_at: float) -> Request:
        """The request; Malformed where it is none, or can't be made of it by a fault of this program: it was
        read, and has to be answered."""
        try:
            return Request(self, raw, words, self.clients.facts, came_at)
        except Malformed:
            raise
        except Exception:
            self._tell_fault()
            raise Malformed("this request can't be handled") from None

    async def _fault(self) -> None:
        """Guards against one that sends the same again as soon as it is turned away, and takes the CPU that
        others need: it is answered at once, and read again a little later; after some faults it is closed."""
        self.faults += 1
        if self.faults >= self.clients.bounds.faults and not self.closing:
            self.clients.log.say(
                f"client {self.who}: {self.faults} commands in a row can't be taken; its "
                "connection is closed",
                "client.closed",
            )
            self.close_after_answers(CloseReason.FAULTS)
        await self._watching(partial(anyio.sleep, self.clients.bounds.fault_pause_s))

    async def _watching(self, wait: Callable[[], Awaitable[None]]) -> None:
        """Wait, and see it when the client leaves meanwhile. Guards against attempts for one that has long
        gone, whose end stood behind commands that were not read: these are read now, and kept for later."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_on, group.cancel_scope)
            await wait()
            group.cancel_scope.cancel()

    async def _read_on(self, waiting: anyio.CancelScope) -> None:
        while not self.stream.overfull:
            if not (got := await self.stream.receive()):
                self.ended = True
                self._close_for(CloseReason.CLIENT)
                waiting.cancel()
                return
            self.read_at = self.clients.clock.now()
            if got == self.stream.end - self.stream.start:
                self._begins()

    async def _linger(self) -> None:
        """Wait for what is owed, then a moment for the other side's end: what it still sends is left unread,
        or the error could be lost with the connection's reset."""
        while (self.pending or self.stream.unsent) and not self.ended:
            await self._watching(self._until_passed)
        if self.ended:
            return
        self.stream.throw_away()
        with anyio.move_on_after(self.clients.bounds.linger_s):
            for _ in range(LINGERING):
                if not await self.stream.receive():
                    break
                self.stream.throw_away()

    def _aside(self, name: bytes) -> bytes:
        """What is spoken beside requests."""
        if name == b"PING":
            serving = self.clients.phases.current is Phase.SERVING
            return b"+PONG\r\n" if serving else b"-ERR leaving\r\n"
        if name == b"QUIT":
            self._close_for(CloseReason.ASKED)
        return b"+OK\r\n" if name in ASIDE else b"-ERR unknown command\r\n"

    def write_answers(self) -> None:
        """Write the answers whose turn has come."""
        ready: list[Buffer] = []
        while self.pending and self.pending[0].answer is not None:
            pending = self.pending.popleft()
            ready.extend(pending.answer or ())
            if isinstance(pending, Request):
                self.clients.held.give(pending.held_bytes)
        if self.closing and not self.pending:
            ready.extend(self._refusals())
        if ready and not self.ended:
            self.moved_at = self.clients.clock.now()
            try:
                flushing = bool(self.stream.unsent)
                if not self.stream.write(ready):
                    self._hold_unread()
                    if not flushing:
                        self.clients.group.start_soon(self._flush)
            except OSError:
                self.end(CloseReason.BROKEN)
        self.closing = self.closing or (self.retiring and self.rests)
        if self.finished:
            self.stream.end_sending()
        self._passed.set()

    def _refusals(self) -> Iterator[Buffer]:
        """The answers to commands that came whole and are not taken up before the connection's end. Guards
        against a request that is read, and whose connection is closed with no answer."""
        stream = self.stream
        try:
            while (found := array_at(stream.buffer, stream.start, stream.end)) is not None:
                stream.use(found[1])
                if found[0]:
                    self.clients.refused_unopened += 1
                    yield BUSY
        except Malformed:
            return  # the framing is lost: there is no telling what else was asked

    def _hold_unread(self) -> None:
        """Guards against memory taken by answers that nobody reads: they count as held until written."""
        before, self.unread = self.unread, sum(len(part) for part in self.stream.unsent)
        self.clients.held.take(self.unread)
        self.clients.held.give(before)

    async def _until_passed(self) -> None:
        """Wait until answers were passed on, or the connection ended."""
        self._passed = anyio.Event()
        await self._passed.wait()

    async def _flush(self) -> None:
        try:
            await self.stream.flush()
        except OSError:
            self.end(CloseReason.BROKEN)
        self._hold_unread()
        self.moved_at = self.clients.clock.now()
        self.write_answers()

    def end(self, reason: CloseReason) -> None:
        """End it at once, whatever it is owed."""
        self._close_for(reason)
        self.ended = True
        self.stream.hang_up()
        self._passed.set()

    def retire(self, reason: CloseReason) -> None:
        """Close it once it rests: at once, or when the last of what has come is answered."""
        self._retire_for(reason)
        self.write_answers()

    def _retire_for(self, reason: CloseReason) -> None:
        self.retiring = True
        self.close_reason = self.close_reason or reason

    async def _gone(self) -> None:
        """The connection is over: whoever owns the decisions is told of all that its client waited for."""
        self._close_for(CloseReason.FAILED)
        self.ended = True
        self.stream.close()
        self.stream.unsent = []
        self._hold_unread()
        clients = self.clients
        clients.connections.pop(self, None)
        clients.descriptors.give()
        owed, self.pending = [pending for pending in self.pending if isinstance(pending, Request)], deque()
        clients.note_end(self, owed)
        for request in owed:
            request.gone = True  # guards against sends for it while the word of it waits in a long queue
            request.gone_at = clients.clock.now()
            clients.held.give(request.held_bytes)
        for request in owed:
            if request.answer is None:
                await clients.dispatcher.post(clients.dispatcher.left, request)


class Clients:
    """The listener and all connections of clients."""

    def __init__(
        self,
        deployment: Deployment,
        listener: socket.socket,
        phases: Phases,
        dispatcher: Owner,
        clock: Clock,
        log: Log,
        group: TaskGroup,
        descriptors: Allowance,
        held: Allowance,
        listening_since: float | None = None,
    ) -> None:
        """`listening_since`: Unix seconds from which on connections may wait; the present if None."""
        self.listener, self.phases, self.bounds = listener, phases, deployment.bounds
        self.dispatcher, self.clock, self.log, self.group = dispatcher, clock, log, group
        self.descriptors, self.held = descriptors, held
        self.facts = deployment.facts
        self.connections: dict[Client, None] = {}
        self.closures = Closures()
        self.closed: Counter[CloseReason] = Counter()
        self.invariants = Invariants(log)
        self.failing_since = float("inf")  # when accepting began to fail, if it does
        self.refused_unopened = 0  # commands answered as busy since their connections were about to end
        self.ready_times = ready_times()
        self.limits = AdmissionLimits.of(descriptors.most, self.bounds.client_reserve_share)
        self.eviction: Eviction[Client] = Eviction(self.bounds.client_rest_s, self.bounds.client_silent_s)
        # When the listener's backlog was last seen empty: what waits in it came later.
        self.backlog_empty_at = clock.now() if listening_since is None else listening_since

    async def accept(self) -> None:
        """Take connections as they come. Guards against requests that wait in the backlog while their time
        passes: where descriptors run short, idle connections are closed for new ones, many at once."""
        while True:
            if self.descriptors.held >= self.limits.stay:
                self.give_way(MADE_ROOM)
            if self.descriptors.full and not self.give_way(MADE_ROOM, urgent=True):
                self.log.say(
                    "no descriptors are left for clients, and none of them is idle", "clients.descriptors"
                )
                with anyio.move_on_after(self.bounds.again_s):  # one may fall idle meanwhile
                    await self.descriptors.room()
                continue
            if self.descriptors.full:
                await self.descriptors.room()  # those just ended are closed by their own tasks
            await anyio.wait_readable(self.listener)
            ready_since = self.ready_times.since(self.listener.fileno()) + self.clock.offset
            self.backlog_empty_at = max(self.backlog_empty_at, ready_since)
            failure = self.accept_all(AT_ONCE)
            await anyio.sleep(0)  # guards against others kept waiting where hundreds connect at once
            await self._failed_accept(failure)

    async def _failed_accept(self, failure: OSError | None) -> None:
        """Guards against a loop that spins on a listener it can't accept from, and against clients closed for
        a call that failed once: room is made only where descriptors stay short."""
        if failure is None:
            self.failing_since = float("inf")
            return
        now = self.clock.now()
        if self.failing_since > now:
            self.failing_since = now
            self._tell_of_failed_accept(failure)
        lasting = now - self.failing_since > self.bounds.shortage_s
        if lasting and failure.errno in SCARCE:
            self.give_way(MADE_ROOM, urgent=True)
        await anyio.sleep(self.bounds.again_s if lasting else RETRY_S)

    def accept_all(self, most: int = 1 << 30, beyond: bool = False) -> OSError | None:
        """Accept up to `most`; `beyond`: also those for which no descriptors are meant. Gives the error for
        which the rest still waits: a shortage, or failures in a row."""
        failures = 0
        for _ in range(most):
            admission = self.limits.admit(self.descriptors.held)
            if admission is Admission.WAITS and not beyond:
                break
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                self.backlog_empty_at = self.clock.now()
                return None
            except OSError as wrong:
                failures += 1
                if wrong.errno in SCARCE or failures == AT_ONCE:
                    return wrong
                continue  # the client went away before it was accepted
            failures = 0
            self.descriptors.take()
            client = Client(self, prepared(sock), self.backlog_empty_at, admission)
            self.connections[client] = None
            self.group.start_soon(client.run)
        return None

    def give_way(self, most: int = 1, urgent: bool = False) -> int:
        """Close up to `most` of the connections that are needed least; gives how many."""
        closed = 0
        for client in self.eviction.candidates(self.connections, self.clock.now(), urgent):
            if closed == most:
                break
            # Else what makes a command whole may have come, or the answer just written would go with a reset.
            if client.stream.quiet():
                if not client.known:
                    self.closures.add(CloseReason.NO_DESCRIPTOR, client.address)
                client.end(CloseReason.NO_DESCRIPTOR)
                closed += 1
        return closed

    def sweep(self) -> None:
        """Guards against connections held for good: in silence, by a command that never becomes whole,
        however it drips, or by answers that are not read."""
        now, bounds = self.clock.now(), self.bounds
        for client in list(self.connections):
            still, stream = now - client.moved_at, client.stream
            begun = stream.start < stream.end or not client.known
            if stream.unsent or (client.closing and not client.pending):
                if still > bounds.client_stall_s:
                    client.end(CloseReason.STALLED)
            elif not client.pending and begun and now > client.whole_by:
                if stream.quiet():  # else what makes it whole may have come
                    self.closures.add(CloseReason.NO_REQUEST, client.address)
                    client.end(CloseReason.NO_REQUEST)
            elif still > bounds.client_idle_s and client.rests:
                client.retire(CloseReason.IDLE)
        self.closures.tell(self.log)

    async def stop_listening(self) -> None:
        """Guards against connections lost between the kernel and the node: all that came are taken first,
        and where the system fails to hand them over, they are asked for again for a while."""
        try:
            with anyio.move_on_after(self.bounds.accept_patience_s):
                while failure := self.accept_all(beyond=True):
                    self._tell_of_failed_accept(failure)
                    await anyio.sleep(RETRY_S)
        finally:
            self.listener.close()

    def _tell_of_failed_accept(self, failure: OSError) -> None:
        self.log.say(f"no connection can be accepted: {failure.strerror}", "clients.accept")

    def retire(self) -> None:
        for client in list(self.connections):
            client.retire(CloseReason.LEAVE)

    def read_no_more(self) -> None:
        """Guards against requests that come on until the process ends, and are lost with it: what is not
        read when its connection closes is sent again elsewhere."""
        for client in list(self.connections):
            client.close_after_answers(CloseReason.LEAVE)

    def note_end(self, client: Client, owed: list[Request]) -> None:
        """Count why a connection ended, and look whether the node owed its client anything."""
        reason = client.close_reason or CloseReason.FAILED
        self.closed[reason] += 1
        now = self.clock.now()
        lost = [one for one in owed if one.answer is None and not one.gone and now < one.deadline]
        first = lost[0].id if lost else b""
        kept = reason in BY_CLIENT or not lost
        self.invariants.check(kept, Invariant.NO_ANSWER_OWED, first, owed=len(lost), reason=reason.name)
        if self.log.follows:
            self.log.say("", "connection.closed", reason=reason.name, owed=len(owed))
