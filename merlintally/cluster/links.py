"""Connections between nodes: one TCP stream in each direction for each pair, and UDP datagrams.

A frame consists of its length (4 bytes), a keyed hash of the body (16 bytes) and the body, a message name and
its arguments in msgpack. The first frame of a stream is a hello with the format version, cluster, node and
start of the sender, and nothing else is read before it. Frames that are too long, truncated, corrupt, or of
another version or cluster are dropped and counted; they end at most the stream they came by.
"""

from __future__ import annotations

import hmac
import socket
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from hashlib import blake2b
from random import Random
from typing import Any, cast

import anyio
import anyio.abc
import msgspec

from merlintally.cluster.core import MESSAGE_TYPES
from merlintally.cluster.processes import KnownProcesses, ProcessIdentity
from merlintally.net.configuration import Address
from merlintally.net.log import Log

FORMAT_VERSION = 1  # version of the format of frames and datagrams
MAC_BYTES = 16
MAX_HELLO_BYTES = 512
MAX_FRAME_BYTES = 8 << 20
MAX_DATAGRAM_BYTES = 1400
MAX_QUEUED_FRAMES = 512  # per receiver
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0
STREAM_TIMEOUT_S = 5.0
# Errors that end a connection.
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
DROP_LOG_INTERVAL_S = 5.0  # between log lines about dropped frames
ACCEPT_LOG_INTERVAL_S = 5.0
ACCEPT_RETRY_S = 0.05

Hello = tuple[int, str, str, int, str]  # format version, cluster, node, start, process instance
DECODERS = {call: msgspec.msgpack.Decoder(types) for call, types in MESSAGE_TYPES.items()}
ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
HELLO_DECODER = msgspec.msgpack.Decoder(Hello)
# "welcome" or "refused", reason, last known start
HELLO_REPLY_DECODER = msgspec.msgpack.Decoder(tuple[str, str, int])


class InvalidFrame(Exception):
    """A frame that is rejected; the text gives the reason."""


class Codec:
    """Authenticates frames with blake2b, keyed with the cluster's name and secret."""

    def __init__(self, cluster: str, secret: str) -> None:
        self.key = blake2b(f"{cluster}\0{secret}".encode(), digest_size=32).digest()

    def seal(self, body: bytes) -> bytes:
        """Prefix a body with its keyed hash."""
        return blake2b(body, digest_size=MAC_BYTES, key=self.key).digest() + body

    def open(self, data: bytes) -> bytes:
        """Verify and remove the keyed hash; InvalidFrame if it does not match."""
        body = data[MAC_BYTES:]
        if len(data) <= MAC_BYTES or not hmac.compare_digest(
            data[:MAC_BYTES], blake2b(body, digest_size=MAC_BYTES, key=self.key).digest()
        ):
            raise InvalidFrame("of another cluster, or corrupt")
        return body

    def frame(self, value: Any) -> bytes:
        """Encode a value as a frame for a stream."""
        data = self.seal(msgspec.msgpack.encode(value))
        return len(data).to_bytes(4, "big") + data


def decode_message(body: bytes) -> tuple[str, tuple[Any, ...]]:
    """Decode a message into its name and its arguments, which are checked against their types."""
    try:
        call, raw = ENVELOPE_DECODER.decode(body)
        if call not in DECODERS:
            raise InvalidFrame(f"unknown message {call!r:.20}")
        return call, DECODERS[call].decode(raw)
    except msgspec.MsgspecError as error:
        raise InvalidFrame(f"can't be decoded: {error}") from None


async def read_frame(stream: anyio.abc.ByteReceiveStream, buffer: bytearray, max_bytes: int) -> bytes:
    """Read the next frame; EndOfStream at the end, InvalidFrame if it is longer than `max_bytes`.

    `buffer` keeps bytes of later frames between calls.
    """
    while True:
        if len(buffer) >= 4:
            size = int.from_bytes(buffer[:4], "big")
            if not MAC_BYTES < size <= max_bytes:
                raise InvalidFrame(f"frame is {size} bytes long, of at most {max_bytes}")
            if len(buffer) >= 4 + size:
                data = bytes(buffer[4 : 4 + size])
                del buffer[: 4 + size]
                return data
        buffer += await stream.receive(65536)


