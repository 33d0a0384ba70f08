"""Sends a schedule to a node over many connections and records latencies in HDR histograms."""

from __future__ import annotations

import ipaddress
import time
from collections import Counter
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream
from hdrh.histogram import HdrHistogram

from merlintally.forms import InputError
from merlintally.load.profile import Profile
from merlintally.load.schedule import Planned, schedule
from merlintally.net.resp import array

MAX_LATENCY_US = 3_600_000_000  # upper bound of the histograms
OUTCOMES = ("delivered", "bounced", "given up", "silent", "broken", "unsent")
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Tallies:
    """Outcomes and latencies by lane.

    Latencies are measured from the scheduled time, so that they include the time a submission waits because
    the node is stalled. Histograms hold microseconds with three significant digits.
    """

    def __init__(self) -> None:
        self.outcomes: dict[str, Counter[str]] = {}
        self.latency: dict[tuple[str, str], HdrHistogram] = {}
        self.service = HdrHistogram(1, MAX_LATENCY_US, 3)  # measured from sending
        self.sent = self.late = 0

    def add(self, lane: str, outcome: str, latency_s: float, service_s: float | None) -> None:
        """Record a submission: seconds from its scheduled time and, if it was sent, from sending."""
        self.outcomes.setdefault(lane, Counter())[outcome] += 1
        histogram = self.latency.get((lane, outcome))
        if histogram is None:
            histogram = self.latency[lane, outcome] = HdrHistogram(1, MAX_LATENCY_US, 3)
        histogram.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * 1e6))))
        if service_s is not None:
            self.service.record_value(min(MAX_LATENCY_US, max(1, int(service_s * 1e6))))

    def summary(self, seconds: float) -> dict[str, object]:
        """Return counts and latencies (milliseconds) by lane and outcome, for a load of `seconds`."""
        lanes: dict[str, object] = {}
        for lane in sorted(self.outcomes):
            rows: dict[str, object] = {}
            for outcome in OUTCOMES:
                if count := self.outcomes[lane][outcome]:
                    histogram = self.latency[lane, outcome]
                    rows[outcome] = {
                        "count": count,
                        "mean_ms": round(histogram.get_mean_value() / 1000, 3),
                        "max_ms": round(histogram.get_max_value() / 1000, 3),
                        **{
                            f"p{percentile:g}_ms": round(
                                histogram.get_value_at_percentile(percentile) / 1000, 3
                            )
                            for percentile in PERCENTILES
                        },
                    }
            lanes[lane] = rows
        total: Counter[str] = Counter()
        for counts in self.outcomes.values():
            total.update(counts)
        return {
            "seconds": round(seconds, 3),
            "sent": self.sent,
            "sent_per_s": round(self.sent / seconds, 2) if seconds else 0.0,
            "sent_late": self.late,
            "outcomes": {outcome: total[outcome] for outcome in OUTCOMES if total[outcome]},
            "lanes": lanes,
            "p99_from_sending_ms": round(self.service.get_value_at_percentile(99.0) / 1000, 3),
        }


def require_loopback(host: str, allow_remote: bool) -> None:
    """Raise InputError if `host` is not a loopback address, unless `allow_remote` is set."""
    try:
        local = ipaddress.ip_address(host).is_loopback
    except ValueError:
        local = host == "localhost"
    if not local and not allow_remote:
        raise InputError([f"ADDRESS: {host} is not a loopback address; use --beyond-loopback to allow it"])


async def read_answer(stream: ByteStream, buffer: bytes) -> tuple[bytes, bytes]:
    """Receive one RESP2 answer. Returns it and the bytes after it.

    `buffer` holds bytes already received. Raises EndOfStream if the connection closes first."""
    while True:
        length = answer_end(buffer)
        if length is not None:
            return buffer[:length], buffer[length:]
        buffer += await stream.receive(65536)


def answer_end(buffer: bytes, start: int = 0) -> int | None:
    """Return the end of the answer that begins at `start`, or None if it is incomplete.

    >>> answer_end(b"+PONG\\r\\n"), answer_end(b"$3\\r\\nab"), answer_end(b"*2\\r\\n$1\\r\\na\\r\\n$-1\\r\\n")
    (7, None, 16)
    """
    line_end = buffer.find(b"\r\n", start)
    if line_end < 0:
        return None
    type_byte, length, end = buffer[start : start + 1], buffer[start + 1 : line_end], line_end + 2
    if type_byte == b"$" and int(length) >= 0:
        end += int(length) + 2
        return end if end <= len(buffer) else None
    if type_byte == b"*":
        for _ in range(max(0, int(length))):
            item_end = answer_end(buffer, end)
            if item_end is None:
                return None
            end = item_end
    return end


