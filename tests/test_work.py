"""The order of work: who is next, what is void, what a node may do, and schedules of whole clusters."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest

from merlintally.cluster.agreement import Config, Kept
from merlintally.cluster.core import Cluster, Me, Plan
from merlintally.cluster.work import Coordinator, Machine, Report, Seen, Terms, Work, next_turn
from merlintally.cluster.work.edge import Edge
from merlintally.cluster.work.state import entry, work_of
from merlintally.lab.schedules.work import play

BUDGET = ["2", "1", "2"]


def test_no_schedule_breaks_what_is_promised() -> None:
    # 3095: what was sent in a right's last moment still ran when it was out. 4214: a voter was let in while
    # its machine and another were called. 20369: one without its log and its leader said no to each other for
    # good
    seeds = (*range(30), 3095, 4214, 20369)
    broken = {seed: verdict.broken for seed in seeds if (verdict := play(seed)).broken}
    assert broken == {}


def test_a_schedule_in_which_voters_are_not_counted_takes_out_half_of_them() -> None:
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


def agreed(*words: tuple[Any, ...], count: int = 6, **more: Any) -> Work:
    """What is agreed after a list of machines, a request for all, and then `words`; each has to be taken."""
    work = Work()
    first = [
        ("machines", "ann", machines(count, **more)),
        ("request", "r1", "ann", "kernel", [f"m{at}" for at in range(count)], BUDGET, 0.0),
    ]
    for index, (verb, *args) in enumerate([*first, *words], 1):
        assert work.take(index, entry(f"e{index}", verb, *args))[1] == "", (verb, args)
    return work


def void(work: Work, verb: str, *args: Any) -> str:
    """Why an entry is void; it must have changed nothing but what is remembered of it."""
    before = (work.machines, dict(work.turns), work.number)
    why = work.take(work.index + 1, entry(f"x{work.index}", verb, *args))[1]
    assert why and (work.machines, work.turns, work.number) == before
    return why


def test_the_same_entry_counts_once_and_gives_the_same_answer() -> None:
    work = agreed()
    one = entry("once", "call", 1, "m0", "r1")
    assert [work.take(at, one)[1] for at in (3, 4, 5)] == ["", "", ""] and work.number == 1


def test_an_old_grant_that_arrives_late_is_void() -> None:
    work = agreed(("call", 1, "m0", "r1"), ("grant", 1, "m0"), ("cancel", "r1", "ann"))
    assert void(work, "out", 1, "m0") == "m0: turn 1 is over, or was never called"
    again = ("pause", "r1", "ann"), ("resume", "r1", "ann"), ("call", 2, "m0", "r1")
    work = agreed(("call", 1, "m0", "r1"), *again)
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
def test_bad_words_are_void_and_say_why(verb: str, args: tuple[Any, ...], why: str) -> None:
    assert void(agreed(), verb, *args).startswith(why)


def test_a_budget_that_can_never_be_met_is_refused() -> None:
    work = agreed(("cancel", "r1", "ann"))
    assert (
        void(work, "request", "r2", "bo", "disk", ["m0"], ["10%", "1", "1"], 0.0)
        == "m0: the budget can never be met: total 10% of 6 is less than one machine"
    )
    why = void(work, "request", "r2", "bo", "x", ["m0"], ["0", "1", "1"], 0.0)
    assert "neither a number nor a share" in why


def test_the_budget_is_looked_at_where_an_entry_is_applied() -> None:
    work = agreed(("call", 1, "m0", "r1"))
    assert void(work, "call", 2, "m2", "r1") == "m2: in pool p0 1 out of at most 1 (m0)"
    assert void(work, "call", 2, "m1", "r1") == "m1: work is in zone z0, and never in two at once"
    assert work.take(9, entry("n", "call", 2, "m3", "r1"))[1] == ""  # the same zone, the other pool


def test_what_is_already_lost_counts_against_the_budget() -> None:
    choice = next_turn(agreed(), Seen(lost=frozenset({"m4"})))
    assert choice.machine == "m4"  # it is out anyway: taking it out loses nothing more
    work = agreed(("call", 1, "m4", "r1"))
    choice = next_turn(work, Seen(lost=frozenset({"m5"})))
    assert choice.machine == "" and choice.why["m1"] == "in all 2 out of at most 2 (m4, m5)"


def test_never_more_than_a_minority_of_voters_and_the_leader_last() -> None:
    voters = frozenset({"n0", "n3", "n5"})
    assert next_turn(agreed(), Seen(voters=voters, leader="n0")).machine == "m1"
    work = agreed(("call", 1, "m3", "r1"))
    assert next_turn(work, Seen(voters=voters)).why["m0"] == "only 1 of 3 voters would be left"


def test_voters_are_counted_where_an_entry_is_applied() -> None:
    work = agreed(("call", 1, "m0", "r1"))
    work.voters = ("n0", "n3", "n5")
    assert void(work, "call", 2, "m3", "r1") == "m3: only 1 of 3 voters would be left"
    work.voters = ("n3", "n4", "n5")
    assert work.take(9, entry("n", "call", 2, "m3", "r1"))[1] == ""
    work.voters = ("n0", "n3", "n4", "n5")  # n0 votes since: one of the two can go, not both
    assert work.take(10, entry("g", "grant", 1, "m0"))[1] == ""
    assert void(work, "grant", 2, "m3") == "m3: only 2 of 4 voters would be left"


def test_a_voter_that_was_lost_since_the_call_holds_the_grant_up() -> None:
    work = agreed(("call", 1, "m0", "r1"))
    seen = Seen(voters=frozenset({"n0", "n3", "n5"}), blank=frozenset({"n3"}))
    led = office(work, *ALL)
    assert ("grant", 1, "m0") not in led.step(101.0, work, seen)[0]
    assert led.waits["m0"] == "only 1 of 3 voters would be left"
    assert ("grant", 1, "m0") in led.step(101.0, work, Seen(voters=seen.voters))[0]


def test_voters_do_not_change_while_that_leaves_no_majority_beside_the_machines_that_are_out() -> None:
    core = led_by_a(("a", "b", "c"))
    core.work = agreed(("call", 1, "m0", "r1"), ("grant", 1, "m0"))
    core.work.machines["m0"] = msgspec.structs.replace(core.work.machines["m0"], edges=("b",))
    core.work.index = core.raft.log.last
    assert not core._change(Config(("a", "b")))  # of these two b is out
    core.work.turns["m0"].state = "called"  # which can wait until there are more
    core.work.index -= 1
    assert not core._change(Config(("a", "b")))  # an entry is under way that may be a call
    core.work.index += 1
    assert core._change(Config(("a", "b")))


def test_never_below_what_the_traffic_of_now_needs() -> None:
    work = agreed(count=6, bears=10.0)
    assert next_turn(work, Seen(rates={"p0": 15.0, "p1": 5.0})).machine == "m0"
    choice = next_turn(work, Seen(rates={"p0": 17.0, "p1": 17.0}))
    assert (
        choice.machine == ""
        and choice.why["m0"] == "pool p0 runs 17 executions/s; machines left can serve 20"
    )


def test_a_paused_request_says_so_and_what_is_out_stays_out() -> None:
    work = agreed(("call", 1, "m0", "r1"), ("grant", 1, "m0"), ("out", 1, "m0"), ("pause", "r1", "ann"))
    assert work.turns["m0"].state == "out" and next_turn(work, Seen()).why["m3"] == "r1 is paused"
    assert work.take(9, entry("d", "done", "m0", "ann"))[1] == ""


def test_a_request_whose_last_machine_came_back_while_it_was_paused_is_finished_when_resumed() -> None:
    work = agreed(
        ("call", 1, "m0", "r1"),
        ("grant", 1, "m0"),
        ("out", 1, "m0"),
        ("done", "m0", "ann"),
        ("pause", "r1", "ann"),
        ("back", 1, "m0"),
        count=1,
    )
    assert work.requests["r1"].state == "paused"
    work.take(9, entry("r", "resume", "r1", "ann"))
    assert work.requests["r1"].state == "finished"


# What the leader waits for.


def office(work: Work, *heard: str, **reports: Report) -> Coordinator:
    led = Coordinator("n5", Terms(3.0, 0.5, 0.02, 10.0, longest_s=1.0), 100.0)
    for node in heard:
        led.renewed(100.0, node, reports.get(node, Report(1, work.index)))
    return led


ALL = tuple(f"n{at}" for at in range(6))


def test_no_grant_before_all_who_may_be_alive_have_heard_the_call() -> None:
    work = agreed(("call", 1, "m0", "r1"))
    led = office(work, *ALL[:4], "n5")
    assert ("grant", 1, "m0") not in led.step(101.0, work, Seen())[0]
    assert led.waits["m0"] == "n4 has not applied the call"
    assert ("grant", 1, "m0") not in led.step(999.0, work, Seen())[0]  # silence alone is no proof
    work.take(9, entry("g", "gone", "n4", 1, "ann", "it burnt"))
    assert ("grant", 1, "m0") in led.step(101.0, work, Seen())[0]


def test_out_only_once_nothing_can_reach_it_or_every_right_has_run_out() -> None:
    work = agreed(("call", 1, "m0", "r1"), ("grant", 1, "m0"))
    led = office(work, *ALL, n0=Report(1, 4, idle=False), n1=Report(1, 4, busy=(1,)), n2=Report(1, 3))
    seen = []
    for node in ("n0", "n1", "n2"):
        assert ("out", 1, "m0") not in led.step(101.0, work, Seen())[0]
        seen.append(led.waits["m0"])
        led.renewed(101.0, node, Report(1, 4, idle=True))
    assert seen == [
        "n0 has not answered all that it accepted",
        "n1 still waits for answers from the machine",
        "n2 has not applied the grant",
    ]
    assert ("out", 1, "m0") in led.step(101.0, work, Seen())[0]
    silent = office(work, "n0", n0=Report(1, 4, idle=True))  # a new leader, who has heard of no other
    assert ("out", 1, "m0") not in silent.step(104.1, work, Seen())[0]
    assert ("out", 1, "m0") in silent.step(104.2, work, Seen())[0]


def test_a_node_whose_own_machine_is_out_holds_nobody_up() -> None:
    """Guards against turns that wait until a machine is switched on again."""
    work = agreed(("call", 1, "m0", "r1"), ("grant", 1, "m0"), ("out", 1, "m0"), ("call", 2, "m3", "r1"))
    led = office(work, *ALL[1:])
    assert ("grant", 2, "m3") in led.step(101.0, work, Seen())[0]
    work.take(9, entry("d", "done", "m0", "ann"))
    assert ("grant", 2, "m3") not in led.step(101.0, work, Seen())[0]
    assert led.waits["m3"] == "n0 has not applied the call"


def test_the_leader_hands_on_before_its_own_turn() -> None:
    work = agreed(("call", 1, "m5", "r1"))
    wanted, hand_on = office(work, *ALL).step(101.0, work, Seen())
    assert hand_on and ("grant", 1, "m5") not in wanted


def test_a_machine_is_out_until_it_is_heard_caught_up_listed_and_warm() -> None:
    work = agreed(("call", 1, "m0", "r1"), ("grant", 1, "m0"), ("out", 1, "m0"), ("done", "m0", "ann"))
    led = office(work, *ALL, n0=Report(2, 2), **{name: Report(1, 6, off=("s0",)) for name in ALL[1:5]})
    seen = []
    for report in (Report(2, 6), Report(2, 6)):
        led.step(100.5, work, Seen())
        seen.append(led.waits["m0"])
        led.renewed(100.5, "n0", report)
    for name in ALL:
        led.renewed(101.0, name, Report(2, 6))
    led.step(101.0, work, Seen())
    seen.append(led.waits["m0"])
    assert seen == ["n0 has not caught up", "s0 is not listed by a majority", "warm in 10 s"]
    for name in ALL:
        led.renewed(111.0, name, Report(2, 6))
    assert ("back", 1, "m0") in led.step(111.1, work, Seen())[0]


@pytest.mark.parametrize(("late_s", "taken"), [(2.9, True), (3.1, False)])
def test_an_answer_that_comes_late_is_not_handed_on(late_s: float, taken: bool) -> None:
    core = Cluster(Me("a", "a:1", 1), Plan(("b",), {"b": "b:1"}), Kept(), Random(1), 100.0)
    core.guess = "b"
    core.ask(100.0, "q", "turn", ["m0"])
    assert ("b", "w.ask", ("q", "turn", ["m0"])) in core.take_results().sends
    core.hear(100.0 + late_s, "b", "w.answer", ("q", True, "out"))
    ((id_, ok, text),) = core.take_results().answers
    assert (id_, ok) == ("q", taken) and ("ask again" in text) is not taken


def led_by_a(voters: tuple[str, ...]) -> Cluster:
    """The core of `a`, elected by `b`."""
    core = Cluster(Me("a", "a:1", 1), Plan(voters, {}), Kept(), Random(1), 100.0)
    core.wake(102.0)  # it would stand; b says that it would vote, then votes
    core.take_results()
    core.hear(102.0, "b", "r.voted", (0, True, True, 1))
    core.synced(102.0, core.take_results().number)
    core.hear(102.0, "b", "r.voted", (1, False, True, 1))
    core.synced(102.0, core.take_results().number)
    core.hear(102.0, "b", "r.took", (1, True, 1, 0))
    assert core.leads
    return core


@pytest.mark.parametrize("mistaken", [False, True])
def test_mistakes_that_schedules_seldom_show(mistaken: bool) -> None:
    def planted(name: str) -> frozenset[str]:
        return frozenset({name} if mistaken else ())

    work = agreed(("call", 1, "m0", "r1"), ("pause", "r1", "ann"), ("resume", "r1", "ann"))
    work.take(6, entry("again", "call", 2, "m0", "r1"))
    old = work.take(7, entry("late", "grant", 1, "m0"), planted("old grant accepted"))[1]
    assert (old == "") is mistaken
    one = Edge("n1", 1, agreed(("call", 1, "m0", "r1")), planted("the lease is counted from its receipt"))
    one.renewed(100.0, one.work.index, 105.0)
    assert one.may_send("s0", 104.0, 3.0) is mistaken
    core = led_by_a(("a", "b", "c"))
    core.mistakes = planted("an old leader's word renews")
    core.hear(102.2, "c", "w.renew", (102.1, Report(1, 0), False))
    core.wake(102.3)  # nobody has said since that it leads
    told = [call for to, call, _ in core.take_results().sends if to == "c" and call == "w.right"]
    assert bool(told) is mistaken


def test_a_question_after_a_turn_is_answered_by_a_leader_who_has_asked_a_majority() -> None:
    """Guards against people who touch a machine on the word of a node that is behind: two of the first sixty
    schedules showed it."""
    core = led_by_a(("a", "b", "c"))
    core.ask(102.0, "q2", "turn", ["m0"])
    assert core.take_results().answers == []  # not before the round
    core.hear(102.0, "b", "r.took", (1, True, 1, core.raft.round))
    ((id_, ok, text),) = core.take_results().answers
    assert (id_, ok) == ("q2", True) and '"known": false' in text
    core.ask(102.0, "q3", "turn", ["m0"])
    core.wake(110.0)  # nobody has answered since
    assert [(id_, ok) for id_, ok, _ in core.take_results().answers] == [("q3", False)]


# What a node may do.


def edge(work: Work, name: str = "n1", at: float = 100.0) -> Edge:
    found = Edge(name, 1, work)
    found.renewed(at, work.index, at)
    return found


def test_a_stopped_node_has_no_right_to_a_called_machine_when_it_goes_on() -> None:
    one = edge(agreed(("call", 1, "m0", "r1")))
    assert one.may_send("s0", 102.9, 3.0) and not one.may_send("s0", 103.0, 3.0)
    assert one.may_send("s1", 999.0, 3.0) and one.may_take(999.0)  # it goes on serving by all others


def test_the_right_counts_from_the_question_and_never_goes_back() -> None:
    one = edge(agreed(("call", 1, "m0", "r1")))
    one.renewed(90.0, 3, 110.0)  # an answer that came late
    assert one.until == 100.0


def test_a_node_in_its_turn_takes_nothing_and_nobody_sends_there() -> None:
    work = agreed(("call", 1, "m0", "r1"), ("grant", 1, "m0"))
    assert not edge(work, "n0").may_take(100.0, 3.0)
    assert not edge(work).may_send("s0", 100.0, 3.0) and edge(work).out() == {"s0"}


def test_a_node_that_starts_anew_takes_nothing_until_it_has_caught_up() -> None:
    one = Edge("n1", 2, Work())
    assert not one.may_take(100.0) and not one.may_send("s0", 100.0, 3.0)
    one.renewed(100.0, 7, 100.0)
    assert not one.may_take(100.0)  # there are entries that it has not seen
    assert not edge(agreed(("gone", "n1", 1, "ann", "it burnt"))).may_take(100.0)
    assert not edge(agreed(), "stranger").may_take(100.0)


def test_a_node_that_hears_nothing_sends_to_the_refuge_alone() -> None:
    work = Work()
    rows = [row | {"refuge": row["name"] == "m0"} for row in machines(3)]
    assert work.take(1, entry("a", "machines", "ann", rows))[1] == ""
    one = edge(work)
    assert one.may_send("s2", 102.0, 3.0)
    assert one.may_send("s0", 104.0, 3.0) and not one.may_send("s2", 104.0, 3.0)


def test_what_is_agreed_survives_its_own_form() -> None:
    work = agreed(("call", 1, "m0", "r1"), ("grant", 1, "m0"))
    assert work_of(work.encode()) == work
    assert Machine("m", "p", "z").bears == 0.0
