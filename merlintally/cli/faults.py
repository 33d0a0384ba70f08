"""`merlintally lab faults` and `lab schedules`: real processes and simulated protocol cores under
injected faults."""

from __future__ import annotations

import importlib
import tempfile
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
import msgspec

from merlintally.cli.front import print_result
from merlintally.forms import InputError, suggestion

BROKEN = 3  # exit code
FOLDER = click.Path(file_okay=False, path_type=Path)
# Core -> module that lists its injectable mistakes.
CORES = {
    "agreement": "cluster.agreement",
    "members": "cluster.members",
    "work": "cluster.work",
    "parts": "cluster.work.parts",
    "copies": "cluster.copies",
    "subsets": "subsets",
}
SCHEDULES_PER_TASK = 50
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def faults() -> None:
    """Run real node processes on loopback with injected faults and check their records."""


@faults.command("list")
@json_option
def list_them(as_json: bool) -> None:
    """List the scenarios shipped with the program."""
    from merlintally.lab.faults.scenario import read_scenario, shipped

    rows = [{"name": name, "about": read_scenario(name).about} for name in shipped()]
    print_result(rows, as_json, (f"{row['name']:14} {row['about']}" for row in rows))


@faults.command()
@click.argument("scenario")
@click.option("--processes", type=click.IntRange(1, 32), help="Number of nodes, instead of the scenario's.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the load and of random faults.")
@click.option("--for", "seconds", type=click.FloatRange(2, 3600), help="Duration of the load, seconds.")
@click.option("--keep", type=FOLDER, help="Keep records and logs in this folder, which must not exist.")
@json_option
def play(
    scenario: str, processes: int | None, seed: int, seconds: float | None, keep: Path | None, as_json: bool
) -> int:
    """Run SCENARIO, a name or a TOML file; exit code 3 if a guarantee was violated, 1 if work was not
    finished."""
    from merlintally.lab.faults.play import interrupted
    from merlintally.lab.faults.play import play as play_it
    from merlintally.lab.faults.scenario import read_scenario

    config = read_scenario(scenario)
    if processes is not None:
        config = msgspec.structs.replace(config, processes=processes, servers=processes)
        if errors := config.faults():
            raise InputError([f"--processes: {key}: {text}" for key, text in errors])
    if seconds is not None:
        config = msgspec.structs.replace(config, seconds=seconds)
    interrupted()
    if keep is not None:
        result = play_it(config, seed, keep)
    else:
        with tempfile.TemporaryDirectory(prefix="merlintally-") as folder:
            result = play_it(config, seed, Path(folder))
    print_result(result, as_json, lines_of(result))
    return BROKEN if result["broken"] else 0 if result["finished"] else 1


@faults.command("check")
@click.argument("folder", type=FOLDER)
@json_option
def check_it(folder: Path, as_json: bool) -> int:
    """Check the records in FOLDER (*.jsonl); exit code 3 if a guarantee was violated."""
    from merlintally.lab.faults.check import check

    result = check(folder)
    print_result(result, as_json, lines_of(result))
    return BROKEN if result["broken"] else 0


def lines_of(result: dict[str, Any]) -> list[str]:
    """Return the result of a run or a check as text."""
    lines = []
    if "scenario" in result:
        injected = ", ".join(f"{count} {kind}" for kind, count in sorted(result["faults"].items()))
        lines.append(
            f"{result['scenario']}, {result['processes']} processes, seed {result['seed']}: "
            f"faults {injected or 'none'}"
        )
        lines += [f"not finished: {entry}" for entry in result["unfinished"]]
        lines += [
            f"{name}: {measured:g} s of {stated:g} s stated"
            for name, (measured, stated) in result["worst"].items()
        ]
    submissions = result["submissions"]
    lines.append(
        f"{submissions['taken']} submissions accepted, {submissions['answered']} answered, "
        f"{submissions['twice']} executed twice; "
        f"{result['turns']} turns, {result['leaders']} leader elections, {result['rows']} lines of records"
    )
    for breach in result["broken"]:
        lines += [f"broken: {breach['promise']}", *(f"    {line}" for line in breach["lines"] if line)]
    return [*lines, "no guarantee violated" if not result["broken"] else f"{len(result['broken'])} violated"]


