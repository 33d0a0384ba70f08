"""Every decision of a gateway that holds customers to quotas: global tag throttling, with few exceptions.

How to call it: make one `Gateway(facts, seed, now)` for each edge node. `gateway.take(...)` gives a handle;
its calls `ended`, `begun`, `left` tell what happens to it. All else is told by `roster`, `counted`, `noted`,
`wake`; what is to be done comes from `take_results(now)`. Types: interface.py. The design: docs/design.md."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from merlintally.interface import CounterOutcome, LaneFacts, LoadReport, Outcome
from merlintally.interface import PlanFacts, Refusal, Results, ServerFacts, StartFacts
from merlintally.naming import count_name, phase
from merlintally.notes import ROW, told, unpack
from merlintally.ring import Ring, SampleRing
from merlintally.slow_start import SlowStart

USAGE_BUCKET_S = 0.4
USAGE_BUCKET_COUNT = 5
RECOMPUTE_INTERVAL_S = 0.25
SOFT_TARGET_FACTOR = 2.0  # total quota over reserved where more earns
UNREPORTED_SHARE = 0.2  # part of the store all may leave untold
UPDATE_FRESH_S = 0.3  # seconds for which the counter's answer is news
STALE_AFTER_S = 2.0  # unseen, until one is not fitted
FIRST_GUESS = 10  # answers for which the guess of a lane's answer time counts
KEEP = 60.0  # seconds of an epoch: a count is kept by name for as long
RIGHT = 1.0  # bursts that a count may lie below nothing drawn until it is put right
PACE = 300.0  # counter calls a second of all gateways at first
SLOW_ANSWER_SHARE = 0.5  # time-outs from which it is slow
RATE_FACTOR_FAILED = 0.7
RATE_FACTOR_SLOW = 0.9
RATE_FACTOR_QUICK = 1.1
RATE_RECOVERY_PER_S = 0.3
NOTE_MIN_INTERVAL_S = 0.05
MAX_NOTES_PER_S = 60.0
NOTES = (NOTE_MIN_INTERVAL_S, MAX_NOTES_PER_S)  # read by place in the laboratory
PEER_SILENT_AFTER_S = 1.0
PEER_GONE_AFTER_S = 10.0
EASY_LOAD_RATIO = 1.35
SATURATED = 1.6
MAX_LOAD_RATIO = 8.0
INITIAL_CONCURRENCY = 3.0  # at each server for all gateways together
MIN_CONCURRENCY_SHARE = 0.25  # the part always left
MIN_CANDIDATES = 4  # servers compared at the least
FAMILIAR = 5.0  # seconds for which an answer makes one known
HEADROOM_FACTOR = 1.0  # roots of the places to pass them by
CONCURRENCY_GROWTH = 0.2  # of the first, gained with an easy answer
JUDGED = 0.8  # the quantile of answer times by which servers are compared
MAX_RETRY_CREDIT = 2.0
RETRY_CREDIT_PER_ANSWER = 0.12
PATIENCE = 15.0  # mean answer times, divided by how slow the server is found, until an execution is timed out
EMPTY_SHARE_WEIGHT = 0.25  # weight of one first news in the share that tells of empty stores
EMPTY_SHARE_PENALTY = 8.0  # what that takes off
MAX_SKIPPED = 16  # pieces passed over in a line
DEADLINE_MARGIN_S = 0.03  # before a hard limit without a new one
HELD_UP = 0.15  # seconds for which a node may stand between reading its clock and writing, by the operators
WAKE_WAITING_S = 0.03
WAKE_OPEN_S = 0.1
WAKE_IDLE_S = 0.5
LOST = 0.25  # seconds after its time from which a wake-up counts as lost, and another is set
NO_QUOTA = PlanFacts("", 0, 0, 0, 0, 0, 0, 0, 0, 0)  # of plans never stated: nothing is let in


class Lane:
    """A row of the lane table: what the start facts say of a lane, and its measured answer time."""

    def __init__(self, facts: LaneFacts) -> None:
        self.quoted_time, self.gain, self.late_gain = facts.quoted_time, facts.gain, facts.late_gain
        self.effect, self.group, self.remembered = facts.effect, facts.discard_group, facts.remembered
        self.mean, self.floor, self.answers = facts.quoted_time / 6, facts.quoted_time / 6, FIRST_GUESS
        self.size = 1.0  # mean units

    def learn(self, elapsed: float, units: float) -> None:
        """Guards against a floor made of the few answers that come first, which are the short ones."""
        self.answers += 1  # the floor follows slowly: a slow spell must not become the floor
        self.mean += (elapsed - self.mean) / min(self.answers, 40)
        self.size += (units - self.size) / min(self.answers - FIRST_GUESS, 40)
        self.floor += (self.mean - self.floor) * (1 if self.answers < 40 or self.mean < self.floor else 5e-4)

    def relative(self, elapsed: float, units: float) -> float:
        """An answer time in floors. Guards against large pieces that look like slow servers."""
        return elapsed / self.floor * self.size / max(units, 0.01)


class Customer:
    """The throttler's sums for one customer, as far as this gateway can know them."""

    def __init__(self, key: str, plan: PlanFacts, gateways: int, now: float, uptime: float) -> None:
        self.key, self.plan, self.gateways = key, plan, gateways
        self.phase, self.soft = phase(key) * KEEP, plan.beyond_gain > plan.beyond_cost
        self.wall_shift = 0.0  # by which the clock that epochs are named by is ahead of `now`
        self.store = self.spare = plan.burst  # the second as last heard, above the burst where little is used
        self.limiting, self.others, self.untold, self.extra = float("inf"), 0.0, 0.0, 0.0
        self.heard, self.at, self.seen, self.sure = -KEEP, now, now, False
        self.mark, self.drawn = int(self.phase / KEEP * 2**32), 0.0  # in notes, and not yet told in one
        self.asked: float | None = None  # amount of the add that is on its way
        self.fresh, self.told = 0.0, 0.0  # units of whole submissions: not yet in an add, and in the last one
        self.out, self.name, self.total = 0, 0, 0.0  # the count last added to, what it was then; 0: unknown
        self.waiting: list[Submission] = []  # for the answer that is on its way
        self.requests, self.units = (
            Ring(USAGE_BUCKET_S, USAGE_BUCKET_COUNT),
            Ring(USAGE_BUCKET_S, USAGE_BUCKET_COUNT),
        )
        self.common, self.granted = plan.rate / self.gateways, max(plan.burst / self.gateways, 1.0)
        # Guards restarts: a part of the ceiling fills from empty since this gateway's start.
        self.part_rate, self.part_depth = plan.ceiling_rate / gateways, plan.ceiling_burst / gateways
        self.part = min(self.part_depth, self.part_rate * uptime)

    @property
    def average_cost(self) -> float:
        return self.units.total(self.at) / (self.requests.total(self.at) or float("inf")) or 1.0

    @property
    def target(self) -> float:
        return max(
            self.plan.rate, min(self.plan.rate * (SOFT_TARGET_FACTOR if self.soft else 1.0), self.limiting)
        )

    def advance(self, now: float) -> None:
        passed, self.at = max(0.0, now - self.at), now
        unseen = 0.0 if self.sure else self.others
        self.store = min(self.plan.burst, self.store + (self.plan.rate - unseen) * passed)
        cost, spare = self.average_cost, max(0.0, self.target - self.plan.rate) / self.gateways
        self.granted = min(self.granted + self.common * passed, max(2 * cost, self.common * 0.5))
        self.extra = min(self.extra + spare * passed, max(2 * cost, spare))
        self.part = min(self.part_depth, self.part + self.part_rate * passed)

    def short_of_ceiling(self, units: float) -> bool:
        return self.part_rate > 0 and self.part < units

    def inside(self, units: float, now: float) -> bool:
        """Whether there is room: in the store beyond what others may draw unseen, or by the common rate."""
        if self.plan.rate <= 0:
            return self.plan.open_limit > 0
        if now - self.heard >= KEEP and self.gateways > 1:
            return self.granted >= min(units, self.average_cost)
        age = NOTE_MIN_INTERVAL_S if self.sure else now - self.heard
        unseen = 0.0 if self.granted >= units else self.others * min(age, UPDATE_FRESH_S)
        return self.store >= units + unseen or (self.granted >= units and age > UPDATE_FRESH_S)

    def draw(self, units: float, now: float) -> None:
        self.seen, self.granted = now, max(0.0, self.granted - units)
        self.settle(units)
        self.fresh += units
        self.requests.add(now, 1.0)
        self.units.add(now, units)

    def settle(self, difference: float) -> None:
        self.store, self.spare = min(self.plan.burst, self.store - difference), self.spare - difference
        self.untold, self.drawn = self.untold + difference, self.drawn + difference

    def took_nothing(self, units: float) -> None:
        """Guards against a debt that is none: what was sent while the store was empty took nothing from it.
        Added by many, it had all refuse for as long as the store would have taken to fill by as much."""
        if units > 0:
            self.store, self.spare, self.untold = self.store + units, self.spare + units, self.untold - units

    def hear(self, drawn: float, now: float) -> None:
        """Another gateway's draws. What the store did not hold was beyond the quota, and took nothing."""
        self.advance(now)
        drawn = min(drawn, max(0.0, self.store))
        self.store, self.spare = min(self.plan.burst, self.store - drawn), self.spare - drawn

    def fit(self, now: float) -> None:
        """Move the common rate until summed use meets the target; a calm gateway keeps its even part."""
        self.advance(now)
        step = min(1.25, max(0.8, self.target / max(self.units.rate(now) + self.others, 0.01)))
        self.common = min(self.target, max(self.target / self.gateways, self.common * step))

    def room_out(self, now: float, answer_time: float) -> bool:
        """The cap on executions out at once: less what others are held to have out, or the even part."""
        limit, others = self.plan.open_limit, self.others / max(self.average_cost, 0.1) * answer_time
        return not limit or self.out < max(1, int(max(limit - others, limit / self.gateways)))

    def certain(self, units: float, now: float) -> bool:
        """Whether what was last heard decides: it is news, or others could not have changed that since."""
        age, could = now - self.heard, self.plan.rate * (now - self.heard)
        clear = age < KEEP and (self.spare - units >= could or self.spare + could < units)
        return (
            clear or age < (KEEP if self.sure else UPDATE_FRESH_S) or self.gateways < 2 or self.plan.rate <= 0
        )

    def epoch(self, now: float) -> tuple[int, float]:
        """The name of the count that holds now, and for how long it has; each epoch has one of its own."""
        number, passed = divmod(now + self.wall_shift + self.phase, KEEP)
        return count_name(self.key, int(number)), passed

    def news(self, total: float, added: float, now: float) -> None:
        """Take the count after `added`: the store lacks it, less what flowed back in this epoch."""
        self.advance(now)
        since, burst, used = now - self.heard, self.plan.burst, total - self.total - added
        # Guards against hundreds of gateways that each let one more in by their credit, where it is empty.
        self.granted = min(self.granted, max(burst / self.gateways, self.common * 0.5))
        level, self.heard = total - self.plan.rate * self.epoch(now)[1], now
        lacking = (
            burst - self.store if since < STALE_AFTER_S else min(added, burst - self.store)
        )  # old: no debt
        if added > 0 and total <= added * 1.000001:  # guards against one begun anew: put at what is known
            self.untold, self.total = self.untold + lacking - level, 0.0
            return
        if self.sure and since < KEEP:  # notes tell more than counts, which others may not have told yet
            return
        if self.total and used >= 0:
            self.others += (min(self.plan.rate, used / max(since, 0.02)) - self.others) * min(1.0, since)
        self.spare, self.total = burst - level - self.untold, total
        self.store = min(burst, self.spare)
        if -3 * RIGHT * burst < level < -RIGHT * burst:  # in steps: others may do so, too
            self.untold += min(RIGHT * burst, -level - RIGHT / 2 * burst)

    def idle(self, now: float) -> bool:
        """Whether forgetting it loses nothing."""
        self.advance(now)
        unseen, full = now - self.seen, self.store >= self.plan.burst
        filled = self.part >= self.part_depth  # else a ceiling would begin anew with more than is left of it
        return filled and not self.out and self.asked is None and unseen > (STALE_AFTER_S if full else KEEP)


