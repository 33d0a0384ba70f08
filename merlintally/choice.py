"""The decision logic of a gateway that holds customers to their quotas by global tag throttling.

Each edge node has one `Gateway(facts, seed, now)`. `Gateway.take` returns a handle for a submission, whose
methods `ended`, `begun` and `left` report what happens to it. All other events come in through `roster`,
`counted`, `counted_late`, `noted` and `wake`. `take_results(now)` returns the actions to carry out.

The module does no I/O and reads no clock. Times are in seconds. The types are in merlintally.interface, the
design is described in docs/design.md.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable, Iterator
from statistics import median
from typing import NamedTuple

from merlintally.customer import (
    CORRECTION_BURSTS,
    EPOCH_S,
    NOTE_MIN_INTERVAL_S,
    STALE_AFTER_S,
    Customer,
)
from merlintally.customer_table import DEFAULT_MAX_CUSTOMERS, CustomerTable
from merlintally.executed_ids import PastExecution
from merlintally.interface import (
    CounterOutcome,
    LaneFacts,
    LoadReport,
    Outcome,
    PlanFacts,
    Refusal,
    Results,
    ServerFacts,
    StartFacts,
)
from merlintally.notes import ROW, decode_note, encode_note
from merlintally.ring import Ring, SampleRing
from merlintally.slow_start import SlowStart

RECOMPUTE_INTERVAL_S = 0.25
UNREPORTED_SHARE = 0.2  # share of the balance that all gateways together may leave unreported to the counter
INITIAL_ANSWER_COUNT = 10  # weight of the initial guess of a lane's answer time, in answers
MAX_TIMED_OUT_ADDS = 256  # whose late answers are awaited
MAX_COUNTER_CALLS_PER_S = 300.0  # of all gateways together
SLOW_COUNTER_ANSWER_SHARE = 0.5  # of the counter's timeout; a slower answer lowers the call rate
COUNTER_CALL_RATE_FACTOR_FAILED = 0.7  # applied to the call rate after each failed call
COUNTER_CALL_RATE_FACTOR_SLOW = 0.9
COUNTER_CALL_RATE_FACTOR_QUICK = 1.1
COUNTER_CALL_RATE_RECOVERY_PER_S = 0.3  # as a share of the initial rate
MAX_NOTES_PER_S = 60.0  # received by one gateway
# (min interval, max rate), as one tuple for the simulator.
NOTE_LIMITS = (NOTE_MIN_INTERVAL_S, MAX_NOTES_PER_S)
PEER_SILENT_AFTER_S = 1.0  # since a peer's last note; use by that peer may then be unknown here
PEER_GONE_AFTER_S = 10.0  # since a peer's last note; the peer is then regarded as stopped and not waited for
EASY_LOAD_RATIO = 1.35  # answer time over base time, below which a server's concurrency grows
SATURATED_LOAD_RATIO = 1.6  # the same, above which concurrency shrinks and customers' rates are limited
MAX_LOAD_RATIO = 8.0  # cap on a single answer time over base time
INITIAL_CONCURRENCY = 3.0  # at each server, of all gateways together
MIN_CONCURRENCY_SHARE = 0.25  # of the initial concurrency
MIN_CANDIDATES = 4  # servers compared for a first execution, in addition to those that answered recently
RECENT_ANSWER_S = 5.0  # since a server's last answer; its pooled connections are likely still open
HEADROOM_FACTOR = 1.0  # headroom = factor x sqrt(total concurrency), where concurrency is scarce
CONCURRENCY_GROWTH = 0.2  # per quick answer, as a share of the initial concurrency
SLOWNESS_QUANTILE = 0.8  # of a server's recent answer times over base time
MAX_RETRY_CREDIT = 2.0  # repeated executions that a server may be sent before further good answers
RETRY_CREDIT_PER_ANSWER = 0.12
TIMEOUT_FACTOR = 15.0  # in mean answer times
# The empty share is the share of a plan's customers whose bucket was found empty at their first counter
# update. The probability to admit a customer's first submission without asking the counter is 1 less the
# share times the penalty, but at least an even share of the burst.
EMPTY_BUCKET_SHARE_WEIGHT = 0.25  # of a new sample in the moving average
EMPTY_BUCKET_SHARE_PENALTY = 8.0
MIN_CUSTOMERS_PER_SERVER = 64  # whose use of one server is told apart
MAX_SKIPPED = 16  # submissions of one queue passed over in one dispatch
DEADLINE_MARGIN_S = 0.03  # before a hard limit, in which no execution starts
# The operators may hold up a node for this long between reading the clock and writing the request.
MAX_STALL_S = 0.15
WAKE_WAITING_S = 0.03  # while submissions wait
WAKE_OPEN_S = 0.1  # while submissions are open
WAKE_IDLE_S = 0.5
WAKE_LOST_AFTER_S = 0.25  # past its due time, after which a wake-up is scheduled again
UNKNOWN_PLAN = PlanFacts(
    "", 0, 0, 0, 0, 0, 0, 0, 0, 0
)  # not in the settings; refused, with rate and open limit 0


class Lane:
    """The facts of one lane and the running statistics of its answer times and units."""

    def __init__(self, facts: LaneFacts) -> None:
        self.quoted_time, self.gain, self.late_gain = facts.quoted_time, facts.gain, facts.late_gain
        self.effect, self.group, self.remembered = facts.effect, facts.discard_group, facts.remembered
        # Times in seconds: of a recent answer, and of an answer without load.
        self.mean_time, self.base_time, self.answer_count = (
            facts.quoted_time / 6,
            facts.quoted_time / 6,
            INITIAL_ANSWER_COUNT,
        )
        self.mean_units = 1.0

    def record_answer(self, elapsed: float, units: float) -> None:
        """Update the statistics with a good answer after `elapsed` seconds.

        The base time starts from a sixth of the quoted time, as the first answers to arrive are the shortest
        ones. It follows the mean time until `answer_count`, which includes the weight of the initial guess,
        is 40; from then on it falls to a lower mean time at once and rises slowly.
        """
        self.answer_count += 1
        self.mean_time += (elapsed - self.mean_time) / min(self.answer_count, 40)
        self.mean_units += (units - self.mean_units) / min(self.answer_count - INITIAL_ANSWER_COUNT, 40)
        # Rises slowly in the end; otherwise a temporary slowdown would become the base time.
        self.base_time += (self.mean_time - self.base_time) * (
            1 if self.answer_count < 40 or self.mean_time < self.base_time else 5e-4
        )

    def relative_time(self, elapsed: float, units: float) -> float:
        """An answer time in base times, scaled by units so that large submissions do not look slow."""
        return elapsed / self.base_time * self.mean_units / max(units, 0.01)


class AppServer:
    """One app server as seen from this gateway: load, failures, and the concurrency allowed there."""

    def __init__(self, facts: ServerFacts, concurrency: float) -> None:
        self.name, self.zone, self.cell, self.size = facts.server, facts.zone, facts.cell, facts.size
        self.initial_concurrency = concurrency
        # By submission and execution number: start time, lane and units.
        self.in_flight: dict[tuple[int, int], tuple[float, Lane, float]] = {}
        self.reset(facts)

    def reset(self, facts: ServerFacts) -> None:
        """Discard what was measured, for a server that has restarted."""
        self.presence, self.started = facts.presence, facts.started
        # Executions allowed in flight; answer time over base time; slowness in relation to the other servers,
        # at least 1; and repeated executions that may be sent.
        self.concurrency, self.load_ratio, self.slowness, self.retry_credit = (
            self.initial_concurrency,
            1.0,
            1.0,
            MAX_RETRY_CREDIT,
        )
        self.failure_rate = self.usual_failure_rate = self.paused_until = self.waiting = 0.0
        self.reported_at, self.last_answer_at = -1.0, -1.0
        self.samples, self.units_by_customer, self.idle_connections = (
            SampleRing(1.0, 6),
            dict[str, float](),
            0,
        )

    def record_units(self, key: str, units: float, max_customers: int) -> None:
        """Count units sent for a customer; beyond `max_customers`, the least recent one is dropped."""
        self.units_by_customer[key] = self.units_by_customer.pop(key, 0.0) + units
        if len(self.units_by_customer) > max(MIN_CUSTOMERS_PER_SERVER, max_customers):
            del self.units_by_customer[next(iter(self.units_by_customer))]

    def usable_concurrency(self, now: float) -> float:
        """The concurrency, reduced by slowness and by failures beyond the usual rate; 0 while paused."""
        health = min(1.0, 1 + self.usual_failure_rate - self.failure_rate) * (
            self.presence == "on" and now >= self.paused_until
        )
        return self.concurrency * health / self.slowness

    def has_capacity(self, now: float) -> bool:
        """Whether another execution may start here; an available server always gets one."""
        return (
            len(self.in_flight) < max(1, int(usable))
            if (usable := self.usable_concurrency(now)) > 0
            else False
        )

    def expected_time(self, now: float) -> float:
        """Expected time of the next execution in base times, weighted by the chance of failure."""
        queued = self.waiting * 0.2 / max(1.0, now - self.reported_at)
        occupancy = 1 + len(self.in_flight) / max(1.0, self.concurrency) + queued
        return self.load_ratio * self.slowness * occupancy / (1.05 - self.failure_rate) ** 3

    def has_idle_connection(self, now: float) -> bool:
        """Whether a pooled connection is likely idle, so that a request needs no handshake.

        Handshakes are paid for over the whole fleet.
        """
        return self.idle_connections > 0 and now - self.last_answer_at < RECENT_ANSWER_S

    def record_outcome(
        self,
        now: float,
        lane: Lane,
        outcome: Outcome,
        elapsed: float,
        units: float,
        report: LoadReport | None,
        growth: float,
        gateway_load_ratio: float | None = None,
    ) -> None:
        """Update load, failure rate and concurrency with the end of an execution.

        The more executions fail, the longer the server is paused, so that neither fast failures nor a dead
        server attract work.
        `growth` is added to the concurrency for a quick answer at full use. `gateway_load_ratio`, where
        given, replaces this server's own load ratio in the comparison with the limits.
        """
        if report and "waiting" in report:
            self.waiting, self.reported_at = report["waiting"], now
        relative_time = lane.relative_time(elapsed, units)
        self.idle_connections = (self.idle_connections if self.has_idle_connection(now) else 0) + (
            outcome in ("ok", "error", "full")
        )
        if outcome in ("ok", "timed_out") or (outcome == "withdrawn" and relative_time > self.load_ratio):
            self.samples.add(now, relative_time)
            self.load_ratio += (relative_time - self.load_ratio) * min(
                0.4, max(0.12, (now - self.last_answer_at) / 12)
            )
            self.last_answer_at = now
            if (gateway_load_ratio or self.load_ratio) > SATURATED_LOAD_RATIO:
                self.concurrency = max(
                    MIN_CONCURRENCY_SHARE * self.initial_concurrency, self.concurrency * 0.94
                )
        if outcome == "ok":
            lane.record_answer(elapsed, units)
            self.retry_credit = min(MAX_RETRY_CREDIT, self.retry_credit + RETRY_CREDIT_PER_ANSWER)
            self.failure_rate *= 0.8
            if (gateway_load_ratio or self.load_ratio) < EASY_LOAD_RATIO and len(self.in_flight) + 1 >= int(
                self.concurrency
            ):
                self.concurrency += growth
        elif outcome in ("error", "broken", "unreachable"):
            self.failure_rate += (1 - self.failure_rate) * 0.25
            self.paused_until = (
                now + 2 * excess
                if (excess := self.failure_rate - self.usual_failure_rate) > 0.3
                else self.paused_until
            )
        elif outcome == "full":
            self.paused_until, self.load_ratio = max(self.paused_until, now + 0.1), self.load_ratio * 1.05
            self.concurrency = max(MIN_CONCURRENCY_SHARE * self.initial_concurrency, self.concurrency * 0.7)


class Execution(NamedTuple):
    """One send of a submission; zone and cell are those of the server at that time."""

    server: AppServer
    sent_at: float
    zone: str
    cell: int


class Submission:
    """The handle of a submission that was taken."""

    def __init__(
        self,
        gateway: Gateway,
        submission: int,
        lane: Lane,
        customer: Customer,
        units: float,
        now: float,
        time_left: float,
        earlier: tuple[PastExecution, ...] = (),
    ) -> None:
        """`earlier`: executions that may have happened for the same request, taken before and ended."""
        self.gateway, self.id, self.lane, self.customer = gateway, submission, lane, customer
        self.earlier = earlier
        self.units, self.execution_count, self.taken_at, self.ends_at = (
            units,
            0,
            now,
            now + time_left - DEADLINE_MARGIN_S,
        )
        # Latest time for a first execution, from which an answer within the quoted time is likely.
        self.useful_until = min(
            now + lane.quoted_time - min(2 * lane.mean_time, 0.6 * lane.quoted_time), self.ends_at
        )
        self.in_flight: dict[int, AppServer] = {}
        # By number: executions that are running, or that may have run before they failed.
        self.may_have_run: dict[int, Execution] = {}
        self.closed = self.drawn = self.beyond_quota = self.streaming = False
        self.refusal: Refusal | None = None  # reason, where it ended without a server's answer

    @property
    def settled(self) -> bool:
        """Whether it has its final answer and no execution is in flight."""
        return self.closed and not self.in_flight

    def ended(
        self,
        now: float,
        number: int,
        outcome: Outcome,
        elapsed: float,
        over: bool,
        actual: float = 0.0,
        report: LoadReport | None = None,
    ) -> None:
        """Execution `number` has ended after `elapsed` seconds; `over` if the submission has its answer.

        `actual` is the units that it used, or 0 if unknown. Executions that are not in flight are ignored.
        """
        if (server := self.in_flight.pop(number, None)) is None:
            return
        gateway = self.gateway
        server.in_flight.pop((self.id, number), None)
        self.customer.in_flight -= 1
        gateway.answer_count, gateway.in_flight, units = (
            gateway.answer_count + 1,
            gateway.in_flight - 1,
            actual or self.units,
        )
        if outcome in ("ok", "timed_out"):
            gateway.load_ratio += (
                min(MAX_LOAD_RATIO, self.lane.relative_time(elapsed, units)) - gateway.load_ratio
            ) * 0.12
        shortage, work_waits = gateway.scarcity(now), any(gateway.queues.values())
        growth = (
            CONCURRENCY_GROWTH * server.initial_concurrency / math.sqrt(1 - shortage) if work_waits else 0.0
        )
        load_ratio = gateway.load_ratio if shortage else None
        server.record_outcome(now, self.lane, outcome, elapsed, units, report, growth, load_ratio)
        gateway.recent_successes.add(now, float(outcome == "ok"))
        if outcome in ("full", "unreachable", "moot"):  # it never ran
            self.may_have_run.pop(number, None)
        if actual and self.drawn:
            self.customer.charge(actual - self.units)
        if over:
            self.left(now)
        if not self.closed and not self.in_flight:
            gateway.retry(now, self)
        gateway.dispatch(now)

    def begun(self, now: float, number: int) -> None:
        """The answer of execution `number` has begun to arrive."""
        self.streaming = True

    def left(self, now: float) -> None:
        """The client has its answer or has gone away."""
        if not self.closed:
            self.gateway.close(self)

    def may_bounce(self) -> bool:
        """Whether the client may safely submit it again."""
        lane = self.lane
        if self.earlier:  # at an unknown time: its group may have forgotten it when the client returns
            return lane.effect == "harmless"
        return (
            not self.may_have_run
            or lane.effect == "harmless"
            or (lane.effect, lane.group) == ("stamped", "all")
        )

    def may_repeat(self, now: float) -> bool:
        """Whether rule 2 allows a further execution, regardless of the server."""
        if not (self.may_have_run or self.earlier) or self.lane.effect == "harmless":
            return True
        return self.lane.effect == "stamped" and now < self.begin_by(self.execution_count)

    def groups(self) -> Iterator[tuple[str, int]]:
        """Yield zone and cell of each execution that may have happened."""
        yield from ((one.zone, one.cell) for one in self.earlier)
        yield from ((one.zone, one.cell) for one in self.may_have_run.values())

    def begin_by(self, number: int) -> float:
        """The time until which rules 1 and 2 allow execution `number` to be written.

        A connection may come up late, when a stamped execution is no longer remembered.
        """
        before = [one.sent_at for at, one in self.may_have_run.items() if at < number]
        before += [one.sent_at for one in self.earlier]
        if not before or self.lane.effect != "stamped":
            return self.ends_at
        return min(self.ends_at, min(before) + self.lane.remembered - MAX_STALL_S - DEADLINE_MARGIN_S)


class Gateway:
    """The decision logic of one edge node."""

    def __init__(
        self, facts: StartFacts, seed: int, now: float, max_customers: int = DEFAULT_MAX_CUSTOMERS
    ) -> None:
        self.facts, self.random = facts, random.Random(seed)
        self.lanes = {row.name: Lane(row) for row in facts.lanes}
        self.plans = {plan.name: plan for plan in facts.plans}
        self.customers = CustomerTable(max_customers)
        self.servers, self.open_submissions = dict[str, AppServer](), dict[int, Submission]()
        self.slow_start = SlowStart(facts, self.random)
        self.pending_adds = dict[int, Customer]()  # by counter name
        # By customer: submissions that wait for the answer of the add in flight.
        self.waiting_for_counter = dict[str, list[Submission]]()
        # By counter name: customer, units added, and units of that add which were sent to servers.
        self.timed_out_adds = dict[int, tuple[Customer, float, float]]()
        self.empty_bucket_share = dict[str, float]()  # by plan: share of first updates with an empty bucket
        # Lowest priority: for submissions of unknown lanes and for those beyond the quota.
        self.unranked_lane = Lane(LaneFacts("", 1, 1, 0, 0, "one-shot", "cell", 0))
        order = [*sorted(self.lanes.values(), key=lambda lane: -lane.gain), self.unranked_lane]
        self.queues = {lane: deque[Submission]() for lane in order}  # by priority
        self.recent_sends, self.recent_successes, self.wake_at, self.results = (
            Ring(0.25, 6),
            Ring(1.0, 10),
            0.0,
            Results(),
        )
        # Calls to the counter: allowed per second, allowed now, and the time after which an answer is slow.
        self.call_rate, self.call_tokens, self.slow_counter_answer_s = (
            MAX_COUNTER_CALLS_PER_S / facts.gateways,
            1.0,
            SLOW_COUNTER_ANSWER_SHARE * facts.count_time_out,
        )
        # Executions ended since the last recomputation, and in flight; mean answer time over base time;
        # the cached total concurrency, and the time of its computation.
        self.answer_count, self.in_flight, self.load_ratio, self.usable_concurrency, self.concurrency_at = (
            0,
            0,
            1.0,
            1.0,
            -1.0,
        )
        self.started = self.call_tokens_at = self.recomputed_at = self.swept_at = now
        self.wall_shift = 0.0
        # By number of the peer: the time of its last note.
        peer_count, self.peer_seen_at = facts.gateways - 1, dict[int, float]()
        self.gateways_per_server = facts.gateways
        self.sends_notes = (
            facts.may_note and 0 < facts.note_price * peer_count * ROW.size / 256 < facts.count_price
        )
        self.note_interval_s, self.last_note_at = (
            max(NOTE_MIN_INTERVAL_S, peer_count / MAX_NOTES_PER_S),
            now,
        )

    def take(
        self,
        now: float,
        submission: int,
        lane_name: str,
        key: str,
        plan_name: str,
        time_left: float,
        units: float,
        gateways: int,
        earlier: tuple[PastExecution, ...] = (),
    ) -> Submission:
        """Admit a submission to its queue, refuse it, or hold it until the counter answers.

        `key` names the customer, `gateways` is the number of gateways that serve it (0: all), and `time_left`
        the seconds until the hard limit. `earlier` are executions that may have happened for the same request
        when it was taken before.
        """
        lane = self.lanes.get(lane_name, self.unranked_lane)
        if (customer := self.customers.use(key)) is None:
            plan = self.plans.get(plan_name, UNKNOWN_PLAN)
            gateways = max(1, gateways or self.facts.gateways)
            customer = self.customers.create(now, key, plan, gateways, now - self.started)
            customer.wall_shift = self.wall_shift
            plan, gateways = customer.plan, customer.gateways
            # Otherwise each of many gateways admits a first submission without asking the counter. The more
            # buckets of this plan were found empty, the lower the probability, down to an even share of the
            # burst.
            probability = max(
                plan.burst / gateways,
                1 - EMPTY_BUCKET_SHARE_PENALTY * self.empty_bucket_share.get(plan_name, 0.0),
            )
            if not customer.serves_beyond_quota and self.random.random() >= probability:
                customer.common_credit = min(customer.common_credit, plan.burst / gateways)
        customer.notes_complete = self._receives_all_notes(now)
        handle = Submission(self, submission, lane, customer, units, now, time_left, earlier)
        self.open_submissions[submission] = handle
        customer.open_submissions += 1
        if time_left <= DEADLINE_MARGIN_S:
            self.finish(now, handle, Refusal.NO_TIME)
        elif not handle.may_repeat(now):
            self.finish(now, handle, Refusal.NOT_AGAIN)
        elif not self._ask(now, handle):
            self._decide(now, handle)
            self.dispatch(now)
        return handle

    def follow_wall(self, shift: float) -> None:
        """Set the seconds by which the wall clock is ahead of `now`.

        All gateways number the epochs by the wall clock, including those started before it was stepped.
        """
        self.wall_shift = shift
        for customer in self.customers.values():
            customer.wall_shift = shift

    def share(self, gateways: int) -> None:
        """Set the number of gateways that send to one server, and scale the concurrency there."""
        factor, self.gateways_per_server, self.concurrency_at = (
            self.gateways_per_server / gateways,
            gateways,
            -1.0,
        )
        for server in self.servers.values():
            server.initial_concurrency, server.concurrency = (
                server.initial_concurrency * factor,
                server.concurrency * factor,
            )

    def roster(self, now: float, entries: Iterable[ServerFacts], complete: bool) -> None:
        """Update the server list; `complete` if `entries` is the whole list, else the changed rows."""
        for server in self.servers.values() if complete else ():
            server.presence = "gone"
        for entry in entries:
            one = self.servers.setdefault(
                entry.server, AppServer(entry, INITIAL_CONCURRENCY / self.gateways_per_server)
            )
            if entry.started > one.started:
                one.reset(entry)
            one.presence, one.zone, one.cell, one.size = (entry.presence, entry.zone, entry.cell, entry.size)
            self.concurrency_at = -1.0
        # Servers that are gone would lower the mean concurrency in `scarcity`.
        self.servers = {
            name: one for name, one in self.servers.items() if one.presence != "gone" or one.in_flight
        }
        self.slow_start.update_servers(now, [one.size for one in self.servers.values()])
        self.dispatch(now)

    def counted(
        self, now: float, counter_name: int, outcome: CounterOutcome, total: float, elapsed: float
    ) -> None:
        """The counter has answered an add, or it failed; `total` is the counter's value after it.

        Decides the submissions that waited for it, and adapts the call rate to the counter's speed.
        """
        customer = self.pending_adds.pop(counter_name, None)
        if customer is None or customer.pending_add is None:
            return
        added, customer.pending_add, first_update = (
            customer.pending_add,
            None,
            now - customer.last_update_at >= EPOCH_S,
        )
        if outcome == "ok":
            customer.apply_count(total, added, now)
            if first_update:
                share = self.empty_bucket_share.get(customer.plan.name, 0.0)
                self.empty_bucket_share[customer.plan.name] = (
                    share + ((customer.uncapped_balance < 0) - share) * EMPTY_BUCKET_SHARE_WEIGHT
                )
            self.call_rate = min(
                MAX_COUNTER_CALLS_PER_S,
                self.call_rate
                * (
                    COUNTER_CALL_RATE_FACTOR_SLOW
                    if elapsed > self.slow_counter_answer_s
                    else COUNTER_CALL_RATE_FACTOR_QUICK
                ),
            )
        else:  # an add that timed out may have been counted, so it is not repeated
            self.call_rate *= (
                COUNTER_CALL_RATE_FACTOR_FAILED
                if outcome != "timed_out" or elapsed > self.slow_counter_answer_s
                else 1
            )
            customer.units_to_add += added if outcome != "timed_out" else 0.0
        waiting = self.waiting_for_counter.pop(customer.key, [])
        sent_units = customer.admitted_in_add - sum(one.units for one in waiting if one.drawn)
        for handle in waiting:
            if not handle.closed:
                self._decide(now, handle)
        if outcome == "ok" and not customer.notes_complete:
            customer.cancel_overdraft(min(sent_units, -customer.balance))
        elif outcome == "timed_out":
            unsent_units = sum(one.units for one in waiting if one.closed and not one.execution_count)
            while len(self.timed_out_adds) >= MAX_TIMED_OUT_ADDS:
                del self.timed_out_adds[next(iter(self.timed_out_adds))]
            self.timed_out_adds[counter_name] = (customer, added, customer.admitted_in_add - unsent_units)
        needs_correction = (
            customer.units_to_add < 0 or customer.units_to_add > CORRECTION_BURSTS / 2 * customer.plan.burst
        )
        self._report_use(now, customer, outcome == "ok" and needs_correction)
        self.dispatch(now)

    def counted_late(self, now: float, counter_name: int, total: float) -> None:
        """The counter has answered an add after its timeout.

        The submissions that waited are decided, but the balance is updated for the next ones. Otherwise a
        counter whose answers are all slightly late would give no information.
        """
        customer, added, sent_units = self.timed_out_adds.pop(counter_name, (None, 0.0, 0.0))
        if customer is not None and customer.pending_add is None and counter_name == customer.counter_name:
            customer.apply_count(total, added, now)
            customer.cancel_overdraft(min(sent_units, -customer.balance))

    def noted(self, now: float, peer: int, payload: bytes) -> None:
        """Gateway number `peer` has sent a note of the units it has drawn."""
        self.peer_seen_at[peer] = now
        for mark, drawn in decode_note(payload):
            if customer := self.customers.with_mark(mark):
                customer.apply_peer_use(drawn, now)

    def _receives_all_notes(self, now: float) -> bool:
        """Whether every live peer has sent a note recently, so that nearly all use by peers is known."""
        ages = [now - at for at in self.peer_seen_at.values() if now - at < PEER_GONE_AFTER_S]
        return self.sends_notes and 0 <= max(ages, default=-1.0) < PEER_SILENT_AFTER_S

    def wake(self, now: float) -> None:
        """Do the periodic work that is due: rates, expiry, dispatch and reports to the counter."""
        if now < self.wake_at - 0.0005:
            return  # superseded by a later wake-up
        self.wake_at = 0.0
        if now - self.recomputed_at >= RECOMPUTE_INTERVAL_S * (
            1 if self.answer_count > len(self.servers) / 4 else 4
        ):
            self.recomputed_at, self.answer_count = now, 0
            self._update_slowness(now)
            self._update_limiting_rates(now)
            for customer in self.customers.values():
                if now - customer.last_used_at < STALE_AFTER_S:
                    customer.update_common_rate(now)
        if now - self.swept_at >= EPOCH_S / 8:
            self.swept_at = now
            self.customers.forget_idle(now)
            self.timed_out_adds.clear()
        self._expire(now)
        self.dispatch(now)
        for customer in self.customers.values() if self._may_call(now, True) else ():
            if customer.units_to_add and now - customer.last_used_at < EPOCH_S / 4:
                self._report_use(now, customer)

    def take_results(self, now: float) -> Results:
        """Return the actions since the last call and clear them; a wake-up is always scheduled."""
        due = self.sends_notes and now - self.last_note_at >= self.note_interval_s
        if due and (
            (note := encode_note(self.customers.values()))
            or now - self.last_note_at > PEER_SILENT_AFTER_S / 2
        ):
            self.results.notes.append(note)  # an empty note is a heartbeat
            self.last_note_at = now
        work_waits = any(self.queues.values()) or self.pending_adds
        after = WAKE_WAITING_S if work_waits else WAKE_OPEN_S if self.open_submissions else WAKE_IDLE_S
        # A timer that fired slightly early was ignored by `wake`, and no other may be set.
        lost = now - self.wake_at > WAKE_LOST_AFTER_S
        if not self.wake_at or lost or now + after < self.wake_at - 0.0005:
            self.wake_at, self.results.wake_after = now + after, after
        results, self.results = self.results, Results()
        return results

    def _ask(self, now: float, handle: Submission) -> bool:
        """Whether the submission waits for the counter because the last update is too old.

        Its units are drawn in advance if the balance seems to cover them, so that the add claims them.
        """
        customer, latest_call = handle.customer, handle.useful_until - 2 * self.facts.count_time_out
        customer.advance(now)
        if not self.facts.may_count or now > latest_call or customer.can_decide_locally(handle.units, now):
            return False
        if customer.pending_add is None:
            # Calls for plans that serve beyond the quota have lower priority.
            if not self._may_call(now, customer.serves_beyond_quota):
                return False
            if customer.balance >= handle.units:
                self._set_drawn(now, handle, True)
            self._send_add(now, customer)
        self.waiting_for_counter.setdefault(customer.key, []).append(handle)
        return True

    def _decide(self, now: float, handle: Submission) -> None:
        """Queue the submission or refuse it. Units already drawn stay so unless the balance is overdrawn."""
        customer, units = handle.customer, handle.units
        customer.advance(now)
        if handle.drawn and customer.balance < -0.01:
            self._set_drawn(customer.advanced_at, handle, False)
        within_quota = handle.drawn or customer.within_quota(units, now)
        ahead = sum(len(queue) for lane, queue in self.queues.items() if lane.gain >= handle.lane.gain)
        service_rate = max(
            1.0, self.recent_sends.rate(now), self.scarcity(now) * self.allowed(now) / handle.lane.mean_time
        )
        too_late = ahead / service_rate > handle.useful_until - now
        if (
            not within_quota
            and customer.serves_beyond_quota
            and customer.beyond_quota_credit >= units
            and not any(self.queues.values())
        ):
            customer.beyond_quota_credit -= units
            handle.beyond_quota = True
        if too_late:
            return self.finish(now, handle, Refusal.LATE)
        if customer.exceeds_ceiling(units):
            return self.finish(now, handle, Refusal.CEILING)
        if not (within_quota or handle.beyond_quota):
            return self.finish(now, handle, Refusal.BEYOND_QUOTA)
        if within_quota and not handle.drawn:
            self._set_drawn(now, handle, True)
        self._queue(handle, False)
        self._report_use(now, customer)

    def _set_drawn(self, now: float, handle: Submission, drawn: bool) -> None:
        """Draw a submission's units from the balance, or give them back."""
        handle.drawn, customer = drawn, handle.customer
        customer.draw(handle.units, now) if drawn else customer.charge(-handle.units)

    def _report_use(self, now: float, customer: Customer, urgent: bool = False) -> None:
        """Add the drawn units to the counter once they reach a threshold; `urgent` ignores the call rate."""
        can_call = self.facts.may_count and customer.pending_add is None and customer.gateways > 1
        cost = customer.average_cost
        threshold = min(UNREPORTED_SHARE * max(customer.balance, cost) / customer.gateways, cost / 2)
        if can_call and abs(customer.units_to_add) >= threshold and (urgent or self._may_call(now, True)):
            self._send_add(now, customer)

    def _may_call(self, now: float, low_priority: bool = False) -> bool:
        """Whether call rate and calls in flight allow a call; one of low priority leaves a token for others.

        Both limits follow the counter's answers, so that calls do not pile up while it is slow.
        """
        passed, self.call_tokens_at = now - self.call_tokens_at, now
        # Recovers without answers, as failures alone would bring the rate down to 0.
        if self.call_rate < (share := MAX_COUNTER_CALLS_PER_S / self.facts.gateways):
            self.call_rate = min(share, self.call_rate + COUNTER_CALL_RATE_RECOVERY_PER_S * share * passed)
        self.call_tokens = min(self.call_rate * 0.25 + 2, self.call_tokens + passed * self.call_rate)
        return (
            self.call_tokens >= 1 + low_priority
            and len(self.pending_adds) < 1 + self.call_rate * self.slow_counter_answer_s / 2
        )

    def _send_add(self, now: float, customer: Customer) -> None:
        """Add all units drawn since the last add to the customer's current counter."""
        self.call_tokens -= 1
        counter_name = customer.current_counter(now)[0]
        if counter_name != customer.counter_name:
            customer.counter_name, customer.counter_total = counter_name, 0.0
        self.pending_adds[counter_name], customer.pending_add, customer.units_to_add = (
            customer,
            customer.units_to_add,
            0.0,
        )
        customer.admitted_in_add, customer.admitted_since_add = customer.admitted_since_add, 0.0
        self.results.adds.append((counter_name, customer.pending_add, EPOCH_S))

    def finish(self, now: float, handle: Submission, why: Refusal) -> None:
        """End a submission without a server's answer: bounced where a resubmission is safe, else given up."""
        handle.refusal, customer, limit = why, handle.customer, self.facts.retry_after_limit
        if handle.may_bounce():
            # The retry time is when the balance should cover the units.
            missing = handle.units - max(0.0, min(customer.balance, customer.common_credit))
            wait = missing / customer.common_rate if min(missing, customer.common_rate) > 0 else limit / 4
            self.results.bounced.append((handle.id, min(limit, max(0.05, wait))))
        else:
            self.results.given_up.append(handle.id)
        self.close(handle)

    def close(self, handle: Submission) -> None:
        """Mark a submission as answered; give back unused units and withdraw its executions in flight."""
        customer = handle.customer
        customer.open_submissions -= not handle.closed
        handle.closed = True
        self.open_submissions.pop(handle.id, None)
        if handle.drawn and not handle.execution_count:
            self._set_drawn(customer.advanced_at, handle, False)
        if self.facts.may_withdraw and not handle.streaming:
            self.results.withdrawn.extend((handle.id, number) for number in handle.in_flight)

    def retry(self, now: float, handle: Submission) -> None:
        """Queue a submission whose executions have all failed, or end it."""
        lane, spent = (
            handle.lane,
            now >= handle.ends_at or handle.execution_count >= self.facts.most_executions,
        )
        too_late = now > handle.useful_until and (
            lane.late_gain <= 0 or now + lane.base_time > handle.ends_at
        )
        if too_late or spent or not handle.may_repeat(now):
            self.finish(now, handle, Refusal.NOT_AGAIN)
        else:
            handle.useful_until = max(handle.useful_until, min(now + lane.mean_time, handle.ends_at))
            self._queue(handle, True)

    def _queue(self, handle: Submission, first: bool) -> None:
        queue = self.queues[self.unranked_lane if handle.beyond_quota else handle.lane]
        queue.insert(0 if first else len(queue), handle)

    def total_concurrency(self, now: float) -> float:
        """The usable concurrency at all servers, at least 1; cached for a short time."""
        if now - self.concurrency_at > 0.05:
            self.usable_concurrency, self.concurrency_at = (
                max(1.0, sum(one.usable_concurrency(now) for one in self.servers.values())),
                now,
            )
        return self.usable_concurrency

    def scarcity(self, now: float) -> float:
        """How far the concurrency per server is below 1: near 1 with hundreds of gateways, 0 with few."""
        mean = self.total_concurrency(now) / max(1, len(self.servers))
        return max(0.0, 1 - max(INITIAL_CONCURRENCY / self.gateways_per_server, mean))

    def allowed(self, now: float) -> float:
        """How many executions may be in flight.

        Where concurrency is scarce, headroom is added for random variation, and taken off under overload.
        """
        concurrency, shortage = self.total_concurrency(now), self.scarcity(now)
        overload = float(max(1.0, self.load_ratio / SATURATED_LOAD_RATIO) ** (2 * shortage))
        return max(1.0, (concurrency + HEADROOM_FACTOR * shortage * math.sqrt(concurrency)) / overload)

    def dispatch(self, now: float) -> None:
        """Send queued submissions by priority, as far as concurrency and the rules allow."""
        if not any(self.queues.values()):
            return
        room = self.allowed(now) - self.in_flight
        free = [server for server in self.servers.values() if server.has_capacity(now)] if room >= 0.5 else []
        for queue in self.queues.values():
            skipped: list[Submission] = []
            while queue and len(skipped) < MAX_SKIPPED and room >= 0.5 and free:
                handle = queue.popleft()
                if handle.closed or handle.in_flight:
                    continue
                first, customer = not handle.execution_count, handle.customer
                blocked = first and not customer.below_open_limit(now, handle.lane.mean_time)
                if now >= handle.useful_until:
                    self.finish(now, handle, Refusal.WAITED)
                elif first and customer.exceeds_ceiling(handle.units):
                    self.finish(now, handle, Refusal.CEILING)
                elif blocked or not (server := self._send_to_best(now, handle, free)):
                    skipped.append(handle)
                else:
                    room -= 1
                    if not server.has_capacity(now):
                        free.remove(server)
            queue.extendleft(reversed(skipped))

    def _send_to_best(self, now: float, handle: Submission, free: list[AppServer]) -> AppServer | None:
        """Send to the server with the lowest expected time and return it; None if the rules allow none.

        A first execution compares a random sample and the servers that answered recently.
        """
        best, lowest, sample_size = (
            None,
            float("inf"),
            max(MIN_CANDIDATES, int(self.total_concurrency(now))),
        )
        tried = [one.server for one in handle.may_have_run.values()]
        if not handle.execution_count and len(free) > sample_size:
            recent = [server for server in free if now - server.last_answer_at < RECENT_ANSWER_S]
            free = self.random.sample(free, sample_size) + recent
        for server in free:
            if handle.execution_count and (server.retry_credit < 1 or (server in tried and len(free) > 1)):
                continue
            expected = server.expected_time(now) * (1 + 0.05 * self.random.random())
            expected += self.facts.cross_zone_price * 4 * (server.zone != self.facts.zone)
            expected += self.facts.handshake_price * 2 * (not server.has_idle_connection(now))
            if expected < lowest and self._may_send(now, handle, server) is None:
                best, lowest = server, expected
        if best is not None:
            self._send(now, handle, best)
        return best

    def _may_send(self, now: float, handle: Submission, server: AppServer) -> str | None:
        """Check all rules, before every send: the name of the first that forbids it, or None."""
        lane, facts = handle.lane, self.facts
        if handle.closed or now >= handle.ends_at or handle.execution_count >= facts.most_executions:
            return "one final answer"
        if (handle.in_flight and not facts.parallel) or not handle.may_repeat(now):
            return "no effect twice"
        if lane.effect == "stamped" and lane.group != "all":
            for zone, cell in handle.groups():
                if zone != server.zone or (lane.group == "cell" and cell != server.cell):
                    return "no effect twice"
        if server.presence != "on":
            return "drains"
        if not self._slow_start_allows(now, server):
            return "cold server"
        handle.customer.advance(now)
        return (
            "ceiling"
            if not handle.execution_count and handle.customer.exceeds_ceiling(handle.units)
            else None
        )

    def _slow_start_allows(self, now: float, server: AppServer) -> bool:
        return self.slow_start.has_room(now, server, self.recent_successes.rate(now))

    def _send(self, now: float, handle: Submission, server: AppServer) -> None:
        """Record an execution as sent and add it to the results."""
        number, customer = handle.execution_count, handle.customer
        server.retry_credit -= 1 if number else 0
        if not number:
            customer.take_from_ceiling(handle.units)
        handle.execution_count += 1
        handle.in_flight[number] = server
        handle.may_have_run[number] = Execution(server, now, server.zone, server.cell)
        server.in_flight[(handle.id, number)] = (now, handle.lane, handle.units)
        self.slow_start.record_send(server.name, server.started)
        server.idle_connections = max(0, server.idle_connections - 1)
        server.record_units(customer.key, handle.units, self.customers.max_customers // len(self.servers))
        customer.in_flight, self.in_flight = customer.in_flight + 1, self.in_flight + 1
        self.recent_sends.add(now, 1.0)
        self.results.sends.append((handle.id, server.name, self._timeout(now, handle, server)))

    def _timeout(self, now: float, handle: Submission, server: AppServer) -> float:
        """The execution's timeout in seconds; 0 for none, where another could not answer in time.

        It ends executions that stall. The timeout is shorter at slow servers. The retry credit limits the
        load by repeats.
        """
        mean, in_time = (
            handle.lane.mean_time,
            min(handle.taken_at + handle.lane.quoted_time, handle.ends_at),
        )
        timeout = TIMEOUT_FACTOR * mean / server.slowness
        may_repeat = handle.lane.effect != "one-shot" and handle.execution_count < self.facts.most_executions
        return timeout if may_repeat and now + timeout + mean < in_time else 0.0

    def _expire(self, now: float) -> None:
        """End submissions, queued or waiting for the counter, that can no longer be answered in time."""
        groups = [*self.queues.values(), *self.waiting_for_counter.values()]
        for handle in [
            one for group in groups for one in group if now >= one.useful_until and not one.closed
        ]:
            self.finish(now, handle, Refusal.WAITED)

    def _update_slowness(self, now: float) -> None:
        """Compare a high quantile of each server's answer times with the median of all servers.

        Executions in flight for longer than the mean answer time count as samples, too.
        """
        quantiles = {}
        for server in self.servers.values():
            running = [(now - sent_at, lane, units) for sent_at, lane, units in server.in_flight.values()]
            ages = [lane.relative_time(age, units) for age, lane, units in running if age > lane.mean_time]
            samples = sorted(server.samples.values(now) + ages)
            if samples:
                quantiles[server.name] = (
                    samples[int(SLOWNESS_QUANTILE * (len(samples) - 1) + 0.5)],
                    len(samples),
                )
        usual = sorted([one.failure_rate for one in self.servers.values()] or [0.0])[len(self.servers) // 4]
        middle = max(1.0, median([value for value, _ in quantiles.values()] or [1.0]))
        for server in self.servers.values():
            value, sample_count = quantiles.get(server.name, (middle, 0))
            server.usual_failure_rate, server.slowness = (
                usual,
                max(1.0, (value / middle) ** (sample_count / (sample_count + 4)) / 1.3),
            )

    def _update_limiting_rates(self, now: float) -> None:
        """Set each customer's limiting rate from the saturated servers that its units were sent to.

        A saturated server's rate is reduced by its load ratio and split by reserved rates. The lowest rate
        over all servers applies; the zone with the most loaded server is ignored, as it may fail alone.
        """
        ratios = {
            one: SATURATED_LOAD_RATIO / one.load_ratio
            for one in self.servers.values()
            if one.load_ratio > SATURATED_LOAD_RATIO
        }
        several_zones = len({one.zone for one in self.servers.values()}) > 1
        worst_zone = (
            min(ratios, key=lambda one: (ratios[one], one.name)).zone if ratios and several_zones else None
        )
        for customer in self.customers.values():
            customer.limiting_rate = float("inf")
        for server in self.servers.values():
            users = {key: units for key, units in server.units_by_customer.items() if key in self.customers}
            reserved = sum(self.customers[key].plan.rate for key in users) or 1.0
            allowed = ratios.get(server, 0.0) * sum(users.values()) / reserved
            for key, units in users.items() if allowed and server.zone != worst_zone else ():
                customer = self.customers[key]
                rate_limit = (
                    allowed
                    * customer.plan.rate
                    / units
                    * (customer.recent_units.rate(now) + customer.peer_rate)
                )
                customer.limiting_rate = min(customer.limiting_rate, rate_limit)
            server.units_by_customer = {key: units * 0.85 for key, units in users.items() if units > 0.05}
