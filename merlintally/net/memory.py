"""The memory budget of a node: what its limit leaves beside the process itself, and how that is shared out.

A share of the whole limit would be too much where the process alone takes most of it. What is held for
clients, for customers and for ids is bounded by shares of what is left.
"""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass

from merlintally.customer_table import CUSTOMER_BYTES
from merlintally.executed_ids import ID_BYTES
from merlintally.net.configuration import Deployment

# A connection with its task, stream and initial buffer; of a client, also with the tasks by which it waits
# and reads on meanwhile.
SERVER_CONNECTION_BYTES = 12 << 10
CLIENT_CONNECTION_BYTES = 20 << 10
WARM_UP_BYTES = 1 << 20  # taken by a process once it serves requests
# For freed memory that the process does not give back: a share of the limit, but at least some bytes.
FRAGMENTATION_SHARE = 0.04
MIN_FRAGMENTATION_BYTES = 2 << 20
LISTED_SERVER_BYTES = 3 << 10  # an app server's state, and its row while a list is parsed
MIN_CONNECTIONS = 16  # to clients, and as many to app servers
USUAL_PROCESS_BYTES = 26 << 20
MIN_AVAILABLE_SHARE = 0.05  # of the limit, for a node that can only serve a little


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """What a node may hold; bytes unless stated otherwise."""

    held: int  # commands, answers and grown buffers
    held_reserve: int  # of these, not for receive buffers
    client_connections: int  # number
    server_connections: int  # number
    max_customers: int  # number
    max_ids: int  # number

    @classmethod
    def of(cls, deployment: Deployment, process_bytes: int) -> MemoryBudget:
        """Return the budget of a node in a process that takes `process_bytes` before it serves.

        0 stands for a node that is embedded in another program, whose limit is for what it holds alone.
        """
        bounds = deployment.bounds
        available = available_bytes(deployment.memory, process_bytes, len(deployment.known))
        connection_bytes = available * bounds.connections_share
        client_bytes = connection_bytes * bounds.client_share
        client_connections = max(MIN_CONNECTIONS, int(client_bytes) // CLIENT_CONNECTION_BYTES)
        server_bytes = connection_bytes - client_bytes
        server_connections = max(MIN_CONNECTIONS, int(server_bytes) // SERVER_CONNECTION_BYTES)
        held = int(available * bounds.held_share)
        return cls(
            held=held,
            held_reserve=int(held * bounds.held_reserve_share),
            client_connections=min(deployment.client_descriptors, client_connections),
            server_connections=min(deployment.server_descriptors, server_connections),
            max_customers=int(available * bounds.customers_share) // CUSTOMER_BYTES,
            max_ids=int(available * bounds.ids_share) // ID_BYTES,
        )


def available_bytes(limit: int, process_bytes: int, listed_servers: int) -> int:
    """Return what the limit leaves for all that clients cause."""
    if not process_bytes:
        return limit
    fragmentation = max(MIN_FRAGMENTATION_BYTES, int(limit * FRAGMENTATION_SHARE))
    taken = process_bytes + WARM_UP_BYTES + listed_servers * LISTED_SERVER_BYTES + fragmentation
    return max(int(limit * MIN_AVAILABLE_SHARE), limit - taken)


def resident_bytes() -> int:
    """Return the resident memory of this process, or what is usual where the system does not tell it."""
    with suppress(OSError, ValueError, IndexError), open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return USUAL_PROCESS_BYTES
