"""The other edge nodes: short datagrams that may come late or not at all."""

from __future__ import annotations

import socket
from contextlib import suppress

import anyio

from merlintally.net.call_queue import Owner
from merlintally.net.configuration import Address
from merlintally.net.log import Log

MOST = 256  # bytes of a datagram, by the protocol


class Peers:
    def __init__(
        self,
        sock: socket.socket,
        peers: tuple[Address, ...],
        everyone: Address | None,
        dispatcher: Owner,
        log: Log,
    ) -> None:
        self.numbers = {peer: number for number, peer in enumerate(peers)}
        self.everyone, self.dispatcher, self.log = everyone, dispatcher, log
        self.sock = sock

    def publish(self, payload: bytes) -> None:
        """To all others; what can't be sent now is lost, as it may be on its way."""
        if self.everyone is None or len(payload) > MOST:
            self.log.say(f"a note of {len(payload)} bytes can't be sent", "note.unsent", bytes=len(payload))
            return
        with suppress(OSError):
            self.sock.sendto(payload, self.everyone)

    async def run(self) -> None:
        while True:
            await anyio.wait_readable(self.sock)
            try:
                payload, sender = self.sock.recvfrom(MOST + 1)
            except OSError:
                continue
            number = self.numbers.get(sender)
            if number is not None and len(payload) <= MOST:
                await self.dispatcher.enqueue(self.dispatcher.noted, number, payload)
            else:
                told = f"{len(payload)} bytes or more from {sender[0]}:{sender[1]}"
                self.log.say(f"a datagram of {told} is dropped", "note.dropped")
