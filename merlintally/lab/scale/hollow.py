"""Hollow nodes: the control part of an edge node, many in one process, over real sockets.

Real: `cluster.node.ClusterNode` with its core (members, agreement, the order of work, copies), its links
(TCP and UDP on loopback, codec and greeting), its folder (log, lock, count of starts, syncs) and its timers.

Hollow:

- no clients and no app servers: nothing is taken or sent, so `LocalObservations` shows an idle node with no
  execution out, and no rates;
- no owner of the decisions (`net.dispatcher.Dispatcher`, `choice.Gateway`): what the cluster part posts to
  it (who is taken out, what others drew) is counted and dropped, and it tells no notes, so copies hold no
  rows of it;
- no discovery and no counter: the app servers that the node's list shows are given at its start;
- no record and no log lines; the nodes of one process share its event loop, interpreter and thread pool.
"""

from __future__ import annotations

import io
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import anyio
import anyio.abc
import msgspec
from msgspec import Struct

from merlintally.cluster.disk import Disk
from merlintally.cluster.members.core import ALIVE
from merlintally.cluster.node import ClusterNode
from merlintally.lab.scale.meter import MeteredLinks, Sent
from merlintally.net.configuration import ListedServer
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.node import EdgeNode
from merlintally.net.phases import Phase, Phases
from merlintally.operators import ClusterPart

LEAVE_S = 0.5  # from a node's goodbye to its end
PORT = 7600  # of every hollow node: each has a loopback address of its own


class HollowSpec(Struct, frozen=True):
    """One cluster of hollow nodes, as each of its processes is told of it."""

    names: tuple[str, ...]  # all nodes of the cluster
    addresses: tuple[str, ...]  # theirs
    voters: int  # the first of them
    folder: str
    secret: str
    copies: int = 0  # holders of each shard; 0: no state is copied
    exchange_s: float | None = None  # between full exchanges of members at first; None: as in a real node

    def address_of(self, name: str) -> str:
        return self.addresses[self.names.index(name)]

    def seeds(self) -> dict[str, str]:
        return dict(zip(self.names[: self.voters], self.addresses, strict=False))

    def part_of(self, name: str) -> ClusterPart:
        """The section [cluster] of a node's operators' file; all else as by default."""
        return ClusterPart(
            name="hollow",
            folder=str(Path(self.folder) / name),
            listen=self.address_of(name),
            secret=self.secret,
            voters=self.names[: self.voters],
            seeds=self.seeds(),
            copies=self.copies,
        )


@dataclass(frozen=True)
class HollowDeployment:
    """What of a node's configuration the cluster part reads: the app servers known at its start."""

    known: tuple[ListedServer, ...] = ()


class HollowEdge:
    """An edge node without clients and app servers."""

    def __init__(self, known: tuple[ListedServer, ...] = ()) -> None:
        self.deployment, self.phases = HollowDeployment(known), Phases()


class HollowFleet:
    """App servers to which nothing is ever out."""

    def attempts_in_flight(self, server: str) -> int:
        return 0


class HollowDispatcher:
    """What the cluster part asks of the owner of the decisions, where there are no decisions."""

    def __init__(self) -> None:
        self.permissions: object = None
        self.peers: object = None
        self.listed_servers: dict[str, ListedServer] | None = None
        self.fleet, self.open_requests = HollowFleet(), dict[int, object]()
        self.posted = 0

    async def enqueue(self, call: Callable[..., None], *args: Any) -> None:
        call(*args)

    def set_servers_in_maintenance(self, servers: frozenset[str]) -> None:
        self.posted += 1

    def noted(self, peer: int, payload: bytes) -> None:
        self.posted += 1


class HollowUse(Struct, frozen=True):
    """What one hollow node has sent, and what it knows."""

    sent: Sent
    leads: bool
    caught_up: bool
    index: int  # of the last entry that it has applied
    alive: int  # members that it holds to be alive
    streams: int  # open ones, in both directions
    dropped: int  # messages that were not sent or not taken


