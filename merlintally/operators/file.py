"""The form of the operators' file (TOML). Each part of the program that it can switch on has a section."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct

from merlintally.forms import read_file
from merlintally.subsets import DEFAULT_SETTINGS, SubsetSettings


class LogPart(Struct, frozen=True, forbid_unknown_fields=True):
    """How the node logs, on standard error."""

    format: Annotated[
        Literal["plain", "logfmt", "json"],
        Meta(description="form of a line: plain text, logfmt, or one JSON object"),
    ] = "plain"
    lines_per_s: Annotated[
        float, Meta(gt=0, le=1e6, description="lines a second at most; what is left out is counted and told")
    ] = 20.0
    submissions: Annotated[
        bool, Meta(description="whether each step of each submission is logged, to follow an id over nodes")
    ] = False


class LabPart(Struct, frozen=True, forbid_unknown_fields=True):
    """What the laboratory's commands take where their options are not given."""

    results: Annotated[str, Meta(min_length=1, description="folder for the results of `lab run`")] = "found"
    processes: Annotated[int, Meta(ge=1, le=256, description="days played side by side by `lab run`")] = 4


WHERE = r"^[0-9.]+:[0-9]{1,5}$"


class ClusterPart(Struct, frozen=True, forbid_unknown_fields=True):
    """Many nodes as one: agreement, members, the order of work. Off where `name` is empty."""

    name: Annotated[str, Meta(max_length=64, description="the cluster's; nodes of another are not heard")] = (
        ""
    )
    folder: Annotated[str, Meta(description="where this node keeps its log; its own alone")] = ""
    listen: Annotated[
        str, Meta(description="IPv4 address and port for other nodes, over TCP and UDP alike")
    ] = ""
    secret: Annotated[
        str,
        Meta(
            max_length=256, description="known to all nodes and operators of this cluster, and to no others"
        ),
    ] = ""
    voters: Annotated[
        tuple[str, ...], Meta(description="names of the nodes that vote first: one, three, five or seven")
    ] = ()
    seeds: Annotated[
        dict[str, str], Meta(description="addresses of some nodes by name, the first voters among them")
    ] = {}
    routes: Annotated[
        dict[str, str],
        Meta(description="addresses to reach nodes by, where they differ from those they tell"),
    ] = {}
    heartbeat_s: Annotated[float, Meta(gt=0, le=10, description="between a leader's messages, seconds")] = 0.1
    election_s: Annotated[
        float,
        Meta(gt=0, le=60, description="without a leader, to twice of it, until one is elected, seconds"),
    ] = 0.5
    period_s: Annotated[
        float, Meta(gt=0, le=60, description="between a node's probes of others, seconds")
    ] = 1.0
    lease_s: Annotated[
        float,
        Meta(gt=0, le=600, description="for which a node may go on sending to a called machine, seconds"),
    ] = 3.0
    renew_s: Annotated[float, Meta(gt=0, le=60, description="between renewals of that right, seconds")] = 0.5
    drift_share: Annotated[
        float,
        Meta(ge=0, le=0.2, description="by which the clocks of two machines may run unlike, a part of 1"),
    ] = 0.02
    longest_s: Annotated[
        float, Meta(gt=0, le=600, description="an execution is out at most, the longest hard limit, seconds")
    ] = 6.0
    warm_s: Annotated[
        float, Meta(ge=0, le=3600, description="after its return, until a machine counts as warm, seconds")
    ] = 15.0

    copies: Annotated[
        int, Meta(ge=0, le=9, description="nodes that hold each shard of copied state; 0: nothing is copied")
    ] = 0
    copy_bytes_s: Annotated[
        float, Meta(gt=0, le=1e8, description="for copies that a node sends, bytes a second")
    ] = 20000.0
    copy_forget_s: Annotated[
        float, Meta(ge=10, le=86400, description="after which a copy that nobody changes goes, seconds")
    ] = 120.0
    copy_cold_s: Annotated[
        float, Meta(gt=0, le=3600, description="for catching up, after which a node starts cold, seconds")
    ] = 10.0

    def faults(self) -> Iterator[tuple[str, str]]:
        if not self.name:
            return
        for key in ("folder", "listen", "voters"):
            if not getattr(self, key):
                yield key, "is missing"
        if len(self.voters) not in (0, 1, 3, 5, 7) or len(set(self.voters)) < len(self.voters):
            yield "voters", f"{len(self.voters)} names, not one, three, five or seven different ones"
        for voter in self.voters:
            if voter not in self.seeds:
                yield "seeds", f"has no address of voter {voter}"
        for key, rows in (("seeds", self.seeds), ("routes", self.routes), ("", {"listen": self.listen})):
            for name, where in rows.items():
                if where and not re.fullmatch(WHERE, where):
                    yield f"{key}.{name}".lstrip("."), f"{where!r} is no IPv4 address with a port"
        if self.election_s < 3 * self.heartbeat_s:
            yield "election_s", f"{self.election_s:g} is below three times heartbeat_s"
        if self.lease_s < 3 * self.renew_s:
            yield "lease_s", f"{self.lease_s:g} is below three times renew_s"


