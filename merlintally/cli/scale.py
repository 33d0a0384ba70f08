"""`merlintally lab scale`: measures costs at several sizes and checks their extrapolation against budgets."""

from __future__ import annotations

import datetime
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from merlintally.cli.front import print_result
from merlintally.forms import InputError, suggestion
from merlintally.lab.scale.capacity import read_capacity
from merlintally.lab.scale.runner import Failure, run
from merlintally.lab.scale.slope import Context, Derived, Row, Slope, registry
from merlintally.lab.scale.store import file_in, kept_or_new, read_kept, write_kept
from merlintally.lab.scale.tables import markdown
from merlintally.operators import LabPart, read_operators

FAILED = 1  # exit code
BROKEN = 3  # exit code
FILE = click.Path(dir_okay=False, path_type=Path)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
quick_option = click.option("--quick", is_flag=True, help="Fewer and smaller sizes; takes minutes in total.")
whole_lists_option = click.option(
    "--whole-lists", is_flag=True, help="Turn subsets off: each node uses all app servers."
)
operators_option = click.option(
    "--operators", type=FILE, envvar="LB_OPERATORS", help="Operators' file; its section [lab] is used."
)


@click.group()
def scale() -> None:
    """Scale tests: measure a cost at several sizes, fit its growth, extrapolate it to the operators' size."""


def results_folder(operators: Path | None) -> Path:
    """Return the folder for results, from the operators' file or its default."""
    return Path((read_operators(operators).lab if operators is not None else LabPart()).results)


def select_tests(names: Iterable[str]) -> list[Slope | Derived]:
    """Return the tests of these names (all if none are given) in the registry's order. Raises InputError."""
    tests = registry()
    known = [test.name for test in tests]
    for name in names:
        if name not in known:
            raise InputError([f"{name}: there is no such scale test{suggestion(name, known)}"])
    selected = set(names) or set(known)
    return [test for test in tests if test.name in selected]


@scale.command("list")
@json_option
def list_tests(as_json: bool) -> None:
    """List the scale tests."""
    rows = [
        {
            "name": test.name,
            "role": test.role,
            "by": test.by,
            "unit": test.unit,
            "sizes": list(test.sizes),
            "derived": isinstance(test, Derived),
            "simulated": isinstance(test, Slope) and test.simulated,
            "about": test.about,
        }
        for test in registry()
    ]
    print_result(rows, as_json, (f"{row['name']:36} by {row['by']:14} {row['about']}" for row in rows))


@scale.command("run")
@click.argument("names", nargs=-1)
@quick_option
@click.option(
    "--capacity", "capacity_file", type=FILE, help="Size and budgets, instead of deploy/capacity.toml."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Random seed.")
@whole_lists_option
@operators_option
@json_option
def run_tests(
    names: tuple[str, ...],
    quick: bool,
    capacity_file: Path | None,
    seed: int,
    whole_lists: bool,
    operators: Path | None,
    as_json: bool,
) -> int:
    """Run the scale tests NAMES, or all. Exit code 3 if a budget is exceeded, 1 if a test failed.

    Each result is written to scale.json (scale-quick.json) in the results folder when its test ends.
    """
    tests = select_tests(names)
    capacity = read_capacity(capacity_file)
    path = file_in(results_folder(operators), quick, whole_lists)
    stored = kept_or_new(path, capacity, quick)
    rows: list[Row] = []
    failures: list[Failure] = []
    console = Console(stderr=True)
    context = Context(capacity, quick, seed, whole_lists)
    for result in run(tests, context, stored.rows, lambda text: console.log(text)):
        if isinstance(result, Failure):
            failures.append(result)
            continue
        rows.append(result)
        stored = stored.with_row(result, datetime.date.today())
        write_kept(path, stored)
    print_rows(rows, as_json)
    for failure in failures:
        click.echo(f"merlintally: {failure.name}: {failure.why}", err=True)
    return FAILED if failures else exit_code_of(rows)


@scale.command("report")
@quick_option
@whole_lists_option
@click.option("--to", type=FILE, help="Path of the page; by default beside the results.")
@click.option(
    "--markdown", "as_markdown", is_flag=True, help="Print a Markdown table instead of writing a page."
)
@operators_option
@json_option
def report(
    quick: bool,
    whole_lists: bool,
    to: Path | None,
    as_markdown: bool,
    operators: Path | None,
    as_json: bool,
) -> int:
    """Print the latest results, worst first, and write an HTML page with plots of them."""
    from merlintally.lab.scale.page import write_page

    folder = results_folder(operators)
    path = file_in(folder, quick, whole_lists)
    stored = read_kept(path)
    if as_markdown:
        whole_lists_path = file_in(folder, quick, whole_lists=True)
        without_subsets = (
            read_kept(whole_lists_path) if whole_lists_path.exists() and not whole_lists else None
        )
        click.echo("\n".join(markdown(stored, without_subsets)))
        return exit_code_of(stored.rows.values())
    print_rows(list(stored.rows.values()), as_json)
    page = to or path.with_suffix(".html")
    write_page(page, stored)
    click.echo(str(page), err=True)
    return exit_code_of(stored.rows.values())


def exit_code_of(rows: Iterable[Row]) -> int:
    """Return the exit code: 3 if a budget is exceeded."""
    return BROKEN if any(row.holds is False for row in rows) else 0


def print_rows(rows: list[Row], as_json: bool) -> None:
    """Print rows as JSON or as a table."""
    if as_json:
        print_result([msgspec.to_builtins(row) for row in rows], True, ())
    else:
        Console(width=None if Console().is_terminal else 150).print(table_of(rows))


def verdict(row: Row) -> str:
    """Return whether the budget holds; `-` if there is none."""
    return {None: "-", True: "holds", False: "broken"}[row.holds]


def lists_of(row: Row) -> str:
    """Return whether nodes used the whole list of app servers or subsets of it."""
    return "whole" if row.whole_lists else "subsets"


def table_of(rows: Iterable[Row]) -> Table:
    """Return the rows as a table, those worst against their budget first."""
    table = Table()
    for name in ("test", "by", "grows", "error", "at size", "budget", "unit", "factor", "verdict", "lists"):
        table.add_column(
            name, justify="right" if name in ("error", "at size", "budget", "factor") else "left"
        )
    for row in sorted(rows, key=lambda row: -(row.factor or 0.0)):
        cells: list[Any] = [
            row.name,
            row.by,
            row.fit.form,
            f"{row.fit.error:.0%}",
            f"{row.at_size:.4g}",
            "-" if row.budget is None else f"{row.budget:.4g}",
            row.fit.unit,
            "-" if row.factor is None else f"{row.factor:.2g}",
            verdict(row),
            lists_of(row),
        ]
        table.add_row(*cells)
    return table
