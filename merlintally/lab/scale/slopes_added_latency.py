"""What a real edge node adds to a request, on sockets: with subsets of app servers and without, side by side.

Two node processes, alike but for their subsets, and one that stands in for app servers, discovery and the
counter (backend.py). The load tool sends to both at the same time, in an open loop, and beside that straight
to an app server, each from a process of its own (client.py). Added is the client's time from sending to the
whole answer, less that of the app server from the whole request to its answer; what is added to requests
that go straight there (`direct`) is the measurement's own, and in the other figures, too.

Where app servers grow, the nodes that share them are stated in proportion, at the same load of each: else a
node would hold requests back for a place. Other nodes draw nothing, and no notes come from them.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from merlintally.lab.scale.backend import HOST, Attempt, Record, Spec
from merlintally.lab.scale.client import Sent, Task
from merlintally.lab.scale.driver import ANSWER_S
from merlintally.lab.scale.real_nodes import RunningNode, running_backend, running_client, running_node
from merlintally.lab.scale.slope import Context, Slope
from merlintally.lab.scale.slopes_decision import quantile
from merlintally.lab.scale.workload import REQUEST_CLASS, Tenant, tenants_of
from merlintally.load.profile import CustomerLoad, LaneLoad, Profile

SUBSETS, WHOLE, DIRECT = "subsets", "whole", "direct"
WARM_UP_S, QUICK_WARM_UP_S = 20.0, 2.0
MEASURED_S, QUICK_MEASURED_S = 60.0, 5.0
# Where tenants are made known before, their draws are no longer news (15 s), and not forgotten yet (60 s).
KNOWN_WARM_UP_S, KNOWN_MEASURED_S = 16.0, 18.0
WAIT_S = 4.0  # of a client


@dataclass(frozen=True)
class Target:
    """Where one of the loads goes."""

    host: str
    port: int
    node: RunningNode | None  # None: to an app server


@dataclass(frozen=True)
class Load:
    """The requests sent to one target, and the part of a core that the node used meanwhile."""

    sent: list[Sent]
    core_share: float


@dataclass(frozen=True)
class Added:
    """What was added to the requests sent to one target, milliseconds, and what became of them."""

    p50: float
    p99: float
    core_share: float
    requests: int
    delivered: int
    repeated: int  # with more than one attempt
    handshake_share: float  # of the delivered: sent on a connection opened for it
    handshake_p50: float  # added to these
    reused_p50: float  # and to those sent on a connection that stood


@dataclass(frozen=True)
class Measured:
    """One run: by target, and the machine's load average over its last minute."""

    added: dict[str, Added]
    load_average: float


def profile_of(
    tenants: list[Tenant], nodes: int, requests_per_s: float, seconds: float, seed: int
) -> Profile:
    """The load of one node: tenants grouped by plan, each group with its part of all requests."""
    groups: dict[str, list[Tenant]] = {}
    for tenant in tenants:
        groups.setdefault(tenant.plan, []).append(tenant)
    return Profile(
        lane=(LaneLoad(name=REQUEST_CLASS, wait_s=WAIT_S),),
        customers=tuple(
            CustomerLoad(
                plan=plan,
                count=len(group),
                share=sum(one.requests_per_s for one in group),
                spread=nodes,
            )
            for plan, group in groups.items()
        ),
        rate=requests_per_s,
        seconds=seconds,
        seed=seed,
    )


def added_of(load: Load, record: Record, warm_up_s: float) -> Added:
    """Hold what clients saw against the app servers' own time."""
    first: dict[str, Attempt] = {}
    attempts: dict[str, int] = {}
    for one in record.attempts:
        first.setdefault(one.request, one)  # the first answer counts
        attempts[one.request] = attempts.get(one.request, 0) + 1
    measured = [one for one in load.sent if one.due >= warm_up_s]
    added: dict[bool, list[float]] = {True: [], False: []}  # by whether there was a handshake
    for sent in measured:
        if sent.outcome == "delivered" and sent.elapsed_s is not None:
            attempt = first[sent.request]
            own_s = attempt.answered - attempt.received
            added[attempt.handshake].append(1000 * (sent.elapsed_s - own_s))
    together = sorted(added[True] + added[False])
    if not together:
        raise RuntimeError(f"none of {len(measured)} requests was answered")
    return Added(
        p50=quantile(together, 0.5),
        p99=quantile(together, 0.99),
        core_share=load.core_share,
        requests=len(measured),
        delivered=len(together),
        repeated=sum(attempts.get(one.request, 0) > 1 for one in measured),
        handshake_share=len(added[True]) / len(together),
        handshake_p50=middle(added[True]),
        reused_p50=middle(added[False]),
    )


