"""Whether a node process is ready: it answers PING."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from merlintally.lab.live.emulator import HOST
from merlintally.net.resp import array

ASK_EVERY_S, ASK_FOR_S = 0.02, 1.0


async def answers_ping(port: int, seconds: float) -> bool:
    """Whether what listens at a port of loopback says that it takes requests, within so many seconds."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), ASK_FOR_S)
            writer.write(array(b"PING"))
            answer = await asyncio.wait_for(reader.readline(), ASK_FOR_S)
            writer.close()
            if answer == b"+PONG\r\n":
                return True
        await asyncio.sleep(ASK_EVERY_S)
    return False
