"""`merlintally lab`: play, run, compare, report, list."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from merlintally.cli.front import Lazy, told
from merlintally.forms import Faults
from merlintally.lab.builds.baselines import BASELINES
from merlintally.lab.model.days import read_day, shipped
from merlintally.lab.play.simulation import play
from merlintally.lab.tell.results import Result
from merlintally.operators import LabPart, read_operators

BROKEN = 3  # exit code
FILE = click.Path(dir_okay=False, path_type=Path)
SHOWN = ("G", "service", "worst_window", "worst_plan", "refused_with_room", "units_beyond", "answer_p99_ms")


def lab_part(operators: Path | None) -> LabPart:
    return read_operators(operators).lab if operators is not None else LabPart()


def code_of(results: list[Result]) -> int:
    return BROKEN if any(one.broken for one in results) else 0


def table_of(results: list[Result]) -> Table:
    table = Table()
    for name in ("day", "build", "seed", "nodes x servers", *SHOWN, "broken", "wall s"):
        table.add_column(name, justify="left" if name in ("day", "build") else "right")
    for one in results:
        figures = [
            f"{one.figures[name]:.3f}" if one.figures[name] < 10 else f"{one.figures[name]:.0f}"
            for name in SHOWN
        ]
        broken = ", ".join(f"rule {rule}: {count}" for rule, count in one.broken.items()) or "-"
        table.add_row(
            one.day,
            one.build,
            str(one.seed),
            f"{one.gateways} x {one.servers}",
            *figures,
            broken,
            f"{one.wall_s:.1f}",
        )
    return table


def show(results: list[Result], as_json: bool) -> None:
    if as_json:
        rows = [
            {
                name: value
                for name, value in msgspec.to_builtins(one).items()
                if name not in ("series", "customers", "out")
            }
            for one in results
        ]
        told(rows, True, ())
    else:
        Console(width=None if Console().is_terminal else 170).print(table_of(results))


@contextmanager
def bar(what: str, total: int = 100) -> Iterator[Callable[[float], None]]:
    """A progress bar on a terminal; gives a call that is told how much of `total` is done."""
    console, columns = Console(stderr=True), (TextColumn("{task.description}"), BarColumn())
    with Progress(
        *columns, MofNCompleteColumn(), TimeElapsedColumn(), console=console, disable=not console.is_terminal
    ) as progress:
        task = progress.add_task(what, total=total)
        yield lambda done: progress.update(task, completed=round(done))


class Commands(Lazy):
    table: dict[str, tuple[str, str]] = {
        "play": ("merlintally.cli.lab:play_day", "Play one day and print its figures."),
        "run": ("merlintally.cli.lab:run_days", "Play builds x days x seeds over several processes."),
        "compare": ("merlintally.cli.lab:compare_builds", "Compare two builds on the same days and seeds."),
        "report": ("merlintally.cli.lab:report", "Write one HTML page with plots about results."),
        "why": ("merlintally.cli.lab:why", "Account for a day's loss, by cause."),
        "follow": ("merlintally.cli.lab:follow_one", "Follow one submission through records or logs."),
        "faults": ("merlintally.cli.faults:faults", "Play processes with faults between them."),
        "soak": ("merlintally.cli.soak:soak", "Play node processes under random overlapping faults."),
        "schedules": ("merlintally.cli.faults:schedules", "Try the cluster's cores in seeded schedules."),
        "scale": ("merlintally.cli.scale:scale", "Costs by size, held against the operators' budgets."),
        "list": ("merlintally.cli.lab:list_days", "List the days that come with the program."),
    }


@click.group(cls=Commands)
def lab() -> None:
    """Play days in the laboratory: an emulated fleet round the decisions, judged by a referee.

    A DAY is the name of a shipped day (`lab list`) or a TOML file. A BUILD is `here`, `git:REVISION`, the
    path of another choice.py, or one beside the module: let-all, even, oracle, broken-answers,
    broken-repeats, broken-drains, broken-cold, broken-ceilings.
    """


operators_option = click.option(
    "--operators",
    type=FILE,
    envvar="LB_OPERATORS",
    help="The operators' file, for its section [lab].",
)
seed_option = click.option(
    "--seed", type=int, default=1, show_default=True, help="Seed of all chance in the day."
)
size_option = click.option(
    "--gateways", type=click.IntRange(1, 2000), help="Another size; servers and traffic follow."
)
sizes_option = click.option(
    "--gateways", "sizes", multiple=True, type=click.IntRange(1, 2000), help="May be repeated."
)
processes_option = click.option("--processes", type=click.IntRange(1, 256), help="Days side by side.")
results_option = click.option("--results", type=FILE, help="The results file to go on with.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print for machines.")
length_option = click.option(
    "--seconds", type=click.FloatRange(1.5, 3600), help="Length of the day; troubles move with it."
)


@click.command("play")
@click.argument("day")
@seed_option
@size_option
@click.option("--build", "build_name", default="here", show_default=True, help="The decisions to play.")
@click.option("--real", is_flag=True, help="In real time: node processes on loopback, few of them.")
@click.option("--record", type=FILE, help="Write the record of events.")
@click.option(
    "--results",
    type=FILE,
    help="Add the result to this file; else to latest.jsonl in the results folder, written anew.",
)
@length_option
@operators_option
@json_option
def play_day(
    day: str,
    seed: int,
    gateways: int | None,
    build_name: str,
    real: bool,
    record: Path | None,
    results: Path | None,
    seconds: float | None,
    operators: Path | None,
    as_json: bool,
) -> int:
    """Play DAY once. Exit code 3 if a rule was broken."""
    from merlintally.lab.tell.results import ResultsFile

    found = read_day(day).at_size(gateways, seconds)
    if real:
        from merlintally.lab.live.play import play_real

        result = play_real(found, seed)
    else:
        with bar(f"{found.name} with {found.fleet.gateways} edge nodes") as progress:
            result = play(found, seed, build_name, record, progress=lambda part: progress(100 * part))
    path = results
    if path is None:
        path = Path(lab_part(operators).results) / "latest.jsonl"
        path.unlink(missing_ok=True)
    ResultsFile(path).append([result])
    show([result], as_json)
    for line in (*result.breaches, *result.notices):
        click.echo(line, err=True)
    return code_of([result])


@click.command("run")
@click.argument("days", nargs=-1, required=True)
@click.option(
    "--build", "builds", multiple=True, default=("here",), show_default=True, help="May be repeated."
)
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 1000), help="Seeds 1 to N.")
@sizes_option
@processes_option
@results_option
@click.option("--plots", is_flag=True, help="Keep what plots need, too (larger files).")
@length_option
@operators_option
@json_option
def run_days(
    days: tuple[str, ...],
    builds: tuple[str, ...],
    seeds: int,
    sizes: tuple[int, ...],
    processes: int | None,
    results: Path | None,
    plots: bool,
    seconds: float | None,
    operators: Path | None,
    as_json: bool,
) -> int:
    """Play builds x DAYS x seeds x sizes; `all` stands for all shipped days.

    Results are added to a file as they come. A run that was ended goes on where it was when called again.
    """
    part = lab_part(operators)
    path = results or Path(part.results) / "run.jsonl"
    found = play_all(days, builds, seeds, sizes, processes or part.processes, path, seconds, plots)
    show(found, as_json)
    return code_of(found)


def play_all(
    days: tuple[str, ...],
    builds: tuple[str, ...],
    seeds: int,
    sizes: tuple[int, ...],
    processes: int,
    path: Path,
    seconds: float | None,
    plots: bool,
) -> list[Result]:
    from merlintally.lab.play.experiment import run, wanted

    names = tuple(shipped()) if days == ("all",) else days
    tasks = list(wanted(names, builds, tuple(range(1, seeds + 1)), sizes, seconds, plots))
    with bar("days", len(tasks)) as progress:
        return run(tasks, path, processes, lambda _, done: progress(done))


@click.command("compare")
@click.argument("first")
@click.argument("second")
@click.option(
    "--day", "days", multiple=True, default=("calm",), show_default=True, help="May be repeated, or all."
)
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 1000), help="Seeds 1 to N.")
@sizes_option
@processes_option
@results_option
@length_option
@operators_option
@json_option
def compare_builds(
    first: str,
    second: str,
    days: tuple[str, ...],
    seeds: int,
    sizes: tuple[int, ...],
    processes: int | None,
    results: Path | None,
    seconds: float | None,
    operators: Path | None,
    as_json: bool,
) -> int:
    """Play builds FIRST and SECOND on the same days and seeds, and say whether they differ.

    Differences are paired; their 95% intervals are bootstrapped over the pairs.
    """
    from merlintally.lab.tell.compare import compare

    part = lab_part(operators)
    path = results or Path(part.results) / "compare.jsonl"
    found = play_all(days, (first, second), seeds, sizes, processes or part.processes, path, seconds, False)
    rows = compare(found, first, second)
    fields: list[dict[str, Any]] = [
        {
            "figure": one.figure,
            "day": one.day,
            "pairs": one.pairs,
            "first": one.first,
            "second": one.second,
            "mean": one.mean,
            "low": one.low,
            "high": one.high,
            "told": one.told,
        }
        for one in rows
    ]
    told(fields, as_json, (one.sentence() for one in rows))
    return code_of(found)


@click.command("report")
@click.argument("files", nargs=-1, type=FILE)
@click.option("--to", type=FILE, help="The page; else beside the first file.")
@click.option("--compare", "pair", nargs=2, metavar="FIRST SECOND", help="Say how two builds differ, too.")
@operators_option
def report(
    files: tuple[Path, ...], to: Path | None, pair: tuple[str, str] | None, operators: Path | None
) -> int:
    """Write one HTML page about results FILES (the latest `lab play` if there are none)."""
    from merlintally.lab.tell.compare import compare
    from merlintally.lab.tell.report import write
    from merlintally.lab.tell.results import ResultsFile

    paths = files or (Path(lab_part(operators).results) / "latest.jsonl",)
    found = [one for path in paths for one in ResultsFile(path).read()]
    if not found:
        raise Faults([f"{paths[0]}: no results there; `merlintally lab play calm` makes some"])
    page = to or paths[0].with_suffix(".html")
    write(page, found, (one.sentence() for one in compare(found, *pair)) if pair else ())
    click.echo(str(page))
    return 0


@click.command("why")
@click.argument("day")
@seed_option
@size_option
@click.option(
    "--build", "build_name", default="here", show_default=True, help="The module, or a revision of it."
)
@length_option
@json_option
def why(
    day: str, seed: int, gateways: int | None, build_name: str, seconds: float | None, as_json: bool
) -> int:
    """Play DAY and account for its loss: what was refused with room or sent beyond quotas, by cause.

    A cause is what the gateway went by when it decided; the kind is what was truly the case.
    """
    from merlintally.lab.builds.loading import build
    from merlintally.lab.judge.account import Watch
    from merlintally.lab.model.record import Record
    from merlintally.lab.play.simulation import drive, simulated

    found = read_day(day).at_size(gateways, seconds)
    if build_name in BASELINES:
        raise Faults([f"{build_name}: only the module and its revisions can be accounted for"])
    made = build(build_name)
    world = simulated(found, seed, made, Record())
    watch = Watch(world, made)
    try:
        with bar(found.name) as progress:
            drive(world, lambda part: progress(100 * part))
    finally:
        watch.restore()
    rows = watch.account.table()
    if as_json:
        told(rows, True, ())
    else:
        table = Table()
        for name in ("kind", "plan", "cause", "tries", "units", "of tries", "of worth"):
            table.add_column(name, justify="left" if name in ("kind", "plan", "cause") else "right")
        for row in rows:
            shares = (f"{row['share_of_tries']:.4f}", f"{row['share_of_worth']:.4f}")
            table.add_row(
                row["kind"], row["plan"], row["cause"], str(row["tries"]), f"{row['units']:.0f}", *shares
            )
        Console().print(table)
    return BROKEN if world.referee.broken else 0


@click.command("follow")
@click.argument("number")
@click.argument("files", nargs=-1, required=True, type=FILE)
def follow_one(number: str, files: tuple[Path, ...]) -> int:
    """Follow submission NUMBER through FILES: records of `lab play --record`, or structured logs of nodes.

    Of a record all tries of the same first try are shown, whichever edge nodes they came to.
    """
    from merlintally.lab.tell.follow import follow

    for line in follow(list(files), number):
        click.echo(line)
    return 0


@click.command("list")
@json_option
def list_days(as_json: bool) -> int:
    """List the shipped days."""
    days = {name: read_day(name) for name in shipped()}
    rows = [
        {
            "day": name,
            "about": one.about,
            "seconds": one.length_s,
            "gateways": one.fleet.gateways,
            "servers": one.fleet.servers,
            "troubles": [trouble.kind for trouble in one.trouble],
        }
        for name, one in days.items()
    ]
    told(rows, as_json, (f"{row['day']:12} {row['about']}" for row in rows))
    return 0