def play_function(core: str) -> Callable[..., Any]:
    """Return the function that runs one schedule of a core."""
    function: Callable[..., Any] = importlib.import_module(f"merlintally.lab.schedules.{core}").play
    return function


def mistakes_of(core: str) -> tuple[str, ...]:
    """Return the names of the mistakes that can be injected into a core."""
    mistakes: tuple[str, ...] = importlib.import_module(f"merlintally.{CORES[core]}").INJECTED_FAULTS
    return mistakes


def run_schedules(
    core: str, first: int, count: int, mistake: str
) -> tuple[Counter[str], list[tuple[int, list[str]]]]:
    """Run schedules one after another. Returns the summed counts and, by seed, the violations found.

    With a mistake injected it stops at the first violation.
    """
    counts, broken = Counter[str](), []
    play_one = play_function(core)
    for seed in range(first, first + count):
        verdict = play_one(seed, (mistake,) if mistake else ())
        counts.update(verdict.counts)
        if verdict.broken:
            broken.append((seed, verdict.broken))
            if mistake:
                break
    return counts, broken


@click.command()
@click.argument("core", type=click.Choice(list(CORES)))
@click.option(
    "--count", type=click.IntRange(1, 10_000_000), default=500, show_default=True, help="Number of schedules."
)
@click.option(
    "--first", type=click.IntRange(0), default=0, show_default=True, help="Seed of the first schedule."
)
@click.option(
    "--processes",
    type=click.IntRange(1, 256),
    default=4,
    show_default=True,
    help="Number of parallel processes.",
)
@click.option("--mistake", help="Inject this mistake into the core; it should be found.")
@click.option(
    "--all-mistakes", is_flag=True, help="Inject each mistake in turn, until it is found or COUNT is reached."
)
@json_option
def schedules(
    core: str, count: int, first: int, processes: int, mistake: str | None, all_mistakes: bool, as_json: bool
) -> int:
    """Run CORE (agreement, members, work, parts, copies or subsets) in simulated time under seeded faults.

    Exit code 3 if a guarantee was violated."""
    known = mistakes_of(core)
    if mistake is not None and mistake not in known:
        raise InputError(
            [f"--mistake: there is no {mistake!r}{suggestion(mistake, list(known))}: {', '.join(known)}"]
        )
    with ProcessPoolExecutor(processes) as pool:
        if all_mistakes:
            attempts = [(name, pool.submit(run_schedules, core, first, count, name)) for name in known]
            rows = [
                {
                    "mistake": name,
                    "found_after": future.result()[1][0][0] - first + 1 if future.result()[1] else None,
                    "line": future.result()[1][0][1][0] if future.result()[1] else "",
                }
                for name, future in attempts
            ]
            print_result(
                rows,
                as_json,
                (f"{row['mistake']:44} {row['found_after'] or 'not found'}  {row['line']}" for row in rows),
            )
            return 0 if all(row["found_after"] for row in rows) else 1
        counts, broken = Counter[str](), list[tuple[int, list[str]]]()
        futures = [
            pool.submit(
                run_schedules, core, start, min(SCHEDULES_PER_TASK, first + count - start), mistake or ""
            )
            for start in range(first, first + count, SCHEDULES_PER_TASK)
        ]
        for part in futures:
            task_counts, task_broken = part.result()
            counts.update(task_counts)
            broken += task_broken
    print_result(
        {"core": core, "schedules": count, "first": first, "counts": counts, "broken": broken},
        as_json,
        [
            f"{count} schedules of {core} from seed {first}: "
            + ", ".join(f"{value} {name}" for name, value in sorted(counts.items())),
            *(f"seed {seed}: {line}" for seed, lines in broken[:20] for line in lines),
            f"{len(broken)} with a violated guarantee",
        ],
    )
    return BROKEN if broken else 0
