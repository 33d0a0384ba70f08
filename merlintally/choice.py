"""Every decision of a gateway that holds customers to their quotas: global tag throttling, with few exceptions.

How to call it: make one `Gateway(facts, seed, now)` for each edge node. `gateway.take(...)` returns a handle, a
`Submission`; all that happens to it later is a call on that handle: `ended`, `begun`, `left`. The server list, counter
answers, peer notes and wake-ups are calls on the gateway: `roster`, `counted`, `noted`, `wake`. Every call is given
`now` in seconds. What is to be done lies in `gateway.take_results(now)`, in the plain rows of merlintally/interface.py,
where all types that come in are found too. docs/design.md tells what is kept of the design and when exceptions act.

Order of this file: tuned values, lanes, customers (the throttler), app servers, submissions, the gateway.
"""

from __future__ import annotations

import hashlib
import random
from collections import deque
from collections.abc import Iterable
from statistics import median

from merlintally.interface import (
    CounterOutcome,
    Effect,
    Group,
    LaneFacts,
    LoadReport,
    Outcome,
    PlanFacts,
    Results,
    ServerFacts,
    StartFacts,
)
from merlintally.ring import Ring, SampleRing

# Throttler
FOLD = 0.4  # seconds a bucket of the smoothers; they cover FOLDS of them
FOLDS = 5
FIT = 0.25  # seconds between the sums over all customers and servers
SOFT = 2.0  # total quota over reserved on plans that earn more beyond the quota than it costs
TELL = 0.15  # own use not yet told, as a part of the modelled store, that is worth a call to the counter
HEAR = 0.3  # seconds after which a customer short of store asks for news
STALE = 2.0  # seconds without news after which the others are held to use target / gateways each
KEEP = 60.0  # seconds a count is kept by name
PACE = (40.0, 4.0, 400.0)  # counter calls a second: at the start, at the least, at the most
# Servers and line
SATURATED = 1.8  # answer times over their own floor from which a server counts as near saturation
EASY = 1.3  # below this a server that is kept full gets more places
FIRST_PLACES = 4.0  # at each server for all gateways together
LEAST_PLACES = 0.25  # of one gateway at a server: below 1 only some servers get a piece at a time
JUDGED = 0.8  # the quantile of answer times by which servers are compared
CREDIT = (2.0, 0.12)  # further executions a server may get: at most, and earned with each good answer
PATIENCE = (4.0, 2.0)  # mean answer times before a further execution: at a fair server, at one found slow
COLD_SAFETY = 0.6  # part of the stated budget of a cold server that is used
MARGIN = 0.03  # seconds before a hard limit at which nothing new is begun
TICK = (0.02, 0.2)  # seconds between wake-ups while submissions are open, and else
NEVER_RAN = ("full", "unreachable", "moot")


class Lane:
    """A row of the lane table: what the start facts say of a lane, and its measured answer time."""

    __slots__ = ("quoted_time", "gain", "late_gain", "effect", "group", "remembered", "mean", "floor", "answers")

    def __init__(self, facts: LaneFacts) -> None:
        self.quoted_time, self.gain, self.late_gain = facts.quoted_time, facts.gain, facts.late_gain
        self.effect: Effect = facts.effect
        self.group: Group = facts.discard_group
        self.remembered = facts.remembered
        self.mean = self.floor = facts.quoted_time / 6
        self.answers = 0

    def learn(self, elapsed: float) -> None:
        """Follow the mean answer time quickly and its floor slowly, so that a slow hour does not become the floor."""
        self.answers += 1
        self.mean += (elapsed - self.mean) / min(self.answers, 40)
        if self.answers < 40:
            self.floor = self.mean
        self.floor = min(self.mean, self.floor + (self.mean - self.floor) * 0.0005)


