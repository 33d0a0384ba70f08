"""Results of scale tests, kept as JSON in the results folder: each row with the day of its run."""

from __future__ import annotations

import datetime
from pathlib import Path

import msgspec
from msgspec import Struct

from merlintally.forms import InputError
from merlintally.lab.scale.capacity import Capacity
from merlintally.lab.scale.slope import Row


class Kept(Struct, frozen=True):
    """The latest row of each scale test, all at the same size of the installation."""

    capacity: Capacity
    quick: bool
    rows: dict[str, Row] = {}
    days: dict[str, str] = {}  # by row: the day of the run, YYYY-MM-DD

    def with_row(self, row: Row, day: datetime.date) -> Kept:
        return Kept(
            self.capacity,
            self.quick,
            {**self.rows, row.name: row},
            {**self.days, row.name: day.isoformat()},
        )


def file_in(folder: Path, quick: bool, whole_lists: bool = False) -> Path:
    """Rows of nodes without subsets of app servers are in a file of their own."""
    return folder / f"scale{'-quick' if quick else ''}{'-whole-lists' if whole_lists else ''}.json"


def read_kept(path: Path) -> Kept:
    """The results in a file, or InputError that names it."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Kept)
    except OSError as wrong:
        raise InputError([f"{path}: can't be read: {wrong.strerror}"]) from None
    except (msgspec.DecodeError, msgspec.ValidationError) as wrong:
        raise InputError([f"{path}: holds no results of scale tests: {wrong}"]) from None


def kept_or_new(path: Path, capacity: Capacity, quick: bool) -> Kept:
    """Earlier results to go on with; none of another size of the installation."""
    if path.exists():
        kept = read_kept(path)
        if kept.capacity == capacity:
            return kept
    return Kept(capacity, quick)


def write_kept(path: Path, kept: Kept) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    written = path.with_suffix(".tmp")
    written.write_bytes(msgspec.json.format(msgspec.json.encode(kept), indent=1))
    written.replace(path)
