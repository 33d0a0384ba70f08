"""Reads typed values from named text fields; errors give the name of the field."""

from __future__ import annotations

import math
from typing import TypeVar

T = TypeVar("T")
Fields = dict[str, str]


class Malformed(Exception):
    """Input that is missing or invalid; the text says what is wrong."""


def text(fields: Fields, name: str) -> str:
    """The value of a required field."""
    try:
        return fields[name]
    except KeyError:
        raise Malformed(f"field {name!r} is missing") from None


def integer(fields: Fields, name: str, default: int | None = None) -> int:
    """A whole number; Malformed if it is missing without a default, or invalid."""
    value = fields.get(name)
    if value is None and default is not None:
        return default
    try:
        return int(text(fields, name))
    except ValueError:
        raise Malformed(f"field {name!r} is not a whole number: {value!r}") from None


def number(fields: Fields, name: str, default: float | None = None) -> float:
    """A finite number; Malformed if it is missing without a default, or invalid."""
    value = fields.get(name)
    if value is None and default is not None:
        return default
    try:
        parsed = float(text(fields, name))
    except ValueError:
        raise Malformed(f"field {name!r} is not a number: {value!r}") from None
    if not math.isfinite(parsed):
        raise Malformed(f"field {name!r} is not a finite number: {value!r}")
    return parsed


def boolean(fields: Fields, name: str) -> bool:
    """A boolean; False if the field is absent.

    >>> boolean({"over": "1"}, "over"), boolean({}, "over"), boolean({"over": "false"}, "over")
    (True, False, False)
    """
    return fields.get(name, "0") in ("1", "true")


def lookup(table: dict[str, T], word: str, name: str) -> T:
    """The entry of `table` for the value `word` of a field; Malformed if there is none."""
    try:
        return table[word]
    except KeyError:
        raise Malformed(f"field {name!r} has an unknown value {word!r}") from None
