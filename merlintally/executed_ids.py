"""Remembers for which ids of requests an execution may have happened, within a stated number (I/O-free).

A request that may not simply be repeated is known by its id. Its client may leave while an app server runs
it, and send the same id again on another connection. Ids are remembered by their number and not by time:
beyond it, ids whose clients were answered are dropped first, then the oldest. Nothing is known of ids that
other nodes, or an earlier process of this one, have executed.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

DEFAULT_MAX_IDS = 20_000
MIN_MAX_IDS = 64
ID_BYTES = 512  # what one remembered id takes


class PastExecution(NamedTuple):
    """An execution that may have happened; zone and cell are those of its server at that time."""

    sent_at: float  # seconds
    zone: str
    cell: int


class ExecutedIds:
    """The executions that may have happened of requests that are over, by the ids of these."""

    def __init__(self, max_ids: int = DEFAULT_MAX_IDS) -> None:
        self.max_ids = max(MIN_MAX_IDS, max_ids)
        # Both in the order of their ends, the oldest first.
        self._answered: OrderedDict[bytes, tuple[PastExecution, ...]] = OrderedDict()
        self._unanswered: OrderedDict[bytes, tuple[PastExecution, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._answered) + len(self._unanswered)

    def executions(self, id_: bytes) -> tuple[PastExecution, ...]:
        """Return the executions that may have happened for an id; empty if none is known."""
        return self._unanswered.get(id_) or self._answered.get(id_) or ()

    def record(self, id_: bytes, executions: tuple[PastExecution, ...], answered: bool) -> None:
        """Remember all executions of an id whose request is over.

        `answered`: an app server's answer was passed on to its client, which has no reason to send it again.
        """
        self._answered.pop(id_, None)
        self._unanswered.pop(id_, None)
        if not executions:
            return
        group = self._answered if answered else self._unanswered
        group[id_] = executions
        if len(self) > self.max_ids:
            (self._answered or self._unanswered).popitem(last=False)
