"""Runs the core of a cluster node next to an edge node.

One task owns the core. The decisions are only reached through the dispatcher's queue.
"""

from __future__ import annotations

import errno
import time
import traceback
import zlib
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from threading import Lock
from typing import Any

import anyio

from merlintally.cluster import ALL_PEERS
from merlintally.cluster.agreement import RaftSettings
from merlintally.cluster.copies import ReplicationSettings
from merlintally.cluster.core import (
    STREAMED_PREFIXES,
    Cluster,
    ClusterSettings,
    LocalObservations,
    NodeIdentity,
)
from merlintally.cluster.disk import Disk, WriteFailed
from merlintally.cluster.links import Links
from merlintally.cluster.members import SwimSettings
from merlintally.cluster.processes import KnownProcesses
from merlintally.cluster.record import Record
from merlintally.cluster.work.coordinator import MaintenanceTiming
from merlintally.cluster.work.state import GRANTED, OUT, RETURNING, limit_of
from merlintally.net.call_queue import CallQueue
from merlintally.net.configuration import Address, parse_address
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.node import EdgeNode
from merlintally.net.phases import Phase
from merlintally.notes import decode_note, encode_note
from merlintally.operators import ClusterPart

MAX_QUEUED_CALLS = 4096
WRITE_RETRY_S = 1.0
RATE_WINDOW_S = 2.0  # over which attempts per second are averaged
REQUEST_TIMEOUT_S = 10.0  # for an operator's request
OPEN_ATTEMPTS = 20
OPEN_RETRY_S = 0.2
# Errors of the disk at a start that may be temporary.
TRANSIENT_ERRORS = frozenset({errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.EINTR, errno.ENFILE, errno.EMFILE})
COPIES_STORE_INTERVAL_S = 5.0
DRAWS_REFRESH_S = 0.4  # interval of notes that confirm that the draws of others are complete
MAX_QUEUED_NOTES = 1024
MAX_FORWARDED_UNITS = 500.0  # backlog of one customer, in units
MISSED_STARTS = 16  # of this node that another one may not have heard of
MAX_RENUMBERINGS = 8  # of one process; nodes that were cut off from each other may know different starts


def cluster_settings_of(part: ClusterPart) -> ClusterSettings:
    """The shared settings of the cluster, from the section [cluster] of the operators' file."""
    return ClusterSettings(
        part.voters,
        dict(part.seeds),
        RaftSettings(heartbeat_s=part.heartbeat_s, election_s=part.election_s),
        SwimSettings(period_s=part.period_s, probe_timeout_s=0.3 * part.period_s),
        MaintenanceTiming(part.lease_s, part.renew_s, part.drift_share, part.warm_s, part.longest_s),
        ReplicationSettings(
            part.copies, part.copy_bytes_s, cold_after_s=part.copy_cold_s, forget_s=part.copy_forget_s
        )
        if part.copies
        else None,
    )


class CustomerDraws:
    """Units of a customer that other nodes drew and that are not forwarded to the decisions yet.

    `mark` and `drawn` are those of a note's row; `last_total` is the last known sum of all draws.
    """

    __slots__ = ("mark", "drawn", "last_total")

    def __init__(self, mark: int, last_total: float) -> None:
        self.mark, self.drawn, self.last_total = mark, 0.0, last_total


