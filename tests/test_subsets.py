"""Tests the subsets of app servers: hashing, growth and shrinkage, simulated schedules with injected faults,
and their use by a node.
"""

from __future__ import annotations

import io
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from pathlib import Path

import anyio
import pytest
from helpers import (
    HI,
    SERVER,
    Scene,
    Standin,
    gateway,
    known_servers,
    listing,
    make_deployment,
    request_bytes,
    server,
    wait_until,
)

from merlintally.forms import InputError
from merlintally.lab.schedules.subset_options import all_subsets, classes, loads, moved, names_of, spread
from merlintally.lab.schedules.subset_room import Case, Play
from merlintally.lab.schedules.subsets import joined, play
from merlintally.net import EdgeNode
from merlintally.net.configuration import ListedServer
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.roster import subset_of
from merlintally.net.timers import Clock
from merlintally.operators import read_operators
from merlintally.subsets import (
    DEFAULT_SETTINGS,
    INJECTED_FAULTS,
    Descent,
    Entry,
    Subset,
    SubsetSettings,
    start_level,
    top_level,
)

FIRST_FAILING_SEEDS = {  # of the schedules, by injected fault
    "each node has its own hash": 0,
    "shrinks below its least": 1,
    "a drained server is kept": 0,
    "one that left the list is kept": 0,
    "newcomers join twice as many subsets": 0,
    "failing servers count as serving": 1,
    "one zone is enough": 2,
    "a returned zone stays failing": 2,
    "it shrinks at once": 1,
    "it never shrinks": 1,
}
SMALL_SETTINGS = SubsetSettings(size=12, whole_up_to=20, least=6, settle_s=4.0, pressed_s=0.5)
NODES = 8  # with SMALL_SETTINGS and 60 servers: each server is in two subsets of about 15 servers


def entries(count: int, zones: int = 3, first: int = 0) -> list[Entry]:
    return [
        Entry(replace(SERVER, server=f"s{at}", zone=f"z{at % zones}"), ("10.0.0.1", at + 1))
        for at in range(first, first + count)
    ]


def names(rows: Sequence[Entry | ListedServer]) -> set[str]:
    return {row.facts.server for row in rows}


def changed(entry: Entry, presence: str) -> Entry:
    return entry._replace(facts=replace(entry.facts, presence=presence))  # type: ignore[arg-type]


def small_subset(count: int = 60, number: int = 0) -> tuple[Subset, list[Entry]]:
    """Returns the subset of a node, of a list that is too long to be used whole, and the list."""
    subset, listed = Subset(number, NODES, SMALL_SETTINGS), entries(count)
    subset.apply_list(0.0, listed, True)
    return subset, listed


def members(subset: Subset) -> set[str]:
    return {entry.facts.server for entry in subset.members()}


# Hashing.


@pytest.mark.parametrize("nodes", [2, 3, 20, 37, 64])
def test_servers_are_in_equally_many_subsets_and_levels_are_nested(nodes: int) -> None:
    descents = [Descent(number, nodes) for number in range(nodes)]
    for name in names_of(50):
        join_levels = [descent.joins_at(name) for descent in descents]
        assert join_levels == [joined(name, number, nodes) for number in range(nodes)]
        for level in range(top_level(nodes) + 1):
            assert sum(join_level <= level for join_level in join_levels) == min(nodes, 1 << level)


def test_a_server_has_exactly_one_node_in_each_class() -> None:
    descents, level = [Descent(number, 37) for number in range(37)], 3
    for name in names_of(50):
        class_indexes = [
            number % 8 for number, descent in enumerate(descents) if descent.joins_at(name) <= level
        ]
        assert sorted(class_indexes) == list(range(8))


