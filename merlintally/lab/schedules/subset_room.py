"""Many whole decision modules before one fleet in simulated time: what nodes refuse while the fleet has room,
with subsets and without. `python -m merlintally.lab.schedules.subset_room [WORDS...]` prints a line for each
case, or for those whose names have one of the words: the largest take minutes."""

from __future__ import annotations

import heapq
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Any

from merlintally.choice import Gateway, Submission
from merlintally.interface import LaneFacts, PlanFacts, ServerFacts, StartFacts
from merlintally.subsets import DEFAULT_SETTINGS, Entry, Subset, SubsetSettings
from merlintally.subsets.pressure import waits_for_capacity
from merlintally.subsets.records import Listing

LANE = LaneFacts("lane", 2.0, 4.0, 1.0, 0.0, "harmless", "all", 3.0)
PLENTY = PlanFacts("plan", 1e7, 1e7, 0, 0.0, 0.0, 1.0, 1.0, 0.0, 1.0)  # no quota stands in the way
FACTS = StartFacts(
    number=0,
    gateways=1,
    zone="z0",
    lanes=(LANE,),
    plans=(PLENTY,),
    largest_units=6.0,
    settles=False,
    may_count=False,
    count_time_out=0.05,
    count_price=0.01,
    may_note=False,
    note_price=0.0,
    may_withdraw=False,
    parallel=False,
    most_executions=3,
    retry_after_limit=2.0,
    cross_zone_price=0.0,
    handshake_price=0.0,
    waste_price=0.1,
    drain_grace=0.25,
    cold_share=0.25,
    warm_within=15.0,
    tip_multiple=2.5,
    tip_window=1.5,
)
WORK_S = (0.1, 0.5)  # of a request
WORKERS, LINE = 2, 8  # of a server
IDLE_S = 6.0  # after which a node retires a connection: 0.4 of the 15 s that servers state
WAY_S = 0.001  # there and back


@dataclass(frozen=True, slots=True)
class Case:
    """What is simulated. Without `terms` every node works with the whole list."""

    nodes: int
    servers: int
    terms: SubsetSettings | None = None
    load: float = 0.7  # of what all servers can do
    hot_share: float = 0.0  # nodes that get more than the others
    hot: float = 1.0  # how much more
    zones: int = 7
    lost: bool = False  # a zone falls silent halfway through the warm-up
    grows: bool = True  # whether work that waits grows a subset
    played: int = 0  # nodes that are there; 0: all. Others send nothing
    warm_s: float = 4.0
    length_s: float = 4.0
    seed: int = 1


