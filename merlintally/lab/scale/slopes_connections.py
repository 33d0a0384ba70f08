"""Slopes of the connections between edge nodes and app servers, and of what a node knows of an app server.

Simulated: the real decisions choose the app servers of a node's requests, in simulated time; the node's real
`Fleet` decides which connection is used again, retired or given up, with links that open no sockets. Answers
take `driver.ANSWER_S` on average, whatever the app server.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from random import Random
from typing import Any, cast

from merlintally.choice import RECENT_ANSWER_S
from merlintally.lab.scale.driver import SimulatedNode, arrive_next
from merlintally.lab.scale.receiver import most_links
from merlintally.lab.scale.slope import Context, Costs, Derived, Slope
from merlintally.lab.scale.usage import OtherNodes
from merlintally.lab.scale.workload import Arrivals, deployment, server_list, tenants_of
from merlintally.net.configuration import Deployment
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.servers import Fleet, Link, Server
from merlintally.net.sockets import ResourceLimit
from merlintally.net.timers import Clock

SWEEP_S = 0.5  # between sweeps of idle connections, as merlintally.net.node has it
WARM_UP_S, MEASURED_S, QUICK_MEASURED_S = 8.0, 30.0, 8.0  # simulated; idle links end after 6 s


class SimulatedClock(Clock):
    """A clock that shows simulated time."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class QuietStream:
    """A connection on which nothing comes unasked."""

    def nothing_to_read(self) -> bool:
        return True


class SimulatedLink(Link):
    """A connection without a socket; it is connected at once."""

    def __init__(self, fleet: Fleet, server: Server) -> None:
        self.fleet, self.server, self.attempt = fleet, server, None
        self.stream = cast(Any, QuietStream())
        self.idle_since, self.dead, self.connected = 0.0, False, True

    def end(self) -> None:
        if not self.dead:
            self.dead = True
            self.fleet.discard(self)


class SimulatedFleet(Fleet):
    """The node's fleet, which keeps and retires connections as ever, and opens simulated ones."""

    def __init__(self, told: Deployment, clock: Clock, log: Log) -> None:
        nobody, held = cast(Any, None), ResourceLimit(told.memory)
        super().__init__(
            told, cast(Dispatcher, nobody), clock, log, nobody, ResourceLimit(most_links(told)), held
        )
        self.handshakes = self.without_descriptor = 0

    def link_for(self, name: str) -> SimulatedLink | None:
        """The connection for an attempt, as `send` finds it."""
        server = self.servers[name]
        if (link := self._take_idle(server)) is not None:
            return cast(SimulatedLink, link)
        if self.descriptors.full and not self._close_longest_idle():
            self.without_descriptor += 1
            return None
        self.handshakes += 1
        self.descriptors.acquire()
        opened = SimulatedLink(self, server)
        server.links[opened] = None
        return opened


class ConnectionWatch:
    """Follows the attempts of a simulated node on its fleet."""

    def __init__(self, node: SimulatedNode, fleet: SimulatedFleet, clock: SimulatedClock) -> None:
        self.node, self.fleet, self.clock = node, fleet, clock
        self.links: dict[tuple[int, int], SimulatedLink | None] = {}
        self.attempts = self.unfamiliar = 0
        self.answered_at: dict[str, float] = {}
        self.held: list[int] = []
        self.known: list[int] = []
        self.working: list[int] = []

    def begun(self, now: float, request: int, number: int, server: str) -> None:
        self.clock.time = now
        self.attempts += 1
        self.unfamiliar += now - self.answered_at.get(server, -RECENT_ANSWER_S) >= RECENT_ANSWER_S
        self.links[request, number] = self.fleet.link_for(server)

    def ended(self, now: float, request: int, number: int, server: str) -> None:
        self.clock.time = now
        self.answered_at[server] = now
        link = self.links.pop((request, number), None)
        if link is not None and not link.dead:
            self.fleet.release(link)

    def sweep(self) -> None:
        """Retire idle connections, and count what is held and known."""
        now = self.clock.time = self.node.now
        self.fleet.sweep()
        self.held.append(self.fleet.descriptors.used)
        self.known.append(sum(now - at < RECENT_ANSWER_S for at in self.answered_at.values()))
        self.working.append(len(self.fleet.servers))
        self.node.at(now + SWEEP_S, self.sweep)

    def reset(self) -> None:
        self.attempts = self.unfamiliar = self.fleet.handshakes = self.fleet.without_descriptor = 0
        self.held.clear()
        self.known.clear()
        self.working.clear()


@dataclass(frozen=True)
class Connections:
    """What a node's connections came to."""

    held: float  # on average
    handshakes_per_request: float
    unfamiliar_share: float  # of attempts: to an app server without an answer for RECENT_ANSWER_S seconds
    known_share: float  # of app servers that the node works with: those with such an answer


