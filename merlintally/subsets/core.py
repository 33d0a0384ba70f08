"""One node's subset of the listed servers: grows at once when it is too small, and shrinks after a delay."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from merlintally.subsets.descent import Descent, start_level
from merlintally.subsets.records import LEVEL_OFFSET, PRESENCE_OFFSET, PRESENCE_ON, Listing, RowCodec

ZONE_SHARE = 0.05  # of all serving servers; smaller zones do not count towards MIN_ZONES
MIN_ZONES = 2  # that the serving servers of a subset lie in, if as many zones count
MAX_EXTRA_LEVELS = 2  # added by a node while requests wait
DECAY_FACTOR = 3.0  # rate at which the waiting time decays while no request waits
MAX_SAMPLE_S = 0.5  # longest interval that one sample of waiting requests accounts for
INJECTED_FAULTS = (  # injected in tests only
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


class SubsetSettings(NamedTuple):
    """Settings of subsets, from the operators' file."""

    size: int = 128  # minimum servers of a subset; it has less than twice as many
    whole_up_to: int = 512  # listed servers up to which the whole list is used
    least: int = 64  # minimum serving servers of a subset, if more are alive
    unanswered: int = 3  # consecutive unanswered attempts after which a server is failing
    settle_s: float = 60.0  # time for which a smaller subset has to suffice before the subset shrinks
    pressed_s: float = 2.0  # time for which requests wait before the subset grows by a level


DEFAULT_SETTINGS = SubsetSettings()


