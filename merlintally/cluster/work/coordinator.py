"""The leader's control of turns.

It calls the next machine, grants its turn once all nodes have applied the call, and declares the machine out
once no node can send to it any more.

The coordinator works from the nodes' reports. Everything that has to outlive it is in the replicated log.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from merlintally.cluster.work.order import Choice, FleetView, next_turn
from merlintally.cluster.work.parts import NodeStatus, next_loan_entries
from merlintally.cluster.work.state import CALLED, GRANTED, OUT, Machine, Turn, Work


class MaintenanceTiming(NamedTuple):
    """Times of leases and maintenance, in seconds.

    A node's lease lasts `lease_s` by its own clock, from the moment when it sent the renewal. `drift` is the
    largest share by which a clock may run fast or slow. `warm_s`: slow start of a returning machine's
    servers. `longest_s`: the longest that an execution may take, which is the longest hard limit.
    `even_share`: a node's even share of a ceiling in thousandths, 0 if no shares are lent.
    """

    lease_s: float = 3.0
    renew_s: float = 0.5
    drift: float = 0.02
    warm_s: float = 15.0
    longest_s: float = 6.0
    even_share: int = 0

    @property
    def expiry_s(self) -> float:
        """Time after its last renewal when a node certainly has no lease and no execution in flight.

        Includes the longest execution, as one may be sent in the last moment of the lease.
        """
        return self.lease_s * (1 + self.drift) / (1 - self.drift) + self.longest_s


class Report(NamedTuple):
    """What a node reports with each renewal. On the wire it is an array: the order of fields matters.

    `acts_on`: index of the last applied entry. `busy`: numbers of the turns with executions in flight from
    this node to the machine's servers. `idle`: whether the node has answered all submissions that it
    accepted. `off`: app servers of listed machines that discovery does not list as on. `rates`: executions
    sent per second, by pool. `wants`: the thousandths that the node would draw of each customer who is at
    the ceiling.
    """

    start: int
    acts_on: int
    busy: tuple[int, ...] = ()
    idle: bool = False
    off: tuple[str, ...] = ()
    rates: dict[str, float] = {}
    wants: dict[str, int] = {}


class ReceivedReport:
    """A node's last report and when it was received."""

    __slots__ = ("report", "received_at")

    def __init__(self, report: Report, received_at: float) -> None:
        self.report, self.received_at = report, received_at


