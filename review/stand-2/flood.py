"""Bad clients: each sends hundreds of commands at once, and the same again as soon as they are turned away.

Arguments: port, connections, commands at once, seconds, plan.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from contextlib import suppress

PORT, CONNECTIONS, AT_ONCE, SECONDS = int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
LANE, PLAN = sys.argv[5], sys.argv[6]
SEED = sys.argv[7] if len(sys.argv) > 7 else "0"


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(number: int, at: int) -> bytes:
    customer = f"{0xE0000000 + int(SEED) * 4096 + number % 16:016x}"
    words = [b"Q.ASK", customer.encode(), f"f{SEED}-{number}-{at}".encode()]
    words.append(f"c={LANE},t={PLAN},d=2000,units=1,spread=1,first=0".encode())
    return b"*4\r\n" + b"".join(map(bulk, words))


def main() -> None:
    selector = selectors.DefaultSelector()
    ends = time.monotonic() + SECONDS
    answers = [0] * CONNECTIONS
    unsent: list[bytes] = []
    whole = [b"".join(command(number, at) for at in range(AT_ONCE)) for number in range(CONNECTIONS)]

    def connect(number: int) -> None:
        sock = socket.create_connection(("127.0.0.1", PORT))
        sock.setblocking(False)
        answers[number] = 0
        unsent[number] = whole[number]
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, number)

    unsent.extend([b""] * CONNECTIONS)
    for number in range(CONNECTIONS):
        connect(number)
    total = 0
    while time.monotonic() < ends:
        for key, events in selector.select(0.1):
            number, sock = key.data, key.fileobj
            assert isinstance(sock, socket.socket)
            try:
                if events & selectors.EVENT_READ:
                    got = sock.recv(65536)
                    if not got:
                        raise ConnectionResetError
                    count = got.count(b"\r\n")
                    answers[number] += count
                    total += count
                    if answers[number] >= AT_ONCE:
                        answers[number] -= AT_ONCE
                        unsent[number] += whole[number]
                        selector.modify(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, number)
                if events & selectors.EVENT_WRITE:
                    sent = sock.send(unsent[number])
                    unsent[number] = unsent[number][sent:]
                    if not unsent[number]:
                        selector.modify(sock, selectors.EVENT_READ, number)
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(sock)
                sock.close()
                with suppress(OSError):
                    connect(number)
    print(total)


main()
