"""The members core: schedules under faults, planted mistakes, and single steps."""

from __future__ import annotations

from random import Random

import pytest

from merlintally.cluster.members import INJECTED_FAULTS, Members, Rhythm
from merlintally.cluster.members.core import ALIVE, DEAD, LEFT, START, SUSPECT
from merlintally.lab.schedules.members import measure, play


def test_no_schedule_breaks_what_is_promised() -> None:
    broken = {seed: verdict.broken for seed in range(40) if (verdict := play(seed)).broken}
    assert broken == {}


def test_a_death_is_known_to_all_and_nobody_else_is_suspected() -> None:
    found = measure(10, 1, length_s=60.0)
    assert found["all_s"] < 20.0 and found["false_deaths_an_hour"] == 0.0 and found["bytes_a_second"] < 1000


def one() -> Members:
    return Members("a", "a:1", {"b": "b:1", "c": "c:1"}, 1, Rhythm(), Random(1), 0.0)


def test_one_that_came_back_unheard_tells_so_when_it_hears_that_it_is_dead() -> None:
    """Guards against two sides that hold each other to be dead for good: schedule 32760 of work."""
    core = one()
    core.queue.clear()  # what it told of its start was lost, and was told as often as news is
    core.hear(1.0, "b", "ping", (7, "a", [("a", DEAD, 3, "a:1", "")]))
    ((to, call, (_, news)),) = core.take_results().sends
    assert (to, call) == ("b", "ack") and ("a", ALIVE, START, "a:1", "") in news


def test_everyone_whom_a_leaver_tells_hears_that_it_goes() -> None:
    core = Members("a", "a:1", {name: f"{name}:1" for name in "bcdefg"}, 1, Rhythm(), Random(1), 0.0)
    core.leave(1.0)
    sends = core.take_results().sends
    assert len(sends) == 4 and all(("a", LEFT, START, "a:1", "") in args[-1] for _, _, args in sends)


def test_news_of_a_member_only_rises() -> None:
    core = one()
    for state, incarnation, expected in (
        (SUSPECT, 0, SUSPECT),
        (ALIVE, 0, SUSPECT),
        (ALIVE, 1, ALIVE),
        (DEAD, 0, ALIVE),
        (DEAD, 1, DEAD),
        (SUSPECT, 1, DEAD),
        (LEFT, 1, LEFT),
        (ALIVE, 1, LEFT),
        (ALIVE, START, ALIVE),
    ):
        core.hear(1.0, "c", "ping", (1, "a", [("b", state, incarnation, "b:1", "c")]))
        assert core.state("b") == expected


def test_a_node_refutes_what_is_said_of_it_and_is_more_patient_with_others() -> None:
    core = one()
    core.hear(1.0, "b", "ping", (1, "a", [("a", SUSPECT, START, "a:1", "b")]))
    assert core.incarnation == START + 1 and core.health == 1
    news = [row for _, _, args in core.take_results().sends for row in args[-1] if row[0] == "a"]
    assert news == [("a", ALIVE, START + 1, "a:1", "")]


def test_one_that_flaps_is_not_steady_until_it_has_lasted() -> None:
    core = one()
    for at in range(4):
        news = [("b", DEAD, 2 * at, "b:1", ""), ("b", ALIVE, 2 * at + 1, "b:1", "")]
        core.hear(at + 1.0, "c", "ping", (1, "a", news))
    assert core.state("b") == ALIVE and not core.steady("b", 5.0) and core.steady("b", 90.0)


def test_datagrams_stay_within_their_room() -> None:
    others = {f"node-{at}": f"10.0.0.{at}:7600" for at in range(200)}
    core = Members("a", "a:1", others, 1, Rhythm(), Random(1), 0.0)
    for at in range(200):
        core.hear(1.0, "b", "ping", (1, "x", [(f"node-{at}", SUSPECT, 5, f"10.0.0.{at}:7600", "x")]))
    core.wake(5.0)
    for _, _, args in core.take_results().sends:
        assert sum(len(row[0]) + len(row[3]) + len(row[4]) + 16 for row in args[-1]) <= Rhythm().room


def test_every_mistake_has_a_name_of_its_own() -> None:
    assert len(set(INJECTED_FAULTS)) == len(INJECTED_FAULTS) >= 8


@pytest.mark.parametrize(
    "mistake",
    [
        "old news taken",
        "suspicion is not refuted",
        "left counts as dead",
        "a start forgets its incarnation",
        "suspicion never ends",
        "news is never told on",
    ],
)
def test_a_planted_mistake_is_found(mistake: str) -> None:
    assert any(play(seed, (mistake,)).broken for seed in (*range(4), 53))
