"""The part of an edge node that takes lists of app servers: the real dispatcher, fleet and decisions."""

from __future__ import annotations

import json
from typing import Any, cast

import h11

from merlintally.lab.scale.workload import deployment
from merlintally.net.configuration import Deployment, parse_page
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.servers import Fleet
from merlintally.net.sockets import ResourceLimit
from merlintally.net.timers import Clock

HOST = "10.0.0.1:7500"
VERSION = 1_000_000  # of the list


def most_links(told: Deployment) -> int:
    """How many connections to app servers a node may hold, as merlintally.net.node works it out."""
    return told.server_descriptors


def fleet_of(told: Deployment, dispatcher: Dispatcher, clock: Clock, log: Log) -> Fleet:
    """A fleet that opens no connections: it has no task group."""
    held = ResourceLimit(int(told.memory * told.bounds.held_share))
    return Fleet(told, dispatcher, clock, log, cast(Any, None), ResourceLimit(most_links(told)), held)


class Receiver:
    """What an edge node does with an answer of discovery."""

    def __init__(self, nodes: int, whole_lists: bool = False) -> None:
        told, clock = deployment(nodes, whole_lists=whole_lists), Clock()
        log = Log(told.name, told.bounds.log_lines)
        self.dispatcher = Dispatcher(told, clock, log)
        self.dispatcher.fleet = fleet_of(told, self.dispatcher, clock, log)

    def take(self, body: bytes) -> None:
        """As merlintally.net.discovery takes an answer, and the dispatcher what is in it."""
        _, complete, entries = parse_page(json.loads(body))
        if entries or complete:
            self.dispatcher.listed(entries, complete)
            self.dispatcher.gateway.take_results(self.dispatcher.clock.now())


class Watch:
    """A call to discovery and its answer, by the HTTP library, as merlintally.net.discovery makes them."""

    def __init__(self, body: bytes) -> None:
        self.request, self._connection = self._ask()
        server = h11.Connection(h11.SERVER)
        server.receive_data(self.request)
        while not isinstance(server.next_event(), h11.EndOfMessage):
            pass
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        self.answer = server.send(h11.Response(status_code=200, headers=headers)) or b""
        self.answer += server.send(h11.Data(data=body)) or b""

    @property
    def size(self) -> int:
        """Bytes of both, with their heads."""
        return len(self.request) + len(self.answer)

    def _ask(self) -> tuple[bytes, h11.Connection]:
        connection = h11.Connection(h11.CLIENT)
        headers = [("Host", HOST), ("Accept", "application/json")]
        target = f"/v1/servers?since={VERSION}&timeout_ms=2500"
        request = connection.send(h11.Request(method="GET", target=target, headers=headers)) or b""
        return request + (connection.send(h11.EndOfMessage()) or b""), connection

    def repeat(self) -> bytes:
        """What the node does of it: ask, and read the answer. Gives its body."""
        _, connection = self._ask()
        connection.receive_data(self.answer)
        body = bytearray()
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += event.data
        return bytes(body)
