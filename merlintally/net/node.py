"""The edge node: builds its components, runs them from start to exit, and reloads its configuration."""

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
    ConfigurationError,
    Deployment,
    UnreadableConfiguration,
    fixed_changes,
    read_deployment,
)
from merlintally.net.counter import Counter
from merlintally.net.discovery import Discovery
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.invariants import Invariant
from merlintally.net.log import Log
from merlintally.net.memory import MemoryBudget, resident_bytes
from merlintally.net.peers import Peers
from merlintally.net.phases import Phase, Phases
from merlintally.net.polling import ObservedLoop
from merlintally.net.servers import Fleet
from merlintally.net.sockets import END_POLL_S, ResourceLimit
from merlintally.net.timers import Clock, Timers
from merlintally.subsets import DEFAULT_SETTINGS, SubsetSettings

SWEEP_S = 0.25  # between checks for idle and stalled connections, and overdue requests
MIN_BACKLOG = 128
MAX_BACKLOG = 1024
READ_TRIES = 10
READ_PAUSE_S = 0.1
# Collections in a row of the three generations. Tasks that were cancelled leave cycles, which count as memory
# until they are collected.
GC_THRESHOLDS = (700, 4, 2)
TRANSIENT_ERRORS = frozenset(
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
NodeTask = Callable[["EdgeNode", Dispatcher], Awaitable[None]]


class EdgeNode:
    """An edge node, to be run by `main` or embedded: `await node.serve()` returns after `node.leave()`.

    Several nodes can run in one process; they share no state. `parts` are further tasks that run until all
    accepted requests are answered; each is called with the node and its dispatcher. `process_bytes` is the
    memory that the process takes before it serves, where `limits.memory_mb` is a limit of the process; 0
    where it is for the node alone.
    """

    def __init__(
        self,
        deployment: Deployment,
        log: Log | None = None,
        parts: Iterable[NodeTask] = (),
        process_bytes: int = 0,
    ) -> None:
        self.deployment, self.parts = deployment, parts
        self.budget = MemoryBudget.of(deployment, process_bytes)
        self.log = log or Log(deployment.name, deployment.bounds.log_lines)
        self.phases = Phases()
        self._log_short_descriptors()
        self.listener: socket.socket | None = None
        self.listening_since = 0.0  # monotonic seconds
        self.peer_sock: socket.socket | None = None
        self.discovery: Discovery | None = None
        self.counter: Counter | None = None

    def _log_short_descriptors(self) -> None:
        """Logs that the descriptors don't suffice for streams to all other nodes of the cluster."""
        config = self.deployment
        if config.bounds.kept_back + config.cluster_streams > config.kept_back:
            self.log.say(
                f"limits.sockets: {config.sockets} leaves {config.kept_back} descriptors for all but clients "
                f"and app servers; streams to all nodes of the cluster alone may take "
                f"{config.cluster_streams}",
                "cluster.descriptors",
            )

    def bind(self) -> None:
        """Binds the listening sockets; raises OSError. `serve` does so if it has not been done before."""
        self.listening_since = time.monotonic()
        # Accepted and waiting clients together stay within the descriptor limit while app servers need few.
        backlog = min(MAX_BACKLOG, max(MIN_BACKLOG, self.deployment.server_descriptors))
        with ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(self.deployment.listen, backlog=backlog))
            listener.setblocking(False)
            if self.deployment.peer_listen is not None:
                peer_sock = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                peer_sock.setblocking(False)
                peer_sock.bind(self.deployment.peer_listen)
                self.peer_sock = peer_sock
            self.listener = listener
            stack.pop_all()  # both sockets are bound: `serve` closes them

    @property
    def address(self) -> Address:
        """Where the node listens for clients, once bound."""
        assert self.listener is not None, "not bound"
        bound: Address = self.listener.getsockname()
        return bound

    def leave(self) -> None:
        """Starts a graceful shutdown: requests are accepted a little longer, then all open ones answered."""
        self.phases.enter(Phase.LEAVING)

    def reload(self, after: Deployment) -> None:
        """Applies the addresses of discovery and the counter from a new configuration; logs other changes,
        which take a restart."""
        if fixed := fixed_changes(self.deployment, after):
            self.log.say(
                f"configuration: changes only with a restart: {', '.join(fixed)}",
                "configuration.fixed",
                keys=",".join(fixed),
            )
        if self.discovery is not None:
            self.discovery.set_address(after.discovery)
        if self.counter is not None and after.counter is not None:
            self.counter.set_address(after.counter)

    async def serve(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until a graceful shutdown has ended; `task_status` is set when requests are accepted."""
        if self.listener is None:
            self.bind()
        assert self.listener is not None
        with ExitStack() as stack:
            stack.enter_context(self.listener)
            if self.peer_sock is not None:
                stack.enter_context(self.peer_sock)
            await self._serve(self.listener, self.peer_sock, task_status)

    async def _serve(
        self, listener: socket.socket, peer_sock: socket.socket | None, task_status: TaskStatus[None]
    ) -> None:
        config, bounds, log, budget = self.deployment, self.deployment.bounds, self.log, self.budget
        clock = Clock()
        dispatcher = Dispatcher(config, clock, log, budget.max_customers, budget.max_ids)
        timers = dispatcher.timers = Timers(clock, dispatcher.enqueue, log, bounds.late_s)
        discovery = self.discovery = Discovery(
            config.discovery,
            config.known_index,
            bounds,
            dispatcher,
            dispatcher.gateway.random,
            log,
            config.pushed,
        )
        async with anyio.create_task_group() as group:
            memory_limit = ResourceLimit(budget.held, budget.held_reserve)
            fleet = Fleet(
                config, dispatcher, clock, log, group, ResourceLimit(budget.server_connections), memory_limit
            )
            clients = Clients(
                config,
                listener,
                self.phases,
                dispatcher,
                clock,
                log,
                group,
                ResourceLimit(budget.client_connections),
                memory_limit,
                self.listening_since + clock.offset,
            )
            dispatcher.fleet = fleet
            tasks: list[Callable[[], Awaitable[None]]] = [
                dispatcher.run,
                timers.run,
                discovery.run,
                partial(self._sweep, dispatcher, clients, fleet),
                partial(self._look_for_ends, clients),
            ]
            if config.counter is not None:
                timeout_s = config.facts.count_time_out
                self.counter = Counter(config.counter, timeout_s, bounds, dispatcher, clock, timers, log)
                dispatcher.counter = self.counter
                tasks.append(self.counter.run)
            if peer_sock is not None:
                dispatcher.peers = peers = Peers(peer_sock, config.peers, config.peers_all, dispatcher, log)
                tasks.append(peers.run)
            for part in self.parts:
                tasks.append(partial(part, self, dispatcher))
            dispatcher.listed(list(config.known), True)
            dispatcher.carry_out()
            for task in tasks:
                group.start_soon(self._keep_running, task)
            # The initial list of servers may be outdated, and the node is held to discovery's list from the
            # start: it waits for the first answer, so as not to send to servers that are draining by now.
            with anyio.move_on_after(max(config.facts.drain_grace, bounds.again_s)):
                await discovery.first_call_done.wait()
            self.phases.enter(Phase.SERVING)
            task_status.started()
            async with anyio.create_task_group() as accept_group:
                accept_group.start_soon(self._keep_running, clients.accept)
                await self.phases.reached(Phase.LEAVING)
                await anyio.sleep(bounds.leave_s)
                accept_group.cancel_scope.cancel()
            await self._finish(dispatcher, clients)
            group.cancel_scope.cancel()

    async def _keep_running(self, task: Callable[[], Awaitable[None]]) -> None:
        """Runs a task, and starts it again when it fails or returns."""
        while True:
            try:
                await task()
            except Exception:
                self.log.say(f"a task begins again: {traceback.format_exc()}", "task.again")
            await anyio.sleep(self.deployment.bounds.again_s)

    async def _finish(self, dispatcher: Dispatcher, clients: Clients) -> None:
        """Stops listening and waits until all accepted requests are answered, or their time is over.

        The process is killed the earlier the shorter the lanes' hard limits are, so the wait depends on them.
        """
        bounds, limit_s = self.deployment.bounds, max(lane.hard_limit for lane in self.deployment.facts.lanes)
        with anyio.move_on_after(min(bounds.finish_s, limit_s + bounds.finish_beyond_s) - bounds.leave_s):
            await clients.stop_listening()
            self.phases.enter(Phase.FINISHING)
            clients.retire()
            await self._wait_until_answered(dispatcher, clients)
        clients.close_all_after_answers()
        await dispatcher.enqueue(dispatcher.end_open_requests)
        with anyio.move_on_after(bounds.late_s):
            await self._wait_until_answered(dispatcher, clients)
        # What clients still send is read before closing: otherwise a reset could discard the last answers.
        with anyio.move_on_after(min(bounds.linger_s, bounds.late_s)):
            while clients.connections:
                await anyio.sleep(0.02)
        self.phases.enter(Phase.ENDED)
        self._log_totals(dispatcher, clients)

    def _log_totals(self, dispatcher: Dispatcher, clients: Clients) -> None:
        """Logs the totals of this run in one line."""
        fleet, parts = dispatcher.fleet, (dispatcher, dispatcher.fleet, clients)
        broken = sum((part.invariants.broken for part in parts), collections.Counter[Invariant]())
        totals = {
            "answers": dict(dispatcher.answer_counts),
            "refused_early": {reason.name: count for reason, count in clients.refused.items()},
            "closed": {reason.name: count for reason, count in clients.closed.items()},
            "held_back": {reason.name: count for reason, count in fleet.guard.refused.items()},
            "load": dispatcher.load.totals(),
            "invariants_broken": {invariant.name: count for invariant, count in broken.items()},
        }
        self.log.say(f"ends: {totals}", "node.ended", **totals)

    async def _wait_until_answered(self, dispatcher: Dispatcher, clients: Clients) -> None:
        while dispatcher.open_requests or any(not client.finished for client in clients.connections):
            await anyio.sleep(0.02)

    async def _look_for_ends(self, clients: Clients) -> None:
        while True:
            await anyio.sleep(END_POLL_S)
            if clients.turns.waiting_count:
                clients.end_waiting()

    async def _sweep(self, dispatcher: Dispatcher, clients: Clients, fleet: Fleet) -> None:
        while True:
            began = anyio.current_time()
            await anyio.sleep(SWEEP_S)
            dispatcher.load.lag.record(anyio.current_time() - began - SWEEP_S)
            dispatcher.load.log(anyio.current_time(), self.log)
            await dispatcher.enqueue(dispatcher.follow_wall_clock)
            await dispatcher.enqueue(dispatcher.answer_overdue)
            clients.sweep()
            fleet.sweep()


def reload_configuration(node: EdgeNode, first: bool = True) -> bool:
    """Reads the configuration file and applies it; an invalid file leaves the old configuration in force.

    Returns False if the file could not be read or is no JSON, which is logged at the `first` attempt only.
    """
    try:
        node.reload(read_deployment(os.environ))
        return True
    except ConfigurationError as error:
        if first or not isinstance(error, UnreadableConfiguration):
            node.log.say(f"{error}; the old configuration stays in force", "configuration.faulty")
        return not isinstance(error, UnreadableConfiguration)


async def reload_at_signal(node: EdgeNode) -> None:
    """Reloads the configuration and the log's settings at SIGHUP.

    Retries for `reread_s` while the file can't be read: it may still be being written at the signal, and no
    second signal follows.
    """
    readable, bounds = reload_configuration(node), node.deployment.bounds
    if node.log.on_reload is not None:
        node.log.on_reload(node.log)
    with anyio.move_on_after(bounds.reread_s):
        while not readable:
            await anyio.sleep(bounds.again_s)
            readable = reload_configuration(node, first=False)


async def bind_with_retries(node: EdgeNode) -> None:
    """Binds the node's sockets, retrying for `bind_s` on errors that may pass, such as an address in use."""
    deadline = anyio.current_time() + node.deployment.bounds.bind_s
    while True:
        try:
            return node.bind()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or anyio.current_time() >= deadline:
                raise
        await anyio.sleep(node.deployment.bounds.again_s)


def read_with_retries(environment: Mapping[str, str]) -> Deployment:
    """Reads the configuration at the start; raises `ConfigurationError`.

    Retries for about a second where the system is short of descriptors or memory.
    """
    for _ in range(READ_TRIES - 1):
        try:
            return read_deployment(environment)
        except UnreadableConfiguration as error:
            if not isinstance(error.__cause__, OSError) or error.__cause__.errno not in TRANSIENT_ERRORS:
                raise
        time.sleep(READ_PAUSE_S)
    return read_deployment(environment)


async def run_in_scope(
    scope: anyio.CancelScope, call: Callable[[EdgeNode], Awaitable[None]], node: EdgeNode
) -> None:
    """Awaits `call(node)` within `scope`, which can cancel it."""
    with scope:
        await call(node)


async def run_program(deployment: Deployment, log: Log | None = None, parts: Iterable[NodeTask] = ()) -> None:
    """Runs a node until SIGTERM or SIGINT; SIGHUP reloads the configuration. Raises OSError if the addresses
    can't be bound."""
    gc.collect()
    gc.freeze()  # objects loaded at the start live on: the collector need not visit them
    gc.set_threshold(*GC_THRESHOLDS)
    node = EdgeNode(deployment, log, parts, resident_bytes())
    bind_error: OSError | None = None
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:

            async def handle_signals() -> None:
                reload_scope = anyio.CancelScope()
                async for received in signals:
                    if received == signal.SIGHUP:
                        reload_scope.cancel()  # the file has changed once more
                        reload_scope = anyio.CancelScope()
                        group.start_soon(run_in_scope, reload_scope, reload_at_signal, node)
                    else:
                        node.leave()

            group.start_soon(handle_signals)
            try:
                await bind_with_retries(node)
            except OSError as error:
                bind_error = error
            else:
                await node.serve()
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as before the signal receiver was installed
        group.cancel_scope.cancel()
    if bind_error is not None:
        raise bind_error


def main(
    make_log: Callable[[Deployment], Log] | None = None,
    parts: Iterable[NodeTask] = (),
    subsets: SubsetSettings | None = DEFAULT_SETTINGS,
    clustered: bool = False,
) -> int:
    """Runs the node configured by LB_CONFIG. Returns the exit code: 0 after a graceful shutdown, 1 if the
    node can't serve, 2 for a faulty configuration.

    `make_log` creates the node's log, by default one of plain lines; `subsets` are the terms for the subset
    of app servers that the node uses, None for all; `clustered` tells whether one of `parts` has streams to
    the other nodes.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # SIGHUP must not end a process that is starting or stopping
    try:
        deployment = replace(read_with_retries(os.environ), subsets=subsets, clustered=clustered)
    except ConfigurationError as error:
        print(f"merlintally: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(
            run_program,
            deployment,
            make_log(deployment) if make_log else None,
            parts,
            backend_options={"loop_factory": ObservedLoop},
        )
    except OSError as error:
        print(f"merlintally: can't serve: {error}", file=sys.stderr)
        return 1
    return 0