@cache
def simulate(servers: int, requests_per_s: float, context: Context) -> Connections:
    """A node with so many requests a second, before so many app servers."""
    size = context.capacity.size
    tenants = tenants_of(size.tenants, size.requests_per_s)
    told = deployment(size.edge_nodes, whole_lists=context.whole_lists)
    clock = SimulatedClock()
    fleet = SimulatedFleet(told, clock, Log(told.name, told.bounds.log_lines))
    counter = OtherNodes(tenants, size.edge_nodes, context.seed)
    node = SimulatedNode(told, context.seed, counter=counter, connections=fleet.update_servers)
    node.watch = watch = ConnectionWatch(node, fleet, clock)
    node.listed(server_list(servers, size.zones), True)
    arrivals, chance = Arrivals(tenants, node.random), Random(context.seed)

    def next_request() -> None:
        arrive_next(node, arrivals)
        node.at(node.now + chance.expovariate(requests_per_s), next_request)

    node.at(node.now, next_request)
    node.at(node.now, watch.sweep)
    node.run_until(node.now + WARM_UP_S)
    watch.reset()
    node.measure()
    node.run_until(node.now + (QUICK_MEASURED_S if context.quick else MEASURED_S))
    requests = node.stop_measuring().requests
    return Connections(
        held=sum(watch.held) / len(watch.held),
        handshakes_per_request=fleet.handshakes / requests,
        unfamiliar_share=watch.unfamiliar / watch.attempts,
        known_share=sum(watch.known) / sum(watch.working),
    )


def by_servers(servers: int, context: Context) -> Connections:
    return simulate(servers, context.capacity.node_requests_per_s, context)


def by_requests(requests_per_s: int, context: Context) -> Connections:
    size = context.capacity.size
    return simulate(size.app_servers, requests_per_s / size.edge_nodes, context)


def servers_held(servers: int, context: Context) -> float:
    return by_servers(servers, context).held


def servers_handshakes(servers: int, context: Context) -> float:
    return by_servers(servers, context).handshakes_per_request


def servers_unfamiliar(servers: int, context: Context) -> float:
    return by_servers(servers, context).unfamiliar_share


def servers_known(servers: int, context: Context) -> float:
    return by_servers(servers, context).known_share


def requests_held(requests_per_s: int, context: Context) -> float:
    return by_requests(requests_per_s, context).held


def requests_handshakes(requests_per_s: int, context: Context) -> float:
    return by_requests(requests_per_s, context).handshakes_per_request


def requests_unfamiliar(requests_per_s: int, context: Context) -> float:
    return by_requests(requests_per_s, context).unfamiliar_share


def at_an_app_server(servers: int, costs: Costs) -> float:
    """Connections that one app server holds, of all nodes."""
    return costs.capacity.size.edge_nodes * costs.at("connections.node.by-servers", servers) / servers


def handshakes_of_all(servers: int, costs: Costs) -> float:
    """Handshakes a second that all nodes make."""
    return costs.capacity.size.requests_per_s * costs.at("connections.handshakes.by-servers", servers)


SERVERS = (20, 200, 1000, 2000, 4600, 9200)
QUICK_SERVERS = (20, 200, 2000, 9200)
REQUESTS = (5_000, 10_000, 21_000, 42_000, 84_000)
QUICK_REQUESTS = (5_000, 10_000, 21_000, 42_000)

SLOPES = (
    *(
        Slope(
            name=f"connections.{name}.by-servers",
            role="edge node",
            by="app servers",
            unit=unit,
            sizes=SERVERS,
            quick_sizes=QUICK_SERVERS,
            measure=measure,
            size_key="app_servers",
            about=f"simulated: {about}",
            group="connections by servers",
            simulated=True,
        )
        for name, unit, measure, about in (
            ("node", "connections", servers_held, "connections to app servers that a node holds"),
            ("handshakes", "a request", servers_handshakes, "connections opened a request"),
            ("unfamiliar", "share", servers_unfamiliar, "attempts to a server silent for over 5 s"),
            ("known", "share", servers_known, "app servers that a node works with, answered within 5 s"),
        )
    ),
    *(
        Slope(
            name=f"connections.{name}.by-requests",
            role="edge node",
            by="requests a second of all nodes",
            unit=unit,
            sizes=REQUESTS,
            quick_sizes=QUICK_REQUESTS,
            measure=measure,
            size_key="requests_per_s",
            about=f"simulated: {about}, before all app servers",
            group="connections by requests",
            simulated=True,
        )
        for name, unit, measure, about in (
            ("node", "connections", requests_held, "connections to app servers that a node holds"),
            ("handshakes", "a request", requests_handshakes, "connections opened a request"),
            ("unfamiliar", "share", requests_unfamiliar, "attempts to a server silent for over 5 s"),
        )
    ),
    Derived(
        name="connections.app-server.by-servers",
        role="app server",
        by="app servers",
        unit="connections",
        sizes=SERVERS,
        sources=("connections.node.by-servers",),
        work_out=at_an_app_server,
        size_key="app_servers",
        about="connections that an app server holds, of all nodes",
    ),
    Derived(
        name="connections.handshakes-of-all.by-servers",
        role="app server",
        by="app servers",
        unit="a second",
        sizes=SERVERS,
        sources=("connections.handshakes.by-servers",),
        work_out=handshakes_of_all,
        size_key="app_servers",
        about="connections opened a second, by all nodes together",
    ),
)
