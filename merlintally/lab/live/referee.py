"""The referee of a day in real time, which sees what a process wrote only once it was read."""

from __future__ import annotations

from merlintally.lab.judge.referee import Referee
from merlintally.lab.model.days import Day
from merlintally.lab.model.record import Record
from merlintally.lab.model.requests import Try
from merlintally.lab.model.servers import Server

READ_AFTER_DEATH_S = 0.5  # until which what a killed process had written may be read


class LiveReferee(Referee):
    """A referee that does not hold it against a node where an app server reads, behind the end of a killed
    process, what the process had written before."""

    def __init__(self, day: Day, started: float, record: Record) -> None:
        super().__init__(day, started, record)
        self._orphaned_at: dict[int, float] = {}  # submission -> when its node was killed

    def died(self, node: str, now: float) -> None:
        self._orphaned_at |= {key: now for key, one in self.open.items() if one.node == node}
        super().died(node, now)

    def sent(self, node: str, trying: Try, number: int, server: Server, now: float) -> None:
        orphaned_at = self._orphaned_at.get(trying.id)
        was_written_before = orphaned_at is not None and now <= orphaned_at + READ_AFTER_DEATH_S
        if trying.id in self.open or not was_written_before:
            super().sent(node, trying, number, server, now)
