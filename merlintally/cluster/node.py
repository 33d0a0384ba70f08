"""A node's part in its cluster: one task owns the core; it reaches the decisions by the dispatcher's queue
alone."""

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

from merlintally.cluster import FELLOWS
from merlintally.cluster.agreement import Pace
from merlintally.cluster.copies import Terms as CopyTerms
from merlintally.cluster.core import STREAMED, Cluster, Local, Me, Plan
from merlintally.cluster.disk import Disk, Full
from merlintally.cluster.links import Links
from merlintally.cluster.members import Rhythm
from merlintally.cluster.record import Record
from merlintally.cluster.work.coordinator import Terms
from merlintally.cluster.work.state import GRANTED, OUT, RETURNING, most
from merlintally.net.call_queue import CallQueue
from merlintally.net.configuration import Address, address
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.node import EdgeNode
from merlintally.net.phases import Phase
from merlintally.notes import told, unpack
from merlintally.operators import ClusterPart

QUEUE, AGAIN_S, RATE_S, CLIENT_S = 4096, 1.0, 2.0, 10.0
OPEN_TRIES, OPEN_PAUSE_S = 20, 0.2  # of the folder at a start
PASSING = frozenset({errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.EINTR, errno.ENFILE, errno.EMFILE})
KEEP_S, HEARD_S = 5.0, 0.4  # between copies on disk; between words to the decisions that all is heard
MOST_NOTES, MOST_DRAWN = 1024, 500.0  # notes that wait; units of a customer told on at once


def plan_of(part: ClusterPart) -> Plan:
    """What all nodes of the cluster are told alike, from the operators' file."""
    return Plan(
        part.voters,
        dict(part.seeds),
        Pace(heartbeat_s=part.heartbeat_s, election_s=part.election_s),
        Rhythm(period_s=part.period_s, answer_s=0.3 * part.period_s),
        Terms(part.lease_s, part.renew_s, part.drift_share, part.warm_s, part.longest_s),
        CopyTerms(part.copies, part.copy_bytes_s, cold_after_s=part.copy_cold_s, forget_s=part.copy_forget_s)
        if part.copies
        else None,
    )


class Sum:
    """What others drew of a customer and the decisions were not told yet, as notes have it."""

    __slots__ = ("mark", "drawn", "heard")

    def __init__(self, mark: int, heard: float) -> None:
        self.mark, self.drawn, self.heard = mark, 0.0, heard


