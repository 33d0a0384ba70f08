"""One connection to discovery: calls over HTTP/1.1, one after another, whose answers are bodies of lists."""

from __future__ import annotations

import h11

from merlintally.fields import Malformed
from merlintally.net.configuration import Address
from merlintally.net.sockets import Stream, connect, tcp_socket

MAX_BODY_BYTES = 8 << 20
MAX_HEAD_BYTES = 64 << 10
TOO_MANY_REQUESTS = 429
FIRST_SERVER_ERROR = 500


class Overloaded(Exception):
    """Discovery is overloaded or failing. The list and its version are kept, since fetching the changes later
    costs discovery less than the whole list."""


class DiscoveryConnection:
    """A connection to discovery at `address`; opened by the first call."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._stream: Stream | None = None
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def get(self, target: str) -> bytes:
        """Return the body of the answer to a GET of `target`.

        Raises `Overloaded` where discovery refuses, `Malformed` for any other answer without a list, OSError
        where the connection breaks, and `h11.RemoteProtocolError` for what is not HTTP.
        """
        stream = await self._opened()
        await self._send(stream, target)
        body, status = bytearray(), 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._receive(stream)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise Malformed("an answer is larger than allowed")
            elif isinstance(event, h11.EndOfMessage):
                check_status(status)
                return bytes(body)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("the connection ended")

    async def _opened(self) -> Stream:
        if self._stream is None:
            self._stream = Stream(tcp_socket())
            await connect(self._stream.sock, self.address)
        return self._stream

    async def _send(self, stream: Stream, target: str) -> None:
        headers = [("Host", f"{self.address[0]}:{self.address[1]}"), ("Accept", "application/json")]
        head = self._http.send(h11.Request(method="GET", target=target, headers=headers)) or b""
        self._http.send(h11.EndOfMessage())
        if not stream.write([head]):
            await stream.flush()

    async def _receive(self, stream: Stream) -> None:
        if not await stream.receive() and stream.was_reset:
            raise OSError("the connection was reset")  # which doesn't end an answer without a length
        self._http.receive_data(bytes(stream.buffer[stream.start : stream.end]))
        stream.start = stream.end = 0

    def reuse(self) -> bool:
        """Prepare for another call after an answer; returns whether the connection allows one."""
        if self._http.our_state is h11.MUST_CLOSE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection, if it was opened."""
        if self._stream is not None:
            self._stream.close()


def check_status(status: int) -> None:
    """Raise `Overloaded` or `Malformed` for a status other than that of a list."""
    if status == TOO_MANY_REQUESTS or status >= FIRST_SERVER_ERROR:
        raise Overloaded(f"status {status}")
    if status != 200:
        raise Malformed(f"status {status}")
