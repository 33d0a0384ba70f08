"""Forms on the wire, and what goes with sockets, without a node."""

import io
import json
import os
import socket
import time
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from helpers import make_deployment, parsed_request, request_bytes

from merlintally.fields import Malformed
from merlintally.net.backoff import Backoff
from merlintally.net.configuration import (
    Faulty,
    bounds_of,
    deployment_of,
    fixed_changes,
    page,
    read_deployment,
)
from merlintally.net.counter import PART, Call, Counter, outcome_of
from merlintally.net.dispatcher import Dispatcher
from merlintally.net.log import Log
from merlintally.net.phases import Phase, Phases
from merlintally.net.resp import array, array_at
from merlintally.net.servers import answer_at, figures
from merlintally.net.sockets import Buffer, Stream, gather
from merlintally.net.timers import Clock


def wrong_with(raw: bytes) -> str:
    try:
        parsed_request(raw)
    except Malformed as wrong:
        return str(wrong)
    return ""


def test_a_command_is_whole_only_at_its_last_byte() -> None:
    raw = request_bytes()
    assert all(array_at(bytearray(raw), 0, stop) is None for stop in range(len(raw)))
    found = array_at(bytearray(b"xx" + raw + b"*1"), 2, len(raw) + 4)
    assert found is not None and found[1] == len(raw) + 2


@pytest.mark.parametrize(
    "raw",
    [
        b"PING\r\n",
        b"*x\r\n",
        b"*-2\r\n",
        b"*1\r\n+a\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*1\r\n$65537\r\n",
        b"*65\r\n",
        b"*9999999999\r\n",
        b"*" + b"1" * 600,
        b"*1\r\n$\r\n",
    ],
)
def test_lost_framing_is_told_from_what_has_not_come(raw: bytes) -> None:
    with pytest.raises(Malformed):
        array_at(bytearray(raw), 0, len(raw))


def test_a_submission_goes_on_unchanged_but_for_the_time_waited() -> None:
    terms = b"t=plan,c=order,d=1500,k=5c0f,x=d=1500,units=2,spread=1,first=0"
    message = b"".join(parsed_request(request_bytes(b"Q.DO", terms, b"d=1500", number=b"7")).message(0.0724))
    assert message == request_bytes(b"Q.DO", terms.replace(b"r,d=1500", b"r,d=72"), b"d=1500", number=b"7")


def test_a_client_waits_no_longer_than_its_lane_allows() -> None:
    assert (
        parsed_request(request_bytes(terms=b"c=look,t=plan,d=900000000,units=1,spread=1,first=0")).deadline
        == 102.0
    )
    assert (
        parsed_request(request_bytes(terms=b"c=look,t=plan,d=500,units=1,spread=1,first=0")).deadline == 100.5
    )


@pytest.mark.parametrize(
    ("wrong", "raw"),
    [
        ("'c' names no lane", request_bytes(terms=b"c=nap,t=plan,d=9,units=1,spread=1,first=0")),
        ("'c' is missing", request_bytes(terms=b"t=plan,d=9,units=1,spread=1,first=0")),
        ("'t' names no plan", request_bytes(terms=b"c=look,t=none,d=9,units=1,spread=1,first=0")),
        ("'d' is missing", request_bytes(terms=b"c=look,t=plan,units=1,spread=1,first=0")),
        ("'d' is not a whole", request_bytes(terms=b"c=look,t=plan,d=9.5,units=1,spread=1,first=0")),
        ("'d' is no number", request_bytes(terms=b"c=look,t=plan,d=-9,units=1,spread=1,first=0")),
        ("'d' is no number", request_bytes(terms=b"c=look,t=plan,d=1_0,units=1,spread=1,first=0")),
        ("'first' is no number", request_bytes(terms=b"c=look,t=plan,d=9,units=1,spread=1,first=1e9")),
        ("'units' is no number", request_bytes(terms=b"c=look,t=plan,d=9,units=nan,spread=1,first=0")),
        ("above 0", request_bytes(terms=b"c=look,t=plan,d=9,units=0,spread=1,first=0")),
        ("no set", request_bytes(terms=b"c=look,t=plan,d=9,units=1,spread=0,first=0")),
        ("'first' is missing", request_bytes(terms=b"c=look,t=plan,d=9,units=1,spread=1")),
        ("name=value", request_bytes(terms=b"c=look,t=plan,d=9,,units=1,spread=1,first=0")),
        ("name=value", request_bytes(terms=b"c=look,c=order,t=plan,d=9,units=1,spread=1,first=0")),
        ("ASCII", request_bytes(terms=b"c=look\xff,t=plan,d=9,units=1,spread=1,first=0")),
        ("'k' is missing", request_bytes(b"Q.DO", b"c=order,t=plan,d=9,units=1,spread=1,first=0")),
        ("go with the command", request_bytes(b"Q.DO")),
        ("go with the command", request_bytes(b"Q.ASK", b"c=pay,t=plan,d=9,units=1,spread=1,first=0")),
        ("16 hex", request_bytes(customer=b"00000000b4d6552x")),
        ("below 2^33", request_bytes(customer=b"0000000200000000")),
        ("beyond the largest", request_bytes(terms=b"c=look,t=plan,d=9,units=7,spread=1,first=0")),
        ("no set", request_bytes(terms=b"c=look,t=plan,d=9,units=1,spread=2,first=0")),
        ("no set", request_bytes(terms=b"c=look,t=plan,d=9,units=1,spread=1,first=1")),
        ("has 4 words", request_bytes().replace(b"*4", b"*5") + b"$4\r\nBODY\r\n"),
        (
            "has 5 words",
            array(b"Q.DO", b"00000000b4d65521", b"7", b"c=pay,t=plan,d=9,units=1,spread=1,first=0"),
        ),
        ("the id is", request_bytes(number=b"a b")),
    ],
)
def test_a_bad_submission_is_refused_by_name(wrong: str, raw: bytes) -> None:
    assert wrong in wrong_with(raw)


