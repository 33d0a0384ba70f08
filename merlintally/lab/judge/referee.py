"""The referee: checks the five rules and measures the service from what actually happened.

It shares no code with the decisions: its buckets, windows and checks are written from the rules. It is called
with events as they occur in the world (what a server received and when), not with the state of a gateway.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from merlintally.lab.model.days import Day
from merlintally.lab.model.record import Record
from merlintally.lab.model.requests import Customer, First, Try
from merlintally.lab.model.servers import Server

NO_EFFECT_OUTCOMES = ("full", "unreachable", "moot")  # the execution had no effect
RULE_NAMES = {1: "one final answer", 2: "no effect twice", 3: "drains", 4: "cold servers", 5: "ceilings"}
Figures = dict[str, float]


class Bucket:
    """A token bucket: `rate` units per second up to `depth`; the level may become negative."""

    __slots__ = ("rate", "depth", "level", "updated_at")

    def __init__(self, rate: float, depth: float, now: float) -> None:
        self.rate, self.depth, self.level, self.updated_at = rate, depth, depth, now

    def refill(self, now: float) -> float:
        """Add the units accrued since the last call and return the level."""
        if now > self.updated_at:
            self.level = min(self.depth, self.level + self.rate * (now - self.updated_at))
            self.updated_at = now
        return self.level


class CustomerUsage:
    """Use of the quota and the ceiling by one customer, over all gateways."""

    __slots__ = (
        "customer",
        "quota",
        "offered_quota",
        "ceiling",
        "lowest_ceiling_level",
        "open_executions",
        "by_second",
    )

    def __init__(self, customer: Customer, now: float) -> None:
        self.customer = customer
        # `quota` is charged when an execution reaches a server, `offered_quota` on each first try.
        self.quota, self.offered_quota = (Bucket(customer.rate, customer.burst, now) for _ in range(2))
        multiple = customer.form.ceiling
        self.ceiling = Bucket(customer.rate * multiple, customer.burst * multiple, now) if multiple else None
        self.lowest_ceiling_level, self.open_executions = 0.0, 0  # 0 or below
        self.by_second: dict[int, float] = defaultdict(float)  # units that reached a server


@dataclass(slots=True)
class Execution:
    """One execution of a submission."""

    server: Server
    sent_at: float
    outcome: str = ""  # as reported to the gateway; empty while in flight
    reached: bool = False  # the server has the whole request


@dataclass(slots=True)
class Submission:
    """A submission taken by an edge node."""

    node: str
    first: First
    taken_at: float
    deadline: float  # time of its hard limit
    executions: dict[int, Execution] = field(default_factory=dict)
    final_answer: str = ""  # delivered, bounced, given up; left or died where there is none
    answer_waived: bool = False  # its client left, or its edge node hung
    units_charged: bool = False
    within_quota: bool = False


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of a rule."""

    rule: int
    at: float  # seconds since the day's start
    what: str

    def __str__(self) -> str:
        return f"rule {self.rule} ({RULE_NAMES[self.rule]}) at {self.at:.3f} s: {self.what}"


