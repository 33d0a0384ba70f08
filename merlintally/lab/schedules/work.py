"""The order of work in simulated time: whole nodes (agreement, members, work), machines that are touched only
when a node says so, operators that ask, and faults. The machines count for themselves who is out."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from contextlib import suppress
from random import Random
from typing import Any

from merlintally.cluster.agreement import PersistentState, RaftSettings
from merlintally.cluster.core import Cluster, ClusterSettings, LocalObservations, NodeIdentity
from merlintally.cluster.members import SwimSettings
from merlintally.cluster.work.coordinator import MaintenanceTiming
from merlintally.cluster.work.state import OUT, Machine, entry, limit_of
from merlintally.lab.schedules.agreement import Disk
from merlintally.lab.schedules.world import Drifting, Found, Judge, Verdict

TERMS = MaintenanceTiming(lease_s=1.5, renew_s=0.3, drift=0.02, warm_s=1.0, longest_s=0.25)
PACE = RaftSettings(heartbeat_s=0.1, election_s=0.4)
USUAL = SwimSettings()
LOOK_S, STEP_S = 0.05, 0.2
FAULTS = (
    "kill",
    "kill",
    "stop",
    "stop",
    "part",
    "one way",
    "all down",
    "leader",
    "empty",
    "word",
    "word",
    "word",
    "pause",
)


class Node:
    """One process: its core, disk and clock. What it sends to app servers is drawn by the rig."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.name, self.disk = rig, name, Disk()
        self.clock = Drifting(rig.world, rig.drift)
        self.core: Cluster | None = None
        self.starts = self.life = 0
        self.blank = False  # kept on its disk until it votes again, as a process does
        self.wake_at = self.stopped_until = 0.0
        self.busy: dict[str, float] = {}  # server -> until when something is out there
        self.open_until = 0.0  # when the last of what it took is answered
        self.bytes = 0

    @property
    def running(self) -> bool:
        return self.core is not None and self.rig.world.now >= self.stopped_until

    def start(self, empty: bool = False) -> None:
        rig = self.rig
        if empty:
            self.disk = Disk()
            self.blank = self.starts > 0
        self.starts += 1
        self.life += 1
        self.wake_at = self.stopped_until = 0.0
        safe = self.disk.safe
        self.core = Cluster(
            NodeIdentity(self.name, f"{self.name}:1", self.starts),
            rig.plan,
            PersistentState(safe.term, safe.vote, safe.snapshot, list(safe.entries)),
            Random(rig.world.random.random()),
            self.clock.now(),
            self.blank,
            rig.mistakes,
        )
        self.settle()

    def kill(self) -> None:
        self.core = None
        self.life += 1
        self.busy.clear()
        self.disk.crash(self.rig.world.random)

    def settle(self) -> None:
        core, world, rig = self.core, self.rig.world, self.rig
        assert core is not None
        found = core.take_results()
        for at, row in enumerate(found.persist, found.number - len(found.persist) + 1):
            self.disk.write(at, row)
        if self.disk.unsafe and not self.disk.syncing:
            self.disk.syncing = True
            world.after(world.random.uniform(0.0005, 0.004), self.synced, self.life, self.disk.unsafe[-1][0])
        for to, call, args in found.sends:
            if to in rig.nodes:
                world.send(self.name, to, rig.deliver, to, self.name, call, args)
        for id_, ok, text in found.answers:
            rig.answered(id_, ok, text)
        rig.words.update(core.proposed)
        self.blank = self.blank and core.raft.lost_state
        when = self.clock.world_time(found.wake_at)
        if not self.wake_at or when < self.wake_at or self.wake_at <= world.now:
            self.wake_at = max(when, world.now + 0.001)
            world.at(self.wake_at, self.woken, self.life)

    def synced(self, life: int, number: int) -> None:
        if life != self.life or self.core is None:
            return
        if not self.running:
            self.rig.world.at(self.stopped_until, self.synced, life, number)
            return
        self.disk.sync(number)
        self.disk.syncing = False
        self.core.synced(self.clock.now(), number)
        self.settle()

    def woken(self, life: int) -> None:
        if life != self.life or self.core is None:
            return
        now = self.rig.world.now
        if not self.running:
            self.rig.world.at(self.stopped_until, self.woken, life)
        elif now >= self.wake_at - 1e-9:
            self.busy = {server: until for server, until in self.busy.items() if until > now}
            self.core.local = LocalObservations(
                frozenset(self.busy),
                now >= self.open_until,
                self.rig.off(),
                self.rig.rates,
                self.rig.wants.get(self.name, {}),
            )
            self.core.wake(self.clock.now())
            self.settle()


