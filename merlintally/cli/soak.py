"""`merlintally lab soak`: runs the fault soak test for one or more seeds."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from merlintally.cli.front import print_result

if TYPE_CHECKING:
    from merlintally.lab.soak import SoakResult

BROKEN = 3  # exit code


def row_of(result: SoakResult) -> dict[str, Any]:
    """Return a result as a row for printing."""
    return {
        "seed": result.seed,
        "breaches": [{"promise": breach.promise, "detail": breach.detail} for breach in result.breaches],
        "endings": dict(result.endings),
        "troubles": dict(result.troubles),
        "attempts": result.attempts,
        "driver_lag_s": round(result.driver_lag_s, 3),
    }


def folder_row(seed: int, seconds: float, keep: Path | None) -> dict[str, Any]:
    """Run the soak test of a cluster with folders and return its row."""
    from merlintally.lab.soak.folders import run_folder_soak

    result = run_folder_soak(seed, seconds, keep)
    breaches = [
        {"promise": breach["promise"], "detail": " / ".join(breach["lines"])} for breach in result["broken"]
    ]
    breaches += [{"promise": "what was begun is finished", "detail": entry} for entry in result["unfinished"]]
    submissions = result["submissions"]
    return {
        "seed": seed,
        "breaches": breaches,
        "endings": {key: submissions[key] for key in ("taken", "answered", "twice")},
        "troubles": result["faults"],
        "attempts": submissions["answered"],
        "driver_lag_s": 0.0,
    }


def lines_of(rows: list[dict[str, Any]]) -> Iterator[str]:
    """Yield the rows as text."""
    for row in rows:
        endings = ", ".join(f"{count} {name}" for name, count in sorted(row["endings"].items()))
        troubles = sum(row["troubles"].values())
        yield (
            f"seed {row['seed']}: {len(row['breaches'])} breaches; {row['attempts']} attempts, {endings}; "
            f"{troubles} troubles; the driver ran at most {row['driver_lag_s']} s late"
        )
        yield from (f"  {breach['promise']}: {breach['detail']}" for breach in row["breaches"])


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Number of seeds.")
@click.option(
    "--nodes", type=click.IntRange(2, 40), default=10, show_default=True, help="Number of node processes."
)
@click.option(
    "--for",
    "seconds",
    type=click.FloatRange(1, 600),
    default=10.0,
    show_default=True,
    help="Duration of each, seconds.",
)
@click.option("--folders", is_flag=True, help="Run a cluster with folders whose disks fail instead.")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="Keep logs in this folder.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def soak(
    seed: int, seeds: int, nodes: int, seconds: float, folders: bool, keep: Path | None, as_json: bool
) -> int:
    """Run node processes under random overlapping faults; exit code 3 if a guarantee was violated."""
    from merlintally.lab.soak import run_soak

    rows = []
    for number in range(seed, seed + seeds):
        folder = keep / str(number) if keep is not None else None
        if folders:
            rows.append(folder_row(number, seconds, folder))
        else:
            rows.append(row_of(run_soak(number, nodes, seconds, folder)))
    print_result(rows, as_json, lines_of(rows))
    return BROKEN if any(row["breaches"] for row in rows) else 0
