"""The members core in simulated time: schedules under faults, and what it takes to find a death, by size."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from statistics import median
from typing import Any

from merlintally.cluster.members import Members, SwimSettings
from merlintally.cluster.members.core import DEAD, INCARNATIONS_PER_START, LEFT, STATES, SUSPECT
from merlintally.lab.schedules.world import Drifting, Verdict, World

USUAL = SwimSettings()
HEAD = 40  # bytes of a datagram beside its news


class Machine:
    """One node: its core while it runs, and its clock."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.name, self.clock = rig, name, Drifting(rig.world, rig.drift)
        self.core: Members | None = None
        self.starts = self.life = 0
        self.wake_at = self.stopped_until = 0.0
        self.bytes = 0

    def start(self) -> None:
        self.starts += 1
        self.life += 1
        self.wake_at = 0.0
        self.core = Members(
            self.name,
            f"{self.name}:1",
            self.rig.seeds,
            self.starts,
            self.rig.rhythm,
            Random(self.rig.world.random.random()),
            self.clock.now(),
            self.rig.mistakes,
        )
        self.settle()

    def settle(self) -> None:
        core, world = self.core, self.rig.world
        assert core is not None
        found = core.take_results()
        for to, call, args in found.sends + found.streams:
            self.bytes += HEAD + sum(len(one[0]) + len(one[3]) + 8 for one in args[-1])
            if to in self.rig.machines:
                world.send(self.name, to, self.rig.deliver, to, self.name, call, args)
        for name, state in found.changed:
            self.rig.changed(self, name, state)
        when = max(self.clock.world_time(found.wake_at), world.now + 0.001)
        if not self.wake_at or when < self.wake_at or self.wake_at <= world.now:
            self.wake_at = when
            world.at(when, self.woken, self.life)

    def woken(self, life: int) -> None:
        if life != self.life or self.core is None:
            return
        if self.rig.world.now < self.stopped_until:
            self.rig.world.at(self.stopped_until, self.woken, life)
            return
        if self.rig.world.now >= self.wake_at - 1e-9:
            self.core.wake(self.clock.now())
            self.settle()


class Rig:
    """Nodes by name; `told` has (when, who, whom, state) of every change that a node came to know."""

    def __init__(
        self,
        seed: int,
        size: int,
        rhythm: SwimSettings,
        mistakes: Iterable[str] = (),
        drift: float = 0.01,
        seeds: int = 3,
    ) -> None:
        self.world, self.rhythm, self.mistakes, self.drift = World(seed), rhythm, frozenset(mistakes), drift
        self.machines = {f"n{at}": Machine(self, f"n{at}") for at in range(size)}
        self.seeds = {name: f"{name}:1" for name in list(self.machines)[:seeds]}
        self.told: list[tuple[float, str, str, int]] = []
        self.leaving: set[str] = set()
        self.goodbyes: set[tuple[str, str, int]] = set()  # who left, who heard it, in which life

    def start(self) -> None:
        for machine in self.machines.values():
            machine.start()

    def deliver(self, to: str, sender: str, call: str, args: tuple[Any, ...]) -> None:
        machine = self.machines[to]
        if machine.core is None:
            return
        if self.world.now < machine.stopped_until:  # a stopped process reads it once it goes on
            self.world.at(machine.stopped_until, self.deliver, to, sender, call, args)
            return
        if sender in self.leaving:
            self.goodbyes.add((sender, to, machine.life))
        machine.core.receive(machine.clock.now(), sender, call, args)
        machine.settle()

    def changed(self, machine: Machine, name: str, state: int) -> None:
        self.told.append((self.world.now, machine.name, name, state))

    def kill(self, name: str) -> None:
        self.machines[name].core = None
        self.machines[name].life += 1


