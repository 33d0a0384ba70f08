"""The form of the operators' file (TOML). Each part of the program that it can switch on has a section."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct

from merlintally.forms import read_file


class LogPart(Struct, frozen=True, forbid_unknown_fields=True):
    """How the node logs, on standard error."""

    format: Annotated[
        Literal["plain", "logfmt", "json"],
        Meta(description="form of a line: plain text, logfmt, or one JSON object"),
    ] = "plain"
    lines_per_s: Annotated[
        float, Meta(gt=0, le=1e6, description="lines a second at most; what is left out is counted and told")
    ] = 20.0
    submissions: Annotated[
        bool, Meta(description="whether each step of each submission is logged, to follow an id over nodes")
    ] = False


class LabPart(Struct, frozen=True, forbid_unknown_fields=True):
    """What the laboratory's commands take where their options are not given."""

    results: Annotated[str, Meta(min_length=1, description="folder for the results of `lab run`")] = "found"
    processes: Annotated[int, Meta(ge=1, le=256, description="days played side by side by `lab run`")] = 4


class Operators(Struct, frozen=True, forbid_unknown_fields=True):
    """All sections; each may be left out."""

    log: LogPart = LogPart()
    lab: LabPart = LabPart()


def read_operators(path: str | Path) -> Operators:
    """Read and check the file, or raise `merlintally.forms.Faults` with a line for each fault."""
    return read_file(Path(path), Operators)
