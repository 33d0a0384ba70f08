"""The root command and its subcommands. A subcommand's module is imported when the subcommand is called."""

from __future__ import annotations

import importlib
import json
import os
import sys
from collections.abc import Iterable
from importlib.metadata import PackageNotFoundError, version
from typing import Any

import click

from merlintally.forms import InputError

EXIT_CODES = """\b
Exit codes:
  0    success
  1    failure: a port in use, a process that failed
  2    invalid input: an option, a file, a key; nothing was changed
  3    success, but a rule was broken (lab)
  130  interrupted"""
# Command -> "module:object" and the line shown in the list of commands.
COMMANDS = {
    "serve": ("merlintally.cli.serving:serve", "Run one edge node, with an operators' file."),
    "check": ("merlintally.cli.checking:check", "Check a configuration, operators' file, day or profile."),
    "load": ("merlintally.cli.loading:load", "Send open-loop load to a node and report latencies."),
    "cluster": (
        "merlintally.cli.cluster:cluster",
        "Initialise a cluster, show its state, change its voters.",
    ),
    "copies": (
        "merlintally.cli.copying:copies",
        "Show, compare and export the replicated state of the nodes.",
    ),
    "work": ("merlintally.cli.working:work", "Take machines out of service for work, in an agreed order."),
    "lab": ("merlintally.cli.lab:lab", "Simulate days in the laboratory: emulator, referee, reports."),
    "completion": ("merlintally.cli.checking:completion", "Print the shell's completion script."),
}


class LazyGroup(click.Group):
    """A group that imports a command's module only when the command is used, to keep start-up fast."""

    commands_table: dict[str, tuple[str, str]] = COMMANDS

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self.commands_table)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in self.commands_table:
            return None
        module, _, name = self.commands_table[cmd_name][0].partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (_, line) in self.commands_table.items()])


def release() -> str:
    """Return the installed version."""
    try:
        return version("merlintally")
    except PackageNotFoundError:  # run from a checkout that is not installed
        return "0 (not installed)"


@click.group(cls=LazyGroup, epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(release(), prog_name="merlintally")
def front() -> None:
    """A gateway that enforces customers' quotas in front of a shared back end, and its laboratory.

    To start: `merlintally lab play calm`, then `merlintally lab report`.
    """


def print_result(document: Any, as_json: bool, lines: Iterable[str]) -> None:
    """Print `document` as JSON if `as_json` is set, else `lines` as text."""
    if as_json:
        click.echo(json.dumps(document, indent=1, sort_keys=True))
    else:
        for line in lines:
            click.echo(line)


def main() -> int:
    """Run the command line and return the exit code."""
    try:
        result = front.main(standalone_mode=False, prog_name="merlintally")
        return result if isinstance(result, int) else 0
    except InputError as error:
        for line in error.lines:
            click.echo(f"merlintally: {line}", err=True)
        return 2
    except click.UsageError as usage_error:
        usage_error.show()
        return 2
    except click.ClickException as failure:
        failure.show()
        return failure.exit_code
    except (click.Abort, KeyboardInterrupt):
        click.echo("merlintally: interrupted", err=True)
        return 130
    except BrokenPipeError:  # the reader of the output has closed the pipe
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 1
