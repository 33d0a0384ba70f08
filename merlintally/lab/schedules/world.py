"""A seeded world for cores: one agenda, links that lose, double, delay and part, clocks that drift."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

Call = Callable[..., None]


class World:
    """Time in seconds, all chance from one seed. Links are directed: (from, to)."""

    def __init__(self, seed: int) -> None:
        self.random, self.now, self.number = Random(seed), 0.0, 0
        self.due: list[tuple[float, int, Call, tuple[Any, ...]]] = []
        self.loss = self.double = self.slow = 0.0  # shares of the messages
        self.delay = (0.001, 0.01)
        self.cut: set[tuple[str, str]] = set()
        self.sent = self.lost = 0

    def at(self, when: float, call: Call, *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.due, (when, self.number, call, args))

    def after(self, wait: float, call: Call, *args: Any) -> None:
        self.at(self.now + wait, call, *args)

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.due)
            call(*args)
        self.now = until

    def send(self, sender: str, to: str, deliver: Call, *args: Any) -> None:
        """Hand a message over, once, twice or never; late ones overtake."""
        random = self.random
        self.sent += 1
        if (sender, to) in self.cut or random.random() < self.loss:
            self.lost += 1
            return
        for _ in range(2 if random.random() < self.double else 1):
            wait = random.uniform(*self.delay)
            if random.random() < self.slow:
                wait += random.random()
            self.after(wait, deliver, *args)

    def part(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        """Cut the links from `one` to `other`, and back."""
        for a in one:
            for b in other:
                self.cut.add((a, b))
                if both:
                    self.cut.add((b, a))

    def part_some(
        self, names: list[str], random: Random, both: bool, lasts_s: tuple[float, float] = (0.3, 5.0)
    ) -> None:
        """Cut some of them off from the others, one way or both, for a while."""
        side = random.sample(names, random.randint(1, len(names) - 1))
        self.part(side, set(names) - set(side), both)
        self.after(random.uniform(*lasts_s), self.cut.clear)


@dataclass(slots=True)
class Verdict:
    """What a schedule showed: `broken` lines (none: all held), and counts of what it caused."""

    seed: int
    broken: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    finished: bool = True


class Found(Exception):
    """A planted mistake has shown itself; the rest of the schedule tells nothing more."""


class Judge:
    """A schedule's world and what it shows."""

    def __init__(self, seed: int, mistakes: Iterable[str]) -> None:
        self.world, self.mistakes, self.verdict = World(seed), frozenset(mistakes), Verdict(seed)

    def broken(self, line: str) -> None:
        if len(self.verdict.broken) < 5:
            self.verdict.broken.append(f"{self.world.now:.3f} {line}")
        if self.mistakes:
            raise Found

    def count(self, what: str, number: int = 1) -> None:
        self.verdict.counts[what] = self.verdict.counts.get(what, 0) + number


class Drifting:
    """A clock of one machine: monotonic, from anywhere, at a pace that is a little off."""

    def __init__(self, world: World, drift: float) -> None:
        self.world, self.pace = world, 1 + world.random.uniform(-drift, drift)
        self.offset = world.random.uniform(0, 1000)

    def now(self) -> float:
        return self.world.now * self.pace + self.offset

    def world_time(self, mine: float) -> float:
        """When this clock will show `mine`."""
        return (mine - self.offset) / self.pace
