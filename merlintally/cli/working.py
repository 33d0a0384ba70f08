"""`merlintally work`: takes machines out of service for work, in an order that the cluster agrees on."""

from __future__ import annotations

import getpass
import json
import secrets
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from merlintally.cli.cluster import ask, cluster_part, json_option, node_option, operators_option, refuse
from merlintally.cli.front import print_result
from merlintally.cluster.work.state import LIMIT_PATTERN, Machine, machines_by_name
from merlintally.forms import InputError, load, read

FILE = click.Path(dir_okay=False, path_type=Path)
POLL_INTERVAL_S = 0.5


class Machines(msgspec.Struct, frozen=True):
    """A TOML file with the list of machines: tables [[machine]]."""

    machine: tuple[Machine, ...]


by_option = click.option(
    "--by", default=getpass.getuser, help="Who makes the request; by default the user.", show_default=False
)


@click.group()
def work() -> None:
    """Take machines out of service one after another, within a budget, and verify each on its return."""


def execute(operators: Path, node: str | None, verb: str, args: list[Any], id_: str = "") -> None:
    """Ask the cluster to execute a command. Raises InputError if it is rejected."""
    ok, text = ask(cluster_part(operators), node, verb, args, id_)
    if not ok:
        refuse(text)


def status_of(operators: Path, node: str | None) -> dict[str, Any]:
    """Return the cluster's status as one node sees it."""
    answer: dict[str, Any] = json.loads(ask(cluster_part(operators), node, "status", [])[1])
    return answer


@work.command()
@operators_option
@node_option
@by_option
@click.argument("file", type=FILE)
def machines(operators: Path, node: str | None, by: str, file: Path) -> None:
    """Set the list of machines to that in FILE (TOML, tables [[machine]]).

    Each has name, pool, zone, edges (names of its edge nodes), servers (names of its app servers), bears
    (its capacity in attempts per second, if known) and refuge (true: a node that receives no messages from
    the others may keep sending to it).
    """
    document = read(load(file), Machines)
    try:
        machines_by_name(document.machine)
    except ValueError as error:
        raise InputError([f"{file}: machine.{error}"]) from None
    execute(operators, node, "machines", [by, msgspec.to_builtins(document.machine)])
    click.echo(f"{len(document.machine)} machines are in the agreed list")


@work.command()
@operators_option
@node_option
@by_option
@click.option(
    "--machine",
    "names",
    multiple=True,
    help="A machine; may be repeated, in the order in which to take them out.",
)
@click.option("--pool", help="All machines of a pool.")
@click.option("--all", "everything", is_flag=True, help="All machines.")
@click.option("--reason", required=True, help="What the work is for.")
@click.option("--most", default="1", show_default=True, help="Maximum out at once in total: a number or n%.")
@click.option("--most-pool", default="1", show_default=True, help="Maximum out at once in a pool.")
@click.option("--most-zone", default="1", show_default=True, help="Maximum out at once in a zone.")
@click.option(
    "--limit",
    "limit_s",
    type=click.FloatRange(0, 1e7),
    default=0.0,
    help="Maximum time that a machine may be out, seconds; 0: no limit.",
)
@click.option("--id", "id_", help="Id of the request; a repeated request with the same id has no effect.")
def request(
    operators: Path,
    node: str | None,
    by: str,
    names: tuple[str, ...],
    pool: str | None,
    everything: bool,
    reason: str,
    most: str,
    most_pool: str,
    most_zone: str,
    limit_s: float,
    id_: str | None,
) -> None:
    """Request work on machines; prints the id of the request."""
    for option, limit in (("--most", most), ("--most-pool", most_pool), ("--most-zone", most_zone)):
        if not LIMIT_PATTERN.fullmatch(limit):
            raise InputError([f"{option}: {limit!r} is neither a number nor a share like 10%"])
    if bool(names) + bool(pool) + everything != 1:
        raise click.UsageError("requires one of --machine, --pool and --all")
    if pool or everything:
        rows = json.loads(ask(cluster_part(operators), node, "machines?", [])[1])
        names = tuple(row["name"] for row in rows if everything or row["pool"] == pool)
        if not names:
            raise InputError(
                [f"--pool: {pool} has no machine" if pool else "--all: the list of machines is empty"]
            )
    id_ = id_ or f"r-{secrets.token_hex(3)}"
    execute(
        operators,
        node,
        "request",
        [id_, by, reason, list(names), [most, most_pool, most_zone], limit_s],
        f"request:{id_}",
    )
    click.echo(id_)


