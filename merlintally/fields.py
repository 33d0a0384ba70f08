"""Named text values, read with their types; what is wrong is said with the name of the field."""

from __future__ import annotations

import math
from typing import TypeVar

T = TypeVar("T")
Fields = dict[str, str]


class Malformed(Exception):
    """Something that does not follow its form; the text says what is wrong with it."""


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
        found = float(text(fields, name))
    except ValueError:
        raise Malformed(f"field {name!r} is not a number: {value!r}") from None
    if not math.isfinite(found):
        raise Malformed(f"field {name!r} is not a finite number: {value!r}")
    return found


def truth(fields: Fields, name: str) -> bool:
    """A yes-or-no value; absent means no.

    >>> truth({"over": "1"}, "over"), truth({}, "over"), truth({"over": "false"}, "over")
    (True, False, False)
    """
    return fields.get(name, "0") in ("1", "true")


def known(table: dict[str, T], word: str, name: str) -> T:
    try:
        return table[word]
    except KeyError:
        raise Malformed(f"field {name!r} has an unknown value {word!r}") from None
