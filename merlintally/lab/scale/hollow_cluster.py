"""A cluster of hollow nodes in a few processes, and what it uses over a stretch of time.

Each voter has a process of its own, and so has one node that does not vote: what a process spends on its
event loop is then a node's own, as in a real one. All others share processes.
"""

from __future__ import annotations

import os
import secrets
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom
from types import TracebackType
from typing import TypeVar

import msgspec

from merlintally.lab.scale.hollow import PORT, HollowSpec, HollowUse
from merlintally.lab.scale.hollow_process import (
    ANSWERS,
    Answer,
    Applied,
    Await,
    Begin,
    Change,
    Changed,
    Command,
    Done,
    Mark,
    Marked,
    Restart,
    Steady,
)
from merlintally.lab.scale.meter import Count, total

ROOT = Path(__file__).resolve().parents[3]
END_S, LOOK_S, PATIENCE_S = 5.0, 0.25, 120.0
MOST_NODES = 140  # in one process
NETWORKS = range(100, 254)  # of as many digits, so that addresses are as long
Expected = TypeVar("Expected", Marked, Changed, Applied, Done)


class HollowFailed(Exception):
    """The cluster could not be measured; the text says why."""


class Network:
    """A network of loopback, 127.x.0.0, that no other cluster on this machine uses meanwhile."""

    def __init__(self) -> None:
        self.claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for number in SystemRandom().sample(NETWORKS, len(NETWORKS)):
            with suppress(OSError):
                self.claim.bind((f"127.{number}.0.1", PORT))
                self.number = number
                return
        self.claim.close()
        raise HollowFailed("every network of loopback is in use")

    def addresses(self, count: int) -> tuple[str, ...]:
        """One of its own for each node."""
        return tuple(f"127.{self.number}.{1 + at // 200}.{1 + at % 200}:{PORT}" for at in range(count))

    def close(self) -> None:
        self.claim.close()