def play(seed: int, mistakes: Iterable[str] = ()) -> Verdict:
    """One schedule: faults for a while, then none; in the end all views have to be the truth."""
    random, verdict = Random(seed), Verdict(seed)
    rhythm = SwimSettings(state_exchange_s=4.0, dead_probe_s=2.0, alpha=2.0, beta=3.0)
    rig = Rig(seed, random.randint(3, 9), rhythm, mistakes, drift=0.05)
    world, names = rig.world, list(rig.machines)
    world.loss, world.double = random.choice((0, 0.05, 0.2)), random.choice((0, 0.1))
    world.slow = random.choice((0, 0.05))
    rig.start()
    left: set[str] = set()

    def fault() -> None:
        what, name = random.choice(("kill", "kill", "stop", "part", "leave")), random.choice(names)
        machine = rig.machines[name]
        verdict.counts[what] = verdict.counts.get(what, 0) + 1
        if what == "kill" and machine.core is not None:
            rig.kill(name)
            world.after(random.choice((0.2, 3.0, 12.0)), back, machine)
        elif what == "stop":
            machine.stopped_until = world.now + random.choice((0.5, 5.0))
        elif what == "part":
            side = random.sample(names, random.randint(1, len(names) - 1))
            world.part(side, set(names) - set(side), random.random() < 0.7)
            world.after(random.uniform(0.5, 12.0), world.cut.clear)
        elif what == "leave" and machine.core is not None and not left:
            left.add(name)
            rig.leaving.add(name)
            machine.core.leave(machine.clock.now())
            machine.settle()
            world.after(1.0, rig.kill, name)

    def back(machine: Machine) -> None:
        if machine.core is None and machine.name not in left:
            machine.start()

    for _ in range(random.randint(1, 8)):
        world.at(random.uniform(5, 25), fault)
    world.run(40.0)
    world.cut.clear()
    world.loss = world.double = world.slow = 0.0
    for machine in rig.machines.values():
        back(machine)
    down = random.choice([name for name in names if name not in left])
    world.at(70.0, rig.kill, down)
    rises: dict[tuple[str, str], int] = {}

    def look() -> None:
        for name, machine in rig.machines.items():
            for other, one in (machine.core.known if machine.core is not None else {}).items():
                if one.incarnation < rises.get((name, other), 0) and machine.starts == rises.get(
                    (name, ""), 0
                ):
                    verdict.broken.append(f"{world.now:.1f} {name} goes back to older news of {other}")
                rises[name, other] = one.incarnation
            rises[name, ""] = machine.starts
            if (
                machine.core is not None
                and machine.core.incarnation < machine.starts * INCARNATIONS_PER_START
            ):
                verdict.broken.append(f"{world.now:.1f} {name} tells its new start by an old incarnation")

    for at in range(1, 130):
        world.at(float(at), look)
    world.run(69.9)
    for name, machine in rig.machines.items():
        if machine.core is None:
            continue
        for other in names:
            found = machine.core.state(other)
            told = any(
                rig.machines[hearer].life == life for who, hearer, life in rig.goodbyes if who == other
            )
            wanted = (LEFT if told else DEAD) if other in left else 0
            if found != wanted and not (other in left and found in (None, LEFT)):
                verdict.broken.append(
                    f"{name} holds {other} to be {STATES[found] if found is not None else '?'}, "
                    f"which is {STATES[wanted]}"
                )
    world.run(130.0)
    for name, machine in rig.machines.items():
        if machine.core is not None and machine.core.state(down) not in (DEAD, None):
            verdict.broken.append(f"{name} does not know of the death of {down}")
    verdict.broken = verdict.broken[:5]
    return verdict


def measure(
    size: int,
    seed: int,
    loss: float = 0.0,
    stopped: float = 0.0,
    length_s: float = 120.0,
    rhythm: SwimSettings = USUAL,
) -> dict[str, float]:
    """One run of `size` nodes: a death in the middle; `stopped` of the nodes stop for 3 s each half minute.
    Gives seconds until the first, half and all know, false suspicions and deaths an hour, bytes a second a
    node."""
    rig = Rig(seed, size, rhythm)
    world = rig.world
    world.loss = loss
    rig.start()
    world.run(20.0)
    before = sum(machine.bytes for machine in rig.machines.values())
    rig.told.clear()
    victim = f"n{size - 1}"

    def stop() -> None:
        for machine in world.random.sample(list(rig.machines.values()), round(stopped * size)):
            machine.stopped_until = world.now + 3.0
        world.after(30.0, stop)

    if stopped:
        world.after(1.0, stop)
    kill_at = 20.0 + length_s / 3
    world.at(kill_at, rig.kill, victim)
    world.run(20.0 + length_s)
    rest = [one for one in rig.told if one[2] != victim]
    known = sorted(
        {
            who: when - kill_at
            for when, who, whom, state in reversed(rig.told)
            if whom == victim and state == DEAD and when > kill_at
        }.values()
    )
    hours = length_s / 3600
    spent = sum(machine.bytes for machine in rig.machines.values()) - before
    return {
        "first_s": known[0] if known else float("inf"),
        "half_s": median(known) if known else float("inf"),
        "all_s": known[-1] if len(known) == size - 1 else float("inf"),
        "suspected_an_hour": sum(state == SUSPECT for *_, state in rest) / hours / size,
        "false_deaths_an_hour": len(
            {(whom, round(when / 30)) for when, _, whom, state in rest if state == DEAD}
        )
        / hours,
        "bytes_a_second": spent / length_s / size,
    }
