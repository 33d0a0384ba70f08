"""Plays of strain on memory and time: straining processes beside usual clients, and what came of both."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass

from merlintally.lab.pressure.node import MIB, PACKAGE_ROOT
from merlintally.lab.pressure.site import Site
from merlintally.lab.pressure.staging import PlayOptions, running_node
from merlintally.lab.pressure.usual import UsualClients, UsualResult

SETTLE_S = 1.0  # before the strain begins, and after it


@dataclass(frozen=True, slots=True)
class Strain:
    """What strains the node: the kind of its commands, connections, and the processes that have them.

    A kind may end with a slash and the most commands that each connection has without an answer.
    """

    kind: str
    connections: int
    processes: int = 1


FLOOD_CONNECTIONS = (40, 120, 280, 600)
FLOOD_WINDOWS = (1, 16, 200)  # commands of a connection without an answer
FLOOD_PROCESSES = 4
FLOODS: dict[str, tuple[Strain, ...]] = {
    "flood-0": (),
    **{
        f"flood-{connections}-{window}": (Strain(f"spent-quota/{window}", connections, FLOOD_PROCESSES),)
        for connections in FLOOD_CONNECTIONS
        for window in FLOOD_WINDOWS
    },
}
PLAYS: dict[str, tuple[Strain, ...]] = {
    **FLOODS,
    "slow": (Strain("slow", 300),),
    "half": (Strain("half", 300),),
    "words": (Strain("words", 300),),
    "fields": (Strain("fields", 300),),
    "mixed": (Strain("slow", 100), Strain("half", 100), Strain("fields", 100)),
    "ping": (Strain("ping", 1),),
    "unknown": (Strain("unknown", 1),),
    "unsound": (Strain("unsound", 1),),
    "new-customers": (Strain("new-customers", 1),),
    "new-customers-patient": (Strain("new-customers-patient", 1),),
    "new-customers-alone": (Strain("new-customers-alone", 1),),
    "new-customers-capped": (Strain("new-customers-capped", 1),),
    "served-customers": (Strain("new-customers/16", 1),),
    "served-customers-patient": (Strain("new-customers-patient/16", 4),),
    "served-customers-capped": (Strain("new-customers-capped/16", 4),),
    "served-orders": (Strain("new-orders/16", 4),),
    "everything": (
        Strain("words", 150),
        Strain("half", 150),
        Strain("slow", 150),
        Strain("new-customers-patient/16", 8),
        Strain("new-orders/16", 8),
    ),
    "new-customers-many": (Strain("new-customers-patient", 8, 2), Strain("new-customers-capped", 4)),
    "new-orders": (Strain("new-orders", 1),),
}


@dataclass(slots=True)
class PlayResult:
    """The figures of a play; memory in bytes of the resident set."""

    name: str
    options: PlayOptions
    idle_bytes: int
    peak_bytes: int
    over_limit_after_s: float | None
    node_ended: bool
    strain: Counter[str]  # commands of the straining processes, and their answers by kind
    attempts: int  # seen by the app servers
    usual: UsualResult
    invariants_broken: int

    @property
    def held(self) -> bool:
        """Whether the node stayed within its limit and no usual request was late."""
        return self.over_limit_after_s is None and not self.node_ended and not self.usual.late

    def line(self) -> str:
        """Return the figures as text."""
        over = "" if self.over_limit_after_s is None else f", OVER after {self.over_limit_after_s:.1f} s"
        endings = ", ".join(f"{count} {ending}" for ending, count in self.usual.endings.most_common())
        strain = ", ".join(f"{count} {kind}" for kind, count in self.strain.items())
        return (
            f"{self.name} at {self.options.memory_mb:g} MB: {self.idle_bytes / MIB:.1f} MB idle, "
            f"{self.peak_bytes / MIB:.1f} MB peak{over}{', NODE ENDED' if self.node_ended else ''}; "
            f"usual: {endings}, {self.usual.late} late, median {self.usual.quantile(0.5) * 1000:.0f} ms, "
            f"99 in 100 {self.usual.quantile(0.99) * 1000:.0f} ms, "
            f"999 in 1000 {self.usual.quantile(0.999) * 1000:.0f} ms; strain: {strain}; "
            f"{self.attempts} attempts, {self.invariants_broken} invariants broken"
        )


async def start_strain(strain: Strain, port: int, options: PlayOptions) -> list[asyncio.subprocess.Process]:
    """Start the processes of one strain."""
    words = ["-m", "merlintally.lab.pressure.strain", str(port), strain.kind]
    words += [str(strain.connections // strain.processes), str(options.seconds)]
    return [
        await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            str(options.seed * 100 + number),
            stdout=asyncio.subprocess.PIPE,
            cwd=PACKAGE_ROOT,
        )
        for number in range(strain.processes)
    ]


async def strain_node(strains: tuple[Strain, ...], port: int, options: PlayOptions) -> Counter[str]:
    """Run all strains to their end; returns the numbers of their commands, and of answers by kind."""
    processes = [process for strain in strains for process in await start_strain(strain, port, options)]
    if not processes:
        await asyncio.sleep(options.seconds)
    try:
        outputs = await asyncio.gather(*(process.communicate() for process in processes))
    finally:
        for process in processes:
            with suppress(ProcessLookupError):
                process.kill()
    return sum((Counter(json.loads(output or b"{}")) for output, _ in outputs), Counter[str]())


async def play(name: str, options: PlayOptions) -> PlayResult:
    """Run a play by name; raises KeyError for one that is unknown."""
    strains, site = PLAYS[name], Site(options.servers, options.work_s)
    async with running_node(site, options) as node:
        clients = UsualClients(node.port)
        tasks = [asyncio.create_task(clients.run()), asyncio.create_task(node.watch_memory())]
        try:
            await asyncio.sleep(SETTLE_S)
            began = time.monotonic()
            counts = await strain_node(strains, node.port, options)
            await asyncio.sleep(SETTLE_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        over = None if node.over_limit_at is None else node.over_limit_at - began
        return PlayResult(
            name,
            options,
            node.idle_bytes,
            node.peak_bytes,
            over,
            node.ended,
            counts,
            len(site.records.attempts),
            clients.result,
            node.log_text().count("invariant broken"),
        )


def run_play(name: str, options: PlayOptions) -> PlayResult:
    """Run a play by name with real processes on loopback; raises KeyError for one that is unknown."""
    return asyncio.run(play(name, options))
