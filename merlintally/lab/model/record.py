"""The record of a day's events: text lines, and a digest by which two runs can be compared."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path


class Record:
    """Lines `TIME EVENT WORD...`; TIME is in seconds of the world's clock, with six decimals.

    Lines are added to the digest and, if `path` is given, to that file, in blocks.
    """

    BLOCK_LINES = 4096

    def __init__(self, path: Path | None = None) -> None:
        self.digest, self.lines = blake2b(digest_size=16), 0
        self.pending: list[str] = []
        self.file = path.open("wb") if path is not None else None

    def line(self, now: float, event: str, words: str = "") -> None:
        """Append a line."""
        self.pending.append(f"{now:.6f} {event} {words}\n")
        if len(self.pending) >= self.BLOCK_LINES:
            self._flush()

    def _flush(self) -> None:
        block = "".join(self.pending).encode()
        self.lines += len(self.pending)
        self.pending.clear()
        self.digest.update(block)
        if self.file is not None:
            self.file.write(block)

    def close(self) -> str:
        """Write what is pending, close the file and return the digest of all lines, in hex."""
        self._flush()
        if self.file is not None:
            self.file.close()
        return self.digest.hexdigest()
