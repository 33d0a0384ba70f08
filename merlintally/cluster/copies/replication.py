"""Replication of rows to the holders of their shards: sending changes, anti-entropy and catching up.

Events go in, results come out; what is sent stays within a budget of bytes per second.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import nlargest
from itertools import islice
from random import Random
from typing import Any, NamedTuple

from merlintally.cluster.copies.holders import SHARD_COUNT, holders_of, shard_of
from merlintally.cluster.copies.store import MAX_VALUE, USE, Row, Store

MESSAGE_TYPES: dict[str, Any] = {  # message -> types of its arguments
    "rows": tuple[list[Row]],  # new versions of rows
    # acknowledges rows of the receiver's own that the sender holds: kind, key, start, version
    "took": tuple[list[tuple[str, str, int, int]]],
    "compare": tuple[int, int],  # shard, digest
    "buckets": tuple[int, list[int]],  # the digests differ: shard, digests of its buckets
    # shard, bucket, names with versions, whether these are all of the bucket
    "versions": tuple[int, int, list[tuple[str, str, str, int, int]], bool],
    # the sender no longer holds the shard: shard, digest, names with versions in the buckets that differ
    "offer": tuple[int, int, list[tuple[str, str, str, int, int]]],
    "kept": tuple[int, int],  # all of an offer is held: shard, digest of the offer
    "fetch": tuple[int, list[tuple[str, str, str, int]]],  # shard, names of the rows to send
    "sums": tuple[list[tuple[str, float]]],  # customer, units that all other nodes drew
    "summed": tuple[list[tuple[str, float]]],  # acknowledges sums
    # names and versions of rows that the sender has dropped, as they had not changed for long
    "forgotten": tuple[list[tuple[str, str, str, int, int]]],
    "same": tuple[int, int, bool],  # the digests are equal: shard, digest, whether the sender has caught up
}
ROW_OVERHEAD_BYTES = 48  # of an encoded row, beside its key, node and values
MAX_SUMS_PER_WAKE = 1000
MAX_FORGOTTEN_PER_WAKE = 2000


class ReplicationSettings(NamedTuple):
    """Settings of replication.

    A change reaches its holders within `spread_s` and one send if the budget allows. Two holders whose
    replicas of a shard differ find it within `compare_s` times the number of shards that one holds, for each
    other holder.
    """

    copies: int = 3  # replicas of each shard
    bytes_per_s: float = 20000.0  # budget for all that is sent
    spread_s: float = 0.1
    compare_s: float = 0.1
    max_items: int = 100  # rows or names in one message
    cold_after_s: float = 10.0  # a node that has not caught up by then starts cold
    forget_s: float = 120.0  # a row that has not changed for so long is dropped
    retry_s: float = 1.0  # retry interval of rows and sums without acknowledgement


@dataclass(slots=True)
class Results:
    """What the caller has to carry out, taken with `take_results`."""

    # receiver, message, arguments
    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)
    # customer, units that all other nodes drew in total
    sums: list[tuple[str, float]] = field(default_factory=list)
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    wake_at: float = 0.0


def row_bytes(row: Row) -> int:
    """The approximate size of an encoded row."""
    return ROW_OVERHEAD_BYTES + len(row.key) + len(row.node) + 8 * len(row.figures)


class Replicator:
    """One node's part in replication.

    Call `set_members` with the members, `put` or `draw` to change a row of this node, `receive` for each
    message and `wake` at the time that the results name.
    """

    def __init__(
        self,
        name: str,
        start: int,
        settings: ReplicationSettings,
        random: Random,
        now: float,
        saved_rows: Iterable[Row] = (),
        injected_faults: frozenset[str] = frozenset(),
    ) -> None:
        """`saved_rows` come from the folder. They may be old: they only save transfers, as the node has to
        catch up with the other holders all the same."""
        self.name, self.start, self.settings, self.random, self.now = name, start, settings, random, now
        self.injected_faults, self.store = injected_faults, Store(injected_faults)
        self.store.merge(saved_rows, "folder")
        self.members: list[str] = [name]
        self.zones: Mapping[str, str] = {}
        self.held: set[int] = set(range(SHARD_COUNT))
        self.holders: dict[int, list[str]] = {}  # by shard, for the current members
        # rows of this start, also of shards that are held elsewhere
        self.own_rows: dict[tuple[str, str, str, int], Row] = {}
        self.unsent: OrderedDict[tuple[str, str, str, int], float] = OrderedDict()  # row -> priority
        self.byte_allowance, self.allowance_at = settings.bytes_per_s, now
        self.spread_at = now + settings.spread_s * random.random()
        self.compare_at = now + settings.compare_s * random.random()
        self.started_at = now
        # shard -> holders whose digest was equal, and those of them that had caught up with it
        self.equal_with: dict[int, set[str]] = {shard: set() for shard in range(SHARD_COUNT)}
        self.caught_up_with: dict[int, set[str]] = {shard: set() for shard in range(SHARD_COUNT)}
        self.caught_up = "an older folder is trusted" in injected_faults and bool(list(saved_rows))
        self.cold = False
        self.leaving: dict[int, set[str]] = {}  # shards no longer held -> holders that have all of their rows
        self.counts: Counter[str] = Counter()
        self.changed_at: dict[tuple[str, str, str, int], float] = {}  # row -> when it last changed here
        # Dropped rows: when, version, figures. Holders that drop a row a little later must not bring it back,
        # and an owner that changes it again has to go on with a higher version.
        self.tombstones: dict[tuple[str, str, str, int], tuple[float, int, tuple[float, ...]]] = {}
        self.sweep_at, self.compare_turn = now, 0
        # own row -> first version without a majority of acknowledgements and when it was sent, last such
        # version and when it was sent
        self.unacknowledged: dict[tuple[str, str, str, int], tuple[int, float, int, float]] = {}
        # own row -> holder -> last version that it has acknowledged
        self.acknowledged: dict[tuple[str, str, str, int], dict[str, int]] = {}
        self.changed_customers: OrderedDict[str, None] = OrderedDict()  # whose sums have to be sent
        # customer -> node -> sum without acknowledgement, when it was sent
        self.unacknowledged_sums: dict[str, dict[str, tuple[float, float]]] = {}
        self.first_held: set[int] = set()  # shards whose first holder is this node
        self.sums: dict[str, float] = {}  # what all others drew, of the customers that this start drew of
        for row in self.all_rows():
            self.changed_at[row.name] = now
        self.results = Results()

    # Calls of the node.

    def set_members(self, now: float, members: Iterable[str], zones: Mapping[str, str]) -> None:
        """Use these members and their zones from now on.

        A shard that this node no longer holds is kept until a majority of its holders has all of its rows.
        """
        self.now = now
        previous_members = set(self.members)
        self.members, self.zones = sorted(set(members) | {self.name}), zones
        joined = set(self.members) - previous_members
        previous_holders, self.holders = self.holders, {}
        previously_held, self.held = (
            self.held,
            {candidate for candidate in range(SHARD_COUNT) if self.name in self._holders(candidate)},
        )
        for shard in previously_held - self.held:
            if self.store.digest(shard):
                self.leaving[shard] = set()
        for shard in self.held & set(self.leaving):
            del self.leaving[shard]
        for shard in self.held - previously_held:
            # Equal digests from before, when others held the shard, don't show that it is complete here.
            self.equal_with[shard].clear()
            self.caught_up_with[shard].clear()
        first_held = {shard for shard in self.held if self._holders(shard)[0] == self.name}
        # The previous first holder may not have sent these sums, and new members may have missed any.
        for shard in first_held if joined else first_held - self.first_held:
            self.changed_customers.update(
                (row.key, None) for row in self.store.shard(shard) if row.kind == USE
            )
        self.first_held = first_held
        still_members = {
            customer: {node: sent for node, sent in by_node.items() if node in self.members}
            for customer, by_node in self.unacknowledged_sums.items()
        }
        self.unacknowledged_sums = {
            customer: by_node for customer, by_node in still_members.items() if by_node
        }
        # Own rows are sent again if none of their new holders has acknowledged them: otherwise they would be
        # lost when all of their holders have left.
        others = {shard: set(self._others(shard)) for shard in range(SHARD_COUNT)}
        changed = {
            shard for shard in others if others[shard] and self.holders[shard] != previous_holders.get(shard)
        }
        for name in self.own_rows:
            shard = shard_of(*name[:2])
            if shard in changed and others[shard].isdisjoint(self.acknowledged.get(name, ())):
                self.unsent.setdefault(name, 1.0)
        if "a shard moves before it is held" in self.injected_faults:
            for shard in list(self.leaving):
                self.store.drop(shard)
                del self.leaving[shard]

    def put(self, now: float, kind: str, key: str, figures: tuple[float, ...], priority: float = 1.0) -> None:
        """Change a row of this node. Rows of higher priority are sent first."""
        self.now = now
        name = (kind, key, self.name, self.start)
        # Not the store's row: the store drops shards that are held elsewhere.
        previous = self.own_rows.get(name)
        version = previous.version if previous is not None else self.tombstones.get(name, (0.0, 0, ()))[1]
        row = self.own_rows[name] = Row(*name, version + 1, figures)
        self.changed_at[name] = now
        if shard_of(kind, key) in self.held:
            self._note_changes(self.store.merge([row], "own"))
        self.unsent[row.name] = priority

    def draw(self, now: float, customer: str, units: float) -> None:
        """Add units that this node drew of a customer."""
        name = (USE, customer, self.name, self.start)
        row = self.own_rows.get(name)
        before = row.figures if row is not None else self.tombstones.get(name, (0.0, 0, (0.0,)))[2]
        self.put(now, USE, customer, (max(0.0, before[0] + units),), abs(units))

    def all_rows(self) -> list[Row]:
        """All rows that are held here, to be saved in the folder."""
        return [row for shard in self.store.rows for row in self.store.shard(shard)]

    def take_results(self) -> Results:
        taken, self.results = self.results, Results()
        taken.wake_at = min(self.spread_at, self.compare_at)
        return taken

    def wake(self, now: float) -> None:
        """Do what is due at `now`."""
        self.now = now
        self.byte_allowance = min(
            self.settings.bytes_per_s,
            self.byte_allowance + (now - self.allowance_at) * self.settings.bytes_per_s,
        )
        self.allowance_at = now
        if now >= self.spread_at:
            self.spread_at = now + self.settings.spread_s
            self._send_changes()
        if now >= self.sweep_at:
            self.sweep_at = now + self.settings.forget_s / 10
            self._forget_unchanged()
        if now >= self.compare_at:
            self.compare_at = now + self.settings.compare_s
            self._compare()
        if not self.caught_up and not self.cold and now - self.started_at > self.settings.cold_after_s:
            self.cold = True
            self.results.events.append(
                ("cold", {"left": sum(not self._is_current(shard) for shard in self.held)})
            )

    def receive(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        """Handle a message from `sender`."""
        self.now = now
        getattr(self, f"_on_{call}")(sender, *args)

    def lacks_acknowledgements(self, now: float) -> bool:
        """Whether a row of this node has waited long for acknowledgement by a majority of its holders."""
        return any(
            now - sent_at > self.settings.retry_s / 2 for _, sent_at, _, _ in self.unacknowledged.values()
        )

    # Sending changes.

    def _holders(self, shard: int) -> list[str]:
        nodes = self.holders.get(shard)
        if nodes is None:
            nodes = holders_of(shard, self.members, self.settings.copies, self.zones)
            self.holders[shard] = nodes
        return nodes

    def _others(self, shard: int) -> list[str]:
        """The holders of a shard other than this node."""
        return [node for node in self._holders(shard) if node != self.name]

    def _retry_unacknowledged(self) -> None:
        """Queue rows again that a majority of the other holders has not acknowledged in time.

        Anti-entropy does not repair such a loss: if the owner holds no replica, no holder can miss the row.
        """
        for name, (first, _, last, last_sent_at) in list(self.unacknowledged.items()):
            others, versions = self._others(shard_of(*name[:2])), self.acknowledged.get(name, {})
            by_majority = (
                sorted((versions.get(node, 0) for node in others), reverse=True)[len(others) // 2]
                if others
                else last
            )
            if by_majority >= last:
                del self.unacknowledged[name]
                continue
            if by_majority >= first:
                self.unacknowledged[name] = (last, last_sent_at, last, last_sent_at)
            if self.now - last_sent_at > self.settings.retry_s:
                self.unsent.setdefault(name, 1.0)

    def _on_took(self, sender: str, rows: list[tuple[str, str, int, int]]) -> None:
        for kind, key, start, version in rows:
            if (name := (kind, key, self.name, start)) in self.own_rows:
                versions = self.acknowledged.setdefault(name, {})
                versions[sender] = max(version, versions.get(sender, 0))

    def _send_changes(self) -> None:
        """Send unsent rows to the holders of their shards, by priority and within the byte budget."""
        batches: dict[str, list[Row]] = {}
        self._retry_unacknowledged()
        for name in nlargest(
            int(self.byte_allowance / ROW_OVERHEAD_BYTES) + 1, self.unsent, key=self.unsent.__getitem__
        ):
            row = self.own_rows.get(name)
            others = self._others(shard_of(*name[:2]))
            if row is None:
                del self.unsent[name]
                continue
            if self.byte_allowance < row_bytes(row) * len(others):
                self.counts["over budget"] += 1
                break
            self.byte_allowance -= row_bytes(row) * len(others)
            for node in others:
                batches.setdefault(node, []).append(row)
            del self.unsent[name]
            first, first_sent_at, *_ = self.unacknowledged.get(name, (row.version, self.now))
            self.unacknowledged[name] = (first, first_sent_at, row.version, self.now)
        for node, rows in batches.items():
            for begin in range(0, len(rows), self.settings.max_items):
                self._send(node, "rows", rows[begin : begin + self.settings.max_items])
        self._send_sums()

    # Sums of use, sent back to the nodes that draw.

    def _note_changes(self, rows: Iterable[Row]) -> None:
        for row in rows:
            self.changed_at[row.name] = self.now
            if row.kind == USE:
                self.changed_customers[row.key] = None

    def _send_sums(self) -> None:
        """Send what all others drew of a customer to each node that draws of it.

        The first holder of the customer does so. Sums are totals, and are sent again until acknowledged.
        """
        for customer, by_node in self.unacknowledged_sums.items():
            if any(self.now - sent_at > self.settings.retry_s for _, sent_at in by_node.values()):
                self.changed_customers[customer] = None
        batches: dict[str, list[tuple[str, float]]] = {}
        for customer in list(islice(self.changed_customers, MAX_SUMS_PER_WAKE)):
            if self._holders(shard_of(USE, customer))[0] != self.name:
                del self.changed_customers[customer]
                continue
            rows = self.store.of_key(USE, customer)
            latest_starts: dict[str, int] = {}
            for row in rows:
                latest_starts[row.node] = max(row.start, latest_starts.get(row.node, 0))
            receivers = [node for node in latest_starts if node in self.members and node != self.name]
            cost = (len(customer) + 16) * len(receivers)
            if self.byte_allowance < cost:
                self.counts["sums over budget"] += 1
                break
            self.byte_allowance -= cost
            del self.changed_customers[customer]
            for node, start in sorted(latest_starts.items()):
                with_own = "a sum counts one's own draws" in self.injected_faults
                units = sum(
                    drawn.figures[0]
                    for drawn in rows
                    if with_own or (drawn.node, drawn.start) != (node, start)
                )
                if node == self.name:
                    self._raise_sum(customer, units)
                elif node in receivers:
                    batches.setdefault(node, []).append((customer, units))
                    self.unacknowledged_sums.setdefault(customer, {})[node] = (units, self.now)
        for node, sums in batches.items():
            for begin in range(0, len(sums), self.settings.max_items):
                self._send(node, "sums", sums[begin : begin + self.settings.max_items])

    def _on_sums(self, sender: str, sums: list[tuple[str, float]]) -> None:
        """Take over what others drew. A sum never decreases, so late messages do no harm."""
        if any(not 0 <= units <= MAX_VALUE for _, units in sums):
            self.store.refused += 1
            self.results.events.append(("refused", {"whose": sender}))
            return
        for customer, units in sums:
            self._raise_sum(customer, units)
        self._send(sender, "summed", sums)

    def _raise_sum(self, customer: str, units: float) -> None:
        if (USE, customer, self.name, self.start) in self.own_rows and units > self.sums.get(customer, 0.0):
            self.sums[customer] = units
            self.results.sums.append((customer, units))

    def _on_summed(self, sender: str, sums: list[tuple[str, float]]) -> None:
        for customer, units in sums:
            by_node = self.unacknowledged_sums.get(customer, {})
            if by_node.get(sender, (None, 0.0))[0] == units:
                del by_node[sender]
                if not by_node:
                    del self.unacknowledged_sums[customer]

    # Forgetting.

    def _forget_unchanged(self) -> None:
        """Drop rows that have not changed for long, such as those of inactive customers and dead starts."""
        oldest = self.now - self.settings.forget_s
        unchanged = [name for name, last_change in self.changed_at.items() if last_change < oldest]
        for name in unchanged[:MAX_FORGOTTEN_PER_WAKE]:
            self._forget(name)
        if len(unchanged) > MAX_FORGOTTEN_PER_WAKE:
            self.sweep_at = self.now + self.settings.spread_s
        for name, (forgotten_at, _, _) in list(self.tombstones.items()):
            # An owner keeps its tombstones for longer than all others do.
            if forgotten_at < self.now - self.settings.forget_s * (
                4 if name[2:] == (self.name, self.start) else 2
            ):
                del self.tombstones[name]

    def _forget(self, name: tuple[str, str, str, int]) -> None:
        """Drop a row and leave a tombstone."""
        self.changed_at.pop(name, None)
        row = self.own_rows.pop(name, None) or self.store.get(*name)
        if row is not None:
            self.tombstones[name] = (self.now, row.version, row.figures)
            self.store.forget(name)
        for table in (self.unsent, self.unacknowledged, self.acknowledged):
            table.pop(name, None)
        self.unacknowledged_sums.pop(name[1], None)
        if name[2:] == (self.name, self.start):
            self.sums.pop(name[1], None)

    def _on_forgotten(self, sender: str, names: list[tuple[str, str, str, int, int]]) -> None:
        """Drop rows that others have dropped, except those of this start, which only it may drop.

        Otherwise a node that returns with saved rows would never become equal to the other holders.
        """
        for kind, key, node, start, version in names:
            name = (kind, key, node, start)
            row = self.store.get(*name)
            if row is not None and row.version <= version and (node, start) != (self.name, self.start):
                self._forget(name)

    # Receiving rows.

    def _on_rows(self, sender: str, rows: list[Row]) -> None:
        own = [row for row in rows if (row.node, row.start) == (self.name, self.start)]
        refused_before = self.store.refused
        known_tombstones = self.tombstones if "a forgotten row comes back" not in self.injected_faults else {}
        forgotten = [
            row
            for row in rows
            if row not in own and row.version <= known_tombstones.get(row.name, (0.0, 0, ()))[1]
        ]
        merged = self.store.merge([row for row in rows if row not in own and row not in forgotten], sender)
        self._note_changes(merged)
        if forgotten:
            self._send(sender, "forgotten", [(*row.name, row.version) for row in forgotten])
        for row in own:
            self._check_own(row, sender)
        acknowledged = [
            (received.kind, received.key, received.start, received.version)
            for received in rows
            if received.node == sender
        ]
        if acknowledged and self.store.refused == refused_before:
            self._send(sender, "took", acknowledged)
        if self.store.refused > refused_before:
            self.results.events.append(("refused", {"whose": sender}))
        if self.store.conflicting_shards:
            self.results.events.append(
                ("differ", {"shards": sorted(self.store.conflicting_shards), "whose": sender})
            )
            for shard in list(self.store.conflicting_shards):
                self.store.conflicting_shards.discard(shard)
                self.equal_with[shard].clear()
                self.caught_up_with[shard].clear()
                self._compare_shard(shard)

    def _check_own(self, row: Row, sender: str) -> None:
        """Correct a replica of an own row that differs: the owner sends its row with a higher version."""
        current = self.own_rows.get(row.name)
        if (
            current is not None
            and not row.problem()
            and (row.version > current.version or row.version == current.version and row != current)
        ):
            self.store.quarantine = [*self.store.quarantine, (sender, row)][-1000:]
            self.own_rows[row.name] = corrected = current._replace(version=row.version + 1)
            self.changed_at[row.name] = self.now
            self.store.merge([corrected], "own")
            self.unsent[row.name] = 1.0
            self.results.events.append(("put right", {"key": row.key, "whose": sender}))

    # Anti-entropy and catching up.

    def _is_current(self, shard: int) -> bool:
        """Whether the shard is known to have what a majority of its holders has.

        Either a holder with an equal digest had itself caught up, as far as that makes a majority with this
        node, or the digests of all other holders were equal. An equal digest alone is not enough: both nodes
        may lag behind.
        """
        others = {node for node in self._holders(shard) if node != self.name}
        if "caught up at the first answer" in self.injected_faults:
            return not others or bool(self.equal_with[shard])
        return (
            others <= self.equal_with[shard]
            or 2 * (len(self.caught_up_with[shard] & others) + 1) > len(others) + 1
        )

    def _compare(self) -> None:
        """Compare one shard with one other holder; while catching up, only shards that are not current."""
        not_current = [shard for shard in sorted(self.held) if not self._is_current(shard)]
        if not self.caught_up and not not_current:
            self.caught_up = True
            self.results.events.append(("caught up", {"after_s": round(self.now - self.started_at, 3)}))
        if not_current:
            for shard in self.random.sample(not_current, min(8, len(not_current))):
                self._compare_shard(shard)
        elif self.held:  # in a fixed order, which bounds the time until a difference is found
            self.compare_turn += 1
            held = sorted(self.held)
            self._compare_shard(held[self.compare_turn % len(held)], self.compare_turn // len(held))
        if self.leaving:
            self._compare_shard(self.random.choice(sorted(self.leaving)))

    def _on_offer(
        self, sender: str, shard: int, digest: int, names: list[tuple[str, str, str, int, int]]
    ) -> None:
        missing = []
        for kind, key, node, start, version in names:
            row = self.store.get(kind, key, node, start)
            forgotten_version = self.tombstones.get((kind, key, node, start), (0.0, 0, ()))[1]
            if (row is None or row.version < version) and version > forgotten_version:
                missing.append((kind, key, node, start))
        if missing:
            self._send(sender, "fetch", shard, missing)
        else:
            self._send(sender, "kept", shard, digest)

    def _on_kept(self, sender: str, shard: int, digest: int) -> None:
        if shard in self.leaving and digest == self.store.digest(shard):
            self._handed_over(sender, shard)

    def _handed_over(self, sender: str, shard: int) -> None:
        """A holder has all rows of a leaving shard: drop it here once a majority of its holders has."""
        self.leaving[shard].add(sender)
        holders = self._holders(shard)
        if 2 * len(self.leaving[shard] & set(holders)) > len(holders):
            self.store.drop(shard)
            del self.leaving[shard]

    def _compare_shard(self, shard: int, turn: int | None = None) -> None:
        """Send the digest of a shard to another holder: the one whose turn it is, or a random one."""
        others = self._others(shard)
        if others:
            receiver = self.random.choice(others) if turn is None else others[turn % len(others)]
            self._send(receiver, "compare", shard, self.store.digest(shard))

    def _on_compare(self, sender: str, shard: int, digest: int) -> None:
        if digest == self.store.digest(shard):
            self._send(sender, "same", shard, digest, self._is_current(shard))
            self._record_equal(sender, shard, False)
            return
        self._send(sender, "buckets", shard, self.store.buckets(shard))

    def _on_buckets(self, sender: str, shard: int, theirs: list[int]) -> None:
        """Send the names and versions in the buckets that differ."""
        own = self.store.buckets(shard)
        differing = {
            position for position, (one, other) in enumerate(zip(own, theirs, strict=False)) if one != other
        }
        names: dict[int, list[tuple[str, str, str, int, int]]] = {position: [] for position in differing}
        for row in self.store.shard(shard):
            if row.bucket in differing:
                names[row.bucket].append((*row.name, row.version))
        if shard in self.leaving:  # the holder fetches what it lacks, and sends nothing back
            offered = [offer for in_bucket in names.values() for offer in in_bucket]
            self._send(sender, "offer", shard, self.store.digest(shard), offered)
            return
        for position, in_bucket in names.items():
            max_items, complete = self.settings.max_items, len(in_bucket) <= self.settings.max_items
            for begin in range(0, max(1, len(in_bucket)), max_items):
                self._send(
                    sender, "versions", shard, position, in_bucket[begin : begin + max_items], complete
                )

    def _on_versions(
        self,
        sender: str,
        shard: int,
        bucket: int,
        names: list[tuple[str, str, str, int, int]],
        complete: bool,
    ) -> None:
        """Fetch the rows that are newer there, and send those that are newer here."""
        theirs = {(kind, key, node, start): version for kind, key, node, start, version in names}
        missing, newer_here, equal, forgotten = [], [], [], []
        for name, version in theirs.items():
            row = self.store.get(*name)
            if row is None and version <= self.tombstones.get(name, (0.0, 0, ()))[1]:
                forgotten.append((*name, version))
            elif row is None or row.version < version:
                missing.append(name)
            elif row.version > version:
                newer_here.append(row)
            else:
                equal.append(name)
        if complete:
            newer_here += [
                row for row in self.store.shard(shard) if row.bucket == bucket and row.name not in theirs
            ]
        if forgotten:
            self._send(sender, "forgotten", forgotten)
        elif not missing and not newer_here:
            missing = equal  # equal names and versions under different digests: rows are in conflict
        if missing:
            self._send(sender, "fetch", shard, missing)
        for begin in range(0, len(newer_here), self.settings.max_items):
            self._send(sender, "rows", newer_here[begin : begin + self.settings.max_items])

    def _on_fetch(self, sender: str, shard: int, names: list[tuple[str, str, str, int]]) -> None:
        rows = [row for name in names if (row := self.store.get(*name)) is not None]
        if rows:
            self._send(sender, "rows", rows)

    def _on_same(self, sender: str, shard: int, digest: int, caught_up: bool) -> None:
        if digest == self.store.digest(shard):
            self._record_equal(sender, shard, caught_up)
            if shard in self.leaving:
                self._handed_over(sender, shard)

    def _record_equal(self, sender: str, shard: int, caught_up: bool) -> None:
        self.equal_with[shard].add(sender)
        if caught_up:
            self.caught_up_with[shard].add(sender)

    def _send(self, receiver: str, message: str, *args: Any) -> None:
        if message == "rows":
            self.counts["rows"] += len(args[0])
        self.counts["messages"] += 1
        self.results.sends.append((receiver, message, args))
