"""Notes exchanged with the other edge nodes in UDP datagrams, without retransmission."""

from __future__ import annotations

import socket
from contextlib import suppress

import anyio

from merlintally.net.call_queue import Owner
from merlintally.net.configuration import Address
from merlintally.net.log import Log

MAX_NOTE_BYTES = 256  # set by the protocol


class Peers:
    """Sends notes to all other nodes and passes received ones to the dispatcher.

    `everyone` is the address that reaches all of `peers`; the index of a sender in `peers` identifies it.
    """

    def __init__(
        self,
        sock: socket.socket,
        peers: tuple[Address, ...],
        everyone: Address | None,
        dispatcher: Owner,
        log: Log,
    ) -> None:
        self.peer_numbers = {peer: number for number, peer in enumerate(peers)}
        self.everyone, self.dispatcher, self.log = everyone, dispatcher, log
        self.sock = sock

    def publish(self, payload: bytes) -> None:
        """Sends a note to all other nodes. It is dropped if it can't be sent, like notes lost on the way."""
        if self.everyone is None or len(payload) > MAX_NOTE_BYTES:
            self.log.say(f"a note of {len(payload)} bytes can't be sent", "note.unsent", bytes=len(payload))
            return
        with suppress(OSError):
            self.sock.sendto(payload, self.everyone)

    async def run(self) -> None:
        """Receives notes until cancelled."""
        while True:
            await anyio.wait_readable(self.sock)
            try:
                payload, sender = self.sock.recvfrom(MAX_NOTE_BYTES + 1)
            except OSError:
                continue
            number = self.peer_numbers.get(sender)
            if number is not None and len(payload) <= MAX_NOTE_BYTES:
                await self.dispatcher.enqueue(self.dispatcher.noted, number, payload)
            else:
                origin = f"{len(payload)} bytes or more from {sender[0]}:{sender[1]}"
                self.log.say(f"a datagram of {origin} is dropped", "note.dropped")
