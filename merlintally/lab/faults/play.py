"""Plays a scenario: real node processes on loopback, links that the scenario controls, people at work.

Every process and port that it starts is ended, also on an interrupt. What is judged is in the folder of
records.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import secrets
import shutil
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from merlintally.cluster.disk import encode_record
from merlintally.forms import InputError
from merlintally.lab.faults.check import check, rows_of
from merlintally.lab.faults.links import KINDS, Net, state_of
from merlintally.lab.faults.scenario import FaultForm, Scenario
from merlintally.lab.judge.referee import Referee
from merlintally.lab.live.emulator import HOST
from merlintally.lab.live.play import Live
from merlintally.lab.live.processes import RealNode, lines_of
from merlintally.lab.model.days import Day
from merlintally.lab.model.record import Record
from merlintally.lab.model.requests import Try
from merlintally.lab.model.servers import Server
from merlintally.lab.model.settings import REPLICATED_NOTE_PRICE
from merlintally.lab.play.simulation import latest
from merlintally.lab.tell.figures import figures

SECRET, LEADER_S = "of the laboratory", 60.0
# Faults after which a node has lost promises, and does not vote until it has been let in again.
LOSING_KINDS = frozenset({"older", "empty", "spoilt"})
VOTES_FOR_S = 1.0  # until when a node with an older folder has been told so by the others
FORWARDED = ("heartbeat_s", "election_s", "period_s", "lease_s", "renew_s", "drift_share", "copies")


class Book:
    """The record of the parties round the nodes: clients and app servers."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("a", encoding="utf-8")

    def add(self, event: str, **fields: Any) -> None:
        row = {"at": round(time.monotonic(), 6), "node": "witness", "start": 1, "event": event, **fields}
        self.file.write(json.dumps(row) + "\n")


class Witness(Referee):
    """The referee, who also writes down what clients and app servers saw."""

    diary: Book

    def __init__(self, day: Day, started: float, record: Record) -> None:
        super().__init__(day, started, record)
        self.orphans: set[int] = set()  # of nodes that were killed, or stopped while they had them

    def died(self, node: str, now: float) -> None:
        self._orphan(node)
        super().died(node, now)

    def waive_answers(self, node: str) -> None:
        self._orphan(node)
        super().waive_answers(node)

    def _orphan(self, node: str) -> None:
        self.orphans |= {key for key, one in self.open.items() if one.node == node}

    def _late(self, trying: Try) -> bool:
        """What a killed process had written is read a while later, and one that was stopped can't have seen
        that its client left: neither is held against it."""
        return trying.id in self.orphans and trying.id not in self.open

    def sent(self, node: str, trying: Try, number: int, server: Server, now: float) -> None:
        if not self._late(trying):
            super().sent(node, trying, number, server, now)

    def taken(self, node: str, trying: Try, now: float) -> None:
        super().taken(node, trying, now)
        self.diary.add("taken", id=f"{trying.id:016x}", by=node)

    def answered(self, node: str, trying: Try, kind: str, now: float) -> None:
        if not self._late(trying):
            if trying.id in self.orphans:  # read, late, by a process that was stopped when it was sent
                self.open[trying.id].deadline = max(now, self.open[trying.id].deadline)
            super().answered(node, trying, kind, now)
        self.diary.add("answered", id=f"{trying.id:016x}", by=node, how=kind)

    def reached(self, trying: Try, number: int, server: Server, now: float) -> None:
        super().reached(trying, number, server, now)
        self.diary.add("received", server=server.name, id=f"{trying.id:016x}", attempt=number)


