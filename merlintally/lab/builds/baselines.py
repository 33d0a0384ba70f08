"""Baseline decisions for comparison, and broken ones that test the referee.

`let-all` admits everything and picks servers at random. `even` gives each edge node of a customer's set an
equal, static share of its quota. `oracle` uses the true state of all quotas and servers, which no real
gateway can. Each broken one violates one rule, which the referee must report.
"""

from __future__ import annotations

import random
from typing import Any

from merlintally.interface import Refusal, Results, ServerFacts
from merlintally.lab.builds.base import Build, TrueState
from merlintally.lab.judge.referee import NO_EFFECT_OUTCOMES, Bucket
from merlintally.lab.model.days import Day

RETRY_INTERVAL_S = 0.05


class Handle:
    """A submission of a simple gateway, retried on another server as long as that is safe."""

    def __init__(
        self, gateway: SimpleGateway, number: int, lane: Any, units: float, now: float, time_left: float
    ) -> None:
        self.gateway, self.id, self.lane, self.units = gateway, number, lane, units
        self.taken_at, self.deadline = now, now + time_left - 0.03
        self.send_count, self.closed = 0, False
        self.in_flight: dict[int, str] = {}  # execution number -> server
        self.may_have_run: list[tuple[str, float]] = []  # servers that may have run it, and sending times

    @property
    def settled(self) -> bool:
        """Whether it has its final answer and no execution is in flight."""
        return self.closed and not self.in_flight

    def ended(
        self,
        now: float,
        number: int,
        outcome: str,
        elapsed: float,
        over: bool,
        actual: float = 0.0,
        report: Any = None,
    ) -> None:
        """An execution has ended."""
        server = self.in_flight.pop(number, None)
        if server is None:
            return
        self.gateway.ended(now, self, server, outcome)
        if outcome in NO_EFFECT_OUTCOMES:
            self.may_have_run = [one for one in self.may_have_run if one[0] != server]
        if over:
            self.closed = True
        if not self.closed and not self.in_flight:
            self.gateway.retry(now, self)

    def begun(self, now: float, number: int) -> None:
        """The answer has started to arrive: nothing to decide."""

    def left(self, now: float) -> None:
        """The client has gone away."""
        self.gateway.close(self)


