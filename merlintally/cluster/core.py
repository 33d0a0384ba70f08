"""One node of a cluster as a pure state machine: Raft, membership, work coordination and state copies.

Inputs are method calls (`receive`, `wake`, `synced`, `request`), outputs are collected with `take_results`.
Message names are prefixed by the component that handles them: `r.` Raft, `m.` membership, `w.` work
coordination, `c.` copies.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import msgspec

from merlintally.cluster import MAX_UNHEALTHY_SHARE, agreement, copies, members
from merlintally.cluster.agreement import Config, Entry, PersistentState, Raft, RaftSettings
from merlintally.cluster.agreement.log import CONFIG, DATA, decode_config
from merlintally.cluster.copies import Replicator, Row
from merlintally.cluster.members import Members, SwimSettings
from merlintally.cluster.members.core import DEAD, INCARNATIONS_PER_START, LEFT, STATES, SUSPECT
from merlintally.cluster.work.coordinator import Coordinator, MaintenanceTiming, Report, lost_machines
from merlintally.cluster.work.edge import EdgePermissions
from merlintally.cluster.work.order import FleetView
from merlintally.cluster.work.parts import drawable_share
from merlintally.cluster.work.state import decode_work, entry

MESSAGE_TYPES: dict[str, Any] = {  # message name -> types of its arguments
    **{f"r.{message}": types for message, types in agreement.MESSAGE_TYPES.items()},
    **{f"m.{message}": types for message, types in members.MESSAGE_TYPES.items()},
    **{f"c.{message}": types for message, types in copies.MESSAGE_TYPES.items()},
    "w.renew": tuple[float, Report, bool],  # sent at, report, whether the node has lost its persistent state
    "w.right": tuple[
        float, int, bytes, list[tuple[int, Entry]]
    ],  # sent at (of the renewal), index to reach, snapshot of the work state or b"", entries
    "w.news": tuple[int],  # index of a new committed entry
    "w.elsewhere": tuple[float, str],  # not the leader: sent at (of the renewal), known leader or ""
    "w.ask": tuple[str, str, list[Any]],  # id, verb, arguments
    "w.answer": tuple[str, bool, str],  # id, success, text
}
STREAMED_PREFIXES = (
    "r.",
    "w.",
    "c.",
    "m.state",
)  # prefixes of messages sent over streams; others are datagrams
COMPACT_AFTER_ENTRIES = 500
MAX_RENEWAL_ENTRIES = 200  # log entries in one reply to a renewal
MAX_PENDING_REQUESTS = 1024
COORDINATOR_STEP_S = 0.1  # interval of the coordinator's steps


class NodeIdentity(NamedTuple):
    """Identity of this node: `address` is for streams and datagrams, `start` increases with every start."""

    name: str
    address: str
    start: int


class ClusterSettings(NamedTuple):
    """Settings shared by all nodes of a cluster: initial voters, seed addresses, timing."""

    voters: tuple[str, ...]
    seeds: dict[str, str]
    raft_settings: RaftSettings = RaftSettings()
    swim_settings: SwimSettings = SwimSettings()
    terms: MaintenanceTiming = MaintenanceTiming()
    copies: copies.ReplicationSettings | None = None  # None: state is not copied


@dataclass(slots=True)
class LocalObservations:
    """Local observations, updated before each `wake`."""

    busy_servers: frozenset[str] = frozenset()  # app servers with executions in progress
    idle: bool = True  # whether all accepted submissions were answered
    unlisted_servers: tuple[str, ...] = ()  # app servers that discovery does not list as on
    rates: dict[str, float] = field(default_factory=dict)  # attempts per second, by pool
    requested_shares: dict[str, int] = field(default_factory=dict)  # in thousandths of ceilings, by customer


@dataclass(slots=True)
class Results:
    """Outputs of a node since the last call of `take_results`."""

    persist: list[tuple[Any, ...]] = field(default_factory=list)  # rows for the disk, in order
    number: int = 0  # sequence number of the last row
    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)  # to, message, arguments
    answers: list[tuple[str, bool, str]] = field(default_factory=list)  # to local callers: id, success, text
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)  # for the record and the log
    work_changed: bool = False  # whether the agreed work state has changed
    sums: list[tuple[str, float]] = field(default_factory=list)  # customer, total units drawn by other nodes
    wake_at: float = 0.0


class Cluster:
    """The state machine of one node."""

    def __init__(
        self,
        identity: NodeIdentity,
        settings: ClusterSettings,
        stored: PersistentState,
        random: Random,
        now: float,
        lost_state: bool = False,
        injected_faults: frozenset[str] = frozenset(),
        rows: Iterable[Row] = (),
    ) -> None:
        """`stored` is the persistent state read from disk; `lost_state` marks a node that has lost it.

        `rows` are stored copies, used as hints until they are compared with those of other nodes.
        """
        self.identity, self.settings, self.random, self.now, self.injected_faults = (
            identity,
            settings,
            random,
            now,
            injected_faults,
        )
        self.raft = Raft(
            identity.name,
            stored,
            Config(settings.voters),
            settings.raft_settings,
            Random(random.random()),
            now,
            lost_state,
            injected_faults,
        )
        self.members = Members(
            identity.name,
            identity.address,
            settings.seeds,
            identity.start,
            settings.swim_settings,
            Random(random.random()),
            now,
            injected_faults,
        )
        self.work = decode_work(stored.snapshot.data)
        self.work.index = max(self.work.index, stored.snapshot.included_index)
        self.work.voters = self.work.voters or settings.voters
        self.edge = EdgePermissions(identity.name, identity.start, self.work, injected_faults)
        self.copies: Replicator | None = None
        if settings.copies is not None:
            copies_random = Random(random.random())
            self.copies = Replicator(
                identity.name, identity.start, settings.copies, copies_random, now, rows, injected_faults
            )
            self._update_copies()
        self.local = LocalObservations()
        self.coordinator: Coordinator | None = None
        self.leader_term = 0
        self.proposed: dict[str, int] = {}  # proposal of this leader -> log index
        self.pending_requests: dict[str, tuple[str, float]] = {}  # id -> requesting node ("": local), since
        # Renewals for the next heartbeat round: node, sent at, report, whether it has lost its state.
        self.queued_renewals: list[tuple[str, float, Report, bool]] = []
        self.renewal_rounds: dict[int, list[tuple[str, float, Report, bool]]] = {}
        self.renewal_round = 0
        self.leader_hint = ""  # leader as last reported by another node
        self.renew_at, self.step_at = now, now
        self.renewal_sent_at = 0.0  # send time of the unanswered renewal; 0 if none
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.work_changed = False
        # Voters removed because they lost their state -> their start, and the index of the removal.
        self.removed_voters: dict[str, tuple[int, int]] = {}
        self.term = self.raft.term
        self.results = Results()

    # Public interface.

    def may_take(self, now: float) -> bool:
        return self.edge.may_take(now, self.settings.terms.lease_s)

    def may_send(self, server: str, now: float) -> bool:
        return self.edge.may_send(server, now, self.settings.terms.lease_s)

    def share(self, customer: str, now: float) -> int:
        """This node's current share of a customer's ceiling, in thousandths."""
        edge, terms = self.edge, self.settings.terms
        leased = now < edge.leased_from + terms.lease_s
        known_share = edge.caught_up and not edge.declared_gone
        return drawable_share(
            self.work.parts,
            customer,
            self.identity.name,
            terms.even_share,
            leased,
            known_share,
            self.injected_faults,
        )

    @property
    def leads(self) -> bool:
        """Whether this node leads and has committed an entry of its term, and so all earlier ones."""
        raft = self.raft
        return raft.role == "leader" and raft.log.term_at(raft.commit_index) == raft.term

    def request(self, now: float, request_id: str, verb: str, args: list[Any], requester: str = "") -> None:
        """Handle a request of an operator or of another node.

        It is answered or proposed here, or forwarded to the leader. It may be repeated with the same id and
        is applied once. The answer is put into `answers`, or sent to the forwarding node.
        """
        self.now = now
        if verb == "status":
            if self.leads or requester or not self._known_leader():
                self._answer(request_id, requester, True, json.dumps(self.status(now)))
                return
        elif verb == "machines?":
            self._answer(
                request_id, requester, True, msgspec.json.encode(list(self.work.machines.values())).decode()
            )
            return
        elif verb == "copies?":
            self._answer(request_id, requester, True, json.dumps(self.copies_status(*map(str, args[:2]))))
            return
        elif verb == "starts?":
            member = self.members.known.get(str(args[0]))
            self._answer(
                request_id,
                requester,
                True,
                str(member.incarnation // INCARNATIONS_PER_START if member is not None else 0),
            )
            return
        elif self.raft.role == "leader" and verb == "turn":
            # Linearizable, since people rely on it before they touch a machine.
            self.raft.read(now, (request_id, requester, str(args[0])))
            return
        elif self.raft.role == "leader" and verb in ("learn", "unvote"):
            self._change_voters(request_id, verb, args, requester)
            return
        elif request_id in self.work.taken:
            self._answer(request_id, requester, not self.work.taken[request_id], self.work.taken[request_id])
            return
        elif self.raft.role == "leader":
            if len(self.pending_requests) >= MAX_PENDING_REQUESTS or not self.raft.propose(
                now, entry(request_id, verb, *args)
            ):
                self._answer(request_id, requester, False, "too many pending requests: ask again")
            else:
                self.pending_requests[request_id] = (requester, now)
            return
        leader = self._known_leader()
        if not leader or requester:
            self._answer(
                request_id, requester, False, "no leader: no majority, or election in progress; ask again"
            )
        elif len(self.pending_requests) < MAX_PENDING_REQUESTS:
            self.pending_requests[request_id] = ("", now)
            self.results.sends.append((leader, "w.ask", (request_id, verb, args)))

    def status(self, now: float) -> dict[str, Any]:
        """State of this node as JSON values: turns, the next machine, voters, members, requests."""
        work, active_coordinator = self.work, self.coordinator
        waits = active_coordinator.waits if active_coordinator is not None else {}
        return {
            "node": self.identity.name,
            "start": self.identity.start,
            "leader": self._known_leader(),
            "term": self.raft.term,
            "index": work.index,
            "commit": self.raft.commit_index,
            "leads": self.leads,
            "blank": self.raft.lost_state,
            "caught_up": self.edge.caught_up,
            "lease_left_s": round(self.edge.leased_from + self.settings.terms.lease_s - now, 3),
            "voters": list(self.raft.config.voters),
            "learners": list(self.raft.config.learners),
            "members": {name: STATES[member.state] for name, member in sorted(self.members.known.items())},
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
            "next": active_coordinator.choice.machine if active_coordinator is not None else "",
            "why_not": dict(active_coordinator.choice.reasons) if active_coordinator else {},
            "overdue": active_coordinator.overdue(now, work) if active_coordinator is not None else [],
            "requests": [
                {
                    "id": work_request.id,
                    "by": work_request.by,
                    "reason": work_request.reason,
                    "state": work_request.state,
                    "machines": list(work_request.machines),
                    "done": work_request.done,
                }
                for work_request in work.requests.values()
            ],
            "machines": len(work.machines),
            "gone": work.gone,
            "history": work.history[-20:],
        }

    def copies_status(self, what: str = "status", shard: str = "0") -> dict[str, Any]:
        """Copied state held by this node: `status`, `digests` by shard, `quarantine`, or `rows` of one shard
        (those of all shards may exceed the frame size)."""
        local_copies = self.copies
        if local_copies is None:
            return {"node": self.identity.name, "on": False}
        answer: dict[str, Any] = {"node": self.identity.name, "on": True, "start": self.identity.start}
        if what == "digests":
            answer["digests"] = {
                shard: f"{local_copies.store.digest(shard):016x}" for shard in sorted(local_copies.held)
            }
        elif what == "quarantine":
            answer["quarantine"] = [[origin, *row] for origin, row in local_copies.store.quarantine]
        elif what == "rows":
            answer["rows"] = list(local_copies.store.shard(int(shard))) if shard.isdecimal() else []
        else:
            answer |= {
                "caught_up": local_copies.caught_up,
                "cold": local_copies.cold,
                "rows": len(local_copies.store),
                "shards": len(local_copies.held),
                "unsent": len(local_copies.unsent),
                "unanswered": len(local_copies.unacknowledged),
                "leaving": len(local_copies.leaving),
                "quarantined": len(local_copies.store.quarantine),
                "refused": local_copies.store.refused,
                "members": local_copies.members,
            }
        return answer

    def sees_all_draws(self, now: float) -> bool:
        """Whether the draws of nearly all other nodes reach this node promptly.

        This requires that the node has caught up, holds a valid lease (so it is on the side of a partition
        that has a majority), that the holders of its own rows respond, and that not more than a share of
        MAX_UNHEALTHY_SHARE of the members is suspect or dead. A small share is tolerated: otherwise one dead
        node would send all others to the counter.
        """
        local_copies, known = self.copies, self.members.known.values()
        unhealthy = sum(member.state in (SUSPECT, DEAD) for member in known)
        leased = now < self.edge.leased_from + self.settings.terms.lease_s
        if local_copies is None or not leased or unhealthy > MAX_UNHEALTHY_SHARE * len(known):
            return False
        return local_copies.caught_up and not local_copies.lacks_acknowledgements(now)

    def _update_copies(self) -> None:
        assert self.copies is not None
        zones = {edge: row.zone for row in self.work.machines.values() for edge in row.edges}
        self.copies.set_members(self.now, self.members.alive(), zones)

    def take_results(self) -> Results:
        output, lost_state = self.results, self.raft.lost_state
        raft = self.raft.take_results()
        if lost_state and not self.raft.lost_state:
            self.renew_at = self.now  # tells the leader that this node may vote again
        output.persist, output.number = raft.persist, raft.number
        output.sends += [(to, f"r.{message}", args) for to, message, args in raft.sends]
        if raft.restored is not None:
            self._restore_work(raft.restored.data, raft.restored.included_index)
        for index, log_entry in raft.applied:
            self._apply(index, log_entry)
        for token, index in raft.reads:
            if isinstance(token, int):
                self._round_confirmed(token, index)
            else:
                self._answer(token[0], token[1], True, self._turn_status(token[2]))
        for token in raft.refused:
            if isinstance(token, int):
                for node, sent_at, *_ in self.renewal_rounds.pop(token, []):
                    self._reply(node, "w.elsewhere", (sent_at, ""))
            else:
                self._answer(token[0], token[1], False, "leadership was not confirmed: ask again")
        if self.raft.term != self.term or (self.raft.role == "leader") != (
            self.leader_term == self.raft.term
        ):
            self._role_changed()
        membership = self.members.take_results()
        output.sends += [
            (to, f"m.{message}", args) for to, message, args in membership.sends + membership.streams
        ]
        output.events += [
            ("member", {"who": name, "state": STATES[state]}) for name, state in membership.changed
        ]
        if (
            self.raft.applied_index - self.raft.log.snapshot.included_index >= COMPACT_AFTER_ENTRIES
            and self.work.index == self.raft.applied_index
        ):
            self.raft.compact(self.now, self.work.encode())
        if self.copies is not None:
            if membership.changed or self.work_changed:
                self._update_copies()
            copies_output = self.copies.take_results()
            output.sends += [(to, f"c.{message}", args) for to, message, args in copies_output.sends]
            output.events += [(f"copies {event}", fields) for event, fields in copies_output.events]
            output.sums = copies_output.sums
            copies_wake_at = copies_output.wake_at
        else:
            copies_wake_at = membership.wake_at
        output.events += self.events
        output.work_changed, self.events, self.work_changed = self.work_changed, [], False
        output.wake_at = min(
            raft.wake_at,
            membership.wake_at,
            copies_wake_at,
            self.renew_at,
            self.step_at if self.raft.role == "leader" else raft.wake_at,
        )
        self.results = Results()
        return output

    # Inputs.

    def receive(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        """Handle a message of another node."""
        self.now = now
        part, _, name = call.partition(".")
        if part == "r":
            self.raft.receive(now, sender, name, args)
        elif part == "m":
            self.members.receive(now, sender, name, args)
        elif part == "c":
            if self.copies is not None:
                self.copies.receive(now, sender, name, args)
        else:
            getattr(self, f"_on_{name}")(sender, *args)

    def synced(self, now: float, number: int) -> None:
        """Rows up to sequence number `number` are on disk."""
        self.now = now
        self.raft.synced(now, number)

    def wake(self, now: float) -> None:
        """Handle expired timers; `local` must be up to date."""
        self.now = now
        self.raft.wake(now)
        self.members.wake(now)
        if self.copies is not None:
            self.copies.wake(now)
        if now >= self.renew_at:
            self._send_renewal()
        if self.raft.role == "leader" and now >= self.step_at:
            self.step_at = now + COORDINATOR_STEP_S
            self._run_coordinator()
        for request_id, (requester, since) in list(self.pending_requests.items()):
            if now - since > 10 * self.settings.raft_settings.election_s:
                del self.pending_requests[request_id]
                self._answer(
                    request_id,
                    requester,
                    False,
                    "no answer in time: it may have counted; ask again with its id",
                )

    def leave(self, now: float) -> None:
        """Transfer leadership and announce that this node leaves."""
        self.now = now
        self._transfer_leadership()
        self.members.leave(now)

    def set_can_lead(self, now: float, can_lead: bool) -> None:
        """Set whether this node may lead, which it may not while its disk is full."""
        self.now, self.raft.can_lead = now, can_lead
        if not can_lead:
            self._transfer_leadership()

    # Lease renewals, which also carry log entries to nodes that do not vote.

    def _send_renewal(self) -> None:
        terms = self.settings.terms
        self.renew_at = self.now + terms.renew_s * (0.9 + 0.2 * self.random.random())
        to = self._known_leader()
        if not to or (self.renewal_sent_at and self.now - self.renewal_sent_at > 2 * terms.renew_s):
            to = self.random.choice(self.raft.config.voters or self.settings.voters)
        self.renewal_sent_at = self.renewal_sent_at or self.now
        local = self.local
        report = Report(
            self.identity.start,
            self.work.index,
            self.edge.turns_of(local.busy_servers),
            local.idle,
            local.unlisted_servers,
            local.rates,
            local.requested_shares,
        )
        if to == self.identity.name:
            self._on_renew(to, self.now, report, self.raft.lost_state)
        else:
            self._reply(to, "w.renew", (self.now, report, self.raft.lost_state))

    def _on_renew(self, sender: str, sent_at: float, report: Report, lost_state: bool) -> None:
        if self.raft.role != "leader":
            self._reply(sender, "w.elsewhere", (sent_at, self._known_leader()))
            return
        if lost_state and sender in self.raft.config.all:
            self._remove_lost_voter(sender, report)
        self.queued_renewals.append((sender, sent_at, report, lost_state))
        if len(self.queued_renewals) == 1:  # one heartbeat round serves all renewals queued until then
            self.step_at = min(self.step_at, self.now + 0.005)

    def _remove_lost_voter(self, name: str, report: Report) -> None:
        """Remove a node from the voters whose promises are lost. It is added again once it has caught up.

        The removal is proposed once for each start, and again where the node has applied it and its promises
        still count as lost: it heard of a later commit before, so that the removal was none of its life.
        """
        start, index = self.removed_voters.get(name, (0, 0))
        if start == report.start and report.acts_on < index:
            return
        voters = tuple(voter for voter in self.raft.config.voters if voter != name)
        learners = tuple(sorted({*self.raft.config.learners, name}))
        if self._propose_config(Config(voters, learners)):
            self.removed_voters[name] = (report.start, self.raft.log.last_index)
            self.raft.forget_peer(name)
            self.events.append(("blank", {"who": name, "its_start": report.start}))

    def _begin_round(self) -> None:
        if self.queued_renewals:
            self.renewal_round += 1
            self.renewal_rounds[self.renewal_round], self.queued_renewals = self.queued_renewals, []
            if "an old leader's word renews" in self.injected_faults:
                self._round_confirmed(self.renewal_round, self.raft.commit_index)
            else:
                self.raft.read(self.now, self.renewal_round)

    def _round_confirmed(self, token: int, index: int) -> None:
        """Answer the renewals of a round: this node was still the leader when the round began."""
        for node, sent_at, report, lost_state in self.renewal_rounds.pop(token, []):
            if self.coordinator is not None:
                self.coordinator.renewed(self.now, node, report)
                (self.coordinator.without_log.add if lost_state else self.coordinator.without_log.discard)(
                    node
                )
            state, entries = b"", list[tuple[int, Entry]]()
            if report.acts_on < self.raft.log.snapshot.included_index:
                state = self.work.encode()
            else:
                end = min(self.work.index, report.acts_on + MAX_RENEWAL_ENTRIES)
                entries = [(at, self.raft.log.entry(at)) for at in range(report.acts_on + 1, end + 1)]
            self._reply(node, "w.right", (sent_at, max(index, self.work.index), state, entries))

    def _on_right(
        self, sender: str, sent_at: float, index: int, state: bytes, entries: list[tuple[int, Entry]]
    ) -> None:
        self.leader_hint, self.renewal_sent_at = sender, 0.0
        self.raft.learn_committed(index)
        if state:
            self._restore_work(state, 0)
        for entry_index, log_entry in entries:
            self._apply(entry_index, log_entry)
        self.edge.renewed(sent_at, index, self.now)
        if self.work.index < index:
            self.renew_at = self.now  # more entries follow

    def _on_news(self, sender: str, index: int) -> None:
        """Renew early to fetch a committed entry that a turn may wait for. A random delay spreads the
        renewals of all nodes."""
        if index > self.work.index:
            spread = min(self.settings.terms.renew_s / 2, 0.0005 * len(self.members.known))
            self.renew_at = min(self.renew_at, self.now + spread * self.random.random())

    def _on_elsewhere(self, sender: str, sent_at: float, leader: str) -> None:
        self.leader_hint = leader if leader != self.identity.name else ""
        if leader:
            self.renew_at = min(self.renew_at, self.now + 0.02)
            self.renewal_sent_at = 0.0

    def _reply(self, to: str, call: str, args: tuple[Any, ...]) -> None:
        if to == self.identity.name:
            getattr(self, f"_on_{call[2:]}")(to, *args)
        else:
            self.results.sends.append((to, call, args))

    def _on_ask(self, sender: str, request_id: str, verb: str, args: list[Any]) -> None:
        self.request(self.now, request_id, verb, args, sender)

    def _turn_status(self, machine: str) -> str:
        """The turn of a machine as JSON: number (0: none), state, what it waits for, why it is not next."""
        turn, active_coordinator = self.work.turns.get(machine), self.coordinator
        return json.dumps(
            {
                "machine": machine,
                "known": machine in self.work.machines,
                "number": turn.number if turn else 0,
                "state": turn.state if turn else "",
                "waits": active_coordinator.waits.get(machine, "") if active_coordinator else "",
                "why_not": active_coordinator.choice.reasons.get(machine, "") if active_coordinator else "",
                "asked_for": any(
                    machine in request.machines
                    and machine not in request.done
                    and request.state != "cancelled"
                    for request in self.work.requests.values()
                ),
            }
        )

    def _answer(self, request_id: str, to: str, ok: bool, text: str) -> None:
        if to:
            self.results.sends.append((to, "w.answer", (request_id, ok, text)))
        else:
            self.results.answers.append((request_id, ok, text))

    def _on_answer(self, sender: str, request_id: str, ok: bool, text: str) -> None:
        asked = self.pending_requests.pop(request_id, None)
        if asked is None:
            return
        if self.now - asked[1] > self.settings.terms.lease_s:
            # A stopped process may deliver it late; an outdated answer must not lead people to a machine that
            # is in use.
            ok, text = False, "the answer arrived late and may be outdated: ask again"
        self.results.answers.append((request_id, ok, text))

    # Agreed state.

    def _apply(self, index: int, log_entry: Entry) -> None:
        """Apply an entry from the log or from a reply to a renewal, once and in order."""
        if index != self.work.index + 1:
            return
        if log_entry.kind == DATA:
            request_id, why = self.work.apply(index, log_entry.data, self.injected_faults)
            if (asked := self.pending_requests.get(request_id)) is not None:
                del self.pending_requests[request_id]
                self._answer(request_id, asked[0], not why, why)
            self.events.append(("committed", {"index": index, "void": why, "what": request_id}))
            self.edge.set_work(self.work)
            self.work_changed = True
            if self.coordinator is not None and self.leads:
                for node in self.coordinator.reports:
                    if node != self.identity.name:
                        self.results.sends.append((node, "w.news", (index,)))
        elif log_entry.kind == CONFIG:
            self.work.voters = decode_config(log_entry.data).voters
        self.work.index = index

    def _restore_work(self, data: bytes, min_index: int) -> None:
        restored = decode_work(data)
        restored.index = max(restored.index, min_index)
        restored.voters = restored.voters or self.settings.voters
        if restored.index > self.work.index:
            self.work = restored
            self.edge.set_work(restored)
            self.work_changed = True
            self.events.append(("committed", {"index": restored.index, "void": "", "what": "snapshot"}))

    # Leadership.

    def _role_changed(self) -> None:
        self.term = self.raft.term
        if self.raft.role == "leader":
            self.leader_term = self.raft.term
            self.coordinator = Coordinator(
                self.identity.name, self.settings.terms, self.now, self.injected_faults
            )
            self.proposed, self.removed_voters, self.step_at = {}, {}, self.now
            self.events.append(("leader", {"term": self.raft.term}))
        else:
            self.leader_term, self.coordinator = 0, None
            for node, sent_at, *_ in [
                *self.queued_renewals,
                *(row for rows in self.renewal_rounds.values() for row in rows),
            ]:
                self._reply(node, "w.elsewhere", (sent_at, ""))
            self.queued_renewals, self.renewal_rounds = [], {}

    def _run_coordinator(self) -> None:
        self._begin_round()
        if not self.leads or self.coordinator is None or self.work.index < self.raft.commit_index:
            return
        self._promote_learner()
        commands, transfer_first = self.coordinator.step(self.now, self.work, self._observe_fleet())
        if transfer_first:
            self._transfer_leadership()
            return
        self.proposed = {key: index for key, index in self.proposed.items() if index > self.work.index}
        for verb, *args in commands:
            key = ":".join(map(str, (verb, *args)))
            if key not in self.proposed:
                index = self.raft.propose(
                    self.now, entry(f"{key}:{self.raft.term}:{self.raft.log.last_index}", verb, *args)
                )
                if index:
                    self.proposed[key] = index

    def _observe_fleet(self) -> FleetView:
        assert self.coordinator is not None
        recent = [
            received.report
            for received in self.coordinator.reports.values()
            if self.now - received.received_at < 3 * self.settings.terms.renew_s
        ]
        dead = [
            name
            for name, member in self.members.known.items()
            if member.state in (DEAD, LEFT)
            or not self.members.is_stable(name, self.now)
            and member.state == 0
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
            self.identity.name,
            voters & self.coordinator.without_log,
        )

    def _transfer_leadership(self) -> None:
        """Transfer to the voter that is most up to date, alive, and not on a machine with a turn."""
        busy = self._nodes_in_turn()
        ranked = sorted(
            (name not in busy, self.members.state(name) == 0, peer.match_index, name)
            for name, peer in self.raft.peers.items()
            if name in self.raft.config.voters
        )
        if ranked and not self.raft.transfer_target:
            self.raft.transfer_leadership(self.now, ranked[-1][-1])

    def _change_voters(self, request_id: str, verb: str, args: list[Any], requester: str) -> None:
        """Add a voter as a learner first, or remove one."""
        name, current = str(args[0]), self.raft.config
        if verb == "learn":
            new_config = Config(
                current.voters, tuple(sorted({*current.learners, name} - set(current.voters)))
            )
        else:
            new_config = Config(
                tuple(voter for voter in current.voters if voter != name),
                tuple(learner for learner in current.learners if learner != name),
            )
        if new_config == current:
            self._answer(request_id, requester, True, "")
        elif self._propose_config(new_config):
            self._answer(request_id, requester, True, "begun; see the voters in status")
        else:
            self._answer(
                request_id,
                requester,
                False,
                "another change is under way, or no majority would be left beside the machines that are out; "
                "ask again",
            )

    def _propose_config(self, new_config: Config) -> bool:
        """Begin a change of the configuration; False if it is not possible now.

        Voters are not changed if machines with a turn would then hold half of the votes. Whether a machine
        may be called depends on the voters, so no entry that is not applied yet may precede the change. The
        seeded schedule 4214 had let a voter in while its machine and another one were out.
        """
        work, raft = self.work, self.raft
        changes_voters = (
            new_config.voters != raft.config.voters and "voters are not counted" not in self.injected_faults
        )
        has_unapplied = raft.log.last_index > work.index
        if changes_voters and (has_unapplied or self._loses_majority(new_config)):
            return False
        return raft.change_config(self.now, new_config)

    def _loses_majority(self, new_config: Config) -> bool:
        out = self.work.granted_machines()
        return bool(
            set(new_config.voters) & self._nodes_in_turn()
            and self.work.too_few_voters(out, new_config.voters)
        )

    def _nodes_in_turn(self) -> set[str]:
        """Nodes whose machines have a turn."""
        work = self.work
        return {edge for name in work.turns if name in work.machines for edge in work.machines[name].edges}

    def _promote_learner(self) -> None:
        """Make a learner that has caught up a voter."""
        raft = self.raft
        without_log = self.coordinator.without_log if self.coordinator is not None else set[str]()
        for name in raft.config.learners:
            peer = raft.peers.get(name)
            if (
                peer is not None
                and name not in without_log
                and peer.match_index >= raft.commit_index
                and self.members.state(name) == 0
                and self._propose_config(
                    Config(
                        (*raft.config.voters, name),
                        tuple(learner for learner in raft.config.learners if learner != name),
                    )
                )
            ):
                self.events.append(("voter", {"who": name}))
                return

    def _known_leader(self) -> str:
        return self.raft.leader or self.leader_hint
