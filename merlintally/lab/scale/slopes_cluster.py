"""Scale tests of the control plane by nodes: hollow nodes on sockets, and whole control parts in simulated
time for what takes minutes or hours.

Bytes and messages are those that a node sends and receives, with the frames' own heads and without those of
IP, TCP and UDP.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import cache, partial
from statistics import mean

from merlintally.lab.scale.capacity import Capacity
from merlintally.lab.scale.control_schedule import (
    Minute,
    Parted,
    Rates,
    lose_zone,
    part_regions,
    rest,
)
from merlintally.lab.scale.hollow_measure import aged, measured
from merlintally.lab.scale.slope import BudgetOf, Context, Costs, Derived, Slope

NODE, VOTER = "edge node", "voter"
BYTES, CORE = "control_bytes_per_s", "control_core_share"
SHARE = "share of a core"
OPERATORS_NODES = (
    670  # as deploy/capacity.toml has it: measured, where that can be done, and not extrapolated
)
HOLLOW_SIZES, HOLLOW_QUICK = (50, 100, 200, 400, OPERATORS_NODES), (10, 20, 40, 80)
AGED_SIZES, AGED_QUICK = (10, 20, 30, 40), (8, 12, 16, 24)
PLAYED_SIZES, PLAYED_QUICK = (35, 70, 140, 280), (14, 28, 42, 56)
LOSS_SIZES = (70, 140, 280, OPERATORS_NODES)
MOST_SEEDS, MOST_PLAYED = 4, 140  # seeds of one size, and nodes of all of them together
COPIES = 3
DAY_S = 86400.0
SOCKETS = 1024  # descriptors that a process has by default on most systems
ONE_CORE = 1.0  # what a voter on a machine set aside may use: the node's loop is one thread

# Hollow nodes on sockets.


def of_cost(name: str, unit: str, about: str, role: str = NODE, budget: str | None = None) -> Slope:
    return Slope(
        name=name,
        role=role,
        by="nodes",
        unit=unit,
        sizes=HOLLOW_SIZES,
        quick_sizes=HOLLOW_QUICK,
        measure=COSTS[name],
        size_key="edge_nodes",
        budget=budget,
        about=f"{about}; hollow nodes on loopback",
        group="hollow",
    )


def rest_bytes(size: int, context: Context) -> float:
    return measured(size, context).node.bytes


def rest_messages(size: int, context: Context) -> float:
    return measured(size, context).node.messages


def rest_core(size: int, context: Context) -> float:
    return measured(size, context).node.core_share


def rest_memory(size: int, context: Context) -> float:
    return measured(size, context).node.memory_mb


def leader_bytes(size: int, context: Context) -> float:
    return measured(size, context).leader.bytes


def leader_messages(size: int, context: Context) -> float:
    return measured(size, context).leader.messages


def leader_core(size: int, context: Context) -> float:
    return measured(size, context).leader.core_share


def leader_memory(size: int, context: Context) -> float:
    return measured(size, context).leader.memory_mb


def change_one(size: int, context: Context) -> float:
    return measured(size, context).change_one_s


def change_twenty(size: int, context: Context) -> float:
    return measured(size, context).change_twenty_s


def change_bytes(size: int, context: Context) -> float:
    return measured(size, context).change_bytes


def restart_bytes(size: int, context: Context) -> float:
    return measured(size, context).restart_bytes


COSTS: dict[str, Callable[[int, Context], float]] = {
    "cluster.rest.bytes-per-s": rest_bytes,
    "cluster.rest.messages-per-s": rest_messages,
    "cluster.rest.core": rest_core,
    "cluster.rest.memory": rest_memory,
    "cluster.leader.bytes-per-s": leader_bytes,
    "cluster.leader.messages-per-s": leader_messages,
    "cluster.leader.core": leader_core,
    "cluster.leader.memory": leader_memory,
    "cluster.change.one.time": change_one,
    "cluster.change.at-once.time": change_twenty,
    "cluster.change.bytes": change_bytes,
    "cluster.restart.bytes": restart_bytes,
}

HOLLOW = (
    of_cost(
        "cluster.rest.bytes-per-s",
        "bytes/s",
        "at rest, a node that does not vote",
        NODE,
        "control_bytes_per_s",
    ),
    of_cost("cluster.rest.messages-per-s", "messages/s", "at rest, a node that does not vote"),
    of_cost(
        "cluster.rest.core",
        "share of a core",
        "at rest, a node that does not vote",
        NODE,
        "control_core_share",
    ),
    of_cost(
        "cluster.rest.memory",
        "MB",
        "at rest, beyond the process without a cluster, few streams open",
        NODE,
        "control_memory_mb",
    ),
    of_cost("cluster.leader.bytes-per-s", "bytes/s", "at rest, the leader", VOTER, BYTES),
    of_cost("cluster.leader.messages-per-s", "messages/s", "at rest, the leader", VOTER),
    of_cost("cluster.leader.core", "share of a core", "at rest, the leader", VOTER, CORE),
    of_cost(
        "cluster.leader.memory",
        "MB",
        "at rest, the leader: a stream each way to every node, as any node has in the end",
        VOTER,
        "control_memory_mb",
    ),
    of_cost(
        "cluster.change.one.time",
        "s",
        "an entry of 1,000 bytes in the log, until the last node has applied it",
        NODE,
        "change_everywhere_s",
    ),
    of_cost(
        "cluster.change.at-once.time",
        "s",
        "changes_at_once entries of 1,000 bytes, until the last node has applied the last",
        NODE,
        "change_everywhere_s",
    ),
    of_cost("cluster.change.bytes", "bytes", "for each of the entries at once, a node that does not vote"),
    of_cost("cluster.restart.bytes", "bytes", "for the restart of another node, without full exchanges"),
)

# With a stream each way between any two.


def aged_streams(size: int, context: Context) -> float:
    return aged(size, context).streams


def sockets(capacity: Capacity) -> float:
    return float(SOCKETS)


def of_age(
    name: str,
    unit: str,
    measure: Callable[[int, Context], float],
    about: str,
    budget: str | BudgetOf,
) -> Slope:
    return Slope(
        name=name,
        role=NODE,
        by="nodes",
        unit=unit,
        sizes=AGED_SIZES,
        quick_sizes=AGED_QUICK,
        measure=measure,
        size_key="edge_nodes",
        budget=budget,
        about=about,
        group="hollow-aged",
    )


AGED = (
    of_age(
        "cluster.streams.descriptors",
        "descriptors",
        aged_streams,
        "open once a node has exchanged with every other, against the 1,024 that a process has by default",
        sockets,
    ),
)

# Simulated time. At small sizes the mean of a few seeds.


def mean_minute(minutes: Sequence[Minute]) -> Minute:
    return Minute(
        mean_rates([one.node for one in minutes]),
        mean_rates([one.leader for one in minutes]),
        mean(one.known_s for one in minutes),
    )


def mean_rates(found: Sequence[Rates]) -> Rates:
    return Rates(
        mean(one.bytes for one in found),
        mean(one.messages for one in found),
        mean(one.core_share for one in found),
    )


def seeds(size: int, context: Context) -> range:
    count = 1 if context.quick else max(1, min(MOST_SEEDS, MOST_PLAYED // size))
    return range(context.seed, context.seed + count)


@cache
def at_rest(size: int, context: Context) -> Minute:
    return mean_minute([rest(size, seed) for seed in seeds(size, context)])


@cache
def at_rest_with_copies(size: int, context: Context) -> Minute:
    return mean_minute([rest(size, seed, COPIES) for seed in seeds(size, context)])


@cache
def zone_lost(size: int, context: Context) -> Minute:
    zones = context.capacity.size.zones
    return mean_minute([lose_zone(size, seed, zones=zones) for seed in seeds(size, context)])


@cache
def parted(size: int, context: Context) -> Parted:
    found = [part_regions(size, seed) for seed in seeds(size, context)]
    return Parted(mean_minute([one.apart for one in found]), mean_minute([one.joined for one in found]))


def apart(size: int, context: Context) -> Minute:
    return parted(size, context).apart


def joined(size: int, context: Context) -> Minute:
    return parted(size, context).joined


def copies_bytes(size: int, context: Context) -> float:
    return at_rest_with_copies(size, context).node.bytes - at_rest(size, context).node.bytes


def copies_core(size: int, context: Context) -> float:
    return at_rest_with_copies(size, context).node.core_share - at_rest(size, context).node.core_share


Situation = Callable[[int, Context], Minute]
SITUATIONS: dict[str, tuple[Situation, str, str, tuple[int, ...]]] = {
    "played-rest": (at_rest, "at rest", "copies", PLAYED_SIZES),
    "zone-lost": (
        zone_lost,
        "the worst minute after a zone is lost",
        "zone",
        (*PLAYED_SIZES, OPERATORS_NODES),
    ),
    "parted": (apart, "the worst minute after two regions have lost each other", "parted", LOSS_SIZES),
    "joined": (joined, "the worst minute after they have joined again", "parted", LOSS_SIZES),
}


def minute_bytes(situation: str, size: int, context: Context) -> float:
    return SITUATIONS[situation][0](size, context).node.bytes


def minute_messages(situation: str, size: int, context: Context) -> float:
    return SITUATIONS[situation][0](size, context).node.messages


def minute_core(situation: str, size: int, context: Context) -> float:
    return SITUATIONS[situation][0](size, context).node.core_share


def minute_known(situation: str, size: int, context: Context) -> float:
    return SITUATIONS[situation][0](size, context).known_s


def played(
    name: str,
    unit: str,
    measure: Callable[[int, Context], float],
    about: str,
    group: str,
    sizes: tuple[int, ...] = PLAYED_SIZES,
    budget: str | None = None,
) -> Slope:
    return Slope(
        name=f"cluster.{name}",
        role=NODE,
        by="nodes",
        unit=unit,
        sizes=sizes,
        quick_sizes=PLAYED_QUICK,
        measure=measure,
        size_key="edge_nodes",
        budget=budget,
        about=f"{about}; simulated time",
        group=f"cluster-{group}",
        simulated=True,
    )


def of_situation(situation: str) -> list[Slope]:
    """Its rows. The share of a core is that of the core and the codec alone: the sockets' is added in
    `real_core`."""
    _, about, group, sizes = SITUATIONS[situation]
    budget = None if situation == "played-rest" else BYTES
    alone = f"{about}, core and codec alone"
    found = [
        played(
            f"{situation}.bytes-per-s",
            "bytes/s",
            partial(minute_bytes, situation),
            about,
            group,
            sizes,
            budget,
        ),
        played(
            f"{situation}.messages-per-s",
            "messages/s",
            partial(minute_messages, situation),
            about,
            group,
            sizes,
        ),
        played(f"{situation}.core-alone", SHARE, partial(minute_core, situation), alone, group, sizes),
    ]
    if situation != "played-rest":
        known = f"until every node knows: {about}"
        found.append(played(f"{situation}.known", "s", partial(minute_known, situation), known, group, sizes))
    return found


PLAYED = (
    *(slope for situation in SITUATIONS for slope in of_situation(situation)),
    played(
        "copies-rest.bytes-per-s",
        "bytes/s",
        copies_bytes,
        "copies on and nothing drawn, beside the rest",
        "copies",
    ),
    played(
        "copies-rest.core-alone", SHARE, copies_core, "copies on and nothing drawn, beside the rest", "copies"
    ),
)

# Worked out.


def day_bytes(size: int, costs: Costs) -> float:
    """Rest, changes and restarts of an ordinary day; a failed machine costs what a restart does, twice: once
    it is found dead, once it comes back."""
    told = costs.capacity.size
    events = told.restarts_per_day + 2 * told.machine_failures_per_day
    spent = events * costs.at("cluster.restart.bytes", size) + told.changes_per_day * costs.at(
        "cluster.change.bytes", size
    )
    return costs.at("cluster.rest.bytes-per-s", size) + spent / DAY_S


def real_core(situation: str, size: int, costs: Costs) -> float:
    """The hollow node's share at rest by messages, and what the core spends beyond its own share at rest."""
    a_message = costs.at("cluster.rest.core", size) / costs.at("cluster.rest.messages-per-s", size)
    alone = costs.at(f"cluster.{situation}.core-alone", size)
    beyond = alone - costs.at("cluster.played-rest.core-alone", size)
    return a_message * costs.at(f"cluster.{situation}.messages-per-s", size) + max(0.0, beyond)


