"""Structured log lines on structlog: logfmt or JSON. Loaded only where the operators' file asks for them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import structlog
from structlog.processors import JSONRenderer, LogfmtRenderer, TimeStamper

RENDERERS: dict[str, Any] = {
    "logfmt": LogfmtRenderer(key_order=["ts", "node", "event"], bool_as_flag=False),
    "json": JSONRenderer(),
}


class _Caught:
    """A logger that keeps the line, for the log's own limit and stream."""

    def __init__(self) -> None:
        self.line = ""

    def info(self, line: str) -> None:
        self.line = line


class Structured:
    """A style of `merlintally.net.log`: time, node, event, what it is about, and the text as `detail`."""

    def __init__(self, form: str) -> None:
        self.caught = _Caught()
        self.logger: Any = structlog.wrap_logger(
            self.caught, processors=[TimeStamper(fmt="iso", utc=True, key="ts"), RENDERERS[form]]
        )

    def line(self, name: str, event: str, text: str, fields: Mapping[str, object], left_out: int) -> str:
        more: dict[str, object] = {
            key: round(value, 6) if isinstance(value, float) else value
            for key, value in fields.items()
            if value is not None
        }
        if text:
            more["detail"] = " ".join(text[:4000].split())
        if left_out:
            more["left_out"] = left_out
        self.logger.info(event, node=name, **more)
        return self.caught.line
