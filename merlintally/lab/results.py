"""Results files: JSON lines, one `Result` a line, in the order in which days ended.

Lines are written whole and flushed one by one. A line that is cut off at the file's end (the run was ended in
the midst of it) is left out and played again; one spoilt before the end is an error that names its line.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

import msgspec

from merlintally.forms import Faults
from merlintally.lab.play import RESULT_VERSION, Result

Key = tuple[str, int, int, str, str]


def key_of(result: Result) -> Key:
    """What is not played twice: day, seed, size, build and its text."""
    return result.day, result.seed, result.gateways, result.build, result.build_digest


class ResultsFile:
    """A results file that is read, and gone on with."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self) -> list[Result]:
        """All whole results; Faults name a line that is spoilt or of another version."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as wrong:
            raise Faults([f"{self.path}: can't be read: {wrong.strerror}"]) from None
        lines = data.split(b"\n")
        whole, cut_off = lines[:-1], lines[-1]
        found = []
        for number, line in enumerate(whole, 1):
            try:
                one = msgspec.json.decode(line, type=Result)
            except msgspec.MsgspecError as wrong:
                raise Faults([f"{self.path}: line {number} is no result: {wrong}"]) from None
            if one.version != RESULT_VERSION:
                raise Faults([f"{self.path}: line {number} has version {one.version}, not {RESULT_VERSION}"])
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
