"""`merlintally lab`: simulates days, compares builds and reports the results."""

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

from merlintally.cli.front import LazyGroup, print_result
from merlintally.forms import InputError
from merlintally.lab.builds.baselines import BASELINES
from merlintally.lab.model.days import read_day, shipped
from merlintally.lab.play.simulation import play
from merlintally.lab.tell.results import Result
from merlintally.operators import LabPart, read_operators

BROKEN = 3  # exit code
FILE = click.Path(dir_okay=False, path_type=Path)
FIGURES_SHOWN = (
    "G",
    "service",
    "worst_window",
    "worst_plan",
    "refused_with_room",
    "units_beyond",
    "answer_p99_ms",
)


def lab_part(operators: Path | None) -> LabPart:
    """Return the section [lab] of the operators' file, or its defaults."""
    return read_operators(operators).lab if operators is not None else LabPart()


def exit_code_of(results: list[Result]) -> int:
    """Return the exit code: 3 if a rule was broken."""
    return BROKEN if any(result.broken for result in results) else 0


def table_of(results: list[Result]) -> Table:
    """Return the results as a table, result row each."""
    table = Table()
    for name in ("day", "build", "seed", "nodes x servers", *FIGURES_SHOWN, "broken", "wall s"):
        table.add_column(name, justify="left" if name in ("day", "build") else "right")
    for result in results:
        figures = [
            f"{result.figures[name]:.3f}" if result.figures[name] < 10 else f"{result.figures[name]:.0f}"
            for name in FIGURES_SHOWN
        ]
        broken = ", ".join(f"rule {rule}: {count}" for rule, count in result.broken.items()) or "-"
        table.add_row(
            result.day,
            result.build,
            str(result.seed),
            f"{result.gateways} x {result.servers}",
            *figures,
            broken,
            f"{result.wall_s:.1f}",
        )
    return table


def print_results(results: list[Result], as_json: bool) -> None:
    """Print results as JSON (without series and lists) or as a table."""
    if as_json:
        rows = [
            {
                name: value
                for name, value in msgspec.to_builtins(result).items()
                if name not in ("series", "customers", "out")
            }
            for result in results
        ]
        print_result(rows, True, ())
    else:
        Console(width=None if Console().is_terminal else 170).print(table_of(results))


@contextmanager
def progress_bar(description: str, total: int = 100) -> Iterator[Callable[[float], None]]:
    """Show a progress bar on a terminal; yields a function that sets how much of `total` is completed."""
    console, columns = Console(stderr=True), (TextColumn("{task.description}"), BarColumn())
    with Progress(
        *columns, MofNCompleteColumn(), TimeElapsedColumn(), console=console, disable=not console.is_terminal
    ) as progress:
        task = progress.add_task(description, total=total)
        yield lambda amount: progress.update(task, completed=round(amount))


class LabGroup(LazyGroup):
    """The subcommands of `merlintally lab`."""

    commands_table: dict[str, tuple[str, str]] = {
        "play": ("merlintally.cli.lab:play_day", "Simulate one day and print its figures."),
        "run": ("merlintally.cli.lab:run_days", "Simulate builds x days x seeds in several processes."),
        "compare": ("merlintally.cli.lab:compare_builds", "Compare two builds on the same days and seeds."),
        "report": ("merlintally.cli.lab:report", "Write an HTML page with plots of results."),
        "why": ("merlintally.cli.lab:why", "Break down a day's loss by cause."),
        "follow": ("merlintally.cli.lab:follow_one", "Trace one submission through records or logs."),
        "faults": ("merlintally.cli.faults:faults", "Run node processes with injected faults."),
        "soak": ("merlintally.cli.soak:soak", "Run node processes under random overlapping faults."),
        "pressure": (
            "merlintally.cli.pressure:pressure",
            "Strain one edge node and report its memory and latencies.",
        ),
        "schedules": (
            "merlintally.cli.faults:schedules",
            "Run the cluster's protocol cores in seeded schedules.",
        ),
        "scale": ("merlintally.cli.scale:scale", "Measure costs by size and compare them with budgets."),
        "list": ("merlintally.cli.lab:list_days", "List the shipped days."),
    }


