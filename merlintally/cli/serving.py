"""`merlintally serve`: runs one edge node with the optional parts that an operators' file enables."""

from __future__ import annotations

import os
from pathlib import Path

import click

from merlintally.forms import InputError
from merlintally.net.configuration import Deployment
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log, Plain, Style
from merlintally.net.node import EdgeNode, NodeTask
from merlintally.net.node import main as run_node
from merlintally.operators import LogPart, Operators, read_operators


def style_of(part: LogPart) -> Style:
    """Return the log style of a format."""
    if part.format == "plain":
        return Plain()
    from merlintally.structured import Structured  # imported only if needed: structlog takes some MB

    return Structured(part.format)


def set_log(log: Log, part: LogPart) -> None:
    """Apply the section [log] to a log."""
    log.style, log.per_second, log.logs_steps = style_of(part), part.lines_per_s, part.submissions
    if hasattr(log, "lines"):  # a RecordingLog records each step, also if steps are not logged
        log.lines, log.logs_steps = part.submissions, True


def attach(operators: Operators, deployment: Deployment, parts: list[NodeTask]) -> Log:
    """Open the node's record and add its cluster task to `parts`, as the operators' file configures them.

    Returns the log that writes to the record. Raises InputError if the cluster's folder can't be used.
    """
    from merlintally.cluster.record import Record, RecordingLog, count_starts

    if not operators.cluster.name:
        log = RecordingLog(deployment.name, operators.log.lines_per_s)
        log.record = Record(operators.record.file, deployment.name, count_starts(operators.record.file) + 1)
        log.record.add("start")
        return log
    from merlintally.cluster.disk import CorruptFolder
    from merlintally.cluster.node import ClusterNode, open_disk

    try:
        disk = open_disk(operators.cluster)
    except CorruptFolder as error:
        raise InputError([f"cluster.folder: {error}"]) from None
    log = RecordingLog(deployment.name, operators.log.lines_per_s)
    if operators.record.file:
        log.record = Record(operators.record.file, deployment.name, disk.start)
    # Created once: a restarted task continues as the same start of the node.
    cluster_nodes: list[ClusterNode] = []

    async def run(node: EdgeNode, dispatcher: Dispatcher) -> None:
        if not cluster_nodes:
            cluster_nodes.append(
                ClusterNode(
                    operators.cluster, node.deployment.name, node.deployment.seed, disk, log, log.record
                )
            )
        await cluster_nodes[0].run(node, dispatcher)

    parts.append(run)
    return log


@click.command()
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="LB_CONFIG",
    show_envvar=True,
    required=True,
    help="Configuration of the deployment, JSON.",
)
@click.option(
    "--operators",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="LB_OPERATORS",
    show_envvar=True,
    help="Operators' file, TOML; without it all optional parts are off.",
)
def serve(config: Path, operators: Path | None) -> int:
    """Run one edge node until SIGTERM or SIGINT.

    SIGHUP reloads both files; if one is invalid, its previous contents stay in force.

    The log goes to standard error.
    """
    os.environ["LB_CONFIG"] = str(config)
    if operators is None:
        return run_node()
    initial, path = read_operators(operators), operators

    def reload_operators(log: Log) -> None:
        try:
            set_log(log, read_operators(path).log)
        except InputError as error:
            log.say(f"{error}; the previous operators' file stays in force", "operators.faulty")

    parts: list[NodeTask] = []

    def make_log(deployment: Deployment) -> Log:
        if initial.cluster.name or initial.record.file:
            log = attach(initial, deployment, parts)
        else:
            log = Log(deployment.name, initial.log.lines_per_s)
        set_log(log, initial.log)
        log.on_reload = reload_operators
        return log

    return run_node(make_log, parts, initial.subsets.terms(), clustered=bool(initial.cluster.name))
