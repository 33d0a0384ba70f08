"""The replicated log and the persistent state of a Raft node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

# Kinds of entries.
DATA = 0  # a command for the state machine
CONFIG = 1  # a configuration of the cluster
NOOP = 2  # appended by a new leader


class Entry(NamedTuple):
    """One log entry; its index is its position in the log."""

    term: int
    kind: int
    data: bytes


class Config(NamedTuple):
    """The voters, and the learners, which receive the log without voting."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self)

    @property
    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners


def decode_config(data: bytes) -> Config:
    """
    >>> decode_config(Config(("a", "b"), ("c",)).encode())
    Config(voters=('a', 'b'), learners=('c',))
    """
    return msgspec.msgpack.decode(data, type=Config)


class Snapshot(NamedTuple):
    """The state after all entries up to index `included_index`, encoded by the user of the core."""

    included_index: int = 0
    term: int = 0
    config: Config = Config(())
    data: bytes = b""


@dataclass(slots=True)
class PersistentState:
    """The persistent state of a node, as read from disk at a start."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(default_factory=list)  # after the snapshot

    def apply(self, row: tuple[Any, ...]) -> None:
        """Apply one row of `Results.persist`; rows must be applied in order.

        >>> kept = PersistentState()
        >>> two = [Entry(2, DATA, b"x"), Entry(2, DATA, b"y")]
        >>> for row in (("vote", 2, "b"), ("add", 1, two), ("cut", 2)):
        ...     kept.apply(row)
        >>> kept.term, kept.vote, len(kept.entries)
        (2, 'b', 1)
        """
        match row:
            case ("vote", term, vote):
                self.term, self.vote = term, vote
            case ("cut", index):
                del self.entries[max(0, index - self.snapshot.included_index - 1) :]
            case ("add", first, entries):
                offset = first - self.snapshot.included_index - 1
                if not 0 <= offset <= len(self.entries):
                    raise ValueError(f"the row appends at index {first}, which leaves a gap in the log")
                self.entries[offset:] = entries
            case ("snapshot", replacement):
                self.entries = self.entries[
                    max(0, replacement.included_index - self.snapshot.included_index) :
                ]
                self.snapshot = replacement
            case _:
                raise ValueError(f"unknown row kind {row[0]!r}")


class Log:
    """Entries after a snapshot; the first log index is 1.

    >>> log = Log(PersistentState(entries=[Entry(1, DATA, b"x"), Entry(2, DATA, b"y")]))
    >>> log.last_index, log.term_at(1), log.term_at(3), log.truncate_from(2), log.last_index
    (2, 1, None, None, 1)
    """

    def __init__(self, stored: PersistentState) -> None:
        self.snapshot, self.entries = stored.snapshot, list(stored.entries)

    @property
    def last_index(self) -> int:
        return self.snapshot.included_index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None if it does not exist or was compacted."""
        offset = index - self.snapshot.included_index
        if offset == 0:
            return self.snapshot.term
        return self.entries[offset - 1].term if 0 < offset <= len(self.entries) else None

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.snapshot.included_index - 1]

    def entries_after(self, index: int, max_bytes: int) -> list[Entry]:
        """Entries after `index` of up to `max_bytes` in total, and at least one if there is any."""
        batch: list[Entry] = []
        for entry in self.entries[index - self.snapshot.included_index :]:
            max_bytes -= len(entry.data) + 16
            if batch and max_bytes < 0:
                break
            batch.append(entry)
        return batch

    def truncate_from(self, index: int) -> None:
        """Delete the entry at `index` and all later ones."""
        del self.entries[index - self.snapshot.included_index - 1 :]

    def restore_from(self, snapshot: Snapshot) -> bool:
        """Replace the log up to the snapshot; False if later entries conflicted with it and were dropped."""
        matches = self.term_at(snapshot.included_index) == snapshot.term
        self.entries = (
            self.entries[snapshot.included_index - self.snapshot.included_index :] if matches else []
        )
        self.snapshot = snapshot
        return matches
