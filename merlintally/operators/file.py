"""Structs of the operators' file (TOML): one section for each optional part of the program."""

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
        Meta(description="format of a line: plain text, logfmt, or one JSON object"),
    ] = "plain"
    lines_per_s: Annotated[
        float,
        Meta(
            gt=0,
            le=1e6,
            description="maximum of lines a second; dropped lines are counted and the count is logged",
        ),
    ] = 20.0
    submissions: Annotated[
        bool, Meta(description="log each step of each submission, to trace an id across nodes")
    ] = False


class LabPart(Struct, frozen=True, forbid_unknown_fields=True):
    """Defaults of the laboratory's commands where an option is not given."""

    results: Annotated[str, Meta(min_length=1, description="folder for the results of `lab run`")] = "found"
    processes: Annotated[int, Meta(ge=1, le=256, description="days that `lab run` simulates in parallel")] = 4


ADDRESS = r"^[0-9.]+:[0-9]{1,5}$"


class ClusterPart(Struct, frozen=True, forbid_unknown_fields=True):
    """The cluster: consensus, membership, the order of work. Off if `name` is empty."""

    name: Annotated[
        str,
        Meta(max_length=64, description="name of the cluster; messages from nodes of another are ignored"),
    ] = ""
    folder: Annotated[str, Meta(description="folder of this node's log; not shared with another node")] = ""
    listen: Annotated[str, Meta(description="IPv4 address and port for other nodes, both TCP and UDP")] = ""
    secret: Annotated[
        str,
        Meta(max_length=256, description="secret shared by all nodes and operators of this cluster only"),
    ] = ""
    voters: Annotated[
        tuple[str, ...], Meta(description="names of the initial voters: one, three, five or seven")
    ] = ()
    seeds: Annotated[
        dict[str, str], Meta(description="addresses of some nodes by name, including the initial voters")
    ] = {}
    routes: Annotated[
        dict[str, str],
        Meta(description="addresses to reach nodes at, if different from the addresses they announce"),
    ] = {}
    heartbeat_s: Annotated[
        float, Meta(gt=0, le=10, description="interval between a leader's heartbeats, seconds")
    ] = 0.1
    election_s: Annotated[
        float,
        Meta(gt=0, le=60, description="election timeout, drawn between this and twice this, seconds"),
    ] = 0.5
    period_s: Annotated[
        float, Meta(gt=0, le=60, description="interval between a node's probes of other nodes, seconds")
    ] = 1.0
    lease_s: Annotated[
        float,
        Meta(
            gt=0,
            le=600,
            description="lease: time for which a node may keep sending to a called machine, seconds",
        ),
    ] = 3.0
    renew_s: Annotated[
        float, Meta(gt=0, le=60, description="interval between renewals of the lease, seconds")
    ] = 0.5
    drift_share: Annotated[
        float,
        Meta(
            ge=0, le=0.2, description="maximum drift between the clocks of two machines, as a fraction of 1"
        ),
    ] = 0.02
    longest_s: Annotated[
        float,
        Meta(gt=0, le=600, description="longest time an execution may take, the longest hard limit, seconds"),
    ] = 6.0
    warm_s: Annotated[
        float,
        Meta(ge=0, le=3600, description="time after its return until a machine counts as warm, seconds"),
    ] = 15.0

    copies: Annotated[
        int,
        Meta(
            ge=0, le=9, description="number of replicas of each shard of copied state; 0: nothing is copied"
        ),
    ] = 0
    copy_bytes_s: Annotated[
        float,
        Meta(gt=0, le=1e8, description="bandwidth limit of the copies that a node sends, bytes a second"),
    ] = 20000.0
    copy_forget_s: Annotated[
        float,
        Meta(ge=10, le=86400, description="time after its last change until a copy is deleted, seconds"),
    ] = 120.0
    copy_cold_s: Annotated[
        float,
        Meta(
            gt=0,
            le=3600,
            description="time limit for catching up, after which a node starts cold, seconds",
        ),
    ] = 10.0

    def faults(self) -> Iterator[tuple[str, str]]:
        """Yield key and message of each error between keys; nothing if the cluster is off."""
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
        for key, addresses in (("seeds", self.seeds), ("routes", self.routes), ("", {"listen": self.listen})):
            for name, address in addresses.items():
                if address and not re.fullmatch(ADDRESS, address):
                    yield f"{key}.{name}".lstrip("."), f"{address!r} is no IPv4 address with a port"
        if self.election_s < 3 * self.heartbeat_s:
            yield "election_s", f"{self.election_s:g} is below three times heartbeat_s"
        if self.lease_s < 3 * self.renew_s:
            yield "lease_s", f"{self.lease_s:g} is below three times renew_s"


class SubsetsPart(Struct, frozen=True, forbid_unknown_fields=True):
    """The number of app servers that a node uses if the list is long."""

    enabled: Annotated[
        bool, Meta(description="use a subset of a long list; false: always use the whole list")
    ] = True
    size: Annotated[
        int, Meta(ge=8, le=100_000, description="minimum size of a subset; it stays below twice this number")
    ] = DEFAULT_SETTINGS.size
    whole_up_to: Annotated[
        int, Meta(ge=1, le=1_000_000, description="length of the list up to which all servers are used")
    ] = DEFAULT_SETTINGS.whole_up_to
    least: Annotated[
        int,
        Meta(
            ge=2, le=100_000, description="minimum of serving servers in a subset, as long as more are alive"
        ),
    ] = DEFAULT_SETTINGS.least
    unanswered: Annotated[
        int,
        Meta(
            ge=1, le=100, description="consecutive unanswered attempts after which a server counts as failing"
        ),
    ] = DEFAULT_SETTINGS.unanswered
    settle_s: Annotated[
        float,
        Meta(
            ge=1,
            le=3600,
            description="time for which a smaller subset must suffice before it shrinks, seconds",
        ),
    ] = DEFAULT_SETTINGS.settle_s
    pressed_s: Annotated[
        float,
        Meta(
            gt=0,
            le=600,
            description="time that work must wait for a place before the subset grows by a step, seconds",
        ),
    ] = DEFAULT_SETTINGS.pressed_s

    def faults(self) -> Iterator[tuple[str, str]]:
        """Yield key and message of each error between keys."""
        if self.least > self.size:
            yield "least", f"{self.least} is above size, {self.size}"

    def terms(self) -> SubsetSettings | None:
        """Return the section as the node's subset terms, or None if subsets are off."""
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
    """The node's record of its actions, the input of `lab faults check`."""

    file: Annotated[
        str, Meta(description="file to which JSON objects are appended, one a line; empty: off")
    ] = ""


class Operators(Struct, frozen=True, forbid_unknown_fields=True):
    """All sections; each is optional."""

    log: LogPart = LogPart()
    lab: LabPart = LabPart()
    cluster: ClusterPart = ClusterPart()
    record: RecordPart = RecordPart()
    subsets: SubsetsPart = SubsetsPart()


def read_operators(path: str | Path) -> Operators:
    """Read and validate the file. Raises `merlintally.forms.InputError` with one line for each error."""
    return read_file(Path(path), Operators)
