"""Figures of the cores by size, in simulated time: `python -m merlintally.lab.schedules.measure
members|work|goes-on|copies|memory`.

Prints a row for each size, as docs/members.md and docs/work-order.md have them.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from statistics import mean, median
from typing import Any

from merlintally.cluster.copies import ReplicationSettings, Replicator
from merlintally.cluster.members import SwimSettings
from merlintally.cluster.work.coordinator import MaintenanceTiming
from merlintally.lab.schedules import copies, members
from merlintally.lab.schedules.work import Node, Rig

SIZES, MACHINES, SEEDS = (10, 50, 200, 500), (5, 50, 200, 500), (1, 2, 3)
TROUBLES = (
    ("no loss", 0.0, 0.0),
    ("5% lost", 0.05, 0.0),
    ("20% lost", 0.2, 0.0),
    ("1 in 20 stopped", 0.0, 0.05),
)
WORK_S = 60.0


def members_row(size: int, loss: float, stopped: float) -> dict[str, float]:
    found = [members.measure(size, seed, loss, stopped) for seed in SEEDS]
    return {key: mean(one[key] for one in found) for key in found[0]}


def work_row(size: int, seed: int, kill: bool = False) -> dict[str, Any]:
    """Work on all of `size` machines, 10% out at once, each touched for WORK_S and warm in 15 s.

    Least possible: the machines of a zone one batch after another, each as long as it is touched and then
    cold. `kill`: whoever leads is killed every 20 s and comes back 5 s later; `goes_on_s` has the times until
    the next machine was out.
    """
    terms = MaintenanceTiming(
        lease_s=3.0, renew_s=0.5, drift=0.02, warm_s=1.0 if kill else 15.0, longest_s=0.25
    )
    rig = Rig(seed, size, 3, terms=terms, rhythm=SwimSettings(), drift=0.01)
    work_s = 2.0 if kill else WORK_S
    rig.work_s = (work_s, work_s)
    rig.load_s = 1.0 if size > 50 else 0.1
    out = max(1, size // 10)
    rig.begin((str(out), str(out), str(out)), 0.0)
    world = rig.world
    went_on: list[float] = []

    def shoot() -> None:
        led = [one for one in rig.nodes.values() if one.core is not None and one.core.leads]
        if led and not rig.finished():
            led[0].kill()
            turns, at = rig.verdict.counts.get("turns", 0), world.now
            world.after(5.0, back, led[0])
            watch(turns, at)
        world.after(20.0, shoot)

    def back(node: Node) -> None:
        if node.core is None and not any(node.name in rig.machines[name].edges for name in rig.touched):
            node.start()

    def watch(turns: int, at: float) -> None:
        if rig.verdict.counts.get("turns", 0) > turns:
            went_on.append(world.now - at)
        elif not rig.finished():
            world.after(0.05, watch, turns, at)

    if kill:
        world.at(8.0, shoot)
    begun = 2.5
    zones = [len(range(at, size, 3)) for at in range(3)]
    least = sum(-(-zone // out) for zone in zones) * (work_s + terms.warm_s)
    end = rig.until_finished(60.0 + 4 * least)
    return {
        "took_s": end - begun,
        "least_s": least,
        "finished": rig.finished(),
        "broken": rig.verdict.broken,
        "turns": rig.verdict.counts.get("turns", 0),
        "goes_on_s": went_on,
    }


def copies_row(size: int, rows: int, folder: bool) -> dict[str, float]:
    """`rows` rows of all nodes together; one node is away while a hundredth of them change, and returns with
    the folder that it left or with none. Gives seconds until it has caught up, what came to it in bytes, and
    bytes a second a node at rest."""
    rig = copies.Rig(1, size, ReplicationSettings())
    rig.customers = [f"c{at}" for at in range(rows)]
    names, world = list(rig.nodes), rig.world
    for node in rig.nodes.values():
        node.core = Replicator(node.name, 1, rig.terms, Random(0), 0.0)
    for node in rig.nodes.values():
        node.start([])
    for at, customer in enumerate(rig.customers):
        rig.nodes[names[at % size]].draw(customer, 1.0)
    world.run(60.0 + rows * 360 / rig.terms.bytes_per_s / size)
    spent = sum(node.bytes for node in rig.nodes.values())
    world.run(world.now + 10.0)
    rest = (sum(node.bytes for node in rig.nodes.values()) - spent) / 10.0 / size
    gone = rig.nodes[names[0]]
    assert gone.core is not None
    kept = [row for shard in gone.core.store.rows for row in gone.core.store.shard(shard)] if folder else []
    rig.kill(gone)
    world.run(world.now + 5.0)
    for customer in rig.customers[1::100]:
        rig.nodes[names[1]].draw(customer, 1.0)
    world.run(world.now + 10.0)
    rig.caught.clear()
    rig.came = 0
    rig.counts_to = gone.name
    rig.back(gone, kept)
    world.run(world.now + 60.0)
    return {"caught_s": rig.caught[0] if rig.caught else float("inf"), "came": rig.came, "rest": rest}


def resident() -> float:
    """MB of this process that are in memory now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGESIZE") / 1e6


