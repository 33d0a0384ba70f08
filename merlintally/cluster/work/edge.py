"""What one node may do by what is agreed: looked up before it takes and before each send, never by a
timer."""

from __future__ import annotations

from merlintally.cluster.work.state import CALLED, GRANTED, OUT, RETURNING, Machine, Work


class Edge:
    """One node's right. `until`: its lease, on its own clock; it holds from when it asked, not from the
    answer."""

    def __init__(self, name: str, start: int, work: Work, mistakes: frozenset[str] = frozenset()) -> None:
        self.name, self.start, self.mistakes = name, start, mistakes
        self.until = 0.0
        self.caught_up = "a restart forgets its turn" in mistakes
        self.machines: dict[str, Machine] = {}  # by server
        self.own: Machine | None = None
        self.refuge = False
        self.follow(work)

    def follow(self, work: Work) -> None:
        """What is agreed has changed."""
        self.work = work
        self.machines = {server: one for one in work.machines.values() for server in one.servers}
        self.own = work.machine_of_edge(self.name)
        self.refuge = any(one.refuge for one in work.machines.values())

    def renewed(self, sent: float, index: int, now: float) -> None:
        """A leader whom a majority follows has answered what this node asked at `sent`, by entries to
        `index`."""
        late = now if "the lease is counted from its receipt" in self.mistakes else sent
        if self.work.index >= index:
            self.caught_up = True
            self.until = max(self.until, late)

    def may_take(self, now: float, lease_s: float = 0.0) -> bool:
        """Whether a new submission may be taken."""
        if not self.caught_up or self.said_gone or (self.work.machines and self.own is None):
            return False
        turn = self.work.turns.get(self.own.name) if self.own is not None else None
        if turn is None or turn.state == RETURNING:
            return True
        return turn.state == CALLED and now < self.until + lease_s

    def may_send(self, server: str, now: float, lease_s: float) -> bool:
        """Whether a new execution may go to an app server. One that is no machine's is nobody's business."""
        if not self.caught_up or self.said_gone or (self.work.machines and self.own is None):
            return False
        machine = self.machines.get(server)
        if machine is None:
            return True
        turn = self.work.turns.get(machine.name)
        if turn is None or turn.state == RETURNING:
            return not self.refuge or machine.refuge or now < self.until + lease_s
        return turn.state == CALLED and now < self.until + lease_s

    @property
    def said_gone(self) -> bool:
        """Whether a person has said that this start is no more: then others count on it."""
        return self.work.gone.get(self.name, 0) >= self.start

    def out(self) -> frozenset[str]:
        """App servers that are out, for the list that the decisions see."""
        return frozenset(
            server
            for server, machine in self.machines.items()
            if (turn := self.work.turns.get(machine.name)) is not None and turn.state in (GRANTED, OUT)
        )

    def turns_of(self, servers: frozenset[str]) -> tuple[int, ...]:
        """Numbers of the turns of the machines that carry these servers."""
        names = {self.machines[server].name for server in servers if server in self.machines}
        return tuple(sorted(self.work.turns[name].number for name in names if name in self.work.turns))
