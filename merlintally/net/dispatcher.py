"""The one task that owns the decisions. Socket code reaches them through its queue only."""

from __future__ import annotations

import collections
import traceback
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from merlintally.choice import Gateway
from merlintally.interface import CounterOutcome, Refusal
from merlintally.net.configuration import Deployment, Listed
from merlintally.net.counter import Counter
from merlintally.net.invariants import LATE_S, Invariant, Invariants
from merlintally.net.log import Log
from merlintally.net.post import Noting, Post, Right
from merlintally.net.requests import Answer, Attempt, Request
from merlintally.net.roster import Roster, subset_of
from merlintally.net.servers import Fleet
from merlintally.net.sockets import Buffer
from merlintally.net.start_times import StartTimes
from merlintally.net.timers import Clock, Timers
from merlintally.subsets import Listing

GIVEN_UP: list[Buffer] = [b"-ERR given up\r\n"]
BUSY: list[Buffer] = [b"-BUSY\r\n"]
SERVED = "an app server's answer"  # reasons of answers that no app server gave, beside the decisions' own
TAKES_NOTHING = "the node takes nothing new"
OPEN_MOST = "as many requests are open as may be"
ID_IS_OPEN = "a request with this id is open"
OVERDUE = "its deadline has passed"
DECISIONS_FAILED = "a fault in the decisions"
OVERDUE_S = 0.1  # past its deadline, from which a request counts as forgotten by the decisions
SAME_ID: list[Buffer] = [b"-ERR the id is that of an open submission\r\n"]


def kind_of(answer: list[Buffer]) -> str:
    """What an answer is called in the log."""
    head = bytes(memoryview(answer[0])[:5])
    return "bounced" if head == b"-BUSY" else "given up" if head[:1] == b"-" else "delivered"