def middle(values: list[float]) -> float:
    """The median; 0 where there is none."""
    return quantile(sorted(values), 0.5) if values else 0.0


@dataclass(frozen=True)
class Plan:
    """How long to measure, and by what load."""

    context: Context
    warm_up_s: float
    seconds: float
    nodes: int  # that share the app servers, as the node is told
    known: int = 0  # tenants that the node knows beside those of the load

    def task(self, number: int, target: Target) -> Task:
        """The load of one target; seeds differ, so that requests do."""
        capacity = self.context.capacity
        tenants = tenants_of(capacity.size.tenants, capacity.size.requests_per_s)
        seconds, seed = self.warm_up_s + self.seconds, 10 * self.context.seed + number
        profile = profile_of(tenants, self.nodes, capacity.node_requests_per_s, seconds, seed)
        known = self.known if target.node is not None else 0
        return Task(target.host, target.port, profile, self.nodes, known)


def send_all(plan: Plan, targets: dict[str, Target]) -> dict[str, Load]:
    """Send to all targets at the same time."""
    with ExitStack() as stack:
        clients = {
            name: stack.enter_context(running_client(plan.task(number, target)))
            for number, (name, target) in enumerate(targets.items())
        }
        for client in clients.values():
            client.await_ready()
        for client in clients.values():
            client.begin()
        time.sleep(plan.warm_up_s)
        before = processor_s(targets)
        time.sleep(plan.seconds)
        after = processor_s(targets)
        return {
            name: Load(client.result(), (after[name] - before[name]) / plan.seconds)
            for name, client in clients.items()
        }


def processor_s(targets: dict[str, Target]) -> dict[str, float]:
    return {
        name: target.node.processor_s() if target.node is not None else 0.0
        for name, target in targets.items()
    }


def measure(servers: int, plan: Plan, kinds: tuple[str, ...]) -> Measured:
    """Run nodes of these kinds side by side before so many app servers."""
    spec = Spec(servers, plan.context.capacity.size.zones, ANSWER_S, seed=plan.context.seed)
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        backend = stack.enter_context(running_backend(spec))
        host, _, port = backend.addresses.servers[0].partition(":")
        targets = {DIRECT: Target(host, int(port), None)}
        for kind in kinds:
            node = stack.enter_context(running_node(folder, kind, backend, plan.nodes, kind == SUBSETS))
            targets[kind] = Target(HOST, node.port, node)
        loads = send_all(plan, targets)
        load_average = os.getloadavg()[0]
        record = backend.stop()
    added = {name: added_of(load, record, plan.warm_up_s) for name, load in loads.items()}
    return Measured(added, load_average)


def nodes_before(servers: int, context: Context) -> int:
    """Nodes in proportion to the app servers."""
    size = context.capacity.size
    return max(1, round(size.edge_nodes * servers / size.app_servers))


def plan_of(servers: int, context: Context, known: int = 0) -> Plan:
    nodes = nodes_before(servers, context)
    if context.quick:
        return Plan(context, QUICK_WARM_UP_S, QUICK_MEASURED_S, nodes, known)
    if known:
        return Plan(context, KNOWN_WARM_UP_S, KNOWN_MEASURED_S, nodes, known)
    return Plan(context, WARM_UP_S, MEASURED_S, nodes)


@cache
def by_servers(servers: int, context: Context) -> Measured:
    """Both kinds, all tenants, so many app servers."""
    return measure(servers, plan_of(servers, context), (SUBSETS, WHOLE))


@cache
def by_tenants(known: int, context: Context) -> Measured:
    """With subsets, all app servers, and so many tenants known beside those of the requests."""
    servers = context.capacity.size.app_servers
    return measure(servers, plan_of(servers, context, known), (SUBSETS,))


def servers_subsets_p50(size: int, context: Context) -> float:
    return by_servers(size, context).added[SUBSETS].p50


def servers_subsets_p99(size: int, context: Context) -> float:
    return by_servers(size, context).added[SUBSETS].p99


def servers_subsets_core(size: int, context: Context) -> float:
    return by_servers(size, context).added[SUBSETS].core_share


def servers_whole_p50(size: int, context: Context) -> float:
    return by_servers(size, context).added[WHOLE].p50


