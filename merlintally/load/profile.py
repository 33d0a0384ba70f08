"""The profile of a load: how much, of which lanes, by which customers (TOML)."""

from __future__ import annotations

from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct

from merlintally.forms import read_file

Above = Annotated[float, Meta(gt=0)]


class LaneLoad(Struct, frozen=True, forbid_unknown_fields=True):
    """A lane's part of the load."""

    name: Annotated[
        str, Meta(pattern="^[!-~]{1,64}$", description="name of the lane, as the settings have it")
    ]
    share: Annotated[Above, Meta(description="part of the submissions, beside the other lanes'")] = 1.0
    wait_s: Annotated[Above, Meta(description="for which the client waits for an answer, seconds")] = 4.0
    effect: Annotated[
        Literal["harmless", "stamped", "one-shot"],
        Meta(description="harmless lanes go to Q.ASK, others to Q.DO"),
    ] = "harmless"
    body_bytes: Annotated[int, Meta(ge=0, le=65536, description="size of the body of a Q.DO, bytes")] = 64


class CustomerLoad(Struct, frozen=True, forbid_unknown_fields=True):
    """A group of customers alike."""

    plan: Annotated[str, Meta(min_length=1, description="their plan, as the settings have it")]
    count: Annotated[int, Meta(ge=1, le=1_000_000, description="how many they are")] = 1
    share: Annotated[Above, Meta(description="part of the submissions, beside the other groups'")] = 1.0
    units: Annotated[tuple[int, int], Meta(description="least and most units of a submission")] = (1, 1)
    spread: Annotated[int, Meta(ge=1, description="edge nodes of a customer's set")] = 1

    def faults(self) -> Iterator[tuple[str, str]]:
        if not 1 <= self.units[0] <= self.units[1]:
            yield "units", "is no range from 1 up"


class Profile(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole load. It always ends by itself: after `seconds`, and the longest wait beyond."""

    lane: Annotated[tuple[LaneLoad, ...], Meta(min_length=1)]
    customers: Annotated[tuple[CustomerLoad, ...], Meta(min_length=1)]
    rate: Annotated[float, Meta(gt=0, le=100_000, description="submissions a second, on schedule")] = 50.0
    seconds: Annotated[float, Meta(gt=0, le=3600, description="length of the load, seconds")] = 10.0
    connections: Annotated[
        int, Meta(ge=1, le=10_000, description="connections, each with one open submission")
    ] = 64
    arrivals: Annotated[
        Literal["poisson", "even"], Meta(description="at random times, or at equal distances")
    ] = "poisson"
    seed: Annotated[int, Meta(ge=0, description="seed of all chance")] = 1


def read_profile(path: str | Path | None) -> Profile:
    """Read and check a profile; without a path, the one that goes with example/config.json."""
    if path is None:
        path = Path(str(resources.files("merlintally.load") / "example.toml"))
    return read_file(Path(path), Profile)
