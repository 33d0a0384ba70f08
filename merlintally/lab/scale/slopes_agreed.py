"""Scale tests of what agreed state and members' lists cost by their length: the list of machines, app servers
that discovery no longer lists, nodes that were replaced, and who holds which shard.

Measured on single cores, without sockets; where messages are counted, as the links would frame them.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import cache
from random import Random
from statistics import median

from merlintally.cluster.agreement import PersistentState
from merlintally.cluster.copies import ReplicationSettings, Replicator
from merlintally.cluster.core import COORDINATOR_STEP_S, Cluster, NodeIdentity
from merlintally.cluster.links import decode_message
from merlintally.cluster.node import cluster_settings_of
from merlintally.cluster.work.coordinator import ReceivedReport, Report
from merlintally.cluster.work.state import Machine, Work, decode_work, machines_by_name
from merlintally.lab.scale.control_schedule import CODEC, rest_with_dead, sealed
from merlintally.lab.scale.slope import Context, Costs, Derived, Slope
from merlintally.operators import ClusterPart

MB, BYTES, CORE, SHARE = 1e6, "control_bytes_per_s", "control_core_share", "share of a core"
REPEATS = 5  # of what is timed: the median counts
LIVING = 70  # nodes among which others were replaced
COPIES, MINUTE_S = 3, 60.0
HEAD = 4  # bytes of a frame's length
MOST_STEPS = 100  # until a voter that is alone leads


def median_time(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Processor seconds."""
    found = []
    for _ in range(repeats):
        began = time.process_time()
        call()
        found.append(time.process_time() - began)
    return median(found)


def machine_list(servers: int, context: Context) -> list[Machine]:
    """One machine for each app server and one for each edge node, in as many zones as there are."""
    size = context.capacity.size
    of_servers = [
        Machine(f"m-{at:05d}", "servers", f"zone-{at % size.zones}", (), (f"s-{at:08x}",))
        for at in range(servers)
    ]
    of_nodes = [
        Machine(f"e-{at:05d}", "edge", f"zone-{at % size.zones}", (f"edge-{at:04d}",))
        for at in range(size.edge_nodes)
    ]
    return [*of_servers, *of_nodes]


@cache
def agreed(servers: int, context: Context) -> Work:
    return Work(machines=machines_by_name(machine_list(servers, context)), index=1, listed_at=1)


# App servers that are on the list of machines, and that discovery does not list.


def report(off: int) -> Report:
    return Report(1, 1, off=tuple(f"s-{at:08x}" for at in range(off)))


def renewal(off: int) -> bytes:
    return sealed("edge-0001", "w.renew", (1.0, report(off), False))


def renewal_bytes(off: int, context: Context) -> float:
    return len(renewal(off)) / ClusterPart().renew_s


def leader_of(work: Work, context: Context) -> tuple[Cluster, float]:
    """A core that leads alone, with this agreed state, and its time."""
    part = ClusterPart(voters=("edge-0000",), seeds={"edge-0000": "127.100.1.1:7600"})
    core = Cluster(
        NodeIdentity("edge-0000", "127.100.1.1:7600", 1),
        cluster_settings_of(part),
        PersistentState(),
        Random(context.seed),
        0.0,
    )
    now = 0.0
    for _ in range(MOST_STEPS):
        now += COORDINATOR_STEP_S
        core.wake(now)
        while (found := core.take_results()).persist:
            core.synced(now, found.number)
        if core.leads and core.coordinator is not None:
            break
    assert core.coordinator is not None, "a voter that is alone leads"
    core.work.machines = work.machines
    core.edge.set_work(core.work)
    return core, now


def leader_core(off: int, context: Context) -> float:
    """The share that the leader spends on reading all nodes' renewals and on its steps."""
    size = context.capacity.size
    core, now = leader_of(agreed(size.app_servers, context), context)
    assert core.coordinator is not None
    for at in range(1, size.edge_nodes):
        core.coordinator.reports[f"edge-{at:04d}"] = ReceivedReport(report(off), now + 1.0)
    frame = renewal(off)
    read_s = median_time(lambda: decode_message(CODEC.open(frame[HEAD:])), 50)

    def step() -> None:
        core.step_at = now + 1.0
        core.wake(now + 1.0)
        core.take_results()

    return read_s * size.edge_nodes / ClusterPart().renew_s + median_time(step) / COORDINATOR_STEP_S


# The list itself.


def list_bytes(servers: int, context: Context) -> float:
    return float(len(agreed(servers, context).encode()))


def list_leader(servers: int, context: Context) -> float:
    """The leader's processor seconds to hand the state to all nodes: encoded anew and sealed for each."""
    work = agreed(servers, context)
    once = median_time(lambda: sealed("edge-0000", "w.right", (1.0, 1, work.encode(), [])))
    return once * context.capacity.size.edge_nodes