class Customer:
    """The throttler's sums for one customer, as far as this gateway can know them."""

    __slots__ = (
        "key", "plan", "gateways", "soft", "store", "others", "heard", "at", "requests", "units", "common", "granted",
        "extra", "limiting", "ceiling_part", "ceiling_depth", "untold", "asked", "total", "out", "parked", "seen",
        "projected", "name", "silent",
    )

    def __init__(self, key: str, plan: PlanFacts, gateways: int, now: float, uptime: float) -> None:
        self.key, self.plan, self.gateways = key, plan, max(1, gateways)
        self.soft = plan.beyond_gain > plan.beyond_cost
        self.store = plan.burst
        self.others = 0.0
        self.silent: float | None = None  # since when asking has brought no answer
        self.heard = self.at = self.seen = now
        self.requests, self.units = Ring(FOLD, FOLDS), Ring(FOLD, FOLDS)
        self.common = plan.rate / self.gateways
        self.granted = self.extra = 0.0
        self.limiting = float("inf")
        # Guard for restarts: a part of the ceiling fills from empty since this gateway's start, never from full.
        self.ceiling_depth = plan.ceiling_burst / self.gateways
        self.ceiling_part = min(self.ceiling_depth, plan.ceiling_rate / self.gateways * uptime)
        self.untold = self.projected = 0.0
        self.asked: float | None = None
        self.total: float | None = None
        self.out = 0
        self.parked: deque[Submission] = deque()
        self.name = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=7).digest(), "big")

    @property
    def average_cost(self) -> float:
        """Smoothed units a request."""
        requests = self.requests.total(self.at)
        return self.units.total(self.at) / requests if requests > 0 else 1.0

    @property
    def target(self) -> float:
        """target = max(reserved, min(desired, limiting)), in units a second."""
        reserved = self.plan.rate
        desired = reserved * SOFT if self.soft else reserved
        return max(reserved, min(desired, self.limiting))

    def others_rate(self, now: float) -> float:
        """The others' use as last learned; without news it goes over to their part of target / gateways."""
        unheard = 0.0 if self.silent is None else min(1.0, (now - self.silent) / STALE)
        fair = self.plan.rate * (self.gateways - 1) / self.gateways
        return self.others + (fair - self.others) * unheard

    def advance(self, now: float) -> None:
        """Let the modelled stores fill, and the others draw as projected."""
        passed = now - self.at
        if passed <= 0:
            return
        self.at = now
        drawn = self.others_rate(now) * passed
        self.projected += drawn
        self.store = min(self.plan.burst, self.store + self.plan.rate * passed - drawn)
        self.granted = min(self.granted + self.common * passed, max(2 * self.average_cost, self.common * 0.5))
        spare = max(0.0, self.target - self.plan.rate) / self.gateways
        self.extra = min(self.extra + spare * passed, max(2 * self.average_cost, spare))
        part_rate = self.plan.ceiling_rate / self.gateways
        self.ceiling_part = min(self.ceiling_depth, self.ceiling_part + part_rate * passed)

    def inside(self, units: float, now: float) -> bool:
        """Whether the quota has room: the burst store lies under the common rate.

        While the store holds more than the others may have drawn unseen, it alone decides; when it is short, the
        common rate binds, which curbs only the busiest gateways.
        """
        self.advance(now)
        if self.plan.rate <= 0:
            return self.plan.open_limit > 0
        unseen = self.others_rate(now) * min(now - self.heard, HEAR)
        return self.store >= units + unseen or (self.store >= units and self.granted >= units)

    def draw(self, units: float, now: float) -> None:
        self.seen = now
        self.store -= units
        self.granted = max(0.0, self.granted - units)
        self.untold += units
        self.requests.add(now, 1.0)
        self.units.add(now, units)

    def settle(self, difference: float) -> None:
        """Correct the quota's store by what an answer says was really used; the ceiling goes by the guess."""
        self.store = min(self.plan.burst, self.store - difference)
        self.untold += difference

    def fit(self, now: float) -> None:
        """Move the common rate until summed use meets the target; a calm gateway is never below its even part."""
        self.advance(now)
        target = self.target
        summed = self.units.rate(now) + self.others_rate(now)
        step = min(1.25, max(0.8, target / summed)) if summed > 0 else 1.25
        self.common = min(target, max(target / self.gateways, self.common * step))

    def room_out(self, now: float, answer_time: float) -> bool:
        """The cap on executions out at once: the limit less what the others are held to have out, or the even part."""
        limit = self.plan.open_limit
        if not limit:
            return True
        others = self.others_rate(now) / max(self.average_cost, 0.1) * answer_time
        return self.out < max(1, int(max(limit - others, limit / self.gateways)))

    def news(self, total: float, added: float, now: float, uptime: float) -> None:
        """Take the counter's total after `added`; what is not ours since the last answer is the others' use.

        Guards against a count that began anew (expired, or a counter that came back empty): a total below what must
        be there is no low use. What was projected then stands, and the rate with it.
        """
        self.advance(now)
        since = max(now - self.heard, 0.02)
        if self.total is None:
            self.others = min(self.plan.rate, max(0.0, total - added) / max(uptime, 1.0))
        elif total >= self.total + added - 1e-3 * abs(total):
            used = total - self.total - added
            self.store = min(self.plan.burst, max(self.store + self.projected - used, -self.average_cost))
            self.others += (used / since - self.others) * min(1.0, since)
        self.total, self.heard, self.projected, self.silent = total, now, 0.0, None

    def idle(self, now: float) -> bool:
        """Whether forgetting it loses nothing: all stores full again, nothing out, nothing to tell."""
        refill = self.plan.burst / self.plan.rate if self.plan.rate > 0 else 1.0
        part = self.ceiling_depth * self.gateways / self.plan.ceiling_rate if self.plan.ceiling_rate > 0 else 0.0
        quiet = now - self.seen > 2.0 + max(refill * self.gateways, part)
        return quiet and not self.out and not self.parked and self.asked is None


