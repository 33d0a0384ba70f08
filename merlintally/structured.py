"""Structured log lines, logfmt or JSON, rendered by structlog.

Loaded only if the operators' file selects one of these formats.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import structlog
from structlog.processors import JSONRenderer, LogfmtRenderer, TimeStamper

RENDERERS: dict[str, Any] = {
    "logfmt": LogfmtRenderer(key_order=["ts", "node", "event"], bool_as_flag=False),
    "json": JSONRenderer(),
}


class _LastLine:
    """A logger that stores the rendered line; `Log` limits the rate and writes to the stream."""

    def __init__(self) -> None:
        self.line = ""

    def info(self, line: str) -> None:
        self.line = line


class Structured:
    """A style of `merlintally.net.log`: timestamp, node, event, the event's fields, the text as `detail`."""

    def __init__(self, format_: str) -> None:
        self.output = _LastLine()
        self.logger: Any = structlog.wrap_logger(
            self.output, processors=[TimeStamper(fmt="iso", utc=True, key="ts"), RENDERERS[format_]]
        )

    def line(self, name: str, event: str, text: str, fields: Mapping[str, object], left_out: int) -> str:
        """Render one line; `left_out` is the number of lines dropped by the rate limit before it."""
        values: dict[str, object] = {
            key: round(value, 6) if isinstance(value, float) else value
            for key, value in fields.items()
            if value is not None
        }
        if text:
            values["detail"] = " ".join(text[:4000].split())
        if left_out:
            values["left_out"] = left_out
        self.logger.info(event, node=name, **values)
        return self.output.line