def memory_row(customers: int) -> dict[str, float]:
    """One node that draws of so many customers, all within one wake: MB, microseconds a draw, and the longest
    that one call stands still, ms."""
    core = Replicator("n0", 1, ReplicationSettings(bytes_per_s=1e5), Random(1), 0.0)
    core.set_members(0.0, [f"n{at}" for at in range(5)], {})
    before, spent = resident(), dict[str, float]()

    def timed(what: str, call: Callable[[], None]) -> None:
        began = time.perf_counter()
        call()
        spent[what] = max(spent.get(what, 0.0), time.perf_counter() - began)

    def draw(count: int) -> None:
        for at in range(count):
            core.draw(0.0, f"{at:08x}", 1.0)

    timed("first", lambda: draw(customers))
    held = resident() - before
    timed("again", lambda: draw(customers // 10))
    timed("wake", lambda: core.wake(1.0))
    timed("follow", lambda: core.set_members(2.0, [f"n{at}" for at in range(6)], {}))
    now = 2.0 + core.settings.forget_s
    while core.own_rows:
        now += core.settings.spread_s
        timed("forget", lambda now=now: core.wake(now))  # type: ignore[misc]
        core.take_results()
    return {
        "mb": held,
        "first_us": 1e6 * spent["first"] / customers,
        "again_us": 1e6 * spent["again"] / (customers // 10),
        **{f"{what}_ms": 1e3 * spent[what] for what in ("wake", "follow", "forget")},
    }


def print_memory() -> None:
    print("| customers | MB | a first draw, one more, us | wake, change of members, forgetting at most, ms |")
    print("| --- | --- | --- | --- |")
    for customers in (1000, 10_000, 100_000):
        row = memory_row(customers)
        stood = f"{row['wake_ms']:.0f}, {row['follow_ms']:.0f}, {row['forget_ms']:.0f}"
        print(f"| {customers} | {row['mb']:.1f} | {row['first_us']:.0f}, {row['again_us']:.0f} | {stood} |")


def main() -> int:
    what = sys.argv[1] if len(sys.argv) > 1 else ""
    if what not in ("members", "work", "goes-on", "copies", "memory"):
        print(__doc__, file=sys.stderr)
        return 2
    if what == "memory":
        print_memory()
        return 0
    with ProcessPoolExecutor() as pool:
        if what == "members":
            print_members(pool)
        elif what == "copies":
            print_copies(pool)
        else:
            print_work(pool, what == "goes-on")
    return 0


def print_members(pool: ProcessPoolExecutor) -> None:
    rows = [
        (size, name, pool.submit(members_row, size, loss, stopped))
        for size in SIZES
        for name, loss, stopped in TROUBLES
    ]
    print("| nodes | trouble | known to the first, half, all, s | suspected an hour, a node |", end="")
    print(" false deaths an hour, in all | bytes a second, a node |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size, name, found in rows:
        row = found.result()
        known = f"{row['first_s']:.1f}, {row['half_s']:.1f}, {row['all_s']:.1f}"
        wrong = f"{row['suspected_an_hour']:.1f} | {row['false_deaths_an_hour']:.0f}"
        print(f"| {size} | {name} | {known} | {wrong} | {row['bytes_a_second']:.0f} |")


def print_copies(pool: ProcessPoolExecutor) -> None:
    tries = [
        (size, rows, folder, pool.submit(copies_row, size, rows, folder))
        for size in (5, 20, 50)
        for rows in (1000, 5000)
        for folder in (True, False)
    ]
    print("| nodes | rows | returns with | caught up after, s | bytes that came in a minute |", end="")
    print(" bytes a second, a node, at rest |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size, rows, folder, found in tries:
        row, told = found.result(), "its folder" if folder else "nothing"
        print(f"| {size} | {rows} | {told} | {row['caught_s']:.1f} | {row['came']:.0f} | {row['rest']:.0f} |")


def print_work(pool: ProcessPoolExecutor, kill: bool) -> None:
    tries = [(size, [pool.submit(work_row, size, seed, kill) for seed in SEEDS]) for size in MACHINES]
    print("| machines | took, s | least possible, s | of it | broken | all done |", end="")
    print(" leader killed, work goes on after: median, worst, s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size, found in tries:
        rows = [one.result() for one in found]
        times = [at for one in rows for at in one["goes_on_s"]]
        took, least = mean(one["took_s"] for one in rows), rows[0]["least_s"]
        broken, done = sum(len(one["broken"]) for one in rows), all(one["finished"] for one in rows)
        told = f"{median(times):.1f}, {max(times):.1f} of {len(times)}" if times else "-"
        print(f"| {size} | {took:.0f} | {least:.0f} | {took / least:.2f} | {broken} | {done} | {told} |")


if __name__ == "__main__":
    sys.exit(main())
