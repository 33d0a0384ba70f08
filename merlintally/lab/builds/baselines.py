"""Decisions beside the module's, by which a figure says how far there is to go; and broken ones.

`let-all` admits everything and picks servers at random. `even` grants each edge node of a customer's set an
even, static part of its quota. `oracle` sees the true state of all quotas and servers, which no gateway can.
The broken ones each break one rule on purpose, to prove that the referee catches it.
"""

from __future__ import annotations

import random
from typing import Any

from merlintally.interface import Refusal, Results, ServerFacts
from merlintally.lab.builds.base import Build, TrueState
from merlintally.lab.judge.referee import NO_EFFECT_OUTCOMES, Bucket
from merlintally.lab.model.days import Day

WAKE_S = 0.05


class Handle:
    """A taken submission of a simple gateway: tried again while that is safe, on another server."""

    def __init__(
        self, gateway: Simple, number: int, lane: Any, units: float, now: float, time_left: float
    ) -> None:
        self.gateway, self.id, self.lane, self.units = gateway, number, lane, units
        self.taken, self.ends = now, now + time_left - 0.03
        self.sends, self.closed = 0, False
        self.out: dict[int, str] = {}
        self.risky: list[tuple[str, float]] = []  # servers that may have begun it, and when

    @property
    def settled(self) -> bool:
        return self.closed and not self.out

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
        server = self.out.pop(number, None)
        if server is None:
            return
        self.gateway.ended(now, self, server, outcome)
        if outcome in NO_EFFECT_OUTCOMES:
            self.risky = [one for one in self.risky if one[0] != server]
        if over:
            self.closed = True
        if not self.closed and not self.out:
            self.gateway.again(now, self)

    def begun(self, now: float, number: int) -> None:
        """The answer has begun to come: nothing to decide."""

    def left(self, now: float) -> None:
        self.gateway.close(self)


