"""`merlintally serve`: one edge node, with the parts that an operators' file switches on."""

from __future__ import annotations

import os
from pathlib import Path

import click

from merlintally.forms import Faults
from merlintally.net.configuration import Deployment
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log, Plain, Style
from merlintally.net.node import EdgeNode, NodeTask
from merlintally.net.node import main as run_node
from merlintally.operators import LogPart, Operators, read_operators


def style_of(part: LogPart) -> Style:
    if part.format == "plain":
        return Plain()
    from merlintally.structured import Structured  # structlog takes some MB: only where it is asked for

    return Structured(part.format)


def set_log(log: Log, part: LogPart) -> None:
    log.style, log.per_second, log.logs_steps = style_of(part), part.lines_per_s, part.submissions
    if hasattr(log, "lines"):  # a recording log follows whether or not lines are wanted
        log.lines, log.logs_steps = part.submissions, True


def attach(first: Operators, deployment: Deployment, parts: list[NodeTask]) -> Log:
    """The node's record, and its part in its cluster, loaded only where the operators' file has them."""
    from merlintally.cluster.record import Record, RecordingLog, count_starts

    if not first.cluster.name:
        log = RecordingLog(deployment.name, first.log.lines_per_s)
        log.record = Record(first.record.file, deployment.name, count_starts(first.record.file) + 1)
        log.record.add("start")
        return log
    from merlintally.cluster.disk import CorruptFolder
    from merlintally.cluster.node import ClusterNode, open_disk

    try:
        disk = open_disk(first.cluster)
    except CorruptFolder as wrong:
        raise Faults([f"cluster.folder: {wrong}"]) from None
    log = RecordingLog(deployment.name, first.log.lines_per_s)
    if first.record.file:
        log.record = Record(first.record.file, deployment.name, disk.start)
    made: list[ClusterNode] = []  # once: a part that begins again is the same start of the same node

    async def run(node: EdgeNode, dispatcher: Dispatcher) -> None:
        if not made:
            made.append(
                ClusterNode(first.cluster, node.deployment.name, node.deployment.seed, disk, log, log.record)
            )
        await made[0].run(node, dispatcher)

    parts.append(run)
    return log


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

    parts: list[NodeTask] = []

    def make_log(deployment: Deployment) -> Log:
        if first.cluster.name or first.record.file:
            log = attach(first, deployment, parts)
        else:
            log = Log(deployment.name, first.log.lines_per_s)
        set_log(log, first.log)
        log.on_reload = reread
        return log

    return run_node(make_log, parts, first.subsets.terms())
