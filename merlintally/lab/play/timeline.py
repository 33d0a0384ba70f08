"""The timeline of a day's troubles: each is begun at its time."""

from __future__ import annotations

from merlintally.lab.model.days import Trouble
from merlintally.lab.play import maintenance, troubles
from merlintally.lab.play.world import World

KINDS = troubles.KINDS | maintenance.KINDS


def begin(world: World, trouble: Trouble) -> None:
    """A trouble's time has come."""
    now = world.agenda.now
    world.referee.record.line(now, "trouble", f"{trouble.kind} {trouble.lasts_s:g}")
    KINDS[trouble.kind](world, trouble)


def open_day(world: World) -> None:
    """The day begins: clients come, and troubles are on their way."""
    world.open()
    for trouble in world.day.trouble:
        if trouble.kind not in world.left_out:
            world.agenda.after(trouble.at_s, begin, world, trouble)
