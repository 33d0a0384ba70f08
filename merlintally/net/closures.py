"""Reasons for which client connections end, and a log summary of those closed by the node."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from merlintally.net.log import Log


class CloseReason(StrEnum):
    """Why a client connection ended; the member names are keys and values in the log."""

    CLIENT = "the client disconnected"
    BROKEN = "a write failed"
    ASKED = "the client sent QUIT"
    NO_REQUEST = "no complete command in time"
    NO_DESCRIPTOR = "no file descriptor available"
    NO_MEMORY = "no memory for the rest of a command"
    STALLED = "answers not read in time"
    IDLE = "idle timeout"
    FEW_DESCRIPTORS = "few file descriptors available at accept"
    FAULTS = "too many invalid commands in a row"
    NO_COMMAND = "invalid protocol framing"
    LEAVE = "the node is shutting down"
    FAILED = "internal error"


# The client is gone, and no answer can reach it.
CLOSED_BY_CLIENT = frozenset({CloseReason.CLIENT, CloseReason.BROKEN})
# Commands that were read and not handled can't be answered, since the client is gone or does not read.
UNANSWERABLE = CLOSED_BY_CLIENT | {CloseReason.STALLED}
MAX_ADDRESSES = 1024  # counted separately between two log lines


class Closures:
    """Counts closed connections, so that a flood of them is logged in one line by `log_summary`."""

    def __init__(self) -> None:
        self._reasons: Counter[CloseReason] = Counter()
        self._addresses: Counter[str] = Counter()

    def add(self, reason: CloseReason, address: str) -> None:
        """Count a closed connection from `address` (without its port)."""
        self._reasons[reason] += 1
        if address in self._addresses or len(self._addresses) < MAX_ADDRESSES:
            self._addresses[address] += 1

    def log_summary(self, log: Log) -> None:
        """Log the number of connections closed since the last call, with reasons and the busiest address."""
        if not self._reasons:
            return
        reasons = ", ".join(f"{count} with {reason}" for reason, count in self._reasons.most_common())
        address, count = self._addresses.most_common(1)[0]
        log.say(
            f"client connections closed: {reasons}; from {len(self._addresses)} addresses, most from client "
            f"{address} ({count})",
            "clients.closed",
            closed=self._reasons.total(),
            addresses=len(self._addresses),
            most_from=address,
            most=count,
        )
        self._reasons.clear()
        self._addresses.clear()
