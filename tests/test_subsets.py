"""Subsets of app servers: the hash, growing and shrinking, schedules with planted mistakes, the wiring."""

from __future__ import annotations

import io
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from pathlib import Path

import anyio
import pytest
from helpers import HI, SERVER, Scene, Standin, gateway, known, listing, said, server, told, until

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
from merlintally.subsets import MISTAKES, USUAL, Descent, Entry, Subset, Terms, levels_of, start_level

FOUND = {  # planted mistakes, with the seed of the first schedule that shows each
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
SMALL = Terms(size=12, whole_up_to=20, least=6, settle_s=4.0, pressed_s=0.5)
NODES = 8  # with SMALL and 60 servers: two subsets a server, of about 15 each


def entries(count: int, zones: int = 3, first: int = 0) -> list[Entry]:
    return [
        Entry(replace(SERVER, server=f"s{at}", zone=f"z{at % zones}"), ("10.0.0.1", at + 1))
        for at in range(first, first + count)
    ]


def names(rows: Sequence[Entry | ListedServer]) -> set[str]:
    return {row.facts.server for row in rows}


def changed(entry: Entry, presence: str) -> Entry:
    return entry._replace(facts=replace(entry.facts, presence=presence))  # type: ignore[arg-type]


def small(count: int = 60, number: int = 0) -> tuple[Subset, list[Entry]]:
    """A node's subset of a list that is too long for it."""
    subset, listed = Subset(number, NODES, SMALL), entries(count)
    subset.listed(0.0, listed, True)
    return subset, listed


def members(subset: Subset) -> set[str]:
    return {entry.facts.server for entry in subset.members()}


# The hash.


@pytest.mark.parametrize("nodes", [2, 3, 20, 37, 64])
def test_each_server_is_in_as_many_subsets_as_any_other_and_levels_are_nested(nodes: int) -> None:
    descents = [Descent(number, nodes) for number in range(nodes)]
    for name in names_of(50):
        joins = [descent.joins_at(name) for descent in descents]
        assert joins == [joined(name, number, nodes) for number in range(nodes)]
        for level in range(levels_of(nodes) + 1):
            assert sum(join <= level for join in joins) == min(nodes, 1 << level)


def test_a_server_has_exactly_one_node_in_each_class() -> None:
    descents, level = [Descent(number, 37) for number in range(37)], 3
    for name in names_of(50):
        found = [number % 8 for number, descent in enumerate(descents) if descent.joins_at(name) <= level]
        assert sorted(found) == list(range(8))


@pytest.mark.parametrize(("nodes", "servers"), [(20, 600), (200, 2000)])
def test_load_is_even_and_changes_move_little(nodes: int, servers: int) -> None:
    """Bounds somewhat above what was measured: docs/subsets.md."""
    listed, pairs = names_of(servers), servers << start_level(nodes, servers, 128)
    before = all_subsets(classes, nodes, listed, 128)
    held = Counter(server for shares in before for server in shares)
    assert set(held.values()) == {1 << start_level(nodes, servers, 128)} and len(held) == servers
    assert spread(loads(before, dict.fromkeys(listed, 1.0))) < 1.2
    assert min(len({int(name[4:]) % 7 for name in shares}) for shares in before) == 7
    assert moved(before, all_subsets(classes, nodes, [*listed, "one-more"], 128)) * pairs == pairs / servers
    assert moved(before, all_subsets(classes, nodes + 1, listed, 128)) < 3 / nodes + 0.06


def test_a_node_that_is_none_of_them_is_refused() -> None:
    with pytest.raises(ValueError, match="node 8 is none of 8"):
        Descent(8, 8)


# Growing and shrinking.


def test_a_list_that_is_short_goes_through_as_it_came() -> None:
    subset, listed = Subset(0, 670, USUAL), entries(USUAL.whole_up_to)
    assert subset.listed(0.0, listed, True) == (listed, True) and subset.whole and not subset.bounded
    change = [changed(listed[0], "draining"), changed(entries(1, first=900)[0], "gone")]
    told_now, complete = subset.listed(1.0, change, False)
    assert told_now is change and not complete and subset.sharing == 670
    assert not any((subset.reported(2.0, "s1", False), subset.pressed(2.0, True), subset.wake(9e9)))


def test_a_short_list_makes_no_difference_to_any_decision() -> None:
    case = Case(4, 40, None, load=0.9, warm_s=0.0, length_s=1.5)
    without, beside = (Play(one).run() for one in (case, replace(case, terms=USUAL)))
    assert without.taken > 300 and replace(without, busy_s=0.0) == replace(beside, busy_s=0.0)


def test_a_list_that_becomes_long_is_left_whole_for_a_while_and_far_too_long_at_once() -> None:
    subset = Subset(0, NODES, SMALL)
    subset.listed(0.0, entries(SMALL.whole_up_to), True)
    subset.listed(1.0, entries(10, first=20), False)
    assert subset.whole and not subset.wake(4.9) and subset.wake(5.0) and not subset.whole
    other = Subset(0, NODES, SMALL)
    other.listed(0.0, entries(SMALL.whole_up_to), True)
    rows, complete = other.listed(1.0, entries(60), True)
    assert complete and names(list(rows)) == members(small()[0])


def test_changes_outside_the_subset_are_told_to_nobody() -> None:
    subset, listed = small()
    inside = members(subset)
    for entry in listed:
        change = changed(entry, "draining")
        assert subset.listed(1.0, [change], False) == (
            ([change], False) if entry.facts.server in inside else ([], False)
        )
        subset.listed(1.0, [entry], False)


def test_servers_that_drain_are_made_up_for_at_once_and_given_back_after_a_while() -> None:
    subset, listed = small()
    inside = members(subset)
    drained = [changed(one, "draining") for one in listed if one.facts.server in inside][SMALL.least :]
    drained += [changed(one, "draining") for one in listed if one.facts.server in inside][:4]
    rows, complete = subset.listed(1.0, drained, False)
    serving = [row for row in rows if row.facts.presence == "on"]
    assert complete and len(serving) >= SMALL.least and members(subset) > inside
    subset.listed(2.0, listed, False)
    assert members(subset) > inside and not subset.wake(5.9)
    assert subset.wake(6.0) and members(subset) == inside


def test_servers_that_do_not_answer_are_made_up_for_until_they_do() -> None:
    subset, _ = small()
    inside = sorted(members(subset))
    lost = inside[SMALL.least - 1 :]
    grown = [subset.reported(1.0, name, False) for name in lost * SMALL.unanswered]
    assert grown.count(True) >= 1 and grown[-1] and members(subset) > set(inside)
    assert not subset.wake(50.0)
    assert not any(subset.reported(60.0, name, True) for name in lost)
    assert subset.wake(64.0) and members(subset) == set(inside)


def test_a_subset_in_one_zone_takes_on_others() -> None:
    subset, listed = small()
    away = [changed(one, "draining") for one in listed if one.facts.zone != "z0"]
    kept = [one for one in away if one.facts.server not in members(subset)]
    subset.listed(1.0, away, False)
    subset.listed(2.0, [changed(one, "on") for one in kept], False)
    serving = [one for one in subset.members() if one.facts.presence == "on"]
    assert len({one.facts.zone for one in serving}) >= 2 and len(serving) >= SMALL.least


def test_all_that_are_alive_are_used_where_they_are_fewer_than_the_least() -> None:
    subset, listed = small()
    subset.listed(1.0, [changed(one, "draining") for one in listed[:-3]], False)
    assert subset.whole and members(subset) == names(listed)


def test_work_that_waits_grows_a_subset_step_by_step_to_a_bound() -> None:
    subset, _ = small()
    sizes = [len(subset.members())]
    for at in range(40):
        if subset.pressed(at * 0.2, True):
            sizes.append(len(subset.members()))
    assert (
        sizes == sorted(set(sizes)) and len(sizes) == 3 and subset.sharing == 2
    )  # the others have not grown
    subset.pressed(10.0, False)
    assert not subset.pressed(13.9, False) and subset.level == 3
    for at in range(10):
        subset.pressed(14.0 + at, False)
        subset.wake(14.0 + at)
    assert len(subset.members()) == sizes[0]


def test_what_is_kept_of_a_server_comes_back_as_it_was_listed() -> None:
    subset, _ = small()
    facts = replace(SERVER, server="x", zone="far", cell=7, started=123.25, size=2.5, machine="big")
    rows = {entry.facts.server: entry for entry in subset.members()}
    for level in range(20):
        entry = Entry(replace(facts, server=f"x{level}"), ("10.1.2.3", 65535))
        subset.listed(1.0, [entry], False)
        rows = {one.facts.server: one for one in subset.members()}
        assert rows.get(f"x{level}", entry) == entry
    assert max(map(len, subset.rows.values())) <= 48


# Schedules.


def test_no_schedule_breaks_what_is_promised() -> None:
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


def test_every_mistake_has_a_schedule() -> None:
    assert set(FOUND) == set(MISTAKES) and len(set(MISTAKES)) == len(MISTAKES)


@pytest.mark.parametrize("mistake", FOUND)
def test_a_planted_mistake_is_found(mistake: str) -> None:
    assert any(play(seed, (mistake,)).broken for seed in range(FOUND[mistake] + 1))


# Room, and the cold.


def test_nothing_is_refused_while_the_fleet_has_room() -> None:
    terms = Terms(size=24, whole_up_to=40, least=12)
    found = Play(Case(10, 100, terms, load=0.7, warm_s=1.0, length_s=1.5)).run()
    assert found.taken > 500 and found.refused <= 0.04 * found.taken and found.largest < 100


def test_a_node_with_most_of_the_work_grows_its_subset_and_refuses_little() -> None:
    terms = Terms(size=24, whole_up_to=40, least=12, pressed_s=0.5)
    case = Case(16, 200, terms, load=0.6, hot_share=1 / 16, hot=20.0, warm_s=4.0, length_s=1.0)
    found, without = (Play(one).run() for one in (case, replace(case, grows=False)))
    assert found.refused <= 0.04 * found.taken < 0.2 * without.taken < without.refused


def test_all_nodes_together_send_a_cold_server_no_more_than_is_stated() -> None:
    """All take on all servers at once, as after the loss of most: each budget is a part of one server's."""
    nodes, answers, warm, fresh = 40, 30.0, entries(200), entries(20, first=200)
    cold = [one._replace(facts=replace(one.facts, started=100.0)) for one in fresh]
    sent, facts = 0, gateway().facts
    for number in range(nodes):
        made, subset = gateway(gateways=nodes), Subset(number, nodes, SMALL)
        made.random.seed(number)
        for now, listed in (
            (99.0, warm),
            (100.0, [*(changed(one, "draining") for one in warm[3:]), *cold[:3]]),
        ):
            rows, complete = subset.listed(now, listed, now == 99.0)
            if subset.sharing != made.gateways_per_server:
                made.share(subset.sharing)
            made.roster(now, [row.facts for row in rows], complete)
        assert subset.whole
        made.roster(100.0, [one.facts for one in cold], complete=False)
        for at in range(10 * int(answers)):
            made.recent_successes.add(90.0 + at / answers, 1.0)
        for one in cold:
            server_there = made.servers[one.facts.server]
            while made._slow_start_allows(100.1, server_there):
                made.slow_start.record_send(one.facts.server, 100.0)
                sent += 1
    able = nodes * answers / (len(warm) + len(cold)) * facts.tip_window  # of one server, within the window
    assert 0.2 < sent / len(cold) / (facts.tip_multiple * facts.cold_share * able) <= 1


# The node.


def keeper_of(terms: Terms | None, count: int, shown: bool = False) -> Dispatcher:
    """A dispatcher that has heard a list; what it would do on sockets is kept from it."""
    deployment = told(subsets=terms)
    facts = replace(deployment.facts, number=3, gateways=NODES)
    made = Dispatcher(replace(deployment, facts=facts), Clock(), Log("n", 9.0))
    made.fleet = FleetStandin()  # type: ignore[assignment]
    made.shown = {} if shown else None
    made.listed([ListedServer(*entry) for entry in entries(count)], True)
    return made


class FleetStandin:
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.told = list[tuple[set[str], bool]]()

    def update_servers(self, rows: Sequence[ListedServer], complete: bool) -> None:
        self.told.append((names(rows), complete))


def test_the_decisions_know_the_subset_alone() -> None:
    made = keeper_of(SMALL, 60)
    assert made.subset is not None
    inside = members(made.subset)
    assert set(made.gateway.servers) == inside == members(small(number=3)[0]) and 6 <= len(inside) < 30
    assert made.gateway.gateways_per_server == 2 and made.gateway.servers[min(inside)].concurrency == 1.5
    assert made.fleet.told == [(inside, True)]  # type: ignore[attr-defined]


def test_off_or_short_the_decisions_know_the_list() -> None:
    for made in (keeper_of(None, 60), keeper_of(USUAL, 60)):
        assert len(made.gateway.servers) == 60 and made.gateway.gateways_per_server == NODES
    strange = told()
    assert subset_of(replace(strange, facts=replace(strange.facts, number=9))) is None


def test_a_machine_that_is_taken_out_is_made_up_for() -> None:
    made = keeper_of(SMALL, 60, shown=True)
    assert made.subset is not None
    inside = members(made.subset)
    made.take_out(frozenset(inside))
    on = {name for name, one in made.gateway.servers.items() if one.presence == "on"}
    assert len(on) >= SMALL.least and not on & inside


def test_a_subset_that_shrinks_leaves_the_others_to_end() -> None:
    made = keeper_of(SMALL, 60)
    assert made.subset is not None
    inside, now = members(made.subset), made.clock.now()
    made.listed(
        [ListedServer(*changed(one, "draining")) for one in entries(60) if one.facts.server in inside], False
    )
    grown = set(made.gateway.servers)
    busy = made.gateway.servers[min(grown - inside)]
    busy.in_flight[1, 0] = (now, next(iter(made.gateway.lanes.values())), 1.0)
    made.listed([ListedServer(*one) for one in entries(60) if one.facts.server in inside], False)
    assert set(made.gateway.servers) == grown
    made.subset._shrinks_at = now
    made._fit_subset()
    assert set(made.gateway.servers) == {*inside, busy.name} and busy.presence == "gone"


class Line:
    """Stands in for a request that waits; the decisions drop it as soon as they look at it."""

    closed = True


def test_work_that_waits_while_servers_answer_easily_grows_the_subset() -> None:
    made = keeper_of(SMALL._replace(pressed_s=1e-9), 60)
    before = len(made.gateway.servers)
    made._fit_subset()
    assert len(made.gateway.servers) == before
    next(iter(made.gateway.queues.values())).append(Line())  # type: ignore[arg-type]
    made._fit_subset()
    made._fit_subset()
    assert len(made.gateway.servers) == before  # places are free: it waits for something else
    made.gateway.in_flight = 1000
    made.gateway.load_ratio = 2.0  # the servers answer slowly: it may be so everywhere
    made._fit_subset()
    made._fit_subset()
    assert len(made.gateway.servers) == before
    made.gateway.load_ratio = 1.0
    made._fit_subset()
    made._fit_subset()
    assert len(made.gateway.servers) > before and made.gateway.gateways_per_server == 2


Act = Callable[[Scene, Dispatcher], Awaitable[None]]


def run_node(
    standins: Sequence[Standin], terms: Terms, nodes: int, asks: int, act_more: Act | None = None
) -> tuple[list[bytes], list[int], list[Dispatcher]]:
    """A node of `nodes` with the stand-ins listed by discovery; how each was heard, and its dispatcher."""
    discovery = Standin(lambda heard: listing(*standins) if len(discovery.heard) == 1 else b"")
    deployment = told(known=known(*standins), discovery=discovery.address, subsets=terms)
    deployment = replace(deployment, facts=replace(deployment.facts, gateways=nodes, number=0))
    heard, dispatchers = list[bytes](), list[Dispatcher]()

    async def part(node: EdgeNode, dispatcher: Dispatcher) -> None:
        dispatchers.append(dispatcher)
        await anyio.sleep_forever()

    async def act() -> None:
        node = EdgeNode(deployment, Log("n", 1000.0, io.StringIO()), [part])
        async with anyio.create_task_group() as group:
            for standin in (*standins, discovery):
                group.start_soon(standin.run)
            await group.start(node.serve)
            await until(lambda: bool(dispatchers))
            for _ in range(asks):
                heard.append(await Scene(node).ask(said()))
            if act_more is not None:
                await act_more(Scene(node), dispatchers[0])
            group.cancel_scope.cancel()

    anyio.run(act)
    for standin in (*standins, discovery):
        standin.sock.close()
    return heard, [len(standin.heard) for standin in standins], dispatchers


def test_a_node_sends_to_its_subset_alone() -> None:
    terms = Terms(size=4, whole_up_to=5, least=2)
    standins = [server() for _ in range(16)]
    heard, sent, (dispatcher,) = run_node(standins, terms, 8, 30)
    inside = {int(name[1:]) for name in dispatcher.gateway.servers}
    assert heard == [HI] * 30 and 2 <= len(inside) < 10
    assert all((at in inside) or not count for at, count in enumerate(sent)) and sum(sent) == 30


def test_a_node_whose_subset_falls_silent_takes_on_others() -> None:
    terms = Terms(size=4, whole_up_to=5, least=2, unanswered=1)
    joins = [Descent(0, 8).joins_at(f"s{at}") for at in range(16)]
    standins = [server(None) if join <= 1 else server() for join in joins]
    heard, sent, (dispatcher,) = run_node(standins, terms, 8, 30)
    assert dispatcher.subset is not None and dispatcher.subset.level > 1
    assert heard.count(HI) >= 20 and any(count for join, count in zip(joins, sent, strict=True) if join > 1)


def test_an_attempt_at_a_server_that_leaves_the_subset_is_answered_and_no_other_begins() -> None:
    terms = Terms(size=4, whole_up_to=5, least=2)
    standins = [server() for _ in range(16)]
    answers = list[bytes]()

    async def act(scene: Scene, dispatcher: Dispatcher) -> None:
        gate = anyio.Event()
        for standin in standins:
            standin.gate = gate
        with await scene.connect() as sock:
            sock.sendall(said())
            await until(lambda: any(standin.heard for standin in standins))
            await dispatcher.post(dispatcher._tell_roster, [], True)
            sock.sendall(said())
            await until(lambda: len(dispatcher.open_requests) == 2)
            gate.set()
            answers.append(await scene.hear(sock, until=1))
            assert sum(len(standin.heard) for standin in standins) == 1 and len(dispatcher.open_requests) == 1

    run_node(standins, terms, 8, 0, act)
    assert answers == [HI]


# The operators' file.


def test_the_operators_file_sets_subsets(tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text("[subsets]\nsize = 64\nleast = 32\n")
    assert read_operators(path).subsets.terms() == Terms(size=64, least=32)
    path.write_text("[subsets]\nenabled = false\n")
    assert read_operators(path).subsets.terms() is None
    path.write_text("")
    assert read_operators(path).subsets.terms() == USUAL
    path.write_text("[subsets]\nsize = 32\nwhole_upto = 9\n")
    with pytest.raises(InputError, match="whole_up_to"):
        read_operators(path)
    path.write_text("[subsets]\nsize = 32\n")
    with pytest.raises(InputError, match="subsets.least: 64 is above size, 32"):
        read_operators(path)
