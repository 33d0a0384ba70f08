"""A node among stand-ins: what becomes of requests, connections, and the node itself."""

import io
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock, patch

import anyio
import pytest
from helpers import (
    NOTHING,
    OK,
    Scene,
    Standin,
    known,
    listing,
    play,
    said,
    server,
    told,
    whole,
)

from merlintally.choice import Gateway, Submission
from merlintally.interface import Outcome
from merlintally.net import EdgeNode
from merlintally.net.clients import Client
from merlintally.net.configuration import Bounds
from merlintally.net.log import Log
from merlintally.net.node import reread
from merlintally.net.phases import Phase
from merlintally.net.polling import ReadyTimes
from merlintally.net.requests import PendingAnswer
from merlintally.net.resp import array, bulk
from merlintally.net.sockets import Allowance
from merlintally.net.timers import Clock

ROOT = Path(__file__).parent.parent


def heard_of(answer: bytes | None, *asked: bytes) -> bytes:
    """What a client hears when its app server says `answer`."""
    at, heard = server(answer), list[bytes]()

    async def act(scene: Scene) -> None:
        heard.append(await scene.ask(*(asked or (said(),))))

    play(told(known=known(at)), act, at)
    return heard[0]


def test_delivered_is_the_value_and_nothing_else() -> None:
    assert heard_of(OK) == b"$2\r\nhi\r\n"


def test_in_pieces_and_byte_by_byte() -> None:
    raw = said()
    assert heard_of(OK, raw[:7], raw[7:60], raw[60:]) == b"$2\r\nhi\r\n"
    assert heard_of(OK, *(raw[at : at + 1] for at in range(len(raw)))) == b"$2\r\nhi\r\n"


def test_a_value_of_64_kib_goes_through() -> None:
    value = bulk(b"v" * 65536)
    assert heard_of(b"*3\r\n" + value + NOTHING) == value


def test_what_may_have_run_is_no_bounce_unless_harmless() -> None:
    """Guards against a rejection, which promises that trying again is harmless, for what may have run."""
    paid = said(b"Q.DO", b"c=pay,t=plan,d=1500,units=1,spread=1,first=0")
    assert heard_of(None, paid).startswith(b"-ERR")
    assert heard_of(b"-ERR failed\r\n", paid).startswith(b"-ERR")
    assert heard_of(b"+nonsense\r\n", paid).startswith(b"-ERR")
    assert heard_of(b"-BUSY\r\n", paid).startswith(b"-BUSY")


def test_an_answer_broken_off_at_any_point_is_never_passed_on() -> None:
    """Guards against a value that no app server gave whole; what may have run is no rejection."""
    paid, heard = said(b"Q.DO", b"c=pay,t=plan,d=1500,units=1,spread=1,first=0"), list[bytes]()

    async def act(scene: Scene) -> None:
        heard.append(await scene.ask(paid))

    for stop in (1, 5, 9, 11, len(OK) - 1):
        at = server(OK[:stop])
        at.breaks_off = True
        play(told(known=known(at)), act, at)
    assert heard == [b"-ERR given up\r\n"] * 5


def test_an_answer_that_stops_short_ends_early_and_another_execution_may_follow() -> None:
    """Guards against places taken until the hard limit by answers that will never be whole."""
    answers = iter([OK[:9], OK])
    at = Standin(lambda heard: next(answers) if whole(heard) else b"")

    async def act(scene: Scene) -> None:
        began = anyio.current_time()
        assert await scene.ask(said()) == b"$2\r\nhi\r\n"
        assert anyio.current_time() - began < 0.8

    assert "stopped short" in play(told(known=known(at), bounds=Bounds(stall_s=0.1)), act, at)


def test_commands_behind_one_another_are_answered_in_order() -> None:
    """Guards against answers that overtake: the first is slow, and things beside requests come at once."""
    at, heard = server(), list[bytes]()

    async def act(scene: Scene) -> None:
        heard.append(
            await scene.ask(said() + array(b"PING") + said() + array(b"nap") + said(terms=b"c=nap"), until=5)
        )

    play(told(known=known(at)), act, at)
    lines = heard[0].split(b"\r\n")
    assert [line[:4] for line in lines] == [b"$2", b"hi", b"+PON", b"$2", b"hi", b"-ERR", b"-ERR", b""]


