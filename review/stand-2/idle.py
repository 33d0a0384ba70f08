"""Idle clients: they connect, say nothing, and connect anew when they are closed.

Arguments: port, connections, seconds.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time

PORT, CONNECTIONS, SECONDS = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])


def main() -> None:
    selector, ends = selectors.DefaultSelector(), time.monotonic() + SECONDS

    def connect() -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", PORT))
        selector.register(sock, selectors.EVENT_READ)

    for _ in range(CONNECTIONS):
        connect()
    while time.monotonic() < ends:
        for key, _ in selector.select(0.1):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            try:
                gone = not sock.recv(4096)
            except BlockingIOError:
                continue
            except OSError:
                gone = True
            if gone:
                selector.unregister(sock)
                sock.close()
                connect()


main()