def outcome_of(answer: bytes) -> str:
    """Classify an answer.

    >>> outcome_of(b"-BUSY 20\\r\\n"), outcome_of(b"-ERR given up\\r\\n"), outcome_of(b"$1\\r\\nx\\r\\n")
    ('bounced', 'given up', 'delivered')
    """
    if answer.startswith(b"-BUSY"):
        return "bounced"
    if answer[:1] in (b"$", b"*") and not answer.startswith((b"$-1", b"*0", b"*-1")):
        return "delivered"
    return "given up"


class Sender:
    """Sends a load as an open loop: each submission is due at its scheduled time, whatever happens to others.

    If all connections are busy, a submission waits for one, and the wait is part of its latency.
    """

    def __init__(
        self,
        host: str,
        port: int,
        profile: Profile,
        progress: Callable[[int], None] | None = None,
        on_outcome: Callable[[Planned, str, float | None], None] | None = None,
    ) -> None:
        """`on_outcome` is called with each submission, its outcome and, if sent, the seconds from sending."""
        self.host, self.port, self.profile, self.progress = host, port, profile, progress
        self.on_outcome = on_outcome
        self.tallies = Tallies()

    async def ping(self) -> None:
        """Raise InputError unless a node answers PING at the address."""
        try:
            with anyio.fail_after(3.0):
                async with await anyio.connect_tcp(self.host, self.port) as stream:
                    await stream.send(array(b"PING"))
                    answer, _ = await read_answer(stream, b"")
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            raise InputError([f"ADDRESS: no node answers at {self.host}:{self.port}"]) from None
        if answer != b"+PONG\r\n":
            raise InputError(
                [f"ADDRESS: {self.host}:{self.port} answers PING with {answer[:40]!r}, so it is not a node"]
            )

    async def run(self) -> Tallies:
        """Send all submissions. Returns at the latest when the longest wait has passed after the last."""
        await self.ping()
        longest_wait_s = max(entry.wait_s for entry in self.profile.lane)
        sender, receiver = anyio.create_memory_object_stream[Planned](1_000_000)
        self.started_at = time.monotonic()
        with anyio.move_on_after(self.profile.seconds + longest_wait_s + 5.0):
            async with anyio.create_task_group() as group:
                for _ in range(self.profile.connections):
                    group.start_soon(self._connection, receiver.clone())
                receiver.close()
                async with sender:
                    for planned in schedule(self.profile):
                        await anyio.sleep(max(0.0, self.started_at + planned.due - time.monotonic()))
                        sender.send_nowait(planned)
        return self.tallies

    async def _connection(self, receiver: anyio.abc.ObjectReceiveStream[Planned]) -> None:
        stream: ByteStream | None = None
        async with receiver:
            async for planned in receiver:
                stream = await self._send_one(planned, stream)
        if stream is not None:
            await stream.aclose()

    async def _send_one(self, planned: Planned, stream: ByteStream | None) -> ByteStream | None:
        """Send one submission. Returns the connection if it can be reused."""
        due = self.started_at + planned.due
        sent_at: float | None = None
        try:
            remaining_s = planned.wait - (time.monotonic() - due)
            if remaining_s <= 0:
                self._record(planned, "unsent", None)  # the client's timeout has passed already
                return stream
            with anyio.fail_after(remaining_s):
                if stream is None:
                    stream = await anyio.connect_tcp(self.host, self.port)
                sent_at = time.monotonic()
                self.tallies.late += sent_at - due > 0.01
                self.tallies.sent += 1
                await stream.send(planned.command)
                answer, surplus = await read_answer(stream, b"")
        except TimeoutError:
            self._record(planned, "silent" if sent_at else "unsent", sent_at)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._record(planned, "broken", sent_at)
        else:
            self._record(planned, outcome_of(answer), sent_at)
            if not surplus:
                return stream
        if stream is not None:
            with anyio.move_on_after(1.0, shield=True):
                await stream.aclose()
        return None

    def _record(self, planned: Planned, outcome: str, sent_at: float | None) -> None:
        """Record the outcome of a submission and call the callbacks."""
        now = time.monotonic()
        service_s = now - sent_at if sent_at else None
        self.tallies.add(planned.lane, outcome, now - self.started_at - planned.due, service_s)
        if self.on_outcome is not None:
            self.on_outcome(planned, outcome, service_s)
        if self.progress is not None:
            self.progress(1)
