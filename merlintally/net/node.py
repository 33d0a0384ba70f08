"""One edge node: all its parts, from start to exit."""

from __future__ import annotations

import collections
import errno
import gc
import os
import signal
import socket
import sys
import time
import traceback
from collections.abc import Awaitable, Callable, Iterable, Mapping
from contextlib import ExitStack
from dataclasses import replace
from functools import partial

import anyio
from anyio.abc import TaskStatus

from merlintally.net.clients import Clients
from merlintally.net.configuration import (
    Address,
    Deployment,
    Faulty,
    Unreadable,
    fixed_changes,
    read_deployment,
)
from merlintally.net.counter import Counter
from merlintally.net.discovery import Discovery
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.invariants import Invariant
from merlintally.net.log import Log
from merlintally.net.peers import Peers
from merlintally.net.phases import Phase, Phases
from merlintally.net.polling import ObservedLoop
from merlintally.net.servers import Fleet
from merlintally.net.sockets import Allowance
from merlintally.net.timers import Clock, Timers
from merlintally.subsets import USUAL, Terms

SWEEP_S = 0.25  # between looks at what idles, stalls or is overdue
LEAST_BACKLOG, MOST_BACKLOG = 128, 1024  # connections that the system accepted and the node has not
READ_TRIES, READ_PAUSE_S = 10, 0.1  # of the configuration at a start
FREED_LATER = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EINTR,
        errno.EIO,
    }
)
Part = Callable[["EdgeNode", Dispatcher], Awaitable[None]]


