"""The command line, the reading of TOML files, and the log's styles."""

from __future__ import annotations

import io
import json
import signal
import socket
import subprocess
import sys
from pathlib import Path

import anyio
import msgspec
import pytest
from helpers import Scene, Standin, known_servers, make_deployment, request_bytes, run_node

from merlintally.cli.front import front, main
from merlintally.forms import InputError, explain, read
from merlintally.lab.model.days import Day, read_day
from merlintally.load.profile import Profile
from merlintally.net.log import Log
from merlintally.operators import Operators, read_operators
from merlintally.structured import Structured

ROOT = Path(__file__).resolve().parents[1]


Capture = pytest.CaptureFixture[str]
Patch = pytest.MonkeyPatch


def run(*words: str, capsys: Capture, monkeypatch: Patch) -> tuple[int, str, str]:
    """Run the command line; returns the exit code, standard output and standard error."""
    monkeypatch.setattr(sys, "argv", ["merlintally", *words])
    code = main()
    captured = capsys.readouterr()
    return code, captured.out, captured.err


def errors_of(document: object, struct: type = Operators) -> list[str]:
    with pytest.raises(InputError) as raised:
        read(document, struct)
    return raised.value.lines


def test_every_error_is_reported_with_its_key() -> None:
    lines = errors_of({"log": {"fromat": "json", "lines_per_s": "many"}, "lab": {"processes": 0}, "lgo": {}})
    assert [line.split(":")[0] for line in lines] == ["log.fromat", "log.lines_per_s", "lab.processes", "lgo"]
    assert "did you mean format?" in lines[0] and "did you mean log?" in lines[3]


def test_errors_in_sections_and_list_items_name_their_key() -> None:
    assert errors_of({"log": 3}) == ["log: is not a table"]
    assert errors_of({"lane": [{"name": "x"}], "customers": [{"cuont": 1}]}, Profile) == [
        "customers.0.cuont: there is no such key (did you mean count?)",
        "customers.0.plan: is missing",
    ]


def test_errors_between_keys_are_reported_by_path() -> None:
    calm = read_day("calm")
    document = msgspec.to_builtins(calm)
    document["lane"][0]["quoted_time_s"] = 99.0
    document["trouble"] = [
        {"kind": "servers_slow", "at_s": 1.0},
        {"kind": "zone_cut", "at_s": 1.0, "zone": 7},
    ]
    assert sorted(line.split(":")[0] for line in errors_of(document, Day)) == [
        "lane.0.quoted_time_s",
        "trouble.0.part",
        "trouble.0.size",
        "trouble.1.zone",
    ]


def test_the_shipped_operators_file_loads_and_all_keys_have_a_meaning() -> None:
    assert read_operators(ROOT / "deploy" / "operators.toml").log.format == "logfmt"
    for struct in (Operators, Day, Profile):
        assert all(meaning for _, _, _, meaning in explain(struct)), struct


def test_exit_codes(capsys: Capture, monkeypatch: Patch, tmp_path: Path) -> None:
    invalid = tmp_path / "bad.toml"
    invalid.write_text("[log]\nformat = 'xml'\n")
    for words, code, text in (
        (("check", str(invalid)), 2, "log.format"),
        (("check", str(tmp_path / "none.toml")), 2, "can't be read"),
        (("check", str(ROOT / "example" / "config.json")), 0, "a valid deployment file"),
        (("check", "--explain"), 0, "log.lines_per_s"),
        (("chekc",), 2, "No such command"),
        (("load", "10.1.2.3:80"), 2, "not a loopback address"),
        (("load", "127.0.0.1:1"), 2, "no node answers"),
        (("serve", "--config", str(tmp_path / "none.json")), 2, "can't be read"),
        (("completion", "bash"), 0, "_MERLINTALLY_COMPLETE"),
        (("completion", "tcsh"), 2, "no completion for tcsh"),
    ):
        result = run(*words, capsys=capsys, monkeypatch=monkeypatch)
        assert result[0] == code and text in result[1] + result[2], (words, result)


def test_each_command_has_help(capsys: Capture, monkeypatch: Patch) -> None:
    for name in front.list_commands(None):  # type: ignore[arg-type]
        code, out, _ = run(name, "--help", capsys=capsys, monkeypatch=monkeypatch)
        assert code == 0 and f"merlintally {name}" in out


