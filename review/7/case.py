"""Bad clients send hundreds of commands at once and the same again: usual clients get no answer in time."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-2"))

import stand  # noqa: E402

CONNECTIONS = 280  # of bad clients: with those of usual ones fewer than a third of the 1,024 descriptors
AT_ONCE = 200  # commands
PROCESSES = 4
QUIET_S, TROUBLE_S, AFTER_S = 2.0, 10.0, 3.0
EVERY_S = 0.04  # between two requests of usual clients
WAITS_MS = (500, 1000, 2000)
LATE_S = 0.55  # after a request's time, from which it is lost: half a second, and 50 ms on sockets
BUSY_S = 0.2  # by which the stand-ins themselves may be late, of a run that counts

CLASSES = [
    {"name": "eligibility", "aimS": 2.0, "deadlineS": 8.0, "importance": 1.0, "repeat": "repeatable"},
    {"name": "draft-save", "aimS": 2.0, "deadlineS": 8.0, "importance": 2.0, "repeat": "repeatable"},
]
PLANS = [
    {"name": "perus", "unitsPerS": 1.7, "mostAtOnce": 12.0, "beyondCosts": 1.0, "valueFactor": 1.2},
    {"name": "laaja", "unitsPerS": 15.0, "mostAtOnce": 33.0, "valueFactor": 1.8},
]


async def measure_lag(lags: list[float]) -> None:
    """How late this process, which holds the stand-ins, runs itself."""
    while True:
        before = stand.now()
        await asyncio.sleep(0.02)
        lags.append(stand.now() - before - 0.02)


async def case(record: stand.Record, folder: Path) -> bool:
    discovery, counter = stand.Discovery(record, "n0"), stand.CountServer()
    servers = [stand.AppServer(record, f"s{number}") for number in range(8)]
    for part in (discovery, counter, *servers):
        await part.start()
    for server in servers:
        discovery.set(server.entry())
    known = discovery.page(None)
    node = stand.Node(
        stand.configuration(0, 2, discovery.port, counter.port, classes=CLASSES, plans=PLANS, known=known),
        folder,
    )
    node.start()
    floods: list[subprocess.Popen[bytes]] = []
    lags: list[float] = []
    lag_task = asyncio.create_task(measure_lag(lags))
    try:
        await node.ready()
        client = stand.Client(record, node.port)
        began, asks = stand.now(), list[asyncio.Task[stand.Sent]]()
        number = 0
        while (passed := stand.now() - began) < QUIET_S + TROUBLE_S + AFTER_S:
            if passed > QUIET_S and not floods and stand.trouble():
                record.note("trouble", connections=CONNECTIONS, at_once=AT_ONCE, seconds=TROUBLE_S)
                for process in range(PROCESSES):
                    args = [str(node.port), str(CONNECTIONS // PROCESSES), str(AT_ONCE), str(TROUBLE_S)]
                    floods.append(
                        subprocess.Popen(
                            [sys.executable, str(HERE.parent / "stand-2/flood.py"), *args]
                            + ["eligibility", "perus", str(process)],
                            stdout=subprocess.PIPE,
                        )
                    )
            customer = f"{number % 20:016x}"
            asks.append(
                asyncio.create_task(
                    client.ask("draft-save", "laaja", random.choice(WAITS_MS), customer, spread=2)
                )
            )
            number += 1
            await asyncio.sleep(EVERY_S)
        results = await asyncio.gather(*asks, return_exceptions=True)
        if node.process.poll() is not None:
            record.note("node.ended", code=node.process.returncode)
            return False
        turned_away = sum(int(one.communicate()[0] or b"0") for one in floods)
    finally:
        lag_task.cancel()
        for one in floods:
            if one.poll() is None:
                one.kill()
            one.wait()
        node.end()
    failed = [one for one in results if isinstance(one, BaseException)]
    late = [
        one
        for one in client.sent
        if not one.answered or one.answered - one.sent > one.wait_s + LATE_S + max(lags)
    ]
    never = [one for one in late if not one.answered]
    record.note(
        "result",
        requests=len(client.sent),
        lost=len(late),
        never_answered=len(never),
        latest=f"{max((one.answered or one.closed) - one.sent - one.wait_s for one in client.sent):.3f}",
        not_reached=len(failed),
        bad_answers=turned_away,
        own_lag=f"{max(lags):.3f}",
    )
    for one in late:
        record.note(
            "lost", id=one.id, wait=one.wait_s, after=f"{(one.answered or one.closed) - one.sent:.3f}"
        )
    if max(lags) > BUSY_S:
        raise RuntimeError(f"the stand-ins ran {max(lags):.3f} s late")
    return not late


stand.run_case(case, HERE)
