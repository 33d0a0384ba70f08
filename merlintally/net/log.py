"""The log: rate-limited lines on standard error."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Protocol, TextIO


class Style(Protocol):
    """Formats a log line."""

    def line(self, name: str, event: str, text: str, fields: Mapping[str, object], left_out: int) -> str: ...


class Plain:
    """Plain text on one line; the fields are added only where there is no text."""

    def line(self, name: str, event: str, text: str, fields: Mapping[str, object], left_out: int) -> str:
        suffix = f" ({left_out} lines left out before this one)" if left_out else ""
        message = text or " ".join([event, *(f"{key}={value}" for key, value in fields.items())])
        return f"{name}: {' '.join(message[:4000].split())}{suffix}"


class Log:
    """Prints messages as lines; those beyond `per_second` a second are dropped and counted.

    `logs_steps` enables messages for each step of a request. `on_reload`, if set, is called at SIGHUP to
    update the log's settings.
    """

    def __init__(
        self,
        name: str,
        per_second: float,
        stream: TextIO | None = None,
        style: Style | None = None,
        logs_steps: bool = False,
    ) -> None:
        self.name, self.per_second, self.stream = name, per_second, stream
        self.style, self.logs_steps = style or Plain(), logs_steps
        self.on_reload: Callable[[Log], None] | None = None
        self.tokens, self.refilled_at, self.left_out = per_second, time.monotonic(), 0

    def say(self, text: str, event: str = "said", **fields: object) -> None:
        """Logs a message: `event` and `fields` for structured lines, `text` with the same content to read."""
        now = time.monotonic()
        self.tokens = min(self.per_second, self.tokens + (now - self.refilled_at) * self.per_second)
        self.refilled_at = now
        if self.tokens < 1:
            self.left_out += 1
            return
        self.tokens -= 1
        left_out, self.left_out = self.left_out, 0
        try:
            line = self.style.line(self.name, event, text, fields, left_out)
        except Exception as error:  # a failing style must not end the node
            text = f"{text} (the log's style failed: {error!r})"
            line = Plain().line(self.name, event, text, fields, left_out)
        with suppress(OSError, ValueError):  # standard error is closed or full
            print(line, file=self.stream or sys.stderr, flush=True)
