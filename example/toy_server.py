"""Toy servers that an edge node depends on, on loopback: two app servers, discovery and the counter.

    python example/toy_server.py

Runs until interrupted. App servers take 50 ms per submission and report one unit more than was estimated.
"""

from __future__ import annotations

import asyncio
import json
from asyncio import StreamReader, StreamWriter
from contextlib import suppress
from functools import partial

HOST = "127.0.0.1"
APP_PORTS = (7001, 7002)
DISCOVERY_PORT = 7500
COUNTER_PORT = 7400
WORK_S = 0.05


async def read_command(reader: StreamReader) -> list[bytes]:
    """Read a command, an array of bulk strings; empty if the connection is closed."""
    first_line = await reader.readline()
    words = []
    for _ in range(int(first_line[1:]) if first_line.startswith(b"*") else 0):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def app_server(name: str, reader: StreamReader, writer: StreamWriter) -> None:
    """Answer submissions with a value and their cost in units."""
    while words := await read_command(reader):
        fields = dict(field.split(b"=", 1) for field in words[3].split(b",")) if len(words) > 3 else {}
        if words[0] not in (b"Q.ASK", b"Q.DO"):
            writer.write(b"+OK\r\n" if words[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
            continue
        await asyncio.sleep(WORK_S)
        value = f"{name} did {fields[b'c'].decode()} {words[2].decode()}".encode()
        cost = b"cost=%d" % (int(fields[b"units"]) + 1)
        writer.write(b"*3\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$-1\r\n" % (len(value), value, len(cost), cost))
    writer.close()


async def discovery(reader: StreamReader, writer: StreamWriter) -> None:
    """Serve the list of app servers. It never changes: a watch gets an empty answer after its timeout."""
    entries = [
        {
            "name": f"s{index}",
            "address": f"{HOST}:{port}",
            "zone": "a",
            "type": "toy",
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for index, port in enumerate(APP_PORTS)
    ]
    while line := await reader.readline():
        while (await reader.readline()).strip():
            pass
        path = line.split(b" ")[1].decode()
        is_watch = "since=" in path
        if is_watch:
            await asyncio.sleep(int(path.split("timeout_ms=")[1]) / 1000)
        answer = {"index": 1, "snapshot": not is_watch, "endpoints": [] if is_watch else entries}
        body = json.dumps(answer).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (len(body), body)
        )
    writer.close()


async def counter(totals: dict[str, float], reader: StreamReader, writer: StreamWriter) -> None:
    """Keep totals by name; a total is deleted when its lifetime, in milliseconds, has passed."""
    while line := await reader.readline():
        match line.decode().split():
            case ["tally", name, amount, lifetime_ms]:
                if name not in totals:
                    totals[name] = 0.0
                    asyncio.get_running_loop().call_later(int(lifetime_ms) / 1000, totals.pop, name, None)
                totals[name] += float(amount)
                writer.write(b"ok %.7g\r\n" % totals[name])
            case ["ping"]:
                writer.write(b"pong\r\n")
            case _:
                writer.write(b"error\r\n")
    writer.close()


async def main() -> None:
    servers = [
        await asyncio.start_server(partial(app_server, f"s{index}"), HOST, port)
        for index, port in enumerate(APP_PORTS)
    ]
    servers.append(await asyncio.start_server(discovery, HOST, DISCOVERY_PORT))
    servers.append(await asyncio.start_server(partial(counter, {}), HOST, COUNTER_PORT))
    print("two app servers, discovery and the counter are up; interrupt to stop")
    await asyncio.gather(*(server.serve_forever() for server in servers))


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        asyncio.run(main())