class Simple:
    """What the simple gateways share: the same calls as the module's, and the rules on repeats and drains."""

    def __init__(self, facts: Any, seed: int, now: float) -> None:
        self.facts, self.random, self.results = facts, random.Random(seed), Results()
        self.lanes = {one.name: one for one in facts.lanes}
        self.plans = {one.name: one for one in facts.plans}
        self.servers: dict[str, ServerFacts] = {}
        self.waiting: list[Handle] = []
        self.started = now

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
        handle = Handle(self, number, self.lanes[lane], units, now, time_left)
        if self.admits(now, key, self.plans[plan], units, gateways):
            self.send(now, handle)
        else:
            self.finish(now, handle, Refusal.NO_TIME)
        return handle

    def admits(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        return True

    def pick(self, now: float, handle: Handle) -> str | None:
        """A server at random, of those that a repeat may go to."""
        names = [one.server for one in self.servers.values() if self.may_send(now, handle, one)]
        return self.random.choice(names) if names else None

    def may_send(self, now: float, handle: Handle, server: ServerFacts) -> bool:
        if server.presence != "on":
            return False
        if server.started > 0 and now - server.started < self.facts.warm_within:
            return False  # nothing to cold servers: simple, and safe
        lane = handle.lane
        for name, since in handle.risky:
            other = self.servers.get(name)
            if lane.effect == "one-shot" or other is None:
                return bool(lane.effect == "harmless")
            if lane.effect == "stamped":
                same = lane.discard_group == "all" or (
                    other.zone == server.zone and (lane.discard_group == "zone" or other.cell == server.cell)
                )
                if not same or now - since > lane.remembered - 0.1:
                    return False
        return True

    def send(self, now: float, handle: Handle) -> None:
        if now >= handle.ends or handle.sends >= self.facts.most_executions:
            return self.finish(now, handle, Refusal.BEYOND_QUOTA)
        server = self.pick(now, handle)
        if server is None:
            if handle.risky or now > handle.taken + 0.5:
                return self.finish(now, handle, Refusal.BEYOND_QUOTA)
            self.waiting.append(handle)
            return
        handle.out[handle.sends] = server
        handle.risky.append((server, now))
        handle.sends += 1
        self.results.sends.append((handle.id, server, 0.0))

    def ended(self, now: float, handle: Handle, server: str, outcome: str) -> None:
        """An execution is over; policies that count what is out take it off."""

    def again(self, now: float, handle: Handle) -> None:
        self.send(now, handle)

    def finish(self, now: float, handle: Handle, why: Refusal) -> None:
        if handle.closed:
            return
        safe = not handle.risky or handle.lane.effect == "harmless"
        if safe:
            self.results.bounced.append((handle.id, 0.0))
        else:
            self.results.given_up.append(handle.id)
        handle.closed = True

    def close(self, handle: Handle) -> None:
        if not handle.closed:
            handle.closed = True
            self.results.withdrawn.extend((handle.id, number) for number in handle.out)

    def roster(self, now: float, entries: list[ServerFacts], complete: bool) -> None:
        if complete:
            self.servers.clear()
        self.servers.update((one.server, one) for one in entries)

    def counted(self, now: float, name: int, outcome: str, total: float, elapsed: float) -> None:
        """These do not use the counter."""

    def noted(self, now: float, peer: int, payload: bytes) -> None:
        """These send no notes."""

    def wake(self, now: float) -> None:
        waiting, self.waiting = self.waiting, []
        for handle in waiting:
            if not handle.closed:
                self.send(now, handle)

    def take_results(self, now: float) -> Results:
        results, self.results = self.results, Results()
        results.wake_after = WAKE_S if self.waiting else None
        return results


class LetAll(Simple):
    """Everything is admitted, but for what the ceiling's even part does not hold."""

    def __init__(self, facts: Any, seed: int, now: float) -> None:
        super().__init__(facts, seed, now)
        self.ceilings: dict[str, Bucket] = {}

    def admits(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        return self.ceiling(now, key, plan, units, gateways)

    def ceiling(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        if plan.ceiling_rate <= 0:
            return True
        if key not in self.ceilings:  # fills from empty: a restart refills nothing
            self.ceilings[key] = Bucket(
                plan.ceiling_rate / gateways, plan.ceiling_burst / gateways, self.started
            )
            self.ceilings[key].level = 0.0
        part = self.ceilings[key]
        if part.refill(now) < units:
            return False
        part.level -= units
        return True


class Even(LetAll):
    """Each gateway of a customer's set grants an even, static part of its quota."""

    def __init__(self, facts: Any, seed: int, now: float) -> None:
        super().__init__(facts, seed, now)
        self.quotas: dict[str, Bucket] = {}

    def admits(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        if key not in self.quotas:
            self.quotas[key] = Bucket(plan.rate / gateways, max(units, plan.burst / gateways), now)
        part = self.quotas[key]
        if part.refill(now) < units or not self.ceiling(now, key, plan, units, gateways):
            return False
        part.level -= units
        return True


class Oracle(Simple):
    """Sees the referee's books and the true state of the servers: an upper mark, not a policy."""

    def __init__(self, facts: Any, seed: int, now: float, world: TrueState) -> None:
        super().__init__(facts, seed, now)
        self.world = world

    def admits(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        shared = self.world.shared
        quotas = shared.setdefault("quotas", {})
        if key not in quotas:
            quotas[key] = Bucket(plan.rate, plan.burst, now)
        # its own copy of the books is drawn on at once, so that what is on its way counts, too
        if quotas[key].refill(now) < units:
            return False
        quotas[key].level -= units
        return True

    def pick(self, now: float, handle: Handle) -> str | None:
        """The server that truly does it soonest."""
        best, least = None, float("inf")
        for facts in self.servers.values():
            server = self.world.servers[facts.server]
            if server.state != "up" or facts.presence != "on" or not self.may_send(now, handle, facts):
                continue
            out = self.world.shared.setdefault("out", {}).get(server.name, 0)
            expected = (max(server.held, out) + 1) * server.slow / (server.speed * server.warmth(now))
            expected += server.late * 10 + 100 * (server.errors > 0.2)
            if expected < least:
                best, least = server.name, expected
        if best is not None:
            out = self.world.shared.setdefault("out", {})
            out[best] = out.get(best, 0) + 1
        return best

    def ended(self, now: float, handle: Handle, server: str, outcome: str) -> None:
        out = self.world.shared.setdefault("out", {})
        out[server] = max(0, out.get(server, 0) - 1)


class Baseline(Build):
    """A build whose gateway is one of the simple ones."""

    kinds: dict[str, Any] = {"let-all": LetAll, "even": Even, "oracle": Oracle}

    def __init__(self, name: str) -> None:
        super().__init__(name, "merlintally", f"baseline-{name}")

    def gateway(self, day: Day, number: int, seed: int, now: float, world: TrueState) -> Any:
        facts, kind = self.facts(day, number), self.kinds[self.name]
        return kind(facts, seed, now, world) if kind is Oracle else kind(facts, seed, now)


class TwoAnswers(LetAll):
    """Rule 1: gives a second final answer now and then."""

    def ended(self, now: float, handle: Handle, server: str, outcome: str) -> None:
        if outcome == "ok" and handle.id % 7 == 0:
            self.results.given_up.append(handle.id)


class RepeatsAll(LetAll):
    """Rule 2: a one-shot that broke is sent again."""

    def may_send(self, now: float, handle: Handle, server: ServerFacts) -> bool:
        return server.presence == "on"

    def again(self, now: float, handle: Handle) -> None:
        handle.risky.clear()
        super().again(now, handle)


class IgnoresDrains(LetAll):
    """Rule 3: goes on sending to servers that drain."""

    def may_send(self, now: float, handle: Handle, server: ServerFacts) -> bool:
        return server.presence != "gone" and (not handle.risky or handle.lane.effect == "harmless")


class HeatsCold(LetAll):
    """Rule 4: the newest server gets all the work."""

    def pick(self, now: float, handle: Handle) -> str | None:
        if handle.risky:
            return None
        newest = max(
            (one for one in self.servers.values() if one.presence == "on"),
            key=lambda one: one.started,
            default=None,
        )
        return newest.server if newest is not None and newest.started > 0 else super().pick(now, handle)


class NoCeiling(LetAll):
    """Rule 5: looks at no ceiling."""

    def ceiling(self, now: float, key: str, plan: Any, units: float, gateways: int) -> bool:
        return True


BROKEN: dict[str, Any] = {
    "broken-answers": TwoAnswers,
    "broken-repeats": RepeatsAll,
    "broken-drains": IgnoresDrains,
    "broken-cold": HeatsCold,
    "broken-ceilings": NoCeiling,
}
Baseline.kinds.update(BROKEN)
BASELINES: dict[str, type[Baseline]] = {name: Baseline for name in Baseline.kinds}
