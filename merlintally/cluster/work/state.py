"""Replicated state of machine maintenance: machines, requests, turns and loans of ceiling shares.

The state changes only through entries of the replicated log, which every node applies in the same way. An
entry that no longer fits the state is void: it changes nothing, and the reason is kept with its id. These
reasons and the lines of `Work.history` are part of the encoded state, so their texts have to be the same on
every node.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field

from merlintally.cluster.work.parts import LoanTable, Refused

# States of a turn.
CALLED = "called"
GRANTED = "granted"
OUT = "out"
RETURNING = "returning"
# States of a request.
OPEN = "open"
PAUSED = "paused"
CANCELLED = "cancelled"
FINISHED = "finished"

MAX_REMEMBERED_IDS = 1024
MAX_HISTORY_LINES = 200
LIMIT_PATTERN = re.compile(r"([1-9][0-9]{0,5})(%?)")

INJECTED_FAULTS = (  # faults that tests inject by name
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
    """A machine, the edge nodes and app servers that it runs, and its capacity.

    `bears`: executions per second that the machine can serve, 0 if unknown. `refuge`: a node without a valid
    lease may go on sending to this machine.
    """

    name: str
    pool: str
    zone: str
    edges: tuple[str, ...] = ()
    servers: tuple[str, ...] = ()
    bears: float = 0.0
    refuge: bool = False


class Budget(Struct, frozen=True):
    """Disruption budget: how many machines may be out at once in total, in each pool and in each zone.

    Each limit is a number, or a percentage of the machines concerned such as "10%".
    """

    total: str = "1"
    pool: str = "1"
    zone: str = "1"


class Request(Struct):
    """A maintenance request. `limit_s`: time out after which a machine counts as overdue, 0 for no limit."""

    id: str
    by: str
    reason: str
    machines: tuple[str, ...]
    budget: Budget
    limit_s: float = 0.0
    state: str = OPEN
    done: list[str] = field(default_factory=list)


class Turn(Struct):
    """A machine's turn in a request. `called_at` and `changed_at` are log indices."""

    number: int
    machine: str
    request: str
    state: str
    called_at: int
    changed_at: int


def limit_of(limit: str, of: int) -> int:
    """The number of machines that `limit` allows out of `of`; ValueError if it is malformed.

    >>> limit_of("2", 9), limit_of("30%", 9), limit_of("10%", 9)
    (2, 2, 0)
    """
    match = LIMIT_PATTERN.fullmatch(limit)
    if match is None:
        raise ValueError(f"{limit!r} is neither a number nor a share like 10%")
    return int(match[1]) * of // 100 if match[2] else int(match[1])


def machines_by_name(rows: Sequence[Machine]) -> dict[str, Machine]:
    """The machines by name; ValueError naming the machine for duplicates and empty fields."""
    machines: dict[str, Machine] = {}
    carried_by: dict[str, str] = {}
    for machine in rows:
        if machine.name in machines:
            raise ValueError(f"{machine.name}: stands in the list twice")
        if not (machine.name and machine.pool and machine.zone):
            raise ValueError(f"{machine.name or '(no name)'}: name, pool and zone must not be empty")
        for kind, carried in [("edge", edge) for edge in machine.edges] + [
            ("server", server) for server in machine.servers
        ]:
            if carried_by.setdefault(f"{kind} {carried}", machine.name) != machine.name:
                raise ValueError(
                    f"{machine.name}: {kind} {carried} is on {carried_by[f'{kind} {carried}']} already"
                )
        machines[machine.name] = machine
    return machines