class FaultNode(RealNode):
    """A node process behind doors, with an operators' file where the scenario has a cluster."""

    live: FaultLive

    def __init__(self, live: FaultLive, number: int) -> None:
        super().__init__(live, number)
        self.cluster_port = 0
        self.touched = False  # people are at its machine
        self.held = False  # a fault keeps it down
        self.state = self.folder / "state"

    @property
    def votes(self) -> bool:
        """Whether the process runs, and its folder says that it may vote."""
        running = self.alive and not self.stopped and not self.held
        return running and (self.state / "agreement.log").exists() and not (self.state / "blank").exists()

    def configuration(self) -> dict[str, Any]:
        found = super().configuration()
        for party in ("counter", "discovery"):
            found[party] = f"{HOST}:{self.live.doors[self.name, party]}"
        if self.live.scenario.cluster is not None and self.live.scenario.cluster.copies:
            for key in ("peer_listen", "peers", "peers_all"):  # use is told by copies and not by notes
                found.pop(key)
            found["settings"]["prices"]["peer"] = REPLICATED_NOTE_PRICE
        return found

    def operators(self) -> Path:
        form, live = self.live.scenario.cluster, self.live
        path = self.folder / "operators.toml"
        rows = ["[record]", f"file = {json.dumps(str(live.records / f'{self.name}.jsonl'))}"]
        if form is not None:
            others = {
                other.name: f"{HOST}:{live.doors[self.name, other.name]}"
                for other in live.nodes
                if other.name != self.name
            }
            own = {self.name: f"{HOST}:{self.cluster_port}"}
            voters = [f"n{at}" for at in range(form.voters)]
            rows += [
                "[cluster]",
                'name = "lab"',
                f"folder = {json.dumps(str(self.state))}",
                f'secret = "{SECRET}"',
                f'listen = "{own[self.name]}"',
                f"voters = {json.dumps(voters)}",
            ]
            rows += [f"{key} = {getattr(form, key)}" for key in FORWARDED]
            warm = live.scenario.work.warm_s if live.scenario.work is not None else 0.5
            longest = max(one.hard_limit_s for one in live.world.day.lane)
            rows += [f"warm_s = {warm}", f"longest_s = {longest}"]
            for key, table in (("seeds", own | others), ("routes", others)):
                rows += [f"[cluster.{key}]", *(f'{name} = "{where}"' for name, where in table.items())]
        path.write_text("\n".join(rows) + "\n")
        return path

    def start(self) -> None:
        self.starts += 1
        path = self.write()
        operators = self.operators()
        if (
            self.starts == 1
            and self.live.scenario.cluster is not None
            and self.number < self.live.scenario.cluster.voters
        ):
            self._run("cluster", "init", "--operators", str(operators)).wait(20)
        self.process = self._run("serve", "--config", str(path), "--operators", str(operators))
        self.alive, self.stopped = True, False

    def _run(self, *args: str) -> subprocess.Popen[bytes]:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(Path(__file__).resolve().parents[3]),
        }
        command = [sys.executable, *self._program(), *args]
        return subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL, stderr=self.log)

    def _program(self) -> list[str]:
        """What is run: the program, or a node with a plan of faults in it, where one is given."""
        if self.live.shim_plan is None or self.starts < 1:
            return ["-c", "import sys; from merlintally.cli import main; sys.exit(main())"]
        return ["-m", "merlintally.lab.soak.node_process", str(self.live.shim_plan), str(self.starts)]


