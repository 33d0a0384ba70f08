"""Judges a folder of records: what was promised and broken, each with the two lines that show it.

Records are files `*.jsonl`, one JSON object a line: `at` (CLOCK_MONOTONIC seconds), `node`, `start`, `event`
and the event's own fields. They need no scenario and no node: a folder written by hand is judged alike.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from merlintally.forms import InputError

Row = dict[str, Any]
MOST = 20  # broken promises of a kind that are told


def rows_of(folder: Path) -> list[Row]:
    """All rows by time, each with the line it stands on; InputError names file and line of one that can't be
    read. A last line that was not whole when its process ended is left out."""
    files = sorted(folder.glob("*.jsonl"))
    if not files:
        raise InputError([f"{folder}: holds no records (*.jsonl)"])
    found: list[Row] = []
    for path in files:
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines(keepends=True)
        for number, line in enumerate(lines, 1):
            try:
                row = json.loads(line)
                if not isinstance(row, dict) or not isinstance(row["at"], int | float) or "event" not in row:
                    raise ValueError("no object with 'at' and 'event'")
            except (ValueError, KeyError) as wrong:
                if number == len(lines) and not line.endswith("\n"):
                    continue
                raise InputError([f"{path.name}:{number}: {wrong}"]) from None
            row["line"] = f"{path.name}:{number}: {line.strip()}"
            found.append(row)
    return sorted(found, key=lambda one: float(one["at"]))


class Broken:
    """What was promised and did not hold."""

    def __init__(self) -> None:
        self.found: list[dict[str, Any]] = []
        self.counts: Counter[str] = Counter()

    def add(self, promise: str, one: Row, other: Row) -> None:
        self.counts[promise] += 1
        if self.counts[promise] <= MOST:
            self.found.append({"promise": promise, "lines": [one["line"], other["line"]]})


def check(folder: Path) -> dict[str, Any]:
    """`broken` (a list), `requests` (taken, answered, twice), `turns`, `leaders` and how many rows
    there are."""
    rows, broken = rows_of(folder), Broken()
    _agreement(rows, broken)
    turns = _turns(rows, broken)
    _sent_there(rows, turns, broken)
    submissions = _submissions(rows, broken)
    return {
        "broken": broken.found,
        "submissions": submissions,
        "rows": len(rows),
        "turns": sum(one["event"] == "back" for one in turns),
        "leaders": _count(rows, "leader"),
        "of_a_kind": dict(broken.counts),
    }


def _count(rows: list[Row], event: str) -> int:
    return sum(one["event"] == event for one in rows)


def _agreement(rows: list[Row], broken: Broken) -> None:
    leaders: dict[int, Row] = {}
    entries: dict[int, Row] = {}
    last: dict[tuple[str, int], Row] = {}
    for row in rows:
        if row["event"] == "leader":
            first = leaders.setdefault(row["term"], row)
            if first["node"] != row["node"]:
                broken.add("one leader a term", first, row)
        elif row["event"] == "committed":
            first = entries.setdefault(row["index"], row) if row["digest"] else row
            if row["digest"] and first["digest"] != row["digest"]:
                broken.add("one history", first, row)
            life = (row["node"], row["start"])
            if life in last and last[life]["index"] >= row["index"]:
                broken.add("no node goes back", last[life], row)
            last[life] = row


def _turns(rows: list[Row], broken: Broken) -> list[Row]:
    """First words of each turn's steps: out, done and back, by whichever node knew first."""
    firsts: dict[tuple[str, int], Row] = {}
    machine_of: dict[int, Row] = {}
    out: dict[str, Row] = {}
    steps: list[Row] = []
    for row in rows:
        if row["event"] not in ("out", "done", "back") or (row["event"], row["number"]) in firsts:
            continue
        firsts[row["event"], row["number"]] = row
        steps.append(row)
        first = machine_of.setdefault(row["number"], row)
        if first["machine"] != row["machine"]:
            broken.add("a turn's number is one machine's", first, row)
        if row["event"] == "back":
            out.pop(row["machine"], None)
        if row["event"] != "out" or ("back", row["number"]) in firsts:
            continue
        if row["machine"] in out:
            broken.add("one turn a machine", out[row["machine"]], row)
        out[row["machine"]] = row
        most = row.get("most", {})
        for key, limit in most.items():
            same = [one for one in out.values() if key == "total" or one[key] == row[key]]
            if len(same) > limit:
                broken.add(f"never over the budget ({key})", same[0], row)
        for other in out.values():
            if other["zone"] != row["zone"]:
                broken.add("never two zones at once", other, row)
    return steps


def _sent_there(rows: list[Row], steps: list[Row], broken: Broken) -> None:
    """What app servers received while their machine was out."""
    out: dict[str, Row] = {}
    todo: Iterator[Row] = iter(
        sorted(
            [*steps, *(one for one in rows if one["event"] == "received")], key=lambda one: float(one["at"])
        )
    )
    for row in todo:
        if row["event"] == "out":
            out |= dict.fromkeys(row.get("servers", ()), row)
        elif row["event"] in ("done", "back"):
            out = {server: one for server, one in out.items() if one["number"] != row["number"]}
        elif row["server"] in out:
            broken.add("nothing reaches a machine that is out", out[row["server"]], row)


def _submissions(rows: list[Row], broken: Broken) -> dict[str, int]:
    taken: dict[str, Row] = {}
    answered: dict[str, Row] = {}
    own: dict[tuple[str, int], dict[str, Row]] = defaultdict(dict)
    twice = 0
    for row in rows:
        if row["event"] == "taken":
            taken[row["id"]] = row
        elif row["event"] == "answered":
            if row["id"] in answered:
                twice += 1
                broken.add("one final answer", answered[row["id"]], row)
            answered[row["id"]] = row
        elif row["event"] == "answer":
            life = own[row["node"], row["start"]]
            if row["id"] in life:
                broken.add("one final answer", life[row["id"]], row)
            life[row["id"]] = row
    return {"taken": len(taken), "answered": len(answered), "twice": twice}
