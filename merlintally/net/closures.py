"""Why client connections end; those that the node closed for a fault of theirs are told of in one line."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from merlintally.net.log import Log


class CloseReason(StrEnum):
    """Why a client's connection ended."""

    CLIENT = "the client ended it"
    BROKEN = "it broke under a write"
    ASKED = "the client asked for it"
    NO_REQUEST = "no whole command in time"
    NO_DESCRIPTOR = "no descriptor left"
    STALLED = "its answers are not read"
    IDLE = "it stood idle"
    FEW_DESCRIPTORS = "few descriptors were left when it came"
    FAULTS = "too many commands in a row that can't be taken"
    NO_COMMAND = "what it says is no command"
    LEAVE = "the node leaves"
    FAILED = "a fault of the node"


BY_CLIENT = frozenset({CloseReason.CLIENT, CloseReason.BROKEN})  # whatever it is owed, nobody waits for it
MOST_ADDRESSES = 1024  # counted apart between two lines


class Closures:
    """Guards against a line for each connection of a flood. `tell` says what has gathered."""

    def __init__(self) -> None:
        self._reasons: Counter[CloseReason] = Counter()
        self._addresses: Counter[str] = Counter()

    def add(self, reason: CloseReason, address: str) -> None:
        """One connection from `address` (without its port) was closed."""
        self._reasons[reason] += 1
        if address in self._addresses or len(self._addresses) < MOST_ADDRESSES:
            self._addresses[address] += 1

    def tell(self, log: Log) -> None:
        """Say how many were closed since the last line, why, and from where most of them came."""
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
