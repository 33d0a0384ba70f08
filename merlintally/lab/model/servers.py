"""App servers: places, a waiting room, cold starts, falling over, stamps. Free of I/O."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Literal

from merlintally.lab.model.agenda import Agenda
from merlintally.lab.model.days import Day, LaneForm

State = Literal["up", "dead", "silent"]


class Piece:
    """One execution at a server, of the try numbered `number`. `done` is called once, with the outcome,
    unless the server falls silent."""

    __slots__ = ("lane", "work", "key", "number", "done", "phase", "repeat")

    def __init__(
        self, lane: LaneForm, work: float, key: str, number: int, done: Callable[[str, Piece], None]
    ) -> None:
        self.lane, self.work, self.key, self.number, self.done = lane, work, key, number, done
        self.phase = "on the way"  # then waiting, running, over, dropped
        self.repeat = False


class Stamps:
    """Which stamped work has run where: servers of one group drop a repeat while they remember it."""

    def __init__(self) -> None:
        self.begun: dict[tuple[str, str], float] = {}  # (group, key) -> first begun
        self.ended: dict[tuple[str, str], float] = {}  # (group, key) -> first ended well
        self.effects: dict[int, int] = {}  # of tries that may not run again: how often each took effect

    @staticmethod
    def group(lane: LaneForm, server: Server) -> str:
        return {"all": "", "zone": f"z{server.zone}", "cell": f"c{server.cell}"}[lane.group]

    def begin(self, now: float, piece: Piece, server: Server) -> bool:
        """Whether it is a repeat that ended well and is remembered; else it takes effect, once a group."""
        at = (self.group(piece.lane, server), piece.key)
        if now - self.ended.get(at, -1e9) < piece.lane.remembered_s:
            return True
        if now - self.begun.get(at, -1e9) >= piece.lane.remembered_s:
            self.begun[at] = now
            self.effects[piece.number] = self.effects.get(piece.number, 0) + 1
        return False

    def end(self, now: float, piece: Piece, server: Server) -> None:
        self.ended.setdefault((self.group(piece.lane, server), piece.key), now)


class Server:
    """One app server. Work that waits is begun in its order; a place is one piece at work."""

    def __init__(
        self,
        name: str,
        day: Day,
        zone: int,
        cell: int,
        speed: float,
        started: float,
        agenda: Agenda,
        dice: random.Random,
        stamps: Stamps,
    ) -> None:
        fleet = day.fleet
        self.name, self.day, self.zone, self.cell, self.speed = name, day, zone, cell, speed
        self.agenda, self.dice, self.stamps = agenda, dice, stamps
        self.places, self.room = fleet.cores * fleet.places_per_core, fleet.cores * fleet.waiting_per_core
        self.state: State = "up"
        self.slow = 1.0  # factor of a trouble
        self.errors, self.late, self.connections = fleet.errors, 0.0, 0
        self.fell = False
        self.watch: Callable[[str], None] | None = None  # told when the process starts and ends
        self.start(started)

    def start(self, started: float) -> None:
        """A new process; `started` is 0 where it has run for long."""
        self.started, self.state = started, "up"
        self.waiting: deque[Piece] = deque()
        self.running: dict[Piece, None] = {}
        self.arrived: deque[tuple[float, float]] = deque()  # while cold: when, work
        self.lately = 0.0  # the work in `arrived`
        self.connections = 0
        self.last_report: tuple[float, dict[str, float]] = (-1e9, {})
        if self.watch is not None:
            self.watch("start")

    def warmth(self, now: float) -> float:
        """The part of its ability that it has by now."""
        rules, age = self.day.rules, now - self.started
        if self.started <= 0 or age >= rules.warm_s:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * age / rules.warm_s

    def work_limit(self, now: float) -> float:
        """Core seconds that a cold server can be sent within the stated window before it falls over: the
        stated multiple of its ability, and two mean pieces, as work comes in lumps that nobody foresees."""
        rules, lanes = self.day.rules, self.day.lane
        ability = self.day.fleet.cores * self.speed * self.warmth(now)
        lumps = 2 * sum(one.share * sum(one.work_s) / 2 for one in lanes) / sum(one.share for one in lanes)
        return rules.tip_multiple * ability * rules.tip_window_s + lumps

    @property
    def held(self) -> int:
        return len(self.running) + len(self.waiting)

    def arrive(self, piece: Piece) -> None:
        """A piece has come whole."""
        now = self.agenda.now
        if piece.phase == "dropped" or self.state == "silent":
            return
        if self.state == "dead" or len(self.waiting) >= self.room:
            piece.phase = "over"
            piece.done("full" if self.state != "dead" else "unreachable", piece)
            return
        if self.started > 0 and now - self.started < self.day.rules.warm_s:
            self._weigh(now, piece.work)
            if self.fell:
                piece.phase = "over"
                piece.done("broken", piece)
                return
        piece.phase = "waiting"
        self.waiting.append(piece)
        if len(self.running) < self.places:
            self._begin(now)

    def _weigh(self, now: float, work: float) -> None:
        """A cold server that is sent more than the stated multiple of its ability falls over, for good."""
        self.arrived.append((now, work))
        self.lately += work
        while self.arrived[0][0] < now - self.day.rules.tip_window_s:
            self.lately -= self.arrived.popleft()[1]
        if self.lately > self.work_limit(now):
            self.fell = True
            self.die()

    def _begin(self, now: float) -> None:
        while self.waiting and len(self.running) < self.places:
            piece = self.waiting.popleft()
            if piece.phase == "dropped":
                continue
            piece.phase = "running"
            self.running[piece] = None
            if piece.lane.effect == "stamped":
                piece.repeat = self.stamps.begin(now, piece, self)
            elif piece.lane.effect == "one-shot":
                self.stamps.effects[piece.number] = self.stamps.effects.get(piece.number, 0) + 1
            self.agenda.after(self._takes(now, piece), self._finish, piece)

    def _takes(self, now: float, piece: Piece) -> float:
        """Seconds for a piece, by how many share the cores as it begins."""
        if piece.repeat:
            return 0.002
        fleet = self.day.fleet
        crowd = max(1.0, len(self.running) / fleet.cores)
        thrash = 1 + fleet.thrash * len(self.running) / self.places
        return piece.work * crowd * thrash * self.slow / (self.speed * self.warmth(now)) + self.late

    def _finish(self, piece: Piece) -> None:
        if self.running.pop(piece, piece) is piece or piece.phase != "running":
            return  # the process has died, or the piece was stopped
        piece.phase = "over"
        now = self.agenda.now
        fails = self.dice.random() < self.errors
        if piece.lane.effect == "stamped" and not fails:
            self.stamps.end(now, piece, self)
        if self.state != "silent":
            piece.done("error" if fails else "ok", piece)
        if self.waiting:
            self._begin(now)

    def drop(self, piece: Piece) -> None:
        """An execution is called off: what that stops is the day's to say."""
        cancel = self.day.fleet.cancel
        if piece.phase == "on the way" or (piece.phase == "waiting" and cancel != "none"):
            piece.phase = "dropped"
        elif piece.phase == "running" and cancel == "all":
            piece.phase = "dropped"
            self.running.pop(piece, None)
            self._begin(self.agenda.now)

    def die(self) -> None:
        """The process ends: what it held is reset."""
        self.state = "dead"
        lost, self.running, self.waiting = [*self.running, *self.waiting], {}, deque()
        self.connections = 0
        if self.watch is not None:
            self.watch("die")
        for piece in lost:
            if piece.phase != "dropped":
                piece.phase = "over"
                piece.done("broken", piece)

    def report(self) -> dict[str, float] | None:
        """What an answer tells of its load: refreshed now and then, so late, and a little noisy."""
        fleet, now = self.day.fleet, self.agenda.now
        if not fleet.report:
            return None
        if now - self.last_report[0] > fleet.report_late_s:
            noise = max(0.0, 1 + self.dice.gauss(0, fleet.report_noise))
            self.last_report = (
                now,
                {
                    "waiting": round(len(self.waiting) * noise),
                    "held": round(self.held * noise),
                    "busy": min(1.0, len(self.running) / fleet.cores * noise),
                },
            )
        return self.last_report[1]
