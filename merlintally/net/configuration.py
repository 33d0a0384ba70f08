"""What the node is told at its start: read, checked and given defaults here and nowhere else."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from ipaddress import IPv4Address
from typing import Any

from merlintally.facts import REPORT_FIELDS, reported_names, start_facts
from merlintally.fields import Fields, Malformed, integer, lookup, number, text
from merlintally.interface import Presence, ServerFacts, StartFacts
from merlintally.subsets import USUAL, Terms

Address = tuple[str, int]
LEAST_DESCRIPTORS = 8  # for clients, and for app servers
PRESENCES: dict[str, Presence] = {"SERVING": "on", "DRAINING": "draining", "DELETED": "gone"}


class Faulty(Exception):
    """The configuration can't be used; the text is one plain line that names the key."""


class Unreadable(Faulty):
    """The file can't be read, or is no JSON: it may be being written, or the system short of something."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the node allows itself: the object `node` of the configuration may set each of these."""

    queue: int = 2048  # calls that wait for the task that owns the decisions
    client_idle_s: float = 4.0  # a client's connection that stands idle for as long is closed
    client_rest_s: float = 2.0  # or as long, where another needs its descriptor: sooner is not allowed
    client_silent_s: float = 0.25  # or as long, there, while it has never brought a request
    client_patience_s: float = 2.2  # until a connection brings its first request, or a command is whole
    client_stall_s: float = 5.0  # for which an answer may make no headway
    linger_s: float = 0.3  # for the other side to end a connection, too
    faults: int = 20  # of the commands on one connection, after which it is closed
    fault_pause_s: float = 0.05  # after each, until it is read again
    pipelined: int = 16  # commands of one connection that are open at once
    held_share: float = 0.2  # of the memory, for commands and answers held; beyond it nothing more is read
    kept_back: int = 32  # descriptors for all that is neither a client nor an app server
    client_share: float = 0.65  # of all others, for clients: for those with something open, and to stay
    client_reserve_share: float = 0.125  # of the clients' descriptors, for connections that do not stay
    idle_share: float = 0.4  # of the app servers' stated idle time, after which a connection is retired
    rest_s: float = 0.02  # after an answer, until the connection of an app server is used again
    stall_s: float = 0.25  # without more of an answer that has begun to come, after which it is given up
    counter_silence_s: float = 1.0  # without an answer that is due, after which its connection is given up
    counter_calls: int = 1024  # calls to the counter that are out at once
    watch_s: float = 2.5  # for which a watch on discovery may wait at the most, and as long for its answer
    answer_s: float = 3.0  # beyond that: net/discovery.py leaves no more before a change counts as told
    again_s: float = 0.1  # until something that broke is tried again, at the least
    again_most_s: float = 5.0  # and at the most, where discovery fails time after time and is no local agent
    spared_s: float = 4.0  # between calls to discovery once it says that it is overloaded
    spared_most_s: float = 20.0  # and at the most, while it goes on saying so
    asked_before_s: float = 0.5  # by which a call to discovery comes before what it lists counts as told
    shortage_s: float = 0.3  # for which accepting has to fail before connections are closed for it
    accept_patience_s: float = 1.0  # for connections that wait at a leave, where accepting them fails
    leave_s: float = 0.5  # for which requests are still taken after being told to stop
    finish_s: float = 3.4  # after which all that is still open is ended
    finish_beyond_s: float = 0.4  # or that much after the longest hard limit, where that is sooner
    reread_s: float = 3.0  # for which a file that can't be read at SIGHUP is read again
    bind_s: float = 2.0  # for which a node that starts tries to take its addresses
    late_s: float = 0.1  # by which the loop may run late unsaid
    log_lines: float = 20.0  # a second


@dataclass(frozen=True, slots=True)
class Listed:
    """An app server as discovery tells of it: what the decisions are told, and where it listens."""

    facts: ServerFacts
    address: Address | None