def list_apply(servers: int, context: Context) -> float:
    """A node's processor seconds to read it and act by it."""
    work = agreed(servers, context)
    frame = sealed("edge-0000", "w.right", (1.0, 1, work.encode(), []))
    core, _ = leader_of(Work(), context)

    def apply() -> None:
        _, (_, _, state, _) = decode_message(CODEC.open(frame[HEAD:]))
        core.edge.set_work(decode_work(state))

    return median_time(apply)


def list_everywhere(size: int, costs: Costs) -> float:
    return costs.at("agreed.list.bytes", size) * costs.capacity.size.edge_nodes / MB


# Nodes that were replaced by others of new names.


def replaced_bytes(replaced: int, context: Context) -> float:
    with_dead = rest_with_dead(LIVING, context.seed, replaced).node.bytes
    return with_dead - rest_with_dead(LIVING, context.seed, 0).node.bytes


# Who holds which shard.


def follow_time(nodes: int, context: Context) -> float:
    names = [f"edge-{at:04d}" for at in range(nodes)]
    zones = {name: f"zone-{at % context.capacity.size.zones}" for at, name in enumerate(names)}
    copies = Replicator(names[0], 1, ReplicationSettings(COPIES), Random(context.seed), 0.0)
    copies.set_members(0.0, names, zones)
    members = [names[:-1], names]

    def follow() -> None:
        members.reverse()
        copies.set_members(0.0, members[0], zones)

    return median_time(follow)


def follow_zone_lost(size: int, costs: Costs) -> float:
    """In the minute after a zone is lost, where a node hears of each of its nodes by itself."""
    lost = size / costs.capacity.size.zones
    return lost * costs.at("agreed.copies-follow.time", size) / MINUTE_S


LOST, LOST_QUICK = (160, 330, 660, 1314), (80, 160, 330, 660)
LISTED, LISTED_QUICK = (1150, 2300, 4600, 9200), (575, 1150, 2300, 4600)
REPLACED, REPLACED_QUICK = (140, 275, 550, 1100), (70, 140, 275, 550)
NODES, NODES_QUICK = (84, 168, 335, 670), (42, 84, 168, 335)

SLOPES: tuple[Slope | Derived, ...] = (
    Slope(
        "agreed.renewal.bytes-per-s",
        "edge node",
        "app servers lost",
        "bytes/s",
        LOST,
        LOST_QUICK,
        renewal_bytes,
        "servers_lost_with_a_zone",
        BYTES,
        "renewals of a node's right, which name each app server on the list that discovery does not list",
        "renewal",
    ),
    Slope(
        "agreed.renewal.leader-core",
        "voter",
        "app servers lost",
        SHARE,
        LOST,
        LOST_QUICK,
        leader_core,
        "servers_lost_with_a_zone",
        CORE,
        "the leader reads such renewals of all nodes and takes its steps, without sockets",
        "renewal",
    ),
    Slope(
        "agreed.list.bytes",
        "edge node",
        "app servers",
        "bytes",
        LISTED,
        LISTED_QUICK,
        list_bytes,
        "app_servers",
        None,
        "agreed state with a list of machines, as a node that starts is given it",
        "list",
    ),
    Slope(
        "agreed.list.leader-time",
        "voter",
        "app servers",
        "s",
        LISTED,
        LISTED_QUICK,
        list_leader,
        "app_servers",
        None,
        "the leader's processor time to hand it to all nodes, without sockets",
        "list",
    ),
    Slope(
        "agreed.list.node-time",
        "edge node",
        "app servers",
        "s",
        LISTED,
        LISTED_QUICK,
        list_apply,
        "app_servers",
        None,
        "a node's processor time to read it and act by it",
        "list",
    ),
    Slope(
        "agreed.replaced.bytes-per-s",
        "edge node",
        "replaced nodes",
        "bytes/s",
        REPLACED,
        REPLACED_QUICK,
        replaced_bytes,
        "restarts_per_day",
        BYTES,
        "for names of nodes that are no more, which full exchanges carry; simulated time, 70 living nodes",
        "replaced",
        True,
    ),
    Slope(
        "agreed.copies-follow.time",
        "holder",
        "nodes",
        "s",
        NODES,
        NODES_QUICK,
        follow_time,
        "edge_nodes",
        None,
        "a node's processor time for each member that comes or goes, copies on",
        "follow",
    ),
    Derived(
        "agreed.list.everywhere",
        "voter",
        "app servers",
        "MB",
        LISTED,
        ("agreed.list.bytes",),
        list_everywhere,
        "app_servers",
        None,
        "sent by the leader when all nodes are given the list",
    ),
    Derived(
        "agreed.copies-follow.zone-lost-core",
        "holder",
        "nodes",
        SHARE,
        NODES,
        ("agreed.copies-follow.time",),
        follow_zone_lost,
        "edge_nodes",
        CORE,
        "in the minute after a zone is lost, copies on",
    ),
)
