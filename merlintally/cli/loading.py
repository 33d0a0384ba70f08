"""`merlintally load`: sends open-loop load to a node."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import anyio
import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from merlintally.forms import InputError, read
from merlintally.load.profile import Profile, read_profile
from merlintally.load.schedule import schedule
from merlintally.load.sending import Sender, require_loopback


def address_of(text: str) -> tuple[str, int]:
    """Parse HOST:PORT. Raises InputError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise InputError([f"ADDRESS: {text!r} is not HOST:PORT"])
    return host, int(port)


def with_options(profile: Profile, **options: Any) -> Profile:
    """Return the profile with the given options in place of its own values, validated again."""
    overrides = {name: value for name, value in options.items() if value is not None}
    return read({**msgspec.to_builtins(profile), **overrides}, Profile)


def table_of(summary: dict[str, Any]) -> Table:
    """Return the latencies as a table, one row per lane and outcome."""
    table = Table(title="latencies from the scheduled time, ms")
    for name in ("lane", "outcome", "count", "mean", "p50", "p90", "p99", "p99.9", "max"):
        table.add_column(name, justify="left" if name in ("lane", "outcome") else "right")
    for lane, rows in summary["lanes"].items():
        for outcome, row in rows.items():
            figures = [row[f"{name}_ms"] for name in ("mean", "p50", "p90", "p99", "p99.9", "max")]
            table.add_row(lane, outcome, str(row["count"]), *(f"{value:.1f}" for value in figures))
    return table


@click.command()
@click.argument("address")
@click.option("--profile", type=click.Path(dir_okay=False, path_type=Path), help="Load profile, TOML.")
@click.option("--rate", type=float, help="Submissions per second, instead of the profile's.")
@click.option("--seconds", type=float, help="Duration, seconds, instead of the profile's.")
@click.option("--connections", type=int, help="Number of connections, instead of the profile's.")
@click.option("--seed", type=int, help="Seed, instead of the profile's.")
@click.option("--beyond-loopback", is_flag=True, help="Allow an address outside this machine.")
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
def load(
    address: str,
    profile: Path | None,
    rate: float | None,
    seconds: float | None,
    connections: int | None,
    seed: int | None,
    beyond_loopback: bool,
    as_json: bool,
) -> int:
    """Send open-loop load to the node at ADDRESS (HOST:PORT), and report latencies by lane and outcome.

    Submissions follow a schedule made in advance. Latencies are measured from the scheduled time and so
    include the time a node is stalled. Exit code 1 if any submission got no complete answer.
    """
    host, port = address_of(address)
    require_loopback(host, beyond_loopback)
    effective = with_options(
        read_profile(profile), rate=rate, seconds=seconds, connections=connections, seed=seed
    )
    total = sum(1 for _ in schedule(effective))
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    console = Console(stderr=True)
    with Progress(*columns, console=console, disable=as_json or not console.is_terminal) as progress:
        task = progress.add_task("answered", total=total)
        sender = Sender(host, port, effective, lambda count: progress.advance(task, count))
        tallies = anyio.run(sender.run)
    summary = tallies.summary(effective.seconds)
    if as_json:
        click.echo(json.dumps(summary, indent=1, sort_keys=True))
    else:
        Console().print(table_of(summary))
        click.echo(
            f"{summary['sent']} sent in {summary['seconds']} s, {summary['sent_late']} of them late: "
            + ", ".join(f"{count} {name}" for name, count in outcomes_of(summary).items())
        )
    unanswered = sum(outcomes_of(summary).get(name, 0) for name in ("silent", "broken", "unsent"))
    return 1 if unanswered else 0


def outcomes_of(summary: dict[str, Any]) -> dict[str, int]:
    """Return the count of each outcome."""
    outcomes: dict[str, int] = summary["outcomes"]
    return outcomes