@pytest.mark.parametrize(("nodes", "servers"), [(20, 600), (200, 2000)])
def test_load_is_even_and_changes_move_few_servers(nodes: int, servers: int) -> None:
    listed, pairs = names_of(servers), servers << start_level(nodes, servers, 128)
    before = all_subsets(classes, nodes, listed, 128)
    held = Counter(server for shares in before for server in shares)
    assert set(held.values()) == {1 << start_level(nodes, servers, 128)} and len(held) == servers
    assert spread(loads(before, dict.fromkeys(listed, 1.0))) < 1.2
    assert min(len({int(name[4:]) % 7 for name in shares}) for shares in before) == 7
    assert moved(before, all_subsets(classes, nodes, [*listed, "one-more"], 128)) * pairs == pairs / servers
    assert moved(before, all_subsets(classes, nodes + 1, listed, 128)) < 3 / nodes + 0.06


def test_a_node_number_out_of_range_is_rejected() -> None:
    with pytest.raises(ValueError, match="node number 8 must be at least 0 and less than 8"):
        Descent(8, 8)


# Growth and shrinkage.


def test_a_short_list_is_passed_on_unchanged() -> None:
    subset, listed = Subset(0, 670, DEFAULT_SETTINGS), entries(DEFAULT_SETTINGS.whole_up_to)
    assert subset.apply_list(0.0, listed, True) == (listed, True) and subset.whole and not subset.bounded
    change = [changed(listed[0], "draining"), changed(entries(1, first=900)[0], "gone")]
    updates, complete = subset.apply_list(1.0, change, False)
    assert updates is change and not complete and subset.nodes_per_server == 670
    assert not any(
        (subset.record_attempt(2.0, "s1", False), subset.record_waiting(2.0, True), subset.shrink_if_due(9e9))
    )


def test_a_short_list_changes_no_decision() -> None:
    case = Case(4, 40, None, load=0.9, warm_s=0.0, length_s=1.5)
    without_subset, with_subset = (
        Play(each_case).run() for each_case in (case, replace(case, terms=DEFAULT_SETTINGS))
    )
    assert without_subset.taken > 300 and replace(without_subset, busy_s=0.0) == replace(
        with_subset, busy_s=0.0
    )


def test_a_list_that_becomes_long_shrinks_the_subset_after_settling_or_at_once_if_very_long() -> None:
    subset = Subset(0, NODES, SMALL_SETTINGS)
    subset.apply_list(0.0, entries(SMALL_SETTINGS.whole_up_to), True)
    subset.apply_list(1.0, entries(10, first=20), False)
    assert subset.whole and not subset.shrink_if_due(4.9) and subset.shrink_if_due(5.0) and not subset.whole
    very_long = Subset(0, NODES, SMALL_SETTINGS)
    very_long.apply_list(0.0, entries(SMALL_SETTINGS.whole_up_to), True)
    rows, complete = very_long.apply_list(1.0, entries(60), True)
    assert complete and names(list(rows)) == members(small_subset()[0])


def test_changes_outside_the_subset_are_not_published() -> None:
    subset, listed = small_subset()
    inside = members(subset)
    for entry in listed:
        change = changed(entry, "draining")
        assert subset.apply_list(1.0, [change], False) == (
            ([change], False) if entry.facts.server in inside else ([], False)
        )
        subset.apply_list(1.0, [entry], False)


def test_the_subset_grows_at_once_for_draining_servers_and_shrinks_after_settling() -> None:
    subset, listed = small_subset()
    inside = members(subset)
    drained = [changed(one, "draining") for one in listed if one.facts.server in inside][
        SMALL_SETTINGS.least :
    ]
    drained += [changed(one, "draining") for one in listed if one.facts.server in inside][:4]
    rows, complete = subset.apply_list(1.0, drained, False)
    serving = [row for row in rows if row.facts.presence == "on"]
    assert complete and len(serving) >= SMALL_SETTINGS.least and members(subset) > inside
    subset.apply_list(2.0, listed, False)
    assert members(subset) > inside and not subset.shrink_if_due(5.9)
    assert subset.shrink_if_due(6.0) and members(subset) == inside


