"""The node processes of a soak: started with shims, told to leave, killed, stopped, told of new files."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from merlintally.lab.live.ready import answers_ping
from merlintally.lab.soak.records import Records
from merlintally.lab.soak.settings import DEADLINE_S

FAULT = re.compile(r"Traceback|invariant broken|a call failed|a task begins again|overdue")
KILL_AFTER_S = DEADLINE_S + 0.7  # SIGKILL comes that long after SIGTERM
READY_S = 20.0
PACKAGE_ROOT = Path(__file__).resolve().parents[3]


class SoakNode:
    """One node process after another at the same address."""

    def __init__(self, name: str, port: int, folder: Path, records: Records) -> None:
        self.name, self.port, self.folder, self.records = name, port, folder / name, records
        self.folder.mkdir()
        self.plan = self.folder / "plan.json"
        self.configuration: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.serving = self.busy = False  # busy: a trouble of its own is under way
        self.lives = 0
        self.told_to_leave_at = self.killed_at = float("inf")
        self.log = (self.folder / "log").open("ab")

    def write(self, whole: bool = True) -> None:
        """Write its configuration, or the first half of it."""
        text = json.dumps(self.configuration)
        (self.folder / "config.json").write_text(text if whole else text[: len(text) // 2])

    async def start(self) -> None:
        """Start the process, and wait until it answers PING."""
        self.lives += 1
        self.write()
        environment = {
            "LB_CONFIG": str(self.folder / "config.json"),
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(PACKAGE_ROOT),
        }
        words = [sys.executable, "-m", "merlintally.lab.soak.node_process", str(self.plan), str(self.lives)]
        self.told_to_leave_at = self.killed_at = float("inf")
        self.process = subprocess.Popen(words, env=environment, stderr=self.log)
        if not await answers_ping(self.port, READY_S):
            self.records.node_faults.append(f"{self.name} was not ready in {READY_S} s")
        self.serving = True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def leave(self) -> None:
        """SIGTERM, new connections for a while, and SIGKILL where it takes too long."""
        assert self.process is not None
        self.told_to_leave_at = time.monotonic()
        self.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        self.serving = False
        while self.process.poll() is None and time.monotonic() < self.told_to_leave_at + KILL_AFTER_S:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            await self.kill()
        elif self.process.returncode != 0:
            self.records.node_faults.append(f"{self.name} ended with {self.process.returncode}")

    async def kill(self) -> None:
        """SIGKILL: what it had taken is excused."""
        self.killed_at, self.serving = time.monotonic(), False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait, 5.0)

    async def pause(self, seconds: float) -> None:
        """Held up as a whole."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    def note_unasked_end(self) -> None:
        """Whether it has ended though nobody told it to."""
        ended = self.process is not None and self.process.poll() is not None
        if ended and self.serving and self.told_to_leave_at == self.killed_at == float("inf"):
            self.serving = False
            assert self.process is not None
            self.records.node_faults.append(f"{self.name} ended unasked with {self.process.returncode}")

    def end(self) -> None:
        """End it whatever state it is in, and read its log."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(5.0)
        self.log.close()
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            if FAULT.search(line):
                self.records.node_faults.append(line[:600])
