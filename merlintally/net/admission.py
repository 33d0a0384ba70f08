"""Admission of client connections, and eviction of idle ones, by the file descriptors in use (I/O-free).

The deadline of a request runs while its connection waits in the listener's backlog, so connections are
accepted as early as possible. A reserve of the clients' descriptors is not for persistent connections: most
of it serves connections that are closed after their first answers, and the rest serves connections whose
requests are rejected.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop
from typing import Generic, Protocol, TypeVar

MIN_RESERVE = 2  # descriptors for each kind of connection that is not persistent


class Admission(Enum):
    """How a new connection is treated."""

    PERSISTENT = "persistent"
    CLOSE_AFTER_ANSWERS = "close after answers"  # once all requests received so far are answered
    REJECT = "reject"  # as above, and its requests are answered as busy unless a connection can be evicted
    WAIT = "wait"  # in the backlog: no descriptor is available


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Numbers of open connections below which a new one is treated in each way; from `reject` on it waits."""

    persistent: int
    close_after_answers: int
    reject: int

    @classmethod
    def of(cls, descriptors: int, reserve_share: float) -> AdmissionLimits:
        """Return the limits for a number of descriptors and the share of them that is held in reserve."""
        reserve = max(2 * MIN_RESERVE, int(descriptors * reserve_share))
        reject_reserve = max(MIN_RESERVE, reserve // 4)
        return cls(max(1, descriptors - reserve), max(1, descriptors - reject_reserve), descriptors)

    def admit(self, open_connections: int) -> Admission:
        """Return how a new connection is treated while `open_connections` are open."""
        if open_connections < self.persistent:
            return Admission.PERSISTENT
        if open_connections < self.close_after_answers:
            return Admission.CLOSE_AFTER_ANSWERS
        return Admission.REJECT if open_connections < self.reject else Admission.WAIT


class Evictable(Protocol):
    """A connection that can be evicted. Times are seconds of one clock."""

    closing: bool
    has_sent_request: bool
    last_progress_at: float  # the last read or write

    @property
    def idle(self) -> bool:
        """Whether no answer is due on the connection."""
        ...


Connection = TypeVar("Connection", bound=Evictable)


@dataclass(frozen=True, slots=True)
class Eviction(Generic[Connection]):
    """The order in which idle connections are closed when descriptors run short."""

    min_idle_s: float  # before a connection that has sent a request may be evicted
    min_silent_s: float  # before one that has sent none may be evicted

    def candidates(
        self, connections: Iterable[Connection], now: float, urgent: bool = False
    ) -> Iterator[Connection]:
        """Yield connections to evict: closing ones, then those without a request, then the longest idle.

        If `urgent`, `min_silent_s` does not apply.
        """
        min_silent_s = 0.0 if urgent else self.min_silent_s
        rows = [
            (not one.closing, one.has_sent_request, one.last_progress_at, number, one)
            for number, one in enumerate(connections)
            if one.idle
            and (
                one.closing
                or now - one.last_progress_at > (self.min_idle_s if one.has_sent_request else min_silent_s)
            )
        ]
        heapify(rows)
        while rows:
            yield heappop(rows)[-1]
