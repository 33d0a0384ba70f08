"""Bad clients that stop in the middle of a long request and leave: are other clients still answered?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

from stage import (  # noqa: E402
    HOST,
    TROUBLE,
    Client,
    Node,
    Request,
    Stage,
    ask_line,
    bulk,
    lost_among,
    play,
)

DEADLINE_S = 1.6
BAD_CLIENTS = 200
CLIENTS_PER_NODE = 6
QUIET_S, BAD_S, AFTER_S = 3.0, 1.5, 9.0
VALUE = 64 << 10  # bytes, the longest value of a message
CLASSES = [
    {
        "name": "eligibility", "aimS": 0.8, "deadlineS": DEADLINE_S, "importance": 1.0, "lateWorth": 0.0,
        "repeat": "repeatable", "keyScope": "all", "windowS": 5.0, "streaming": False,
    },
]  # fmt: skip


async def bad_client(node: Node, number: int, stage: Stage) -> bool:
    """Begin a command of two values of the longest size, write it in two pieces, stop short and leave.

    Returns whether the node ended the connection first."""
    reader, writer = await asyncio.open_connection(HOST, node.port)
    head = b"*5\r\n" + bulk(b"Q.DO") + bulk(b"0000000012345678") + bulk(b"%016x" % (0xBAD0000 + number))
    whole = head + bulk(b"c" * VALUE) + bulk(b"b" * VALUE)
    writer.write(whole[: 100 << 10])
    await asyncio.sleep(0.7)
    writer.write(whole[100 << 10 : -16])
    await asyncio.sleep(BAD_S - 0.7)
    ended = reader.at_eof()
    writer.transport.abort() if number % 2 else writer.close()
    return ended


async def good_client(stage: Stage, node: Node, number: int, ends: float, asked: list[Request]) -> None:
    """Send one request after the other on a kept connection."""
    rng, client, at = random.Random(number), Client(node, stage.record), 0
    while stage.record.now() < ends:
        wait_s = rng.uniform(0.5, 1.0) * DEADLINE_S  # a try is given up after 50 to 100% of the hard limit
        id_ = f"{node.number:02x}{number:06x}{at:08x}"
        line = ask_line(
            id_, f"{0x1000 + 4 * number + at % 4:016x}", wait_s, 1, len(stage.nodes), "eligibility"
        )
        asked.append(request := Request(id_, line, wait_s))
        await client.ask(request)
        at += 1
        await asyncio.sleep(rng.uniform(0.2, 0.4))
    client.close()


async def case() -> int:
    stage = Stage(CASE, nodes=2, servers=4, classes=CLASSES, memory_mb=96)
    record, asked = stage.record, list[Request]()
    try:
        await stage.open()
        await stage.start()
        begun = record.now()
        ends = begun + QUIET_S + BAD_S + AFTER_S
        clients = [
            asyncio.ensure_future(good_client(stage, node, number, ends, asked))
            for node in stage.nodes
            for number in range(CLIENTS_PER_NODE)
        ]
        await asyncio.sleep(QUIET_S)
        left_at = record.now()
        if TROUBLE:
            record.say(f"{BAD_CLIENTS} bad clients connect to n0")
            bad = [bad_client(stage.nodes[0], number, stage) for number in range(BAD_CLIENTS)]
            closed = sum(await asyncio.gather(*bad))
            left_at = record.now()
            record.verdict(f"the bad clients have left; {closed} of them had been closed by the node")
        await asyncio.gather(*clients)
        for node in stage.nodes:
            mine = [one for one in asked if one.node == node.name]
            lost = lost_among(mine)
            later = [one for one in lost if one.sent_at > left_at]
            record.verdict(
                f"{node.name}: {len(mine)} requests, {len(lost)} lost, "
                f"{len(later)} of them sent after all bad clients had left"
            )
            for one in lost:
                record.say(f"lost {one.id} at {node.name}, sent at {one.sent_at:.4f}")
            if node.ended is not None:
                record.verdict(f"{node.name} has ended with {node.ended}")
        broken = bool(lost_among(asked)) or any(node.ended is not None for node in stage.nodes)
        record.verdict("the rule was broken" if broken else "the rule held")
        return int(broken)
    finally:
        await stage.close()


play(case)
