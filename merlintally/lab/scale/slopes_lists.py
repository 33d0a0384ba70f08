"""Slopes of the lists of app servers that discovery sends to an edge node."""

from __future__ import annotations

import json

from merlintally.lab.scale.slope import Context, Slope


def entry(number: int, zones: int) -> dict[str, object]:
    """One app server as discovery lists it."""
    return {
        "name": f"app-{number:05}",
        "status": "SERVING",
        "zone": f"zone-{number % zones}",
        "group": number // zones % 16,
        "since_ms": 0,
        "weight": 1,
        "type": "standard",
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
    }


def whole_list(servers: int, zones: int) -> bytes:
    document = {"index": 1, "snapshot": True, "endpoints": [entry(one, zones) for one in range(servers)]}
    return json.dumps(document, separators=(",", ":")).encode()


def whole_list_bytes(servers: int, context: Context) -> float:
    return float(len(whole_list(servers, context.capacity.size.zones)))


SLOPES = (
    Slope(
        name="list.whole.bytes",
        role="edge node",
        by="app servers",
        unit="bytes",
        sizes=(20, 200, 2000, 9200),
        quick_sizes=(20, 200, 2000, 9200),
        measure=whole_list_bytes,
        size_key="app_servers",
        about="the whole list as JSON, as discovery answers it",
    ),
)
