"""One node's subset of the listed servers: it grows at once when it has to, and shrinks after a while."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from merlintally.subsets.descent import Descent, start_level
from merlintally.subsets.records import LEVEL_AT, ON, PRESENCE_AT, Listing, Rows

ZONE_SHARE = 0.05  # of the serving servers, from which a zone counts as one that a subset can span
ZONES = 2  # that a subset's serving servers lie in, where as many count
MOST_STEPS = 2  # that a node adds for work that waits
EASED = 3.0  # by which a moment without work that waits weighs more than one with it
LOOK_S = 0.5  # seconds between two looks at what waits count for, at the most
INJECTED_FAULTS = (  # planted by name, in tests only
    "each node has its own hash",
    "shrinks below its least",
    "a drained server is kept",
    "one that left the list is kept",
    "newcomers join twice as many subsets",
    "failing servers count as serving",
    "one zone is enough",
    "a returned zone stays failing",
    "it shrinks at once",
    "it never shrinks",
)


class Terms(NamedTuple):
    """What operators may set."""

    size: int = 128  # servers that a subset is to have at least, and not quite twice as many
    whole_up_to: int = 512  # listed servers, up to which the list is used whole
    least: int = 64  # serving servers in a subset while more are alive
    unanswered: int = 3  # attempts in a row, from which a server counts as failing
    settle_s: float = 60.0  # for which a smaller subset has to be enough before it shrinks
    pressed_s: float = (
        2.0  # for which work waits, with short breaks at the most, before a subset grows a step
    )


USUAL = Terms()


class Subset:
    """Follows the list, and says which of its servers this node works with.

    `listed` gives what is to be told of a list or its changes. `reported`, `pressed` and `wake` say whether
    the subset has changed otherwise: then `members` is the whole of it.
    """

    def __init__(
        self, number: int, nodes: int, terms: Terms = USUAL, mistakes: frozenset[str] = frozenset()
    ) -> None:
        self.nodes, self.terms, self.mistakes = nodes, terms, mistakes
        self.level = self._start = 0
        self.rows = dict[str, bytes]()  # by server: all that are listed
        self._prefix = f"{number}:" if "each node has its own hash" in mistakes else ""
        self._descent, self._packing = Descent(number, nodes), Rows()
        self._short = dict[str, Listing]()  # the list, until it has been too long to be used whole
        self._placed = False  # until then it is not looked up which server joins when
        self._serving: list[dict[int, int]] = [{} for _ in range(self._descent.top + 1)]  # by level and zone
        self._unanswered = dict[str, int]()  # attempts in a row, by server
        self.steps, self._waited, self._looked_at, self._eased_since = 0, 0.0, 0.0, -1.0
        self._shrinks_at = float("inf")

    @property
    def bounded(self) -> bool:
        """Whether the list is, or has been, too long to be used whole."""
        return self._placed

    @property
    def size(self) -> int:
        """How many servers are in it."""
        if not self._placed:
            return len(self._short)
        return sum(row[LEVEL_AT] <= self.level for row in self.rows.values())

    @property
    def whole(self) -> bool:
        """Whether the list is used whole."""
        return self.level >= self._descent.top

    @property
    def sharing(self) -> int:
        """How many nodes send to one server. Steps of this node's own are not those of others."""
        level = max(self._start, self.level - self.steps)
        return min(self.nodes, 1 << level) if self._placed else self.nodes

    def listed(
        self, now: float, entries: Sequence[Listing], complete: bool
    ) -> tuple[Sequence[Listing], bool]:
        """Take a list or its changes; gives those to be told, and whether they are the whole subset."""
        if not self._placed:
            if self._stays_short(entries, complete):
                self.level = self._descent.top
                return entries, complete
            self._take_all(list(self._short.values()))
            self._short.clear()
            if len(self.rows) > 2 * self.terms.whole_up_to:
                self._shrinks_at = now  # guards against thousands of servers used whole until it settles
            told = list[Listing]()
        else:
            told = self._take_all(entries) if complete else [one for one in entries if self._take(one)]
        if self._settle(now):
            return self.members(), True
        if self.whole:
            return entries, complete
        if complete:
            return [one for one in entries if self._is_member(one.facts.server)], True
        return told, False

    def members(self) -> list[Listing]:
        """The whole subset."""
        if not self._placed:
            return list(self._short.values())
        unpack, level = self._packing.unpack, self.level
        return [unpack(name, row) for name, row in self.rows.items() if row[LEVEL_AT] <= level]

    def reported(self, now: float, server: str, answered: bool) -> bool:
        """An attempt at a server has ended; whether the subset has changed by it."""
        row, before = self.rows.get(server), self._unanswered.get(server, 0)
        if row is None or row[LEVEL_AT] > self.level or (answered and not before):
            return False
        self._count(server, row, -1)
        if answered:
            del self._unanswered[server]
        else:
            self._unanswered[server] = before + 1
        self._count(server, row, 1)
        crossed = before >= self.terms.unanswered if answered else before + 1 == self.terms.unanswered
        return crossed and self._settle(now)

    def pressed(self, now: float, waits: bool) -> bool:
        """Whether this node's work waits for a place in its subset; whether the subset has changed by it."""
        if not self._placed:
            return False
        passed, self._looked_at = min(LOOK_S, now - self._looked_at), now
        self._waited = max(0.0, self._waited + (passed if waits else -EASED * passed))
        if waits or self._eased_since < 0:
            self._eased_since = now
        if self._waited >= self.terms.pressed_s and self.steps < MOST_STEPS:
            self.steps, self._waited = self.steps + 1, 0.0
        elif self.steps and now - self._eased_since >= self.terms.settle_s:
            self.steps, self._eased_since = self.steps - 1, now
        else:
            return False
        return self._settle(now)

    def wake(self, now: float) -> bool:
        """Whether the subset has shrunk, since a smaller one has been enough for a while."""
        return now >= self._shrinks_at and self._settle(now)

    # How servers are kept.

    def _stays_short(self, entries: Sequence[Listing], complete: bool) -> bool:
        """Whether the list is still one to be used whole; with two nodes any is."""
        if self._descent.top <= 1:
            return True
        if complete:
            self._short.clear()
        for entry in entries:
            if entry.facts.presence == "gone":
                self._short.pop(entry.facts.server, None)
            else:
                self._short[entry.facts.server] = entry
        self._placed = len(self._short) > self.terms.whole_up_to
        return not self._placed

    def _take_all(self, entries: Sequence[Listing]) -> list[Listing]:
        """Take a whole list; gives nothing, as it is told as a whole."""
        before, self.rows = self.rows, {}
        self._serving = [{} for _ in self._serving]
        for entry in entries:
            if entry.facts.presence != "gone":
                name, old = entry.facts.server, before.get(entry.facts.server)
                self._forget_attempts(entry, old)
                self._put(name, self._packing.pack(self._level_of(name, old), entry))
        self._unanswered = {name: count for name, count in self._unanswered.items() if name in self.rows}
        return []

    def _take(self, entry: Listing) -> bool:
        """Whether the change is one of the subset."""
        name = entry.facts.server
        old = self.rows.pop(name, None)
        if old is not None:
            self._count(name, old, -1)
        if entry.facts.presence == "gone":
            self._unanswered.pop(name, None)
            if old is not None and "one that left the list is kept" in self.mistakes:
                return False
            return old is not None and old[LEVEL_AT] <= self.level
        self._forget_attempts(entry, old)
        level = self._level_of(name, old)
        if old is None and "newcomers join twice as many subsets" in self.mistakes:
            level = max(0, level - 1)
        row = self._packing.pack(level, entry)
        self._put(name, row)
        if entry.facts.presence == "draining" and "a drained server is kept" in self.mistakes:
            return False
        return row[LEVEL_AT] <= self.level

    def _put(self, name: str, row: bytes) -> None:
        self.rows[name] = row
        self._count(name, row, 1)

    def _level_of(self, name: str, old: bytes | None) -> int:
        if old is not None:
            return old[LEVEL_AT]
        return self._descent.joins_at(self._prefix + name)

    def _forget_attempts(self, entry: Listing, old: bytes | None) -> None:
        """What is listed anew, or otherwise than before, may answer again."""
        if "a returned zone stays failing" in self.mistakes:
            return
        same = old is not None and self._packing.started_of(old) == entry.facts.started
        if not same or (old is not None and old[PRESENCE_AT] != ON):
            self._unanswered.pop(entry.facts.server, None)

    def _is_member(self, name: str) -> bool:
        row = self.rows.get(name)
        return row is not None and row[LEVEL_AT] <= self.level

    def _count(self, name: str, row: bytes, by: int) -> None:
        """Count a server as serving at the level at which it joins, if it is so."""
        failing = self._unanswered.get(name, 0) >= self.terms.unanswered
        if "failing servers count as serving" in self.mistakes:
            failing = False
        if row[PRESENCE_AT] == ON and not failing:
            zones, zone = self._serving[row[LEVEL_AT]], self._packing.zone_of(row)
            zones[zone] = zones.get(zone, 0) + by

    # How large it is.

    def _settle(self, now: float) -> bool:
        """Grow at once, shrink after a while; whether the level has changed."""
        wanted = self._wanted()
        if wanted == self.level:
            self._shrinks_at = float("inf")
            return False
        if wanted < self.level and "it shrinks at once" not in self.mistakes:
            self._shrinks_at = min(self._shrinks_at, now + self.terms.settle_s)
            if now < self._shrinks_at or "it never shrinks" in self.mistakes:
                return False
        self.level, self._shrinks_at = wanted, float("inf")
        for name in [one for one in self._unanswered if not self._is_member(one)]:
            self._count(name, self.rows[name], -1)  # what nothing is sent to any more may answer again
            del self._unanswered[name]
            self._count(name, self.rows[name], 1)
        return True

    def _wanted(self) -> int:
        """The lowest level that is enough: by the list's size, by servers and zones that serve, by load."""
        top, terms = self._descent.top, self.terms
        if len(self.rows) <= terms.whole_up_to:
            return top
        self._start = start_level(self.nodes, len(self.rows), terms.size)
        level = min(top, self._start + self.steps)
        every = _added(self._serving)
        alive = sum(every.values())
        least, zones = terms.least, min(ZONES, _zones(every, alive))
        if "shrinks below its least" in self.mistakes:
            least = 0
        elif alive <= least:  # all nodes alike, so that what a cold server gets of each sums to its budget
            return top
        if "one zone is enough" in self.mistakes:
            zones = 1
        found = _added(self._serving[: level + 1])
        while level < top and (sum(found.values()) < least or _zones(found, 0) < zones):
            level += 1
            found = _added((found, self._serving[level]))
        return level


def _added(parts: Iterable[dict[int, int]]) -> dict[int, int]:
    total = dict[int, int]()
    for part in parts:
        for zone, count in part.items():
            total[zone] = total.get(zone, 0) + count
    return total


def _zones(serving: dict[int, int], alive: int) -> int:
    """Zones with a part of all that serve."""
    return sum(count > 0 and count >= ZONE_SHARE * alive for count in serving.values())
