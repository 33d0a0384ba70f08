"""Clients with kept connections whose requests are long: is every request answered?"""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

from stage import TROUBLE, Client, Node, Request, Stage, ask_line, do_line, lost_among, play  # noqa: E402

BODY = b"b" * ((64 << 10) if TROUBLE else 64)  # 64 KiB is the longest value of a message
LONG_CLIENTS, LONG_EVERY_S = 110, 3.5  # for each edge node; 31 requests a second
SHORT_CLIENTS = 4  # for each edge node; some 6 requests a second
BEFORE_S, ALL_S = 2.0, 22.0
CLASSES = [
    {
        "name": "eligibility", "aimS": 2.0, "deadlineS": 8.0, "importance": 1.0, "lateWorth": 0.0,
        "repeat": "repeatable", "keyScope": "all", "windowS": 5.0, "streaming": False,
    },
    {
        "name": "final-file", "aimS": 1.5, "deadlineS": 5.0, "importance": 5.0, "lateWorth": 0.0,
        "repeat": "by_key", "keyScope": "cell", "windowS": 10.0, "streaming": False,
    },
]  # fmt: skip
MakeRequest = Callable[[int, float], Request]


async def visit(
    stage: Stage, node: Node, rng: random.Random, every_s: float, make: MakeRequest, deadline_s: float
) -> list[Request]:
    """One client: one request after the other on a kept connection, a new one each `every_s`."""
    client, asked = Client(node, stage.record), list[Request]()
    await asyncio.sleep(rng.uniform(0.0, every_s))
    while stage.record.now() < ALL_S:
        next_at = stage.record.now() + every_s
        # A try is given up after 50 to 100% of the lane's hard limit.
        asked.append(make(len(asked), rng.uniform(0.5, 1.0) * deadline_s))
        await client.ask(asked[-1])
        await asyncio.sleep(max(0.0, next_at - stage.record.now()))
    client.close()
    return asked


def long_client(stage: Stage, node: Node, number: int) -> asyncio.Future[list[Request]]:
    def make(at: int, wait_s: float) -> Request:
        id_ = f"{0xF0 + node.number:02x}{number:06x}{at:08x}"
        line = do_line(id_, f"{0x5000 + number:016x}", wait_s, 1, len(stage.nodes), "final-file", BODY)
        return Request(id_, line, wait_s)

    rng = random.Random(1000 * node.number + number)
    return asyncio.ensure_future(visit(stage, node, rng, LONG_EVERY_S, make, 5.0))


def short_client(stage: Stage, node: Node, number: int) -> asyncio.Future[list[Request]]:
    def make(at: int, wait_s: float) -> Request:
        id_ = f"{node.number:02x}{number:06x}{at:08x}"
        line = ask_line(id_, f"{0x1000 + number:016x}", wait_s, 1, len(stage.nodes), "eligibility")
        return Request(id_, line, wait_s)

    rng = random.Random(9000 + 100 * node.number + number)
    return asyncio.ensure_future(visit(stage, node, rng, 0.6, make, 8.0))


async def case() -> int:
    stage = Stage(CASE, nodes=2, servers=8, classes=CLASSES, memory_mb=64, work_s=0.16)
    record = stage.record
    try:
        await stage.open()
        await stage.start()
        short = [short_client(stage, node, number) for node in stage.nodes for number in range(SHORT_CLIENTS)]
        await asyncio.sleep(BEFORE_S)
        record.say(f"{LONG_CLIENTS} clients for each node begin; their bodies have {len(BODY)} bytes")
        long = [long_client(stage, node, number) for node in stage.nodes for number in range(LONG_CLIENTS)]
        broken = False
        for name, clients in (("eligibility", short), ("final-file", long)):
            asked = [one for requests in await asyncio.gather(*clients) for one in requests]
            lost = lost_among(asked)
            closed = sum(len(one.closed_after) for one in asked)
            record.verdict(
                f"{name}: {len(asked)} requests, {len(lost)} lost, {closed} times a connection closed on one"
            )
            for one in lost:
                record.say(f"lost {one.id} at {one.node}, sent at {one.sent_at:.4f}")
            broken = broken or bool(lost)
        for node in stage.nodes:
            if node.ended is not None:
                record.verdict(f"{node.name} has ended with {node.ended}")
                broken = True
        record.verdict("the rule was broken" if broken else "the rule held")
        return int(broken)
    finally:
        await stage.close()


play(case)
