"""Results files: JSON lines, one `Result` a line, in the order in which days ended.

Lines are written whole and flushed one by one. A line that is cut off at the file's end (the run was ended in
the midst of it) is left out and played again; one spoilt before the end is an error that names its line.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from merlintally.forms import InputError

RESULT_VERSION = 1
Key = tuple[str, int, int, str, str]


class Result(msgspec.Struct, frozen=True):
    """What came of a day: one line of a results file (docs/laboratory.md has the format)."""

    version: int
    day: str
    seed: int
    gateways: int
    servers: int
    build: str
    build_digest: str
    figures: dict[str, float]
    broken: dict[str, int]  # rule -> how often
    breaches: list[str]
    record_digest: str
    record_lines: int
    wall_s: float
    peak_mb: float
    notices: list[str]
    length_s: float
    at: str = ""  # when it was played, UTC
    timing: str = "simulated"  # or "real", on sockets
    series: dict[str, list[float]] = {}
    customers: list[dict[str, Any]] = []
    out: list[tuple[float, dict[str, int]]] = []
    troubles: list[tuple[str, float, float]] = []


def key_of(result: Result) -> Key:
    """What is not played twice: day, seed, size, build and its text."""
    return result.day, result.seed, result.gateways, result.build, result.build_digest


class ResultsFile:
    """A results file that is read, and gone on with."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self) -> list[Result]:
        """All whole results; InputError names a line that is spoilt or of another version."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as wrong:
            raise InputError([f"{self.path}: can't be read: {wrong.strerror}"]) from None
        lines = data.split(b"\n")
        whole, cut_off = lines[:-1], lines[-1]
        found = []
        for number, line in enumerate(whole, 1):
            try:
                one = msgspec.json.decode(line, type=Result)
            except msgspec.MsgspecError as wrong:
                raise InputError([f"{self.path}: line {number} is no result: {wrong}"]) from None
            if one.version != RESULT_VERSION:
                raise InputError(
                    [f"{self.path}: line {number} has version {one.version}, not {RESULT_VERSION}"]
                )
            found.append(one)
        if cut_off:
            self.cut(len(data) - len(cut_off))
        return found

    def cut(self, length: int) -> None:
        """Take off a line that was never finished."""
        with self.path.open("r+b") as file:
            file.truncate(length)

    def append(self, results: Iterable[Result]) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with self.path.open("ab") as file:
            for one in results:
                file.write(msgspec.json.encode(one) + b"\n")
                file.flush()
                os.fsync(file.fileno())