def test_lost_framing_is_answered_after_what_came_before_and_closed() -> None:
    assert heard_of(OK, said() + b"rubbish\r\n" + said()).startswith(b"$2\r\nhi\r\n")
    at, heard = server(), list[bytes]()

    async def act(scene: Scene) -> None:
        heard.append(await scene.ask(said() + b"rubbish\r\n" + said(), until=0))
        heard.append(await scene.ask(b"*5\r\n$5\r\nQ.ASK\r\n$70000\r\n", until=0))
        heard.append(await scene.ask(array(b"PING")))

    log = play(told(known=known(at)), act, at)
    assert heard[0].startswith(b"$2\r\nhi\r\n-ERR Protocol error") and heard[0].count(b"\r\n") == 3
    assert heard[1].startswith(b"-ERR Protocol") and heard[2] == b"+PONG\r\n"
    assert log.count("n: client 127.0.0.1:") == log.count("; its connection is closed") == 2
    assert b"".join(at.heard).count(b"Q.ASK") == 1


def test_the_id_of_an_open_submission_is_refused_and_the_open_one_answered() -> None:
    """Guards against another's answer: whoever uses an id that is open gets neither it nor in its way."""
    at, heard = Standin(lambda heard: OK if heard.count(b"Q.ASK") > 1 else b""), list[bytes]()

    async def act(scene: Scene) -> None:
        first = await scene.connect()
        first.sendall(said(number=b"7"))
        await anyio.sleep(0.05)
        heard.append(await scene.ask(said(number=b"7", customer=b"00000000b4d65522")))
        assert len(at.heard) == 1
        first.close()
        await anyio.sleep(0.05)
        again = await scene.connect()
        again.sendall(said(number=b"7"))
        await anyio.sleep(0.05)
        assert len(at.heard) == 2  # it may be used once more when it is no longer open

    play(told(known=known(at)), act, at)
    assert heard[0].startswith(b"-ERR the id")


def test_silent_dripping_and_half_said_connections_are_closed_in_time() -> None:
    """Guards against connections held for good by clients that never bring a request."""
    bounds, at = Bounds(client_patience_s=0.3, client_rest_s=0.1), server()

    async def act(scene: Scene) -> None:
        silent, half, dripping, pinging = [await scene.connect() for _ in range(4)]
        usual = await scene.connect()
        half.sendall(said()[:40])
        for count in range(20):
            with suppress(OSError):
                dripping.sendall(b"*4\r\n$5\r\nQ.ASK\r\n$16\r\n"[count : count + 1])
                pinging.sendall(array(b"PING"))
            if count % 4 == 0:
                usual.sendall(said())
            await anyio.sleep(0.06)
        assert await scene.hear(usual, until=5) == b"$2\r\nhi\r\n" * 5
        for sock in (silent, half, dripping, pinging):
            with anyio.fail_after(0.1):
                await scene.hear(sock)

    log = play(told(known=known(at), bounds=bounds), act, at)
    told_of = [line.split(" with no complete command in time") for line in log.splitlines()]
    closed = [int(line[0].split()[-1]) for line in told_of if len(line) == 2]
    assert sum(closed) == 4 and "client 127.0.0.1 " in log


def test_one_that_repeats_what_is_turned_away_is_slowed_and_closed() -> None:
    """Guards against the CPU that it would take: the first error comes at once, and the connection ends."""
    heard = list[bytes]()

    async def act(scene: Scene) -> None:
        for nonsense, errors in ((array(b"NAP"), 8), (b"*0\r\n", 0)):
            assert (await scene.ask(nonsense * 300, until=0)).count(b"-ERR") == errors
        began = anyio.current_time()
        heard.append(await scene.ask(said(terms=b"c=nap") * 300))
        assert anyio.current_time() - began < 0.5
        heard.append(await scene.ask(said(terms=b"c=nap") * 300, until=0))
        assert anyio.current_time() - began > 0.12

    log = play(told(bounds=Bounds(faults=8, fault_pause_s=0.02)), act)
    assert log.count("8 invalid commands in a row") == 3
    assert heard[0].startswith(b"-ERR") and heard[1].count(b"-ERR") == 8


