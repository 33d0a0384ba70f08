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

from merlintally.cli.front import front, print_result
from merlintally.forms import InputError, explain, load, read, suggestion

UNIT_BY_SUFFIX = {"_s": "seconds", "_share": "a fraction of 1"}
FILE_KINDS = ("deployment", "operators", "day", "profile", "scenario")


def struct_of(kind: str) -> type[msgspec.Struct]:
    """Return the struct that defines a kind of TOML file."""
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
    """Return the kind of a file: JSON is a deployment's configuration, TOML is identified by its sections."""
    if path.suffix == ".json":
        return "deployment"
    keys = set(load(path))
    if keys & {"processes", "mix", "fault", "work"}:
        return "scenario"
    return "day" if keys & {"fleet", "like", "trouble"} else "profile" if "lane" in keys else "operators"


def document_of(path: Path, kind: str) -> dict[str, Any]:
    """Return the file's table. A day that refers to another with `like` is merged with it."""
    if kind == "day":
        from merlintally.lab.model.days import load_day

        return load_day(path)
    return load(path)


def check_deployment(path: Path) -> None:
    """Validate a deployment's configuration. Raises InputError."""
    from merlintally.net.configuration import ConfigurationError, read_deployment

    environment = {key: value for key, value in os.environ.items() if key.startswith("LB_")}
    try:
        read_deployment({**environment, "LB_CONFIG": str(path)})
    except ConfigurationError as error:
        raise InputError([f"{path}: {error}"]) from None


def explained_keys(kind: str) -> Iterator[tuple[str, str, str, str]]:
    """Yield key, type, default and meaning of each key of a kind of file."""
    if kind != "deployment":
        yield from explain(struct_of(kind))
        return
    from dataclasses import fields

    from merlintally.net.configuration import RESTART_KEYS, Bounds

    for setting, key in RESTART_KEYS.items():
        yield key, "see docs/on-call.md", "", f"{setting}: changes only with a restart"
    for field in fields(Bounds):
        unit = next((unit for suffix, unit in UNIT_BY_SUFFIX.items() if field.name.endswith(suffix)), "")
        yield f"node.{field.name}", type(field.default).__name__, repr(field.default), unit


@click.command()
@click.argument("file", required=False, type=click.Path(dir_okay=False, path_type=Path))
@click.option("--kind", type=click.Choice(FILE_KINDS), help="Kind of FILE; detected if omitted.")
@click.option(
    "--explain", "explains", is_flag=True, help="Print the keys with type, default, meaning and unit."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(file: Path | None, kind: str | None, explains: bool, as_json: bool) -> int:
    """Validate FILE and print each error with its key; exit code 2 if there is one."""
    if explains:
        rows = list(explained_keys(kind or (kind_of(file) if file else "operators")))
        columns = ("key", "type", "default", "meaning")
        print_result(
            [dict(zip(columns, row, strict=True)) for row in rows],
            as_json,
            (f"{key:34} {type_:14} {default:>12}  {meaning}" for key, type_, default, meaning in rows),
        )
        return 0
    if file is None:
        raise click.UsageError("requires a FILE to check, or --explain")
    try:
        detected = kind or kind_of(file)
        if detected == "deployment":
            check_deployment(file)
        else:
            read(document_of(file, detected), struct_of(detected))
    except InputError as error:
        if as_json:
            click.echo(json.dumps({"file": str(file), "ok": False, "faults": error.lines}))
            return 2
        raise
    print_result(
        {"file": str(file), "kind": detected, "ok": True, "faults": []},
        as_json,
        [f"{file}: a valid {detected} file"],
    )
    return 0


@click.command()
@click.argument("shell")
def completion(shell: str) -> None:
    """Print the completion script for SHELL (bash, zsh or fish); source it from the shell's start file."""
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"no completion for {shell}{suggestion(shell, ['bash', 'zsh', 'fish'])}")
    click.echo(completion_class(front, {}, "merlintally", "_MERLINTALLY_COMPLETE").source())
