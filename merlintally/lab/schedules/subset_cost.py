"""What a list of app servers costs one node, with subsets and without: a request, a list, a change, memory.

`python -m merlintally.lab.schedules.subset_cost` prints a line for each size.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import replace
from itertools import count
from statistics import median
from typing import Any

from merlintally.choice import Gateway
from merlintally.interface import ServerFacts
from merlintally.lab.schedules.subset_options import loads, names_of, spread
from merlintally.lab.schedules.subset_room import FACTS, LANE, Case, Play
from merlintally.subsets import Descent, Entry, Listing, Subset, SubsetSettings, start_level

NODES, NUMBER = 670, 3
SIZES = (200, 512, 2000, 9200)
SUBSET_SIZES = (32, 64, 128, 256)
REQUESTS, CHANGES = 2000, 400
ANSWER_S, EVERY_S = 0.3, 1 / 63


def listing(servers: int) -> list[Entry]:
    return [
        Entry(
            ServerFacts(f"app-{at:05d}", "on", f"zone-{at % 7}", at % 50, 0.0, 1.0, "machine"),
            (f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}", 7000),
        )
        for at in range(servers)
    ]


def made(servers: int, terms: SubsetSettings | None) -> tuple[Gateway, Subset | None, list[Entry]]:
    """A decision module that has heard a list, by way of its subset."""
    gateway = Gateway(replace(FACTS, number=NUMBER, gateways=NODES), 1, 0.0)
    entries = listing(servers)
    subset = Subset(NUMBER, NODES, terms) if terms is not None else None
    told: Sequence[Listing] = entries
    if subset is not None:
        told, _ = subset.apply_list(0.0, entries, True)
        if subset.nodes_per_server != NODES:
            gateway.share(subset.nodes_per_server)
    gateway.roster(0.0, [one.facts for one in told], True)
    return gateway, subset, entries


def request_ms(servers: int, terms: SubsetSettings | None, requests: int = REQUESTS) -> list[float]:
    """Processor time of the decisions for each request, from arrival to answer, sorted."""
    gateway, _, _ = made(servers, terms)
    now, found, out = 0.0, list[float](), list[tuple[float, Any]]()
    for number in range(requests + 300):
        now += EVERY_S
        spent = 0.0
        while out and out[0][0] <= now:
            _, handle = out.pop(0)
            began = time.perf_counter()
            for at in list(handle.in_flight):
                handle.ended(now, at, "ok", ANSWER_S, True)
            gateway.take_results(now)
            spent += time.perf_counter() - began
        began = time.perf_counter()
        handle = gateway.take(now, number, "lane", "c", "plan", LANE.hard_limit, 1.0, NODES)
        gateway.take_results(now)
        spent += time.perf_counter() - began
        out.append((now + ANSWER_S, handle))
        if number >= 300:
            found.append(1000 * spent)
    return sorted(found)


def each_us(call: Callable[[Entry], None], entries: Sequence[Entry]) -> float:
    """The median time of a call."""
    times = list[float]()
    for entry in entries:
        began = time.perf_counter()
        call(entry)
        times.append(1e6 * (time.perf_counter() - began))
    return median(times) if times else float("nan")


def change_us(servers: int, terms: SubsetSettings | None) -> tuple[float, float]:
    """A change of one server in the subset, and of one outside."""
    gateway, subset, entries = made(servers, terms)
    turns = count(1)

    def change(entry: Entry) -> None:
        now = float(next(turns))
        told: Sequence[Listing] = [entry._replace(facts=replace(entry.facts, presence="draining"))]
        if subset is not None:
            told, _ = subset.apply_list(now, told, False)
        if told:
            gateway.roster(now, [one.facts for one in told], False)

    inside = [one for one in entries if one.facts.server in gateway.servers]
    outside = [one for one in entries if one.facts.server not in gateway.servers]
    return each_us(change, inside[: min(CHANGES, len(inside) // 4)]), each_us(change, outside[:CHANGES])


def list_ms(servers: int, terms: SubsetSettings | None) -> float:
    entries = listing(servers)
    gateway = Gateway(replace(FACTS, number=NUMBER, gateways=NODES), 1, 0.0)
    subset = Subset(NUMBER, NODES, terms) if terms is not None else None
    began = time.perf_counter()
    told: Sequence[Listing] = entries
    if subset is not None:
        told, _ = subset.apply_list(0.0, entries, True)
    gateway.roster(0.0, [one.facts for one in told], True)
    return 1000 * (time.perf_counter() - began)


def kept_mb(servers: int, terms: SubsetSettings | None) -> float:
    """What is kept of a list by the subset and the decisions, their names among it."""
    gc.collect()
    tracemalloc.start()
    gateway, subset, entries = made(servers, terms)
    del entries
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del gateway, subset
    return kept / 1e6


def outside_bytes(servers: int) -> float:
    """What is kept of each server outside the subset, its name among it."""
    whole, one = kept_mb(servers, SubsetSettings()), made(servers, SubsetSettings())[1]
    assert one is not None
    inside = len(one.members())
    rows = kept_mb(servers // 2, SubsetSettings())
    few = made(servers // 2, SubsetSettings())[1]
    assert few is not None
    decisions = (kept_mb(400, None) - kept_mb(200, None)) / 200
    more = whole - rows - decisions * (inside - len(few.members()))
    return 1e6 * more / (servers - servers // 2)


def connections(servers: int, terms: SubsetSettings | None) -> dict[str, float]:
    """Connections and handshakes of one node at its share of the load, over the other nodes' idle servers."""
    case = Case(NODES, servers, terms, load=0.7, played=1, warm_s=12.0, length_s=8.0)
    return Play(case).run().row()


def evenness(servers: int, size: int) -> tuple[float, list[int]]:
    """Expected load, most over least, and the sizes of all nodes' subsets."""
    names, level = names_of(servers), start_level(NODES, servers, size)
    subsets = list[dict[str, float]]()
    for number in range(NODES):
        descent = Descent(number, NODES)
        subsets.append({name: 1.0 for name in names if descent.joins_at(name) <= level})
    return spread(loads(subsets, dict.fromkeys(names, 1.0))), [len(subset) for subset in subsets]


def by_size(servers: int) -> None:
    """Other sizes of a subset at the operators' size."""
    for size in SUBSET_SIZES:
        terms = SubsetSettings(size=size)
        uneven, sizes = evenness(servers, size)
        times, row = request_ms(servers, terms), connections(servers, terms)
        print(
            f"{servers}, size {size}: subsets of {min(sizes)} to {max(sizes)}, load {uneven:.3f}; request "
            f"{median(times):.3f} ms; handshakes a request {row['handshakes a request']}, "
            f"connections {row['connections a node']}",
            flush=True,
        )


def main() -> None:
    for servers in SIZES:
        for name, terms in (("whole", None), ("subsets", SubsetSettings())):
            times = request_ms(servers, terms, REQUESTS if servers < 9000 or terms else 300)
            inside, outside = change_us(servers, terms)
            row = connections(servers, terms)
            slow = times[int(len(times) * 0.99)]
            print(
                f"{servers} {name}: request {median(times):.3f} ms, p99 {slow:.3f} ms; "
                f"list {list_ms(servers, terms):.1f} ms; change {inside:.0f} us inside, {outside:.0f} us "
                f"outside; kept {kept_mb(servers, terms):.2f} MB; handshakes a request "
                f"{row['handshakes a request']}, connections {row['connections a node']}",
                flush=True,
            )
    by_size(SIZES[-1])
    print(f"kept of a server outside: {outside_bytes(9200):.0f} bytes")


if __name__ == "__main__":
    main()
