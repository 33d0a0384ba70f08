"""Scale tests: the fit, the file of sizes and budgets, the runner, the commands, and slopes at tiny sizes."""

from __future__ import annotations

import json
import math
import os
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner
from msgspec import structs

from merlintally.cli.front import front
from merlintally.forms import InputError
from merlintally.lab.scale import (
    point,
    slopes_connections,
    slopes_decision,
    slopes_lists,
    slopes_sums,
    slopes_tenants,
)
from merlintally.lab.scale.capacity import CHECKOUT_FILE, Capacity, read_capacity
from merlintally.lab.scale.driver import SimulatedNode
from merlintally.lab.scale.fit import best_fit, value_at
from merlintally.lab.scale.point import PointFailed, measure_point
from merlintally.lab.scale.receiver import most_links
from merlintally.lab.scale.runner import Failure, run
from merlintally.lab.scale.slope import Context, Costs, Derived, Point, Row, Slope, in_order, registry
from merlintally.lab.scale.store import read_kept
from merlintally.lab.scale.workload import deployment, server_list, tenants_of
from merlintally.subsets import DEFAULT_SETTINGS

ROOT = Path(__file__).resolve().parents[1]
CAPACITY = read_capacity()
CONTEXT = Context(CAPACITY, quick=True)
TINY = Context(
    structs.replace(
        CAPACITY, size=structs.replace(CAPACITY.size, tenants=200, edge_nodes=20, requests_per_s=600.0)
    ),
    quick=True,
)
SIZES = (10, 40, 200, 1000, 3000)


# The fit.


GROWTH: dict[str, Callable[[int], float]] = {
    "constant": lambda size: 3.0,
    "logarithmic": lambda size: 1.0 + 2.0 * math.log(size),
    "linear": lambda size: 5.0 + 0.03 * size,
    "quadratic": lambda size: 5.0 + 0.01 * size + 2e-5 * size * size,
}


@pytest.mark.parametrize("form", GROWTH)
@pytest.mark.parametrize("seed", range(5))
def test_a_form_is_found_under_noise(form: str, seed: int) -> None:
    chance = Random(seed)
    points = [Point(size, GROWTH[form](size) * chance.gauss(1, 0.03)) for size in SIZES]
    fit = best_fit(points, "ms")
    assert (fit.form, fit.unit) == (form, "ms")
    assert fit.error < 0.15
    beyond = 2 * SIZES[-1]
    assert value_at(fit, beyond) == pytest.approx(GROWTH[form](beyond), rel=0.25)


def test_the_error_of_a_fit_follows_the_noise() -> None:
    def error(noise: float) -> float:
        chance = Random(7)
        points = [Point(size, GROWTH["linear"](size) * chance.gauss(1, noise)) for size in SIZES]
        return best_fit(points).error

    assert error(0.0) < 1e-9
    assert error(0.02) < error(0.1)


def test_a_parabola_that_falls_again_is_not_taken() -> None:
    points = [Point(10, 1.0), Point(100, 9.0), Point(200, 10.0), Point(300, 4.0)]
    assert best_fit(points).form != "quadratic"


# The file.


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("edge_nodes = 670", "", "size.edge_nodes"),
        ("edge_nodes = 670", "edge_node = 670", "size.edge_node"),
        ("edge_nodes = 670", 'edge_nodes = "many"', "size.edge_nodes"),
        ("tenants = 15000", "tenants = 0", "size.tenants"),
        ("control_machines_out = 2", "control_machines_out = 8", "size.control_machines_out"),
        ("servers_lost_with_a_zone = 1314", "servers_lost_with_a_zone = 9201", "size.servers_lost"),
        ("control_memory_mb = 64.0", "control_memory_mb = -1.0", "budget.control_memory_mb"),
        ("[budget]", "[budgets]", "budgets"),
    ],
)
def test_a_faulty_file_is_told_in_one_line(tmp_path: Path, old: str, new: str, key: str) -> None:
    text = CHECKOUT_FILE.read_text()
    assert old in text
    file = tmp_path / "capacity.toml"
    file.write_text(text.replace(old, new))
    with pytest.raises(InputError) as found:
        read_capacity(file)
    assert len(found.value.lines) == 1
    assert found.value.lines[0].startswith(key)


