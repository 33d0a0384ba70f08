"""The referee: books of its own of all that happened, by which it judges the five rules and the service.

It shares no code with the decisions: its stores, windows and checks are written from the rules. It is told of
what truly happened (what a server got and when), not of what a gateway believes.
"""

from __future__ import annotations

from collections import Counter as Tally
from collections import defaultdict, deque
from dataclasses import dataclass, field

from merlintally.lab.model.days import Day
from merlintally.lab.model.record import Record
from merlintally.lab.model.requests import Customer, First, Try
from merlintally.lab.model.servers import Server

NEVER_RAN = ("full", "unreachable", "moot")  # outcomes of an execution that has surely had no effect
RULES = {1: "one final answer", 2: "no effect twice", 3: "drains", 4: "cold servers", 5: "ceilings"}
Figures = dict[str, float]


class Bucket:
    """A store of units that fills at a rate up to its depth, and may fall below nothing."""

    __slots__ = ("rate", "depth", "level", "at")

    def __init__(self, rate: float, depth: float, now: float) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, depth, now

    def fill(self, now: float) -> float:
        if now > self.at:
            self.level = min(self.depth, self.level + self.rate * (now - self.at))
            self.at = now
        return self.level


class Books:
    """What all gateways together did for one customer."""

    __slots__ = ("customer", "quota", "asked", "ceiling", "least", "open", "by_second")

    def __init__(self, customer: Customer, now: float) -> None:
        self.customer = customer
        self.quota, self.asked = (Bucket(customer.rate, customer.burst, now) for _ in range(2))
        times = customer.form.ceiling
        self.ceiling = Bucket(customer.rate * times, customer.burst * times, now) if times else None
        self.least, self.open = 0.0, 0  # how far below nothing the ceiling's store was at the worst
        self.by_second: dict[int, float] = defaultdict(float)  # units sent on


@dataclass(slots=True)
class Execution:
    server: Server
    sent: float
    outcome: str = ""  # as the gateway was told; empty while out
    reached: bool = False