class Rig(Judge):
    """`size` machines of two pools and three zones; each carries an edge node and an app server. The first
    `voters` vote. `out` has the machines that people touch now; `serving` servers that are up."""

    def __init__(
        self,
        seed: int,
        size: int,
        voters: int = 3,
        mistakes: Iterable[str] = (),
        drift: float = 0.01,
        terms: MaintenanceTiming = TERMS,
        rhythm: SwimSettings = USUAL,
        bears: float = 0.0,
    ) -> None:
        super().__init__(seed, mistakes)
        self.drift = drift
        if "clocks run unlike beyond the stated share" in self.mistakes:
            self.drift = 0.6
        names = [f"n{at}" for at in range(size)]
        self.plan = ClusterSettings(
            tuple(names[:voters]), {name: f"{name}:1" for name in names[:voters]}, PACE, rhythm, terms
        )
        self.machines = {
            f"m{at}": Machine(f"m{at}", f"p{at % 2}", f"z{at % 3}", (f"n{at}",), (f"s{at}",), bears)
            for at in range(size)
        }
        self.nodes = {name: Node(self, name) for name in names}
        self.touched: dict[str, int] = {}  # machine -> its turn, while people are at it
        self.worked: dict[str, int] = {}  # machine -> the last turn in which people were at it
        self.down: set[str] = set()  # servers that are not up
        self.rates: dict[str, float] = {}
        self.wants: dict[str, dict[str, int]] = {}  # node -> customer -> thousandths of its ceiling
        self.budget = ("2", "1", "2")
        self.work_s = (0.2, 1.0)
        self.told: dict[str, tuple[bool, str]] = {}
        self.number = 0
        self.away: dict[str, float] = {}  # machine -> seconds in all that it was taken out
        self.since: dict[str, float] = {}
        self.ready_at: dict[str, float] = {}  # machine -> when its process was up again after work
        self.words: set[str] = set()  # what leaders have proposed

    def deliver(self, to: str, sender: str, call: str, args: tuple[Any, ...]) -> None:
        node = self.nodes[to]
        if node.core is None:
            return
        if not node.running:
            self.world.at(node.stopped_until, self.deliver, to, sender, call, args)
            return
        node.core.receive(node.clock.now(), sender, call, args)
        node.settle()

    def off(self) -> tuple[str, ...]:
        return tuple(sorted(self.down))

    # Operators: they ask any node, and ask again with the same id until they are answered.

    def ask(self, id_: str, verb: str, *args: Any, tries: int = 400) -> None:
        if (told := self.told.get(id_)) and (told[0] or "ask again" not in told[1]) or not tries:
            return
        self.told.pop(id_, None)
        node = self.world.random.choice(list(self.nodes.values()))
        if node.running and node.core is not None:
            node.core.request(node.clock.now(), id_, verb, list(args))
            node.settle()
        self.world.after(0.5, lambda: self.ask(id_, verb, *args, tries=tries - 1))

    def answered(self, id_: str, ok: bool, text: str) -> None:
        if id_.startswith("look:"):
            turn: dict[str, Any] = json.loads(text) if ok else {"state": ""}
            if turn["state"] != OUT or turn["machine"] in self.touched:
                return
            if turn["number"] > self.worked.get(turn["machine"], 0):  # people know what they are done with
                self._touch(turn["machine"], turn["number"])
        else:
            self.told[id_] = (ok, text)

    def look(self) -> None:
        """People ask a node of their choice about a machine, and touch it once they hear that it is out."""
        node = self.world.random.choice(list(self.nodes.values()))
        if node.running and node.core is not None:
            for turn in list(node.core.work.turns.values()):
                if turn.state == OUT and turn.machine not in self.touched:
                    self.number += 1
                    node.core.request(node.clock.now(), f"look:{self.number}", "turn", [turn.machine])
                    node.settle()
        self.world.after(LOOK_S, self.look)

    def _touch(self, machine: str, number: int) -> None:
        self.count("turns")
        self.touched[machine] = self.worked[machine] = number
        row, world = self.machines[machine], self.world
        self._within()
        for server in row.servers:
            self.down.add(server)
            for node in self.nodes.values():
                if node.running and server in node.busy and node.busy[server] > world.now:
                    self.broken(f"{machine} is touched while {node.name} waits for an answer of {server}")
        for name in row.edges:
            if self.nodes[name].running and self.nodes[name].open_until > world.now:
                self.broken(f"{machine} is touched while {name} has open submissions")
            if self.nodes[name].core is not None:
                self.nodes[name].kill()
        world.after(world.random.uniform(*self.work_s), self._ready, machine, number)

    def _ready(self, machine: str, number: int) -> None:
        row = self.machines[machine]
        self.down -= set(row.servers)
        self.ready_at[machine] = self.world.now
        for name in row.edges:
            if self.nodes[name].core is None:
                self.nodes[name].start()
        self.ask(f"done:{machine}:{number}", "done", machine, "someone")
        self._watch_back(machine, number)

    def _watch_back(self, machine: str, number: int) -> None:
        """It is out until a node that has applied more than its turn holds it to be back."""
        for node in self.nodes.values():
            if (
                node.core is not None
                and node.core.work.number >= number
                and ((turn := node.core.work.turns.get(machine)) is None or turn.number > number)
            ):
                if self.world.now < self.ready_at[machine] + 0.9 * self.plan.terms.warm_s:
                    self.broken(
                        f"{machine} counts as back {self.world.now - self.ready_at[machine]:.2f} s after "
                        "its work, which is before it can be warm"
                    )
                del self.touched[machine]
                return
        self.world.after(LOOK_S, self._watch_back, machine, number)

    def _within(self) -> None:
        """The machines count for themselves."""
        rows = [self.machines[name] for name in self.touched]
        for what, limit, of, out in (
            ("in all", self.budget[0], len(self.machines), len(rows)),
            *(
                (
                    f"in {kind} {value}",
                    self.budget[at],
                    sum(getattr(one, kind) == value for one in self.machines.values()),
                    sum(getattr(one, kind) == value for one in rows),
                )
                for at, kind in ((1, "pool"), (2, "zone"))
                for value in {getattr(one, kind) for one in rows}
            ),
        ):
            if out > limit_of(limit, of):
                self.broken(
                    f"{out} machines are out {what}, of at most {limit_of(limit, of)}: {sorted(self.touched)}"
                )
        if len({one.zone for one in rows}) > 1:
            self.broken(f"machines of two zones are out at once: {sorted(self.touched)}")
        held = [node.core.work for node in self.nodes.values() if node.core is not None]
        votes = set(max(held, key=lambda work: work.index).voters) if held else set(self.plan.voters)
        if 2 * sum(bool(votes & set(one.edges)) for one in rows) >= len(votes):
            self.broken(f"no majority of voters is left: {sorted(self.touched)}")

    def late_word(self) -> None:
        """A leader's word of before arrives once more, or one that no leader would say."""
        led = [
            one
            for one in self.nodes.values()
            if one.running and one.core is not None and one.core.raft.role == "leader"
        ]
        if led and led[0].core is not None:
            self.count("late words")
            self.number += 1
            core, random = led[0].core, self.world.random
            if self.words and random.random() < 0.6:
                verb, *args = random.choice(sorted(self.words)).split(":")
                words: list[Any] = [int(args[0]), *args[1:]]
            else:
                verb, words = "call", [core.work.number + 1, random.choice(list(self.machines)), "r1"]
            core.raft.propose(led[0].clock.now(), entry(f"late:{self.number}", verb, *words))
            led[0].settle()

    # Load: now and then a node sends something somewhere.

    def load(self) -> None:
        random, now = self.world.random, self.world.now
        for node in self.nodes.values():
            if node.running and node.core is not None and node.core.may_take(node.clock.now()):
                machine = random.choice(list(self.machines.values()))
                for server in machine.servers:
                    if not node.core.may_send(server, node.clock.now()):
                        continue
                    if machine.name in self.touched and server in self.down:
                        self.broken(f"{node.name} sends to {server}, whose machine {machine.name} is out")
                    node.busy[server] = node.open_until = now + random.uniform(0.01, 0.2)
                for row in self.machines.values():
                    if node.name in row.edges and row.name in self.touched and node.name in self.down:
                        self.broken(f"{node.name} takes while its machine {row.name} is out")
        self.world.after(self.load_s, self.load)

    load_s = 0.05

    def begin(self, budget: tuple[str, str, str], length_s: float, work: bool = True) -> None:
        self.budget = budget
        for node in self.nodes.values():
            node.start()
        rows = [
            {
                "name": one.name,
                "pool": one.pool,
                "zone": one.zone,
                "edges": one.edges,
                "servers": one.servers,
                "bears": one.bears,
            }
            for one in self.machines.values()
        ]
        self.world.at(1.5, self.ask, "list", "machines", "someone", rows)
        if work:
            self.world.at(2.5, self._ask_for_all)
        self.world.at(2.6, self.look)
        self.world.at(2.6, self.load)

    def _ask_for_all(self) -> None:
        """Once the list of machines is agreed on."""
        if self.told.get("list", (False, ""))[0]:
            self.ask("all", "request", "r1", "someone", "kernel", list(self.machines), list(self.budget), 0.0)
        else:
            self.world.after(0.1, self._ask_for_all)

    def finished(self) -> bool:
        done = [node.core.work for node in self.nodes.values() if node.core is not None]
        return any(
            work.requests.get("r1") is not None and work.requests["r1"].state == "finished" for work in done
        )

    def until_finished(self, until: float) -> float:
        """Run until all work is done, at most until `until`; gives when."""
        while self.world.now < until and not self.finished():
            self.world.run(self.world.now + STEP_S)
        return self.world.now