def test_a_faulty_file_ends_the_command_with_2(tmp_path: Path) -> None:
    file = tmp_path / "capacity.toml"
    file.write_text(CHECKOUT_FILE.read_text().replace("zones = 7", "zones = 0.5"))
    command = [sys.executable, "-m", "merlintally", "lab", "scale", "run", "--capacity", str(file)]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert found.returncode == 2
    assert [line.split(":")[1].strip() for line in found.stderr.splitlines()] == ["size.zones"]


# The runner.


def straight(size: int, context: Context) -> float:
    return 0.5 * size


def process_id(size: int, context: Context) -> float:
    return float(os.getpid())


def failing(size: int, context: Context) -> float:
    raise ValueError("no such thing")


def endless(size: int, context: Context) -> float:
    subprocess.run([sys.executable, "-c", "import time; time.sleep(600)"], check=False)
    return 0.0


def half_a_millisecond(capacity: Capacity) -> float:
    return 0.5


TINY_SLOPE = Slope("tiny", "edge node", "nodes", "ms", (1, 2, 4, 8), (1, 2, 3, 4), straight, "edge_nodes")


def twice(size: int, costs: Costs) -> float:
    return 2 * costs.at("tiny", size)


DERIVED = Derived("twice", "edge node", "nodes", "ms", (1, 2, 4, 8), ("tiny",), twice, "edge_nodes")
AGAIN = replace(DERIVED, name="four times", sources=("twice",))


def rows_of(*tests: Slope | Derived, quick: bool = True) -> dict[str, Row | Failure]:
    return {one.name: one for one in run(tests, replace(CONTEXT, quick=quick))}


def test_a_row_has_points_fit_and_verdict() -> None:
    broken = replace(TINY_SLOPE, budget="added_latency_p99_ms")
    row = rows_of(broken, quick=False)["tiny"]
    assert isinstance(row, Row)
    assert [one.size for one in row.points] == [1, 2, 4, 8]
    assert (row.fit.form, row.fit.extrapolated) == ("linear", True)
    assert row.at_size == pytest.approx(335)
    assert (row.budget, row.holds) == (1.1, False)
    held = rows_of(replace(TINY_SLOPE, size_key=lambda capacity: 1, budget=half_a_millisecond))["tiny"]
    assert isinstance(held, Row) and held.holds
    assert not held.fit.extrapolated


def test_a_derived_row_comes_from_its_sources() -> None:
    assert in_order([AGAIN, DERIVED, TINY_SLOPE]) == [TINY_SLOPE, DERIVED, AGAIN]
    found = rows_of(TINY_SLOPE, DERIVED)["twice"]
    assert isinstance(found, Row)
    assert found.at_size == pytest.approx(670)
    assert found.fit.sources == ("tiny",)
    missing = rows_of(DERIVED)["twice"]
    assert isinstance(missing, Failure) and "tiny" in missing.why


def test_what_is_worked_out_from_itself_is_refused() -> None:
    with pytest.raises(ValueError, match="four times"):
        in_order([replace(DERIVED, sources=("four times",)), AGAIN])


def test_each_size_has_a_process_of_its_own_that_a_group_shares() -> None:
    other = replace(TINY_SLOPE, name="other", measure=process_id, group="one")
    rows = rows_of(replace(TINY_SLOPE, name="first", measure=process_id, group="one"), other)
    first, second = rows["first"], rows["other"]
    assert isinstance(first, Row) and isinstance(second, Row)
    assert first.points == second.points
    assert len({one.value for one in first.points} | {float(os.getpid())}) == 5


def test_a_slope_that_fails_is_told_and_the_next_one_runs() -> None:
    rows = rows_of(replace(TINY_SLOPE, name="bad", measure=failing), TINY_SLOPE)
    assert rows["bad"] == Failure("bad", "at 1: ValueError: no such thing")
    assert isinstance(rows["tiny"], Row)


