"""Which process of each node was heard last, so that an outdated or copied folder is recognized.

A node counts its starts in its folder. Each process of it draws an instance id once, so that two processes
with the same number of starts, one of them on a copy of the folder, can be told apart.
"""

from __future__ import annotations

import secrets
from typing import NamedTuple

INSTANCE_ID_BYTES = 8


class ProcessIdentity(NamedTuple):
    """One process of a node: the number of its start, and an id that no other process has."""

    start: int
    instance_id: str


class KnownProcesses:
    """The own process of a node, and the newest process of each other node that has connected to it.

    It belongs to the process, not to a task that serves connections: a task that is begun again must neither
    appear as another process nor forget which processes others had.

    >>> known = KnownProcesses(1)
    >>> known.reason_to_refuse("n1", ProcessIdentity(4, "a"))
    ''
    >>> known.reason_to_refuse("n1", ProcessIdentity(3, "b"))
    'n1 has started 4 times already, and this is its start 3'
    """

    def __init__(self, start: int) -> None:
        self.own = ProcessIdentity(start, secrets.token_hex(INSTANCE_ID_BYTES))
        self.newest: dict[str, ProcessIdentity] = {}

    def renumber(self, start: int) -> None:
        """Continue the own process under a later number of starts."""
        self.own = self.own._replace(start=start)

    def reason_to_refuse(self, name: str, process: ProcessIdentity) -> str:
        """Why a process of node `name` is not accepted; "" if it is, and it is the newest one then."""
        newest = self.newest.get(name)
        if newest is not None and process.start <= newest.start and process != newest:
            return f"{name} has started {newest.start} times already, and this is its start {process.start}"
        self.newest[name] = process
        return ""
