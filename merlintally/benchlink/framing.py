"""Lines and batches of the bench's protocol."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TextIO

from merlintally.fields import Fields, Malformed


def split_line(line: str) -> tuple[str, Fields]:
    """The first word of a line and its name=value fields; Malformed if a part has no `=`.

    >>> split_line("TIMER cookie=77")
    ('TIMER', {'cookie': '77'})
    """
    word, *parts = line.split(" ")
    fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            if not part:
                continue
            raise Malformed(f"{part!r} is not name=value")
        fields[name] = value
    return word, fields


def batches(stream: TextIO) -> Iterator[tuple[int, list[str]]]:
    """The batches of a stream, each with the number of its first line; a batch ends with the line GO."""
    lines: list[str] = []
    first = 1
    for number, raw in enumerate(stream, 1):
        line = raw.rstrip("\r\n")
        if not line:
            continue
        if not lines:
            first = number
        if line == "GO":
            yield first, lines
            lines = []
        else:
            lines.append(line)
    if lines:
        raise Malformed(f"line {first}: the input ended inside a batch")
