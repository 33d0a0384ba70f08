"""The folder of a node: the log that it has promised to keep, how often it has started, and a lock.

The log is one file of records, each with its length and checksum, written and synced in batches; a snapshot
begins it anew. Why a file and not an embedded store: docs/agreement.md.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from merlintally.cluster.agreement import Entry, Kept, Snapshot
from merlintally.cluster.copies import Row

FORM = b"merlintally log 1\n"
CLOSED = -1  # of a file descriptor
HEAD = 8  # bytes before a record: its length and checksum
MOST = 64 << 20  # bytes of one record
ROWS: dict[str, Any] = {
    "vote": tuple[str, int, str],
    "cut": tuple[str, int],
    "add": tuple[str, int, list[Entry]],
    "snapshot": tuple[str, Snapshot],
}


class Spoilt(Exception):
    """The log can't be trusted: a record in its middle is not what was written."""


class Full(Exception):
    """The disk takes nothing more; what was to be written is not on it."""


def record_of(row: tuple[Any, ...]) -> bytes:
    body = msgspec.msgpack.encode(row)
    return len(body).to_bytes(4, "little") + zlib.crc32(body).to_bytes(4, "little") + body


def row_of(body: bytes) -> tuple[Any, ...]:
    kind = msgspec.msgpack.decode(body)[0]
    found: tuple[Any, ...] = msgspec.msgpack.decode(body, type=ROWS[kind])
    return found


def whole_at(data: bytes, at: int) -> bytes | None:
    """The record at `at` if it is whole and as it was written."""
    size = int.from_bytes(data[at : at + 4], "little")
    if not 0 < size <= min(MOST, len(data) - at - HEAD):
        return None
    body = data[at + HEAD : at + HEAD + size]
    return body if zlib.crc32(body).to_bytes(4, "little") == data[at + 4 : at + HEAD] else None


def read_log(data: bytes, where: str) -> tuple[Kept, int]:
    """What the bytes of a log hold, and how many of them are good. A last record that is not whole was being
    written when the process ended, and promised to nobody; Spoilt where good ones lie behind a bad one."""
    if not data.startswith(FORM):
        raise Spoilt(f"{where}: is no log of a form that is known here ({data[:18]!r})")
    kept, at = Kept(), len(FORM)
    while at < len(data):
        body = whole_at(data, at)
        if body is None:
            if any(whole_at(data, later) is not None for later in range(at + 1, len(data) - HEAD)):
                raise Spoilt(
                    f"{where}: the record at byte {at} is spoilt, and good ones follow: set the folder aside "
                    "and let the node begin anew"
                )
            break
        try:
            kept.take(row_of(body))
        except (ValueError, KeyError, TypeError, msgspec.MsgspecError) as wrong:
            raise Spoilt(f"{where}: the record at byte {at} can't be read: {wrong}") from None
        at += HEAD + len(body)
    return kept, at


