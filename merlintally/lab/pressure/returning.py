"""Plays of ids that come again: a client leaves, and its id is sent once more on a new connection."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from merlintally.lab.live.emulator import HOST
from merlintally.lab.live.standins import reset
from merlintally.lab.pressure.commands import ask, order
from merlintally.lab.pressure.site import Site
from merlintally.lab.pressure.staging import PlayOptions, running_node
from merlintally.lab.soak.records import SeenAttempt
from merlintally.lab.soak.settings import WINDOW_S
from merlintally.load.sending import answer_end, outcome_of

IDS = 60
WORK_S = 0.4  # of the app servers for each request
PAUSE_S = 0.02  # between two clients
WAIT_MS = 1600
CLOSES_AFTER_S = (0.02, 0.38)  # a client, drawn evenly
RETURNS_AFTER_S = (0.0, 0.3)  # its id, drawn evenly
GONE_S = 0.1  # from which on nothing begins for a client that has left
UNREAD_COMMANDS = 60  # behind the request, where a client leaves much unread
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class Leaving:
    """How clients leave: the class of their requests, by what, and whether commands are left unread."""

    class_: str
    by: str  # close, reset or half (the sending side only, which ends a client too)
    unread: bool = False
    answered: bool = False  # the id comes again after its answer, and nobody leaves


RETURNING_PLAYS: dict[str, Leaving] = {
    "id-after-close": Leaving("pay", "close"),
    "id-after-reset": Leaving("pay", "reset"),
    "id-after-half-close": Leaving("pay", "half"),
    "id-after-unread": Leaving("pay", "close", unread=True),
    "id-after-answer": Leaving("pay", "close", answered=True),
    "keyed-id-after-close": Leaving("order", "close"),
}


@dataclass(slots=True)
class ReturningResult:
    """What came of the ids of a play."""

    name: str
    memory_mb: float
    ids: int = 0
    sent_once: int = 0  # ids of which one attempt was seen, in either connection
    sent_more: int = 0  # of which app servers ran more than one, a keyed one after its window
    begun_late: int = 0  # attempts that began `GONE_S` after their client had left
    answers: Counter[str] = field(default_factory=Counter)  # to the ids that came again

    @property
    def held(self) -> bool:
        """Whether no id ran twice and nothing began for a client that had left."""
        return not self.sent_more and not self.begun_late

    def line(self) -> str:
        """Return the figures as text."""
        answers = ", ".join(f"{count} {ending}" for ending, count in self.answers.most_common())
        return (
            f"{self.name} at {self.memory_mb:g} MB: {self.sent_more} of {self.ids} ids ran more than once, "
            f"{self.sent_once} once; {self.begun_late} attempts begun late; answers to the second: {answers}"
        )


class ReturningClients:
    """Clients of one kind of leaving."""

    def __init__(self, port: int, leaving: Leaving, chance: Random) -> None:
        self.port, self.leaving, self.chance = port, leaving, chance
        self.left_at: dict[str, float] = {}
        self.returned_at: dict[str, float] = {}
        self.answers = Counter[str]()

    async def visit(self, number: int) -> None:
        """Send a request, leave, and send its id once more."""
        id_ = f"id-{number}"
        command = order(b"%016x" % (number % 7), id_.encode(), self.leaving.class_, b"BODY", WAIT_MS)
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(command)
        if self.leaving.unread:
            rest = (ask(b"%016x" % 3, b"behind-%d-%d" % (number, at)) for at in range(UNREAD_COMMANDS))
            writer.write(b"".join(rest))
        if self.leaving.answered:
            await self._answer(reader)
        else:
            await asyncio.sleep(self.chance.uniform(*CLOSES_AFTER_S))
            self._leave(writer)
        self.left_at[id_] = time.monotonic()
        await asyncio.sleep(self.chance.uniform(*RETURNS_AFTER_S))
        again = await asyncio.open_connection(HOST, self.port)
        self.returned_at[id_] = time.monotonic()
        again[1].write(command)
        self.answers[await self._answer(again[0])] += 1
        for one in (writer, again[1]):
            with suppress(OSError):
                one.close()

    def _leave(self, writer: asyncio.StreamWriter) -> None:
        if self.leaving.by == "reset":
            reset(writer)
        elif self.leaving.by == "half":
            writer.write_eof()
        else:
            writer.transport.abort() if self.leaving.unread else writer.close()

    async def _answer(self, reader: asyncio.StreamReader) -> str:
        received = b""
        try:
            async with asyncio.timeout(WAIT_MS / 1000 + 1.0):
                while answer_end(received) is None:
                    if not (data := await reader.read(1 << 16)):
                        return "closed"
                    received += data
        except TimeoutError:
            return "unanswered"
        except OSError:
            return "closed"
        return outcome_of(received)


async def play_returning(name: str, options: PlayOptions) -> ReturningResult:
    """Run a play by name; raises KeyError for one that is unknown."""
    leaving, site = RETURNING_PLAYS[name], Site(options.servers, WORK_S)
    async with running_node(site, options) as node:
        clients = ReturningClients(node.port, leaving, Random(options.seed))
        async with asyncio.TaskGroup() as group:
            for number in range(IDS):
                group.create_task(clients.visit(number))
                await asyncio.sleep(PAUSE_S)
        result = ReturningResult(name, options.memory_mb, IDS, answers=clients.answers)
        attempts = defaultdict[str, list[SeenAttempt]](list)
        for attempt in site.records.attempts:
            attempts[attempt.id].append(attempt)
        for id_, left_at in clients.left_at.items():
            times = [one.whole_at for one in attempts[id_]]
            result.sent_once += len(times) == 1
            # Within its window, a repeat of a keyed request is discarded by the app servers.
            within_s = WINDOW_S if leaving.class_ == "order" else -1.0
            result.sent_more += len(times) > 1 and max(times) - min(times) > within_s
            gone = (left_at + GONE_S, clients.returned_at[id_])
            result.begun_late += sum(gone[0] < one.first_byte_at < gone[1] for one in attempts[id_])
        late = {f"behind-{id_.removeprefix('id-')}": at + GONE_S for id_, at in clients.left_at.items()}
        for id_, rows in attempts.items():
            ends = late.get(id_.rpartition("-")[0], float("inf"))
            result.begun_late += sum(one.first_byte_at > ends for one in rows)
        return result


def run_returning(name: str, options: PlayOptions) -> ReturningResult:
    """Run a play by name with real processes on loopback; raises KeyError for one that is unknown."""
    return asyncio.run(play_returning(name, options))