class Dispatcher:
    """Turns what comes through the queue into calls on the decisions, and carries out what they want done.

    `post` is for everyone else; the other methods run in the dispatcher's own task.
    """

    def __init__(self, deployment: Deployment, clock: Clock, log: Log) -> None:
        self.clock, self.log, self.most_open = clock, log, deployment.most_open
        self.gateway = Gateway(deployment.facts, deployment.seed, clock.now())
        self.subset, self.subset_level = subset_of(deployment), 0  # as last told in the log
        self.invariants = Invariants(log)
        self.answered: collections.Counter[str] = collections.Counter()  # by reason
        self.roster = Roster(self.subset, self.gateway, self._tell_roster)
        self.start_times = StartTimes(clock.wall)
        self.fleet: Fleet
        self.timers: Timers
        self.counter: Counter | None = None
        self.peers: Noting | None = None
        self.open_requests: dict[int, Request] = {}
        self.ids = set[bytes]()  # of those taken
        self.last_number, self.leaving = 0, False
        self.right: Right | None = None  # to take and to send, where nodes settle it among themselves
        self.out: frozenset[str] = frozenset()  # app servers that are taken out for work
        self.shown: dict[str, Listed] | None = None  # as listed, where app servers may be taken out
        self.soon: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()  # the dispatcher's own calls
        self._queue = Post(deployment.bounds.queue)
        self.post = self._queue.post

    async def run(self) -> None:
        await self._queue.run(self._do, self.carry_out)

    def _do(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Guards against one bad event that takes the node, and all it holds, with it."""
        try:
            call(*args)
        except Exception:
            self.log.say(f"a call failed: {traceback.format_exc()}", "call.failed")

    def carry_out(self) -> None:
        """Do what the decisions want, sends first, so that a later row may name them. Guards against a row
        that fails and takes the others with it: each is one call, and the wake-up is never lost."""
        while True:
            now = self.clock.now()
            results = self.gateway.take_results(now)
            if results.wake_after is not None:
                self.timers.at(now + results.wake_after, self.woken)
            for line in results.logs:
                self.log.say(line, "decisions")
            for number, server, time_out in results.sends:
                self._do(self._begin, (number, server, time_out, now))
            for number, wait in results.bounced:
                busy = [b"-BUSY %d\r\n" % max(1, int(wait * 1000))] if wait > 0 else BUSY
                self._do(self._answer, (number, busy))
            for number in results.given_up:
                self._do(self._answer, (number, GIVEN_UP))
            for row in results.withdrawn:
                self._do(self._call_off, row)
            for add in results.adds:
                self._do(self._add, add)
            for note in results.notes:
                if self.peers is not None:
                    self.peers.tell(note)
            if not self.soon:
                break
            while self.soon:
                self._do(*self.soon.popleft())

    # What comes through the queue.

    def take(self, request: Request) -> None:
        if request.gone:  # its client left while it waited for its turn
            return
        may = not self.leaving and (self.right is None or self.right.may_take())
        if not may or len(self.open_requests) >= self.most_open:
            self._pass_on(request, BUSY, TAKES_NOTHING if not may else OPEN_MOST)
            return
        if request.id in self.ids:  # guards against one that gets, or spoils, what is another's
            self._pass_on(request, SAME_ID, ID_IS_OPEN)
            return
        self.ids.add(request.id)
        now = self.clock.now()
        request.number = self.last_number = self.last_number + 1
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
            )
        finally:
            if request.handle is None:
                self._answer(request.number, GIVEN_UP)
        if self.log.follows:
            left_s = request.deadline - now
            self._step(request, "submission.taken", plan=request.plan, units=request.units, left_s=left_s)

    def left(self, request: Request) -> None:
        """Its client has gone away."""
        request.gone = True
        if request.handle is not None and request.answer is None:
            request.handle.left(self.clock.now())
        self.soon.append(
            (self._forget, (request,))
        )  # a send of it may be wanted already, and has to end, too

    def ended(self, attempt: Attempt, answer: Answer) -> None:
        """An attempt has ended; its first good answer is the request's."""
        if attempt.over:
            return
        attempt.over = True
        request, now = attempt.request, self.clock.now()
        if self.log.follows:
            self._step(
                request,
                "execution.ended",
                attempt=attempt.number,
                outcome=answer.outcome,
                after_s=now - attempt.began,
                written=attempt.written,
                held_back=attempt.refusal or "",
            )
        request.out.pop(attempt.number, None)
        if answer.value:
            self._pass_on(request, [answer.value])
        if request.handle is not None:
            server = request.handle.out.get(attempt.number)
            request.handle.ended(
                now,
                attempt.number,
                answer.outcome,
                now - attempt.began,
                request.answer is not None or request.gone,
                answer.actual,
                answer.report,
            )
            # Guards against attempts that this node held back itself: they say nothing of the server.
            if server is not None and attempt.link is not None:
                self.roster.ended(self.clock.now(), server.name, answer.outcome)
        self._forget(request)

    def expired(self, attempt: Attempt) -> None:
        """The node stops waiting for an attempt; an answer that is already in the queue still counts."""
        if not attempt.over and not attempt.answered:
            self.fleet.call_off(attempt)
            self.ended(attempt, Answer("timed_out" if attempt.written else "unreachable"))

    def listed(self, entries: list[Listed], complete: bool) -> None:
        self.look_at_wall()  # before starts are read: they may come from a clock that was stepped just now
        entries = self.start_times.listed(self.clock.now(), entries, complete)
        if self.shown is not None:
            if complete:
                self.shown.clear()
            for entry in entries:
                if entry.facts.presence == "gone":
                    self.shown.pop(entry.facts.server, None)
                else:
                    self.shown[entry.facts.server] = entry
            entries = [self._as_agreed(entry) for entry in entries]
        self.roster.listed(self.clock.now(), entries, complete)

    def look_at_wall(self) -> None:
        """Follow the wall clock, by which all nodes name the counts of an epoch alike."""
        if step := self.clock.look_at_wall():
            self.log.say(f"the wall clock was stepped by {step:.3f} s", "clock.stepped", step_s=step)
            self.gateway.follow_wall(self.clock.wall.shift)

    def take_out(self, servers: frozenset[str]) -> None:
        """These app servers, and no others, are out for work: to them nothing new is sent."""
        assert self.shown is not None, "nothing was kept of what is listed"
        changed, self.out = self.out ^ servers, servers
        if entries := [self._as_agreed(self.shown[name]) for name in sorted(changed) if name in self.shown]:
            self.roster.listed(self.clock.now(), entries, False)

    def _tell_roster(self, entries: Sequence[Listing], complete: bool) -> None:
        """Tell of a list, or its changes, that concern this node's subset."""
        self._log_subset()
        self.fleet.roster(entries, complete)
        self.gateway.roster(self.clock.now(), [entry.facts for entry in entries], complete)

    def _log_subset(self) -> None:
        subset = self.subset
        if subset is not None and subset.bounded and subset.level != self.subset_level:
            self.subset_level = subset.level
            size, listed = subset.size, len(subset.rows)
            self.log.say(
                f"works with {size} of {listed} app servers", "subset.changed", servers=size, listed=listed
            )

    def _fit_subset(self) -> None:
        self.roster.fit(self.clock.now())

    def _as_agreed(self, entry: Listed) -> Listed:
        """Discovery knows nothing of work: what it lists as on drains while it is out."""
        if entry.facts.server not in self.out or entry.facts.presence != "on":
            return entry
        return Listed(replace(entry.facts, presence="draining"), entry.address)

    def counted(self, name: int, outcome: CounterOutcome, total: float, elapsed: float) -> None:
        self.gateway.counted(self.clock.now(), name, outcome, total, elapsed)

    def counted_late(self, name: int, total: float) -> None:
        self.gateway.counted_late(self.clock.now(), name, total)

    def noted(self, peer: int, payload: bytes) -> None:
        self.gateway.noted(self.clock.now(), peer, payload)

    def woken(self) -> None:
        self.gateway.wake(self.clock.now())
        self._fit_subset()

    def end_all(self) -> None:
        """The node has to go: whatever is still open gets the answer that it may have."""
        now, self.leaving = self.clock.now(), True
        for request in list(self.open_requests.values()):
            if request.handle is not None and not request.handle.closed:
                self.gateway.finish(now, request.handle, Refusal.LEAVE)

    def answer_overdue(self) -> None:
        """Guards against a request that is never answered, whatever went wrong with it: past its deadline it
        is given up, which is safe whether it ran or not."""
        now = self.clock.now()
        for request in [one for one in self.open_requests.values() if now > one.deadline + OVERDUE_S]:
            late_s = now - request.deadline
            if request.answer is None and not request.gone:
                self.invariants.check(late_s <= LATE_S, Invariant.ANSWERED_IN_TIME, request.id, late_s=late_s)
                self._step_if_followed(request, "submission.overdue", late_s=late_s)
                self._pass_on(request, GIVEN_UP, OVERDUE)
            if request.handle is not None and not request.handle.closed:
                self._do(request.handle.left, (now,))
            self._forget(request)

    def _step_if_followed(self, request: Request, event: str, **fields: object) -> None:
        if self.log.follows:
            self._step(request, event, **fields)

    def _step(self, request: Request, event: str, **fields: object) -> None:
        """A step of a request, for those who follow an id over nodes. Called only where the log follows:
        what it tells is not worth working out for nobody, several times a request."""
        self.log.say(
            "", event, submission=request.id.decode(), customer=request.customer, lane=request.lane, **fields
        )

    # What the decisions want done.

    def _begin(self, number: int, server: str, time_out: float, now: float) -> None:
        request = self.open_requests[number]
        until = min(request.deadline, now + time_out) if time_out else request.deadline
        assert request.handle is not None, "sent before it was taken"
        attempt = Attempt(request, request.sent, now, until, request.handle.begin_by(request.sent))
        request.sent += 1
        request.out[attempt.number] = attempt
        if self.log.follows:
            left_s = request.deadline - now
            self._step(request, "execution.sent", attempt=attempt.number, server=server, left_s=left_s)
        # Guards against a process stopped for longer than its right lasts, which sends before any timer
        # has told it so: the right is looked up here, at each send.
        may = self.right is None or self.right.may_send(server)
        if may and not request.gone and self.fleet.send(server, attempt):
            self.timers.at(until, self.expired, attempt)
        else:
            # It never ran, and that says nothing of the server.
            self.soon.append((self.ended, (attempt, Answer("moot"))))

    def _add(self, name: int, amount: float, keep: float) -> None:
        if self.counter is None or not self.counter.add(name, amount, keep):
            self.soon.append((self.counted, (name, "unreachable", 0.0, 0.0)))

    def _call_off(self, number: int, execution_number: int) -> None:
        request = self.open_requests.get(number)
        attempt = request.out.get(execution_number) if request else None
        if attempt is not None and not attempt.answered:
            self.fleet.call_off(attempt)
            self.soon.append((self.ended, (attempt, Answer("withdrawn"))))

    def _answer(self, number: int, answer: list[Buffer]) -> None:
        request = self.open_requests.get(number)
        if request is not None:
            refusal = request.handle.refusal if request.handle is not None else None
            self._pass_on(request, answer, refusal or DECISIONS_FAILED)
            self._forget(request)

    def _pass_on(self, request: Request, answer: list[Buffer], why: str = "") -> None:
        """The final answer of a request: the first one, and never another; `why` where no server gave it."""
        if request.answer is None and not request.gone:
            self.answered[why or SERVED] += 1
            if self.log.follows:
                self._step(request, "submission.answered", answer=kind_of(answer), why=why)
            request.answer = answer
            request.client.pass_on()

    def _forget(self, request: Request) -> None:
        if not request.out and (request.gone or request.answer is not None):
            if self.open_requests.pop(request.number, None) is not None:
                self.ids.discard(request.id)
            request.raw = b""  # the timers may know it for a while yet
