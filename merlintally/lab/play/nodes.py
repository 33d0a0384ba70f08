"""An edge node in simulated time: what `merlintally.net.dispatcher` does on sockets, on the world's agenda.

Decisions take no time here: the cost of the processor is not modelled.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from merlintally.cluster import ALL_PEERS
from merlintally.interface import Refusal
from merlintally.lab.builds.base import Build
from merlintally.lab.model.discovery import Entry
from merlintally.lab.model.requests import Try
from merlintally.lab.model.servers import Piece, Server
from merlintally.lab.play.front import Node
from merlintally.lab.play.world import World

READY_S, LEAVE_S, FINISH_S = 0.05, 0.5, 3.4  # seconds: to start; told to stop, still taking; until all ends


class Taken:
    """One submission at a node."""

    __slots__ = ("trying", "handle", "out", "answered", "gone", "sent")

    def __init__(self, trying: Try) -> None:
        self.trying, self.sent = trying, 0
        self.handle: Any = None
        self.out: dict[int, Execution] = {}
        self.answered = self.gone = False


class Execution:
    """One execution, and the connection that it has to itself."""

    __slots__ = ("taken", "number", "server", "process", "began", "piece", "written", "over", "life")

    def __init__(self, taken: Taken, number: int, server: Server, began: float, life: int) -> None:
        self.taken, self.number, self.server, self.process = taken, number, server, server.started
        self.began, self.life = began, life
        self.piece: Piece | None = None
        self.written = self.over = False


class SimNode(Node):
    """One edge node. A restart is a new life: what was on its way to the old one is ignored."""

    def __init__(self, world: World, number: int, build: Build) -> None:
        self.world, self.number, self.build = world, number, build
        self.name, self.zone = f"n{number}", number % world.day.fleet.zones
        self.alive, self.hung, self.life = False, False, 0
        self.known: list[Entry] = []
        self.held_back: deque[tuple[int, Callable[..., None], tuple[Any, ...]]] = deque()
        self.gateway: Any = None
        self.dice = world.stream(f"node {number}")

    # Its life.

    def start(self) -> None:
        """Start with the last list that it heard, which may be old."""
        world = self.world
        self.alive, self.hung, self.life = True, False, self.life + 1
        self.taken: dict[int, Taken] = {}
        self.by_server: dict[str, list[tuple[float, float]]] = {}  # idle connections: closes at, process
        self.heard_at, self.heard_left = world.agenda.now, world.day.notes.heard_per_s
        self.held_back.clear()
        seed = self.dice.getrandbits(64)
        self.gateway = self.build.gateway(world.day, self.number, seed, world.agenda.now, world)
        if self.known:
            world.referee.servers_listed(self.name, self.known, True, world.agenda.now)
            self.gateway.roster(world.agenda.now, [self.build.server(one) for one in self.known], True)
        world.discovery.subscribe(self.name, self.listed)
        self.carry_out()

    def kill(self) -> None:
        """The process ends at once: its connections are reset."""
        world = self.world
        self.alive = False
        world.discovery.unsubscribe(self.name)
        world.referee.died(self.name, world.agenda.now)
        for taken in self.taken.values():
            for execution in taken.out.values():
                self._hang_up(execution)
            if not taken.answered:
                world.agenda.after(self.reach(), world.front.failed, taken.trying)
        for name, idle in self.by_server.items():
            server = world.servers.get(name)
            if server is not None:
                server.connections -= sum(process == server.started for _, process in idle)
        self.taken, self.gateway = {}, None

    def moved(self, ends: float) -> None:
        self.world.discovery.send_full_list(self.name)

    def restart(self, up: Callable[[], None]) -> None:
        self.start()
        self.world.agenda.after(READY_S, up)

    def retire(self, ended: Callable[[], None]) -> None:
        self._leave_soon(self.life, self.world.agenda.now, ended)

    def _leave_soon(self, life: int, told: float, ended: Callable[[], None]) -> None:
        """Once half a second has passed it ends when all is answered, or after what is left is finished."""
        now = self.world.agenda.now
        if life != self.life or not self.alive:
            return
        waits = any(not one.answered and not one.gone for one in self.taken.values())
        if now - told >= FINISH_S and waits:
            for taken in list(self.taken.values()):
                if taken.handle is not None and not taken.handle.closed:
                    self.gateway.finish(now, taken.handle, Refusal.LEAVE)
            self.carry_out()
        elif now - told >= LEAVE_S and not waits:
            self.kill()
            return ended()
        self.world.agenda.after(0.05, self._leave_soon, life, told, ended)

    def hang(self) -> None:
        self.hung = True
        self.world.referee.waive_answers(self.name)

    def resume(self) -> None:
        """What came meanwhile is done now."""
        self.hung = False
        self.world.referee.waive_answers(self.name)
        while self.held_back and self.alive:
            life, call, args = self.held_back.popleft()
            if life == self.life:
                call(*args)
        if self.alive:
            self.carry_out()

    def event(self, life: int, call: Callable[..., None], *args: Any) -> None:
        """Something comes to this life of the node; what it wants done follows at once."""
        if life != self.life or not self.alive:
            return
        if self.hung:
            self.held_back.append((life, call, args))
            return
        call(*args)
        self.carry_out()

    def reach(self) -> float:
        return self.dice.uniform(*self.world.day.network.client_s)

    def way(self, zone: int) -> float:
        """One-way time to another party."""
        network = self.world.day.network
        return self.dice.uniform(*(network.same_zone_s if zone == self.zone else network.cross_zone_s))

    # What comes.

    def submit(self, trying: Try) -> None:
        self.world.referee.taken(self.name, trying, self.world.agenda.now)
        self.event(self.life, self._take, trying)

    def _take(self, trying: Try) -> None:
        now, first = self.world.agenda.now, trying.first
        taken = self.taken[trying.id] = Taken(trying)
        customer = first.customer
        taken.handle = self.gateway.take(
            now,
            trying.id,
            first.lane.name,
            customer.key,
            customer.plan,
            trying.deadline - now,
            first.estimated_units,
            customer.spread,
        )

    def leave(self, trying: Try) -> None:
        self.event(self.life, self._left, trying)

    def _left(self, trying: Try) -> None:
        taken = self.taken.get(trying.id)
        if taken is None:
            return
        taken.gone = True
        if taken.handle is not None and not taken.answered:
            taken.handle.left(self.world.agenda.now)
        self._forget(taken)

    def listed(self, entries: list[Entry], whole: bool) -> None:
        self.event(self.life, self._listed, entries, whole)

    def _listed(self, entries: list[Entry], whole: bool) -> None:
        now = self.world.agenda.now
        known = {} if whole else {one[0]: one for one in self.known}
        known.update((one[0], one) for one in entries)
        self.known = [one for one in known.values() if one[1] != "gone"]
        self.world.referee.servers_listed(self.name, entries, whole, now)
        self.gateway.roster(now, [self.build.server(one) for one in entries], whole)

    def noted(self, peer: int, payload: bytes) -> None:
        self.event(self.life, self._noted, peer, payload)

    def copied(self, payload: bytes) -> None:
        """What others drew, by the cluster's copies."""
        self.event(self.life, self._copied, payload)

    def _copied(self, payload: bytes) -> None:
        self.gateway.noted(self.world.agenda.now, ALL_PEERS, payload)

    def _noted(self, peer: int, payload: bytes) -> None:
        now, most = self.world.agenda.now, self.world.day.notes.heard_per_s
        self.heard_left = min(most, self.heard_left + (now - self.heard_at) * most)
        self.heard_at = now
        if self.heard_left >= 1:
            self.heard_left -= 1
            self.gateway.noted(now, peer, payload)

    def _woken(self) -> None:
        self.gateway.wake(self.world.agenda.now)

    # What the decisions want done.

    def carry_out(self) -> None:
        """Sends first; what these bring about at once comes through the agenda."""
        world = self.world
        now, life, agenda = world.agenda.now, self.life, world.agenda
        results = self.gateway.take_results(now)
        if results.wake_after is not None:
            agenda.after(results.wake_after, self.event, life, self._woken)
        for number, server, time_out in results.sends:
            self._begin(number, server, time_out, now)
        for number, wait in results.bounced:
            self._answer(number, "bounced", wait)
        for number in results.given_up:
            self._answer(number, "given up", 0.0)
        for number, execution_number in results.withdrawn:
            taken = self.taken.get(number)
            execution = taken.out.get(execution_number) if taken is not None else None
            if execution is not None:
                self._hang_up(execution)
                self._end_after(0.0, execution, "withdrawn")
        for name, amount, keep in results.adds:
            self._add(name, amount, keep)
        for note in results.notes:
            world.spread(self, note)

    def _begin(self, number: int, server_name: str, time_out: float, now: float) -> None:
        world = self.world
        agenda, taken, server = world.agenda, self.taken.get(number), world.servers[server_name]
        if taken is None:
            # over already; one whose client has gone meanwhile is dropped here, as on sockets
            if world.referee.was_answered(number):
                world.referee.sent(self.name, Try(number, world.nobody, now, now), 0, server, now)
            return
        until = min(taken.trying.deadline, now + time_out) if time_out else taken.trying.deadline
        execution = Execution(taken, taken.sent, server, now, self.life)
        taken.sent += 1
        taken.out[execution.number] = execution
        world.referee.sent(self.name, taken.trying, execution.number, server, now)
        agenda.at(until, self.event, self.life, self._expired, execution)
        reached, way = not world.cut(self.zone, server.zone), self.way(server.zone)
        if self._idle(server, now):
            if reached:
                agenda.after(way, self._arrive, execution)
            execution.written = True
            return
        if not reached or server.state == "silent":
            self._end_after(world.day.fleet.connect_time_out_s, execution, "unreachable")
        elif server.state == "dead" or server.connections >= world.day.fleet.connections:
            self._end_after(2 * way, execution, "unreachable")
        else:
            server.connections += 1
            handshake = 2 * way + world.day.fleet.handshake_work_s / server.speed
            agenda.after(handshake + way, self._arrive, execution)

    def _idle(self, server: Server, now: float) -> bool:
        """Whether an idle connection to this process of the server can be used again: it is taken."""
        idle = self.by_server.get(server.name)
        while idle:
            closes, process = idle.pop()
            if process == server.started and server.state != "dead" and now < closes:
                return True
            if process == server.started and server.state != "dead":
                server.connections -= 1
        return False

    def _arrive(self, execution: Execution) -> None:
        """The last byte has come to the server."""
        if execution.over:
            return
        world, server = self.world, execution.server
        execution.written = True
        if server.state == "dead" or server.started != execution.process:
            self._back(execution, "broken" if server.state != "dead" else "unreachable")
            return
        world.referee.reached(execution.taken.trying, execution.number, server, world.agenda.now)
        first = execution.taken.trying.first
        execution.piece = Piece(
            first.lane,
            first.work,
            first.key,
            execution.taken.trying.id,
            lambda outcome, _: self._back(execution, outcome),
        )
        if world.reset_share and world.dice.random() < world.reset_share:
            self._back(execution, "broken")  # the connection breaks under it; the work goes on
            execution.piece.done = lambda outcome, _: None
        elif world.spoilt_share and world.dice.random() < world.spoilt_share:
            execution.piece.done = lambda outcome, _: self._back(execution, "broken")
        server.arrive(execution.piece)

    def _back(self, execution: Execution, outcome: str) -> None:
        """Its answer leaves the server."""
        world, server = self.world, execution.server
        if execution.over or world.cut(self.zone, server.zone):
            return
        report = server.report() if outcome in ("ok", "error") else None
        self._end_after(self.way(server.zone), execution, outcome, report)

    def _end_after(
        self, delay: float, execution: Execution, outcome: str, report: dict[str, float] | None = None
    ) -> None:
        self.world.agenda.after(delay, self.event, execution.life, self._ended, execution, outcome, report)

    def _expired(self, execution: Execution) -> None:
        if not execution.over:
            self._hang_up(execution)
            self._ended(execution, "timed_out" if execution.written else "unreachable")

    def _hang_up(self, execution: Execution) -> None:
        """Close its connection: what the server then does with the work is the day's to say."""
        server = execution.server
        if execution.piece is not None and not execution.over:
            self.world.agenda.after(self.way(server.zone), server.drop, execution.piece)
        self._close(execution)

    def _close(self, execution: Execution) -> None:
        server = execution.server
        if server.started == execution.process and server.state != "dead":
            server.connections = max(0, server.connections - 1)

    def _ended(self, execution: Execution, outcome: str, report: dict[str, float] | None = None) -> None:
        """The decisions are told; the first good answer is the submission's."""
        if execution.over:
            return
        execution.over = True
        world, taken = self.world, execution.taken
        now, trying = world.agenda.now, taken.trying
        taken.out.pop(execution.number, None)
        world.referee.ended(trying, execution.number, outcome, now)
        if outcome in ("ok", "error", "full"):
            idle = self.by_server.setdefault(execution.server.name, [])
            idle.append((now + 0.4 * world.day.fleet.idle_close_s, execution.process))
        elif outcome in ("broken", "unreachable") and execution.written:
            self._close(execution)
        actual = trying.first.units if outcome == "ok" else 0.0
        if outcome == "ok" and not taken.answered and not taken.gone:
            taken.answered = True
            world.referee.answered(self.name, trying, "delivered", now)
            world.agenda.after(self.reach(), world.front.served, trying)
        if taken.handle is not None:
            taken.handle.ended(
                now,
                execution.number,
                outcome,
                now - execution.began,
                taken.answered or taken.gone,
                actual,
                report,
            )
        self._forget(taken)

    def _answer(self, number: int, kind: str, wait: float) -> None:
        world, taken = self.world, self.taken.get(number)
        if taken is None:
            return world.referee.second_answer(number, kind, world.agenda.now)
        if taken.gone:
            return
        world.referee.answered(self.name, taken.trying, kind, world.agenda.now)
        if taken.answered:
            return
        taken.answered = True
        world.agenda.after(self.reach(), world.front.failed, taken.trying, wait)
        self._forget(taken)

    def _forget(self, taken: Taken) -> None:
        if not taken.out and (taken.gone or taken.answered):
            self.taken.pop(taken.trying.id, None)

    # The counter.

    def _add(self, name: int, amount: float, keep: float) -> None:
        """One call: exactly one outcome reaches the decisions."""
        world, life, began = self.world, self.life, self.world.agenda.now
        world.referee.counts["counter calls"] += 1
        over = [False]

        def told(outcome: str, total: float) -> None:
            if not over[0]:
                over[0] = True
                if outcome != "ok":
                    world.referee.counts["counter unanswered"] += 1
                self.gateway.counted(world.agenda.now, name, outcome, total, world.agenda.now - began)

        def answered(outcome: str, total: float) -> None:
            if not world.cut(self.zone, 0):
                world.agenda.after(self.way(0), self.event, life, told, outcome, total)

        if not world.cut(self.zone, 0):
            world.agenda.after(self.way(0), world.counter.call, self.number, name, amount, keep, answered)
        world.agenda.after(world.day.counter.time_out_s, self.event, life, told, "timed_out", 0.0)
