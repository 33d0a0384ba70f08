"""The dispatcher: the single task that calls the decision logic (`Gateway`).

Other tasks reach the decision logic only through the dispatcher's call queue.
"""

from __future__ import annotations

import collections
import traceback
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from merlintally.choice import Gateway
from merlintally.customer_table import DEFAULT_MAX_CUSTOMERS
from merlintally.executed_ids import DEFAULT_MAX_IDS, ExecutedIds, PastExecution
from merlintally.interface import CounterOutcome, Refusal
from merlintally.net.addresses import Addresses
from merlintally.net.call_queue import CallQueue, NotePublisher, Permissions
from merlintally.net.configuration import Deployment, ListedServer
from merlintally.net.counter import Counter
from merlintally.net.invariants import LATE_ANSWER_GRACE_S, Invariant, Invariants
from merlintally.net.load import LoopLoad
from merlintally.net.log import Log
from merlintally.net.requests import Answer, Attempt, Request
from merlintally.net.roster import Roster, subset_of
from merlintally.net.servers import Fleet
from merlintally.net.sockets import Buffer
from merlintally.net.start_times import StartTimes
from merlintally.net.timers import Clock, Timers
from merlintally.subsets import Listing

GIVEN_UP_ANSWER: list[Buffer] = [b"-ERR given up\r\n"]
BUSY_ANSWER: list[Buffer] = [b"-BUSY\r\n"]

# Reasons for answers, as counted in `answer_counts`, in addition to `merlintally.interface.Refusal`.
SERVER_ANSWERED = "an app server's answer"
NOT_ACCEPTING = "the node takes nothing new"
TOO_MANY_OPEN = "as many requests are open as may be"
DUPLICATE_ID = "a request with this id is open"
DEADLINE_PASSED = "its deadline has passed"
DECISIONS_FAILED = "a fault in the decisions"

OVERDUE_GRACE_S = 0.1  # an open request is answered by `answer_overdue` this long after its deadline
DUPLICATE_ID_ANSWER: list[Buffer] = [b"-ERR the id is that of an open submission\r\n"]


def answer_kind(answer: list[Buffer]) -> str:
    """Classify an answer for the log: "bounced" for -BUSY, "delivered" for any answer that is no error line.

    Every other error line counts as "given up".
    """
    head = bytes(memoryview(answer[0])[:5])
    return "bounced" if head == b"-BUSY" else "given up" if head[:1] == b"-" else "delivered"


