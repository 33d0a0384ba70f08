"""Faults that two or three rare events make together: each test forces the order in which it breaks."""

from __future__ import annotations

import errno
import io
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from itertools import product
from pathlib import Path
from random import Random
from typing import Any
from unittest.mock import AsyncMock, Mock

import anyio
import pytest
from helpers import (
    HI,
    OK,
    PLAN,
    REQUEST_IDS,
    SERVER,
    Scene,
    Standin,
    count_answers,
    gateway,
    is_complete_command,
    known_servers,
    lane,
    listing,
    make_deployment,
    request_bytes,
    run_node,
    server,
    silent_server,
    take,
    wait_until,
)

from merlintally.choice import Gateway, Submission
from merlintally.cluster.agreement import Config, Entry, Snapshot
from merlintally.cluster.disk import Disk, Full
from merlintally.cluster.node import open_disk
from merlintally.interface import ServerFacts
from merlintally.net import counter as counter_module
from merlintally.net import servers
from merlintally.net.configuration import Bounds, Listed
from merlintally.net.discovery import Discovery
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.requests import Request
from merlintally.net.resp import array
from merlintally.net.sockets import tcp_socket
from merlintally.net.timers import Clock
from merlintally.operators.file import ClusterPart

ROOT = Path(__file__).resolve().parents[1]
LONG = b"x" * 60_000
LONG_ANSWER = b"*3\r\n$60000\r\n" + LONG + b"\r\n$-1\r\n$-1\r\n"


def small_buffers(sock: socket.socket) -> socket.socket:
    """A socket on which large messages stay half-written."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock


async def still_serves(scene: Scene) -> None:
    assert await scene.ask(array(b"PING")) == b"+PONG\r\n"


def test_a_client_that_ends_its_side_over_unread_answers_ends_no_other() -> None:
    standin = server(LONG_ANSWER)

    async def act(scene: Scene) -> None:
        assert scene.node.listener is not None
        small_buffers(scene.node.listener)
        with small_buffers(socket.socket()) as sock:
            sock.connect(scene.node.address)
            sock.sendall(request_bytes())
            await wait_until(lambda: len(standin.received) == 1)
            await anyio.sleep(0.1)  # its answer has come, and is more than the system holds
            sock.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.2)
            await still_serves(scene)

    run_node(make_deployment(known=known_servers(standin)), act, standin)


def test_an_answer_that_comes_before_all_of_its_request_is_written_ends_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An app server turns a long request away, or noise comes, while the rest of it can't be written yet."""
    monkeypatch.setattr(servers, "tcp_socket", lambda: small_buffers(tcp_socket()))
    listener = small_buffers(socket.create_server(("127.0.0.1", 0)))

    class EarlyAnswer(Standin):
        async def _speak(self, sock: socket.socket) -> None:
            with sock:
                await anyio.sleep(0.05)
                sock.sendall(b"-BUSY\r\n")
                await anyio.sleep(1.0)

    standin = EarlyAnswer(lambda heard: OK)
    standin.sock.close()
    standin.sock, standin.address = listener, listener.getsockname()
    listener.setblocking(False)
    terms = b"c=order,t=plan,d=1500,k=key,units=1,spread=1,first=0"

    async def act(scene: Scene) -> None:
        answers = []

        async def ask() -> None:
            answers.append(await scene.ask(request_bytes(b"Q.DO", terms, body=LONG)))

        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(ask)
        assert all(answers), "a request without its final answer"
        await still_serves(scene)

    run_node(make_deployment(known=known_servers(standin)), act, standin)


def test_a_wake_up_that_comes_a_little_early_is_set_anew() -> None:
    """The clock may have moved back by some milliseconds between a timer and the call it makes."""
    at = gateway()
    handle = take(at, units=2.0)
    results = at.take_results(100.0)
    assert results.wake_after is not None and not handle.closed
    due = 100.0 + results.wake_after
    at.wake(due - 0.001)
    wakes = [at.take_results(now).wake_after for now in (due - 0.001, due, due + 1.0)]
    assert any(wake is not None for wake in wakes), "no wake-up is set any more"


