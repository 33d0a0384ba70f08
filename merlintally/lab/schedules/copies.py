"""Schedules of the copies core: rows change everywhere while messages are lost and nodes die, return with
older folders and hold spoilt copies. The rig knows the truth of every row."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from random import Random
from typing import Any

from merlintally.cluster.copies import ReplicationSettings, Replicator, Row, holders_of, shard_of
from merlintally.cluster.copies.store import USE
from merlintally.lab.schedules.world import Drifting, Found, Judge, Verdict

TERMS = ReplicationSettings(spread_s=0.1, compare_s=0.05, max_items=20)
LENGTH_S, HEALED_S, NOTICE_S = 20.0, 30.0, 0.5


class Node:
    """One process: its core, and the rows that it keeps in its folder now and then."""

    def __init__(self, rig: Rig, name: str, zone: str) -> None:
        self.rig, self.name, self.zone = rig, name, zone
        self.clock = Drifting(rig.world, 0.01)
        self.core: Replicator | None = None
        self.starts = self.life = 0
        self.folder: list[Row] = []
        self.drawn: dict[str, float] = {}
        self.seen: dict[str, float] = {}  # sums that it has told, by customer
        self.began_with: dict[str, float] = {}
        self.bytes = 0
        self.wake_at = 0.0

    def start(self, kept: list[Row]) -> None:
        self.starts += 1
        self.life += 1
        self.wake_at = 0.0
        self.drawn, self.seen = {}, {}
        self.core = Replicator(
            self.name,
            self.starts,
            self.rig.terms,
            Random(self.rig.world.random.random()),
            self.clock.now(),
            kept,
            self.rig.mistakes,
        )
        self.core.set_members(self.clock.now(), self.rig.members(), self.rig.zones)
        self.began_with = self.rig.held_by_most(self)
        if self.core.caught_up:  # by its own word, before it has heard of anybody
            self.rig.told(self, "caught up", {"after_s": 0.0})
        self.settle()

    def settle(self) -> None:
        core, world = self.core, self.rig.world
        assert core is not None
        found = core.take_results()
        for to, call, args in found.sends:
            self.bytes += size_of(call, args)
            if to == self.rig.counts_to:
                self.rig.came += size_of(call, args)
            if to in self.rig.nodes:
                world.send(self.name, to, self.rig.deliver, to, self.name, call, args)
        for event, fields in found.events:
            self.rig.told(self, event, fields)
        for customer, units in found.sums:
            self.rig.summed(self, customer, units)
        when = max(world.now + 0.002, self.clock.world_time(found.wake_at))
        if not self.wake_at or when < self.wake_at or self.wake_at <= world.now:
            self.wake_at = when
            world.at(when, self.woken, self.life)

    def woken(self, life: int) -> None:
        if life == self.life and self.core is not None and self.rig.world.now >= self.wake_at - 1e-9:
            self.core.wake(self.clock.now())
            self.settle()

    def draw(self, customer: str, units: float) -> None:
        assert self.core is not None
        self.drawn[customer] = self.drawn.get(customer, 0.0) + units
        self.core.draw(self.clock.now(), customer, units)
        self.rig.truth[customer, self.name, self.starts] = self.drawn[customer]


def size_of(call: str, args: tuple[Any, ...]) -> int:
    """Bytes of a message, about."""
    rows = next((one for one in args if isinstance(one, list)), [])
    sizes = {Row: 60, tuple: 36, int: 9}
    return 40 + sum(sizes[type(one)] for one in rows)


class Rig(Judge):
    """Nodes in two zones; who is a member is known to all some time after it is so."""

    def __init__(
        self, seed: int, size: int, terms: ReplicationSettings, mistakes: Iterable[str] = ()
    ) -> None:
        super().__init__(seed, mistakes)
        self.terms = terms
        self.nodes = {f"n{at}": Node(self, f"n{at}", f"z{at % 2}") for at in range(size)}
        self.zones = {name: node.zone for name, node in self.nodes.items()}
        self.truth: dict[tuple[str, str, int], float] = {}
        self.kept: dict[tuple[str, str, int], float] = {}  # of those killed: what others held then
        self.customers = [f"c{at}" for at in range(30)]
        self.spoilt = self.harsh = False
        self.forgets = terms.forget_s < LENGTH_S  # then rows go while the schedule lasts
        self.caught: list[float] = []
        self.counts_to, self.came = "", 0  # bytes that came to one node

    def members(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.core is not None]

    def follow(self) -> None:
        for node in self.nodes.values():
            if node.core is not None:
                node.core.set_members(node.clock.now(), self.members(), self.zones)
                node.seen = {
                    one: used for one, used in node.seen.items() if shard_of(USE, one) in node.core.held
                }

    def deliver(self, to: str, sender: str, call: str, args: tuple[Any, ...]) -> None:
        node = self.nodes[to]
        if node.core is not None:
            node.core.receive(node.clock.now(), sender, call, args)
            self.look(node)
            node.settle()

    def look(self, node: Node) -> None:
        """A sum that a node has told only rises while it holds the shard, and is never above the truth."""
        core = node.core
        if core is None or self.spoilt:
            return
        customer = self.world.random.choice(self.customers)
        used = core.store.used(customer)
        true = sum(units for (whose, _, _), units in self.truth.items() if whose == customer)
        if used > true + 1e-6:
            self.broken(f"{node.name} holds that {customer} drew {used:g}, and all together drew {true:g}")
        if shard_of(USE, customer) in core.held:
            if used < node.seen.get(customer, 0.0) - 1e-6 and not self.forgets:
                self.broken(f"{node.name} goes back from {node.seen[customer]:g} to {used:g} of {customer}")
            node.seen[customer] = used
        else:
            node.seen.pop(customer, None)

    def summed(self, node: Node, customer: str, units: float) -> None:
        """What a node hears that others drew is never above the truth: then room would be refused."""
        self.count("sums")
        own = (customer, node.name, node.starts)
        true = sum(drawn for key, drawn in self.truth.items() if key[0] == customer and key != own)
        if units > true + 1e-6 and not self.spoilt:
            self.broken(f"{node.name} hears that others drew {units:g} of {customer}, and they drew {true:g}")

    def held_by_most(self, node: Node) -> dict[str, float]:
        """What a majority of the other holders has of each customer when a node starts."""
        found = {}
        for customer in self.customers:
            shard = shard_of(USE, customer)
            holders = holders_of(shard, self.members(), self.terms.copies, self.zones)
            if node.name not in holders:
                continue
            others = [
                one for name in holders if name != node.name and (one := self.nodes[name].core) is not None
            ]
            sums = sorted((one.store.used(customer) for one in others), reverse=True)
            need = len(holders) // 2 + 1
            if len(sums) >= need:
                found[customer] = sums[need - 1]
        return found

    def told(self, node: Node, event: str, fields: dict[str, Any]) -> None:
        self.count(event)
        if event == "caught up" and node.core is not None:
            self.caught.append(fields["after_s"])
            for customer, used in node.began_with.items():
                if (
                    shard_of(USE, customer) in node.core.held
                    and node.core.store.used(customer) < used - 1e-6
                    and not self.spoilt
                    and not self.forgets
                ):
                    self.broken(
                        f"{node.name} counts as caught up with {node.core.store.used(customer):g} of "
                        f"{customer}, and most held {used:g} when it started"
                    )

    def kill(self, node: Node) -> None:
        if node.core is not None:
            others = [
                one.core.store for one in self.nodes.values() if one is not node and one.core is not None
            ]
            for customer in node.drawn:  # what nobody else has been told by now may be lost
                rows = [row for store in others if (row := store.get(USE, customer, node.name, node.starts))]
                self.kept[customer, node.name, node.starts] = max(
                    (row.figures[0] for row in rows), default=0.0
                )
            node.core = None
            node.life += 1
            self.world.after(NOTICE_S, self.follow)

    def back(self, node: Node, kept: list[Row]) -> None:
        if node.core is None:
            node.start(kept)
            self.world.after(NOTICE_S, self.follow)

    def load(self) -> None:
        random = self.world.random
        node = random.choice(list(self.nodes.values()))
        if node.core is not None and self.world.now < LENGTH_S:
            node.draw(random.choice(self.customers), float(random.randint(1, 5)))
            node.settle()
        if random.random() < 0.1:
            node.folder = (
                [row for shard in node.core.store.rows for row in node.core.store.shard(shard)]
                if node.core is not None
                else node.folder
            )
        self.world.after(random.expovariate(8.0), self.load)


def play(seed: int, mistakes: Iterable[str] = ()) -> Verdict:
    """One schedule; in the end copies are equal, and in gentle ones nothing is lost."""
    random = Random(seed)
    size, budget = random.randint(3, 7), random.choice((600.0, 20000.0))
    forget_s = 4.0 if Random(seed ^ 0xF0).random() < 0.15 else 120.0
    rig = Rig(seed, size, TERMS._replace(bytes_per_s=budget, forget_s=forget_s), mistakes)
    world = rig.world
    world.loss, world.double = random.choice((0, 0, 0.05, 0.2)), random.choice((0, 0.1))
    world.slow = random.choice((0, 0.05))
    rig.harsh = random.random() < 0.4
    rig.spoilt = random.random() < 0.2
    with suppress(Found):
        _run(rig, random)
    return rig.verdict


def _run(rig: Rig, random: Random) -> None:
    world, names = rig.world, list(rig.nodes)
    for node in rig.nodes.values():
        node.core = Replicator(node.name, 1, rig.terms, Random(0), 0.0)
    for node in rig.nodes.values():
        node.start([])
    world.at(0.1, rig.load)
    at = 4.0
    while at < LENGTH_S - 2:
        world.at(at, _fault, rig, random, names)
        at += random.expovariate(0.8) if rig.harsh else 7.0
    if rig.spoilt:
        world.at(LENGTH_S + 1, _spoil, rig, random)
    world.run(LENGTH_S)
    world.cut.clear()
    world.loss = world.double = world.slow = 0.0
    for node in rig.nodes.values():
        rig.back(node, [])
    world.run(LENGTH_S + HEALED_S)
    _judge(rig)
    _judge_sums(rig)


def _judge_sums(rig: Rig) -> None:
    """Who drew knows what all others drew; where rows are forgotten, none is left."""
    for node in rig.nodes.values():
        core = node.core
        if core is None:
            continue
        if rig.forgets and len(core.store):
            rig.broken(f"{node.name} still holds {len(core.store)} rows that nobody has changed for long")
        for customer in node.drawn:
            first = holders_of(shard_of(USE, customer), rig.members(), rig.terms.copies, rig.zones)[0]
            holder = rig.nodes[first].core
            if holder is None or rig.spoilt or rig.forgets:
                continue
            others = holder.store.used(customer) - node.drawn[customer]
            if core.sums.get(customer, 0.0) < others - 1e-6:
                rig.broken(
                    f"{node.name} knows of {core.sums.get(customer, 0.0):g} that others drew of {customer}, "
                    f"and {first} of {others:g}"
                )


def _fault(rig: Rig, random: Random, names: list[str]) -> None:
    world, node = rig.world, rig.nodes[random.choice(names)]
    what = random.choice(("kill", "kill", "cut", "one way", "nonsense", "late")) if rig.harsh else "kill"
    rig.count(what)
    if what == "kill":
        kept = node.folder if random.random() < 0.6 else []
        rig.kill(node)
        world.after(random.uniform(0.1, 2.0), rig.back, node, list(kept))
    elif what in ("cut", "one way"):
        world.part_some(names, random, what == "cut", (0.5, 4.0))
    elif node.core is not None:
        row = Row(USE, random.choice(rig.customers), "n0", 1, 10**6, (float("inf"),))
        if what == "late" and node.folder:  # news of a former time arrives once more
            row = random.choice(node.folder)
        node.core.receive(node.clock.now(), "n1", "rows", ([row],))
        node.settle()


def _spoil(rig: Rig, random: Random) -> None:
    """A copy in one holder is not what was told."""
    live = [node for node in rig.nodes.values() if node.core is not None]
    random.shuffle(live)
    for node in live:
        assert node.core is not None
        rows = [
            row
            for shard in sorted(node.core.held)
            for row in node.core.store.shard(shard)
            if (row.node, row.start) != (node.name, node.starts)
        ]
        if rows:
            row = random.choice(rows)
            spoilt = row._replace(figures=(row.figures[0] * random.choice((0.5, 2.0)),))
            held = node.core.store.rows[shard_of(row.kind, row.key)]
            node.core.store._put(shard_of(row.kind, row.key), held, row, spoilt)
            rig.count("spoilt")
            return


def _judge(rig: Rig) -> None:
    for customer in rig.customers:
        shard = shard_of(USE, customer)
        holders = holders_of(shard, rig.members(), rig.terms.copies, rig.zones)
        stores = {name: core.store for name in holders if (core := rig.nodes[name].core) is not None}
        if len({store.digest(shard) for store in stores.values()}) > 1:
            rig.broken(f"{', '.join(stores)} hold different copies of {customer}'s shard {shard}")
        true = sum(units for (whose, _, _), units in rig.truth.items() if whose == customer)
        for name, store in stores.items():
            used = store.used(customer)
            least = sum(rig.kept.get(key, units) for key, units in rig.truth.items() if key[0] == customer)
            if not rig.spoilt and used > true + 1e-6:
                rig.broken(f"{name} holds that {customer} drew {used:g}, and all together drew {true:g}")
            if (
                not rig.spoilt
                and not rig.harsh
                and not rig.world.lost
                and not rig.forgets
                and rig.terms.bytes_per_s > 1000
                and used < least - 1e-6
            ):
                rig.broken(f"{name} holds that {customer} drew {used:g}, and all together drew {true:g}")
    for node in rig.nodes.values():
        if node.core is not None and not node.core.caught_up:
            rig.broken(f"{node.name} has not caught up after all faults had ended")