class FaultLive(Live):
    """One scenario in real time."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path, shim_plan: Path | None = None) -> None:
        self.shim_plan = shim_plan
        self.scenario, self.records = scenario, folder / "records"
        self.records.mkdir(parents=True)
        super().__init__(scenario.played_day(), seed, folder)
        witness = Witness(self.world.day, self.world.started, Record())
        witness.diary = self.book = Book(self.records / "witness.jsonl")
        self.world.referee = witness
        self.net = Net(seed)
        self.doors: dict[tuple[str, str], int] = {}
        self.caused: Counter[str] = Counter()
        self.rounds_done = self.turns = 0
        self.leaderless: list[float] = []
        self.unfinished: list[str] = []
        self.begun = 0.0
        self.faults_due = 0  # of the timetable, not caused yet
        self.copied_rows = 0  # the most that one node held when copies were the same
        self.equal_s: float | None = None  # from the end of load and faults until all copies are the same

    def node(self, number: int) -> RealNode:
        return FaultNode(self, number)

    def passes(self, sender: int, to: int) -> bool:
        return not (self.net.state(f"n{sender}", "notes").cut or self.net.state("notes", f"n{to}").cut)

    @property
    def fault_nodes(self) -> list[FaultNode]:
        return [one for one in self.nodes if isinstance(one, FaultNode)]

    async def prepare(self) -> None:
        """Doors for every pair, before the first node starts."""
        for node in self.fault_nodes:
            for party, port in (
                ("counter", self.counters[node.number].port),
                ("discovery", self.agents[node.number].port),
            ):
                self.doors[node.name, party] = await self.net.door(node.name, party, port)
            if self.scenario.cluster is not None:
                node.cluster_port = self.free_port()
        if self.scenario.cluster is not None:
            for a in self.fault_nodes:
                for b in self.fault_nodes:
                    if a is not b:
                        self.doors[a.name, b.name] = await self.net.door(a.name, b.name, b.cluster_port, True)

    async def begin(self) -> None:
        """The load has begun: so do faults and work."""
        self.begun = time.monotonic()
        for fault in self.scenario.timetable(self.world.seed):
            self.faults_due += 1
            self.spawn(self._cause(fault))
        if self.scenario.work is not None:
            self.spawn(self._people())
        if self.copying:
            self.spawn(self._compare())

    @property
    def copying(self) -> bool:
        return self.scenario.cluster is not None and self.scenario.cluster.copies > 0

    async def _compare(self) -> None:
        """Once load, work and faults have ended: until all nodes that hold a shard have the same copy of
        it."""
        await asyncio.sleep(self.scenario.seconds)
        while self._people_busy:
            await asyncio.sleep(0.1)
        began = time.monotonic()
        while time.monotonic() < began + LEADER_S:
            told = [await self._digests(node) for node in self.fault_nodes]
            held: dict[str, set[str]] = {}
            for one in told:
                for shard, digest in (one or {}).items():
                    held.setdefault(shard, set()).add(digest)
            if all(one is not None for one in told) and all(len(one) == 1 for one in held.values()):
                self.equal_s = time.monotonic() - began
                return
            await asyncio.sleep(0.2)
        self.equal_s = time.monotonic() - began
        self.unfinished.append("copies still differ")

    async def _digests(self, node: FaultNode) -> dict[str, str] | None:
        """Of one that has caught up; None of one that has not."""
        from merlintally.cluster.links import request as ask_one

        found: dict[str, Any] = {}
        try:
            for what in ("status", "digests"):
                _, text = await ask_one(
                    (HOST, node.cluster_port), "lab", SECRET, secrets.token_hex(4), "copies?", [what], 2.0
                )
                found |= json.loads(text)
        except Exception:  # it is not there, or not yet
            return None
        self.copied_rows = max(self.copied_rows, found["rows"])
        return found["digests"] if found["caught_up"] else None

    # Faults.

    async def _cause(self, fault: FaultForm) -> None:
        await asyncio.sleep(max(0.0, self.begun + fault.at_s - time.monotonic()))
        all_vote = fault.kind not in LOSING_KINDS or await self._all_vote()
        self.faults_due -= 1
        if not all_vote:
            self.unfinished.append(f"not all voters vote before the fault {fault.kind} of {fault.of}")
            return
        node = await self._node_of(fault.of)
        self.caused[fault.kind] += 1
        self.book.add(
            "fault",
            kind=fault.kind,
            of=fault.of if node is None else node.name,
            to=fault.to,
            lasts_s=round(fault.lasts_s, 3),
        )
        if fault.kind in KINDS:
            await self._link(fault, node.name if node is not None else fault.of)
        elif fault.kind == "kill-all":
            self.caused["kill"] += len(self.fault_nodes)
            await asyncio.gather(*(self._process("kill", one, fault.lasts_s) for one in self.fault_nodes))
        elif node is not None:
            await self._process(fault.kind, node, fault.lasts_s)

    async def _all_vote(self) -> bool:
        """Wait until every voter votes, and return whether that came about in time.

        A majority of voters that have lost their promises is lost for good: a play takes the next folder only
        once the node before it has been let in again, however slow the machine is.
        """
        assert self.scenario.cluster is not None
        voters = self.fault_nodes[: self.scenario.cluster.voters]
        ends, since = time.monotonic() + LEADER_S, time.monotonic()
        while time.monotonic() < ends:
            if not all(node.votes for node in voters) or not await self.leader():
                since = time.monotonic()
            if time.monotonic() - since > VOTES_FOR_S:
                return True
            await asyncio.sleep(0.05)
        return False

    async def _node_of(self, name: str) -> FaultNode | None:
        if name == "leader":
            name = await self.leader()
        if name == "turn":
            name = await self._next_turn()
        if name in ("any", ""):
            return self.net.random.choice(self.fault_nodes)
        return next((one for one in self.fault_nodes if one.name == name), None)

    async def _next_turn(self) -> str:
        """The node on the machine that is called or granted next."""
        ends = time.monotonic() + LEADER_S
        while time.monotonic() < ends:
            text = await self.ask("status", [], patience=5.0)
            for turn in json.loads(text)["turns"] if text else ():
                if turn["state"] in ("called", "granted"):
                    return f"n{turn['machine'][1:]}"
            await asyncio.sleep(0.02)
        return ""

    async def _link(self, fault: FaultForm, a: str) -> None:
        others = [one.name for one in self.fault_nodes if one.name != a]
        pairs = [(a, b) for b in (others if fault.to == "all" else [fault.to])]
        if fault.kind != "one-way":
            pairs += [(b, a) for a, b in pairs]
        resets = fault.kind == "reset"
        for a, b in pairs:
            await self.net.change(a, b, state_of(fault.kind, fault.size), resets)
        await asyncio.sleep(fault.lasts_s)
        for a, b in pairs:
            await self.net.change(a, b, None, resets)

    async def _process(self, kind: str, node: FaultNode, lasts: float) -> None:
        """One process fails, and comes back after a while, with whatever folder."""
        if kind in ("learn", "unvote"):
            if await self.ask(kind, [node.name], patience=LEADER_S) is None:
                self.unfinished.append(f"{kind} {node.name} was not taken")
            return
        if node.touched or node.held or not node.alive or node.stopped:
            self.caused[kind] -= 1
            return
        node.held = True
        led = await self.leader() if kind in ("kill", "stop") else ""
        try:
            if kind == "stop":
                node.hang()
                self._missed(node, led)
                ends = time.monotonic() + lasts
                while time.monotonic() < ends:  # what its machine accepts meanwhile is nobody's fault
                    await asyncio.sleep(0.25)
                    self.world.referee.waive_answers(node.name)
                node.resume()
            elif kind == "full":
                await self._full(node, lasts)
            elif kind == "leave":
                ended = asyncio.get_running_loop().create_future()
                node.retire(lambda: ended.set_result(None))
                await ended
                await asyncio.sleep(min(lasts, 1.0))
                await self._up(node)
            else:
                copy = node.folder / "older"
                if kind == "older":
                    shutil.rmtree(copy, ignore_errors=True)
                    shutil.copytree(node.state, copy)
                    await asyncio.sleep(lasts)
                node.kill()
                self._missed(node, led)
                await asyncio.sleep(0.3 if kind == "older" else lasts)
                self._spoil(kind, node, copy)
                if kind == "spoilt":
                    node.start()
                    code = await asyncio.to_thread(node.process.wait, 20.0) if node.process is not None else 0
                    node.alive = False
                    if code != 2:
                        self.unfinished.append(
                            f"{node.name} with a spoilt record ended with exit code {code}, not 2"
                        )
                    shutil.rmtree(node.state)
                await self._up(node)
        finally:
            node.held = False

    def _spoil(self, kind: str, node: FaultNode, copy: Path) -> None:
        log = node.state / "agreement.log"
        if kind == "older":
            shutil.rmtree(node.state)
            os.replace(copy, node.state)
        elif kind == "empty":
            shutil.rmtree(node.state, ignore_errors=True)
        elif kind == "torn" and log.exists():  # a record that was being written, and promised to nobody
            with log.open("ab") as file:
                file.write(encode_record(("vote", 10**6, "nobody"))[:-3])
        elif kind == "spoilt":
            data = bytearray(log.read_bytes())
            data[30] ^= 0xFF
            log.write_bytes(data)

    async def _full(self, node: FaultNode, lasts: float) -> None:
        """Its files may not grow any more (RLIMIT_FSIZE)."""
        assert node.process is not None
        pid = node.process.pid
        soft, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(
            pid, resource.RLIMIT_FSIZE, ((node.state / "agreement.log").stat().st_size + 16, hard)
        )
        await asyncio.sleep(lasts)
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (soft, hard))

    async def _up(self, node: FaultNode) -> None:
        done = asyncio.get_running_loop().create_future()
        node.restart(lambda: done.set_result(None))
        try:
            await asyncio.wait_for(done, 20.0)
        except TimeoutError:
            self.unfinished.append(f"{node.name} did not answer again")

    def _missed(self, node: FaultNode, led: str) -> None:
        if node.name == led:
            self.spawn(self._until_led(node.name, time.monotonic()))

    async def _until_led(self, old: str, since: float) -> None:
        while time.monotonic() - since < LEADER_S:
            found = await self.leader(but=old)
            if found and found != old:
                self.leaderless.append(time.monotonic() - since)
                return
            await asyncio.sleep(0.02)

    # People.

    async def ask(self, verb: str, args: list[Any], id_: str = "", patience: float = 40.0) -> str | None:
        """Ask nodes of chance until one has done it; None where nobody did in time or it was refused."""
        from merlintally.cluster.links import InvalidFrame
        from merlintally.cluster.links import request as ask_one

        id_, ends = id_ or secrets.token_hex(8), time.monotonic() + patience
        while time.monotonic() < ends:
            node = self.net.random.choice(self.fault_nodes)
            if node.alive and not node.stopped:
                with contextlib.suppress(OSError, TimeoutError, InvalidFrame, EOFError, Exception):
                    ok, text = await ask_one((HOST, node.cluster_port), "lab", SECRET, id_, verb, args, 3.0)
                    if ok:
                        return text
                    if "again" not in text:
                        return None
            await asyncio.sleep(0.05)
        return None

    async def leader(self, but: str = "") -> str:
        """Who leads, by the word of the highest term among those that can be asked."""
        if self.scenario.cluster is None:
            return ""
        from merlintally.cluster.links import request as ask_one

        best = (0, "")

        async def one(node: FaultNode) -> None:
            nonlocal best
            with contextlib.suppress(Exception):
                _, text = await ask_one(
                    (HOST, node.cluster_port), "lab", SECRET, secrets.token_hex(4), "status", [], 0.5
                )
                told = json.loads(text)
                if told["leads"]:
                    best = max(best, (told["term"], told["node"]))

        await asyncio.gather(
            *(one(node) for node in self.fault_nodes if node.alive and not node.stopped and node.name != but)
        )
        return best[1]

    async def _people(self) -> None:
        work = self.scenario.work
        assert work is not None
        await asyncio.sleep(work.at_s)
        count = len(self.fault_nodes)
        rows = [
            {
                "name": f"m{at}",
                "pool": f"p{at % work.pools}",
                "zone": f"z{at % work.zones}",
                "edges": [f"n{at}"],
                "servers": [name for number, name in enumerate(self.servers) if number % count == at],
            }
            for at in range(count)
        ]
        if await self.ask("machines", ["people", rows], patience=LEADER_S) is None:
            self.unfinished.append("no list of machines was agreed on")
            return
        for number in range(work.rounds):
            if number and time.monotonic() > self.begun + self.scenario.seconds - 6.0:
                return
            names = [row["name"] for row in rows]
            if (
                await self.ask(
                    "request",
                    [f"r{number}", "people", "kernel", names, [work.total, work.pool, work.zone], 0.0],
                    f"request:r{number}",
                    LEADER_S,
                )
                is None
            ):
                self.unfinished.append(f"request r{number} was not taken")
                return
            await asyncio.gather(*(self._touch(node, f"m{at}") for at, node in enumerate(self.fault_nodes)))
            self.rounds_done += 1

    async def _touch(self, node: FaultNode, machine: str) -> None:
        """Wait until a machine is out, work on it with its process down, say that it is done."""
        work = self.scenario.work
        assert work is not None
        ends = time.monotonic() + 60.0 + 20.0 * len(self.nodes)
        while time.monotonic() < ends:
            text = await self.ask("turn", [machine])
            turn = json.loads(text) if text else {"state": "", "asked_for": True}
            if turn["state"] == "out":
                break
            if not turn["asked_for"]:
                return
            await asyncio.sleep(0.1)
        else:
            self.unfinished.append(f"{machine} was not out in time")
            return
        while node.held:
            await asyncio.sleep(0.05)
        node.touched = True
        try:
            self.turns += 1
            if node.alive:
                node.kill()
            await asyncio.sleep(self.net.random.uniform(*work.work_s))
            await self._up(node)
        finally:
            node.touched = False
        if await self.ask("done", [machine, "people"], f"done:{machine}:{turn['number']}", LEADER_S) is None:
            self.unfinished.append(f"{machine}: done was not taken")
            return
        while time.monotonic() < ends:  # it counts as out until it is proven back
            text = await self.ask("turn", [machine])
            if text and json.loads(text)["number"] != turn["number"]:
                return
            await asyncio.sleep(0.1)
        self.unfinished.append(f"{machine} was not back in time")

    @property
    def busy(self) -> bool:
        """Whether people, faults or those who compare copies have still something to do."""
        waits_for_votes = time.monotonic() > self.begun + self.scenario.seconds and self.faults_due > 0
        return self._people_busy or waits_for_votes or (self.copying and self.equal_s is None)

    @property
    def _people_busy(self) -> bool:
        return any(one.touched or one.held for one in self.fault_nodes) or (
            self.scenario.work is not None and not self.rounds_done and not self.unfinished
        )


async def _play(live: FaultLive) -> None:
    day = live.world.day
    most = latest(day) + (120.0 + 40.0 * len(live.nodes) if live.scenario.work is not None else 60.0)
    await asyncio.wait_for(live.run(), most + 60.0)


def play(scenario: Scenario, seed: int, folder: Path, shim_plan: Path | None = None) -> dict[str, Any]:
    """Play it, its records in `folder`; gives what the shape says: broken, finished, requests, faults,
    worst. `shim_plan`: faults within the node processes (merlintally/lab/soak/shims.py)."""
    if folder.exists() and any(folder.iterdir()):
        raise InputError([f"{folder}: is not empty"])
    folder.mkdir(parents=True, exist_ok=True)

    async def all_of_it() -> FaultLive:
        live = FaultLive(scenario, seed, folder, shim_plan)
        try:
            await _play(live)
        finally:
            live.net.close()
            live.book.file.close()
        return live

    live = asyncio.run(all_of_it())
    found = check(live.records)
    for one in live.world.referee.breaches:
        found["broken"].append({"promise": f"rule {one.rule}", "lines": [str(one), ""]})
    found |= {
        "scenario": scenario.name,
        "seed": seed,
        "processes": scenario.processes,
        "seconds": scenario.seconds,
        "finished": not live.unfinished,
        "unfinished": live.unfinished,
        "faults": dict(live.caused),
        "work": {"rounds": live.rounds_done, "turns": live.turns},
        "notices": live.world.notices[:10],
        "copies": {"rows": live.copied_rows} if live.copying else {},
        "figures": {key: round(value, 6) for key, value in figures(live.world.referee).items()},
        "worst": worst_of(live, rows_of(live.records)),
        "log": list(lines_of(folder, 2)),
    }
    return found


def worst_of(live: FaultLive, rows: list[dict[str, Any]]) -> dict[str, list[float]]:
    """Name -> measured and stated, seconds."""
    form = live.scenario.cluster
    if form is None:
        return {}
    import msgspec

    from merlintally.cluster.bounds import bounds_of
    from merlintally.operators import ClusterPart

    part = ClusterPart(**{key: value for key, value in msgspec.to_builtins(form).items() if key != "voters"})
    stated = {row.name: row.stated_s for row in bounds_of(part)}
    found = {}
    if live.equal_s is not None:
        found["copies equal"] = [round(live.equal_s, 3), round(stated["copies equal"], 3)]
    if live.leaderless:
        found["new leader"] = [round(max(live.leaderless), 3), round(stated["new leader"], 3)]
    return found


def interrupted() -> None:
    """SIGTERM ends a play as an interrupt does, so that every process of it is ended."""
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
