"""Days: scenario files that give the size of a world, its traffic, and its troubles by time.

All times are in seconds and all rates per second; pairs are ranges from which values are drawn at random.
"""

from __future__ import annotations

from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

from msgspec import Meta, Struct, structs

from merlintally.forms import InputError, load, read, suggestion

Range = tuple[float, float]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
TroubleKind = Literal[
    "servers_die",
    "servers_slow",
    "servers_fail",
    "servers_silent",
    "servers_replaced",
    "servers_ageing",
    "servers_leave",
    "gateways_die",
    "gateways_roll",
    "gateways_hang",
    "zone_lost",
    "zone_cut",
    "counter_slow",
    "counter_silent",
    "counter_refusing",
    "counter_emptied",
    "counter_replaced",
    "counter_split",
    "discovery_late",
    "discovery_silent",
    "discovery_moved",
    "notes_lost",
    "connections_reset",
    "answers_late",
    "answers_spoilt",
    "traffic_burst",
    "plan_burst",
    "strangers",
    "weights_shift",
    "clients_leave",
    "work_settled",
    "work_listed",
    "work_random",
]
KINDS_WITH_PART = {
    kind for kind in get_args(TroubleKind) if kind.startswith(("servers_", "gateways_", "work_"))
} | {
    "weights_shift",
    "clients_leave",
    "connections_reset",
    "answers_late",
    "answers_spoilt",
}
KINDS_WITH_SIZE = {
    "servers_slow",
    "servers_fail",
    "servers_ageing",
    "counter_slow",
    "discovery_late",
    "notes_lost",
    "traffic_burst",
    "plan_burst",
    "strangers",
    "answers_late",
}


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """Edge nodes and app servers."""

    gateways: Annotated[int, Meta(ge=1, le=2000, description="edge nodes")]
    servers: Annotated[int, Meta(ge=1, le=5000, description="app servers at the start")]
    zones: Annotated[int, Meta(ge=1, le=16, description="zones, over which both are spread")] = 1
    cell_size: Annotated[
        PositiveInt, Meta(description="app servers of one cell, which share stamped keys")
    ] = 4
    cores: Annotated[int, Meta(ge=1, le=256, description="cores of an app server")] = 4
    speeds: Annotated[Range, Meta(description="speed of a core, where 1 is that of the lanes' work")] = (
        0.9,
        1.1,
    )
    places_per_core: Annotated[PositiveInt, Meta(description="pieces of work that run at once, per core")] = 2
    waiting_per_core: Annotated[
        int, Meta(ge=0, description="pieces queued beyond these, per core; then full")
    ] = 12
    thrash: Annotated[Fraction, Meta(description="part of the speed lost when all slots are in use")] = 0.1
    cancel: Annotated[
        Literal["none", "waiting", "all"],
        Meta(description="pieces that a cancelled execution stops at the server"),
    ] = "waiting"
    errors: Annotated[Fraction, Meta(description="part of the work that fails without any trouble")] = 0.0005
    report: Annotated[bool, Meta(description="whether answers carry a load report")] = False
    report_late_s: Annotated[NonNegative, Meta(description="age of a load report, seconds")] = 0.3
    report_noise: Annotated[Fraction, Meta(description="noise of a load report, relative to the value")] = 0.1
    connections: Annotated[PositiveInt, Meta(description="most connections that a server holds")] = 2000
    idle_close_s: Annotated[Positive, Meta(description="until an idle connection closes, seconds")] = 15.0
    handshake_work_s: Annotated[NonNegative, Meta(description="server work for a connection, seconds")] = (
        0.001
    )
    connect_time_out_s: Annotated[Positive, Meta(description="timeout of a connection attempt, seconds")] = (
        0.25
    )


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays, seconds."""

    same_zone_s: Annotated[Range, Meta(description="within a zone")] = (0.0002, 0.0004)
    cross_zone_s: Annotated[Range, Meta(description="between zones")] = (0.0007, 0.0015)
    client_s: Annotated[Range, Meta(description="between clients and edge nodes")] = (0.0004, 0.0012)


class LaneForm(Struct, frozen=True, forbid_unknown_fields=True):
    """A lane (class) of submissions."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,31}$", description="name of the lane")]
    share: Annotated[Positive, Meta(description="part of the submissions, relative to other lanes")]
    work_s: Annotated[Range, Meta(description="mean work, core seconds")]
    work_cv: Annotated[NonNegative, Meta(description="coefficient of variation of the work (lognormal)")] = (
        0.7
    )
    quoted_time_s: Annotated[Positive, Meta(description="quoted time (aim), seconds")] = 1.0
    hard_limit_s: Annotated[Positive, Meta(description="hard limit (deadline), seconds")] = 4.0
    gain: Annotated[Positive, Meta(description="gain (worth) of a unit answered in time")] = 1.0
    late_gain: Annotated[Fraction, Meta(description="part of the gain that a late answer earns")] = 0.0
    effect: Annotated[
        Literal["harmless", "stamped", "one-shot"], Meta(description="whether it may run again")
    ] = "harmless"
    group: Annotated[
        Literal["all", "zone", "cell"], Meta(description="servers that share stamps and drop repeats")
    ] = "cell"
    remembered_s: Annotated[NonNegative, Meta(description="for how long they remember a stamp, seconds")] = (
        10.0
    )

    def faults(self) -> Iterator[tuple[str, str]]:
        if self.quoted_time_s > self.hard_limit_s:
            yield "quoted_time_s", "is beyond hard_limit_s"