@pytest.mark.parametrize(
    ("raw", "outcome", "value", "actual"),
    [
        (b"*3\r\n$2\r\nhi\r\n$14\r\nused=37,cost=4\r\n$-1\r\n", "ok", b"$2\r\nhi\r\n", 4),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", "ok", b"$0\r\n\r\n", 0),
        (b"*3\r\n$2\r\nhi\r\n$10\r\ncost=1.2.3\r\n$5\r\n\xff=\n=,\r\n", "ok", b"$2\r\nhi\r\n", 0),
        (b"-ERR bad request\r\n", "withdrawn", b"-ERR refused by the app server\r\n", 0),
        (b"*3\r\n$2\r\nhi\r\n$-1\r\n$23\r\ninflight=7,queue=2,x=.6\r\n", "ok", b"$2\r\nhi\r\n", 0),
        (b"-ERR failed used=3\r\n", "error", b"", 0),
        (b"-BUSY\r\n", "full", b"", 0),
    ],
)
def test_answers_of_app_servers(raw: bytes, outcome: str, value: bytes, actual: float) -> None:
    found = answer_at(bytearray(raw), 0, len(raw), {"inflight": "held"})
    assert found is not None and found[1] == len(raw)
    assert (found[0].outcome, found[0].value, found[0].actual) == (outcome, value, actual)
    assert found[0].report == ({"held": 7.0} if b"inflight" in raw else None)
    assert all(answer_at(bytearray(raw), 0, stop, {}) is None for stop in range(len(raw)))


@pytest.mark.parametrize(
    "raw",
    [
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*0\r\n",
        b"+OK\r\n",
        b":5\r\n",
        b"*1000000000\r\n",
        b"*3\r\n$3000000000\r\n",
        b"*3\r\n$4\r\nabcdefgh\r\n",
        b"*3\r\n$-7\r\n",
        b"-BUSYx\r\n",
        b"-BUSY \xff\r\n",
        b"-\x07noise\r\n",
        b"-" + b"x" * 600,
    ],
)
def test_spoilt_answers_of_app_servers(raw: bytes) -> None:
    """Guards against one that counts as never run, or that leaves a connection in use that is of none."""
    with pytest.raises(Malformed):
        answer_at(bytearray(raw), 0, len(raw), {})


@pytest.mark.parametrize("answer", ["ok", "ok many", "ok nan", "ok inf", "fine 3", ""])
def test_malformed_answers_of_the_counter(answer: str) -> None:
    with pytest.raises(Malformed):
        outcome_of(answer)