# The wall clock is stepped.

WALL_TIME = time.time
STEPS = [3600.0, -3600.0, 3.0, -3.0]


class Wall:
    """The system's wall clock, which may be stepped; the monotonic one runs on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.ahead_s = 0.0
        monkeypatch.setattr(time, "time", lambda: WALL_TIME() + self.ahead_s)


def start_told(dispatcher: Dispatcher, started: float) -> float:
    """Have a server listed that started at `started` (wall clock); gives how old it is taken for."""
    entry = Listed(ServerFacts("s1", "on", "z", 0, started, 1.0, "m"), ("127.0.0.1", 1))
    dispatcher.listed([entry], True)
    return dispatcher.clock.now() - dispatcher.gateway.servers["s1"].started


def dispatcher_alone() -> Dispatcher:
    dispatcher = Dispatcher(make_deployment(), Clock(), Log("n", 9.0))
    dispatcher.fleet = Mock()
    return dispatcher


def test_a_server_that_starts_after_a_step_of_the_wall_clock_is_cold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for step in STEPS:
        wall, dispatcher = Wall(monkeypatch), dispatcher_alone()
        wall.ahead_s = step
        assert 0 <= start_told(dispatcher, time.time() - 1.0) < 1.5


def test_a_server_that_started_before_a_step_of_the_wall_clock_is_cold_and_becomes_warm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for step in STEPS:
        wall, dispatcher = Wall(monkeypatch), dispatcher_alone()
        stated = time.time() - 1.0
        wall.ahead_s = step
        assert 0 <= start_told(dispatcher, stated) < 1.5
        dispatcher.clock.offset += 20.0  # which is what passes on the monotonic clock
        assert 19.0 < start_told(dispatcher, stated) < 22.0


def test_all_gateways_name_a_customers_count_alike_after_a_step_of_the_wall_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for step in STEPS:
        wall, before = Wall(monkeypatch), dispatcher_alone()
        take(before.gateway, now=before.clock.now(), key="c")
        wall.ahead_s = step
        after = dispatcher_alone()
        start_told(before, 0.0)  # anything that comes later
        names = set()
        for dispatcher in (before, after):
            take(dispatcher.gateway, 2, now=dispatcher.clock.now(), key="c")
            names.add(dispatcher.gateway.customers["c"].epoch(dispatcher.clock.now())[0])
        assert len(names) == 1


# System calls fail for a moment.

Call = Callable[..., Any]


class FailingCalls:
    """Has calls on the sockets of one port of this machine fail while `failing` names an error."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, port: int, *names: str) -> None:
        self.port, self.failing, self.failed = port, 0, 0
        for name in names:
            monkeypatch.setattr(socket.socket, name, self._with_failures(getattr(socket.socket, name)))

    def _with_failures(self, call: Call) -> Call:
        def made(sock: socket.socket, *args: Any) -> Any:
            if self.failing and sock.getsockname()[1] == self.port:
                self.failed += 1
                raise OSError(self.failing, "for a moment")
            return call(sock, *args)

        return made

    async def for_a_moment(self, error: int, seconds: float) -> None:
        self.failing = error
        await anyio.sleep(seconds)
        self.failing = 0


def test_a_node_that_leaves_takes_what_waits_though_accept_fails_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scene: Scene) -> None:
        calls, answers = FailingCalls(monkeypatch, scene.node.address[1], "accept"), list[bytes]()

        async def ask() -> None:
            await anyio.sleep(0.3)  # before the time to take connections is over, and while none can be
            answers.append(await scene.ask(request_bytes()))

        scene.node.leave()
        async with anyio.create_task_group() as group:
            group.start_soon(calls.for_a_moment, errors.pop(), 0.7)
            group.start_soon(ask)
        assert calls.failed and answers == [HI]

    errors = [errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.ENETUNREACH]
    while errors:
        standin = server()
        run_node(make_deployment(known=known_servers(standin)), act, standin)