class Work(Struct):
    """The replicated state. `apply` applies one entry; entries must come in the order of the log."""

    machines: dict[str, Machine] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    turns: dict[str, Turn] = field(default_factory=dict)  # by machine, until the machine is back
    number: int = 0  # of the last turn; never decreases
    gone: dict[str, int] = field(default_factory=dict)  # node -> last start declared gone by an operator
    taken: dict[str, str] = field(default_factory=dict)  # entry id -> "" or why the entry was void
    history: list[str] = field(default_factory=list)
    index: int = 0  # of the last applied entry
    listed_at: int = 0  # index of the entry that brought the list of machines
    voters: tuple[str, ...] = ()  # as of `index`
    parts: LoanTable = field(default_factory=LoanTable)

    # Encoding and entries.

    def encode(self) -> bytes:
        """The state as MessagePack, for snapshots and for nodes that lag behind."""
        return msgspec.msgpack.encode(self)

    def apply(
        self, index: int, data: bytes, injected_faults: frozenset[str] = frozenset()
    ) -> tuple[str, str]:
        """Apply the entry at `index`; return its id, and "" or why it is void.

        An entry whose id was applied before changes nothing and returns the first result. An entry that can't
        be decoded is void and has no id.
        """
        self.index = index
        try:
            id_, verb, args = msgspec.msgpack.decode(data, type=tuple[str, str, list[Any]])
            handlers: dict[str, Callable[..., str]] = {
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
            refusal = ""
            try:
                if (loan_handler := self.parts.handlers().get(verb)) is not None:
                    loan_handler(index, injected_faults, *args)
                    history_line = ""
                else:
                    history_line = (
                        handlers[verb](*args, injected_faults)
                        if verb in ("grant", "call", "out")
                        else handlers[verb](*args)
                    )
            except Refused as error:
                refusal = str(error)
            if not refusal and history_line:  # loans are too frequent for the history
                self.history = [*self.history, f"{index} {history_line}"][-MAX_HISTORY_LINES:]
            self.taken[id_] = refusal
            while len(self.taken) > MAX_REMEMBERED_IDS:
                del self.taken[next(iter(self.taken))]
            return id_, refusal
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            # An entry of a newer or faulty program must not stop every node that applies it.
            return "", f"an entry that can't be read is void: {error!r:.80}"

    # Queries.

    def out(self) -> list[Turn]:
        """Turns that count against the budgets, from the call until the machine is back."""
        return list(self.turns.values())

    def machine_of_edge(self, node: str) -> Machine | None:
        """The machine that runs edge node `node`, if it is listed."""
        return next((machine for machine in self.machines.values() if node in machine.edges), None)

    def edges(self) -> set[str]:
        """All edge nodes of listed machines."""
        return {edge for machine in self.machines.values() for edge in machine.edges}

    def sizes(self) -> Counter[tuple[str, str]]:
        """How many machines there are in total, in each pool and in each zone."""
        listed = self.machines.values()
        counts = Counter({("all", ""): len(listed)})
        counts.update(("pool", machine.pool) for machine in listed)
        counts.update(("zone", machine.zone) for machine in listed)
        return counts

    def over_budget(
        self,
        machine: Machine,
        budget: Budget,
        lost: Iterable[str] = (),
        zones: bool = True,
        sizes: Counter[tuple[str, str]] | None = None,
    ) -> str:
        """Why taking out `machine` would exceed the budget, or "".

        Machines in `lost` count as out. `zones`: whether to require that only one zone has turns. `sizes` is
        the result of `sizes()`, to be passed in by callers that check many machines.
        """
        sizes = sizes or self.sizes()
        out = ({turn.machine for turn in self.turns.values()} | set(lost)) & set(self.machines)
        out.discard(machine.name)
        machines_out = [self.machines[name] for name in out]
        pool, zone = machine.pool, machine.zone
        for key, limit, counted in (
            (("all", ""), budget.total, machines_out),
            (("pool", pool), budget.pool, [other for other in machines_out if other.pool == pool]),
            (("zone", zone), budget.zone, [other for other in machines_out if other.zone == zone]),
        ):
            if len(counted) + 1 > (allowed := limit_of(limit, sizes[key])):
                names = ", ".join(sorted(other.name for other in counted)[:4])
                return f"{' '.join(('in', *key)).rstrip()} {len(counted)} out of at most {allowed}" + (
                    f" ({names})" if names else ""
                )
        zones_with_turns = {
            self.machines[name].zone for name in self.turns if name in self.machines and name != machine.name
        }
        if zones and zones_with_turns - {machine.zone}:
            return f"work is in zone {', '.join(sorted(zones_with_turns))}, and never in two at once"
        return ""

    def granted_machines(self) -> set[str]:
        """Machines whose turn was granted, so that operators may already have started work on them."""
        return {turn.machine for turn in self.turns.values() if turn.state != CALLED}

    def too_few_voters(
        self, out: Iterable[str], voters: Iterable[str], without_log: Iterable[str] = ()
    ) -> str:
        """Why no majority of `voters` would be left with the machines `out` taken out, or "".

        Nodes in `without_log` have lost their log and count as absent.
        """
        absent = {edge for name in out if name in self.machines for edge in self.machines[name].edges}
        absent.update(without_log)
        voter_set = set(voters)
        left = len(voter_set - absent)
        return f"only {left} of {len(voter_set)} voters would be left" if 2 * left <= len(voter_set) else ""

    def budgets(self, request: Request) -> list[Budget]:
        """The budgets that a machine of `request` must meet: its own and those of all unfinished requests."""
        return [request.budget] + [
            other.budget
            for other in self.requests.values()
            if other.state in (OPEN, PAUSED) and other.id != request.id
        ]

    # Handlers of entries, by verb. Each returns the line of history, or raises Refused.

    def _turn(
        self, machine: str, number: int, state: str, injected_faults: frozenset[str] = frozenset()
    ) -> Turn:
        """The turn of a machine, which must have this number and state."""
        turn = self.turns.get(machine)
        if turn is None or turn.number != number and "old grant accepted" not in injected_faults:
            raise Refused(f"{machine}: turn {number} is over, or was never called")
        if turn.state != state and "old grant accepted" not in injected_faults:
            raise Refused(f"{machine}: turn {number} is {turn.state}, not {state}")
        return turn

    def _set_state(self, turn: Turn, state: str) -> str:
        turn.state, turn.changed_at = state, self.index
        return f"{turn.machine}: turn {turn.number} is {state}"

    def _machines(self, by: str, rows: list[Any]) -> str:
        try:
            listed = machines_by_name(msgspec.convert(rows, list[Machine]))
        except (ValueError, msgspec.ValidationError) as error:
            raise Refused(str(error)) from None
        missing = sorted(name for name in self.turns if name not in listed)
        if missing:
            raise Refused(f"{missing[0]}: has its turn, and is not in the new list")
        self.machines, self.listed_at = listed, self.index
        return f"{by}: a list of {len(listed)} machines"

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
            if why := self._unsatisfiable(self.machines[name], limits, sizes):
                raise Refused(f"{name}: the budget can never be met: {why}")
        if len(set(machines)) < len(machines):
            raise Refused("a machine is named twice")
        self.requests[id_] = Request(id_, by, reason, tuple(machines), limits, limit_s)
        closed = [request.id for request in self.requests.values() if request.state in (CANCELLED, FINISHED)]
        for closed_id in closed[:-50]:
            del self.requests[closed_id]
        return f"{id_}: {by} asks for work on {len(machines)} machines: {reason}"

    def _unsatisfiable(self, machine: Machine, budget: Budget, sizes: Counter[tuple[str, str]]) -> str:
        """Why the budget never lets even this machine alone be out, or ""."""
        for limit_name, limit, size in (
            ("total", budget.total, sizes["all", ""]),
            ("pool", budget.pool, sizes["pool", machine.pool]),
            ("zone", budget.zone, sizes["zone", machine.zone]),
        ):
            if limit_of(limit, size) < 1:
                return f"{limit_name} {limit} of {size} is less than one machine"
        return ""

    def _unfinished_request(self, id_: str) -> Request:
        request = self.requests.get(id_)
        if request is None:
            raise Refused(f"{id_}: there is no such request")
        if request.state in (CANCELLED, FINISHED):
            raise Refused(f"{id_}: is {request.state} already")
        return request

    def _call(self, number: int, machine: str, request: str, injected_faults: frozenset[str]) -> str:
        open_request = self._unfinished_request(request)
        if number != self.number + 1:
            raise Refused(f"{machine}: turn {number} does not follow {self.number}")
        if (
            open_request.state != OPEN
            or machine not in open_request.machines
            or machine in open_request.done
            or machine in self.turns
        ):
            raise Refused(f"{machine}: is not waiting in {request}")
        self._check_limits(machine, open_request, injected_faults, set(self.turns))
        self.number = number
        self.turns[machine] = Turn(number, machine, request, CALLED, self.index, self.index)
        return f"{machine}: turn {number} is called for {request}"

    def _check_limits(
        self, machine: str, request: Request, injected_faults: frozenset[str], out: set[str]
    ) -> None:
        """Refuse a machine beyond a budget, or one whose absence leaves no majority of voters with `out`."""
        if "budget looked at by the leader alone" in injected_faults:
            return
        for budget in self.budgets(request):
            if why := self.over_budget(
                self.machines[machine], budget, zones="two zones at once" not in injected_faults
            ):
                raise Refused(f"{machine}: {why}")
        if (
            set(self.voters) & set(self.machines[machine].edges)
            and "voters are not counted" not in injected_faults
            and (why := self.too_few_voters({*out, machine}, self.voters))
        ):
            raise Refused(f"{machine}: {why}")

    def _grant(self, number: int, machine: str, injected_faults: frozenset[str]) -> str:
        turn = self._turn(machine, number, CALLED, injected_faults)
        request = self.requests[turn.request]
        if request.state != OPEN:
            raise Refused(f"{machine}: {request.id} is {request.state}")
        # Machines that are only called don't count here: otherwise two called machines could block each
        # other for good after a change of voters.
        self._check_limits(machine, request, injected_faults, self.granted_machines())
        return self._set_state(turn, GRANTED)

    def _out(self, number: int, machine: str, injected_faults: frozenset[str]) -> str:
        return self._set_state(self._turn(machine, number, GRANTED, injected_faults), OUT)

    def _done(self, machine: str, by: str) -> str:
        turn = self.turns.get(machine)
        if turn is None or turn.state != OUT:
            raise Refused(f"{machine}: is not out")
        return f"{by}: {self._set_state(turn, RETURNING)}"

    def _back(self, number: int, machine: str) -> str:
        turn = self._turn(machine, number, RETURNING)
        del self.turns[machine]
        self._mark_done(turn)
        return f"{machine}: turn {number} is over, the machine is back"

    def _mark_done(self, turn: Turn) -> None:
        request = self.requests.get(turn.request)
        if request is not None:
            request.done.append(turn.machine)
            self._finish_if_done(request)

    def _finish_if_done(self, request: Request) -> None:
        """Finish an open request once all its listed machines are done.

        Also checked on resume: the last machine may come back while the request is paused.
        """
        if request.state == OPEN and set(request.done) >= set(request.machines) & set(self.machines):
            request.state = FINISHED

    def _pause(self, id_: str, by: str) -> str:
        self._unfinished_request(id_).state = PAUSED
        self._withdraw_turns(id_)
        return f"{id_}: paused by {by}"

    def _resume(self, id_: str, by: str) -> str:
        request = self._unfinished_request(id_)
        request.state = OPEN
        self._finish_if_done(request)
        return f"{id_}: resumed by {by}"

    def _cancel(self, id_: str, by: str) -> str:
        self._unfinished_request(id_).state = CANCELLED
        self._withdraw_turns(id_)
        return f"{id_}: cancelled by {by}"

    def _withdraw_turns(self, id_: str) -> None:
        """Drop the request's turns that are not out yet; machines that are out stay out."""
        for turn in list(self.turns.values()):
            if turn.request == id_ and turn.state in (CALLED, GRANTED):
                del self.turns[turn.machine]

    def _abandon(self, machine: str, by: str, reason: str) -> str:
        turn = self.turns.pop(machine, None)
        if turn is None:
            raise Refused(f"{machine}: has no turn")
        self._mark_done(turn)
        return f"{machine}: turn {turn.number} is abandoned by {by}: {reason}"

    def _gone(self, node: str, start: int, by: str, reason: str) -> str:
        self.gone[node] = max(start, self.gone.get(node, 0))
        return f"{node}: start {start} is no more, says {by}: {reason}"


def entry(id_: str, verb: str, *args: Any) -> bytes:
    """An encoded log entry. `id_` must be unique: an entry counts once however often it is proposed."""
    return msgspec.msgpack.encode((id_, verb, list(args)))


def decode_work(data: bytes) -> Work:
    """Decode the result of `Work.encode`; empty bytes are the state before the first entry."""
    return msgspec.msgpack.decode(data, type=Work) if data else Work()
