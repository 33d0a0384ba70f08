"""The log: lines on standard error, limited in rate so that trouble can't flood it."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Protocol, TextIO


class Style(Protocol):
    """How a line of the log is made of what is said."""

    def line(self, name: str, event: str, text: str, fields: Mapping[str, object], left_out: int) -> str: ...


class Plain:
    """Text as it was said, on one line; the fields are in the text already."""

    def line(self, name: str, event: str, text: str, fields: Mapping[str, object], left_out: int) -> str:
        more = f" ({left_out} lines left out before this one)" if left_out else ""
        told = text or " ".join([event, *(f"{key}={value}" for key, value in fields.items())])
        return f"{name}: {' '.join(told[:4000].split())}{more}"


class Log:
    """Prints a line for each thing said; more than `per_second` a second are counted and left out.

    `follows` says whether the steps of each request are wanted, too; `reread` is called at SIGHUP, where
    somebody has set it, to set the log anew.
    """

    def __init__(
        self,
        name: str,
        per_second: float,
        stream: TextIO | None = None,
        style: Style | None = None,
        follows: bool = False,
    ) -> None:
        self.name, self.per_second, self.stream = name, per_second, stream
        self.style, self.follows = style or Plain(), follows
        self.reread: Callable[[Log], None] | None = None
        self.room, self.at, self.left_out = per_second, time.monotonic(), 0

    def say(self, text: str, event: str = "said", **fields: object) -> None:
        """Say something: `event` and `fields` are for structured lines, `text` tells it all to a person."""
        now = time.monotonic()
        self.room = min(self.per_second, self.room + (now - self.at) * self.per_second)
        self.at = now
        if self.room < 1:
            self.left_out += 1
            return
        self.room -= 1
        left_out, self.left_out = self.left_out, 0
        try:
            line = self.style.line(self.name, event, text, fields, left_out)
        except Exception as wrong:  # guards against a style that fails, and ends the node with it
            text = f"{text} (the log's style failed: {wrong!r})"
            line = Plain().line(self.name, event, text, fields, left_out)
        with suppress(OSError, ValueError):  # whoever read the log has gone; the node goes on without it
            print(line, file=self.stream or sys.stderr, flush=True)