def test_a_client_that_has_just_come_stays_though_accept_fails_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by the soak: each failed accept closed silent connections, as if descriptors were short."""

    async def act(scene: Scene) -> None:
        calls = FailingCalls(monkeypatch, scene.node.address[1], "accept")
        with await scene.connect() as first, await scene.connect() as second:
            await anyio.sleep(0.02)
            async with anyio.create_task_group() as group:
                group.start_soon(calls.for_a_moment, errors.pop(), 0.2)
                waiting = await scene.connect()
                await anyio.sleep(0.1)
            for sock in (first, second, waiting):
                sock.sendall(request_bytes())
                assert await scene.receive(sock, until=1) == HI
            waiting.close()

    errors = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EPROTO]
    while errors:
        standin = server()
        run_node(make_deployment(known=known_servers(standin)), act, standin)


def test_a_client_is_answered_though_reads_and_writes_fail_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scene: Scene) -> None:
        calls = FailingCalls(monkeypatch, scene.node.address[1], "recv_into", "sendmsg")
        for error in (errno.ENOBUFS, errno.ENOMEM, errno.EHOSTUNREACH, errno.ETIMEDOUT):
            with await scene.connect() as sock:
                standin.gate = anyio.Event()
                sock.sendall(request_bytes())
                await wait_until(lambda: bool(standin.received))
                sock.sendall(array(b"PING"))  # something to read while reading fails
                async with anyio.create_task_group() as group:
                    group.start_soon(calls.for_a_moment, error, 0.1)
                    await anyio.sleep(0.05)
                    standin.gate.set()
                assert await scene.receive(sock, until=2) == HI + b"+PONG\r\n", error
            standin.received.clear()

    standin = server()
    run_node(make_deployment(known=known_servers(standin)), act, standin)


def test_commands_that_were_read_get_an_answer_before_the_end_of_a_leave() -> None:
    standin = silent_server()

    async def act(scene: Scene) -> None:
        with await scene.connect() as sock:
            sock.sendall(request_bytes() + request_bytes() + request_bytes())
            await wait_until(lambda: bool(standin.received))
            scene.node.leave()
            assert count_answers(await scene.receive(sock)) == 3

    run_node(
        make_deployment(known=known_servers(standin), bounds=Bounds(pipelined=1, finish_s=0.8)), act, standin
    )


def test_the_counter_goes_on_where_no_socket_can_be_had_for_a_moment(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found by the soak: its task ended with the connections that other calls waited on."""
    made = list[None]()

    def failing_once() -> socket.socket:
        made.append(None)
        if len(made) == 1:
            raise OSError(errno.ENFILE, "for a moment")
        return tcp_socket()

    monkeypatch.setattr(counter_module, "tcp_socket", failing_once)
    heard, standin = list[str](), Standin(lambda words: b"ok 1\r\n" * words.count(b"\r\n") or b"")
    owner = Mock(counted=lambda _name, outcome, *_: heard.append(outcome))
    owner.enqueue = AsyncMock(side_effect=lambda call, *args: call(*args))

    async def act() -> None:
        counter = counter_module.Counter(
            standin.address, 1.0, Bounds(), owner, Clock(), Mock(), Log("n", 9.0, io.StringIO())
        )
        async with anyio.create_task_group() as group:
            group.start_soon(standin.run)
            group.start_soon(counter.run)
            assert counter.add(7, 1.0, 60.0)
            await wait_until(lambda: heard == ["unreachable"])
            assert counter.add(7, 1.0, 60.0)
            await wait_until(lambda: heard == ["unreachable", "ok"])
            group.cancel_scope.cancel()

    anyio.run(act)
    standin.sock.close()


# A client leaves unseen.


def test_nothing_begins_for_a_client_that_left_behind_more_than_is_read() -> None:
    """Its end stood behind 160 KiB of unread commands, and each retry was made for nobody."""
    standin = server(b"-ERR failed\r\n")
    standin.gate = anyio.Event()

    async def act(scene: Scene) -> None:
        assert standin.gate is not None
        terms = b"c=order,t=plan,d=1500,k=key,units=1,spread=1,first=0"
        with await scene.connect() as sock:
            sock.sendall(request_bytes())
            await wait_until(lambda: len(standin.received) == 1)
            for _ in range(8):
                await anyio.wait_writable(sock)
                with suppress(BlockingIOError):
                    sock.sendall(request_bytes(b"Q.DO", terms, body=LONG))
        await anyio.sleep(0.12)  # behind its close
        standin.gate.set()
        await anyio.sleep(0.2)
        assert len(standin.received) == 1

    run_node(make_deployment(known=known_servers(standin), bounds=Bounds(pipelined=1)), act, standin)


