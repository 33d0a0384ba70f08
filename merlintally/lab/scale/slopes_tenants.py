"""Slopes of the use of tenants: the counter, notes from all to all, and how well a node knows a tenant's use.

Simulated: one real module among nodes that are modelled (usage.py, noting.py), each node with the requests
that it has at the operators' size; so the load grows with the nodes. The app servers grow with the nodes,
too, and are few for their number, as the choice among them is measured elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache

from merlintally.customer import EPOCH_S, Customer
from merlintally.lab.scale.capacity import Capacity
from merlintally.lab.scale.driver import Request, SimulatedNode, Totals, feed
from merlintally.lab.scale.noting import NotingNodes
from merlintally.lab.scale.slope import Context, Slope
from merlintally.lab.scale.usage import OtherNodes
from merlintally.lab.scale.workload import Arrivals, Tenant, deployment, server_list, tenants_of

SERVERS_PER_NODE = 2
WARM_UP_S, MEASURED_S, QUICK_MEASURED_S = 14.0, 40.0, 8.0  # simulated; nodes tell a note in 11 s
CALL = b"tally 36028797018963968 1.000000 60000\r\n"  # as merlintally.net.counter writes one
ANSWER = b"ok 123.500000\r\n"
UDP_HEADERS = 28  # bytes of IP and UDP around a note
REFUSED_WITH_ROOM = 0.04  # share of requests refused though there is room, that the design stays under


@dataclass(frozen=True)
class Knowledge:
    """How well a node knew its tenants' use at its requests."""

    age_s: float  # of the last word of others' use: mean, at the most an epoch of the counter
    error: float  # of the store believed, beside the true one: mean, as a share of the burst
    refused_with_room: float  # share of requests
    let_in_without: float  # share of requests


class Witness:
    """Looks at each decision: what the module believed of the tenant, and what was true."""

    def __init__(self, node: SimulatedNode, others: OtherNodes) -> None:
        self.node, self.others = node, others
        self.ages: list[float] = []
        self.errors: list[float] = []
        self.refused = self.let_in = self.heard_all = 0
        node.watch, node.finished = self, self.finished

    def begun(self, now: float, request: int, number: int, server: str) -> None:
        """An attempt is sent; a request's first one draws a unit."""
        if number:
            return
        tenant = self.node.open[request].tenant
        room = self.others.use(tenant.key, now).store >= 1.0
        self.others.draw(tenant.key, now, 1.0)
        if self.node.measuring:
            self.let_in += not room
            self._look(tenant, now)

    def ended(self, now: float, request: int, number: int, server: str) -> None:
        pass

    def finished(self, request: Request) -> None:
        """A request is done; without an attempt it was refused."""
        if not request.attempts and self.node.measuring:
            self.refused += self.others.use(request.tenant.key, self.node.now).store >= 1.0
            self._look(request.tenant, self.node.now)

    def _look(self, tenant: Tenant, now: float) -> None:
        customer = self.node.gateway.customers[tenant.key]
        truth = self.others.use(tenant.key, now).store
        self.errors.append(abs(believed(customer, now) - truth) / tenant.burst)
        self.ages.append(self._age(customer, now))
        self.heard_all += customer.notes_complete

    def _age(self, customer: Customer, now: float) -> float:
        """Since the counter was heard of the tenant, or the other nodes on average, whichever is less."""
        heard = self.node.gateway.peer_seen_at.values()
        notes = now - sum(heard) / len(heard) if heard else EPOCH_S
        return min(EPOCH_S, notes, now - customer.last_update_at)


def believed(customer: Customer, now: float) -> float:
    """What the module holds a tenant's store to be."""
    passed = max(0.0, now - customer.advanced_at)
    return min(customer.plan.burst, max(0.0, customer.balance + customer.plan.rate * passed))


@dataclass(frozen=True)
class Used:
    """What a run gave."""

    totals: Totals
    knowledge: Knowledge
    hears_all: float  # share of requests at which the module counted as hearing all others