def play(seed: int, mistakes: Iterable[str] = (), size: int = 0) -> Verdict:
    """One schedule: work on all of 4 to 7 machines, or of `size`, goes round under faults; in the end all of
    it is done."""
    random = Random(seed)
    rhythm = SwimSettings(
        period_s=0.3, probe_timeout_s=0.1, state_exchange_s=3.0, dead_probe_s=1.0, alpha=2.0, beta=2.0
    )
    rig = Rig(
        seed,
        size or random.randint(4, 7),
        random.choice((3, 3, 5)) if random.random() < 0.3 else 3,
        mistakes,
        rhythm=rhythm,
    )
    rig.plan = rig.plan._replace(voters=rig.plan.voters[: len(rig.nodes)])
    world, names = rig.world, list(rig.nodes)
    world.loss, world.double = random.choice((0, 0, 0.05, 0.15)), random.choice((0, 0.1))
    world.slow = random.choice((0, 0, 0.05))
    rig.begin(random.choice((("2", "1", "2"), ("1", "1", "1"), ("50%", "50%", "100%"))), 0)

    def fault() -> None:
        what = random.choice(FAULTS)
        if what == "word":
            rig.late_word()
            return
        if what == "pause":
            rig.number += 1
            rig.count(what)
            rig.ask(f"pause:{rig.number}", "pause", "r1", "another", tries=20)
            world.after(random.uniform(0.2, 2.0), rig.ask, f"resume:{rig.number}", "resume", "r1", "someone")
            return
        node = rig.nodes[random.choice(names)]
        if what == "leader":
            led = [
                one for one in rig.nodes.values() if one.core is not None and one.core.raft.role == "leader"
            ]
            node = random.choice(led) if led else node
        rig.count(what)
        if what == "stop":
            node.stopped_until = world.now + random.choice((0.5, 2.5, 6.0))
        elif what in ("part", "one way"):
            world.part_some(names, random, what == "part")
        else:
            # a majority of voters without their logs is lost for good: one at a time, until it votes again
            whole = all(one.core is not None and not one.core.raft.lost_state for one in rig.nodes.values())
            empty = what == "empty" and whole
            for one in rig.nodes.values() if what == "all down" else (node,):
                if one.core is not None:
                    one.kill()
                    world.after(random.choice((0.1, 1.0, 4.0)), back, one, empty)

    def back(node: Node, empty: bool) -> None:
        touched = any(
            node.name in rig.machines[name].edges and set(rig.machines[name].servers) & rig.down
            for name in rig.touched
        )
        if node.core is None and not touched:
            node.start(empty)

    for _ in range(random.randint(1, 12)):
        world.at(random.uniform(2, 25), fault)
    with suppress(Found):
        _run(rig, back)
    return rig.verdict


def _run(rig: Rig, back: Callable[[Node, bool], None]) -> None:
    world = rig.world
    rig.until_finished(40.0)
    world.cut.clear()
    world.loss = world.double = world.slow = 0.0
    for node in rig.nodes.values():
        node.stopped_until = min(node.stopped_until, world.now)
        back(node, False)
    # a pause may have come after its resume, each asked again until it was heard
    rig.ask("resume:last", "resume", "r1", "someone")
    rig.until_finished(200.0)
    rig.verdict.finished = rig.finished()
    if not rig.verdict.finished and not rig.mistakes:
        rig.broken("after all faults had ended not all work was done in time")
