"""The lean edge node as a process of its own, with a watch on its memory."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from merlintally.lab.live.ready import answers_ping

READY_S = 20.0
SAMPLE_S = 0.02
PACKAGE_ROOT = Path(__file__).resolve().parents[3]
MIB = 1 << 20


class NodeNotReady(Exception):
    """The node did not answer PING in time; the message has the end of its log."""


def status_bytes(pid: int, field: str) -> int:
    """Return a field of /proc/PID/status that is stated in kB, in bytes; 0 for a process that has gone."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) * 1024
    return 0


class NodeProcess:
    """One edge node process, whose resident memory is sampled while it runs."""

    def __init__(
        self, configuration: dict[str, Any], folder: Path, package_root: Path = PACKAGE_ROOT
    ) -> None:
        """`package_root` holds the package that the process runs: of another version, for a comparison."""
        self.configuration, self.folder, self.package_root = configuration, folder, package_root
        self.port = int(configuration["listen"].partition(":")[2])
        self.limit = int(configuration["limits"]["memory_mb"] * MIB)
        self.idle_bytes = self.peak_bytes = 0
        self.over_limit_at: float | None = None  # monotonic seconds
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready; raises NodeNotReady."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration))
        environment = {
            "LB_CONFIG": str(path),
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(self.package_root),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "merlintally"], env=environment, cwd=self.folder, stderr=log
            )
        if not await answers_ping(self.port, READY_S):
            self.end()
            raise NodeNotReady(self.log_text()[-2000:])
        self.idle_bytes = status_bytes(self.process.pid, "VmRSS")

    async def watch_memory(self) -> None:
        """Sample the resident memory until cancelled."""
        assert self.process is not None
        while True:
            resident = status_bytes(self.process.pid, "VmRSS")
            if resident > self.limit and self.over_limit_at is None:
                self.over_limit_at = time.monotonic()
            self.peak_bytes = max(self.peak_bytes, status_bytes(self.process.pid, "VmHWM"))
            await asyncio.sleep(SAMPLE_S)

    @property
    def ended(self) -> bool:
        """Whether the process has ended by itself."""
        return self.process is not None and self.process.poll() is not None

    def log_text(self) -> str:
        """Return what the node has logged."""
        return (self.folder / "log").read_text(errors="replace")

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(5.0)
