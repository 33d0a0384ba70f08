"""The log: plain lines on standard error, limited in rate so that trouble can't flood it."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from typing import TextIO


class Log:
    """Prints a line for each thing said; more than `per_second` a second are counted and left out."""

    def __init__(self, name: str, per_second: float, stream: TextIO | None = None) -> None:
        self.name, self.per_second, self.stream = name, per_second, stream
        self.room, self.at, self.left_out = per_second, time.monotonic(), 0

    def say(self, text: str) -> None:
        now = time.monotonic()
        self.room = min(self.per_second, self.room + (now - self.at) * self.per_second)
        self.at = now
        if self.room < 1:
            self.left_out += 1
            return
        self.room -= 1
        more = f" ({self.left_out} lines left out before this one)" if self.left_out else ""
        self.left_out = 0
        line = " ".join(text[:4000].split())
        with suppress(OSError, ValueError):  # whoever read the log has gone; the node goes on without it
            print(f"{self.name}: {line}{more}", file=self.stream or sys.stderr, flush=True)
