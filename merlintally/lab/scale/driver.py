"""One edge node's decision module, the real one, in simulated time.

Requests, answers of app servers, the counter's answers and other nodes' notes come from an event queue; the
module is called as `merlintally.net.dispatcher` calls it. Only the processor time of these calls is measured.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from merlintally.choice import MAX_COUNTER_CALLS_PER_S, Gateway, Submission
from merlintally.interface import Outcome
from merlintally.lab.scale.workload import REQUEST_CLASS, Arrivals, Tenant
from merlintally.net.configuration import Deployment
from merlintally.net.roster import OnUpdate, Roster, subset_of
from merlintally.subsets import Listing

ANSWER_S = 0.05  # mean answer time of an app server
PATIENCE_S = 4.0  # that a client has
QUICK_COUNTER_S = (0.002, 0.005)  # until the counter has answered
SLOW_COUNTER_S = (0.05, 0.06)  # in time, and late enough for nodes to spare it


class CounterModel(Protocol):
    """The counter, and with it the other nodes' use."""

    slow: bool  # so that nodes make few calls

    def add(self, now: float, key: str, name: int, amount: float) -> float:
        """The count after an add."""
        ...


class SendWatch(Protocol):
    """Whoever wants to know of attempts, before and after."""

    def begun(self, now: float, request: int, number: int, server: str) -> None: ...
    def ended(self, now: float, request: int, number: int, server: str) -> None: ...


@dataclass
class Request:
    """One request at the node, and what the module spent on it."""

    number: int
    tenant: Tenant
    arrived: float
    handle: Submission | None = None
    attempts: int = 0
    out: dict[int, str] = field(default_factory=dict)  # app servers by attempt
    cost_s: float = 0.0  # processor time of the calls that took, decided and ended it
    added_s: float = 0.0  # with the time that these calls waited for other calls to end


@dataclass
class Totals:
    """Sums over the measured part of a run."""

    seconds: float = 0.0
    requests: int = 0
    sent: int = 0
    rejected: int = 0
    counter_calls: int = 0
    notes: int = 0
    note_bytes: int = 0
    module_s: float = 0.0  # processor time of all calls
    wake_s: float = 0.0  # and of wake-ups among them
    longest_wake_s: float = 0.0
    notes_heard: int = 0
    note_bytes_heard: int = 0
    note_s: float = 0.0  # and of notes heard


