"""Whether a node's work waits for places in its subset, by its decisions (I/O-free)."""

from __future__ import annotations

from merlintally.choice import SATURATED_LOAD_RATIO, Gateway

LEAST_ROOM = 0.5  # attempts that may go out beside those that are, below which there is no room


def waits_for_place(gateway: Gateway, now: float) -> bool:
    """Whether requests wait though this node's servers answer easily: more of them have more places. Guards
    against subsets that grow for nothing: where the whole fleet is too slow, and for requests that wait only
    since their customer has as much out as it may. `now` is in Unix seconds."""
    if gateway.load_ratio >= SATURATED_LOAD_RATIO or not any(gateway.queues.values()):
        return False
    full = gateway.allowed(now) - gateway.in_flight < LEAST_ROOM
    return full or not any(server.has_capacity(now) for server in gateway.servers.values())