def servers_whole_p99(size: int, context: Context) -> float:
    return by_servers(size, context).added[WHOLE].p99


def servers_whole_core(size: int, context: Context) -> float:
    return by_servers(size, context).added[WHOLE].core_share


def servers_subsets_handshakes(size: int, context: Context) -> float:
    return by_servers(size, context).added[SUBSETS].handshake_share


def servers_whole_handshakes(size: int, context: Context) -> float:
    return by_servers(size, context).added[WHOLE].handshake_share


def servers_direct_p50(size: int, context: Context) -> float:
    return by_servers(size, context).added[DIRECT].p50


def servers_direct_p99(size: int, context: Context) -> float:
    return by_servers(size, context).added[DIRECT].p99


def servers_load_average(size: int, context: Context) -> float:
    return by_servers(size, context).load_average


def tenants_p50(size: int, context: Context) -> float:
    return by_tenants(size, context).added[SUBSETS].p50


def tenants_p99(size: int, context: Context) -> float:
    return by_tenants(size, context).added[SUBSETS].p99


def tenants_core(size: int, context: Context) -> float:
    return by_tenants(size, context).added[SUBSETS].core_share


def tenants_direct_p99(size: int, context: Context) -> float:
    return by_tenants(size, context).added[DIRECT].p99


def tenants_load_average(size: int, context: Context) -> float:
    return by_tenants(size, context).load_average


SERVERS = (200, 1000, 3000, 9200)
TENANTS = (200, 1000, 5000, 15000)
QUICK_TENANTS = (200, 500, 1000, 2000)  # some 25 s go by until 15,000 are known
LATENCY = "added_latency_p99_ms"
Figure = tuple[str, str, Callable[[int, Context], float], str | None, str]


Sizes = tuple[int, ...]


def slopes_of(
    by: str, of: str, sizes: Sizes, quick_sizes: Sizes, key: str, figures: tuple[Figure, ...]
) -> list[Slope]:
    """The rows of one group of runs."""
    return [
        Slope(
            name=f"added-latency.{name}.by-{by}",
            role="edge node",
            by=of,
            unit=unit,
            sizes=sizes,
            quick_sizes=quick_sizes,
            measure=measured,
            size_key=key,
            budget=budget,
            about=about,
            group=f"added latency by {by}",
        )
        for name, unit, measured, budget, about in figures
    ]


BY_SERVERS: tuple[Figure, ...] = (
    ("subsets-p50", "ms", servers_subsets_p50, None, "real node with subsets adds to a request, median"),
    ("subsets-p99", "ms", servers_subsets_p99, LATENCY, "real node with subsets adds, 99 in 100"),
    ("subsets-core", "core", servers_subsets_core, None, "real node with subsets, all its processor time"),
    (
        "subsets-handshakes",
        "a request",
        servers_subsets_handshakes,
        None,
        "real node with subsets, connections opened",
    ),
    ("whole-p50", "ms", servers_whole_p50, None, "real node without subsets adds to a request, median"),
    ("whole-p99", "ms", servers_whole_p99, LATENCY, "real node without subsets adds, 99 in 100"),
    ("whole-core", "core", servers_whole_core, None, "real node without subsets, all its processor time"),
    (
        "whole-handshakes",
        "a request",
        servers_whole_handshakes,
        None,
        "real node without subsets, connections opened",
    ),
    ("direct-p50", "ms", servers_direct_p50, None, "the measurement's own, without a node, median"),
    ("direct-p99", "ms", servers_direct_p99, None, "the measurement's own, without a node, 99 in 100"),
    ("load-average", "processes", servers_load_average, None, "the machine's load average at the run's end"),
)
BY_TENANTS: tuple[Figure, ...] = (
    ("subsets-p50", "ms", tenants_p50, None, "real node with subsets adds to a request, median"),
    ("subsets-p99", "ms", tenants_p99, LATENCY, "real node with subsets adds, 99 in 100"),
    ("subsets-core", "core", tenants_core, None, "real node with subsets, all its processor time"),
    ("direct-p99", "ms", tenants_direct_p99, None, "the measurement's own, without a node, 99 in 100"),
    ("load-average", "processes", tenants_load_average, None, "the machine's load average at the run's end"),
)
SLOPES = (
    *slopes_of("servers", "app servers", SERVERS, SERVERS, "app_servers", BY_SERVERS),
    *slopes_of("tenants", "tenants known", TENANTS, QUICK_TENANTS, "tenants", BY_TENANTS),
)
