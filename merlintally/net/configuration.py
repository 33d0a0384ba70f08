"""The node's configuration: read, validated and completed with defaults here and nowhere else."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from ipaddress import IPv4Address
from typing import Any

from merlintally.facts import REPORT_FIELDS, reported_names, start_facts
from merlintally.fields import Fields, Malformed, integer, lookup, number, text
from merlintally.interface import Presence, ServerFacts, StartFacts
from merlintally.subsets import DEFAULT_SETTINGS, SubsetSettings

Address = tuple[str, int]
MIN_DESCRIPTORS = 8  # for clients, and as many for app servers
STREAMS_PER_NODE = 2  # of a cluster: one in each direction
MAX_CLUSTER_SHARE = 0.3  # of the descriptors beyond `Bounds.kept_back`, for streams of a cluster
MEMORY_SHARES = ("held_share", "connections_share", "customers_share", "ids_share")  # of `Bounds`
PRESENCES: dict[str, Presence] = {"SERVING": "on", "DRAINING": "draining", "DELETED": "gone"}


class ConfigurationError(Exception):
    """The configuration is invalid. The message is a single line that names the key."""


class UnreadableConfiguration(ConfigurationError):
    """The file can't be read or is not JSON, which may pass: it may still be being written, or the system
    short of a resource."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits and timeouts of the node. Each field is an optional key of the object `node`.

    `_s` are seconds, `_share` fractions below 1.
    """

    queue: int = 2048  # calls waiting for the dispatcher
    client_idle_s: float = 4.0  # idle time after which a client's connection is closed
    client_rest_s: float = 2.0  # the same where its descriptor is needed; sooner is not allowed
    client_silent_s: float = 0.25  # the same, for a connection without any request so far
    client_patience_s: float = 2.2  # for a connection's first request, or for the rest of a command
    client_stall_s: float = 5.0  # without progress in writing answers, before a client is closed
    linger_s: float = 0.3  # wait for the peer to close its side of a connection
    faults: int = 20  # successive invalid commands after which a connection is closed
    fault_pause_s: float = 0.05  # pause in reading after each of them
    pipelined: int = 16  # commands of one connection processed at a time
    in_work: int = 16  # commands of all connections that are read and not yet seen by the decisions
    # Shares of the memory that the process leaves: for buffered commands and answers (beyond it, commands
    # wait, then are rejected), for connections, for what is kept of customers, and for ids that may have run.
    held_share: float = 0.3
    connections_share: float = 0.35
    customers_share: float = 0.15
    ids_share: float = 0.05
    held_reserve_share: float = 0.25  # of the held memory, which receive buffers don't use
    held_wait_s: float = 0.3  # wait of a command for held memory, after which it is rejected
    kept_back: int = 32  # descriptors reserved for all but clients, app servers and other nodes
    client_share: float = 0.65  # of the other descriptors, for clients
    client_reserve_share: float = 0.125  # of the clients' ones, for temporary connections
    idle_share: float = 0.4  # of the app servers' idle timeout, after which the node closes
    rest_s: float = 0.02  # delay after an answer before its connection is used again
    stall_s: float = 0.25  # wait for the rest of an app server's partial answer
    counter_silence_s: float = 1.0  # without a due answer, before the connection is closed
    counter_calls: int = 1024  # unanswered calls at a time
    watch_s: float = 2.5  # longest wait of a watch on discovery, which net/discovery.py may shorten
    answer_s: float = 0.3  # for its answer beyond that wait, before another call begins beside it
    again_s: float = 0.1  # minimum delay before a retry
    again_most_s: float = 5.0  # maximum delay for discovery, unless it is a local agent
    spared_s: float = 4.0  # initial delay between calls to discovery while it is overloaded
    spared_most_s: float = 20.0  # maximum of that delay
    asked_before_s: float = 0.5  # how long before a change counts as known discovery is called
    shortage_s: float = 0.3  # of failing accepts, before connections are closed to free descriptors
    accept_patience_s: float = 1.0  # for retries of accept for connections waiting at a shutdown
    leave_s: float = 0.5  # for which requests are still accepted at a shutdown
    finish_s: float = 3.4  # longest shutdown, after which open requests are ended
    finish_beyond_s: float = 0.4  # the same, counted from the longest hard limit, if earlier
    reread_s: float = 3.0  # for retries of reading the file at SIGHUP
    bind_s: float = 2.0  # for retries of binding the addresses at a start
    late_s: float = 0.1  # delay of the event loop that is not logged
    log_lines: float = 20.0  # log lines a second


@dataclass(frozen=True, slots=True)
class ListedServer:
    """An app server as discovery lists it: its facts for the decisions, and its address if it has one."""

    facts: ServerFacts
    address: Address | None


@dataclass(frozen=True, slots=True)
class Deployment:
    """The configuration of one edge node. Times are in seconds."""

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
    known: tuple[ListedServer, ...]
    known_index: int | None  # the version of the list `known`
    facts: StartFacts
    reported: dict[str, str]  # load report fields in use -> their names in the decisions
    most_open: int
    connect_time_out: float
    idle_close: float
    pushed: bool = False  # whether lists are pushed to a discovery agent on this machine
    bounds: Bounds = field(default_factory=Bounds)
    subsets: SubsetSettings | None = DEFAULT_SETTINGS  # of app servers; None if the node uses all
    clustered: bool = False  # whether the node has streams to the other nodes of a cluster

    @property
    def cluster_streams(self) -> int:
        """The number of descriptors that streams to and from all other nodes of the cluster take."""
        return STREAMS_PER_NODE * (self.facts.gateways - 1) if self.clustered else 0

    @property
    def kept_back(self) -> int:
        """The number of descriptors reserved for all but clients and app servers."""
        most_streams = int((self.sockets - self.bounds.kept_back) * MAX_CLUSTER_SHARE)
        return self.bounds.kept_back + min(self.cluster_streams, most_streams)

    @property
    def client_descriptors(self) -> int:
        """The number of descriptors for clients."""
        return int((self.sockets - self.kept_back) * self.bounds.client_share)

    @property
    def server_descriptors(self) -> int:
        """The number of descriptors for connections to app servers."""
        return self.sockets - self.kept_back - self.client_descriptors


RESTART_KEYS = {  # fields of `Deployment` that change only with a restart -> their keys
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
    """The keys that differ and take a restart to change; adding or removing a counter does, too."""
    keys = [
        key
        for attribute, key in RESTART_KEYS.items()
        if getattr(before, attribute) != getattr(after, attribute)
    ]
    return keys + ["counter"] * ((before.counter is None) != (after.counter is None))


def parse_address(value: object, key: str) -> Address:
    """Parses an IPv4 address with a port; raises `ConfigurationError` naming `key`.

    >>> parse_address("10.0.0.4:6379", "listen")
    ('10.0.0.4', 6379)
    """
    host, _, port = value.partition(":") if isinstance(value, str) else ("", "", "")
    try:
        if port.isdecimal() and 0 < int(port) < 65536:
            return str(IPv4Address(host)), int(port)
    except ValueError:  # also for host names, since a lookup could block the node
        pass
    raise ConfigurationError(f"{key}: {value!r} is not an IPv4 address with a port")


def flatten(value: object, path: str = "") -> Fields:
    """Flattens nested JSON to dotted paths and values as text; each list gets an entry with its length.

    >>> flatten({"a": [{"b": 1.5}], "c": True})
    {'a.count': '1', 'a.0.b': '1.5', 'c': 'true'}
    """
    if isinstance(value, dict):
        return {k: v for name, item in value.items() for k, v in flatten(item, f"{path}{name}.").items()}
    if isinstance(value, list):
        entries = {f"{path}count": str(len(value))}
        return entries | {
            k: v for index, item in enumerate(value) for k, v in flatten(item, f"{path}{index}.").items()
        }
    key = path[:-1]
    if isinstance(value, bool):
        return {key: "true" if value else "false"}
    return {} if value is None else {key: str(value)}


def parse_server(entry: object) -> ListedServer:
    """Parses one app server from discovery's list or from `known`; raises `Malformed`."""
    if not isinstance(entry, Mapping):
        raise Malformed(f"an app server is not an object: {entry!r:.60}")
    values = flatten(dict(entry))
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
        server_address = (
            parse_address(entry.get("address"), "address") if "address" in entry or status != "gone" else None
        )
    except ConfigurationError as error:
        raise Malformed(f"app server {facts.server}: {error}") from None
    return ListedServer(facts, server_address)


