"""A process that sends the load of a measurement to one target by the load tool (merlintally.load).

A process for each target: so none of them waits for the answers of another. The first line of standard input
is a `Task`; once the target answers, an empty line is said, and another one that is heard begins the load.
At its end the `Sent` requests are written.
"""

from __future__ import annotations

import gc
import sys
from collections import Counter as Tally

import anyio
import msgspec
from msgspec import Struct

from merlintally.forms import InputError
from merlintally.lab.scale.backend import say
from merlintally.lab.scale.workload import REQUEST_CLASS, SMALLEST_QUOTA, plan_name
from merlintally.load.profile import Profile
from merlintally.load.schedule import Planned
from merlintally.load.sending import Sender, outcome_of, read_answer
from merlintally.net.resp import array

READY_S = 15.0  # for a target to answer
PRIMING_CONNECTIONS = 32
FIRST_SELDOM = 1 << 32  # the keys of tenants made known before begin here; those of a profile at 1
LEAST_KNOWN = 0.5  # part of the requests that make tenants known which has to be delivered


class Task(Struct, frozen=True):
    """What to send where."""

    host: str
    port: int
    profile: Profile
    nodes: int  # that share the tenants
    known: int = 0  # tenants to make known before, beside those of the profile


class Sent(Struct, frozen=True):
    """One request as its client saw it."""

    request: str
    due: float  # seconds after the load's begin
    outcome: str
    elapsed_s: float | None  # from sending; None: it never was


def request_id(command: bytes) -> str:
    """
    >>> request_id(array(b"Q.ASK", b"customer", b"0001", b"c=lookup"))
    '0001'
    """
    return command.split(b"\r\n")[6].decode()


async def await_ready(sender: Sender) -> None:
    """Wait until the target answers; InputError if it does not in time."""
    ends = anyio.current_time() + READY_S
    while True:
        try:
            return await sender.ping()
        except InputError:
            if anyio.current_time() > ends:
                raise
            await anyio.sleep(0.05)


async def make_known(task: Task) -> None:
    """Have a node know tenants that are seldom seen: each used a part of its quota, in one request."""
    waiting, outcomes = iter(range(task.known)), Tally[str]()
    terms = f"c={REQUEST_CLASS},t={plan_name(SMALLEST_QUOTA)},d=4000,units=1,spread={task.nodes},first=0"

    async def requests() -> None:
        async with await anyio.connect_tcp(task.host, task.port) as stream:
            for number in waiting:
                key, request = b"%016x" % (FIRST_SELDOM + number), b"%016x" % (number + 1)
                await stream.send(array(b"Q.ASK", key, request, terms.encode()))
                answer, _ = await read_answer(stream, b"")
                outcomes[outcome_of(answer)] += 1

    async with anyio.create_task_group() as group:
        for _ in range(min(task.known, PRIMING_CONNECTIONS)):
            group.start_soon(requests)
    if outcomes["delivered"] < LEAST_KNOWN * task.known:
        raise RuntimeError(f"of {task.known} tenants few were made known: {dict(outcomes)}")


async def send(task: Task) -> list[Sent]:
    """Wait for the target and the word to begin, then send all."""
    sent: list[Sent] = []

    def note(planned: Planned, outcome: str, elapsed_s: float | None) -> None:
        sent.append(Sent(request_id(planned.command), planned.due, outcome, elapsed_s))

    sender = Sender(task.host, task.port, task.profile, on_outcome=note)
    await await_ready(sender)
    await make_known(task)
    gc.freeze()
    gc.disable()  # a run is short, and a collection would count as a node's time
    say(b"")
    if await anyio.to_thread.run_sync(sys.stdin.buffer.readline):
        await sender.run()
    return sent


def main() -> None:
    """Send as the first line of standard input says."""
    task = msgspec.json.decode(sys.stdin.buffer.readline(), type=Task)
    say(msgspec.json.encode(anyio.run(send, task)))


if __name__ == "__main__":
    main()