def test_the_subset_grows_for_failing_servers_until_they_answer() -> None:
    subset, _ = small_subset()
    inside = sorted(members(subset))
    failing = inside[SMALL_SETTINGS.least - 1 :]
    grown = [subset.record_attempt(1.0, name, False) for name in failing * SMALL_SETTINGS.unanswered]
    assert grown.count(True) >= 1 and grown[-1] and members(subset) > set(inside)
    assert not subset.shrink_if_due(50.0)
    assert not any(subset.record_attempt(60.0, name, True) for name in failing)
    assert subset.shrink_if_due(64.0) and members(subset) == set(inside)


def test_a_subset_with_one_serving_zone_grows_to_a_second() -> None:
    subset, listed = small_subset()
    other_zones = [changed(one, "draining") for one in listed if one.facts.zone != "z0"]
    outside = [one for one in other_zones if one.facts.server not in members(subset)]
    subset.apply_list(1.0, other_zones, False)
    subset.apply_list(2.0, [changed(one, "on") for one in outside], False)
    serving = [one for one in subset.members() if one.facts.presence == "on"]
    assert len({one.facts.zone for one in serving}) >= 2 and len(serving) >= SMALL_SETTINGS.least


def test_the_whole_list_is_used_if_fewer_servers_serve_than_the_minimum() -> None:
    subset, listed = small_subset()
    subset.apply_list(1.0, [changed(one, "draining") for one in listed[:-3]], False)
    assert subset.whole and members(subset) == names(listed)


def test_waiting_requests_grow_the_subset_level_by_level_to_a_limit() -> None:
    subset, _ = small_subset()
    sizes = [len(subset.members())]
    for at in range(40):
        if subset.record_waiting(at * 0.2, True):
            sizes.append(len(subset.members()))
    # Other nodes don't have the levels that this node has added.
    assert sizes == sorted(set(sizes)) and len(sizes) == 3 and subset.nodes_per_server == 2
    subset.record_waiting(10.0, False)
    assert not subset.record_waiting(13.9, False) and subset.level == 3
    for at in range(10):
        subset.record_waiting(14.0 + at, False)
        subset.shrink_if_due(14.0 + at)
    assert len(subset.members()) == sizes[0]


def test_packed_rows_unpack_to_the_listed_entries() -> None:
    subset, _ = small_subset()
    facts = replace(SERVER, server="x", zone="far", cell=7, started=123.25, size=2.5, machine="big")
    rows = {entry.facts.server: entry for entry in subset.members()}
    for level in range(20):
        entry = Entry(replace(facts, server=f"x{level}"), ("10.1.2.3", 65535))
        subset.apply_list(1.0, [entry], False)
        rows = {one.facts.server: one for one in subset.members()}
        assert rows.get(f"x{level}", entry) == entry
    assert max(map(len, subset.rows.values())) <= 48


# Schedules.


def test_no_schedule_breaks_an_invariant() -> None:
    counts = Counter[str]()
    broken = dict[int, list[str]]()
    for seed in range(100):
        verdict = play(seed)
        counts.update(verdict.counts)
        if verdict.broken:
            broken[seed] = verdict.broken
    assert broken == {} and min(counts[what] for what in ("zone lost", "zone silent", "node", "shrunk")) > 20


def test_a_schedule_has_a_thousand_changes() -> None:
    assert play(0).counts["changes"] >= 1000


def test_every_injected_fault_has_a_schedule() -> None:
    assert set(FIRST_FAILING_SEEDS) == set(INJECTED_FAULTS) and len(set(INJECTED_FAULTS)) == len(
        INJECTED_FAULTS
    )


@pytest.mark.parametrize("fault", FIRST_FAILING_SEEDS)
def test_an_injected_fault_is_detected(fault: str) -> None:
    assert any(play(seed, (fault,)).broken for seed in range(FIRST_FAILING_SEEDS[fault] + 1))


# Capacity and slow start.


def test_few_requests_are_refused_while_the_fleet_has_capacity() -> None:
    settings = SubsetSettings(size=24, whole_up_to=40, least=12)
    result = Play(Case(10, 100, settings, load=0.7, warm_s=1.0, length_s=1.5)).run()
    assert result.taken > 500 and result.refused <= 0.04 * result.taken and result.largest < 100