class Child:
    """One process of hollow nodes."""

    def __init__(self, spec: HollowSpec, names: Sequence[str], seed: int) -> None:
        self.names = tuple(names)
        environment = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "merlintally.lab.scale.hollow_process"],
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.tell(Begin(spec, self.names, seed))

    def tell(self, command: Command) -> None:
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")
            self.process.stdin.flush()
        except OSError:
            raise HollowFailed(f"the process of {self.names[0]} and others has ended") from None

    def answer(self, expected: type[Expected]) -> Expected:
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise HollowFailed(f"the process of {self.names[0]} and others has ended")
        found: Answer = ANSWERS.decode(line)
        assert isinstance(found, expected), f"{found!r:.80} is no {expected.__name__}"
        return found

    def end(self) -> None:
        """End it by its id, whatever it does."""
        assert self.process.stdin is not None and self.process.stdout is not None
        with suppress(OSError):
            self.process.stdin.close()
        try:
            self.process.wait(END_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


@dataclass(frozen=True)
class Moment:
    """All nodes and processes at one time."""

    at: float
    marks: tuple[Marked, ...]  # by process

    def nodes(self) -> dict[str, HollowUse]:
        return {name: use for mark in self.marks for name, use in mark.nodes.items()}

    @property
    def leader(self) -> str:
        return next((name for name, use in self.nodes().items() if use.leads), "")


@dataclass(frozen=True)
class Traffic:
    """Of one node, a second."""

    sent: Count
    received: Count
    seconds: float

    @property
    def bytes(self) -> float:
        return (self.sent.bytes + self.received.bytes) / self.seconds

    @property
    def messages(self) -> float:
        return (self.sent.messages + self.received.messages) / self.seconds


@dataclass(frozen=True)
class Stretch:
    """What a cluster used between two moments."""

    before: Moment
    after: Moment

    @property
    def seconds(self) -> float:
        return self.after.at - self.before.at

    @property
    def leader(self) -> str:
        """Who led throughout; HollowFailed where that changed."""
        if not self.after.leader or self.before.leader != self.after.leader:
            raise HollowFailed(f"{self.before.leader!r} led, and then {self.after.leader!r}")
        return self.after.leader

    def traffic(self) -> dict[str, Traffic]:
        """Of each node, by what it and the others have sent."""
        earlier, later = self.before.nodes(), self.after.nodes()
        received = {name: Count() for name in later}
        for name, use in later.items():
            before = earlier[name].sent.receivers
            for to, count in use.sent.receivers.items():
                if to in received:
                    received[to] = received[to].plus(count.minus(before.get(to, Count())))
        return {
            name: Traffic(use.sent.all.minus(earlier[name].sent.all), received[name], self.seconds)
            for name, use in later.items()
        }

    def calls(self, names: Sequence[str]) -> dict[str, Count]:
        """What these nodes have sent, by call."""
        earlier, later = self.before.nodes(), self.after.nodes()
        found: dict[str, Count] = {}
        for name in names:
            for call, count in later[name].sent.calls.items():
                more = count.minus(earlier[name].sent.calls.get(call, Count()))
                found[call] = found.get(call, Count()).plus(more)
        return found

    def core_share(self, name: str) -> float:
        """Of one core, by a node: that of its process divided by the nodes in it."""
        for before, after in zip(self.before.marks, self.after.marks, strict=True):
            if name in after.nodes:
                used = after.process.cpu_s - before.process.cpu_s
                return used / self.seconds / len(after.nodes)
        raise KeyError(name)

    def resident(self, name: str) -> float:
        """Bytes that a node takes: those of its process beyond what it had without nodes, by the nodes in
        it."""
        mark = next(one for one in self.after.marks if name in one.nodes)
        return (mark.process.resident - mark.base.resident) / len(mark.nodes)


class HollowCluster:
    """`size` hollow nodes, the first `voters` of them voting; a context that ends all it has started."""

    def __init__(
        self,
        size: int,
        voters: int = 3,
        seed: int = 1,
        per_process: int = MOST_NODES,
        copies: int = 0,
        exchange_s: float | None = None,
    ) -> None:
        self.network, self.folder = Network(), Path(tempfile.mkdtemp(prefix="hollow-"))
        names = tuple(f"edge-{at:04d}" for at in range(size))
        self.spec = HollowSpec(
            names,
            self.network.addresses(size),
            voters,
            str(self.folder),
            secrets.token_hex(16),
            copies,
            exchange_s,
        )
        self.children: list[Child] = []
        others = names[voters + 1 :]
        self.groups = [[name] for name in names[: voters + 1]]
        count = -(-len(others) // per_process)
        self.groups += [list(others[at::count]) for at in range(count)]
        self.seed = seed

    @property
    def followers(self) -> tuple[str, ...]:
        """Nodes that do not vote."""
        return self.spec.names[self.spec.voters :]

    @property
    def alone(self) -> str:
        """The node that does not vote and has a process of its own."""
        return self.spec.names[self.spec.voters]

    def __enter__(self) -> HollowCluster:
        try:
            for at, group in enumerate(self.groups):
                if at == self.spec.voters:
                    self.mark()  # all voters listen: who greets them too early waits for the next exchange
                self.children.append(Child(self.spec, group, self.seed * 1000 + at))
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, wrong: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end()

    def end(self) -> None:
        for child in self.children:
            child.end()
        self.network.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def mark(self) -> Moment:
        for child in self.children:
            child.tell(Mark())
        marks = tuple(child.answer(Marked) for child in self.children)
        return Moment(sum(mark.at for mark in marks) / len(marks), marks)

    def until_settled(self, patience_s: float = PATIENCE_S) -> Moment:
        """Until one leads, and all have caught up and hold all others to be alive."""
        ends = time.monotonic() + patience_s
        while time.monotonic() < ends:
            found = self.mark()
            uses = found.nodes().values()
            if found.leader and all(one.caught_up and one.alive == len(self.spec.names) for one in uses):
                return found
            time.sleep(LOOK_S)
        known = min(one.alive for one in uses)
        raise HollowFailed(
            f"not settled after {patience_s:g} s: {found.leader or 'nobody'} leads, "
            f"{sum(one.caught_up for one in uses)} of {len(uses)} caught up, one knows {known} members alone"
        )

    def steady(self) -> None:
        """Full exchanges of members are as in a real node from now on."""
        for child in self.children:
            child.tell(Steady())
        for child in self.children:
            child.answer(Done)

    def stretch(self, seconds: float) -> Stretch:
        """What is used at rest over so long a time."""
        before = self.mark()
        time.sleep(seconds)
        return Stretch(before, self.mark())

    def restart(self, names: Sequence[str]) -> None:
        """Restart nodes, all at once."""
        told = [(child, tuple(name for name in names if name in child.names)) for child in self.children]
        for child, its in told:
            child.tell(Restart(its))
        for child, _ in told:
            child.answer(Done)

    def change(self, count: int, payload: str) -> float:
        """Seconds until the last node has applied the last of `count` entries that begin at once."""
        leader = self.mark().leader
        child = next((one for one in self.children if leader in one.names), None)
        if child is None:
            raise HollowFailed("nobody leads")
        child.tell(Change(count, payload, secrets.token_hex(4)))
        changed = child.answer(Changed)
        for one in self.children:
            one.tell(Await(changed.last))
        return max(one.answer(Applied).at for one in self.children) - changed.began


def mean_traffic(stretch: Stretch, names: Sequence[str]) -> Traffic:
    """The mean of these nodes."""
    traffic = stretch.traffic()
    sent = total(traffic[name].sent for name in names)
    received = total(traffic[name].received for name in names)
    return Traffic(sent, received, stretch.seconds * len(names))
