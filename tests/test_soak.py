"""The fault soak: its oracle finds planted breaches, and a short run of real processes has none."""

from __future__ import annotations

from dataclasses import replace

import pytest

from merlintally.lab.soak import run_soak
from merlintally.lab.soak.oracle import check
from merlintally.lab.soak.records import Ending, Records, SeenAttempt, SentRequest, Told
from merlintally.lab.soak.settings import DRAIN_GRACE_S, WINDOW_S, limits_of

LIMITS = limits_of(20.0, frozenset({"c"}))
REQUEST = SentRequest("r", "repeatable", "c", 1.0, "n0", 10.0, 11.0, Ending.SERVED, 10.2)
ATTEMPT = SeenAttempt("r", "n0", "s0", 10.05, 10.06, 0.95, True)
LEFT = replace(REQUEST, ending=Ending.LEFT, ended_at=10.0)


def promises(
    *attempts: SeenAttempt, request: SentRequest = REQUEST, told: list[Told] | None = None
) -> set[str]:
    """Of one request, the promises found broken."""
    records = Records({request.id: request}, list(attempts), told or [])
    return {breach.promise for breach in check(records, LIMITS)}


def test_what_is_kept_is_no_breach() -> None:
    assert not promises(ATTEMPT)
    assert not promises(ATTEMPT, replace(ATTEMPT, whole_at=10.5, wait_told_s=0.5))
    assert not promises(ATTEMPT, request=LEFT)


@pytest.mark.parametrize(
    "attempts, request_",
    [
        ((), replace(REQUEST, ending=Ending.LOST)),
        ((), replace(REQUEST, ending=None)),
        ((ATTEMPT,), replace(REQUEST, ended_at=11.6)),
    ],
    ids=["closed", "never", "late"],
)
def test_a_request_without_its_answer_in_time(
    attempts: tuple[SeenAttempt, ...], request_: SentRequest
) -> None:
    assert promises(*attempts, request=request_) == {"one final answer"}


def test_an_attempt_for_a_client_that_left() -> None:
    late = replace(ATTEMPT, first_byte_at=10.2, whole_at=10.2, wait_told_s=0.8)
    assert promises(late, request=LEFT) == {"nothing for a client that left"}


def test_an_effect_twice() -> None:
    again = replace(ATTEMPT, whole_at=10.06 + WINDOW_S + 0.1, wait_told_s=0.01)
    assert promises(ATTEMPT, again, request=replace(REQUEST, effect="by_key")) == {"no effect twice"}
    assert promises(ATTEMPT, ATTEMPT, request=replace(REQUEST, effect="once")) == {"no effect twice"}
    never_ran = replace(ATTEMPT, ran=False)
    assert not promises(ATTEMPT, never_ran, request=replace(REQUEST, effect="once"))


def test_a_send_to_a_draining_server() -> None:
    told = [Told("n0", "s0", "DRAINING", 10.0)]
    late = replace(ATTEMPT, first_byte_at=10.1 + DRAIN_GRACE_S, wait_told_s=0.5)
    assert promises(late, told=told) == {"nothing new to a draining server"}
    assert not promises(ATTEMPT, told=told)
    assert not promises(late, told=[*told, Told("n0", "s0", "SERVING", 10.2)])


def test_more_time_told_than_is_left() -> None:
    assert promises(replace(ATTEMPT, wait_told_s=1.2)) == {"the time told"}


def test_a_server_in_slow_start_that_gets_too_much() -> None:
    many = [replace(ATTEMPT, id=f"r{at}") for at in range(60)]
    requests = {one.id: replace(REQUEST, id=one.id, customer=f"c{one.id}") for one in many}
    records = Records(requests, many, [Told("n0", "s0", "SERVING", 10.0)], {"s0": [10.0]})
    assert {one.promise for one in check(records, LIMITS)} == {"a server in slow start"}
    assert not check(replace(records, told=[]), LIMITS)


def test_a_ceiling_passed() -> None:
    many = [replace(ATTEMPT, id=f"r{at}") for at in range(60)]
    records = Records({one.id: replace(REQUEST, id=one.id) for one in many}, many)
    assert {one.promise for one in check(records, LIMITS)} == {"ceilings"}


def test_real_processes_keep_their_promises_under_overlapping_faults() -> None:
    result = run_soak(seed=2, nodes=4, seconds=4.0)
    assert not result.breaches, result.breaches[:5]
    assert result.attempts > 20 and result.endings["served"] > 20 and result.troubles.total() > 4
