"""The operators' size and the budgets (`deploy/capacity.toml`), checked against their structs."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from merlintally.forms import InputError, read_file

CHECKOUT_FILE = Path(__file__).parents[3] / "deploy" / "capacity.toml"

Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Amount = Annotated[float, Meta(gt=0, le=1e12)]


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """The installation, at its peak and on its ordinary days."""

    edge_nodes: Annotated[Count, Meta(description="edge nodes")]
    app_servers: Annotated[Count, Meta(description="app servers, of all services")]
    services: Annotated[Count, Meta(description="services that the app servers belong to")]
    requests_per_s: Annotated[Amount, Meta(description="requests a second at the peak, of all nodes")]
    routes: Annotated[Count, Meta(description="routes")]
    tenants: Annotated[Count, Meta(description="tenants with quotas")]
    regions: Annotated[Count, Meta(description="regions")]
    zones: Annotated[Count, Meta(description="zones, of all regions together")]
    changes_per_day: Annotated[Count, Meta(description="changes of configuration on an ordinary day")]
    changes_at_once: Annotated[Count, Meta(description="changes of configuration at the same moment")]
    control_machines: Annotated[Count, Meta(description="machines set aside for control")]
    control_machines_out: Annotated[
        int, Meta(ge=0, description="of the machines set aside, lost at the same time")
    ]
    machine_failures_per_day: Annotated[Count, Meta(description="machines that fail on an ordinary day")]
    restarts_per_day: Annotated[Count, Meta(description="app servers restarted or replaced in a day")]
    servers_lost_with_a_zone: Annotated[Count, Meta(description="app servers lost at once with a zone")]
    regions_parted_s: Annotated[Amount, Meta(description="for which regions may lose each other, seconds")]

    def faults(self) -> Iterator[tuple[str, str]]:
        if self.control_machines_out >= self.control_machines:
            yield "control_machines_out", f"{self.control_machines_out} leaves none of control_machines"
        if self.servers_lost_with_a_zone > self.app_servers:
            yield "servers_lost_with_a_zone", f"{self.servers_lost_with_a_zone} is above app_servers"
        if self.regions > self.zones:
            yield "regions", f"{self.regions} is above zones"


class Budget(Struct, frozen=True, forbid_unknown_fields=True):
    """What the size may cost."""

    added_latency_p99_ms: Annotated[
        Amount, Meta(description="that a node adds to a request for 99 in 100, milliseconds")
    ]
    change_everywhere_s: Annotated[
        Amount, Meta(description="until a change of configuration is in force at every node, seconds")
    ]
    control_core_share: Annotated[Amount, Meta(description="of one core, for a node's control, a part of 1")]
    control_memory_mb: Annotated[Amount, Meta(description="held for a node's control, MB")]
    control_bytes_per_s: Annotated[
        Amount, Meta(description="sent and received for a node's control, bytes a second")
    ]


class Capacity(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    size: Size
    budget: Budget

    @property
    def node_requests_per_s(self) -> float:
        """Requests a second that come to one edge node at the peak."""
        return self.size.requests_per_s / self.size.edge_nodes


def read_capacity(path: Path | None = None) -> Capacity:
    """Read and check the file (that of the checkout by default); InputError names the first faulty key."""
    where = path if path is not None else CHECKOUT_FILE
    try:
        return read_file(where, Capacity)
    except InputError as wrong:
        first, *others = wrong.lines
        raise InputError([first + (f" (and {len(others)} more faults)" if others else "")]) from None
