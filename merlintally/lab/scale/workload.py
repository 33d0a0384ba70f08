"""The load of the scale tests: tenants, the settings of an edge node, and the list of app servers."""

from __future__ import annotations

import itertools
import json
import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from merlintally.net.configuration import Deployment, ListedServer, parse_deployment, parse_server

SKEW = 0.9  # exponent of the Zipf law by which requests fall to tenants: most are seldom seen
QUOTA_SHARE = 1.5  # a tenant's quota, at the least, in times of its mean use
BURST_S = 3.0  # seconds of its quota that a tenant may use at once
LEAST_BURST = 6.0  # units
LARGEST_QUOTA = 14  # as a power of two, units a second
SMALLEST_QUOTA = -6
REQUEST_CLASS = "lookup"
PATIENT_CLASS = "batch"  # for requests that are to stay open
COUNT_PRICE = 0.01  # of a counter call; the laboratory's (lab/days.py)
NOTE_PRICE = 1e-6  # of a note where nodes send them: so low that the decisions do
REDISPATCHES = 5


@dataclass(frozen=True)
class Tenant:
    """A tenant with its plan, and its share of all requests."""

    key: str
    plan: str
    quota: float  # units a second
    burst: float
    requests_per_s: float  # at all nodes together, on average


def plan_name(power: int) -> str:
    return f"quota{power:+d}"


def burst_of(quota: float) -> float:
    return max(LEAST_BURST, BURST_S * quota)


def tenants_of(count: int, requests_per_s: float) -> list[Tenant]:
    """`count` tenants, the busiest first; a request is one unit."""
    weights = [1 / (rank + 1) ** SKEW for rank in range(count)]
    total = sum(weights)
    found = []
    for rank, weight in enumerate(weights):
        use = requests_per_s * weight / total
        power = min(LARGEST_QUOTA, max(SMALLEST_QUOTA, math.ceil(math.log2(QUOTA_SHARE * use))))
        quota = 2.0**power
        found.append(Tenant(f"tenant-{rank:05}", plan_name(power), quota, burst_of(quota), use))
    return found


class Arrivals:
    """Whose the next request is."""

    def __init__(self, tenants: Sequence[Tenant], random: Random) -> None:
        self.tenants, self.random = tenants, random
        self.weights = list(itertools.accumulate(one.requests_per_s for one in tenants))

    def tenant(self) -> Tenant:
        return self.random.choices(self.tenants, cum_weights=self.weights)[0]


def tariffs() -> list[dict[str, Any]]:
    """A plan for each quota that tenants may have."""
    return [
        {
            "name": plan_name(power),
            "unitsPerS": 2.0**power,
            "mostAtOnce": burst_of(2.0**power),
            "beyondCosts": 1.0,
            "valueFactor": 1.0,
        }
        for power in range(SMALLEST_QUOTA, LARGEST_QUOTA + 1)
    ]


def settings_of(nodes: int, counter: bool, notes: bool) -> dict[str, Any]:
    """What each of `nodes` edge nodes is told: the form of example/config.json."""
    request = {"name": REQUEST_CLASS, "aimS": 1.0, "deadlineS": 4.0, "importance": 5.0}
    patient = {"name": PATIENT_CLASS, "aimS": 300.0, "deadlineS": 600.0, "importance": 1.0}
    return {
        "slotNo": 0,
        "balancers": nodes,
        "az": zone_name(0),
        "classes": [{**request, "repeat": "repeatable"}, {**patient, "repeat": "repeatable"}],
        "tariffs": tariffs(),
        "familyInfo": {
            "mayCount": counter,
            "countLimitS": 0.08,
            "callPrice": COUNT_PRICE,
            "largest": 6,
            "postPaid": True,
        },
        "limits": {
            "maxAttempts": REDISPATCHES,
            "mayCancel": True,
            "parallelTries": True,
            "peers": notes,
            "retryAfter": True,
            "maxRetryAfterS": 2.0,
            "connectTimeoutS": 0.25,
            "idleCloseS": 15.0,
        },
        "prices": {"peer": NOTE_PRICE if notes else 0.0},
        "rules": {
            "drainGraceS": 0.25,
            "coldFrom": 0.3,
            "warmWithinS": 15.0,
            "tipMultiple": 2.5,
            "fallS": 1.5,
        },
    }


def deployment(
    nodes: int, counter: bool = True, notes: bool = False, whole_lists: bool = False
) -> Deployment:
    """The checked configuration of one edge node among `nodes`, as a real one reads it; with `whole_lists` it
    works with all app servers in place of a subset."""
    told = parse_deployment(
        {
            "name": "n0",
            "listen": "127.0.0.1:7379",
            "discovery": "127.0.0.1:7500",
            "counter": "127.0.0.1:7400",
            "seed": "1",
            "settings": settings_of(nodes, counter, notes),
        },
        {},
    )
    return replace(told, subsets=None) if whole_lists else told


def zone_name(number: int) -> str:
    return f"zone-{number}"


def entry(number: int, zones: int, status: str = "SERVING", since_ms: int = 0) -> dict[str, Any]:
    """One app server as discovery lists it."""
    return {
        "name": f"app-{number:05}",
        "status": status,
        "zone": zone_name(number % zones),
        "group": number // zones % 16,
        "since_ms": since_ms,
        "weight": 1,
        "type": "standard",
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
    }


def page_bytes(entries: Sequence[dict[str, Any]], complete: bool, index: int = 1) -> bytes:
    """An answer of discovery, as JSON."""
    document = {"index": index, "snapshot": complete, "endpoints": list(entries)}
    return json.dumps(document, separators=(",", ":")).encode()


def whole_list(servers: int, zones: int) -> bytes:
    """The list of all app servers."""
    return page_bytes([entry(one, zones) for one in range(servers)], True)


def server_list(servers: int, zones: int) -> list[ListedServer]:
    """The app servers as a node reads them in the list."""
    return [parse_server(entry(one, zones)) for one in range(servers)]
