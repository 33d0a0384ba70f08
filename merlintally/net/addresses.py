"""Tells app servers apart that are listed at the same address (I/O-free).

A new app server may come up at the address of one that has gone, while the list still has both. Connections
to that address reach the newer one only. Names that were listed before it, or started before it, are passed
on as gone, so that it does not get their share of the work on top of that of a cold server.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from merlintally.net.configuration import Address, ListedServer


@dataclass(slots=True)
class Place:
    """The latest entry of an app server, and the number of the list that first had it at its address."""

    entry: ListedServer
    list_number: int
    superseded: bool = False

    @property
    def order(self) -> tuple[float, int]:
        """The order of app servers at one address; a start long ago is stated as 0."""
        return self.entry.facts.started, self.list_number


class Addresses:
    """The app servers at each address, and which of them is the one that connections reach."""

    def __init__(self) -> None:
        self._places: dict[str, Place] = {}
        self._names_at = dict[Address, tuple[str, ...]]()
        self._list_number = 0

    def listed(self, entries: Iterable[ListedServer], complete: bool) -> list[ListedServer]:
        """Return the entries as they are to be acted on; `complete` if they are the whole list.

        An entry whose address a newer app server has is returned as gone. Where `entries` are changes,
        entries of others at the same addresses are added if these changed what holds for them.
        """
        self._list_number += 1
        entries = list(entries)
        names = {entry.facts.server for entry in entries}
        touched = set[Address]()
        for entry in entries:
            touched.update(self._place(entry))
        if complete:
            for name in self._places.keys() - names:
                touched.update(self._remove(name))
        changed = {name for address in touched for name in self._supersede(address)}
        result = [self._resolved(entry) for entry in entries]
        return result + [self._resolved(self._places[name].entry) for name in sorted(changed - names)]

    def _place(self, entry: ListedServer) -> Sequence[Address]:
        """Note an entry; returns the addresses at which another app server may be the newest now."""
        name, address = entry.facts.server, entry.address
        before = self._places.get(name)
        if entry.facts.presence == "gone" or address is None:
            return self._remove(name)
        if before is not None and before.entry.address == address:
            before.entry = entry
            return (address,) if len(self._names_at[address]) > 1 else ()
        touched = self._remove(name)
        self._places[name] = Place(entry, self._list_number)
        names = self._names_at[address] = (*self._names_at.get(address, ()), name)
        return (*touched, address) if len(names) > 1 else touched

    def _remove(self, name: str) -> Sequence[Address]:
        place = self._places.pop(name, None)
        if place is None or place.entry.address is None:
            return ()
        address = place.entry.address
        others = tuple(other for other in self._names_at[address] if other != name)
        if not others:
            del self._names_at[address]
            return ()
        self._names_at[address] = others
        return (address,)

    def _supersede(self, address: Address) -> list[str]:
        """Decide which app servers at an address are superseded; returns those for which that changed."""
        places = {name: self._places[name] for name in self._names_at.get(address, ())}
        newest = max((place.order for place in places.values()), default=None)
        changed = []
        for name, place in places.items():
            superseded = place.order != newest
            if superseded != place.superseded:
                place.superseded = superseded
                changed.append(name)
        return changed

    def _resolved(self, entry: ListedServer) -> ListedServer:
        place = self._places.get(entry.facts.server)
        if place is None or not place.superseded:
            return entry
        return ListedServer(replace(entry.facts, presence="gone"), entry.address)