def test_a_client_that_goes_away_before_its_send_is_done_leaves_nothing_behind() -> None:
    """Guards against sends that the decisions hold to be out for good, and a wake-up lost with them: both
    calls come through the queue before what is wanted of the first is done."""
    log = io.StringIO()
    dispatcher = Dispatcher(make_deployment(), Clock(), Log("n", 9.0, log))
    dispatcher.timers = dispatcher.fleet = others = Mock()
    rows = [{"name": "s", "status": "SERVING", "address": "127.0.0.1:1"}]
    dispatcher.listed(page({"index": 1, "endpoints": rows})[2], True)
    one = parsed_request(request_bytes())
    one.deadline = dispatcher.clock.now() + 1.0
    dispatcher.take(one)
    assert dispatcher.gateway.out == 1
    dispatcher.client_left(one)
    dispatcher.carry_out()
    assert (dispatcher.gateway.out, dispatcher.open_requests, dispatcher.open_ids, log.getvalue()) == (
        0,
        {},
        set(),
        "",
    )
    assert others.at.called and not others.send.called


def test_a_row_that_fails_takes_no_other_with_it() -> None:
    """Guards against rejections, calls and the wake-up lost behind it."""
    log = io.StringIO()
    dispatcher = Dispatcher(make_deployment(), Clock(), Log("n", 9.0, log))
    dispatcher.timers = dispatcher.counter = others = Mock()
    dispatcher.gateway.results.sends.append((7, "s", 0.0))
    dispatcher.gateway.results.adds.append((5, 1.0, 60.0))
    dispatcher.carry_out()
    assert others.add.call_args.args == (5, 1.0, 60.0) and "failed" in log.getvalue()


@pytest.mark.parametrize("part", [b"", b"o", b"ok", b"ok ", b"ok -1.5e+1", b"ok 3\r", b"busy\r", b"e"])
def test_part_of_an_answer_of_the_counter_is_waited_for(part: bytes) -> None:
    assert PART.fullmatch(part)


@pytest.mark.parametrize("part", [b"x", b"oK", b"ok x", b"\xff\xff", b"ok 1 ", b"buzz", b"ok " + b"1" * 60])
def test_what_is_no_part_of_an_answer_is_not(part: bytes) -> None:
    """Guards against calls that wait behind a spoilt answer for an end that never comes."""
    assert not PART.fullmatch(part)


def test_a_call_that_no_connection_took_ends_at_its_time_all_the_same() -> None:
    """Guards against a customer left waiting: the connection is lost, and that is not yet reported."""
    over = list[object]()
    dispatcher: Any = SimpleNamespace(counted=lambda *row: over.append(row[1]))
    timers: Any = None
    counter = Counter(("127.0.0.1", 1), 0.08, bounds_of({}), dispatcher, Clock(), timers, Log("n", 1.0))
    call = Call(7, b"tally 7 1 60000\r\n", 0.0)
    counter.unsent.append(call)
    counter.expired(call)
    assert over == ["unreachable"] and call.over


def test_a_write_cut_short_leaves_the_rest() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        sent: list[Buffer] = [os.urandom(700), bytearray(os.urandom(1 << 20)), b"", os.urandom(9)]
        left, heard = gather(ours, sent), b""
        assert 0 < sum(map(len, left)) < 1 << 20
        while left:
            heard += theirs.recv(1 << 20)
            left = gather(ours, left)
        ours.close()
        while got := theirs.recv(1 << 20):
            heard += got
        assert heard == b"".join(sent)


def test_an_idle_connection_that_the_other_side_ended_is_not_used() -> None:
    ours, theirs = socket.socketpair()
    with ours:
        ours.setblocking(False)
        stream = Stream(ours)
        assert stream.quiet()
        theirs.close()
        assert not stream.quiet()


@pytest.mark.parametrize(
    "row, read",
    [
        ("used=37,cost=4", {"used": 37.0, "cost": 4.0}),
        ("cost=1.2.3", {}),
        ("cost=nan,used=2", {"used": 2.0}),
        ("", {}),
        ("cost=-2", {"cost": -2.0}),
        ("cost=1e9", {}),
    ],
)
def test_figures_that_can_not_be_read_are_dropped(row: str, read: dict[str, float]) -> None:
    assert figures(row) == read


