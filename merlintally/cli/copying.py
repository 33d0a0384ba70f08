"""`merlintally copies`: what nodes hold of the state that matters, and whether their copies are the same."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from merlintally.cli.cluster import FILE, ask, cluster_part, json_option, node_option, operators_option
from merlintally.cli.front import told
from merlintally.forms import Faults

DIFFER = 3  # exit code


@click.group()
def copies() -> None:
    """State that matters, in copies among the nodes: look at it, compare it, take it out."""


def copied(operators: Path, node: str | None, *what: str) -> dict[str, Any]:
    """What one node says of its copies; Faults where it keeps none."""
    found: dict[str, Any] = json.loads(ask(cluster_part(operators), node, "copies?", [*what])[1])
    if not found["on"]:
        raise Faults([f"cluster.copies: is 0 at {found['node']}, which keeps no copies"])
    return found


@copies.command()
@operators_option
@node_option
@json_option
def status(operators: Path, node: str | None, as_json: bool) -> None:
    """Whether a node has caught up, how much it holds, and what waits to go out."""
    found = copied(operators, node, "status")
    state = "caught up" if found["caught_up"] else "cold" if found["cold"] else "catching up"
    told(
        found,
        as_json,
        [
            f"{found['node']} (start {found['start']}): {state}; {found['rows']} rows, "
            f"{found['shards']} shards",
            f"waiting to go out {found['unsent']}, unanswered {found['unanswered']}, "
            f"shards that move away {found['leaving']}",
            f"refused {found['refused']}, in quarantine {found['quarantined']}",
        ],
    )


@copies.command()
@operators_option
@json_option
def compare(operators: Path, as_json: bool) -> int:
    """Compare the digests of all seeds that answer; exit code 3 where two hold different copies of a shard.

    Copies differ for a moment after each change: what lasts is worth a look.
    """
    part = cluster_part(operators)
    held: dict[str, dict[str, list[str]]] = {}
    silent = []
    for name in sorted(part.seeds):
        try:
            found = copied(operators, name, "digests")
        except click.ClickException:
            silent.append(name)
            continue
        for shard, digest in found["digests"].items():
            held.setdefault(shard, {}).setdefault(digest, []).append(name)
    differ = {shard: rows for shard, rows in held.items() if len(rows) > 1}
    told(
        {"shards": len(held), "differ": differ, "silent": silent},
        as_json,
        [
            f"{len(held)} shards held by those asked, {len(differ)} of them differ"
            + (f"; no answer from {', '.join(silent)}" if silent else ""),
            *(
                f"shard {shard}: " + "; ".join(f"{one} at {', '.join(names)}" for one, names in rows.items())
                for shard, rows in sorted(differ.items(), key=lambda row: int(row[0]))
            ),
        ],
    )
    return DIFFER if differ else 0


@copies.command()
@operators_option
@node_option
@json_option
def quarantine(operators: Path, node: str | None, as_json: bool) -> None:
    """Copies of one version that differed: both, with where they came from. Nobody acts on them."""
    found = copied(operators, node, "quarantine")
    told(
        found,
        as_json,
        [
            f"from {origin}: {kind} {key} of {owner}, start {start}, version {version}: "
            + " ".join(f"{figure:g}" for figure in figures)
            for origin, kind, key, owner, start, version, figures in found["quarantine"]
        ]
        or ["none"],
    )


@copies.command()
@operators_option
@node_option
@click.argument("file", type=FILE)
def export(operators: Path, node: str | None, file: Path) -> None:
    """Write all rows that a node holds to FILE, one JSON array a line: kind, key, node, start, version,
    figures."""
    count = 0
    with file.open("w", encoding="utf-8") as out:
        for shard in copied(operators, node, "digests")["digests"]:
            for row in copied(operators, node, "rows", shard)["rows"]:
                out.write(json.dumps(row) + "\n")
                count += 1
    click.echo(f"{file}: {count} rows")