@click.group(cls=LabGroup)
def lab() -> None:
    """Simulate days in the laboratory: an emulated fleet around the decisions, checked by a referee.

    A DAY is the name of a shipped day (`lab list`) or a TOML file. A BUILD is `here`, `git:REVISION`, the
    path of another choice.py, or a baseline: let-all, even, oracle, broken-answers,
    broken-repeats, broken-drains, broken-cold, broken-ceilings.
    """


operators_option = click.option(
    "--operators",
    type=FILE,
    envvar="LB_OPERATORS",
    help="Operators' file; its section [lab] is used.",
)
seed_option = click.option("--seed", type=int, default=1, show_default=True, help="Random seed of the day.")
size_option = click.option(
    "--gateways",
    type=click.IntRange(1, 2000),
    help="Number of edge nodes; servers and traffic scale with it.",
)
sizes_option = click.option(
    "--gateways",
    "sizes",
    multiple=True,
    type=click.IntRange(1, 2000),
    help="Number of edge nodes; may be repeated.",
)
processes_option = click.option(
    "--processes", type=click.IntRange(1, 256), help="Days simulated in parallel."
)
results_option = click.option("--results", type=FILE, help="Results file to add to.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
length_option = click.option(
    "--seconds",
    type=click.FloatRange(1.5, 3600),
    help="Length of the day, seconds; troubles are scaled with it.",
)


@click.command("play")
@click.argument("day")
@seed_option
@size_option
@click.option("--build", "build_name", default="here", show_default=True, help="Build of the decisions.")
@click.option("--real", is_flag=True, help="Run in real time, with a few node processes on loopback.")
@click.option("--record", type=FILE, help="Write the record of events to this file.")
@click.option(
    "--results",
    type=FILE,
    help="Append the result to this file; by default latest.jsonl in the results folder is replaced.",
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
    """Simulate DAY once. Exit code 3 if a rule was broken."""
    from merlintally.lab.tell.results import ResultsFile

    scenario = read_day(day).at_size(gateways, seconds)
    if real:
        from merlintally.lab.live.play import play_real

        result = play_real(scenario, seed)
    else:
        with progress_bar(f"{scenario.name} with {scenario.fleet.gateways} edge nodes") as progress:
            result = play(scenario, seed, build_name, record, progress=lambda share: progress(100 * share))
    path = results
    if path is None:
        path = Path(lab_part(operators).results) / "latest.jsonl"
        path.unlink(missing_ok=True)
    ResultsFile(path).append([result])
    print_results([result], as_json)
    for line in (*result.breaches, *result.notices):
        click.echo(line, err=True)
    return exit_code_of([result])


@click.command("run")
@click.argument("days", nargs=-1, required=True)
@click.option(
    "--build", "builds", multiple=True, default=("here",), show_default=True, help="May be repeated."
)
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 1000), help="Seeds 1 to N.")
@sizes_option
@processes_option
@results_option
@click.option("--plots", is_flag=True, help="Also store the data for plots (larger files).")
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
    """Simulate builds x DAYS x seeds x sizes; `all` stands for all shipped days.

    Results are appended to a file as they complete. Repeat an interrupted run to continue it.
    """
    part = lab_part(operators)
    path = results or Path(part.results) / "run.jsonl"
    completed = play_all(days, builds, seeds, sizes, processes or part.processes, path, seconds, plots)
    print_results(completed, as_json)
    return exit_code_of(completed)


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
    """Simulate all combinations that `path` has no results of yet, and return all results."""
    from merlintally.lab.play.experiment import run, wanted

    names = tuple(shipped()) if days == ("all",) else days
    tasks = list(wanted(names, builds, tuple(range(1, seeds + 1)), sizes, seconds, plots))
    with progress_bar("days", len(tasks)) as progress:
        return run(tasks, path, processes, lambda _, completed: progress(completed))


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
    """Simulate builds FIRST and SECOND on the same days and seeds and report whether they differ.

    Differences are paired; 95% confidence intervals are bootstrapped over the pairs.
    """
    from merlintally.lab.tell.compare import compare

    part = lab_part(operators)
    path = results or Path(part.results) / "compare.jsonl"
    completed = play_all(
        days, (first, second), seeds, sizes, processes or part.processes, path, seconds, False
    )
    comparisons = compare(completed, first, second)
    fields: list[dict[str, Any]] = [
        {
            "figure": row.figure,
            "day": row.day,
            "pairs": row.pairs,
            "first": row.first,
            "second": row.second,
            "mean": row.mean,
            "low": row.low,
            "high": row.high,
            "told": row.told,
        }
        for row in comparisons
    ]
    print_result(fields, as_json, (row.sentence() for row in comparisons))
    return exit_code_of(completed)


