"""Writes a second and their latencies, with real processes and their disks:

    python -m merlintally.lab.faults.writes

Nodes with nothing to serve; clients that each ask for one entry after another (a word that is void, and in
the log all the same) over a connection that stays. Every entry is on the disks of a majority before it is
answered.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio

from merlintally.cluster.links import (
    FORMAT_VERSION,
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    Codec,
    read_frame,
    request,
)
from merlintally.lab.live.emulator import HOST
from merlintally.lab.live.play import Live
from merlintally.lab.model.days import read_day
from merlintally.lab.model.settings import settings_of

LENGTH_S, LEADER_S = 5.0, 20.0
CLIENTS = (1, 16, 64)


class Nodes:
    """Some voters as processes, ended with the block."""

    def __init__(self, count: int, folder: Path) -> None:
        day = read_day("calm")
        self.ports = [Live.free_port(None) for _ in range(count)]  # type: ignore[arg-type]
        self.processes: list[subprocess.Popen[bytes]] = []
        names = [f"n{at}" for at in range(count)]
        seeds = "\n".join(f'{name} = "{HOST}:{port}"' for name, port in zip(names, self.ports, strict=True))
        for at, name in enumerate(names):
            place = folder / name
            place.mkdir()
            own = Live.free_port(None)  # type: ignore[arg-type]
            (place / "config.json").write_text(
                json.dumps(
                    {
                        "name": name,
                        "listen": f"{HOST}:{own}",
                        "discovery": f"{HOST}:1",
                        "counter": f"{HOST}:1",
                        "seed": f"{at + 1:x}",
                        "limits": {"sockets": 256},
                        "settings": settings_of(day, at),
                    }
                )
            )
            (place / "operators.toml").write_text(
                f'[cluster]\nname = "w"\nfolder = "{place / "state"}"\nlisten = "{HOST}:{self.ports[at]}"\n'
                f"voters = {json.dumps(names)}\n[cluster.seeds]\n{seeds}\n"
            )

        def run(place: Path, *args: str) -> subprocess.Popen[bytes]:
            code = "import sys; from merlintally.cli import main; sys.exit(main())"
            command = [sys.executable, "-c", code, *args, "--operators", str(place / "operators.toml")]
            return subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=(place / "log").open("ab"))

        for name in names:
            run(folder / name, "cluster", "init").wait(30)
        for name in names:
            self.processes.append(run(folder / name, "serve", "--config", str(folder / name / "config.json")))

    def __enter__(self) -> Nodes:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            try:
                process.wait(8.0)
            except subprocess.TimeoutExpired:
                process.kill()

    def memory_mb(self) -> float:
        """The largest resident size."""
        pages = [int(Path(f"/proc/{one.pid}/statm").read_text().split()[1]) for one in self.processes]
        return max(pages) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


async def leader(nodes: Nodes) -> int:
    """The port of whoever leads, once somebody does."""
    with anyio.fail_after(LEADER_S):
        while True:
            for port in nodes.ports:
                try:
                    _, text = await request((HOST, port), "w", "", "look", "status", [], 1.0)
                except (OSError, TimeoutError, anyio.EndOfStream):
                    continue
                if json.loads(text)["leads"]:
                    return port
            await anyio.sleep(0.05)


async def client(port: int, number: int, ends: float, found: list[float]) -> None:
    codec, held, at = Codec("w", ""), bytearray(), 0
    async with await anyio.connect_tcp(HOST, port) as stream:
        await stream.send(codec.frame((FORMAT_VERSION, "w", "client:", 0, str(number))))
        await read_frame(stream, held, MAX_HELLO_BYTES)
        while time.perf_counter() < ends:
            at += 1
            began = time.perf_counter()
            await stream.send(
                codec.frame(("w.ask", (f"{number}:{at}:{began}", "pause", ["nothing", "bench"])))
            )
            await read_frame(stream, held, MAX_FRAME_BYTES)
            found.append(time.perf_counter() - began)


async def measure(nodes: Nodes, clients: int) -> dict[str, Any]:
    """Entries a second and latencies in milliseconds with so many clients at once."""
    port, found = await leader(nodes), list[float]()
    began = time.perf_counter()
    async with anyio.create_task_group() as group:
        for number in range(clients):
            group.start_soon(client, port, number, began + LENGTH_S, found)
    found.sort()
    return {
        "a_second": len(found) / (time.perf_counter() - began),
        "median_ms": found[len(found) // 2] * 1000,
        "p99_ms": found[int(len(found) * 0.99)] * 1000,
    }


def main() -> int:
    print("| voters | clients | entries a second | median, 99th percentile, ms | memory, MB |")
    print("| --- | --- | --- | --- | --- |")
    for voters in (3, 5):
        with (
            tempfile.TemporaryDirectory(prefix="merlintally-") as folder,
            Nodes(voters, Path(folder)) as nodes,
        ):
            at_rest = 0.0
            for clients in CLIENTS:
                row = anyio.run(measure, nodes, clients)
                at_rest = nodes.memory_mb()
                times = f"{row['median_ms']:.1f}, {row['p99_ms']:.1f}"
                print(
                    f"| {voters} | {clients} | {row['a_second']:.0f} | {times} | {at_rest:.0f} |",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
