"""Faults inside a node process: system calls that fail for a moment, short reads and writes, a wall clock
that is stepped, a process that is held up before it writes. For test processes only."""

from __future__ import annotations

import errno
import json
import os
import socket
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

CALL_ERRORS: dict[str, tuple[int, ...]] = {
    "accept": (
        errno.ECONNABORTED,
        errno.ENFILE,
        errno.EMFILE,
        errno.ENOBUFS,
        errno.ENETUNREACH,
        errno.EPROTO,
        errno.EINTR,
    ),
    "socket": (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    "connect": (
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
        errno.EAGAIN,
        errno.EINTR,
    ),
    "recv_into": (errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.EHOSTUNREACH),
    "sendmsg": (errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.EHOSTUNREACH),
}
DISK_CALLS = ("write", "fsync", "fdatasync", "replace", "ftruncate")
DISK_ERRORS = (errno.ENOSPC, errno.EIO)
HELD_UP_S = 0.14
KINDS = (*CALL_ERRORS, "short", "held-up")


@dataclass(frozen=True, slots=True)
class Window:
    """A trouble of one kind from `begins` to `ends` (monotonic seconds, comparable on one machine), which
    meets `share` of the calls. `disk`: writes, syncs and renames of files. `wall-step`: the wall clock is
    `share` seconds ahead from `begins` on."""

    kind: str
    begins: float
    ends: float
    share: float


def write_plan(path: Path, windows: list[Window]) -> None:
    """Keep a plan for `install`."""
    path.write_text(json.dumps([asdict(window) for window in windows]))


def install(path: Path, seed: int) -> None:
    """Put the faults of a plan under this process."""
    Shims([Window(**row) for row in json.loads(path.read_text())], seed).install()


class Shims:
    """Wraps the calls of `socket.socket` that a node makes, and `time.time`."""

    def __init__(self, windows: list[Window], seed: int) -> None:
        self._windows, self._chance = windows, Random(seed)
        self._time = time.time

    def install(self) -> None:
        """From now on calls fail as planned."""
        time.time = self._stepped_time
        made: Any = socket.socket
        for name in ("accept", "connect", "recv_into", "sendmsg"):
            setattr(made, name, self._failing(name, getattr(made, name)))
        made.__init__ = self._failing_creation(made.__init__)
        for name in DISK_CALLS:
            setattr(os, name, self._failing_disk(getattr(os, name)))

    def _strikes(self, kind: str) -> bool:
        now = time.monotonic()
        return any(
            one.kind == kind and one.begins <= now < one.ends and self._chance.random() < one.share
            for one in self._windows
        )

    def _stepped_time(self) -> float:
        now = time.monotonic()
        return self._time() + sum(
            one.share for one in self._windows if one.kind == "wall-step" and one.begins <= now
        )

    def _fail(self, name: str) -> None:
        if self._strikes(name):
            code = self._chance.choice(CALL_ERRORS[name])
            raise OSError(code, f"{name} fails for a moment")

    def _failing_disk(self, call: Callable[..., Any]) -> Callable[..., Any]:
        """A write may be cut short before the error: what is on disk is half of it."""

        def made(*args: Any, **named: Any) -> Any:
            if not self._is_record(args[0]) and self._strikes("disk"):
                if call.__name__ == "write" and len(args[1]) > 1 and self._chance.random() < 0.5:
                    call(args[0], args[1][: self._chance.randrange(1, len(args[1]))])
                raise OSError(self._chance.choice(DISK_ERRORS), "the disk fails for a moment")
            return call(*args, **named)

        return made

    @staticmethod
    def _is_record(file: Any) -> bool:
        """Whether it is what the verdict is read from, which no fault may spoil."""
        path = os.readlink(f"/proc/self/fd/{file}") if isinstance(file, int) else str(file)
        return path.endswith(".jsonl")

    def _failing_creation(self, create: Callable[..., None]) -> Callable[..., None]:
        def created(sock: socket.socket, *args: Any, **named: Any) -> None:
            if named.get("fileno") is None and len(args) < 4:
                self._fail("socket")
            create(sock, *args, **named)

        return created

    def _failing(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def made(sock: socket.socket, *args: Any) -> Any:
            self._fail(name)
            if name == "sendmsg":
                if self._strikes("held-up"):
                    time.sleep(HELD_UP_S)
                if self._strikes("short"):
                    return call(sock, [memoryview(args[0][0])[: self._chance.randint(1, 40)]])
            if name == "recv_into" and self._strikes("short"):
                return call(sock, args[0], min(len(args[0]), self._chance.randint(1, 40)))
            return call(sock, *args)

        return made
