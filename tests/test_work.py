"""Machine maintenance: selection of the next machine, void entries, permissions of nodes, and schedules."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest

from merlintally.cluster.agreement import Config, PersistentState
from merlintally.cluster.core import Cluster, ClusterSettings, NodeIdentity
from merlintally.cluster.work import (
    Coordinator,
    FleetView,
    Machine,
    MaintenanceTiming,
    Report,
    Work,
    next_turn,
)
from merlintally.cluster.work.edge import EdgePermissions
from merlintally.cluster.work.state import decode_work, entry
from merlintally.lab.schedules.work import play

BUDGET = ["2", "1", "2"]


def test_no_schedule_breaks_an_invariant() -> None:
    # Regressions: 3095, an execution from the last moment of a lease still ran when the machine was out;
    # 4214, a voter was admitted while its machine and another were called; 20369, a voter that had lost its
    # log and the leader refused each other for good.
    seeds = (*range(30), 3095, 4214, 20369)
    broken = {seed: verdict.broken for seed in seeds if (verdict := play(seed)).broken}
    assert broken == {}


def test_without_counting_voters_a_schedule_loses_the_majority() -> None:
    assert "no majority of voters" in play(4214, ("voters are not counted",)).broken[0]


def machines(count: int = 6, **more: Any) -> list[dict[str, Any]]:
    return [
        {
            "name": f"m{at}",
            "pool": f"p{at % 2}",
            "zone": f"z{at % 3}",
            "edges": [f"n{at}"],
            "servers": [f"s{at}"],
            **more,
        }
        for at in range(count)
    ]


def state_after(*commands: tuple[Any, ...], count: int = 6, **more: Any) -> Work:
    """The state after a list of machines, a request for all of them and `commands`, none of which is void."""
    work = Work()
    first = [
        ("machines", "ann", machines(count, **more)),
        ("request", "r1", "ann", "kernel", [f"m{at}" for at in range(count)], BUDGET, 0.0),
    ]
    for index, (verb, *args) in enumerate([*first, *commands], 1):
        assert work.apply(index, entry(f"e{index}", verb, *args))[1] == "", (verb, args)
    return work


def void(work: Work, verb: str, *args: Any) -> str:
    """Why an entry is void; it must not have changed machines, turns or their number."""
    before = (work.machines, dict(work.turns), work.number)
    why = work.apply(work.index + 1, entry(f"x{work.index}", verb, *args))[1]
    assert why and (work.machines, work.turns, work.number) == before
    return why


def test_a_repeated_entry_counts_once_and_gives_the_same_result() -> None:
    work = state_after()
    permissions = entry("once", "call", 1, "m0", "r1")
    assert [work.apply(at, permissions)[1] for at in (3, 4, 5)] == ["", "", ""] and work.number == 1


def test_a_late_entry_of_an_earlier_turn_is_void() -> None:
    work = state_after(("call", 1, "m0", "r1"), ("grant", 1, "m0"), ("cancel", "r1", "ann"))
    assert void(work, "out", 1, "m0") == "m0: turn 1 is over, or was never called"
    again = ("pause", "r1", "ann"), ("resume", "r1", "ann"), ("call", 2, "m0", "r1")
    work = state_after(("call", 1, "m0", "r1"), *again)
    assert void(work, "grant", 1, "m0").startswith("m0: turn 1 is over")


@pytest.mark.parametrize(
    ("verb", "args", "why"),
    [
        ("request", ("r2", "bo", "disk", ["m9"], BUDGET, 0.0), "m9: there is no such machine"),
        ("request", ("r2", "bo", "disk", [], BUDGET, 0.0), "no machine is named"),
        ("request", ("r2", "bo", "disk", ["m0"], BUDGET, 0.0), "m0: request r1 of ann asks for work on it"),
        ("call", (5, "m0", "r1"), "m0: turn 5 does not follow 0"),
        ("call", (1, "m0", "r7"), "r7: there is no such request"),
        ("done", ("m0", "bo"), "m0: is not out"),
        ("abandon", ("m0", "bo", "why"), "m0: has no turn"),
        ("machines", ("bo", [*machines(2), *machines(1)]), "m0: stands in the list twice"),
        (
            "machines",
            ("bo", [*machines(1), {"name": "x", "pool": "p", "zone": "z", "edges": ["n0"]}]),
            "x: edge n0 is on m0 already",
        ),
        ("nothing", (), "an entry that can't be read is void: KeyError('nothing')"),
        ("request", (3,), "an entry that can't be read is void"),
    ],
)
def test_an_invalid_entry_is_void_with_the_reason(verb: str, args: tuple[Any, ...], why: str) -> None:
    assert void(state_after(), verb, *args).startswith(why)


def test_a_budget_that_can_never_be_met_is_refused() -> None:
    work = state_after(("cancel", "r1", "ann"))
    assert (
        void(work, "request", "r2", "bo", "disk", ["m0"], ["10%", "1", "1"], 0.0)
        == "m0: the budget can never be met: total 10% of 6 is less than one machine"
    )
    why = void(work, "request", "r2", "bo", "x", ["m0"], ["0", "1", "1"], 0.0)
    assert "neither a number nor a share" in why


def test_budgets_are_checked_when_an_entry_is_applied() -> None:
    work = state_after(("call", 1, "m0", "r1"))
    assert void(work, "call", 2, "m2", "r1") == "m2: in pool p0 1 out of at most 1 (m0)"
    assert void(work, "call", 2, "m1", "r1") == "m1: work is in zone z0, and never in two at once"
    assert work.apply(9, entry("n", "call", 2, "m3", "r1"))[1] == ""  # same zone, other pool


def test_lost_machines_count_against_the_budget() -> None:
    choice = next_turn(state_after(), FleetView(lost=frozenset({"m4"})))
    assert choice.machine == "m4"  # out already: taking it out loses no further capacity
    work = state_after(("call", 1, "m4", "r1"))
    choice = next_turn(work, FleetView(lost=frozenset({"m5"})))
    assert choice.machine == "" and choice.reasons["m1"] == "in all 2 out of at most 2 (m4, m5)"


def test_a_majority_of_voters_is_left_and_the_leader_goes_last() -> None:
    voters = frozenset({"n0", "n3", "n5"})
    assert next_turn(state_after(), FleetView(voters=voters, leader="n0")).machine == "m1"
    work = state_after(("call", 1, "m3", "r1"))
    assert next_turn(work, FleetView(voters=voters)).reasons["m0"] == "only 1 of 3 voters would be left"


def test_voters_are_counted_when_an_entry_is_applied() -> None:
    work = state_after(("call", 1, "m0", "r1"))
    work.voters = ("n0", "n3", "n5")
    assert void(work, "call", 2, "m3", "r1") == "m3: only 1 of 3 voters would be left"
    work.voters = ("n3", "n4", "n5")
    assert work.apply(9, entry("n", "call", 2, "m3", "r1"))[1] == ""
    work.voters = ("n0", "n3", "n4", "n5")  # with n0 as a voter only one of the two can be out
    assert work.apply(10, entry("g", "grant", 1, "m0"))[1] == ""
    assert void(work, "grant", 2, "m3") == "m3: only 2 of 4 voters would be left"


def test_a_voter_lost_since_the_call_delays_the_grant() -> None:
    work = state_after(("call", 1, "m0", "r1"))
    view = FleetView(voters=frozenset({"n0", "n3", "n5"}), without_log=frozenset({"n3"}))
    leader = coordinator_of(work, *ALL)
    assert ("grant", 1, "m0") not in leader.step(101.0, work, view)[0]
    assert leader.waits["m0"] == "only 1 of 3 voters would be left"
    assert ("grant", 1, "m0") in leader.step(101.0, work, FleetView(voters=view.voters))[0]


def test_voters_do_not_change_if_too_few_would_be_left_beside_the_machines_that_are_out() -> None:
    core = led_by_a(("a", "b", "c"))
    core.work = state_after(("call", 1, "m0", "r1"), ("grant", 1, "m0"))
    core.work.machines["m0"] = msgspec.structs.replace(core.work.machines["m0"], edges=("b",))
    core.work.index = core.raft.log.last_index
    assert not core._propose_config(Config(("a", "b")))  # b is out
    core.work.turns["m0"].state = "called"  # not granted yet, so it can wait
    core.work.index -= 1
    assert not core._propose_config(Config(("a", "b")))  # an entry that is not applied yet may be a call
    core.work.index += 1
    assert core._propose_config(Config(("a", "b")))


def test_a_pool_keeps_the_capacity_that_its_traffic_needs() -> None:
    work = state_after(count=6, bears=10.0)
    assert next_turn(work, FleetView(rates={"p0": 15.0, "p1": 5.0})).machine == "m0"
    choice = next_turn(work, FleetView(rates={"p0": 17.0, "p1": 17.0}))
    assert (
        choice.machine == ""
        and choice.reasons["m0"] == "pool p0 runs 17 executions/s; machines left can serve 20"
    )


def test_a_paused_request_keeps_its_machines_out_and_gives_the_reason() -> None:
    work = state_after(("call", 1, "m0", "r1"), ("grant", 1, "m0"), ("out", 1, "m0"), ("pause", "r1", "ann"))
    assert work.turns["m0"].state == "out" and next_turn(work, FleetView()).reasons["m3"] == "r1 is paused"
    assert work.apply(9, entry("d", "done", "m0", "ann"))[1] == ""


def test_a_request_completed_while_paused_is_finished_on_resume() -> None:
    work = state_after(
        ("call", 1, "m0", "r1"),
        ("grant", 1, "m0"),
        ("out", 1, "m0"),
        ("done", "m0", "ann"),
        ("pause", "r1", "ann"),
        ("back", 1, "m0"),
        count=1,
    )
    assert work.requests["r1"].state == "paused"
    work.apply(9, entry("r", "resume", "r1", "ann"))
    assert work.requests["r1"].state == "finished"


# What the leader waits for before each step of a turn.


def coordinator_of(work: Work, *reporting: str, **reports: Report) -> Coordinator:
    leader = Coordinator("n5", MaintenanceTiming(3.0, 0.5, 0.02, 10.0, longest_s=1.0), 100.0)
    for node in reporting:
        leader.renewed(100.0, node, reports.get(node, Report(1, work.index)))
    return leader


ALL = tuple(f"n{at}" for at in range(6))


def test_no_grant_before_every_live_node_has_applied_the_call() -> None:
    work = state_after(("call", 1, "m0", "r1"))
    leader = coordinator_of(work, *ALL[:4], "n5")
    assert ("grant", 1, "m0") not in leader.step(101.0, work, FleetView())[0]
    assert leader.waits["m0"] == "n4 has not applied the call"
    # An expired lease alone is not enough.
    assert ("grant", 1, "m0") not in leader.step(999.0, work, FleetView())[0]
    work.apply(9, entry("g", "gone", "n4", 1, "ann", "it burnt"))
    assert ("grant", 1, "m0") in leader.step(101.0, work, FleetView())[0]


def test_out_only_once_the_machine_is_drained_or_all_leases_have_expired() -> None:
    work = state_after(("call", 1, "m0", "r1"), ("grant", 1, "m0"))
    leader = coordinator_of(
        work, *ALL, n0=Report(1, 4, idle=False), n1=Report(1, 4, busy=(1,)), n2=Report(1, 3)
    )
    reasons = []
    for node in ("n0", "n1", "n2"):
        assert ("out", 1, "m0") not in leader.step(101.0, work, FleetView())[0]
        reasons.append(leader.waits["m0"])
        leader.renewed(101.0, node, Report(1, 4, idle=True))
    assert reasons == [
        "n0 has not answered all that it accepted",
        "n1 still waits for answers from the machine",
        "n2 has not applied the grant",
    ]
    assert ("out", 1, "m0") in leader.step(101.0, work, FleetView())[0]
    silent = coordinator_of(work, "n0", n0=Report(1, 4, idle=True))  # a new leader without other reports
    assert ("out", 1, "m0") not in silent.step(104.1, work, FleetView())[0]
    assert ("out", 1, "m0") in silent.step(104.2, work, FleetView())[0]


def test_a_node_whose_own_machine_is_out_delays_no_other_turn() -> None:
    """Otherwise other turns would wait until the machine is switched on again."""
    work = state_after(("call", 1, "m0", "r1"), ("grant", 1, "m0"), ("out", 1, "m0"), ("call", 2, "m3", "r1"))
    leader = coordinator_of(work, *ALL[1:])
    assert ("grant", 2, "m3") in leader.step(101.0, work, FleetView())[0]
    work.apply(9, entry("d", "done", "m0", "ann"))
    assert ("grant", 2, "m3") not in leader.step(101.0, work, FleetView())[0]
    assert leader.waits["m3"] == "n0 has not applied the call"


def test_leadership_is_transferred_before_the_turn_of_the_leader() -> None:
    work = state_after(("call", 1, "m5", "r1"))
    entries, transfer = coordinator_of(work, *ALL).step(101.0, work, FleetView())
    assert transfer and ("grant", 1, "m5") not in entries


def test_a_machine_is_back_once_its_node_reports_and_its_servers_are_listed_and_warm() -> None:
    work = state_after(("call", 1, "m0", "r1"), ("grant", 1, "m0"), ("out", 1, "m0"), ("done", "m0", "ann"))
    leader = coordinator_of(
        work, *ALL, n0=Report(2, 2), **{name: Report(1, 6, off=("s0",)) for name in ALL[1:5]}
    )
    reasons = []
    for report in (Report(2, 6), Report(2, 6)):
        leader.step(100.5, work, FleetView())
        reasons.append(leader.waits["m0"])
        leader.renewed(100.5, "n0", report)
    for name in ALL:
        leader.renewed(101.0, name, Report(2, 6))
    leader.step(101.0, work, FleetView())
    reasons.append(leader.waits["m0"])
    assert reasons == ["n0 has not caught up", "s0 is not listed by a majority", "warm in 10 s"]
    for name in ALL:
        leader.renewed(111.0, name, Report(2, 6))
    assert ("back", 1, "m0") in leader.step(111.1, work, FleetView())[0]


@pytest.mark.parametrize(("late_s", "taken"), [(2.9, True), (3.1, False)])
def test_a_late_answer_is_not_passed_on(late_s: float, taken: bool) -> None:
    core = Cluster(
        NodeIdentity("a", "a:1", 1),
        ClusterSettings(("b",), {"b": "b:1"}),
        PersistentState(),
        Random(1),
        100.0,
    )
    core.leader_hint = "b"
    core.request(100.0, "q", "turn", ["m0"])
    assert ("b", "w.ask", ("q", "turn", ["m0"])) in core.take_results().sends
    core.receive(100.0 + late_s, "b", "w.answer", ("q", True, "out"))
    ((id_, ok, text),) = core.take_results().answers
    assert (id_, ok) == ("q", taken) and ("ask again" in text) is not taken


def led_by_a(voters: tuple[str, ...]) -> Cluster:
    """The core of node `a` after `b` has elected it."""
    core = Cluster(
        NodeIdentity("a", "a:1", 1), ClusterSettings(voters, {}), PersistentState(), Random(1), 100.0
    )
    core.wake(102.0)  # starts a pre-vote; b grants it and then the vote
    core.take_results()
    core.receive(102.0, "b", "r.voted", (0, True, True, 1))
    core.synced(102.0, core.take_results().number)
    core.receive(102.0, "b", "r.voted", (1, False, True, 1))
    core.synced(102.0, core.take_results().number)
    core.receive(102.0, "b", "r.took", (1, True, 1, 0))
    assert core.leads
    return core


@pytest.mark.parametrize("injected", [False, True])
def test_injected_faults_that_schedules_seldom_show(injected: bool) -> None:
    def faults(name: str) -> frozenset[str]:
        return frozenset({name} if injected else ())

    work = state_after(("call", 1, "m0", "r1"), ("pause", "r1", "ann"), ("resume", "r1", "ann"))
    work.apply(6, entry("again", "call", 2, "m0", "r1"))
    old = work.apply(7, entry("late", "grant", 1, "m0"), faults("old grant accepted"))[1]
    assert (old == "") is injected
    permissions = EdgePermissions(
        "n1", 1, state_after(("call", 1, "m0", "r1")), faults("the lease is counted from its receipt")
    )
    permissions.renewed(100.0, permissions.work.index, 105.0)
    assert permissions.may_send("s0", 104.0, 3.0) is injected
    core = led_by_a(("a", "b", "c"))
    core.injected_faults = faults("an old leader's word renews")
    core.receive(102.2, "c", "w.renew", (102.1, Report(1, 0), False))
    core.wake(102.3)  # no node has confirmed its leadership since
    permissions_sent = [call for to, call, _ in core.take_results().sends if to == "c" and call == "w.right"]
    assert bool(permissions_sent) is injected


def test_a_turn_is_looked_up_by_a_leader_that_a_majority_has_confirmed() -> None:
    """Otherwise operators could start work on a machine by the answer of a deposed leader."""
    core = led_by_a(("a", "b", "c"))
    core.request(102.0, "q2", "turn", ["m0"])
    assert core.take_results().answers == []  # not before the round is confirmed
    core.receive(102.0, "b", "r.took", (1, True, 1, core.raft.heartbeat_round))
    ((id_, ok, text),) = core.take_results().answers
    assert (id_, ok) == ("q2", True) and '"known": false' in text
    core.request(102.0, "q3", "turn", ["m0"])
    core.wake(110.0)  # no answer since
    assert [(id_, ok) for id_, ok, _ in core.take_results().answers] == [("q3", False)]


# Permissions of a node.


def edge(work: Work, name: str = "n1", at: float = 100.0) -> EdgePermissions:
    found = EdgePermissions(name, 1, work)
    found.renewed(at, work.index, at)
    return found


def test_a_node_resuming_after_its_lease_does_not_send_to_a_called_machine() -> None:
    permissions = edge(state_after(("call", 1, "m0", "r1")))
    assert permissions.may_send("s0", 102.9, 3.0) and not permissions.may_send("s0", 103.0, 3.0)
    # Other machines are still served.
    assert permissions.may_send("s1", 999.0, 3.0) and permissions.may_take(999.0)


def test_a_lease_counts_from_when_the_renewal_was_sent_and_never_shrinks() -> None:
    permissions = edge(state_after(("call", 1, "m0", "r1")))
    permissions.renewed(90.0, 3, 110.0)  # a delayed answer
    assert permissions.leased_from == 100.0


def test_during_a_turn_the_node_accepts_nothing_and_others_do_not_send_to_the_machine() -> None:
    work = state_after(("call", 1, "m0", "r1"), ("grant", 1, "m0"))
    assert not edge(work, "n0").may_take(100.0, 3.0)
    assert not edge(work).may_send("s0", 100.0, 3.0) and edge(work).out() == {"s0"}


def test_a_restarted_node_accepts_nothing_until_it_has_caught_up() -> None:
    permissions = EdgePermissions("n1", 2, Work())
    assert not permissions.may_take(100.0) and not permissions.may_send("s0", 100.0, 3.0)
    permissions.renewed(100.0, 7, 100.0)
    assert not permissions.may_take(100.0)  # not all entries are applied
    assert not edge(state_after(("gone", "n1", 1, "ann", "it burnt"))).may_take(100.0)
    assert not edge(state_after(), "stranger").may_take(100.0)


def test_a_node_without_a_lease_sends_to_the_refuge_only() -> None:
    work = Work()
    rows = [row | {"refuge": row["name"] == "m0"} for row in machines(3)]
    assert work.apply(1, entry("a", "machines", "ann", rows))[1] == ""
    permissions = edge(work)
    assert permissions.may_send("s2", 102.0, 3.0)
    assert permissions.may_send("s0", 104.0, 3.0) and not permissions.may_send("s2", 104.0, 3.0)


def test_the_state_survives_encoding_and_decoding() -> None:
    work = state_after(("call", 1, "m0", "r1"), ("grant", 1, "m0"))
    assert decode_work(work.encode()) == work
    assert Machine("m", "p", "z").bears == 0.0
