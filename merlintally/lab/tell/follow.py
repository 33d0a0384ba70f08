"""One submission followed over every edge node that touched it: from records of the laboratory, or from the
structured logs of nodes (`log.submissions = true`), several files at a time, in the order of time."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from pathlib import Path

from merlintally.forms import InputError

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
STEPS = ("submission.", "execution.")


def fields_of(line: str) -> dict[str, str]:
    """A structured line's fields; none where it is no such line.

    >>> fields_of('ts=1 node=n0 event=execution.sent submission=0a detail="two words"')["detail"]
    'two words'
    >>> fields_of('{"event": "execution.sent", "submission": "0a"}')["submission"], fields_of("n0: text")
    ('0a', {})
    """
    if line.startswith("{"):
        try:
            found = json.loads(line)
        except ValueError:
            return {}
        return {str(key): str(value) for key, value in found.items()}
    return {key: value.strip('"') for key, value in PAIR.findall(line)}


def record_steps(lines: Iterable[str], number: str) -> Iterator[tuple[float, str]]:
    """Steps of a try in a record, with those of the other tries of the same first try."""
    rows = [line.split() for line in lines]
    firsts = {row[4] for row in rows if len(row) > 4 and row[1] == "taken" and number in (row[3], row[4])}
    tries = {row[3] for row in rows if len(row) > 4 and row[1] == "taken" and row[4] in firsts}
    for row in rows:
        words = set(row[2:5]) if row[1] in ("taken", "sent", "answered") else set(row[2:3])
        if row[1] == "asked" and row[2] in firsts or row[1] not in ("asked", "breach") and words & tries:
            yield float(row[0]), " ".join(row[1:])


def log_steps(lines: Iterable[str], number: str) -> Iterator[tuple[str, str]]:
    for line in lines:
        found = fields_of(line)
        if found.get("submission") == number and found.get("event", "").startswith(STEPS):
            rest = {
                key: value
                for key, value in found.items()
                if key not in ("ts", "node", "event", "submission", "customer", "lane")
            }
            more = " ".join(f"{key}={value}" for key, value in rest.items())
            yield found.get("ts", ""), f"{found.get('node', '?')} {found['event']} {more}".strip()


def follow(paths: list[Path], number: str) -> list[str]:
    """Lines of all files about one submission, by time. InputError if a file can't be read or none has it."""
    steps: list[tuple[str, str]] = []
    for path in paths:
        try:
            lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as wrong:
            raise InputError([f"{path}: can't be read: {wrong.strerror}"]) from None
        is_record = bool(lines) and re.match(r"[0-9]+\.[0-9]{6} \w", lines[0]) is not None
        if is_record:
            steps += [(f"{at:.6f}", text) for at, text in record_steps(lines, number)]
        else:
            steps += log_steps(lines, number)
    if not steps:
        raise InputError([f"{number}: none of the files tells of this submission"])
    return [f"{at} {text}" for at, text in sorted(steps, key=lambda step: step[0])]
