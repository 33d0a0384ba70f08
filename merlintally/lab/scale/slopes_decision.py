"""Slopes of one decision: what the real module spends on a request.

The module runs in simulated time (driver.py); the processor time of its calls is real. `cost` is that of the
calls that take a request, name its first attempt and end it; `added` is, beside it, the wait of these calls
for other calls of the same task, wake-ups among them, replayed with the measured times.
"""

from __future__ import annotations

import gc
import tracemalloc
from functools import cache

from merlintally.lab.scale.capacity import Capacity
from merlintally.lab.scale.driver import PATIENCE_S, SimulatedNode, arrive_next, feed
from merlintally.lab.scale.slope import Context, Slope
from merlintally.lab.scale.usage import OtherNodes
from merlintally.lab.scale.workload import (
    PATIENT_CLASS,
    SMALLEST_QUOTA,
    Arrivals,
    Tenant,
    deployment,
    plan_name,
    server_list,
    tenants_of,
)
from merlintally.notes import ROW

MB = 1 << 20
REQUESTS, QUICK_REQUESTS = 2400, 600  # measured at each point: well within a minute of the peak
WARM_UP = 0.25  # of these, before
FEW_SERVERS = 200  # app servers where something else grows
OPEN_NODES = 20  # nodes that share the app servers where open requests grow: few, so that places suffice
SELDOM_DRAWN = 3.0  # units that other nodes drew of a tenant seldom seen: so it is not forgotten at once


class Measured:
    """What a run at one size gave, milliseconds and shares of a core."""

    def __init__(self, node: SimulatedNode) -> None:
        totals = node.stop_measuring()
        costs = sorted(1000 * one.cost_s for one in node.done)
        added = sorted(1000 * one.added_s for one in node.done)
        self.cost_p50, self.cost_p99 = quantile(costs, 0.5), quantile(costs, 0.99)
        self.added_p99 = quantile(added, 0.99)
        self.core_share = totals.module_s / totals.seconds
        self.wake_share = totals.wake_s / totals.seconds
        self.longest_wake = 1000 * totals.longest_wake_s


def quantile(ordered: list[float], part: float) -> float:
    """
    >>> quantile([1.0, 2.0, 3.0], 0.5)
    2.0
    """
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def requests_of(context: Context) -> int:
    return QUICK_REQUESTS if context.quick else REQUESTS


def warm_up(node: SimulatedNode, arrivals: Arrivals, context: Context) -> None:
    feed(node, arrivals, context.capacity.node_requests_per_s, int(WARM_UP * requests_of(context)))


def measured_run(node: SimulatedNode, arrivals: Arrivals, context: Context) -> Measured:
    gc.collect()
    gc.freeze()  # as a node does behind its start
    node.measure()
    feed(node, arrivals, context.capacity.node_requests_per_s, requests_of(context))
    return Measured(node)


def node_of(context: Context, tenants: list[Tenant], nodes: int | None = None) -> SimulatedNode:
    nodes = nodes or context.capacity.size.edge_nodes
    told = deployment(nodes, whole_lists=context.whole_lists)
    return SimulatedNode(told, context.seed, counter=OtherNodes(tenants, nodes, context.seed))


@cache
def by_servers(servers: int, context: Context) -> Measured:
    """A node of the operators' size, with all tenants, before so many app servers."""
    size = context.capacity.size
    tenants = tenants_of(size.tenants, size.requests_per_s)
    node = node_of(context, tenants)
    node.listed(server_list(servers, size.zones), True)
    arrivals = Arrivals(tenants, node.random)
    warm_up(node, arrivals, context)
    return measured_run(node, arrivals, context)


@cache
def by_tenants(known: int, context: Context) -> Measured:
    """A node that knows so many more tenants than those of its requests, before few app servers."""
    size = context.capacity.size
    tenants = tenants_of(size.tenants, size.requests_per_s)
    node = node_of(context, tenants)
    node.listed(server_list(FEW_SERVERS, size.zones), True)
    arrivals = Arrivals(tenants, node.random)
    make_known(node, known)
    warm_up(node, arrivals, context)
    return measured_run(node, arrivals, context)


def make_known(node: SimulatedNode, count: int) -> None:
    """Have the module know tenants that are seldom seen: a request of each that comes too late to be sent,
    and a note of another node that some of its quota is used. It forgets them a minute later."""
    patience, node.patience_s = node.patience_s, 0.001
    for number in range(count):
        node.arrive(Tenant(f"seldom-{number:05}", plan_name(SMALLEST_QUOTA), 0.0, 0.0, 0.0))
    node.patience_s = patience
    halves = int(2 * SELDOM_DRAWN)
    for customer in node.gateway.customers.values():
        if customer.key.startswith("seldom"):
            node.gateway.noted(node.now, 1, ROW.pack(customer.mark, halves))


@cache
def by_open(count: int, context: Context) -> Measured:
    """So many requests open at any time, before few app servers: a request comes when another is done."""
    size = context.capacity.size
    tenants = tenants_of(size.tenants, size.requests_per_s * 100)  # quotas that never bind
    node = node_of(context, tenants, OPEN_NODES)
    node.request_class, node.patience_s = PATIENT_CLASS, 600.0
    node.listed(server_list(FEW_SERVERS, size.zones), True)
    arrivals = Arrivals(tenants, node.random)
    node.finished = lambda _: node.at(node.now, arrive_next, node, arrivals)
    for at in range(count):
        node.at(node.now + 0.001 * at, arrive_next, node, arrivals)
    node.run_until(node.now + 0.001 * count + 1.0)
    gc.collect()
    gc.freeze()
    node.measure()
    while len(node.done) < requests_of(context):
        node.run_until(node.now + 0.05)
    return Measured(node)


