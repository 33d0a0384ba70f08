"""A node's record of what it did and when, one JSON object per line, for checks after a run."""

from __future__ import annotations

import os
import time
from collections import deque
from pathlib import Path
from typing import Any, TextIO

import msgspec

from merlintally.net.log import Log, Style

ANSWERED = "submission.answered"
MAX_UNWRITTEN_LINES = 4096  # kept while writes fail; the oldest are dropped beyond it


class Record:
    """Writes each line at once, so that the record of a killed process is complete. Lines that cannot be
    written, while the disk is full, are written with a later event. Times are CLOCK_MONOTONIC seconds,
    comparable on one machine."""

    def __init__(self, path: str | Path, node: str, start: int) -> None:
        self.node, self.start, self.encode = node, start, msgspec.json.Encoder().encode
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._unwritten: deque[bytes] = deque(maxlen=MAX_UNWRITTEN_LINES)

    def add(self, event: str, **fields: Any) -> None:
        """Write one event."""
        row = {
            "at": round(time.monotonic(), 6),
            "node": self.node,
            "start": self.start,
            "event": event,
            **fields,
        }
        self._unwritten.append(self.encode(row) + b"\n")
        self._write_lines()

    def _write_lines(self) -> None:
        while self._unwritten:
            line = self._unwritten[0]
            try:
                written = os.write(self.file, line)
            except OSError:
                return  # the node continues when the disk is full
            if written == len(line):
                self._unwritten.popleft()
            else:
                self._unwritten[0] = line[written:]


def count_starts(path: str | Path) -> int:
    """The number of starts of a node in its record; 0 if there is no record yet."""
    try:
        return Path(path).read_bytes().count(b'"event":"start"')
    except FileNotFoundError:
        return 0


class RecordingLog(Log):
    """A log that also writes answers to submissions to a record.

    `lines` enables log lines about steps of submissions and executions.
    """

    def __init__(
        self, name: str, per_second: float, stream: TextIO | None = None, style: Style | None = None
    ) -> None:
        super().__init__(name, per_second, stream, style)
        self.record: Record | None = None
        self.lines = False

    def say(self, text: str, event: str = "said", **fields: object) -> None:
        if event.startswith(("submission.", "execution.")):
            if event == ANSWERED and self.record is not None:
                self.record.add("answer", id=fields.get("submission"), how=fields.get("answer"))
            if not self.lines:
                return
        super().say(text, event, **fields)
