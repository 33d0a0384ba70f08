"""The load profile (TOML): rate and duration, lanes and customers."""

from __future__ import annotations

from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct

from merlintally.forms import read_file

Positive = Annotated[float, Meta(gt=0)]


class LaneLoad(Struct, frozen=True, forbid_unknown_fields=True):
    """One lane of the load."""

    name: Annotated[str, Meta(pattern="^[!-~]{1,64}$", description="name of the lane, as in the settings")]
    share: Annotated[Positive, Meta(description="weight of the lane, relative to the other lanes")] = 1.0
    wait_s: Annotated[Positive, Meta(description="time that the client waits for an answer, seconds")] = 4.0
    effect: Annotated[
        Literal["harmless", "stamped", "one-shot"],
        Meta(description="harmless lanes use Q.ASK, others Q.DO"),
    ] = "harmless"
    body_bytes: Annotated[int, Meta(ge=0, le=65536, description="size of the body of a Q.DO, bytes")] = 64


class CustomerLoad(Struct, frozen=True, forbid_unknown_fields=True):
    """A group of identical customers."""

    plan: Annotated[str, Meta(min_length=1, description="plan of the customers, as in the settings")]
    count: Annotated[int, Meta(ge=1, le=1_000_000, description="number of customers")] = 1
    share: Annotated[Positive, Meta(description="weight of the group, relative to the other groups")] = 1.0
    units: Annotated[tuple[int, int], Meta(description="minimum and maximum units of a submission")] = (1, 1)
    spread: Annotated[int, Meta(ge=1, description="number of edge nodes in a customer's set")] = 1

    def faults(self) -> Iterator[tuple[str, str]]:
        """Yield key and message of each error between keys."""
        if not 1 <= self.units[0] <= self.units[1]:
            yield "units", "is not a range [minimum, maximum] with a minimum of at least 1"


class Profile(Struct, frozen=True, forbid_unknown_fields=True):
    """A load profile. A load ends at the latest `seconds` plus the longest `wait_s` after its start."""

    lane: Annotated[tuple[LaneLoad, ...], Meta(min_length=1)]
    customers: Annotated[tuple[CustomerLoad, ...], Meta(min_length=1)]
    rate: Annotated[float, Meta(gt=0, le=100_000, description="scheduled submissions per second")] = 50.0
    seconds: Annotated[float, Meta(gt=0, le=3600, description="duration of the load, seconds")] = 10.0
    connections: Annotated[
        int, Meta(ge=1, le=10_000, description="number of connections, each with one submission in flight")
    ] = 64
    arrivals: Annotated[
        Literal["poisson", "even"], Meta(description="arrivals: a Poisson process, or at equal intervals")
    ] = "poisson"
    seed: Annotated[int, Meta(ge=0, description="random seed")] = 1


def read_profile(path: str | Path | None) -> Profile:
    """Read and validate a profile; by default the one for example/config.json. Raises InputError."""
    if path is None:
        path = Path(str(resources.files("merlintally.load") / "example.toml"))
    return read_file(Path(path), Profile)