def test_a_node_with_most_of_the_load_grows_its_subset_and_refuses_few_requests() -> None:
    settings = SubsetSettings(size=24, whole_up_to=40, least=12, pressed_s=0.5)
    case = Case(16, 200, settings, load=0.6, hot_share=1 / 16, hot=20.0, warm_s=4.0, length_s=1.0)
    growing, fixed = (Play(each_case).run() for each_case in (case, replace(case, grows=False)))
    assert growing.refused <= 0.04 * growing.taken < 0.2 * fixed.taken < fixed.refused


def test_all_nodes_together_stay_within_the_budget_of_a_cold_server() -> None:
    """All nodes add all servers at once, as after the loss of most: their budgets add up to one server's."""
    nodes, answers_per_s, warm, replacements = 40, 30.0, entries(200), entries(20, first=200)
    cold = [one._replace(facts=replace(one.facts, started=100.0)) for one in replacements]
    sent, facts = 0, gateway().facts
    for number in range(nodes):
        decisions, subset = gateway(gateways=nodes), Subset(number, nodes, SMALL_SETTINGS)
        decisions.random.seed(number)
        for now, listed in (
            (99.0, warm),
            (100.0, [*(changed(one, "draining") for one in warm[3:]), *cold[:3]]),
        ):
            rows, complete = subset.apply_list(now, listed, now == 99.0)
            if subset.nodes_per_server != decisions.gateways_per_server:
                decisions.share(subset.nodes_per_server)
            decisions.roster(now, [row.facts for row in rows], complete)
        assert subset.whole
        decisions.roster(100.0, [one.facts for one in cold], complete=False)
        for at in range(10 * int(answers_per_s)):
            decisions.recent_successes.add(90.0 + at / answers_per_s, 1.0)
        for one in cold:
            server_state = decisions.servers[one.facts.server]
            while decisions._slow_start_allows(100.1, server_state):
                decisions.slow_start.record_send(one.facts.server, 100.0)
                sent += 1
    capacity = nodes * answers_per_s / (len(warm) + len(cold)) * facts.tip_window  # of one server
    assert 0.2 < sent / len(cold) / (facts.tip_multiple * facts.cold_share * capacity) <= 1


# Use by a node.


def dispatcher_with_list(settings: SubsetSettings | None, count: int, keep_list: bool = False) -> Dispatcher:
    """Returns a dispatcher, without connections, that has received a list of `count` servers."""
    deployment = make_deployment(subsets=settings)
    facts = replace(deployment.facts, number=3, gateways=NODES)
    dispatcher = Dispatcher(replace(deployment, facts=facts), Clock(), Log("n", 9.0))
    dispatcher.fleet = RecordingFleet()  # type: ignore[assignment]
    dispatcher.listed_servers = {} if keep_list else None
    dispatcher.listed([ListedServer(*entry) for entry in entries(count)], True)
    return dispatcher


class RecordingFleet:
    """Records the updates that it receives."""

    def __init__(self) -> None:
        self.updates = list[tuple[set[str], bool]]()

    def update_servers(self, rows: Sequence[ListedServer], complete: bool) -> None:
        self.updates.append((names(rows), complete))


def test_the_decisions_receive_only_the_subset() -> None:
    dispatcher = dispatcher_with_list(SMALL_SETTINGS, 60)
    assert dispatcher.subset is not None
    inside = members(dispatcher.subset)
    assert (
        set(dispatcher.gateway.servers) == inside == members(small_subset(number=3)[0])
        and 6 <= len(inside) < 30
    )
    assert (
        dispatcher.gateway.gateways_per_server == 2
        and dispatcher.gateway.servers[min(inside)].concurrency == 1.5
    )
    assert dispatcher.fleet.updates == [(inside, True)]  # type: ignore[attr-defined]


