"""`merlintally work`: machines are taken out for work, in an order that the nodes settle among themselves."""

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
from merlintally.cli.front import told
from merlintally.cluster.work.state import LIMIT_PATTERN, Machine, machines_by_name
from merlintally.forms import Faults, load, read

FILE = click.Path(dir_okay=False, path_type=Path)
WAIT_S = 0.5  # between questions


class Machines(msgspec.Struct, frozen=True):
    """A file with the list of machines: tables [[machine]]."""

    machine: tuple[Machine, ...]


by_option = click.option(
    "--by", default=getpass.getuser, help="Who asks; left out, the user.", show_default=False
)


@click.group()
def work() -> None:
    """Machines are taken out one after another, never more than the budget allows, and come back proven."""


def do(operators: Path, node: str | None, verb: str, args: list[Any], id_: str = "") -> None:
    ok, text = ask(cluster_part(operators), node, verb, args, id_)
    if not ok:
        refuse(text)


def status_of(operators: Path, node: str | None) -> dict[str, Any]:
    found: dict[str, Any] = json.loads(ask(cluster_part(operators), node, "status", [])[1])
    return found


@work.command()
@operators_option
@node_option
@by_option
@click.argument("file", type=FILE)
def machines(operators: Path, node: str | None, by: str, file: Path) -> None:
    """Agree on the list of machines in FILE (TOML, tables [[machine]]).

    Each has name, pool, zone, edges (names of its edge nodes), servers (of its app servers), bears
    (attempts a second, where known) and refuge (true: nodes that hear nothing go on sending there).
    """
    found = read(load(file), Machines)
    try:
        machines_by_name(found.machine)
    except ValueError as wrong:
        raise Faults([f"{file}: machine.{wrong}"]) from None
    do(operators, node, "machines", [by, msgspec.to_builtins(found.machine)])
    click.echo(f"{len(found.machine)} machines are agreed on")


