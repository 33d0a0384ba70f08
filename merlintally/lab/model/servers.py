"""Model of app servers: worker slots, a queue, cold starts, overload, deduplication by stamp. Free of I/O."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Literal

from merlintally.lab.model.agenda import Agenda
from merlintally.lab.model.days import Day, LaneForm

State = Literal["up", "dead", "silent"]


class Piece:
    """One execution at a server, of the try numbered `number`.

    `done` is called once with the outcome, or never if the server becomes silent. `work` is in core seconds.
    """

    __slots__ = ("lane", "work", "key", "number", "done", "phase", "repeat")

    def __init__(
        self, lane: LaneForm, work: float, key: str, number: int, done: Callable[[str, Piece], None]
    ) -> None:
        self.lane, self.work, self.key, self.number, self.done = lane, work, key, number, done
        self.phase = "on the way"  # later waiting, running, over or dropped
        self.repeat = False


class Stamps:
    """Stamped work by group of servers: a group drops a repeat while it remembers the stamp."""

    def __init__(self) -> None:
        self.started_at: dict[tuple[str, str], float] = {}  # (group, key) -> first start
        self.completed_at: dict[tuple[str, str], float] = {}  # (group, key) -> first success
        self.effects: dict[int, int] = {}  # try -> times that it took effect; not for harmless ones

    @staticmethod
    def group(lane: LaneForm, server: Server) -> str:
        """The group of servers that share stamps of a lane."""
        return {"all": "", "zone": f"z{server.zone}", "cell": f"c{server.cell}"}[lane.group]

    def begin(self, now: float, piece: Piece, server: Server) -> bool:
        """Whether it is a remembered repeat of a success; otherwise it takes effect, once per group."""
        stamp = (self.group(piece.lane, server), piece.key)
        if now - self.completed_at.get(stamp, -1e9) < piece.lane.remembered_s:
            return True
        if now - self.started_at.get(stamp, -1e9) >= piece.lane.remembered_s:
            self.started_at[stamp] = now
            self.effects[piece.number] = self.effects.get(piece.number, 0) + 1
        return False

    def end(self, now: float, piece: Piece, server: Server) -> None:
        """A piece has succeeded."""
        self.completed_at.setdefault((self.group(piece.lane, server), piece.key), now)


class Server:
    """One app server: a FIFO queue in front of worker slots, each of which runs one piece."""

    def __init__(
        self,
        name: str,
        day: Day,
        zone: int,
        cell: int,
        speed: float,
        started: float,
        agenda: Agenda,
        rng: random.Random,
        stamps: Stamps,
    ) -> None:
        fleet = day.fleet
        self.name, self.day, self.zone, self.cell, self.speed = name, day, zone, cell, speed
        self.agenda, self.rng, self.stamps = agenda, rng, stamps
        self.slots, self.queue_limit = (
            fleet.cores * fleet.places_per_core,
            fleet.cores * fleet.waiting_per_core,
        )
        self.state: State = "up"
        self.slow = 1.0  # factor on the time of a piece
        # `errors`: share of pieces that fail; `extra_time_s` is added to the time of each piece.
        self.errors, self.extra_time_s, self.connections = fleet.errors, 0.0, 0
        self.failed_for_good = False  # does not come back
        self.on_process_change: Callable[[str], None] | None = None  # called with "start" and "die"
        self.start(started)

    def start(self, started: float) -> None:
        """Start a new process; `started` is 0 for one that is warm from the beginning."""
        self.started, self.state = started, "up"
        self.waiting: deque[Piece] = deque()
        self.running: dict[Piece, None] = {}
        self.recent_arrivals: deque[tuple[float, float]] = deque()  # while cold: time, work
        self.recent_work = 0.0  # sum of the work in `recent_arrivals`, core seconds
        self.connections = 0
        self.last_report: tuple[float, dict[str, float]] = (-1e9, {})
        if self.on_process_change is not None:
            self.on_process_change("start")

    def warmth(self, now: float) -> float:
        """Current share of its full speed, which rises linearly while it warms up."""
        rules, age = self.day.rules, now - self.started
        if self.started <= 0 or age >= rules.warm_s:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * age / rules.warm_s

    def work_limit(self, now: float) -> float:
        """Core seconds that a cold server accepts within `tip_window_s` without failing: `tip_multiple` times
        its capacity, plus two mean pieces, since arrivals are uneven."""
        rules, lanes = self.day.rules, self.day.lane
        capacity = self.day.fleet.cores * self.speed * self.warmth(now)
        allowance = (
            2 * sum(one.share * sum(one.work_s) / 2 for one in lanes) / sum(one.share for one in lanes)
        )
        return rules.tip_multiple * capacity * rules.tip_window_s + allowance

    @property
    def held(self) -> int:
        """Pieces running or queued."""
        return len(self.running) + len(self.waiting)

    def arrive(self, piece: Piece) -> None:
        """Receive a whole request."""
        now = self.agenda.now
        if piece.phase == "dropped" or self.state == "silent":
            return
        if self.state == "dead" or len(self.waiting) >= self.queue_limit:
            piece.phase = "over"
            piece.done("full" if self.state != "dead" else "unreachable", piece)
            return
        if self.started > 0 and now - self.started < self.day.rules.warm_s:
            self._add_cold_work(now, piece.work)
            if self.failed_for_good:
                piece.phase = "over"
                piece.done("broken", piece)
                return
        piece.phase = "waiting"
        self.waiting.append(piece)
        if len(self.running) < self.slots:
            self._start_queued(now)

    def _add_cold_work(self, now: float, work: float) -> None:
        """Count work sent to a cold server; above `work_limit` it fails and does not come back."""
        self.recent_arrivals.append((now, work))
        self.recent_work += work
        while self.recent_arrivals[0][0] < now - self.day.rules.tip_window_s:
            self.recent_work -= self.recent_arrivals.popleft()[1]
        if self.recent_work > self.work_limit(now):
            self.failed_for_good = True
            self.die()

    def _start_queued(self, now: float) -> None:
        while self.waiting and len(self.running) < self.slots:
            piece = self.waiting.popleft()
            if piece.phase == "dropped":
                continue
            piece.phase = "running"
            self.running[piece] = None
            if piece.lane.effect == "stamped":
                piece.repeat = self.stamps.begin(now, piece, self)
            elif piece.lane.effect == "one-shot":
                self.stamps.effects[piece.number] = self.stamps.effects.get(piece.number, 0) + 1
            self.agenda.after(self._duration(now, piece), self._finish, piece)

    def _duration(self, now: float, piece: Piece) -> float:
        """Seconds that a piece takes, by the number of pieces that share the cores as it starts."""
        if piece.repeat:
            return 0.002
        fleet = self.day.fleet
        overcommit = max(1.0, len(self.running) / fleet.cores)
        thrash = 1 + fleet.thrash * len(self.running) / self.slots
        return (
            piece.work * overcommit * thrash * self.slow / (self.speed * self.warmth(now)) + self.extra_time_s
        )

    def _finish(self, piece: Piece) -> None:
        if self.running.pop(piece, piece) is piece or piece.phase != "running":
            return  # the process has died, or the piece was cancelled
        piece.phase = "over"
        now = self.agenda.now
        fails = self.rng.random() < self.errors
        if piece.lane.effect == "stamped" and not fails:
            self.stamps.end(now, piece, self)
        if self.state != "silent":
            piece.done("error" if fails else "ok", piece)
        if self.waiting:
            self._start_queued(now)

    def drop(self, piece: Piece) -> None:
        """Cancel an execution. The day's `fleet.cancel` says whether queued or running pieces are stopped."""
        cancel = self.day.fleet.cancel
        if piece.phase == "on the way" or (piece.phase == "waiting" and cancel != "none"):
            piece.phase = "dropped"
        elif piece.phase == "running" and cancel == "all":
            piece.phase = "dropped"
            self.running.pop(piece, None)
            self._start_queued(self.agenda.now)

    def die(self) -> None:
        """The process dies: connections are reset and all its pieces break."""
        self.state = "dead"
        lost, self.running, self.waiting = [*self.running, *self.waiting], {}, deque()
        self.connections = 0
        if self.on_process_change is not None:
            self.on_process_change("die")
        for piece in lost:
            if piece.phase != "dropped":
                piece.phase = "over"
                piece.done("broken", piece)

    def report(self) -> dict[str, float] | None:
        """The load report of an answer, with noise, up to `report_late_s` old; None if reports are off."""
        fleet, now = self.day.fleet, self.agenda.now
        if not fleet.report:
            return None
        if now - self.last_report[0] > fleet.report_late_s:
            noise = max(0.0, 1 + self.rng.gauss(0, fleet.report_noise))
            self.last_report = (
                now,
                {
                    "waiting": round(len(self.waiting) * noise),
                    "held": round(self.held * noise),
                    "busy": min(1.0, len(self.running) / fleet.cores * noise),
                },
            )
        return self.last_report[1]
