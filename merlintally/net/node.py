"""One edge node: all its parts, from start to exit."""

from __future__ import annotations

import gc
import os
import signal
import sys

import anyio
from anyio.abc import TaskStatus

from merlintally.facts import REPORTED
from merlintally.net.clients import Clients
from merlintally.net.configuration import Deployment, Faulty, read_deployment
from merlintally.net.counter import Counter
from merlintally.net.discovery import Discovery
from merlintally.net.keeper import Keeper
from merlintally.net.log import Log
from merlintally.net.peers import Peers
from merlintally.net.phases import Phase, Phases
from merlintally.net.servers import Fleet
from merlintally.net.sockets import Allowance
from merlintally.net.timers import Clock, Timers

KEPT_BACK = 32  # descriptors for all that is neither a client nor an app server


class EdgeNode:
    """An edge node to run or to embed: `await node.serve()` ends some time after `node.leave()`.

    Several may run in one process; they share nothing.
    """

    def __init__(self, deployment: Deployment, log: Log | None = None) -> None:
        self.deployment = deployment
        self.log = log or Log(deployment.name, deployment.bounds.log_lines)
        self.phases = Phases()

    def leave(self) -> None:
        """Stop: take what still comes for a while, answer all that was taken, then end."""
        self.phases.enter(Phase.LEAVING)

    async def serve(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        told, bounds = self.deployment, self.deployment.bounds
        clock = Clock()
        keeper = Keeper(told, clock, self.log)
        timers = keeper.timers = Timers(clock, keeper.post, self.log, bounds.late_s)
        most_clients = int((told.sockets - KEPT_BACK) * bounds.client_share)
        async with anyio.create_task_group() as group:
            fleet = keeper.fleet = Fleet(told, keeper, clock, self.log, group,
                                         Allowance(told.sockets - KEPT_BACK - most_clients), REPORTED)
            if told.counter is not None:
                keeper.counter = Counter(told.counter, told.facts.count_time_out, bounds, keeper, clock,
                                         timers, self.log)
                group.start_soon(keeper.counter.run)
            if told.peer_listen is not None:
                keeper.peers = Peers(told.peer_listen, told.peers, told.peers_all, keeper, self.log)
                group.start_soon(keeper.peers.run)
            keeper.listed(list(told.known), True)
            keeper.carry_out()
            clients = Clients(told, keeper, clock, self.log, group, Allowance(most_clients))
            for task in (keeper.run, timers.run, Discovery(told.discovery, bounds, keeper, self.log).run):
                group.start_soon(task)
            group.start_soon(self._sweep, clock, clients, fleet)
            self.phases.enter(Phase.SERVING)
            task_status.started()
            async with anyio.create_task_group() as accepting:
                accepting.start_soon(clients.accept)
                await self.phases.reached(Phase.LEAVING)
                await anyio.sleep(bounds.leave_s)
                accepting.cancel_scope.cancel()
            await self._finish(keeper, clients)
            group.cancel_scope.cancel()
        if keeper.peers is not None:
            keeper.peers.close()

    async def _finish(self, keeper: Keeper, clients: Clients) -> None:
        """Take nothing new, and answer all that was taken."""
        bounds = self.deployment.bounds
        clients.stop_listening()
        self.phases.enter(Phase.FINISHING)
        with anyio.move_on_after(max(0.0, bounds.finish_s - bounds.leave_s)):
            await self._until_answered(keeper, clients)
        await keeper.post(keeper.end_all)
        with anyio.move_on_after(bounds.late_s):
            await self._until_answered(keeper, clients)
        self.phases.enter(Phase.ENDED)

    async def _until_answered(self, keeper: Keeper, clients: Clients) -> None:
        while keeper.taken or any(not client.idle for client in clients.connections):
            clients.close_soon()
            await anyio.sleep(0.02)
        clients.close_soon()

    async def _sweep(self, clock: Clock, clients: Clients, fleet: Fleet) -> None:
        while True:
            await anyio.sleep(1.0)
            clock.follow()
            clients.sweep()
            fleet.sweep()


async def run_program(deployment: Deployment) -> None:
    """Serve until told to stop by a signal."""
    node = EdgeNode(deployment)
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async def listen() -> None:
                async for _ in signals:
                    node.leave()
            group.start_soon(listen)
            gc.collect()
            gc.freeze()  # what was loaded at the start lasts: it need not be looked at again
            await node.serve()
        group.cancel_scope.cancel()


def main() -> int:
    try:
        deployment = read_deployment(os.environ)
    except Faulty as wrong:
        print(f"merlintally: {wrong}", file=sys.stderr)
        return 2
    try:
        anyio.run(run_program, deployment)
    except OSError as wrong:
        print(f"merlintally: can't serve: {wrong}", file=sys.stderr)
        return 1
    return 0