class AppServer:
    def __init__(self, facts: ServerFacts, first: float) -> None:
        self.name, self.zone, self.cell, self.size = facts.server, facts.zone, facts.cell, facts.size
        self.first_places = first
        self.out: dict[tuple[int, int], tuple[float, Lane, float]] = {}
        self.renew(facts)

    def renew(self, facts: ServerFacts) -> None:
        self.presence, self.started = facts.presence, facts.started
        self.places, self.ratio, self.slow, self.credit = self.first_places, 1.0, 1.0, MAX_RETRY_CREDIT
        self.failing = self.usual = self.resume = self.waiting = 0.0  # usual: what most fellows fail, too
        self.waiting_at, self.answered_at = -1.0, -1.0
        self.samples, self.cost, self.spare = SampleRing(1.0, 6), dict[str, float](), 0

    def worth(self, now: float) -> float:
        good = min(1.0, 1 + self.usual - self.failing) * (self.presence == "on" and now >= self.resume)
        return self.places * good / self.slow

    def has_place(self, now: float) -> bool:
        return len(self.out) < max(1, int(worth)) if (worth := self.worth(now)) > 0 else False

    def expected(self, now: float) -> float:
        """How long the next piece should take here, in floors, with the chance of failing counted in."""
        queued = self.waiting * 0.2 / max(1.0, now - self.waiting_at)
        crowd = 1 + len(self.out) / max(1.0, self.places) + queued
        return self.ratio * self.slow * crowd / (1.05 - self.failing) ** 3

    def connected(self, now: float) -> bool:
        """Whether a connection stands idle here. Guards against handshakes, paid for over the whole fleet."""
        return self.spare > 0 and now - self.answered_at < FAMILIAR

    def answered(
        self,
        now: float,
        lane: Lane,
        outcome: Outcome,
        elapsed: float,
        units: float,
        report: LoadReport | None,
        growth: float,
        strain: float | None = None,
    ) -> None:
        """Guards against fast failures that attract work, and dead servers: the more fail, the more rest."""
        if report and "waiting" in report:
            self.waiting, self.waiting_at = report["waiting"], now
        relative = lane.relative(elapsed, units)
        self.spare = (self.spare if self.connected(now) else 0) + (outcome in ("ok", "error", "full"))
        if outcome in ("ok", "timed_out") or (outcome == "withdrawn" and relative > self.ratio):
            self.samples.add(now, relative)
            self.ratio += (relative - self.ratio) * min(0.4, max(0.12, (now - self.answered_at) / 12))
            self.answered_at = now
            if (strain or self.ratio) > SATURATED:
                self.places = max(MIN_CONCURRENCY_SHARE * self.first_places, self.places * 0.94)
        if outcome == "ok":
            lane.learn(elapsed, units)
            self.credit = min(MAX_RETRY_CREDIT, self.credit + RETRY_CREDIT_PER_ANSWER)
            self.failing *= 0.8
            if (strain or self.ratio) < EASY_LOAD_RATIO and len(self.out) + 1 >= int(self.places):
                self.places += growth
        elif outcome in ("error", "broken", "unreachable"):
            self.failing += (1 - self.failing) * 0.25
            self.resume = now + 2 * over if (over := self.failing - self.usual) > 0.3 else self.resume
        elif outcome == "full":
            self.resume, self.ratio = max(self.resume, now + 0.1), self.ratio * 1.05
            self.places = max(MIN_CONCURRENCY_SHARE * self.first_places, self.places * 0.7)