def one_core(capacity: Capacity) -> float:
    return ONE_CORE


def aside_leader_core(size: int, costs: Costs) -> float:
    """The leader on a machine set aside: one of its cores is all that it can use, and no other voter shares
    its work, so that machines that are out leave it the same."""
    return costs.at("cluster.leader.core", size)


DERIVED = (
    *(
        Derived(
            name=f"cluster.{situation}.core",
            role=NODE,
            by="nodes",
            unit=SHARE,
            sizes=PLAYED_SIZES,
            sources=(
                "cluster.rest.core",
                "cluster.rest.messages-per-s",
                "cluster.played-rest.core-alone",
                f"cluster.{situation}.core-alone",
                f"cluster.{situation}.messages-per-s",
            ),
            work_out=partial(real_core, situation),
            size_key="edge_nodes",
            budget=CORE,
            about=f"{SITUATIONS[situation][1]}, with the sockets' share by messages",
        )
        for situation in ("zone-lost", "parted", "joined")
    ),
    Derived(
        name="cluster.day.bytes-per-s",
        role=NODE,
        by="nodes",
        unit="bytes/s",
        sizes=HOLLOW_SIZES,
        sources=("cluster.rest.bytes-per-s", "cluster.change.bytes", "cluster.restart.bytes"),
        work_out=day_bytes,
        size_key="edge_nodes",
        budget=BYTES,
        about="the mean of an ordinary day: changes, restarts, failed machines",
    ),
    Derived(
        name="cluster.aside.leader-core",
        role="machines set aside",
        by="nodes",
        unit=SHARE,
        sizes=HOLLOW_SIZES,
        sources=("cluster.leader.core",),
        work_out=aside_leader_core,
        size_key="edge_nodes",
        budget=one_core,
        about="the leader on one of the machines set aside, against a whole core",
    ),
)

SLOPES: tuple[Slope | Derived, ...] = (*HOLLOW, *AGED, *PLAYED, *DERIVED)
