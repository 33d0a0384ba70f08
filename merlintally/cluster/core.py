"""One node of a cluster, without input or output: agreement, members, the order of work and copies together.

Events in (`hear`, `wake`, `synced`, `ask`), results out (`take_results`), as with each of its parts. Messages
bear the part's letter before the call's name: `r.` agreement, `m.` members, `w.` work, `c.` copies.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import msgspec

from merlintally.cluster import UNWELL, agreement, copies, members
from merlintally.cluster.agreement import Config, Entry, Kept, Pace, Raft
from merlintally.cluster.agreement.log import CONFIG, DATA, config_of
from merlintally.cluster.copies import Replicator, Row
from merlintally.cluster.members import Members, Rhythm
from merlintally.cluster.members.core import DEAD, LEFT, START, STATES, SUSPECT
from merlintally.cluster.work.coordinator import Coordinator, MaintenanceTiming, Report, lost_machines
from merlintally.cluster.work.edge import EdgePermissions
from merlintally.cluster.work.order import FleetView
from merlintally.cluster.work.parts import drawable_share
from merlintally.cluster.work.state import decode_work, entry

FORMS: dict[str, Any] = {
    **{f"r.{call}": form for call, form in agreement.FORMS.items()},
    **{f"m.{call}": form for call, form in members.FORMS.items()},
    **{f"c.{call}": form for call, form in copies.MESSAGE_TYPES.items()},
    "w.renew": tuple[float, Report, bool],  # when it was asked, what the node tells, whether it is blank
    "w.right": tuple[
        float, int, bytes, list[tuple[int, Entry]]
    ],  # asked when, by which index, state, entries
    "w.news": tuple[int],  # there are entries up to this index
    "w.elsewhere": tuple[float, str],  # asked when, who leads ("": nobody that is known)
    "w.ask": tuple[str, str, list[Any]],  # id, verb, arguments
    "w.answer": tuple[str, bool, str],  # id, whether, text
}
STREAMED = ("r.", "w.", "c.", "m.state")  # over a stream; all else is a datagram
COMPACT_AFTER, MOST_ENTRIES, MOST_WAITING = 500, 200, 1024
STEP_S = 0.1


class Me(NamedTuple):
    """Who this is: `address` for streams and datagrams, `start` one higher at each start."""

    name: str
    address: str
    start: int


class Plan(NamedTuple):
    """What all nodes of a cluster are told alike: who voted first, whom to look for, and the times."""

    voters: tuple[str, ...]
    seeds: dict[str, str]
    pace: Pace = Pace()
    rhythm: Rhythm = Rhythm()
    terms: MaintenanceTiming = MaintenanceTiming()
    copies: copies.ReplicationSettings | None = None  # None: no state is copied


@dataclass(slots=True)
class Local:
    """What the node itself sees, told before each wake: servers to which something is out, whether it has
    answered all it took, servers that discovery does not list as on, attempts a second by pool."""

    busy: frozenset[str] = frozenset()
    idle: bool = True
    off: tuple[str, ...] = ()
    rates: dict[str, float] = field(default_factory=dict)
    wants: dict[str, int] = field(default_factory=dict)  # thousandths of ceilings, by customer


@dataclass(slots=True)
class Results:
    persist: list[tuple[Any, ...]] = field(default_factory=list)
    number: int = 0
    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)
    answers: list[tuple[str, bool, str]] = field(default_factory=list)  # to callers of `ask` here
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)  # for the record and the log
    changed: bool = False  # what is agreed about machines has changed
    sums: list[tuple[str, float]] = field(default_factory=list)  # customer, units that others drew by now
    wake_at: float = 0.0


class Cluster:
    """One node. `kept` is what its disk holds; `blank` says that it has lost what it had promised."""

    def __init__(
        self,
        me: Me,
        plan: Plan,
        kept: Kept,
        random: Random,
        now: float,
        blank: bool = False,
        mistakes: frozenset[str] = frozenset(),
        rows: Iterable[Row] = (),
    ) -> None:
        """`rows`: copies that its folder has, a head start and no authority."""
        self.me, self.plan, self.random, self.now, self.mistakes = me, plan, random, now, mistakes
        self.raft = Raft(
            me.name, kept, Config(plan.voters), plan.pace, Random(random.random()), now, blank, mistakes
        )
        self.members = Members(
            me.name, me.address, plan.seeds, me.start, plan.rhythm, Random(random.random()), now, mistakes
        )
        self.work = decode_work(kept.snapshot.data)
        self.work.index = max(self.work.index, kept.snapshot.upto)
        self.work.voters = self.work.voters or plan.voters
        self.edge = EdgePermissions(me.name, me.start, self.work, mistakes)
        self.copies: Replicator | None = None
        if plan.copies is not None:
            chance = Random(random.random())
            self.copies = Replicator(me.name, me.start, plan.copies, chance, now, rows, mistakes)
            self._follow_copies()
        self.local = Local()
        self.coordinator: Coordinator | None = None
        self.led_term = 0
        self.proposed: dict[str, int] = {}  # what this leader has proposed -> index
        self.asked: dict[
            str, tuple[str, float]
        ] = {}  # id of an entry that waits -> who asked ("": here), since
        # that wait for the next round: who, asked when, what it tells, whether it is blank
        self.renewals: list[tuple[str, float, Report, bool]] = []
        self.rounds: dict[int, list[tuple[str, float, Report, bool]]] = {}
        self.round = 0
        self.guess = ""  # who leads, as far as this node has been told
        self.renew_at, self.step_at = now, now
        self.asked_at = 0.0  # of the renewal that is out
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.changed = False
        self.forgotten: dict[str, int] = {}  # blank voters -> their starts
        self.term = self.raft.term
        self.out = Results()

    # What others ask of it.

    def may_take(self, now: float) -> bool:
        return self.edge.may_take(now, self.plan.terms.lease_s)

    def may_send(self, server: str, now: float) -> bool:
        return self.edge.may_send(server, now, self.plan.terms.lease_s)

    def share(self, customer: str, now: float) -> int:
        """What this node may draw of a customer's ceiling now, in thousandths."""
        edge, terms = self.edge, self.plan.terms
        leased = now < edge.leased_from + terms.lease_s
        knows = edge.caught_up and not edge.declared_gone
        return drawable_share(
            self.work.parts, customer, self.me.name, terms.even_share, leased, knows, self.mistakes
        )

    @property
    def leads(self) -> bool:
        """Whether it leads and knows all that was committed before it did."""
        raft = self.raft
        return raft.role == "leader" and raft.log.term_at(raft.commit) == raft.term

    def ask(self, now: float, id_: str, verb: str, args: list[Any], asker: str = "") -> None:
        """A call of an operator's or a node's: proposed here, or handed to who leads. It may be made again
        with the same id; it counts once. The answer comes in `answers`, or goes to the node that handed it
        on."""
        self.now = now
        if verb == "status":
            if self.leads or asker or not self._leader():
                self._answer(id_, asker, True, json.dumps(self.status(now)))
                return
        elif verb == "machines?":
            self._answer(id_, asker, True, msgspec.json.encode(list(self.work.machines.values())).decode())
            return
        elif verb == "copies?":
            self._answer(id_, asker, True, json.dumps(self.copied(*map(str, args[:2]))))
            return
        elif verb == "starts?":
            one = self.members.known.get(str(args[0]))
            self._answer(id_, asker, True, str(one.incarnation // START if one is not None else 0))
            return
        elif self.raft.role == "leader" and verb == "turn":
            # guards against people who touch a machine since a node that is behind still holds it to be out
            self.raft.read(now, (id_, asker, str(args[0])))
            return
        elif self.raft.role == "leader" and verb in ("learn", "unvote"):
            self._vote(id_, verb, args, asker)
            return
        elif id_ in self.work.taken:
            self._answer(id_, asker, not self.work.taken[id_], self.work.taken[id_])
            return
        elif self.raft.role == "leader":
            if len(self.asked) >= MOST_WAITING or not self.raft.propose(now, entry(id_, verb, *args)):
                self._answer(id_, asker, False, "busy: ask again")
            else:
                self.asked[id_] = (asker, now)
            return
        leader = self._leader()
        if not leader or asker:
            self._answer(id_, asker, False, "nobody leads: no majority, or not yet; ask again")
        elif len(self.asked) < MOST_WAITING:
            self.asked[id_] = ("", now)
            self.out.sends.append((leader, "w.ask", (id_, verb, args)))

    def status(self, now: float) -> dict[str, Any]:
        """What this node knows: of turns, who is next and why not now, voters and members."""
        work, led = self.work, self.coordinator
        waits = led.waits if led is not None else {}
        return {
            "node": self.me.name,
            "start": self.me.start,
            "leader": self._leader(),
            "term": self.raft.term,
            "index": work.index,
            "commit": self.raft.commit,
            "leads": self.leads,
            "blank": self.raft.blank,
            "caught_up": self.edge.caught_up,
            "lease_left_s": round(self.edge.leased_from + self.plan.terms.lease_s - now, 3),
            "voters": list(self.raft.config.voters),
            "learners": list(self.raft.config.learners),
            "members": {name: STATES[one.state] for name, one in sorted(self.members.known.items())},
            "turns": [
                {
                    "machine": turn.machine,
                    "number": turn.number,
                    "state": turn.state,
                    "request": turn.request,
                    "waits": waits.get(turn.machine, ""),
                }
                for turn in work.turns.values()
            ],
            "next": led.choice.machine if led is not None else "",
            "why_not": dict(led.choice.reasons) if led else {},
            "overdue": led.overdue(now, work) if led is not None else [],
            "requests": [
                {
                    "id": one.id,
                    "by": one.by,
                    "reason": one.reason,
                    "state": one.state,
                    "machines": list(one.machines),
                    "done": one.done,
                }
                for one in work.requests.values()
            ],
            "machines": len(work.machines),
            "gone": work.gone,
            "history": work.history[-20:],
        }

    def copied(self, what: str = "status", shard: str = "0") -> dict[str, Any]:
        """What this node holds of state in copies: `status`, `digests` by shard, `quarantine`, or `rows` of
        one shard, for all would not fit into a frame."""
        one = self.copies
        if one is None:
            return {"node": self.me.name, "on": False}
        found: dict[str, Any] = {"node": self.me.name, "on": True, "start": self.me.start}
        if what == "digests":
            found["digests"] = {shard: f"{one.store.digest(shard):016x}" for shard in sorted(one.held)}
        elif what == "quarantine":
            found["quarantine"] = [[origin, *row] for origin, row in one.store.quarantine]
        elif what == "rows":
            found["rows"] = list(one.store.shard(int(shard))) if shard.isdecimal() else []
        else:
            found |= {
                "caught_up": one.caught_up,
                "cold": one.cold,
                "rows": len(one.store),
                "shards": len(one.held),
                "unsent": len(one.unsent),
                "unanswered": len(one.unacknowledged),
                "leaving": len(one.leaving),
                "quarantined": len(one.store.quarantine),
                "refused": one.store.refused,
                "members": one.members,
            }
        return found

    def hears_all(self, now: float) -> bool:
        """Whether nearly all that others draw is known here soon: this node has caught up, is of the side
        that a leader with a majority answers, the holders of its own rows answer, and of the members no more
        than UNWELL are suspected or dead (of few, none). Guards against one dead node of hundreds that has
        all of them go by the counter, and against two sides that each count as hearing all."""
        one, known = self.copies, self.members.known.values()
        unwell = sum(member.state in (SUSPECT, DEAD) for member in known)
        leased = now < self.edge.leased_from + self.plan.terms.lease_s
        if one is None or not leased or unwell > UNWELL * len(known):
            return False
        return one.caught_up and not one.lacks_acknowledgements(now)

    def _follow_copies(self) -> None:
        assert self.copies is not None
        zones = {edge: row.zone for row in self.work.machines.values() for edge in row.edges}
        self.copies.set_members(self.now, self.members.alive(), zones)

    def take_results(self) -> Results:
        found = self.out
        raft = self.raft.take_results()
        found.persist, found.number = raft.persist, raft.number
        found.sends += [(to, f"r.{call}", args) for to, call, args in raft.sends]
        if raft.restored is not None:
            self._restore(raft.restored.data, raft.restored.upto)
        for index, one in raft.applied:
            self._apply(index, one)
        for token, index in raft.reads:
            if isinstance(token, int):
                self._confirmed(token, index)
            else:
                self._answer(token[0], token[1], True, self._turn(token[2]))
        for token in raft.refused:
            if isinstance(token, int):
                for node, sent, *_ in self.rounds.pop(token, []):
                    self._reply(node, "w.elsewhere", (sent, ""))
            else:
                self._answer(token[0], token[1], False, "nobody leads for certain: ask again")
        if self.raft.term != self.term or (self.raft.role == "leader") != (self.led_term == self.raft.term):
            self._office()
        told = self.members.take_results()
        found.sends += [(to, f"m.{call}", args) for to, call, args in told.sends + told.streams]
        found.events += [("member", {"who": name, "state": STATES[state]}) for name, state in told.changed]
        if (
            self.raft.applied - self.raft.log.snapshot.upto >= COMPACT_AFTER
            and self.work.index == self.raft.applied
        ):
            self.raft.compact(self.now, self.work.encode())
        if self.copies is not None:
            if told.changed or self.changed:
                self._follow_copies()
            copied = self.copies.take_results()
            found.sends += [(to, f"c.{call}", args) for to, call, args in copied.sends]
            found.events += [(f"copies {event}", fields) for event, fields in copied.events]
            found.sums = copied.sums
            wake_copies = copied.wake_at
        else:
            wake_copies = told.wake_at
        found.events += self.events
        found.changed, self.events, self.changed = self.changed, [], False
        found.wake_at = min(
            raft.wake_at,
            told.wake_at,
            wake_copies,
            self.renew_at,
            self.step_at if self.raft.role == "leader" else raft.wake_at,
        )
        self.out = Results()
        return found

    # Events.

    def hear(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        self.now = now
        part, _, name = call.partition(".")
        if part == "r":
            self.raft.hear(now, sender, name, args)
        elif part == "m":
            self.members.hear(now, sender, name, args)
        elif part == "c":
            if self.copies is not None:
                self.copies.receive(now, sender, name, args)
        else:
            getattr(self, f"_on_{name}")(sender, *args)

    def synced(self, now: float, number: int) -> None:
        self.now = now
        self.raft.synced(now, number)

    def wake(self, now: float) -> None:
        """Time has passed; `local` has been told anew."""
        self.now = now
        self.raft.wake(now)
        self.members.wake(now)
        if self.copies is not None:
            self.copies.wake(now)
        if now >= self.renew_at:
            self._renew()
        if self.raft.role == "leader" and now >= self.step_at:
            self.step_at = now + STEP_S
            self._lead()
        for id_, (asker, since) in list(self.asked.items()):
            if now - since > 10 * self.plan.pace.election_s:
                del self.asked[id_]
                self._answer(
                    id_, asker, False, "no answer in time: it may have counted; ask again with its id"
                )

    def leave(self, now: float) -> None:
        """Hand leadership on, and say that it goes."""
        self.now = now
        self._hand_on()
        self.members.leave(now)

    def step_back(self, now: float, able: bool) -> None:
        """Its disk is full (or has room again): it does not lead while it can't write."""
        self.now, self.raft.able = now, able
        if not able:
            self._hand_on()

    # Renewals: a node's right, and what it has to know.

    def _renew(self) -> None:
        terms = self.plan.terms
        self.renew_at = self.now + terms.renew_s * (0.9 + 0.2 * self.random.random())
        to = self._leader()
        if not to or (self.asked_at and self.now - self.asked_at > 2 * terms.renew_s):
            to = self.random.choice(self.raft.config.voters or self.plan.voters)
        self.asked_at = self.asked_at or self.now
        local = self.local
        report = Report(
            self.me.start,
            self.work.index,
            self.edge.turns_of(local.busy),
            local.idle,
            local.off,
            local.rates,
            local.wants,
        )
        if to == self.me.name:
            self._on_renew(to, self.now, report, self.raft.blank)
        else:
            self._reply(to, "w.renew", (self.now, report, self.raft.blank))

    def _on_renew(self, sender: str, sent: float, report: Report, blank: bool) -> None:
        if self.raft.role != "leader":
            self._reply(sender, "w.elsewhere", (sent, self._leader()))
            return
        if blank and sender in self.raft.config.voters and self.forgotten.get(sender) != report.start:
            # it has lost what it promised: out of the voters, and in again once it has all of it
            voters = tuple(name for name in self.raft.config.voters if name != sender)
            if self._change(Config(voters, (*self.raft.config.learners, sender))):
                self.forgotten[sender] = report.start
                self.raft.forget(sender)
                self.events.append(("blank", {"who": sender, "its_start": report.start}))
        self.renewals.append((sender, sent, report, blank))
        if len(self.renewals) == 1:  # one round serves all that come until it is begun
            self.step_at = min(self.step_at, self.now + 0.005)

    def _begin_round(self) -> None:
        if self.renewals:
            self.round += 1
            self.rounds[self.round], self.renewals = self.renewals, []
            if "an old leader's word renews" in self.mistakes:
                self._confirmed(self.round, self.raft.commit)
            else:
                self.raft.read(self.now, self.round)

    def _confirmed(self, token: int, index: int) -> None:
        """This was the leader still when the round began: those who had asked before it are answered."""
        for node, sent, report, blank in self.rounds.pop(token, []):
            if self.coordinator is not None:
                self.coordinator.renewed(self.now, node, report)
                (self.coordinator.without_log.add if blank else self.coordinator.without_log.discard)(node)
            state, entries = b"", list[tuple[int, Entry]]()
            if report.acts_on < self.raft.log.snapshot.upto:
                state = self.work.encode()
            else:
                upto = min(self.work.index, report.acts_on + MOST_ENTRIES)
                entries = [(at, self.raft.log.entry(at)) for at in range(report.acts_on + 1, upto + 1)]
            self._reply(node, "w.right", (sent, max(index, self.work.index), state, entries))

    def _on_right(
        self, sender: str, sent: float, index: int, state: bytes, entries: list[tuple[int, Entry]]
    ) -> None:
        self.guess, self.asked_at = sender, 0.0
        if state:
            self._restore(state, 0)
        for at, one in entries:
            self._apply(at, one)
        self.edge.renewed(sent, index, self.now)
        if self.work.index < index:
            self.renew_at = self.now  # there is more

    def _on_news(self, sender: str, index: int) -> None:
        """A turn waits for nodes to hear of it: they ask at once, spread a little, and not at their next
        renewal."""
        if index > self.work.index:
            spread = min(self.plan.terms.renew_s / 2, 0.0005 * len(self.members.known))
            self.renew_at = min(self.renew_at, self.now + spread * self.random.random())

    def _on_elsewhere(self, sender: str, sent: float, leader: str) -> None:
        self.guess = leader if leader != self.me.name else ""
        if leader:
            self.renew_at = min(self.renew_at, self.now + 0.02)
            self.asked_at = 0.0

    def _reply(self, to: str, call: str, args: tuple[Any, ...]) -> None:
        if to == self.me.name:
            getattr(self, f"_on_{call[2:]}")(to, *args)
        else:
            self.out.sends.append((to, call, args))

    def _on_ask(self, sender: str, id_: str, verb: str, args: list[Any]) -> None:
        self.ask(self.now, id_, verb, args, sender)

    def _turn(self, machine: str) -> str:
        """The turn of a machine as JSON: number (0: none), state, what it waits for, why it is not its
        turn."""
        turn, led = self.work.turns.get(machine), self.coordinator
        return json.dumps(
            {
                "machine": machine,
                "known": machine in self.work.machines,
                "number": turn.number if turn else 0,
                "state": turn.state if turn else "",
                "waits": led.waits.get(machine, "") if led else "",
                "why_not": led.choice.reasons.get(machine, "") if led else "",
                "asked_for": any(
                    machine in one.machines and machine not in one.done and one.state != "cancelled"
                    for one in self.work.requests.values()
                ),
            }
        )

    def _answer(self, id_: str, to: str, ok: bool, text: str) -> None:
        if to:
            self.out.sends.append((to, "w.answer", (id_, ok, text)))
        else:
            self.out.answers.append((id_, ok, text))

    def _on_answer(self, sender: str, id_: str, ok: bool, text: str) -> None:
        asked = self.asked.pop(id_, None)
        if asked is None:
            return
        if self.now - asked[1] > self.plan.terms.lease_s:
            # guards against people who touch a machine by an answer that a stopped process hands on
            ok, text = False, "the answer came late, and may be old: ask again"
        self.out.answers.append((id_, ok, text))

    # What is agreed.

    def _apply(self, index: int, one: Entry) -> None:
        """Entries come from the log of a voter and with renewals: each counts once, in its order."""
        if index != self.work.index + 1:
            return
        if one.kind == DATA:
            id_, why = self.work.apply(index, one.data, self.mistakes)
            if (asked := self.asked.get(id_)) is not None:
                del self.asked[id_]
                self._answer(id_, asked[0], not why, why)
            self.events.append(("committed", {"index": index, "void": why, "what": id_}))
            self.edge.set_work(self.work)
            self.changed = True
            if self.coordinator is not None and self.leads:
                for node in self.coordinator.reports:
                    if node != self.me.name:
                        self.out.sends.append((node, "w.news", (index,)))
        elif one.kind == CONFIG:
            self.work.voters = config_of(one.data).voters
        self.work.index = index

    def _restore(self, data: bytes, upto: int) -> None:
        found = decode_work(data)
        found.index = max(found.index, upto)
        found.voters = found.voters or self.plan.voters
        if found.index > self.work.index:
            self.work = found
            self.edge.set_work(found)
            self.changed = True
            self.events.append(("committed", {"index": found.index, "void": "", "what": "snapshot"}))

    # Leading.

    def _office(self) -> None:
        self.term = self.raft.term
        if self.raft.role == "leader":
            self.led_term = self.raft.term
            self.coordinator = Coordinator(self.me.name, self.plan.terms, self.now, self.mistakes)
            self.proposed, self.forgotten, self.step_at = {}, {}, self.now
            self.events.append(("leader", {"term": self.raft.term}))
        else:
            self.led_term, self.coordinator = 0, None
            for node, sent, *_ in [*self.renewals, *(row for rows in self.rounds.values() for row in rows)]:
                self._reply(node, "w.elsewhere", (sent, ""))
            self.renewals, self.rounds = [], {}

    def _lead(self) -> None:
        self._begin_round()
        if not self.leads or self.coordinator is None or self.work.index < self.raft.commit:
            return
        self._promote()
        wanted, hand_on = self.coordinator.step(self.now, self.work, self._seen())
        if hand_on:
            self._hand_on()
            return
        self.proposed = {key: index for key, index in self.proposed.items() if index > self.work.index}
        for verb, *args in wanted:
            key = ":".join(map(str, (verb, *args)))
            if key not in self.proposed:
                index = self.raft.propose(
                    self.now, entry(f"{key}:{self.raft.term}:{self.raft.log.last}", verb, *args)
                )
                if index:
                    self.proposed[key] = index

    def _seen(self) -> FleetView:
        assert self.coordinator is not None
        recent = [
            one.report
            for one in self.coordinator.reports.values()
            if self.now - one.received_at < 3 * self.plan.terms.renew_s
        ]
        dead = [
            name
            for name, one in self.members.known.items()
            if one.state in (DEAD, LEFT) or not self.members.steady(name, self.now) and one.state == 0
        ]
        rates: dict[str, float] = {}
        for report in recent:
            for pool, rate in report.rates.items():
                rates[pool] = rates.get(pool, 0.0) + rate
        voters = frozenset(self.raft.config.voters)
        return FleetView(
            lost_machines(self.work, dead, recent),
            rates,
            voters,
            self.me.name,
            voters & self.coordinator.without_log,
        )

    def _hand_on(self) -> None:
        """To whoever is furthest, is there, and is not on a machine that has its turn."""
        busy = self._busy()
        ranked = sorted(
            (name not in busy, self.members.state(name) == 0, peer.match, name)
            for name, peer in self.raft.peers.items()
            if name in self.raft.config.voters
        )
        if ranked and not self.raft.successor:
            self.raft.transfer(self.now, ranked[-1][-1])

    def _vote(self, id_: str, verb: str, args: list[Any], asker: str) -> None:
        """Voters change one at a time: one that is to vote learns first."""
        name, now = str(args[0]), self.raft.config
        if verb == "learn":
            wanted = Config(now.voters, tuple(sorted({*now.learners, name} - set(now.voters))))
        else:
            wanted = Config(
                tuple(one for one in now.voters if one != name),
                tuple(one for one in now.learners if one != name),
            )
        if wanted == now:
            self._answer(id_, asker, True, "")
        elif self._change(wanted):
            self._answer(id_, asker, True, "begun; see the voters in status")
        else:
            self._answer(
                id_,
                asker,
                False,
                "another change is under way, or no majority would be left beside the machines that are out; "
                "ask again",
            )

    def _change(self, wanted: Config) -> bool:
        """Whether the change of voters was begun. Guards against one that makes those out half of the voters:
        schedule 4214 let a voter in while its machine and another were out. Calls check who votes by the
        entries before them, so none may be under way."""
        work, raft = self.work, self.raft
        votes_change = wanted.voters != raft.config.voters and "voters are not counted" not in self.mistakes
        under_way = raft.log.last > work.index
        if votes_change and (under_way or self._too_few(wanted)):
            return False
        return raft.change(self.now, wanted)

    def _too_few(self, wanted: Config) -> bool:
        out = self.work.granted_machines()
        return bool(set(wanted.voters) & self._busy() and self.work.too_few_voters(out, wanted.voters))

    def _busy(self) -> set[str]:
        """Nodes whose machines have a turn."""
        work = self.work
        return {edge for name in work.turns if name in work.machines for edge in work.machines[name].edges}

    def _promote(self) -> None:
        """A learner that has all there is votes from now on."""
        raft = self.raft
        for name in raft.config.learners:
            peer = raft.peers.get(name)
            if (
                peer is not None
                and peer.match >= raft.commit
                and self.members.state(name) == 0
                and self._change(
                    Config(
                        (*raft.config.voters, name), tuple(one for one in raft.config.learners if one != name)
                    )
                )
            ):
                self.events.append(("voter", {"who": name}))
                return

    def _leader(self) -> str:
        return self.raft.leader or self.guess
