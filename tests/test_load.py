"""The load tool: its schedule, its open loop, and that it ends by itself."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import pytest
from helpers import Scene, Standin, known, play, told

from merlintally.forms import Faults
from merlintally.load.profile import CustomerLoad, LaneLoad, Profile, read_profile
from merlintally.load.schedule import schedule
from merlintally.load.sending import Sender, Tallies, require_loopback

LOOK = LaneLoad("look", 0.7, 1.0)
ORDER = LaneLoad("order", 0.3, 1.0, "stamped")
SMALL = Profile(
    lane=(LOOK, ORDER), customers=(CustomerLoad("plan", 5),), rate=60.0, seconds=1.0, connections=8
)


class Stalls:
    """A node that says nothing for a while and then answers all that came, one answer a command."""

    def __init__(self, seconds: float, answer: bytes = b"$2\r\nok\r\n") -> None:
        self.until, self.answer = time.monotonic() + seconds, answer

    def say(self, heard: bytes) -> bytes | None:
        if heard.startswith(b"*1"):
            return b"+PONG\r\n"
        if time.monotonic() < self.until:
            time.sleep(max(0.0, self.until - time.monotonic()))  # the whole node stands still
        return self.answer * heard.count(b"Q.")


def send(profile: Profile, say: Callable[[bytes], bytes | None]) -> tuple[Tallies, float]:
    """What came of a load at a stand-in, and how long it took."""
    node = Standin(say)

    async def scene() -> Tallies | Faults:
        found: Tallies | Faults
        async with anyio.create_task_group() as group:
            group.start_soon(node.run)
            try:
                found = await Sender(*node.address, profile).run()
            except Faults as wrong:
                found = wrong
            group.cancel_scope.cancel()
        return found

    began = time.monotonic()
    found = anyio.run(scene)
    node.sock.close()
    if isinstance(found, Faults):
        raise found
    return found, time.monotonic() - began


def test_the_schedule_is_the_same_for_the_same_seed_and_follows_the_profile() -> None:
    first, second = list(schedule(SMALL)), list(schedule(SMALL))
    assert first == second and 30 < len(first) < 100 and all(0 < one.due < 1.0 for one in first)
    commands = {one.lane: one.command for one in first}
    assert b"Q.ASK" in commands["look"] and b"Q.DO" in commands["order"] and b",k=" in commands["order"]
    assert len({one.command.split(b"\r\n")[6] for one in first}) == len(first)  # ids of their own


def test_latencies_count_from_the_schedule_so_that_a_stall_can_not_hide() -> None:
    tallies, _ = send(SMALL, Stalls(0.8).say)
    summary = tallies.summary(1.0)
    assert summary["outcomes"] == {"delivered": len(list(schedule(SMALL)))}
    found = [one for (_, outcome), one in tallies.latency.items() if outcome == "delivered"]
    # a closed loop would show eight slow ones; here all that were due in the stall are slow
    assert max(one.get_value_at_percentile(50) for one in found) > 100_000
    assert tallies.service.get_value_at_percentile(50) < 100_000


def test_a_node_that_never_answers_does_not_hold_the_tool() -> None:
    profile = Profile(
        lane=(LaneLoad("look", 1.0, 0.3),), customers=SMALL.customers, rate=40.0, seconds=0.5, connections=4
    )
    tallies, took = send(profile, lambda heard: b"+PONG\r\n" if heard.startswith(b"*1") else b"")
    assert took < 3.0 and set(tallies.outcomes["look"]) <= {"silent", "unsent"}
    assert sum(tallies.outcomes["look"].values()) == len(list(schedule(profile)))


def test_outcomes_are_told_apart() -> None:
    for answer, outcome in (
        (b"-BUSY 5\r\n", "bounced"),
        (b"-ERR given up\r\n", "given up"),
        (b"$-1\r\n", "given up"),
        (b"*1\r\n$1\r\nx\r\n", "delivered"),
    ):
        tallies, _ = send(SMALL, Stalls(0.0, answer).say)
        assert list(tallies.summary(1.0)["outcomes"]) == [outcome]  # type: ignore[call-overload]


def test_a_load_at_a_real_node() -> None:
    server = Standin(lambda heard: b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")

    async def act(scene: Scene) -> None:
        tallies = await Sender(*scene.node.address, SMALL).run()
        summary = tallies.summary(1.0)
        assert sum(summary["outcomes"].values()) == len(list(schedule(SMALL)))  # type: ignore[attr-defined]
        assert summary["outcomes"]["delivered"] > 20  # type: ignore[index]

    play(told(known=known(server)), act, server)


def test_what_is_not_a_node_or_not_here_is_refused() -> None:
    with pytest.raises(Faults, match="so it is not a node"):
        send(SMALL, lambda heard: b"-ERR\r\n")
    with pytest.raises(Faults, match="not a loopback address"):
        require_loopback("192.0.2.1", False)
    require_loopback("192.0.2.1", True)
    require_loopback("::1", False)
    assert read_profile(None).rate == 40.0
