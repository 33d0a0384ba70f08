"""The part of an edge node that takes lists of app servers: the real keeper, fleet and decisions."""

from __future__ import annotations

import json
from typing import Any, cast

import h11

from merlintally.lab.scale.workload import deployment
from merlintally.net.configuration import Deployment, page
from merlintally.net.keeper import Keeper
from merlintally.net.log import Log
from merlintally.net.servers import Fleet
from merlintally.net.sockets import Allowance
from merlintally.net.timers import Clock

HOST = "10.0.0.1:7500"
VERSION = 1_000_000  # of the list


def most_links(told: Deployment) -> int:
    """How many connections to app servers a node may hold, as merlintally.net.node works it out."""
    free = told.sockets - told.bounds.kept_back
    return free - int(free * told.bounds.client_share)


def fleet_of(told: Deployment, keeper: Keeper, clock: Clock, log: Log) -> Fleet:
    """A fleet that opens no connections: it has no task group."""
    held = Allowance(int(told.memory * told.bounds.held_share))
    return Fleet(told, keeper, clock, log, cast(Any, None), Allowance(most_links(told)), held)


class Receiver:
    """What an edge node does with an answer of discovery."""

    def __init__(self, nodes: int) -> None:
        told, clock = deployment(nodes), Clock()
        log = Log(told.name, told.bounds.log_lines)
        self.keeper = Keeper(told, clock, log)
        self.keeper.fleet = fleet_of(told, self.keeper, clock, log)

    def take(self, body: bytes) -> None:
        """As merlintally.net.discovery takes an answer, and the keeper what is in it."""
        _, complete, entries = page(json.loads(body))
        if entries or complete:
            self.keeper.listed(entries, complete)
            self.keeper.gateway.take_results(self.keeper.clock.now())


def watch_bytes(body: bytes) -> int:
    """Bytes of a call to discovery and of its answer with this body, with their HTTP heads."""
    target = f"/v1/servers?since={VERSION}&timeout_ms=2500"
    client, server = h11.Connection(h11.CLIENT), h11.Connection(h11.SERVER)
    headers = [("Host", HOST), ("Accept", "application/json")]
    request = client.send(h11.Request(method="GET", target=target, headers=headers)) or b""
    request += client.send(h11.EndOfMessage()) or b""
    server.receive_data(request)
    while not isinstance(server.next_event(), h11.EndOfMessage):
        pass
    answer_headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    answer = server.send(h11.Response(status_code=200, headers=answer_headers)) or b""
    answer += server.send(h11.Data(data=body)) or b""
    return len(request) + len(answer)
