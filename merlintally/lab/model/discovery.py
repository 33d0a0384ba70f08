"""Model of discovery: each edge node receives changes to the server list with a delay of its own."""

from __future__ import annotations

import random
from collections.abc import Callable

from merlintally.lab.model.agenda import Agenda
from merlintally.lab.model.days import DiscoveryForm
from merlintally.lab.model.servers import Server

# server, presence, zone, cell, started (0: warm since before the day)
Entry = tuple[str, str, int, int, float]
ListCallback = Callable[[list[Entry], bool], None]


class Discovery:
    """Keeps the server list and sends changes to each listener, delayed at random."""

    def __init__(self, form: DiscoveryForm, agenda: Agenda, rng: random.Random) -> None:
        self.form, self.agenda, self.rng = form, agenda, rng
        self.entries: dict[str, Entry] = {}
        self.listeners: dict[str, ListCallback] = {}
        self.version, self.received_versions = 0, dict[str, int]()
        self.extra_delay_s, self.silent = 0.0, False  # `extra_delay_s` is added to every delay

    def entry(self, server: Server, presence: str) -> Entry:
        """The list entry of a server's current process."""
        return server.name, presence, server.zone, server.cell, server.started

    def add_initial(self, server: Server) -> None:
        """Add a server that was up before the day started, without sending an update."""
        self.entries[server.name] = self.entry(server, "on")

    def changed(self, server: Server, presence: str, at_once: bool = False) -> None:
        """Update a server's entry after the detection delay, unless a newer process is listed by then."""
        delay_s = 0.0 if at_once else self.rng.uniform(*self.form.notice_s) + self.extra_delay_s
        self.agenda.after(delay_s, self._update, self.entry(server, presence))

    def _update(self, entry: Entry) -> None:
        previous = self.entries.get(entry[0])
        if previous is not None and previous[4] > entry[4]:
            return  # the entry is of an earlier process
        self.entries[entry[0]] = entry
        self.version += 1
        if not self.silent:
            for name in self.listeners:
                self.agenda.after(
                    self.rng.uniform(*self.form.spread_s) + self.extra_delay_s,
                    self._send,
                    name,
                    [entry],
                    False,
                )

    def _send(self, name: str, entries: list[Entry], whole: bool) -> None:
        if name in self.listeners and not self.silent:
            # Send current entries: they may have changed since the update was scheduled.
            self.listeners[name]([self.entries.get(entry[0], entry) for entry in entries], whole)

    def subscribe(self, name: str, callback: ListCallback) -> None:
        """Subscribe an edge node to updates, and send it the full list."""
        self.listeners[name] = callback
        self.send_full_list(name)

    def send_full_list(self, name: str) -> None:
        """Send one listener the full list after its delay."""
        delay_s = self.rng.uniform(*self.form.spread_s) + self.extra_delay_s
        self.agenda.after(delay_s, self._send_full, name)

    def _send_full(self, name: str) -> None:
        self._send(name, list(self.entries.values()), True)

    def unsubscribe(self, name: str) -> None:
        """Unsubscribe an edge node."""
        self.listeners.pop(name, None)

    def stop_updates(self) -> None:
        """Stop sending updates."""
        self.silent = True

    def resume_updates(self) -> None:
        """Resume sending updates, with the full list for every listener."""
        self.silent = False
        for name in self.listeners:
            self.send_full_list(name)