class Referee:
    """Receives all events of a day, checks the rules and sums up the figures.

    All breaches are counted in `broken`; at most `max_breaches` of each rule are kept in `breaches`. Times
    are seconds of the world's clock.
    """

    def __init__(self, day: Day, started: float, record: Record, max_breaches: int = 20) -> None:
        self.day, self.started, self.record, self.max_breaches = day, started, record, max_breaches
        self.usage_by_customer: dict[str, CustomerUsage] = {}
        self.open: dict[int, Submission] = {}
        self.closed: dict[
            int, Submission
        ] = {}  # answered or abandoned by the client, before their hard limit
        self.presence: dict[str, dict[str, tuple[str, float]]] = defaultdict(dict)  # node -> server -> since
        self.cold_work: dict[
            str, tuple[float, deque[tuple[float, float]]]
        ] = {}  # server -> started, arrivals
        self.breaches: list[Breach] = []
        self.broken: Counter[int] = Counter()
        self.counts: Counter[str] = Counter()
        self.by_second: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
        self.by_plan: dict[str, list[float]] = {one.name: [0.0, 0.0] for one in day.plan}  # offered, earned
        self.answer_times: list[float] = []
        self.first_sends: list[float] = []
        self.work_sent = self.work_served = self.work_asked = 0.0
        self.beyond_quota_cost = 0.0  # worth lost by units sent beyond quotas
        self.units_sent = self.units_beyond = 0.0
        self.out_samples: list[tuple[float, dict[str, int]]] = []

    def _second_of(self, now: float) -> int:
        return int(now - self.started)

    def add_breach(self, rule: int, now: float, what: str) -> None:
        """Count and record a violation of a rule."""
        self.broken[rule] += 1
        self.record.line(now, "breach", f"{rule} {what}")
        if self.broken[rule] <= self.max_breaches:
            self.breaches.append(Breach(rule, now - self.started, what))

    def usage_of(self, customer: Customer, now: float) -> CustomerUsage:
        """The customer's usage; its buckets start full."""
        if customer.key not in self.usage_by_customer:
            self.usage_by_customer[customer.key] = CustomerUsage(customer, now)
        return self.usage_by_customer[customer.key]

    # Clients.

    def asked(self, first: First) -> None:
        """A client makes a first try. The worth offered is what one gateway with all traffic would admit."""
        now, form = first.asked_at, first.customer.form
        bucket = self.usage_of(first.customer, now).offered_quota
        admitted = bucket.refill(now) >= first.estimated_units
        if admitted:
            bucket.level -= first.units
        offered = first.worth * (1.0 if admitted else form.beyond_gain)
        self.by_plan[form.name][0] += offered
        self.by_second["offered"][self._second_of(now)] += offered
        self.work_asked += first.work if admitted else 0.0
        self.counts["first tries"] += 1
        self.record.line(
            now,
            "asked",
            f"{first.key} {first.customer.key} {first.lane.name} {first.units:g} {first.estimated_units:g} "
            f"{admitted:d}",
        )

    def delivered(self, trying: Try, now: float) -> None:
        """A client has received its whole answer."""
        first, submission = trying.first, self.open.get(trying.id) or self.closed.get(trying.id)
        if first.settled or submission is None:
            return
        first.settled = True
        elapsed = now - first.asked_at
        self.answer_times.append(now - trying.sent)
        in_time = now - trying.sent <= first.lane.quoted_time_s
        earned = first.worth * (1.0 if in_time else first.lane.late_gain)
        if not submission.within_quota:
            earned *= first.customer.form.beyond_gain
        self.counts["in time" if in_time else "late"] += 1
        self.by_plan[first.customer.plan][1] += earned
        self.by_second["earned"][self._second_of(first.asked_at)] += earned
        self.work_served += first.work
        self.record.line(now, "delivered", f"{trying.id} {elapsed:.6f}")

    def client_left(self, trying: Try, early: bool) -> None:
        """A client has gone away: before its stated time was over (`early`), or after it without an answer,
        which breaks rule 1."""
        if (submission := self.open.pop(trying.id, None)) is None:
            return
        if not early and not submission.answer_waived:
            self.add_lost(trying.id, submission, submission.deadline)
        submission.final_answer, submission.answer_waived = "left", True
        self.closed[trying.id] = submission

    # Edge nodes.

    def taken(self, node: str, trying: Try, now: float) -> None:
        """An edge node has received a submission."""
        self.counts["tries"] += 1
        self.open[trying.id] = Submission(node, trying.first, now, trying.deadline)
        self.record.line(now, "taken", f"{node} {trying.id} {trying.first.key}")

    def sent(self, node: str, trying: Try, number: int, server: Server, now: float) -> None:
        """An edge node sends the first byte of an execution. Checks rules 1, 2 and 3."""
        self.record.line(now, "sent", f"{node} {trying.id} {number} {server.name}")
        self.counts["executions"] += 1
        submission = self.open.get(trying.id)
        if submission is None:
            return self.add_breach(1, now, f"{trying.id} was sent to {server.name} after its final answer")
        rules, lane = self.day.rules, submission.first.lane
        if now > submission.deadline + rules.slack_s:
            self.add_breach(1, now, f"{trying.id} was sent to {server.name} after its hard limit")
        if not submission.executions:
            self.first_sends.append(now - submission.taken_at)
        may_have_run = [
            execution
            for execution in submission.executions.values()
            if execution.outcome not in NO_EFFECT_OUTCOMES
        ]
        if lane.effect == "one-shot" and may_have_run:
            self.add_breach(
                2,
                now,
                f"one-shot {trying.id} was sent again, and may have run at {may_have_run[0].server.name}",
            )
        if lane.effect == "stamped" and may_have_run:
            if now - min(execution.sent_at for execution in may_have_run) > lane.remembered_s + rules.slack_s:
                self.add_breach(2, now, f"stamped {trying.id} was sent again after its stamp was forgotten")
            elif any(
                not self._same_group(lane.group, execution.server, server) for execution in may_have_run
            ):
                self.add_breach(2, now, f"stamped {trying.id} was sent again outside its discard group")
        if not rules.parallel and any(not execution.outcome for execution in submission.executions.values()):
            self.add_breach(2, now, f"{trying.id} was sent while another execution of it was out")
        if len(submission.executions) >= rules.executions:
            self.add_breach(1, now, f"{trying.id} was sent more than {rules.executions} times")
        presence, since = self.presence[node].get(server.name, ("gone", -1e9))
        if presence != "on" and now - since > rules.drain_grace_s + rules.slack_s:
            self.add_breach(
                3, now, f"{node} sent {trying.id} to {server.name}, {presence} for {now - since:.3f} s"
            )
        submission.executions[number] = Execution(server, now)

    @staticmethod
    def _same_group(group: str, one: Server, other: Server) -> bool:
        return group == "all" or (one.zone == other.zone and (group == "zone" or one.cell == other.cell))

    def reached(self, trying: Try, number: int, server: Server, now: float) -> None:
        """A server has received an execution whole: its units are charged, and it may run."""
        self.record.line(now, "reached", f"{trying.id} {number} {server.name}")
        submission = self.open.get(trying.id) or self.closed.get(trying.id)
        self.work_sent += trying.first.work
        self._check_cold_server(server, trying.first.work, now)
        if submission is None or number not in submission.executions:
            return
        submission.executions[number].reached = True
        usage = self.usage_of(submission.first.customer, now)
        if not submission.units_charged:
            submission.units_charged = True
            self._charge_units(submission, usage, now)
        usage.open_executions += 1

    def _charge_units(self, submission: Submission, usage: CustomerUsage, now: float) -> None:
        first, form = submission.first, submission.first.customer.form
        open_limit = form.open_limit
        submission.within_quota = usage.quota.refill(now) >= first.estimated_units and not (
            open_limit and usage.open_executions >= open_limit
        )
        self.units_sent += first.estimated_units
        usage.by_second[self._second_of(now)] += first.estimated_units
        if submission.within_quota:
            usage.quota.level -= first.estimated_units
        else:
            self.units_beyond += first.estimated_units
            self.beyond_quota_cost += form.beyond_cost * first.worth
            self.by_second["beyond"][self._second_of(now)] += first.estimated_units
        if usage.ceiling is not None:
            usage.ceiling.refill(now)
            usage.ceiling.level -= first.estimated_units
            usage.lowest_ceiling_level = min(usage.lowest_ceiling_level, usage.ceiling.level)
            slack = max(form.ceiling_slack * usage.ceiling.depth, float(self.day.traffic.units))
            if usage.ceiling.level < -slack - 1e-6:
                self.add_breach(
                    5,
                    now,
                    f"customer {first.customer.key} is {-usage.ceiling.level:.1f} units beyond its "
                    f"ceiling, {slack:.1f} are allowed",
                )

    def _check_cold_server(self, server: Server, work: float, now: float) -> None:
        """Check rule 4: the work that all nodes send a cold server within the window is limited."""
        rules = self.day.rules
        age = now - server.started
        if server.started <= 0 or age >= rules.warm_s or server.state == "dead":
            return
        started, window = self.cold_work.get(server.name, (server.started, deque()))
        if started != server.started:
            window = deque()
        self.cold_work[server.name] = (server.started, window)
        window.append((now, work))
        while window[0][0] < now - rules.tip_window_s:
            window.popleft()
        sent, limit = sum(amount for _, amount in window), server.work_limit(now)
        if sent > limit + 1e-9:
            self.add_breach(
                4,
                now,
                f"{server.name}, up for {age:.1f} s, got {sent:.2f} core seconds within "
                f"{rules.tip_window_s:g} s, {limit:.2f} are allowed",
            )

    def ended(self, trying: Try, number: int, outcome: str, now: float) -> None:
        """The outcome of an execution is reported to its gateway."""
        self.record.line(now, "ended", f"{trying.id} {number} {outcome}")
        submission = self.open.get(trying.id) or self.closed.get(trying.id)
        if submission is None or number not in submission.executions:
            return
        execution = submission.executions[number]
        if execution.reached and not execution.outcome:
            self.usage_by_customer[submission.first.customer.key].open_executions -= 1
        execution.outcome = outcome
        if outcome == "ok" and submission.within_quota and not submission.first.settled:
            # The first good answer carries the true units: refund the difference.
            usage = self.usage_by_customer[submission.first.customer.key]
            usage.quota.refill(now)
            usage.quota.level = min(
                usage.quota.depth,
                usage.quota.level + submission.first.estimated_units - submission.first.units,
            )

    def answered(self, node: str, trying: Try, kind: str, now: float) -> None:
        """An edge node gives the final answer: delivered, bounced or given up. Checks rules 1 and 2."""
        self.record.line(now, "answered", f"{node} {trying.id} {kind}")
        submission = self.open.pop(trying.id, None)
        if submission is None:
            return self.add_breach(1, now, f"{trying.id} got a second final answer: {kind}")
        submission.final_answer = kind
        self.closed[trying.id] = submission
        if now > submission.deadline + self.day.rules.slack_s:
            self.add_breach(
                1, now, f"{trying.id} was answered {now - submission.deadline:.3f} s after its hard limit"
            )
        if kind == "delivered" and not any(
            execution.outcome == "ok" for execution in submission.executions.values()
        ):
            self.add_breach(1, now, f"{trying.id} was delivered, and no server had made an answer")
        self.counts[kind] += 1
        lane = submission.first.lane
        may_have_run = [
            execution
            for execution in submission.executions.values()
            if execution.outcome not in NO_EFFECT_OUTCOMES
        ]
        if kind == "bounced" and may_have_run and lane.effect != "harmless":
            discarded_everywhere = lane.effect == "stamped" and lane.group == "all"
            if not discarded_everywhere:
                self.add_breach(2, now, f"{lane.effect} {trying.id} was bounced, and may have run")
        if kind != "delivered":
            usage = self.usage_of(submission.first.customer, now)
            if not submission.executions:
                self.counts["unsent"] += 1
                if usage.quota.refill(now) >= usage.quota.depth / 2:
                    self.counts["with room"] += 1
                    self.by_second["with room"][self._second_of(now)] += 1
        if len(self.closed) > 20000:
            self.drop_expired(now)

    def second_answer(self, number: int, kind: str, now: float) -> None:
        """An edge node gives a final answer for a submission that it has finished."""
        submission = self.closed.get(number)
        if submission is not None and submission.final_answer and not submission.answer_waived:
            self.add_breach(1, now, f"{number} was {submission.final_answer}, and then {kind}")

    def was_answered(self, number: int) -> bool:
        """Whether a submission has had a final answer."""
        submission = self.closed.get(number)
        return submission is not None and submission.final_answer not in ("", "left")

    def drop_expired(self, now: float) -> None:
        """Drop closed submissions past their hard limit that have no execution in flight."""
        self.closed = {
            key: submission
            for key, submission in self.closed.items()
            if now < submission.deadline + 2.0
            or any(not execution.outcome for execution in submission.executions.values())
        }

    def servers_listed(
        self, node: str, entries: list[tuple[str, str, int, int, float]], whole: bool, now: float
    ) -> None:
        """Discovery sends an edge node server entries; `whole` if they are the full list."""
        known = self.presence[node]
        if whole:
            listed = {entry[0] for entry in entries}
            for name, (presence, _) in list(known.items()):
                if name not in listed and presence != "gone":
                    known[name] = ("gone", now)
        for name, presence, *_ in entries:
            if known.get(name, ("", 0.0))[0] != presence:
                known[name] = (presence, now)

    def died(self, node: str, now: float) -> None:
        """An edge node was killed: its open submissions need no answer."""
        self.record.line(now, "died", node)
        for key, submission in list(self.open.items()):
            if submission.node == node:
                submission.final_answer = "died"
                in_flight = sum(
                    execution.reached and not execution.outcome
                    for execution in submission.executions.values()
                )
                self.usage_of(submission.first.customer, now).open_executions -= in_flight
                del self.open[key]
        self.presence.pop(node, None)

    def waive_answers(self, node: str) -> None:
        """An edge node hung: its open submissions need no answer in time."""
        for submission in self.open.values():
            if submission.node == node:
                submission.answer_waived = True

    # End of the day.

    def close(self, now: float, effects: dict[int, int]) -> None:
        """Report submissions without a final answer, and tries that took effect more than once. `effects`
        counts the effects at the servers of each try that may not run again."""
        for number, count in sorted(effects.items()):
            if count > 1:
                self.add_breach(2, now, f"{number} took effect {count} times")
        for key, submission in self.open.items():
            if not submission.answer_waived:
                self.add_lost(key, submission, now)

    def add_lost(self, key: int, submission: Submission, now: float) -> None:
        """Count a submission that never got a final answer."""
        taken = submission.taken_at - self.started
        self.add_breach(
            1, now, f"{key}, taken by {submission.node} at {taken:.3f} s, never got a final answer"
        )
