"""Days: files that say how large a world is, what is asked of it, and what goes wrong when.

All times are seconds, rates are per second, and pairs are ranges from which a day's seed draws.
"""

from __future__ import annotations

from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

from msgspec import Meta, Struct, structs

from merlintally.forms import InputError, load, read, suggestion

Range = tuple[float, float]
Share = Annotated[float, Meta(ge=0, le=1)]
Above = Annotated[float, Meta(gt=0)]
Least = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
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
PARTS = {kind for kind in get_args(TroubleKind) if kind.startswith(("servers_", "gateways_", "work_"))} | {
    "weights_shift",
    "clients_leave",
    "connections_reset",
    "answers_late",
    "answers_spoilt",
}
SIZES = {
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
    """The edge nodes and the app servers."""

    gateways: Annotated[int, Meta(ge=1, le=2000, description="edge nodes")]
    servers: Annotated[int, Meta(ge=1, le=5000, description="app servers at the start")]
    zones: Annotated[int, Meta(ge=1, le=16, description="zones, over which both are dealt out")] = 1
    cell_size: Annotated[Count, Meta(description="app servers of one cell, which share stamped keys")] = 4
    cores: Annotated[int, Meta(ge=1, le=256, description="cores of an app server")] = 4
    speeds: Annotated[Range, Meta(description="speed of a core, 1 as the lanes' work is stated")] = (0.9, 1.1)
    places_per_core: Annotated[Count, Meta(description="pieces of work begun at once, a core")] = 2
    waiting_per_core: Annotated[int, Meta(ge=0, description="pieces that wait beyond, a core; then full")] = (
        12
    )
    thrash: Annotated[Share, Meta(description="part of the speed lost when all places are taken")] = 0.1
    cancel: Annotated[
        Literal["none", "waiting", "all"], Meta(description="what a called-off execution stops at the server")
    ] = "waiting"
    errors: Annotated[Share, Meta(description="part of the work that fails on any day")] = 0.0005
    report: Annotated[bool, Meta(description="whether answers carry a load report")] = False
    report_late_s: Annotated[Least, Meta(description="age of a load report, seconds")] = 0.3
    report_noise: Annotated[Share, Meta(description="noise of a load report, a part of the figure")] = 0.1
    connections: Annotated[Count, Meta(description="connections that a server holds at most")] = 2000
    idle_close_s: Annotated[Above, Meta(description="until an idle connection closes, seconds")] = 15.0
    handshake_work_s: Annotated[Least, Meta(description="server work for a connection, seconds")] = 0.001
    connect_time_out_s: Annotated[Above, Meta(description="until a connection is given up, seconds")] = 0.25


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays, seconds."""

    same_zone_s: Annotated[Range, Meta(description="within a zone")] = (0.0002, 0.0004)
    cross_zone_s: Annotated[Range, Meta(description="between zones")] = (0.0007, 0.0015)
    client_s: Annotated[Range, Meta(description="between clients and edge nodes")] = (0.0004, 0.0012)


class LaneForm(Struct, frozen=True, forbid_unknown_fields=True):
    """A lane of submissions (class)."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,31}$", description="name of the lane")]
    share: Annotated[Above, Meta(description="part of the submissions, beside the other lanes'")]
    work_s: Annotated[Range, Meta(description="mean work, core seconds")]
    work_cv: Annotated[Least, Meta(description="spread of the work: deviation over mean (lognormal)")] = 0.7
    quoted_time_s: Annotated[Above, Meta(description="quoted time (aim), seconds")] = 1.0
    hard_limit_s: Annotated[Above, Meta(description="hard limit (deadline), seconds")] = 4.0
    gain: Annotated[Above, Meta(description="gain (worth) of a unit answered in time")] = 1.0
    late_gain: Annotated[Share, Meta(description="part of the gain that a late answer earns")] = 0.0
    effect: Annotated[
        Literal["harmless", "stamped", "one-shot"], Meta(description="whether it may run again")
    ] = "harmless"
    group: Annotated[
        Literal["all", "zone", "cell"], Meta(description="servers that drop a stamped repeat together")
    ] = "cell"
    remembered_s: Annotated[Least, Meta(description="for which they remember the stamp, seconds")] = 10.0

    def faults(self) -> Iterator[tuple[str, str]]:
        if self.quoted_time_s > self.hard_limit_s:
            yield "quoted_time_s", "is beyond hard_limit_s"


