"""Subsets of app servers in simulated time: servers come, go, drain and fall silent, zones are lost and come
back, lists reach nodes late. A checker that works subsets out by itself looks at each node after events."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import replace
from functools import cache
from hashlib import blake2b
from random import Random

from merlintally.interface import ServerFacts
from merlintally.lab.schedules.world import Found, Judge, Verdict
from merlintally.subsets import Entry, Subset, SubsetSettings, start_level, top_level
from merlintally.subsets.core import ZONE_SHARE
from merlintally.subsets.records import Listing

TERMS = SubsetSettings(size=12, whole_up_to=20, least=6, settle_s=4.0, pressed_s=0.5)
LENGTH_S, HEALED_S, LOOK_S = 20.0, 18.0, 0.7
FAULTS = ("come", "go", "drain", "restart", "silent", "zone silent", "zone lost", "node", "pressed", "many")
MOST_CHANGES, BURSTS = 60, 15  # servers replaced at once; and how often, in one schedule of four
UNEVEN = 3.0  # expected load, most over least, of subsets this small


@cache
def pick(server: str, nodes: int, level: int, of_class: int) -> int:
    """The node that a server picks in a class, worked out from the class down."""
    members = [node for node in range(nodes) if node % (1 << level) == of_class]
    if len(members) == 1:
        return members[0]
    lower = sum(node % (2 << level) == of_class for node in members)
    digest = blake2b(bytes((level,)) + of_class.to_bytes(4, "big") + server.encode(), digest_size=8).digest()
    left = int.from_bytes(digest, "big") * len(members) < lower << 64
    return pick(server, nodes, level + 1, of_class if left else of_class + (1 << level))


@cache
def joined(server: str, number: int, nodes: int) -> int:
    """The lowest level at which a server is in a node's subset, as the rule has it."""
    levels = range(top_level(nodes) + 1)
    return next(level for level in levels if pick(server, nodes, level, number % (1 << level)) == number)


class Node:
    """One node: its core, what the decisions would hold by now, and what the checker knows of it."""

    def __init__(self, rig: Rig, number: int) -> None:
        self.rig, self.number, self.life = rig, number, 0
        self.start()

    def start(self) -> None:
        self.life += 1
        self.core = Subset(self.number, self.rig.size, TERMS, self.rig.mistakes)
        self.held = dict[str, str]()  # presence by server, as told
        self.view = dict[str, Entry]()  # the list, as heard
        self.joins = dict[str, int]()  # the level of each, as the rule has it
        self.silent = Counter[str]()  # attempts in a row without an answer
        self.level, self.high_at, self.pressed = 0, self.rig.world.now, False
        self.listen(list(self.rig.listed.values()), True)
        self.rig.world.after(self.rig.world.random.random() * LOOK_S, self.try_some, self.life)

    def listen(self, entries: list[Entry], complete: bool) -> None:
        """A list or its changes come."""
        before = self.view
        if complete:
            self.view = {}
        for entry in entries:
            name, old = entry.facts.server, before.get(entry.facts.server)
            same = old is not None and old.facts.started == entry.facts.started
            if not same or (old is not None and old.facts.presence != "on"):
                self.silent.pop(name, None)
            if entry.facts.presence == "gone":
                self.view.pop(name, None)
                continue
            self.view[name] = entry
            if name not in self.joins:
                self.joins[name] = joined(name, self.number, self.rig.size)
        self.tell(*self.core.apply_list(self.rig.world.now, entries, complete))
        self.rig.look(self)

    def tell(self, entries: Iterable[Listing], complete: bool) -> None:
        """As the decisions take a roster."""
        if complete:
            self.held.clear()
        for entry in entries:
            if entry.facts.presence == "gone":
                self.held.pop(entry.facts.server, None)
            else:
                self.held[entry.facts.server] = entry.facts.presence

    def try_some(self, life: int) -> None:
        """Attempts at some servers, and what the node's timer does."""
        rig, now = self.rig, self.rig.world.now
        if life != self.life:
            return
        on = sorted(name for name, presence in self.held.items() if presence == "on")
        for name in rig.world.random.sample(on, min(6, len(on))) * 2:
            answered = name not in rig.silent
            self.silent[name] = 0 if answered else self.silent[name] + 1
            if self.core.record_attempt(now, name, answered):
                self.tell(self.core.members(), True)
                rig.look(self)
        for changed in (self.core.record_waiting(now, self.pressed), self.core.shrink_if_due(now)):
            if changed:
                self.tell(self.core.members(), True)
        rig.look(self)
        rig.world.after(LOOK_S, self.try_some, life)

    def serving(self, names: Iterable[str]) -> list[str]:
        return [
            name
            for name in names
            if self.view[name].facts.presence == "on" and self.silent[name] < TERMS.unanswered
        ]