@work.command()
@operators_option
@node_option
@by_option
@click.option("--machine", "names", multiple=True, help="A machine; may be repeated, in the order wanted.")
@click.option("--pool", help="All machines of a pool.")
@click.option("--all", "everything", is_flag=True, help="All machines.")
@click.option("--reason", required=True, help="What the work is for.")
@click.option("--most", default="1", show_default=True, help="Out at once in all: a number or n%.")
@click.option("--most-pool", default="1", show_default=True, help="Out at once in a pool.")
@click.option("--most-zone", default="1", show_default=True, help="Out at once in a zone.")
@click.option(
    "--limit", "limit_s", type=click.FloatRange(0, 1e7), default=0.0, help="Seconds that one may be out."
)
@click.option("--id", "id_", help="The request's name; the same one asks for the same thing once.")
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
    """Ask for work on machines; prints the request's name."""
    for option, limit in (("--most", most), ("--most-pool", most_pool), ("--most-zone", most_zone)):
        if not LIMIT_PATTERN.fullmatch(limit):
            raise Faults([f"{option}: {limit!r} is neither a number nor a share like 10%"])
    if bool(names) + bool(pool) + everything != 1:
        raise click.UsageError("one of --machine, --pool and --all")
    if pool or everything:
        rows = json.loads(ask(cluster_part(operators), node, "machines?", [])[1])
        names = tuple(row["name"] for row in rows if everything or row["pool"] == pool)
        if not names:
            raise Faults(
                [f"--pool: {pool} has no machine" if pool else "--all: the list of machines is empty"]
            )
    id_ = id_ or f"r-{secrets.token_hex(3)}"
    do(
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
@click.option("--watch", is_flag=True, help="Look again every second until interrupted.")
def status(operators: Path, node: str | None, as_json: bool, watch: bool) -> None:
    """Who is out, who is next, and why not now."""
    while True:
        found = status_of(operators, node)
        if watch and not as_json:
            click.clear()
        told(found, as_json, lines_of(found))
        if not watch:
            return
        time.sleep(1.0)


def lines_of(found: dict[str, Any]) -> list[str]:
    lines = [
        f"{found['machines']} machines, {len(found['turns'])} out; asked {found['node']}, "
        f"leader {found['leader'] or 'nobody: nothing further is taken out'}"
    ]
    for one in found["requests"]:
        lines.append(
            f"request {one['id']} of {one['by']} ({one['reason']}): {one['state']}, "
            f"{len(one['done'])} of {len(one['machines'])} done"
        )
    for turn in found["turns"]:
        lines.append(
            f"  {turn['machine']}: turn {turn['number']} {turn['state']}"
            + (f", waits for: {turn['waits']}" if turn["waits"] else "")
        )
    if found["overdue"]:
        lines.append(f"  overdue: {', '.join(found['overdue'])}")
    lines += [f"  {name}: not now: {why}" for name, why in sorted(found["why_not"].items())[:20]]
    return lines


@work.command()
@operators_option
@node_option
@click.option(
    "--for", "patience_s", type=click.FloatRange(0), default=0.0, help="Seconds to wait at most; 0: no end."
)
@click.argument("machine")
def wait(operators: Path, node: str | None, patience_s: float, machine: str) -> int:
    """Wait until MACHINE is out: nothing reaches it any more, and people may touch it. Exit code 1 in
    time."""
    part, began, said = cluster_part(operators), time.monotonic(), ""
    while True:
        ok, text = ask(part, node, "turn", [machine])
        unknown = {"state": "", "known": True, "waits": text, "why_not": "", "asked_for": True}
        found: dict[str, Any] = json.loads(text) if ok else unknown
        if not found["known"]:
            raise Faults([f"{machine}: there is no such machine"])
        if found["state"] == "out":
            click.echo(f"{machine} is out, turn {found['number']}")
            return 0
        if not found["state"] and not found["asked_for"]:
            raise Faults([f"{machine}: nobody asks for work on it"])
        why = found["waits"] or found["why_not"] or "its turn has not come"
        if why != said:
            click.echo(f"{machine}: {found['state'] or 'waits'}: {why}", err=True)
            said = why
        if patience_s and time.monotonic() - began > patience_s:
            return 1
        time.sleep(WAIT_S)


@work.command()
@operators_option
@node_option
@by_option
@click.option("--reason", required=True, help="What the work is for.")
@click.option("--pool", help="The machines of one pool; left out, all.")
@click.option("--most", default="1", show_default=True, help="Out at once, in all and in each pool and zone.")
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
    """Ask for work on machines and run COMMAND for each once it is out, its name in place of {}.

    A machine whose COMMAND fails stays out, and is told: exit code 1. Ended early, it goes on where it was
    when it is run again with the same --reason.
    """
    import subprocess

    part = cluster_part(operators)
    rows = json.loads(ask(part, node, "machines?", [])[1])
    names = [row["name"] for row in rows if pool in (None, row["pool"])]
    if not names:
        raise Faults([f"--pool: {pool} has no machine" if pool else "the list of machines is empty"])
    id_ = f"roll-{reason.replace(' ', '-')}"
    known = {one["id"] for one in status_of(operators, node)["requests"]}
    if id_ not in known:
        do(operators, node, "request", [id_, by, reason, names, [most, most, most], 0.0], f"request:{id_}")
    failed: set[str] = set()
    seen = 0
    while True:
        found = status_of(operators, node)
        # guards against the word of a node that is behind
        if found["index"] < seen or not found["caught_up"]:
            time.sleep(WAIT_S)
            continue
        seen = found["index"]
        mine = next((one for one in found["requests"] if one["id"] == id_), None)
        if mine is None or mine["state"] != "open":
            click.echo(f"{id_}: {mine['state'] if mine else 'is gone'}")
            return 1 if failed else 0
        for turn in found["turns"]:
            name = turn["machine"]
            if turn["request"] != id_ or turn["state"] != "out" or name in failed:
                continue
            ok, text = ask(part, node, "turn", [name])  # by the leader's word, not by that of a node behind
            if not ok or json.loads(text)["state"] != "out":
                continue
            click.echo(f"{name} is out, turn {turn['number']}")
            if subprocess.run([word.replace("{}", name) for word in command], check=False).returncode:
                click.echo(f"{name}: the command failed; it stays out", err=True)
                failed.add(name)
            else:
                do(operators, node, "done", [name, by])
        if failed and not any(
            turn["state"] != "out" or turn["machine"] not in failed for turn in found["turns"]
        ):
            return 1
        time.sleep(WAIT_S)


def _verb(name: str, help_: str, argument: str, reason: bool = False) -> None:
    """A command that is one entry about a machine or a request."""

    def run(operators: Path, node: str | None, by: str, reason: str = "", **args: str) -> None:
        do(operators, node, name, [args[argument], by, *([reason] if reason else [])])
        click.echo("done")

    run.__doc__ = help_
    made: Any = click.argument(argument)(by_option(node_option(operators_option(run))))
    if reason:
        made = click.option("--reason", required=True, help="Why; it is kept.")(made)
    work.add_command(click.command(name)(made))


_verb("done", "The work on MACHINE is done: it counts as out until it is proven back.", "machine")
_verb("pause", "Take nothing further out for REQUEST; what is out stays out.", "request")
_verb("resume", "Go on with REQUEST.", "request")
_verb("cancel", "End REQUEST; what is out stays out until it is done.", "request")
_verb(
    "abandon",
    "Give up the turn of MACHINE: a person says that nobody is at work on it.",
    "machine",
    reason=True,
)


@work.command()
@operators_option
@node_option
@by_option
@click.option("--reason", required=True, help="How it is known; it is kept.")
@click.option(
    "--start", type=click.IntRange(1), help="Its last start; left out, the last that the nodes know."
)
@click.argument("edge")
def gone(operators: Path, node: str | None, by: str, reason: str, start: int | None, edge: str) -> None:
    """Say that edge node EDGE is no more: turns wait for it no longer.

    Only when it is known to be off: what it would still send, others count on not being sent. Its next start
    is another matter.
    """
    if start is None:
        found = json.loads(ask(cluster_part(operators), node, "starts?", [edge])[1])
        start = int(found)
        if not start:
            raise Faults([f"{edge}: no node of that name was heard; give its --start"])
    do(operators, node, "gone", [edge, start, by, reason])
    click.echo("done")
