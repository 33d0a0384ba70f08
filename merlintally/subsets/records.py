"""What is kept of a server outside the subset: one short row of bytes, enough to take it on at once."""

from __future__ import annotations

import struct
from typing import NamedTuple, Protocol

from merlintally.interface import Presence, ServerFacts

Address = tuple[str, int]
PRESENCES: tuple[Presence, ...] = ("on", "draining", "gone")
ROW = struct.Struct("<BBIIqdd4sH")  # level, presence, zone, machine, cell, started, size, host, port
LEVEL_AT = 0
PRESENCE_AT = 1
ZONE = struct.Struct("<I")
STARTED = struct.Struct("<d")
ON = PRESENCES.index("on")


class Entry(NamedTuple):
    """A server as it is listed: what the decisions are told, and where it listens."""

    facts: ServerFacts
    address: Address | None


class Listing(Protocol):
    """Whatever has the two fields of an `Entry`."""

    @property
    def facts(self) -> ServerFacts: ...
    @property
    def address(self) -> Address | None: ...


class Words:
    """Numbers for the few words that many rows share: zones and kinds of machine."""

    def __init__(self) -> None:
        self.words, self._numbers = list[str](), dict[str, int]()

    def number(self, word: str) -> int:
        found = self._numbers.get(word)
        if found is None:
            found = self._numbers[word] = len(self.words)
            self.words.append(word)
        return found


class Rows:
    """Packs and unpacks rows."""

    def __init__(self) -> None:
        self.zones, self._machines = Words(), Words()

    def pack(self, level: int, entry: Listing) -> bytes:
        facts = entry.facts
        host, port = entry.address or ("0.0.0.0", 0)
        return ROW.pack(
            level,
            PRESENCES.index(facts.presence),
            self.zones.number(facts.zone),
            self._machines.number(facts.machine),
            facts.cell,
            facts.started,
            facts.size,
            bytes(map(int, host.split("."))),
            port,
        )

    def unpack(self, name: str, row: bytes) -> Entry:
        _, presence, zone, machine, cell, started, size, host, port = ROW.unpack(row)
        facts = ServerFacts(
            server=name,
            presence=PRESENCES[presence],
            zone=self.zones.words[zone],
            cell=cell,
            started=started,
            size=size,
            machine=self._machines.words[machine],
        )
        return Entry(facts, (".".join(map(str, host)), port) if port else None)

    @staticmethod
    def zone_of(row: bytes) -> int:
        found: int = ZONE.unpack_from(row, 2)[0]
        return found

    @staticmethod
    def started_of(row: bytes) -> float:
        found: float = STARTED.unpack_from(row, 18)[0]
        return found
