"""SWIM membership with the Lifeguard extensions, as a pure state machine.

Each node probes one other node per period, first directly and then through others. A node that does not
answer becomes suspect, and dead unless it refutes the suspicion before the suspicion timeout. Updates are
piggybacked on the probes. A node that responds slowly itself (it misses acks, or is suspected) raises its
`local_health` score, which lengthens its probe period and timeouts. Messages are handled by `receive`; their
types are in `MESSAGE_TYPES`. Outputs are collected with `take_results`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, log, log10
from random import Random
from typing import Any, NamedTuple

# Member states; of two updates with the same incarnation the higher state wins.
ALIVE = 0
SUSPECT = 1
DEAD = 2
LEFT = 3
STATES = ("alive", "suspect", "dead", "left")
INCARNATIONS_PER_START = 1 << 20  # incarnations reserved for each start of a node
Update = tuple[str, int, int, str, str]  # name, state, incarnation, address, node that suspects it or ""

MESSAGE_TYPES: dict[str, Any] = {  # message name -> types of its arguments
    "ping": tuple[int, str, list[Update]],  # sequence number, target, updates
    "ask": tuple[int, str, list[Update]],  # indirect probe: sequence number, target, updates
    "ack": tuple[int, list[Update]],  # sequence number, updates
    "gossip": tuple[list[Update]],  # updates
    "nack": tuple[int, list[Update]],  # the relay has no ack yet: sequence number, updates
    "state": tuple[bool, list[Update]],  # full state exchange: whether a reply is wanted, all members
}

INJECTED_FAULTS = (  # faults that tests inject by name
    "old news taken",
    "dead returns by the same incarnation",
    "suspicion is not refuted",
    "no indirect probe",
    "left counts as dead",
    "a start forgets its incarnation",
    "suspicion never ends",
    "news is never told on",
)


class SwimSettings(NamedTuple):
    """Timing in seconds, fan-out and message sizes.

    The suspicion timeout is `alpha * log10(members)` periods, and up to `beta` times that while no other node
    has confirmed the suspicion.
    """

    period_s: float = 1.0  # probe interval
    probe_timeout_s: float = 0.3  # timeout of a direct probe
    indirect_probes: int = 3  # nodes asked for an indirect probe
    alpha: float = 4.0
    beta: float = 6.0
    confirmations: int = 3  # confirmations that reduce the suspicion timeout to its minimum
    retransmit_factor: float = 3.0  # each update is sent this many times log10(members + 1)
    gossip_interval_s: float = 0.25  # interval of gossip messages while updates are queued
    gossip_fanout: int = 2  # receivers of each gossip round
    max_update_bytes: int = 1100  # bytes of updates in one datagram
    state_exchange_s: float = 15.0  # interval of full state exchanges
    dead_probe_s: float = 5.0  # interval of probes of dead members
    max_local_health: int = 8  # maximum of the local health score
    flap_half_life_s: float = 60.0  # half-life of a member's flap score
    max_flap_score: float = 2.5  # flap score above which a member is not stable
    forget_s: float = 3600.0  # time after which dead and left members are removed


@dataclass(slots=True)
class Member:
    """A member as seen by this node. Times are on this node's clock; `since` is that of the last change of
    state."""

    name: str
    address: str
    state: int
    incarnation: int
    since: float
    flap_score: float = 0.0  # number of deaths, with exponential decay
    flap_score_at: float = 0.0  # time at which `flap_score` was computed
    suspect_until: float = 0.0  # end of the suspicion timeout
    suspected_at: float = 0.0
    suspected_by: list[str] = field(default_factory=list)  # updates carry the last one


@dataclass(slots=True)
class Results:
    """Outputs: datagrams, streamed messages (receiver, message, arguments) and changes of state."""

    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)
    streams: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)
    changed: list[tuple[str, int]] = field(default_factory=list)
    wake_at: float = 0.0


class Members:
    """The membership as seen by one node. `seeds` are the members known at the start: name -> address."""

    def __init__(
        self,
        name: str,
        address: str,
        seeds: dict[str, str],
        start: int,
        settings: SwimSettings,
        random: Random,
        now: float,
        injected_faults: frozenset[str] = frozenset(),
    ) -> None:
        self.name, self.settings, self.random, self.injected_faults, self.now = (
            name,
            settings,
            random,
            injected_faults,
            now,
        )
        self.incarnation = (
            0 if "a start forgets its incarnation" in injected_faults else start * INCARNATIONS_PER_START
        )
        self.known = {name: Member(name, address, ALIVE, self.incarnation, now)}
        for other, other_address in seeds.items():
            if other != name:
                self.known[other] = Member(other, other_address, ALIVE, 0, now)
        self.local_health = 0  # local health score: 0 is healthy, higher values lengthen timeouts
        self.leaving = False
        self.update_counts: dict[str, int] = {}  # queued update (a member's name) -> times sent
        self.probe_order: list[str] = []  # members still to be probed in this round
        self.sequence = 0
        self.probe_target = ""  # member probed in the current period
        self.acked = True
        self.nacks = self.indirect_requests = 0
        # Sequence number -> requester of an indirect probe, its sequence number, deadline, nack sent.
        self.relays: dict[int, tuple[str, int, float, bool]] = {}
        self.next_period_at = now + random.random() * settings.period_s
        self.ack_deadline = 0.0
        self.exchange_at = now + random.random()
        self.gossip_at = now
        self.dead_probe_at = now + settings.dead_probe_s
        self.suspects: set[str] = set()  # suspect members; kept so that each message need not scan all
        self.results = Results()
        self._queue_update(name)

    # Public interface.

    def state(self, name: str) -> int | None:
        member = self.known.get(name)
        return member.state if member is not None else None

    def alive(self) -> list[str]:
        """Names of the members that are alive or suspect, sorted."""
        return sorted(name for name, member in self.known.items() if member.state <= SUSPECT)

    def is_stable(self, name: str, now: float) -> bool:
        """Whether a member is alive and has not died repeatedly within the last minutes."""
        member = self.known.get(name)
        return (
            member is not None
            and member.state == ALIVE
            and self._current_flap_score(member, now) <= self.settings.max_flap_score
        )

    def leave(self, now: float) -> None:
        """Announce that this node leaves, so that it is not detected as failed."""
        self.now, self.leaving = now, True
        own = self.known[self.name]
        own.state = DEAD if "left counts as dead" in self.injected_faults else LEFT
        for name in self._random_peers(self.settings.indirect_probes + 1, ()):
            self._queue_update(self.name)  # resets the transmission count, so that every ping carries it
            self._send(name, "ping", 0, name)

    def take_results(self) -> Results:
        output, self.results = self.results, Results()
        deadlines = [self.next_period_at, self.exchange_at, self.dead_probe_at]
        if self.ack_deadline:
            deadlines.append(self.ack_deadline)
        if self.update_counts:
            deadlines.append(self.gossip_at)
        deadlines += [self.known[name].suspect_until for name in self.suspects]
        deadlines += [deadline for _, _, deadline, nack_sent in self.relays.values() if not nack_sent]
        output.wake_at = min(deadlines)
        return output

    def wake(self, now: float) -> None:
        """Handle expired timers; to be called at `wake_at` or later."""
        self.now = now
        for member in list(self.known.values()):
            if (
                member.state == SUSPECT
                and now >= member.suspect_until
                and "suspicion never ends" not in self.injected_faults
            ):
                self._apply_update((member.name, DEAD, member.incarnation, member.address, ""))
            elif member.state >= DEAD and now - member.since > self.settings.forget_s:
                del self.known[member.name]
                self.suspects.discard(member.name)
                self.update_counts.pop(member.name, None)
        for number, (requester, request_number, deadline, nack_sent) in list(self.relays.items()):
            if now >= deadline + self.settings.period_s:
                del self.relays[number]
            elif now >= deadline and not nack_sent:
                self.relays[number] = (requester, request_number, deadline, True)
                self._send(requester, "nack", request_number)
        if self.leaving:
            self.next_period_at = self.exchange_at = self.dead_probe_at = now + self.settings.period_s
            return
        if self.ack_deadline and now >= self.ack_deadline:
            self.ack_deadline = 0.0
            if not self.acked and "no indirect probe" not in self.injected_faults:
                self._send_indirect_probes()
        if now >= self.next_period_at:
            self._end_period()
            self._start_probe()
        if now >= self.exchange_at:
            self.exchange_at = now + self.settings.state_exchange_s * (0.5 + self.random.random())
            for name in self._random_peers(1, ()):
                self.results.streams.append((name, "state", (True, self._full_state())))
        if self.update_counts and now >= self.gossip_at:
            self.gossip_at = now + self.settings.gossip_interval_s
            for name in self._random_peers(self.settings.gossip_fanout, ()):
                self._send(name, "gossip")
        if now >= self.dead_probe_at:
            self.dead_probe_at = now + self.settings.dead_probe_s * (0.5 + self.random.random())
            dead = [name for name, member in self.known.items() if member.state == DEAD]
            if dead:  # without this, both sides of a healed partition could consider each other dead for ever
                name = self.random.choice(dead)
                self._send(name, "ping", 0, name)

    def receive(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        """Handle a message; its updates are applied first."""
        self.now = now
        if call != "state":
            for update in args[-1]:
                self._apply_update(update)
        getattr(self, f"_{call}")(sender, *args)

    # Probing.

    def _end_period(self) -> None:
        probed = self.known.get(self.probe_target)
        if not self.acked and probed is not None and probed.state <= SUSPECT:
            self.local_health = min(
                self.settings.max_local_health,
                self.local_health + 1 + max(0, self.indirect_requests - self.nacks - 1),
            )
            self._apply_update((probed.name, SUSPECT, probed.incarnation, probed.address, self.name))
        elif self.probe_target:
            self.local_health = max(0, self.local_health - 1)

    def _start_probe(self) -> None:
        self.next_period_at = self.now + self.settings.period_s * (1 + self.local_health)
        self.probe_target, self.acked, self.nacks, self.indirect_requests = "", True, 0, 0
        while self.probe_order or any(True for _ in self._active_peers()):
            if not self.probe_order:
                self.probe_order = list(self._active_peers())
                self.random.shuffle(self.probe_order)
            name = self.probe_order.pop()
            member = self.known.get(name)
            if member is not None and member.state <= SUSPECT:
                self.sequence += 1
                self.probe_target, self.acked = name, False
                self.ack_deadline = self.now + self.settings.probe_timeout_s * (1 + self.local_health)
                self._send(name, "ping", self.sequence, name)
                return

    def _send_indirect_probes(self) -> None:
        for name in self._random_peers(self.settings.indirect_probes, (self.probe_target,)):
            self.indirect_requests += 1
            self._send(name, "ask", self.sequence, self.probe_target)

    def _active_peers(self) -> Iterable[str]:
        return (name for name, member in self.known.items() if member.state <= SUSPECT and name != self.name)

    def _random_peers(self, count: int, excluded: tuple[str, ...]) -> list[str]:
        names = [name for name in self._active_peers() if name not in excluded]
        return self.random.sample(names, min(count, len(names)))

    def _ping(self, sender: str, number: int, target: str, _: list[Update]) -> None:
        if target == self.name:  # the address may have been that of another node before
            self._send(sender, "ack", number)

    def _ask(self, sender: str, number: int, target: str, _: list[Update]) -> None:
        if target in self.known and len(self.relays) < 256:
            self.sequence += 1
            self.relays[self.sequence] = (
                sender,
                number,
                self.now + self.settings.probe_timeout_s * 0.8,
                False,
            )
            self._send(target, "ping", self.sequence, target)

    def _ack(self, sender: str, number: int, _: list[Update]) -> None:
        if number == self.sequence and sender == self.probe_target:
            self.acked = True
        elif (relay := self.relays.pop(number, None)) is not None:
            self._send(relay[0], "ack", relay[1])
        elif number == self.sequence and self.indirect_requests:
            self.acked = True  # by an indirect probe

    def _gossip(self, sender: str, _: list[Update]) -> None:
        """Carries only updates, which `receive` has applied."""

    def _nack(self, sender: str, number: int, _: list[Update]) -> None:
        if number == self.sequence:
            self.nacks += 1

    def _state(self, sender: str, reply_wanted: bool, updates: list[Update]) -> None:
        for update in updates:
            self._apply_update(update)
        if reply_wanted:
            self.results.streams.append((sender, "state", (False, self._full_state())))

    # Updates.

    def _apply_update(self, update: Update) -> None:
        """Merge an update; all changes of other members' states happen here.

        A higher incarnation wins, and within one incarnation the higher state. Only the member itself raises
        its incarnation.
        """
        name, state, incarnation, address, suspecting_node = update
        if name == self.name:
            if state == ALIVE or self.leaving or "suspicion is not refuted" in self.injected_faults:
                return
            if incarnation >= self.incarnation:
                self.incarnation = incarnation + 1
                self.known[name].incarnation = self.incarnation
                self.local_health = min(self.settings.max_local_health, self.local_health + 1)
            # Refute also suspicions of an earlier start: the updates of this start may all have been lost in
            # a partition, and the others would consider this node dead for ever.
            self._queue_update(name)
            return
        member = self.known.get(name)
        if member is None:
            member = self.known[name] = Member(name, address, state, incarnation, self.now)
            member.suspected_by, member.suspected_at, member.suspect_until = (
                [suspecting_node],
                self.now,
                self.now + self._suspicion_timeout_s(0),
            )
            self._state_changed(member)
            return
        if member.state == SUSPECT and state == SUSPECT and incarnation == member.incarnation:
            self._confirm_suspicion(member, suspecting_node)
            return
        is_newer = incarnation > member.incarnation
        if "dead returns by the same incarnation" in self.injected_faults and member.state == DEAD:
            is_newer = incarnation >= member.incarnation
        if (
            "old news taken" not in self.injected_faults
            and not is_newer
            and not (incarnation == member.incarnation and state > member.state)
        ):
            return
        previous_state, member.state, member.incarnation = member.state, state, incarnation
        if state == ALIVE:
            member.address = address
        if state != previous_state:
            member.since = self.now
            if state == DEAD:
                member.flap_score, member.flap_score_at = (
                    self._current_flap_score(member, self.now) + 1,
                    self.now,
                )
            if state == SUSPECT:
                member.suspected_by, member.suspected_at = [suspecting_node], self.now
                member.suspect_until = self.now + self._suspicion_timeout_s(0)
            self._state_changed(member)
        self._queue_update(name)

    def _state_changed(self, member: Member) -> None:
        (self.suspects.add if member.state == SUSPECT else self.suspects.discard)(member.name)
        self.results.changed.append((member.name, member.state))
        self._queue_update(member.name)

    def _confirm_suspicion(self, member: Member, suspecting_node: str) -> None:
        """Count a confirmation of a suspicion. Each suspecting node counts once, however often its update is
        forwarded."""
        if (
            suspecting_node
            and suspecting_node not in member.suspected_by
            and len(member.suspected_by) <= self.settings.confirmations
        ):
            member.suspected_by.append(suspecting_node)
            member.suspect_until = member.suspected_at + self._suspicion_timeout_s(
                len(member.suspected_by) - 1
            )
            self._queue_update(member.name)

    def _suspicion_timeout_s(self, confirmations_count: int) -> float:
        """The suspicion timeout, which decreases with the number of confirmations by other nodes."""
        settings = self.settings
        min_s = settings.alpha * max(1.0, log10(len(self.known))) * settings.period_s
        max_s = settings.beta * min_s
        progress = min(1.0, log(confirmations_count + 1) / log(settings.confirmations + 1))
        return max(min_s, max_s - (max_s - min_s) * progress) if len(self.known) > 3 else min_s

    def _current_flap_score(self, member: Member, now: float) -> float:
        return member.flap_score * float(
            0.5 ** ((now - member.flap_score_at) / self.settings.flap_half_life_s)
        )

    def _queue_update(self, name: str) -> None:
        self.update_counts[name] = 0

    def _update_of(self, name: str) -> Update:
        member = self.known[name]
        suspecting_node = member.suspected_by[-1] if member.state == SUSPECT and member.suspected_by else ""
        return (name, member.state, member.incarnation, member.address, suspecting_node)

    def _full_state(self) -> list[Update]:
        return [self._update_of(name) for name in self.known]

    def _send(self, to: str, call: str, *args: Any) -> None:
        """Queue a datagram with as many updates as fit, those sent least often first.

        An update about a suspect or dead receiver is always included, so that it can refute it at once
        (Lifeguard's buddy system).
        """
        updates: list[Update] = []
        room_bytes = self.settings.max_update_bytes
        if (member := self.known.get(to)) is not None and member.state in (SUSPECT, DEAD):
            updates.append(self._update_of(to))
            room_bytes -= 64
        max_transmissions = ceil(self.settings.retransmit_factor * log10(len(self.known) + 1))
        if "news is never told on" not in self.injected_faults:
            for name in sorted(self.update_counts, key=self.update_counts.__getitem__):
                row = self._update_of(name)
                room_bytes -= len(name) + len(row[3]) + len(row[4]) + 16
                if room_bytes < 0:
                    break
                updates.append(row)
                self.update_counts[name] += 1
                if self.update_counts[name] >= max_transmissions:
                    del self.update_counts[name]
        self.results.sends.append((to, call, (*args, updates)))