@dataclass(slots=True)
class Submission:
    """One taken submission, as the referee knows it."""

    node: str
    first: First
    taken: float
    ends: float
    executions: dict[int, Execution] = field(default_factory=dict)
    final: str = ""
    left: bool = False
    counted: bool = False  # its units have been taken
    inside: bool = False


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule."""

    rule: int
    at: float  # seconds after the day's start
    what: str

    def __str__(self) -> str:
        return f"rule {self.rule} ({RULES[self.rule]}) at {self.at:.3f} s: {self.what}"


class Referee:
    """Is told of everything; `close` gives the figures. At most `most` breaches of a rule are kept whole."""

    def __init__(self, day: Day, started: float, record: Record, most: int = 20) -> None:
        self.day, self.started, self.record, self.most = day, started, record, most
        self.books: dict[str, Books] = {}
        self.open: dict[int, Submission] = {}
        self.closed: dict[int, Submission] = {}  # answered, not yet beyond their hard limit
        self.presence: dict[str, dict[str, tuple[str, float]]] = defaultdict(dict)  # node -> server
        self.cold: dict[str, tuple[float, deque[tuple[float, float]]]] = {}
        self.breaches: list[Breach] = []
        self.broken: Tally[int] = Tally()
        self.counts: Tally[str] = Tally()
        self.by_second: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
        self.by_plan: dict[str, list[float]] = {one.name: [0.0, 0.0] for one in day.plan}  # offered, earned
        self.answer_times: list[float] = []
        self.first_sends: list[float] = []
        self.work_sent = self.work_served = self.work_asked = 0.0
        self.cost = 0.0  # worth lost by what was sent beyond quotas
        self.units_sent = self.units_beyond = 0.0
        self.out_samples: list[tuple[float, dict[str, int]]] = []

    def second(self, now: float) -> int:
        return int(now - self.started)

    def breach(self, rule: int, now: float, what: str) -> None:
        self.broken[rule] += 1
        self.record.line(now, "breach", f"{rule} {what}")
        if self.broken[rule] <= self.most:
            self.breaches.append(Breach(rule, now - self.started, what))

    def book(self, customer: Customer, now: float) -> Books:
        if customer.key not in self.books:
            # as full as at the day's start: nothing was used of it before
            self.books[customer.key] = Books(customer, now)
        return self.books[customer.key]

    # What is asked, and what clients get.

    def asked(self, first: First) -> None:
        """A first try; what one gateway that saw all of them would let in is what is offered."""
        now, form = first.asked, first.customer.form
        store = self.book(first.customer, now).asked
        inside = store.fill(now) >= first.guess
        if inside:
            store.level -= first.units
        offered = first.worth * (1.0 if inside else form.beyond_gain)
        self.by_plan[form.name][0] += offered
        self.by_second["offered"][self.second(now)] += offered
        self.work_asked += first.work if inside else 0.0
        self.counts["first tries"] += 1
        self.record.line(
            now,
            "asked",
            f"{first.key} {first.customer.key} {first.lane.name} {first.units:g} {first.guess:g} {inside:d}",
        )

    def delivered(self, trying: Try, now: float) -> None:
        """A client has its whole answer."""
        first, sub = trying.first, self.open.get(trying.id) or self.closed.get(trying.id)
        if first.settled or sub is None:
            return
        first.settled = True
        elapsed = now - first.asked
        self.answer_times.append(now - trying.sent)
        in_time = now - trying.sent <= first.lane.quoted_time_s
        earned = first.worth * (1.0 if in_time else first.lane.late_gain)
        if not sub.inside:
            earned *= first.customer.form.beyond_gain
        self.counts["in time" if in_time else "late"] += 1
        self.by_plan[first.customer.plan][1] += earned
        self.by_second["earned"][self.second(first.asked)] += earned
        self.work_served += first.work
        self.record.line(now, "delivered", f"{trying.id} {elapsed:.6f}")

    def left(self, trying: Try, early: bool) -> None:
        """A client has gone away: early, or after all the time that it had stated, and then it was owed an
        answer."""
        if (sub := self.open.pop(trying.id, None)) is None:
            return
        if not early and not sub.left:
            self.lost(trying.id, sub, sub.ends)
        sub.final, sub.left = "left", True
        self.closed[trying.id] = sub

    # What edge nodes do.

    def taken(self, node: str, trying: Try, now: float) -> None:
        self.counts["tries"] += 1
        self.open[trying.id] = Submission(node, trying.first, now, trying.ends)
        self.record.line(now, "taken", f"{node} {trying.id} {trying.first.key}")

    def sent(self, node: str, trying: Try, number: int, server: Server, now: float) -> None:
        """An execution begins: its first byte goes out."""
        self.record.line(now, "sent", f"{node} {trying.id} {number} {server.name}")
        self.counts["executions"] += 1
        sub = self.open.get(trying.id)
        if sub is None:
            return self.breach(1, now, f"{trying.id} was sent to {server.name} after its final answer")
        rules, lane = self.day.rules, sub.first.lane
        if now > sub.ends + rules.slack_s:
            self.breach(1, now, f"{trying.id} was sent to {server.name} after its hard limit")
        if not sub.executions:
            self.first_sends.append(now - sub.taken)
        risky = [one for one in sub.executions.values() if one.outcome not in NEVER_RAN]
        if lane.effect == "one-shot" and risky:
            self.breach(
                2, now, f"one-shot {trying.id} was sent again, and may have run at {risky[0].server.name}"
            )
        if lane.effect == "stamped" and risky:
            if now - min(one.sent for one in risky) > lane.remembered_s + rules.slack_s:
                self.breach(2, now, f"stamped {trying.id} was sent again after its stamp was forgotten")
            elif any(not self._one_group(lane.group, one.server, server) for one in risky):
                self.breach(2, now, f"stamped {trying.id} was sent again outside its discard group")
        if not rules.parallel and any(not one.outcome for one in sub.executions.values()):
            self.breach(2, now, f"{trying.id} was sent while another execution of it was out")
        if len(sub.executions) >= rules.executions:
            self.breach(1, now, f"{trying.id} was sent more than {rules.executions} times")
        presence, since = self.presence[node].get(server.name, ("gone", -1e9))
        if presence != "on" and now - since > rules.drain_grace_s + rules.slack_s:
            self.breach(
                3, now, f"{node} sent {trying.id} to {server.name}, {presence} for {now - since:.3f} s"
            )
        sub.executions[number] = Execution(server, now)

    @staticmethod
    def _one_group(group: str, one: Server, other: Server) -> bool:
        return group == "all" or (one.zone == other.zone and (group == "zone" or one.cell == other.cell))

    def reached(self, trying: Try, number: int, server: Server, now: float) -> None:
        """An execution has come to its server whole: from here on its units are taken, and it may run."""
        self.record.line(now, "reached", f"{trying.id} {number} {server.name}")
        sub = self.open.get(trying.id) or self.closed.get(trying.id)
        self.work_sent += trying.first.work
        self._cold(server, trying.first.work, now)
        if sub is None or number not in sub.executions:
            return
        sub.executions[number].reached = True
        book = self.book(sub.first.customer, now)
        if not sub.counted:
            sub.counted = True
            self._take_units(sub, book, now)
        book.open += 1

    def _take_units(self, sub: Submission, book: Books, now: float) -> None:
        first, form = sub.first, sub.first.customer.form
        open_limit = form.open_limit
        sub.inside = book.quota.fill(now) >= first.guess and not (open_limit and book.open >= open_limit)
        self.units_sent += first.guess
        book.by_second[self.second(now)] += first.guess
        if sub.inside:
            book.quota.level -= first.guess
        else:
            self.units_beyond += first.guess
            self.cost += form.beyond_cost * first.worth
            self.by_second["beyond"][self.second(now)] += first.guess
        if book.ceiling is not None:
            book.ceiling.fill(now)
            book.ceiling.level -= first.guess
            book.least = min(book.least, book.ceiling.level)
            slack = max(form.ceiling_slack * book.ceiling.depth, float(self.day.traffic.units))
            if book.ceiling.level < -slack - 1e-6:
                self.breach(
                    5,
                    now,
                    f"customer {first.customer.key} is {-book.ceiling.level:.1f} units beyond its "
                    f"ceiling, {slack:.1f} are allowed",
                )

    def _cold(self, server: Server, work: float, now: float) -> None:
        """What all nodes together send a cold server within any window, against what it can do."""
        rules = self.day.rules
        age = now - server.started
        if server.started <= 0 or age >= rules.warm_s or server.state == "dead":
            return
        started, window = self.cold.get(server.name, (server.started, deque()))
        if started != server.started:
            window = deque()
        self.cold[server.name] = (server.started, window)
        window.append((now, work))
        while window[0][0] < now - rules.tip_window_s:
            window.popleft()
        sent, most = sum(one for _, one in window), server.bears(now)
        if sent > most + 1e-9:
            self.breach(
                4,
                now,
                f"{server.name}, up for {age:.1f} s, got {sent:.2f} core seconds within "
                f"{rules.tip_window_s:g} s, {most:.2f} are allowed",
            )

    def ended(self, trying: Try, number: int, outcome: str, now: float) -> None:
        """A gateway is told how an execution ended."""
        self.record.line(now, "ended", f"{trying.id} {number} {outcome}")
        sub = self.open.get(trying.id) or self.closed.get(trying.id)
        if sub is None or number not in sub.executions:
            return
        one = sub.executions[number]
        if one.reached and not one.outcome:
            self.books[sub.first.customer.key].open -= 1
        one.outcome = outcome
        if outcome == "ok" and sub.inside and not sub.first.settled:
            # the first good answer tells the true units
            book = self.books[sub.first.customer.key]
            book.quota.fill(now)
            book.quota.level = min(book.quota.depth, book.quota.level + sub.first.guess - sub.first.units)

    def answered(self, node: str, trying: Try, kind: str, now: float) -> None:
        """An edge node gives the final answer: delivered, bounced or given up."""
        self.record.line(now, "answered", f"{node} {trying.id} {kind}")
        sub = self.open.pop(trying.id, None)
        if sub is None:
            return self.breach(1, now, f"{trying.id} got a second final answer: {kind}")
        sub.final = kind
        self.closed[trying.id] = sub
        if now > sub.ends + self.day.rules.slack_s:
            self.breach(1, now, f"{trying.id} was answered {now - sub.ends:.3f} s after its hard limit")
        if kind == "delivered" and not any(one.outcome == "ok" for one in sub.executions.values()):
            self.breach(1, now, f"{trying.id} was delivered, and no server had made an answer")
        self.counts[kind] += 1
        lane = sub.first.lane
        risky = [one for one in sub.executions.values() if one.outcome not in NEVER_RAN]
        if kind == "bounced" and risky and lane.effect != "harmless":
            safe = lane.effect == "stamped" and lane.group == "all"
            if not safe:
                self.breach(2, now, f"{lane.effect} {trying.id} was bounced, and may have run")
        if kind != "delivered":
            book = self.book(sub.first.customer, now)
            if not sub.executions:
                self.counts["unsent"] += 1
                if book.quota.fill(now) >= book.quota.depth / 2:
                    self.counts["with room"] += 1
                    self.by_second["with room"][self.second(now)] += 1
        if len(self.closed) > 20000:
            self.sweep(now)

    def second_answer(self, number: int, kind: str, now: float) -> None:
        """A final answer for a submission that its edge node has done with."""
        sub = self.closed.get(number)
        if sub is not None and sub.final and not sub.left:
            self.breach(1, now, f"{number} was {sub.final}, and then {kind}")

    def was_answered(self, number: int) -> bool:
        """Whether a submission has had a final answer."""
        sub = self.closed.get(number)
        return sub is not None and sub.final not in ("", "left")

    def sweep(self, now: float) -> None:
        """Forget what can't be heard of any more."""
        self.closed = {
            key: one
            for key, one in self.closed.items()
            if now < one.ends + 2.0 or any(not each.outcome for each in one.executions.values())
        }

    def told(
        self, node: str, entries: list[tuple[str, str, int, int, float]], whole: bool, now: float
    ) -> None:
        """Discovery tells an edge node of servers."""
        known = self.presence[node]
        if whole:
            named = {one[0] for one in entries}
            for name, (presence, _) in list(known.items()):
                if name not in named and presence != "gone":
                    known[name] = ("gone", now)
        for name, presence, *_ in entries:
            if known.get(name, ("", 0.0))[0] != presence:
                known[name] = (presence, now)

    def died(self, node: str, now: float) -> None:
        """An edge node was killed: what it had taken is nobody's fault."""
        self.record.line(now, "died", node)
        for key, sub in list(self.open.items()):
            if sub.node == node:
                sub.final = "died"
                out = sum(one.reached and not one.outcome for one in sub.executions.values())
                self.book(sub.first.customer, now).open -= out
                del self.open[key]
        self.presence.pop(node, None)

    def excused(self, node: str) -> None:
        """What an edge node that hung had taken is not held against its decisions."""
        for sub in self.open.values():
            if sub.node == node:
                sub.left = True

    # The day's end.

    def close(self, now: float, effects: dict[int, int]) -> None:
        """Whatever was taken and has no answer by now was lost. `effects` says how often each try that may
        not run again took effect at the servers."""
        for number, count in sorted(effects.items()):
            if count > 1:
                self.breach(2, now, f"{number} took effect {count} times")
        for key, sub in self.open.items():
            if not sub.left:
                self.lost(key, sub, now)

    def lost(self, key: int, sub: Submission, now: float) -> None:
        taken = sub.taken - self.started
        self.breach(1, now, f"{key}, taken by {sub.node} at {taken:.3f} s, never got a final answer")
