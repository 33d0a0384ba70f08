"""How a play is run: its options, and the node with all that it talks to."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from merlintally.lab.pressure.node import PACKAGE_ROOT, NodeProcess
from merlintally.lab.pressure.site import Site


@dataclass(frozen=True, slots=True)
class PlayOptions:
    """How a play is run."""

    memory_mb: float = 64.0
    seconds: float = 12.0
    seed: int = 1
    servers: int = 8
    work_s: float = 0.01
    keep: Path | None = None  # folder for the node's log; removed if None
    package_root: Path = PACKAGE_ROOT  # of the version that the node process runs


@asynccontextmanager
async def running_node(
    site: Site, options: PlayOptions, classes: dict[str, Any] | None = None
) -> AsyncIterator[NodeProcess]:
    """Provide a ready node before an open site; both are ended behind it.

    `classes` are settings for each class of requests. Raises NodeNotReady.
    """
    folder = options.keep or Path(tempfile.mkdtemp(prefix="pressure-"))
    folder.mkdir(parents=True, exist_ok=True)
    async with AsyncExitStack() as stack:
        if options.keep is None:
            stack.callback(shutil.rmtree, folder, ignore_errors=True)
        stack.callback(site.close)
        await site.open()
        configuration = site.configuration(options.memory_mb)
        for class_ in configuration["settings"]["classes"]:
            class_ |= classes or {}
        node = NodeProcess(configuration, folder, options.package_root)
        stack.callback(node.end)
        await node.start()
        yield node
