"""The other nodes, where all tell all what they drew: each draw is one node's, and goes into its notes.

Modelled: the nodes' draws, of tenants at random; the notes have the module's form (merlintally.notes) and its
pace (choice.NOTE_LIMITS), come to the one real node without delay, and none is lost.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from random import Random

from merlintally.choice import NOTE_LIMITS
from merlintally.lab.scale.driver import SimulatedNode
from merlintally.lab.scale.usage import OtherNodes, Use, poisson
from merlintally.lab.scale.workload import Tenant
from merlintally.naming import phase
from merlintally.notes import encode_note

TICK_S = 0.1  # between rounds of the other nodes' draws


class Drawn:
    """What one node drew of a tenant and has not told yet."""

    __slots__ = ("mark", "drawn")

    def __init__(self, mark: int) -> None:
        self.mark, self.drawn = mark, 0.0


class NotingNodes(OtherNodes):
    """All nodes but one, whose draws are told in notes and to the counter."""

    def __init__(self, tenants: Iterable[Tenant], nodes: int, seed: int, slow: bool = False) -> None:
        super().__init__(tenants, nodes, seed, slow)
        self.others = nodes - 1
        self.all = list(self._tenants.values())
        self.weights = list(itertools.accumulate(one.requests_per_s for one in self.all))
        self.marks = {one.key: int(phase(one.key) * 2**32) for one in self.all}
        self.untold: list[dict[str, Drawn]] = [{} for _ in range(self.others)]
        self.note_every = max(NOTE_LIMITS[0], self.others / NOTE_LIMITS[1])
        self.chance = Random(seed + 1)

    def _drawn(self, use: Use, passed: float) -> int:
        return 0  # they are drawn one by one

    def start(self, node: SimulatedNode) -> None:
        """Begin to draw, and to send notes, each node at its own moment."""
        node.at(node.now, self._draw_round, node)
        for peer in range(self.others):
            node.at(node.now + self.note_every * self.chance.random(), self._tell, node, peer)

    def _draw_round(self, node: SimulatedNode) -> None:
        count = poisson(self.chance, self.weights[-1] * self.others_share * TICK_S)
        for tenant in self.chance.choices(self.all, cum_weights=self.weights, k=count):
            use = self.use(tenant.key, node.now)
            use.total += 1.0
            use.store = max(0.0, use.store - 1.0)
            untold = self.untold[self.chance.randrange(self.others)]
            if tenant.key not in untold:
                untold[tenant.key] = Drawn(self.marks[tenant.key])
            untold[tenant.key].drawn += 1.0
        node.at(node.now + TICK_S, self._draw_round, node)

    def _tell(self, node: SimulatedNode, peer: int) -> None:
        untold = self.untold[peer]
        node.noted(peer, encode_note(untold.values()))
        self.untold[peer] = {key: one for key, one in untold.items() if one.drawn}
        node.at(node.now + self.note_every, self._tell, node, peer)