class AppServer:
    """What this gateway has seen of one app server."""

    __slots__ = (
        "name", "zone", "cell", "presence", "started", "size", "places", "out", "ratio", "samples", "failing", "resume",
        "credit", "good", "sent", "slow", "cost", "refusals", "waiting", "waiting_at", "first_places",
    )

    def __init__(self, facts: ServerFacts, first_places: float) -> None:
        self.first_places = first_places
        self.name, self.zone, self.cell, self.size = facts.server, facts.zone, facts.cell, facts.size
        self.out: dict[tuple[int, int], tuple[float, Lane]] = {}
        self.renew(facts)

    def renew(self, facts: ServerFacts) -> None:
        """Begin anew: a server that has restarted keeps nothing of its past but what is still out."""
        self.presence, self.started = facts.presence, facts.started
        self.places, self.ratio, self.failing, self.resume = self.first_places, 1.0, 0.0, 0.0
        self.samples = SampleRing(1.0, 6)
        self.good, self.sent = Ring(0.5, 6), Ring(0.25, 20)
        self.credit, self.slow, self.refusals = CREDIT[0], 1.0, 0.0
        self.cost: dict[str, float] = {}
        self.waiting, self.waiting_at = 0.0, -1.0

    def worth(self, now: float) -> float:
        """Its places after what is held against it."""
        if self.presence != "on" or now < self.resume:
            return 0.0
        return self.places * (1 - self.failing) / self.slow

    def has_place(self, now: float) -> bool:
        worth = self.worth(now)
        return worth > 0 and len(self.out) < max(1, int(worth))

    def expected(self, now: float) -> float:
        """How long the next piece should take here, in floors, with the chance of failing counted in."""
        queued = self.waiting * 0.2 if now - self.waiting_at < 1.0 else 0.0
        return self.ratio * self.slow * (1 + len(self.out) / max(1.0, self.places) + queued) / (1.05 - self.failing) ** 3

    def answered(self, now: float, lane: Lane, outcome: Outcome, elapsed: float, report: LoadReport | None) -> None:
        """Learn from an execution's end.

        Guards against fast failures that attract work, and servers that are dead but listed: each failure keeps new
        work away for longer the larger the failing share, so that single pieces try it again. It would harm if all
        failed at once; then the line waits for the pauses to end.
        """
        if report and "waiting" in report:
            self.waiting, self.waiting_at = report["waiting"], now
        relative = elapsed / lane.floor
        if outcome in ("ok", "timed_out") or (outcome == "withdrawn" and relative > self.ratio):
            self.samples.add(now, relative)
            self.ratio += (relative - self.ratio) * 0.12
        if outcome == "ok":
            lane.learn(elapsed)
            self.good.add(now, 1.0)
            self.credit = min(CREDIT[0], self.credit + CREDIT[1])
            self.failing *= 0.8
            self.refusals *= 0.9
            if self.ratio < EASY and len(self.out) + 1 >= int(self.places):
                self.places += 0.25
        elif outcome in ("error", "broken", "unreachable"):
            self.failing += (1 - self.failing) * 0.25
            if self.failing > 0.3:
                self.resume = now + 2 * self.failing
        elif outcome == "full":
            self.refusals += (1 - self.refusals) * 0.1
            self.places = max(LEAST_PLACES, self.places * 0.7)
            self.resume = max(self.resume, now + 0.1)
        if self.ratio > SATURATED and outcome in ("ok", "timed_out"):
            self.places = max(LEAST_PLACES, self.places * 0.94)

    def throttling_ratio(self) -> float | None:
        """Empty while no measure is near saturation; else the part of the present cost that it can serve."""
        if self.ratio <= SATURATED and self.refusals < 0.1:
            return None
        return min(2.0, SATURATED / self.ratio, 1 - self.refusals)


