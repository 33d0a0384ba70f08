"""A node process with the faults of `shims` in it; its arguments are a plan and a seed."""

from __future__ import annotations

import sys
from pathlib import Path

from merlintally.lab.soak.shims import install

if __name__ == "__main__":
    install(Path(sys.argv[1]), int(sys.argv[2]))
    from merlintally.net.node import main

    sys.exit(main())