class SimulatedNode:
    """Drives one `Gateway`, and the node's subset of app servers where `told` has it on.

    `now` is simulated time, from 0; measuring begins with `measure`. `connections` is told of the list, too.
    """

    def __init__(
        self,
        told: Deployment,
        seed: int,
        answer_s: float = ANSWER_S,
        counter: CounterModel | None = None,
        watch: SendWatch | None = None,
        connections: OnUpdate | None = None,
        began: float = 1000.0,
    ) -> None:
        self.now, self.random = began, Random(seed)
        self.gateway = Gateway(told.facts, seed, self.now)
        self.roster = Roster(subset_of(told), self.gateway, self._tell_roster)
        self.connections = connections
        if counter is not None and not counter.slow:
            self.gateway.call_rate = (
                MAX_COUNTER_CALLS_PER_S  # to which quick answers of the counter bring it within a minute
            )
        self.answer_s, self.counter, self.watch = answer_s, counter, watch
        self.request_class, self.patience_s = REQUEST_CLASS, PATIENCE_S
        self.open: dict[int, Request] = {}
        self.done: list[Request] = []  # while measuring
        self.measuring, self.totals = False, Totals()
        self.finished: Callable[[Request], None] = lambda _: None
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order, self._last, self._free_at = 0, 0, self.now
        self._began = self.now

    # The event queue.

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heapq.heappush(self._due, (when, self._order, call, args))

    def run_until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._due)
            call(*args)
        self.now = end

    def measure(self) -> None:
        """From here on requests and costs are kept."""
        self.measuring, self.totals, self.done = True, Totals(), []
        self._began = self._free_at = self.now

    def stop_measuring(self) -> Totals:
        self.measuring = False
        self.totals.seconds = self.now - self._began
        return self.totals

    # What comes to the node.

    def listed(self, entries: Sequence[Listing], complete: bool) -> None:
        self._call((), self.roster.listed, self.now, entries, complete)

    def _tell_roster(self, entries: Sequence[Listing], complete: bool) -> None:
        if self.connections is not None:
            self.connections(entries, complete)
        self.gateway.roster(self.now, [entry.facts for entry in entries], complete)

    def arrive(self, tenant: Tenant) -> Request:
        """A request of a tenant comes."""
        self._last += 1
        request = self.open[self._last] = Request(self._last, tenant, self.now)
        self.totals.requests += self.measuring
        self._call((request,), self._take, request)
        return request

    def _take(self, request: Request) -> None:
        request.handle = self.gateway.take(
            self.now,
            request.number,
            self.request_class,
            request.tenant.key,
            request.tenant.plan,
            self.patience_s,
            1.0,
            0,
        )

    def noted(self, peer: int, payload: bytes) -> None:
        """Another node's note is heard."""
        before = self.totals.module_s
        self.totals.notes_heard += self.measuring
        self.totals.note_bytes_heard += len(payload) * self.measuring
        self._call((), self.gateway.noted, self.now, peer, payload)
        self.totals.note_s += self.totals.module_s - before

    def _wake(self) -> None:
        before = self.totals.module_s
        self._call((), self._woken)
        spent = self.totals.module_s - before
        self.totals.wake_s += spent
        self.totals.longest_wake_s = max(self.totals.longest_wake_s, spent)

    def _woken(self) -> None:
        self.gateway.wake(self.now)
        self.roster.resize(self.now)

    def _answered(self, request: Request, number: int, outcome: Outcome, elapsed: float) -> None:
        server = request.out.pop(number, None)
        if server is None or request.handle is None:
            return
        over = outcome == "ok"
        self._call((request,), self._ended, request.handle, number, server, outcome, elapsed)
        if self.watch is not None:
            self.watch.ended(self.now, request.number, number, server)
        if over:
            self._finish(request)

    def _ended(self, handle: Submission, number: int, server: str, outcome: Outcome, elapsed: float) -> None:
        handle.ended(self.now, number, outcome, elapsed, outcome == "ok")
        self.roster.ended(self.now, server, outcome)

    def _counted(self, name: int, total: float, elapsed: float) -> None:
        self._call((), self.gateway.counted, self.now, name, "ok", total, elapsed)

    # What the module wants done.

    def _call(self, whose: tuple[Request, ...], call: Callable[..., Any], *args: Any) -> None:
        """One call on the module with what follows from it, measured, and charged to the requests that it
        was about or that it names."""
        begun = time.process_time()
        call(*args)
        results = self.gateway.take_results(self.now)
        cost = time.process_time() - begun
        self._free_at = max(self.now, self._free_at) + cost
        named = {number for number, _, _ in results.sends} | set(results.given_up)
        named |= {number for number, _ in results.bounced}
        concerned = {one.number: one for one in whose} | {
            number: self.open[number] for number in named if number in self.open
        }
        for request in concerned.values():
            request.cost_s += cost
            request.added_s += self._free_at - self.now
        if self.measuring:
            self.totals.module_s += cost
        self._carry_out(results)

    def _carry_out(self, results: Any) -> None:
        if results.wake_after is not None:
            self.at(self.now + results.wake_after, self._wake)
        for number, server, time_out in results.sends:
            self._send(self.open[number], server, time_out)
        for number in [number for number, _ in results.bounced] + results.given_up:
            self.totals.rejected += self.measuring
            self._finish(self.open[number])
        for number, attempt in results.withdrawn:
            if number in self.open:
                self.at(self.now, self._answered, self.open[number], attempt, "withdrawn", 0.0)
        for name, amount, _ in results.adds:
            self._add(name, amount)
        for note in results.notes:
            self.totals.notes += self.measuring
            self.totals.note_bytes += len(note) * self.measuring

    def _send(self, request: Request, server: str, time_out: float) -> None:
        number, request.attempts = request.attempts, request.attempts + 1
        request.out[number] = server
        self.totals.sent += self.measuring
        if self.watch is not None:
            self.watch.begun(self.now, request.number, number, server)
        takes = self.answer_s * (0.5 + 0.5 * self.random.expovariate(1.0))
        outcome: Outcome = "timed_out" if 0 < time_out < takes else "ok"
        takes = min(takes, time_out) if time_out > 0 else takes
        self.at(self.now + takes, self._answered, request, number, outcome, takes)

    def _add(self, name: int, amount: float) -> None:
        self.totals.counter_calls += self.measuring
        if self.counter is not None:
            elapsed = self.random.uniform(*(SLOW_COUNTER_S if self.counter.slow else QUICK_COUNTER_S))
            total = self.counter.add(self.now, self.gateway.pending_adds[name].key, name, amount)
            self.at(self.now + elapsed, self._counted, name, total, elapsed)

    def _finish(self, request: Request) -> None:
        if self.open.pop(request.number, None) is not None:
            if self.measuring and request.arrived >= self._began:
                self.done.append(request)
            self.finished(request)


def arrive_next(node: SimulatedNode, arrivals: Arrivals) -> None:
    node.arrive(arrivals.tenant())


def feed(node: SimulatedNode, arrivals: Arrivals, requests_per_s: float, requests: int) -> None:
    """Poisson arrivals; runs until so many have come and could be answered."""
    when = node.now
    for _ in range(requests):
        when += node.random.expovariate(requests_per_s)
        node.at(when, arrive_next, node, arrivals)
    node.run_until(when)
