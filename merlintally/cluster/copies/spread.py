"""How copies get to their holders, are compared, and are caught up with by one that returns: events in,
results out, within a budget of bytes a second."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from merlintally.cluster.copies.holders import SHARDS, holders_of, shard_of
from merlintally.cluster.copies.store import Row, Store

FORMS: dict[str, Any] = {  # call -> types of its arguments
    "rows": tuple[list[Row]],  # news of rows
    "compare": tuple[int, int],  # shard, digest of it
    "buckets": tuple[int, list[int]],  # shard, digests of its buckets: they are not equal
    # shard, bucket, names with versions, whether these are all of the bucket
    "versions": tuple[int, int, list[tuple[str, str, str, int, int]], bool],
    # shard that its sender holds no more, digest, names in the buckets that differ
    "offer": tuple[int, int, list[tuple[str, str, str, int, int]]],
    "kept": tuple[int, int],  # shard, digest that was offered: all of it is held here
    "fetch": tuple[int, list[tuple[str, str, str, int]]],  # shard, names of rows that are wanted
    "same": tuple[int, int, bool],  # shard, digest that is equal, whether its sender has caught up with it
}
HEAD = 48  # bytes of a row beside its names


class Terms(NamedTuple):
    """Times in seconds, bytes a second. A change is with its holders after `spread_s` and a send where the
    budget allows; two holders of a shard that differ are found within `compare_s` times the shards that one
    holds."""

    copies: int = 3
    budget: float = 20000.0
    spread_s: float = 0.2
    compare_s: float = 0.1
    chunk: int = 100  # rows or names in one message
    cold_after_s: float = 10.0  # after which one that has not caught up starts cold, and says so


@dataclass(slots=True)
class Results:
    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)  # to, call, arguments
    changed: list[Row] = field(default_factory=list)  # rows of others that are new here
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    wake_at: float = 0.0


def size_of(row: Row) -> int:
    return HEAD + len(row.key) + len(row.node) + 8 * len(row.figures)


class Copies:
    """One node's part. `follow` tells who the members are; `put` changes a row of its own."""

    def __init__(
        self,
        name: str,
        start: int,
        terms: Terms,
        random: Random,
        now: float,
        kept: Iterable[Row] = (),
        mistakes: frozenset[str] = frozenset(),
    ) -> None:
        """`kept` is what an older folder has: a head start that others' copies are held against, no
        authority."""
        self.name, self.start, self.terms, self.random, self.now = name, start, terms, random, now
        self.mistakes, self.store = mistakes, Store(mistakes)
        self.store.merge(kept, "folder")
        self.members: list[str] = [name]
        self.zones: Mapping[str, str] = {}
        self.held: set[int] = set(range(SHARDS))
        self.holders: dict[int, list[str]] = {}  # by shard, as the members are now
        self.own: dict[tuple[str, str, str, int], Row] = {}  # this start's own rows, whoever holds them
        self.unsent: OrderedDict[tuple[str, str, str, int], float] = OrderedDict()  # row -> how telling it is
        self.room, self.room_at = terms.budget, now
        self.spread_at = now + terms.spread_s * random.random()
        self.compare_at = now + terms.compare_s * random.random()
        self.began = now
        # holders whose digest was met, and those among them that had caught up with the shard themselves
        self.met: dict[int, set[str]] = {shard: set() for shard in range(SHARDS)}
        self.sure: dict[int, set[str]] = {shard: set() for shard in range(SHARDS)}
        self.caught_up = "an older folder is trusted" in mistakes and bool(list(kept))
        self.cold = False
        self.leaving: dict[int, set[str]] = {}  # shards held no more, and who has all of them
        self.counts: Counter[str] = Counter()
        self.out = Results()

    # What others ask of it.

    def follow(self, now: float, members: Iterable[str], zones: Mapping[str, str]) -> None:
        """Who there is. A shard that is no longer this node's is kept until its holders have met its
        digest."""
        self.now = now
        self.members, self.zones = sorted(set(members) | {self.name}), zones
        self.holders.clear()
        before, self.held = self.held, {one for one in range(SHARDS) if self.name in self._holders(one)}
        for shard in before - self.held:
            if self.store.digest(shard):
                self.leaving[shard] = set()
        for shard in self.held & set(self.leaving):
            del self.leaving[shard]
        for shard in (
            self.held - before
        ):  # what it may have been told of it while others held it is not enough
            self.met[shard].clear()
            self.sure[shard].clear()
        if "a shard moves before it is held" in self.mistakes:
            for shard in list(self.leaving):
                self.store.drop(shard)
                del self.leaving[shard]

    def put(self, now: float, kind: str, key: str, figures: tuple[float, ...], telling: float = 1.0) -> None:
        """Change a row of this node's; what is most telling goes out first."""
        self.now = now
        name = (kind, key, self.name, self.start)
        had = self.own.get(name)  # not the store's, which forgets shards that are held elsewhere
        row = self.own[name] = Row(*name, had.version + 1 if had is not None else 1, figures)
        if shard_of(kind, key) in self.held:
            self.store.merge([row], "own")
        self.unsent[row.name] = telling

    def take_results(self) -> Results:
        found, self.out = self.out, Results()
        found.wake_at = min(self.spread_at, self.compare_at)
        return found

    def wake(self, now: float) -> None:
        self.now = now
        self.room = min(self.terms.budget, self.room + (now - self.room_at) * self.terms.budget)
        self.room_at = now
        if now >= self.spread_at:
            self.spread_at = now + self.terms.spread_s
            self._spread()
        if now >= self.compare_at:
            self.compare_at = now + self.terms.compare_s
            self._compare()
        if not self.caught_up and not self.cold and now - self.began > self.terms.cold_after_s:
            self.cold = True
            self.out.events.append(("cold", {"left": sum(not self._settled(one) for one in self.held)}))

    def hear(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        self.now = now
        getattr(self, f"_on_{call}")(sender, *args)

    def age(self) -> int:
        """Rows of its own that no holder has been sent yet."""
        return len(self.unsent)

    # Spread.

    def _holders(self, shard: int) -> list[str]:
        found = self.holders.get(shard)
        if found is None:
            found = holders_of(shard, self.members, self.terms.copies, self.zones)
            self.holders[shard] = found
        return found

    def _spread(self) -> None:
        """What is unsent, most telling first, to the holders of its shard, within the budget."""
        batches: dict[str, list[Row]] = {}
        for name in sorted(self.unsent, key=lambda one: -self.unsent[one]):
            row = self.own.get(name)
            to = [one for one in self._holders(shard_of(*name[:2])) if one != self.name]
            if row is None:
                del self.unsent[name]
                continue
            if self.room < size_of(row) * len(to):
                self.counts["over budget"] += 1
                break
            self.room -= size_of(row) * len(to)
            for one in to:
                batches.setdefault(one, []).append(row)
            del self.unsent[name]
        for one, rows in batches.items():
            for at in range(0, len(rows), self.terms.chunk):
                self._send(one, "rows", rows[at : at + self.terms.chunk])

    def _on_rows(self, sender: str, rows: list[Row]) -> None:
        own = [row for row in rows if (row.node, row.start) == (self.name, self.start)]
        refused = self.store.refused
        taken = self.store.merge([row for row in rows if row not in own], sender)
        for row in own:
            self._claimed(row, sender)
        if self.store.refused > refused:
            self.out.events.append(("refused", {"whose": sender}))
        self.out.changed += taken
        if self.store.suspect:
            self.out.events.append(("differ", {"shards": sorted(self.store.suspect), "whose": sender}))
            for shard in list(self.store.suspect):
                self.store.suspect.discard(shard)
                self.met[shard].clear()
                self.sure[shard].clear()
                self._ask(shard)

    def _claimed(self, row: Row, sender: str) -> None:
        """A copy of a row of this node's own start: where it is not what this node told, it tells it once
        more with a version above, for the owner is the one who knows."""
        mine = self.own.get(row.name)
        if (
            mine is not None
            and not row.wrong()
            and (row.version > mine.version or row.version == mine.version and row != mine)
        ):
            self.store.quarantine = [*self.store.quarantine, (sender, row)][-1000:]
            self.own[row.name] = again = mine._replace(version=row.version + 1)
            self.store.merge([again], "own")
            self.unsent[row.name] = 1.0
            self.out.events.append(("put right", {"key": row.key, "whose": sender}))

    # Comparing, and catching up.

    def _settled(self, shard: int) -> bool:
        """Whether it has what most hold: its digest met that of one that is settled itself (with this node a
        majority of three), or those of all others. Guards against two that are behind and find each other
        equal."""
        others = {one for one in self._holders(shard) if one != self.name}
        if "caught up at the first answer" in self.mistakes:
            return not others or bool(self.met[shard])
        return others <= self.met[shard] or 2 * (len(self.sure[shard] & others) + 1) > len(others) + 1

    def _compare(self) -> None:
        """One shard with one other holder; while it catches up, all that are not settled come first."""
        wanted = [shard for shard in sorted(self.held) if not self._settled(shard)]
        if not self.caught_up and not wanted:
            self.caught_up = True
            self.out.events.append(("caught up", {"after_s": round(self.now - self.began, 3)}))
        if wanted:
            for shard in self.random.sample(wanted, min(8, len(wanted))):
                self._ask(shard)
        elif self.held:
            self._ask(self.random.choice(sorted(self.held)))
        if self.leaving:
            self._ask(self.random.choice(sorted(self.leaving)))

    def _on_offer(
        self, sender: str, shard: int, digest: int, names: list[tuple[str, str, str, int, int]]
    ) -> None:
        wanted = []
        for kind, key, node, start, version in names:
            row = self.store.get(kind, key, node, start)
            if row is None or row.version < version:
                wanted.append((kind, key, node, start))
        if wanted:
            self._send(sender, "fetch", shard, wanted)
        else:
            self._send(sender, "kept", shard, digest)

    def _on_kept(self, sender: str, shard: int, digest: int) -> None:
        if shard in self.leaving and digest == self.store.digest(shard):
            self._passed_on(sender, shard)

    def _passed_on(self, sender: str, shard: int) -> None:
        """A holder has all that is here of a shard that this node holds no more."""
        self.leaving[shard].add(sender)
        others = self._holders(shard)
        if 2 * len(self.leaving[shard] & set(others)) > len(others):
            self.store.drop(shard)
            del self.leaving[shard]

    def _ask(self, shard: int) -> None:
        others = [one for one in self._holders(shard) if one != self.name]
        if others:
            self._send(self.random.choice(others), "compare", shard, self.store.digest(shard))

    def _on_compare(self, sender: str, shard: int, digest: int) -> None:
        if digest == self.store.digest(shard):
            self._send(sender, "same", shard, digest, self._settled(shard))
            self._met(sender, shard, False)
            return
        self._send(sender, "buckets", shard, self.store.buckets(shard))

    def _on_buckets(self, sender: str, shard: int, theirs: list[int]) -> None:
        """Names and versions of the buckets that differ, and of no others."""
        mine = self.store.buckets(shard)
        differ = {at for at, (one, other) in enumerate(zip(mine, theirs, strict=False)) if one != other}
        names: dict[int, list[tuple[str, str, str, int, int]]] = {at: [] for at in differ}
        for row in self.store.shard(shard):
            if row.bucket in differ:
                names[row.bucket].append((*row.name, row.version))
        if shard in self.leaving:  # what its holder lacks it fetches, and nothing comes back
            offered = [one for found in names.values() for one in found]
            self._send(sender, "offer", shard, self.store.digest(shard), offered)
            return
        for at, found in names.items():
            chunk, whole = self.terms.chunk, len(found) <= self.terms.chunk
            for first in range(0, max(1, len(found)), chunk):
                self._send(sender, "versions", shard, at, found[first : first + chunk], whole)

    def _on_versions(
        self, sender: str, shard: int, bucket: int, names: list[tuple[str, str, str, int, int]], whole: bool
    ) -> None:
        """Fetch what is newer there, tell what is newer here: what differs goes over, and no more."""
        theirs = {(kind, key, node, start): version for kind, key, node, start, version in names}
        wanted, newer, same = [], [], []
        for name, version in theirs.items():
            row = self.store.get(*name)
            if row is None or row.version < version:
                wanted.append(name)
            elif row.version > version:
                newer.append(row)
            else:
                same.append(name)
        if whole:
            newer += [
                row for row in self.store.shard(shard) if row.bucket == bucket and row.name not in theirs
            ]
        if not wanted and not newer:
            wanted = same  # the same names and versions, and another digest: copies that differ
        if wanted:
            self._send(sender, "fetch", shard, wanted)
        for first in range(0, len(newer), self.terms.chunk):
            self._send(sender, "rows", newer[first : first + self.terms.chunk])

    def _on_fetch(self, sender: str, shard: int, names: list[tuple[str, str, str, int]]) -> None:
        rows = [row for name in names if (row := self.store.get(*name)) is not None]
        if rows:
            self._send(sender, "rows", rows)

    def _on_same(self, sender: str, shard: int, digest: int, sure: bool) -> None:
        if digest == self.store.digest(shard):
            self._met(sender, shard, sure)
            if shard in self.leaving:
                self._passed_on(sender, shard)

    def _met(self, sender: str, shard: int, sure: bool) -> None:
        self.met[shard].add(sender)
        if sure:
            self.sure[shard].add(sender)

    def _send(self, to: str, call: str, *args: Any) -> None:
        if call == "rows":
            self.counts["rows"] += len(args[0])
        self.counts["messages"] += 1
        self.out.sends.append((to, call, args))