def test_check_prints_json(capsys: Capture, monkeypatch: Patch, tmp_path: Path) -> None:
    invalid = tmp_path / "bad.toml"
    invalid.write_text("lane = 1\n")
    code, out, _ = run("check", "--json", str(invalid), capsys=capsys, monkeypatch=monkeypatch)
    assert code == 2 and json.loads(out)["ok"] is False and len(json.loads(out)["faults"]) == 2


def test_a_structured_line_has_its_fields_and_the_count_of_dropped_lines() -> None:
    for format_, expected in (("json", '"event": "loop.late"'), ("logfmt", "event=loop.late")):
        stream = io.StringIO()
        log = Log("n0", 1.0, stream, Structured(format_))
        log.say("the loop runs late", "loop.late", late_s=0.25)
        log.say("not said")
        log.tokens = 1.0
        log.say("two\nlines", "other")
        first, second = stream.getvalue().splitlines()
        assert expected in first and "0.25" in first and "n0" in first
        assert "two lines" in second and "left_out" in second


def test_a_style_that_fails_does_not_end_the_node() -> None:
    stream = io.StringIO()
    log = Log("n0", 9.0, stream, Structured("json"))
    log.say("told all the same", "event", node="twice")  # the field's name is taken
    assert "told all the same" in stream.getvalue()


def test_a_submission_can_be_traced_by_its_id() -> None:
    server = Standin(lambda received: b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")

    async def act(scene: Scene) -> None:
        scene.node.log.style, scene.node.log.logs_steps = Structured("json"), True
        assert (await scene.ask(request_bytes(number=b"00000000000000aa"))).startswith(b"$1")
        await anyio.sleep(0.02)

    rows = [
        json.loads(line)
        for line in run_node(make_deployment(known=known_servers(server)), act, server).splitlines()
        if line.startswith("{")
    ]
    steps = [row["event"] for row in rows if row.get("submission") == "00000000000000aa"]
    assert steps == [
        "submission.taken",
        "execution.sent",
        "submission.answered",
        "execution.ended",
    ] or steps == ["submission.taken", "execution.sent", "execution.ended", "submission.answered"]
    assert all(
        row["lane"] == "look" and row["node"] == "n" and row["customer"]
        for row in rows
        if "submission" in row
    )


def test_a_node_without_an_operators_file_imports_no_optional_module() -> None:
    text = (
        "import sys, merlintally.net.node\n"
        "print([name for name in ('click', 'msgspec', 'structlog', 'numpy', 'rich', 'hdrh',"
        " 'merlintally.lab', 'merlintally.cli', 'merlintally.operators') if name in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", text], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert completed.stdout.strip() == "[]"


def test_a_node_reloads_its_operators_file_and_keeps_the_old_one_if_the_new_is_invalid(
    tmp_path: Path,
) -> None:
    deployment = json.loads((ROOT / "example" / "config.json").read_text())
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        deployment["listen"] = f"127.0.0.1:{sock.getsockname()[1]}"
    config, operators = tmp_path / "config.json", tmp_path / "operators.toml"
    config.write_text(json.dumps(deployment))
    operators.write_text("[log]\nformat = 'json'\n")
    words = ["serve", "--config", str(config), "--operators", str(operators)]
    with subprocess.Popen(
        [sys.executable, "-m", "merlintally", *words], stderr=subprocess.PIPE, text=True, cwd=ROOT
    ) as node:
        try:
            assert node.stderr is not None
            # Discovery is unreachable, which is logged as JSON.
            assert json.loads(node.stderr.readline())["event"] == "discovery.broken"
            operators.write_text("[log]\nformat = 'xml'\n")
            node.send_signal(signal.SIGHUP)
            row = json.loads(node.stderr.readline())
            assert row["event"] == "operators.faulty" and "log.format" in row["detail"]
            operators.write_text("[log]\nformat = 'logfmt'\n")
            config.write_text("{")
            node.send_signal(signal.SIGHUP)
            assert json.loads(node.stderr.readline())["event"] == "configuration.faulty"
            node.send_signal(signal.SIGHUP)
            assert "event=configuration.faulty" in node.stderr.readline()
        finally:
            node.terminate()
        assert node.wait(10) == 0
