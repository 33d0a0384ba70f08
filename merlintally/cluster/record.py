"""A node's record of what it did and when, one JSON object per line, for checks after a run."""

from __future__ import annotations

import os
import time
from contextlib import suppress
from pathlib import Path
from typing import Any, TextIO

import msgspec

from merlintally.net.log import Log, Style

ANSWERED = "submission.answered"


class Record:
    """Writes each line at once, so that the record of a killed process is complete. Times are CLOCK_MONOTONIC
    seconds, comparable on one machine."""

    def __init__(self, path: str | Path, node: str, start: int) -> None:
        self.node, self.start, self.encode = node, start, msgspec.json.Encoder().encode
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def add(self, event: str, **fields: Any) -> None:
        """Write one event."""
        row = {
            "at": round(time.monotonic(), 6),
            "node": self.node,
            "start": self.start,
            "event": event,
            **fields,
        }
        with suppress(OSError):  # the node continues when the disk is full
            os.write(self.file, self.encode(row) + b"\n")


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