class ClusterNode:
    """Attached to an edge node with `EdgeNode(..., parts=[ClusterNode(...).run])`; it is its Permissions."""

    links_type: type[Links] = Links  # another one counts what goes out, in the laboratory

    def __init__(
        self, part: ClusterPart, name: str, seed: int, disk: Disk, log: Log, record: Record | None = None
    ) -> None:
        self.part, self.name, self.disk, self.log, self.record = part, name, disk, log, record
        self.chance = Random(seed ^ disk.start)
        self.plan = plan_of(part)
        self.routes = {name: address(where, f"cluster.routes.{name}") for name, where in part.routes.items()}
        self.queue = CallQueue(QUEUE)
        self.dispatcher: Dispatcher
        self.links: Links
        self.disk_lock = Lock()
        self.rows: list[tuple[Any, ...]] = []  # to be written, and the number of the last
        self.number = 0
        self.unwritten = anyio.Event()
        self.wake_at, self.sleeping = 0.0, anyio.CancelScope()
        self.asking: dict[str, tuple[anyio.Event, list[tuple[bool, str]]]] = {}
        self.sent: Counter[str] = Counter()  # attempts by pool, in this stretch of time
        self.sent_since, self.rates = time.monotonic(), dict[str, float]()
        self.out: dict[str, int] = {}  # machines that this node holds to be out -> turn
        self.done: set[int] = set()
        self.able, self.careful = True, True
        self.to_tell = anyio.Event()  # what is out has changed, or what others drew
        self.notes: deque[bytes] = deque(maxlen=MOST_NOTES)  # of the decisions, about draws of this node
        self.sums: dict[str, Sum] = {}
        self.heard_at = 0.0  # when the decisions were last told that all is heard
        self.whole = False
        self._begin(time.monotonic())

    def _begin(self, now: float) -> None:
        me = Me(self.name, self.part.listen, self.disk.start)
        rows = self.disk.kept_rows() if self.plan.copies is not None else []
        chance = Random(self.chance.random())
        self.core = Cluster(me, self.plan, self.disk.kept, chance, now, self.disk.blank, rows=rows)
        self.number = 0

    # The node's right, looked up at each use.

    def may_take(self) -> bool:
        return self.core.may_take(time.monotonic())

    def may_send(self, server: str) -> bool:
        may = self.core.may_send(server, time.monotonic())
        if may and (machine := self.core.edge.machines.get(server)) is not None:
            self.sent[machine.pool] += 1
        return may

    # Its tasks.

    async def run(self, node: EdgeNode, dispatcher: Dispatcher) -> None:
        """Stand beside a node until cancelled."""
        self.dispatcher, dispatcher.permissions = dispatcher, self
        if self.plan.copies is not None and dispatcher.peers is None:
            dispatcher.peers = self
        dispatcher.listed_servers = {entry.facts.server: entry for entry in node.deployment.known}
        listen = address(self.part.listen, "cluster.listen")
        self.links = self.links_type(
            self.part.name,
            self.part.secret,
            self.name,
            self.disk.start,
            listen,
            self.chance,
            self.log,
            self._hear,
            self._where,
            self._told_older,
            self.ask,
        )
        if self.disk.torn:
            self.log.say(
                f"cluster: {self.disk.torn} bytes of a last record that was not whole are cut off",
                "cluster.torn",
                bytes=self.disk.torn,
            )
        if self.disk.blank:
            self.log.say(
                "cluster: the folder holds no log; this node votes once it was let in", "cluster.blank"
            )
        if self.record is not None:
            self.record.add("start", blank=self.disk.blank)
        async with anyio.create_task_group() as group:
            group.start_soon(self.links.run, group)
            group.start_soon(self._write)
            group.start_soon(self._wake)
            group.start_soon(self._leave, node)
            group.start_soon(self._tell_keeper)
            if self.plan.copies is not None:
                group.start_soon(self._keep_copies)
            await self.queue.enqueue(lambda: None)
            await self.queue.run(self._do, self._settle)

    def _do(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Guards against one bad message that takes the node with it."""
        try:
            call(*args)
        except Exception:
            self.log.say(f"cluster: a call failed: {traceback.format_exc()}", "cluster.failed")

    async def _hear(self, sender: str, call: str, args: tuple[Any, ...]) -> None:
        await self.queue.enqueue(self._heard, sender, call, args)

    def _heard(self, sender: str, call: str, args: tuple[Any, ...]) -> None:
        self.core.hear(time.monotonic(), sender, call, args)

    async def _wake(self) -> None:
        while True:
            with anyio.CancelScope() as self.sleeping:
                await anyio.sleep(max(0.0, self.wake_at - time.monotonic()))
            if time.monotonic() >= self.wake_at:
                self.wake_at = time.monotonic() + self.part.heartbeat_s
                await self.queue.enqueue(self._woken)

    def _woken(self) -> None:
        now = time.monotonic()
        if now - self.sent_since > RATE_S:
            self.rates = {pool: count / (now - self.sent_since) for pool, count in self.sent.items()}
            self.sent, self.sent_since = Counter(), now
        shown, fleet = self.dispatcher.listed_servers or {}, self.dispatcher.fleet
        servers = self.core.edge.machines
        turns = self.core.work.turns
        busy = frozenset(
            server for server, machine in servers.items() if machine.name in turns and fleet.busy(server)
        )
        off = tuple(
            sorted(
                server for server in servers if server not in shown or shown[server].facts.presence != "on"
            )
        )
        self._drawn(now)
        self.core.local = Local(busy, not self.dispatcher.open_requests, off, self.rates)
        self.core.wake(now)
        careful = now >= self.core.edge.until + self.part.lease_s
        if careful != self.careful:
            self.careful = careful
            self._tell("careful", {"thing": "work"}) if careful else self._tell_acts()

    async def _leave(self, node: EdgeNode) -> None:
        await node.phases.reached(Phase.LEAVING)
        await self.queue.enqueue(lambda: self.core.leave(time.monotonic()))

    async def _tell_keeper(self) -> None:
        while True:
            await self.to_tell.wait()
            self.to_tell = anyio.Event()
            await self.dispatcher.enqueue(self.dispatcher.set_servers_in_maintenance, self.core.edge.out())
            while self.whole and (note := told(self.sums.values())):
                await self.dispatcher.enqueue(self.dispatcher.noted, FELLOWS, note)
            if self.whole:
                await self.dispatcher.enqueue(self.dispatcher.noted, FELLOWS, b"")

    # Draws: to the copies, and what others drew to the decisions, as notes.

    def publish(self, payload: bytes) -> None:
        """A note of the decisions, which would go to all others: what this node drew."""
        self.notes.append(payload)

    def _drawn(self, now: float) -> None:
        copies = self.core.copies
        if copies is None:
            return
        while self.notes:
            for mark, units in unpack(self.notes.popleft()):
                copies.draw(now, f"{mark:08x}", units)
        self.whole = self.core.hears_all(now)
        if self.whole and now - self.heard_at > HEARD_S:
            self.heard_at = now
            self.to_tell.set()

    def _summed(self, sums: list[tuple[str, float]]) -> None:
        """The first sum of a customer is where it stands; only what is drawn from then on is news. Guards
        against draws of a minute ago, long refilled, that empty a store."""
        for customer, units in sums:
            one = self.sums.get(customer)
            if one is None:
                self.sums[customer] = Sum(int(customer, 16), units)
            else:
                # Guards against a faulty node's sum that can't be, handed on in notes for ever: what is
                # beyond a store takes nothing from it anyhow.
                one.drawn, one.heard = min(MOST_DRAWN, one.drawn + units - one.heard), units
        if self.core.copies is not None and len(self.sums) > 2 * len(self.core.copies.sums) + 64:
            self.sums = {key: one for key, one in self.sums.items() if key in self.core.copies.sums}
        self.to_tell.set()

    async def _keep_copies(self) -> None:
        """A head start for the next time, now and then."""
        while True:
            await anyio.sleep(KEEP_S)
            copies = self.core.copies
            if copies is not None and self.able:
                with suppress(OSError):
                    await anyio.to_thread.run_sync(self.disk.keep, copies.store_rows())

    async def _write(self) -> None:
        """Rows go to disk in batches, in a thread; what is promised waits for it."""
        while True:
            if not self.rows:
                self.unwritten = anyio.Event()
                await self.unwritten.wait()
            rows, self.rows = self.rows, []
            number, core = self.number, self.core
            while True:
                try:
                    await anyio.to_thread.run_sync(self._put, core, rows)
                    break
                except Full as full:
                    if self.able:
                        self.able = False
                        self.log.say(
                            f"cluster: the disk takes nothing more; this node steps back and goes on "
                            f"serving: {full}",
                            "cluster.full",
                        )
                        await self.queue.enqueue(lambda: self.core.step_back(time.monotonic(), False))
                    await anyio.sleep(AGAIN_S)
            if not self.able:
                self.able = True
                self.log.say("cluster: the disk takes rows again", "cluster.room")
                await self.queue.enqueue(lambda: self.core.step_back(time.monotonic(), True))
            if core is self.core:
                await self.queue.enqueue(self._synced, core, number)

    def _put(self, core: Cluster, rows: list[tuple[Any, ...]]) -> None:
        with self.disk_lock:
            if core is self.core:  # guards against rows of a core whose folder was set aside meanwhile
                self.disk.write(rows)

    def _synced(self, core: Cluster, number: int) -> None:
        if core is self.core:
            core.synced(time.monotonic(), number)

    def _settle(self) -> None:
        """Carry out what the core wants."""
        found = self.core.take_results()
        if found.persist:
            self.rows += found.persist
            self.number = found.number
            self.unwritten.set()
        for to, call, args in found.sends:
            (self.links.send if call.startswith(STREAMED) else self.links.tell)(to, call, args)
        for id_, ok, text in found.answers:
            if (waiting := self.asking.pop(id_, None)) is not None:
                waiting[1].append((ok, text))
                waiting[0].set()
        for event, fields in found.events:
            self._tell(event, fields)
        if found.changed:
            self._changed()
        if found.sums:
            self._summed(found.sums)
        if self.disk.blank and not self.core.raft.blank:
            with suppress(OSError):  # it is asked for again the next time
                self.disk.admitted()
        if found.wake_at < self.wake_at or self.wake_at <= time.monotonic():
            self.wake_at = found.wake_at
            self.sleeping.cancel()

    def _tell_acts(self) -> None:
        """From now on it acts on this."""
        work = self.core.work
        if self.record is not None:
            self.record.add("acts", thing="work", version=work.index, digest=zlib.crc32(work.encode()))

    def _tell(self, event: str, fields: dict[str, Any]) -> None:
        if event == "committed":
            if self.record is not None:
                digest = zlib.crc32(self.core.work.encode()) if fields["index"] == self.core.work.index else 0
                self.record.add("committed", index=fields["index"], digest=digest, void=fields["void"])
            return
        if self.record is not None:
            self.record.add(event, **fields)
        told = " ".join(f"{key} {value}" for key, value in fields.items())
        self.log.say(f"cluster: {event}: {told}", f"cluster.{event}", **fields)

    def _changed(self) -> None:
        """What is agreed about machines has changed: the decisions are told, and the record."""
        work = self.core.work
        self._tell_acts()
        for turn in work.turns.values():
            machine = work.machines[turn.machine]
            if turn.state == OUT and self.out.get(turn.machine) != turn.number:
                self.out[turn.machine] = turn.number
                request = work.requests.get(turn.request)
                limits = request.budget if request is not None else None
                rows = work.machines.values()
                self._tell(
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
                            "total": most(limits.total, len(work.machines)),
                            "pool": most(limits.pool, sum(one.pool == machine.pool for one in rows)),
                            "zone": most(limits.zone, sum(one.zone == machine.zone for one in rows)),
                        },
                    },
                )
            elif turn.state == RETURNING and turn.number not in self.done:
                self.done.add(turn.number)
                self._tell("done", {"machine": turn.machine, "number": turn.number})
            elif turn.state == GRANTED and self.name in machine.edges:
                self.log.say(
                    f"cluster: turn {turn.number} of {turn.machine} is granted: nothing new is taken",
                    "cluster.parked",
                    machine=turn.machine,
                    number=turn.number,
                )
        for name, number in list(self.out.items()):
            if name not in work.turns or work.turns[name].number != number:
                del self.out[name]
                self.done.discard(number)
                self._tell("back", {"machine": name, "number": number})
        self.to_tell.set()

    # What links and operators ask.

    def _where(self, name: str) -> Address | None:
        if name in self.routes:
            return self.routes[name]
        one = self.core.members.known.get(name)
        where = one.address if one is not None else self.plan.seeds.get(name, "")
        host, _, port = where.rpartition(":")
        return (host, int(port)) if host and port.isdecimal() else None

    async def _told_older(self, start: int) -> None:
        await self.queue.enqueue(self._older, start)

    def _older(self, start: int) -> None:
        """Fellows know of a later start: this folder is an older one's, and what it promised since is
        lost."""
        if start < self.disk.start:
            return
        self.log.say(
            f"cluster: this folder is older than what others know (start {start}): it is set aside, and the "
            "node begins anew",
            "cluster.older",
            start=start,
        )
        with self.disk_lock:
            try:
                self.disk.set_aside()
                self.disk.started(start + 1)
            except OSError as wrong:  # fellows tell of it again
                self.log.say(f"cluster: the folder can't be set aside: {wrong.strerror}", "cluster.full")
                return
            self.disk.start = start + 1
            self.links.start = self.disk.start
            self.rows = []
            self._begin(time.monotonic())
        if self.record is not None:
            self.record.start = self.disk.start
            self.record.add("start", blank=True)

    async def ask(self, id_: str, verb: str, args: list[Any]) -> tuple[bool, str]:
        """A question or request of an operator's; gives whether it was done, and the answer or why not."""
        event, found = anyio.Event(), list[tuple[bool, str]]()
        self.asking[id_] = (event, found)
        await self.queue.enqueue(lambda: self.core.ask(time.monotonic(), id_, verb, args))
        with anyio.move_on_after(CLIENT_S):
            await event.wait()
        self.asking.pop(id_, None)
        return found[0] if found else (False, "no answer in time; ask again with the same id")


def open_disk(part: ClusterPart) -> Disk:
    """The node's folder; OSError or Spoilt say why it can't be used. One whose writes fail, or that is full,
    is tried again for some seconds: it may be so for a moment only."""
    for _ in range(OPEN_TRIES - 1):
        try:
            return Disk(Path(part.folder))
        except OSError as wrong:
            if wrong.errno not in PASSING:
                raise
        time.sleep(OPEN_PAUSE_S)
    return Disk(Path(part.folder))
