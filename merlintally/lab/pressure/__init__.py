"""Pressure plays: one real edge node beside clients that strain its memory, or ids and addresses that return.

Each play gives figures: the node's memory, how the usual clients fared, and which ids ran twice.
"""

from merlintally.lab.pressure.play import PLAYS, PlayResult, run_play
from merlintally.lab.pressure.replaced import REPLACED_PLAYS, ReplacedResult, run_replaced
from merlintally.lab.pressure.returning import RETURNING_PLAYS, ReturningResult, run_returning
from merlintally.lab.pressure.staging import PlayOptions

__all__ = [
    "PLAYS",
    "REPLACED_PLAYS",
    "RETURNING_PLAYS",
    "PlayOptions",
    "PlayResult",
    "ReplacedResult",
    "ReturningResult",
    "run_play",
    "run_replaced",
    "run_returning",
]