class PlanForm(Struct, frozen=True, forbid_unknown_fields=True):
    """A plan and its customers."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,31}$", description="name of the plan")]
    share: Annotated[Above, Meta(description="part of the use inside quotas, beside the other plans'")]
    units_per_s: Annotated[Above, Meta(description="quota of each customer, units a second")]
    burst_s: Annotated[Above, Meta(description="units that may be used at once, seconds of the quota")] = 3.0
    price: Annotated[Above, Meta(description="factor on the gain")] = 1.0
    beyond_gain: Annotated[Share, Meta(description="part of the gain earned beyond the quota")] = 0.0
    beyond_cost: Annotated[Least, Meta(description="part of the gain lost by what is sent beyond it")] = 1.0
    spread: Annotated[
        Range, Meta(description="edge nodes of a customer's set, parts of all; two at least")
    ] = (0.4, 0.9)
    open_limit: Annotated[int, Meta(ge=0, description="executions out at once at most; 0: no limit")] = 0
    ceiling: Annotated[Least, Meta(description="hard ceiling, times the quota; 0: none")] = 0.0
    ceiling_slack: Annotated[Least, Meta(description="part of the ceiling's burst that may be passed")] = 0.1

    def burst(self, largest: int) -> float:
        """Units that may be used at once: some of the largest submissions at least."""
        return max(self.units_per_s * self.burst_s, largest * (4.0 if self.ceiling else 2.0))

    def most_spread(self, largest: int) -> float:
        """Edge nodes of a set at most: under a ceiling, as many as can each hold two of the largest."""
        return max(2.0, self.burst(largest) * self.ceiling / (2 * largest)) if self.ceiling else float("inf")

    def faults(self) -> Iterator[tuple[str, str]]:
        if not 0 <= self.spread[0] <= self.spread[1] <= 1:
            yield "spread", "is no range from 0 to 1"
        if 0 < self.ceiling < 1:
            yield "ceiling", "is below the quota: 1 or more, or 0 for none"


class Traffic(Struct, frozen=True, forbid_unknown_fields=True):
    """What is asked."""

    submissions_per_s: Annotated[Above, Meta(description="first tries inside the quotas, a second")]
    units: Annotated[int, Meta(ge=1, le=255, description="units of the largest submission")] = 6
    guess_cv: Annotated[Least, Meta(description="spread of the guessed units round the true ones")] = 0.4
    calm_use: Annotated[Range, Meta(description="part of the quota that calm customers use")] = (0.15, 0.5)
    near: Annotated[Share, Meta(description="part of the customers that use nearly all of it")] = 0.2
    greedy: Annotated[Share, Meta(description="part that ask for more all day")] = 0.08
    greedy_x: Annotated[Range, Meta(description="what they ask, times the quota")] = (1.6, 5.0)
    spiky: Annotated[Share, Meta(description="part that ask for much more now and then")] = 0.12
    spike_x: Annotated[Range, Meta(description="what they ask then, times the quota")] = (2.0, 8.0)
    spike_s: Annotated[Range, Meta(description="length of such a spell, seconds")] = (0.5, 4.0)
    spike_every_s: Annotated[Range, Meta(description="time between spells, seconds")] = (10.0, 25.0)
    skew: Annotated[Range, Meta(description="unevenness of the set's weights (deviation of their log)")] = (
        0.3,
        1.5,
    )
    shift_s: Annotated[Range, Meta(description="until a customer's weights change, seconds")] = (8.0, 25.0)
    notice_s: Annotated[
        Range, Meta(description="for which the front goes on sending to a dead edge node, seconds")
    ] = (1.0, 3.0)


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    """How clients behave."""

    retries: Annotated[int, Meta(ge=0, le=10, description="further tries after one that was not served")] = 2
    wait_s: Annotated[Range, Meta(description="until a further try, seconds")] = (0.1, 0.6)
    honour: Annotated[Share, Meta(description="part that wait as long as the edge node says")] = 0.6
    patience: Annotated[Range, Meta(description="time until a try is given up, parts of the hard limit")] = (
        0.5,
        1.0,
    )
    impatient: Annotated[Share, Meta(description="part of the tries that are left early")] = 0.005


class CounterForm(Struct, frozen=True, forbid_unknown_fields=True):
    """The shared counter."""

    calls_per_s: Annotated[Above, Meta(description="calls that it serves, a second")] = 600.0
    parts: Annotated[int, Meta(ge=1, le=64, description="parts over which names are dealt out")] = 2
    line_s: Annotated[Above, Meta(description="line of a part beyond which it turns calls away, seconds")] = (
        0.15
    )
    time_out_s: Annotated[Above, Meta(description="until a call is given up, seconds")] = 0.08
    price: Annotated[Least, Meta(description="points of G for one call a submission")] = 0.01


class DiscoveryForm(Struct, frozen=True, forbid_unknown_fields=True):
    """The list of app servers."""

    notice_s: Annotated[Range, Meta(description="until what happened to a server is listed, seconds")] = (
        1.0,
        4.0,
    )
    spread_s: Annotated[Range, Meta(description="until an edge node hears the list, seconds")] = (0.05, 0.3)


class Notes(Struct, frozen=True, forbid_unknown_fields=True):
    """Notes between edge nodes."""

    allowed: Annotated[bool, Meta(description="whether edge nodes may send them")] = True
    late_s: Annotated[Range, Meta(description="delay, seconds")] = (0.0034, 0.025)
    lost: Annotated[Share, Meta(description="part that never arrives")] = 0.05
    heard_per_s: Annotated[Above, Meta(description="notes that an edge node takes in, a second")] = 100.0
    price: Annotated[Least, Meta(description="points of G for one full note a submission")] = 0.08
    copied_s: Annotated[
        Least,
        Meta(
            description="where above 0, draws go by the cluster's copies in place of notes: to all within so "
            "many seconds, at no price, and to nobody while a zone is cut off or over a tenth of the edge "
            "nodes are down"
        ),
    ] = 0.0


class Rules(Struct, frozen=True, forbid_unknown_fields=True):
    """Figures of the five rules."""

    drain_grace_s: Annotated[Above, Meta(description="after which a draining server gets nothing new")] = 0.25
    cold_share: Annotated[Share, Meta(description="part of its ability with which a server starts")] = 0.3
    warm_s: Annotated[Above, Meta(description="until it is warm, seconds")] = 15.0
    tip_multiple: Annotated[Above, Meta(description="times its ability: work that makes it fall over")] = 2.5
    tip_window_s: Annotated[Above, Meta(description="over which that work is summed, seconds")] = 1.5
    slack_s: Annotated[Least, Meta(description="slack on every time limit, seconds")] = 0.05
    executions: Annotated[int, Meta(ge=1, le=100, description="executions of a submission at most")] = 5
    parallel: Annotated[bool, Meta(description="whether a second copy may run beside the first")] = True
    withdraw: Annotated[bool, Meta(description="whether executions may be called off")] = True
    return_limit_s: Annotated[Least, Meta(description="longest time to come back that may be named")] = 2.0


class Goal(Struct, frozen=True, forbid_unknown_fields=True):
    """How service is weighed into G."""

    whole: Annotated[Share, Meta(description="weight of the whole day")] = 0.6
    worst_window: Annotated[Share, Meta(description="weight of the worst 10 seconds")] = 0.25
    worst_plan: Annotated[Share, Meta(description="weight of the worst-served plan")] = 0.15
    waste: Annotated[Least, Meta(description="points of G for work wasted as large as that asked for")] = 0.16


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """Something that goes wrong."""

    kind: Annotated[TroubleKind, Meta(description="what goes wrong")]
    at_s: Annotated[Least, Meta(description="when, seconds after the day's start")]
    lasts_s: Annotated[Least, Meta(description="for how long, seconds")] = 5.0
    part: Annotated[Share, Meta(description="part of the servers, edge nodes or customers")] = 0.0
    size: Annotated[Least, Meta(description="factor, share or seconds, by the kind")] = 0.0
    plan: Annotated[str, Meta(description="the plan, for plan_burst")] = ""
    zone: Annotated[int, Meta(ge=0, description="the zone, for zone_lost and zone_cut")] = 0
    names: Annotated[
        tuple[str, ...], Meta(description="the servers by name (s0, s1, ...), in place of a part")
    ] = ()

    def faults(self) -> Iterator[tuple[str, str]]:
        if self.kind in PARTS and not self.part and not self.names:
            yield "part", f"is missing, and {self.kind} needs it"
        if self.kind in SIZES and not self.size:
            yield "size", f"is missing, and {self.kind} needs it"
        if self.kind == "plan_burst" and not self.plan:
            yield "plan", "is missing, and plan_burst needs it"


class Day(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole day."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,31}$", description="name of the day")]
    fleet: Fleet
    traffic: Traffic
    lane: Annotated[tuple[LaneForm, ...], Meta(min_length=1)]
    plan: Annotated[tuple[PlanForm, ...], Meta(min_length=1)]
    about: Annotated[str, Meta(description="what happens, in a sentence")] = ""
    length_s: Annotated[float, Meta(gt=1, le=3600, description="for which clients ask, seconds")] = 30.0
    network: Network = Network()
    clients: Clients = Clients()
    counter: CounterForm = CounterForm()
    discovery: DiscoveryForm = DiscoveryForm()
    notes: Notes = Notes()
    rules: Rules = Rules()
    goal: Goal = Goal()
    trouble: tuple[Trouble, ...] = ()

    def faults(self) -> Iterator[tuple[str, str]]:
        for part, names in (
            ("lane", [one.name for one in self.lane]),
            ("plan", [one.name for one in self.plan]),
        ):
            if len(set(names)) < len(names):
                yield part, "two of them have one name"
        plans = [one.name for one in self.plan]
        for at, one in enumerate(self.trouble):
            if one.plan and one.plan not in plans:
                yield (
                    f"trouble.{at}.plan",
                    f"{one.plan!r} is no plan of this day{suggestion(one.plan, plans)}",
                )
            if one.at_s >= self.length_s:
                yield f"trouble.{at}.at_s", "is after the day's end"
            if one.kind.startswith("zone") and one.zone >= self.fleet.zones:
                yield f"trouble.{at}.zone", f"there are {self.fleet.zones} zones, counted from 0"

    def at_size(self, gateways: int | None = None, length_s: float | None = None) -> Day:
        """The same day with another number of edge nodes. Servers and traffic grow with the three-quarter
        power of it, so that in a larger fleet each edge node sees less; the counter stays as it is."""
        gateways = gateways or self.fleet.gateways
        factor = (gateways / self.fleet.gateways) ** 0.75
        servers = max(2, round(self.fleet.servers * factor))
        rate = self.traffic.submissions_per_s * servers / self.fleet.servers
        shorter = (length_s or self.length_s) / self.length_s
        return structs.replace(
            self,
            length_s=self.length_s * shorter,
            fleet=structs.replace(self.fleet, gateways=gateways, servers=servers),
            traffic=structs.replace(self.traffic, submissions_per_s=rate),
            trouble=tuple(
                structs.replace(one, at_s=one.at_s * shorter, lasts_s=one.lasts_s * shorter)
                for one in self.trouble
            ),
        )


def shipped() -> dict[str, Path]:
    """The days that come with the program, by name."""
    folder = Path(str(resources.files("merlintally.lab.model") / "days"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def path_of(name: str) -> Path:
    """The file of a shipped day, or of one given by its path."""
    path = Path(name)
    if path.suffix == ".toml":
        return path
    known = shipped()
    if name not in known:
        raise InputError(
            [f"{name}: there is no such day{suggestion(name, list(known))}; see `merlintally lab list`"]
        )
    return known[name]


def load_day(path: Path) -> dict[str, Any]:
    """A day's file as a table. Where it says `like = "NAME"`, what it leaves out is taken from that day: keys
    one by one, lists whole. The other day is a shipped one, or a file beside this one."""
    found, seen = load(path), [path.resolve()]
    while isinstance(other := found.pop("like", None), str):
        beside = path.parent / other
        path = beside if other.endswith(".toml") else path_of(other)
        if path.resolve() in seen:
            raise InputError([f"{path}: like: a day can't be like itself"])
        seen.append(path.resolve())
        found = merged(load(path), found)
    return found


def merged(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Two tables as one; `over` wins.

    >>> merged({"a": {"b": 1, "c": 2}, "d": [1]}, {"a": {"b": 3}, "d": [2]})
    {'a': {'b': 3, 'c': 2}, 'd': [2]}
    """
    found = dict(base)
    for key, value in over.items():
        both = isinstance(value, dict) and isinstance(found.get(key), dict)
        found[key] = merged(found[key], value) if both else value
    return found


def read_day(name: str) -> Day:
    """A shipped day by its name, or a file by its path; InputError if it can't be used."""
    path = path_of(name)
    try:
        return read(load_day(path), Day)
    except InputError as wrong:
        raise InputError([line if str(path) in line else f"{path}: {line}" for line in wrong.lines]) from None
