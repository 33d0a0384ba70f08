"""The load tool: schedule, open loop, latencies and termination."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import pytest
from helpers import Scene, Standin, known_servers, make_deployment, run_node

from merlintally.forms import InputError
from merlintally.load.profile import CustomerLoad, LaneLoad, Profile, read_profile
from merlintally.load.schedule import schedule
from merlintally.load.sending import Sender, Tallies, require_loopback

LOOK = LaneLoad("look", 0.7, 1.0)
ORDER = LaneLoad("order", 0.3, 1.0, "stamped")
SMALL = Profile(
    lane=(LOOK, ORDER), customers=(CustomerLoad("plan", 5),), rate=60.0, seconds=1.0, connections=8
)


class StalledNode:
    """A node that does not answer for a time and then answers each command received."""

    def __init__(self, seconds: float, answer: bytes = b"$2\r\nok\r\n") -> None:
        self.until, self.answer = time.monotonic() + seconds, answer

    def answer_to(self, received: bytes) -> bytes | None:
        if received.startswith(b"*1"):
            return b"+PONG\r\n"
        if time.monotonic() < self.until:
            time.sleep(max(0.0, self.until - time.monotonic()))  # blocks the whole node
        return self.answer * received.count(b"Q.")


def send(profile: Profile, answer_to: Callable[[bytes], bytes | None]) -> tuple[Tallies, float]:
    """Send a load to a stand-in node; returns the tallies and the time taken, seconds."""
    node = Standin(answer_to)

    async def send_load() -> Tallies | InputError:
        result: Tallies | InputError
        async with anyio.create_task_group() as group:
            group.start_soon(node.run)
            try:
                result = await Sender(*node.address, profile).run()
            except InputError as error:
                result = error
            group.cancel_scope.cancel()
        return result

    started_at = time.monotonic()
    outcome = anyio.run(send_load)
    node.sock.close()
    if isinstance(outcome, InputError):
        raise outcome
    return outcome, time.monotonic() - started_at


def test_the_schedule_is_the_same_for_the_same_seed_and_follows_the_profile() -> None:
    first, second = list(schedule(SMALL)), list(schedule(SMALL))
    assert first == second and 30 < len(first) < 100 and all(0 < planned.due < 1.0 for planned in first)
    commands = {planned.lane: planned.command for planned in first}
    assert b"Q.ASK" in commands["look"] and b"Q.DO" in commands["order"] and b",k=" in commands["order"]
    assert len({planned.command.split(b"\r\n")[6] for planned in first}) == len(first)  # unique ids


def test_latencies_are_measured_from_the_schedule_and_include_a_stall() -> None:
    tallies, _ = send(SMALL, StalledNode(0.8).answer_to)
    summary = tallies.summary(1.0)
    assert summary["outcomes"] == {"delivered": len(list(schedule(SMALL)))}
    histograms = [histogram for (_, outcome), histogram in tallies.latency.items() if outcome == "delivered"]
    # A closed loop would show eight slow submissions; here all that were due during the stall are slow.
    assert max(histogram.get_value_at_percentile(50) for histogram in histograms) > 100_000
    assert tallies.service.get_value_at_percentile(50) < 100_000


def test_a_load_ends_if_the_node_never_answers() -> None:
    profile = Profile(
        lane=(LaneLoad("look", 1.0, 0.3),), customers=SMALL.customers, rate=40.0, seconds=0.5, connections=4
    )
    tallies, elapsed_s = send(profile, lambda received: b"+PONG\r\n" if received.startswith(b"*1") else b"")
    assert elapsed_s < 3.0 and set(tallies.outcomes["look"]) <= {"silent", "unsent"}
    assert sum(tallies.outcomes["look"].values()) == len(list(schedule(profile)))


def test_answers_are_classified() -> None:
    for answer, outcome in (
        (b"-BUSY 5\r\n", "bounced"),
        (b"-ERR given up\r\n", "given up"),
        (b"$-1\r\n", "given up"),
        (b"*1\r\n$1\r\nx\r\n", "delivered"),
    ):
        tallies, _ = send(SMALL, StalledNode(0.0, answer).answer_to)
        assert list(tallies.summary(1.0)["outcomes"]) == [outcome]  # type: ignore[call-overload]


def test_a_load_on_a_real_node() -> None:
    server = Standin(lambda received: b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")

    async def act(scene: Scene) -> None:
        tallies = await Sender(*scene.node.address, SMALL).run()
        summary = tallies.summary(1.0)
        assert sum(summary["outcomes"].values()) == len(list(schedule(SMALL)))  # type: ignore[attr-defined]
        assert summary["outcomes"]["delivered"] > 20  # type: ignore[index]

    run_node(make_deployment(known=known_servers(server)), act, server)


def test_an_address_that_is_remote_or_not_a_node_is_rejected() -> None:
    with pytest.raises(InputError, match="so it is not a node"):
        send(SMALL, lambda received: b"-ERR\r\n")
    with pytest.raises(InputError, match="not a loopback address"):
        require_loopback("192.0.2.1", False)
    require_loopback("192.0.2.1", True)
    require_loopback("::1", False)
    assert read_profile(None).rate == 40.0