class Execution(NamedTuple):
    """Where and when one was sent; zone and group as they were then."""

    server: AppServer
    sent: float
    zone: str
    cell: int


class Submission:
    """The handle of one taken submission."""

    def __init__(
        self,
        gateway: Gateway,
        submission: int,
        lane: Lane,
        customer: Customer,
        units: float,
        now: float,
        time_left: float,
    ) -> None:
        self.gateway, self.id, self.lane, self.customer = gateway, submission, lane, customer
        self.units, self.count, self.taken, self.ends = units, 0, now, now + time_left - DEADLINE_MARGIN_S
        self.useful = min(now + lane.quoted_time - min(2 * lane.mean, 0.6 * lane.quoted_time), self.ends)
        self.out: dict[int, AppServer] = {}
        self.risky: dict[int, Execution] = {}  # those that may have run, or may be running
        self.closed = self.drawn = self.beyond = self.streaming = False
        self.refusal: Refusal | None = None  # why it was ended without an answer of a server

    @property
    def settled(self) -> bool:
        return self.closed and not self.out

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
        if (server := self.out.pop(number, None)) is None:
            return
        gateway = self.gateway
        server.out.pop((self.id, number), None)
        self.customer.out -= 1
        gateway.answers, gateway.out, units = gateway.answers + 1, gateway.out - 1, actual or self.units
        if outcome in ("ok", "timed_out"):
            gateway.strain += (
                min(MAX_LOAD_RATIO, self.lane.relative(elapsed, units)) - gateway.strain
            ) * 0.12
        scarce, waits = gateway.scarcity(now), any(gateway.lines.values())
        growth = CONCURRENCY_GROWTH * server.first_places / math.sqrt(1 - scarce) if waits else 0.0
        strain = gateway.strain if scarce else None
        server.answered(now, self.lane, outcome, elapsed, units, report, growth, strain)
        gateway.good.add(now, float(outcome == "ok"))
        if outcome in ("full", "unreachable", "moot"):  # it has surely never run
            self.risky.pop(number, None)
        if actual and self.drawn:
            self.customer.settle(actual - self.units)
        if over:
            self.left(now)
        if not self.closed and not self.out:
            gateway.again(now, self)
        gateway.pull(now)

    def begun(self, now: float, number: int) -> None:
        self.streaming = True

    def left(self, now: float) -> None:
        if not self.closed:
            self.gateway.close(self)

    def may_bounce(self) -> bool:
        lane = self.lane
        return not self.risky or lane.effect == "harmless" or (lane.effect, lane.group) == ("stamped", "all")

    def may_repeat(self, now: float) -> bool:
        """Rule 2 for a further execution, but for the server it goes to."""
        if not self.risky or self.lane.effect == "harmless":
            return True
        return self.lane.effect == "stamped" and now < self.begin_by(self.count)

    def begin_by(self, number: int) -> float:
        """Until when execution `number` may begin, by rules 1 and 2. Guards against a connection that comes
        up late, and a repeat that goes out on it when it is no longer remembered."""
        first = min((one.sent for at, one in self.risky.items() if at < number), default=None)
        if first is None or self.lane.effect != "stamped":
            return self.ends
        return min(self.ends, first + self.lane.remembered - HELD_UP - DEADLINE_MARGIN_S)