class EdgeNode:
    """An edge node to run or to embed: `await node.serve()` ends some time after `node.leave()`.

    Several may run in one process; they share nothing. `parts` are further tasks that stand beside it until
    all it took is answered; each is given the node and the owner of its decisions.
    """

    def __init__(self, deployment: Deployment, log: Log | None = None, parts: Iterable[Part] = ()) -> None:
        self.deployment, self.parts = deployment, parts
        self.log = log or Log(deployment.name, deployment.bounds.log_lines)
        self.phases = Phases()
        self.listener: socket.socket | None = None
        self.listening_since = 0.0  # monotonic seconds
        self.peer_sock: socket.socket | None = None
        self.discovery: Discovery | None = None
        self.counter: Counter | None = None

    def bind(self) -> None:
        """Take the addresses to listen at, or raise OSError. `serve` does it where it was not done."""
        self.listening_since = time.monotonic()
        # With those that wait, clients hold no more than the limit of descriptors while app servers need few.
        backlog = min(MOST_BACKLOG, max(LEAST_BACKLOG, self.deployment.server_descriptors))
        with ExitStack() as bound:
            listener = bound.enter_context(socket.create_server(self.deployment.listen, backlog=backlog))
            listener.setblocking(False)
            if self.deployment.peer_listen is not None:
                peer_sock = bound.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                peer_sock.setblocking(False)
                peer_sock.bind(self.deployment.peer_listen)
                self.peer_sock = peer_sock
            self.listener = listener
            bound.pop_all()  # both are taken: they end with the node

    @property
    def address(self) -> Address:
        assert self.listener is not None, "not bound"
        found: Address = self.listener.getsockname()
        return found

    def leave(self) -> None:
        """Stop: take what still comes for a while, answer all that was taken, then end."""
        self.phases.enter(Phase.LEAVING)

    def reload(self, after: Deployment) -> None:
        """Take up another configuration: where discovery and the counter are. The rest is told of."""
        if fixed := fixed_changes(self.deployment, after):
            self.log.say(
                f"configuration: changes only with a restart: {', '.join(fixed)}",
                "configuration.fixed",
                keys=",".join(fixed),
            )
        if self.discovery is not None:
            self.discovery.move(after.discovery)
        if self.counter is not None and after.counter is not None:
            self.counter.move(after.counter)

    async def serve(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        if self.listener is None:
            self.bind()
        assert self.listener is not None
        with ExitStack() as sockets:
            sockets.enter_context(self.listener)
            if self.peer_sock is not None:
                sockets.enter_context(self.peer_sock)
            await self._serve(self.listener, self.peer_sock, task_status)

    async def _serve(
        self, listener: socket.socket, peer_sock: socket.socket | None, task_status: TaskStatus[None]
    ) -> None:
        told, bounds, log = self.deployment, self.deployment.bounds, self.log
        clock = Clock()
        dispatcher = Dispatcher(told, clock, log)
        timers = dispatcher.timers = Timers(clock, dispatcher.enqueue, log, bounds.late_s)
        discovery = self.discovery = Discovery(
            told.discovery, told.known_index, bounds, dispatcher, dispatcher.gateway.random, log, told.pushed
        )
        async with anyio.create_task_group() as group:
            held = Allowance(int(told.memory * bounds.held_share))
            fleet = Fleet(told, dispatcher, clock, log, group, Allowance(told.server_descriptors), held)
            clients = Clients(
                told,
                listener,
                self.phases,
                dispatcher,
                clock,
                log,
                group,
                Allowance(told.client_descriptors),
                held,
                self.listening_since + clock.offset,
            )
            dispatcher.fleet = fleet
            tasks: list[Callable[[], Awaitable[None]]] = [
                dispatcher.run,
                timers.run,
                discovery.run,
                partial(self._sweep, dispatcher, clients, fleet),
            ]
            if told.counter is not None:
                time_out = told.facts.count_time_out
                self.counter = Counter(told.counter, time_out, bounds, dispatcher, clock, timers, log)
                dispatcher.counter = self.counter
                tasks.append(self.counter.run)
            if peer_sock is not None:
                dispatcher.peers = peers = Peers(peer_sock, told.peers, told.peers_all, dispatcher, log)
                tasks.append(peers.run)
            for part in self.parts:
                tasks.append(partial(part, self, dispatcher))
            dispatcher.listed(list(told.known), True)
            dispatcher.carry_out()
            for task in tasks:
                group.start_soon(self._lasting, task)
            # Guards against sends right after a start to what drained meanwhile: what discovery has counts as
            # told from the first moment on, and the list that a node is started with may be old.
            with anyio.move_on_after(max(told.facts.drain_grace, bounds.again_s)):
                await discovery.first.wait()
            self.phases.enter(Phase.SERVING)
            task_status.started()
            async with anyio.create_task_group() as accepting:
                accepting.start_soon(self._lasting, clients.accept)
                await self.phases.reached(Phase.LEAVING)
                await anyio.sleep(bounds.leave_s)
                accepting.cancel_scope.cancel()
            await self._finish(dispatcher, clients)
            group.cancel_scope.cancel()

    async def _lasting(self, task: Callable[[], Awaitable[None]]) -> None:
        """Guards against a fault in one task that would take the node with it: the task begins again."""
        while True:
            try:
                await task()
            except Exception:
                self.log.say(f"a task begins again: {traceback.format_exc()}", "task.again")
            await anyio.sleep(self.deployment.bounds.again_s)

    async def _finish(self, dispatcher: Dispatcher, clients: Clients) -> None:
        """Take no new connection, and answer all that was taken. It has to be over before the node is killed,
        which comes the sooner the shorter the hard limits are."""
        bounds, longest = self.deployment.bounds, max(lane.hard_limit for lane in self.deployment.facts.lanes)
        with anyio.move_on_after(min(bounds.finish_s, longest + bounds.finish_beyond_s) - bounds.leave_s):
            await clients.stop_listening()
            self.phases.enter(Phase.FINISHING)
            clients.retire()
            await self._until_answered(dispatcher, clients)
        clients.close_all_after_answers()
        await dispatcher.enqueue(dispatcher.end_open_requests)
        with anyio.move_on_after(bounds.late_s):
            await self._until_answered(dispatcher, clients)
        # Guards against last answers lost with a reset: what clients still sent is read before all closes.
        with anyio.move_on_after(min(bounds.linger_s, bounds.late_s)):
            while clients.connections:
                await anyio.sleep(0.02)
        self.phases.enter(Phase.ENDED)
        self._tell_totals(dispatcher, clients)

    def _tell_totals(self, dispatcher: Dispatcher, clients: Clients) -> None:
        """What the node has done, and why, in one line."""
        fleet, parts = dispatcher.fleet, (dispatcher, dispatcher.fleet, clients)
        broken = sum((part.invariants.broken for part in parts), collections.Counter[Invariant]())
        totals = {
            "answers": dict(dispatcher.answer_counts),
            "closed": {reason.name: count for reason, count in clients.closed.items()},
            "held_back": {reason.name: count for reason, count in fleet.guard.refused.items()},
            "invariants_broken": {invariant.name: count for invariant, count in broken.items()},
        }
        self.log.say(f"ends: {totals}", "node.ended", **totals)

    async def _until_answered(self, dispatcher: Dispatcher, clients: Clients) -> None:
        while dispatcher.open_requests or any(not client.finished for client in clients.connections):
            await anyio.sleep(0.02)

    async def _sweep(self, dispatcher: Dispatcher, clients: Clients, fleet: Fleet) -> None:
        while True:
            await anyio.sleep(SWEEP_S)
            await dispatcher.enqueue(dispatcher.follow_wall_clock)
            await dispatcher.enqueue(dispatcher.answer_overdue)
            clients.sweep()
            fleet.sweep()


def reread(node: EdgeNode, first: bool = True) -> bool:
    """Guards against a new file that is missing, half written or faulty: the old one stays in force. Gives
    whether the file was read; what is wrong with it is told at the `first` try only."""
    try:
        node.reload(read_deployment(os.environ))
        return True
    except Faulty as wrong:
        if first or not isinstance(wrong, Unreadable):
            node.log.say(f"{wrong}; the old configuration stays in force", "configuration.faulty")
        return not isinstance(wrong, Unreadable)


async def reread_until_whole(node: EdgeNode) -> None:
    """Take up the file that the node was told to read. Guards against one that is told of while it is being
    written, or that can't be opened for a moment: nobody would tell of it again."""
    was_read, bounds = reread(node), node.deployment.bounds
    if node.log.reread is not None:
        node.log.reread(node.log)
    with anyio.move_on_after(bounds.reread_s):
        while not was_read:
            await anyio.sleep(bounds.again_s)
            was_read = reread(node, first=False)


async def bind_patiently(node: EdgeNode) -> None:
    """Guards against a start that fails for an address, or for descriptors, that are free a moment later."""
    ends = anyio.current_time() + node.deployment.bounds.bind_s
    while True:
        try:
            return node.bind()
        except OSError as wrong:
            if wrong.errno not in FREED_LATER or anyio.current_time() >= ends:
                raise
        await anyio.sleep(node.deployment.bounds.again_s)


def read_patiently(environment: Mapping[str, str]) -> Deployment:
    """The configuration at the start; Faulty where it can't be used. A system that is short of descriptors or
    memory is asked again, for a second at the most."""
    for _ in range(READ_TRIES - 1):
        try:
            return read_deployment(environment)
        except Unreadable as wrong:
            if not isinstance(wrong.__cause__, OSError) or wrong.__cause__.errno not in FREED_LATER:
                raise
        time.sleep(READ_PAUSE_S)
    return read_deployment(environment)


async def within(
    scope: anyio.CancelScope, call: Callable[[EdgeNode], Awaitable[None]], node: EdgeNode
) -> None:
    """Make a call that ends with `scope`."""
    with scope:
        await call(node)


async def run_program(deployment: Deployment, log: Log | None = None, parts: Iterable[Part] = ()) -> None:
    """Serve until told to stop by a signal; SIGHUP has the configuration read again. OSError where the
    addresses can't be taken."""
    node = EdgeNode(deployment, log, parts)
    not_bound: OSError | None = None
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:

            async def listen() -> None:
                rereading = anyio.CancelScope()
                async for number in signals:
                    if number == signal.SIGHUP:
                        rereading.cancel()  # the file is another one now
                        rereading = anyio.CancelScope()
                        group.start_soon(within, rereading, reread_until_whole, node)
                    else:
                        node.leave()

            group.start_soon(listen)
            gc.collect()
            gc.freeze()  # what was loaded at the start lasts: it need not be looked at again
            try:
                await bind_patiently(node)
            except OSError as wrong:
                not_bound = wrong
            else:
                await node.serve()
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as it is before the node listens for it
        group.cancel_scope.cancel()
    if not_bound is not None:
        raise not_bound


def main(
    make_log: Callable[[Deployment], Log] | None = None,
    parts: Iterable[Part] = (),
    subsets: Terms | None = USUAL,
) -> int:
    """Run the node that LB_CONFIG describes; gives the exit code: 0 after a clean leave, 1 where it can't
    serve, 2 for a faulty configuration. `make_log` makes its log, else lines are plain; `subsets` of app
    servers, None: off."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # guards against one that comes too early, or while it ends
    try:
        deployment = replace(read_patiently(os.environ), subsets=subsets)
    except Faulty as wrong:
        print(f"merlintally: {wrong}", file=sys.stderr)
        return 2
    try:
        anyio.run(
            run_program,
            deployment,
            make_log(deployment) if make_log else None,
            parts,
            backend_options={"loop_factory": ObservedLoop},
        )
    except OSError as wrong:
        print(f"merlintally: can't serve: {wrong}", file=sys.stderr)
        return 1
    return 0
