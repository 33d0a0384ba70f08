"""Notes, in which gateways report to each other the units that they have drawn of their customers.

A note is a sequence of rows, each with a customer's mark and the units drawn since the last note.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import Protocol

ROW = struct.Struct(">Ib")  # mark, and units drawn in halves
MAX_ROWS = 256 // ROW.size


class Drawn(Protocol):
    """A customer whose drawn units are reported in notes."""

    mark: int
    drawn: float  # units not yet reported


def encode_note(customers: Iterable[Drawn]) -> bytes:
    """Encode a note of all units not yet reported and subtract them from `drawn`.

    Units beyond the range of a row, and customers beyond the size of a note, are left for the next one.

    >>> from types import SimpleNamespace
    >>> one = SimpleNamespace(mark=7, drawn=65.25)
    >>> list(decode_note(encode_note([one]))), one.drawn, list(decode_note(encode_note([one])))
    ([(7, 63.5)], 1.75, [(7, 2.0)])
    """
    note = bytearray()
    for customer in customers:
        halves = max(-127, min(127, round(2 * customer.drawn)))
        if halves and len(note) < MAX_ROWS * ROW.size:
            customer.drawn -= halves / 2
            note += ROW.pack(customer.mark, halves)
    return bytes(note)


def decode_note(note: bytes) -> Iterator[tuple[int, float]]:
    """Decode a note into marks and units drawn; a note of invalid length has no rows.

    >>> list(decode_note(b"seven b"))
    []
    """
    if len(note) % ROW.size == 0:
        for mark, halves in ROW.iter_unpack(note):
            yield mark, halves / 2
