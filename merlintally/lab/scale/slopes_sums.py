"""Slopes of summed use by holders of copies (docs/copies.md): bytes, processor time and age, by nodes.

Simulated: the real `Copies` of every node, in one process and in simulated time, which send each other the
frames that real nodes would send (counted as they would be written, without TCP's own). Each node draws at
the rate of its requests, of tenants at random, and tells its copies at once; no node fails, nothing is lost.
"""

from __future__ import annotations

import heapq
import time
from dataclasses import dataclass
from functools import cache
from random import Random
from typing import Any

from merlintally.cluster.copies import ReplicationSettings, Replicator
from merlintally.cluster.links import Codec
from merlintally.lab.scale.slope import Context, Slope
from merlintally.lab.scale.workload import Arrivals, tenants_of, zone_name
from merlintally.operators import ClusterPart

WARM_UP_S, MEASURED_S, QUICK_MEASURED_S = 4.0, 8.0, 3.0  # simulated
ROUND_S = 0.1  # between a node's draws, all at once
ON_THE_WAY_S = 0.002  # until a message arrives
COPIES = 3
UNBOUNDED = 1e9  # bytes a second, so that nothing waits


@dataclass(frozen=True)
class Sums:
    """What the copies of one node came to, on average."""

    bytes_per_s: float  # sent and received
    core: float  # processor time of its part, without sockets
    age_s: float  # of what a node has heard that others drew of its tenants


class Rig:
    """All nodes' copies and what is on its way between them."""

    def __init__(self, nodes: int, budget: float, context: Context) -> None:
        size, rate = context.capacity.size, context.capacity.node_requests_per_s
        random = Random(context.seed)
        names = [f"n{number:03}" for number in range(nodes)]
        zones = {name: zone_name(number % size.zones) for number, name in enumerate(names)}
        terms = ReplicationSettings(copies=COPIES, bytes_per_s=budget)
        self.now, self.rate, self.random = 1000.0, rate, random
        self.copies = {name: Replicator(name, 1, terms, Random(random.random()), self.now) for name in names}
        for one in self.copies.values():
            one.set_members(self.now, names, zones)
            one.caught_up = True
        self.arrivals = Arrivals(tenants_of(size.tenants, rate * nodes), random)
        self.codec = Codec("scale", "secret")
        self.bytes, self.spent_s = 0, 0.0
        self.drawn: dict[str, dict[str, float]] = {}  # units by tenant and node
        self._due: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self._order = 0
        for name in names:
            self._at(self.now + ROUND_S * random.random(), name, ("draw",))
            self._at(self.now, name, ("wake",))

    def _at(self, when: float, name: str, what: tuple[Any, ...]) -> None:
        self._order += 1
        heapq.heappush(self._due, (when, self._order, name, what))

    def run_until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end:
            self.now, _, name, what = heapq.heappop(self._due)
            self._do(name, what)
        self.now = end

    def _do(self, name: str, what: tuple[Any, ...]) -> None:
        one = self.copies[name]
        keys = self._draws(name) if what[0] == "draw" else []
        begun = time.process_time()
        if what[0] == "draw":
            for key in keys:
                one.draw(self.now, key, 1.0)
        elif what[0] == "wake":
            one.wake(self.now)
        else:
            one.receive(self.now, *what[1:])
        results = one.take_results()
        frames = [(to, call, args, self.codec.frame((call, args))) for to, call, args in results.sends]
        self.spent_s += time.process_time() - begun
        for to, call, args, frame in frames:
            self.bytes += len(frame)
            self._at(self.now + ON_THE_WAY_S, to, ("hear", name, call, args))
        if what[0] == "draw":
            self._at(self.now + ROUND_S, name, ("draw",))
        elif what[0] == "wake":
            self._at(max(results.wake_at, self.now + 0.001), name, ("wake",))

    def _draws(self, name: str) -> list[str]:
        """Of which tenants a node draws a unit in a round."""
        mean = self.rate * ROUND_S
        count = int(mean) + (self.random.random() < mean % 1)
        keys = [self.arrivals.tenant().key for _ in range(count)]
        for key in keys:
            by_node = self.drawn.setdefault(key, {})
            by_node[name] = by_node.get(name, 0.0) + 1.0
        return keys

    def unheard(self) -> float:
        """Units that others drew of a node's tenants and that it has not heard of, over all nodes."""
        missing = 0.0
        for key, by_node in self.drawn.items():
            total = sum(by_node.values())
            for name, own in by_node.items():
                missing += max(0.0, total - own - self.copies[name].sums.get(key, 0.0))
        return missing


@cache
def simulate(nodes: int, bounded: bool, context: Context) -> Sums:
    """So many nodes, with the byte budget that a node has by default or with none."""
    rig = Rig(nodes, ClusterPart().copy_bytes_s if bounded else UNBOUNDED, context)
    rig.run_until(rig.now + WARM_UP_S)
    rig.bytes, rig.spent_s = 0, 0.0
    seconds = QUICK_MEASURED_S if context.quick else MEASURED_S
    rig.run_until(rig.now + seconds)
    # By Little's law: what is drawn and not heard yet, over what is drawn a second, is how old news are.
    heard_of = sum(sum(by_node.values()) * (len(by_node) - 1) for by_node in rig.drawn.values())
    flow = heard_of / (WARM_UP_S + seconds)
    return Sums(
        bytes_per_s=2 * rig.bytes / seconds / nodes,
        core=rig.spent_s / seconds / nodes,
        age_s=rig.unheard() / flow if flow else 0.0,
    )


def wanted_bytes(nodes: int, context: Context) -> float:
    return simulate(nodes, False, context).bytes_per_s


def wanted_core(nodes: int, context: Context) -> float:
    return simulate(nodes, False, context).core


def wanted_age(nodes: int, context: Context) -> float:
    return simulate(nodes, False, context).age_s


def bounded_bytes(nodes: int, context: Context) -> float:
    return simulate(nodes, True, context).bytes_per_s


def bounded_age(nodes: int, context: Context) -> float:
    return simulate(nodes, True, context).age_s


NODES = (5, 10, 20, 40, 80, 160)
QUICK_NODES = (5, 10, 20, 40)

SLOPES = tuple(
    Slope(
        name=f"sums.{name}.by-nodes",
        role="holder",
        by="nodes",
        unit=unit,
        sizes=NODES,
        quick_sizes=QUICK_NODES,
        measure=measure,
        size_key="edge_nodes",
        budget=budget,
        about=f"simulated: {about}",
        group=group,
        simulated=True,
    )
    for name, unit, measure, budget, group, about in (
        (
            "bytes",
            "bytes/s",
            wanted_bytes,
            "control_bytes_per_s",
            "sums",
            "bytes a node sends and receives for summed use, without its byte budget",
        ),
        (
            "core",
            "core",
            wanted_core,
            "control_core_share",
            "sums",
            "processor time of a node's copies, part of a core, without its byte budget",
        ),
        ("age", "s", wanted_age, None, "sums", "age of what a node hears of others' use, without the budget"),
        (
            "bounded-bytes",
            "bytes/s",
            bounded_bytes,
            "control_bytes_per_s",
            "sums bounded",
            "bytes with the byte budget of the default settings",
        ),
        ("bounded-age", "s", bounded_age, None, "sums bounded", "age with that budget"),
    )
)