def test_what_is_sent_behind_a_fault_is_not_read() -> None:
    """Guards against the CPU and memory that 60 MB behind a head that can't be would take."""

    async def act(scene: Scene) -> None:
        sock = await scene.connect()
        sock.sendall(array(*[b"x"] * 4).replace(b"*4", b"*5") + b"$60000000\r\n")
        sent, began = 0, anyio.current_time()
        with suppress(ConnectionError):
            while sent < 60_000_000 and anyio.current_time() - began < 2.0:
                with suppress(BlockingIOError):
                    sent += sock.send(b"x" * 65536)
                await anyio.sleep(0)
        assert sent < 30_000_000 and anyio.current_time() - began < 1.5
        assert await scene.ask(array(b"PING")) == b"+PONG\r\n"

    play(told(), act)


def test_what_an_app_server_can_not_use_is_the_clients_fault() -> None:
    """Guards against servers that are left out for what a bad client sent: it is not sent again either."""
    at, ends = server(b"-ERR bad request\r\n"), list[object]()
    real = Submission.ended

    def ended(self: Submission, now: float, number: int, outcome: Outcome, *rest: Any) -> None:
        ends.append((outcome, rest[1]))
        real(self, now, number, outcome, *rest)

    async def act(scene: Scene) -> None:
        assert (await scene.ask(said())).startswith(b"-ERR refused")

    with patch.object(Submission, "ended", ended):
        play(told(known=known(at)), act, at)
    assert ends == [("withdrawn", True)] and len(at.heard) == 1


def test_a_client_that_goes_away_calls_its_execution_off() -> None:
    at = Standin(lambda heard: b"")

    async def act(scene: Scene) -> None:
        sock = await scene.connect()
        sock.sendall(said())
        await anyio.sleep(0.1)
        before = at.ends
        sock.close()
        await anyio.sleep(0.1)
        assert (len(at.heard), before, at.ends) == (1, 0, 1)

    play(told(known=known(at)), act, at)


def test_silence_is_given_up_at_the_hard_limit_and_the_connection_closed() -> None:
    at, heard = Standin(lambda heard: b""), list[bytes]()

    async def act(scene: Scene) -> None:
        began = anyio.current_time()
        heard.append(await scene.ask(said(b"Q.DO", b"c=pay,t=plan,d=300,units=1,spread=1,first=0")))
        assert 0.2 < anyio.current_time() - began < 0.36
        await anyio.sleep(0.05)
        assert at.ends == 1

    play(told(known=known(at)), act, at)
    assert heard[0].startswith(b"-ERR")


def test_connections_are_used_again_and_retired_before_the_server_would() -> None:
    """Guards against a late write on a connection that its server closes: it would count as may have run."""
    at = server()

    async def act(scene: Scene) -> None:
        for _ in range(5):
            assert await scene.ask(said()) == b"$2\r\nhi\r\n"
            await anyio.sleep(0.02)
        before = at.ends
        await anyio.sleep(2.3)
        assert (before, at.ends, len(at.heard)) == (0, 1, 5)

    play(told(known=known(at), idle_close=2.0), act, at)


def test_a_connection_closed_by_its_server_is_seen_and_nothing_is_written_to_it() -> None:
    answers = iter([OK, None, OK])
    at = Standin(lambda heard: next(answers) if whole(heard) else b"")

    async def act(scene: Scene) -> None:
        assert await scene.ask(said()) == b"$2\r\nhi\r\n"
        assert await scene.ask(said()) == b"$2\r\nhi\r\n"  # harmless: broken once, and sent again

    play(told(known=known(at)), act, at)
    assert len(at.heard) == 3


