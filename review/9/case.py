"""Discovery answers each call some seconds late: edge nodes never hear of a drain."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-2"))

import stand  # noqa: E402

NODES, SERVERS = 3, 10
SLOW_S = (3.2, 3.6)  # for which each answer is held, once discovery is slow
WORK_S = 0.3
EVERY_S = 0.013  # between two requests, over all edge nodes
TOLD_S = 6.0  # after a change
GRACE_S = 0.25 + 0.05  # of drains, and what sockets add
WATCHED_S = 30.0  # after the drain

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


async def case(record: stand.Record, folder: Path) -> bool:
    counter = stand.CountServer()
    servers = [DrainingServer(record, f"s{number}", WORK_S) for number in range(SERVERS)]
    agents = [stand.Discovery(record, f"n{number}") for number in range(NODES)]
    for part in (counter, *servers, *agents):
        await part.start()
    nodes = []
    for number, agent in enumerate(agents):
        for server in servers:
            agent.set(server.entry())
        config = stand.configuration(
            number,
            NODES,
            agent.port,
            counter.port,
            classes=CLASSES,
            plans=PLANS,
            known=agent.page(None),
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

        async def load() -> None:
            number = 0
            while True:
                client, customer = random.choice(clients), f"{number % 24:016x}"
                asks.append(
                    asyncio.create_task(client.ask("draft-save", "laaja", 2000, customer, spread=NODES))
                )
                number += 1
                await asyncio.sleep(EVERY_S)

        loading = asyncio.create_task(load())
        await asyncio.sleep(4)
        for agent in agents:
            if stand.trouble():
                agent.delay = lambda: random.uniform(*SLOW_S)
        record.note("slow", seconds=SLOW_S if stand.trouble() else 0)
        await asyncio.sleep(8)  # the calls of now are slow ones
        changed_at, drained = stand.now(), servers[:2]
        for server in drained:
            server.drains = True
            for agent in agents:
                agent.set(server.entry("DRAINING"))
        record.note("drain", servers=",".join(server.name for server in drained))
        await asyncio.sleep(WATCHED_S)
        loading.cancel()
        await asyncio.gather(*asks, return_exceptions=True)
        if any(node.process.poll() is not None for node in nodes):
            raise RuntimeError("an edge node has ended")
    finally:
        for node in nodes:
            node.end()
    told = [agent.told.get((drained[0].name, "DRAINING")) for agent in agents]
    begun = sorted(first - changed_at for server in drained for first, _, _ in server.attempts)
    late = [at for at in begun if at > TOLD_S + GRACE_S]
    record.note(
        "result",
        told_after_s=",".join("never" if at is None else f"{at - changed_at:.3f}" for at in told),
        sent_while_draining=sum(at > 0 for at in begun),
        too_late=len(late),
        last_s=f"{max(late, default=0):.3f}",
        calls=",".join(str(agent.calls) for agent in agents),
    )
    return not late


stand.run_case(case, HERE)
