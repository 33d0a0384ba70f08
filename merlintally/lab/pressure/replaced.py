"""Plays of a new process at the address of one that has gone: an app server, discovery or the counter."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

from merlintally.lab.pressure.site import NODE, Site, SteadyServer
from merlintally.lab.pressure.staging import PlayOptions, running_node
from merlintally.lab.pressure.usual import UsualClients
from merlintally.lab.soak.backends import SoakDiscovery, SoakServer
from merlintally.lab.soak.oracle import Breach, slow_starts
from merlintally.lab.soak.settings import DRAIN_GRACE_S, limits_of

CLIENTS = 40
PAUSE_S = 0.08  # between the requests of a client
KEYED_OF = 2
WORK_S = 0.03
WARM_S = 4.0  # before the replacement
AFTER_S = 5.0  # behind it
LIST_DELAY_S = 1.5
GROUP_OF_NEW = 9
SEEN_S = 0.1  # between an event and its record, at a busy driver


@dataclass(frozen=True, slots=True)
class Replacement:
    """What is replaced, and how the list tells of it."""

    process: str  # server, counter or discovery
    same_name: bool = False  # a server: listed under its old name with a new start
    old_listed_s: float = 0.0  # a server: for which the old name stays in the list beside the new one
    told_after_s: float = 0.0  # a server: until the list tells anything
    own_groups: bool = False  # servers: each is a group of its own, so that keyed repeats stay at its address
    version: int = 0  # discovery: that the new one begins with


REPLACED_PLAYS: dict[str, Replacement] = {
    "server-new-name": Replacement("server"),
    "server-both-listed": Replacement("server", old_listed_s=AFTER_S),
    "server-told-late": Replacement("server", told_after_s=LIST_DELAY_S),
    "server-told-late-alone": Replacement("server", told_after_s=LIST_DELAY_S, own_groups=True),
    "server-same-name": Replacement("server", same_name=True),
    "counter-new": Replacement("counter"),
    "discovery-lower": Replacement("discovery", version=1),
    "discovery-higher": Replacement("discovery", version=1000),
}


@dataclass(slots=True)
class ReplacedResult:
    """What came of a replacement."""

    name: str
    memory_mb: float
    cold_calls: int = 0  # at the new app server, in all of the play
    warm_calls: float = 0.0  # at another one in the same time, on average
    twice: int = 0  # keyed ids that came to the old and to the new one, which is of another group
    drain_followed_s: float | None = None  # discovery: until the last attempt at a server that drains
    breaches: list[Breach] = field(default_factory=list)
    lost: int = 0  # usual requests that were answered late or never

    @property
    def held(self) -> bool:
        """Whether no rule was broken."""
        late = self.drain_followed_s is not None and self.drain_followed_s > DRAIN_GRACE_S + SEEN_S
        return not (self.breaches or self.twice or self.lost or late)

    def line(self) -> str:
        """Return the figures as text."""
        drain = (
            "" if self.drain_followed_s is None else f"drain followed after {self.drain_followed_s:.2f} s; "
        )
        breaches = "; ".join(f"{one.promise}: {one.detail}" for one in self.breaches) or "none"
        return (
            f"{self.name} at {self.memory_mb:g} MB: {self.cold_calls} calls at the new one, "
            f"{self.warm_calls:.0f} at a warm one; {self.twice} keyed ids in two groups; {drain}"
            f"{self.lost} usual requests lost; breaches: {breaches}"
        )


def is_keyed(id_: str) -> bool:
    """Whether the request of a usual client has a key."""
    return int(id_.removeprefix("usual-"), 16) % KEYED_OF == 0


class ReplacedPlay:
    """One play, with its site and node."""

    def __init__(self, replacement: Replacement, site: Site) -> None:
        self.replacement, self.site = replacement, site
        for number, server in enumerate(site.servers):
            server.group = number if replacement.own_groups else number // 2
        self.new: SoakServer | None = None
        self.old_attempts: set[str] = set()
        self.replaced_at = self.drained_at = 0.0

    async def replace(self) -> None:
        """Replace the process that the play names."""
        self.replaced_at = time.monotonic()
        if self.replacement.process == "server":
            await self._replace_server()
        elif self.replacement.process == "counter":
            await self._replace_counter()
        else:
            await self._replace_discovery()

    async def _replace_server(self) -> None:
        site, old = self.site, self.site.servers[0]
        self.old_attempts = {
            one.id for one in site.records.attempts if one.server == old.name and is_keyed(one.id)
        }
        await old.down()
        name = old.name if self.replacement.same_name else "s-new"
        new = self.new = SteadyServer(name, site.records, WORK_S)
        new.ports, new.group = dict(old.ports), GROUP_OF_NEW
        await site.bring_up(new)
        new.started_wall_s = time.time()
        site.records.starts[name] = [time.monotonic()]
        await asyncio.sleep(self.replacement.told_after_s)
        if self.replacement.same_name:
            site.servers[0] = new
        else:
            site.servers.append(new)
        site.discovery.tell(new)
        if self.replacement.same_name:
            return
        await asyncio.sleep(self.replacement.old_listed_s)
        old.status = "DELETED"
        site.discovery.tell(old)

    async def _replace_counter(self) -> None:
        counter = self.site.counter
        assert counter.listener is not None
        counter.down = True
        counter.listener.close()
        await asyncio.sleep(0.2)
        counter.totals.clear()
        counter.down = False
        counter.listener = await asyncio.start_server(counter._serve, "127.0.0.1", counter.port)

    async def _replace_discovery(self) -> None:
        """Another discovery at the same port, which knows the same list under versions of its own."""
        site, old = self.site, self.site.discovery
        for listener in old.listeners[NODE]:
            listener.close()
        old.break_watches(NODE)
        new = site.discovery = SoakDiscovery(site.servers, site.records)
        new.index = self.replacement.version
        new.rows = {server.name: (new.index, server.status, 0.0) for server in site.servers}
        await new.open(NODE, site.discovery_port)
        await asyncio.sleep(LIST_DELAY_S)
        drained = site.servers[1]
        drained.status = "DRAINING"
        new.tell(drained)
        self.drained_at = time.monotonic()

    def result(self, name: str, memory_mb: float, clients: UsualClients) -> ReplacedResult:
        """Judge what was recorded."""
        records, result = self.site.records, ReplacedResult(name, memory_mb, lost=clients.result.late)
        counts = defaultdict[str, int](int)
        for attempt in records.attempts:
            if attempt.whole_at > self.replaced_at:
                counts[attempt.server] += 1
        others = [count for server, count in counts.items() if self.new is None or server != self.new.name]
        result.warm_calls = sorted(others)[len(others) // 2] if others else 0.0
        if self.new is not None:
            result.cold_calls = counts[self.new.name]
            came = {one.id for one in records.attempts if one.server == self.new.name}
            if not self.replacement.same_name:
                result.twice = len(came & self.old_attempts)
            per_s = result.warm_calls / (time.monotonic() - self.replaced_at)
            result.breaches = list(slow_starts(records, limits_of(per_s, frozenset())))
        if self.drained_at:
            drained = [one.first_byte_at for one in records.attempts if one.server == "s1"]
            result.drain_followed_s = max(0.0, max(drained, default=0.0) - self.drained_at)
        return result


async def play_replaced(name: str, options: PlayOptions) -> ReplacedResult:
    """Run a play by name; raises KeyError for one that is unknown."""
    site = Site(options.servers, WORK_S)
    play = ReplacedPlay(REPLACED_PLAYS[name], site)
    async with running_node(site, options, {"keyScope": "cell"}) as node:
        clients = UsualClients(node.port, CLIENTS, PAUSE_S, KEYED_OF)
        running = asyncio.create_task(clients.run())
        try:
            await asyncio.sleep(WARM_S)
            replacing = asyncio.create_task(play.replace())
            await asyncio.sleep(AFTER_S + play.replacement.told_after_s)
            await replacing
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        return play.result(name, options.memory_mb, clients)


def run_replaced(name: str, options: PlayOptions) -> ReplacedResult:
    """Run a play by name with real processes on loopback; raises KeyError for one that is unknown."""
    return asyncio.run(play_replaced(name, options))
