"""`merlintally cluster`: initialise a cluster's folder, show a node's state, change the voters, explain the
guaranteed times."""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from typing import Any

import anyio
import click

from merlintally.cli.front import print_result
from merlintally.forms import InputError
from merlintally.operators import ClusterPart, read_operators

FILE = click.Path(dir_okay=False, path_type=Path)
operators_option = click.option(
    "--operators",
    type=FILE,
    envvar="LB_OPERATORS",
    show_envvar=True,
    required=True,
    help="Operators' file of any node of the cluster; its section [cluster] is used.",
)
node_option = click.option(
    "--node", help="Node to ask, by name or ADDRESS:PORT; if omitted, any of the seeds."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def cluster_part(operators: Path) -> ClusterPart:
    """Return the section [cluster]. Raises InputError if it is missing."""
    part = read_operators(operators).cluster
    if not part.name:
        raise InputError([f"{operators}: cluster.name: is missing, so no cluster is configured"])
    return part


def addresses_of(part: ClusterPart, node: str | None) -> list[str]:
    """Return the addresses to ask, in order. Raises InputError if `node` is not among the seeds."""
    if node is not None and ":" in node:
        return [node]
    if node is not None:
        if node not in part.seeds:
            raise InputError([f"--node: {node} is not among the seeds {', '.join(sorted(part.seeds))}"])
        return [part.seeds[node]]
    return [part.listen, *(address for address in part.seeds.values() if address != part.listen)]


def ask(part: ClusterPart, node: str | None, verb: str, args: list[Any], id_: str = "") -> tuple[bool, str]:
    """Ask nodes in turn until one answers. Returns whether the request succeeded and its answer.

    All attempts have the same id, so that the request is executed once. Raises ClickException (exit code 1)
    if no node answers.
    """
    from merlintally.cluster.links import InvalidFrame
    from merlintally.cluster.links import request as ask_one
    from merlintally.net.configuration import parse_address

    id_ = id_ or f"cli:{secrets.token_hex(8)}"
    last_error = ""
    for _ in range(3):
        for address in addresses_of(part, node):
            try:
                ok, text = anyio.run(
                    ask_one, parse_address(address, "node"), part.name, part.secret, id_, verb, args, 12.0
                )
            except (
                OSError,
                TimeoutError,
                InvalidFrame,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
            ) as error:
                last_error = f"{address}: {error or 'no answer'}"
                continue
            if ok or "ask again" not in text:
                return ok, text
            last_error = text
    raise click.ClickException(f"no node of cluster {part.name} could execute the request: {last_error}")


def refuse(text: str) -> None:
    """Report invalid input that a node has rejected: one line, exit code 2."""
    raise InputError([text])


@click.group()
def cluster() -> None:
    """Manage a cluster: voters, leader and members."""


@cluster.command()
@operators_option
def init(operators: Path) -> None:
    """Initialise a new cluster in this node's folder.

    Run it once for each initial voter, before its first start. A node whose folder is not initialised waits
    until the others admit it: never initialise a folder again for a voter that has lost its own.
    """
    from merlintally.cluster.disk import CorruptFolder, Disk

    part = cluster_part(operators)
    if (Path(part.folder) / "agreement.log").exists():
        raise InputError([f"cluster.folder: {part.folder} holds a log already; nothing was changed"])
    try:
        disk = Disk(Path(part.folder))
    except (OSError, CorruptFolder) as error:
        raise InputError([f"cluster.folder: {error}"]) from None
    disk.mark_admitted()
    disk.close()
    click.echo(f"{part.folder}: initialised for cluster {part.name}, voters {', '.join(part.voters)}")


@cluster.command()
@operators_option
@node_option
@json_option
def status(operators: Path, node: str | None, as_json: bool) -> None:
    """Show leader, voters and members, as one node sees them."""
    _, text = ask(cluster_part(operators), node, "status", [])
    answer = json.loads(text)
    states: dict[str, list[str]] = {}
    for name, state in answer["members"].items():
        states.setdefault(state, []).append(name)
    print_result(
        answer,
        as_json,
        [
            f"asked {answer['node']} (start {answer['start']}): leader {answer['leader'] or 'none'}, "
            f"term {answer['term']}, entry {answer['index']} of {answer['commit']}",
            f"voters {', '.join(answer['voters'])}"
            + (f"; learning {', '.join(answer['learners'])}" if answer["learners"] else "")
            + ("; this node has lost its log and does not vote yet" if answer["blank"] else ""),
            *(f"{state}: {', '.join(names)}" for state, names in sorted(states.items())),
        ],
    )


@cluster.command()
@operators_option
@json_option
def explain(operators: Path, as_json: bool) -> None:
    """Show the times that these settings guarantee, with their terms."""
    from merlintally.cluster.bounds import bounds_of

    rows = bounds_of(cluster_part(operators))
    print_result(
        [row._asdict() for row in rows],
        as_json,
        (f"{row.name:28} {row.stated_s:8.2f} s  = {row.parts}" for row in rows),
    )


def _change_voters(operators: Path, node: str, verb: str) -> None:
    ok, text = ask(cluster_part(operators), None, verb, [node])
    if not ok:
        refuse(text)
    click.echo(text or "nothing to change")


@cluster.command("add-voter")
@operators_option
@click.argument("node")
def add_voter(operators: Path, node: str) -> None:
    """Make NODE a voter, after it has received the whole log."""
    _change_voters(operators, node, "learn")


@cluster.command("remove-voter")
@operators_option
@click.argument("node")
def remove_voter(operators: Path, node: str) -> None:
    """Remove NODE from the voters."""
    _change_voters(operators, node, "unvote")
