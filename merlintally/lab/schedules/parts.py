"""Parts of ceilings lent among whole nodes, in simulated time: needs change, nodes are killed, stopped and
cut off. What all that run may draw together is looked at all the time."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from random import Random
from typing import Any

from merlintally.cluster.members import SwimSettings
from merlintally.cluster.work.parts import RECALLED, WHOLE_CEILING
from merlintally.cluster.work.state import entry
from merlintally.lab.schedules.work import TERMS, Node, Rig
from merlintally.lab.schedules.world import Found, Verdict

LENGTH_S, HEALED_S = 20.0, 8.0
FAULTS = (*("kill", "stop", "part", "one way", "word", "word") * 2, "leader", "all down")
CUSTOMERS = ("c0", "c1")
RHYTHM = SwimSettings(
    period_s=0.3, probe_timeout_s=0.1, state_exchange_s=3.0, dead_probe_s=1.0, alpha=2.0, beta=2.0
)


class PartsRig(Rig):
    """`wants` has what each node would draw; it changes now and then."""

    def __init__(self, seed: int, size: int, mistakes: Iterable[str]) -> None:
        terms = TERMS._replace(even_share=WHOLE_CEILING // size)
        super().__init__(seed, size, 3, mistakes, terms=terms, rhythm=RHYTHM)
        self.numbers = 0

    def need(self) -> None:
        """One node draws much of a customer, another little; told with the next renewal."""
        random = self.world.random
        if self.world.now > LENGTH_S:
            return
        name = random.choice(list(self.nodes))
        self.wants[name] = {one: random.choice((0, 0, 20, 200, 700)) for one in CUSTOMERS}
        self.world.after(random.expovariate(0.8), self.need)

    def load(self) -> None:
        """What all that run may draw by their own word, added up."""
        for customer in CUSTOMERS:
            shares = {
                name: node.core.share(customer, node.clock.now())
                for name, node in self.nodes.items()
                if node.running and node.core is not None
            }
            if sum(shares.values()) > WHOLE_CEILING:
                self.broken(f"{sum(shares.values())} thousandths of {customer} may be drawn: {shares}")
            if max(shares.values(), default=0) > self.plan.terms.even_share:
                self.count("looks with a loan")
        self.world.after(0.02, self.load)

    def late_word(self) -> None:
        """A leader's old word about a loan is said once more, or one that no leader would say: the end of a
        loan that was not called back, a loan of all that a node has."""
        random = self.world.random
        led = [node for node in self.nodes.values() if node.running and node.core and node.core.leads]
        if not led or led[0].core is None:
            return
        parts, even = led[0].core.work.parts, self.plan.terms.even_share
        said = [word for word in sorted(self.words) if word.split(":")[0] in ("lent", "ended", "recall")]
        words: list[tuple[Any, ...]] = [(word.split(":")[0], int(word.split(":")[1])) for word in said[-20:]]
        words += [("ended", one.number) for one in parts.loans.values() if one.state != RECALLED]
        a, b = random.sample(list(self.nodes), 2)
        words += [("lend", parts.number + 1, random.choice(CUSTOMERS), a, b, even, even)] * 10
        self.count("late words")
        self.numbers += 1
        data = entry(f"late:{self.numbers}", *random.choice(words))
        led[0].core.raft.propose(led[0].clock.now(), data)
        led[0].settle()


def play(seed: int, mistakes: Iterable[str] = ()) -> Verdict:
    """One schedule; once faults have ended, nodes draw what they need as far as there is room."""
    random = Random(seed)
    rig = PartsRig(seed, random.randint(3, 6), mistakes)
    world, names = rig.world, list(rig.nodes)
    world.loss, world.slow = random.choice((0, 0, 0.05, 0.15)), random.choice((0, 0, 0.05))
    for node in rig.nodes.values():
        node.start()
    world.at(1.5, rig.need)
    world.at(1.5, rig.load)

    def fault() -> None:
        what, node = random.choice(FAULTS), rig.nodes[random.choice(names)]
        if what == "word":
            rig.late_word()
            return
        rig.count(what)
        if what == "leader":
            node = next((one for one in rig.nodes.values() if one.core and one.core.leads), node)
        if what == "stop":
            node.stopped_until = world.now + random.choice((0.5, 2.5, 6.0))
        elif what in ("part", "one way"):
            world.part_some(names, random, what == "part")
        else:
            for one in rig.nodes.values() if what == "all down" else (node,):
                if one.core is not None:
                    one.kill()
                    world.after(random.choice((0.1, 1.0, 4.0)), back, one)

    def back(node: Node) -> None:
        if node.core is None:
            node.start()

    for _ in range(random.randint(2, 12)):
        world.at(random.uniform(3, LENGTH_S), fault)
    with suppress(Found):
        world.run(LENGTH_S)
        world.cut.clear()
        world.loss = world.slow = 0.0
        for node in rig.nodes.values():
            node.stopped_until = min(node.stopped_until, world.now)
            back(node)
        _settle(rig, names)
    return rig.verdict


def _settle(rig: PartsRig, names: list[str]) -> None:
    """One node needs most of a customer, nobody else any of it: it gets more than its even part."""
    rig.wants = {name: {"c0": 900 if name == names[0] else 0, "c1": 0} for name in names}
    rig.world.run(LENGTH_S + HEALED_S)
    node: Any = rig.nodes[names[0]]
    share = node.core.share("c0", node.clock.now())
    if share < 1.5 * rig.plan.terms.even_share and not rig.mistakes:
        rig.broken(f"{names[0]} needs 900 of c0, the others none, and it may draw {share}")
