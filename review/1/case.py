"""Clients that send many commands at once and stay, nothing else: is every command answered?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

from stage import HOST, TROUBLE, AppServer, Node, Stage, ask_line, do_line, play, read_answer  # noqa: E402

CLIENTS, COMMANDS = 4, 200  # of each edge node; sent at once by each of them
REST_S, ALL_S = 1.0, 70.0  # in the mean between the last answer and the next commands
PATIENCE_S = 15.0  # five times the hard limit: what has no answer by then never gets one
READ_S = 1.0  # commands sent less than this before the connection's end do not count
CUSTOMERS, WORK_S, MOST_WORK_S, HARD_LIMIT_S = 5000, 0.29, 6.0, 3.0
CLASSES = [
    {
        "name": name, "aimS": 1.5, "deadlineS": HARD_LIMIT_S, "importance": gain, "lateWorth": 0.0,
        "repeat": repeat, "keyScope": scope, "windowS": 5.0, "streaming": False,
    }
    for name, gain, repeat, scope in (
        ("eligibility", 1.0, "repeatable", "all"),
        ("draft-save", 2.0, "repeatable", "all"),
        ("final-file", 5.0, "by_key", "cell"),
    )
]  # fmt: skip
SHARES = {"eligibility": 0.57, "draft-save": 0.26, "final-file": 0.17}


class Origin(AppServer):
    """An app server whose work takes as long as the site's: most of it short, some of it long."""

    rng = random.Random(1)

    def terms(self, words: list[bytes]) -> tuple[float, int]:
        return min(self.rng.expovariate(1 / WORK_S), MOST_WORK_S), 0


class Totals:
    """What all clients together have seen."""

    def __init__(self) -> None:
        self.connections = self.commands = self.served = self.answered = self.ends = self.resets = 0
        self.lost = list[str]()


class Sender:
    """A client that sends its commands on one connection, all at once, and reads their answers in order."""

    def __init__(self, stage: Stage, node: Node, number: int, totals: Totals) -> None:
        self.record, self.node, self.number, self.totals = stage.record, node, number, totals
        self.rng, self.sent, self.spread = random.Random(100 * node.number + number), 0, len(stage.nodes)

    def command(self) -> tuple[str, bytes]:
        """A new command, of another customer and of a class by the site's shares, and its id."""
        lane = self.rng.choices(list(SHARES), list(SHARES.values()))[0]
        id_, customer = (
            f"{self.node.number:02x}{self.number:06x}{self.sent:08x}",
            f"{0x5000 + self.rng.randrange(CUSTOMERS):016x}",
        )
        self.sent += 1
        if lane == "final-file":
            return id_, do_line(id_, customer, HARD_LIMIT_S, 1, self.spread, lane, b"b" * 64)
        return id_, ask_line(id_, customer, HARD_LIMIT_S, 1, self.spread, lane)

    async def run(self) -> None:
        while self.record.now() < ALL_S:
            await asyncio.sleep(self.rng.uniform(0, 2 * REST_S))
            reader, writer = await asyncio.open_connection(HOST, self.node.port)
            if TROUBLE:
                await self.send(reader, writer, [self.command() for _ in range(COMMANDS)])
            else:  # the same commands, each behind the answer to the one before
                for _ in range(COMMANDS):
                    if self.record.now() > ALL_S or not await self.send(reader, writer, [self.command()]):
                        break
            writer.close()
            self.totals.connections += 1

    async def send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, commands: list[tuple[str, bytes]]
    ) -> bool:
        """Send commands at once and read their answers. Returns whether all have come."""
        record, totals = self.record, self.totals
        writer.write(b"".join(line for _, line in commands))
        await writer.drain()
        sent_at = record.now()
        record.say(
            f"sent {commands[0][0]} to {commands[-1][0]} to {self.node.name}, each waits {HARD_LIMIT_S} s"
        )
        totals.commands += len(commands)
        answered, was_reset = 0, False
        try:
            for id_, _ in commands:
                async with asyncio.timeout(max(0.1, sent_at + PATIENCE_S - record.now())):
                    answer = await read_answer(reader)
                if not answer:
                    break
                answered += 1
                totals.served += answer.startswith(b"$")
                record.say(f"answered {id_}: {answer[:40].splitlines()[0].decode('ascii', 'replace')}")
        except TimeoutError:
            record.say(f"no further answer within {PATIENCE_S} s")
        except (ConnectionError, asyncio.IncompleteReadError):
            was_reset = True
        totals.answered += answered
        if answered == len(commands):
            return True
        open_s, rest = record.now() - sent_at, commands[answered:]
        if was_reset:  # closed over bytes that the node had not read: the client may send these again
            totals.resets += 1
            record.say(f"{self.node.name} reset the connection {open_s:.3f} s after they were sent")
            return False
        totals.ends += 1
        record.say(
            f"{self.node.name} ended the connection {open_s:.3f} s after they were sent, {len(rest)} open"
        )
        if open_s > READ_S:
            totals.lost += [id_ for id_, _ in rest]
            record.say(f"lost {rest[0][0]} to {rest[-1][0]}")
        return False


async def case() -> int:
    stage = Stage(CASE, nodes=2, servers=14, classes=CLASSES, memory_mb=192)
    stage.servers[:] = [Origin(one.name, stage.record) for one in stage.servers]
    record, totals = stage.record, Totals()
    try:
        await stage.open()
        await stage.start()
        senders = [Sender(stage, node, number, totals) for node in stage.nodes for number in range(CLIENTS)]
        await asyncio.gather(*(sender.run() for sender in senders))
        record.verdict(
            f"{totals.commands} commands on {totals.connections} connections: {totals.answered} answered, "
            f"{totals.served} of them served, {len(totals.lost)} lost"
        )
        record.verdict(f"connections ended by a node: {totals.ends}; reset by it: {totals.resets}")
        record.verdict("the rule was broken" if totals.lost else "the rule held")
        return int(bool(totals.lost))
    finally:
        await stage.close()


play(case)
