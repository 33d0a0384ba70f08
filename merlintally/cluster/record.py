"""A node's own record: one JSON object a line, of what it did and when, for those who check it afterwards."""

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
    """Lines go out at once, so that a killed process leaves all that it has done. Times are CLOCK_MONOTONIC
    seconds, comparable on one machine."""

    def __init__(self, path: str | Path, node: str, start: int) -> None:
        self.node, self.start, self.encode = node, start, msgspec.json.Encoder().encode
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def add(self, event: str, **fields: Any) -> None:
        row = {
            "at": round(time.monotonic(), 6),
            "node": self.node,
            "start": self.start,
            "event": event,
            **fields,
        }
        with suppress(OSError):  # a full disk ends neither the node nor its service
            os.write(self.file, self.encode(row) + b"\n")


def starts_in(path: str | Path) -> int:
    """How many starts of a node its record tells of."""
    try:
        return Path(path).read_bytes().count(b'"event":"start"')
    except FileNotFoundError:
        return 0


class RecordingLog(Log):
    """A log that also hands steps of requests to a record, whether they are wanted as lines or not."""

    def __init__(
        self, name: str, per_second: float, stream: TextIO | None = None, style: Style | None = None
    ) -> None:
        super().__init__(name, per_second, stream, style)
        self.record: Record | None = None
        self.lines = False  # whether steps are wanted as lines, too

    def say(self, text: str, event: str = "said", **fields: object) -> None:
        if event.startswith(("submission.", "execution.")):
            if event == ANSWERED and self.record is not None:
                self.record.add("answer", id=fields.get("submission"), how=fields.get("answer"))
            if not self.lines:
                return
        super().say(text, event, **fields)