@click.command("report")
@click.argument("files", nargs=-1, type=FILE)
@click.option("--to", type=FILE, help="Path of the page; by default beside the first file.")
@click.option("--compare", "pair", nargs=2, metavar="FIRST SECOND", help="Also compare two builds.")
@operators_option
def report(
    files: tuple[Path, ...], to: Path | None, pair: tuple[str, str] | None, operators: Path | None
) -> int:
    """Write an HTML page about the results FILES (by default those of the latest `lab play`)."""
    from merlintally.lab.tell.compare import compare
    from merlintally.lab.tell.report import write
    from merlintally.lab.tell.results import ResultsFile

    paths = files or (Path(lab_part(operators).results) / "latest.jsonl",)
    loaded = [result for path in paths for result in ResultsFile(path).read()]
    if not loaded:
        raise InputError([f"{paths[0]}: no results in this file; `merlintally lab play calm` creates some"])
    page = to or paths[0].with_suffix(".html")
    write(page, loaded, (row.sentence() for row in compare(loaded, *pair)) if pair else ())
    click.echo(str(page))
    return 0


@click.command("why")
@click.argument("day")
@seed_option
@size_option
@click.option(
    "--build", "build_name", default="here", show_default=True, help="The module or a revision of it."
)
@length_option
@json_option
def why(
    day: str, seed: int, gateways: int | None, build_name: str, seconds: float | None, as_json: bool
) -> int:
    """Simulate DAY and break down its loss: requests refused with room left or sent beyond quotas, by cause.

    The cause is the state by which the gateway decided; the kind is the actual situation.
    """
    from merlintally.lab.builds.loading import build
    from merlintally.lab.judge.account import Watch
    from merlintally.lab.model.record import Record
    from merlintally.lab.play.simulation import drive, simulated

    scenario = read_day(day).at_size(gateways, seconds)
    if build_name in BASELINES:
        raise InputError([f"{build_name}: only the module and its revisions can be analysed"])
    decisions = build(build_name)
    world = simulated(scenario, seed, decisions, Record())
    watch = Watch(world, decisions)
    try:
        with progress_bar(scenario.name) as progress:
            drive(world, lambda share: progress(100 * share))
    finally:
        watch.restore()
    rows = watch.account.table()
    if as_json:
        print_result(rows, True, ())
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
    """Trace submission NUMBER through FILES: records of `lab play --record`, or structured logs of nodes.

    In a record, all retries of the original submission are shown, from all edge nodes.
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
            "about": details.about,
            "seconds": details.length_s,
            "gateways": details.fleet.gateways,
            "servers": details.fleet.servers,
            "troubles": [trouble.kind for trouble in details.trouble],
        }
        for name, details in days.items()
    ]
    print_result(rows, as_json, (f"{row['day']:12} {row['about']}" for row in rows))
    return 0