class Dispatcher:
    """Passes each queued event to the decision logic (`Gateway`) and carries out its results.

    Other tasks may call `enqueue` only; every other method runs in the dispatcher's own task.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        log: Log,
        max_customers: int = DEFAULT_MAX_CUSTOMERS,
        max_ids: int = DEFAULT_MAX_IDS,
    ) -> None:
        """`max_customers`: how many customers the decisions keep besides those with something open;
        `max_ids`: how many ids of requests are remembered that may have run."""
        self.clock, self.log, self.max_open_requests = clock, log, deployment.most_open
        self.gateway = Gateway(deployment.facts, deployment.seed, clock.now(), max_customers)
        self.subset, self.logged_subset_level = subset_of(deployment), 0
        self.invariants = Invariants(log)
        self.load = LoopLoad(deployment.bounds.late_s)
        self.answer_counts: collections.Counter[str] = collections.Counter()  # by reason
        self.roster = Roster(self.subset, self.gateway, self._apply_roster)
        self.start_times = StartTimes(clock.wall)
        self.addresses = Addresses()
        self.fleet: Fleet
        self.timers: Timers
        self.counter: Counter | None = None
        self.peers: NotePublisher | None = None
        self.open_requests: dict[int, Request] = {}
        self.open_ids = set[bytes]()
        self.executed_ids = ExecutedIds(max_ids)
        # Number of the latest request; and whether the node is shutting down and accepts no new requests.
        self.last_request_number, self.leaving = 0, False
        self.permissions: Permissions | None = None  # None: everything is permitted
        self.servers_in_maintenance: frozenset[str] = frozenset()
        # The latest list of app servers by name; None: no list is maintained.
        self.listed_servers: dict[str, ListedServer] | None = None
        # The dispatcher's own calls, made after the current results without passing through the queue.
        self.deferred_calls: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._queue = CallQueue(deployment.bounds.queue)
        self.enqueue = self._queue.enqueue

    async def run(self) -> None:
        """Process queued calls until cancelled."""
        await self._queue.run(self._call_safely, self.carry_out, self.load.oldest_call.record)

    def _call_safely(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Make a call; an exception is logged and does not end the task."""
        try:
            call(*args)
        except Exception:
            self.log.say(f"a call failed: {traceback.format_exc()}", "call.failed")

    def carry_out(self) -> None:
        """Carry out the results of the decision logic until none is left.

        The wake-up timer is set first. Sends precede all other entries, which may refer to them. Each entry
        but log lines and notes is carried out in a guarded call of its own, so that one that fails does not
        prevent the others.
        """
        while True:
            now = self.clock.now()
            results = self.gateway.take_results(now)
            if results.wake_after is not None:
                self.timers.call_at(now + results.wake_after, self.woken)
            for line in results.logs:
                self.log.say(line, "decisions")
            for number, server, timeout_s in results.sends:
                self._call_safely(self._begin_attempt, (number, server, timeout_s, now))
            for number, wait_s in results.bounced:
                answer = [b"-BUSY %d\r\n" % max(1, int(wait_s * 1000))] if wait_s > 0 else BUSY_ANSWER
                self._call_safely(self._answer_without_server, (number, answer))
            for number in results.given_up:
                self._call_safely(self._answer_without_server, (number, GIVEN_UP_ANSWER))
            for execution in results.withdrawn:
                self._call_safely(self._cancel_attempt, execution)
            for add in results.adds:
                self._call_safely(self._add_to_counter, add)
            for note in results.notes:
                if self.peers is not None:
                    self.peers.publish(note)
            if not self.deferred_calls:
                break
            while self.deferred_calls:
                self._call_safely(*self.deferred_calls.popleft())

    # Calls that other tasks put in the queue.

    def take(self, request: Request) -> None:
        """Pass a new request to the decision logic, or answer it at once where it cannot be accepted."""
        if request.client_gone:  # the client left while the request was queued
            return
        accepting = not self.leaving and (self.permissions is None or self.permissions.may_take())
        if not accepting or len(self.open_requests) >= self.max_open_requests:
            self._set_answer(request, BUSY_ANSWER, NOT_ACCEPTING if not accepting else TOO_MANY_OPEN)
            return
        if request.id in self.open_ids:
            self._set_answer(request, DUPLICATE_ID_ANSWER, DUPLICATE_ID)
            return
        self.open_ids.add(request.id)
        now = self.clock.now()
        request.number = self.last_request_number = self.last_request_number + 1
        self.open_requests[request.number] = request
        try:
            request.handle = self.gateway.take(
                now,
                request.number,
                request.lane,
                request.customer,
                request.plan,
                request.deadline - now,
                request.units,
                request.spread,
                self.executed_ids.executions(request.id),
            )
        finally:
            if request.handle is None:
                self._answer_without_server(request.number, GIVEN_UP_ANSWER)
        if self.log.logs_steps:
            left_s = request.deadline - now
            self._log_step(request, "submission.taken", plan=request.plan, units=request.units, left_s=left_s)

    def client_left(self, request: Request) -> None:
        """Handle the end of the request's client connection."""
        request.client_gone = True
        if request.handle is not None and request.answer is None:
            request.handle.left(self.clock.now())
        # Deferred: the pending results may contain a send for this request, which has to end first.
        self.deferred_calls.append((self._remove_if_done, (request,)))

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        """Handle the end of an attempt; the first answer with a value becomes the request's answer."""
        if attempt.finished:
            return
        attempt.finished = True
        if attempt.timer is not None:
            self.timers.cancel(attempt.timer)
        request, now = attempt.request, self.clock.now()
        if self.log.logs_steps:
            self._log_step(
                request,
                "execution.ended",
                attempt=attempt.number,
                outcome=answer.outcome,
                after_s=now - attempt.started_at,
                written=attempt.written,
                held_back=attempt.refusal or "",
            )
        request.open_attempts.pop(attempt.number, None)
        if answer.value:
            self._set_answer(request, [answer.value])
        if request.handle is not None:
            server = request.handle.in_flight.get(attempt.number)
            request.handle.ended(
                now,
                attempt.number,
                answer.outcome,
                now - attempt.started_at,
                request.answer is not None or request.client_gone,
                answer.actual,
                answer.report,
            )
            # An attempt without a link was not sent by this node and does not reflect on the server.
            if server is not None and attempt.link is not None:
                self.roster.ended(self.clock.now(), server.name, answer.outcome)
        self._remove_if_done(request)

    def attempt_timed_out(self, attempt: Attempt) -> None:
        """Cancel an attempt at its timeout, unless its result is already in the queue."""
        if not attempt.finished and not attempt.result_queued:
            self.fleet.cancel(attempt)
            self.attempt_ended(attempt, Answer("timed_out" if attempt.written else "unreachable"))

    def listed(self, entries: list[ListedServer], complete: bool) -> None:
        """Apply a list of app servers; `complete` is false where `entries` are changes only."""
        self.follow_wall_clock()  # first: the start times below are converted by the wall clock
        entries = self.start_times.listed(self.clock.now(), entries, complete)
        entries = self.addresses.listed(entries, complete)
        if self.listed_servers is not None:
            if complete:
                self.listed_servers.clear()
            for entry in entries:
                if entry.facts.presence == "gone":
                    self.listed_servers.pop(entry.facts.server, None)
                else:
                    self.listed_servers[entry.facts.server] = entry
            entries = [self._with_maintenance(entry) for entry in entries]
        self.roster.listed(self.clock.now(), entries, complete)

    def follow_wall_clock(self) -> None:
        """Apply steps of the wall clock to the decision logic.

        All nodes derive the names of an epoch's counters from the wall clock.
        """
        if step := self.clock.wall_clock_step():
            self.log.say(f"the wall clock was stepped by {step:.3f} s", "clock.stepped", step_s=step)
            self.gateway.follow_wall(self.clock.wall.shift)

    def set_servers_in_maintenance(self, servers: frozenset[str]) -> None:
        """Drain exactly these app servers for maintenance; others return to their listed state."""
        assert self.listed_servers is not None, "no list of app servers is maintained"
        changed, self.servers_in_maintenance = self.servers_in_maintenance ^ servers, servers
        if entries := [
            self._with_maintenance(self.listed_servers[name])
            for name in sorted(changed)
            if name in self.listed_servers
        ]:
            self.roster.listed(self.clock.now(), entries, False)

    def _apply_roster(self, entries: Sequence[Listing], complete: bool) -> None:
        """Apply a list of the subset's app servers, or changes to it, to connections and `Gateway`."""
        self._log_subset()
        self.fleet.update_servers(entries, complete)
        self.gateway.roster(self.clock.now(), [entry.facts for entry in entries], complete)

    def _log_subset(self) -> None:
        subset = self.subset
        if subset is not None and subset.bounded and subset.level != self.logged_subset_level:
            self.logged_subset_level = subset.level
            size, listed = subset.size, len(subset.rows)
            self.log.say(
                f"subset of app servers changed: {size} of {listed} listed",
                "subset.changed",
                servers=size,
                listed=listed,
            )

    def _resize_subset(self) -> None:
        self.roster.resize(self.clock.now())

    def _with_maintenance(self, entry: ListedServer) -> ListedServer:
        """Return an entry as draining if its server is in maintenance, which discovery does not report."""
        if entry.facts.server not in self.servers_in_maintenance or entry.facts.presence != "on":
            return entry
        return ListedServer(replace(entry.facts, presence="draining"), entry.address)

    def counted(self, counter_name: int, outcome: CounterOutcome, total: float, elapsed: float) -> None:
        """Handle the outcome of a call to the counter, made `elapsed` seconds ago."""
        self.gateway.counted(self.clock.now(), counter_name, outcome, total, elapsed)

    def counted_late(self, counter_name: int, total: float) -> None:
        """Handle the answer to a call to the counter that had already timed out."""
        self.gateway.counted_late(self.clock.now(), counter_name, total)

    def noted(self, peer: int, payload: bytes) -> None:
        """Handle a note from another node."""
        self.gateway.noted(self.clock.now(), peer, payload)

    def woken(self) -> None:
        """Handle the wake-up that the decision logic has scheduled."""
        self.gateway.wake(self.clock.now())
        self._resize_subset()

    def end_open_requests(self) -> None:
        """End all open requests before the node exits, each with the answer that is safe for it."""
        now, self.leaving = self.clock.now(), True
        for request in list(self.open_requests.values()):
            if request.handle is not None and not request.handle.closed:
                self.gateway.finish(now, request.handle, Refusal.LEAVE)

    def answer_overdue(self) -> None:
        """Give up requests that are still open after their deadlines, as a fallback for any missed event.

        Giving up is safe whether or not the request has run.
        """
        now = self.clock.now()
        for request in [one for one in self.open_requests.values() if now > one.deadline + OVERDUE_GRACE_S]:
            late_s = now - request.deadline
            if request.answer is None and not request.client_gone:
                self.invariants.check(
                    late_s <= LATE_ANSWER_GRACE_S, Invariant.ANSWERED_IN_TIME, request.id, late_s=late_s
                )
                self._log_step_if_enabled(request, "submission.overdue", late_s=late_s)
                self._set_answer(request, GIVEN_UP_ANSWER, DEADLINE_PASSED)
            if request.handle is not None and not request.handle.closed:
                self._call_safely(request.handle.left, (now,))
            self._remove_if_done(request)

    def _log_step_if_enabled(self, request: Request, event: str, **fields: object) -> None:
        if self.log.logs_steps:
            self._log_step(request, event, **fields)

    def _log_step(self, request: Request, event: str, **fields: object) -> None:
        """Log a step of a request with its id, so that the request can be traced across nodes.

        Callers check `log.logs_steps` first, so that no fields are computed where steps are not logged.
        """
        self.log.say(
            "", event, submission=request.id.decode(), customer=request.customer, lane=request.lane, **fields
        )

    # Results of the decision logic.

    def _begin_attempt(self, number: int, server: str, timeout_s: float, now: float) -> None:
        request = self.open_requests[number]
        until = min(request.deadline, now + timeout_s) if timeout_s else request.deadline
        assert request.handle is not None, "an attempt begins before its request was taken"
        attempt = Attempt(
            request, request.attempt_count, now, until, request.handle.begin_by(request.attempt_count)
        )
        request.attempt_count += 1
        request.open_attempts[attempt.number] = attempt
        if self.log.logs_steps:
            left_s = request.deadline - now
            self._log_step(request, "execution.sent", attempt=attempt.number, server=server, left_s=left_s)
        # Checked at each send: a process resumed after the end of its lease may send before its timers fire.
        permitted = self.permissions is None or self.permissions.may_send(server)
        if permitted and not request.client_gone and self.fleet.send(server, attempt):
            attempt.timer = self.timers.call_at(until, self.attempt_timed_out, attempt)
        else:
            # The attempt was not sent; "moot" does not count against the server.
            self.deferred_calls.append((self.attempt_ended, (attempt, Answer("moot"))))

    def _add_to_counter(self, counter_name: int, amount: float, keep_s: float) -> None:
        if self.counter is None or not self.counter.add(counter_name, amount, keep_s):
            self.deferred_calls.append((self.counted, (counter_name, "unreachable", 0.0, 0.0)))

    def _cancel_attempt(self, number: int, attempt_number: int) -> None:
        request = self.open_requests.get(number)
        attempt = request.open_attempts.get(attempt_number) if request else None
        if attempt is not None and not attempt.result_queued:
            self.fleet.cancel(attempt)
            self.deferred_calls.append((self.attempt_ended, (attempt, Answer("withdrawn"))))

    def _answer_without_server(self, number: int, answer: list[Buffer]) -> None:
        request = self.open_requests.get(number)
        if request is not None:
            refusal = request.handle.refusal if request.handle is not None else None
            self._set_answer(request, answer, refusal or DECISIONS_FAILED)
            self._remove_if_done(request)

    def _set_answer(self, request: Request, answer: list[Buffer], why: str = "") -> None:
        """Set a request's final answer, unless it has one; `why` is the reason if no app server answered."""
        if request.answer is None and not request.client_gone:
            self.answer_counts[why or SERVER_ANSWERED] += 1
            request.served = not why
            if self.log.logs_steps:
                self._log_step(request, "submission.answered", answer=answer_kind(answer), why=why)
            request.answer = answer
            request.client.write_answers()

    def _remove_if_done(self, request: Request) -> None:
        """Remove a request without open attempts if it has an answer or its client is gone."""
        if not request.open_attempts and (request.client_gone or request.answer is not None):
            if self.open_requests.pop(request.number, None) is not None:
                self.open_ids.discard(request.id)
                self._remember_executions(request)
            request.raw = b""

    def _remember_executions(self, request: Request) -> None:
        """Remember the id of a request that may have run, if it may not simply be repeated."""
        handle = request.handle
        if handle is None or request.effect == "harmless":
            return
        executions = [PastExecution(one.sent_at, one.zone, one.cell) for one in handle.may_have_run.values()]
        executions += handle.earlier
        # The first one begins the window, and the others are of its group.
        first = min(executions, key=lambda one: one.sent_at, default=None)
        answered = request.served and not request.client_gone
        self.executed_ids.record(request.id, () if first is None else (first,), answered)
