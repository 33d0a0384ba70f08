"""Sends a schedule to a node over many connections, and keeps the latencies in HDR histograms."""

from __future__ import annotations

import ipaddress
import time
from collections import Counter as Tally
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream
from hdrh.histogram import HdrHistogram

from merlintally.forms import Faults
from merlintally.load.profile import Profile
from merlintally.load.schedule import Planned, schedule
from merlintally.net.resp import array

HIGHEST_US = 3_600_000_000  # an hour, the longest latency that a histogram holds, microseconds
OUTCOMES = ("delivered", "bounced", "given up", "silent", "broken", "unsent")
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Tallies:
    """Outcomes and latencies by lane. Latencies run from the scheduled time, in microseconds, to three
    digits: what waited behind a stalled node counts as slow, whenever it was sent."""

    def __init__(self) -> None:
        self.outcomes: dict[str, Tally[str]] = {}
        self.latency: dict[tuple[str, str], HdrHistogram] = {}
        self.service = HdrHistogram(1, HIGHEST_US, 3)  # from the moment of sending, for comparison
        self.sent = self.late = 0

    def add(self, lane: str, outcome: str, latency: float, service: float | None) -> None:
        self.outcomes.setdefault(lane, Tally())[outcome] += 1
        found = self.latency.get((lane, outcome))
        if found is None:
            found = self.latency[lane, outcome] = HdrHistogram(1, HIGHEST_US, 3)
        found.record_value(min(HIGHEST_US, max(1, int(latency * 1e6))))
        if service is not None:
            self.service.record_value(min(HIGHEST_US, max(1, int(service * 1e6))))

    def summary(self, seconds: float) -> dict[str, object]:
        """By lane and outcome: count, and latencies in milliseconds."""
        lanes: dict[str, object] = {}
        for lane in sorted(self.outcomes):
            rows: dict[str, object] = {}
            for outcome in OUTCOMES:
                if count := self.outcomes[lane][outcome]:
                    found = self.latency[lane, outcome]
                    rows[outcome] = {
                        "count": count,
                        "mean_ms": round(found.get_mean_value() / 1000, 3),
                        "max_ms": round(found.get_max_value() / 1000, 3),
                        **{
                            f"p{q:g}_ms": round(found.get_value_at_percentile(q) / 1000, 3) for q in QUANTILES
                        },
                    }
            lanes[lane] = rows
        total: Tally[str] = Tally()
        for one in self.outcomes.values():
            total.update(one)
        return {
            "seconds": round(seconds, 3),
            "sent": self.sent,
            "sent_per_s": round(self.sent / seconds, 2) if seconds else 0.0,
            "sent_late": self.late,
            "outcomes": {outcome: total[outcome] for outcome in OUTCOMES if total[outcome]},
            "lanes": lanes,
            "p99_from_sending_ms": round(self.service.get_value_at_percentile(99.0) / 1000, 3),
        }


def loopback_only(host: str, anywhere: bool) -> None:
    """Refuse an address that is not this machine's, unless somebody said so."""
    try:
        here = ipaddress.ip_address(host).is_loopback
    except ValueError:
        here = host == "localhost"
    if not here and not anywhere:
        raise Faults(
            [f"ADDRESS: {host} is not a loopback address; --beyond-loopback sends there all the same"]
        )


async def read_answer(stream: ByteStream, held: bytes) -> tuple[bytes, bytes]:
    """One whole RESP2 answer and what came behind it; EndOfStream where the connection ends first."""
    while True:
        length = whole(held)
        if length is not None:
            return held[:length], held[length:]
        held += await stream.receive(65536)


def whole(held: bytes, at: int = 0) -> int | None:
    """Where the answer that begins at `at` ends, or None while it is not all there.

    >>> whole(b"+PONG\\r\\n"), whole(b"$3\\r\\nab"), whole(b"*2\\r\\n$1\\r\\na\\r\\n$-1\\r\\n")
    (7, None, 16)
    """
    stop = held.find(b"\r\n", at)
    if stop < 0:
        return None
    kind, rest, end = held[at : at + 1], held[at + 1 : stop], stop + 2
    if kind == b"$" and int(rest) >= 0:
        end += int(rest) + 2
        return end if end <= len(held) else None
    if kind == b"*":
        for _ in range(max(0, int(rest))):
            inner = whole(held, end)
            if inner is None:
                return None
            end = inner
    return end


