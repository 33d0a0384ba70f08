"""A process of hollow nodes: one JSON command a line on standard input, one JSON answer a line on standard
output. It ends when its standard input does, so also when whoever started it is killed.

`python -m merlintally.lab.scale.hollow_process` reads the `Begin` first.
"""

from __future__ import annotations

import gc
import sys
import time
from typing import TextIO

import anyio
import msgspec
from msgspec import Struct

from merlintally.lab.scale.hollow import HollowCrowd, HollowSpec, HollowUse
from merlintally.lab.scale.meter import ProcessUse, process_use


class Begin(Struct, frozen=True, tag=True):
    """Start these nodes."""

    spec: HollowSpec
    names: tuple[str, ...]
    seed: int


class Mark(Struct, frozen=True, tag=True):
    """Tell what has been sent and used by now."""


class Change(Struct, frozen=True, tag=True):
    """Have entries agreed on; the leader has to be in this process."""

    count: int
    payload: str
    id: str


class Await(Struct, frozen=True, tag=True):
    """Wait until all nodes of this process have applied an entry."""

    index: int


class Steady(Struct, frozen=True, tag=True):
    """Full exchanges of members are as in a real node from now on."""


class Restart(Struct, frozen=True, tag=True):
    """Restart nodes of this process, all at once."""

    names: tuple[str, ...]


class Kill(Struct, frozen=True, tag=True):
    """End nodes of this process, with no word to the others."""

    names: tuple[str, ...]


class Done(Struct, frozen=True, tag=True):
    at: float


class Marked(Struct, frozen=True, tag=True):
    at: float  # CLOCK_MONOTONIC seconds
    base: ProcessUse  # before the first node was made
    process: ProcessUse
    nodes: dict[str, HollowUse]


class Changed(Struct, frozen=True, tag=True):
    began: float
    last: int  # index of the last entry


class Applied(Struct, frozen=True, tag=True):
    at: float  # when the last node had


Command = Begin | Mark | Change | Await | Restart | Kill | Steady
Answer = Marked | Changed | Applied | Done
COMMANDS = msgspec.json.Decoder(Command)
ANSWERS = msgspec.json.Decoder(Answer)


async def answer_of(crowd: HollowCrowd, base: ProcessUse, command: Command) -> Answer:
    match command:
        case Change(count, payload, id_):
            began = time.monotonic()
            indices = await crowd.changes(count, payload, id_)
            return Changed(began, indices[-1])
        case Await(index):
            return Applied(await crowd.until_applied(index))
        case Steady():
            crowd.steady()
            return Done(time.monotonic())
        case Restart(names) | Kill(names):
            act = crowd.restart if isinstance(command, Restart) else crowd.kill
            async with anyio.create_task_group() as group:
                for name in names:
                    group.start_soon(act, name)
            return Done(time.monotonic())
        case _:
            gc.collect()
            return Marked(time.monotonic(), base, process_use(), crowd.uses())


async def serve(inward: TextIO, outward: TextIO) -> None:
    first = COMMANDS.decode(inward.readline())
    assert isinstance(first, Begin), "the first command begins"
    base = process_use()
    crowd = HollowCrowd(first.spec, first.names, first.seed)
    async with anyio.create_task_group() as group:
        group.start_soon(crowd.run)
        while line := await anyio.to_thread.run_sync(inward.readline, abandon_on_cancel=True):
            answer = await answer_of(crowd, base, COMMANDS.decode(line))
            outward.write(msgspec.json.encode(answer).decode() + "\n")
            outward.flush()
        group.cancel_scope.cancel()


def main() -> int:
    anyio.run(serve, sys.stdin, sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