class SubsetsPart(Struct, frozen=True, forbid_unknown_fields=True):
    """With how many app servers a node works where the list is long."""

    enabled: Annotated[
        bool, Meta(description="whether a node works with a part of a long list; false: always all of it")
    ] = True
    size: Annotated[
        int, Meta(ge=8, le=100_000, description="servers of a subset at least, and not quite twice as many")
    ] = DEFAULT_SETTINGS.size
    whole_up_to: Annotated[
        int, Meta(ge=1, le=1_000_000, description="listed servers up to which all of them are used")
    ] = DEFAULT_SETTINGS.whole_up_to
    least: Annotated[
        int, Meta(ge=2, le=100_000, description="serving servers in a subset while more are alive")
    ] = DEFAULT_SETTINGS.least
    unanswered: Annotated[
        int, Meta(ge=1, le=100, description="attempts in a row without an answer, then a server is failing")
    ] = DEFAULT_SETTINGS.unanswered
    settle_s: Annotated[
        float, Meta(ge=1, le=3600, description="until a subset that may be smaller shrinks, seconds")
    ] = DEFAULT_SETTINGS.settle_s
    pressed_s: Annotated[
        float,
        Meta(
            gt=0,
            le=600,
            description="for which work waits for a place until a subset grows a step, seconds",
        ),
    ] = DEFAULT_SETTINGS.pressed_s

    def faults(self) -> Iterator[tuple[str, str]]:
        if self.least > self.size:
            yield "least", f"{self.least} is above size, {self.size}"

    def terms(self) -> SubsetSettings | None:
        """As the node takes them; None: off."""
        if not self.enabled:
            return None
        return SubsetSettings(
            size=self.size,
            whole_up_to=self.whole_up_to,
            least=self.least,
            unanswered=self.unanswered,
            settle_s=self.settle_s,
            pressed_s=self.pressed_s,
        )


class RecordPart(Struct, frozen=True, forbid_unknown_fields=True):
    """The node's own record of what it did, for `lab faults check`."""

    file: Annotated[str, Meta(description="one JSON object a line is added to it; empty: off")] = ""


class Operators(Struct, frozen=True, forbid_unknown_fields=True):
    """All sections; each may be left out."""

    log: LogPart = LogPart()
    lab: LabPart = LabPart()
    cluster: ClusterPart = ClusterPart()
    record: RecordPart = RecordPart()
    subsets: SubsetsPart = SubsetsPart()


def read_operators(path: str | Path) -> Operators:
    """Read and check the file, or raise `merlintally.forms.Faults` with a line for each fault."""
    return read_file(Path(path), Operators)
