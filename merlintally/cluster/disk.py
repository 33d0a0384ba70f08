"""A node's folder on disk: its Raft log, the number of its starts, stored copies, and a lock file.

The log is a file of records, each with its length and checksum, appended and synced in batches. A snapshot
replaces the file. docs/agreement.md explains why no embedded store is used.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from merlintally.cluster.agreement import Entry, PersistentState, Snapshot
from merlintally.cluster.copies import Row

LOG_HEADER = b"merlintally log 1\n"  # file header
CLOSED_DESCRIPTOR = -1
RECORD_HEADER_BYTES = 8  # length and checksum
MAX_RECORD_BYTES = 64 << 20
ROW_TYPES: dict[str, Any] = {  # kind of row -> its type
    "vote": tuple[str, int, str],
    "cut": tuple[str, int],
    "add": tuple[str, int, list[Entry]],
    "snapshot": tuple[str, Snapshot],
}


class CorruptFolder(Exception):
    """The folder is corrupt: a record that was on disk is not what was written."""


class WriteFailed(Exception):
    """A write failed, and none of its rows are on disk."""


def encode_record(row: tuple[Any, ...]) -> bytes:
    """Encode a row as a record of the log."""
    body = msgspec.msgpack.encode(row)
    return len(body).to_bytes(4, "little") + zlib.crc32(body).to_bytes(4, "little") + body


def decode_row(body: bytes) -> tuple[Any, ...]:
    """Decode the body of a record."""
    kind = msgspec.msgpack.decode(body)[0]
    row: tuple[Any, ...] = msgspec.msgpack.decode(body, type=ROW_TYPES[kind])
    return row


def record_at(data: bytes, offset: int) -> bytes | None:
    """The body of the record at `offset`, or None if it is incomplete or its checksum is wrong."""
    size = int.from_bytes(data[offset : offset + 4], "little")
    if not 0 < size <= min(MAX_RECORD_BYTES, len(data) - offset - RECORD_HEADER_BYTES):
        return None
    body = data[offset + RECORD_HEADER_BYTES : offset + RECORD_HEADER_BYTES + size]
    return (
        body
        if zlib.crc32(body).to_bytes(4, "little") == data[offset + 4 : offset + RECORD_HEADER_BYTES]
        else None
    )


def read_log(data: bytes, name: str) -> tuple[PersistentState, int]:
    """Decode a log; returns its state and the size of its valid part.

    An invalid last record is ignored: the process ended while it was written, so it was never acknowledged.
    CorruptFolder if a valid record follows an invalid one.
    """
    if not data.startswith(LOG_HEADER):
        raise CorruptFolder(f"{name}: unknown log format ({data[:18]!r})")
    state, offset = PersistentState(), len(LOG_HEADER)
    while offset < len(data):
        body = record_at(data, offset)
        if body is None:
            if any(
                record_at(data, later_offset) is not None
                for later_offset in range(offset + 1, len(data) - RECORD_HEADER_BYTES)
            ):
                raise CorruptFolder(
                    f"{name}: the record at byte {offset} is corrupt, and valid ones follow: move the folder "
                    "away and restart the node without it"
                )
            break
        try:
            state.apply(decode_row(body))
        except (ValueError, KeyError, TypeError, msgspec.MsgspecError) as error:
            raise CorruptFolder(f"{name}: the record at byte {offset} can't be decoded: {error}") from None
        offset += RECORD_HEADER_BYTES + len(body)
    return state, offset


class Disk:
    """A node's folder, locked by one process. `write` blocks until rows are synced: run it in a thread."""

    def __init__(self, folder: Path) -> None:
        """Open or create the folder; CorruptFolder if it is corrupt, OSError if it is locked."""
        self.folder, self.path = folder, folder / "agreement.log"
        self.file = self.synced_size_file = CLOSED_DESCRIPTOR
        self.needs_repair = False  # a write failed, so the log may hold more than was acknowledged
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise OSError(f"{folder}: another process holds this folder") from None
        try:
            self.synced_size_file = os.open(folder / "synced", os.O_RDWR | os.O_CREAT, 0o644)
            self.lost_state = not self.path.exists()
            if self.lost_state:
                # Before the log: a start that is killed between the two must not vote.
                (folder / "blank").touch()
                self._sync_folder()
                self.state = PersistentState()
                self._write_log()
            data = self.path.read_bytes()
            self.state, self.size = read_log(data, str(self.path))
            if self.size < self._read_synced_size() <= len(data):
                raise CorruptFolder(
                    f"{self.path}: the last record at byte {self.size} was on disk, and is corrupt: move the "
                    "folder away and restart the node without it"
                )
            self.torn_bytes = len(data) - self.size
            self.file = os.open(self.path, os.O_WRONLY)
            os.ftruncate(self.file, self.size)
            os.lseek(self.file, 0, os.SEEK_END)
            self._write_synced_size(self.size)
            self.lost_state = self.lost_state or (folder / "blank").exists()
            self.start = self._next_start()
        except BaseException:
            for descriptor in (self.file, self.synced_size_file, self.lock):
                if descriptor != CLOSED_DESCRIPTOR:
                    os.close(descriptor)
            raise

    def _write_synced_size(self, size: int) -> None:
        """Store the size of the synced log, which distinguishes a corrupt last record from a torn write.

        The file itself is not synced: after a power failure its value may be too low, but never too high.
        """
        body = size.to_bytes(8, "little")
        with suppress(OSError):
            os.pwrite(self.synced_size_file, body + zlib.crc32(body).to_bytes(4, "little"), 0)

    def _read_synced_size(self) -> int:
        """The stored size of the synced log; 0 if unknown."""
        data = os.pread(self.synced_size_file, 12, 0)
        is_valid = len(data) == 12 and zlib.crc32(data[:8]).to_bytes(4, "little") == data[8:]
        return int.from_bytes(data[:8], "little") if is_valid else 0

    def _next_start(self) -> int:
        path = self.folder / "start"
        try:
            previous_start = int(path.read_text()) if path.exists() else 0
        except ValueError:
            raise CorruptFolder(f"{path}: is not a number") from None
        self.write_start(previous_start + 1)
        return previous_start + 1

    def write_start(self, number: int) -> None:
        """Store the number of starts of this node."""
        self._replace_file("start", str(number).encode())

    def mark_admitted(self) -> None:
        """Record that this node may vote, now that it has been added to the voters again."""
        if self.lost_state:
            (self.folder / "blank").unlink(missing_ok=True)
            self._sync_folder()
            self.lost_state = False

    def store_copies(self, rows: list[Row]) -> None:
        """Store copies of other nodes' state, as hints for the next start."""
        body = msgspec.msgpack.encode(rows)
        self._replace_file("copies", zlib.crc32(body).to_bytes(4, "little") + body)

    def load_copies(self) -> list[Row]:
        """The rows last stored by `store_copies`; empty if the file is missing or corrupt."""
        path = self.folder / "copies"
        data = path.read_bytes() if path.exists() else b""
        if zlib.crc32(data[4:]).to_bytes(4, "little") != data[:4]:
            return []
        try:
            return msgspec.msgpack.decode(data[4:], type=list[Row])
        except msgspec.MsgspecError:
            return []

    def mark_not_admitted(self) -> None:
        """Record that this node may not vote, because it may have made promises that its log lacks.

        The log is kept, as it was when the last write was acknowledged. OSError or WriteFailed if that fails,
        after which it may be repeated.
        """
        self._repair()
        (self.folder / "blank").touch()
        self._sync_folder()
        self.lost_state = True

    def write(self, rows: list[tuple[Any, ...]]) -> None:
        """Write and sync rows, all or none; WriteFailed if that fails, after which it may be repeated."""
        try:
            self._repair()
            self._write(rows)
        except OSError as error:
            self.needs_repair = True
            with suppress(WriteFailed):
                self._repair()
            raise WriteFailed(f"{self.path}: {error.strerror}") from None

    def _repair(self) -> None:
        """Restore the acknowledged log after a failed write; WriteFailed while that is not possible.

        Otherwise rows could follow the remains of a failed write, or go to a file that a failed snapshot has
        already replaced, and would not be read at the next start.
        """
        if not self.needs_repair:
            return
        try:
            descriptor = os.open(self.path, os.O_WRONLY)
            try:
                replaced = not os.path.sameopenfile(descriptor, self.file)
                self.size = os.fstat(descriptor).st_size if replaced else self.size
                os.ftruncate(descriptor, self.size)
                os.fsync(descriptor)
                os.lseek(descriptor, 0, os.SEEK_END)
                self._sync_folder()
                state = read_log(self.path.read_bytes(), str(self.path))[0]
            except BaseException:
                os.close(descriptor)
                raise
        except OSError as error:
            raise WriteFailed(f"{self.path}: {error.strerror}") from None
        os.close(self.file)
        self.file, self.state, self.needs_repair = descriptor, state, False
        self._write_synced_size(self.size)

    def _write(self, rows: list[tuple[Any, ...]]) -> None:
        data = b""
        for row in rows:
            if row[0] != "snapshot":
                data += encode_record(row)
                self.state.apply(row)
            else:  # replaces the log by the snapshot, the vote and the entries after it
                self.state.apply(row)
                self._replace_log()
                data = b""
        if not data:
            return
        written = 0
        while written < len(data):
            written += os.write(self.file, data[written:])
        os.fdatasync(self.file)
        self.size += len(data)
        self._write_synced_size(self.size)

    def _replace_log(self) -> None:
        """Replace the log file by one with the current state."""
        self._write_log()
        descriptor = os.open(self.path, os.O_WRONLY)
        os.close(self.file)
        self.file = descriptor
        self.size = os.lseek(self.file, 0, os.SEEK_END)

    def _write_log(self) -> None:
        state = self.state
        data = (
            LOG_HEADER
            + encode_record(("snapshot", state.snapshot))
            + encode_record(("vote", state.term, state.vote))
        )
        if state.entries:
            data += encode_record(("add", state.snapshot.included_index + 1, state.entries))
        self._write_synced_size(0)  # unknown until the new log is in place
        self._replace_file("agreement.log", data)
        self._write_synced_size(len(data))

    def _replace_file(self, name: str, data: bytes) -> None:
        """Replace a file atomically: it has the old content or the new one."""
        path = self.folder / f"{name}.new"
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            written = 0
            while written < len(data):
                written += os.write(file, data[written:])
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
        os.close(self.synced_size_file)
        os.close(self.lock)