def parse_page(document: object) -> tuple[int, bool, list[ListedServer]]:
    """Parses an answer of discovery: the version, whether it is the whole list, and the entries. Raises
    `Malformed`."""
    if not isinstance(document, Mapping) or not isinstance(document.get("endpoints"), list):
        raise Malformed("no list of endpoints")
    index = document.get("index")
    if not isinstance(index, int):
        raise Malformed(f"field 'index' is not a whole number: {index!r}")
    return index, document.get("snapshot") is True, [parse_server(entry) for entry in document["endpoints"]]


def parse_bounds(document: object) -> Bounds:
    """Parses the object `node`; raises `ConfigurationError`."""
    if not isinstance(document, Mapping):
        raise ConfigurationError("node: is not an object")
    defaults = {bound.name: bound.default for bound in fields(Bounds)}
    for name, value in document.items():
        if name not in defaults:
            raise ConfigurationError(f"node.{name}: there is no such key")
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e12:
            raise ConfigurationError(f"node.{name}: {value!r} is not a number above 0")
        if isinstance(defaults[name], int) and not isinstance(value, int):
            raise ConfigurationError(f"node.{name}: {value!r} is not a whole number")
        if name.endswith("_share") and value >= 1:
            raise ConfigurationError(f"node.{name}: {value!r} is not a share below 1")
    bounds = Bounds(**document)
    total_share = sum(getattr(bounds, name) for name in MEMORY_SHARES)
    if total_share >= 1:
        raise ConfigurationError(
            f"node.held_share: with {', '.join(MEMORY_SHARES[1:])} it is {total_share:g}, and not below 1"
        )
    return bounds