class OutboundStream:
    """Frames queued for the stream to one other node; when full, the oldest are dropped."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: deque[bytes] = deque(maxlen=MAX_QUEUED_FRAMES)
        self.not_empty = anyio.Event()


class Links:
    """The connections of one node to all others, and those of operators' clients.

    `on_message(sender, call, args)` is awaited for each message. `resolve(name)` returns the address of a
    node or None. `on_newer_start(start)` is awaited when others have seen a later start of this node than its
    folder has. `on_request(id, verb, args)` answers a client.
    """

    def __init__(
        self,
        cluster: str,
        secret: str,
        name: str,
        processes: KnownProcesses,
        listen: Address,
        rng: Random,
        log: Log,
        on_message: Callable[[str, str, tuple[Any, ...]], Awaitable[None]],
        resolve: Callable[[str], Address | None],
        on_newer_start: Callable[[int], Awaitable[None]],
        on_request: Callable[[str, str, list[Any]], Awaitable[tuple[bool, str]]],
    ) -> None:
        self.cluster, self.name, self.processes, self.listen, self.rng = cluster, name, processes, listen, rng
        self.codec, self.log, self.on_message, self.resolve, self.on_newer_start = (
            Codec(cluster, secret),
            log,
            on_message,
            resolve,
            on_newer_start,
        )
        self.on_request = on_request
        self.outbound: dict[str, OutboundStream] = {}
        self.inbound: dict[str, anyio.CancelScope] = {}
        self.dropped: Counter[str] = Counter()
        self.last_drop_logged_at = float("-inf")
        self.accept_failures = 0
        self.last_accept_failure_logged_at = float("-inf")
        self.sent_bytes = 0
        self.udp: socket.socket | None = None
        self.tcp: anyio.abc.SocketListener | None = None
        self.group: anyio.abc.TaskGroup

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Serve streams and datagrams until cancelled; OSError if the address is in use."""
        self.group = group
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setblocking(False)
        try:
            self.udp.bind(self.listen)
            host, port = self.listen
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=port, family=socket.AF_INET
            )
            async with listener:
                group.start_soon(self._receive_datagrams, self.udp)
                await self._accept_streams(cast(anyio.abc.SocketListener, listener.listeners[0]), group)
        finally:
            self.udp.close()

    async def _accept_streams(self, listener: anyio.abc.SocketListener, group: anyio.abc.TaskGroup) -> None:
        """Serve each stream in a task of its own. Errors of accept, such as a shortage of descriptors, do not
        end this node's part in the cluster: accepting is retried until it succeeds."""
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                self._log_accept_failure(error)
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            group.start_soon(self._serve_stream, stream)

    def _log_accept_failure(self, failure: OSError) -> None:
        """Logged at most every ACCEPT_LOG_INTERVAL_S."""
        self.accept_failures += 1
        now = anyio.current_time()
        if now - self.last_accept_failure_logged_at >= ACCEPT_LOG_INTERVAL_S:
            self.last_accept_failure_logged_at = now
            self.log.say(
                f"cluster: cannot accept connections of other nodes: {failure.strerror} "
                f"({self.accept_failures} failures in total)",
                "cluster.accept",
                failures=self.accept_failures,
            )

    def send(self, to: str, call: str, args: tuple[Any, ...]) -> None:
        """Queue a message for the stream to a node. It is lost if the stream breaks or the queue is full."""
        outbound = self.outbound.get(to)
        if outbound is None:
            outbound = self.outbound[to] = OutboundStream(to)
            self.group.start_soon(self._run_outbound, outbound)
        if len(outbound.queue) == MAX_QUEUED_FRAMES:
            self.dropped["queue full"] += 1
        outbound.queue.append(self.codec.frame((call, args)))
        outbound.not_empty.set()

    def send_datagram(self, to: str, call: str, args: tuple[Any, ...]) -> None:
        """Send a message as a datagram."""
        address = self.resolve(to)
        data = self.codec.seal(msgspec.msgpack.encode((FORMAT_VERSION, self.cluster, self.name, call, args)))
        if address is None or self.udp is None or len(data) > MAX_DATAGRAM_BYTES:
            self.dropped["datagram unsent"] += 1
            return
        self.sent_bytes += len(data)
        with suppress(OSError):
            self.udp.sendto(data, address)

    def drop(self, reason: str, sender_name: str) -> None:
        """Count a dropped frame; logged at most every DROP_LOG_INTERVAL_S."""
        self.dropped[reason] += 1
        now = anyio.current_time()
        if now - self.last_drop_logged_at >= DROP_LOG_INTERVAL_S:
            self.last_drop_logged_at = now
            self.log.say(
                f"cluster: dropped from {sender_name}: {reason} ({sum(self.dropped.values())} in total)",
                "cluster.dropped",
                whose=sender_name,
                why=reason,
            )

    # Outbound streams.

    async def _run_outbound(self, outbound: OutboundStream) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            if not outbound.queue:
                outbound.not_empty = anyio.Event()
                await outbound.not_empty.wait()
            address = self.resolve(outbound.name)
            try:
                if address is None:
                    raise OSError("no address")
                with anyio.fail_after(STREAM_TIMEOUT_S):
                    stream = await anyio.connect_tcp(*address)
                async with stream:
                    stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                        socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                    )
                    await self._send_hello(stream)
                    delay_s = MIN_RECONNECT_DELAY_S
                    await self._run_stream(outbound, stream)
            except (*CONNECTION_ERRORS, InvalidFrame, msgspec.MsgspecError) as error:
                if isinstance(error, InvalidFrame):
                    self.drop(str(error), outbound.name)
                outbound.queue.clear()  # messages would be outdated by the time of a reconnection
                await anyio.sleep(delay_s * (0.5 + self.rng.random()))
                delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2)

    async def _send_hello(self, stream: anyio.abc.SocketStream) -> None:
        hello: Hello = (FORMAT_VERSION, self.cluster, self.name, *self.processes.own)
        await stream.send(self.codec.frame(hello))
        with anyio.fail_after(STREAM_TIMEOUT_S):
            status, reason, start = HELLO_REPLY_DECODER.decode(
                self.codec.open(await read_frame(stream, bytearray(), MAX_HELLO_BYTES))
            )
        if status != "welcome":
            if start:
                await self.on_newer_start(start)
            raise InvalidFrame(f"refused: {reason}")

    async def _run_stream(self, outbound: OutboundStream, stream: anyio.abc.SocketStream) -> None:
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                with suppress(*CONNECTION_ERRORS):
                    await stream.receive(1)
                group.cancel_scope.cancel()

            group.start_soon(watch)
            # An error in a send must end this stream only, not the task group of all.
            with suppress(*CONNECTION_ERRORS):
                await self._send_all(outbound, stream)
            group.cancel_scope.cancel()

    async def _send_all(self, outbound: OutboundStream, stream: anyio.abc.SocketStream) -> None:
        while True:
            while outbound.queue:
                data = b"".join(outbound.queue)
                outbound.queue.clear()
                self.sent_bytes += len(data)
                with anyio.fail_after(STREAM_TIMEOUT_S):  # the receiver may have stopped reading
                    await stream.send(data)
            outbound.not_empty = anyio.Event()
            await outbound.not_empty.wait()

    # Inbound streams and datagrams.

    async def _serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        buffer, name = bytearray(), "unknown"
        scope = anyio.CancelScope()
        try:
            async with stream:
                with anyio.fail_after(STREAM_TIMEOUT_S):
                    body = self.codec.open(await read_frame(stream, buffer, MAX_HELLO_BYTES))
                version, cluster, name, start, instance_id = HELLO_DECODER.decode(body)
                process = ProcessIdentity(start, instance_id)
                reason, newest_start = self._check_hello(version, cluster, name, process)
                if reason:
                    await stream.send(self.codec.frame(("refused", reason, newest_start)))
                    raise InvalidFrame(reason)
                await stream.send(self.codec.frame(("welcome", "", 0)))
                if name.startswith("client:"):
                    await self._serve_client(stream, buffer)
                    return
                if (previous := self.inbound.get(name)) is not None:
                    previous.cancel()
                with scope:
                    self.inbound[name] = scope
                    while True:
                        call, args = decode_message(
                            self.codec.open(await read_frame(stream, buffer, MAX_FRAME_BYTES))
                        )
                        await self.on_message(name, call, args)
        except InvalidFrame as error:
            self.drop(str(error), name)
        except msgspec.MsgspecError:
            self.drop("hello can't be decoded", name)
        except CONNECTION_ERRORS:
            pass
        finally:
            if self.inbound.get(name) is scope:
                del self.inbound[name]

    def _check_hello(
        self, version: int, cluster: str, name: str, process: ProcessIdentity
    ) -> tuple[str, int]:
        """The reason to refuse a stream or "", and the newest start of its node if that is the reason."""
        if version != FORMAT_VERSION:
            return f"frame format {version}, expected {FORMAT_VERSION}", 0
        if cluster != self.cluster:
            return f"of cluster {cluster!r:.40}", 0
        if name.startswith("client:"):
            return "", 0
        if name == self.name:
            return f"{name!r:.40} is this node's own name", 0
        reason = self.processes.reason_to_refuse(name, process)
        return (reason, self.processes.newest[name].start) if reason else ("", 0)

    async def _serve_client(self, stream: anyio.abc.SocketStream, buffer: bytearray) -> None:
        """Answer the requests of an operator's client, one after another."""
        while True:
            call, args = decode_message(self.codec.open(await read_frame(stream, buffer, MAX_FRAME_BYTES)))
            if call != "w.ask":
                raise InvalidFrame(f"a client sent {call}")
            ok, text = await self.on_request(*args)
            await stream.send(self.codec.frame(("w.answer", (args[0], ok, text))))

    async def _receive_datagrams(self, sock: socket.socket) -> None:
        decoder = msgspec.msgpack.Decoder(tuple[int, str, str, str, msgspec.Raw])
        while True:
            await anyio.wait_readable(sock)
            try:
                data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue
            try:
                if len(data) > MAX_DATAGRAM_BYTES:
                    raise InvalidFrame("datagram too long")
                version, cluster, name, call, raw = decoder.decode(self.codec.open(data))
                if version != FORMAT_VERSION or cluster != self.cluster:
                    raise InvalidFrame(f"frame format {version}, cluster {cluster!r:.40}")
                if self.resolve(name) is None or not call.startswith("m.") or call not in DECODERS:
                    raise InvalidFrame(f"{name!r:.40} sent {call!r:.20}")
                await self.on_message(name, call, DECODERS[call].decode(raw))
            except InvalidFrame as error:
                self.drop(str(error), f"{sender[0]}:{sender[1]}")
            except msgspec.MsgspecError:
                self.drop("datagram can't be decoded", f"{sender[0]}:{sender[1]}")


async def request(
    address: Address,
    cluster: str,
    secret: str,
    request_id: str,
    verb: str,
    args: list[Any],
    timeout_s: float = STREAM_TIMEOUT_S,
) -> tuple[bool, str]:
    """Send an operator's request to the node at `address`; OSError or InvalidFrame if there is no answer."""
    codec = Codec(cluster, secret)
    with anyio.fail_after(timeout_s):
        async with await anyio.connect_tcp(*address) as stream:
            buffer = bytearray()
            await stream.send(
                codec.frame((FORMAT_VERSION, cluster, "client:", 0, request_id))
                + codec.frame(("w.ask", (request_id, verb, args)))
            )
            status, reason, _ = HELLO_REPLY_DECODER.decode(
                codec.open(await read_frame(stream, buffer, MAX_HELLO_BYTES))
            )
            if status != "welcome":
                raise InvalidFrame(f"refused: {reason}")
            _, (_, ok, text) = decode_message(codec.open(await read_frame(stream, buffer, MAX_FRAME_BYTES)))
            return ok, text
