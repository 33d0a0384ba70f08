"""Sends a customer's submissions to the node of example/config.json one by one, and prints the answers.

python example/client.py [HOW_MANY]
"""

from __future__ import annotations

import secrets
import socket
import sys

CUSTOMER = b"00000000b4d65521"


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def main() -> None:
    with socket.create_connection(("127.0.0.1", 7379)) as sock:
        answers = sock.makefile("rb")
        for number in range(int(sys.argv[1]) if len(sys.argv) > 1 else 5):
            name, terms = b"Q.ASK", b"c=lookup"
            if number % 2:
                name, terms = b"Q.DO", b"c=order,k=" + secrets.token_hex(8).encode()
            terms += b",t=team,d=2000,units=1,spread=2,first=0"
            words = [name, CUSTOMER, secrets.token_hex(8).encode(), terms]
            sock.sendall(command(*words, *([b"some work"] if name == b"Q.DO" else [])))
            head = answers.readline()
            answer = answers.read(int(head[1:]) + 2) if head.startswith(b"$") else head
            meaning = {36: "delivered", 45: "given up"}.get(head[0], "?")
            meaning = "bounced" if head.startswith(b"-BUSY") else meaning
            print(f"{name.decode():6} {meaning}: {answer.decode().strip()}")


if __name__ == "__main__":
    main()
