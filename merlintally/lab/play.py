"""Plays a day in simulated time, and gives what came of it."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from merlintally.lab.builds import Build, build
from merlintally.lab.days import Day
from merlintally.lab.figures import customers, figures, series
from merlintally.lab.record import Record
from merlintally.lab.world import World, simulated

STEP_S = 0.5  # simulated seconds between looks at the progress
RESULT_VERSION = 1


class Result(msgspec.Struct, frozen=True):
    """What came of a day: one line of a results file (docs/laboratory.md has the format)."""

    version: int
    day: str
    seed: int
    gateways: int
    servers: int
    build: str
    build_digest: str
    figures: dict[str, float]
    broken: dict[str, int]  # rule -> how often
    breaches: list[str]
    record_digest: str
    record_lines: int
    wall_s: float
    peak_mb: float
    notices: list[str]
    length_s: float
    at: str = ""  # when it was played, UTC
    timing: str = "simulated"  # or "real", on sockets
    series: dict[str, list[float]] = {}
    customers: list[dict[str, Any]] = []
    out: list[tuple[float, dict[str, int]]] = []
    troubles: list[tuple[str, float, float]] = []


def latest(day: Day) -> float:
    """Seconds after the start by which all that was asked is over, with further tries."""
    longest = max(one.hard_limit_s for one in day.lane)
    return day.length_s + longest * (1 + day.clients.retries) + 3.0


def drive(world: World, progress: Callable[[float], None] | None = None) -> None:
    """Run a simulated day to its end: nodes start, clients come, and all that was asked is answered."""
    for node in world.nodes:
        node.start()  # type: ignore[attr-defined]
    world.agenda.run(world.started)
    world.open()
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
