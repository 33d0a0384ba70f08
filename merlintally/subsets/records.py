"""Listed servers, and the packed rows that a node stores for all of them, those outside its subset too."""

from __future__ import annotations

import struct
from typing import NamedTuple, Protocol

from merlintally.interface import Presence, ServerFacts

Address = tuple[str, int]
PRESENCES: tuple[Presence, ...] = ("on", "draining", "gone")
ROW = struct.Struct("<BBIIqdd4sH")  # level, presence, zone, machine, cell, started, size, host, port
LEVEL_OFFSET = 0
PRESENCE_OFFSET = 1
ZONE_FIELD = struct.Struct("<I")
STARTED_FIELD = struct.Struct("<d")
PRESENCE_ON = PRESENCES.index("on")


class Entry(NamedTuple):
    """A server as listed by discovery: its facts for the decisions, and the address it listens on."""

    facts: ServerFacts
    address: Address | None


class Listing(Protocol):
    """The type of list entries: any class with the two fields of `Entry`."""

    @property
    def facts(self) -> ServerFacts: ...
    @property
    def address(self) -> Address | None: ...


class StringTable:
    """Numbers strings that many rows share, such as zones and machine types, in order of first use."""

    def __init__(self) -> None:
        self.strings, self._numbers = list[str](), dict[str, int]()

    def number(self, string: str) -> int:
        """Returns the number of a string; a new string is added."""
        index = self._numbers.get(string)
        if index is None:
            index = self._numbers[string] = len(self.strings)
            self.strings.append(string)
        return index


class RowCodec:
    """Packs list entries into rows of bytes, and unpacks them."""

    def __init__(self) -> None:
        self.zones, self._machines = StringTable(), StringTable()

    def pack(self, level: int, entry: Listing) -> bytes:
        """Returns the row of an entry; `level` is the lowest one whose subset contains the server."""
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
        """Returns the entry of the server with this name."""
        _, presence, zone, machine, cell, started, size, host, port = ROW.unpack(row)
        facts = ServerFacts(
            server=name,
            presence=PRESENCES[presence],
            zone=self.zones.strings[zone],
            cell=cell,
            started=started,
            size=size,
            machine=self._machines.strings[machine],
        )
        return Entry(facts, (".".join(map(str, host)), port) if port else None)

    @staticmethod
    def zone_of(row: bytes) -> int:
        """Returns the zone's number without unpacking the row."""
        zone: int = ZONE_FIELD.unpack_from(row, 2)[0]
        return zone

    @staticmethod
    def started_of(row: bytes) -> float:
        """Returns the server's start time in Unix seconds without unpacking the row."""
        started: float = STARTED_FIELD.unpack_from(row, 18)[0]
        return started
