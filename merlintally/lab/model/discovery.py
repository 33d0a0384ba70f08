"""Discovery: each edge node hears of the servers late, out of step, and now and then not at all."""

from __future__ import annotations

import random
from collections.abc import Callable

from merlintally.lab.model.agenda import Agenda
from merlintally.lab.model.days import DiscoveryForm
from merlintally.lab.model.servers import Server

Entry = tuple[str, str, int, int, float]  # server, presence, zone, cell, started (0: long ago)
Hear = Callable[[list[Entry], bool], None]


class Discovery:
    """Keeps the true list, and tells each listener of changes by way of its own delay."""

    def __init__(self, form: DiscoveryForm, agenda: Agenda, dice: random.Random) -> None:
        self.form, self.agenda, self.dice = form, agenda, dice
        self.entries: dict[str, Entry] = {}  # as discovery has noticed them
        self.listeners: dict[str, Hear] = {}
        self.version, self.heard = 0, dict[str, int]()
        self.extra, self.silent = 0.0, False

    def entry(self, server: Server, presence: str) -> Entry:
        return server.name, presence, server.zone, server.cell, server.started

    def known(self, server: Server) -> None:
        """Listed from before the day."""
        self.entries[server.name] = self.entry(server, "on")

    def changed(self, server: Server, presence: str, at_once: bool = False) -> None:
        """Something happened to a server; it is listed after a while, unless something newer came."""
        wait = 0.0 if at_once else self.dice.uniform(*self.form.notice_s) + self.extra
        self.agenda.after(wait, self._list, self.entry(server, presence))

    def _list(self, entry: Entry) -> None:
        before = self.entries.get(entry[0])
        if before is not None and before[4] > entry[4]:
            return  # of a process that is gone already
        self.entries[entry[0]] = entry
        self.version += 1
        if not self.silent:
            for name in self.listeners:
                self.agenda.after(
                    self.dice.uniform(*self.form.spread_s) + self.extra, self._tell, name, [entry], False
                )

    def _tell(self, name: str, entries: list[Entry], whole: bool) -> None:
        if name in self.listeners and not self.silent:
            # each listener gets what is listed now: what was on its way may be older
            self.listeners[name]([self.entries.get(one[0], one) for one in entries], whole)

    def listen(self, name: str, hear: Hear) -> None:
        """An edge node has come up: it hears the whole list soon."""
        self.listeners[name] = hear
        self.whole(name)

    def whole(self, name: str) -> None:
        wait = self.dice.uniform(*self.form.spread_s) + self.extra
        self.agenda.after(wait, self._tell_whole, name)

    def _tell_whole(self, name: str) -> None:
        self._tell(name, list(self.entries.values()), True)

    def leave(self, name: str) -> None:
        self.listeners.pop(name, None)

    def silence(self) -> None:
        self.silent = True

    def back(self) -> None:
        self.silent = False
        for name in self.listeners:
            self.whole(name)
