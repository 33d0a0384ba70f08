"""Events that cross: stand-ins hold a byte, a close or an answer until told, so that the bad order comes
about every time. The rows of docs/crossings.md name these tests."""

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import AsyncMock, Mock

import anyio
import pytest
from helpers import HI, Scene, known, play, said, server, silent, taken, told, until

from merlintally.net.clients import Client, Clients
from merlintally.net.configuration import Bounds, page
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.phases import Phase, Phases
from merlintally.net.requests import Attempt
from merlintally.net.resp import array
from merlintally.net.servers import Fleet
from merlintally.net.sockets import Allowance
from merlintally.net.timers import Clock


def clients_of(**bounds: Any) -> Clients:
    """A node's clients without a node, with room for one connection."""
    deployment = told(bounds=Bounds(**bounds))
    return Clients(
        deployment,
        Mock(),
        Phases(),
        Mock(post=AsyncMock()),
        Clock(),
        Log("n", 9.0),
        Mock(),
        Allowance(1),
        Allowance(1 << 20),
    )


def client_of(clients: Clients) -> tuple[Client, socket.socket]:
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    client = Client(clients, ours)
    clients.connections[client], client.has_sent_request = None, True
    return client, theirs


# A client leaves.


@pytest.mark.parametrize(
    "behind, changes",
    [
        (said(), {"bounds": Bounds(pipelined=1)}),
        (array(b"nap"), {"bounds": Bounds(fault_pause_s=5.0)}),
        (said()[:9], {"memory": 1000}),
    ],
    ids=["answers awaited", "pause for a fault", "no room"],
)
def test_a_client_that_leaves_behind_what_is_not_read_is_gone(behind: bytes, changes: dict[str, Any]) -> None:
    """Its end stood behind bytes that the node did not read, and its attempt went on to the hard limit."""
    at = silent()

    async def act(scene: Scene) -> None:
        sock = await scene.connect()
        sock.sendall(said() + behind)
        await until(lambda: bool(at.heard))
        sock.close()
        with anyio.fail_after(0.8):
            while not at.ends:
                await anyio.sleep(0.002)

    play(told(known=known(at), **changes), act, at)
    assert len(at.heard) == 1


def test_what_a_client_that_left_had_asked_is_marked_before_word_of_it_waits_in_the_queue() -> None:
    """Sends for it went out while the word of its leaving stood behind thousands of other calls."""
    clients = clients_of()
    client, theirs = client_of(clients)
    owed = [taken(said(), client) for _ in range(3)]
    client.pending.extend(owed)
    seen = list[bool]()

    async def post(*call: object) -> None:
        seen.extend(one.gone for one in owed)

    clients.dispatcher = Mock(post=post)
    with theirs:
        anyio.run(client._release)
    assert seen == [True] * 9


def test_half_a_command_that_comes_while_answers_are_awaited_has_its_own_time_to_be_whole() -> None:
    clients = clients_of()
    client, theirs = client_of(clients)
    client.command_deadline = client.last_read_at - 1.0

    async def act() -> None:
        await client._wait_while_reading(come)

    async def come() -> None:
        theirs.sendall(said()[:9])
        await until(lambda: client.stream.end > 0)

    with theirs:
        anyio.run(act)
        assert client.command_deadline > clients.clock.now()
    client.stream.sock.close()


# The node closes a connection.

CLOSING: list[Callable[[Clients], object]] = [Clients.sweep, Clients.evict, Clients.retire]


@pytest.mark.parametrize("close", CLOSING, ids=["sweep", "evict", "retire"])
@pytest.mark.parametrize("begun", [0, 9], ids=["resting", "begun"])
def test_a_submission_that_has_come_is_not_lost_with_its_connection(
    close: Callable[[Clients], object], begun: int
) -> None:
    """It was whole in the kernel's buffer, and unread, when its connection was closed for its silence."""
    clients, raw = clients_of(), said()
    client, theirs = client_of(clients)
    client.stream.buffer[:begun], client.stream.end = raw[:begun], begun
    client.last_progress_at = client.command_deadline = client.last_progress_at - 100.0
    with theirs:
        theirs.sendall(raw[begun:])
        close(clients)
        assert not client.closing and not client.ended
        client.stream.sock.recv(1 << 16)
        close(clients)
        assert client.closing or client.ended or (begun and client.retiring)
    client.stream.sock.close()


def test_a_connection_that_is_closing_does_not_give_way_over_unread_bytes() -> None:
    """A close over unread bytes resets the connection, and the answer that just went out goes with it."""
    clients = clients_of()
    client, theirs = client_of(clients)
    client.closing = True
    with theirs:
        theirs.sendall(said())
        assert not clients.evict() and not client.ended
        client.stream.sock.recv(1 << 16)
        assert clients.evict() and client.ended
    client.stream.sock.close()


def test_a_node_told_to_leave_closes_what_rests_and_answers_what_has_begun() -> None:
    at, heard = server(), list[bytes]()

    async def act(scene: Scene) -> None:
        raw = said()
        resting, begun = await scene.connect(), await scene.connect()
        resting.sendall(said())
        heard.append(await scene.hear(resting, until=1))
        begun.sendall(raw[:40])
        scene.node.leave()
        await scene.node.phases.reached(Phase.FINISHING)
        heard.append(await scene.hear(resting))
        begun.sendall(raw[40:])
        heard.append(await scene.hear(begun))
        await scene.node.phases.reached(Phase.ENDED)

    play(told(known=known(at), bounds=Bounds(leave_s=0.05)), act, at)
    assert heard == [HI, b"", HI] and len(at.heard) == 2