@work.command()
@operators_option
@node_option
@json_option
@click.option("--watch", is_flag=True, help="Refresh every second until interrupted.")
def status(operators: Path, node: str | None, as_json: bool, watch: bool) -> None:
    """Show which machines are out, which are next, and what they wait for."""
    while True:
        answer = status_of(operators, node)
        if watch and not as_json:
            click.clear()
        print_result(answer, as_json, lines_of(answer))
        if not watch:
            return
        time.sleep(1.0)


def lines_of(answer: dict[str, Any]) -> list[str]:
    """Return the status as text."""
    lines = [
        f"{answer['machines']} machines, {len(answer['turns'])} out; asked {answer['node']}, "
        f"leader {answer['leader'] or 'none: no further machine is taken out'}"
    ]
    for request in answer["requests"]:
        lines.append(
            f"request {request['id']} of {request['by']} ({request['reason']}): {request['state']}, "
            f"{len(request['done'])} of {len(request['machines'])} done"
        )
    for turn in answer["turns"]:
        lines.append(
            f"  {turn['machine']}: turn {turn['number']} {turn['state']}"
            + (f", waits for: {turn['waits']}" if turn["waits"] else "")
        )
    if answer["overdue"]:
        lines.append(f"  overdue: {', '.join(answer['overdue'])}")
    lines += [f"  {name}: not now: {why}" for name, why in sorted(answer["why_not"].items())[:20]]
    return lines


@work.command()
@operators_option
@node_option
@click.option(
    "--for",
    "patience_s",
    type=click.FloatRange(0),
    default=0.0,
    help="Maximum time to wait, seconds; 0: no limit.",
)
@click.argument("machine")
def wait(operators: Path, node: str | None, patience_s: float, machine: str) -> int:
    """Wait until MACHINE is out: it receives no more requests and work on it may start. Exit code 1 on
    timeout."""
    part, started_at, last_reason = cluster_part(operators), time.monotonic(), ""
    while True:
        ok, text = ask(part, node, "turn", [machine])
        no_answer = {"state": "", "known": True, "waits": text, "why_not": "", "asked_for": True}
        turn: dict[str, Any] = json.loads(text) if ok else no_answer
        if not turn["known"]:
            raise InputError([f"{machine}: there is no such machine"])
        if turn["state"] == "out":
            click.echo(f"{machine} is out, turn {turn['number']}")
            return 0
        if not turn["state"] and not turn["asked_for"]:
            raise InputError([f"{machine}: no request for work includes it"])
        reason = turn["waits"] or turn["why_not"] or "waiting for its turn"
        if reason != last_reason:
            click.echo(f"{machine}: {turn['state'] or 'waits'}: {reason}", err=True)
            last_reason = reason
        if patience_s and time.monotonic() - started_at > patience_s:
            return 1
        time.sleep(POLL_INTERVAL_S)


