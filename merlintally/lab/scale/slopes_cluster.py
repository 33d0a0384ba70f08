"""Scale tests of the control plane by nodes: hollow nodes on sockets, and whole control parts in simulated
time for what takes minutes or hours.

Bytes and messages are those that a node sends and receives, with the frames' own heads and without those of
IP, TCP and UDP.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import cache

from merlintally.lab.scale.capacity import Capacity
from merlintally.lab.scale.control_schedule import Minute, Parted, lose_zone, part_regions, rest
from merlintally.lab.scale.hollow_measure import AgedCost, ControlCost, aged, measured
from merlintally.lab.scale.slope import BudgetOf, Context, Costs, Derived, Slope

NODE, VOTER = "edge node", "voter"
HOLLOW_SIZES, HOLLOW_QUICK = (50, 100, 200, 400, 670), (8, 16, 24, 40)
AGED_SIZES, AGED_QUICK = (10, 20, 40, 80), (6, 8, 12, 16)
PLAYED_SIZES, PLAYED_QUICK = (35, 70, 140, 280), (14, 21, 28, 42)
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
    "control-rest-bytes": rest_bytes,
    "control-rest-messages": rest_messages,
    "control-rest-core": rest_core,
    "control-rest-memory": rest_memory,
    "control-leader-bytes": leader_bytes,
    "control-leader-messages": leader_messages,
    "control-leader-core": leader_core,
    "control-leader-memory": leader_memory,
    "change-one-time": change_one,
    "change-twenty-time": change_twenty,
    "change-bytes": change_bytes,
    "restart-bytes": restart_bytes,
}

HOLLOW = (
    of_cost("control-rest-bytes", "bytes/s", "at rest, a node that does not vote", NODE, "control_bytes_per_s"),
    of_cost("control-rest-messages", "messages/s", "at rest, a node that does not vote"),
    of_cost(
        "control-rest-core", "share of a core", "at rest, a node that does not vote", NODE, "control_core_share"
    ),
    of_cost(
        "control-rest-memory",
        "MB",
        "at rest, beyond the process without a cluster, few streams open",
        NODE,
        "control_memory_mb",
    ),
    of_cost("control-leader-bytes", "bytes/s", "at rest, the leader", VOTER, "control_bytes_per_s"),
    of_cost("control-leader-messages", "messages/s", "at rest, the leader", VOTER),
    of_cost("control-leader-core", "share of a core", "at rest, the leader", VOTER, "control_core_share"),
    of_cost("control-leader-memory", "MB", "at rest, the leader", VOTER, "control_memory_mb"),
    of_cost(
        "change-one-time",
        "s",
        "an entry of 1,000 bytes in the log, until the last node has applied it",
        NODE,
        "change_everywhere_s",
    ),
    of_cost(
        "change-twenty-time",
        "s",
        "changes_at_once entries of 1,000 bytes, until the last node has applied the last",
        NODE,
        "change_everywhere_s",
    ),
    of_cost("change-bytes", "bytes", "for each of the entries at once, a node that does not vote"),
    of_cost("restart-bytes", "bytes", "for the restart of another node, without full exchanges"),
)

# With a stream each way between any two.


def aged_streams(size: int, context: Context) -> float:
    return aged(size, context).streams


def aged_memory(size: int, context: Context) -> float:
    return aged(size, context).memory_mb


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
        "control-streams",
        "descriptors",
        aged_streams,
        "open once a node has exchanged with every other, against the 1,024 that a process has by default",
        sockets,
    ),
    of_age(
        "control-aged-memory",
        "MB",
        aged_memory,
        "beyond the process without a cluster, all streams open; hollow nodes on loopback",
        "control_memory_mb",
    ),
)

# Simulated time.


@cache
def at_rest(size: int, context: Context) -> Minute:
    return rest(size, context.seed)


@cache
def at_rest_with_copies(size: int, context: Context) -> Minute:
    return rest(size, context.seed, COPIES)


@cache
def zone_lost(size: int, context: Context) -> Minute:
    return lose_zone(size, context.seed, zones=context.capacity.size.zones)


@cache
def parted(size: int, context: Context) -> Parted:
    return part_regions(size, context.seed)


def played(
    name: str,
    unit: str,
    measure: Callable[[int, Context], float],
    about: str,
    role: str = NODE,
    budget: str | None = None,
    group: str = "",
) -> Slope:
    return Slope(
        name=name,
        role=role,
        by="nodes",
        unit=unit,
        sizes=PLAYED_SIZES,
        quick_sizes=PLAYED_QUICK,
        measure=measure,
        size_key="edge_nodes",
        budget=budget,
        about=f"{about}; simulated time, core and codec without sockets",
        group=group,
        simulated=True,
    )


def copies_bytes(size: int, context: Context) -> float:
    return at_rest_with_copies(size, context).node.bytes - at_rest(size, context).node.bytes


def copies_core(size: int, context: Context) -> float:
    return at_rest_with_copies(size, context).node.core_share - at_rest(size, context).node.core_share


def zone_lost_bytes(size: int, context: Context) -> float:
    return zone_lost(size, context).node.bytes


def zone_lost_core(size: int, context: Context) -> float:
    return zone_lost(size, context).node.core_share


def zone_lost_leader_core(size: int, context: Context) -> float:
    return zone_lost(size, context).leader.core_share


def zone_lost_known(size: int, context: Context) -> float:
    return zone_lost(size, context).known_s


def parted_bytes(size: int, context: Context) -> float:
    return parted(size, context).apart.node.bytes


def parted_core(size: int, context: Context) -> float:
    return parted(size, context).apart.node.core_share


def parted_known(size: int, context: Context) -> float:
    return parted(size, context).apart.known_s


def joined_bytes(size: int, context: Context) -> float:
    return parted(size, context).joined.node.bytes


def joined_core(size: int, context: Context) -> float:
    return parted(size, context).joined.node.core_share


def joined_known(size: int, context: Context) -> float:
    return parted(size, context).joined.known_s


BYTES, CORE = "control_bytes_per_s", "control_core_share"
SHARE = "share of a core"
PLAYED = (
    played("copies-rest-bytes", "bytes/s", copies_bytes, "beside the rest, copies on, nothing drawn", group="copies"),
    played("copies-rest-core", SHARE, copies_core, "beside the rest, copies on, nothing drawn", group="copies"),
    played("zone-lost-bytes", "bytes/s", zone_lost_bytes, "the worst minute", NODE, BYTES, "zone"),
    played("zone-lost-core", SHARE, zone_lost_core, "the worst minute", NODE, CORE, "zone"),
    played("zone-lost-leader-core", SHARE, zone_lost_leader_core, "the worst minute", VOTER, CORE, "zone"),
    played("zone-lost-known", "s", zone_lost_known, "until every node holds all of the zone to be dead", group="zone"),
    played("parted-bytes", "bytes/s", parted_bytes, "the worst minute apart", NODE, BYTES, "parted"),
    played("parted-core", SHARE, parted_core, "the worst minute apart", NODE, CORE, "parted"),
    played("parted-known", "s", parted_known, "until all hold the other region to be dead", group="parted"),
    played("joined-bytes", "bytes/s", joined_bytes, "the worst minute after they join", NODE, BYTES, "parted"),
    played("joined-core", SHARE, joined_core, "the worst minute after they join", NODE, CORE, "parted"),
    played("joined-known", "s", joined_known, "until all hold all to be alive again", group="parted"),
)

# Worked out.


def day_bytes(size: int, costs: Costs) -> float:
    """Rest, changes and restarts of an ordinary day; a failed machine costs what a restart does, twice: once
    it is found dead, once it comes back."""
    told = costs.capacity.size
    events = told.restarts_per_day + 2 * told.machine_failures_per_day
    spent = events * costs.at("restart-bytes", size) + told.changes_per_day * costs.at("change-bytes", size)
    return costs.at("control-rest-bytes", size) + spent / DAY_S


def one_core(capacity: Capacity) -> float:
    return ONE_CORE


def aside_leader_core(size: int, costs: Costs) -> float:
    """The leader on a machine set aside: one of its cores is all that it can use, and no other voter shares
    its work, so that machines that are out leave it the same."""
    return costs.at("control-leader-core", size)


def aside_voters_left(size: int, costs: Costs) -> float:
    """Voters that would be missing to a majority, on the machines set aside but for those that are out."""
    told = costs.capacity.size
    voters = most_voters(told.control_machines)
    return float(voters // 2 + 1 - (voters - told.control_machines_out))


def most_voters(machines: int) -> int:
    """Three, five or seven, one a machine."""
    return max(count for count in (1, 3, 5, 7) if count <= machines)


DERIVED = (
    Derived(
        name="control-day-bytes",
        role=NODE,
        by="nodes",
        unit="bytes/s",
        sizes=HOLLOW_SIZES,
        sources=("control-rest-bytes", "change-bytes", "restart-bytes"),
        work_out=day_bytes,
        size_key="edge_nodes",
        budget=BYTES,
        about="the mean of an ordinary day: changes, restarts, failed machines",
    ),
    Derived(
        name="aside-leader-core",
        role="machines set aside",
        by="nodes",
        unit=SHARE,
        sizes=HOLLOW_SIZES,
        sources=("control-leader-core",),
        work_out=aside_leader_core,
        size_key="edge_nodes",
        budget=one_core,
        about="the leader on one of the machines set aside, against a whole core",
    ),
)

SLOPES: tuple[Slope | Derived, ...] = (*HOLLOW, *AGED, *PLAYED, *DERIVED)
__all__ = ["SLOPES", "AgedCost", "ControlCost"]
