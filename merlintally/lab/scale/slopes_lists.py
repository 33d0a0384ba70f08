"""Slopes of the lists of app servers that discovery sends to an edge node.

The JSON is read by net.configuration.parse_page and taken by the real dispatcher, fleet and decisions;
bytes are those of the HTTP messages, made by the HTTP library that the node uses, without TCP's own.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from functools import cache, partial
from statistics import median

from merlintally.lab.scale.receiver import VERSION, Receiver, Watch
from merlintally.lab.scale.slope import Context, Costs, Derived, Slope
from merlintally.lab.scale.workload import entry, page_bytes, whole_list
from merlintally.net.configuration import Bounds

MB = 1 << 20
WHOLE_REPEATS, CHANGE_REPEATS, ZONE_REPEATS = 5, 40, 5
DAY_S = 86400.0
CHANGES_PER_RESTART = 3  # an app server drains, goes, and is listed anew
SINCE_MS = 1_700_000_000_000  # when a restarted app server began


def lost_entries(servers: int, context: Context) -> list[dict[str, object]]:
    """The app servers of one zone, as a change that they are gone."""
    zones = context.capacity.size.zones
    return [entry(one, zones, "DELETED") for one in range(0, servers, zones)]


def returned_entries(servers: int, context: Context) -> list[dict[str, object]]:
    zones = context.capacity.size.zones
    return [entry(one, zones, "SERVING", SINCE_MS) for one in range(0, servers, zones)]


def change_body(servers: int, context: Context, status: str = "DRAINING") -> bytes:
    """A change of one app server."""
    return page_bytes([entry(servers - 1, context.capacity.size.zones, status)], False, VERSION)


def whole_body(servers: int, context: Context) -> bytes:
    return whole_list(servers, context.capacity.size.zones)


def milliseconds(call: Callable[[], object]) -> float:
    """Processor time of a call."""
    begun = time.process_time()
    call()
    return 1000 * (time.process_time() - begun)


def fresh_receiver(context: Context) -> Receiver:
    return Receiver(context.capacity.size.edge_nodes, context.whole_lists)


def ready_receiver(servers: int, context: Context) -> Receiver:
    receiver = fresh_receiver(context)
    receiver.take(whole_body(servers, context))
    return receiver


def whole_bytes(servers: int, context: Context) -> float:
    return float(Watch(whole_body(servers, context)).size)


def whole_cost(servers: int, context: Context) -> float:
    """At a start: the list is read and taken by a node that has none."""
    body = whole_body(servers, context)
    fresh = [fresh_receiver(context) for _ in range(WHOLE_REPEATS)]
    return median(milliseconds(partial(receiver.take, body)) for receiver in fresh)


@cache
def whole_memory(servers: int, context: Context) -> tuple[float, float]:
    """Bytes that the list takes once taken, and at the most while it is (tracemalloc)."""
    body = whole_body(servers, context)
    receiver = fresh_receiver(context)
    gc.collect()
    tracemalloc.start()
    receiver.take(body)
    _, peak = tracemalloc.get_traced_memory()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(held), float(peak + len(body))


def whole_memory_held(servers: int, context: Context) -> float:
    return whole_memory(servers, context)[0] / MB


def whole_memory_peak(servers: int, context: Context) -> float:
    return whole_memory(servers, context)[1] / MB


def change_bytes(servers: int, context: Context) -> float:
    return float(Watch(change_body(servers, context)).size)


def change_cost(servers: int, context: Context) -> float:
    receiver = ready_receiver(servers, context)
    bodies = [change_body(servers, context, status) for status in ("DRAINING", "SERVING")]
    return median(milliseconds(partial(receiver.take, bodies[at % 2])) for at in range(CHANGE_REPEATS))


def zone_lost_bytes(servers: int, context: Context) -> float:
    return float(Watch(page_bytes(lost_entries(servers, context), False, VERSION)).size)


@cache
def zone_costs(servers: int, context: Context) -> tuple[float, float]:
    """Processor time, milliseconds: a zone's app servers go in one change, and come back in another."""
    receiver = ready_receiver(servers, context)
    lost = page_bytes(lost_entries(servers, context), False, VERSION)
    back = page_bytes(returned_entries(servers, context), False, VERSION)
    times = [
        (milliseconds(partial(receiver.take, lost)), milliseconds(partial(receiver.take, back)))
        for _ in range(ZONE_REPEATS)
    ]
    return median(gone for gone, _ in times), median(came for _, came in times)


