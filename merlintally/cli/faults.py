"""`merlintally lab faults` and `lab schedules`: many processes, and many schedules of the cores, under
faults."""

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

from merlintally.cli.front import told
from merlintally.forms import Faults, nearest

BROKEN = 3  # exit code
FOLDER = click.Path(file_okay=False, path_type=Path)
CORES = {  # and where their planted mistakes are named
    "agreement": "cluster.agreement",
    "members": "cluster.members",
    "work": "cluster.work",
    "parts": "cluster.work.parts",
    "copies": "cluster.copies",
    "subsets": "subsets",
}
CHUNK = 50  # schedules a process takes at once
json_option = click.option("--json", "as_json", is_flag=True, help="Print for machines.")


@click.group()
def faults() -> None:
    """Real node processes on loopback with faults between them, judged from what they recorded."""


@faults.command("list")
@json_option
def list_them(as_json: bool) -> None:
    """List the scenarios that come with the program."""
    from merlintally.lab.faults.scenario import read_scenario, shipped

    rows = [{"name": name, "about": read_scenario(name).about} for name in shipped()]
    told(rows, as_json, (f"{row['name']:14} {row['about']}" for row in rows))


@faults.command()
@click.argument("scenario")
@click.option("--processes", type=click.IntRange(1, 32), help="Another number of nodes.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the load and of drawn faults.")
@click.option("--for", "seconds", type=click.FloatRange(2, 3600), help="Length of the load, seconds.")
@click.option("--keep", type=FOLDER, help="Keep records and logs in this new folder.")
@json_option
def play(
    scenario: str, processes: int | None, seed: int, seconds: float | None, keep: Path | None, as_json: bool
) -> int:
    """Play SCENARIO, a name or a TOML file; exit code 3 where a promise was broken, 1 where work was not
    finished."""
    from merlintally.lab.faults.play import interrupted
    from merlintally.lab.faults.play import play as play_it
    from merlintally.lab.faults.scenario import read_scenario

    form = read_scenario(scenario)
    if processes is not None:
        form = msgspec.structs.replace(form, processes=processes, servers=processes)
        if wrong := form.faults():
            raise Faults([f"--processes: {key}: {text}" for key, text in wrong])
    if seconds is not None:
        form = msgspec.structs.replace(form, seconds=seconds)
    interrupted()
    if keep is not None:
        found = play_it(form, seed, keep)
    else:
        with tempfile.TemporaryDirectory(prefix="merlintally-") as folder:
            found = play_it(form, seed, Path(folder))
    told(found, as_json, lines_of(found))
    return BROKEN if found["broken"] else 0 if found["finished"] else 1


@faults.command("check")
@click.argument("folder", type=FOLDER)
@json_option
def check_it(folder: Path, as_json: bool) -> int:
    """Judge the records in FOLDER (*.jsonl); exit code 3 where a promise was broken."""
    from merlintally.lab.faults.check import check

    found = check(folder)
    told(found, as_json, lines_of(found))
    return BROKEN if found["broken"] else 0


def lines_of(found: dict[str, Any]) -> list[str]:
    """What came of a play or a check, for a person."""
    lines = []
    if "scenario" in found:
        caused = ", ".join(f"{count} {kind}" for kind, count in sorted(found["faults"].items()))
        lines.append(
            f"{found['scenario']}, {found['processes']} processes, seed {found['seed']}: "
            f"faults {caused or 'none'}"
        )
        lines += [f"not finished: {one}" for one in found["unfinished"]]
        lines += [
            f"{name}: {measured:g} s of {stated:g} s stated"
            for name, (measured, stated) in found["worst"].items()
        ]
    rows = found["submissions"]
    lines.append(
        f"{rows['taken']} submissions taken, {rows['answered']} answered, {rows['twice']} twice; "
        f"{found['turns']} turns, {found['leaders']} times a leader, {found['rows']} lines of records"
    )
    for one in found["broken"]:
        lines += [f"broken: {one['promise']}", *(f"    {line}" for line in one["lines"] if line)]
    return [*lines, "no promise broken" if not found["broken"] else f"{len(found['broken'])} broken"]


def player(core: str) -> Callable[..., Any]:
    found: Callable[..., Any] = importlib.import_module(f"merlintally.lab.schedules.{core}").play
    return found


def mistakes_of(core: str) -> tuple[str, ...]:
    found: tuple[str, ...] = importlib.import_module(f"merlintally.{CORES[core]}").INJECTED_FAULTS
    return found


def some(core: str, first: int, count: int, mistake: str) -> tuple[Counter[str], list[tuple[int, list[str]]]]:
    """Play schedules one after another; gives counts and those that broke something."""
    counts, broken = Counter[str](), []
    one = player(core)
    for seed in range(first, first + count):
        verdict = one(seed, (mistake,) if mistake else ())
        counts.update(verdict.counts)
        if verdict.broken:
            broken.append((seed, verdict.broken))
            if mistake:
                break
    return counts, broken


@click.command()
@click.argument("core", type=click.Choice(list(CORES)))
@click.option("--count", type=click.IntRange(1, 10_000_000), default=500, show_default=True, help="How many.")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="Seed of the first.")
@click.option("--processes", type=click.IntRange(1, 256), default=4, show_default=True, help="Side by side.")
@click.option("--mistake", help="Plant this mistake in the core; it should be found.")
@click.option(
    "--all-mistakes", is_flag=True, help="Plant each in turn, until it is found or COUNT is reached."
)
@json_option
def schedules(
    core: str, count: int, first: int, processes: int, mistake: str | None, all_mistakes: bool, as_json: bool
) -> int:
    """Try CORE (agreement, members, work, parts, copies or subsets) in simulated time under seeded faults.

    Exit code 3 for a broken promise."""
    known = mistakes_of(core)
    if mistake is not None and mistake not in known:
        raise Faults(
            [f"--mistake: there is no {mistake!r}{nearest(mistake, list(known))}: {', '.join(known)}"]
        )
    with ProcessPoolExecutor(processes) as pool:
        if all_mistakes:
            tries = [(name, pool.submit(some, core, first, count, name)) for name in known]
            rows = [
                {
                    "mistake": name,
                    "found_after": found.result()[1][0][0] - first + 1 if found.result()[1] else None,
                    "line": found.result()[1][0][1][0] if found.result()[1] else "",
                }
                for name, found in tries
            ]
            told(
                rows,
                as_json,
                (f"{row['mistake']:44} {row['found_after'] or 'not found'}  {row['line']}" for row in rows),
            )
            return 0 if all(row["found_after"] for row in rows) else 1
        counts, broken = Counter[str](), list[tuple[int, list[str]]]()
        parts = [
            pool.submit(some, core, at, min(CHUNK, first + count - at), mistake or "")
            for at in range(first, first + count, CHUNK)
        ]
        for part in parts:
            more, wrong = part.result()
            counts.update(more)
            broken += wrong
    told(
        {"core": core, "schedules": count, "first": first, "counts": counts, "broken": broken},
        as_json,
        [
            f"{count} schedules of {core} from seed {first}: "
            + ", ".join(f"{value} {name}" for name, value in sorted(counts.items())),
            *(f"seed {seed}: {line}" for seed, lines in broken[:20] for line in lines),
            f"{len(broken)} with a broken promise",
        ],
    )
    return BROKEN if broken else 0
