"""Customers that come only once are never forgotten: the edge node goes over its memory and is killed."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from contextlib import suppress
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-2"))

import stand  # noqa: E402

MEMORY_MB = 64
REQUESTS_PER_S = 560  # four times 140, at one edge node
ONCE = 0.45  # share of requests of customers that come only once
SECONDS = 100.0
LOOK_S = 0.25  # between two looks of the platform at the memory
USUAL = 200  # customers

CLASSES = [
    {"name": "eligibility", "aimS": 2.0, "deadlineS": 8.0, "importance": 1.0, "repeat": "repeatable"},
    {"name": "draft-save", "aimS": 2.0, "deadlineS": 8.0, "importance": 2.0, "repeat": "repeatable"},
]
PLANS = [
    {"name": "perus", "unitsPerS": 6.8, "mostAtOnce": 48.0, "beyondCosts": 1.0, "valueFactor": 1.2},
    {
        "name": "laaja",
        "unitsPerS": 60.0,
        "mostAtOnce": 132.0,
        "overWorth": 0.1,
        "valueFactor": 1.8,
        "capRate": 120.0,
        "neverOverDepth": 268.0,
        "tolerance": 28.0,
    },
]


def memory_mb(pid: int) -> float:
    """What a process holds, its files too."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def case(record: stand.Record, folder: Path) -> bool:
    record.quiet = ("server.got", "client.sent", "client.answered")
    discovery, counter = stand.Discovery(record, "n0"), stand.CountServer()
    servers = [stand.AppServer(record, f"s{number}", 0.02) for number in range(10)]
    for part in (discovery, counter, *servers):
        await part.start()
    for server in servers:
        discovery.set(server.entry())
    config = stand.configuration(
        0, 4, discovery.port, counter.port, classes=CLASSES, plans=PLANS, known=discovery.page(None)
    )
    config["limits"]["memory_mb"] = MEMORY_MB
    node = stand.Node(config, folder)
    node.start()
    asks = set[asyncio.Task[stand.Sent]]()
    killed = False
    try:
        await node.ready()
        client = stand.Client(record, node.port)
        began, sent, once = stand.now(), 0, 0
        looked = 0.0
        while (passed := stand.now() - began) < SECONDS:
            while sent < passed * REQUESTS_PER_S:
                sent += 1
                customer = random.randrange(USUAL)
                if random.random() < ONCE and stand.trouble():
                    once += 1
                    customer = 100_000 + once
                ask = asyncio.create_task(
                    client.ask("draft-save", "perus", 8000, f"{customer:016x}", spread=4)
                )
                asks.add(ask)
                ask.add_done_callback(asks.discard)
            if passed - looked >= LOOK_S:
                looked = passed
                held = memory_mb(node.process.pid)
                if int(passed) % 5 == 0:
                    record.note("memory", mb=f"{held:.1f}", customers_once=once, requests=sent)
                if held > MEMORY_MB:
                    record.note("killed", mb=f"{held:.1f}", after=f"{passed:.1f}", customers_once=once)
                    node.signal(signal.SIGKILL)
                    killed = True
                    break
            await asyncio.sleep(0.005)
        ended = node.process.poll() is not None
        if not killed:
            await asyncio.wait(asks, timeout=10)
        served = sum(one.answer.startswith(b"$") for one in client.sent)
    finally:
        for ask in asks:
            ask.cancel()
        node.end()
    record.note("result", requests=sent, customers_once=once, served=served, killed=killed, ended=ended)
    return not killed and not ended


stand.run_case(case, HERE)
