"""The record of a day's events: lines of text whose digest tells whether two runs went alike."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path


class Record:
    """Lines `TIME EVENT WORD...`, times in seconds of the world's clock with six digits. Lines are digested
    as they come and, where a file is named, written there in blocks."""

    BLOCK = 4096

    def __init__(self, path: Path | None = None) -> None:
        self.digest, self.lines = blake2b(digest_size=16), 0
        self.pending: list[str] = []
        self.file = path.open("wb") if path is not None else None

    def line(self, now: float, event: str, words: str = "") -> None:
        self.pending.append(f"{now:.6f} {event} {words}\n")
        if len(self.pending) >= self.BLOCK:
            self._flush()

    def _flush(self) -> None:
        block = "".join(self.pending).encode()
        self.lines += len(self.pending)
        self.pending.clear()
        self.digest.update(block)
        if self.file is not None:
            self.file.write(block)

    def close(self) -> str:
        """The digest of all lines, in hex."""
        self._flush()
        if self.file is not None:
            self.file.close()
        return self.digest.hexdigest()