class PlanForm(Struct, frozen=True, forbid_unknown_fields=True):
    """A plan and its customers."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,31}$", description="name of the plan")]
    share: Annotated[Positive, Meta(description="part of the use within quotas, relative to other plans")]
    units_per_s: Annotated[Positive, Meta(description="quota of each customer, units a second")]
    burst_s: Annotated[Positive, Meta(description="units that may be used at once, seconds of the quota")] = (
        3.0
    )
    price: Annotated[Positive, Meta(description="factor on the gain")] = 1.0
    beyond_gain: Annotated[Fraction, Meta(description="part of the gain earned beyond the quota")] = 0.0
    beyond_cost: Annotated[NonNegative, Meta(description="part of the gain lost by units sent beyond it")] = (
        1.0
    )
    spread: Annotated[
        Range, Meta(description="edge nodes of a customer's set, parts of all; at least two")
    ] = (0.4, 0.9)
    open_limit: Annotated[int, Meta(ge=0, description="most executions in flight at once; 0: no limit")] = 0
    ceiling: Annotated[NonNegative, Meta(description="hard ceiling, times the quota; 0: none")] = 0.0
    ceiling_slack: Annotated[
        NonNegative, Meta(description="permitted overshoot, a part of the ceiling's burst")
    ] = 0.1

    def burst(self, largest: int) -> float:
        """Units that may be used at once; at least a few submissions of the largest size."""
        return max(self.units_per_s * self.burst_s, largest * (4.0 if self.ceiling else 2.0))

    def max_spread(self, largest: int) -> float:
        """Most edge nodes of a set; with a ceiling, each share of it holds two of the largest submissions."""
        return max(2.0, self.burst(largest) * self.ceiling / (2 * largest)) if self.ceiling else float("inf")

    def faults(self) -> Iterator[tuple[str, str]]:
        if not 0 <= self.spread[0] <= self.spread[1] <= 1:
            yield "spread", "is not a range within 0 to 1"
        if 0 < self.ceiling < 1:
            yield "ceiling", "is below the quota: 1 or more, or 0 for none"


class Traffic(Struct, frozen=True, forbid_unknown_fields=True):
    """What customers submit."""

    submissions_per_s: Annotated[Positive, Meta(description="first tries within the quotas, per second")]
    units: Annotated[int, Meta(ge=1, le=255, description="units of the largest submission")] = 6
    guess_cv: Annotated[
        NonNegative, Meta(description="relative spread of the estimated units around the true ones")
    ] = 0.4
    calm_use: Annotated[Range, Meta(description="part of the quota that calm customers use")] = (0.15, 0.5)
    near: Annotated[Fraction, Meta(description="part of the customers that use nearly all of it")] = 0.2
    greedy: Annotated[Fraction, Meta(description="part that exceed the quota all day")] = 0.08
    greedy_x: Annotated[Range, Meta(description="their use, times the quota")] = (1.6, 5.0)
    spiky: Annotated[Fraction, Meta(description="part that exceed the quota in spikes")] = 0.12
    spike_x: Annotated[Range, Meta(description="their use during a spike, times the quota")] = (2.0, 8.0)
    spike_s: Annotated[Range, Meta(description="length of a spike, seconds")] = (0.5, 4.0)
    spike_every_s: Annotated[Range, Meta(description="time between spikes, seconds")] = (10.0, 25.0)
    skew: Annotated[Range, Meta(description="standard deviation of the log of the set's weights")] = (
        0.3,
        1.5,
    )
    shift_s: Annotated[Range, Meta(description="until a customer's weights change, seconds")] = (8.0, 25.0)
    notice_s: Annotated[
        Range, Meta(description="for how long the front still sends to a dead edge node, seconds")
    ] = (1.0, 3.0)


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    """Behaviour of clients."""

    retries: Annotated[int, Meta(ge=0, le=10, description="retries after a try that was not served")] = 2
    wait_s: Annotated[Range, Meta(description="delay before a retry, seconds")] = (0.1, 0.6)
    honour: Annotated[Fraction, Meta(description="part that wait as long as the edge node states")] = 0.6
    patience: Annotated[Range, Meta(description="client timeout, parts of the hard limit")] = (
        0.5,
        1.0,
    )
    impatient: Annotated[Fraction, Meta(description="part of the tries that clients abandon early")] = 0.005


class CounterForm(Struct, frozen=True, forbid_unknown_fields=True):
    """The shared counter."""

    calls_per_s: Annotated[Positive, Meta(description="calls that it serves per second")] = 600.0
    parts: Annotated[int, Meta(ge=1, le=64, description="shards over which names are distributed")] = 2
    line_s: Annotated[
        Positive, Meta(description="queueing delay above which a shard refuses calls, seconds")
    ] = 0.15
    time_out_s: Annotated[Positive, Meta(description="timeout of a call, seconds")] = 0.08
    price: Annotated[NonNegative, Meta(description="points of G for one call per submission")] = 0.01


class DiscoveryForm(Struct, frozen=True, forbid_unknown_fields=True):
    """The list of app servers."""

    notice_s: Annotated[Range, Meta(description="delay until a change of a server is listed, seconds")] = (
        1.0,
        4.0,
    )
    spread_s: Annotated[Range, Meta(description="delay until an edge node receives an update, seconds")] = (
        0.05,
        0.3,
    )


class Notes(Struct, frozen=True, forbid_unknown_fields=True):
    """Notes between edge nodes."""

    allowed: Annotated[bool, Meta(description="whether edge nodes may send them")] = True
    late_s: Annotated[Range, Meta(description="delay, seconds")] = (0.0034, 0.025)
    lost: Annotated[Fraction, Meta(description="part that is lost")] = 0.05
    heard_per_s: Annotated[Positive, Meta(description="notes that an edge node accepts per second")] = 100.0
    price: Annotated[NonNegative, Meta(description="points of G for one full note per submission")] = 0.08
    copied_s: Annotated[
        NonNegative,
        Meta(
            description="if above 0, draws are replicated by the cluster instead of sent as notes: to all "
            "within this many seconds, at no price; to none while a zone is cut off or over a tenth of the "
            "edge nodes are down"
        ),
    ] = 0.0


class Rules(Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of the five rules."""

    drain_grace_s: Annotated[
        Positive, Meta(description="after which a draining server gets nothing new, seconds")
    ] = 0.25
    cold_share: Annotated[Fraction, Meta(description="part of its speed with which a server starts")] = 0.3
    warm_s: Annotated[Positive, Meta(description="warm-up time, seconds")] = 15.0
    tip_multiple: Annotated[
        Positive, Meta(description="work above this multiple of its capacity makes it fail")
    ] = 2.5
    tip_window_s: Annotated[Positive, Meta(description="window over which that work is summed, seconds")] = (
        1.5
    )
    slack_s: Annotated[NonNegative, Meta(description="tolerance on every time limit, seconds")] = 0.05
    executions: Annotated[int, Meta(ge=1, le=100, description="most executions of a submission")] = 5
    parallel: Annotated[bool, Meta(description="whether two executions may run at once")] = True
    withdraw: Annotated[bool, Meta(description="whether executions may be cancelled")] = True
    return_limit_s: Annotated[
        NonNegative, Meta(description="longest retry-after that may be stated, seconds")
    ] = 2.0


