"""`merlintally lab soak`: seeds of the fault soak, one after another."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from merlintally.cli.front import told

if TYPE_CHECKING:
    from merlintally.lab.soak import SoakResult

BROKEN = 3  # exit code


def row_of(result: SoakResult) -> dict[str, Any]:
    """A result as it is printed."""
    return {
        "seed": result.seed,
        "breaches": [{"promise": one.promise, "detail": one.detail} for one in result.breaches],
        "endings": dict(result.endings),
        "troubles": dict(result.troubles),
        "attempts": result.attempts,
        "driver_lag_s": round(result.driver_lag_s, 3),
    }


def folder_row(seed: int, seconds: float, keep: Path | None) -> dict[str, Any]:
    """The same of a cluster with folders."""
    from merlintally.lab.soak.folders import run_folder_soak

    found = run_folder_soak(seed, seconds, keep)
    breaches = [{"promise": one["promise"], "detail": " / ".join(one["lines"])} for one in found["broken"]]
    breaches += [{"promise": "what was begun is finished", "detail": one} for one in found["unfinished"]]
    submissions = found["submissions"]
    return {
        "seed": seed,
        "breaches": breaches,
        "endings": {key: submissions[key] for key in ("taken", "answered", "twice")},
        "troubles": found["faults"],
        "attempts": submissions["answered"],
        "driver_lag_s": 0.0,
    }


def lines_of(rows: list[dict[str, Any]]) -> Iterator[str]:
    """What a person reads."""
    for row in rows:
        endings = ", ".join(f"{count} {name}" for name, count in sorted(row["endings"].items()))
        troubles = sum(row["troubles"].values())
        yield (
            f"seed {row['seed']}: {len(row['breaches'])} breaches; {row['attempts']} attempts, {endings}; "
            f"{troubles} troubles; the driver ran {row['driver_lag_s']} s late at the worst"
        )
        yield from (f"  {one['promise']}: {one['detail']}" for one in row["breaches"])


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="How many seeds.")
@click.option("--nodes", type=click.IntRange(2, 40), default=10, show_default=True, help="Node processes.")
@click.option(
    "--for", "seconds", type=click.FloatRange(1, 600), default=10.0, show_default=True, help="Each, seconds."
)
@click.option("--folders", is_flag=True, help="A cluster with folders whose disks fail, in place of that.")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="Keep logs in this folder.")
@click.option("--json", "as_json", is_flag=True, help="Print for machines.")
def soak(
    seed: int, seeds: int, nodes: int, seconds: float, folders: bool, keep: Path | None, as_json: bool
) -> int:
    """Play node processes under random faults that overlap; exit code 3 where a promise was broken."""
    from merlintally.lab.soak import run_soak

    rows = []
    for number in range(seed, seed + seeds):
        folder = keep / str(number) if keep is not None else None
        if folders:
            rows.append(folder_row(number, seconds, folder))
        else:
            rows.append(row_of(run_soak(number, nodes, seconds, folder)))
    told(rows, as_json, lines_of(rows))
    return BROKEN if any(row["breaches"] for row in rows) else 0
