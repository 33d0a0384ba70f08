"""`merlintally check` and `merlintally completion`."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec
from click.shell_completion import get_completion_class

from merlintally.cli.front import front, told
from merlintally.forms import Faults, explain, load, nearest, read

UNITS = {"_s": "seconds", "_share": "a part of 1"}
KINDS = ("deployment", "operators", "day", "profile", "scenario")


def form_of(kind: str) -> type[msgspec.Struct]:
    """The struct behind a kind of TOML file."""
    if kind == "day":
        from merlintally.lab.model.days import Day

        return Day
    if kind == "profile":
        from merlintally.load.profile import Profile

        return Profile
    if kind == "scenario":
        from merlintally.lab.faults.scenario import Scenario

        return Scenario
    from merlintally.operators import Operators

    return Operators


def kind_of(path: Path) -> str:
    """JSON is a deployment's configuration; TOML is told by its sections."""
    if path.suffix == ".json":
        return "deployment"
    keys = set(load(path))
    if keys & {"processes", "mix", "fault", "work"}:
        return "scenario"
    return "day" if keys & {"fleet", "like", "trouble"} else "profile" if "lane" in keys else "operators"


def document_of(path: Path, kind: str) -> dict[str, Any]:
    """The file's table; a day's with what it takes from another."""
    if kind == "day":
        from merlintally.lab.model.days import load_day

        return load_day(path)
    return load(path)


def check_deployment(path: Path) -> None:
    from merlintally.net.configuration import ConfigurationError, read_deployment

    environment = {key: value for key, value in os.environ.items() if key.startswith("LB_")}
    try:
        read_deployment({**environment, "LB_CONFIG": str(path)})
    except ConfigurationError as wrong:
        raise Faults([f"{path}: {wrong}"]) from None


def explained(kind: str) -> Iterator[tuple[str, str, str, str]]:
    """Rows of key, type, default and meaning."""
    if kind != "deployment":
        yield from explain(form_of(kind))
        return
    from dataclasses import fields

    from merlintally.net.configuration import RESTART_KEYS, Bounds

    for row, key in RESTART_KEYS.items():
        yield key, "see docs/on-call.md", "", f"{row}: changes only with a restart"
    for field in fields(Bounds):
        unit = next((unit for end, unit in UNITS.items() if field.name.endswith(end)), "")
        yield f"node.{field.name}", type(field.default).__name__, repr(field.default), unit


@click.command()
@click.argument("file", required=False, type=click.Path(dir_okay=False, path_type=Path))
@click.option("--kind", type=click.Choice(KINDS), help="What FILE is; left out, found out.")
@click.option("--explain", "explains", is_flag=True, help="Print the keys: type, default, meaning, unit.")
@click.option("--json", "as_json", is_flag=True, help="Print for machines.")
def check(file: Path | None, kind: str | None, explains: bool, as_json: bool) -> int:
    """Check FILE and print each fault with its key; exit code 2 if there is one."""
    if explains:
        rows = list(explained(kind or (kind_of(file) if file else "operators")))
        names = ("key", "type", "default", "meaning")
        told(
            [dict(zip(names, row, strict=True)) for row in rows],
            as_json,
            (f"{key:34} {form:14} {default:>12}  {meaning}" for key, form, default, meaning in rows),
        )
        return 0
    if file is None:
        raise click.UsageError("a FILE to check, or --explain")
    try:
        found = kind or kind_of(file)
        if found == "deployment":
            check_deployment(file)
        else:
            read(document_of(file, found), form_of(found))
    except Faults as wrong:
        if as_json:
            click.echo(json.dumps({"file": str(file), "ok": False, "faults": wrong.lines}))
            return 2
        raise
    told(
        {"file": str(file), "kind": found, "ok": True, "faults": []},
        as_json,
        [f"{file}: a good {found} file"],
    )
    return 0


@click.command()
@click.argument("shell")
def completion(shell: str) -> None:
    """Print the completion script for SHELL (bash, zsh or fish); source it from the shell's start file."""
    kind = get_completion_class(shell)
    if kind is None:
        raise click.UsageError(f"no completion for {shell}{nearest(shell, ['bash', 'zsh', 'fish'])}")
    click.echo(kind(front, {}, "merlintally", "_MERLINTALLY_COMPLETE").source())