@cache
def simulate(nodes: int, tenant_count: int, notes: bool, slow: bool, context: Context) -> Used:
    """One node of so many, which tell each other in notes or not, with a quick or a slow counter."""
    size, rate = context.capacity.size, context.capacity.node_requests_per_s
    tenants = tenants_of(tenant_count, rate * nodes)
    others = (NotingNodes if notes else OtherNodes)(tenants, nodes, context.seed, slow)
    told = deployment(nodes, counter=True, notes=notes, whole_lists=context.whole_lists)
    node = SimulatedNode(told, context.seed, counter=others)
    node.listed(server_list(max(size.zones, SERVERS_PER_NODE * nodes), size.zones), True)
    witness = Witness(node, others)
    if isinstance(others, NotingNodes):
        others.start(node)
    arrivals = Arrivals(tenants, node.random)
    feed(node, arrivals, rate, int(rate * WARM_UP_S))
    node.measure()
    feed(node, arrivals, rate, int(rate * (QUICK_MEASURED_S if context.quick else MEASURED_S)))
    totals = node.stop_measuring()
    decisions = len(witness.ages)
    knowledge = Knowledge(
        age_s=sum(witness.ages) / decisions,
        error=sum(witness.errors) / decisions,
        refused_with_room=witness.refused / decisions,
        let_in_without=witness.let_in / decisions,
    )
    return Used(totals, knowledge, witness.heard_all / decisions)


def with_counter(nodes: int, context: Context) -> Used:
    return simulate(nodes, context.capacity.size.tenants, False, False, context)


def with_slow_counter(nodes: int, context: Context) -> Used:
    return simulate(nodes, context.capacity.size.tenants, False, True, context)


def with_notes(nodes: int, context: Context) -> Used:
    """The counter is slow, so that what is known comes from notes."""
    return simulate(nodes, context.capacity.size.tenants, True, True, context)


def by_tenants(tenants: int, context: Context) -> Used:
    return simulate(context.capacity.size.edge_nodes, tenants, False, False, context)


def counter_calls_per_request(nodes: int, context: Context) -> float:
    totals = with_counter(nodes, context).totals
    return totals.counter_calls / totals.requests


def counter_calls_of_all(nodes: int, context: Context) -> float:
    totals = with_counter(nodes, context).totals
    return nodes * totals.counter_calls / totals.seconds


def counter_calls_by_tenants(tenants: int, context: Context) -> float:
    totals = by_tenants(tenants, context).totals
    return context.capacity.size.edge_nodes * totals.counter_calls / totals.seconds


def counter_bytes_per_s(nodes: int, context: Context) -> float:
    """Of one node: calls and answers, without TCP's own."""
    totals = with_counter(nodes, context).totals
    return totals.counter_calls / totals.seconds * len(CALL + ANSWER)


def counter_age(nodes: int, context: Context) -> float:
    return with_counter(nodes, context).knowledge.age_s


def counter_age_by_tenants(tenants: int, context: Context) -> float:
    return by_tenants(tenants, context).knowledge.age_s


def counter_error(nodes: int, context: Context) -> float:
    return with_counter(nodes, context).knowledge.error


def counter_refused(nodes: int, context: Context) -> float:
    return with_counter(nodes, context).knowledge.refused_with_room


def counter_let_in(nodes: int, context: Context) -> float:
    return with_counter(nodes, context).knowledge.let_in_without


def slow_calls_of_all(nodes: int, context: Context) -> float:
    totals = with_slow_counter(nodes, context).totals
    return nodes * totals.counter_calls / totals.seconds


def slow_age(nodes: int, context: Context) -> float:
    return with_slow_counter(nodes, context).knowledge.age_s


def slow_error(nodes: int, context: Context) -> float:
    return with_slow_counter(nodes, context).knowledge.error


def slow_refused(nodes: int, context: Context) -> float:
    return with_slow_counter(nodes, context).knowledge.refused_with_room


def slow_let_in(nodes: int, context: Context) -> float:
    return with_slow_counter(nodes, context).knowledge.let_in_without


def notes_bytes_per_s(nodes: int, context: Context) -> float:
    """Of one node: notes heard and the one that it sends to each of the others, with IP and UDP headers."""
    totals = with_notes(nodes, context).totals
    heard = totals.note_bytes_heard + UDP_HEADERS * totals.notes_heard
    sent = totals.note_bytes + UDP_HEADERS * totals.notes
    return (heard + sent) / totals.seconds


def notes_core(nodes: int, context: Context) -> float:
    """The module's processor time for notes heard; that of the sockets is not in it."""
    totals = with_notes(nodes, context).totals
    return totals.note_s / totals.seconds


def notes_hear_all(nodes: int, context: Context) -> float:
    return with_notes(nodes, context).hears_all


def notes_age(nodes: int, context: Context) -> float:
    return with_notes(nodes, context).knowledge.age_s


def notes_error(nodes: int, context: Context) -> float:
    return with_notes(nodes, context).knowledge.error


def notes_refused(nodes: int, context: Context) -> float:
    return with_notes(nodes, context).knowledge.refused_with_room


def claimed_share(capacity: Capacity) -> float:
    return REFUSED_WITH_ROOM


