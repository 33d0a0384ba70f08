"""Plays a day in simulated time, and gives what came of it."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from pathlib import Path

from merlintally.lab.builds.base import Build
from merlintally.lab.builds.loading import build
from merlintally.lab.model.days import Day
from merlintally.lab.model.record import Record
from merlintally.lab.play.nodes import SimNode
from merlintally.lab.play.timeline import open_day
from merlintally.lab.play.world import World
from merlintally.lab.tell.figures import customers, figures, series
from merlintally.lab.tell.results import RESULT_VERSION, Result

STEP_S = 0.5  # simulated seconds between looks at the progress


def latest(day: Day) -> float:
    """Seconds after the start by which all that was asked is over, with further tries."""
    longest = max(one.hard_limit_s for one in day.lane)
    return day.length_s + longest * (1 + day.clients.retries) + 3.0


def simulated(day: Day, seed: int, build: Build, record: Record) -> World:
    """A world with simulated edge nodes of one build."""
    world = World(day, seed, record)
    world.nodes.extend(SimNode(world, number, build) for number in range(day.fleet.gateways))
    return world


def drive(world: World, progress: Callable[[float], None] | None = None) -> None:
    """Run a simulated day to its end: nodes start, clients come, and all that was asked is answered."""
    for node in world.nodes:
        node.start()  # type: ignore[attr-defined]
    world.agenda.run(world.started)
    open_day(world)
    ends = world.started + latest(world.day)
    while world.agenda.now < ends:
        world.agenda.run(min(ends, world.agenda.now + STEP_S))
        if progress is not None:
            progress(min(1.0, (world.agenda.now - world.started) / (ends - world.started)))
        if world.agenda.now >= world.started + world.day.length_s and not world.referee.open:
            break
    world.close()


def play(
    day: Day,
    seed: int,
    build_name: str = "here",
    record: Path | None = None,
    whole: bool = True,
    progress: Callable[[float], None] | None = None,
) -> Result:
    """Play one day with one build; `whole` keeps what plots need. Same arguments, same record."""
    made = build(build_name)
    began = time.perf_counter()
    world = simulated(day, seed, made, Record(record))
    drive(world, progress)
    return result_of(world, made, time.perf_counter() - began, whole)


def result_of(world: World, made: Build, wall: float, whole: bool, timing: str = "simulated") -> Result:
    """What came of a day that is over; its record is closed."""
    referee, day = world.referee, world.day
    digest = referee.record.close()
    return Result(
        version=RESULT_VERSION,
        day=day.name,
        seed=world.seed,
        gateways=day.fleet.gateways,
        servers=day.fleet.servers,
        build=made.name,
        build_digest=made.digest,
        figures={key: round(value, 6) for key, value in figures(referee).items()},
        broken={str(rule): count for rule, count in sorted(referee.broken.items())},
        breaches=[str(one) for one in referee.breaches],
        record_digest=digest,
        record_lines=referee.record.lines,
        wall_s=round(wall, 3),
        peak_mb=round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
        notices=world.notices,
        length_s=day.length_s,
        at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        timing=timing,
        series=series(referee) if whole else {},
        customers=customers(referee) if whole else [],
        out=[(round(at, 3), held) for at, held in referee.out_samples] if whole else [],
        troubles=[(one.kind, one.at_s, one.lasts_s) for one in day.trouble],
    )
