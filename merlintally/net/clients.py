"""Client connections: accepting, reading commands, and answering them in order."""

from __future__ import annotations

import errno
import socket
import traceback
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from enum import StrEnum
from functools import partial

import anyio
from anyio.abc import TaskGroup

from merlintally.fields import Malformed
from merlintally.net.admission import Admission, AdmissionLimits, Eviction
from merlintally.net.call_queue import Owner
from merlintally.net.client_stream import ClientStream
from merlintally.net.closures import CLOSED_BY_CLIENT, UNANSWERABLE, CloseReason, Closures
from merlintally.net.configuration import Deployment
from merlintally.net.invariants import Invariant, Invariants
from merlintally.net.log import Log
from merlintally.net.phases import Phase, Phases
from merlintally.net.polling import ready_times
from merlintally.net.requests import COMMANDS, PendingAnswer, Request
from merlintally.net.resp import Span, array_at
from merlintally.net.sockets import MAX_BUFFER_BYTES, RETRY_S, Buffer, NoMemory, ResourceLimit, configure_tcp
from merlintally.net.timers import Clock
from merlintally.net.turns import Turn, Turns

ACCEPT_BATCH = 16  # connections accepted before other tasks run
# Input discarded on a connection whose sending side is closed, before it is closed completely.
LINGER_BYTES = 2 * MAX_BUFFER_BYTES
EVICTION_BATCH = 2 * ACCEPT_BATCH  # connections closed at once when descriptors run short
BUSY_ANSWER = b"-BUSY\r\n"
CONTROL_COMMANDS = (b"PING", b"CLIENT", b"SELECT", b"QUIT")
MAX_WAIT_SHARE = 0.5  # of a request's time, which it may have waited before the decisions see it
SHORTAGE_ERRNOS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


class EarlyRefusal(StrEnum):
    """Why a request was answered as busy before the decisions saw it."""

    NO_DESCRIPTOR = "no descriptor is left"
    NO_MEMORY = "no memory is left"
    WAITED = "half of its time had passed while it waited for its turn"


def error_text(error: Malformed) -> bytes:
    """Return an error as one line of ASCII of limited length, for an error reply."""
    return " ".join(f"{error!s:.200}".split()).encode("ascii", "replace")