class Submission:
    """The handle of one taken submission."""

    __slots__ = (
        "gateway", "id", "lane", "customer", "units", "taken", "ends", "useful", "out", "count", "risky", "closed",
        "beyond", "streaming",
    )

    def __init__(self, gateway: Gateway, submission: int, lane: Lane, customer: Customer, units: float,
                 now: float, time_left: float) -> None:
        self.gateway, self.id, self.lane, self.customer, self.units = gateway, submission, lane, customer, units
        self.taken, self.ends = now, now + time_left - MARGIN
        self.useful = min(now + lane.quoted_time - lane.floor, self.ends)
        self.out: dict[int, tuple[AppServer, float]] = {}
        self.risky: dict[int, tuple[AppServer, float]] = {}  # executions that may have run, or may be running
        self.count = 0
        self.closed = self.beyond = self.streaming = False

    @property
    def settled(self) -> bool:
        """Whether nothing more can come for it."""
        return self.closed and not self.out

    def ended(self, now: float, number: int, outcome: Outcome, elapsed: float, over: bool, actual: float = 0.0,
              report: LoadReport | None = None) -> None:
        """An execution has ended; `over` says that the submission has its final answer."""
        execution = self.out.pop(number, None)
        if execution is None:
            return
        server, gateway = execution[0], self.gateway
        server.out.pop((self.id, number), None)
        self.customer.out -= 1
        server.answered(now, self.lane, outcome, elapsed, report)
        if outcome in NEVER_RAN:
            self.risky.pop(number, None)
        if actual:
            self.customer.settle(actual - self.units)
            gateway.untold[self.customer.key] = self.customer
        if over and not self.closed:
            self.closed = True
            gateway.close(self)
        if not self.closed and not self.out:
            gateway.again(now, self)
        gateway.pull(now)

    def begun(self, now: float, number: int) -> None:
        """The answer has begun to stream: it belongs to the client now."""
        self.streaming = True

    def left(self, now: float) -> None:
        """The client is gone, nothing is owed any more."""
        if not self.closed:
            self.closed = True
            self.gateway.close(self)

    def may_bounce(self) -> bool:
        """Rule 2 for bounces: a retry must be safe."""
        if not self.risky or self.lane.effect == "harmless":
            return True
        return self.lane.effect == "stamped" and self.lane.group == "all"


