"""Clients with kept connections whose requests are long: is every request answered?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

from stage import TROUBLE, Client, Node, Request, Stage, do_line, lost_among, play  # noqa: E402

BODY = b"b" * ((64 << 10) if TROUBLE else 64)  # 64 KiB is the longest value of a message
LONG_CLIENTS, LONG_EVERY_S = 110, 3.5  # for each edge node; 31 requests a second
SHORT_CLIENTS, SHORT_EVERY_S = 4, 0.6  # for each edge node; some 6 requests a second
BEFORE_S, ALL_S = 2.0, 22.0
SHARES = {"eligibility": 0.55, "draft-save": 0.27, "final-file": 0.18}
HARD_LIMITS_S = {"eligibility": 8.0, "draft-save": 8.0, "final-file": 5.0}
QUOTED_TIMES_S = {"eligibility": 2.0, "draft-save": 2.0, "final-file": 1.5}
CLASSES = [
    {
        "name": name, "aimS": QUOTED_TIMES_S[name], "deadlineS": HARD_LIMITS_S[name], "importance": gain,
        "lateWorth": 0.0, "repeat": "by_key", "keyScope": "cell", "windowS": 10.0, "streaming": False,
    }
    for name, gain in (("eligibility", 1.0), ("draft-save", 2.0), ("final-file", 5.0))
]  # fmt: skip


async def visit(stage: Stage, node: Node, number: int, every_s: float, body: bytes) -> list[Request]:
    """One client: one request after the other on a kept connection, a new one each `every_s`."""
    client, asked, rng = (
        Client(node, stage.record),
        list[Request](),
        random.Random(1000 * node.number + number),
    )
    await asyncio.sleep(rng.uniform(0.0, every_s))
    while stage.record.now() < ALL_S:
        next_at = stage.record.now() + every_s
        lane = rng.choices(list(SHARES), list(SHARES.values()))[0]
        # A try is given up after 50 to 100% of the lane's hard limit.
        wait_s = rng.uniform(0.5, 1.0) * HARD_LIMITS_S[lane]
        id_, customer = f"{node.number:02x}{number:06x}{len(asked):08x}", f"{0x5000 + number:016x}"
        line = do_line(id_, customer, wait_s, 1, len(stage.nodes), lane, body)
        asked.append(Request(id_, line, wait_s))
        await client.ask(asked[-1])
        await asyncio.sleep(max(0.0, next_at - stage.record.now()))
    client.close()
    return asked


async def case() -> int:
    stage = Stage(CASE, nodes=2, servers=8, classes=CLASSES, memory_mb=64, work_s=0.16)
    record = stage.record
    try:
        await stage.open()
        await stage.start()
        short = [
            asyncio.ensure_future(visit(stage, node, 500 + number, SHORT_EVERY_S, b"b" * 64))
            for node in stage.nodes
            for number in range(SHORT_CLIENTS)
        ]
        await asyncio.sleep(BEFORE_S)
        record.say(f"{LONG_CLIENTS} clients for each node begin; their bodies have {len(BODY)} bytes")
        long = [
            asyncio.ensure_future(visit(stage, node, number, LONG_EVERY_S, BODY))
            for node in stage.nodes
            for number in range(LONG_CLIENTS)
        ]
        broken = False
        for name, clients in (("short requests", short), ("long requests", long)):
            asked = [one for requests in await asyncio.gather(*clients) for one in requests]
            lost = lost_among(asked)
            closed = sum(len(one.closed_after) for one in asked)
            record.verdict(
                f"{name}: {len(asked)}, {len(lost)} lost, {closed} times a connection closed on one"
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
