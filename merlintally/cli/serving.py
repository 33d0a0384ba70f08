"""`merlintally serve`: one edge node, with the parts that an operators' file switches on."""

from __future__ import annotations

import os
from pathlib import Path

import click

from merlintally.forms import Faults
from merlintally.net.configuration import Deployment
from merlintally.net.log import Log, Plain, Style
from merlintally.net.node import main as run_node
from merlintally.operators import LogPart, read_operators


def style_of(part: LogPart) -> Style:
    if part.format == "plain":
        return Plain()
    from merlintally.structured import Structured  # structlog takes some MB: only where it is asked for

    return Structured(part.format)


def set_log(log: Log, part: LogPart) -> None:
    log.style, log.per_second, log.follows = style_of(part), part.lines_per_s, part.submissions


@click.command()
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="LB_CONFIG",
    show_envvar=True,
    required=True,
    help="The deployment's configuration, JSON.",
)
@click.option(
    "--operators",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="LB_OPERATORS",
    show_envvar=True,
    help="The operators' file, TOML; without it the node runs lean.",
)
def serve(config: Path, operators: Path | None) -> int:
    """Run one edge node until SIGTERM or SIGINT.

    SIGHUP has both files read again: a faulty one leaves the old in force. The log goes to standard error.
    """
    os.environ["LB_CONFIG"] = str(config)
    if operators is None:
        return run_node()
    first, path = read_operators(operators), operators

    def reread(log: Log) -> None:
        try:
            set_log(log, read_operators(path).log)
        except Faults as wrong:
            log.say(f"{wrong}; the old operators' file stays in force", "operators.faulty")

    def make_log(deployment: Deployment) -> Log:
        log = Log(deployment.name, first.log.lines_per_s)
        set_log(log, first.log)
        log.reread = reread
        return log

    return run_node(make_log)
