"""The notes that gateways send each other: rows of a customer's mark and what was drawn since."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import Protocol

ROW = struct.Struct(">Ib")  # what was drawn is in half units
MOST_ROWS = 256 // ROW.size


class Drawn(Protocol):
    """A customer, of whose draws the notes tell."""

    mark: int
    drawn: float  # not told yet


def told(customers: Iterable[Drawn]) -> bytes:
    """A note of all that was not told yet, as far as there is room; what a row can't hold is told later.

    >>> from types import SimpleNamespace
    >>> one = SimpleNamespace(mark=7, drawn=65.25)
    >>> list(unpack(told([one]))), one.drawn, list(unpack(told([one])))
    ([(7, 63.5)], 1.75, [(7, 2.0)])
    """
    note = bytearray()
    for one in customers:
        halves = max(-127, min(127, round(2 * one.drawn)))
        if halves and len(note) < MOST_ROWS * ROW.size:
            one.drawn -= halves / 2
            note += ROW.pack(one.mark, halves)
    return bytes(note)


def unpack(note: bytes) -> Iterator[tuple[int, float]]:
    """The rows of a note; none where it can't be one.

    >>> list(unpack(b"seven b"))
    []
    """
    if len(note) % ROW.size == 0:
        for mark, halves in ROW.iter_unpack(note):
            yield mark, halves / 2
