"""What an edge node may accept and send under the replicated state.

Checked before each acceptance and each send, so that no timer has to fire when a lease expires.
"""

from __future__ import annotations

from merlintally.cluster.work.state import CALLED, GRANTED, OUT, RETURNING, Machine, Work


class EdgePermissions:
    """One node's permissions.

    `leased_from` is when the node sent its last confirmed renewal, by its own clock. The lease counts from
    then and not from the leader's answer, and is valid before `leased_from + lease_s`.
    """

    def __init__(
        self, name: str, start: int, work: Work, injected_faults: frozenset[str] = frozenset()
    ) -> None:
        self.name, self.start, self.injected_faults = name, start, injected_faults
        self.leased_from = 0.0
        self.caught_up = "a restart forgets its turn" in injected_faults
        self.machines: dict[str, Machine] = {}  # by app server
        self.own_machine: Machine | None = None
        self.has_refuge = False
        self.set_work(work)

    def set_work(self, work: Work) -> None:
        """Use this state from now on; to be called after each change."""
        self.work = work
        self.machines = {server: machine for machine in work.machines.values() for server in machine.servers}
        self.own_machine = work.machine_of_edge(self.name)
        self.has_refuge = any(machine.refuge for machine in work.machines.values())

    def renewed(self, sent: float, index: int, now: float) -> None:
        """Extend the lease: a leader confirmed by a majority has answered the renewal sent at `sent`.

        The lease counts only if all entries up to `index` are applied here.
        """
        renewed_at = now if "the lease is counted from its receipt" in self.injected_faults else sent
        if self.work.index >= index:
            self.caught_up = True
            self.leased_from = max(self.leased_from, renewed_at)

    def may_take(self, now: float, lease_s: float = 0.0) -> bool:
        """Whether a new submission may be accepted."""
        if not self.caught_up or self.declared_gone or (self.work.machines and self.own_machine is None):
            return False
        turn = self.work.turns.get(self.own_machine.name) if self.own_machine is not None else None
        if turn is None or turn.state == RETURNING:
            return True
        return turn.state == CALLED and now < self.leased_from + lease_s

    def may_send(self, server: str, now: float, lease_s: float) -> bool:
        """Whether a new execution may be sent to an app server. Servers of no listed machine are allowed."""
        if not self.caught_up or self.declared_gone or (self.work.machines and self.own_machine is None):
            return False
        machine = self.machines.get(server)
        if machine is None:
            return True
        turn = self.work.turns.get(machine.name)
        if turn is None or turn.state == RETURNING:
            return not self.has_refuge or machine.refuge or now < self.leased_from + lease_s
        return turn.state == CALLED and now < self.leased_from + lease_s

    @property
    def declared_gone(self) -> bool:
        """Whether an operator has declared this start of the node gone: turns no longer wait for it."""
        return self.work.gone.get(self.name, 0) >= self.start

    def out(self) -> frozenset[str]:
        """App servers whose machine's turn is granted or out."""
        return frozenset(
            server
            for server, machine in self.machines.items()
            if (turn := self.work.turns.get(machine.name)) is not None and turn.state in (GRANTED, OUT)
        )

    def turns_of(self, servers: frozenset[str]) -> tuple[int, ...]:
        """Numbers of the turns of the machines that run these servers."""
        names = {self.machines[server].name for server in servers if server in self.machines}
        return tuple(sorted(self.work.turns[name].number for name in names if name in self.work.turns))
