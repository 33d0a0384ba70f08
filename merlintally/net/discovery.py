"""Discovery: the whole list of app servers, then one watch after another, over HTTP/1.1."""

from __future__ import annotations

import json
from random import Random

import anyio
import h11

from merlintally.fields import Malformed
from merlintally.net.backoff import Backoff
from merlintally.net.call_queue import Owner
from merlintally.net.configuration import Address, Bounds, page
from merlintally.net.log import Log
from merlintally.net.sockets import Stream, connect, tcp_socket

MOST_BODY = 8 << 20  # bytes of one answer
TOLD_S = 6.0  # from a change on, until it counts as told, heard or not (standing test)
PROOF_S = 0.001  # the wait of a call that only asks what is listed by now


class Refused(Exception):
    """Discovery can't answer now. Guards against whole lists asked of one that is overloaded: what the node
    holds is as good as before, and changes since then cost less."""


class Discovery:
    """Follows the list. Whatever breaks ends the connection; the next goes on from the version held.

    One bound holds for every path: the next call begins TOLD_S less `asked_before_s` after the start of one,
    at the latest, and is answered in what is left. A watch's wait and the patience for its answer share what
    that leaves, half for each; so do a call without an answer and the pause behind it.
    """

    def __init__(
        self,
        where: Address,
        version: int | None,
        bounds: Bounds,
        dispatcher: Owner,
        chance: Random,
        log: Log,
        local: bool = False,
    ) -> None:
        """`local`: an agent of this machine, which has lists pushed to it. What it gets after an outage
        counts as told at once, and asking it costs nothing: it is not asked ever less while it is silent."""
        self.where, self.bounds, self.dispatcher, self.log = where, bounds, dispatcher, log
        self.version = version  # of the list that the node has; None: the whole list is needed
        self.broken = self.proven = False  # proven: its last call was answered, so that a watch may be opened
        self.first = anyio.Event()  # its first call has had an answer, or has failed
        most = bounds.again_s if local else bounds.again_most_s
        self.backoff = Backoff(chance, bounds.again_s, most, bounds.spared_s, bounds.spared_most_s)
        self._following = anyio.CancelScope()
        self._told_at = float("inf")  # when what is listed counts as told, unless the node asks again before

    def move(self, where: Address) -> None:
        """Ask at another address from now on, first for the whole list: versions there may be others."""
        if where != self.where:
            self.where, self.version, self.proven = where, None, False
            self.backoff.failures, self.backoff.pause = 0, 0.0
            self._following.cancel()

    async def run(self) -> None:
        while True:
            wait, said, proven = self.bounds.again_s, "", False
            try:
                with anyio.CancelScope() as self._following:
                    await self._follow()
                    proven = self.proven  # its connection was ended behind an answer, and nothing failed
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
            self.first.set()
            if said:
                self._complain(said)
                wait = self.backoff.failed()
            self.proven = proven
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
        where, self._told_at = self.where, anyio.current_time() + TOLD_S
        try:
            with anyio.fail_after(self._patience(0.0)):
                await connect(stream.sock, where)
            connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=64 << 10)
            while True:
                target, wait = "/v1/servers", 0.0
                if self.version is not None:
                    # Guards against a watch opened in place of one that fell silent, and silent as well: what
                    # was missed is asked for at once, and only who has answered is waited for.
                    most = (TOLD_S - 2 * self.bounds.asked_before_s) / 2
                    wait = min(self.bounds.watch_s, most) if self.proven else PROOF_S
                    target += f"?since={self.version}&timeout_ms={max(1, int(wait * 1000))}"
                self._told_at = anyio.current_time() + TOLD_S
                with anyio.fail_after(wait + self._patience(wait)):
                    body = await self._get(stream, connection, target)
                if where != self.where:  # guards against an answer that crosses a move, of another's versions
                    return
                await self._take(body)
                self.proven = True
                self.first.set()
                # Guards against a drain that counts as told since the node could have asked: after an answer
                # it asks again at once, whatever it spares discovery after a refusal.
                self.backoff.worked()
                if connection.our_state is h11.MUST_CLOSE or connection.their_state is not h11.DONE:
                    return
                connection.start_next_cycle()
        finally:
            stream.close()

    def _patience(self, wait: float) -> float:
        """Seconds for an answer beyond its wait. Guards against a silent watch that is given up after what it
        missed counts as told already: the next call needs time to be made and to be answered, too."""
        return min(self.bounds.answer_s, TOLD_S - 2 * self.bounds.asked_before_s - wait)

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
                if not await stream.receive() and stream.was_reset:
                    raise OSError("the connection was reset")  # which is no end of an answer without a length
                connection.receive_data(bytes(stream.buffer[stream.start : stream.end]))
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
        if self.version is not None and index < self.version:  # guards against a drain that is taken back
            raise Malformed(f"an answer is of version {index}, older than {self.version}, which is held")
        # Before the wait for the queue: discovery may move meanwhile, and versions there are others.
        self.version, self.broken = index, False
        if entries or complete:
            await self.dispatcher.enqueue(self.dispatcher.listed, entries, complete)