def test_a_connection_that_has_just_answered_is_not_used_at_once() -> None:
    """Guards against what its server still sends: it would be taken for the next one's answer."""
    at = server()

    async def act(scene: Scene) -> None:
        assert await scene.ask(said()) == b"$2\r\nhi\r\n"
        assert await scene.ask(said()) == b"$2\r\nhi\r\n" and at.accepted == 2
        await anyio.sleep(0.25)
        assert await scene.ask(said()) == b"$2\r\nhi\r\n" and at.accepted == 2

    play(told(known=known(at), bounds=Bounds(rest_s=0.2)), act, at)


def test_no_server_at_the_address_is_surely_not_run() -> None:
    gone = server()
    gone.sock.close()
    heard = list[bytes]()

    async def act(scene: Scene) -> None:
        heard.append(await scene.ask(said(b"Q.DO", b"c=pay,t=plan,d=400,units=1,spread=1,first=0")))

    play(told(known=known(gone)), act)
    assert heard[0].startswith(b"-BUSY")


def test_discovery_is_followed_and_a_draining_server_gets_nothing_new() -> None:
    """First the whole list, then a watch; a malformed answer has the whole list asked for anew."""
    old, new = server(), server()
    lists = iter([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", listing(new)])
    asked = list[bytes]()

    def say(heard: bytes) -> bytes:
        if not heard.endswith(b"\r\n\r\n"):
            return b""
        asked.append(heard.split(b" ")[1])
        return next(lists, b"")

    discovery = Standin(say)

    async def act(scene: Scene) -> None:
        await anyio.sleep(0.4)
        assert await scene.ask(said()) == b"$2\r\nhi\r\n"

    log = play(told(known=known(old, old), discovery=discovery.address), act, discovery, new)
    assert asked[:2] == [b"/v1/servers"] * 2 and asked[2].startswith(b"/v1/servers?since=1&timeout_ms=")
    assert not old.heard and len(new.heard) == 1 and "discovery" in log


def test_discovery_gone_silent_is_asked_again_from_the_version_held() -> None:
    at, asked = server(), list[bytes]()

    def say(heard: bytes) -> bytes:
        asked.append(heard.split(b" ")[1])
        return listing(at, index=7) if len(asked) == 1 else b""

    discovery = Standin(say)
    bounds = Bounds(watch_s=0.1, answer_s=0.1)

    async def act(scene: Scene) -> None:
        await anyio.sleep(0.6)
        assert await scene.ask(said()) == b"$2\r\nhi\r\n"

    play(told(discovery=discovery.address, bounds=bounds, known_index=3), act, discovery, at)
    assert b"since=3" in asked[0]  # a start asks for changes since the list it is told
    # Behind a silent watch comes no further one before an answer, which could be silent as well.
    assert asked[1] == b"/v1/servers?since=7&timeout_ms=100"
    assert len(asked) >= 3 and set(asked[2:]) == {b"/v1/servers?since=7&timeout_ms=1"}


def test_a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told() -> None:
    """It was given up at 11.7 s where what it missed counted as told at 6 s: its wait counts, too."""
    at, times = server(), list[float]()

    def say(heard: bytes) -> bytes:
        times.append(anyio.current_time())
        return listing(at, index=7) if len(times) == 1 else b""

    discovery = Standin(say)

    async def act(scene: Scene) -> None:
        await anyio.sleep(1.7)

    with patch("merlintally.net.discovery.TOLD_S", 2.0):
        play(told(discovery=discovery.address, bounds=Bounds(watch_s=0.4, answer_s=3.0)), act, discovery, at)
    assert len(times) == 3 and times[2] - times[1] < 1.6


def refusing(bounds: Bounds) -> tuple[list[bytes], list[float]]:
    """What an overloaded discovery is asked in a second and a half, after one good answer, and the gaps."""
    at, asked, times = server(), list[bytes](), list[float]()

    def say(heard: bytes) -> bytes:
        asked.append(heard.split(b" ")[1])
        times.append(anyio.current_time())
        return listing(at, index=7) if len(asked) == 1 else b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

    async def act(scene: Scene) -> None:
        await anyio.sleep(1.5)
        assert await scene.ask(said()) == b"$2\r\nhi\r\n"

    discovery = Standin(say)
    play(told(discovery=discovery.address, bounds=bounds), act, discovery, at)
    return asked, [later - one for one, later in zip(times, times[1:], strict=False)]


def test_discovery_that_is_overloaded_is_asked_ever_less_for_changes_only_and_never_too_late() -> None:
    """Guards against hundreds of nodes whose asking leaves no answer to any, and drains told unheard."""
    asked, gaps = refusing(Bounds(spared_s=0.05))
    assert 3 <= len(asked) < 12 and all(b"since=7" in one for one in asked[1:]) and gaps[-1] > gaps[1]
    with patch("merlintally.net.discovery.TOLD_S", 0.5):
        asked, gaps = refusing(Bounds(spared_s=60.0, asked_before_s=0.1, watch_s=0.1))
    assert len(asked) >= 3 and max(gaps) < 0.6


def test_discovery_that_was_overloaded_is_asked_again_at_once_after_each_answer() -> None:
    """Guards against a drain that counts as told since the node could have asked after its last answer."""
    at, times = server(), list[float]()

    def say(heard: bytes) -> bytes:
        times.append(anyio.current_time())
        if len(times) <= 2:
            return b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        return listing(at, index=7) if len(times) < 6 else b""

    async def act(scene: Scene) -> None:
        await anyio.sleep(2.0)

    discovery = Standin(say)
    play(told(discovery=discovery.address, bounds=Bounds(spared_s=0.3)), act, discovery, at)
    gaps = [later - one for one, later in zip(times, times[1:], strict=False)]
    assert len(gaps) >= 5 and max(gaps[2:5]) < 0.14 < gaps[0]


def counting(say: object, *asked: bytes) -> list[bytes]:
    """What clients hear, one after another, with a counter that speaks so and two gateways."""
    at, counter = server(), Standin(say)  # type: ignore[arg-type]
    deployment = told(known=known(at), counter=counter.address)
    facts = replace(deployment.facts, may_count=True, gateways=2, count_time_out=0.08)
    heard = list[bytes]()

    async def act(scene: Scene) -> None:
        for one in asked:
            heard.append(await scene.ask(one))

    play(replace(deployment, facts=facts), act, at, counter)
    assert counter.heard and counter.heard[0].startswith(b"tally ")
    return heard


ASKED_TERMS = b"c=look,t=plan,d=1500,units=2,spread=2,first=0"
ASKED = said(terms=ASKED_TERMS)


def test_the_counter_decides_and_its_silence_is_bounded() -> None:
    """Full, broken, silent or malformed, a request is decided all the same; a total told is believed."""

    def total(of: bytes) -> bytes:
        return b"ok %b\r\n" % of

    assert counting(lambda heard: total(b"2"), ASKED) == [b"$2\r\nhi\r\n"]
    assert counting(lambda heard: total(b"9000"), ASKED)[0].startswith(b"-BUSY")
    for say in (b"busy\r\n", b"error\r\n", b"", b"what\r\n", None):
        assert counting(lambda heard, say=say: say, ASKED) == [b"$2\r\nhi\r\n"]


def test_another_counter_and_discovery_are_taken_up_while_serving() -> None:
    """Guards against a call forgotten at the old counter, one made twice, and an old list gone by."""
    at, new_at = server(), server()
    old, new = Standin(lambda heard: b""), Standin(lambda heard: b"ok 2\r\n")
    discovery = Standin(lambda heard: listing(new_at, index=1) if b"since" not in heard else b"")
    deployment = told(known=known(at), counter=old.address)
    facts = replace(deployment.facts, may_count=True, gateways=2, count_time_out=0.15)
    deployment, heard = replace(deployment, facts=facts), list[bytes]()

    async def act(scene: Scene) -> None:
        early = await scene.connect()
        early.sendall(ASKED)
        await anyio.sleep(0.05)
        scene.node.reload(replace(deployment, counter=new.address, discovery=discovery.address))
        heard.append(await scene.ask(said(terms=ASKED_TERMS, customer=b"00000000b4d65522")))
        heard.append(await scene.hear(early, until=1))
        await anyio.sleep(0.2)
        heard.append(await scene.ask(said(terms=ASKED_TERMS, customer=b"00000000b4d65523")))

    play(deployment, act, at, new_at, old, new, discovery)
    assert heard == [b"$2\r\nhi\r\n"] * 3 and len(old.heard) == 1 and len(new.heard) >= 2
    assert not any(call in b"".join(new.heard) for call in old.heard) and new_at.heard


@pytest.mark.parametrize("text", [None, '{"name"', '{"discovery": 7}'])
def test_a_bad_new_file_leaves_the_old_in_force(text: str | None, tmp_path: Path) -> None:
    path, said_so, node = tmp_path / "config.json", io.StringIO(), EdgeNode(told())
    node.log = Log("n", 9.0, said_so)
    if text is not None:
        path.write_text(text)
    with patch.dict(os.environ, {"LB_CONFIG": str(path)}), patch.object(node, "reload") as reload:
        reread(node)
    assert not reload.called and said_so.getvalue().endswith("stays in force\n")


def test_a_hangup_has_the_file_read_again_and_ends_nothing(tmp_path: Path) -> None:
    """The program itself, told by signals: it goes on after SIGHUP, and ends after SIGTERM."""
    path = tmp_path / "config.json"
    given = json.loads((ROOT / "example/config.json").read_text())
    with socket.create_server(("127.0.0.1", 0)) as free:
        given |= {"listen": f"127.0.0.1:{free.getsockname()[1]}", "discovery": "127.0.0.1:1"}
    path.write_text(json.dumps(given))
    with subprocess.Popen(
        [sys.executable, "-m", "merlintally"],
        env=os.environ | {"LB_CONFIG": str(path)},
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    ) as program:
        assert program.stderr is not None
        try:
            program.stderr.readline()  # what it has to say of discovery, which is not there: it runs
            path.write_text("no JSON")
            program.send_signal(signal.SIGHUP)
            heard = program.stderr.readline()
            program.send_signal(signal.SIGTERM)
            assert "stays in force" in heard and program.wait(10) == 0
        finally:
            program.kill()


def test_idle_connections_give_way_when_descriptors_run_out() -> None:
    """Guards against a node that stops, or spins, with its last descriptor."""
    at = server()

    async def act(scene: Scene) -> None:
        idle = [await scene.connect() for _ in range(60)]
        assert await scene.ask(said()) == b"$2\r\nhi\r\n"
        for sock in idle:
            sock.close()

    play(told(known=known(at), sockets=64), act, at)


def test_a_full_queue_holds_back_and_loses_nothing() -> None:
    at, heard = server(), list[bytes]()

    async def act(scene: Scene) -> None:
        heard.append(await scene.ask(*(said() for _ in range(60)), until=60))

    play(told(known=known(at), memory=1000, bounds=Bounds(queue=1, pipelined=3)), act, at)
    assert heard[0] == b"$2\r\nhi\r\n" * 60


def test_more_than_may_be_open_are_bounced() -> None:
    at, heard = Standin(lambda heard: b""), list[bytes]()

    async def act(scene: Scene) -> None:
        first = await scene.connect()
        first.sendall(said())
        await anyio.sleep(0.05)
        heard.append(await scene.ask(said()))

    play(told(known=known(at), most_open=1), act, at)
    assert heard[0] == b"-BUSY\r\n"


def test_told_to_stop_it_takes_for_a_while_answers_all_and_ends() -> None:
    at, heard = Standin(lambda heard: b""), list[bytes]()
    bounds = Bounds(leave_s=0.3, finish_s=0.6)

    async def act(scene: Scene) -> None:
        idle, early = await scene.connect(), await scene.connect()
        scene.node.leave()
        early.sendall(said(b"Q.DO", b"c=pay,t=plan,d=1500,units=1,spread=1,first=0"))
        await anyio.sleep(0.1)
        late = await scene.connect()
        late.sendall(said())
        assert await scene.hear(idle) == b""
        heard.extend([await scene.hear(early), await scene.hear(late)])
        await scene.node.phases.reached(Phase.ENDED)

    play(told(known=known(at), bounds=bounds), act, at)
    assert len(at.heard) == 2 and heard[0].startswith(b"-ERR") and heard[1].startswith(b"-BUSY")


@contextmanager
def not_coming_up(standin: Standin) -> Iterator[None]:
    """Connections to it hang: the line of the listener is full, and nobody accepts."""
    standin.sock.listen(0)
    with ExitStack() as filling:
        for _ in range(3):
            sock = filling.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(standin.address)
        yield


def test_a_machine_that_vanished_is_surely_not_run() -> None:
    gone, heard = server(), list[bytes]()

    async def act(scene: Scene) -> None:
        heard.append(await scene.ask(said(b"Q.DO", b"c=pay,t=plan,d=900,units=1,spread=1,first=0")))

    with not_coming_up(gone):
        play(told(known=known(gone), connect_time_out=0.1), act)
    assert heard[0].startswith(b"-BUSY")


def test_a_drain_ends_what_has_still_to_connect() -> None:
    """Guards against a send past the grace: a connection that comes up late writes nothing any more."""
    old = server()
    discovery = Standin(lambda heard: listing(old, status="DRAINING") if b"since" not in heard else b"")

    async def act(scene: Scene) -> None:
        with not_coming_up(old):
            asking = await scene.connect()
            asking.sendall(said(terms=b"c=look,t=plan,d=2000,units=1,spread=1,first=0"))
            await anyio.sleep(0.1)
            async with anyio.create_task_group() as group:
                group.start_soon(discovery.run)
                await anyio.sleep(0.2)
                group.start_soon(old.run)
                await anyio.sleep(1.3)  # the system tries to connect once more after a second
                group.cancel_scope.cancel()
            asking.close()

    play(told(known=known(old), discovery=discovery.address, connect_time_out=5.0), act)
    assert not old.heard


def test_a_client_that_reads_nothing_holds_up_nobody_else() -> None:
    """Guards against answers piling up for one that does not read them: nothing more is read of it."""
    value = bulk(b"v" * 65000)
    at = server(b"*3\r\n" + value + NOTHING)

    async def act(scene: Scene) -> None:
        deaf = await scene.connect()
        deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with suppress(BlockingIOError):
            deaf.sendall(b"".join(said() for _ in range(4000)))
        await anyio.sleep(0.3)
        assert await scene.ask(said()) == value
        deaf.close()

    play(told(known=known(at)), act, at)


def test_answers_that_are_not_read_count_as_held() -> None:
    """Guards against memory without a bound: beyond what may be held no client is read."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    clients: Any = SimpleNamespace(
        held=Allowance(1 << 20), clock=Clock(), bounds=Bounds(), group=Mock(), ready_times=ReadyTimes()
    )
    client = Client(clients, ours)
    client.pending.append(PendingAnswer([b"x" * (8 << 20)]))
    with theirs:
        client.write_answers()
        assert clients.held.full and clients.group.start_soon.called
    client.stream.unsent = []
    client._account_unread()
    ours.close()
    assert clients.held.held == 0


def test_a_datagram_of_a_stranger_or_beyond_256_bytes_is_dropped() -> None:
    noted = list[tuple[int, bytes]]()
    ours = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    ours.bind(("127.0.0.1", 0))

    async def act(scene: Scene) -> None:
        assert scene.node.peer_sock is not None
        where = scene.node.peer_sock.getsockname()
        for sock, payload in ((ours, b"a" * 256), (ours, b"b" * 257), (stranger, b"c"), (ours, b"d")):
            sock.sendto(payload, where)
        await anyio.sleep(0.1)

    with patch.object(Gateway, "noted", lambda self, now, peer, payload: noted.append((peer, payload))):
        log = play(told(peer_listen=("127.0.0.1", 0), peers=(("127.0.0.1", 9), ours.getsockname())), act)
    ours.close()
    stranger.close()
    assert noted == [(1, b"a" * 256), (1, b"d")] and log.count("is dropped") == 2
