"""What the node of a play talks to: app servers that do what they are asked, discovery, the counter."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import Any

from merlintally.lab.live.emulator import HOST
from merlintally.lab.soak.backends import NOTHING, SoakCounter, SoakDiscovery, SoakServer, free_port
from merlintally.lab.soak.records import Records, SeenAttempt
from merlintally.lab.soak.settings import settings_of
from merlintally.net.resp import bulk

NODE = "n0"
NODES = 4  # of the deployment, of which one is played
DEADLINE_S = 8.0


class SteadyServer(SoakServer):
    """An app server that answers each request after the same time."""

    def __init__(self, name: str, records: Records, work_s: float) -> None:
        super().__init__(name, records, Random(0), [NODE])
        self.trouble, self.work_s = 0.0, work_s

    async def _command(
        self,
        node: str,
        words: list[bytes],
        first_byte_at: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        terms = dict(part.split("=", 1) for part in words[3].decode().split(","))
        now, wait_s = time.monotonic(), int(terms["d"]) / 1000
        attempt = SeenAttempt(words[2].decode(), node, self.name, first_byte_at, now, wait_s, True)
        self.records.attempts.append(attempt)
        await asyncio.sleep(self.work_s)
        writer.write(b"*3\r\n" + bulk(words[2]) + NOTHING + NOTHING)
        await writer.drain()
        return True


class Site:
    """App servers, discovery and the counter of one node."""

    def __init__(self, servers: int, work_s: float) -> None:
        self.records = Records()
        self.servers: list[SoakServer] = [
            SteadyServer(f"s{at}", self.records, work_s) for at in range(servers)
        ]
        self.discovery, self.counter = SoakDiscovery(self.servers, self.records), SoakCounter()

    async def open(self) -> None:
        """Listen."""
        for server in self.servers:
            await self.bring_up(server)
        await self.counter.open()
        self.discovery_port = await self.discovery.open(NODE)

    async def bring_up(self, server: SoakServer) -> None:
        """Have an app server listen, at the ports that it has or at new ones."""
        await server.up()
        server.doors = dict(server.ports)

    def configuration(self, memory_mb: float) -> dict[str, Any]:
        """Return the configuration of the node."""
        settings = settings_of(0, NODES)
        for class_ in settings["classes"]:
            class_ |= {"aimS": DEADLINE_S / 4, "deadlineS": DEADLINE_S}
        return {
            "name": NODE,
            "listen": f"{HOST}:{free_port()}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "counter": f"{HOST}:{self.counter.port}",
            "seed": "3e8",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "settings": settings,
        }

    def close(self) -> None:
        """Stop listening."""
        for listeners in (*self.discovery.listeners.values(), *(one.listeners for one in self.servers)):
            for listener in listeners:
                listener.close()
        if self.counter.listener is not None:
            self.counter.listener.close()
