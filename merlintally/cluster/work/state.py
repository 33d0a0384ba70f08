"""What the nodes have agreed on about work: machines, requests, turns. Changed by entries alone, each applied
in the same way everywhere; an entry that does not fit any more is void, and says why."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field

from merlintally.cluster.work.parts import Parts, Refused

CALLED = "called"
GRANTED = "granted"
OUT = "out"
RETURNING = "returning"
OPEN = "open"
PAUSED = "paused"
CANCELLED = "cancelled"
FINISHED = "finished"
REMEMBERED = 1024  # ids of entries
HISTORY = 200  # lines of history
LIMIT = re.compile(r"([1-9][0-9]{0,5})(%?)")

MISTAKES = (  # planted by name, in tests only
    "old grant accepted",
    "budget looked at by the leader alone",
    "returning does not count",
    "a grant before the call is heard",
    "a silent node is clear at once",
    "an old leader's word renews",
    "two zones at once",
    "out before all are clear",
    "a restart forgets its turn",
    "the lease is counted from its receipt",
    "clocks run unlike beyond the stated share",
    "voters are not counted",
)


class Machine(Struct, frozen=True, omit_defaults=True):
    """A machine: what it carries, and how many executions a second it bears (0: nobody knows). A machine of
    the `refuge` is one to which a node may go on sending that has not heard of the others for long."""

    name: str
    pool: str
    zone: str
    edges: tuple[str, ...] = ()
    servers: tuple[str, ...] = ()
    bears: float = 0.0
    refuge: bool = False


class Budget(Struct, frozen=True):
    """How many machines may be out at once, in all, in each pool and in each zone: a number, or n%."""

    total: str = "1"
    pool: str = "1"
    zone: str = "1"


class Request(Struct):
    """Work asked for. `limit_s`: how long a machine may be out before it counts as overdue, 0: no limit."""

    id: str
    by: str
    reason: str
    machines: tuple[str, ...]
    budget: Budget
    limit_s: float = 0.0
    state: str = OPEN
    done: list[str] = field(default_factory=list)


class Turn(Struct):
    """A machine's turn. `called_at` and `changed_at` are indices of entries."""

    number: int
    machine: str
    request: str
    state: str
    called_at: int
    changed_at: int


def most(limit: str, of: int) -> int:
    """
    >>> most("2", 9), most("30%", 9), most("10%", 9)
    (2, 2, 0)
    """
    found = LIMIT.fullmatch(limit)
    if found is None:
        raise ValueError(f"{limit!r} is neither a number nor a share like 10%")
    return int(found[1]) * of // 100 if found[2] else int(found[1])


def machines_of(rows: Sequence[Machine]) -> dict[str, Machine]:
    """The list of machines by name; ValueError, with the name, for what can't be."""
    found: dict[str, Machine] = {}
    carried: dict[str, str] = {}
    for row in rows:
        if row.name in found:
            raise ValueError(f"{row.name}: stands in the list twice")
        if not (row.name and row.pool and row.zone):
            raise ValueError(f"{row.name or '(no name)'}: name, pool and zone must not be empty")
        for kind, one in [("edge", one) for one in row.edges] + [("server", one) for one in row.servers]:
            if carried.setdefault(f"{kind} {one}", row.name) != row.name:
                raise ValueError(f"{row.name}: {kind} {one} is on {carried[f'{kind} {one}']} already")
        found[row.name] = row
    return found


