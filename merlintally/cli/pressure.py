"""`merlintally lab pressure`: strains one edge node, and reports its memory and what came of its requests."""

from __future__ import annotations

from pathlib import Path
from typing import Protocol

import click

from merlintally.lab.pressure import (
    PLAYS,
    REPLACED_PLAYS,
    RETURNING_PLAYS,
    PlayOptions,
    run_play,
    run_replaced,
    run_returning,
)

BROKEN = 3  # exit code


class PlayFigures(Protocol):
    """What came of a play of any sort."""

    @property
    def held(self) -> bool:
        """Whether the play showed nothing broken."""
        ...

    def line(self) -> str:
        """Return the figures as text."""
        ...


def run_any(name: str, options: PlayOptions) -> PlayFigures:
    """Run a play of any sort by its name."""
    if name in PLAYS:
        return run_play(name, options)
    if name in RETURNING_PLAYS:
        return run_returning(name, options)
    return run_replaced(name, options)


@click.command()
@click.argument(
    "names", nargs=-1, type=click.Choice([*PLAYS, *RETURNING_PLAYS, *REPLACED_PLAYS]), required=True
)
@click.option("--memory", type=float, default=64.0, show_default=True, help="Memory limit of the node, MB.")
@click.option("--for", "seconds", type=float, default=12.0, show_default=True, help="Seconds of strain.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--package-root", type=click.Path(exists=True, file_okay=False, path_type=Path))
def pressure(
    names: tuple[str, ...], memory: float, seconds: float, seed: int, package_root: Path | None
) -> int:
    """Run plays by name; exit code 3 if one did not hold.

    Of a strain: the node went over its memory limit, or a usual request was late. Of ids that come again: one
    ran twice, or an attempt began for a client that had left. Of processes that are replaced: a rule was
    broken, or a usual request was lost.

    --package-root names the folder of another version of the package for the node to run.
    """
    held = True
    for name in names:
        options = PlayOptions(memory, seconds, seed)
        if package_root is not None:
            options = PlayOptions(memory, seconds, seed, package_root=package_root)
        figures = run_any(name, options)
        click.echo(figures.line())
        held = held and figures.held
    return 0 if held else BROKEN