# A server in slow start.

COLD = replace(SERVER, server="cold", started=100.0)


def spend(at: Gateway, now: float) -> int:
    """Send the cold server all that may be sent now; gives how much that was."""
    handle, before = take(at, next(REQUEST_IDS), now=now), len(at.results.sends)
    server = at.servers["cold"]
    while at._cold_room(now, server):
        at._send(now, handle, server)
    return len(at.results.sends) - before


def cold_gateway(gateways: int, seed: int, answers_per_s: float) -> Gateway:
    """One of several that share a warm server and one that is cold since 100.0."""
    made = gateway(gateways=gateways)
    made.random.seed(seed)
    made.roster(100.0, [COLD], complete=False)
    made.good.add(100.0, answers_per_s * 10)
    return made


def test_a_cold_server_that_leaves_the_list_and_returns_gets_no_second_budget() -> None:
    at = cold_gateway(1, 1, 80.0)
    sent = spend(at, 100.1)
    assert sent > 0
    at.servers["cold"].out.clear()
    at.roster(100.2, [replace(COLD, presence="gone")], complete=False)
    at.roster(100.3, [COLD], complete=False)
    assert spend(at, 100.4) == 0


def test_a_cold_servers_budget_holds_when_the_list_has_just_shrunk() -> None:
    """What many servers answered in the last seconds is no measure of one of the few that are left."""
    at = cold_gateway(1, 1, 80.0)
    at.roster(100.0, [replace(SERVER, server=f"s{number}") for number in range(1, 20)], complete=False)
    at.roster(100.5, [SERVER, COLD], complete=True)
    budget = 2.0 * (0.25 + 0.75 * 1.0 / 10.0) * 80.0 / 20 * 2.0
    assert spend(at, 101.0) <= budget


def test_no_timing_of_sends_brings_a_cold_server_down() -> None:
    """All spend what they may at the last moment of one slot and the first of each next one, within the time
    that the settings name: what comes is never more than the operators' term allows."""
    for gateways, ability in product((1, 4, 30, 200), (0.5, 2.0, 8.0, 40.0, 160.0)):
        budget = 2.0 * (0.25 + 0.75 * 2.0 / 10.0) * ability * 2.0
        allowed = budget + (2 * budget**0.5 + 2 if budget >= 30 else 3 * budget**0.5 + 3)
        for seed in range(20):
            each = 2 * ability / gateways
            nodes = [cold_gateway(gateways, 1000 * seed + number, each) for number in range(gateways)]
            moments = (101.9, 102.0, 102.5, 103.0, 103.5, 103.89)
            came = [sum(spend(one, now) for one in nodes) for now in moments]
            assert sum(came) <= allowed, (gateways, ability, seed, came)


# A fault in the decisions, and a file that is read too early.