@dataclass(slots=True)
class Found:
    """What came of it, counted once it is warm."""

    taken: int = 0
    refused: int = 0
    hot_taken: int = 0
    hot_refused: int = 0
    attempts: int = 0
    handshakes: int = 0
    times: list[float] = field(default_factory=list)
    busy_s: float = 0.0  # processor time in decisions
    connections: int = 0
    largest: int = 0  # subset
    held: float = 0.0  # share of servers' time in work

    def row(self) -> dict[str, float]:
        times = sorted(self.times) or [0.0]
        return {
            "requests": self.taken,
            "refused": round(self.refused / max(1, self.taken), 4),
            "refused by hot": round(self.hot_refused / max(1, self.hot_taken), 4),
            "attempts a request": round(self.attempts / max(1, self.taken), 3),
            "handshakes a request": round(self.handshakes / max(1, self.taken), 3),
            "p50 s": round(times[len(times) // 2], 3),
            "p99 s": round(times[int(len(times) * 0.99)], 3),
            "decisions ms": round(1000 * self.busy_s / max(1, self.taken), 3),
            "connections a node": self.connections,
            "largest subset": self.largest,
            "work": round(self.held, 3),
        }


class Server:
    """One app server: some workers and a line."""

    __slots__ = ("name", "working", "line", "dead", "speed")

    def __init__(self, name: str, speed: float) -> None:
        self.name, self.working, self.dead, self.speed = name, 0, False, speed
        self.line = deque["Attempt"]()


class Attempt:
    __slots__ = ("node", "handle", "number", "server", "sent", "over", "work")

    def __init__(
        self, node: Node, handle: Submission, number: int, server: Server, sent: float, work: float
    ) -> None:
        self.node, self.handle, self.number, self.server = node, handle, number, server
        self.sent, self.work, self.over = sent, work, False


class Node:
    """One decision module, with its subset."""

    def __init__(self, play: Play, number: int) -> None:
        case, self.play, self.number = play.case, play, number
        facts = replace(FACTS, number=number, gateways=case.nodes, zone=f"z{number % case.zones}")
        self.gateway = Gateway(facts, number + case.seed * 1000, 0.0)
        self.subset = Subset(number, case.nodes, case.terms) if case.terms is not None else None
        self.hot = number < case.hot_share * case.nodes
        self.handles = dict[int, tuple[Submission, float]]()
        self.idle = dict[str, list[float]]()  # when each connection last came free, by server
        entries: list[Listing] = list(play.entries)
        if self.subset is not None:
            entries = list(self.subset.apply_list(0.0, entries, True)[0])
        self.tell(entries, True)

    def tell(self, entries: list[Listing], complete: bool) -> None:
        if self.subset is not None and self.subset.nodes_per_server != self.gateway.gateways_per_server:
            self.gateway.share(self.subset.nodes_per_server)
        self.gateway.roster(self.play.now, [entry.facts for entry in entries], complete)

    def take(self, number: int) -> None:
        now, play = self.play.now, self.play
        began = time.perf_counter()
        handle = self.gateway.take(
            now,
            number,
            "lane",
            f"c{play.chance.randrange(20)}",
            "plan",
            LANE.hard_limit,
            1.0,
            play.case.nodes,
        )
        play.spent(began)
        self.handles[number] = handle, now
        if play.counts:
            play.found.taken += 1
            play.found.hot_taken += self.hot
        self.carry_out()

    def woken(self) -> None:
        began = time.perf_counter()
        self.gateway.wake(self.play.now)
        self.play.spent(began)
        if self.subset is not None:
            now = self.play.now
            press = self.play.case.grows and waits_for_capacity(self.gateway, now)
            if self.subset.record_waiting(now, press) or self.subset.shrink_if_due(now):
                self.tell(self.subset.members(), True)
        self.carry_out()

    def ended(self, attempt: Attempt, outcome: Any) -> None:
        if attempt.over:
            return
        attempt.over = True
        now = self.play.now
        began = time.perf_counter()
        attempt.handle.ended(now, attempt.number, outcome, now - attempt.sent, outcome == "ok")
        self.play.spent(began)
        if outcome == "ok":
            self.idle.setdefault(attempt.server.name, []).append(now)
            _, taken = self.handles.pop(attempt.handle.id, (None, now))
            if self.play.counts:
                self.play.found.times.append(now - taken)
        if self.subset is not None and self.subset.record_attempt(
            now, attempt.server.name, outcome != "timed_out"
        ):
            self.tell(self.subset.members(), True)
        self.carry_out()

    def carry_out(self) -> None:
        play = self.play
        began = time.perf_counter()
        results = self.gateway.take_results(play.now)
        play.spent(began)
        if results.wake_after is not None:
            play.after(results.wake_after, self.woken)
        for number, name, time_out in results.sends:
            self.send(number, play.servers[name], time_out)
        for number in [*(row[0] for row in results.bounced), *results.given_up]:
            if self.handles.pop(number, None) is not None and play.counts:
                play.found.refused += 1
                play.found.hot_refused += self.hot

    def send(self, number: int, server: Server, time_out: float) -> None:
        play = self.play
        handle, _ = self.handles[number]
        attempt = Attempt(
            self, handle, handle.execution_count - 1, server, play.now, play.chance.uniform(*WORK_S)
        )
        rested = self.idle.get(server.name)
        fresh = not rested or play.now - rested.pop() > IDLE_S
        if play.counts:
            play.found.attempts += 1
            play.found.handshakes += fresh
        play.after(time_out or max(0.0, handle.ends_at - play.now), self.ended, attempt, "timed_out")
        play.arrive(server, attempt)


class Play:
    """One case."""

    def __init__(self, case: Case) -> None:
        self.case, self.now, self.chance = case, 0.0, Random(case.seed)
        self.due, self.turns = list[tuple[float, int, Callable[..., None], tuple[Any, ...]]](), count()
        self.found, self.counts, self.worked = Found(), False, 0.0
        names = [f"app-{at:05d}" for at in range(case.servers)]
        self.servers = {name: Server(name, self.chance.uniform(0.8, 1.2)) for name in names}
        self.entries = [
            Entry(
                ServerFacts(name, "on", f"z{at % case.zones}", 0, 0.0, 1.0, "m"), ("10.0.0.1", 1 + at % 60000)
            )
            for at, name in enumerate(names)
        ]
        self.nodes = [Node(self, number) for number in range(case.played or case.nodes)]
        self.numbers = count(1)

    def after(self, wait: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.due, (self.now + wait, next(self.turns), call, args))

    def spent(self, began: float) -> None:
        if self.counts:
            self.found.busy_s += time.perf_counter() - began

    def arrive(self, server: Server, attempt: Attempt) -> None:
        if server.dead:
            return
        if server.working >= WORKERS and len(server.line) >= LINE:
            self.after(WAY_S, attempt.node.ended, attempt, "full")
            return
        server.line.append(attempt)
        self.begin(server)

    def begin(self, server: Server) -> None:
        while server.line and server.working < WORKERS:
            attempt = server.line.popleft()
            if not attempt.over:
                server.working += 1
                takes = attempt.work / server.speed
                self.worked += takes if self.counts else 0.0
                self.after(takes + WAY_S, self.finish, server, attempt)

    def finish(self, server: Server, attempt: Attempt) -> None:
        server.working -= 1
        if not server.dead:
            attempt.node.ended(attempt, "ok")
            self.begin(server)

    def come(self, node: Node, rate: float) -> None:
        self.after(self.chance.expovariate(rate), self.come, node, rate)
        node.take(next(self.numbers))

    def lose(self) -> None:
        for entry in self.entries:
            if entry.facts.zone == "z0":
                self.servers[entry.facts.server].dead = True

    def run(self) -> Found:
        case = self.case
        able = case.servers * WORKERS / (sum(WORK_S) / 2)
        weights = [case.hot if node.hot else 1.0 for node in self.nodes]
        for node, weight in zip(self.nodes, weights, strict=True):
            rate = able * case.load * weight / sum(weights) * len(self.nodes) / case.nodes
            self.after(self.chance.expovariate(rate), self.come, node, rate)
            node.carry_out()
        if case.lost:
            self.after(case.warm_s / 2, self.lose)
        while self.due and self.due[0][0] <= case.warm_s + case.length_s:
            self.now, _, call, args = heapq.heappop(self.due)
            self.counts = self.now >= case.warm_s
            call(*args)
        found = self.found
        held = [sum(map(len, node.idle.values())) for node in self.nodes]
        found.connections = round(sum(held) / len(held))
        found.largest = max(len(node.gateway.servers) for node in self.nodes)
        found.held = self.worked / case.length_s / case.servers / WORKERS
        return found


SIZES = ((20, 600), (200, 2000), (670, 9200))
MOST_WHOLE = 2000  # servers: beyond it a request with the whole list costs too much to try


def cases() -> Iterator[tuple[str, Case]]:
    """Each size with subsets and, where that can be tried, without; and one node with most of the work."""
    for nodes, servers in SIZES:
        for form, terms in (("subsets", DEFAULT_SETTINGS), ("whole", None)):
            if terms is None and servers > MOST_WHOLE:
                continue
            plain = Case(nodes, servers, terms, length_s=4.0 if servers <= MOST_WHOLE else 2.0)
            name = f"{nodes} x {servers} {form}"
            yield f"{name} even", plain
            yield f"{name} even 0.85", replace(plain, load=0.85)
            yield f"{name} hot", replace(plain, hot_share=0.05, hot=6.0)
            yield f"{name} zone silent", replace(plain, lost=True, load=0.6)
    one = Case(60, 1000, DEFAULT_SETTINGS, load=0.6, hot_share=1 / 60, hot=30.0, warm_s=9.0)
    yield "60 x 1000 subsets one node", one
    yield "60 x 1000 stays one node", replace(one, grows=False)
    yield "60 x 1000 whole one node", replace(one, terms=None)
    yield "60 x 1000 subsets overload", replace(one, load=1.2, hot_share=0.0, warm_s=4.0)
    yield "60 x 1000 whole overload", replace(one, load=1.2, hot_share=0.0, warm_s=4.0, terms=None)


def main() -> None:
    for name, case in cases():
        if not sys.argv[1:] or any(word in name for word in sys.argv[1:]):
            began, play = time.perf_counter(), Play(case)
            row = play.run().row()
            levels = Counter(node.subset.level for node in play.nodes if node.subset is not None)
            print(name, row, f"levels {dict(levels)}; {time.perf_counter() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main()