NODES = (5, 20, 100, 300, 670)
QUICK_NODES = (5, 20, 100, 670)
TENANTS = (100, 1000, 5000, 15000)
BYTES = "control_bytes_per_s"

SLOPES = (
    *(
        Slope(
            name=name,
            role=role,
            by="nodes",
            unit=unit,
            sizes=NODES,
            quick_sizes=QUICK_NODES,
            measure=measure,
            size_key="edge_nodes",
            budget=budget,
            about=f"simulated: {about}",
            group=name.partition(".")[0],
            simulated=True,
        )
        for name, role, unit, measure, budget, about in (
            (
                "counter.calls-per-request.by-nodes",
                "edge node",
                "calls",
                counter_calls_per_request,
                None,
                "calls to the counter a request",
            ),
            (
                "counter.calls-of-all.by-nodes",
                "counter",
                "calls/s",
                counter_calls_of_all,
                None,
                "calls to the counter a second, of all nodes",
            ),
            (
                "counter.bytes.by-nodes",
                "edge node",
                "bytes/s",
                counter_bytes_per_s,
                BYTES,
                "bytes of a node's calls and their answers",
            ),
            (
                "counter.age.by-nodes",
                "edge node",
                "s",
                counter_age,
                None,
                "age of what a node knows of others' use of a tenant, mean over requests, 60 at the most",
            ),
            (
                "counter.error.by-nodes",
                "edge node",
                "of a burst",
                counter_error,
                None,
                "error of a tenant's store at a node, mean over requests",
            ),
            (
                "counter.refused-with-room.by-nodes",
                "edge node",
                "of requests",
                counter_refused,
                claimed_share,
                "requests refused whose tenant had room",
            ),
            (
                "counter.let-in-without.by-nodes",
                "edge node",
                "of requests",
                counter_let_in,
                None,
                "requests sent whose tenant had no room",
            ),
            (
                "slow-counter.calls-of-all.by-nodes",
                "counter",
                "calls/s",
                slow_calls_of_all,
                None,
                "calls to a counter that is slow, so that nodes spare it, of all nodes",
            ),
            (
                "slow-counter.age.by-nodes",
                "edge node",
                "s",
                slow_age,
                None,
                "age of what a node knows with a slow counter, as above",
            ),
            (
                "slow-counter.error.by-nodes",
                "edge node",
                "of a burst",
                slow_error,
                None,
                "error of a tenant's store with a slow counter",
            ),
            (
                "slow-counter.refused-with-room.by-nodes",
                "edge node",
                "of requests",
                slow_refused,
                claimed_share,
                "requests refused whose tenant had room, with a slow counter",
            ),
            (
                "slow-counter.let-in-without.by-nodes",
                "edge node",
                "of requests",
                slow_let_in,
                None,
                "requests sent whose tenant had no room, with a slow counter",
            ),
            (
                "notes.bytes.by-nodes",
                "edge node",
                "bytes/s",
                notes_bytes_per_s,
                BYTES,
                "bytes of notes, all to all",
            ),
            (
                "notes.core.by-nodes",
                "edge node",
                "core",
                notes_core,
                "control_core_share",
                "the module's processor time for notes heard, part of a core",
            ),
            (
                "notes.hears-all.by-nodes",
                "edge node",
                "of requests",
                notes_hear_all,
                None,
                "requests at which a node counts as hearing all others",
            ),
            (
                "notes.age.by-nodes",
                "edge node",
                "s",
                notes_age,
                None,
                "since the other nodes were heard, or the counter; mean over requests",
            ),
            (
                "notes.error.by-nodes",
                "edge node",
                "of a burst",
                notes_error,
                None,
                "error of a tenant's store at a node, mean over requests",
            ),
            (
                "notes.refused-with-room.by-nodes",
                "edge node",
                "of requests",
                notes_refused,
                claimed_share,
                "requests refused whose tenant had room",
            ),
        )
    ),
    *(
        Slope(
            name=name,
            role=role,
            by="tenants",
            unit=unit,
            sizes=TENANTS,
            quick_sizes=TENANTS,
            measure=measure,
            size_key="tenants",
            about=f"simulated: {about}, at the operators' nodes",
            group="counter by tenants",
            simulated=True,
        )
        for name, role, unit, measure, about in (
            (
                "counter.calls-of-all.by-tenants",
                "counter",
                "calls/s",
                counter_calls_by_tenants,
                "calls to the counter a second, of all nodes",
            ),
            (
                "counter.age.by-tenants",
                "edge node",
                "s",
                counter_age_by_tenants,
                "age of what a node knows of others' use of a tenant",
            ),
        )
    ),
)
