"""Holds hollow nodes against real node processes of the same cluster size, both metered alike, at once.

`python -m merlintally.lab.scale.hollow_check [SIZE [SECONDS]]` prints what the nodes of each send a second.
"""

from __future__ import annotations

import json
import os
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import anyio

from merlintally.cluster.links import InvalidFrame
from merlintally.cluster.links import request as ask_one
from merlintally.lab.scale.hollow import HollowSpec, found_folder
from merlintally.lab.scale.hollow_cluster import (
    END_S,
    LOOK_S,
    ROOT,
    HollowCluster,
    HollowFailed,
    Network,
)
from merlintally.lab.scale.meter import METER_FILE, Count, NodeUse, Sent, read_use, total
from merlintally.net.configuration import parse_address

EXAMPLE = ROOT / "example" / "config.json"
CLIENT_PORT, NOBODYS_PORT = 7379, 9  # where a node listens to clients; where neither counter nor discovery is
EXCHANGE, GOSSIP = "m.state", "m.gossip"
MOST_STRETCHES = 8  # until one is without gossip
ASK_S, WRITE_S = 2.0, 5.0


class RealProcess:
    """One edge node: `merlintally serve` with an operators' file, its links metered."""

    def __init__(self, spec: HollowSpec, name: str) -> None:
        self.spec, self.name = spec, name
        folder = Path(spec.folder)
        self.meter, self.log = folder / f"{name}.meter", (folder / f"{name}.log").open("wb")
        if name in spec.names[: spec.voters]:
            found_folder(folder / name)
        configuration, operators = folder / f"{name}.json", folder / f"{name}.toml"
        configuration.write_text(json.dumps(self.configuration()))
        operators.write_text(self.operators())
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "merlintally.lab.scale.meter",
                "serve",
                "--config",
                str(configuration),
                "--operators",
                str(operators),
            ],
            env={
                "PATH": os.environ.get("PATH", ""),
                "PYTHONPATH": str(ROOT),
                METER_FILE: str(self.meter),
            },
            stdout=subprocess.DEVNULL,
            stderr=self.log,
        )

    def configuration(self) -> dict[str, Any]:
        """The example's, with addresses of this node's own; neither discovery nor counter is there."""
        found: dict[str, Any] = json.loads(EXAMPLE.read_text())
        host = parse_address(self.spec.address_of(self.name), "listen")[0]
        return found | {
            "name": self.name,
            "listen": f"{host}:{CLIENT_PORT}",
            "discovery": f"{host}:{NOBODYS_PORT}",
            "counter": f"{host}:{NOBODYS_PORT}",
        }

    def operators(self) -> str:
        part = self.spec.part_of(self.name)
        rows = [
            "[cluster]",
            f"name = {json.dumps(part.name)}",
            f"folder = {json.dumps(part.folder)}",
            f"listen = {json.dumps(part.listen)}",
            f"secret = {json.dumps(part.secret)}",
            f"voters = {json.dumps(part.voters)}",
            "[cluster.seeds]",
            *(f"{name} = {json.dumps(where)}" for name, where in part.seeds.items()),
        ]
        return "\n".join(rows) + "\n"

    def status(self) -> dict[str, Any]:
        """What the node says of itself; nothing where it does not answer."""
        part = self.spec.part_of(self.name)
        where = parse_address(part.listen, "listen")

        async def ask() -> tuple[bool, str]:
            return await ask_one(where, part.name, part.secret, secrets.token_hex(4), "status", [], ASK_S)

        with suppress(OSError, TimeoutError, InvalidFrame, anyio.EndOfStream, anyio.BrokenResourceError):
            found: dict[str, Any] = json.loads(anyio.run(ask)[1])
            return found
        return {}

    def request_use(self) -> float:
        """Have it write what it has used; gives since when."""
        began = time.monotonic()
        self.process.send_signal(signal.SIGUSR1)
        return began

    def use(self, since: float) -> NodeUse:
        ends = time.monotonic() + WRITE_S
        while time.monotonic() < ends:
            if self.meter.exists() and (found := read_use(self.meter)).at >= since:
                return found
            time.sleep(0.01)
        raise HollowFailed(f"{self.name} did not tell what it has used")

    def end(self) -> None:
        """End it by its id, whatever it does."""
        self.process.terminate()
        try:
            self.process.wait(END_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.log.close()


class RealCluster:
    """`size` real node processes, the first `voters` of them voting; a context that ends what it started."""

    def __init__(self, size: int, voters: int = 3) -> None:
        self.network, self.folder = Network(), Path(tempfile.mkdtemp(prefix="real-"))
        names = tuple(f"edge-{at:04d}" for at in range(size))
        addresses = self.network.addresses(size)
        self.spec = HollowSpec(names, addresses, voters, str(self.folder), secrets.token_hex(16))
        self.processes: list[RealProcess] = []

    def __enter__(self) -> RealCluster:
        try:
            for at, name in enumerate(self.spec.names):
                if at == self.spec.voters:
                    self._until(lambda: all(one.status() for one in self.processes), 20.0, "do not answer")
                self.processes.append(RealProcess(self.spec, name))
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, wrong: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end()

    def end(self) -> None:
        for one in self.processes:
            one.end()
        self.network.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _until(self, true: Callable[[], bool], patience_s: float, what: str) -> None:
        ends = time.monotonic() + patience_s
        while not true():
            if time.monotonic() > ends:
                raise HollowFailed(f"real nodes {what}")
            time.sleep(LOOK_S)

    def until_settled(self, patience_s: float = 60.0) -> str:
        """Until one leads, and all have caught up and hold all to be alive; gives who leads."""

        def settled() -> bool:
            told = [one.status() for one in self.processes]
            return all(
                one.get("caught_up")
                and one["leader"]
                and list(one["members"].values()).count("alive") == len(self.spec.names)
                for one in told
            )

        self._until(settled, patience_s, "have not settled")
        leader: str = self.processes[-1].status()["leader"]
        return leader

    def mark(self) -> dict[str, NodeUse]:
        since = [one.request_use() for one in self.processes]
        return {one.name: one.use(at) for one, at in zip(self.processes, since, strict=True)}


@dataclass(frozen=True)
class Sending:
    """What some nodes send, a second and node."""

    messages: float
    bytes: float
    exchange_bytes: float  # of one full exchange of members, which are left out of the others

    def beside(self, other: Sending) -> dict[str, float]:
        """How far this is from another, as shares of the other."""
        found = {
            "messages": abs(self.messages / other.messages - 1.0),
            "bytes": abs(self.bytes / other.bytes - 1.0),
        }
        if self.exchange_bytes and other.exchange_bytes:  # a short stretch may have none
            found["exchange_bytes"] = abs(self.exchange_bytes / other.exchange_bytes - 1.0)
        return found


def sending_of(before: Sequence[Sent], after: Sequence[Sent], seconds: float) -> Sending:
    """Full exchanges are few, large and drawn by chance: their size is compared, not their number."""
    calls = [
        (call, count.minus(early.calls.get(call, Count())))
        for early, late in zip(before, after, strict=True)
        for call, count in late.calls.items()
    ]
    told = total(count for call, count in calls if call != EXCHANGE)
    exchanges = total(count for call, count in calls if call == EXCHANGE)
    return Sending(
        told.messages / seconds / len(after),
        told.bytes / seconds / len(after),
        exchanges.bytes / max(1, exchanges.messages),
    )


@dataclass(frozen=True)
class Compared:
    """What followers and leaders of the two clusters send."""

    real_followers: Sending
    hollow_followers: Sending
    real_leader: Sending
    hollow_leader: Sending

    @property
    def followers_apart(self) -> float:
        """The largest difference, as a share of what the real ones send."""
        return max(self.hollow_followers.beside(self.real_followers).values())

    @property
    def leaders_apart(self) -> float:
        """The same of the leaders. How many renewals share a round of heartbeats is drawn by chance."""
        return max(self.hollow_leader.beside(self.real_leader).values())


def gossiped(real: RealCluster, hollow: HollowCluster) -> int:
    """Datagrams of news alone that all nodes have sent."""
    sent = [use.sent for use in real.mark().values()]
    sent += [use.sent for use in hollow.mark().nodes().values()]
    return sum(one.calls.get(GOSSIP, Count()).messages for one in sent)


def compare(size: int, seconds: float, seed: int = 1) -> Compared:
    """Run both clusters at once, each on its own network of loopback, and count over the same stretch."""
    with ExitStack() as stack:
        real = stack.enter_context(RealCluster(size))
        hollow = stack.enter_context(HollowCluster(size, seed=seed))
        real_leader = real.until_settled()
        hollow.until_settled()
        for _ in range(MOST_STRETCHES):  # one without news of members: then both are at rest
            told = gossiped(real, hollow)
            real_before, hollow_before = real.mark(), hollow.mark()
            time.sleep(seconds)
            real_after, hollow_after = real.mark(), hollow.mark()
            if gossiped(real, hollow) == told:
                break
        else:
            raise HollowFailed("nodes go on gossiping")
        hollow_uses = hollow_before.nodes(), hollow_after.nodes()
        names = hollow.followers
        return Compared(
            _sending(real_before, real_after, names, seconds),
            _sending(hollow_uses[0], hollow_uses[1], names, seconds),
            _sending(real_before, real_after, [real_leader], seconds),
            _sending(hollow_uses[0], hollow_uses[1], [hollow_after.leader], seconds),
        )


def _sending(before: Any, after: Any, names: Sequence[str], seconds: float) -> Sending:
    return sending_of([before[name].sent for name in names], [after[name].sent for name in names], seconds)


def main() -> int:
    size = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 30.0
    found = compare(size, seconds)
    print(f"{size} nodes, {seconds:g} s: messages and bytes a second, bytes of a full exchange")
    for name in ("real_followers", "hollow_followers", "real_leader", "hollow_leader"):
        row: Sending = getattr(found, name)
        print(f"{name:18} {row.messages:8.2f} {row.bytes:10.1f} {row.exchange_bytes:8.1f}")
    print(f"apart: followers {found.followers_apart:.1%}, leaders {found.leaders_apart:.1%}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