def zone_lost_cost(servers: int, context: Context) -> float:
    return zone_costs(servers, context)[0]


def zone_back_cost(servers: int, context: Context) -> float:
    return zone_costs(servers, context)[1]


def poll_bytes(servers: int, context: Context) -> float:
    """A watch without news."""
    return float(Watch(page_bytes([], False, VERSION)).size)


def poll_cost(servers: int, context: Context) -> float:
    """A watch without news at a node that has the list: asked, answered and read."""
    receiver, watch = ready_receiver(servers, context), Watch(page_bytes([], False, VERSION))
    return median(milliseconds(lambda: receiver.take(watch.repeat())) for _ in range(CHANGE_REPEATS))


def polls_per_s() -> float:
    return 1 / Bounds().watch_s


def day_bytes_per_s(restarts: int, costs: Costs) -> float:
    """Of one node: watches without news, and the changes of restarted app servers, each in one of its own."""
    servers = costs.capacity.size.app_servers
    changes = CHANGES_PER_RESTART * restarts / DAY_S
    return polls_per_s() * costs.at("list.poll.bytes", servers) + changes * costs.at(
        "list.change.bytes", servers
    )


def day_core(restarts: int, costs: Costs) -> float:
    """Of one node: the processor time of watches without news and of changes, as a part of a core."""
    servers = costs.capacity.size.app_servers
    changes = CHANGES_PER_RESTART * restarts / DAY_S * costs.at("list.change.cost", servers)
    return (changes + polls_per_s() * costs.at("list.poll.cost", servers)) / 1000


SERVERS = (20, 200, 1000, 2000, 4600, 9200)
QUICK_SERVERS = (20, 200, 2000, 9200)
RESTARTS = (100, 300, 1100, 3300, 10000)

SLOPES = (
    *(
        Slope(
            name=f"list.{name}",
            role="edge node",
            by="app servers",
            unit=unit,
            sizes=SERVERS,
            quick_sizes=QUICK_SERVERS,
            measure=measure,
            size_key="app_servers",
            budget=budget,
            about=about,
            group=group,
        )
        for name, unit, measure, budget, group, about in (
            ("whole.bytes", "bytes", whole_bytes, None, "list bytes", "the whole list, at a start"),
            ("whole.cost", "ms", whole_cost, None, "", "processor time to read and take the whole list"),
            (
                "whole.memory",
                "MB",
                whole_memory_held,
                "control_memory_mb",
                "list memory",
                "memory that the list takes (tracemalloc)",
            ),
            (
                "whole.memory-peak",
                "MB",
                whole_memory_peak,
                "control_memory_mb",
                "list memory",
                "and at the most while it is read",
            ),
            ("change.bytes", "bytes", change_bytes, None, "list bytes", "a change of one app server"),
            ("change.cost", "ms", change_cost, None, "", "processor time of a change of one app server"),
            ("poll.bytes", "bytes", poll_bytes, None, "list bytes", "a watch without news"),
            ("poll.cost", "ms", poll_cost, None, "", "processor time of a watch without news"),
            ("zone-lost.bytes", "bytes", zone_lost_bytes, None, "list bytes", "a zone's app servers at once"),
            ("zone-lost.cost", "ms", zone_lost_cost, None, "list zone", "processor time when a zone goes"),
            ("zone-back.cost", "ms", zone_back_cost, None, "list zone", "and when it comes back, restarted"),
        )
    ),
    Derived(
        name="list.day.bytes-per-s",
        role="edge node",
        by="restarts a day",
        unit="bytes/s",
        sizes=RESTARTS,
        sources=("list.poll.bytes", "list.change.bytes"),
        work_out=day_bytes_per_s,
        size_key="restarts_per_day",
        budget="control_bytes_per_s",
        about="lists on an ordinary day: watches, and three changes for each app server restarted",
    ),
    Derived(
        name="list.day.core",
        role="edge node",
        by="restarts a day",
        unit="core",
        sizes=RESTARTS,
        sources=("list.poll.cost", "list.change.cost"),
        work_out=day_core,
        size_key="restarts_per_day",
        budget="control_core_share",
        about="processor time of these watches and changes, part of a core",
    ),
)