@dataclass(frozen=True, slots=True)
class Deployment:
    """All that one edge node is told."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    seed: int
    sockets: int
    memory: int  # bytes
    known: tuple[Listed, ...]
    known_index: int | None  # the version of that list
    facts: StartFacts
    reported: dict[str, str]  # fields of a load report that are told, with their names in the decisions
    most_open: int
    connect_time_out: float
    idle_close: float
    pushed: bool = False  # lists are, to an agent on this machine
    bounds: Bounds = field(default_factory=Bounds)
    subsets: Terms | None = USUAL  # of app servers, as the operators' file says; None: off

    @property
    def client_descriptors(self) -> int:
        """How many descriptors clients may hold."""
        return int((self.sockets - self.bounds.kept_back) * self.bounds.client_share)

    @property
    def server_descriptors(self) -> int:
        """How many descriptors connections to app servers may hold."""
        return self.sockets - self.bounds.kept_back - self.client_descriptors


FIXED = {  # what can't change while the node runs, by the keys that it is read from
    "name": "name",
    "listen": "listen",
    "peer_listen": "peer_listen",
    "peers": "peers",
    "peers_all": "peers_all",
    "seed": "seed",
    "sockets": "limits.sockets",
    "memory": "limits.memory_mb",
    "facts": "settings",
    "reported": "settings.report",
    "most_open": "settings.limits.maxOpen",
    "connect_time_out": "settings.limits.connectTimeoutS",
    "idle_close": "settings.limits.idleCloseS",
    "pushed": "settings.discovery",
    "bounds": "node",
}


def fixed_changes(before: Deployment, after: Deployment) -> list[str]:
    """The keys that differ and take a restart. So does a counter that comes or goes."""
    keys = [key for row, key in FIXED.items() if getattr(before, row) != getattr(after, row)]
    return keys + ["counter"] * ((before.counter is None) != (after.counter is None))


def address(value: object, key: str) -> Address:
    """
    >>> address("10.0.0.4:6379", "listen")
    ('10.0.0.4', 6379)
    """
    host, _, port = value.partition(":") if isinstance(value, str) else ("", "", "")
    try:
        if port.isdecimal() and 0 < int(port) < 65536:
            return str(IPv4Address(host)), int(port)
    except ValueError:  # names are not looked up: that could hold up the whole node
        pass
    raise Faulty(f"{key}: {value!r} is no IPv4 address with a port")


def flat(value: object, path: str = "") -> Fields:
    """Nested JSON as path=value, lists with a count.

    >>> flat({"a": [{"b": 1.5}], "c": True})
    {'a.count': '1', 'a.0.b': '1.5', 'c': 'true'}
    """
    if isinstance(value, dict):
        return {k: v for name, one in value.items() for k, v in flat(one, f"{path}{name}.").items()}
    if isinstance(value, list):
        rows = {f"{path}count": str(len(value))}
        return rows | {k: v for at, one in enumerate(value) for k, v in flat(one, f"{path}{at}.").items()}
    key = path[:-1]
    if isinstance(value, bool):
        return {key: "true" if value else "false"}
    return {} if value is None else {key: str(value)}


def listed(entry: object) -> Listed:
    """One app server, as discovery's list or `known` has it."""
    if not isinstance(entry, Mapping):
        raise Malformed(f"an app server is no object but {entry!r:.60}")
    values = flat(dict(entry))
    status = lookup(PRESENCES, text(values, "status"), "status")
    facts = ServerFacts(
        server=text(values, "name"),
        presence=status,
        zone=values.get("zone", ""),
        cell=integer(values, "group", 0),
        started=number(values, "since_ms", 0.0) / 1000,
        size=number(values, "weight", 1.0),
        machine=values.get("type", ""),
    )
    try:
        where = address(entry.get("address"), "address") if "address" in entry or status != "gone" else None
    except Faulty as wrong:
        raise Malformed(f"app server {facts.server}: {wrong}") from None
    return Listed(facts, where)


def page(document: object) -> tuple[int, bool, list[Listed]]:
    """An answer of discovery: version, whether it is the whole list, and the entries."""
    if not isinstance(document, Mapping) or not isinstance(document.get("endpoints"), list):
        raise Malformed("no list of endpoints")
    index = document.get("index")
    if not isinstance(index, int):
        raise Malformed(f"field 'index' is not a whole number: {index!r}")
    return index, document.get("snapshot") is True, [listed(entry) for entry in document["endpoints"]]


def bounds_of(given: object) -> Bounds:
    if not isinstance(given, Mapping):
        raise Faulty("node: is no object")
    rows = {row.name: row.default for row in fields(Bounds)}
    for name, value in given.items():
        if name not in rows:
            raise Faulty(f"node.{name}: there is no such key")
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e12:
            raise Faulty(f"node.{name}: {value!r} is no number above 0")
        if isinstance(rows[name], int) and not isinstance(value, int):
            raise Faulty(f"node.{name}: {value!r} is no whole number")
        if name.endswith("_share") and value >= 1:
            raise Faulty(f"node.{name}: {value!r} is no share below 1")
    return Bounds(**given)


