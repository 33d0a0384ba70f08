"""The clients of a soak: most are polite, some leave, write slowly, send much at once, or talk nonsense."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from itertools import count
from random import Random

from merlintally.lab.live.emulator import HOST
from merlintally.lab.live.standins import reset
from merlintally.lab.soak.nodes import SoakNode
from merlintally.lab.soak.records import Ending, Records, SentRequest
from merlintally.lab.soak.settings import CLASSES, DEADLINE_S
from merlintally.load.sending import answer_end, outcome_of
from merlintally.net.resp import array

ENDINGS = {"delivered": Ending.SERVED, "bounced": Ending.REFUSED}
CUSTOMERS, SPREAD, CAPPED = 24, 3, 6  # customers, nodes of each, and how many have a ceiling
WAIT_S = 0.9  # past the deadline, for which a client still listens
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


def customer_key(number: int) -> str:
    """The customer as the wire has it."""
    return f"{number:016x}"


class SoakClients:
    """All clients, and the front that deals their requests out."""

    def __init__(self, nodes: list[SoakNode], records: Records, chance: Random) -> None:
        self.nodes, self.records, self.chance = nodes, records, chance
        self.ids = count(1)
        self.idle: dict[str, list[tuple[Reader, Writer]]] = {node.name: [] for node in nodes}

    async def ask(self) -> None:
        """One client's visit, of a kind that chance names."""
        customer = self.chance.randrange(CUSTOMERS)
        spread = min(SPREAD, len(self.nodes))
        first = customer % len(self.nodes)
        able = [node for at in range(spread) if (node := self.nodes[(first + at) % len(self.nodes)]).serving]
        if not able:
            return
        node, draw = self.chance.choice(able), self.chance.random()
        if draw < 0.72:
            await self._visit(node, customer, 1)
        elif draw < 0.82:
            await self._visit(node, customer, self.chance.randint(2, 30))
        elif draw < 0.94:
            await self._visit(node, customer, self.chance.choice((1, 1, 4)), leaves=True)
        elif draw < 0.96:
            await self._visit(node, customer, 12, leaves=True, body=40_000)
        else:
            await self._nonsense(node)

    def _request(self, node: SoakNode, customer: int, body: int) -> tuple[SentRequest, bytes]:
        name = self.chance.choice(list(CLASSES))
        id_, plan = f"{next(self.ids):016x}", "capped" if customer < CAPPED else "open"
        wait_s = self.chance.choice((DEADLINE_S, DEADLINE_S, 0.5, 0.02))
        units = self.chance.choice((1, 1, 2, 5))
        first, spread = customer % len(self.nodes), min(SPREAD, len(self.nodes))
        terms = f"c={name},t={plan},d={wait_s * 1000:.0f}"
        terms += f",k={id_}" if CLASSES[name] == "by_key" else ""
        terms += f",units={units},spread={spread},first={first}"
        words = [b"Q.ASK" if name == "look" else b"Q.DO", customer_key(customer).encode(), id_.encode()]
        words += [terms.encode(), *([] if name == "look" else [b"x" * body])]
        now = time.monotonic()
        sent = SentRequest(id_, CLASSES[name], customer_key(customer), units, node.name, now, now + wait_s)
        self.records.requests[id_] = sent
        return sent, array(*words)

    async def _visit(
        self, node: SoakNode, customer: int, number: int, leaves: bool = False, body: int = 0
    ) -> None:
        body = body or self.chance.choice((4, 4, 4, 2_000, 50_000))
        asked = [self._request(node, customer, body if number < 20 else 4) for _ in range(number)]
        requests = [one for one, _ in asked]
        words = b"".join(command for _, command in asked)
        life, idle = node.lives, self.idle[node.name]
        reused = bool(idle) and self.chance.random() < 0.8
        try:
            reader, writer = idle.pop() if reused else await self._connect(node)
        except OSError:
            return self._end(requests, Ending.EXCUSED, "not accepted")
        try:
            await self._write(writer, words)
            self._sent(requests)
            if leaves:
                return await self._leave(writer, requests)
            if await self._answers(reader, requests):
                idle.append((reader, writer))
                return
        except OSError:
            pass
        writer.close()
        left = [one for one in requests if one.ending is None]
        if reused and left and not self._is_read(left):
            return await self._once_more(node, life, left, asked)
        self._lost(node, life, left, "closed with no answer")

    async def _connect(self, node: SoakNode) -> tuple[Reader, Writer]:
        return await asyncio.open_connection(HOST, node.port)

    async def _write(self, writer: Writer, words: bytes) -> None:
        if self.chance.random() < 0.15:  # slowly, in pieces
            cut = self.chance.randrange(1, min(len(words), 400))
            writer.write(words[:cut])
            await asyncio.sleep(self.chance.uniform(0.0, 0.15))
            words = words[cut:]
        writer.write(words)
        await asyncio.wait_for(writer.drain(), 0.5)

    def _sent(self, requests: list[SentRequest]) -> None:
        """Their time counts from the last byte."""
        now = time.monotonic()
        for one in requests:
            one.deadline += now - one.sent_at
            one.sent_at = now

    async def _leave(self, writer: Writer, requests: list[SentRequest]) -> None:
        await asyncio.sleep(self.chance.choice((0.0, 0.0, 0.01, 0.05, 0.3)))
        if self.chance.random() < 0.5:
            reset(writer)
        else:
            sock = writer.get_extra_info("socket")
            writer.transport.abort() if sock is None else writer.close()
        await asyncio.sleep(0)  # the transport closes in the turn that follows
        self._end(requests, Ending.LEFT)

    async def _answers(self, reader: Reader, requests: list[SentRequest]) -> bool:
        """Hear the answers in their order; False where the connection ended before the last."""
        held = b""
        for one in requests:
            ends = max(each.deadline for each in requests) + WAIT_S
            while (length := answer_end(held)) is None:
                try:
                    got = await asyncio.wait_for(reader.read(1 << 16), max(0.01, ends - time.monotonic()))
                except TimeoutError:
                    one.detail = "no answer in time"
                    return False
                if not got:
                    return False
                held += got
            answer, held = held[:length], held[length:]
            self._answered(one, answer, requests)
        if held:
            self.records.node_faults.append(f"{requests[-1].node}: {held[:60]!r} behind the last answer")
        return not held

    def _answered(self, one: SentRequest, answer: bytes, together: list[SentRequest]) -> None:
        one.ending = ENDINGS.get(outcome_of(answer), Ending.FAILED)
        one.ended_at = time.monotonic()
        if one.ending is Ending.SERVED and one.id.encode() not in answer[:40]:
            one.ending, one.detail = Ending.LOST, f"served with what is another's: {answer[:60]!r}"
        if len(together) > 1:  # what it waited for those before it does not count
            one.deadline = max(one.deadline, one.ended_at)

    def _is_read(self, requests: list[SentRequest]) -> bool:
        """Whether an app server has seen one of them: then the node had read it."""
        ids = {one.id for one in requests}
        return any(attempt.id in ids for attempt in self.records.attempts)

    async def _once_more(
        self, node: SoakNode, life: int, left: list[SentRequest], asked: list[tuple[SentRequest, bytes]]
    ) -> None:
        """The end of a resting connection crossed the requests: they go out on a new one."""
        ids = {one.id for one in left}
        try:
            reader, writer = await self._connect(node)
            writer.write(b"".join(command for one, command in asked if one.id in ids))
            self._sent(left)
            if await self._answers(reader, left):
                writer.close()
                return
            writer.close()
        except OSError as wrong:
            if isinstance(wrong, ConnectionRefusedError):
                return self._end(left, Ending.EXCUSED, "not accepted")
        self._lost(node, life, [one for one in left if one.ending is None], "closed with no answer, twice")

    def _lost(self, node: SoakNode, life: int, left: list[SentRequest], detail: str) -> None:
        now = time.monotonic()
        for one in left:
            killed = node.lives != life or node.killed_at < now
            late = one.sent_at > node.told_to_leave_at + 0.7
            ending = Ending.EXCUSED if killed or late else Ending.LOST
            self._end([one], ending, one.detail or detail)

    def _end(self, requests: list[SentRequest], ending: Ending, detail: str = "") -> None:
        for one in requests:
            one.ending, one.ended_at, one.detail = ending, time.monotonic(), detail

    async def _nonsense(self, node: SoakNode) -> None:
        """Half a command and silence, garbage, or a client that does not read."""
        with suppress(OSError, TimeoutError):
            _, writer = await self._connect(node)
            kind = self.chance.randrange(3)
            if kind == 0:
                writer.write(b"*5\r\n$4\r\nQ.DO\r\n$16\r\n0000")
            elif kind == 1:
                writer.write(b"GET / HTTP/1.1\r\n\r\n" + b"\xff" * 200)
            else:
                writer.write(array(b"PING") * 200)
            await asyncio.sleep(self.chance.uniform(0.0, 2.5))
            writer.close()

    def close(self) -> None:
        """End all resting connections."""
        for rows in self.idle.values():
            for _, writer in rows:
                writer.close()