def test_backoff_spreads_failures_doubles_refusals_and_shortens_with_answers() -> None:
    """Guards against hundreds of nodes that ask again in one beat, and one asked ever less for good."""
    waits = Backoff(Random(1), 0.1, 5.0, 4.0, 20.0)
    failed = [waits.failed() for _ in range(60)]
    assert min(failed) >= 0.1 and 2.0 < max(failed) <= 5.0 and failed[0] <= 0.2 and failed[1] <= 0.4
    assert len(set(failed)) == 60
    refused = [waits.refused() for _ in range(4)]
    assert all(0.5 * pause <= one <= 1.5 * pause for one, pause in zip(refused, (4, 8, 16, 20), strict=True))
    waits.worked()
    assert (waits.pause, waits.failures) == (12.0, 0) and waits.failed() <= 0.2
    for _ in range(6):
        waits.worked()
    assert waits.pause == 0.0


@pytest.mark.parametrize("step", [3600.0, -3600.0, 2.0, -2.0])
def test_the_clock_runs_on_when_the_wall_clock_is_stepped(
    step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, wall = Clock(), time.time
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: wall() + step)
    assert clock.look_at_wall() == pytest.approx(step, abs=0.5)
    assert 0 <= clock.now() - before < 0.5  # no part of the step is followed, now or later
    assert clock.look_at_wall() == 0.0 and clock.wall.shift == pytest.approx(step, abs=0.5)


def test_phases_only_go_forward() -> None:
    phases = Phases()
    phases.enter(Phase.FINISHING)
    phases.enter(Phase.SERVING)
    assert phases.current is Phase.FINISHING


def test_the_log_is_limited_and_counts_what_it_left_out() -> None:
    stream = io.StringIO()
    log = Log("n0", 2.0, stream)
    for number in range(50):
        log.say(f"line {number}\nmore")
    log.room = 1.0
    log.say("last")
    lines = stream.getvalue().splitlines()
    assert lines[0] == "n0: line 0 more" and len(lines) < 6 and "lines left out" in lines[-1]


def settings(**changes: object) -> dict[str, object]:
    return {"classes": [{"name": "look", "deadlineS": 2}], "tariffs": [{"name": "plan"}], **changes}


@pytest.mark.parametrize(
    ("key", "changes"),
    [
        ("listen: 'here'", {"listen": "here"}),
        ("listen: '1.2.3.4:70000'", {"listen": "1.2.3.4:70000"}),
        ("listen: '1.2.3.4:-1'", {"listen": "1.2.3.4:-1"}),
        ("listen: '1.2.3.4:0'", {"listen": "1.2.3.4:0"}),
        ("discovery: is missing", {"discovery": None}),
        ("seed: 'x'", {"seed": "x"}),
        ("peers.1: 7", {"peers": ["1.2.3.4:1", 7]}),
        ("peers: is no list", {"peers": "a:1"}),
        ("limits.sockets: 'many'", {"limits": {"sockets": "many"}}),
        ("known: no list", {"known": {"index": 1}}),
        (
            "known: app server s: address: 'no'",
            {"known": {"index": 1, "endpoints": [{"name": "s", "status": "SERVING", "address": "no"}]}},
        ),
        ("known: field 'status'", {"known": {"index": 1, "endpoints": [{"name": "s", "status": "UP"}]}}),
        ("settings: is no object", {"settings": 3}),
        ("settings.classes: is missing", {"settings": {}}),
        ("classes.0.deadlineS", {"settings": settings(classes=[{"name": "look", "deadlineS": "long"}])}),
        (
            "classes.0.repeat",
            {"settings": settings(classes=[{"name": "a", "deadlineS": 1, "repeat": "maybe"}])},
        ),
        ("settings.classes.0: aimS", {"settings": settings(classes=[{"name": "a", "deadlineS": 0}])}),
        ("settings.tariffs.0: a quota", {"settings": settings(tariffs=[{"name": "p", "unitsPerS": -1}])}),
        ("settings.balancers: 0", {"settings": settings(balancers=0)}),
        ("counter: is missing", {"settings": settings(familyInfo={"mayCount": True})}),
        ("node.queue: 0", {"node": {"queue": 0}}),
        ("node.queue: 2.5", {"node": {"queue": 2.5}}),
        ("node.idle_share: 1.5", {"node": {"idle_share": 1.5}}),
        ("node.watch_s: 'x'", {"node": {"watch_s": "x"}}),
        ("node.tempo: there", {"node": {"tempo": 1}}),
    ],
)
def test_a_faulty_configuration_names_its_key(key: str, changes: dict[str, object]) -> None:
    given: dict[str, object] = {"name": "n", "listen": "1.2.3.4:1", "discovery": "1.2.3.4:2", "seed": "ff"}
    given |= {"settings": settings()} | changes
    with pytest.raises(Faulty) as wrong:
        deployment_of(given, {})
    assert key in str(wrong.value) and "\n" not in str(wrong.value)


