"""Raft, as a core that takes events and gives results: no clock, socket, file or thread.

Events are calls: `hear` (a message), `wake` (time has passed), `synced` (what was to be persisted is on
disk), `propose`, `read`, `change`, `transfer`, `compact`. What it wants done is taken with `take_results`:
messages to send, records to persist in their order, entries to apply. A message is the name of a call of the
receiver's and its arguments, `FORMS` has their types; there are no types of messages.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from merlintally.cluster.agreement.log import (
    BLANK,
    CONFIG,
    DATA,
    Config,
    Entry,
    Kept,
    Log,
    Snapshot,
    config_of,
)

FORMS: dict[str, Any] = {  # call -> types of its arguments, of which the first is the sender's term
    "asked": tuple[int, bool, bool, int, int],  # term, only a question ahead, forced, last index, its term
    "voted": tuple[int, bool, bool, int],  # term, only ahead, granted, the term that was asked for
    "append": tuple[
        int, int, int, list[Entry], int, int
    ],  # term, index and term before, entries, commit, round
    "took": tuple[int, bool, int, int],  # term, whether, how far (or a hint at where they part), round
    "piece": tuple[
        int, int, int, Config, int, int, bytes
    ],  # term, index, its term, config, offset, size, bytes
    "pieced": tuple[int, int, int],  # term, index, bytes held
    "begin": tuple[int],  # term: stand for election at once
}

INJECTED_FAULTS = (  # planted by name, in tests only: each has to be found by the schedules
    "votes twice",
    "forgets its vote",
    "commits an older term by count",
    "acknowledges before sync",
    "counts itself before sync",
    "votes for a shorter log",
    "cuts without a conflict",
    "commit beyond what is here",
    "minority commits",
    "reads without a round",
    "two changes at once",
    "snapshot without its state",
    "a refusal counts as held",
    "learner counts as a voter",
)


class Pace(NamedTuple):
    """Times in seconds, sizes in bytes. Elections begin after `election_s` to twice of it without a
    leader."""

    heartbeat_s: float = 0.1
    election_s: float = 0.5
    batch: int = 64 << 10  # of entries in one message
    flight: int = 8  # messages with entries that are out to one voter at once
    chunk: int = 32 << 10  # of a snapshot in one message
    pending: int = 4096  # entries not yet committed, beyond which nothing more is taken


@dataclass(slots=True)
class Results:
    """What the core wants done. `persist` rows go to disk in their order, then `synced(number)` is called:
    ("vote", term, vote), ("cut", index), ("add", first index, entries), ("snapshot", Snapshot)."""

    persist: list[tuple[Any, ...]] = field(default_factory=list)
    number: int = 0  # of the last row of `persist`
    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)  # to, call, arguments
    restored: Snapshot | None = None  # the state to begin from, before `applied`
    applied: list[tuple[int, Entry]] = field(default_factory=list)
    reads: list[tuple[Any, int]] = field(default_factory=list)  # token, index that has to be applied before
    refused: list[Any] = field(default_factory=list)  # tokens of reads that can't be answered here
    wake_at: float = 0.0


class Peer:
    """What a leader knows of another."""

    __slots__ = ("next", "match", "flying", "probing", "sent", "heard_at", "round")

    def __init__(self, next_: int, now: float) -> None:
        self.next, self.match, self.heard_at, self.round = next_, 0, now, 0
        self.flying: deque[int] = deque()  # last indices of messages that are out
        self.probing = True  # one message at a time, until it is known where the logs meet
        self.sent = -1  # bytes of the snapshot that it has; -1: none is under way


class Raft:
    """One voter or learner. `role` is follower, asking (would stand), candidate or leader."""

    def __init__(
        self,
        name: str,
        kept: Kept,
        config: Config,
        pace: Pace,
        random: Random,
        now: float,
        blank: bool = False,
        mistakes: frozenset[str] = frozenset(),
    ) -> None:
        """`config` says who votes where nothing is kept yet; it has to be the same for all of them. `blank`:
        it has lost what it promised before (an empty or older folder), and votes only once it was voted out
        and is in again."""
        self.name, self.pace, self.random, self.blank, self.mistakes = name, pace, random, blank, mistakes
        self.term, self.vote = kept.term, kept.vote
        if not kept.snapshot.config.voters:
            kept.snapshot = kept.snapshot._replace(config=config)
        self.log = Log(kept)
        self.commit = self.applied = kept.snapshot.upto
        self.configs = [(kept.snapshot.upto, kept.snapshot.config)]
        for at, entry in enumerate(kept.entries, kept.snapshot.upto + 1):
            if entry.kind == CONFIG:
                self.configs.append((at, config_of(entry.data)))
        self.role, self.leader, self.now = "follower", "", now
        self.able = True  # to lead: its disk takes what it is given
        self.peers: dict[str, Peer] = {}
        self.votes: set[str] = set()
        self.round = 0  # of messages to all, for reads
        self.waiting: list[tuple[int, int, Any]] = []  # reads: round, index, token
        self.successor = ""  # to whom leadership goes
        self.successor_until = 0.0
        self.pieces: tuple[int, int, bytearray] | None = None  # of a snapshot that comes: index, term, bytes
        self.persisted = self.on_disk = 0  # rows given and rows known to be on disk
        self.unsynced: deque[list[int]] = deque()  # [row, last index of the log behind it]
        self.synced_index = self.log.last
        self.held: deque[tuple[int, str, str, tuple[Any, ...]]] = deque()  # sends that wait for a row
        self.results = Results()
        self.heard_at = now - pace.election_s  # a leader, last
        self.beat_at = 0.0
        self._rest()

    # What others ask of it.

    @property
    def config(self) -> Config:
        return self.configs[-1][1]

    def take_results(self) -> Results:
        """What is wanted since the last call; send what may be sent at once, the rest comes once it is
        synced."""
        if self.role == "leader":
            self._send_entries()
        self._apply()
        found, self.results = self.results, Results()
        found.number = self.persisted
        found.wake_at = self.beat_at if self.role == "leader" else self.election_at
        return found

    def propose(self, now: float, data: bytes) -> int:
        """The index that the entry will have if it is committed in this term, or 0: ask the leader, or
        later."""
        self.now = now
        if self.role != "leader" or self.successor or self.log.last - self.commit >= self.pace.pending:
            return 0
        return self._add(Entry(self.term, DATA, data))

    def read(self, now: float, token: Any) -> None:
        """Answered by `reads` once this is known to be the leader still, or by `refused`."""
        self.now = now
        if self.role != "leader" or self.log.term_at(self.commit) != self.term:
            self.results.refused.append(token)
        elif "reads without a round" in self.mistakes:
            self.results.reads.append((token, self.commit))
        else:
            self.round += 1
            self.waiting.append((self.round, self.commit, token))
            self._beat()
            self._answer_reads()

    def change(self, now: float, config: Config) -> bool:
        """Have others vote or follow, one voter's difference at a time; False where it can't be begun now."""
        self.now = now
        one = len(set(config.voters) ^ set(self.config.voters)) <= 1
        settled = self.configs[-1][0] <= self.commit and self.log.term_at(self.commit) == self.term
        if "two changes at once" in self.mistakes:
            one = settled = True
        caught_up = all(
            name == self.name
            or name in self.peers
            and self.peers[name].match + self.pace.flight >= self.commit
            for name in set(config.voters) - set(self.config.voters)
        )
        if self.role != "leader" or self.successor or not (one and settled and caught_up and config.voters):
            return False
        self._add(Entry(self.term, CONFIG, config.encode()))
        return True

    def forget(self, name: str) -> None:
        """One has begun anew with less than it had: what it told before does not count."""
        self.peers.pop(name, None)

    def transfer(self, now: float, to: str) -> bool:
        """Hand leadership on; nothing is taken meanwhile, for one election's time at the most."""
        self.now = now
        if self.role != "leader" or to not in self.config.voters or to == self.name:
            return False
        self.successor, self.successor_until = to, now + self.pace.election_s
        self._hand_on()
        return True

    def compact(self, now: float, data: bytes) -> None:
        """All up to what is applied is in `data`; its entries can go."""
        self.now = now
        if self.applied > self.log.snapshot.upto:
            index = self.applied
            config = [config for at, config in self.configs if at <= index][-1]
            self._reach(Snapshot(index, self.log.term_at(index) or 0, config, data))

    def synced(self, now: float, number: int) -> None:
        """All rows up to `number` are on disk."""
        self.now, self.on_disk = now, number
        while self.unsynced and self.unsynced[0][0] <= number:
            self.synced_index = min(self.unsynced.popleft()[1], self.log.last)
        while self.held and self.held[0][0] <= number:
            _, to, call, args = self.held.popleft()
            self.results.sends.append((to, call, args))
        if self.role == "leader":
            self._count()
        elif self.role == "candidate" and self._majority(self.votes):
            self._won(ahead=False)  # it votes alone

    def wake(self, now: float) -> None:
        """Time has passed; call it at `wake_at` or later."""
        self.now = now
        if self.role == "leader":
            if self.successor and now >= self.successor_until:
                self.successor = ""  # it did not come about; this one goes on
            if now >= self.beat_at:
                self._check_quorum()
            if self.role == "leader" and now >= self.beat_at:
                self._beat()
        elif now >= self.election_at:
            self._rest()
            if self.name in self.config.voters and self.able and not self.blank:
                self._stand(ahead=True)

    def hear(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        """A message. Whoever does not belong is not heard, but for one that may have been added meanwhile."""
        self.now = now
        term = args[0]
        if term > self.term and call != "asked":
            self._follow(term)
        getattr(self, f"_{call}")(sender, *args)

    # Elections.

    def _rest(self) -> None:
        self.election_at = self.now + self.pace.election_s * (1 + self.random.random())

    def _follow(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._persist(("vote", self.term, self.vote))
        if self.role == "leader":
            self.results.refused += [token for _, _, token in self.waiting]
            self.waiting, self.successor = [], ""
            self.heard_at = self.now - self.pace.election_s
        if self.role != "follower" or leader != self.leader:
            self._rest()
        self.role, self.leader = "follower", leader

    def _stand(self, ahead: bool, forced: bool = False) -> None:
        """Ask for votes; first whether they would be given (pre-vote), so that no term rises in vain."""
        self.role, self.leader, self.votes = "asking" if ahead else "candidate", "", {self.name}
        if not ahead:
            self.term, self.vote = self.term + 1, self.name
            self._persist(("vote", self.term, self.vote))
        if ahead and self._majority(self.votes):
            self._won(ahead)
            return
        for name in self.config.voters:
            if name != self.name:
                args = (self.term + ahead, ahead, forced, self.log.last, self.log.last_term)
                self._send(name, "asked", args, durable=not ahead)

    def _asked(self, sender: str, term: int, ahead: bool, forced: bool, last: int, last_term: int) -> None:
        if not forced and (self.role == "leader" or self.now - self.heard_at < self.pace.election_s):
            return  # a leader stands: who has lost sight of it can't unseat it (check-quorum's other half)
        if term > self.term and not ahead:
            self._follow(term)
        longer = (last_term, last) >= (
            self.log.last_term,
            self.log.last,
        ) or "votes for a shorter log" in self.mistakes
        free = self.vote in ("", sender) or "votes twice" in self.mistakes
        granted = term >= self.term and longer and (term > self.term if ahead else free) and not self.blank
        if granted and not ahead:
            self.vote = sender
            if "forgets its vote" not in self.mistakes:
                self._persist(("vote", self.term, self.vote))
            self._rest()
        self._send(sender, "voted", (self.term, ahead, granted, term), durable=True)

    def _voted(self, sender: str, term: int, ahead: bool, granted: bool, asked: int) -> None:
        mine = self.role == ("asking" if ahead else "candidate") and asked == self.term + ahead
        if granted and mine and sender in self.config.voters:
            self.votes.add(sender)
            if self._majority(self.votes):
                self._won(ahead)

    def _won(self, ahead: bool) -> None:
        if ahead:
            self._stand(ahead=False)
            return
        self.role, self.leader, self.peers = "leader", self.name, {}
        self.successor, self.waiting = "", []
        self._add(Entry(self.term, BLANK, b""))
        self._beat()

    def _begin(self, sender: str, term: int) -> None:
        """The leader hands on."""
        if (
            term == self.term
            and self.name in self.config.voters
            and self.role == "follower"
            and not self.blank
        ):
            self._stand(ahead=False, forced=True)

    def _hand_on(self) -> None:
        peer = self.peers.get(self.successor)
        if peer is not None and peer.match == self.log.last:
            self._send(self.successor, "begin", (self.term,))

    def _check_quorum(self) -> None:
        """A leader whom no majority has answered for an election's time steps back."""
        near = {
            name for name, peer in self.peers.items() if self.now - peer.heard_at < 2 * self.pace.election_s
        }
        if not self._majority(near | {self.name}):
            self._follow(self.term)

    def _majority(self, names: Iterable[str]) -> bool:
        voters = set(self.config.voters)
        counted = len(
            (set(self.config.all) if "learner counts as a voter" in self.mistakes else voters) & set(names)
        )
        if "minority commits" in self.mistakes:
            return 2 * counted >= len(voters)
        return 2 * counted > len(voters)

    # Entries, on the leader.

    def _add(self, entry: Entry) -> int:
        self.log.entries.append(entry)
        index = self.log.last
        self._persist(("add", index, [entry]))
        if entry.kind == CONFIG:
            self.configs.append((index, config_of(entry.data)))
        return index

    def _beat(self) -> None:
        self.beat_at = self.now + self.pace.heartbeat_s
        self._meet()
        for name, peer in self.peers.items():
            if peer.sent >= 0:
                self._send_piece(name, peer)
            else:
                entries = self.log.after(peer.next - 1, self.pace.batch) if peer.probing else []
                self._send_append(name, peer, entries)
        self._count()

    def _meet(self) -> None:
        for name in self.config.all:
            if name != self.name and name not in self.peers:
                self.peers[name] = Peer(self.log.last + 1, self.now)
        for name in [name for name in self.peers if name not in self.config.all]:
            del self.peers[name]

    def _send_entries(self) -> None:
        """All that came in since: one batch to each, and no more of them out than its flow allows."""
        self._meet()
        for name, peer in self.peers.items():
            while (
                not peer.probing
                and peer.sent < 0
                and peer.next <= self.log.last
                and len(peer.flying) < self.pace.flight
            ):
                self._send_append(name, peer, self.log.after(peer.next - 1, self.pace.batch))

    def _send_append(self, name: str, peer: Peer, entries: list[Entry]) -> None:
        before = self.log.term_at(peer.next - 1)
        if before is None:
            peer.sent = 0  # it needs what is in the snapshot
            self._send_piece(name, peer)
            return
        args = (self.term, peer.next - 1, before, entries, self.commit, self.round)
        self._send(name, "append", args)
        if entries and not peer.probing:
            peer.next += len(entries)
            peer.flying.append(peer.next - 1)

    def _took(self, sender: str, term: int, ok: bool, index: int, round_: int) -> None:
        peer = self.peers.get(sender)
        if self.role != "leader" or term != self.term or peer is None or index > self.log.last:
            return
        peer.heard_at, peer.round = self.now, max(peer.round, round_)
        if ok or "a refusal counts as held" in self.mistakes:
            peer.match = max(peer.match, index)
            peer.next = max(peer.next, peer.match + 1)
            peer.probing, peer.sent = False, -1
            while peer.flying and peer.flying[0] <= peer.match:
                peer.flying.popleft()
            self._count()
            if sender == self.successor:
                self._hand_on()
        elif peer.sent < 0:
            # Guards against a leader that stands still: a follower goes back over a whole term to where the
            # logs may part, which can lie before what it has confirmed. From there on they are the same.
            back = max(peer.match, index) + 1
            moved = back != peer.next or not peer.probing
            peer.next, peer.probing = back, True
            peer.flying.clear()
            # Guards against a storm: a voter that has lost what it had confirmed refuses the same again and
            # again, until it is out of the voters; it is asked with the next beat.
            if moved:
                self._send_append(
                    sender,
                    peer,
                    self.log.after(peer.next - 1, self.pace.batch)
                    if self.log.term_at(peer.next - 1) is not None
                    else [],
                )
        self._answer_reads()

    def _count(self) -> None:
        """Commit what a majority holds on disk, if it is of this term."""
        mine = self.log.last if "counts itself before sync" in self.mistakes else self.synced_index
        held = {name: peer.match for name, peer in self.peers.items()} | {self.name: mine}
        for index in sorted({at for at in held.values() if at > self.commit}, reverse=True):
            if self._majority(name for name, at in held.items() if at >= index) and (
                self.log.term_at(index) == self.term or "commits an older term by count" in self.mistakes
            ):
                self.commit = index
                if self.name not in self.config.voters and self.configs[-1][0] <= index:
                    self._beat_once()
                    self._follow(self.term)  # it was voted out, and all know
                break

    def _beat_once(self) -> None:
        for name, peer in self.peers.items():
            if peer.sent < 0:
                self._send_append(name, peer, [])

    def _answer_reads(self) -> None:
        still = []
        for round_, index, token in self.waiting:
            near = {name for name, peer in self.peers.items() if peer.round >= round_}
            if self._majority(near | {self.name}):
                self.results.reads.append((token, index))
            else:
                still.append((round_, index, token))
        self.waiting = still

    # Entries, on a follower.

    def _heard_leader(self, sender: str, term: int) -> None:
        if self.role != "follower" or self.leader != sender:
            self._follow(term, sender)
        self.heard_at = self.now
        self._rest()

    def _append(
        self,
        sender: str,
        term: int,
        before: int,
        before_term: int,
        entries: list[Entry],
        commit: int,
        round_: int,
    ) -> None:
        if term < self.term:
            self._send(sender, "took", (self.term, False, 0, 0))  # which unseats it
            return
        if self.role == "leader" and term == self.term:
            return  # nonsense: there is one leader a term
        self._heard_leader(sender, term)
        if before < self.commit:  # what is committed is the same everywhere
            skip = min(self.commit - before, len(entries))
            before, entries = before + skip, entries[skip:]
            before_term = self.log.term_at(before) or 0
            if before < self.log.snapshot.upto:
                self._send(sender, "took", (self.term, True, self.commit, round_), durable=True)
                return
        if self.log.term_at(before) != before_term:
            self._send(sender, "took", (self.term, False, self._parted(before), round_), durable=True)
            return
        for at, entry in enumerate(entries, before + 1):
            if self.log.term_at(at) != entry.term or "cuts without a conflict" in self.mistakes:
                if at <= self.log.last:
                    self._cut(at)
                more = entries[at - before - 1 :]
                self.log.entries += more
                self._persist(("add", at, more))
                self.configs += [
                    (index, config_of(one.data)) for index, one in enumerate(more, at) if one.kind == CONFIG
                ]
                break
        match = before + len(entries)
        reached = commit if "commit beyond what is here" in self.mistakes else min(commit, match)
        self.commit = max(self.commit, min(reached, self.log.last))
        self._send(
            sender,
            "took",
            (self.term, True, match, round_),
            durable="acknowledges before sync" not in self.mistakes,
        )

    def _parted(self, before: int) -> int:
        """Where the logs may still be the same: behind all of the term that differs."""
        if before > self.log.last:
            return self.log.last
        term, at = self.log.term_at(before), before
        while at > self.commit and self.log.term_at(at) == term:
            at -= 1
        return at

    def _cut(self, index: int) -> None:
        self.log.cut(index)
        self.configs = [one for one in self.configs if one[0] < index]
        self.synced_index = min(self.synced_index, index - 1)
        for row in self.unsynced:
            row[1] = min(row[1], index - 1)
        self._persist(("cut", index))

    # Snapshots, in pieces.

    def _send_piece(self, name: str, peer: Peer) -> None:
        shot = self.log.snapshot
        peer.sent = min(peer.sent, len(shot.data))
        data = shot.data[peer.sent : peer.sent + self.pace.chunk]
        self._send(
            name, "piece", (self.term, shot.upto, shot.term, shot.config, peer.sent, len(shot.data), data)
        )

    def _piece(
        self,
        sender: str,
        term: int,
        index: int,
        shot_term: int,
        config: Config,
        offset: int,
        size: int,
        data: bytes,
    ) -> None:
        if term < self.term:
            self._send(sender, "took", (self.term, False, 0, 0))
            return
        self._heard_leader(sender, term)
        if index <= self.commit:
            self._send(sender, "took", (self.term, True, self.commit, 0), durable=True)
            return
        if self.pieces is None or self.pieces[:2] != (index, shot_term):
            self.pieces = (index, shot_term, bytearray())
        held = self.pieces[2]
        if offset == len(held) and offset + len(data) <= size:
            held += data
        if len(held) < size:
            self._send(sender, "pieced", (self.term, index, len(held)))
            return
        self.pieces = None
        self._reach(Snapshot(index, shot_term, config, bytes(held)))
        self.commit = self.applied = index
        self.results.applied = []
        if "snapshot without its state" not in self.mistakes:
            self.results.restored = self.log.snapshot
        self._send(sender, "took", (self.term, True, index, 0), durable=True)

    def _pieced(self, sender: str, term: int, index: int, held: int) -> None:
        peer = self.peers.get(sender)
        if self.role == "leader" and term == self.term and peer is not None and peer.sent >= 0:
            peer.heard_at = self.now
            peer.sent = held if index == self.log.snapshot.upto else 0
            self._send_piece(sender, peer)

    def _reach(self, shot: Snapshot) -> None:
        last = self.log.last
        if "snapshot without its state" in self.mistakes and last > shot.upto:
            self.log.entries = self.log.entries[shot.upto - self.log.snapshot.upto :]
            self.log.snapshot = shot
        elif not self.log.reach(shot) and last > shot.upto:
            self._cut(shot.upto + 1)
        self.configs = [(shot.upto, shot.config)] + [one for one in self.configs if one[0] > shot.upto]
        self._persist(("snapshot", shot))

    # What all stand on.

    def _persist(self, row: tuple[Any, ...]) -> None:
        self.persisted += 1
        self.results.persist.append(row)
        self.unsynced.append([self.persisted, self.log.last])

    def _send(self, to: str, call: str, args: tuple[Any, ...], durable: bool = False) -> None:
        """`durable`: it promises what has to be on disk first."""
        if durable and self.on_disk < self.persisted:
            self.held.append((self.persisted, to, call, args))
        else:
            self.results.sends.append((to, call, args))

    def _apply(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log.entry(self.applied)
            if entry.kind == CONFIG and self.name not in config_of(entry.data).voters:
                self.blank = False  # what it may have promised under its former votes binds nobody any more
            self.results.applied.append((self.applied, entry))
