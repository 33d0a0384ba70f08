"""A new configuration moves discovery, which refuses the first call: a drain is followed too late."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-2"))

import stand  # noqa: E402

NODES, SERVERS = 4, 12
MOVES = 3
CROWDED_S = 0.5  # for which the new discovery refuses calls, from the move on
TOLD_S = 4.0  # after SIGHUP
GRACE_S = 0.25 + 0.05  # of drains, and what sockets add
WORK_S = 0.3
EVERY_S = 0.01  # between two requests, over all edge nodes
DRAINED = 2  # app servers that begin to drain at each move

CLASSES = [
    {"name": "eligibility", "aimS": 2.0, "deadlineS": 8.0, "importance": 1.0, "repeat": "repeatable"},
    {"name": "draft-save", "aimS": 2.0, "deadlineS": 8.0, "importance": 2.0, "repeat": "repeatable"},
]
PLANS = [{"name": "laaja", "unitsPerS": 15.0, "mostAtOnce": 33.0, "valueFactor": 1.8}]


class DrainingServer(stand.AppServer):
    """Turns new work away once it drains."""

    drains = False

    async def answer(self, words: list[bytes]) -> bytes | None:
        return b"-BUSY\r\n" if self.drains else await super().answer(words)


async def move_discovery(
    record: stand.Record,
    nodes: list[stand.Node],
    agents: list[list[stand.Discovery]],
    move: int,
    servers: list[DrainingServer],
) -> float:
    """Name other addresses in the files and send SIGHUP; two more app servers drain from then on."""
    drained = servers[: DRAINED * move]
    moved_at = stand.now()
    for server in drained:
        server.drains = True
    for agent in (agent for row in agents[move:] for agent in row):
        for server in drained:
            agent.set(server.entry("DRAINING"))
    for node, agent in zip(nodes, agents[move], strict=True):
        if stand.trouble():
            agent.refuse = lambda at: at < moved_at + CROWDED_S
        config = json.loads(node.path.read_text()) | {"discovery": f"{stand.HOST}:{agent.port}"}
        new = node.path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(node.path)
        node.signal(signal.SIGHUP)
    record.note("moved", move=move, crowded_s=CROWDED_S if stand.trouble() else 0)
    for agent in agents[move - 1]:
        agent.server.close()
    await asyncio.sleep(1.5)
    for agent in agents[move - 1]:
        for writer in agent.writers:
            writer.close()
    return moved_at


async def case(record: stand.Record, folder: Path) -> bool:
    counter = stand.CountServer()
    servers = [DrainingServer(record, f"s{number}", WORK_S) for number in range(SERVERS)]
    agents = [[stand.Discovery(record, f"n{number}") for number in range(NODES)] for _ in range(MOVES + 1)]
    for part in (counter, *servers, *(agent for row in agents for agent in row)):
        await part.start()
    for agent in (agent for row in agents for agent in row):
        for server in servers:
            agent.set(server.entry())
    nodes = []
    for number, discovery in enumerate(agents[0]):
        config = stand.configuration(
            number,
            NODES,
            discovery.port,
            counter.port,
            classes=CLASSES,
            plans=PLANS,
            known=discovery.page(None),
            settings={"discovery": "on_request", "rules": {"askEveryS": 10.0}},
        )
        nodes.append(stand.Node(config, folder))
    for node in nodes:
        node.start()
    try:
        for node in nodes:
            await node.ready()
        clients = [stand.Client(record, node.port) for node in nodes]
        asks = list[asyncio.Task[Any]]()

        async def load(until: float) -> None:
            number = 0
            while stand.now() < until:
                client, customer = random.choice(clients), f"{number % 24:016x}"
                asks.append(
                    asyncio.create_task(client.ask("draft-save", "laaja", 2000, customer, spread=NODES))
                )
                number += 1
                await asyncio.sleep(EVERY_S)

        loading = asyncio.create_task(load(stand.now() + 3 + 9 * MOVES))
        await asyncio.sleep(3)
        moves = []
        for move in range(1, MOVES + 1):
            moves.append(await move_discovery(record, nodes, agents, move, servers))
            await asyncio.sleep(9 - (stand.now() - moves[-1]))
        await loading
        await asyncio.gather(*asks, return_exceptions=True)
        if any(node.process.poll() is not None for node in nodes):
            raise RuntimeError("an edge node has ended")
    finally:
        for node in nodes:
            node.end()
    too_late = 0
    for move, moved_at in enumerate(moves, 1):
        drained = servers[DRAINED * (move - 1) : DRAINED * move]
        told = [agent.told.get((drained[0].name, "DRAINING"), float("inf")) for agent in agents[move]]
        begun = sorted(first - moved_at for server in drained for first, _, _ in server.attempts)
        late = [at for at in begun if at > TOLD_S + GRACE_S]
        too_late += len(late)
        record.note(
            "result",
            move=move,
            told_after_s=",".join(f"{at - moved_at:.3f}" for at in told),
            sent_while_draining=sum(at > 0 for at in begun),
            too_late=len(late),
            last_s=f"{max(late, default=0):.3f}",
        )
    return not too_late


stand.run_case(case, HERE)