def validate_facts(facts: StartFacts) -> None:
    """Validates what the decisions require; raises `ConfigurationError` naming the key."""
    if not facts.lanes:
        raise ConfigurationError("settings.classes: is missing or empty")
    if not facts.plans:
        raise ConfigurationError("settings.tariffs: is missing or empty")
    for index, lane in enumerate(facts.lanes):
        if min(lane.quoted_time, lane.hard_limit) <= 0:
            raise ConfigurationError(f"settings.classes.{index}: aimS and deadlineS must be above 0")
    for index, plan in enumerate(facts.plans):
        if min(plan.rate, plan.burst, plan.open_limit, plan.ceiling_rate, plan.ceiling_burst) < 0:
            raise ConfigurationError(f"settings.tariffs.{index}: a quota is below 0")
    for key, value, minimum in (
        ("balancers", facts.gateways, 1),
        ("slotNo", facts.number, 0),
        ("limits.maxAttempts", facts.most_executions, 1),
    ):
        if value < minimum:
            raise ConfigurationError(f"settings.{key}: {value!r} is below {minimum}")
    if min(facts.warm_within, facts.tip_window, facts.tip_multiple) <= 0:
        raise ConfigurationError("settings.rules: warmWithinS, fallS and tipMultiple must be above 0")


def parse_deployment(document: object, environment: Mapping[str, str]) -> Deployment:
    """Validates a configuration as parsed from JSON; raises `ConfigurationError`.

    Environment variables are used for the keys that it lacks.
    """
    if not isinstance(document, Mapping):
        raise ConfigurationError("the configuration is not a JSON object")

    def value(key: str, variable: str = "") -> Any:
        setting = document.get(key, environment.get(variable))
        if setting is None:
            raise ConfigurationError(f"{key}: is missing")
        return setting

    def optional(key: str) -> Address | None:
        return parse_address(document[key], key) if document.get(key) is not None else None

    if not isinstance(value("settings"), Mapping):
        raise ConfigurationError("settings: is not an object")
    flat_settings = flatten(document["settings"])
    try:
        facts, names = start_facts(flat_settings), reported_names(flat_settings)
        most_open = integer(flat_settings, "limits.maxOpen", 20000)
        connect_time_out = number(flat_settings, "limits.connectTimeoutS", 0.25)
        idle_close = number(flat_settings, "limits.idleCloseS", 15.0)
    except Malformed as error:
        raise ConfigurationError(f"settings: {error}") from None
    validate_facts(facts)
    try:
        version, _, servers = (
            parse_page(document["known"]) if document.get("known") is not None else (None, True, [])
        )
    except Malformed as error:
        raise ConfigurationError(f"known: {error}") from None
    seed, peers, limits = value("seed"), document.get("peers", []), document.get("limits", {})
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigurationError(f"seed: {seed!r} is not a number in hex digits") from None
    if not isinstance(peers, list):
        raise ConfigurationError("peers: is not a list")
    if not isinstance(limits, Mapping):
        raise ConfigurationError("limits: is not an object")
    sockets, memory = limits.get("sockets", 1024), limits.get("memory_mb", 128)
    bounds = parse_bounds(document.get("node", {}))
    if not isinstance(sockets, int) or sockets < 2 * bounds.kept_back:
        raise ConfigurationError(
            f"limits.sockets: {sockets!r} is not a whole number of {2 * bounds.kept_back} or more"
        )
    if isinstance(memory, bool) or not isinstance(memory, int | float) or not 8 <= memory < 1e9:
        raise ConfigurationError(f"limits.memory_mb: {memory!r} is not a number of 8 or more")
    if facts.may_count and document.get("counter") is None:
        raise ConfigurationError("counter: is missing, but settings.familyInfo.mayCount requires it")
    deployment = Deployment(
        name=str(value("name", "LB_NAME")),
        listen=parse_address(value("listen", "LB_LISTEN"), "listen"),
        discovery=parse_address(value("discovery", "LB_DISCOVERY"), "discovery"),
        counter=optional("counter"),
        peer_listen=optional("peer_listen"),
        peers_all=optional("peers_all"),
        peers=tuple(parse_address(item, f"peers.{index}") for index, item in enumerate(peers)),
        seed=seed,
        sockets=sockets,
        memory=int(memory * (1 << 20)),
        known=tuple(servers),
        known_index=version,
        facts=facts,
        reported={
            name: decision_name for name, decision_name in REPORT_FIELDS.items() if decision_name in names
        },
        most_open=most_open,
        connect_time_out=connect_time_out,
        idle_close=idle_close,
        pushed=flat_settings.get("discovery") == "pushed",
        bounds=bounds,
    )
    if min(deployment.client_descriptors, deployment.server_descriptors) < MIN_DESCRIPTORS:
        raise ConfigurationError(
            f"limits.sockets: {sockets!r} leaves {deployment.client_descriptors} for clients and "
            f"{deployment.server_descriptors} for app servers; each needs at least {MIN_DESCRIPTORS}"
        )
    return deployment


def read_deployment(environment: Mapping[str, str]) -> Deployment:
    """Reads the file named by LB_CONFIG; raises `ConfigurationError`."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG: the variable is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise UnreadableConfiguration(f"LB_CONFIG: {path} can't be read: {error.strerror}") from error
    except ValueError as error:
        raise UnreadableConfiguration(f"LB_CONFIG: {path} is not JSON: {error}") from error
    return parse_deployment(document, environment)
