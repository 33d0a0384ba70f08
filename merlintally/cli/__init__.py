"""The command line: `merlintally`, or `python -m merlintally` with arguments."""

from merlintally.cli.front import main

__all__ = ["main"]