class SimpleGateway:
    """Base of the simple gateways: the interface of `choice.Gateway`, and the rules on repeats and drains."""

    def __init__(self, facts: Any, seed: int, now: float) -> None:
        self.facts, self.random, self.results = facts, random.Random(seed), Results()
        self.lanes = {one.name: one for one in facts.lanes}
        self.plans = {one.name: one for one in facts.plans}
        self.servers: dict[str, ServerFacts] = {}
        self.waiting: list[Handle] = []
        self.started_at = now

    def take(
        self,
        now: float,
        number: int,
        lane: str,
        key: str,
        plan: str,
        time_left: float,
        units: float,
        gateways: int,
    ) -> Handle:
        """Take a submission: send it or bounce it."""
        handle = Handle(self, number, self.lanes[lane], units, now, time_left)
        if self.admits(now, key, self.plans[plan], units, gateways):
            self.send(now, handle)
        else:
            self.finish(now, handle, Refusal.NO_TIME)
        return handle

    def admits(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        """Whether the customer may have these units now."""
        return True

    def pick_server(self, now: float, handle: Handle) -> str | None:
        """A random server among those that this submission may be sent to."""
        names = [one.server for one in self.servers.values() if self.may_send(now, handle, one)]
        return self.random.choice(names) if names else None

    def may_send(self, now: float, handle: Handle, server: ServerFacts) -> bool:
        """Whether rules 2, 3 and 4 permit sending it to this server."""
        if server.presence != "on":
            return False
        if server.started > 0 and now - server.started < self.facts.warm_within:
            return False  # cold servers get nothing, which satisfies rule 4
        lane = handle.lane
        for name, sent_at in handle.may_have_run:
            other = self.servers.get(name)
            if lane.effect == "one-shot" or other is None:
                return bool(lane.effect == "harmless")
            if lane.effect == "stamped":
                same_group = lane.discard_group == "all" or (
                    other.zone == server.zone and (lane.discard_group == "zone" or other.cell == server.cell)
                )
                if not same_group or now - sent_at > lane.remembered - 0.1:
                    return False
        return True

    def send(self, now: float, handle: Handle) -> None:
        """Send it to a server; wait for one up to 0.5 s, and finish it if there is none."""
        if now >= handle.deadline or handle.send_count >= self.facts.most_executions:
            return self.finish(now, handle, Refusal.BEYOND_QUOTA)
        server = self.pick_server(now, handle)
        if server is None:
            if handle.may_have_run or now > handle.taken_at + 0.5:
                return self.finish(now, handle, Refusal.BEYOND_QUOTA)
            self.waiting.append(handle)
            return
        handle.in_flight[handle.send_count] = server
        handle.may_have_run.append((server, now))
        handle.send_count += 1
        self.results.sends.append((handle.id, server, 0.0))

    def ended(self, now: float, handle: Handle, server: str, outcome: str) -> None:
        """An execution has ended; for gateways that count executions in flight."""

    def retry(self, now: float, handle: Handle) -> None:
        """Send it again after a failure."""
        self.send(now, handle)

    def finish(self, now: float, handle: Handle, why: Refusal) -> None:
        """Give the final answer: bounced if the client may safely repeat it, otherwise given up."""
        if handle.closed:
            return
        may_repeat = not handle.may_have_run or handle.lane.effect == "harmless"
        if may_repeat:
            self.results.bounced.append((handle.id, 0.0))
        else:
            self.results.given_up.append(handle.id)
        handle.closed = True

    def close(self, handle: Handle) -> None:
        """Withdraw the executions of a submission whose client has gone away."""
        if not handle.closed:
            handle.closed = True
            self.results.withdrawn.extend((handle.id, number) for number in handle.in_flight)

    def roster(self, now: float, entries: list[ServerFacts], complete: bool) -> None:
        """Update the list of servers; `complete` if it replaces the list."""
        if complete:
            self.servers.clear()
        self.servers.update((one.server, one) for one in entries)

    def counted(self, now: float, name: int, outcome: str, total: float, elapsed: float) -> None:
        """Not used: these gateways don't call the counter."""

    def noted(self, now: float, peer: int, payload: bytes) -> None:
        """Not used: these gateways don't send notes."""

    def wake(self, now: float) -> None:
        """Retry the submissions that wait for a server."""
        waiting, self.waiting = self.waiting, []
        for handle in waiting:
            if not handle.closed:
                self.send(now, handle)

    def take_results(self, now: float) -> Results:
        """Results since the last call."""
        results, self.results = self.results, Results()
        results.wake_after = RETRY_INTERVAL_S if self.waiting else None
        return results


class AdmitsAll(SimpleGateway):
    """Admits everything within an equal share of the ceiling."""

    def __init__(self, facts: Any, seed: int, now: float) -> None:
        super().__init__(facts, seed, now)
        self.ceilings: dict[str, Bucket] = {}

    def admits(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        return self.within_ceiling(now, key, plan, units, gateways)

    def within_ceiling(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        """Draw units from this gateway's share of the ceiling; False if it is short of them."""
        if plan.ceiling_rate <= 0:
            return True
        if key not in self.ceilings:  # starts empty, so that a restart grants no units
            self.ceilings[key] = Bucket(
                plan.ceiling_rate / gateways, plan.ceiling_burst / gateways, self.started_at
            )
            self.ceilings[key].level = 0.0
        share = self.ceilings[key]
        if share.refill(now) < units:
            return False
        share.level -= units
        return True


class EvenShares(AdmitsAll):
    """Gives each gateway of a customer's set an equal, static share of its quota."""

    def __init__(self, facts: Any, seed: int, now: float) -> None:
        super().__init__(facts, seed, now)
        self.quotas: dict[str, Bucket] = {}

    def admits(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        if key not in self.quotas:
            self.quotas[key] = Bucket(plan.rate / gateways, max(units, plan.burst / gateways), now)
        share = self.quotas[key]
        if share.refill(now) < units or not self.within_ceiling(now, key, plan, units, gateways):
            return False
        share.level -= units
        return True


class Oracle(SimpleGateway):
    """Uses quotas shared by all gateways and the true state of the servers: an upper bound."""

    def __init__(self, facts: Any, seed: int, now: float, world: TrueState) -> None:
        super().__init__(facts, seed, now)
        self.world = world

    def admits(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        shared = self.world.shared
        quotas = shared.setdefault("quotas", {})
        if key not in quotas:
            quotas[key] = Bucket(plan.rate, plan.burst, now)
        # Charged on admission, so that executions on their way to a server count.
        if quotas[key].refill(now) < units:
            return False
        quotas[key].level -= units
        return True

    def pick_server(self, now: float, handle: Handle) -> str | None:
        """The server with the least cost by its true state: expected time, and penalties for failures."""
        best, least_cost = None, float("inf")
        for facts in self.servers.values():
            server = self.world.servers[facts.server]
            if server.state != "up" or facts.presence != "on" or not self.may_send(now, handle, facts):
                continue
            in_flight = self.world.shared.setdefault("out", {}).get(server.name, 0)
            cost = (max(server.held, in_flight) + 1) * server.slow / (server.speed * server.warmth(now))
            cost += server.extra_time_s * 10 + 100 * (server.errors > 0.2)
            if cost < least_cost:
                best, least_cost = server.name, cost
        if best is not None:
            counts = self.world.shared.setdefault("out", {})
            counts[best] = counts.get(best, 0) + 1
        return best

    def ended(self, now: float, handle: Handle, server: str, outcome: str) -> None:
        counts = self.world.shared.setdefault("out", {})
        counts[server] = max(0, counts.get(server, 0) - 1)


class Baseline(Build):
    """A build whose gateway is one of the simple gateways."""

    gateway_classes: dict[str, Any] = {"let-all": AdmitsAll, "even": EvenShares, "oracle": Oracle}

    def __init__(self, name: str) -> None:
        super().__init__(name, "merlintally", f"baseline-{name}")

    def gateway(self, day: Day, number: int, seed: int, now: float, world: TrueState) -> Any:
        facts, gateway_class = self.facts(day, number), self.gateway_classes[self.name]
        return (
            gateway_class(facts, seed, now, world)
            if gateway_class is Oracle
            else gateway_class(facts, seed, now)
        )


class AnswersTwice(AdmitsAll):
    """Breaks rule 1: gives a second final answer to some submissions."""

    def ended(self, now: float, handle: Handle, server: str, outcome: str) -> None:
        if outcome == "ok" and handle.id % 7 == 0:
            self.results.given_up.append(handle.id)


class RepeatsOneShots(AdmitsAll):
    """Breaks rule 2: sends a one-shot submission again after a failure."""

    def may_send(self, now: float, handle: Handle, server: ServerFacts) -> bool:
        return server.presence == "on"

    def retry(self, now: float, handle: Handle) -> None:
        handle.may_have_run.clear()
        super().retry(now, handle)


class IgnoresDrains(AdmitsAll):
    """Breaks rule 3: sends to draining servers."""

    def may_send(self, now: float, handle: Handle, server: ServerFacts) -> bool:
        return server.presence != "gone" and (not handle.may_have_run or handle.lane.effect == "harmless")


class OverloadsColdServers(AdmitsAll):
    """Breaks rule 4: sends all work to the newest server."""

    def pick_server(self, now: float, handle: Handle) -> str | None:
        if handle.may_have_run:
            return None
        newest = max(
            (one for one in self.servers.values() if one.presence == "on"),
            key=lambda one: one.started,
            default=None,
        )
        return (
            newest.server if newest is not None and newest.started > 0 else super().pick_server(now, handle)
        )


class IgnoresCeilings(AdmitsAll):
    """Breaks rule 5: ignores the ceiling."""

    def within_ceiling(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        return True


BROKEN: dict[str, Any] = {
    "broken-answers": AnswersTwice,
    "broken-repeats": RepeatsOneShots,
    "broken-drains": IgnoresDrains,
    "broken-cold": OverloadsColdServers,
    "broken-ceilings": IgnoresCeilings,
}
Baseline.gateway_classes.update(BROKEN)
BASELINES: dict[str, type[Baseline]] = {name: Baseline for name in Baseline.gateway_classes}
