"""What the leader does about turns: calls the next machine, grants once all have heard of it, and says that
it is out only when nothing can reach it any more. Leads from reports; all that has to last is in the log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from merlintally.cluster.work.order import Choice, Seen, next_turn
from merlintally.cluster.work.parts import Heard as Lender
from merlintally.cluster.work.parts import next_words
from merlintally.cluster.work.state import CALLED, GRANTED, OUT, Machine, Turn, Work


class Terms(NamedTuple):
    """Times in seconds. A node's right to send lasts `lease_s` by its own clock, from when it asked; the
    leader waits for `lease_s` and twice the share by which clocks may run unlike, from its last answer."""

    lease_s: float = 3.0
    renew_s: float = 0.5
    drift: float = 0.02
    warm_s: float = 15.0
    longest_s: float = 6.0  # for which an execution may be out: the longest hard limit
    even: int = 0  # a node's even part of a ceiling, in thousandths; 0: no parts are lent

    @property
    def silent_s(self) -> float:
        """After which a node that was answered, and not since, has nothing out any more by its right. Guards
        against what was sent in the right's last moment and still runs: a schedule showed it."""
        return self.lease_s * (1 + self.drift) / (1 - self.drift) + self.longest_s


class Report(NamedTuple):
    """What a node tells with each renewal."""

    start: int
    acts_on: int  # the index of the last entry by which it acts
    busy: tuple[int, ...] = ()  # numbers of turns to whose servers something is still out
    idle: bool = False  # whether it has answered all that it took
    off: tuple[str, ...] = ()  # servers on the list that its discovery does not list as on
    rates: dict[str, float] = {}  # executions a second that it sends, by pool
    wants: dict[str, int] = {}  # what it would draw of customers at a ceiling, in thousandths


class Heard:
    """What the leader last heard of a node."""

    __slots__ = ("report", "at")

    def __init__(self, report: Report, at: float) -> None:
        self.report, self.at = report, at


