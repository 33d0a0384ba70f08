"""Client of discovery: fetches the list of app servers and watches it for changes, over HTTP/1.1."""

from __future__ import annotations

import json
from random import Random

import anyio
import h11

from merlintally.fields import Malformed
from merlintally.net.backoff import Backoff
from merlintally.net.call_queue import Owner
from merlintally.net.configuration import Address, Bounds, parse_page
from merlintally.net.log import Log
from merlintally.net.sockets import Stream, connect, tcp_socket

MAX_BODY_BYTES = 8 << 20
# After a change the node is held to it, whether it has received it or not, by the operators' standing test.
CHANGE_NOTICE_S = 6.0
NO_WAIT_S = 0.001  # the wait of a call that only fetches the changes made so far


class Overloaded(Exception):
    """Discovery is overloaded or failing. The list and its version are kept, since fetching the changes later
    costs discovery less than the whole list."""


class Discovery:
    """Keeps the list of app servers up to date. Any error ends the connection; the next one continues from
    the version that the node has.

    The node must learn of a change within CHANGE_NOTICE_S. Hence each call begins at most that time less
    `asked_before_s` after the start of the previous one, and is to be answered in the remaining time. The
    wait of a watch and the timeout for its answer each get half of what that leaves, and so do a call that
    gets no answer and the pause after it.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        bounds: Bounds,
        dispatcher: Owner,
        random: Random,
        log: Log,
        local: bool = False,
    ) -> None:
        """`version` is that of the list that the node was started with, if any.

        `local` is for an agent on this machine to which lists are pushed. Calls to it are cheap, and the node
        is held at once to what it gets after an outage: its failures don't lengthen the pauses between calls.
        """
        self.address, self.bounds, self.dispatcher, self.log = address, bounds, dispatcher, log
        self.version = version  # of the list that the node has; None if it has to fetch the whole list
        self.failing = self.answered = False  # `answered`: the last call was, so the next may be a watch
        self.first_call_done = anyio.Event()  # set once the first call was answered or has failed
        max_pause_s = bounds.again_s if local else bounds.again_most_s
        self.backoff = Backoff(random, bounds.again_s, max_pause_s, bounds.spared_s, bounds.spared_most_s)
        self._scope = anyio.CancelScope()
        self._notice_deadline = float("inf")  # when changes made since the last call count as known

    def set_address(self, address: Address) -> None:
        """Continues at another address with the whole list, since its versions may differ."""
        if address != self.address:
            self.address, self.version, self.answered = address, None, False
            self.backoff.failures, self.backoff.pause_s = 0, 0.0
            self._scope.cancel()

    async def run(self) -> None:
        """Follows the list until cancelled; pauses after each failure, and logs the first of an outage."""
        while True:
            wait, error, answered = self.bounds.again_s, "", False
            try:
                with anyio.CancelScope() as self._scope:
                    await self._follow()
                    answered = self.answered  # the connection ended after an answer, without a failure
            except Overloaded as failure:
                self._log_failure(str(failure))
                wait = self.backoff.delay_after_refusal()
            except Malformed as failure:
                self.version, error = None, str(failure)
            except TimeoutError:
                error = "no answer in time"
            except OSError as failure:
                error = str(failure) or "the connection broke"
            except h11.RemoteProtocolError:
                error = "an answer is incomplete or not HTTP"
            self.first_call_done.set()
            if error:
                self._log_failure(error)
                wait = self.backoff.delay_after_failure()
            self.answered = answered
            with anyio.CancelScope() as self._scope:
                await self._pause(wait)

    async def _pause(self, wait: float) -> None:
        """Pauses for `wait` seconds, or less if the next call would come too late for a change."""
        latest = self._notice_deadline - self.bounds.asked_before_s - anyio.current_time()
        await anyio.sleep(max(min(wait, latest), min(wait, self.bounds.again_s)))

    def _log_failure(self, failure: str) -> None:
        if not self.failing:  # once for each outage
            self.log.say(f"discovery: {failure}; the last list remains in use", "discovery.broken")
        self.failing = True

    async def _follow(self) -> None:
        stream = Stream(tcp_socket())
        address, self._notice_deadline = self.address, anyio.current_time() + CHANGE_NOTICE_S
        try:
            with anyio.fail_after(self._answer_timeout(0.0)):
                await connect(stream.sock, address)
            connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=64 << 10)
            while True:
                target, wait = "/v1/servers", 0.0
                if self.version is not None:
                    # After a call without an answer, changes are asked for at once: a watch in its place
                    # might get no answer either, and missed changes would come too late.
                    max_wait_s = (CHANGE_NOTICE_S - 2 * self.bounds.asked_before_s) / 2
                    wait = min(self.bounds.watch_s, max_wait_s) if self.answered else NO_WAIT_S
                    target += f"?since={self.version}&timeout_ms={max(1, int(wait * 1000))}"
                self._notice_deadline = anyio.current_time() + CHANGE_NOTICE_S
                with anyio.fail_after(wait + self._answer_timeout(wait)):
                    body = await self._get(stream, connection, target)
                if address != self.address:  # moved meanwhile: the answer's version is that of another list
                    return
                await self._apply(body)
                self.answered = True
                self.first_call_done.set()
                # After an answer the next call follows at once, whatever the pause after the last refusal:
                # the node has to learn of changes in time.
                self.backoff.record_answer()
                if connection.our_state is h11.MUST_CLOSE or connection.their_state is not h11.DONE:
                    return
                connection.start_next_cycle()
        finally:
            stream.close()

    def _answer_timeout(self, wait: float) -> float:
        """The timeout in seconds for an answer, beyond its wait. It leaves time for one more call, and its
        answer, before the node must know of a change that it missed."""
        return min(self.bounds.answer_s, CHANGE_NOTICE_S - 2 * self.bounds.asked_before_s - wait)

    async def _get(self, stream: Stream, connection: h11.Connection, target: str) -> bytes:
        host = f"{self.address[0]}:{self.address[1]}"
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
                    raise OSError("the connection was reset")  # which doesn't end an answer without a length
                connection.receive_data(bytes(stream.buffer[stream.start : stream.end]))
                stream.start = stream.end = 0
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise Malformed("an answer is larger than allowed")
            elif isinstance(event, h11.EndOfMessage):
                if status == 429 or status >= 500:
                    raise Overloaded(f"status {status}")
                if status != 200:
                    raise Malformed(f"status {status}")
                return bytes(body)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("the connection ended")

    async def _apply(self, body: bytes) -> None:
        try:
            index, complete, entries = parse_page(json.loads(body))
        except ValueError:
            raise Malformed("an answer is not JSON") from None
        if not complete and self.version is None:
            raise Malformed("the whole list was requested, and the answer has changes only")
        if self.version is not None and index < self.version:  # would undo changes, such as a drain
            raise Malformed(f"an answer is of version {index}, older than the current version {self.version}")
        # Set before the wait for the queue, during which `set_address` may reset the version.
        self.version, self.failing = index, False
        if entries or complete:
            await self.dispatcher.enqueue(self.dispatcher.listed, entries, complete)