@pytest.mark.parametrize(
    ("bound", "value", "most_s", "said"),
    [
        ("MOST_MEMORY_SHARE", 0.0, 60.0, "half of the machine's memory"),
        ("MOST_PROCESSES", 0, 60.0, "processes are over 0"),
        ("LOOK_S", 0.05, 0.0, "not done in time"),
    ],
)
def test_a_point_beyond_its_bounds_is_ended(
    monkeypatch: pytest.MonkeyPatch, bound: str, value: float, most_s: float, said: str
) -> None:
    monkeypatch.setattr(point, bound, value)
    begun = time.monotonic()
    with pytest.raises(PointFailed, match=said):
        measure_point({"endless": endless}, 1, CONTEXT, most_s)
    assert time.monotonic() - begun < 60


# The commands.


def invoke(*args: str) -> tuple[int, str]:
    found = CliRunner().invoke(front, ["lab", "scale", *args], standalone_mode=False)
    if found.exception is not None:
        raise found.exception
    return found.return_value or 0, found.stdout


def test_a_run_and_its_report(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    broken = replace(TINY_SLOPE, budget="added_latency_p99_ms")
    monkeypatch.setattr("merlintally.cli.scale.registry", lambda: [broken, DERIVED])
    monkeypatch.chdir(tmp_path)
    code, out = invoke("run", "--quick", "--json", "tiny")
    (row,) = json.loads(out)
    assert code == 3
    fields = {"name", "role", "by", "points", "fit", "at_size", "budget", "holds", "whole_lists"}
    assert set(row) == fields and row["whole_lists"] is False
    assert [one["size"] for one in row["points"]] == [1, 2, 3, 4]
    code, _ = invoke("run", "--quick", "twice")  # goes by the row of the run before
    assert code == 0
    kept = json.loads((tmp_path / "found" / "scale-quick.json").read_text())
    assert set(kept["rows"]) == set(kept["days"]) == {"tiny", "twice"}
    code, out = invoke("report", "--quick")
    assert code == 3
    assert "broken" in out and "twice" in out
    page = (tmp_path / "found" / "scale-quick.html").read_text()
    assert page.count("<svg") == 2
    code, out = invoke("run", "--quick", "--whole-lists", "--json", "tiny")
    (row,) = json.loads(out)
    assert code == 3 and row["whole_lists"] is True
    assert set(json.loads((tmp_path / "found" / "scale-quick-whole-lists.json").read_text())["rows"]) == {
        "tiny"
    }
    assert read_kept(tmp_path / "found" / "scale-quick.json").rows["tiny"].whole_lists is False
    _, out = invoke("report", "--quick", "--markdown")
    (line,) = (line for line in out.splitlines() if line.startswith("| `tiny`"))
    assert "**305**" in line and "335 (**305**)" in line  # both, against 1.1 ms
    with pytest.raises(InputError, match="did you mean tiny"):
        invoke("run", "tinny")


def test_a_report_without_results_names_the_file(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.chdir(tmp_path)
    with pytest.raises(InputError, match="scale.json"):
        invoke("report")
    (tmp_path / "found").mkdir()
    (tmp_path / "found" / "scale.json").write_text('{"rows": 1}')
    with pytest.raises(InputError, match="no results of scale tests"):
        invoke("report")


def test_measuring_loads_no_numpy() -> None:
    """It would be in the memory and the start of each point's process."""
    code = "import sys; from merlintally.lab.scale import point, slope; slope.registry()"
    code += "; sys.exit('numpy' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


def test_the_registry_is_whole() -> None:
    _, out = invoke("list", "--json")
    tests = registry()
    assert [row["name"] for row in json.loads(out)] == [one.name for one in tests]
    names = {one.name for one in tests}
    assert len(names) == len(tests)
    for one in tests:
        assert one.operators_size(CAPACITY) > 0
        assert (one.budget_of(CAPACITY) is None) == (one.budget is None)
        sizes = (one.sizes, one.quick_sizes) if isinstance(one, Slope) else (one.sizes,)
        assert all(len(set(some)) >= 4 and list(some) == sorted(some) for some in sizes), one.name
        assert one.about and one.role and one.by and one.unit
        if isinstance(one, Derived):
            assert names.issuperset(one.sources)


# Slopes at tiny sizes.


def test_every_request_of_a_decision_slope_is_answered() -> None:
    found = slopes_decision.by_servers(40, TINY)
    assert 0 < found.cost_p50 <= found.cost_p99 <= found.added_p99
    assert 0 < found.wake_share < found.core_share < 1


def test_a_lists_bytes_and_memory_grow_with_it() -> None:
    assert slopes_lists.change_bytes(40, TINY) < slopes_lists.whole_bytes(40, TINY)
    assert slopes_lists.whole_bytes(400, TINY) > 5 * slopes_lists.whole_bytes(40, TINY)
    held, peak = slopes_lists.whole_memory(400, TINY)
    assert held < peak
    assert held > 5 * slopes_lists.whole_memory(40, TINY)[0]
    assert slopes_lists.zone_lost_cost(40, TINY) > 0


def test_connections_follow_the_fleets_rules() -> None:
    found = slopes_connections.simulate(30, 30.0, TINY)
    assert 0 < found.held <= most_links(deployment(20))
    assert 0 < found.handshakes_per_request <= 1
    assert 0 <= found.unfamiliar_share <= 1
    slopes_connections.simulate.cache_clear()
    assert slopes_connections.simulate(30, 30.0, TINY) == found  # simulated: the same for the same seed


MANY = 3 * DEFAULT_SETTINGS.whole_up_to  # app servers, of which a node works with a part


def test_the_simulated_node_works_with_its_subset() -> None:
    def node(whole_lists: bool) -> SimulatedNode:
        made = SimulatedNode(deployment(20, whole_lists=whole_lists), seed=1)
        made.listed(server_list(MANY, 7), True)
        return made

    subset, whole = node(False), node(True)
    assert len(whole.gateway.servers) == MANY and whole.gateway.gateways_per_server == 20
    before = list(subset.gateway.servers)
    assert DEFAULT_SETTINGS.least <= len(before) < MANY / 2 and subset.gateway.gateways_per_server < 20
    for name in before[:-10]:  # the subset takes on others for those that don't answer
        for _ in range(DEFAULT_SETTINGS.unanswered):
            subset.roster.ended(subset.now, name, "timed_out")
    assert len(subset.gateway.servers) >= len(before) + DEFAULT_SETTINGS.least - 10


def test_with_whole_lists_a_node_knows_less_of_more_servers() -> None:
    whole = replace(TINY, whole_lists=True)
    assert (
        slopes_connections.simulate(MANY, 30.0, TINY).known_share
        > 2 * slopes_connections.simulate(MANY, 30.0, whole).known_share
    )
    assert slopes_lists.whole_memory(MANY, TINY)[0] < slopes_lists.whole_memory(MANY, whole)[0] / 2


def test_a_node_alone_knows_its_tenants() -> None:
    alone = slopes_tenants.simulate(1, 50, False, False, TINY)
    assert alone.knowledge.error < 1e-6
    assert alone.knowledge.refused_with_room == alone.knowledge.let_in_without == 0


def test_few_nodes_hear_each_others_notes() -> None:
    few = slopes_tenants.simulate(4, 50, True, True, TINY)
    unheard = slopes_tenants.simulate(4, 50, False, True, TINY)
    assert few.hears_all > 0.9
    assert few.knowledge.age_s < 0.5 < unheard.knowledge.age_s
    assert few.totals.note_bytes_heard > 0


def test_tenants_use_as_much_as_is_asked_and_quotas_hold_it() -> None:
    tenants = tenants_of(100, 600.0)
    assert sum(one.requests_per_s for one in tenants) == pytest.approx(600)
    assert all(one.quota >= 1.4 * one.requests_per_s for one in tenants)


def test_sums_come_to_all_once_nothing_is_drawn(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = slopes_sums.Rig(5, slopes_sums.UNBOUNDED, TINY)
    rig.run_until(rig.now + 2.0)
    assert rig.unheard() > 0
    monkeypatch.setattr(rig, "_draws", lambda name: [])
    rig.run_until(rig.now + 3.0)
    assert rig.unheard() == 0
    assert rig.bytes > 0