class Disk:
    """One process at a time holds the folder. `write` blocks until all is on disk: call it in a thread."""

    def __init__(self, folder: Path) -> None:
        """Open the folder, made if missing; Spoilt, or OSError where another process holds it."""
        self.folder, self.path = folder, folder / "agreement.log"
        self.file = self.mark = CLOSED
        self.failed = False  # a call failed, and what the log holds has to be looked at again
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise OSError(f"{folder}: another process holds this folder") from None
        try:
            self.mark = os.open(folder / "synced", os.O_RDWR | os.O_CREAT, 0o644)
            self.blank = not self.path.exists()
            if self.blank:
                (folder / "blank").touch()  # before the log: a start that is killed between must not vote
                self._sync_folder()
                self.kept = Kept()
                self._begin_anew()
            data = self.path.read_bytes()
            self.kept, self.size = read_log(data, str(self.path))
            if self.size < self._marked() <= len(data):
                raise Spoilt(
                    f"{self.path}: the last record at byte {self.size} was on disk, and is spoilt: set the "
                    "folder aside and let the node begin anew"
                )
            self.torn = len(data) - self.size
            self.file = os.open(self.path, os.O_WRONLY)
            os.ftruncate(self.file, self.size)
            os.lseek(self.file, 0, os.SEEK_END)
            self._mark(self.size)
            self.blank = self.blank or (folder / "blank").exists()
            self.start = self._next_start()
        except BaseException:
            for opened in (self.file, self.mark, self.lock):
                if opened != CLOSED:
                    os.close(opened)
            raise

    def _mark(self, size: int) -> None:
        """Note how much of the log is on disk. Guards against a spoilt last record that is taken for one that
        was being written. Not synced itself: after a power cut it may say less, never more."""
        body = size.to_bytes(8, "little")
        with suppress(OSError):
            os.pwrite(self.mark, body + zlib.crc32(body).to_bytes(4, "little"), 0)

    def _marked(self) -> int:
        data = os.pread(self.mark, 12, 0)
        whole = len(data) == 12 and zlib.crc32(data[:8]).to_bytes(4, "little") == data[8:]
        return int.from_bytes(data[:8], "little") if whole else 0

    def _next_start(self) -> int:
        path = self.folder / "start"
        try:
            before = int(path.read_text()) if path.exists() else 0
        except ValueError:
            raise Spoilt(f"{path}: is no number") from None
        self.started(before + 1)
        return before + 1

    def started(self, number: int) -> None:
        """Keep how often this node has started."""
        self._replace("start", str(number).encode())

    def admitted(self) -> None:
        """It votes again: it holds all that it will ever promise."""
        if self.blank:
            (self.folder / "blank").unlink(missing_ok=True)
            self._sync_folder()
            self.blank = False

    def keep(self, rows: list[Row]) -> None:
        """Keep copies of others' state: a head start for the next time, which may be old or missing."""
        body = msgspec.msgpack.encode(rows)
        self._replace("copies", zlib.crc32(body).to_bytes(4, "little") + body)

    def kept_rows(self) -> list[Row]:
        """What `keep` was given last; nothing where it can't be read."""
        path = self.folder / "copies"
        data = path.read_bytes() if path.exists() else b""
        if zlib.crc32(data[4:]).to_bytes(4, "little") != data[:4]:
            return []
        try:
            return msgspec.msgpack.decode(data[4:], type=list[Row])
        except msgspec.MsgspecError:
            return []

    def set_aside(self) -> None:
        """Begin anew: fellows know of later starts than this folder does. The old log stays beside it. Where
        it raises OSError the old log is in force still, and it may be called again."""
        number = 1
        while (aside := self.folder / f"agreement.log.older-{number}").exists():
            number += 1
        os.link(self.path, aside)
        (self.folder / "blank").touch()
        self.blank = True
        kept, self.kept, self.failed = self.kept, Kept(), True
        try:
            self._rewrite()
            self.failed = False
        except OSError:
            if os.path.samestat(os.stat(self.path), os.fstat(self.file)):  # the old log is still in force
                self.kept = kept
                raise

    def write(self, rows: list[tuple[Any, ...]]) -> None:
        """Put rows on disk, all or none; Full where it takes them not. The same rows may be written again."""
        try:
            self._repair()
            self._write(rows)
        except OSError as wrong:
            self.failed = True
            with suppress(Full):
                self._repair()
            raise Full(f"{self.path}: {wrong.strerror}") from None

    def _repair(self) -> None:
        """Bring the log back to what was promised, after a call that failed. Guards against rows written
        behind the rest of a failed write, or to a file that a failed snapshot has replaced already: nobody
        would read them. Full while that can't be done."""
        if not self.failed:
            return
        try:
            opened = os.open(self.path, os.O_WRONLY)
            try:
                replaced = not os.path.sameopenfile(opened, self.file)
                self.size = os.fstat(opened).st_size if replaced else self.size
                os.ftruncate(opened, self.size)
                os.fsync(opened)
                os.lseek(opened, 0, os.SEEK_END)
                self._sync_folder()
                kept = read_log(self.path.read_bytes(), str(self.path))[0]
            except BaseException:
                os.close(opened)
                raise
        except OSError as wrong:
            raise Full(f"{self.path}: {wrong.strerror}") from None
        os.close(self.file)
        self.file, self.kept, self.failed = opened, kept, False
        self._mark(self.size)

    def _write(self, rows: list[tuple[Any, ...]]) -> None:
        data = b""
        for row in rows:
            if row[0] != "snapshot":
                data += record_of(row)
                self.kept.take(row)
            else:  # all before it goes: one file with the state, the vote and what lies behind
                self.kept.take(row)
                self._rewrite()
                data = b""
        if not data:
            return
        done = 0
        while done < len(data):
            done += os.write(self.file, data[done:])
        os.fdatasync(self.file)
        self.size += len(data)
        self._mark(self.size)

    def _rewrite(self) -> None:
        """One file with all that is kept, in place of the log."""
        self._begin_anew()
        opened = os.open(self.path, os.O_WRONLY)
        os.close(self.file)
        self.file = opened
        self.size = os.lseek(self.file, 0, os.SEEK_END)

    def _begin_anew(self) -> None:
        kept = self.kept
        data = FORM + record_of(("snapshot", kept.snapshot)) + record_of(("vote", kept.term, kept.vote))
        if kept.entries:
            data += record_of(("add", kept.snapshot.upto + 1, kept.entries))
        self._mark(0)  # of a log that is not there yet nothing is known
        self._replace("agreement.log", data)
        self._mark(len(data))

    def _replace(self, name: str, data: bytes) -> None:
        """The file has the old content or the new one, whatever happens."""
        path = self.folder / f"{name}.new"
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            done = 0
            while done < len(data):
                done += os.write(file, data[done:])
            os.fsync(file)
        finally:
            os.close(file)
        os.replace(path, self.folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        os.close(self.file)
        os.close(self.mark)
        os.close(self.lock)