def test_a_request_is_answered_by_its_deadline_though_the_decisions_fail(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def failing(*_: Any) -> None:
        raise RuntimeError("a fault in the decisions")

    async def act(scene: Scene) -> None:
        monkeypatch.setattr(Submission, "ended", failing)
        terms = b"c=pay,t=plan,d=300,units=1,spread=1,first=0"
        began = time.monotonic()
        answer = await scene.ask(request_bytes(b"Q.DO", terms))
        assert answer.startswith(b"-ERR") and time.monotonic() - began < 0.3 + 0.5

    standin = server(b"-ERR failed\r\n")
    run_node(make_deployment(known=known_servers(standin)), act, standin)


def test_a_file_that_was_half_written_at_a_hangup_is_taken_up_when_it_is_whole(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    given = json.loads((ROOT / "example/config.json").read_text())
    with socket.create_server(("127.0.0.1", 0)) as free:
        given |= {"listen": f"127.0.0.1:{free.getsockname()[1]}", "discovery": "127.0.0.1:1"}
    path.write_text(json.dumps(given))
    with socket.create_server(("127.0.0.1", 0)) as new, running_node(path) as node:
        whole = json.dumps(given | {"discovery": f"127.0.0.1:{new.getsockname()[1]}"})
        path.write_text(whole[: len(whole) // 2])
        node.send_signal(signal.SIGHUP)
        time.sleep(0.4)
        path.write_text(whole)
        new.settimeout(3.0)  # within the 4 s that the operators count from the signal on
        new.accept()[0].close()


@contextmanager
def running_node(path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """The program itself, once it answers; it is killed at the end."""
    process = subprocess.Popen(
        [sys.executable, "-m", "merlintally"],
        env=os.environ | {"LB_CONFIG": str(path)},
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    host, port = json.loads(path.read_text())["listen"].split(":")
    try:
        ends = time.monotonic() + 10.0
        while time.monotonic() < ends:
            with suppress(OSError), socket.create_connection((host, int(port)), 1.0) as sock:
                sock.sendall(array(b"PING"))
                if sock.recv(64) == b"+PONG\r\n":
                    break
            time.sleep(0.02)
        yield process
    finally:
        process.kill()
        process.wait(5.0)


# Where a folder lasts, writes and syncs fail for a while.


def entry(index: int, word: bytes) -> tuple[Any, ...]:
    return ("add", index, [Entry(3, 0, word)])


def words_kept(folder: Path) -> list[bytes]:
    return [one.data for one in Disk(folder).kept.entries]


def test_what_is_promised_after_a_failed_snapshot_is_there_after_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The new file stood in place of the old one, whose folder could not be synced: rows went to the old."""
    disk = Disk(tmp_path)
    disk.write([entry(1, b"one")])
    shot = ("snapshot", Snapshot(1, 3, Config(("a",)), b"state"))
    for name in ("replace", "fsync", "open", "write"):
        with monkeypatch.context() as failing:
            failing.setattr(os, name, fails_after(getattr(os, name), 1 if name == "fsync" else 0))
            with pytest.raises(Full):
                disk.write([shot])
        disk.write([entry(2, name.encode())])
    disk.close()
    assert words_kept(tmp_path) == [b"write"]


def fails_after(call: Call, count: int) -> Call:
    """A system call that works `count` times and fails from then on."""
    left = [count]

    def made(*args: Any, **named: Any) -> Any:
        left[0] -= 1
        if left[0] < 0:
            raise OSError(errno.EIO, "Input/output error")
        return call(*args, **named)

    return made


def test_rows_are_promised_only_where_a_failed_write_could_be_cut_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = Disk(tmp_path)
    disk.write([entry(1, b"one")])
    with monkeypatch.context() as failing:
        write = os.write
        failing.setattr(os, "write", lambda file, data: write(file, data[:7]) and fails_after(write, 0)())
        failing.setattr(os, "ftruncate", fails_after(os.ftruncate, 0))
        with pytest.raises(Full):
            disk.write([entry(2, b"two")])
        with pytest.raises(Full):  # while it can't be cut off
            disk.write([entry(2, b"two")])
    disk.write([entry(2, b"again")])
    disk.close()
    assert words_kept(tmp_path) == [b"one", b"again"]


# State that outlives what it was true of.


def test_a_customer_that_is_forgotten_gets_no_more_of_its_ceiling() -> None:
    """With a deep store and a low rate, a minute of silence filled it: it began anew as after a long run."""
    deep = replace(PLAN, ceiling_rate=1.0, ceiling_burst=400.0)
    at = gateway(plan=deep)
    at.customers.clear()
    take(at, now=1000.0)
    one = at.customers["c"]
    one.part, one.out, one.asked = 0.0, 0, None
    for now in (1061.0, 1070.0, 1080.0):
        at.alarm = 0.0
        at.wake(now)
    take(at, 2, now=1081.0)
    assert at.customers["c"].part <= deep.ceiling_rate / 2 * 81.0 + 0.01


def test_a_repeat_goes_by_the_group_in_which_the_first_one_ran() -> None:
    """A server listed anew in another group took the first one's place there, and the key with it."""
    at = gateway((lane(effect="stamped", discard_group="cell"),))
    handle = take(at)
    assert [server for _, server, _ in at.take_results(100.0).sends] == ["s1"]
    at.roster(100.1, [replace(SERVER, cell=5)], complete=True)
    handle.out.clear()
    assert at._may_send(100.2, handle, at.servers["s1"]) == "no effect twice"


def test_a_list_that_is_taken_while_discovery_moves_leaves_no_version_behind() -> None:
    """The new address was watched from a version of the old one's, and changes before it were never told."""
    release, chance = anyio.Event(), Random(1)

    async def blocked(*_: Any) -> None:
        await release.wait()

    async def act() -> None:
        old, new = ("127.0.0.1", 1), ("127.0.0.1", 2)
        owner = Mock(enqueue=AsyncMock(side_effect=blocked))
        discovery = Discovery(old, 3, Bounds(), owner, chance, Log("n", 9.0))
        async with anyio.create_task_group() as group:
            group.start_soon(discovery._take, listing(silent_server(), index=4).partition(b"\r\n\r\n")[2])
            await wait_until(lambda: owner.enqueue.called)
            discovery.move(new)
            release.set()
        assert discovery.version is None

    anyio.run(act)


def test_an_address_that_stays_taken_is_told_in_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    given = json.loads((ROOT / "example/config.json").read_text())
    with socket.create_server(("127.0.0.1", 0)) as taken_by:
        given |= {"listen": f"127.0.0.1:{taken_by.getsockname()[1]}", "node": {"bind_s": 0.2}}
        path.write_text(json.dumps(given))
        ended = subprocess.run(
            [sys.executable, "-m", "merlintally"],
            env=os.environ | {"LB_CONFIG": str(path)},
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            timeout=20,
        )
    assert ended.returncode == 1
    assert ended.stderr.startswith("merlintally: can't serve: ") and ended.stderr.count("\n") == 1


def test_a_repeat_begins_within_its_window_though_the_node_is_held_up_before_it_writes() -> None:
    at = gateway((lane(effect="stamped", discard_group="all", remembered=1.0),))
    handle = take(at)
    handle.out.clear()
    assert handle.may_repeat(100.8) and not handle.may_repeat(100.86)
    assert handle.begin_by(1) + 0.15 <= 101.0


def test_a_folder_that_fails_for_a_moment_holds_up_a_start_and_ends_it_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fsync, failures = os.fsync, [errno.EIO, errno.ENOSPC]

    def failing_at_first(file: int) -> None:
        if failures:
            raise OSError(failures.pop(), "for a moment")
        fsync(file)

    monkeypatch.setattr(os, "fsync", failing_at_first)
    disk = open_disk(ClusterPart(folder=str(tmp_path)))
    assert disk.start >= 1 and not failures


def test_a_start_cut_off_in_an_empty_folder_leaves_it_without_a_vote(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The log was there already, and the note that nothing in it was ever promised was not."""
    with monkeypatch.context() as killed:
        killed.setattr(Path, "read_bytes", fails_after(Path.read_bytes, 0))
        with pytest.raises(OSError):
            Disk(tmp_path)
    assert Disk(tmp_path).blank


# Calls on sockets that are waited for, ended or closed.


def test_waiting_ending_and_closing_that_fail_end_one_connection_and_no_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """epoll_ctl may want memory, shutdown find no connection, and close tell of an error that came late."""
    standin = server()
    wait, failures = anyio.wait_readable, [errno.ENOMEM, errno.ENOSPC]

    async def failing_wait(sock: Any) -> None:
        ours, theirs = ports_of(sock)
        if failures and ours == port[0] and theirs:
            raise OSError(failures.pop(), "for a moment")
        await wait(sock)

    def failing(name: str) -> Call:
        call = getattr(socket.socket, name)

        def made(sock: socket.socket, *args: Any) -> None:
            ours, theirs = ports_of(sock)
            call(sock, *args)
            if ours == port[0] or theirs == standin.address[1]:  # the node's sockets, and nobody else's
                raise OSError(errno.EIO, "for a moment")

        return made

    port = [0]

    async def act(scene: Scene) -> None:
        port[0] = scene.node.address[1]
        with monkeypatch.context() as patched:
            patched.setattr(anyio, "wait_readable", failing_wait)
            with await scene.connect() as sock:
                sock.sendall(request_bytes())
                assert await scene.receive(sock, until=1) == HI
        for name in ("close", "shutdown"):
            with monkeypatch.context() as patched:
                patched.setattr(socket.socket, name, failing(name))
                heard = await scene.ask(request_bytes(), array(b"QUIT"), until=2)
                assert heard == HI + b"+OK\r\n"
                await anyio.sleep(0.1)
        await still_serves(scene)
        assert not failures

    run_node(make_deployment(known=known_servers(standin), bounds=Bounds(linger_s=0.05)), act, standin)


def ports_of(sock: socket.socket) -> tuple[int, int]:
    """The ports of our and their end; 0 where there is none."""
    found = []
    for ask in (sock.getsockname, sock.getpeername):
        try:
            found.append(int(ask()[1]))
        except OSError:
            found.append(0)
    return found[0], found[1]


def test_a_request_that_can_not_be_handled_is_answered_and_so_are_those_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    make, left = Request.__init__, [0]

    def failing_second(*args: Any) -> None:
        left[0] += 1
        if left[0] == 2:
            raise RuntimeError("a fault in reading a request")
        make(*args)

    async def act(scene: Scene) -> None:
        monkeypatch.setattr(Request, "__init__", failing_second)
        with await scene.connect() as sock:
            sock.sendall(request_bytes() + request_bytes() + request_bytes())
            heard = await scene.receive(sock, until=3)
            assert heard.count(HI) == 2 and b"-ERR" in heard

    standin = server()
    run_node(make_deployment(known=known_servers(standin)), act, standin)


def test_a_small_server_in_slow_start_gets_a_part_by_its_size() -> None:
    """What a server answers on the mean is no measure of one that is listed as a quarter of the others."""
    large = [replace(SERVER, server=f"s{number}", size=4.0) for number in range(1, 8)]
    budgets = []
    for size in (4.0, 1.0):
        at = gateway(gateways=1)
        at.roster(100.0, [*large, replace(COLD, size=size)], complete=True)
        at.good.add(100.0, 8 * 200.0 * 10)
        budgets.append(spend(at, 100.5))
    of_large, of_small = budgets
    assert of_large > 20 and of_small <= 0.31 * of_large


def test_no_server_gets_a_command_whole_whose_told_time_has_gone_by(monkeypatch: pytest.MonkeyPatch) -> None:
    """A long request waited half-written for a server that read nothing, and told it of time long past."""
    monkeypatch.setattr(servers, "tcp_socket", lambda: small_buffers(tcp_socket()))
    listener = small_buffers(socket.create_server(("127.0.0.1", 0)))
    whole_at = list[float]()

    class LateReader(Standin):
        async def _speak(self, sock: socket.socket) -> None:
            with sock, suppress(OSError):
                await anyio.sleep(0.4)
                sock.setblocking(True)
                sock.settimeout(0.3)
                heard = b""
                while got := await anyio.to_thread.run_sync(sock.recv, 1 << 16):
                    heard += got
                    if is_complete_command(heard):
                        whole_at.append(time.monotonic())
                        sock.sendall(OK)

    standin = LateReader(lambda heard: OK)
    standin.sock.close()
    standin.sock, standin.address = listener, listener.getsockname()
    listener.setblocking(False)
    terms = b"c=pay,t=plan,d=900,units=1,spread=1,first=0"

    async def act(scene: Scene) -> None:
        began = time.monotonic()
        assert await scene.ask(request_bytes(b"Q.DO", terms, body=LONG))
        assert all(at - began < 0.15 for at in whole_at)

    run_node(make_deployment(known=known_servers(standin)), act, standin)
