"""`merlintally cluster`: found a cluster's folder, look at a node, change who votes, explain the stated
times."""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from typing import Any

import anyio
import click

from merlintally.cli.front import told
from merlintally.forms import Faults
from merlintally.operators import ClusterPart, read_operators

FILE = click.Path(dir_okay=False, path_type=Path)
operators_option = click.option(
    "--operators",
    type=FILE,
    envvar="LB_OPERATORS",
    show_envvar=True,
    required=True,
    help="The operators' file of any node of the cluster; its section [cluster].",
)
node_option = click.option(
    "--node", help="Ask this node, by name or ADDRESS:PORT; left out, any of the seeds."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print for machines.")


def cluster_part(operators: Path) -> ClusterPart:
    """The section [cluster], or Faults that say it is missing."""
    part = read_operators(operators).cluster
    if not part.name:
        raise Faults([f"{operators}: cluster.name: is missing, so there is no cluster here"])
    return part


def places(part: ClusterPart, node: str | None) -> list[str]:
    """Addresses to ask, in their order."""
    if node is not None and ":" in node:
        return [node]
    if node is not None:
        if node not in part.seeds:
            raise Faults([f"--node: {node} is not among the seeds {', '.join(sorted(part.seeds))}"])
        return [part.seeds[node]]
    return [part.listen, *(where for where in part.seeds.values() if where != part.listen)]


def ask(part: ClusterPart, node: str | None, verb: str, args: list[Any], id_: str = "") -> tuple[bool, str]:
    """Ask nodes in turn until one answers, always with the same id, so that it counts once. ClickException,
    exit code 1, where none does."""
    from merlintally.cluster.links import InvalidFrame
    from merlintally.cluster.links import request as ask_one
    from merlintally.net.configuration import parse_address

    id_ = id_ or f"cli:{secrets.token_hex(8)}"
    said = ""
    for _ in range(3):
        for where in places(part, node):
            try:
                ok, text = anyio.run(
                    ask_one, parse_address(where, "node"), part.name, part.secret, id_, verb, args, 12.0
                )
            except (
                OSError,
                TimeoutError,
                InvalidFrame,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
            ) as wrong:
                said = f"{where}: {wrong or 'no answer'}"
                continue
            if ok or "ask again" not in text:
                return ok, text
            said = text
    raise click.ClickException(f"no node of cluster {part.name} could do it: {said}")


def refuse(text: str) -> None:
    """Bad input that only the nodes could know: one line, exit code 2."""
    raise Faults([text])


@click.group()
def cluster() -> None:
    """Many nodes as one: who votes, who leads, who is there."""


@cluster.command()
@operators_option
def init(operators: Path) -> None:
    """Found a new cluster in this node's folder.

    For each of the first voters, once, before its first start. A node without it waits until the others have
    let it in: never found a folder anew for a voter that has lost its own.
    """
    from merlintally.cluster.disk import CorruptFolder, Disk

    part = cluster_part(operators)
    if (Path(part.folder) / "agreement.log").exists():
        raise Faults([f"cluster.folder: {part.folder} holds a log already; nothing was changed"])
    try:
        disk = Disk(Path(part.folder))
    except (OSError, CorruptFolder) as wrong:
        raise Faults([f"cluster.folder: {wrong}"]) from None
    disk.mark_admitted()
    disk.close()
    click.echo(f"{part.folder}: founded for cluster {part.name}, voters {', '.join(part.voters)}")


@cluster.command()
@operators_option
@node_option
@json_option
def status(operators: Path, node: str | None, as_json: bool) -> None:
    """Who leads, who votes, who is there, as one node sees it."""
    _, text = ask(cluster_part(operators), node, "status", [])
    found = json.loads(text)
    states: dict[str, list[str]] = {}
    for name, state in found["members"].items():
        states.setdefault(state, []).append(name)
    told(
        found,
        as_json,
        [
            f"asked {found['node']} (start {found['start']}): leader {found['leader'] or 'nobody'}, "
            f"term {found['term']}, entry {found['index']} of {found['commit']}",
            f"voters {', '.join(found['voters'])}"
            + (f"; learning {', '.join(found['learners'])}" if found["learners"] else "")
            + ("; this node has lost its log and does not vote yet" if found["blank"] else ""),
            *(f"{state}: {', '.join(names)}" for state, names in sorted(states.items())),
        ],
    )


@cluster.command()
@operators_option
@json_option
def explain(operators: Path, as_json: bool) -> None:
    """The times that these settings promise, with their parts."""
    from merlintally.cluster.bounds import bounds_of

    rows = bounds_of(cluster_part(operators))
    told(
        [row._asdict() for row in rows],
        as_json,
        (f"{row.name:28} {row.stated_s:8.2f} s  = {row.parts}" for row in rows),
    )


def _vote(operators: Path, node: str, verb: str) -> None:
    ok, text = ask(cluster_part(operators), None, verb, [node])
    if not ok:
        refuse(text)
    click.echo(text or "nothing to change")


@cluster.command("add-voter")
@operators_option
@click.argument("node")
def add_voter(operators: Path, node: str) -> None:
    """Have NODE vote: it learns all there is first."""
    _vote(operators, node, "learn")


@cluster.command("remove-voter")
@operators_option
@click.argument("node")
def remove_voter(operators: Path, node: str) -> None:
    """Have NODE vote no more."""
    _vote(operators, node, "unvote")
