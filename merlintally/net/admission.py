"""What becomes of a new client connection, and which open ones are closed for it, by the descriptors in use
(I/O-free).

Nothing waits in the listener's backlog for longer than can be helped: a request there counts as taken, and
its time passes. So the last descriptors meant for clients are not for connections that stay. Of these, most
carry connections that are closed behind their first answers, and the last few such as are only rejected.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop
from typing import Generic, Protocol, TypeVar

LEAST_RESERVE = 2  # descriptors for each kind of connection that does not stay


class Admission(Enum):
    """How a new connection is treated."""

    STAYS = "stays"  # as long as its client likes
    CLOSED_AFTER = "closed after"  # once what has come is answered
    REJECTED = "rejected"  # its requests are, unless an idle connection gives way, and it is closed
    WAITS = "waits"  # in the backlog: there is no descriptor for it


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Numbers of connections up to which new ones are treated as named; beyond `reject` they wait."""

    stay: int
    close_after: int
    reject: int

    @classmethod
    def of(cls, most: int, reserve_share: float) -> AdmissionLimits:
        """For `most` descriptors, of which `reserve_share` is not for connections that stay."""
        reserve = max(2 * LEAST_RESERVE, int(most * reserve_share))
        rejecting = max(LEAST_RESERVE, reserve // 4)
        return cls(max(1, most - reserve), max(1, most - rejecting), most)

    def admit(self, open_connections: int) -> Admission:
        """What a new connection gets beside `open_connections`."""
        if open_connections < self.stay:
            return Admission.STAYS
        if open_connections < self.close_after:
            return Admission.CLOSED_AFTER
        return Admission.REJECTED if open_connections < self.reject else Admission.WAITS


class Evictable(Protocol):
    """A connection, as far as this module looks at it. Times are seconds of one clock."""

    closing: bool
    known: bool  # it has brought a request
    moved_at: float  # when it last made headway

    @property
    def idle(self) -> bool: ...


Connection = TypeVar("Connection", bound=Evictable)


@dataclass(frozen=True, slots=True)
class Eviction(Generic[Connection]):
    """Which connections are closed first where descriptors run short."""

    rest_s: float  # for which a connection that has brought a request may stand idle, at the least
    silent_s: float  # the same for one that has brought none

    def candidates(
        self, connections: Iterable[Connection], now: float, urgent: bool = False
    ) -> Iterator[Connection]:
        """The one needed least first: one that is closing, one that has brought nothing, the
        one idle for longest. Where it is `urgent`, silent ones need not have been silent for long."""
        silent_s = 0.0 if urgent else self.silent_s
        rows = [
            (not one.closing, one.known, one.moved_at, number, one)
            for number, one in enumerate(connections)
            if one.idle and (one.closing or now - one.moved_at > (self.rest_s if one.known else silent_s))
        ]
        heapify(rows)
        while rows:
            yield heappop(rows)[-1]