def test_variables_stand_in_for_keys_and_defaults_hold() -> None:
    told = deployment_of(
        {"seed": "0f", "settings": settings()},
        {"LB_NAME": "n3", "LB_LISTEN": "1.2.3.4:5", "LB_DISCOVERY": "1.2.3.4:6"},
    )
    assert (told.name, told.listen, told.discovery, told.seed) == ("n3", ("1.2.3.4", 5), ("1.2.3.4", 6), 15)
    assert told.bounds == bounds_of({}) and told.counter is None and told.known == ()


def test_another_configuration_names_what_takes_a_restart() -> None:
    before = make_deployment(counter=("127.0.0.1", 1))
    assert fixed_changes(before, make_deployment(counter=("127.0.0.1", 2), discovery=("127.0.0.1", 3))) == []
    assert fixed_changes(before, make_deployment(name="n1", sockets=64)) == [
        "name",
        "limits.sockets",
        "counter",
    ]


@pytest.mark.parametrize("environment", [{}, {"LB_CONFIG": "/nowhere/at/all"}, {"LB_CONFIG": __file__}])
def test_a_configuration_that_can_not_be_read(environment: dict[str, str]) -> None:
    with pytest.raises(Faulty, match="LB_CONFIG"):
        read_deployment(environment)


@pytest.mark.parametrize(
    "body",
    [
        "[]",
        "{}",
        '{"index": "x", "endpoints": []}',
        '{"index": 1, "endpoints": [3]}',
        '{"index": 1, "endpoints": [{"name": "s", "status": "SERVING"}]}',
    ],
)
def test_malformed_lists_of_discovery(body: str) -> None:
    with pytest.raises(Malformed):
        page(json.loads(body))


def presences(dispatcher: Dispatcher) -> dict[str, str]:
    return {name: one.presence for name, one in dispatcher.gateway.servers.items()}


def test_a_server_taken_out_for_work_gets_nothing_new_and_a_parked_node_takes_nothing() -> None:
    log = io.StringIO()
    dispatcher = Dispatcher(make_deployment(), Clock(), Log("n", 9.0, log))
    dispatcher.timers = dispatcher.counter = others = Mock()
    dispatcher.fleet, dispatcher.listed_servers = others, {}
    rows = [{"name": name, "address": "127.0.0.1:9", "group": 0, "status": "SERVING"} for name in ("s", "t")]
    dispatcher.listed(page({"index": 1, "endpoints": rows})[2], True)
    dispatcher.set_servers_in_maintenance(frozenset({"s", "unlisted"}))
    assert presences(dispatcher) == {"s": "draining", "t": "on"}
    dispatcher.listed(page({"index": 2, "endpoints": rows})[2], True)  # discovery lists it as on once more
    assert presences(dispatcher) == {"s": "draining", "t": "on"}
    dispatcher.set_servers_in_maintenance(frozenset())
    assert presences(dispatcher) == {"s": "on", "t": "on"}
    dispatcher.permissions, one = Mock(), Mock(answer=None, client_gone=False)
    dispatcher.permissions.may_take.return_value = False
    dispatcher.take(one)
    assert (one.answer, dispatcher.open_requests, log.getvalue()) == ([b"-BUSY\r\n"], {}, "")


def test_a_send_that_the_right_forbids_by_now_is_no_send() -> None:
    """Guards against a process stopped between its decision and its send, and continued much later."""
    dispatcher = Dispatcher(make_deployment(), Clock(), Log("n", 9.0, io.StringIO()))
    dispatcher.timers, dispatcher.fleet, dispatcher.permissions = Mock(), Mock(), Mock()
    dispatcher.permissions.may_take.return_value = True
    dispatcher.permissions.may_send.return_value = False
    dispatcher.listed(
        page({"index": 1, "endpoints": [{"name": "s", "status": "SERVING", "address": "127.0.0.1:1"}]})[2],
        True,
    )
    one = parsed_request(request_bytes())
    one.deadline = dispatcher.clock.now() + 1.0
    dispatcher.take(one)
    dispatcher.carry_out()
    assert dispatcher.permissions.may_send.call_args.args == ("s",) and not dispatcher.fleet.send.called
    assert one.open_attempts == {} and dispatcher.gateway.out == 0
