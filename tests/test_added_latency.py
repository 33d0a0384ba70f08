"""The scale test of added latency at a tiny size: it measures, and ends all that it started."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from merlintally.lab.scale import slopes_added_latency as added_latency
from merlintally.lab.scale.backend import Attempt, Record
from merlintally.lab.scale.capacity import read_capacity
from merlintally.lab.scale.client import Sent
from merlintally.lab.scale.slope import Context

CONTEXT = Context(read_capacity(), quick=True)
PLAN = added_latency.Plan(CONTEXT, warm_up_s=0.5, seconds=1.5, nodes=5, known=20)
KINDS = (added_latency.SUBSETS, added_latency.WHOLE)


def children() -> set[str]:
    """The processes that this one has started and that have not ended (Linux: from /proc)."""
    found = set()
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:  # it has ended
            continue
        if int(fields[1]) == os.getpid():
            found.add(folder.name)
    return found


def test_both_kinds_are_measured_side_by_side_and_all_is_ended() -> None:
    before = children()
    found = added_latency.measure(70, PLAN, KINDS)
    assert children() <= before
    assert set(found.added) == {added_latency.DIRECT, *KINDS}
    direct = found.added[added_latency.DIRECT]
    for kind in KINDS:
        one = found.added[kind]
        assert one.requests > 40
        assert one.delivered > 0.8 * one.requests
        assert 0 < one.p50 <= one.p99
        assert one.p50 > direct.p50  # a node on the way takes time
        assert 0 < one.core_share < 1
        assert 0 < one.handshake_share < 1
    assert direct.delivered == direct.requests


def test_all_is_ended_on_an_interrupt(monkeypatch: pytest.MonkeyPatch) -> None:
    before = children()
    running: list[set[str]] = []

    def interrupt(plan: added_latency.Plan, targets: dict[str, added_latency.Target]) -> None:
        running.append(children() - before)
        raise KeyboardInterrupt

    monkeypatch.setattr(added_latency, "send_all", interrupt)
    with pytest.raises(KeyboardInterrupt):
        added_latency.measure(70, PLAN, KINDS)
    assert len(running[0]) == 3  # the stand-in and two nodes
    assert children() <= before


def test_added_is_the_clients_time_less_the_first_answers_own() -> None:
    sent = [
        Sent("early", 0.5, "delivered", 9.0),
        Sent("a", 1.0, "delivered", 0.052),
        Sent("b", 1.1, "delivered", 0.090),
        Sent("c", 1.2, "bounced", 0.001),
    ]
    attempts = [Attempt("a", 5.0, 5.05), Attempt("b", 6.0, 6.06, True), Attempt("b", 6.02, 6.09)]
    found = added_latency.added_of(added_latency.Load(sent, 0.1), Record(attempts), warm_up_s=1.0)
    assert (found.requests, found.delivered, found.repeated) == (3, 2, 1)
    assert found.p50 == pytest.approx(30.0)  # of 2 and 30
    assert found.handshake_share == 0.5
    assert found.handshake_p50 == pytest.approx(30.0)
    assert found.reused_p50 == pytest.approx(2.0)


def test_a_load_without_an_answer_is_an_error() -> None:
    sent = [Sent("a", 1.0, "silent", 4.0)]
    with pytest.raises(RuntimeError, match="none of 1"):
        added_latency.added_of(added_latency.Load(sent, 0.1), Record([]), warm_up_s=0.0)