class Coordinator:
    """Control of turns during one term of leadership.

    It uses only reports of its own term. Leases granted by earlier leaders are waited out.
    """

    def __init__(
        self, name: str, timing: MaintenanceTiming, now: float, injected_faults: frozenset[str] = frozenset()
    ) -> None:
        self.name, self.timing, self.started_at, self.injected_faults = name, timing, now, injected_faults
        self.reports: dict[str, ReceivedReport] = {}  # by node
        self.entered_at: dict[tuple[int, str], float] = {}  # turn number and state -> when first observed
        self.choice = Choice()
        self.waits: dict[str, str] = {}  # machine with a turn -> what the turn waits for
        self.nodes_out: set[str] = set()  # edge nodes of machines that are out
        self.without_log: set[str] = set()  # nodes that report that they have lost their log

    def renewed(self, now: float, node: str, report: Report) -> None:
        """Record the report of a node whose lease is renewed; reports of its earlier starts are ignored."""
        previous = self.reports.get(node)
        if previous is None or report.start >= previous.report.start:
            self.reports[node] = ReceivedReport(report, now)

    def lease_expired(self, node: str, now: float) -> bool:
        """Whether the node's lease has expired for certain, even if an earlier leader renewed it last."""
        if "a silent node is clear at once" in self.injected_faults:
            return node not in self.reports or now - self.reports[node].received_at > self.timing.renew_s
        renewed_at = self.reports[node].received_at if node in self.reports else self.started_at
        return now - max(renewed_at, self.started_at) > self.timing.expiry_s

    def step(self, now: float, work: Work, view: FleetView) -> tuple[list[tuple[Any, ...]], bool]:
        """The entries to propose now, as verb and arguments, and whether to transfer leadership first."""
        entries: list[tuple[Any, ...]] = []
        transfer = False
        self.waits = {}
        self.nodes_out = {
            edge
            for turn in work.turns.values()
            if turn.state == OUT and turn.machine in work.machines
            for edge in work.machines[turn.machine].edges
        }
        for turn in work.turns.values():
            machine = work.machines.get(turn.machine)
            if machine is None:
                continue
            if turn.state == CALLED:
                waits = self._call_unconfirmed(now, work, turn, machine) or self._lacks_voters(
                    work, machine, view
                )
                if not waits and self.name in machine.edges:
                    transfer, waits = True, "leadership is transferred first"
                if not waits or "a grant before the call is heard" in self.injected_faults:
                    entries.append(("grant", turn.number, turn.machine))
            elif turn.state == GRANTED:
                waits = self._not_drained(now, work, turn, machine)
                if not waits or "out before all are clear" in self.injected_faults:
                    entries.append(("out", turn.number, turn.machine))
            elif turn.state == OUT:
                waits = self._in_maintenance(now, work, turn)
            else:
                waits = self._not_back(now, work, turn, machine)
                if not waits or "returning does not count" in self.injected_faults:
                    entries.append(("back", turn.number, turn.machine))
            self.waits[turn.machine] = waits
        self.choice = next_turn(work, view)
        if self.choice.machine:
            entries.append(("call", work.number + 1, self.choice.machine, self.choice.request))
        if self.timing.even_share:
            entries += next_loan_entries(
                work.parts, self._node_statuses(now, work), self.timing.even_share, self.injected_faults
            )
        current = {(turn.number, turn.state) for turn in work.turns.values()}
        self.entered_at = {key: at for key, at in self.entered_at.items() if key in current}
        return entries, transfer

    def _node_statuses(self, now: float, work: Work) -> dict[str, NodeStatus]:
        """The status of each node for loans.

        Includes lenders and borrowers that have not reported to this leader: they may hold a lease of an
        earlier one.
        """
        statuses = {
            node: NodeStatus(last.report.acts_on, self.lease_expired(node, now), last.report.wants)
            for node, last in self.reports.items()
        }
        for loan in work.parts.loans.values():
            for node in (loan.lender, loan.borrower):
                statuses.setdefault(node, NodeStatus(-1, self.lease_expired(node, now), {}))
        return statuses

    def overdue(self, now: float, work: Work) -> list[str]:
        """Machines that are out for longer than their request allows."""
        return [
            turn.machine
            for turn in work.turns.values()
            if turn.state == OUT
            and 0 < work.requests[turn.request].limit_s < now - self.entered_at.get((turn.number, OUT), now)
        ]

    def _nodes(self, work: Work) -> Iterable[str]:
        return sorted(work.edges() | set(self.reports))

    def _cannot_send(self, work: Work, node: str, machine: Machine) -> bool:
        """Whether a node certainly sends nothing to the machine, without a report from it.

        Either an operator has declared its start gone, or its own machine is out: then it has nothing in
        flight, and accepts nothing until it has applied the end of its turn and so all earlier entries.
        Otherwise every turn would wait for nodes that are switched off.
        """
        last = self.reports.get(node)
        if node in self.nodes_out and not machine.refuge:
            return True
        return node in work.gone and (last is None or last.report.start <= work.gone[node])

    def _call_unconfirmed(self, now: float, work: Work, turn: Turn, machine: Machine) -> str:
        """Which node may be alive without having applied the call, or "".

        Such a node would go on sending to the machine, with or without a lease.
        """
        has_refuge, listed = any(other.refuge for other in work.machines.values()), work.edges()
        for node in self._nodes(work):
            last = self.reports.get(node)
            if (
                last is not None
                and last.report.acts_on >= turn.called_at
                or self._cannot_send(work, node, machine)
            ):
                continue
            if last is not None and node not in listed and last.report.acts_on >= work.listed_at:
                continue  # an unlisted node that has applied the list sends nothing
            if has_refuge and not machine.refuge and self.lease_expired(node, now):
                continue  # without a lease it sends to machines of the refuge only
            return f"{node} has not applied the call"
        return ""

    def _lacks_voters(self, work: Work, machine: Machine, view: FleetView) -> str:
        """Why too few voters would be left, or "". Voters that were lost since the call count as absent."""
        if not view.voters & set(machine.edges) or "voters are not counted" in self.injected_faults:
            return ""
        return work.too_few_voters(
            work.granted_machines() | view.lost | {machine.name}, view.voters, view.without_log
        )

    def _not_drained(self, now: float, work: Work, turn: Turn, machine: Machine) -> str:
        """Which node may still send to the machine or wait for its answers, or ""."""
        for node in self._nodes(work):
            last = self.reports.get(node)
            if self._cannot_send(work, node, machine) or self.lease_expired(node, now):
                continue
            if last is None:
                return f"{node} has not reported"
            if last.report.acts_on < turn.changed_at:
                return f"{node} has not applied the grant"
            if turn.number in last.report.busy:
                return f"{node} still waits for answers from the machine"
            if node in machine.edges and not last.report.idle:
                return f"{node} has not answered all that it accepted"
        return ""

    def _in_maintenance(self, now: float, work: Work, turn: Turn) -> str:
        out_s = now - self.entered_at.setdefault((turn.number, turn.state), now)
        max_out_s = work.requests[turn.request].limit_s
        if 0 < max_out_s < out_s:
            return f"overdue: out for {out_s:.0f} s of {max_out_s:.0f}"
        return "work done"

    def _not_back(self, now: float, work: Work, turn: Turn, machine: Machine) -> str:
        """Why a returning machine still counts as out, or "".

        It is back once its nodes report and have caught up, a majority lists its servers, and the servers
        have been listed for the slow start's time.
        """
        for node in machine.edges:
            last = self.reports.get(node)
            if last is None or now - last.received_at > 3 * self.timing.renew_s:
                return f"{node} has not reported"
            if last.report.acts_on < turn.changed_at:
                return f"{node} has not caught up"
        recent = [
            latest.report
            for latest in self.reports.values()
            if now - latest.received_at <= 3 * self.timing.renew_s
        ]
        unlisted = Counter(server for report in recent for server in report.off)
        for server in machine.servers:
            if 2 * unlisted[server] >= len(recent):
                self.entered_at.pop((turn.number, turn.state), None)
                return f"{server} is not listed by a majority"
        listed_s = now - self.entered_at.setdefault((turn.number, turn.state), now)
        if machine.servers and listed_s < self.timing.warm_s:
            return f"warm in {self.timing.warm_s - listed_s:.0f} s"
        return ""


def lost_machines(work: Work, dead: Iterable[str], reports: Iterable[Report]) -> frozenset[str]:
    """Machines that are out without a turn: one of their nodes is dead, or a majority misses a server."""
    recent = list(reports)
    unlisted, dead_nodes = Counter(server for report in recent for server in report.off), set(dead)
    return frozenset(
        machine.name
        for machine in work.machines.values()
        if machine.name not in work.turns
        and (
            dead_nodes & set(machine.edges)
            or any(2 * unlisted[server] > len(recent) > 0 for server in machine.servers)
        )
    )
