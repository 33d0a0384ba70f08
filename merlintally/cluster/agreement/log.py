"""What a voter holds: entries behind a snapshot, and what of it is kept over a restart."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

# Kinds of entries.
DATA = 0  # the user's
CONFIG = 1  # who votes
BLANK = 2  # a leader's first


class Entry(NamedTuple):
    """One entry; its index is where it lies in the log."""

    term: int
    kind: int
    data: bytes


class Config(NamedTuple):
    """Who votes, and who only follows until it is caught up (learners)."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self)

    @property
    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners


def config_of(data: bytes) -> Config:
    """
    >>> config_of(Config(("a", "b"), ("c",)).encode())
    Config(voters=('a', 'b'), learners=('c',))
    """
    return msgspec.msgpack.decode(data, type=Config)


class Snapshot(NamedTuple):
    """All that the entries up to `index` have brought about, as bytes of the user's."""

    upto: int = 0
    term: int = 0
    config: Config = Config(())
    data: bytes = b""


@dataclass(slots=True)
class Kept:
    """What a voter finds on its disk when it starts."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(default_factory=list)  # those behind the snapshot

    def take(self, row: tuple[Any, ...]) -> None:
        """One row of what a core had persisted, in its order.

        >>> kept = Kept()
        >>> two = [Entry(2, DATA, b"x"), Entry(2, DATA, b"y")]
        >>> for row in (("vote", 2, "b"), ("add", 1, two), ("cut", 2)):
        ...     kept.take(row)
        >>> kept.term, kept.vote, len(kept.entries)
        (2, 'b', 1)
        """
        match row:
            case ("vote", term, vote):
                self.term, self.vote = term, vote
            case ("cut", index):
                del self.entries[max(0, index - self.snapshot.upto - 1) :]
            case ("add", first, entries):
                at = first - self.snapshot.upto - 1
                if not 0 <= at <= len(self.entries):
                    raise ValueError(f"an entry {first} lies behind a gap")
                self.entries[at:] = entries
            case ("snapshot", shot):
                self.entries = self.entries[max(0, shot.upto - self.snapshot.upto) :]
                self.snapshot = shot
            case _:
                raise ValueError(f"a row of an unknown kind {row[0]!r}")


class Log:
    """Entries from `first` on, which follows the snapshot. Indices begin at 1.

    >>> log = Log(Kept(entries=[Entry(1, DATA, b"x"), Entry(2, DATA, b"y")]))
    >>> log.last, log.term_at(1), log.term_at(3), log.cut(2), log.last
    (2, 1, None, None, 1)
    """

    def __init__(self, kept: Kept) -> None:
        self.snapshot, self.entries = kept.snapshot, list(kept.entries)

    @property
    def last(self) -> int:
        return self.snapshot.upto + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None of one that is not here, or no more."""
        at = index - self.snapshot.upto
        if at == 0:
            return self.snapshot.term
        return self.entries[at - 1].term if 0 < at <= len(self.entries) else None

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.snapshot.upto - 1]

    def after(self, index: int, most: int) -> list[Entry]:
        """Entries behind `index`, up to `most` bytes, but one at the least."""
        found: list[Entry] = []
        for entry in self.entries[index - self.snapshot.upto :]:
            most -= len(entry.data) + 16
            if found and most < 0:
                break
            found.append(entry)
        return found

    def cut(self, index: int) -> None:
        """Drop the entry at `index` and all behind it."""
        del self.entries[index - self.snapshot.upto - 1 :]

    def reach(self, snapshot: Snapshot) -> bool:
        """Begin behind a newer snapshot; False where what lies behind it here was another's, and is gone."""
        kept = self.term_at(snapshot.upto) == snapshot.term
        self.entries = self.entries[snapshot.upto - self.snapshot.upto :] if kept else []
        self.snapshot = snapshot
        return kept