class Work(Struct):
    """All that is agreed. `take` applies one entry."""

    machines: dict[str, Machine] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    turns: dict[str, Turn] = field(default_factory=dict)  # by machine; one that is back has none
    number: int = 0  # of the last turn: it only rises
    gone: dict[str, int] = field(default_factory=dict)  # node -> the start that a person says is no more
    taken: dict[str, str] = field(default_factory=dict)  # id of an entry -> what became of it
    history: list[str] = field(default_factory=list)
    index: int = 0
    listed_at: int = 0  # the entry that the list of machines came with
    voters: tuple[str, ...] = ()  # as the log's entries to `index` have it
    parts: Parts = field(default_factory=Parts)  # of ceilings, lent among nodes

    # Told to others, and kept.

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self)

    def take(self, index: int, data: bytes, mistakes: frozenset[str] = frozenset()) -> tuple[str, str]:
        """Apply the entry at `index`; gives its id, and "" or why it is void. The same entry twice counts
        once."""
        self.index = index
        try:
            id_, verb, args = msgspec.msgpack.decode(data, type=tuple[str, str, list[Any]])
            verbs: dict[str, Callable[..., str]] = {
                "machines": self._machines,
                "request": self._request,
                "call": self._call,
                "grant": self._grant,
                "out": self._out,
                "done": self._done,
                "back": self._back,
                "pause": self._pause,
                "resume": self._resume,
                "cancel": self._cancel,
                "abandon": self._abandon,
                "gone": self._gone,
            }
            if id_ in self.taken:
                return id_, self.taken[id_]
            told = ""
            try:
                if (loans := self.parts.verbs().get(verb)) is not None:
                    loans(index, mistakes, *args)
                    line = ""
                else:
                    line = (
                        verbs[verb](*args, mistakes)
                        if verb in ("grant", "call", "out")
                        else verbs[verb](*args)
                    )
            except Refused as wrong:
                told = str(wrong)
            if not told and line:  # loans come and go by the minute, and are no history
                self.history = [*self.history, f"{index} {line}"][-HISTORY:]
            self.taken[id_] = told
            while len(self.taken) > REMEMBERED:
                del self.taken[next(iter(self.taken))]
            return id_, told
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as wrong:
            # guards against an entry of a newer program, or of a faulty one, that ends every node
            return "", f"an entry that can't be read is void: {wrong!r:.80}"

    # What is asked of it.

    def out(self) -> list[Turn]:
        """Turns that count against the budget: from the call on until the machine is proven back."""
        return list(self.turns.values())

    def machine_of_edge(self, node: str) -> Machine | None:
        return next((one for one in self.machines.values() if node in one.edges), None)

    def edges(self) -> set[str]:
        return {edge for one in self.machines.values() for edge in one.edges}

    def sizes(self) -> Counter[tuple[str, str]]:
        """How many machines there are in all, in each pool and in each zone."""
        rows = self.machines.values()
        found = Counter({("all", ""): len(rows)})
        found.update(("pool", one.pool) for one in rows)
        found.update(("zone", one.zone) for one in rows)
        return found

    def over_budget(
        self,
        machine: Machine,
        budget: Budget,
        lost: Iterable[str] = (),
        zones: bool = True,
        sizes: Counter[tuple[str, str]] | None = None,
    ) -> str:
        """Why no further machine than those out may be this one, or "". `lost` ones count as out; `sizes` as
        by `sizes()`, for who asks about many."""
        sizes = sizes or self.sizes()
        out = ({turn.machine for turn in self.turns.values()} | set(lost)) & set(self.machines)
        out.discard(machine.name)
        rows = [self.machines[name] for name in out]
        pool, zone = machine.pool, machine.zone
        for key, limit, same in (
            (("all", ""), budget.total, rows),
            (("pool", pool), budget.pool, [one for one in rows if one.pool == pool]),
            (("zone", zone), budget.zone, [one for one in rows if one.zone == zone]),
        ):
            if len(same) + 1 > (limited := most(limit, sizes[key])):
                names = ", ".join(sorted(one.name for one in same)[:4])
                return f"{' '.join(('in', *key)).rstrip()} {len(same)} out of at most {limited}" + (
                    f" ({names})" if names else ""
                )
        turns = {
            self.machines[name].zone for name in self.turns if name in self.machines and name != machine.name
        }
        if zones and turns - {machine.zone}:
            return f"work is in zone {', '.join(sorted(turns))}, and never in two at once"
        return ""

    def beyond_call(self) -> set[str]:
        """Machines that people may touch, or may have touched: all with a turn but those only called."""
        return {turn.machine for turn in self.turns.values() if turn.state != CALLED}

    def too_few_voters(self, out: Iterable[str], voters: Iterable[str], blank: Iterable[str] = ()) -> str:
        """Why no majority of `voters` would be left with these machines out, or "". `blank` ones hold nothing
        yet."""
        away = {edge for name in out if name in self.machines for edge in self.machines[name].edges}
        away.update(blank)
        votes = set(voters)
        left = len(votes - away)
        return f"only {left} of {len(votes)} voters would be left" if 2 * left <= len(votes) else ""

    def budgets(self, request: Request) -> list[Budget]:
        """Its own, and those of all others that are still open: the least of each holds."""
        return [request.budget] + [
            one.budget
            for one in self.requests.values()
            if one.state in (OPEN, PAUSED) and one.id != request.id
        ]

    # Entries, by their verbs. Each gives the line of history, or is Refused.

    def _turn(self, machine: str, number: int, state: str, mistakes: frozenset[str] = frozenset()) -> Turn:
        turn = self.turns.get(machine)
        if turn is None or turn.number != number and "old grant accepted" not in mistakes:
            raise Refused(f"{machine}: turn {number} is over, or was never called")
        if turn.state != state and "old grant accepted" not in mistakes:
            raise Refused(f"{machine}: turn {number} is {turn.state}, not {state}")
        return turn

    def _move(self, turn: Turn, state: str) -> str:
        turn.state, turn.changed_at = state, self.index
        return f"{turn.machine}: turn {turn.number} is {state}"

    def _machines(self, by: str, rows: list[Any]) -> str:
        try:
            found = machines_of(msgspec.convert(rows, list[Machine]))
        except (ValueError, msgspec.ValidationError) as wrong:
            raise Refused(str(wrong)) from None
        missing = sorted(name for name in self.turns if name not in found)
        if missing:
            raise Refused(f"{missing[0]}: has its turn, and is not in the new list")
        self.machines, self.listed_at = found, self.index
        return f"{by}: a list of {len(found)} machines"

    def _request(
        self, id_: str, by: str, reason: str, machines: list[str], budget: list[str], limit_s: float
    ) -> str:
        limits = Budget(*budget)
        if id_ in self.requests:
            raise Refused(f"{id_}: there is a request of that name")
        if not machines:
            raise Refused("no machine is named")
        sizes = self.sizes()
        for name in machines:
            if name not in self.machines:
                raise Refused(f"{name}: there is no such machine")
            for other in self.requests.values():
                if other.state in (OPEN, PAUSED) and name in other.machines and name not in other.done:
                    raise Refused(f"{name}: request {other.id} of {other.by} asks for work on it already")
            if why := self._never(self.machines[name], limits, sizes):
                raise Refused(f"{name}: the budget can never be met: {why}")
        if len(set(machines)) < len(machines):
            raise Refused("a machine is named twice")
        self.requests[id_] = Request(id_, by, reason, tuple(machines), limits, limit_s)
        closed = [one.id for one in self.requests.values() if one.state in (CANCELLED, FINISHED)]
        for old in closed[:-50]:
            del self.requests[old]
        return f"{id_}: {by} asks for work on {len(machines)} machines: {reason}"

    def _never(self, machine: Machine, budget: Budget, sizes: Counter[tuple[str, str]]) -> str:
        for what, limit, size in (
            ("total", budget.total, sizes["all", ""]),
            ("pool", budget.pool, sizes["pool", machine.pool]),
            ("zone", budget.zone, sizes["zone", machine.zone]),
        ):
            if most(limit, size) < 1:
                return f"{what} {limit} of {size} is less than one machine"
        return ""

    def _open(self, id_: str) -> Request:
        found = self.requests.get(id_)
        if found is None:
            raise Refused(f"{id_}: there is no such request")
        if found.state in (CANCELLED, FINISHED):
            raise Refused(f"{id_}: is {found.state} already")
        return found

    def _call(self, number: int, machine: str, request: str, mistakes: frozenset[str]) -> str:
        found = self._open(request)
        if number != self.number + 1:
            raise Refused(f"{machine}: turn {number} does not follow {self.number}")
        if (
            found.state != OPEN
            or machine not in found.machines
            or machine in found.done
            or machine in self.turns
        ):
            raise Refused(f"{machine}: is not waiting in {request}")
        self._within(machine, found, mistakes, set(self.turns))
        self.number = number
        self.turns[machine] = Turn(number, machine, request, CALLED, self.index, self.index)
        return f"{machine}: turn {number} is called for {request}"

    def _within(self, machine: str, request: Request, mistakes: frozenset[str], out: set[str]) -> None:
        """`out`: machines that count as out for the voters that are left."""
        if "budget looked at by the leader alone" in mistakes:
            return
        for budget in self.budgets(request):
            if why := self.over_budget(
                self.machines[machine], budget, zones="two zones at once" not in mistakes
            ):
                raise Refused(f"{machine}: {why}")
        if (
            set(self.voters) & set(self.machines[machine].edges)
            and "voters are not counted" not in mistakes
            and (why := self.too_few_voters({*out, machine}, self.voters))
        ):
            raise Refused(f"{machine}: {why}")

    def _grant(self, number: int, machine: str, mistakes: frozenset[str]) -> str:
        turn = self._turn(machine, number, CALLED, mistakes)
        request = self.requests[turn.request]
        if request.state != OPEN:
            raise Refused(f"{machine}: {request.id} is {request.state}")
        # of several that are called one at the least can be granted, whoever votes by now
        self._within(machine, request, mistakes, self.beyond_call())
        return self._move(turn, GRANTED)

    def _out(self, number: int, machine: str, mistakes: frozenset[str]) -> str:
        return self._move(self._turn(machine, number, GRANTED, mistakes), OUT)

    def _done(self, machine: str, by: str) -> str:
        turn = self.turns.get(machine)
        if turn is None or turn.state != OUT:
            raise Refused(f"{machine}: is not out")
        return f"{by}: {self._move(turn, RETURNING)}"

    def _back(self, number: int, machine: str) -> str:
        turn = self._turn(machine, number, RETURNING)
        del self.turns[machine]
        self._finish(turn)
        return f"{machine}: turn {number} is over, the machine is back"

    def _finish(self, turn: Turn) -> None:
        request = self.requests.get(turn.request)
        if request is not None:
            request.done.append(turn.machine)
            self._look(request)

    def _look(self, request: Request) -> None:
        """Whether all of a request is done. Guards against one whose last machine came back while it was
        paused, which would stay open for good."""
        if request.state == OPEN and set(request.done) >= set(request.machines) & set(self.machines):
            request.state = FINISHED

    def _pause(self, id_: str, by: str) -> str:
        self._open(id_).state = PAUSED
        self._recall(id_)
        return f"{id_}: paused by {by}"

    def _resume(self, id_: str, by: str) -> str:
        request = self._open(id_)
        request.state = OPEN
        self._look(request)
        return f"{id_}: resumed by {by}"

    def _cancel(self, id_: str, by: str) -> str:
        self._open(id_).state = CANCELLED
        self._recall(id_)
        return f"{id_}: cancelled by {by}"

    def _recall(self, id_: str) -> None:
        """Turns that nobody was told of yet are void; who is out stays out."""
        for turn in list(self.turns.values()):
            if turn.request == id_ and turn.state in (CALLED, GRANTED):
                del self.turns[turn.machine]

    def _abandon(self, machine: str, by: str, reason: str) -> str:
        turn = self.turns.pop(machine, None)
        if turn is None:
            raise Refused(f"{machine}: has no turn")
        self._finish(turn)
        return f"{machine}: turn {turn.number} is abandoned by {by}: {reason}"

    def _gone(self, node: str, start: int, by: str, reason: str) -> str:
        self.gone[node] = max(start, self.gone.get(node, 0))
        return f"{node}: start {start} is no more, says {by}: {reason}"


def entry(id_: str, verb: str, *args: Any) -> bytes:
    """An entry of the log; `id_` is its own for good, so that it counts once however often it is told."""
    return msgspec.msgpack.encode((id_, verb, list(args)))


def work_of(data: bytes) -> Work:
    """What `Work.encode` gave; empty bytes are the state before the first entry."""
    return msgspec.msgpack.decode(data, type=Work) if data else Work()