class Rig(Judge):
    """A list that changes, and nodes that hear of it each in its own time."""

    def __init__(self, seed: int, size: int, servers: int, mistakes: Iterable[str]) -> None:
        super().__init__(seed, mistakes)
        self.size, self.numbers, self.zones = size, 0, self.world.random.randint(2, 4)
        self.listed = dict[str, Entry]()
        self.silent = set[str]()  # these give no answers
        for _ in range(servers):
            self.come()
        self.nodes = list[Node]()

    def start(self) -> None:
        for number in range(self.size):
            self.nodes.append(Node(self, number))

    def heal(self) -> None:
        """All answer and serve again."""
        self.silent.clear()
        for node in self.nodes:
            node.pressed = False
        drained = [name for name, one in self.listed.items() if one.facts.presence != "on"]
        self.spread([self.restart(name) for name in drained])

    # What happens to servers.

    def come(self) -> Entry:
        name, zone = f"s{self.numbers}", f"z{self.numbers % self.zones}"
        self.numbers += 1
        facts = ServerFacts(name, "on", zone, 0, self.world.now, 1.0, "m")
        entry = self.listed[name] = Entry(facts, ("10.0.0.1", self.numbers))
        return entry

    def go(self, name: str) -> Entry:
        entry = self.listed.pop(name)
        return Entry(replace(entry.facts, presence="gone"), None)

    def change(self, name: str, **changes: object) -> Entry:
        entry = self.listed[name]
        self.listed[name] = Entry(replace(entry.facts, **changes), entry.address)  # type: ignore[arg-type]
        return self.listed[name]

    def restart(self, name: str) -> Entry:
        self.silent.discard(name)
        return self.change(name, started=self.world.now, presence="on")

    def spread(self, entries: list[Entry]) -> None:
        """Tell every node in its own time; now and then with the whole list."""
        self.count("changes", len(entries))
        for node in self.nodes:
            self.world.after(self.world.random.uniform(0.0, 0.4), self._deliver, node, node.life, entries)

    def _deliver(self, node: Node, life: int, entries: list[Entry]) -> None:
        """Guards against news out of order: what is listed by now is told, as discovery does."""
        if life != node.life:
            return
        if self.world.random.random() < 0.1:
            node.listen(list(self.listed.values()), True)
            return
        gone = [Entry(replace(one.facts, presence="gone"), None) for one in entries]
        node.listen(
            [self.listed.get(one.facts.server, old) for one, old in zip(entries, gone, strict=True)], False
        )

    def fault(self) -> None:
        random, names = self.world.random, sorted(self.listed)
        what, name = random.choice(FAULTS), random.choice(names)
        self.count(what)
        if what == "come":
            self.spread([self.come() for _ in range(random.randint(1, 5))])
        elif what == "go" and len(names) > 3 * TERMS.whole_up_to:
            self.spread([self.go(one) for one in random.sample(names, random.randint(1, 5))])
        elif what == "drain":
            self.spread([self.change(one, presence="draining") for one in random.sample(names, 6)])
        elif what == "restart":
            self.spread([self.restart(name)])
        elif what == "silent":
            self.silent.update(random.sample(names, random.randint(1, 20)))
        elif what == "zone silent":
            zone = self.listed[name].facts.zone
            self.silent.update(one for one in names if self.listed[one].facts.zone == zone)
        elif what == "zone lost":
            self.lose_zone(self.listed[name].facts.zone)
        elif what == "node":
            self.nodes[random.randrange(self.size)].start()
        elif what == "pressed":
            self.nodes[random.randrange(self.size)].pressed = random.random() < 0.7
        elif what == "many":
            self.replace_many()

    def lose_zone(self, zone: str) -> None:
        """A zone drains or goes, and comes back after a while, its servers started anew."""
        names = [name for name, one in self.listed.items() if one.facts.zone == zone]
        others = len(self.listed) - len(names)
        if self.world.random.random() < 0.5 or others <= 2 * TERMS.whole_up_to:
            self.spread([self.change(name, presence="draining") for name in names])
        else:
            self.spread([self.go(name) for name in names])
        self.world.after(self.world.random.choice((0.2, 3.0, 8.0)), self.zone_back, zone, names)

    def zone_back(self, zone: str, names: list[str]) -> None:
        for name in names:
            facts = ServerFacts(name, "on", zone, 0, self.world.now, 1.0, "m")
            self.listed[name] = Entry(facts, ("10.0.0.1", 1))
            self.silent.discard(name)
        self.spread([self.listed[name] for name in names])

    def replace_many(self) -> None:
        """A release: many servers go, and as many come under other names."""
        some = self.world.random.sample(sorted(self.listed), min(MOST_CHANGES, len(self.listed) // 2))
        self.spread([entry for name in some for entry in (self.go(name), self.come())])

    # What is looked at.

    def needed(self, node: Node) -> int:
        """The level that is enough for a node, by the rules."""
        top = top_level(self.size)
        if len(node.view) <= TERMS.whole_up_to:
            return top
        level = min(top, start_level(self.size, len(node.view), TERMS.size) + node.core.extra_levels)
        alive = node.serving(node.view)
        zones = Counter(node.view[name].facts.zone for name in alive)
        if len(alive) <= TERMS.least:
            return top
        spans = min(2, sum(count >= ZONE_SHARE * len(alive) for count in zones.values()))
        joins = [(node.joins[name], node.view[name].facts.zone) for name in alive]
        while level < top:
            part = [zone for joins_at, zone in joins if joins_at <= level]
            if len(part) >= TERMS.least and len(set(part)) >= spans:
                break
            level += 1
        return level

    def look(self, node: Node) -> None:
        """What a node holds is what its list and the rules say."""
        now, level, before = self.world.now, node.core.level, node.level
        for name in [one for one in node.silent if one not in node.held]:
            del node.silent[name]
        needed = self.needed(node)
        kept = [name for name, presence in node.held.items() if name not in node.view]
        if kept:
            self.broken(f"node {node.number} keeps {kept[0]}, which has left the list")
        wrong = [name for name, told in node.held.items() if node.view[name].facts.presence != told]
        if wrong:
            self.broken(f"node {node.number} holds {wrong[0]} to be {node.held[wrong[0]]}, which it is not")
        rule = {name for name in node.view if node.joins[name] <= level}
        if rule != node.held.keys():
            one = min(rule ^ node.held.keys())
            self.broken(f"node {node.number} at level {level}: {one} is in its subset or the rule's alone")
        if level < needed:
            self.broken(f"node {node.number} is at level {level}, and {needed} is needed")
        if level > before and level != needed and before:
            self.broken(f"node {node.number} grew to {level}, and {needed} was enough")
        if level < before and now - node.high_at < TERMS.settle_s - 1e-6:
            self.broken(f"node {node.number} shrank to {level} after {now - node.high_at:.2f} s")
        if needed >= level:
            node.high_at = now
        elif now - node.high_at > 2 * TERMS.settle_s + 3 * LOOK_S:
            self.broken(f"node {node.number} stays at {level}, and {needed} has been enough for long")
        if level != before:
            self.count("grown" if level > before else "shrunk")
        node.level = level

    def settled(self) -> None:
        """All are well and hear the same list: nodes agree, with no history, and load is even."""
        level = start_level(self.size, len(self.listed), TERMS.size)
        shared, load = Counter[str](), dict.fromkeys(self.listed, 0.0)
        for node in self.nodes:
            fresh = Subset(node.number, self.size, TERMS, self.mistakes)
            told, _ = fresh.apply_list(self.world.now, list(self.listed.values()), True)
            if node.held.keys() != {entry.facts.server for entry in told}:
                self.broken(f"node {node.number} holds another subset than it would after a restart")
            for name in node.held:
                shared[name] += node.level == level or joined(name, node.number, self.size) <= level
                load[name] += 1 / len(node.held)
        unlike = [name for name in self.listed if shared[name] != min(self.size, 1 << level)]
        if unlike:
            self.broken(f"{unlike[0]} is in {shared[unlike[0]]} subsets, not {min(self.size, 1 << level)}")
        if max(load.values()) > UNEVEN * min(load[name] for name in self.listed):
            self.broken("load is uneven")


def play(seed: int, mistakes: Iterable[str] = ()) -> Verdict:
    """One schedule: faults for a while, then none; in the end all nodes have to be at rest, alike."""
    random = Random(seed)
    rig = Rig(seed, random.randint(5, 11), random.randint(70, 120), mistakes)
    world = rig.world
    for _ in range(random.randint(2, 10)):
        world.at(random.uniform(0.5, LENGTH_S - 2), rig.fault)
    for at in range(BURSTS if seed % 4 == 0 else 0):
        world.at(1.0 + at * 1.1, rig.replace_many)
    with suppress(Found):
        rig.start()
        world.run(LENGTH_S)
        rig.heal()
        world.run(LENGTH_S + HEALED_S)
        rig.settled()
    return rig.verdict