def test_the_decisions_receive_the_whole_list_if_subsets_are_off_or_it_is_short() -> None:
    for dispatcher in (dispatcher_with_list(None, 60), dispatcher_with_list(DEFAULT_SETTINGS, 60)):
        assert len(dispatcher.gateway.servers) == 60 and dispatcher.gateway.gateways_per_server == NODES
    unnumbered = make_deployment()
    assert subset_of(replace(unnumbered, facts=replace(unnumbered.facts, number=9))) is None


def test_the_subset_grows_for_a_machine_taken_out_of_service() -> None:
    dispatcher = dispatcher_with_list(SMALL_SETTINGS, 60, keep_list=True)
    assert dispatcher.subset is not None
    inside = members(dispatcher.subset)
    dispatcher.set_servers_in_maintenance(frozenset(inside))
    on = {name for name, one in dispatcher.gateway.servers.items() if one.presence == "on"}
    assert len(on) >= SMALL_SETTINGS.least and not on & inside


def test_attempts_in_flight_continue_at_servers_that_leave_the_subset() -> None:
    dispatcher = dispatcher_with_list(SMALL_SETTINGS, 60)
    assert dispatcher.subset is not None
    inside, now = members(dispatcher.subset), dispatcher.clock.now()
    dispatcher.listed(
        [ListedServer(*changed(one, "draining")) for one in entries(60) if one.facts.server in inside], False
    )
    grown = set(dispatcher.gateway.servers)
    busy = dispatcher.gateway.servers[min(grown - inside)]
    busy.in_flight[1, 0] = (now, next(iter(dispatcher.gateway.lanes.values())), 1.0)
    dispatcher.listed([ListedServer(*one) for one in entries(60) if one.facts.server in inside], False)
    assert set(dispatcher.gateway.servers) == grown
    dispatcher.subset._shrinks_at = now
    dispatcher._resize_subset()
    assert set(dispatcher.gateway.servers) == {*inside, busy.name} and busy.presence == "gone"


class WaitingRequest:
    """Stands in for a waiting request; its client has closed, so the decisions drop it."""

    closed = True


def test_requests_that_wait_while_servers_are_not_saturated_grow_the_subset() -> None:
    dispatcher = dispatcher_with_list(SMALL_SETTINGS._replace(pressed_s=1e-9), 60)
    before = len(dispatcher.gateway.servers)
    dispatcher._resize_subset()
    assert len(dispatcher.gateway.servers) == before
    next(iter(dispatcher.gateway.queues.values())).append(WaitingRequest())  # type: ignore[arg-type]
    dispatcher._resize_subset()
    dispatcher._resize_subset()
    assert len(dispatcher.gateway.servers) == before  # capacity is free: the request waits for another reason
    dispatcher.gateway.in_flight = 1000
    dispatcher.gateway.load_ratio = 2.0  # the servers are saturated, and others may be, too
    dispatcher._resize_subset()
    dispatcher._resize_subset()
    assert len(dispatcher.gateway.servers) == before
    dispatcher.gateway.load_ratio = 1.0
    dispatcher._resize_subset()
    dispatcher._resize_subset()
    assert len(dispatcher.gateway.servers) > before and dispatcher.gateway.gateways_per_server == 2


WhileRunning = Callable[[Scene, Dispatcher], Awaitable[None]]