class Goal(Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the service in the score G."""

    whole: Annotated[Fraction, Meta(description="weight of the whole day")] = 0.6
    worst_window: Annotated[Fraction, Meta(description="weight of the worst 10 seconds")] = 0.25
    worst_plan: Annotated[Fraction, Meta(description="weight of the worst-served plan")] = 0.15
    waste: Annotated[
        NonNegative, Meta(description="points of G for wasting as much work as was requested")
    ] = 0.16


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """A failure or change that is injected into the day."""

    kind: Annotated[TroubleKind, Meta(description="kind of trouble")]
    at_s: Annotated[NonNegative, Meta(description="start, seconds after the day's start")]
    lasts_s: Annotated[NonNegative, Meta(description="duration, seconds")] = 5.0
    part: Annotated[Fraction, Meta(description="affected part of the servers, edge nodes or customers")] = 0.0
    size: Annotated[NonNegative, Meta(description="factor, share or seconds, depending on the kind")] = 0.0
    plan: Annotated[str, Meta(description="the plan, for plan_burst")] = ""
    zone: Annotated[int, Meta(ge=0, description="the zone, for zone_lost and zone_cut")] = 0
    names: Annotated[
        tuple[str, ...], Meta(description="affected servers by name (s0, s1, ...), instead of part")
    ] = ()

    def faults(self) -> Iterator[tuple[str, str]]:
        if self.kind in KINDS_WITH_PART and not self.part and not self.names:
            yield "part", f"is missing; {self.kind} requires it"
        if self.kind in KINDS_WITH_SIZE and not self.size:
            yield "size", f"is missing; {self.kind} requires it"
        if self.kind == "plan_burst" and not self.plan:
            yield "plan", "is missing; plan_burst requires it"


class Day(Struct, frozen=True, forbid_unknown_fields=True):
    """A day: everything that a run of the laboratory plays."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,31}$", description="name of the day")]
    fleet: Fleet
    traffic: Traffic
    lane: Annotated[tuple[LaneForm, ...], Meta(min_length=1)]
    plan: Annotated[tuple[PlanForm, ...], Meta(min_length=1)]
    about: Annotated[str, Meta(description="what happens, in a sentence")] = ""
    length_s: Annotated[float, Meta(gt=1, le=3600, description="for how long clients submit, seconds")] = 30.0
    network: Network = Network()
    clients: Clients = Clients()
    counter: CounterForm = CounterForm()
    discovery: DiscoveryForm = DiscoveryForm()
    notes: Notes = Notes()
    rules: Rules = Rules()
    goal: Goal = Goal()
    trouble: tuple[Trouble, ...] = ()

    def faults(self) -> Iterator[tuple[str, str]]:
        for key, names in (
            ("lane", [one.name for one in self.lane]),
            ("plan", [one.name for one in self.plan]),
        ):
            if len(set(names)) < len(names):
                yield key, "names must be unique"
        plans = [one.name for one in self.plan]
        for index, event in enumerate(self.trouble):
            if event.plan and event.plan not in plans:
                yield (
                    f"trouble.{index}.plan",
                    f"{event.plan!r} is not a plan of this day{suggestion(event.plan, plans)}",
                )
            if event.at_s >= self.length_s:
                yield f"trouble.{index}.at_s", "must be before the day's end (length_s)"
            if event.kind.startswith("zone") and event.zone >= self.fleet.zones:
                yield f"trouble.{index}.zone", f"there are {self.fleet.zones} zones, counted from 0"

    def at_size(self, gateways: int | None = None, length_s: float | None = None) -> Day:
        """The same day with another number of edge nodes and another length.

        Servers and traffic scale with the number of edge nodes to the power 3/4, so that in a larger fleet
        each edge node has less traffic. The counter stays as it is; times of troubles scale with the length.
        """
        gateways = gateways or self.fleet.gateways
        factor = (gateways / self.fleet.gateways) ** 0.75
        servers = max(2, round(self.fleet.servers * factor))
        rate = self.traffic.submissions_per_s * servers / self.fleet.servers
        time_factor = (length_s or self.length_s) / self.length_s
        return structs.replace(
            self,
            length_s=self.length_s * time_factor,
            fleet=structs.replace(self.fleet, gateways=gateways, servers=servers),
            traffic=structs.replace(self.traffic, submissions_per_s=rate),
            trouble=tuple(
                structs.replace(event, at_s=event.at_s * time_factor, lasts_s=event.lasts_s * time_factor)
                for event in self.trouble
            ),
        )