class Client:
    """One client connection.

    Each command has an entry in `pending`, so that answers are written in the order of the commands.
    """

    def __init__(
        self,
        clients: Clients,
        sock: socket.socket,
        not_before: float | None = None,
        admission: Admission = Admission.PERSISTENT,
    ) -> None:
        """`not_before`: Unix seconds at which the connection did not exist yet; None for the current time."""
        now = clients.clock.now()
        self.clients, self.admission = clients, admission
        self.stream = ClientStream(
            sock,
            clients.held,
            clients.clock,
            clients.ready_times,
            now if not_before is None else not_before,
            clients.bounds.held_wait_s,
        )
        self.pending: deque[PendingAnswer] = deque()
        self.last_progress_at = now  # in either direction
        self.last_read_at = self.last_progress_at
        # When the command that is being received has to be complete.
        self.command_deadline = self.last_progress_at + clients.bounds.client_patience_s
        self.closing = self.ended = False
        self.close_reason: CloseReason | None = None  # the first one given
        self.retiring = False  # to be closed as soon as that loses nothing
        self.has_sent_request = False
        self.fault_count = 0  # invalid commands since the last valid request
        self.unread_bytes = 0  # of answers not written yet, as accounted in `clients.held`
        self.out_of_memory = False  # the last wait for held memory was in vain, and it is still full
        self.framing_lost = False  # the input that follows cannot be told apart into commands
        self.turn = Turn()
        self._answers_written = anyio.Event()

    @property
    def remote_address(self) -> str:
        """Address and port of the client, for the log."""
        try:
            return ":".join(str(part) for part in self.stream.sock.getpeername())
        except OSError:
            return "disconnected"

    @property
    def remote_host(self) -> str:
        """Address of the client without the port."""
        return self.remote_address.partition(":")[0]

    @property
    def owes_answer(self) -> bool:
        """Whether an answer is due, for a complete command in the receive buffer, too.

        The node ends no connection while this holds, unless its client has left or does not read its answers.
        """
        return bool(self.pending or self.stream.unsent) or not self.stream.awaits_rest()

    @property
    def idle(self) -> bool:
        """Whether no answer is due to commands read so far."""
        return not self.ended and not self.owes_answer

    @property
    def finished(self) -> bool:
        """Whether the connection is closing and all answers are written."""
        return self.closing and not self.pending and not self.stream.unsent

    @property
    def safe_to_close(self) -> bool:
        """Whether closing loses nothing: no answer is due, no command has begun, and no input is unread.

        A complete request in the socket's receive buffer counts as accepted, and would be lost.
        """
        stream = self.stream
        return not self.owes_answer and stream.start == stream.end and stream.nothing_to_read()

    def has_left(self) -> bool:
        """Return whether the client has ended the connection, even if its end has not been read yet."""
        if not self.ended and self.stream.peer_ended():
            self.end(CloseReason.CLIENT)
        return self.ended

    def end_may_be_unread(self) -> bool:
        """Return whether the client's end may stand behind bytes that there is no room to read."""
        return self.stream.is_full or self.stream.needs_memory

    async def run(self) -> None:
        """Serve the connection until it ends.

        An exception ends this connection only, after the requests accepted on it are answered.
        """
        try:
            if not await self._run_logged(self._serve) and not self.ended:
                await self._run_logged(self._close_after_exception)
        finally:
            await self._release()

    async def _run_logged(self, action: Callable[[], Awaitable[None]]) -> bool:
        """Run `action`, logging an exception; return whether there was none."""
        try:
            await action()
            return True
        except Exception:
            self._log_exception()
            return False

    def _log_exception(self) -> None:
        self.clients.log.say(f"client {self.remote_address}: {traceback.format_exc()}", "client.failed")

    async def _close_after_exception(self) -> None:
        self.close_after_answers(CloseReason.FAILED)
        await self._linger()

    async def _serve(self) -> None:
        while not self.closing:
            try:
                if not await self._receive():
                    return
            except NoMemory:
                self._reject_incomplete_command()
                break
            self.last_progress_at = self.last_read_at
            await self._read_commands()
        await self._linger()

    async def _receive(self) -> bool:
        """Read more input, and return whether there was any; otherwise the client has ended the connection.

        Raises `NoMemory`.
        """
        if not (count := await self.stream.receive()):
            self._record_end()
            return False
        self.last_read_at = self.clients.clock.now()
        if count == self.stream.end - self.stream.start:
            self._restart_command_deadline()
        return True

    def _record_end(self) -> None:
        """Record that the client has ended the connection."""
        self.ended = True
        self._start_closing(CloseReason.CLIENT)

    def _reject_incomplete_command(self) -> None:
        """Answer the command that is being received as busy, and close: there is no memory for its rest.

        The rest may still come while earlier answers are due; it is not another command.
        """
        self.framing_lost = True
        self.pending.append(PendingAnswer([BUSY_ANSWER]))
        self.clients.closures.add(CloseReason.NO_MEMORY, self.remote_host)
        self.close_after_answers(CloseReason.NO_MEMORY)

    def _start_closing(self, reason: CloseReason) -> None:
        """Accept no more commands; the connection ends once all answers are written."""
        self.closing = True
        self.close_reason = self.close_reason or reason

    def close_after_answers(self, reason: CloseReason) -> None:
        """Accept no more commands, and close once all answers are written: at once if none is due."""
        self._start_closing(reason)
        self.write_answers()

    async def _read_commands(self) -> None:
        """Handle all complete commands in the buffer.

        Pauses while too many commands are open, while earlier answers cannot be written, or for some time
        while held memory is full.
        """
        stream, max_open, turns = self.stream, self.clients.bounds.pipelined, self.clients.turns
        try:
            while not self.closing and stream.start < stream.end:
                if len(self.pending) >= max_open or stream.unsent:
                    turns.abandon(self.turn)  # a turn is not held while this connection waits
                    await self._wait_while_reading(self._until_answers_written)
                    continue
                command = array_at(stream.buffer, stream.start, stream.end)
                if command is None:
                    if stream.is_full:
                        raise Malformed("a command is beyond what is allowed")
                    return
                if not self._may_hold_more() and not self.out_of_memory:
                    turns.abandon(self.turn)
                    await self._wait_for_held_memory()
                    continue
                if not turns.try_take(self.turn):
                    await self._wait_for_turn()
                    continue
                self.out_of_memory = not self._may_hold_more()
                spans, stop = command
                first, raw = stream.start, bytes(memoryview(stream.buffer)[stream.start : stop])
                arrived_at = stream.consume(stop)
                self._restart_command_deadline()
                turns.use(self.turn)
                if not spans:
                    turns.finish(self.turn)
                    await self._penalize_fault()
                else:
                    words = [(one[0] - first, one[1] - first) for one in spans if one is not None]
                    await self._handle_command(
                        raw, words if len(words) == len(spans) else [(0, 0)], arrived_at
                    )
        except Malformed as error:  # framing is lost: answer the commands before it, and close
            self.framing_lost = True
            self.clients.log.say(
                f"client {self.remote_address}: {error}; its connection is closed", "client.closed"
            )
            self.pending.append(PendingAnswer([b"-ERR Protocol error: %b\r\n" % error_text(error)]))
            self.close_after_answers(CloseReason.NO_COMMAND)
        finally:
            turns.finish(self.turn)
            turns.abandon(self.turn)

    def _may_hold_more(self) -> bool:
        """Return whether there is memory for a request of this client, besides its receive buffer."""
        held = self.clients.held
        return held.used - self.stream.grown_bytes < held.limit

    async def _wait_for_held_memory(self) -> None:
        """Wait until memory for a further request is available, for a limited time.

        The command stays in the buffer meanwhile, so that the connection is not closed over it.
        """
        with anyio.move_on_after(self.clients.bounds.held_wait_s):
            await self._wait_while_reading(self.clients.held.available)
        self.out_of_memory = not self._may_hold_more()

    async def _wait_for_turn(self) -> None:
        """Wait until the next command of this connection may be handled, or the connection ends.

        No task of its own watches for the client's end meanwhile: `Clients.end_waiting` looks for it.
        """
        turns = self.clients.turns
        turns.enter(self.turn)
        try:
            await self.turn.until_granted()
        finally:
            turns.leave(self.turn)

    @property
    def waits_for_turn(self) -> bool:
        """Whether the connection waits for its turn while answers to earlier commands are due."""
        return self.turn.waiting and bool(self.pending)

    def _restart_command_deadline(self) -> None:
        """Restart the timeout for a complete command, unless no request has been sent yet."""
        if self.has_sent_request:
            self.command_deadline = self.last_read_at + self.clients.bounds.client_patience_s

    async def _handle_command(self, raw: bytes, words: list[Span], arrived_at: float) -> None:
        """Handle one command, whose last byte arrived at `arrived_at` (Unix seconds) at the earliest.

        It is in work until the owner of the decisions has seen it, or it is answered here.
        """
        name, clients = raw[words[0][0] : words[0][1]].upper(), self.clients
        if name not in COMMANDS:
            clients.turns.finish(self.turn)
            await self._answer_control(name)
            return
        try:
            request = self._parse_request(raw, words, arrived_at)
        except Malformed as error:
            clients.turns.finish(self.turn)
            self.pending.append(PendingAnswer([b"-ERR %b\r\n" % error_text(error)]))
            self.write_answers()
            await self._penalize_fault()
            return
        self.has_sent_request, self.fault_count = True, 0
        if self.admission is not Admission.PERSISTENT:
            self._start_retiring(CloseReason.FEW_DESCRIPTORS)
        if (reason := self._reason_to_refuse(request, arrived_at)) is not None:
            clients.turns.finish(self.turn)
            clients.refused[reason] += 1
            self.pending.append(PendingAnswer([BUSY_ANSWER]))
            self.write_answers()
            await anyio.sleep(0)  # let other tasks run between pipelined commands
            return
        self.pending.append(request)
        clients.held.acquire(request.held_bytes)
        await clients.submit(request, self.turn)

    def _reason_to_refuse(self, request: Request, arrived_at: float) -> EarlyRefusal | None:
        """Return why a request is answered as busy before the decisions see it; None if it is not."""
        if self.admission is Admission.REJECT and not self.clients.evict(urgent=True):
            return EarlyRefusal.NO_DESCRIPTOR
        if self.out_of_memory:
            return EarlyRefusal.NO_MEMORY
        latest = arrived_at + MAX_WAIT_SHARE * (request.deadline - arrived_at)
        return EarlyRefusal.WAITED if self.clients.clock.now() > latest else None

    async def _answer_control(self, name: bytes) -> None:
        """Answer a command that is not a request."""
        self.pending.append(PendingAnswer([self._control_reply(name)]))
        self.write_answers()
        if name in CONTROL_COMMANDS:
            await anyio.sleep(0)  # let other tasks run between pipelined commands
        else:
            await self._penalize_fault()

    def _parse_request(self, raw: bytes, words: list[Span], arrived_at: float) -> Request:
        """Return the request in a command, or raise Malformed.

        An internal error is logged and raised as Malformed, too, since the command has to be answered.
        """
        try:
            return Request(self, raw, words, self.clients.facts, arrived_at)
        except Malformed:
            raise
        except Exception:
            self._log_exception()
            raise Malformed("this request can't be handled") from None

    async def _penalize_fault(self) -> None:
        """Pause reading after an invalid command, and close the connection after too many in a row.

        The pause limits the CPU time that a client takes by resending an invalid command.
        """
        self.fault_count += 1
        if self.fault_count >= self.clients.bounds.faults and not self.closing:
            self.clients.log.say(
                f"client {self.remote_address}: {self.fault_count} invalid commands in a row; its "
                "connection is closed",
                "client.closed",
            )
            self.close_after_answers(CloseReason.FAULTS)
        await self._wait_while_reading(partial(anyio.sleep, self.clients.bounds.fault_pause_s))

    async def _wait_while_reading(self, wait: Callable[[], Awaitable[None]]) -> None:
        """Wait while reading ahead into the buffer, so that the client's end is detected meanwhile.

        Otherwise attempts would go on for a client whose end stands behind commands that are not read.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_ahead, group.cancel_scope)
            await wait()
            group.cancel_scope.cancel()

    async def _read_ahead(self, waiting: anyio.CancelScope) -> None:
        with suppress(NoMemory):
            while not self.stream.is_full and await self._receive():
                pass
        if not self.ended:  # no more can be read: the client's end is detected without reading
            await self.stream.end_of_peer()
            self._record_end()
        waiting.cancel()

    async def _linger(self) -> None:
        """Wait until all answers are written, then briefly for the client's end, discarding its input.

        Closing with unread input would reset the connection, and the last answers could be lost.
        """
        while (self.pending or self.stream.unsent) and not self.ended:
            await self._wait_while_reading(self._until_answers_written)
        if self.ended:
            return
        self.stream.discard()
        with anyio.move_on_after(self.clients.bounds.linger_s):
            remaining = LINGER_BYTES
            while remaining > 0 and (count := await self.stream.receive()):
                remaining -= count
                self.stream.discard()

    def _control_reply(self, name: bytes) -> bytes:
        """Return the reply to a command that is not a request."""
        if name == b"PING":
            serving = self.clients.phases.current is Phase.SERVING
            return b"+PONG\r\n" if serving else b"-ERR leaving\r\n"
        if name == b"QUIT":
            self._start_closing(CloseReason.ASKED)
        return b"+OK\r\n" if name in CONTROL_COMMANDS else b"-ERR unknown command\r\n"

    def write_answers(self) -> None:
        """Write the answers that are ready, in the order of their commands."""
        ready: list[Buffer] = []
        while self.pending and self.pending[0].answer is not None:
            pending = self.pending.popleft()
            ready.extend(pending.answer or ())
            if isinstance(pending, Request):
                self.clients.held.release(pending.held_bytes)
        if self.closing and not self.pending:
            ready.extend(self._reject_unhandled())
        if ready and not self.ended:
            self.last_progress_at = self.clients.clock.now()
            try:
                flushing = bool(self.stream.unsent)
                if not self.stream.write(ready):
                    self._account_unread()
                    if not flushing:
                        self.clients.group.start_soon(self._flush)
            except OSError:
                self.end(CloseReason.BROKEN)
        self.closing = self.closing or (self.retiring and self.safe_to_close)
        if self.finished:
            self.stream.end_sending()
        self._answers_written.set()

    def _reject_unhandled(self) -> Iterator[Buffer]:
        """Yield busy answers for complete commands in the buffer that will not be handled any more."""
        if self.framing_lost:
            return
        for stop in list(self.stream.complete_commands()):
            self.stream.consume(stop)
            self.clients.rejected_unhandled += 1
            yield BUSY_ANSWER

    def _account_unread(self) -> None:
        """Account the memory of answers that are not written yet as held."""
        previous, self.unread_bytes = self.unread_bytes, sum(len(part) for part in self.stream.unsent)
        self.clients.held.acquire(self.unread_bytes)
        self.clients.held.release(previous)

    async def _until_answers_written(self) -> None:
        """Wait until `write_answers` has run, or the connection has ended."""
        self._answers_written = anyio.Event()
        await self._answers_written.wait()

    async def _flush(self) -> None:
        try:
            await self.stream.flush()
        except OSError:
            self.end(CloseReason.BROKEN)
        self._account_unread()
        self.last_progress_at = self.clients.clock.now()
        self.write_answers()

    def end(self, reason: CloseReason) -> None:
        """End the connection at once, even if answers are due."""
        self._start_closing(reason)
        self.ended = True
        self.stream.shut_down()
        self._answers_written.set()
        self.turn.event.set()

    def retire(self, reason: CloseReason) -> None:
        """Close the connection as soon as that loses nothing."""
        self._start_retiring(reason)
        self.write_answers()

    def _start_retiring(self, reason: CloseReason) -> None:
        self.retiring = True
        self.close_reason = self.close_reason or reason

    async def _release(self) -> None:
        """Release the connection, and report its unanswered requests to the owner of the decisions."""
        self._start_closing(CloseReason.FAILED)
        self.ended = True
        self.stream.close()
        self.stream.unsent = []
        self._account_unread()
        clients = self.clients
        clients.connections.pop(self, None)
        clients.descriptors.release()
        unfinished, self.pending = (
            [pending for pending in self.pending if isinstance(pending, Request)],
            deque(),
        )
        clients.record_close(self, unfinished)
        for request in unfinished:
            request.client_gone = True  # set at once: the call below may wait in a long queue
            request.client_gone_at = clients.clock.now()
            clients.held.release(request.held_bytes)
        for request in unfinished:
            if request.answer is None:
                await clients.dispatcher.enqueue(clients.dispatcher.client_left, request)


class Clients:
    """The listener and all client connections."""

    def __init__(
        self,
        deployment: Deployment,
        listener: socket.socket,
        phases: Phases,
        dispatcher: Owner,
        clock: Clock,
        log: Log,
        group: TaskGroup,
        descriptors: ResourceLimit,
        held: ResourceLimit,
        listening_since: float | None = None,
    ) -> None:
        """`listening_since`: Unix seconds since when connections may wait; None for the current time."""
        self.listener, self.phases, self.bounds = listener, phases, deployment.bounds
        self.dispatcher, self.clock, self.log, self.group = dispatcher, clock, log, group
        self.descriptors, self.held = descriptors, held
        self.facts = deployment.facts
        self.connections: dict[Client, None] = {}
        self.turns = Turns(self.bounds.in_work)
        self.refused: Counter[EarlyRefusal] = Counter()  # requests, before the decisions saw them
        self.closures = Closures()
        self.closed: Counter[CloseReason] = Counter()
        self.invariants = Invariants(log)
        self.accept_failing_since = float("inf")  # when accepting began to fail; inf while it succeeds
        self.rejected_unhandled = 0  # commands answered as busy because their connections were closing
        self.ready_times = ready_times()
        self.admission_limits = AdmissionLimits.of(descriptors.limit, self.bounds.client_reserve_share)
        self.eviction: Eviction[Client] = Eviction(self.bounds.client_rest_s, self.bounds.client_silent_s)
        # When the listener's backlog was last seen empty: connections in it arrived later.
        self.backlog_empty_at = clock.now() if listening_since is None else listening_since

    async def submit(self, request: Request, turn: Turn) -> None:
        """Pass a request on to the owner of the decisions; it is in work until it is taken there."""
        self.turns.hand_over(turn)
        try:
            await self.dispatcher.enqueue(self._take, request)
        except BaseException:
            self.turns.release()
            raise

    def _take(self, request: Request) -> None:
        """Runs in the task of the owner of the decisions."""
        self.turns.release()
        self.dispatcher.take(request)

    async def accept(self) -> None:
        """Accept connections, closing idle ones in batches when descriptors run short.

        Otherwise requests would wait in the backlog while their deadlines run.
        """
        while True:
            if self.descriptors.used >= self.admission_limits.persistent:
                self.evict(EVICTION_BATCH)
            if self.descriptors.full and not self.evict(EVICTION_BATCH, urgent=True):
                self.log.say(
                    "no further client connection is allowed, and no idle one can be closed",
                    "clients.descriptors",
                )
                with anyio.move_on_after(self.bounds.again_s):  # until then, a connection may become idle
                    await self.descriptors.available()
                continue
            if self.descriptors.full:
                await self.descriptors.available()  # evicted connections are closed by their own tasks
            await anyio.wait_readable(self.listener)
            ready_since = self.ready_times.since(self.listener.fileno()) + self.clock.offset
            self.backlog_empty_at = max(self.backlog_empty_at, ready_since)
            failure = self.accept_pending(ACCEPT_BATCH)
            await anyio.sleep(0)  # let other tasks run while many clients connect
            await self._handle_accept_failure(failure)

    async def _handle_accept_failure(self, failure: OSError | None) -> None:
        """Wait before accepting is retried after a failure; None records a success.

        Connections are evicted only if a shortage lasts, and not for a single failure.
        """
        if failure is None:
            self.accept_failing_since = float("inf")
            return
        now = self.clock.now()
        if self.accept_failing_since > now:
            self.accept_failing_since = now
            self._log_accept_failure(failure)
        lasting = now - self.accept_failing_since > self.bounds.shortage_s
        if lasting and failure.errno in SHORTAGE_ERRNOS:
            self.evict(EVICTION_BATCH, urgent=True)
        await anyio.sleep(self.bounds.again_s if lasting else RETRY_S)

    def accept_pending(self, max_count: int = 1 << 30, beyond_limits: bool = False) -> OSError | None:
        """Accept up to `max_count` waiting connections; with `beyond_limits`, regardless of admission limits.

        Returns the error that prevented accepting the rest, a shortage or repeated failures; None otherwise.
        """
        failures = 0
        for _ in range(max_count):
            admission = self.admission_limits.admit(self.descriptors.used)
            if admission is Admission.WAIT and not beyond_limits:
                break
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                self.backlog_empty_at = self.clock.now()
                return None
            except OSError as error:
                failures += 1
                if error.errno in SHORTAGE_ERRNOS or failures == ACCEPT_BATCH:
                    return error
                continue  # the client disconnected before it was accepted
            failures = 0
            self.descriptors.acquire()
            client = Client(self, configure_tcp(sock), self.backlog_empty_at, admission)
            self.connections[client] = None
            self.group.start_soon(client.run)
        return None

    def evict(self, max_count: int = 1, urgent: bool = False) -> int:
        """Close up to `max_count` idle connections, and return how many were closed."""
        closed = 0
        for client in self.eviction.candidates(self.connections, self.clock.now(), urgent):
            if closed == max_count:
                break
            # Unread input may complete a command, and closing over it would reset the connection.
            if client.stream.nothing_to_read():
                if not client.has_sent_request:
                    self.closures.add(CloseReason.NO_DESCRIPTOR, client.remote_host)
                client.end(CloseReason.NO_DESCRIPTOR)
                closed += 1
        return closed

    def end_waiting(self) -> None:
        """End connections whose clients have left while answers were due and a turn was waited for."""
        for client in [one for one in self.connections if one.waits_for_turn]:
            client.has_left()

    def sweep(self) -> None:
        """Close connections that are idle, leave a command incomplete, or do not read their answers."""
        now, bounds = self.clock.now(), self.bounds
        for client in list(self.connections):
            stalled_s, stream = now - client.last_progress_at, client.stream
            receiving = stream.start < stream.end or not client.has_sent_request
            if stream.unsent or (client.closing and not client.pending):
                if stalled_s > bounds.client_stall_s:
                    client.end(CloseReason.STALLED)
            elif receiving and now > client.command_deadline:
                # A complete command is answered by the client's task; unread input may complete another.
                if not client.owes_answer and stream.nothing_to_read():
                    self.closures.add(CloseReason.NO_REQUEST, client.remote_host)
                    client.end(CloseReason.NO_REQUEST)
            elif stalled_s > bounds.client_idle_s and client.safe_to_close:
                client.retire(CloseReason.IDLE)
        if self.held.short:
            self._reclaim_memory(now)
        self.closures.log_summary(self.log)

    def _reclaim_memory(self, now: float) -> None:
        """End connections whose clients have stopped in a command, until receive buffers can grow again."""
        held, freed = self.held, 0
        stopped = [
            client
            for client in self.connections
            if client.stream.grown_bytes
            and client.idle
            and now - client.last_read_at > self.bounds.client_silent_s
        ]
        for client in sorted(stopped, key=lambda one: one.last_read_at):
            if held.used - freed < held.limit - held.reserve:
                return
            if client.stream.nothing_to_read():  # otherwise unread input may complete the command
                freed += client.stream.grown_bytes
                self.closures.add(CloseReason.NO_MEMORY, client.remote_host)
                client.end(CloseReason.NO_MEMORY)

    async def stop_listening(self) -> None:
        """Accept all waiting connections, retrying failures for a limited time, then close the listener."""
        try:
            with anyio.move_on_after(self.bounds.accept_patience_s):
                while failure := self.accept_pending(beyond_limits=True):
                    self._log_accept_failure(failure)
                    await anyio.sleep(RETRY_S)
        finally:
            self.listener.close()

    def _log_accept_failure(self, failure: OSError) -> None:
        self.log.say(f"cannot accept client connections: {failure.strerror}", "clients.accept")

    def retire(self) -> None:
        """Close each connection as soon as that loses nothing."""
        for client in list(self.connections):
            client.retire(CloseReason.LEAVE)

    def close_all_after_answers(self) -> None:
        """Stop reading from all clients, and close each connection once its answers are written.

        Clients send requests that were not read to another node.
        """
        for client in list(self.connections):
            client.close_after_answers(CloseReason.LEAVE)

    def record_close(self, client: Client, unfinished: list[Request]) -> None:
        """Count a closed connection, and check that the node did not close it on unanswered requests."""
        reason = client.close_reason or CloseReason.FAILED
        self.closed[reason] += 1
        now = self.clock.now()
        unanswered = [
            one for one in unfinished if one.answer is None and not one.client_gone and now < one.deadline
        ]
        first_id = unanswered[0].id if unanswered else b""
        unanswerable = reason in UNANSWERABLE or client.framing_lost
        unhandled = 0 if unanswerable else sum(1 for _ in client.stream.complete_commands())
        allowed = reason in CLOSED_BY_CLIENT or not (unanswered or unhandled)
        self.invariants.check(
            allowed,
            Invariant.NO_ANSWER_OWED,
            first_id,
            owed=len(unanswered),
            unhandled=unhandled,
            reason=reason.name,
        )
        if self.log.logs_steps:
            self.log.say("", "connection.closed", reason=reason.name, owed=len(unfinished))
