"""`merlintally copies`: shows, compares and exports the replicated state that nodes hold."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from merlintally.cli.cluster import FILE, ask, cluster_part, json_option, node_option, operators_option
from merlintally.cli.front import print_result
from merlintally.forms import InputError

DIFFERENT = 3  # exit code


@click.group()
def copies() -> None:
    """Show, compare and export the replicated state of the nodes."""


def query_copies(operators: Path, node: str | None, *query: str) -> dict[str, Any]:
    """Ask a node about its copies. Raises InputError if it keeps none."""
    answer: dict[str, Any] = json.loads(ask(cluster_part(operators), node, "copies?", [*query])[1])
    if not answer["on"]:
        raise InputError([f"cluster.copies: is 0 at {answer['node']}, which keeps no copies"])
    return answer


@copies.command()
@operators_option
@node_option
@json_option
def status(operators: Path, node: str | None, as_json: bool) -> None:
    """Show whether a node has caught up, what it holds and what it has yet to send."""
    answer = query_copies(operators, node, "status")
    state = "caught up" if answer["caught_up"] else "cold" if answer["cold"] else "catching up"
    print_result(
        answer,
        as_json,
        [
            f"{answer['node']} (start {answer['start']}): {state}; {answer['rows']} rows, "
            f"{answer['shards']} shards",
            f"waiting to be sent {answer['unsent']}, unanswered {answer['unanswered']}, "
            f"shards being handed over {answer['leaving']}",
            f"refused {answer['refused']}, in quarantine {answer['quarantined']}",
        ],
    )


@copies.command()
@operators_option
@json_option
def compare(operators: Path, as_json: bool) -> int:
    """Compare the digests of all seeds that answer; exit code 3 if two hold different copies of a shard.

    Copies differ briefly after each change; only a difference that persists is an error.
    """
    part = cluster_part(operators)
    held: dict[str, dict[str, list[str]]] = {}
    unreachable = []
    for name in sorted(part.seeds):
        try:
            answer = query_copies(operators, name, "digests")
        except click.ClickException:
            unreachable.append(name)
            continue
        for shard, digest in answer["digests"].items():
            held.setdefault(shard, {}).setdefault(digest, []).append(name)
    differ = {shard: rows for shard, rows in held.items() if len(rows) > 1}
    print_result(
        {"shards": len(held), "differ": differ, "silent": unreachable},
        as_json,
        [
            f"{len(held)} shards held by those asked, {len(differ)} of them differ"
            + (f"; no answer from {', '.join(unreachable)}" if unreachable else ""),
            *(
                f"shard {shard}: "
                + "; ".join(f"{variant} at {', '.join(names)}" for variant, names in rows.items())
                for shard, rows in sorted(differ.items(), key=lambda row: int(row[0]))
            ),
        ],
    )
    return DIFFERENT if differ else 0


@copies.command()
@operators_option
@node_option
@json_option
def quarantine(operators: Path, node: str | None, as_json: bool) -> None:
    """Show rows of the same version that differed, with their origin. They are not used."""
    answer = query_copies(operators, node, "quarantine")
    print_result(
        answer,
        as_json,
        [
            f"from {origin}: {kind} {key} of {owner}, start {start}, version {version}: "
            + " ".join(f"{value:g}" for value in values)
            for origin, kind, key, owner, start, version, values in answer["quarantine"]
        ]
        or ["none"],
    )


@copies.command()
@operators_option
@node_option
@click.argument("file", type=FILE)
def export(operators: Path, node: str | None, file: Path) -> None:
    """Write all rows that a node holds to FILE, one JSON array per line: kind, key, node, start, version,
    values."""
    count = 0
    with file.open("w", encoding="utf-8") as out:
        for shard in query_copies(operators, node, "digests")["digests"]:
            for row in query_copies(operators, node, "rows", shard)["rows"]:
                out.write(json.dumps(row) + "\n")
                count += 1
    click.echo(f"{file}: {count} rows")