def shipped() -> dict[str, Path]:
    """The files of the days in this package, by name."""
    folder = Path(str(resources.files("merlintally.lab.model") / "days"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def path_of(name: str) -> Path:
    """The file of a shipped day, or `name` itself if it names a .toml file; InputError if there is none."""
    path = Path(name)
    if path.suffix == ".toml":
        return path
    days = shipped()
    if name not in days:
        raise InputError(
            [f"{name}: there is no such day{suggestion(name, list(days))}; see `merlintally lab list`"]
        )
    return days[name]


def load_day(path: Path) -> dict[str, Any]:
    """A day's file as a table.

    With `like = "NAME"`, missing keys are taken from that day, in tables key by key, while lists replace
    lists. NAME is a shipped day, or a .toml file in the same folder.
    """
    table, visited = load(path), [path.resolve()]
    while isinstance(base := table.pop("like", None), str):
        sibling = path.parent / base
        path = sibling if base.endswith(".toml") else path_of(base)
        if path.resolve() in visited:
            raise InputError([f"{path}: like: a day can't be like itself"])
        visited.append(path.resolve())
        table = merged(load(path), table)
    return table


def merged(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Merge two tables recursively; values of `overrides` win.

    >>> merged({"a": {"b": 1, "c": 2}, "d": [1]}, {"a": {"b": 3}, "d": [2]})
    {'a': {'b': 3, 'c': 2}, 'd': [2]}
    """
    result = dict(base)
    for key, value in overrides.items():
        both_tables = isinstance(value, dict) and isinstance(result.get(key), dict)
        result[key] = merged(result[key], value) if both_tables else value
    return result


def read_day(name: str) -> Day:
    """A shipped day by its name, or a .toml file by its path; InputError if it is missing or invalid."""
    path = path_of(name)
    try:
        return read(load_day(path), Day)
    except InputError as error:
        raise InputError([line if str(path) in line else f"{path}: {line}" for line in error.lines]) from None