def servers_cost_p50(size: int, context: Context) -> float:
    return by_servers(size, context).cost_p50


def servers_cost_p99(size: int, context: Context) -> float:
    return by_servers(size, context).cost_p99


def servers_added_p99(size: int, context: Context) -> float:
    return by_servers(size, context).added_p99


def servers_core_share(size: int, context: Context) -> float:
    return by_servers(size, context).core_share


def servers_wake_share(size: int, context: Context) -> float:
    return by_servers(size, context).wake_share


def tenants_cost_p50(size: int, context: Context) -> float:
    return by_tenants(size, context).cost_p50


def tenants_cost_p99(size: int, context: Context) -> float:
    return by_tenants(size, context).cost_p99


def tenants_added_p99(size: int, context: Context) -> float:
    return by_tenants(size, context).added_p99


def tenants_longest_wake(size: int, context: Context) -> float:
    return by_tenants(size, context).longest_wake


def tenants_wake_share(size: int, context: Context) -> float:
    return by_tenants(size, context).wake_share


def servers_longest_wake(size: int, context: Context) -> float:
    return by_servers(size, context).longest_wake


def open_longest_wake(size: int, context: Context) -> float:
    return by_open(size, context).longest_wake


def open_cost_p50(size: int, context: Context) -> float:
    return by_open(size, context).cost_p50


def open_cost_p99(size: int, context: Context) -> float:
    return by_open(size, context).cost_p99


def tenants_memory(known: int, context: Context) -> float:
    """MB that the module holds for so many tenants (tracemalloc), a request of each having come."""
    node = SimulatedNode(deployment(context.capacity.size.edge_nodes), context.seed)
    gc.collect()
    tracemalloc.start()
    make_known(node, known)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / MB


def open_at_peak(capacity: Capacity) -> int:
    """Requests open at a node where answers take as long as clients wait."""
    return round(capacity.node_requests_per_s * PATIENCE_S)


SERVERS = (20, 200, 1000, 2000, 4600, 9200)
QUICK_SERVERS = (20, 200, 2000, 9200)
TENANTS = (100, 1000, 4000, 8000, 15000)
QUICK_TENANTS = (100, 1000, 4000, 15000)
OPEN = (10, 100, 300, 1000, 3000)
QUICK_OPEN = (10, 100, 300, 1000)
LATENCY = "added_latency_p99_ms"

SLOPES = (
    *(
        Slope(
            name=f"decision.{name}.by-servers",
            role="edge node",
            by="app servers",
            unit=unit,
            sizes=SERVERS,
            quick_sizes=QUICK_SERVERS,
            measure=measure,
            size_key="app_servers",
            budget=budget,
            about=f"{about}, by app servers listed",
            group="decision by servers",
        )
        for name, unit, measure, budget, about in (
            ("cost-p50", "ms", servers_cost_p50, None, "processor time of a request's calls, median"),
            ("cost-p99", "ms", servers_cost_p99, LATENCY, "processor time of a request's calls, 99 in 100"),
            ("added-p99", "ms", servers_added_p99, LATENCY, "with the wait for other calls, 99 in 100"),
            ("core", "core", servers_core_share, None, "all of the module, at the peak, part of a core"),
            ("wake-core", "core", servers_wake_share, "control_core_share", "its wake-ups, part of a core"),
            ("longest-wake", "ms", servers_longest_wake, None, "its longest wake-up, all else waits"),
        )
    ),
    *(
        Slope(
            name=f"decision.{name}.by-tenants",
            role="edge node",
            by="tenants known",
            unit=unit,
            sizes=TENANTS,
            quick_sizes=QUICK_TENANTS,
            measure=measure,
            size_key="tenants",
            budget=budget,
            about=f"{about}, by tenants known, {FEW_SERVERS} app servers",
            group="decision by tenants",
        )
        for name, unit, measure, budget, about in (
            ("cost-p50", "ms", tenants_cost_p50, None, "processor time of a request's calls, median"),
            ("cost-p99", "ms", tenants_cost_p99, LATENCY, "processor time of a request's calls, 99 in 100"),
            ("added-p99", "ms", tenants_added_p99, LATENCY, "with the wait for other calls, 99 in 100"),
            ("wake-core", "core", tenants_wake_share, "control_core_share", "wake-ups, part of a core"),
            ("longest-wake", "ms", tenants_longest_wake, None, "its longest wake-up, all else waits"),
        )
    ),
    Slope(
        name="decision.memory.by-tenants",
        role="edge node",
        by="tenants known",
        unit="MB",
        sizes=TENANTS,
        quick_sizes=QUICK_TENANTS,
        measure=tenants_memory,
        size_key="tenants",
        budget="control_memory_mb",
        about="memory that the module holds for the tenants it knows (tracemalloc)",
    ),
    *(
        Slope(
            name=f"decision.{name}.by-open",
            role="edge node",
            by="open requests",
            unit="ms",
            sizes=OPEN,
            quick_sizes=QUICK_OPEN,
            measure=measure,
            size_key=open_at_peak,
            budget=budget,
            about=f"{about}, by requests open, {FEW_SERVERS} app servers",
            group="decision by open requests",
        )
        for name, measure, budget, about in (
            ("cost-p50", open_cost_p50, None, "processor time of a request's calls, median"),
            ("cost-p99", open_cost_p99, LATENCY, "processor time of a request's calls, 99 in 100"),
            ("longest-wake", open_longest_wake, None, "its longest wake-up, all else waits"),
        )
    ),
)
