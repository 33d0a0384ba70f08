"""`merlintally load`."""

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

from merlintally.forms import Faults, read
from merlintally.load.profile import Profile, read_profile
from merlintally.load.schedule import schedule
from merlintally.load.sending import Sender, loopback_only


def address_of(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise Faults([f"ADDRESS: {text!r} is not HOST:PORT"])
    return host, int(port)


def changed(profile: Profile, **options: Any) -> Profile:
    """The profile with what the command's options say, checked again."""
    rows = {name: value for name, value in options.items() if value is not None}
    return read({**msgspec.to_builtins(profile), **rows}, Profile)


def table_of(summary: dict[str, Any]) -> Table:
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
@click.option("--profile", type=click.Path(dir_okay=False, path_type=Path), help="The profile, TOML.")
@click.option("--rate", type=float, help="Submissions a second, in place of the profile's.")
@click.option("--seconds", type=float, help="Length, in place of the profile's.")
@click.option("--connections", type=int, help="Connections, in place of the profile's.")
@click.option("--seed", type=int, help="Seed, in place of the profile's.")
@click.option("--beyond-loopback", is_flag=True, help="Send to an address that is not this machine's.")
@click.option("--json", "as_json", is_flag=True, help="Print the summary for machines.")
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

    Submissions are sent on a schedule made ahead, and latencies count from the scheduled time, so that a
    stalled node cannot hide. The command ends by itself. Exit code 1 if any submission got no whole answer.
    """
    host, port = address_of(address)
    loopback_only(host, beyond_loopback)
    wanted = changed(read_profile(profile), rate=rate, seconds=seconds, connections=connections, seed=seed)
    total = sum(1 for _ in schedule(wanted))
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    console = Console(stderr=True)
    with Progress(*columns, console=console, disable=as_json or not console.is_terminal) as bar:
        task = bar.add_task("answered", total=total)
        sender = Sender(host, port, wanted, lambda count: bar.advance(task, count))
        tallies = anyio.run(sender.run)
    summary = tallies.summary(wanted.seconds)
    if as_json:
        click.echo(json.dumps(summary, indent=1, sort_keys=True))
    else:
        Console().print(table_of(summary))
        click.echo(
            f"{summary['sent']} sent in {summary['seconds']} s, {summary['sent_late']} of them late: "
            + ", ".join(f"{count} {name}" for name, count in tallies_of(summary).items())
        )
    lost = sum(tallies_of(summary).get(name, 0) for name in ("silent", "broken", "unsent"))
    return 1 if lost else 0


def tallies_of(summary: dict[str, Any]) -> dict[str, int]:
    found: dict[str, int] = summary["outcomes"]
    return found
