"""What hollow nodes are measured at: rest, changes of agreed state, restarts; and with all streams open."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cache
from statistics import mean

from merlintally.lab.scale.hollow_cluster import (
    HollowCluster,
    HollowFailed,
    Stretch,
    Traffic,
    mean_traffic,
)
from merlintally.lab.scale.meter import Count
from merlintally.lab.scale.slope import Context

PAYLOAD = "x" * 1000  # of one change
RESTARTED = 7  # at once, or half of a small cluster's
EXCHANGE = "m.state"  # drawn by chance and large: left out where little is told from much
MB = 1e6
SETTLING = 80.0  # full exchanges a second of all nodes together, until they know each other
AGED_S = 90.0  # until all streams are open


@dataclass(frozen=True)
class Times:
    """Seconds for which each thing is looked at."""

    calm: float  # after all have settled
    rest: float
    change: float  # from changes until nothing of them is under way
    restart: float  # from restarts until nobody tells of them any more


FULL, QUICK = Times(10.0, 20.0, 2.0, 20.0), Times(1.0, 4.0, 1.0, 4.0)


@dataclass(frozen=True)
class NodeCost:
    """Of one node at rest, a second; bytes and messages are those sent and received."""

    bytes: float
    messages: float
    core_share: float
    memory_mb: float


@dataclass(frozen=True)
class ControlCost:
    """What one cluster of hollow nodes was measured at."""

    node: NodeCost  # the mean of those that do not vote
    leader: NodeCost
    change_one_s: float  # until the last node has applied one change
    change_twenty_s: float  # and twenty that begin at once
    change_bytes: float  # that a node sends and receives for each of the twenty
    restart_bytes: float  # that every other node sends and receives for each restart


def node_cost(stretch: Stretch, names: Sequence[str], alone: str) -> NodeCost:
    """Traffic and memory of these nodes, processor time of the one that has a process of its own."""
    traffic = mean_traffic(stretch, names)
    return NodeCost(
        traffic.bytes,
        traffic.messages,
        stretch.core_share(alone),
        mean(stretch.resident(name) for name in names) / MB,
    )


def control_cost(size: int, times: Times, seed: int, changes: int) -> ControlCost:
    with HollowCluster(size, seed=seed, exchange_s=max(1.0, size / SETTLING)) as cluster:
        cluster.until_settled()
        cluster.steady()
        time.sleep(times.calm)
        rest = cluster.stretch(times.rest)
        one_s = cluster.change(1, PAYLOAD)
        time.sleep(times.change)
        twenty = cluster.mark()
        twenty_s = cluster.change(changes, PAYLOAD)
        time.sleep(times.change)
        changed = Stretch(twenty, cluster.mark())
        names = cluster.followers
        count = min(RESTARTED, len(names) // 2)
        restarted, stayed = names[-count:], names[:-count]
        before = cluster.mark()
        cluster.restart(restarted)
        time.sleep(times.restart)
        restarts = Stretch(before, cluster.mark())
        return ControlCost(
            node_cost(rest, names, cluster.alone),
            node_cost(rest, [rest.leader], rest.leader),
            one_s,
            twenty_s,
            beyond_rest(changed, rest, names) / changes,
            beyond_rest(restarts, rest, stayed) / count,
        )


def beyond_rest(stretch: Stretch, rest: Stretch, names: Sequence[str]) -> float:
    """Bytes that each of these nodes sent and received beyond what it does at rest, full exchanges of
    members apart."""
    spent, usual = traffic_but_exchanges(stretch, names), traffic_but_exchanges(rest, names)
    return max(0.0, (spent.bytes - usual.bytes) * stretch.seconds)


def traffic_but_exchanges(stretch: Stretch, names: Sequence[str]) -> Traffic:
    """The mean of these nodes: exchanges are taken off at both ends."""
    found, exchanged = mean_traffic(stretch, names), stretch.calls(names).get(EXCHANGE, Count())
    return Traffic(found.sent.minus(exchanged), found.received.minus(exchanged), found.seconds)


@cache
def measured(size: int, context: Context) -> ControlCost:
    times = QUICK if context.quick else FULL
    return control_cost(size, times, context.seed, context.capacity.size.changes_at_once)


@dataclass(frozen=True)
class AgedCost:
    """Of one node once it has had a full exchange with every other: that is when a stream each way is open
    between any two, for good."""

    streams: float
    memory_mb: float


def aged_cost(size: int, seed: int) -> AgedCost:
    """Exchanges follow each other more quickly than in a real node, so that it takes seconds, not hours."""
    with HollowCluster(size, seed=seed, exchange_s=size / 800) as cluster:
        cluster.until_settled()
        ends = time.monotonic() + AGED_S
        while time.monotonic() < ends:
            stretch = cluster.stretch(1.0)
            streams = [use.streams for use in stretch.after.nodes().values()]
            if min(streams) >= 2 * (size - 1):
                names = cluster.followers
                memory = mean(stretch.resident(name) for name in names)
                return AgedCost(mean(streams), memory / MB)
    raise HollowFailed(f"not all streams were open after {AGED_S:g} s")


@cache
def aged(size: int, context: Context) -> AgedCost:
    return aged_cost(size, context.seed)
