"""Discovery: the whole list of app servers, then one watch after another, over HTTP/1.1."""

from __future__ import annotations

import json
from random import Random

import anyio
import h11

from merlintally.fields import Malformed
from merlintally.net.backoff import Backoff
from merlintally.net.configuration import Address, Bounds, page
from merlintally.net.log import Log
from merlintally.net.post import Owner
from merlintally.net.sockets import Stream, connect, tcp_socket

MOST_BODY = 8 << 20  # bytes of one answer
TOLD_S, TOLD_AFTER_WAIT_S = 6.0, 2.0  # from a call on, until all that is listed counts as told (protocol)


class Refused(Exception):
    """Discovery can't answer now. Guards against whole lists asked of one that is overloaded: what the node
    holds is as good as before, and changes since then cost less."""


class Discovery:
    """Follows the list. Whatever breaks ends the connection; the next goes on from the version held."""

    def __init__(self, where: Address, version: int | None, bounds: Bounds, keeper: Owner,
                 chance: Random, log: Log) -> None:
        self.where, self.bounds, self.keeper, self.log = where, bounds, keeper, log
        self.version = version  # of the list that the node has; None: the whole list is needed
        self.broken = False
        self.backoff = Backoff(chance, bounds.again_s, bounds.again_most_s, bounds.spared_s,
                               bounds.spared_most_s)
        self._following = anyio.CancelScope()
        self._told_at = float("inf")  # when what is listed counts as told, unless the node asks again before

    def move(self, where: Address) -> None:
        """Ask at another address from now on, first for the whole list: versions there may be others."""
        if where != self.where:
            self.where, self.version = where, None
            self.backoff.failures, self.backoff.pause = 0, 0.0
            self._following.cancel()

    async def run(self) -> None:
        while True:
            wait, said = self.bounds.again_s, ""
            try:
                with anyio.CancelScope() as self._following:
                    await self._follow()
            except Refused as wrong:
                self._complain(str(wrong))
                wait = self.backoff.refused()
            except Malformed as wrong:
                self.version, said = None, str(wrong)
            except TimeoutError:
                said = "no answer in time"
            except OSError as wrong:
                said = str(wrong) or "the connection broke"
            except h11.RemoteProtocolError:
                said = "an answer broke off or is no HTTP"
            if said:
                self._complain(said)
                wait = self.backoff.failed()
            with anyio.CancelScope() as self._following:
                await self._rest(wait)

    async def _rest(self, wait: float) -> None:
        """Guards against a drain that counts as told while discovery is spared: the node asks before that."""
        latest = self._told_at - self.bounds.asked_before_s - anyio.current_time()
        await anyio.sleep(max(min(wait, latest), min(wait, self.bounds.again_s)))

    def _complain(self, wrong: str) -> None:
        if not self.broken:  # once for each time that it breaks
            self.log.say(f"discovery: {wrong}; the last list goes on being used", "discovery.broken")
        self.broken = True

    async def _follow(self) -> None:
        stream = Stream(tcp_socket())
        self._told_at = anyio.current_time() + TOLD_S
        try:
            with anyio.fail_after(self.bounds.answer_s):
                await connect(stream.sock, self.where)
            connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=64 << 10)
            while True:
                target, wait = "/v1/servers", 0.0
                if self.version is not None:
                    wait = self.bounds.watch_s
                    target += f"?since={self.version}&timeout_ms={int(wait * 1000)}"
                self._told_at = anyio.current_time() + (wait + TOLD_AFTER_WAIT_S if wait else TOLD_S)
                # Guards against a silent watch that is given up after what it missed counts as told already:
                # the next one needs time to be answered, too.
                patience = self.bounds.answer_s
                if wait:
                    patience = min(patience, TOLD_AFTER_WAIT_S - 2 * self.bounds.asked_before_s)
                with anyio.fail_after(wait + patience):
                    body = await self._get(stream, connection, target)
                await self._take(body)
                # Guards against a drain that counts as told since the node could have asked: after an answer
                # it asks again at once, whatever it spares discovery after a refusal.
                self.backoff.worked()
                if connection.our_state is h11.MUST_CLOSE or connection.their_state is not h11.DONE:
                    return
                connection.start_next_cycle()
        finally:
            stream.close()

    async def _get(self, stream: Stream, connection: h11.Connection, target: str) -> bytes:
        host = f"{self.where[0]}:{self.where[1]}"
        headers = [("Host", host), ("Accept", "application/json")]
        request = h11.Request(method="GET", target=target, headers=headers)
        head = connection.send(request) or b""
        connection.send(h11.EndOfMessage())
        if not stream.write([head]):
            await stream.flush()
        body, status = bytearray(), 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                await stream.receive()
                connection.receive_data(bytes(stream.buffer[stream.start:stream.end]))
                stream.start = stream.end = 0
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    raise Malformed("an answer is beyond what is allowed")
            elif isinstance(event, h11.EndOfMessage):
                if status == 429 or status >= 500:
                    raise Refused(f"status {status}")
                if status != 200:
                    raise Malformed(f"status {status}")
                return bytes(body)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("the connection ended")

    async def _take(self, body: bytes) -> None:
        try:
            index, complete, entries = page(json.loads(body))
        except ValueError:
            raise Malformed("an answer is no JSON") from None
        if not complete and self.version is None:
            raise Malformed("the whole list was asked for, and changes came")
        self.version, self.broken = index, False
        if entries or complete:
            await self.keeper.post(self.keeper.listed, entries, complete)
