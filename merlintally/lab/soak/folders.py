"""The soak of nodes with folders: a cluster under a scenario of `lab.faults`, whose disks, system calls and
wall clock fail at random meanwhile. The verdict comes from the records of the processes, as for any other."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from merlintally.lab.faults.play import play
from merlintally.lab.faults.scenario import read_scenario
from merlintally.lab.soak.shims import Window, write_plan

SCENARIOS = ("late-return", "leader-lost", "all-down", "work-round")
START_S = 2.0  # until the nodes stand
WINDOWS_EACH_S = 0.5  # moments a second, over all kinds
KINDS = ("disk", "disk", "disk", "recv_into", "sendmsg", "accept", "connect", "short")
STEPS = (3600.0, -3600.0, 3.0, -3.0)


def windows_of(chance: Random, seconds: float) -> list[Window]:
    """Moments of failing calls that all processes share, and up to two steps of the wall clock."""
    begins, found = time.monotonic() + START_S, []
    for _ in range(int(seconds * WINDOWS_EACH_S)):
        at, kind = begins + chance.uniform(0, seconds), chance.choice(KINDS)
        longest_s, most = (0.8, 1.0) if kind == "disk" else (0.2, 0.6)
        ends = at + chance.uniform(0.05, longest_s)
        found.append(Window(kind, at, ends, chance.choice((0.05, 0.3, most))))
    for _ in range(chance.randint(0, 2)):
        at = begins + chance.uniform(0, seconds)
        found.append(Window("wall-step", at, float("inf"), chance.choice(STEPS)))
    return found


def run_folder_soak(seed: int, seconds: float = 20.0, keep: Path | None = None) -> dict[str, Any]:
    """Play a scenario drawn by the seed; gives what `lab.faults.play` does, `broken` among it."""
    chance = Random(seed)
    scenario = read_scenario(chance.choice(SCENARIOS))
    folder = keep or Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    plan = folder / "plan.json"
    write_plan(plan, windows_of(chance, min(seconds, scenario.seconds)))
    return play(scenario, seed, folder / "played", plan)