def test_a_client_that_keeps_its_end_open_does_not_hold_up_the_leave() -> None:
    async def act(scene: Scene) -> None:
        deaf = await scene.connect()
        scene.node.leave()
        with anyio.fail_after(1.5):
            await scene.node.phases.reached(Phase.ENDED)
        deaf.close()

    play(told(bounds=Bounds(leave_s=0.05)), act)


def test_nothing_is_read_any_more_when_what_is_open_is_ended() -> None:
    """A client that had begun one more command was cut off only with the process, over what it still sent."""
    at, heard, phases = silent(), list[bytes](), list[Phase]()

    async def act(scene: Scene) -> None:
        sock = await scene.connect()
        sock.sendall(said())
        await until(lambda: bool(at.heard))
        sock.sendall(said()[:40])
        scene.node.leave()
        heard.append(await scene.hear(sock))
        phases.append(scene.node.phases.current)
        sock.close()

    play(told(known=known(at), bounds=Bounds(leave_s=0.05, finish_s=0.2)), act, at)
    assert heard[0].startswith(b"-BUSY") and phases == [Phase.FINISHING] and len(at.heard) == 1


def test_a_submission_read_after_all_has_ended_is_bounced_and_never_sent() -> None:
    """Sends of what came on connections still open went out with nobody left to hand on the answer."""
    dispatcher = Dispatcher(told(), Clock(), Log("n", 9.0))
    dispatcher.timers, dispatcher.fleet = Mock(), Mock()
    dispatcher.listed(
        page({"index": 1, "endpoints": [{"name": "s", "status": "SERVING", "address": "127.0.0.1:1"}]})[2],
        True,
    )
    dispatcher.end_all()
    late = taken(said(), Mock(), Clock().now())
    dispatcher.take(late)
    dispatcher.carry_out()
    assert late.answer == [b"-BUSY\r\n"] and not dispatcher.fleet.send.called


def test_a_connection_that_came_before_the_listener_closes_is_taken_beyond_the_descriptors() -> None:
    clients = clients_of()
    clients.descriptors.take()
    clients.listener = socket.create_server(("127.0.0.1", 0))
    clients.listener.setblocking(False)
    with socket.create_connection(clients.listener.getsockname()):
        anyio.run(clients.stop_listening)
        assert len(clients.connections) == 1
        for client in clients.connections:
            client.stream.sock.close()


def test_a_node_with_short_hard_limits_has_ended_before_it_is_killed() -> None:
    """It waited 3.4 s for a client with half a command, and was killed with answers unwritten at 0.7 s after
    the longest hard limit."""
    deployment = told(bounds=Bounds(leave_s=0.05))
    lanes = tuple(replace(lane, quoted_time=0.1, hard_limit=0.2) for lane in deployment.facts.lanes)

    async def act(scene: Scene) -> None:
        half = await scene.connect()
        half.sendall(said()[:9])
        scene.node.leave()
        with anyio.fail_after(2.0):
            await scene.node.phases.reached(Phase.ENDED)
        half.close()

    bounds = deployment.bounds
    assert bounds.finish_beyond_s + bounds.late_s + min(bounds.linger_s, bounds.late_s) < 0.7

    play(replace(deployment, facts=replace(deployment.facts, lanes=lanes)), act)


# What was decided before and is written later.


@pytest.mark.parametrize("change", ["late", "gone", "draining"])
def test_what_was_decided_is_looked_up_again_when_its_connection_comes_up(change: str) -> None:
    """A connection that came up late carried a repeat out of its window, to one that drained, or for a client
    that had left."""
    at, dispatcher, clock = silent(), Mock(post=AsyncMock()), Clock()
    deployment = told(known=known(at))
    client = Mock(has_left=Mock(return_value=False), end_may_be_unread=Mock(return_value=False))
    one = taken(said(), client, Clock().now())

    async def act() -> None:
        async with anyio.create_task_group() as group:
            fleet = Fleet(
                deployment, dispatcher, clock, Log("n", 9.0), group, Allowance(9), Allowance(1 << 20)
            )
            fleet.roster(deployment.known, True)
            now = clock.now()
            attempt = Attempt(one, 1, now, now + 5.0, now + 5.0)
            assert fleet.send("s0", attempt)
            one.gone = change == "gone"
            if change == "late":
                attempt.begin_by = now
            if change == "draining":
                fleet.roster(
                    [replace(row, facts=replace(row.facts, presence="draining")) for row in deployment.known],
                    False,
                )
            group.start_soon(at.run)
            await until(lambda: dispatcher.post.called)
            group.cancel_scope.cancel()

    anyio.run(act)
    at.sock.close()
    assert dispatcher.post.call_args.args[-1].outcome == "unreachable" and not at.heard


def test_a_connection_that_its_server_is_about_to_close_is_not_used_between_two_sweeps() -> None:
    """With servers that close after a second, one was written to 0.1 s before: what crosses may have run."""
    at, clock = silent(), Clock()
    deployment = told(known=known(at), idle_close=1.0)
    fleet = Fleet(deployment, Mock(), clock, Log("n", 9.0), Mock(), Allowance(9), Allowance(1 << 20))
    fleet.roster(deployment.known, True)
    links = [Mock(idle_since=clock.now() - ago) for ago in (0.9, 0.3, 0.001)]
    fleet.servers["s0"].idle.extend(links)
    assert fleet._rested(fleet.servers["s0"]) is links[1]
    assert fleet._rested(fleet.servers["s0"]) is None
    at.sock.close()
