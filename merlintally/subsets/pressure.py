"""Detects requests that wait for capacity in a node's subset; performs no I/O."""

from __future__ import annotations

from merlintally.choice import SATURATED_LOAD_RATIO, Gateway

MIN_FREE_ATTEMPTS = 0.5  # between the attempts allowed and those in flight


def waits_for_capacity(gateway: Gateway, now: float) -> bool:
    """Returns whether requests wait for capacity that more servers would provide; `now` is in Unix seconds.

    False while the servers are saturated, since the whole fleet may be, and while requests wait only for the
    concurrency limit of their customer: a larger subset would help in neither case.
    """
    if gateway.load_ratio >= SATURATED_LOAD_RATIO or not any(gateway.queues.values()):
        return False
    at_limit = gateway.allowed(now) - gateway.in_flight < MIN_FREE_ATTEMPTS
    return at_limit or not any(server.has_capacity(now) for server in gateway.servers.values())
