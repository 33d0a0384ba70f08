"""A toy of all that an edge node talks to, on loopback: two app servers, discovery and the counter.

    python example/toy_server.py

It stands until interrupted. App servers take 50 ms for a submission and count one unit more than was guessed.
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
WORK = 0.05  # seconds


async def read_command(reader: StreamReader) -> list[bytes]:
    """An array of bulk strings; empty at the connection's end."""
    head = await reader.readline()
    words = []
    for _ in range(int(head[1:]) if head.startswith(b"*") else 0):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def app_server(name: str, reader: StreamReader, writer: StreamWriter) -> None:
    while words := await read_command(reader):
        terms = dict(part.split(b"=", 1) for part in words[3].split(b",")) if len(words) > 3 else {}
        if words[0] not in (b"Q.ASK", b"Q.DO"):
            writer.write(b"+OK\r\n" if words[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
            continue
        await asyncio.sleep(WORK)
        value = f"{name} did {terms[b'c'].decode()} {words[2].decode()}".encode()
        use = b"cost=%d" % (int(terms[b"units"]) + 1)
        writer.write(b"*3\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$-1\r\n" % (len(value), value, len(use), use))
    writer.close()


async def discovery(reader: StreamReader, writer: StreamWriter) -> None:
    """The whole list, which never changes: a watch waits for its time and gets no entries."""
    entries = [
        {
            "name": f"s{at}",
            "address": f"{HOST}:{port}",
            "zone": "a",
            "type": "toy",
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for at, port in enumerate(APP_PORTS)
    ]
    while line := await reader.readline():
        while (await reader.readline()).strip():
            pass
        target = line.split(b" ")[1].decode()
        watched = "since=" in target
        if watched:
            await asyncio.sleep(int(target.split("timeout_ms=")[1]) / 1000)
        page = {"index": 1, "snapshot": not watched, "endpoints": [] if watched else entries}
        body = json.dumps(page).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (len(body), body)
        )
    writer.close()


async def counter(totals: dict[str, float], reader: StreamReader, writer: StreamWriter) -> None:
    while line := await reader.readline():
        match line.decode().split():
            case ["tally", name, amount, life]:
                if name not in totals:
                    totals[name] = 0.0
                    asyncio.get_running_loop().call_later(int(life) / 1000, totals.pop, name, None)
                totals[name] += float(amount)
                writer.write(b"ok %.7g\r\n" % totals[name])
            case ["ping"]:
                writer.write(b"pong\r\n")
            case _:
                writer.write(b"error\r\n")
    writer.close()


async def main() -> None:
    servers = [
        await asyncio.start_server(partial(app_server, f"s{at}"), HOST, port)
        for at, port in enumerate(APP_PORTS)
    ]
    servers.append(await asyncio.start_server(discovery, HOST, DISCOVERY_PORT))
    servers.append(await asyncio.start_server(partial(counter, {}), HOST, COUNTER_PORT))
    print("two app servers, discovery and the counter are up; interrupt to end")
    await asyncio.gather(*(server.serve_forever() for server in servers))


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        asyncio.run(main())
