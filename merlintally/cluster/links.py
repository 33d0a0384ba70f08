"""Between nodes: frames over TCP, one stream each way for each pair, and datagrams over UDP.

A frame is its length (4 bytes), a code made with the cluster's secret (16), and msgpack: a call and its
arguments. The first frame of a stream says which cluster, form, node and start; nothing else is read before
it. What is too long, cut, spoilt, of another form or cluster is dropped and counted, and ends one stream at
most.
"""

from __future__ import annotations

import hmac
import socket
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from hashlib import blake2b
from random import Random
from typing import Any

import anyio
import anyio.abc
import msgspec

from merlintally.cluster.core import FORMS
from merlintally.net.configuration import Address
from merlintally.net.log import Log

FORM = 1  # of frames and datagrams
CODE = 16  # bytes
MOST_HELLO = 512
MOST_FRAME = 8 << 20
MOST_DATAGRAM = 1400
QUEUE = 512  # frames that wait for one node
AGAIN_S = 0.05
AGAIN_MOST_S = 1.0
PATIENCE_S = 5.0
# how a connection ends
ENDED = (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
SAID_S = 5.0  # between lines about frames that were dropped

Hello = tuple[int, str, str, int, str]  # form, cluster, node, start, which life of it
DECODERS = {call: msgspec.msgpack.Decoder(form) for call, form in FORMS.items()}
ANY = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
HELLO = msgspec.msgpack.Decoder(Hello)
SAID = msgspec.msgpack.Decoder(tuple[str, str, int])  # "welcome" or "refused", why, start that is known


class Bad(Exception):
    """A frame that can't be taken; the text says why."""


class Codec:
    """Frames with a code by which fellows know each other: blake2b keyed with the cluster's name and
    secret."""

    def __init__(self, cluster: str, secret: str) -> None:
        self.key = blake2b(f"{cluster}\0{secret}".encode(), digest_size=32).digest()

    def seal(self, body: bytes) -> bytes:
        return blake2b(body, digest_size=CODE, key=self.key).digest() + body

    def open(self, data: bytes) -> bytes:
        body = data[CODE:]
        if len(data) <= CODE or not hmac.compare_digest(
            data[:CODE], blake2b(body, digest_size=CODE, key=self.key).digest()
        ):
            raise Bad("of another cluster, or spoilt")
        return body

    def frame(self, value: Any) -> bytes:
        data = self.seal(msgspec.msgpack.encode(value))
        return len(data).to_bytes(4, "big") + data


def call_of(body: bytes) -> tuple[str, tuple[Any, ...]]:
    """A call and its arguments, each of its stated type."""
    try:
        call, raw = ANY.decode(body)
        if call not in DECODERS:
            raise Bad(f"an unknown call {call!r:.20}")
        return call, DECODERS[call].decode(raw)
    except msgspec.MsgspecError as wrong:
        raise Bad(f"can't be read: {wrong}") from None


async def read_frame(stream: anyio.abc.ByteReceiveStream, held: bytearray, most: int) -> bytes:
    """The next frame's bytes; EndOfStream at the end, Bad where it is longer than `most`."""
    while True:
        if len(held) >= 4:
            size = int.from_bytes(held[:4], "big")
            if not CODE < size <= most:
                raise Bad(f"{size} bytes long, of at most {most}")
            if len(held) >= 4 + size:
                data = bytes(held[4 : 4 + size])
                del held[: 4 + size]
                return data
        held += await stream.receive(65536)


class Outward:
    """The stream to one other node: what waits for it, oldest dropped first."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: deque[bytes] = deque(maxlen=QUEUE)
        self.wanted = anyio.Event()


class Links:
    """All that one node sends to its fellows and hears of them.

    `hear(sender, call, args)` is awaited for each message; `where(name)` gives a fellow's address or None;
    `older(start)` is told that fellows know of a start that this folder does not.
    """

    def __init__(
        self,
        cluster: str,
        secret: str,
        name: str,
        start: int,
        listen: Address,
        chance: Random,
        log: Log,
        hear: Callable[[str, str, tuple[Any, ...]], Awaitable[None]],
        where: Callable[[str], Address | None],
        older: Callable[[int], Awaitable[None]],
        client: Callable[[str, str, list[Any]], Awaitable[tuple[bool, str]]],
    ) -> None:
        self.cluster, self.name, self.start, self.listen, self.chance = cluster, name, start, listen, chance
        self.codec, self.log, self.hear, self.where, self.older = (
            Codec(cluster, secret),
            log,
            hear,
            where,
            older,
        )
        self.client = client
        self.life = f"{chance.getrandbits(64):016x}"
        self.outward: dict[str, Outward] = {}
        self.inward: dict[str, anyio.CancelScope] = {}
        self.starts: dict[str, tuple[int, str]] = {}  # the last start and life heard of each
        self.dropped: Counter[str] = Counter()
        self.said_at = float("-inf")
        self.sent_bytes = 0
        self.udp: socket.socket | None = None
        self.tcp: anyio.abc.SocketListener | None = None
        self.group: anyio.abc.TaskGroup

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Listen, for streams and datagrams, until cancelled; OSError where the address is taken."""
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
                group.start_soon(self._datagrams, self.udp)
                await listener.serve(self._serve)
        finally:
            self.udp.close()

    def send(self, to: str, call: str, args: tuple[Any, ...]) -> None:
        """Put a message in the stream to a fellow; what can't get there in time is lost."""
        outward = self.outward.get(to)
        if outward is None:
            outward = self.outward[to] = Outward(to)
            self.group.start_soon(self._deliver, outward)
        if len(outward.queue) == QUEUE:
            self.dropped["queue full"] += 1
        outward.queue.append(self.codec.frame((call, args)))
        outward.wanted.set()

    def tell(self, to: str, call: str, args: tuple[Any, ...]) -> None:
        """A datagram to a fellow."""
        address = self.where(to)
        data = self.codec.seal(msgspec.msgpack.encode((FORM, self.cluster, self.name, call, args)))
        if address is None or self.udp is None or len(data) > MOST_DATAGRAM:
            self.dropped["datagram unsent"] += 1
            return
        self.sent_bytes += len(data)
        with suppress(OSError):
            self.udp.sendto(data, address)

    def drop(self, why: str, whose: str) -> None:
        """Count what was not taken; one line every few seconds at the most."""
        self.dropped[why] += 1
        now = anyio.current_time()
        if now - self.said_at >= SAID_S:
            self.said_at = now
            self.log.say(
                f"cluster: dropped from {whose}: {why} ({sum(self.dropped.values())} in all)",
                "cluster.dropped",
                whose=whose,
                why=why,
            )

    # Outward.

    async def _deliver(self, outward: Outward) -> None:
        again = AGAIN_S
        while True:
            if not outward.queue:
                outward.wanted = anyio.Event()
                await outward.wanted.wait()
            address = self.where(outward.name)
            try:
                if address is None:
                    raise OSError("no address")
                with anyio.fail_after(PATIENCE_S):
                    stream = await anyio.connect_tcp(*address)
                async with stream:
                    stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                        socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                    )
                    await self._greet(stream)
                    again = AGAIN_S
                    await self._pour(outward, stream)
            except (*ENDED, Bad, msgspec.MsgspecError) as wrong:
                if isinstance(wrong, Bad):
                    self.drop(str(wrong), outward.name)
                outward.queue.clear()  # guards against old news told first, minutes later
                await anyio.sleep(again * (0.5 + self.chance.random()))
                again = min(AGAIN_MOST_S, again * 2)

    async def _greet(self, stream: anyio.abc.SocketStream) -> None:
        await stream.send(self.codec.frame((FORM, self.cluster, self.name, self.start, self.life)))
        with anyio.fail_after(PATIENCE_S):
            said, why, start = SAID.decode(self.codec.open(await read_frame(stream, bytearray(), MOST_HELLO)))
        if said != "welcome":
            if start:
                await self.older(start)
            raise Bad(f"refused: {why}")

    async def _pour(self, outward: Outward, stream: anyio.abc.SocketStream) -> None:
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                with suppress(*ENDED):
                    await stream.receive(1)
                group.cancel_scope.cancel()

            group.start_soon(watch)
            with suppress(*ENDED):  # guards against a stream that breaks in a send and takes the node with it
                await self._send_all(outward, stream)
            group.cancel_scope.cancel()

    async def _send_all(self, outward: Outward, stream: anyio.abc.SocketStream) -> None:
        while True:
            while outward.queue:
                data = b"".join(outward.queue)
                outward.queue.clear()
                self.sent_bytes += len(data)
                with anyio.fail_after(PATIENCE_S):  # guards against one that takes and never reads
                    await stream.send(data)
            outward.wanted = anyio.Event()
            await outward.wanted.wait()

    # Inward.

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        held, name = bytearray(), "somebody"
        scope = anyio.CancelScope()
        try:
            async with stream:
                with anyio.fail_after(PATIENCE_S):
                    body = self.codec.open(await read_frame(stream, held, MOST_HELLO))
                form, cluster, name, start, life = HELLO.decode(body)
                why, known = self._welcome(form, cluster, name, start, life)
                if why:
                    await stream.send(self.codec.frame(("refused", why, known)))
                    raise Bad(why)
                await stream.send(self.codec.frame(("welcome", "", 0)))
                if name.startswith("client:"):
                    await self._serve_client(stream, held)
                    return
                if (before := self.inward.get(name)) is not None:
                    before.cancel()
                with scope:
                    self.inward[name] = scope
                    while True:
                        call, args = call_of(self.codec.open(await read_frame(stream, held, MOST_FRAME)))
                        await self.hear(name, call, args)
        except Bad as wrong:
            self.drop(str(wrong), name)
        except msgspec.MsgspecError:
            self.drop("a greeting that can't be read", name)
        except ENDED:
            pass
        finally:
            if self.inward.get(name) is scope:
                del self.inward[name]

    def _welcome(self, form: int, cluster: str, name: str, start: int, life: str) -> tuple[str, int]:
        """Why a stream is refused, or "", and the start that is known of its node where its own is older."""
        if form != FORM:
            return f"form {form} of frames, and here it is {FORM}", 0
        if cluster != self.cluster:
            return f"of cluster {cluster!r:.40}", 0
        if name.startswith("client:"):
            return "", 0
        if name == self.name:
            return f"{name!r:.40} is this node's own name", 0
        known, its_life = self.starts.get(name, (0, ""))
        if start < known or start == known and life != its_life:
            return f"{name} has started {known} times already, and this is its start {start}", known
        self.starts[name] = (start, life)
        return "", 0

    async def _serve_client(self, stream: anyio.abc.SocketStream, held: bytearray) -> None:
        """An operator's command line: one question after another."""
        while True:
            call, args = call_of(self.codec.open(await read_frame(stream, held, MOST_FRAME)))
            if call != "w.ask":
                raise Bad(f"a client calls {call}")
            ok, text = await self.client(*args)
            await stream.send(self.codec.frame(("w.answer", (args[0], ok, text))))

    async def _datagrams(self, sock: socket.socket) -> None:
        decoder = msgspec.msgpack.Decoder(tuple[int, str, str, str, msgspec.Raw])
        while True:
            await anyio.wait_readable(sock)
            try:
                data, sender = sock.recvfrom(MOST_DATAGRAM + 1)
            except OSError:
                continue
            try:
                if len(data) > MOST_DATAGRAM:
                    raise Bad("a datagram that is too long")
                form, cluster, name, call, raw = decoder.decode(self.codec.open(data))
                if form != FORM or cluster != self.cluster:
                    raise Bad(f"form {form}, cluster {cluster!r:.40}")
                if self.where(name) is None or not call.startswith("m.") or call not in DECODERS:
                    raise Bad(f"{name!r:.40} calls {call!r:.20}")
                await self.hear(name, call, DECODERS[call].decode(raw))
            except Bad as wrong:
                self.drop(str(wrong), f"{sender[0]}:{sender[1]}")
            except msgspec.MsgspecError:
                self.drop("a datagram that can't be read", f"{sender[0]}:{sender[1]}")


async def ask(
    address: Address,
    cluster: str,
    secret: str,
    id_: str,
    verb: str,
    args: list[Any],
    patience_s: float = PATIENCE_S,
) -> tuple[bool, str]:
    """One question of an operator's, to the node at `address`; OSError or Bad where there is no answer."""
    codec = Codec(cluster, secret)
    with anyio.fail_after(patience_s):
        async with await anyio.connect_tcp(*address) as stream:
            held = bytearray()
            await stream.send(
                codec.frame((FORM, cluster, "client:", 0, id_)) + codec.frame(("w.ask", (id_, verb, args)))
            )
            said, why, _ = SAID.decode(codec.open(await read_frame(stream, held, MOST_HELLO)))
            if said != "welcome":
                raise Bad(f"refused: {why}")
            _, (_, ok, text) = call_of(codec.open(await read_frame(stream, held, MOST_FRAME)))
            return ok, text
