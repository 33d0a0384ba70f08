"""Sends submissions of one customer to the node of example/config.json, one by one, and prints the answers.

python example/client.py [COUNT]
"""

from __future__ import annotations

import secrets
import socket
import sys

CUSTOMER = b"00000000b4d65521"


def command(*words: bytes) -> bytes:
    """Encode a command as a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def main() -> None:
    with socket.create_connection(("127.0.0.1", 7379)) as sock:
        answers = sock.makefile("rb")
        for number in range(int(sys.argv[1]) if len(sys.argv) > 1 else 5):
            verb, fields = b"Q.ASK", b"c=lookup"
            if number % 2:
                verb, fields = b"Q.DO", b"c=order,k=" + secrets.token_hex(8).encode()
            fields += b",t=team,d=2000,units=1,spread=2,first=0"
            words = [verb, CUSTOMER, secrets.token_hex(8).encode(), fields]
            sock.sendall(command(*words, *([b"some work"] if verb == b"Q.DO" else [])))
            first_line = answers.readline()
            answer = answers.read(int(first_line[1:]) + 2) if first_line.startswith(b"$") else first_line
            outcome = {36: "delivered", 45: "given up"}.get(first_line[0], "?")
            outcome = "bounced" if first_line.startswith(b"-BUSY") else outcome
            print(f"{verb.decode():6} {outcome}: {answer.decode().strip()}")


if __name__ == "__main__":
    main()
