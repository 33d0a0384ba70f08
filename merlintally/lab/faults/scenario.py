"""The form of a scenario (TOML): processes, load, a timetable of faults, a seeded mix of them, work asked
for."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from random import Random
from typing import Annotated, Literal, get_args

from msgspec import Meta, Struct

from merlintally.forms import InputError, read_file, suggestion
from merlintally.lab.model.days import Day, read_day

LinkKind = Literal[
    "cut", "one-way", "refused", "reset", "slow", "jittered", "reordered", "doubled", "lost", "narrow", "mute"
]
ProcessKind = Literal[
    "kill", "kill-all", "stop", "leave", "older", "empty", "torn", "spoilt", "full", "learn", "unvote"
]
LINK_KINDS, PROCESS_KINDS = get_args(LinkKind), get_args(ProcessKind)
Least = Annotated[float, Meta(ge=0)]


class FaultForm(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault. Nodes are n0, n1 and so on; other parties counter, discovery and notes; "leader" is whoever
    leads then, "turn" the node whose machine is called or granted next, "any" one drawn by the seed, "all"
    every node."""

    kind: Annotated[LinkKind | ProcessKind, Meta(description="what goes wrong")]
    at_s: Annotated[Least, Meta(description="when, seconds after the load begins")]
    lasts_s: Annotated[Least, Meta(description="until it is put right, seconds")] = 3.0
    of: Annotated[str, Meta(description="the node, or where the link begins")] = "any"
    to: Annotated[str, Meta(description="where the link ends; a link alone has one")] = "all"
    size: Annotated[Least, Meta(description="a share, seconds or bytes a second, by the kind")] = 0.0


class Mix(Struct, frozen=True, forbid_unknown_fields=True):
    """Faults drawn by the seed for as long as the load lasts."""

    every_s: Annotated[float, Meta(gt=0, description="mean time between them, seconds")] = 3.0
    lasts_s: Annotated[tuple[float, float], Meta(description="until one is put right, seconds")] = (0.5, 6.0)
    kinds: tuple[LinkKind | ProcessKind, ...] = ()


class WorkForm(Struct, frozen=True, forbid_unknown_fields=True):
    """Work on all machines, one for each node, asked for over and over."""

    at_s: Annotated[Least, Meta(description="when it is first asked for, seconds")] = 1.0
    total: str = "1"
    pool: str = "1"
    zone: str = "1"
    pools: Annotated[int, Meta(ge=1, description="pools over which machines are dealt out")] = 1
    zones: Annotated[int, Meta(ge=1, description="zones over which machines are dealt out")] = 1
    work_s: Annotated[tuple[float, float], Meta(description="for which people are at it, seconds")] = (
        0.2,
        0.8,
    )
    rounds: Annotated[int, Meta(ge=1, description="how often work on all is asked for; 1000: throughout")] = 1
    warm_s: Annotated[Least, Meta(description="until a machine that is back is warm, seconds")] = 0.5


class ClusterForm(Struct, frozen=True, forbid_unknown_fields=True):
    """The nodes' section [cluster], as far as a scenario sets it."""

    voters: Annotated[int, Meta(ge=1, le=7)] = 3
    heartbeat_s: float = 0.1
    election_s: float = 0.5
    period_s: float = 0.5
    lease_s: float = 2.0
    renew_s: float = 0.3
    drift_share: float = 0.02
    copies: Annotated[int, Meta(ge=0, le=9, description="holders of each shard of copied state")] = 0


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """One scenario."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,31}$")]
    about: str = ""
    day: Annotated[str, Meta(description="the laboratory's day that the load is of")] = "calm"
    processes: Annotated[int, Meta(ge=1, le=32)] = 3
    servers: Annotated[int, Meta(ge=1, le=200)] = 3
    seconds: Annotated[float, Meta(gt=1, le=3600)] = 20.0
    submissions_per_s: Annotated[float, Meta(gt=0, le=600)] = 20.0
    cluster: ClusterForm | None = None
    work: WorkForm | None = None
    mix: Mix | None = None
    fault: tuple[FaultForm, ...] = ()

    def faults(self) -> list[tuple[str, str]]:
        """What does not go together."""
        wrong = []
        nodes = {f"n{at}" for at in range(self.processes)}
        parties = nodes | {"any", "all", "leader", "turn", "counter", "discovery", "notes"}
        for at, fault in enumerate(self.fault):
            for key, name in (("of", fault.of), ("to", fault.to)):
                if name not in parties:
                    wrong.append(
                        (
                            f"fault.{at}.{key}",
                            f"there is no party {name!r}{suggestion(name, sorted(parties))}",
                        )
                    )
            if fault.kind in PROCESS_KINDS and fault.of in ("counter", "discovery", "notes"):
                wrong.append((f"fault.{at}.of", f"{fault.of} is no process of the program"))
        if self.work is not None and self.cluster is None:
            wrong.append(("work", "goes with [cluster] alone"))
        if self.cluster is not None and self.cluster.voters > self.processes:
            wrong.append(("cluster.voters", f"{self.cluster.voters} of {self.processes} processes"))
        return wrong

    def played_day(self) -> Day:
        """The day whose load it is, at this size and with no troubles of its own."""
        import msgspec

        like = read_day(self.day)
        fleet = msgspec.structs.replace(like.fleet, gateways=self.processes, servers=self.servers, zones=1)
        traffic = msgspec.structs.replace(like.traffic, submissions_per_s=self.submissions_per_s)
        return msgspec.structs.replace(
            like, name=self.name, fleet=fleet, traffic=traffic, length_s=self.seconds, trouble=()
        )

    def timetable(self, seed: int) -> list[FaultForm]:
        """All faults by their times: those named, and those drawn."""
        found, random = list(self.fault), Random(seed)
        if self.mix is not None:
            at = 2.0
            while (at := at + random.expovariate(1 / self.mix.every_s)) < self.seconds - 4.0:
                kind = random.choice(self.mix.kinds)
                lasts = min(random.uniform(*self.mix.lasts_s), self.seconds - 2.0 - at)
                of, to = random.sample([f"n{one}" for one in range(self.processes)], 2)
                whole = random.random()
                if kind in LINK_KINDS and whole < 0.4:
                    to = "all"
                elif kind in ("refused", "reset", "mute", "slow") and whole < 0.7:
                    to = random.choice(("counter", "discovery"))
                found.append(FaultForm(kind, at, lasts, "leader" if random.random() < 0.2 else of, to))
        return sorted(found, key=lambda one: one.at_s)


def shipped() -> list[str]:
    folder = resources.files("merlintally.lab.faults") / "scenarios"
    return sorted(one.name.removesuffix(".toml") for one in folder.iterdir() if one.name.endswith(".toml"))


def read_scenario(name: str) -> Scenario:
    """A shipped scenario by its name, or a file."""
    if name in shipped():
        return read_file(
            Path(str(resources.files("merlintally.lab.faults") / "scenarios" / f"{name}.toml")), Scenario
        )
    if not Path(name).is_file():
        raise InputError(
            [f"{name}: there is no such scenario{suggestion(name, shipped())}, and no such file"]
        )
    return read_file(Path(name), Scenario)