class HollowNode(ClusterNode):
    """One hollow node. `applied` has when it applied each entry (CLOCK_MONOTONIC)."""

    links_type = MeteredLinks

    def __init__(self, spec: HollowSpec, name: str, seed: int, known: tuple[ListedServer, ...] = ()) -> None:
        part = spec.part_of(name)
        folder = Path(part.folder)
        if name in part.voters and not (folder / "agreement.log").exists():
            found_folder(folder)
        super().__init__(part, name, seed, Disk(folder), Log(name, 0.0, io.StringIO()))
        self.edge, self.hollow_dispatcher = HollowEdge(known), HollowDispatcher()
        self.applied: dict[int, float] = {}
        self.control_sent_before = Sent()  # by former starts
        if spec.exchange_s is not None:
            self.exchange(spec.exchange_s)

    def exchange(self, seconds: float) -> None:
        """From now on, have so long between full exchanges of members."""
        members = self.core.members
        members.settings = members.settings._replace(state_exchange_s=seconds)
        members.exchange_at = time.monotonic() + seconds * members.random.random()

    async def serve(self) -> None:
        """Stand until cancelled."""
        try:
            # the cluster part reads of both what the hollow ones have, and nothing else
            await self.run(cast(EdgeNode, self.edge), cast(Dispatcher, self.hollow_dispatcher))
        finally:
            self.disk.close()

    def _publish_event(self, event: str, fields: dict[str, Any]) -> None:
        if event == "committed":
            self.applied[fields["index"]] = time.monotonic()
        super()._publish_event(event, fields)

    @property
    def control_sent(self) -> Sent:
        """What it has sent, in all its starts."""
        return self.control_sent_before.plus(cast(MeteredLinks, self.links).sent)

    def use(self) -> HollowUse:
        core, links = self.core, self.links
        return HollowUse(
            self.control_sent,
            core.leads,
            core.edge.caught_up,
            core.work.index,
            sum(one.state == ALIVE for one in core.members.known.values()),
            len(links.outbound) + len(links.inbound),
            sum(links.dropped.values()),
        )


def found_folder(folder: Path) -> None:
    """As `merlintally cluster init` does."""
    disk = Disk(folder)
    disk.mark_admitted()
    disk.close()


class HollowCrowd:
    """Hollow nodes of one process, each of which can be restarted or killed."""

    def __init__(self, spec: HollowSpec, names: Sequence[str], seed: int) -> None:
        self.spec, self.seed = spec, seed * 100_003
        self.nodes = {name: self._node(name) for name in names}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.ended: dict[str, anyio.Event] = {}
        self.group: anyio.abc.TaskGroup

    def _node(self, name: str) -> HollowNode:
        self.seed += 1
        return HollowNode(self.spec, name, self.seed)

    async def run(self) -> None:
        """Stand until cancelled."""
        async with anyio.create_task_group() as self.group:
            for name in self.nodes:
                self.group.start_soon(self._stand, name)
            await anyio.sleep_forever()

    async def _stand(self, name: str) -> None:
        self.ended[name] = anyio.Event()
        with anyio.CancelScope() as self.scopes[name]:
            await self.nodes[name].serve()
        self.ended[name].set()

    async def kill(self, name: str) -> None:
        """End a node at once, as SIGKILL would."""
        self.scopes[name].cancel()
        await self.ended[name].wait()

    async def restart(self, name: str) -> None:
        """Have a node say that it goes, end it, and start it anew with its folder. What it has sent before
        counts on."""
        before = self.nodes[name]
        before.edge.phases.enter(Phase.LEAVING)
        await anyio.sleep(LEAVE_S)
        await self.kill(name)
        after = self.nodes[name] = self._node(name)
        after.control_sent_before = before.control_sent
        self.group.start_soon(self._stand, name)

    def uses(self) -> dict[str, HollowUse]:
        return {name: node.use() for name, node in self.nodes.items()}

    def steady(self) -> None:
        """All nodes have the rhythm of a real node from now on, also those that are restarted."""
        self.spec = msgspec.structs.replace(self.spec, exchange_s=None)
        for node in self.nodes.values():
            node.exchange(node.settings.swim_settings.state_exchange_s)

    async def changes(self, count: int, payload: str, id_: str) -> list[int]:
        """Have the leader, which has to be one of these nodes, agree on `count` entries at once, each with a
        payload; gives their indices. They are void (they name a request that does not exist), and go to all
        nodes all the same: editions of a configuration do not exist yet."""
        leader = next(node for node in self.nodes.values() if node.core.leads)
        before = leader.core.work.index
        async with anyio.create_task_group() as group:
            for at in range(count):
                group.start_soon(leader.request, f"{id_}:{at}", "pause", [payload, "laboratory"])
        return list(range(before + 1, before + count + 1))

    async def until_applied(self, index: int) -> float:
        """When the last of these nodes had applied the entry at `index` (CLOCK_MONOTONIC)."""
        while any(node.core.work.index < index for node in self.nodes.values()):
            await anyio.sleep(0.01)
        return max(node.applied.get(index, 0.0) for node in self.nodes.values())
