"""A node process with the faults of `shims` in it; its arguments are a plan, a seed, and the words of a
command line where it is not the lean node."""

from __future__ import annotations

import sys
from pathlib import Path

from merlintally.lab.soak.shims import install


def run(plan: Path, seed: int, words: list[str]) -> int:
    """Run the node with a plan of faults; gives its exit code."""
    install(plan, seed)
    if words:
        from merlintally.cli import main as command_line

        sys.argv[1:] = words
        return command_line() or 0
    from merlintally.net.node import main

    return main()


if __name__ == "__main__":
    sys.exit(run(Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3:]))
