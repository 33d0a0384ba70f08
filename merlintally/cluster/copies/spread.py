"""How copies get to their holders, are compared, and are caught up with by one that returns: events in,
results out, within a budget of bytes a second."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import nlargest
from itertools import islice
from random import Random
from typing import Any, NamedTuple

from merlintally.cluster.copies.holders import SHARDS, holders_of, shard_of
from merlintally.cluster.copies.store import MOST_FIGURE, USE, Row, Store

FORMS: dict[str, Any] = {  # call -> types of its arguments
    "rows": tuple[list[Row]],  # news of rows
    "took": tuple[list[tuple[str, str, int, int]]],  # kind, key, start, version: of its owner, held
    "compare": tuple[int, int],  # shard, digest of it
    "buckets": tuple[int, list[int]],  # shard, digests of its buckets: they are not equal
    # shard, bucket, names with versions, whether these are all of the bucket
    "versions": tuple[int, int, list[tuple[str, str, str, int, int]], bool],
    # shard that its sender holds no more, digest, names in the buckets that differ
    "offer": tuple[int, int, list[tuple[str, str, str, int, int]]],
    "kept": tuple[int, int],  # shard, digest that was offered: all of it is held here
    "fetch": tuple[int, list[tuple[str, str, str, int]]],  # shard, names of rows that are wanted
    "sums": tuple[list[tuple[str, float]]],  # customer, units that all others drew
    "summed": tuple[list[tuple[str, float]]],  # the same, heard
    # rows that nobody has changed for long: names and versions
    "forgotten": tuple[list[tuple[str, str, str, int, int]]],
    "same": tuple[int, int, bool],  # shard, digest that is equal, whether its sender has caught up with it
}
HEAD = 48  # bytes of a row beside its names
MOST_SUMS = 1000  # looked at in one wake
MOST_FORGOTTEN = 2000  # looked at in one wake


class Terms(NamedTuple):
    """Times in seconds, bytes a second. A change is with its holders after `spread_s` and a send where the
    budget allows; two holders of a shard that differ are found within `compare_s` times the shards that one
    holds."""

    copies: int = 3
    budget: float = 20000.0
    spread_s: float = 0.1
    compare_s: float = 0.1
    chunk: int = 100  # rows or names in one message
    cold_after_s: float = 10.0  # after which one that has not caught up starts cold, and says so
    forget_s: float = 120.0  # after which a row that has not changed is forgotten
    again_s: float = 1.0  # after which a sum is told again that nobody has answered


@dataclass(slots=True)
class Results:
    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)  # to, call, arguments
    sums: list[tuple[str, float]] = field(default_factory=list)  # customer, units that all others drew by now
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
        self.touched: dict[tuple[str, str, str, int], float] = {}  # row -> when it last changed here
        # rows that were forgotten: when, version, figures. Guards against ones that holders which forget a
        # little later bring back, and against an owner that begins again with a version of before.
        self.forgotten: dict[tuple[str, str, str, int], tuple[float, int, tuple[float, ...]]] = {}
        self.sweep_at, self.turn = now, 0
        # own row -> first version that is out and since when, last one and since when; own row -> holder ->
        # version that it has said to hold
        self.sent: dict[tuple[str, str, str, int], tuple[int, float, int, float]] = {}
        self.taken: dict[tuple[str, str, str, int], dict[str, int]] = {}
        self.moved: OrderedDict[str, None] = OrderedDict()  # customers whose owners are to hear of the sum
        self.owed: dict[str, dict[str, tuple[float, float]]] = {}  # customer -> node -> sum told, when
        self.first: set[int] = set()  # shards whose first holder this node is
        self.sums: dict[str, float] = {}  # what all others drew, of the customers that this start drew of
        for row in self.store_rows():
            self.touched[row.name] = now
        self.out = Results()

    # What others ask of it.

    def follow(self, now: float, members: Iterable[str], zones: Mapping[str, str]) -> None:
        """Who there is. A shard that is no longer this node's is kept until its holders have met its
        digest."""
        self.now = now
        before_members = set(self.members)
        self.members, self.zones = sorted(set(members) | {self.name}), zones
        came = set(self.members) - before_members
        old, self.holders = self.holders, {}
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
        first = {shard for shard in self.held if self._holders(shard)[0] == self.name}
        # what the former first holder may not have told, and what one that is new here may have missed
        for shard in first if came else first - self.first:
            self.moved.update((row.key, None) for row in self.store.shard(shard) if row.kind == USE)
        self.first = first
        there = {
            customer: {to: told for to, told in told_to.items() if to in self.members}
            for customer, told_to in self.owed.items()
        }
        self.owed = {customer: told_to for customer, told_to in there.items() if told_to}
        # guards against rows whose holders have all gone, while their owner is there
        to = {shard: set(self._others(shard)) for shard in range(SHARDS)}
        changed = {shard for shard in to if to[shard] and self.holders[shard] != old.get(shard)}
        for name in self.own:
            shard = shard_of(*name[:2])
            if shard in changed and to[shard].isdisjoint(self.taken.get(name, ())):
                self.unsent.setdefault(name, 1.0)
        if "a shard moves before it is held" in self.mistakes:
            for shard in list(self.leaving):
                self.store.drop(shard)
                del self.leaving[shard]

    def put(self, now: float, kind: str, key: str, figures: tuple[float, ...], telling: float = 1.0) -> None:
        """Change a row of this node's; what is most telling goes out first."""
        self.now = now
        name = (kind, key, self.name, self.start)
        had = self.own.get(name)  # not the store's, which forgets shards that are held elsewhere
        version = had.version if had is not None else self.forgotten.get(name, (0.0, 0, ()))[1]
        row = self.own[name] = Row(*name, version + 1, figures)
        self.touched[name] = now
        if shard_of(kind, key) in self.held:
            self._moved(self.store.merge([row], "own"))
        self.unsent[row.name] = telling

    def draw(self, now: float, customer: str, units: float) -> None:
        """This node drew units of a customer."""
        name = (USE, customer, self.name, self.start)
        had = self.own.get(name)
        before = had.figures if had is not None else self.forgotten.get(name, (0.0, 0, (0.0,)))[2]
        self.put(now, USE, customer, (max(0.0, before[0] + units),), abs(units))

    def store_rows(self) -> list[Row]:
        """All rows that are here: for the folder."""
        return [row for shard in self.store.rows for row in self.store.shard(shard)]

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
        if now >= self.sweep_at:
            self.sweep_at = now + self.terms.forget_s / 10
            self._forget()
        if now >= self.compare_at:
            self.compare_at = now + self.terms.compare_s
            self._compare()
        if not self.caught_up and not self.cold and now - self.began > self.terms.cold_after_s:
            self.cold = True
            self.out.events.append(("cold", {"left": sum(not self._settled(one) for one in self.held)}))

    def hear(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        self.now = now
        getattr(self, f"_on_{call}")(sender, *args)

    def unheard(self, now: float) -> bool:
        """Whether a row of its own is out for long, with no majority of the other holders to answer."""
        return any(now - at > self.terms.again_s / 2 for _, at, _, _ in self.sent.values())

    # Spread.

    def _holders(self, shard: int) -> list[str]:
        found = self.holders.get(shard)
        if found is None:
            found = holders_of(shard, self.members, self.terms.copies, self.zones)
            self.holders[shard] = found
        return found

    def _others(self, shard: int) -> list[str]:
        return [one for one in self._holders(shard) if one != self.name]

    def _unanswered(self) -> None:
        """Rows that no majority of the other holders has said to hold are told again. Guards against one that
        was lost on its way from an owner who is no holder: nobody else can miss it. Schedules showed it."""
        for name, (first, _, last, at) in list(self.sent.items()):
            to, held = self._others(shard_of(*name[:2])), self.taken.get(name, {})
            got = sorted((held.get(one, 0) for one in to), reverse=True)[len(to) // 2] if to else last
            if got >= last:
                del self.sent[name]
                continue
            if got >= first:
                self.sent[name] = (last, at, last, at)
            if self.now - at > self.terms.again_s:
                self.unsent.setdefault(name, 1.0)

    def _on_took(self, sender: str, rows: list[tuple[str, str, int, int]]) -> None:
        for kind, key, start, version in rows:
            if (name := (kind, key, self.name, start)) in self.own:
                held = self.taken.setdefault(name, {})
                held[sender] = max(version, held.get(sender, 0))

    def _spread(self) -> None:
        """What is unsent, most telling first, to the holders of its shard, within the budget."""
        batches: dict[str, list[Row]] = {}
        self._unanswered()
        for name in nlargest(int(self.room / HEAD) + 1, self.unsent, key=self.unsent.__getitem__):
            row = self.own.get(name)
            to = self._others(shard_of(*name[:2]))
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
            first, since, *_ = self.sent.get(name, (row.version, self.now))
            self.sent[name] = (first, since, row.version, self.now)
        for one, rows in batches.items():
            for at in range(0, len(rows), self.terms.chunk):
                self._send(one, "rows", rows[at : at + self.terms.chunk])
        self._sum_up()

    # Summed use, back to those who draw.

    def _moved(self, rows: Iterable[Row]) -> None:
        for row in rows:
            self.touched[row.name] = self.now
            if row.kind == USE:
                self.moved[row.key] = None

    def _sum_up(self) -> None:
        """The first holder of a customer tells each node that draws of it what all others drew. Sums are
        whole, and told again until they are answered."""
        for customer, told_to in self.owed.items():
            if any(self.now - at > self.terms.again_s for _, at in told_to.values()):
                self.moved[customer] = None
        batches: dict[str, list[tuple[str, float]]] = {}
        for customer in list(islice(self.moved, MOST_SUMS)):
            if self._holders(shard_of(USE, customer))[0] != self.name:
                del self.moved[customer]
                continue
            rows = self.store.of(USE, customer)
            starts: dict[str, int] = {}
            for row in rows:
                starts[row.node] = max(row.start, starts.get(row.node, 0))
            to = [node for node in starts if node in self.members and node != self.name]
            cost = (len(customer) + 16) * len(to)
            if self.room < cost:
                self.counts["sums over budget"] += 1
                break
            self.room -= cost
            del self.moved[customer]
            for node, start in sorted(starts.items()):
                own = "a sum counts one's own draws" in self.mistakes
                told = sum(one.figures[0] for one in rows if own or (one.node, one.start) != (node, start))
                if node == self.name:
                    self._take_sum(customer, told)
                elif node in to:
                    batches.setdefault(node, []).append((customer, told))
                    self.owed.setdefault(customer, {})[node] = (told, self.now)
        for node, sums in batches.items():
            for at in range(0, len(sums), self.terms.chunk):
                self._send(node, "sums", sums[at : at + self.terms.chunk])

    def _on_sums(self, sender: str, sums: list[tuple[str, float]]) -> None:
        """What others drew of this node's customers: it only rises, whatever arrives late."""
        if any(not 0 <= units <= MOST_FIGURE for _, units in sums):
            self.store.refused += 1
            self.out.events.append(("refused", {"whose": sender}))
            return
        for customer, units in sums:
            self._take_sum(customer, units)
        self._send(sender, "summed", sums)

    def _take_sum(self, customer: str, units: float) -> None:
        if (USE, customer, self.name, self.start) in self.own and units > self.sums.get(customer, 0.0):
            self.sums[customer] = units
            self.out.sums.append((customer, units))

    def _on_summed(self, sender: str, sums: list[tuple[str, float]]) -> None:
        for customer, units in sums:
            told_to = self.owed.get(customer, {})
            if told_to.get(sender, (None, 0.0))[0] == units:
                del told_to[sender]
                if not told_to:
                    del self.owed[customer]

    def _forget(self) -> None:
        """Rows that nobody has changed for long: customers seen once, dead starts."""
        least = self.now - self.terms.forget_s
        idle = [name for name, at in self.touched.items() if at < least]
        for name in idle[:MOST_FORGOTTEN]:
            self._drop(name)
        if len(idle) > MOST_FORGOTTEN:
            self.sweep_at = self.now + self.terms.spread_s
        for name, (at, _, _) in list(self.forgotten.items()):
            # an owner remembers for longer than all others
            if at < self.now - self.terms.forget_s * (4 if name[2:] == (self.name, self.start) else 2):
                del self.forgotten[name]

    def _drop(self, name: tuple[str, str, str, int]) -> None:
        self.touched.pop(name, None)
        row = self.own.pop(name, None) or self.store.get(*name)
        if row is not None:
            self.forgotten[name] = (self.now, row.version, row.figures)
            self.store.forget(name)
        for table in (self.unsent, self.sent, self.taken):
            table.pop(name, None)
        self.owed.pop(name[1], None)
        if name[2:] == (self.name, self.start):
            self.sums.pop(name[1], None)

    def _on_forgotten(self, sender: str, names: list[tuple[str, str, str, int, int]]) -> None:
        """Others have forgotten rows that are here still. Guards against one that returns with its folder and
        is never equal to those who forgot meanwhile. A row of this start is its own to forget."""
        for kind, key, node, start, version in names:
            name = (kind, key, node, start)
            row = self.store.get(*name)
            if row is not None and row.version <= version and (node, start) != (self.name, self.start):
                self._drop(name)

    def _on_rows(self, sender: str, rows: list[Row]) -> None:
        own = [row for row in rows if (row.node, row.start) == (self.name, self.start)]
        refused = self.store.refused
        known = self.forgotten if "a forgotten row comes back" not in self.mistakes else {}
        late = [row for row in rows if row not in own and row.version <= known.get(row.name, (0.0, 0, ()))[1]]
        taken = self.store.merge([row for row in rows if row not in own and row not in late], sender)
        self._moved(taken)
        if late:
            self._send(sender, "forgotten", [(*row.name, row.version) for row in late])
        for row in own:
            self._claimed(row, sender)
        told = [(one.kind, one.key, one.start, one.version) for one in rows if one.node == sender]
        if told and self.store.refused == refused:
            self._send(sender, "took", told)
        if self.store.refused > refused:
            self.out.events.append(("refused", {"whose": sender}))
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
            self.touched[row.name] = self.now
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
        elif self.held:  # one after another, with each other holder in turn: then the time is bounded
            self.turn += 1
            held = sorted(self.held)
            self._ask(held[self.turn % len(held)], self.turn // len(held))
        if self.leaving:
            self._ask(self.random.choice(sorted(self.leaving)))

    def _on_offer(
        self, sender: str, shard: int, digest: int, names: list[tuple[str, str, str, int, int]]
    ) -> None:
        wanted = []
        for kind, key, node, start, version in names:
            row = self.store.get(kind, key, node, start)
            known = self.forgotten.get((kind, key, node, start), (0.0, 0, ()))[1]
            if (row is None or row.version < version) and version > known:
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

    def _ask(self, shard: int, turn: int | None = None) -> None:
        others = self._others(shard)
        if others:
            to = self.random.choice(others) if turn is None else others[turn % len(others)]
            self._send(to, "compare", shard, self.store.digest(shard))

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
        wanted, newer, same, late = [], [], [], []
        for name, version in theirs.items():
            row = self.store.get(*name)
            if row is None and version <= self.forgotten.get(name, (0.0, 0, ()))[1]:
                late.append((*name, version))
            elif row is None or row.version < version:
                wanted.append(name)
            elif row.version > version:
                newer.append(row)
            else:
                same.append(name)
        if whole:
            newer += [
                row for row in self.store.shard(shard) if row.bucket == bucket and row.name not in theirs
            ]
        if late:
            self._send(sender, "forgotten", late)
        elif not wanted and not newer:
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
