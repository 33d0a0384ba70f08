"""A build: an implementation of the decisions for the edge nodes of a day."""

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
    """The true state of a world, used by the oracle only."""

    servers: dict[str, Server]
    shared: dict[str, Any]  # state shared by the gateways of the oracle


class Build:
    """An implementation of the decisions. `name` is as requested, `digest` identifies its source text."""

    def __init__(self, name: str, package: str, digest: str) -> None:
        self.name, self.digest = name, digest
        self.interface: Any = importlib.import_module(f"{package}.interface")
        self.choice: Any = importlib.import_module(f"{package}.choice")

    def facts(self, day: Day, number: int) -> Any:
        """The start facts of an edge node of the day."""
        start = start_facts(flatten(settings_of(day, number)))
        lanes = tuple(self._adapted("LaneFacts", one) for one in start.lanes)
        plans = tuple(self._adapted("PlanFacts", one) for one in start.plans)
        return self._adapted("StartFacts", dataclasses.replace(start, lanes=lanes, plans=plans))

    def _adapted(self, class_name: str, facts: Any) -> Any:
        """Facts as this build's class of that name, which may lack fields in an earlier revision."""
        facts_class = getattr(self.interface, class_name)
        names = [one.name for one in dataclasses.fields(facts_class) if hasattr(facts, one.name)]
        return facts_class(**{name: getattr(facts, name) for name in names})

    def server(self, entry: Entry) -> Any:
        """The facts of an app server from its list entry."""
        name, presence, zone, cell, started = entry
        return self.interface.ServerFacts(
            server=name, presence=presence, zone=f"z{zone}", cell=cell, started=started, size=1.0, machine="m"
        )

    def gateway(self, day: Day, number: int, seed: int, now: float, world: TrueState) -> Any:
        """New decisions for one edge node."""
        return self.choice.Gateway(self.facts(day, number), seed, now)