class Gateway:
    """One edge node's decisions."""

    def __init__(self, facts: StartFacts, seed: int, now: float) -> None:
        self.facts = facts
        self.random = random.Random(seed)
        self.started = now
        self.lanes = {row.name: Lane(row) for row in facts.lanes}
        self.plans = {plan.name: plan for plan in facts.plans}
        self.customers: dict[str, Customer] = {}
        self.names: dict[int, Customer] = {}
        self.untold: dict[str, Customer] = {}
        self.holding: dict[str, Customer] = {}  # customers with parked submissions
        self.servers: dict[str, AppServer] = {}
        order = sorted(self.lanes.values(), key=lambda lane: -lane.gain)
        self.lines: list[tuple[Lane | None, deque[Submission]]] = [(lane, deque()) for lane in order]
        self.lines.append((None, deque()))  # beyond the quota: only when nobody inside waits
        self.open: dict[int, Submission] = {}
        self.pulls = Ring(0.25, 6)
        self.pace = self.calls = PACE[0]
        self.paced_at = now
        self.fitted = self.swept = now
        self.fellow_rate = 0.0
        self.woken = False
        self.results = Results()

    # What happens to the gateway

    def take(self, now: float, submission: int, lane_name: str, key: str, plan_name: str, time_left: float,
             units: float, gateways: int) -> Submission:
        """Take a submission: admit it to the line, or refuse it at once."""
        lane = self.lanes.get(lane_name) or Lane(LaneFacts(lane_name, time_left, time_left, 0, 0, "one-shot", "cell", 0))
        customer = self._customer(now, key, plan_name, gateways)
        handle = Submission(self, submission, lane, customer, units, now, time_left)
        if time_left <= MARGIN or not self._admit(now, handle):
            self.finish(now, handle)
            return handle
        self.open[submission] = handle
        self._queue(handle, False)
        self.pull(now)
        return handle

    def roster(self, now: float, entries: Iterable[ServerFacts], complete: bool) -> None:
        """Follow the server list; a server absent from a complete list is gone."""
        named = set()
        for entry in entries:
            named.add(entry.server)
            server = self.servers.get(entry.server)
            if server is None:
                self.servers[entry.server] = AppServer(entry, FIRST_PLACES / self.facts.gateways)
            elif entry.started > server.started or (entry.presence == "on" and server.presence == "gone"):
                server.renew(entry)
            else:
                server.presence = entry.presence
        if complete:
            for name, server in self.servers.items():
                if name not in named:
                    server.presence = "gone"
        self.pull(now)

    def counted(self, now: float, name: int, outcome: CounterOutcome, total: float, elapsed: float) -> None:
        """The counter has answered an add, or has not in time."""
        customer = self.names.get(name)
        if customer is None or customer.asked is None:
            return
        added, customer.asked = customer.asked, None
        if outcome == "ok":
            customer.news(total, added, now, now - self.started)
            slow = elapsed > 0.5 * self.facts.count_time_out
            self.pace = max(PACE[1], self.pace * 0.95) if slow else min(PACE[2], self.pace + 1.0)
        else:
            # Guard: a slow or silent counter is not made worse. An unanswered add may have counted: it is not told
            # again when answers were merely late, and the next total shows whether it was there.
            self.pace = max(PACE[1], self.pace * 0.7)
            if customer.silent is None:
                customer.silent = now
            if outcome != "timed_out":
                customer.untold += added
                self.untold[customer.key] = customer

    def noted(self, now: float, peer: int, payload: bytes) -> None:
        """A note from another gateway; none are sent yet, and what comes is ignored."""

    def wake(self, now: float) -> None:
        """Time has passed: expire, fit, judge, tell, and send what can be sent."""
        self.woken = False
        if now - self.fitted >= FIT:
            self.fitted = now
            self._judge(now)
            self._limit(now)
            for customer in self.customers.values():
                customer.fit(now)
        if now - self.swept >= 1.0:
            self.swept = now
            for key in [key for key, customer in self.customers.items() if customer.idle(now)]:
                gone = self.customers.pop(key)
                self.names.pop(gone.name, None)
                self.untold.pop(key, None)
        self._expire(now)
        self._hurry(now)
        self.pull(now)
        for customer in list(self.untold.values()):
            self._tell(now, customer)

    def take_results(self, now: float) -> Results | None:
        """What is to be done since the last time; always leaves a wake-up set."""
        if not self.woken:
            self.woken = True
            self.results.wake_after = TICK[0] if self.open else TICK[1]
        results, self.results = self.results, Results()
        return results

    # Admission

    def _customer(self, now: float, key: str, plan_name: str, gateways: int) -> Customer:
        customer = self.customers.get(key)
        if customer is None:
            plan = self.plans.get(plan_name) or PlanFacts(plan_name, 0, 0, 0, 0, 0, 0, 0, 0, 0)  # unknown: no quota
            customer = Customer(key, plan, gateways or self.facts.gateways, now, now - self.started)
            if not self.facts.may_count:
                customer.silent = self.started
            self.customers[key] = self.names[customer.name] = customer
        return customer

    def _admit(self, now: float, handle: Submission) -> bool:
        customer, units = handle.customer, handle.units
        inside = customer.inside(units, now)
        self._tell(now, customer)  # also when refused: a stale low store must not refuse for ever
        if customer.plan.ceiling_rate > 0 and customer.ceiling_part < units:
            return False
        if self._wait(now, handle.lane) > handle.useful - now:
            return False  # what cannot be served in time is refused early
        if not inside:
            if not customer.soft or customer.extra < units or any(queue for _, queue in self.lines):
                return False
            customer.extra -= units
            handle.beyond = True
            return True
        customer.draw(units, now)
        self.untold[customer.key] = customer
        self._tell(now, customer)
        return True

    def _wait(self, now: float, lane: Lane) -> float:
        """How long a piece of this lane would wait in line, from the pace of late."""
        ahead = sum(len(queue) for other, queue in self.lines if other and other.gain >= lane.gain)
        if not ahead:
            return 0.0
        return ahead / max(self.pulls.rate(now), 1.0)

    def _tell(self, now: float, customer: Customer) -> None:
        """Tell the counter of own use when it matters to the others, or ask when the store is short."""
        if not self.facts.may_count or customer.asked is not None or customer.gateways < 2:
            return
        short = customer.store < customer.plan.burst / 2 and now - customer.heard > HEAR
        if customer.untold < TELL * max(customer.store, customer.average_cost) and not short:
            return
        self.calls = min(self.pace * 0.25 + 1, self.calls + (now - self.paced_at) * self.pace)
        self.paced_at = now
        if self.calls < 1:
            return
        self.calls -= 1
        customer.asked, customer.untold = customer.untold, 0.0
        self.untold.pop(customer.key, None)
        self.results.adds.append((customer.name, customer.asked, KEEP))

    # Final answers

    def finish(self, now: float, handle: Submission) -> None:
        """End a submission: a bounce where a retry is safe, else given up."""
        handle.closed = True
        if handle.may_bounce():
            self.results.bounced.append((handle.id, self._come_back(now, handle)))
        else:
            self.results.given_up.append(handle.id)
        self.close(handle)

    def _come_back(self, now: float, handle: Submission) -> float:
        """When a retry may do better: when the store holds the units again."""
        customer = handle.customer
        lacking = handle.units - max(0.0, min(customer.store, customer.granted))
        rate = max(customer.common, customer.plan.rate / customer.gateways)
        wait = lacking / rate if lacking > 0 and rate > 0 else self.facts.retry_after_limit / 4
        return min(self.facts.retry_after_limit, max(0.05, wait)) if self.facts.retry_after_limit else 0.0

    def close(self, handle: Submission) -> None:
        """Forget a submission that has its final answer, and call off what is still out for it."""
        if self.open.pop(handle.id, None) and not handle.count and not handle.beyond:
            handle.customer.settle(-handle.units)  # never sent on: the store keeps its units
        if self.facts.may_withdraw and not handle.streaming:
            self.results.withdrawn.extend((handle.id, number) for number in handle.out)
        customer = handle.customer
        if customer.parked:
            self._queue(customer.parked.popleft(), True)

    def again(self, now: float, handle: Submission) -> None:
        """An execution failed and none is out: one more where that can still help, else the final answer."""
        late = now > handle.useful and (handle.lane.late_gain <= 0 or now + handle.lane.mean > handle.ends)
        if late or now >= handle.ends or handle.count >= self.facts.most_executions or not self._resend_safe(now, handle):
            self.finish(now, handle)
        else:
            handle.useful = max(handle.useful, min(now + handle.lane.mean, handle.ends))
            self._queue(handle, True)

    def _resend_safe(self, now: float, handle: Submission) -> bool:
        if not handle.risky or handle.lane.effect == "harmless":
            return True
        if handle.lane.effect == "one-shot":
            return False
        return now - next(iter(handle.risky.values()))[1] < handle.lane.remembered - MARGIN

    # Line and servers

    def _queue(self, handle: Submission, first: bool) -> None:
        lane = None if handle.beyond else handle.lane
        line = next((queue for row, queue in self.lines if row is lane), self.lines[-1][1])
        (line.appendleft if first else line.append)(handle)

    def pull(self, now: float) -> None:
        """App servers with a free place get the next pieces of the line."""
        for _, queue in self.lines:
            kept: list[Submission] = []
            while queue:
                free = self._free(now)
                if not free or len(kept) > 8:
                    break
                handle = queue.popleft()
                customer = handle.customer
                if handle.closed or handle.out:
                    continue
                if now >= handle.useful:
                    self.finish(now, handle)
                    continue
                if not handle.count and not customer.room_out(now, handle.lane.mean):
                    customer.parked.append(handle)
                    self.holding[customer.key] = customer
                    continue
                if not self._send_best(now, handle, free):
                    if not handle.count and customer.plan.ceiling_rate > 0 and customer.ceiling_part < handle.units:
                        self.finish(now, handle)
                    else:
                        kept.append(handle)
            queue.extendleft(reversed(kept))

    def _free(self, now: float) -> list[AppServer]:
        """The servers with a free place; none once as much is out as all places together allow."""
        servers = self.servers.values()
        if sum(len(server.out) for server in servers) >= max(1.0, sum(server.worth(now) for server in servers)):
            return []
        return [server for server in servers if server.has_place(now)]

    def _send_best(self, now: float, handle: Submission, free: list[AppServer]) -> bool:
        """Send to the server expected to answer first, of those that may get it."""
        best, lowest = None, float("inf")
        crossing = self.facts.cross_zone_price * 4
        tried = {server.name for server, _ in handle.risky.values()}
        for server in free:
            if handle.count and (server.credit < 1 or (server.name in tried and len(free) > 1)):
                continue
            expected = server.expected(now) + (crossing if server.zone != self.facts.zone else 0.0)
            expected *= 1 + 0.05 * self.random.random()
            if expected < lowest and self._may_send(now, handle, server) is None:
                best, lowest = server, expected
        if best is None:
            return False
        self._send(now, handle, best)
        return True

    def _may_send(self, now: float, handle: Submission, server: AppServer) -> str | None:
        """All rules, for every send: the name of the one that forbids it, or None."""
        if handle.closed or now >= handle.ends or handle.count >= self.facts.most_executions:
            return "one final answer"
        if handle.out and not self.facts.parallel:
            return "one execution at a time"
        if not self._resend_safe(now, handle):
            return "no effect twice"
        if handle.risky and handle.lane.effect == "stamped" and handle.lane.group != "all":
            for other, _ in handle.risky.values():
                if other.zone != server.zone or (handle.lane.group == "cell" and other.cell != server.cell):
                    return "no effect twice"
        if server.presence != "on":
            return "drains"
        if server.started > 0 and now - server.started < self.facts.warm_within and not self._cold_room(now, server):
            return "cold server"
        if not handle.count and handle.customer.plan.ceiling_rate > 0:
            handle.customer.advance(now)
            if handle.customer.ceiling_part < handle.units:
                return "ceiling"
        return None

    def _cold_room(self, now: float, server: AppServer) -> bool:
        """Whether a cold server's budget has room for one more execution of this gateway.

        Its fellows' answers show what this gateway's part of a warm server's ability is at least; the stated share
        of that, growing evenly, times the multiple, is the budget of any window.
        """
        facts = self.facts
        share = facts.cold_share + (1 - facts.cold_share) * max(0.0, now - server.started) / facts.warm_within
        allowed = facts.tip_multiple * share * self.fellow_rate * facts.tip_window * COLD_SAFETY
        return server.sent.total(now) + 1 <= max(1.0, allowed)

    def _send(self, now: float, handle: Submission, server: AppServer) -> None:
        number, customer = handle.count, handle.customer
        if number:
            server.credit -= 1
        elif customer.plan.ceiling_rate > 0:
            customer.ceiling_part -= handle.units
        handle.count += 1
        handle.out[number] = handle.risky[number] = (server, now)
        server.out[(handle.id, number)] = (now, handle.lane)
        server.sent.add(now, 1.0)
        server.cost[customer.key] = server.cost.get(customer.key, 0.0) + handle.units
        customer.out += 1
        self.pulls.add(now, 1.0)
        self.results.sends.append((handle.id, server.name, 0.0))

    def _expire(self, now: float) -> None:
        """End early what waits and can no longer be in time, and let parked pieces go on when there is room."""
        for key, customer in list(self.holding.items()):
            for handle in [handle for handle in customer.parked if now >= handle.useful and not handle.closed]:
                self.finish(now, handle)
            while customer.parked and customer.parked[0].closed:
                customer.parked.popleft()
            if customer.parked and customer.room_out(now, customer.parked[0].lane.mean):
                self._queue(customer.parked.popleft(), True)
            if not customer.parked:
                del self.holding[key]
        for _, queue in self.lines:
            for handle in [handle for handle in queue if now >= handle.useful and not handle.closed]:
                self.finish(now, handle)
            while queue and queue[0].closed:
                queue.popleft()

    def _hurry(self, now: float) -> None:
        """Give a late execution a further one elsewhere while that can still be in time.

        Guards against servers that stall, slow down, or accept and never answer. Harm: when all are slow at once it
        would add work, so credit bounds it and lateness is measured by the present mean.
        """
        for handle in list(self.open.values()):
            if len(handle.out) != 1 or handle.streaming or handle.count >= self.facts.most_executions:
                continue
            (number, (server, sent)), = handle.out.items()
            mean = handle.lane.mean
            late = now - sent > mean * PATIENCE[server.slow > 1.5]
            if not late or now + mean > handle.taken + handle.lane.quoted_time or now + mean > handle.ends:
                continue
            if not self._resend_safe(now, handle):
                continue
            free = [other for other in self._free(now) if other is not server and other.credit >= 1]
            if self.facts.parallel:
                if handle.lane.effect != "one-shot":
                    self._send_best(now, handle, free)
            elif free and self.facts.may_withdraw and handle.lane.effect != "one-shot":
                self.results.withdrawn.append((handle.id, number))

    def _judge(self, now: float) -> None:
        """Judge each server by a high quantile of its answer times against its fellows'.

        What is out for longer counts as a sample already, so a server that accepts and never answers is seen. With
        few samples the quantile is drawn towards the fellows'.
        """
        quantiles = {}
        for server in self.servers.values():
            samples = server.samples.values(now)
            samples.extend((now - sent) / lane.floor for sent, lane in server.out.values()
                           if now - sent > 1.5 * lane.mean)
            if samples:
                samples.sort()
                quantiles[server.name] = (samples[int(JUDGED * (len(samples) - 1) + 0.5)], len(samples))
        if not quantiles:
            return
        middle = max(1.0, median(value for value, _ in quantiles.values()))
        for server in self.servers.values():
            value, number = quantiles.get(server.name, (middle, 0))
            excess = (value / middle) ** (number / (number + 4))
            server.slow = max(1.0, excess / 1.3)
        warm = [server.good.rate(now) for server in self.servers.values()
                if server.presence == "on" and not 0 < now - server.started < self.facts.warm_within]
        self.fellow_rate = sum(warm) / len(warm) if warm else 0.0

    def _limit(self, now: float) -> None:
        """The limiting rates: saturation ratio x cost sent, split by quota, least over servers, worst zone ignored."""
        ratios = {server.name: server.throttling_ratio() for server in self.servers.values() if server.cost}
        zones: dict[str, float] = {}
        for server in self.servers.values():
            ratio = ratios.get(server.name)
            if ratio is not None:
                zones[server.zone] = min(zones.get(server.zone, 2.0), ratio)
        single = len({server.zone for server in self.servers.values()}) < 2
        worst = None if single or not zones else min(zones, key=lambda zone: (zones[zone], zone))
        for customer in self.customers.values():
            customer.limiting = float("inf")
        for server in self.servers.values():
            ratio = ratios.get(server.name)
            users = {key: units for key, units in server.cost.items() if key in self.customers}
            if ratio is not None and server.zone != worst and users:
                allowed = ratio * sum(users.values())
                quotas = sum(self.customers[key].plan.rate for key in users) or 1.0
                for key, units in users.items():
                    customer = self.customers[key]
                    own = customer.units.rate(now)
                    if own > 0 and units > 0:
                        share = allowed * customer.plan.rate / quotas
                        summed = own + customer.others_rate(now)
                        customer.limiting = min(customer.limiting, share / units * summed)
            server.cost = {key: units * 0.85 for key, units in users.items() if units > 0.05}