class Subset:
    """Tracks the list of servers and selects those that this node works with.

    `apply_list` returns the entries to publish for a list or its changes. The other methods that take the
    time, in Unix seconds, return whether the subset has changed; if so, `members` returns the whole new one.
    """

    def __init__(
        self,
        node_number: int,
        nodes: int,
        settings: SubsetSettings = DEFAULT_SETTINGS,
        injected_faults: frozenset[str] = frozenset(),
    ) -> None:
        self.nodes, self.settings, self.injected_faults = nodes, settings, injected_faults
        self.level = self._base_level = 0
        self.rows = dict[str, bytes]()  # all listed servers by name, once the list has been too long
        self._hash_prefix = f"{node_number}:" if "each node has its own hash" in injected_faults else ""
        self._descent, self._codec = Descent(node_number, nodes), RowCodec()
        self._short_list = dict[str, Listing]()  # by server, until the list has been too long
        self._bounded = False
        # Serving servers that join at each level, by level and zone.
        self._serving: list[dict[int, int]] = [{} for _ in range(self._descent.top + 1)]
        self._unanswered = dict[str, int]()  # consecutive unanswered attempts by server
        self.extra_levels, self._waiting_s, self._sampled_at, self._idle_since = 0, 0.0, 0.0, -1.0
        self._shrinks_at = float("inf")

    @property
    def bounded(self) -> bool:
        """Whether the list is, or has been, too long to be used whole."""
        return self._bounded

    @property
    def size(self) -> int:
        """The number of servers in the subset."""
        if not self._bounded:
            return len(self._short_list)
        return sum(row[LEVEL_OFFSET] <= self.level for row in self.rows.values())

    @property
    def whole(self) -> bool:
        """Whether the subset is the whole list."""
        return self.level >= self._descent.top

    @property
    def nodes_per_server(self) -> int:
        """The number of nodes that send to one server; levels added for waiting requests don't count.

        Those levels are this node's own: other nodes don't add them.
        """
        level = max(self._base_level, self.level - self.extra_levels)
        return min(self.nodes, 1 << level) if self._bounded else self.nodes

    def apply_list(
        self, now: float, entries: Sequence[Listing], complete: bool
    ) -> tuple[Sequence[Listing], bool]:
        """Applies a list, or changes to it unless `complete`.

        Returns the entries to publish, and whether they are the whole subset.
        """
        if not self._bounded:
            if self._stays_short(entries, complete):
                self.level = self._descent.top
                return entries, complete
            self._replace_all(list(self._short_list.values()))
            self._short_list.clear()
            if len(self.rows) > 2 * self.settings.whole_up_to:
                self._shrinks_at = now  # a list this long is not used whole, even for the settling time
            changes = list[Listing]()
        else:
            changes = (
                self._replace_all(entries) if complete else [entry for entry in entries if self._apply(entry)]
            )
        if self._adjust_level(now):
            return self.members(), True
        if self.whole:
            return entries, complete
        if complete:
            return [entry for entry in entries if self._is_member(entry.facts.server)], True
        return changes, False

    def members(self) -> list[Listing]:
        """Returns the entries of the whole subset."""
        if not self._bounded:
            return list(self._short_list.values())
        unpack, level = self._codec.unpack, self.level
        return [unpack(name, row) for name, row in self.rows.items() if row[LEVEL_OFFSET] <= level]

    def record_attempt(self, now: float, server: str, answered: bool) -> bool:
        """Records the end of an attempt; returns whether the subset has changed."""
        row, previous = self.rows.get(server), self._unanswered.get(server, 0)
        if row is None or row[LEVEL_OFFSET] > self.level or (answered and not previous):
            return False
        self._count_serving(server, row, -1)
        if answered:
            del self._unanswered[server]
        else:
            self._unanswered[server] = previous + 1
        self._count_serving(server, row, 1)
        crossed = (
            previous >= self.settings.unanswered if answered else previous + 1 == self.settings.unanswered
        )
        return crossed and self._adjust_level(now)

    def record_waiting(self, now: float, waiting: bool) -> bool:
        """Samples whether requests wait for capacity in the subset; returns whether the subset has changed.

        A level is added once requests have waited for `pressed_s`, short breaks included, and removed after
        `settle_s` without waiting requests.
        """
        if not self._bounded:
            return False
        elapsed, self._sampled_at = min(MAX_SAMPLE_S, now - self._sampled_at), now
        self._waiting_s = max(0.0, self._waiting_s + (elapsed if waiting else -DECAY_FACTOR * elapsed))
        if waiting or self._idle_since < 0:
            self._idle_since = now
        if self._waiting_s >= self.settings.pressed_s and self.extra_levels < MAX_EXTRA_LEVELS:
            self.extra_levels, self._waiting_s = self.extra_levels + 1, 0.0
        elif self.extra_levels and now - self._idle_since >= self.settings.settle_s:
            self.extra_levels, self._idle_since = self.extra_levels - 1, now
        else:
            return False
        return self._adjust_level(now)

    def shrink_if_due(self, now: float) -> bool:
        """Shrinks the subset if a smaller one has sufficed for `settle_s`; returns whether it has changed."""
        return now >= self._shrinks_at and self._adjust_level(now)

    # The listed servers.

    def _stays_short(self, entries: Sequence[Listing], complete: bool) -> bool:
        """Applies a list or its changes; returns whether the list is still used whole.

        With up to two nodes it always is, since each server is in the subsets of at least two nodes.
        """
        if self._descent.top <= 1:
            return True
        if complete:
            self._short_list.clear()
        for entry in entries:
            if entry.facts.presence == "gone":
                self._short_list.pop(entry.facts.server, None)
            else:
                self._short_list[entry.facts.server] = entry
        self._bounded = len(self._short_list) > self.settings.whole_up_to
        return not self._bounded

    def _replace_all(self, entries: Sequence[Listing]) -> list[Listing]:
        """Applies a whole list; returns no changes, since the subset is published whole."""
        previous, self.rows = self.rows, {}
        self._serving = [{} for _ in self._serving]
        for entry in entries:
            if entry.facts.presence != "gone":
                name, old_row = entry.facts.server, previous.get(entry.facts.server)
                self._reset_attempts(entry, old_row)
                self._store(name, self._codec.pack(self._join_level(name, old_row), entry))
        self._unanswered = {name: count for name, count in self._unanswered.items() if name in self.rows}
        return []

    def _apply(self, entry: Listing) -> bool:
        """Applies the change of one server; returns whether the change concerns the subset."""
        name = entry.facts.server
        old_row = self.rows.pop(name, None)
        if old_row is not None:
            self._count_serving(name, old_row, -1)
        if entry.facts.presence == "gone":
            self._unanswered.pop(name, None)
            if old_row is not None and "one that left the list is kept" in self.injected_faults:
                return False
            return old_row is not None and old_row[LEVEL_OFFSET] <= self.level
        self._reset_attempts(entry, old_row)
        level = self._join_level(name, old_row)
        if old_row is None and "newcomers join twice as many subsets" in self.injected_faults:
            level = max(0, level - 1)
        row = self._codec.pack(level, entry)
        self._store(name, row)
        if entry.facts.presence == "draining" and "a drained server is kept" in self.injected_faults:
            return False
        return row[LEVEL_OFFSET] <= self.level

    def _store(self, name: str, row: bytes) -> None:
        self.rows[name] = row
        self._count_serving(name, row, 1)

    def _join_level(self, name: str, old_row: bytes | None) -> int:
        if old_row is not None:
            return old_row[LEVEL_OFFSET]
        return self._descent.joins_at(self._hash_prefix + name)

    def _reset_attempts(self, entry: Listing, old_row: bytes | None) -> None:
        """Clears the unanswered attempts of a server that is new, has restarted or was not serving."""
        if "a returned zone stays failing" in self.injected_faults:
            return
        same_start = old_row is not None and self._codec.started_of(old_row) == entry.facts.started
        if not same_start or (old_row is not None and old_row[PRESENCE_OFFSET] != PRESENCE_ON):
            self._unanswered.pop(entry.facts.server, None)

    def _is_member(self, name: str) -> bool:
        row = self.rows.get(name)
        return row is not None and row[LEVEL_OFFSET] <= self.level

    def _count_serving(self, name: str, row: bytes, change: int) -> None:
        """Adds `change` to the count of serving servers for the server's level and zone, if it is serving."""
        failing = self._unanswered.get(name, 0) >= self.settings.unanswered
        if "failing servers count as serving" in self.injected_faults:
            failing = False
        if row[PRESENCE_OFFSET] == PRESENCE_ON and not failing:
            zones, zone = self._serving[row[LEVEL_OFFSET]], self._codec.zone_of(row)
            zones[zone] = zones.get(zone, 0) + change

    # The size of the subset.

    def _adjust_level(self, now: float) -> bool:
        """Grows the subset at once, or shrinks it when that is due; returns whether the level has changed."""
        required = self._required_level()
        if required == self.level:
            self._shrinks_at = float("inf")
            return False
        if required < self.level and "it shrinks at once" not in self.injected_faults:
            self._shrinks_at = min(self._shrinks_at, now + self.settings.settle_s)
            if now < self._shrinks_at or "it never shrinks" in self.injected_faults:
                return False
        self.level, self._shrinks_at = required, float("inf")
        # Servers outside the subset get no attempts, so they can no longer be observed as failing.
        for name in [server for server in self._unanswered if not self._is_member(server)]:
            self._count_serving(name, self.rows[name], -1)
            del self._unanswered[name]
            self._count_serving(name, self.rows[name], 1)
        return True

    def _required_level(self) -> int:
        """Returns the lowest level that suffices for the list's size, waiting requests, servers and zones."""
        top, settings = self._descent.top, self.settings
        if len(self.rows) <= settings.whole_up_to:
            return top
        self._base_level = start_level(self.nodes, len(self.rows), settings.size)
        level = min(top, self._base_level + self.extra_levels)
        all_serving = _sum_by_zone(self._serving)
        alive = sum(all_serving.values())
        min_serving, min_zones = settings.least, min(MIN_ZONES, _count_zones(all_serving, alive))
        if "shrinks below its least" in self.injected_faults:
            min_serving = 0
        elif alive <= min_serving:
            return top  # on all nodes, so that their shares of a cold server add up to its slow-start budget
        if "one zone is enough" in self.injected_faults:
            min_zones = 1
        serving = _sum_by_zone(self._serving[: level + 1])
        while level < top and (sum(serving.values()) < min_serving or _count_zones(serving, 0) < min_zones):
            level += 1
            serving = _sum_by_zone((serving, self._serving[level]))
        return level


def _sum_by_zone(parts: Iterable[dict[int, int]]) -> dict[int, int]:
    total = dict[int, int]()
    for part in parts:
        for zone, count in part.items():
            total[zone] = total.get(zone, 0) + count
    return total


def _count_zones(serving: dict[int, int], alive: int) -> int:
    """Returns the number of zones that have serving servers, and at least `ZONE_SHARE` of `alive`."""
    return sum(count > 0 and count >= ZONE_SHARE * alive for count in serving.values())
