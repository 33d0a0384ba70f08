"""Lines and batches of the bench's wire: splitting, typed fields, and saying what is wrong."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TextIO

Fields = dict[str, str]


class Malformed(Exception):
    """A line that does not follow the wire; the text says what is wrong with it."""


def split_line(line: str) -> tuple[str, Fields]:
    """The first word of a line and its name=value parts.

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


def text(fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise Malformed(f"field {name!r} is missing") from None


def whole(fields: Fields, name: str, default: int | None = None) -> int:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    try:
        return int(text(fields, name))
    except ValueError:
        raise Malformed(f"field {name!r} is not a whole number: {value!r}") from None


def number(fields: Fields, name: str, default: float | None = None) -> float:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    try:
        return float(text(fields, name))
    except ValueError:
        raise Malformed(f"field {name!r} is not a number: {value!r}") from None


def truth(fields: Fields, name: str) -> bool:
    """A yes-or-no value; absent means no.

    >>> truth({"over": "1"}, "over"), truth({}, "over"), truth({"over": "false"}, "over")
    (True, False, False)
    """
    return fields.get(name, "0") in ("1", "true")


def batches(stream: TextIO) -> Iterator[tuple[int, list[str]]]:
    """The batches of a stream, each with the number of its first line."""
    lines: list[str] = []
    start = 1
    for at, raw in enumerate(stream, 1):
        line = raw.rstrip("\r\n")
        if not line:
            continue
        if not lines:
            start = at
        if line == "GO":
            yield start, lines
            lines = []
        else:
            lines.append(line)
    if lines:
        raise Malformed(f"line {start}: the input ended inside a batch")
