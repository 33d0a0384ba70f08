"""Experiments: builds x days x seeds x sizes over several processes. What is in the results file already is
not played again, so a run that was cut off goes on where it was."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from merlintally.forms import InputError
from merlintally.lab.builds.loading import build
from merlintally.lab.model.days import Day, read_day
from merlintally.lab.play.simulation import play
from merlintally.lab.tell.results import Key, Result, ResultsFile, key_of

HANGS_S = 1800.0  # without any day's end, after which a run is given up: a build may hang


class Wanted(msgspec.Struct, frozen=True):
    """One day to play."""

    day: str
    seed: int
    gateways: int | None  # None: as the day has it
    build: str
    length_s: float | None = None
    whole: bool = False

    def made(self) -> Day:
        return read_day(self.day).at_size(self.gateways, self.length_s)


def wanted(
    days: tuple[str, ...],
    builds: tuple[str, ...],
    seeds: tuple[int, ...],
    sizes: tuple[int, ...],
    length_s: float | None,
    whole: bool,
) -> Iterator[Wanted]:
    """All that is to be played: the builds of one day and seed stand together."""
    for day in days:
        for size in sizes or (None,):
            for seed in seeds:
                for name in builds:
                    yield Wanted(day, seed, size, name, length_s, whole)


def one(task: Wanted) -> Result:
    """Play it, in a process of its own."""
    return play(task.made(), task.seed, task.build, whole=task.whole)


def key(task: Wanted, digests: dict[str, str]) -> Key:
    day = task.made()
    return day.name, task.seed, day.fleet.gateways, task.build, digests[task.build]


def run(
    tasks: list[Wanted],
    path: Path,
    processes: int,
    ended: Callable[[Result | None, int], None] | None = None,
    hangs_s: float = HANGS_S,
) -> list[Result]:
    """Play what the file does not hold yet; gives all results that were asked for, in their order.

    `ended` is called with each result, or None, and the count done. InputError if no day ends for `hangs_s`.
    """
    file = ResultsFile(path)
    digests = {name: build(name).digest for name in {task.build for task in tasks}}
    keys = [key(task, digests) for task in tasks]
    found = {key_of(result): result for result in file.read()}
    todo = [task for task, each in zip(tasks, keys, strict=True) if each not in found]
    done = len(tasks) - len(todo)
    if ended is not None:
        ended(None, done)
    if todo:
        # spawned, not forked: nothing of this process is to leak into a day
        with multiprocessing.get_context("spawn").Pool(
            min(processes, len(todo)), maxtasksperchild=20
        ) as pool:
            playing = pool.imap_unordered(one, todo)
            for _ in todo:
                try:
                    result = playing.next(hangs_s)
                except multiprocessing.TimeoutError:
                    pool.terminate()
                    raise InputError(
                        [f"no day has ended for {hangs_s:g} s: what is done is in {path}"]
                    ) from None
                file.append([result])
                found[key_of(result)] = result
                done += 1
                if ended is not None:
                    ended(result, done)
    return [found[each] for each in keys]
