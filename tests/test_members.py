"""The SWIM core: schedules under faults, injected faults, and single steps."""

from __future__ import annotations

from random import Random

import pytest

from merlintally.cluster.members import INJECTED_FAULTS, Members, SwimSettings
from merlintally.cluster.members.core import ALIVE, DEAD, INCARNATIONS_PER_START, LEFT, SUSPECT
from merlintally.lab.schedules.members import measure, play


def test_no_schedule_ends_with_a_wrong_view() -> None:
    broken = {seed: verdict.broken for seed in range(40) if (verdict := play(seed)).broken}
    assert broken == {}


def test_a_death_is_detected_by_all_without_false_deaths() -> None:
    found = measure(10, 1, length_s=60.0)
    assert found["all_s"] < 20.0 and found["false_deaths_an_hour"] == 0.0 and found["bytes_a_second"] < 1000


def three_members() -> Members:
    return Members("a", "a:1", {"b": "b:1", "c": "c:1"}, 1, SwimSettings(), Random(1), 0.0)


def test_a_restarted_node_refutes_an_update_that_it_is_dead() -> None:
    """Otherwise two sides of a healed partition could consider each other dead for ever."""
    core = three_members()
    core.update_counts.clear()  # the updates about its start were sent as often as any, and all lost
    core.receive(1.0, "b", "ping", (7, "a", [("a", DEAD, 3, "a:1", "")]))
    ((to, call, (_, updates)),) = core.take_results().sends
    assert (to, call) == ("b", "ack") and ("a", ALIVE, INCARNATIONS_PER_START, "a:1", "") in updates


def test_every_message_of_a_leaving_node_announces_that_it_leaves() -> None:
    core = Members("a", "a:1", {name: f"{name}:1" for name in "bcdefg"}, 1, SwimSettings(), Random(1), 0.0)
    core.leave(1.0)
    sends = core.take_results().sends
    assert len(sends) == 4 and all(
        ("a", LEFT, INCARNATIONS_PER_START, "a:1", "") in args[-1] for _, _, args in sends
    )


def test_a_members_state_and_incarnation_only_rise() -> None:
    core = three_members()
    for state, incarnation, expected in (
        (SUSPECT, 0, SUSPECT),
        (ALIVE, 0, SUSPECT),
        (ALIVE, 1, ALIVE),
        (DEAD, 0, ALIVE),
        (DEAD, 1, DEAD),
        (SUSPECT, 1, DEAD),
        (LEFT, 1, LEFT),
        (ALIVE, 1, LEFT),
        (ALIVE, INCARNATIONS_PER_START, ALIVE),
    ):
        core.receive(1.0, "c", "ping", (1, "a", [("b", state, incarnation, "b:1", "c")]))
        assert core.state("b") == expected


def test_a_suspected_node_refutes_and_raises_its_local_health_score() -> None:
    core = three_members()
    core.receive(1.0, "b", "ping", (1, "a", [("a", SUSPECT, INCARNATIONS_PER_START, "a:1", "b")]))
    assert core.incarnation == INCARNATIONS_PER_START + 1 and core.local_health == 1
    updates = [row for _, _, args in core.take_results().sends for row in args[-1] if row[0] == "a"]
    assert updates == [("a", ALIVE, INCARNATIONS_PER_START + 1, "a:1", "")]


def test_a_flapping_member_is_stable_only_after_its_score_has_decayed() -> None:
    core = three_members()
    for at in range(4):
        updates = [("b", DEAD, 2 * at, "b:1", ""), ("b", ALIVE, 2 * at + 1, "b:1", "")]
        core.receive(at + 1.0, "c", "ping", (1, "a", updates))
    assert core.state("b") == ALIVE and not core.is_stable("b", 5.0) and core.is_stable("b", 90.0)


def test_datagrams_stay_within_the_size_limit() -> None:
    others = {f"node-{at}": f"10.0.0.{at}:7600" for at in range(200)}
    core = Members("a", "a:1", others, 1, SwimSettings(), Random(1), 0.0)
    for at in range(200):
        core.receive(1.0, "b", "ping", (1, "x", [(f"node-{at}", SUSPECT, 5, f"10.0.0.{at}:7600", "x")]))
    core.wake(5.0)
    for _, _, args in core.take_results().sends:
        assert (
            sum(len(row[0]) + len(row[3]) + len(row[4]) + 16 for row in args[-1])
            <= SwimSettings().max_update_bytes
        )


def test_injected_faults_have_unique_names() -> None:
    assert len(set(INJECTED_FAULTS)) == len(INJECTED_FAULTS) >= 8


@pytest.mark.parametrize(
    "fault",
    [
        "old news taken",
        "suspicion is not refuted",
        "left counts as dead",
        "a start forgets its incarnation",
        "suspicion never ends",
        "news is never told on",
    ],
)
def test_an_injected_fault_is_detected(fault: str) -> None:
    assert any(play(seed, (fault,)).broken for seed in (*range(4), 53))
