"""Edge nodes of a cluster are killed one by one and start from nothing: what they agreed on is lost."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-2"))

import stand  # noqa: E402

NAMES = ("n0", "n1", "n2")
QUIET_S = 25.0  # after the last restart, until what is left is looked at
CLASSES = [{"name": "eligibility", "aimS": 2.0, "deadlineS": 4.0, "importance": 1.0, "repeat": "repeatable"}]
PLANS = [{"name": "laaja", "unitsPerS": 15.0, "mostAtOnce": 33.0, "valueFactor": 1.8}]


async def command(record: stand.Record, *args: str) -> tuple[int, str]:
    """Run a command of `merlintally`: its exit code and what it prints."""
    process = await asyncio.create_subprocess_exec(
        str(stand.ROOT / ".venv/bin/python"),
        "-m",
        "merlintally",
        *args,
        cwd=stand.ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output = (await process.communicate())[0].decode()
    record.note("command", args="_".join(args[:2]), code=process.returncode, said=repr(output[:300]))
    return process.returncode or 0, output


def write_operators(folder: Path, name: str, ports: dict[str, int]) -> Path:
    """Write the operators' file of a node."""
    seeds = "\n".join(f'{other} = "{stand.HOST}:{port}"' for other, port in ports.items())
    path = folder / f"{name}.toml"
    path.write_text(f"""[cluster]
name = "review"
folder = "{folder / name}"
listen = "{stand.HOST}:{ports[name]}"
secret = "of the review"
voters = {json.dumps(NAMES)}
[cluster.seeds]
{seeds}
""")
    return path


async def case(record: stand.Record, folder: Path) -> bool:
    counter, server = stand.CountServer(), stand.AppServer(record, "s0")
    await counter.start()
    await server.start()
    ports = {name: stand.free_port() for name in NAMES}
    nodes: dict[str, stand.Node] = {}
    for number, name in enumerate(NAMES):
        agent = stand.Discovery(record, name)
        await agent.start()
        agent.set(server.entry())
        operators = write_operators(folder, name, ports)
        config: dict[str, Any] = stand.configuration(
            number, 3, agent.port, counter.port, classes=CLASSES, plans=PLANS, known=agent.page(None)
        )
        serve = f"serve --config {folder / name}.json --operators {operators}"
        nodes[name] = stand.Node(config, folder, f"exec .venv/bin/python -m merlintally {serve}")
        if (await command(record, "cluster", "init", "--operators", str(operators)))[0]:
            raise RuntimeError("a folder can't be initialised")
    machines = folder / "machines.toml"
    machines.write_text(
        "".join(
            f'[[machine]]\nname = "m{number}"\npool = "edge"\nzone = "a"\nedges = ["{name}"]\n'
            for number, name in enumerate(NAMES)
        )
    )
    told = "--operators", str(folder / "n0.toml")
    try:
        for node in nodes.values():
            node.start()
        for node in nodes.values():
            await node.ready()
        for _ in range(10):  # until there is a leader
            if not (await command(record, "work", "machines", *told, str(machines)))[0]:
                break
            await asyncio.sleep(1)
        else:
            raise RuntimeError("the list of machines wasn't taken")
        asked = ("--machine", "m2", "--reason", "kernel", "--id", "r-1")
        if (await command(record, "work", "request", *told, *asked))[0]:
            raise RuntimeError("the request wasn't taken")
        if (await command(record, "work", "pause", *told, "r-1"))[0]:
            raise RuntimeError("the request wasn't paused")
        await asyncio.sleep(3)  # all have heard of it
        for name, node in nodes.items() if stand.trouble() else ():
            node.signal(signal.SIGKILL)
            node.process.wait()
            shutil.rmtree(folder / name)
            killed = stand.now()
            node.start()
            await node.ready()
            record.note("restarted", node=name, ready_after=f"{stand.now() - killed:.3f}")
        await asyncio.sleep(QUIET_S)
        known, served = [], []
        for name, node in nodes.items():
            where = ("--operators", str(folder / f"{name}.toml"), "--node", name)
            known.append("r-1" in (await command(record, "work", "status", *where))[1])
            client = stand.Client(record, node.port)
            answers = [
                await client.ask("eligibility", "laaja", 2000, f"{1:016x}", spread=3) for _ in range(5)
            ]
            served.append(any(one.answer.startswith(b"$") for one in answers))
        code, _ = await command(record, "work", "request", *told, "--machine", "m1", "--reason", "disk")
        if any(node.process.poll() is not None for node in nodes.values()):
            record.note("node.ended")
    finally:
        for node in nodes.values():
            node.end()
    record.note("result", knows_request=known, serves=served, takes_another=code == 0)
    return all(known) and all(served) and code == 0


stand.run_case(case, HERE)
