"""Clients, and the front that deals submissions out among edge nodes. Free of I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator

from merlintally.lab.judge.referee import Referee
from merlintally.lab.model.agenda import Agenda, random_stream
from merlintally.lab.model.days import Day, PlanForm
from merlintally.lab.model.requests import Customer, First, Try


class Node:
    """What the front needs of an edge node; the simulated and the real one are behind it."""

    number: int
    zone: int
    alive: bool

    def moved(self, ends: float) -> None:
        """Discovery stands elsewhere; its old address ends after some seconds."""
        raise NotImplementedError

    def restart(self, up: Callable[[], None]) -> None:
        """Start again from nothing; `up` is called when it answers."""
        raise NotImplementedError

    def retire(self, ended: Callable[[], None]) -> None:
        """A planned end: it answers all that it took first; `ended` is called when it is over."""
        raise NotImplementedError

    def noted(self, peer: int, payload: bytes) -> None:
        """A note of another edge node has come."""

    def copied(self, payload: bytes) -> None:
        """What others drew has come by the cluster's copies."""

    def submit(self, trying: Try) -> None:
        raise NotImplementedError

    def leave(self, trying: Try) -> None:
        """The client goes away."""
        raise NotImplementedError


class Front:
    """All clients together: open-loop arrivals, retries, and the choice of an edge node for each try."""

    def __init__(self, day: Day, seed: int, agenda: Agenda, nodes: list[Node], referee: Referee) -> None:
        self.day, self.agenda, self.nodes, self.referee = day, agenda, nodes, referee
        self.dice = random_stream(seed, "front")
        self.asks = random_stream(
            seed, "arrivals"
        )  # apart, so that what is asked does not depend on the answers
        self.down = [False] * len(nodes)  # as the front sees it
        self.last_id, self.last_key, self.strangers = 0, 0, 0
        self.factor, self.plan_factor = 1.0, dict[str, float]()
        self.impatient = day.clients.impatient
        self.started = agenda.now
        weights = [1.0 / one for one in range(1, day.traffic.units + 1)]  # the larger, the rarer
        self.sizes = [(at + 1, weight / sum(weights)) for at, weight in enumerate(weights)]
        self.mean_units = sum(size * weight for size, weight in self.sizes)
        self.customers = list(self._customers(random_stream(seed, "customers")))
        total = sum(one.share for one in day.lane)
        self.lanes = [(one, one.share / total) for one in day.lane]

    # Who asks.

    def _customers(self, dice: random.Random) -> Iterator[Customer]:
        """Customers of each plan until its share of the use inside quotas is reached."""
        traffic, mean = self.day.traffic, self.mean_units
        shares = sum(one.share for one in self.day.plan)
        number = 0
        for form in self.day.plan:
            wanted = traffic.submissions_per_s * mean * form.share / shares
            while wanted > 0:
                kind = self._kind(dice)
                use = {
                    "calm": lambda: dice.uniform(*traffic.calm_use),
                    "near": lambda: dice.uniform(0.85, 1.0),
                    "greedy": lambda: dice.uniform(*traffic.greedy_x),
                    "spiky": lambda: dice.uniform(*traffic.calm_use),
                }[kind]()
                number += 1
                yield self.customer(f"{number:016x}", form, use, kind, dice)
                wanted -= form.units_per_s * min(1.0, use)

    def customer(self, key: str, form: PlanForm, use: float, kind: str, dice: random.Random) -> Customer:
        traffic, size = self.day.traffic, len(self.nodes)
        rate, burst = form.units_per_s, form.burst(traffic.units)
        part = max(2.0, size * dice.uniform(*form.spread))
        spread = min(size, round(min(part, form.max_spread(traffic.units))))
        made = Customer(key, form, rate, burst, dice.randrange(size), spread, use, kind)
        self.reweigh(made, dice)
        return made

    def _kind(self, dice: random.Random) -> str:
        traffic, at = self.day.traffic, dice.random()
        for kind, share in (("near", traffic.near), ("greedy", traffic.greedy), ("spiky", traffic.spiky)):
            if (at := at - share) < 0:
                return kind
        return "calm"

    def reweigh(self, customer: Customer, dice: random.Random) -> None:
        """New weights over the customer's set."""
        skew = dice.uniform(*self.day.traffic.skew)
        customer.weights = [math.exp(dice.gauss(0, skew)) for _ in range(customer.spread)]

    # What they ask.

    def start(self) -> None:
        for one in self.customers:
            self._next(one)
            self.agenda.after(self.asks.uniform(*self.day.traffic.shift_s), self._shift, one)
            if one.kind == "spiky":
                self.agenda.after(self.asks.uniform(*self.day.traffic.spike_every_s), self._spike, one, True)

    @property
    def ends(self) -> float:
        return self.started + self.day.length_s

    def _rate(self, customer: Customer) -> float:
        """Submissions a second of a customer, now."""
        plan = self.plan_factor.get(customer.plan, 1.0)
        return customer.rate * customer.use * customer.spike_factor * self.factor * plan / self.mean_units

    def _next(self, customer: Customer) -> None:
        """The next arrival, by thinning: rates may change meanwhile, so look again every half a second."""
        rate = self._rate(customer)
        wait = self.asks.expovariate(rate) if rate > 0 else 1e9
        if wait > 0.5:
            self.agenda.after(0.5, self._next, customer)
        else:
            self.agenda.after(wait, self._arrive, customer)

    def _arrive(self, customer: Customer) -> None:
        if self.agenda.now >= self.ends:
            return
        self.ask(customer)
        self._next(customer)

    def _shift(self, customer: Customer) -> None:
        self.reweigh(customer, self.asks)
        self.agenda.after(self.asks.uniform(*self.day.traffic.shift_s), self._shift, customer)

    def _spike(self, customer: Customer, on: bool) -> None:
        traffic = self.day.traffic
        customer.spike_factor = self.asks.uniform(*traffic.spike_x) / max(customer.use, 0.1) if on else 1.0
        wait = self.asks.uniform(*(traffic.spike_s if on else traffic.spike_every_s))
        self.agenda.after(wait, self._spike, customer, not on)

    def stranger(self) -> None:
        """A customer that is seen only once asks."""
        self.strangers += 1
        form = self.asks.choice(self.day.plan)
        key = f"{0x1_0000_0000 + self.strangers:016x}"
        self.ask(self.customer(key, form, 1.0, "stranger", self.asks))

    def scan(self, share: float, until: float) -> None:
        """Strangers, as a share of the usual traffic, until a moment."""
        if self.agenda.now < min(until, self.ends):
            self.stranger()
            wait = self.asks.expovariate(share * self.day.traffic.submissions_per_s)
            self.agenda.after(wait, self.scan, share, until)

    def ask(self, customer: Customer) -> None:
        """A first try."""
        dice, traffic = self.asks, self.day.traffic
        at, lane = dice.random(), self.lanes[-1][0]
        for one, share in self.lanes:
            if (at := at - share) < 0:
                lane = one
                break
        at, units = dice.random(), traffic.units
        for size, share in self.sizes:
            if (at := at - share) < 0:
                units = size
                break
        guess = min(traffic.units, max(1, round(units * math.exp(dice.gauss(0, traffic.guess_cv)))))
        mean, sigma = dice.uniform(*lane.work_s), math.sqrt(math.log(1 + lane.work_cv**2))
        work = mean * math.exp(dice.gauss(0, sigma) - sigma * sigma / 2)
        self.last_key += 1
        first = First(
            customer,
            lane,
            float(units),
            float(guess),
            work,
            f"k{self.last_key}",
            self.agenda.now,
            self.day.clients.retries,
        )
        self.referee.asked(first)
        self._try(first)

    # How each try goes.

    def _try(self, first: First) -> None:
        clients, now = self.day.clients, self.agenda.now
        self.last_id += 1
        patience = first.lane.hard_limit_s * self.dice.uniform(*clients.patience)
        trying = Try(self.last_id, first, now, now + patience)
        node = self._pick(first.customer)
        if node is None:
            self.agenda.after(0.001, self.failed, trying)
            return
        reach = self.dice.uniform(*self.day.network.client_s)
        self.agenda.after(reach, self._deliver, node, trying)
        early = self.dice.random() < self.impatient
        leaves = now + patience * self.dice.uniform(0.1, 0.9) if early else trying.deadline
        self.agenda.at(
            leaves + reach + (0 if early else self.day.rules.slack_s), self._leave, node, trying, early
        )

    def _pick(self, customer: Customer) -> Node | None:
        """An edge node of the customer's set, by its weights, of those that the front does not see down."""
        size = len(self.nodes)
        numbers = [(customer.first_node + at) % size for at in range(customer.spread)]
        weights = [
            0.0 if self.down[number] else weight
            for number, weight in zip(numbers, customer.weights, strict=True)
        ]
        if sum(weights) <= 0:
            numbers = [number for number in range(size) if not self.down[number]]
            return self.nodes[self.dice.choice(numbers)] if numbers else None
        return self.nodes[self.dice.choices(numbers, weights)[0]]

    def _deliver(self, node: Node, trying: Try) -> None:
        if not node.alive:  # refused: the front has not noticed yet
            self.failed(trying)
        else:
            node.submit(trying)

    def _leave(self, node: Node, trying: Try, early: bool) -> None:
        if trying.over:
            return
        trying.over = True
        self.referee.client_left(trying, early)
        if node.alive:
            node.leave(trying)
        if not early:
            self._again(trying)

    def served(self, trying: Try) -> None:
        """The whole answer is there."""
        if not trying.over:
            trying.over = True
            self.referee.delivered(trying, self.agenda.now)

    def failed(self, trying: Try, wait: float = 0.0) -> None:
        """It was bounced, given up or broken; `wait` is what the edge node said of when to come back."""
        if not trying.over:
            trying.over = True
            self._again(trying, wait)

    def _again(self, trying: Try, wait: float = 0.0) -> None:
        """A client may try once more, at once or after a while."""
        first, clients = trying.first, self.day.clients
        if first.retries_left <= 0 or first.settled:
            return
        first.retries_left -= 1
        pause = self.dice.uniform(*clients.wait_s)
        if wait and self.dice.random() < clients.honour:
            pause = max(pause, wait)
        self.agenda.after(pause, self._try, first)

    # What the front sees of edge nodes.

    def noticed_down(self, number: int) -> None:
        if not self.nodes[number].alive:
            self.down[number] = True

    def leaves(self, number: int) -> None:
        self.down[number] = True

    def died(self, number: int) -> None:
        self.agenda.after(self.dice.uniform(*self.day.traffic.notice_s), self.noticed_down, number)

    def up(self, number: int) -> None:
        """It has answered PING."""
        self.down[number] = False
