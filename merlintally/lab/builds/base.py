"""A build: decisions that can be put into the edge nodes of a day."""

from __future__ import annotations

import dataclasses
import importlib
from typing import Any, Protocol

from merlintally.facts import start_facts
from merlintally.lab.model.days import Day
from merlintally.lab.model.discovery import Entry
from merlintally.lab.model.servers import Server
from merlintally.lab.model.settings import settings_of
from merlintally.net.configuration import flatten


class TrueState(Protocol):
    """The true state of a world, which only an oracle looks at."""

    servers: dict[str, Server]
    shared: dict[str, Any]  # between the gateways of an oracle


class Build:
    """Decisions that can be put into edge nodes. `name` is what was asked for, `digest` tells its text."""

    def __init__(self, name: str, package: str, digest: str) -> None:
        self.name, self.digest = name, digest
        self.interface: Any = importlib.import_module(f"{package}.interface")
        self.choice: Any = importlib.import_module(f"{package}.choice")

    def facts(self, day: Day, number: int) -> Any:
        """What an edge node of the day is told when it starts."""
        told = start_facts(flatten(settings_of(day, number)))
        lanes = tuple(self._row("LaneFacts", one) for one in told.lanes)
        plans = tuple(self._row("PlanFacts", one) for one in told.plans)
        return self._row("StartFacts", dataclasses.replace(told, lanes=lanes, plans=plans))

    def _row(self, kind: str, row: Any) -> Any:
        """A row of facts as this build has it: an earlier revision takes those that it knows."""
        made = getattr(self.interface, kind)
        known = [one.name for one in dataclasses.fields(made) if hasattr(row, one.name)]
        return made(**{name: getattr(row, name) for name in known})

    def server(self, entry: Entry) -> Any:
        name, presence, zone, cell, started = entry
        return self.interface.ServerFacts(
            server=name, presence=presence, zone=f"z{zone}", cell=cell, started=started, size=1.0, machine="m"
        )

    def gateway(self, day: Day, number: int, seed: int, now: float, world: TrueState) -> Any:
        """The decisions of one edge node, from nothing."""
        return self.choice.Gateway(self.facts(day, number), seed, now)
