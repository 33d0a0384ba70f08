"""`merlintally lab scale`: costs by size, fitted and held against the operators' budgets."""

from __future__ import annotations

import datetime
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from merlintally.cli.front import told
from merlintally.forms import Faults, nearest
from merlintally.lab.scale.capacity import read_capacity
from merlintally.lab.scale.runner import Failure, run
from merlintally.lab.scale.slope import Context, Derived, Row, Slope, registry
from merlintally.lab.scale.store import file_in, kept_or_new, read_kept, write_kept
from merlintally.lab.scale.tables import markdown
from merlintally.operators import LabPart, read_operators

FAILED = 1  # exit code
BROKEN = 3  # exit code
FILE = click.Path(dir_okay=False, path_type=Path)
json_option = click.option("--json", "as_json", is_flag=True, help="Print for machines.")
quick_option = click.option("--quick", is_flag=True, help="Fewer and smaller sizes: minutes in all.")
whole_lists_option = click.option(
    "--whole-lists", is_flag=True, help="Nodes without subsets: each works with all app servers."
)
operators_option = click.option(
    "--operators", type=FILE, envvar="LB_OPERATORS", help="The operators' file, for its section [lab]."
)


@click.group()
def scale() -> None:
    """Scale tests: a cost at several sizes, its growth, and what it comes to at the operators' size."""


def results_folder(operators: Path | None) -> Path:
    return Path((read_operators(operators).lab if operators is not None else LabPart()).results)


def chosen(names: Iterable[str]) -> list[Slope | Derived]:
    """The tests of these names (all, if there are none), in the order of the registry."""
    tests = registry()
    known = [one.name for one in tests]
    for name in names:
        if name not in known:
            raise Faults([f"{name}: there is no such scale test{nearest(name, known)}"])
    wanted = set(names) or set(known)
    return [one for one in tests if one.name in wanted]


@scale.command("list")
@json_option
def list_tests(as_json: bool) -> None:
    """List the scale tests."""
    rows = [
        {
            "name": one.name,
            "role": one.role,
            "by": one.by,
            "unit": one.unit,
            "sizes": list(one.sizes),
            "derived": isinstance(one, Derived),
            "simulated": isinstance(one, Slope) and one.simulated,
            "about": one.about,
        }
        for one in registry()
    ]
    told(rows, as_json, (f"{row['name']:36} by {row['by']:14} {row['about']}" for row in rows))


@scale.command("run")
@click.argument("names", nargs=-1)
@quick_option
@click.option(
    "--capacity", "capacity_file", type=FILE, help="Another size and budgets than deploy/capacity.toml."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all chance.")
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
    """Run the scale tests NAMES, or all. Exit code 3 if a budget is broken, 1 if a test failed.

    Rows are added to scale.json (scale-quick.json) in the results folder as they come.
    """
    tests = chosen(names)
    capacity = read_capacity(capacity_file)
    path = file_in(results_folder(operators), quick, whole_lists)
    kept = kept_or_new(path, capacity, quick)
    rows: list[Row] = []
    failures: list[Failure] = []
    console = Console(stderr=True)
    context = Context(capacity, quick, seed, whole_lists)
    for result in run(tests, context, kept.rows, lambda text: console.log(text)):
        if isinstance(result, Failure):
            failures.append(result)
            continue
        rows.append(result)
        kept = kept.with_row(result, datetime.date.today())
        write_kept(path, kept)
    show(rows, as_json)
    for failure in failures:
        click.echo(f"merlintally: {failure.name}: {failure.why}", err=True)
    return FAILED if failures else code_of(rows)


@scale.command("report")
@quick_option
@whole_lists_option
@click.option("--to", type=FILE, help="The page; else beside the results.")
@click.option("--markdown", "as_markdown", is_flag=True, help="Print a Markdown table, and write no page.")
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
    """Print the latest rows, worst first, and write one HTML page with plots about them."""
    from merlintally.lab.scale.page import write_page

    folder = results_folder(operators)
    path = file_in(folder, quick, whole_lists)
    kept = read_kept(path)
    if as_markdown:
        other = file_in(folder, quick, whole_lists=True)
        without_subsets = read_kept(other) if other.exists() and not whole_lists else None
        click.echo("\n".join(markdown(kept, without_subsets)))
        return code_of(kept.rows.values())
    show(list(kept.rows.values()), as_json)
    page = to or path.with_suffix(".html")
    write_page(page, kept)
    click.echo(str(page), err=True)
    return code_of(kept.rows.values())


def code_of(rows: Iterable[Row]) -> int:
    return BROKEN if any(row.holds is False for row in rows) else 0


def show(rows: list[Row], as_json: bool) -> None:
    if as_json:
        told([msgspec.to_builtins(row) for row in rows], True, ())
    else:
        Console(width=None if Console().is_terminal else 150).print(table_of(rows))


def verdict(row: Row) -> str:
    return {None: "-", True: "holds", False: "broken"}[row.holds]


def lists_of(row: Row) -> str:
    """Whether nodes work with subsets of app servers, where lists are long."""
    return "whole" if row.whole_lists else "subsets"


def table_of(rows: Iterable[Row]) -> Table:
    """The rows, those worst for their budget first."""
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