def outcome_of(answer: bytes) -> str:
    """What an answer means.

    >>> outcome_of(b"-BUSY 20\\r\\n"), outcome_of(b"-ERR given up\\r\\n"), outcome_of(b"$1\\r\\nx\\r\\n")
    ('bounced', 'given up', 'delivered')
    """
    if answer.startswith(b"-BUSY"):
        return "bounced"
    if answer[:1] in (b"$", b"*") and not answer.startswith((b"$-1", b"*0", b"*-1")):
        return "delivered"
    return "given up"


class Sender:
    """An open loop: each submission is due at its time, whatever became of those before. Where all
    connections are busy it waits for one, and that wait counts into its latency."""

    def __init__(
        self,
        host: str,
        port: int,
        profile: Profile,
        progress: Callable[[int], None] | None = None,
        told: Callable[[Planned, str, float | None], None] | None = None,
    ) -> None:
        """`told` is called for each submission with its outcome and the seconds from sending, if it was."""
        self.host, self.port, self.profile, self.progress = host, port, profile, progress
        self.told = told
        self.tallies = Tallies()

    async def ping(self) -> None:
        """Whether a node answers there; Faults if not."""
        try:
            with anyio.fail_after(3.0):
                async with await anyio.connect_tcp(self.host, self.port) as stream:
                    await stream.send(array(b"PING"))
                    answer, _ = await read_answer(stream, b"")
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            raise Faults([f"ADDRESS: no node answers at {self.host}:{self.port}"]) from None
        if answer != b"+PONG\r\n":
            raise Faults(
                [f"ADDRESS: {self.host}:{self.port} answers PING with {answer[:40]!r}, so it is no node"]
            )

    async def run(self) -> Tallies:
        """Send all; ends by itself at the latest when the last one's wait is over."""
        await self.ping()
        most = max(one.wait_s for one in self.profile.lane)
        put, get = anyio.create_memory_object_stream[Planned](1_000_000)
        self.began = time.monotonic()
        with anyio.move_on_after(self.profile.seconds + most + 5.0):
            async with anyio.create_task_group() as group:
                for _ in range(self.profile.connections):
                    group.start_soon(self._connection, get.clone())
                get.close()
                async with put:
                    for planned in schedule(self.profile):
                        await anyio.sleep(max(0.0, self.began + planned.due - time.monotonic()))
                        put.send_nowait(planned)
        return self.tallies

    async def _connection(self, get: anyio.abc.ObjectReceiveStream[Planned]) -> None:
        stream: ByteStream | None = None
        async with get:
            async for planned in get:
                stream = await self._one(planned, stream)
        if stream is not None:
            await stream.aclose()

    async def _one(self, planned: Planned, stream: ByteStream | None) -> ByteStream | None:
        """One submission; gives the connection if it can be used again."""
        due = self.began + planned.due
        sent: float | None = None
        try:
            left = planned.wait - (time.monotonic() - due)
            if left <= 0:
                self._tell(planned, "unsent", None)  # its client would have gone before it could be sent
                return stream
            with anyio.fail_after(left):
                if stream is None:
                    stream = await anyio.connect_tcp(self.host, self.port)
                sent = time.monotonic()
                self.tallies.late += sent - due > 0.01
                self.tallies.sent += 1
                await stream.send(planned.command)
                answer, rest = await read_answer(stream, b"")
        except TimeoutError:
            self._tell(planned, "silent" if sent else "unsent", sent)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._tell(planned, "broken", sent)
        else:
            self._tell(planned, outcome_of(answer), sent)
            if not rest:
                return stream
        if stream is not None:
            with anyio.move_on_after(1.0, shield=True):
                await stream.aclose()
        return None

    def _tell(self, planned: Planned, outcome: str, sent: float | None) -> None:
        now = time.monotonic()
        service = now - sent if sent else None
        self.tallies.add(planned.lane, outcome, now - self.began - planned.due, service)
        if self.told is not None:
            self.told(planned, outcome, service)
        if self.progress is not None:
            self.progress(1)