class Coordinator:
    """One leader's time in office. It knows only what it has heard in it, and waits out the rest."""

    def __init__(self, name: str, terms: Terms, now: float, mistakes: frozenset[str] = frozenset()) -> None:
        self.name, self.terms, self.began, self.mistakes = name, terms, now, mistakes
        self.heard: dict[str, Heard] = {}
        self.since: dict[tuple[int, str], float] = {}  # turn and state -> when it was first seen so
        self.choice = Choice()
        self.waits: dict[str, str] = {}  # machine with a turn -> what it waits for
        self.parked: set[str] = set()  # nodes whose own machine is out
        self.blank: set[str] = set()  # nodes that have lost their logs, as they tell themselves

    def renewed(self, now: float, node: str, report: Report) -> None:
        """A node was answered. One that starts anew has none of what its former start had out."""
        had = self.heard.get(node)
        if had is None or report.start >= had.report.start:
            self.heard[node] = Heard(report, now)

    def silent(self, node: str, now: float) -> bool:
        """Whether its right to send has run out for certain, even if another leader answered it last."""
        if "a silent node is clear at once" in self.mistakes:
            return node not in self.heard or now - self.heard[node].at > self.terms.renew_s
        at = self.heard[node].at if node in self.heard else self.began
        return now - max(at, self.began) > self.terms.silent_s

    def step(self, now: float, work: Work, seen: Seen) -> tuple[list[tuple[Any, ...]], bool]:
        """What to propose now, as verb and arguments, and whether leadership is to be handed on first."""
        wanted: list[tuple[Any, ...]] = []
        hand_on = False
        self.waits = {}
        self.parked = {
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
                waits = self._unheard(now, work, turn, machine) or self._voteless(work, machine, seen)
                if not waits and self.name in machine.edges:
                    hand_on, waits = True, "leadership is handed on first"
                if not waits or "a grant before the call is heard" in self.mistakes:
                    wanted.append(("grant", turn.number, turn.machine))
            elif turn.state == GRANTED:
                waits = self._unclear(now, work, turn, machine)
                if not waits or "out before all are clear" in self.mistakes:
                    wanted.append(("out", turn.number, turn.machine))
            elif turn.state == OUT:
                waits = self._at_work(now, work, turn)
            else:
                waits = self._not_back(now, work, turn, machine)
                if not waits or "returning does not count" in self.mistakes:
                    wanted.append(("back", turn.number, turn.machine))
            self.waits[turn.machine] = waits
        self.choice = next_turn(work, seen)
        if self.choice.machine:
            wanted.append(("call", work.number + 1, self.choice.machine, self.choice.request))
        if self.terms.even:
            wanted += next_words(work.parts, self._lenders(now, work), self.terms.even, self.mistakes)
        held = {(turn.number, turn.state) for turn in work.turns.values()}
        self.since = {key: at for key, at in self.since.items() if key in held}
        return wanted, hand_on

    def _lenders(self, now: float, work: Work) -> dict[str, Lender]:
        """Nodes as the loans see them; also those of which this leader has not heard, which may have a lease
        of the former one's."""
        found = {
            node: Lender(one.report.acts_on, self.silent(node, now), one.report.wants)
            for node, one in self.heard.items()
        }
        for loan in work.parts.loans.values():
            for node in (loan.lender, loan.borrower):
                found.setdefault(node, Lender(-1, self.silent(node, now), {}))
        return found

    def overdue(self, now: float, work: Work) -> list[str]:
        """Machines that are out for longer than their request allows."""
        return [
            turn.machine
            for turn in work.turns.values()
            if turn.state == OUT
            and 0 < work.requests[turn.request].limit_s < now - self.since.get((turn.number, OUT), now)
        ]

    def _nodes(self, work: Work) -> Iterable[str]:
        return sorted(work.edges() | set(self.heard))

    def _gone(self, work: Work, node: str, machine: Machine) -> bool:
        """Whether a node sends nothing to the machine: a person says that it is no more, or its own machine
        is out. Then it has nothing out, and takes nothing before it has heard that its turn is over, and so
        of all that was agreed before. Guards against turns that wait for a node which is switched off: work
        on 50 machines took 1.28 of the least possible time."""
        heard = self.heard.get(node)
        if node in self.parked and not machine.refuge:
            return True
        return node in work.gone and (heard is None or heard.report.start <= work.gone[node])

    def _unheard(self, now: float, work: Work, turn: Turn, machine: Machine) -> str:
        """Who may be alive and does not know yet that the machine is called: it would send there for ever."""
        refuge, listed = any(one.refuge for one in work.machines.values()), work.edges()
        for node in self._nodes(work):
            heard = self.heard.get(node)
            if (
                heard is not None
                and heard.report.acts_on >= turn.called_at
                or self._gone(work, node, machine)
            ):
                continue
            if heard is not None and node not in listed and heard.report.acts_on >= work.listed_at:
                continue  # it knows that it is not on the list, and sends nothing
            if refuge and not machine.refuge and self.silent(node, now):
                continue
            return f"{node} has not heard of the call"
        return ""

    def _voteless(self, work: Work, machine: Machine, seen: Seen) -> str:
        """A voter that was lost since the call counts, too."""
        if not seen.voters & set(machine.edges) or "voters are not counted" in self.mistakes:
            return ""
        return work.too_few_voters(work.beyond_call() | seen.lost | {machine.name}, seen.voters, seen.blank)

    def _unclear(self, now: float, work: Work, turn: Turn, machine: Machine) -> str:
        """Who may still send to the machine, or has not answered what it took."""
        for node in self._nodes(work):
            heard = self.heard.get(node)
            if self._gone(work, node, machine) or self.silent(node, now):
                continue
            if heard is None:
                return f"{node} is not heard of"
            if heard.report.acts_on < turn.changed_at:
                return f"{node} has not heard of the grant"
            if turn.number in heard.report.busy:
                return f"{node} still waits for answers of it"
            if node in machine.edges and not heard.report.idle:
                return f"{node} has not answered all it took"
        return ""

    def _at_work(self, now: float, work: Work, turn: Turn) -> str:
        out = now - self.since.setdefault((turn.number, turn.state), now)
        limit = work.requests[turn.request].limit_s
        if 0 < limit < out:
            return f"overdue: out for {out:.0f} s of {limit:.0f}"
        return "work done"

    def _not_back(self, now: float, work: Work, turn: Turn, machine: Machine) -> str:
        """Out until it is proven back: heard, caught up, listed by a majority, and warm."""
        for node in machine.edges:
            heard = self.heard.get(node)
            if heard is None or now - heard.at > 3 * self.terms.renew_s:
                return f"{node} is not heard of"
            if heard.report.acts_on < turn.changed_at:
                return f"{node} has not caught up"
        live = [one.report for one in self.heard.values() if now - one.at <= 3 * self.terms.renew_s]
        off = Counter(server for report in live for server in report.off)
        for server in machine.servers:
            if 2 * off[server] >= len(live):
                self.since.pop((turn.number, turn.state), None)
                return f"{server} is not listed by a majority"
        warm = now - self.since.setdefault((turn.number, turn.state), now)
        if machine.servers and warm < self.terms.warm_s:
            return f"warm in {self.terms.warm_s - warm:.0f} s"
        return ""


def lost(work: Work, dead: Iterable[str], reports: Iterable[Report]) -> frozenset[str]:
    """Machines without a turn that are out all the same: one of their nodes is dead, or a server is listed by
    no majority."""
    live = list(reports)
    off, down = Counter(server for report in live for server in report.off), set(dead)
    return frozenset(
        one.name
        for one in work.machines.values()
        if one.name not in work.turns
        and (down & set(one.edges) or any(2 * off[server] > len(live) > 0 for server in one.servers))
    )