class Gateway:
    """One edge node's decisions."""

    def __init__(self, facts: StartFacts, seed: int, now: float) -> None:
        self.facts, self.random = facts, random.Random(seed)
        self.lanes = {row.name: Lane(row) for row in facts.lanes}
        self.plans = {plan.name: plan for plan in facts.plans}
        self.customers, self.marks = dict[str, Customer](), dict[int, Customer]()  # by key; by mark in notes
        self.servers, self.open = dict[str, AppServer](), dict[int, Submission]()
        self.slow_start = SlowStart(facts, self.random)
        self.asking = dict[int, Customer]()  # by the count that they wait for
        self.missed = dict[int, tuple[Customer, float, float]]()  # by count: adds without an answer in time
        self.empty = dict[str, float]()  # by plan: the share of first news with an empty store
        self.last = Lane(LaneFacts("", 1, 1, 0, 0, "one-shot", "cell", 0))  # unknown lanes; beyond the quota
        order = [*sorted(self.lanes.values(), key=lambda lane: -lane.gain), self.last]
        self.lines = {lane: deque[Submission]() for lane in order}  # served in this order
        self.pulls, self.good, self.alarm, self.results = Ring(0.25, 6), Ring(1.0, 10), 0.0, Results()
        self.pace, self.calls, self.crowded = (
            PACE / facts.gateways,
            1.0,
            SLOW_ANSWER_SHARE * facts.count_time_out,
        )
        self.answers, self.out, self.strain, self.worth, self.worth_at = 0, 0, 1.0, 1.0, -1.0
        self.started = self.paced_at = self.fitted = self.swept = now
        self.wall_shift = 0.0
        others, self.peers = facts.gateways - 1, dict[int, float]()  # when each was last heard
        self.sharing = facts.gateways  # how many of them send to one server
        self.noting = facts.may_note and 0 < facts.note_price * others * ROW.size / 256 < facts.count_price
        self.note_every, self.noted_at = max(NOTE_MIN_INTERVAL_S, others / MAX_NOTES_PER_S), now

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
    ) -> Submission:
        """Take a submission: admit it to the line, or refuse it at once."""
        lane = self.lanes.get(lane_name, self.last)
        if (customer := self.customers.get(key)) is None:
            plan, gateways = self.plans.get(plan_name, NO_QUOTA), max(1, gateways or self.facts.gateways)
            customer = self.customers[key] = Customer(key, plan, gateways, now, now - self.started)
            customer.wall_shift = self.wall_shift
            self.marks[customer.mark] = customer
            # Guards against hundreds of gateways that each let one in unasked where use beyond costs: the
            # more first news tell of empty stores, the fewer, down to the even part.
            likely = max(plan.burst / gateways, 1 - EMPTY_SHARE_PENALTY * self.empty.get(plan_name, 0.0))
            if not customer.soft and self.random.random() >= likely:
                customer.granted = plan.burst / gateways
        customer.sure = self._hears_all(now)
        handle = Submission(self, submission, lane, customer, units, now, time_left)
        self.open[submission] = handle
        if time_left <= DEADLINE_MARGIN_S:
            self.finish(now, handle, Refusal.NO_TIME)
        elif not self._ask(now, handle):
            self._decide(now, handle)
            self.pull(now)
        return handle

    def follow_wall(self, shift: float) -> None:
        """The wall clock is `shift` seconds ahead of `now` from here on. Guards against gateways that started
        before it was stepped and after, and would name the counts of one customer otherwise."""
        self.wall_shift = shift
        for customer in self.customers.values():
            customer.wall_shift = shift

    def share(self, gateways: int) -> None:
        """So many gateways send to one server from now on: each has its part of the places there."""
        factor, self.sharing, self.worth_at = self.sharing / gateways, gateways, -1.0
        for server in self.servers.values():
            server.first_places, server.places = server.first_places * factor, server.places * factor

    def roster(self, now: float, entries: Iterable[ServerFacts], complete: bool) -> None:
        for server in self.servers.values() if complete else ():
            server.presence = "gone"
        for entry in entries:
            one = self.servers.setdefault(entry.server, AppServer(entry, INITIAL_CONCURRENCY / self.sharing))
            if entry.started > one.started:
                one.renew(entry)
            one.presence, one.zone, one.cell, one.size = entry.presence, entry.zone, entry.cell, entry.size
            self.worth_at = -1.0
        # Guards against machines replaced for months, which would count as ones without places.
        self.servers = {name: one for name, one in self.servers.items() if one.presence != "gone" or one.out}
        self.slow_start.listed(now, [one.size for one in self.servers.values()])
        self.pull(now)

    def counted(self, now: float, name: int, outcome: CounterOutcome, total: float, elapsed: float) -> None:
        """The counter has answered an add, or not in time; the pace spares a slow counter."""
        customer = self.asking.pop(name, None)
        if customer is None or customer.asked is None:
            return
        added, customer.asked, first = customer.asked, None, now - customer.heard >= KEEP
        if outcome == "ok":
            customer.news(total, added, now)
            if first:
                empty = self.empty.get(customer.plan.name, 0.0)
                self.empty[customer.plan.name] = empty + ((customer.spare < 0) - empty) * EMPTY_SHARE_WEIGHT
            self.pace = min(
                PACE, self.pace * (RATE_FACTOR_SLOW if elapsed > self.crowded else RATE_FACTOR_QUICK)
            )
        else:  # an add without an answer may have counted and is not told again
            self.pace *= RATE_FACTOR_FAILED if outcome != "timed_out" or elapsed > self.crowded else 1
            customer.untold += added if outcome != "timed_out" else 0.0
        waiting, customer.waiting = customer.waiting, []
        sent = customer.told - sum(one.units for one in waiting if one.drawn)
        for handle in waiting:
            if not handle.closed:
                self._decide(now, handle)
        if outcome == "ok" and not customer.sure:
            customer.took_nothing(min(sent, -customer.store))
        elif outcome == "timed_out":
            unsent = sum(one.units for one in waiting if one.closed and not one.count)
            self.missed[name] = customer, added, customer.told - unsent
        wrong = customer.untold < 0 or customer.untold > RIGHT / 2 * customer.plan.burst
        self._tell(now, customer, outcome == "ok" and wrong)
        self.pull(now)

    def counted_late(self, now: float, name: int, total: float) -> None:
        """The answer to an add that was given up. Guards against a crowded counter whose answers all come
        a little late, and tell nobody anything: this one's submissions are decided, the next are not."""
        customer, added, sent = self.missed.pop(name, (None, 0.0, 0.0))
        if customer is not None and customer.asked is None and name == customer.name:
            customer.news(total, added, now)
            customer.took_nothing(min(sent, -customer.store))

    def noted(self, now: float, peer: int, payload: bytes) -> None:
        """Another gateway tells what it has drawn of its customers."""
        self.peers[peer] = now
        for mark, drawn in unpack(payload):
            if customer := self.marks.get(mark):
                customer.hear(drawn, now)

    def _hears_all(self, now: float) -> bool:
        """Whether each of the others that is there has told something lately: little is drawn unseen."""
        ages = [now - at for at in self.peers.values() if now - at < PEER_GONE_AFTER_S]
        return self.noting and 0 <= max(ages, default=-1.0) < PEER_SILENT_AFTER_S

    def wake(self, now: float) -> None:
        if now < self.alarm - 0.0005:
            return  # an earlier alarm took this one's place
        self.alarm = 0.0
        if now - self.fitted >= RECOMPUTE_INTERVAL_S * (1 if self.answers > len(self.servers) / 4 else 4):
            self.fitted, self.answers = now, 0
            self._judge(now)
            self._limit(now)
            for customer in self.customers.values():
                if now - customer.seen < STALE_AFTER_S:
                    customer.fit(now)
        if now - self.swept >= KEEP / 8:
            self.swept = now
            self.customers = {key: one for key, one in self.customers.items() if not one.idle(now)}
            self.marks, self.missed = {one.mark: one for one in self.customers.values()}, {}
        self._expire(now)
        self.pull(now)
        for customer in self.customers.values() if self._may_call(now, True) else ():
            if customer.untold and now - customer.seen < KEEP / 4:
                self._tell(now, customer)

    def take_results(self, now: float) -> Results:
        """What is to be done since the last time; always leaves a wake-up set, soon while something waits."""
        due = self.noting and now - self.noted_at >= self.note_every
        if due and ((note := told(self.customers.values())) or now - self.noted_at > PEER_SILENT_AFTER_S / 2):
            self.results.notes.append(note)  # where empty it tells that this gateway is here
            self.noted_at = now
        soon = any(self.lines.values()) or self.asking
        after = WAKE_WAITING_S if soon else WAKE_OPEN_S if self.open else WAKE_IDLE_S
        lost = now - self.alarm > LOST  # guards against none for good, where one was passed over as too early
        if not self.alarm or lost or now + after < self.alarm - 0.0005:
            self.alarm, self.results.wake_after = now + after, after
        results, self.results = self.results, Results()
        return results

    def _ask(self, now: float, handle: Submission) -> bool:
        """Whether it waits for the counter: news are too old. The add claims units likely to be there."""
        customer, latest = handle.customer, handle.useful - 2 * self.facts.count_time_out
        customer.advance(now)
        if not self.facts.may_count or now > latest or customer.certain(handle.units, now):
            return False
        if customer.asked is None:
            if not self._may_call(now, customer.soft):  # use beyond the quota costs little there
                return False
            if customer.store >= handle.units:
                self._draw(now, handle, True)
            self._call(now, customer)
        customer.waiting.append(handle)
        return True

    def _decide(self, now: float, handle: Submission) -> None:
        """Admit to the line, or refuse at once. A claim stands while the store is not overdrawn by it."""
        customer, units = handle.customer, handle.units
        customer.advance(now)
        if handle.drawn and customer.store < -0.01:
            self._draw(customer.at, handle, False)
        inside = handle.drawn or customer.inside(units, now)
        ahead = sum(len(queue) for lane, queue in self.lines.items() if lane.gain >= handle.lane.gain)
        served = max(1.0, self.pulls.rate(now), self.scarcity(now) * self.allowed(now) / handle.lane.mean)
        late = ahead / served > handle.useful - now
        if not inside and customer.soft and customer.extra >= units and not any(self.lines.values()):
            customer.extra -= units
            handle.beyond = True
        if late:
            return self.finish(now, handle, Refusal.LATE)  # refused early, too
        if customer.short_of_ceiling(units):
            return self.finish(now, handle, Refusal.CEILING)
        if not (inside or handle.beyond):
            return self.finish(now, handle, Refusal.BEYOND_QUOTA)
        if inside and not handle.drawn:
            self._draw(now, handle, True)
        self._queue(handle, False)
        self._tell(now, customer)

    def _draw(self, now: float, handle: Submission, drawn: bool) -> None:
        """Draw a submission's units from the store, or give them back: it is not sent on."""
        handle.drawn, customer = drawn, handle.customer
        customer.draw(handle.units, now) if drawn else customer.settle(-handle.units)

    def _tell(self, now: float, customer: Customer, urgent: bool = False) -> None:
        free = self.facts.may_count and customer.asked is None and customer.gateways > 1
        cost = customer.average_cost
        least = min(UNREPORTED_SHARE * max(customer.store, cost) / customer.gateways, cost / 2)
        if free and abs(customer.untold) >= least and (urgent or self._may_call(now, True)):
            self._call(now, customer)

    def _may_call(self, now: float, telling: bool = False) -> bool:
        """Pace and calls out follow the answers: where slow, they pile up. Telling leaves one to ask."""
        passed, self.paced_at = now - self.paced_at, now
        if self.pace < (part := PACE / self.facts.gateways):  # failures must not bring it to nothing
            self.pace = min(part, self.pace + RATE_RECOVERY_PER_S * part * passed)
        self.calls = min(self.pace * 0.25 + 2, self.calls + passed * self.pace)
        return self.calls >= 1 + telling and len(self.asking) < 1 + self.pace * self.crowded / 2

    def _call(self, now: float, customer: Customer) -> None:
        self.calls -= 1
        name = customer.epoch(now)[0]
        if name != customer.name:
            customer.name, customer.total = name, 0.0
        self.asking[name], customer.asked, customer.untold = customer, customer.untold, 0.0
        customer.told, customer.fresh = customer.fresh, 0.0
        self.results.adds.append((name, customer.asked, KEEP))

    def finish(self, now: float, handle: Submission, why: Refusal) -> None:
        """End a submission without an answer of a server: bounced where that is safe, else given up."""
        handle.refusal, customer, limit = why, handle.customer, self.facts.retry_after_limit
        if handle.may_bounce():  # the time named is when the store should hold the units again
            lacking = handle.units - max(0.0, min(customer.store, customer.granted))
            wait = lacking / customer.common if min(lacking, customer.common) > 0 else limit / 4
            self.results.bounced.append((handle.id, min(limit, max(0.05, wait))))
        else:
            self.results.given_up.append(handle.id)
        self.close(handle)

    def close(self, handle: Submission) -> None:
        handle.closed, customer = True, handle.customer
        self.open.pop(handle.id, None)
        if handle.drawn and not handle.count:
            self._draw(customer.at, handle, False)
        if self.facts.may_withdraw and not handle.streaming:
            self.results.withdrawn.extend((handle.id, number) for number in handle.out)

    def again(self, now: float, handle: Submission) -> None:
        lane, spent = handle.lane, now >= handle.ends or handle.count >= self.facts.most_executions
        late = now > handle.useful and (lane.late_gain <= 0 or now + lane.floor > handle.ends)
        if late or spent or not handle.may_repeat(now):
            self.finish(now, handle, Refusal.NOT_AGAIN)
        else:
            handle.useful = max(handle.useful, min(now + lane.mean, handle.ends))
            self._queue(handle, True)

    def _queue(self, handle: Submission, first: bool) -> None:
        line = self.lines[self.last if handle.beyond else handle.lane]
        line.insert(0 if first else len(line), handle)

    def places(self, now: float) -> float:
        """All places of this gateway, at the least one; summed up now and then."""
        if now - self.worth_at > 0.05:
            self.worth, self.worth_at = max(1.0, sum(one.worth(now) for one in self.servers.values())), now
        return self.worth

    def scarcity(self, now: float) -> float:
        """How far places fall short of one a server: near 1 with hundreds of gateways, 0 with few."""
        each = self.places(now) / max(1, len(self.servers))
        return max(0.0, 1 - max(INITIAL_CONCURRENCY / self.sharing, each))

    def allowed(self, now: float) -> float:
        """How many executions may be out: scarce places get a headroom for chance, and give way to strain."""
        places, scarce = self.places(now), self.scarcity(now)
        strained = float(max(1.0, self.strain / SATURATED) ** (2 * scarce))
        return max(1.0, (places + HEADROOM_FACTOR * scarce * math.sqrt(places)) / strained)

    def pull(self, now: float) -> None:
        if not any(self.lines.values()):
            return
        room = self.allowed(now) - self.out
        free = [server for server in self.servers.values() if server.has_place(now)] if room >= 0.5 else []
        for queue in self.lines.values():
            kept: list[Submission] = []
            while queue and len(kept) < MAX_SKIPPED and room >= 0.5 and free:
                handle = queue.popleft()
                if handle.closed or handle.out:
                    continue
                first, customer = not handle.count, handle.customer
                blocked = first and not customer.room_out(now, handle.lane.mean)
                if now >= handle.useful:
                    self.finish(now, handle, Refusal.WAITED)
                elif first and customer.short_of_ceiling(handle.units):
                    self.finish(now, handle, Refusal.CEILING)
                elif blocked or not (server := self._send_best(now, handle, free)):
                    kept.append(handle)
                else:
                    room -= 1
                    if not server.has_place(now):
                        free.remove(server)
            queue.extendleft(reversed(kept))

    def _send_best(self, now: float, handle: Submission, free: list[AppServer]) -> AppServer | None:
        """Send to the one expected to answer first; with few places, of those known and a few others."""
        best, lowest, some = None, float("inf"), max(MIN_CANDIDATES, int(self.places(now)))
        tried = [one.server for one in handle.risky.values()]
        if not handle.count and len(free) > some:
            known = [server for server in free if now - server.answered_at < FAMILIAR]
            free = self.random.sample(free, some) + known
        for server in free:
            if handle.count and (server.credit < 1 or (server in tried and len(free) > 1)):
                continue
            expected = server.expected(now) * (1 + 0.05 * self.random.random())
            expected += self.facts.cross_zone_price * 4 * (server.zone != self.facts.zone)
            expected += self.facts.handshake_price * 2 * (not server.connected(now))
            if expected < lowest and self._may_send(now, handle, server) is None:
                best, lowest = server, expected
        if best is not None:
            self._send(now, handle, best)
        return best

    def _may_send(self, now: float, handle: Submission, server: AppServer) -> str | None:
        """All rules, for every send: the name of the one that forbids it, or None."""
        lane, facts = handle.lane, self.facts
        if handle.closed or now >= handle.ends or handle.count >= facts.most_executions:
            return "one final answer"
        if (handle.out and not facts.parallel) or not handle.may_repeat(now):
            return "no effect twice"
        if lane.effect == "stamped" and lane.group != "all":
            for other in handle.risky.values():
                if other.zone != server.zone or (lane.group == "cell" and other.cell != server.cell):
                    return "no effect twice"
        if server.presence != "on":
            return "drains"
        if not self._cold_room(now, server):
            return "cold server"
        handle.customer.advance(now)
        return "ceiling" if not handle.count and handle.customer.short_of_ceiling(handle.units) else None

    def _cold_room(self, now: float, server: AppServer) -> bool:
        return self.slow_start.room(now, server, self.good.rate(now))

    def _send(self, now: float, handle: Submission, server: AppServer) -> None:
        number, customer = handle.count, handle.customer
        server.credit -= 1 if number else 0
        customer.part -= 0 if number else handle.units
        handle.count += 1
        handle.out[number] = server
        handle.risky[number] = Execution(server, now, server.zone, server.cell)
        server.out[(handle.id, number)] = (now, handle.lane, handle.units)
        self.slow_start.sent(server.name, server.started)
        server.spare = max(0, server.spare - 1)
        server.cost[customer.key] = server.cost.get(customer.key, 0.0) + handle.units
        customer.out, self.out = customer.out + 1, self.out + 1
        self.pulls.add(now, 1.0)
        self.results.sends.append((handle.id, server.name, self._patience(now, handle, server)))

    def _patience(self, now: float, handle: Submission, server: AppServer) -> float:
        """The time-out while another could be in time, or 0. Guards against stalls; credit bounds harm."""
        mean, in_time = handle.lane.mean, min(handle.taken + handle.lane.quoted_time, handle.ends)
        wait = PATIENCE * mean / server.slow
        another = handle.lane.effect != "one-shot" and handle.count < self.facts.most_executions
        return wait if another and now + wait + mean < in_time else 0.0

    def _expire(self, now: float) -> None:
        """End early what waits, in line or for the counter, and can no longer be in time."""
        queues = [*self.lines.values(), *(customer.waiting for customer in self.asking.values())]
        for handle in [one for queue in queues for one in queue if now >= one.useful and not one.closed]:
            self.finish(now, handle, Refusal.WAITED)

    def _judge(self, now: float) -> None:
        """By a high quantile of answer times beside the fellows'; what is out for long is a sample, too."""
        quantiles = {}
        for server in self.servers.values():
            out = [(now - sent, lane, units) for sent, lane, units in server.out.values()]
            ages = [lane.relative(age, units) for age, lane, units in out if age > lane.mean]
            samples = sorted(server.samples.values(now) + ages)
            if samples:
                quantiles[server.name] = (samples[int(JUDGED * (len(samples) - 1) + 0.5)], len(samples))
        usual = sorted([one.failing for one in self.servers.values()] or [0.0])[len(self.servers) // 4]
        middle = max(1.0, median([value for value, _ in quantiles.values()] or [1.0]))
        for server in self.servers.values():
            value, number = quantiles.get(server.name, (middle, 0))
            server.usual, server.slow = usual, max(1.0, (value / middle) ** (number / (number + 4)) / 1.3)

    def _limit(self, now: float) -> None:
        """The limiting rates: ratio x cost sent, split by quota, least over servers, worst zone ignored."""
        ratios = {one: SATURATED / one.ratio for one in self.servers.values() if one.ratio > SATURATED}
        many = len({one.zone for one in self.servers.values()}) > 1
        worst = min(ratios, key=lambda one: (ratios[one], one.name)).zone if ratios and many else None
        for customer in self.customers.values():
            customer.limiting = float("inf")
        for server in self.servers.values():
            users = {key: units for key, units in server.cost.items() if key in self.customers}
            quotas = sum(self.customers[key].plan.rate for key in users) or 1.0
            allowed = ratios.get(server, 0.0) * sum(users.values()) / quotas
            for key, units in users.items() if allowed and server.zone != worst else ():
                customer = self.customers[key]
                share = allowed * customer.plan.rate / units * (customer.units.rate(now) + customer.others)
                customer.limiting = min(customer.limiting, share)
            server.cost = {key: units * 0.85 for key, units in users.items() if units > 0.05}
