"""Slopes of the lists of app servers that discovery sends to an edge node."""

from __future__ import annotations

from merlintally.lab.scale.slope import Context, Slope
from merlintally.lab.scale.workload import whole_list


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