class ClusterNode:
    """The cluster part of an edge node, attached with `EdgeNode(..., parts=[ClusterNode(...).run])`.

    It decides whether the node may accept submissions and send executions.
    """

    links_type: type[Links] = Links  # replaced by the laboratory to count messages

    def __init__(
        self, part: ClusterPart, name: str, seed: int, disk: Disk, log: Log, record: Record | None = None
    ) -> None:
        self.part, self.name, self.disk, self.log, self.record = part, name, disk, log, record
        self.rng = Random(seed ^ disk.start)
        self.settings = cluster_settings_of(part)
        self.routes = {
            name: parse_address(endpoint, f"cluster.routes.{name}") for name, endpoint in part.routes.items()
        }
        self.queue = CallQueue(MAX_QUEUED_CALLS)
        self.dispatcher: Dispatcher
        self.links: Links
        self.processes = KnownProcesses(disk.start)
        self.renumberings = 0
        self.disk_lock = Lock()
        self.unwritten_rows: list[tuple[Any, ...]] = []
        self.last_row = 0  # sequence number of the last unwritten row
        self.rows_available = anyio.Event()
        self.wake_at, self.sleep_scope = 0.0, anyio.CancelScope()
        self.pending_requests: dict[str, tuple[anyio.Event, list[tuple[bool, str]]]] = {}
        self.sent_counts: Counter[str] = Counter()  # attempts by pool since `rates_since`
        self.rates_since, self.rates = time.monotonic(), dict[str, float]()
        self.machines_out: dict[str, int] = {}  # machine that is out -> number of its turn
        self.done_turns: set[int] = set()
        self.disk_writable, self.restricted = True, True
        self.decisions_outdated = anyio.Event()  # machines that are out, or draws of others, have changed
        # Notes of the decisions, with draws of this node.
        self.queued_notes: deque[bytes] = deque(maxlen=MAX_QUEUED_NOTES)
        self.sums: dict[str, CustomerDraws] = {}
        self.draws_refreshed_at = 0.0  # when a note last confirmed that draws are complete
        self.draws_complete = False
        self._create_core(time.monotonic())

    def _create_core(self, now: float) -> None:
        identity = NodeIdentity(self.name, self.part.listen, self.disk.start)
        rows = self.disk.load_copies() if self.settings.copies is not None else []
        core_rng = Random(self.rng.random())
        self.core = Cluster(
            identity, self.settings, self.disk.state, core_rng, now, self.disk.lost_state, rows=rows
        )
        self.last_row = 0

    # Permissions, checked for each submission and each send.

    def may_take(self) -> bool:
        return self.core.may_take(time.monotonic())

    def may_send(self, server: str) -> bool:
        allowed = self.core.may_send(server, time.monotonic())
        if allowed and (machine := self.core.edge.machines.get(server)) is not None:
            self.sent_counts[machine.pool] += 1
        return allowed

    # Tasks.

    async def run(self, node: EdgeNode, dispatcher: Dispatcher) -> None:
        """Run next to an edge node until cancelled."""
        self.dispatcher, dispatcher.permissions = dispatcher, self
        if self.settings.copies is not None and dispatcher.peers is None:
            dispatcher.peers = self
        dispatcher.listed_servers = {entry.facts.server: entry for entry in node.deployment.known}
        listen = parse_address(self.part.listen, "cluster.listen")
        self.links = self.links_type(
            self.part.name,
            self.part.secret,
            self.name,
            self.processes,
            listen,
            self.rng,
            self.log,
            self._on_message,
            self._resolve,
            self._on_newer_start,
            self.request,
        )
        if self.disk.torn_bytes:
            self.log.say(
                f"cluster: truncated {self.disk.torn_bytes} bytes of an incomplete last record",
                "cluster.torn",
                bytes=self.disk.torn_bytes,
            )
        if self.disk.lost_state:
            self.log.say(
                "cluster: the folder has no log, or not all that this node has promised; it votes once it "
                "has been added to the voters",
                "cluster.blank",
            )
        if self.record is not None:
            self.record.add("start", blank=self.disk.lost_state)
        async with anyio.create_task_group() as group:
            group.start_soon(self.links.run, group)
            group.start_soon(self._write_rows)
            group.start_soon(self._run_timer)
            group.start_soon(self._leave_on_shutdown, node)
            group.start_soon(self._update_decisions)
            if self.settings.copies is not None:
                group.start_soon(self._store_copies)
            await self.queue.enqueue(lambda: None)
            await self.queue.run(self._run_call, self._process_results)

    def _run_call(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Run a queued call; an exception is logged, and must not end the task that owns the core."""
        try:
            call(*args)
        except Exception:
            self.log.say(f"cluster: a call failed: {traceback.format_exc()}", "cluster.failed")

    async def _on_message(self, sender: str, call: str, args: tuple[Any, ...]) -> None:
        await self.queue.enqueue(self._handle_message, sender, call, args)

    def _handle_message(self, sender: str, call: str, args: tuple[Any, ...]) -> None:
        self.core.receive(time.monotonic(), sender, call, args)

    async def _run_timer(self) -> None:
        while True:
            with anyio.CancelScope() as self.sleep_scope:
                await anyio.sleep(max(0.0, self.wake_at - time.monotonic()))
            if time.monotonic() >= self.wake_at:
                self.wake_at = time.monotonic() + self.part.heartbeat_s
                await self.queue.enqueue(self._handle_timer)

    def _handle_timer(self) -> None:
        now = time.monotonic()
        if now - self.rates_since > RATE_WINDOW_S:
            self.rates = {pool: count / (now - self.rates_since) for pool, count in self.sent_counts.items()}
            self.sent_counts, self.rates_since = Counter(), now
        shown, fleet = self.dispatcher.listed_servers or {}, self.dispatcher.fleet
        servers = self.core.edge.machines
        turns = self.core.work.turns
        busy = frozenset(
            server
            for server, machine in servers.items()
            if machine.name in turns and fleet.attempts_in_flight(server)
        )
        unlisted = tuple(
            sorted(
                server for server in servers if server not in shown or shown[server].facts.presence != "on"
            )
        )
        self._collect_draws(now)
        self.core.local = LocalObservations(busy, not self.dispatcher.open_requests, unlisted, self.rates)
        self.core.wake(now)
        restricted = now >= self.core.edge.leased_from + self.part.lease_s
        if restricted != self.restricted:
            self.restricted = restricted
            self._publish_event("careful", {"thing": "work"}) if restricted else self._record_applied_work()

    async def _leave_on_shutdown(self, node: EdgeNode) -> None:
        await node.phases.reached(Phase.LEAVING)
        await self.queue.enqueue(lambda: self.core.leave(time.monotonic()))

    async def _update_decisions(self) -> None:
        while True:
            await self.decisions_outdated.wait()
            self.decisions_outdated = anyio.Event()
            await self.dispatcher.enqueue(self.dispatcher.set_servers_in_maintenance, self.core.edge.out())
            while self.draws_complete and (note := encode_note(self.sums.values())):
                await self.dispatcher.enqueue(self.dispatcher.noted, ALL_PEERS, note)
            if self.draws_complete:
                await self.dispatcher.enqueue(self.dispatcher.noted, ALL_PEERS, b"")

    # Draws of this node go to the copies; draws of others go to the decisions as notes.

    def publish(self, payload: bytes) -> None:
        """Accept a note of the decisions with draws of this node, in place of sending it to all others."""
        self.queued_notes.append(payload)

    def _collect_draws(self, now: float) -> None:
        copies = self.core.copies
        if copies is None:
            return
        while self.queued_notes:
            for mark, units in decode_note(self.queued_notes.popleft()):
                copies.draw(now, f"{mark:08x}", units)
        self.draws_complete = self.core.sees_all_draws(now)
        if self.draws_complete and now - self.draws_refreshed_at > DRAWS_REFRESH_S:
            self.draws_refreshed_at = now
            self.decisions_outdated.set()

    def _add_sums(self, sums: list[tuple[str, float]]) -> None:
        """Add the increase of each customer's sum to its backlog.

        The first sum is the base and is not added: it may contain old draws that have been refilled since.
        """
        for customer, units in sums:
            draws = self.sums.get(customer)
            if draws is None:
                self.sums[customer] = CustomerDraws(int(customer, 16), units)
            else:
                # Bounds the number of notes that an absurd sum of a faulty node causes. Draws beyond the
                # size of a store have no further effect.
                draws.drawn, draws.last_total = (
                    min(MAX_FORWARDED_UNITS, draws.drawn + units - draws.last_total),
                    units,
                )
        if self.core.copies is not None and len(self.sums) > 2 * len(self.core.copies.sums) + 64:
            self.sums = {key: draws for key, draws in self.sums.items() if key in self.core.copies.sums}
        self.decisions_outdated.set()

    async def _store_copies(self) -> None:
        """Store copies on disk periodically, as hints for the next start."""
        while True:
            await anyio.sleep(COPIES_STORE_INTERVAL_S)
            copies = self.core.copies
            if copies is not None and self.disk_writable:
                with suppress(OSError):
                    await anyio.to_thread.run_sync(self.disk.store_copies, copies.all_rows())

    async def _write_rows(self) -> None:
        """Write rows in batches in a thread; messages that depend on them wait until they are synced."""
        while True:
            if not self.unwritten_rows:
                self.rows_available = anyio.Event()
                await self.rows_available.wait()
            rows = list(self.unwritten_rows)
            number, core = self.last_row, self.core
            while True:
                try:
                    await anyio.to_thread.run_sync(self._write_locked, core, rows)
                    if core is self.core:  # rows stay queued until then: this task may be begun again
                        del self.unwritten_rows[: len(rows)]
                    break
                except WriteFailed as failure:
                    if self.disk_writable:
                        self.disk_writable = False
                        self.log.say(
                            f"cluster: writes to disk fail; this node gives up leadership and continues "
                            f"to serve: {failure}",
                            "cluster.full",
                        )
                        await self.queue.enqueue(lambda: self.core.set_can_lead(time.monotonic(), False))
                    await anyio.sleep(WRITE_RETRY_S)
            if not self.disk_writable:
                self.disk_writable = True
                self.log.say("cluster: writes to disk succeed again", "cluster.room")
                await self.queue.enqueue(lambda: self.core.set_can_lead(time.monotonic(), True))
            if core is self.core:
                await self.queue.enqueue(self._rows_synced, core, number)

    def _write_locked(self, core: Cluster, rows: list[tuple[Any, ...]]) -> None:
        with self.disk_lock:
            if core is self.core:  # its log may have been replaced meanwhile
                self.disk.write(rows)

    def _rows_synced(self, core: Cluster, number: int) -> None:
        if core is self.core:
            core.synced(time.monotonic(), number)

    def _process_results(self) -> None:
        """Process the outputs of the core."""
        results = self.core.take_results()
        if results.persist:
            self.unwritten_rows += results.persist
            self.last_row = results.number
            self.rows_available.set()
        for to, call, args in results.sends:
            (self.links.send if call.startswith(STREAMED_PREFIXES) else self.links.send_datagram)(
                to, call, args
            )
        for request_id, ok, text in results.answers:
            if (pending := self.pending_requests.pop(request_id, None)) is not None:
                pending[1].append((ok, text))
                pending[0].set()
        for event, fields in results.events:
            self._publish_event(event, fields)
        if results.work_changed:
            self._publish_work()
        if results.sums:
            self._add_sums(results.sums)
        if self.disk.lost_state and not self.core.raft.lost_state:
            with suppress(OSError):  # retried with the next outputs
                self.disk.mark_admitted()
        if results.wake_at < self.wake_at or self.wake_at <= time.monotonic():
            self.wake_at = results.wake_at
            self.sleep_scope.cancel()

    def _record_applied_work(self) -> None:
        """Record which version of the work state this node acts on from now on."""
        work = self.core.work
        if self.record is not None:
            self.record.add("acts", thing="work", version=work.index, digest=zlib.crc32(work.encode()))

    def _publish_event(self, event: str, fields: dict[str, Any]) -> None:
        """Write an event to the record and to the log."""
        if event == "committed":
            if self.record is not None:
                digest = zlib.crc32(self.core.work.encode()) if fields["index"] == self.core.work.index else 0
                self.record.add("committed", index=fields["index"], digest=digest, void=fields["void"])
            return
        if self.record is not None:
            self.record.add(event, **fields)
        details = " ".join(f"{key} {value}" for key, value in fields.items())
        self.log.say(f"cluster: {event}: {details}", f"cluster.{event}", **fields)

    def _publish_work(self) -> None:
        """Publish a changed work state to the record, the log and the decisions."""
        work = self.core.work
        self._record_applied_work()
        for turn in work.turns.values():
            machine = work.machines[turn.machine]
            if turn.state == OUT and self.machines_out.get(turn.machine) != turn.number:
                self.machines_out[turn.machine] = turn.number
                request = work.requests.get(turn.request)
                limits = request.budget if request is not None else None
                rows = work.machines.values()
                self._publish_event(
                    "out",
                    {
                        "machine": turn.machine,
                        "number": turn.number,
                        "pool": machine.pool,
                        "zone": machine.zone,
                        "servers": list(machine.servers),
                        "most": {}
                        if limits is None
                        else {
                            "total": limit_of(limits.total, len(work.machines)),
                            "pool": limit_of(limits.pool, sum(other.pool == machine.pool for other in rows)),
                            "zone": limit_of(limits.zone, sum(other.zone == machine.zone for other in rows)),
                        },
                    },
                )
            elif turn.state == RETURNING and turn.number not in self.done_turns:
                self.done_turns.add(turn.number)
                self._publish_event("done", {"machine": turn.machine, "number": turn.number})
            elif turn.state == GRANTED and self.name in machine.edges:
                self.log.say(
                    f"cluster: turn {turn.number} of {turn.machine} is granted: new submissions are refused",
                    "cluster.parked",
                    machine=turn.machine,
                    number=turn.number,
                )
        for name, number in list(self.machines_out.items()):
            if name not in work.turns or work.turns[name].number != number:
                del self.machines_out[name]
                self.done_turns.discard(number)
                self._publish_event("back", {"machine": name, "number": number})
        self.decisions_outdated.set()

    # Callbacks of the links, and requests.

    def _resolve(self, name: str) -> Address | None:
        if name in self.routes:
            return self.routes[name]
        member = self.core.members.known.get(name)
        endpoint = member.address if member is not None else self.settings.seeds.get(name, "")
        host, _, port = endpoint.rpartition(":")
        return (host, int(port)) if host and port.isdecimal() else None

    async def _on_newer_start(self, start: int) -> None:
        await self.queue.enqueue(self._stop_voting, start)

    def _stop_voting(self, newer_start: int) -> None:
        """Another node has seen a later start of this node, or another process with this start.

        Either this folder is outdated, or a copy of it is in use: it can't be told from here, and the node
        may have made promises that the folder lacks. So it does not vote until it has been added to the
        voters again. Its log is kept, since others may have lost theirs. The node takes a number of starts
        that no earlier process had, also where the other node has missed some of them.
        """
        if newer_start < self.disk.start or self.renumberings > MAX_RENUMBERINGS:
            return
        self.renumberings += 1
        if self.renumberings > MAX_RENUMBERINGS:
            self.log.say(
                "cluster: other nodes hear of later starts of this node again and again: another process "
                "runs under its name; this node does not vote, and keeps its log",
                "cluster.copied",
            )
            return
        self.log.say(
            f"cluster: other nodes have seen start {newer_start} of this node: its folder is outdated, or a "
            "copy is in use; it keeps its log, and votes once it has been added to the voters again",
            "cluster.older",
            start=newer_start,
        )
        with self.disk_lock:
            try:
                self.disk.mark_not_admitted()
                self.disk.write_start(newer_start + MISSED_STARTS)
            except (OSError, WriteFailed) as error:  # retried when a node refuses the next stream
                self.log.say(f"cluster: the folder can't be marked: {error}", "cluster.full")
                return
            self.disk.start = newer_start + MISSED_STARTS
            self.processes.renumber(self.disk.start)
            self.unwritten_rows = []
            self._create_core(time.monotonic())
        if self.record is not None:
            self.record.start = self.disk.start
            self.record.add("start", blank=True)

    async def request(self, request_id: str, verb: str, args: list[Any]) -> tuple[bool, str]:
        """Handle a request of an operator; returns whether it succeeded, and the answer or the reason."""
        answered, answers = anyio.Event(), list[tuple[bool, str]]()
        self.pending_requests[request_id] = (answered, answers)
        await self.queue.enqueue(lambda: self.core.request(time.monotonic(), request_id, verb, args))
        with anyio.move_on_after(REQUEST_TIMEOUT_S):
            await answered.wait()
        self.pending_requests.pop(request_id, None)
        return answers[0] if answers else (False, "no answer in time; ask again with the same id")


def open_disk(part: ClusterPart) -> Disk:
    """Open the node's folder; OSError or CorruptFolder if it can't be used.

    Failed writes and a full disk are retried for some seconds, as they may be temporary.
    """
    for _ in range(OPEN_ATTEMPTS - 1):
        try:
            return Disk(Path(part.folder))
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
        time.sleep(OPEN_RETRY_S)
    return Disk(Path(part.folder))