def run_subset_node(
    standins: Sequence[Standin],
    settings: SubsetSettings,
    nodes: int,
    requests: int,
    while_running: WhileRunning | None = None,
) -> tuple[list[bytes], list[int], list[Dispatcher]]:
    """Runs a node, one of `nodes`, whose discovery lists the stand-ins, and sends it `requests` requests.

    Returns its answers, the count of requests that each stand-in received, and its dispatcher.
    """
    discovery = Standin(lambda request: listing(*standins) if len(discovery.received) == 1 else b"")
    deployment = make_deployment(
        known=known_servers(*standins), discovery=discovery.address, subsets=settings
    )
    deployment = replace(deployment, facts=replace(deployment.facts, gateways=nodes, number=0))
    answers, dispatchers = list[bytes](), list[Dispatcher]()

    async def record_dispatcher(node: EdgeNode, dispatcher: Dispatcher) -> None:
        dispatchers.append(dispatcher)
        await anyio.sleep_forever()

    async def run_scene() -> None:
        node = EdgeNode(deployment, Log("n", 1000.0, io.StringIO()), [record_dispatcher])
        async with anyio.create_task_group() as group:
            for standin in (*standins, discovery):
                group.start_soon(standin.run)
            await group.start(node.serve)
            await wait_until(lambda: bool(dispatchers))
            for _ in range(requests):
                answers.append(await Scene(node).ask(request_bytes()))
            if while_running is not None:
                await while_running(Scene(node), dispatchers[0])
            group.cancel_scope.cancel()

    anyio.run(run_scene)
    for standin in (*standins, discovery):
        standin.sock.close()
    return answers, [len(standin.received) for standin in standins], dispatchers


def test_a_node_sends_only_to_its_subset() -> None:
    settings = SubsetSettings(size=4, whole_up_to=5, least=2)
    standins = [server() for _ in range(16)]
    answers, requests_by_server, (dispatcher,) = run_subset_node(standins, settings, 8, 30)
    inside = {int(name[1:]) for name in dispatcher.gateway.servers}
    assert answers == [HI] * 30 and 2 <= len(inside) < 10
    assert (
        all((at in inside) or not count for at, count in enumerate(requests_by_server))
        and sum(requests_by_server) == 30
    )


def test_a_node_grows_its_subset_if_its_servers_do_not_answer() -> None:
    settings = SubsetSettings(size=4, whole_up_to=5, least=2, unanswered=1)
    joins = [Descent(0, 8).joins_at(f"s{at}") for at in range(16)]
    standins = [server(None) if join <= 1 else server() for join in joins]
    answers, requests_by_server, (dispatcher,) = run_subset_node(standins, settings, 8, 30)
    assert dispatcher.subset is not None and dispatcher.subset.level > 1
    assert answers.count(HI) >= 20 and any(
        count for join, count in zip(joins, requests_by_server, strict=True) if join > 1
    )


def test_an_attempt_at_a_server_that_leaves_the_subset_is_answered_and_no_other_starts() -> None:
    settings = SubsetSettings(size=4, whole_up_to=5, least=2)
    standins = [server() for _ in range(16)]
    answers = list[bytes]()

    async def remove_all_servers(scene: Scene, dispatcher: Dispatcher) -> None:
        gate = anyio.Event()
        for standin in standins:
            standin.gate = gate
        with await scene.connect() as sock:
            sock.sendall(request_bytes())
            await wait_until(lambda: any(standin.received for standin in standins))
            await dispatcher.enqueue(dispatcher._apply_roster, [], True)
            sock.sendall(request_bytes())
            await wait_until(lambda: len(dispatcher.open_requests) == 2)
            gate.set()
            answers.append(await scene.receive(sock, until=1))
            assert (
                sum(len(standin.received) for standin in standins) == 1 and len(dispatcher.open_requests) == 1
            )

    run_subset_node(standins, settings, 8, 0, remove_all_servers)
    assert answers == [HI]


# The operators' file.


def test_the_operators_file_sets_subsets(tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text("[subsets]\nsize = 64\nleast = 32\n")
    assert read_operators(path).subsets.terms() == SubsetSettings(size=64, least=32)
    path.write_text("[subsets]\nenabled = false\n")
    assert read_operators(path).subsets.terms() is None
    path.write_text("")
    assert read_operators(path).subsets.terms() == DEFAULT_SETTINGS
    path.write_text("[subsets]\nsize = 32\nwhole_upto = 9\n")
    with pytest.raises(InputError, match="whole_up_to"):
        read_operators(path)
    path.write_text("[subsets]\nsize = 32\n")
    with pytest.raises(InputError, match="subsets.least: 64 is above size, 32"):
        read_operators(path)