def check_facts(facts: StartFacts) -> None:
    """What the decisions could not work with, by the key it came from."""
    if not facts.lanes:
        raise Faulty("settings.classes: is missing or empty")
    if not facts.plans:
        raise Faulty("settings.tariffs: is missing or empty")
    for at, lane in enumerate(facts.lanes):
        if min(lane.quoted_time, lane.hard_limit) <= 0:
            raise Faulty(f"settings.classes.{at}: aimS and deadlineS must be above 0")
    for at, plan in enumerate(facts.plans):
        if min(plan.rate, plan.burst, plan.open_limit, plan.ceiling_rate, plan.ceiling_burst) < 0:
            raise Faulty(f"settings.tariffs.{at}: a quota is below 0")
    for key, value, least in (
        ("balancers", facts.gateways, 1),
        ("slotNo", facts.number, 0),
        ("limits.maxAttempts", facts.most_executions, 1),
    ):
        if value < least:
            raise Faulty(f"settings.{key}: {value!r} is below {least}")
    if min(facts.warm_within, facts.tip_window, facts.tip_multiple) <= 0:
        raise Faulty("settings.rules: warmWithinS, fallS and tipMultiple must be above 0")


def deployment_of(given: object, environment: Mapping[str, str]) -> Deployment:
    """Check what was read; the variables stand in for keys that the file lacks."""
    if not isinstance(given, Mapping):
        raise Faulty("the configuration is no JSON object")

    def value(key: str, variable: str = "") -> Any:
        found = given.get(key, environment.get(variable))
        if found is None:
            raise Faulty(f"{key}: is missing")
        return found

    def optional(key: str) -> Address | None:
        return address(given[key], key) if given.get(key) is not None else None

    if not isinstance(value("settings"), Mapping):
        raise Faulty("settings: is no object")
    info = flat(given["settings"])
    try:
        facts, names = start_facts(info), reported_names(info)
        most_open = integer(info, "limits.maxOpen", 20000)
        connect_time_out = number(info, "limits.connectTimeoutS", 0.25)
        idle_close = number(info, "limits.idleCloseS", 15.0)
    except Malformed as wrong:
        raise Faulty(f"settings: {wrong}") from None
    check_facts(facts)
    try:
        version, _, servers = page(given["known"]) if given.get("known") is not None else (None, True, [])
    except Malformed as wrong:
        raise Faulty(f"known: {wrong}") from None
    seed, peers, limits = value("seed"), given.get("peers", []), given.get("limits", {})
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise Faulty(f"seed: {seed!r} is no number in hex digits") from None
    if not isinstance(peers, list):
        raise Faulty("peers: is no list")
    if not isinstance(limits, Mapping):
        raise Faulty("limits: is no object")
    sockets, memory = limits.get("sockets", 1024), limits.get("memory_mb", 128)
    bounds = bounds_of(given.get("node", {}))
    if not isinstance(sockets, int) or sockets < 2 * bounds.kept_back:
        raise Faulty(f"limits.sockets: {sockets!r} is no whole number of {2 * bounds.kept_back} or more")
    if isinstance(memory, bool) or not isinstance(memory, int | float) or not 8 <= memory < 1e9:
        raise Faulty(f"limits.memory_mb: {memory!r} is no number of 8 or more")
    if facts.may_count and given.get("counter") is None:
        raise Faulty("counter: is missing, and settings.familyInfo.mayCount says that there is one")
    found = Deployment(
        name=str(value("name", "LB_NAME")),
        listen=address(value("listen", "LB_LISTEN"), "listen"),
        discovery=address(value("discovery", "LB_DISCOVERY"), "discovery"),
        counter=optional("counter"),
        peer_listen=optional("peer_listen"),
        peers_all=optional("peers_all"),
        peers=tuple(address(one, f"peers.{at}") for at, one in enumerate(peers)),
        seed=seed,
        sockets=sockets,
        memory=int(memory * (1 << 20)),
        known=tuple(servers),
        known_index=version,
        facts=facts,
        reported={name: told for name, told in REPORT_FIELDS.items() if told in names},
        most_open=most_open,
        connect_time_out=connect_time_out,
        idle_close=idle_close,
        pushed=info.get("discovery") == "pushed",
        bounds=bounds,
    )
    if min(found.client_descriptors, found.server_descriptors) < LEAST_DESCRIPTORS:
        raise Faulty(
            f"limits.sockets: {sockets!r} leaves {found.client_descriptors} for clients and "
            f"{found.server_descriptors} for app servers, and {LEAST_DESCRIPTORS} each is the least"
        )
    return found


def read_deployment(environment: Mapping[str, str]) -> Deployment:
    """Read the file that LB_CONFIG names."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise Faulty("LB_CONFIG: the variable is not set")
    try:
        with open(path, encoding="utf-8") as file:
            given = json.load(file)
    except OSError as wrong:
        raise Unreadable(f"LB_CONFIG: {path} can't be read: {wrong.strerror}") from wrong
    except ValueError as wrong:
        raise Unreadable(f"LB_CONFIG: {path} is no JSON: {wrong}") from wrong
    return deployment_of(given, environment)
