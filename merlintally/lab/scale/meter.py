"""Counts of the control messages that a node sends, by call and by receiver, and what its process uses.

`python -m merlintally.lab.scale.meter serve --config ... --operators ...` is `merlintally serve` with its
cluster part's links metered: at SIGUSR1 it writes a `NodeUse` to the file that METER_FILE names.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from merlintally.cluster.links import Links
from merlintally.cluster.node import ClusterNode

METER_FILE = "MERLINTALLY_METER_FILE"
METERED: list[MeteredLinks] = []  # those of this process, in the order in which they were made


class Count(Struct):
    """Messages, and their bytes with the frame's length and code, without the headers of IP, TCP and UDP."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        self.messages += 1
        self.bytes += size

    def plus(self, other: Count) -> Count:
        return Count(self.messages + other.messages, self.bytes + other.bytes)

    def minus(self, other: Count) -> Count:
        return Count(self.messages - other.messages, self.bytes - other.bytes)


def total(counts: Iterable[Count]) -> Count:
    found = Count()
    for count in counts:
        found = found.plus(count)
    return found


def added(some: dict[str, Count], others: dict[str, Count]) -> dict[str, Count]:
    """Sums by name."""
    return {
        name: some.get(name, Count()).plus(others.get(name, Count())) for name in some.keys() | others.keys()
    }


class Sent(Struct):
    """What one node has sent since its start."""

    calls: dict[str, Count] = {}
    receivers: dict[str, Count] = {}

    def add(self, to: str, call: str, size: int) -> None:
        self.calls.setdefault(call, Count()).add(size)
        self.receivers.setdefault(to, Count()).add(size)

    def plus(self, other: Sent) -> Sent:
        return Sent(added(self.calls, other.calls), added(self.receivers, other.receivers))

    @property
    def all(self) -> Count:
        return total(self.calls.values())


class ProcessUse(Struct, frozen=True):
    """What a process uses: processor seconds since its start, resident bytes, open descriptors."""

    cpu_s: float
    resident: int
    descriptors: int


class NodeUse(Struct, frozen=True):
    """What a metered process of one node writes."""

    at: float  # CLOCK_MONOTONIC seconds
    sent: Sent
    process: ProcessUse


def process_use() -> ProcessUse:
    """Of this process (Linux: from /proc)."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    descriptors = len(os.listdir("/proc/self/fd"))
    return ProcessUse(time.process_time(), pages * os.sysconf("SC_PAGE_SIZE"), descriptors)


class MeteredLinks(Links):
    """Links that count what they send. What a full queue drops later counts as sent."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.sent = Sent()
        METERED.append(self)

    def send(self, to: str, call: str, args: tuple[Any, ...]) -> None:
        super().send(to, call, args)
        self.sent.add(to, call, len(self.outbound[to].queue[-1]))

    def send_datagram(self, to: str, call: str, args: tuple[Any, ...]) -> None:
        before = self.sent_bytes
        super().send_datagram(to, call, args)
        if self.sent_bytes > before:
            self.sent.add(to, call, self.sent_bytes - before)


def write_use(path: Path) -> None:
    """Write what the (one) node of this process has sent; the file is whole or the old one."""
    sent = METERED[0].sent if METERED else Sent()
    written = path.with_suffix(".tmp")
    written.write_bytes(msgspec.json.encode(NodeUse(time.monotonic(), sent, process_use())))
    written.replace(path)


def read_use(path: Path) -> NodeUse:
    return msgspec.json.decode(path.read_bytes(), type=NodeUse)


def main() -> int:
    from merlintally.cli import main as run_command_line

    path = Path(os.environ[METER_FILE])
    ClusterNode.links_type = MeteredLinks
    signal.signal(signal.SIGUSR1, lambda *_: write_use(path))
    run_command_line()
    return 0


if __name__ == "__main__":
    sys.exit(main())
