"""The commands by name, on click. What a command needs is loaded when it is called."""

from __future__ import annotations

import importlib
import json
import os
import sys
from collections.abc import Iterable
from importlib.metadata import PackageNotFoundError, version
from typing import Any

import click

from merlintally.forms import Faults

EXIT_CODES = """\b
Exit codes:
  0    done
  1    it could not be done: a port in use, a process that failed
  2    bad input: an option, a file, a key; nothing was changed
  3    done, and a rule was broken (lab)
  130  interrupted"""
COMMANDS = {  # command -> module and object, with the line that the list of commands shows
    "serve": ("merlintally.cli.serving:serve", "Run one edge node, with an operators' file."),
    "check": ("merlintally.cli.checking:check", "Check a configuration, operators' file, day or profile."),
    "load": ("merlintally.cli.loading:load", "Send open-loop load to a node and report latencies."),
    "cluster": ("merlintally.cli.cluster:cluster", "Found a cluster, look at it, change who votes."),
    "copies": ("merlintally.cli.copying:copies", "State that matters, in copies among the nodes."),
    "work": ("merlintally.cli.working:work", "Take machines out for work, in an order the nodes settle."),
    "lab": ("merlintally.cli.lab:lab", "Play days in the laboratory: emulator, referee, reports."),
    "completion": ("merlintally.cli.checking:completion", "Print the shell's completion script."),
}


class Lazy(click.Group):
    """A group whose commands are modules loaded when they are wanted, so that help and start stay quick."""

    table: dict[str, tuple[str, str]] = COMMANDS

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self.table)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in self.table:
            return None
        module, _, name = self.table[cmd_name][0].partition(":")
        found: click.Command = getattr(importlib.import_module(module), name)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (_, line) in self.table.items()])


def release() -> str:
    try:
        return version("merlintally")
    except PackageNotFoundError:  # run from a checkout that is not installed
        return "0 (not installed)"


@click.group(cls=Lazy, epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(release(), prog_name="merlintally")
def front() -> None:
    """A gateway that holds customers to their quotas before a shared back end, and its laboratory.

    A first look: `merlintally lab play calm`, then `merlintally lab report`.
    """


def told(rows: Any, as_json: bool, lines: Iterable[str]) -> None:
    """Print a result: `rows` as one JSON document, or `lines` for a person."""
    if as_json:
        click.echo(json.dumps(rows, indent=1, sort_keys=True))
    else:
        for line in lines:
            click.echo(line)


def main() -> int:
    """Run the command line; gives the exit code."""
    try:
        found = front.main(standalone_mode=False, prog_name="merlintally")
        return found if isinstance(found, int) else 0
    except Faults as wrong:
        for line in wrong.lines:
            click.echo(f"merlintally: {line}", err=True)
        return 2
    except click.UsageError as usage:
        usage.show()
        return 2
    except click.ClickException as failed:
        failed.show()
        return failed.exit_code
    except (click.Abort, KeyboardInterrupt):
        click.echo("merlintally: interrupted", err=True)
        return 130
    except BrokenPipeError:  # whoever read the output has gone
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 1
