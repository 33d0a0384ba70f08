"""What the machines set aside for control carry for the counter and for discovery, from other rows.

The counter and discovery are services beside this program: what comes to them is worked out, not what they
spend on it. All of it is dealt out evenly over the machines, or over those left when some are out.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from merlintally.lab.scale.slope import Costs, Derived
from merlintally.lab.scale.slopes_lists import polls_per_s

MB = 1e6
CONNECTIONS_PER_NODE = 2  # one to the counter, one to discovery
NODES = (20, 100, 300, 670)

Load = Callable[[int, Costs], float]


def a_machine(load: Load, some_out: bool, nodes: int, costs: Costs) -> float:
    """A load of all nodes on one machine."""
    size = costs.capacity.size
    machines = size.control_machines - (size.control_machines_out if some_out else 0)
    return load(nodes, costs) / machines


def counter_calls(nodes: int, costs: Costs) -> float:
    return costs.at("counter.calls-of-all.by-nodes", nodes)


def counter_bytes(nodes: int, costs: Costs) -> float:
    return nodes * costs.at("counter.bytes.by-nodes", nodes)


def discovery_calls(nodes: int, costs: Costs) -> float:
    """Watches without news."""
    return nodes * polls_per_s()


def discovery_bytes(nodes: int, costs: Costs) -> float:
    return nodes * costs.at_operators_size("list.day.bytes-per-s")


def zone_lost(nodes: int, costs: Costs) -> float:
    return nodes * costs.at_operators_size("list.zone-lost.bytes") / MB


def all_start(nodes: int, costs: Costs) -> float:
    return nodes * costs.at_operators_size("list.whole.bytes") / MB


def connections(nodes: int, costs: Costs) -> float:
    return float(nodes * CONNECTIONS_PER_NODE)


LOADS: tuple[tuple[str, str, str, Load, tuple[str, ...], str], ...] = (
    (
        "counter-calls",
        "counter",
        "calls/s",
        counter_calls,
        ("counter.calls-of-all.by-nodes",),
        "calls to a quick counter",
    ),
    (
        "counter-bytes",
        "counter",
        "bytes/s",
        counter_bytes,
        ("counter.bytes.by-nodes",),
        "bytes of these calls and their answers",
    ),
    ("discovery-calls", "discovery", "calls/s", discovery_calls, ("list.poll.bytes",), "watches of the list"),
    (
        "discovery-bytes",
        "discovery",
        "bytes/s",
        discovery_bytes,
        ("list.day.bytes-per-s",),
        "watches and changes on an ordinary day",
    ),
    (
        "zone-lost",
        "discovery",
        "MB",
        zone_lost,
        ("list.zone-lost.bytes",),
        "to send at once when a zone's app servers go",
    ),
    ("all-start", "discovery", "MB", all_start, ("list.whole.bytes",), "whole lists, when all nodes start"),
    ("connections", "counter, discovery", "connections", connections, (), "connections of nodes"),
)

SLOPES = tuple(
    Derived(
        name=f"control.{name}.{'some-out' if some_out else 'all'}",
        role=role,
        by="nodes",
        unit=unit,
        sizes=NODES,
        sources=sources,
        work_out=partial(a_machine, load, some_out),
        size_key="edge_nodes",
        about=f"{about}, on one of the machines set aside{', with some of them out' if some_out else ''}",
    )
    for name, role, unit, load, sources, about in LOADS
    for some_out in (False, True)
)