@work.command()
@operators_option
@node_option
@by_option
@click.option("--reason", required=True, help="What the work is for.")
@click.option("--pool", help="Pool whose machines are worked on; by default all machines.")
@click.option(
    "--most", default="1", show_default=True, help="Maximum out at once, in total and in each pool and zone."
)
@click.argument("command", nargs=-1, required=True)
def roll(
    operators: Path,
    node: str | None,
    by: str,
    reason: str,
    pool: str | None,
    most: str,
    command: tuple[str, ...],
) -> int:
    """Request work on machines and run COMMAND for each when it is out; {} is replaced by the machine's name.

    A machine whose COMMAND fails stays out and is reported, with exit code 1. If interrupted, run it again
    with the same --reason to continue.
    """
    import subprocess

    part = cluster_part(operators)
    rows = json.loads(ask(part, node, "machines?", [])[1])
    names = [row["name"] for row in rows if pool in (None, row["pool"])]
    if not names:
        raise InputError([f"--pool: {pool} has no machine" if pool else "the list of machines is empty"])
    id_ = f"roll-{reason.replace(' ', '-')}"
    known_ids = {request["id"] for request in status_of(operators, node)["requests"]}
    if id_ not in known_ids:
        execute(
            operators, node, "request", [id_, by, reason, names, [most, most, most], 0.0], f"request:{id_}"
        )
    failed: set[str] = set()
    last_index = 0
    while True:
        answer = status_of(operators, node)
        # Ignore the status of a node that lags behind.
        if answer["index"] < last_index or not answer["caught_up"]:
            time.sleep(POLL_INTERVAL_S)
            continue
        last_index = answer["index"]
        own_request = next((request for request in answer["requests"] if request["id"] == id_), None)
        if own_request is None or own_request["state"] != "open":
            click.echo(f"{id_}: {own_request['state'] if own_request else 'no longer exists'}")
            return 1 if failed else 0
        for turn in answer["turns"]:
            name = turn["machine"]
            if turn["request"] != id_ or turn["state"] != "out" or name in failed:
                continue
            ok, text = ask(part, node, "turn", [name])  # answered by the leader, never stale
            if not ok or json.loads(text)["state"] != "out":
                continue
            click.echo(f"{name} is out, turn {turn['number']}")
            if subprocess.run([word.replace("{}", name) for word in command], check=False).returncode:
                click.echo(f"{name}: the command failed; the machine stays out", err=True)
                failed.add(name)
            else:
                execute(operators, node, "done", [name, by])
        if failed and not any(
            turn["state"] != "out" or turn["machine"] not in failed for turn in answer["turns"]
        ):
            return 1
        time.sleep(POLL_INTERVAL_S)


def _add_command(name: str, help_: str, argument: str, reason: bool = False) -> None:
    """Add a subcommand that sends one command about a machine or a request to the cluster."""

    def run(operators: Path, node: str | None, by: str, reason: str = "", **args: str) -> None:
        execute(operators, node, name, [args[argument], by, *([reason] if reason else [])])
        click.echo("done")

    run.__doc__ = help_
    subcommand: Any = click.argument(argument)(by_option(node_option(operators_option(run))))
    if reason:
        subcommand = click.option("--reason", required=True, help="Reason; it is recorded.")(subcommand)
    work.add_command(click.command(name)(subcommand))


_add_command(
    "done",
    "Report that the work on MACHINE is done; it counts as out until its return is verified.",
    "machine",
)
_add_command("pause", "Take no further machines out for REQUEST; those that are out stay out.", "request")
_add_command("resume", "Resume REQUEST.", "request")
_add_command("cancel", "Cancel REQUEST; machines that are out stay out until their work is done.", "request")
_add_command(
    "abandon",
    "Abandon the turn of MACHINE, after making sure that nobody is working on it.",
    "machine",
    reason=True,
)


@work.command()
@operators_option
@node_option
@by_option
@click.option("--reason", required=True, help="How it is known; it is recorded.")
@click.option(
    "--start",
    type=click.IntRange(1),
    help="Number of its last start; by default the last known to the cluster.",
)
@click.argument("edge")
def gone(operators: Path, node: str | None, by: str, reason: str, start: int | None, edge: str) -> None:
    """Declare that edge node EDGE is gone: turns no longer wait for it.

    Use it only if the node is known to be off: the other nodes then rely on it sending nothing more. A later
    start of the node is not affected.
    """
    if start is None:
        last_start = json.loads(ask(cluster_part(operators), node, "starts?", [edge])[1])
        start = int(last_start)
        if not start:
            raise InputError(
                [f"{edge}: the cluster has received nothing from a node of this name; specify its --start"]
            )
    execute(operators, node, "gone", [edge, start, by, reason])
    click.echo("done")
