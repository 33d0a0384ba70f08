"""Raft consensus as a pure state machine, without clock, sockets, files or threads.

Inputs are method calls: `receive` (a message was received), `wake` (time has passed), `synced` (rows are
on disk), `propose`, `read`, `change_config`, `transfer_leadership` and `compact`. Outputs are collected
with `take_results`: messages to send, rows to persist in order, and committed entries to apply. A message
is the name of the handler it invokes on the receiver and its arguments, whose types are in `MESSAGE_TYPES`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from merlintally.cluster.agreement.log import (
    CONFIG,
    DATA,
    NOOP,
    Config,
    Entry,
    Log,
    PersistentState,
    Snapshot,
    decode_config,
)

# Message name -> types of its arguments; the first is always the sender's term.
MESSAGE_TYPES: dict[str, Any] = {
    "asked": tuple[int, bool, bool, int, int],  # term, pre-vote, forced, last log index, last log term
    "voted": tuple[int, bool, bool, int],  # term, pre-vote, granted, requested term
    "append": tuple[
        int, int, int, list[Entry], int, int
    ],  # term, previous index, previous term, entries, commit index, heartbeat round
    "took": tuple[int, bool, int, int],  # term, success, match index (or conflict hint), heartbeat round
    "piece": tuple[
        int, int, int, Config, int, int, bytes
    ],  # term, snapshot index, snapshot term, config, offset, total size, data
    "pieced": tuple[int, int, int],  # term, snapshot index, bytes received
    "begin": tuple[int],  # term; start an election at once (TimeoutNow)
}


INJECTED_FAULTS = (  # faults that tests inject by name; the schedules must detect each of them
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


class RaftSettings(NamedTuple):
    """Timing in seconds and sizes in bytes.

    The election timeout is drawn uniformly from `election_s` to twice that.
    """

    heartbeat_s: float = 0.1
    election_s: float = 0.5
    batch_bytes: int = 64 << 10  # entry bytes in one append message
    max_in_flight: int = 8  # unacknowledged append messages to one peer
    snapshot_chunk_bytes: int = 32 << 10  # snapshot bytes in one message
    max_uncommitted: int = 4096  # uncommitted entries beyond which proposals are rejected


@dataclass(slots=True)
class Results:
    """Outputs of the core since the last call of `take_results`.

    The rows of `persist` must be written in order, after which `synced(number)` is called. A row is
    ("vote", term, vote), ("cut", index), ("add", first index, entries) or ("snapshot", Snapshot).
    """

    persist: list[tuple[Any, ...]] = field(default_factory=list)
    number: int = 0  # sequence number of the last row of `persist`
    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)  # to, message, arguments
    restored: Snapshot | None = None  # replaces the state before `applied` is applied
    applied: list[tuple[int, Entry]] = field(default_factory=list)  # index, committed entry
    reads: list[tuple[Any, int]] = field(default_factory=list)  # token, index to apply before answering
    refused: list[Any] = field(default_factory=list)  # tokens of reads that this node can't serve
    wake_at: float = 0.0


class Peer:
    """Replication progress of one other node, as tracked by the leader."""

    __slots__ = (
        "next_index",
        "match_index",
        "in_flight",
        "probing",
        "snapshot_offset",
        "last_contact_at",
        "acked_round",
    )

    def __init__(self, first_index: int, now: float) -> None:
        self.next_index, self.match_index, self.last_contact_at, self.acked_round = first_index, 0, now, 0
        self.in_flight: deque[int] = deque()  # last index of each unacknowledged append message
        self.probing = True  # one append per heartbeat until the matching index is known
        self.snapshot_offset = -1  # snapshot bytes acknowledged; -1 if none is being sent


class Raft:
    """One voter or learner. `role` is follower, asking (pre-candidate), candidate or leader."""

    def __init__(
        self,
        name: str,
        stored: PersistentState,
        config: Config,
        settings: RaftSettings,
        random: Random,
        now: float,
        blank: bool = False,
        injected_faults: frozenset[str] = frozenset(),
    ) -> None:
        """`config` is the initial configuration, used where `stored` has none; it must be the same on all
        nodes. `blank` marks a node that has lost its persistent state (an empty or outdated folder): it does
        not vote until it has been removed from the voters, after `learn_committed`, and added again."""
        self.name, self.settings, self.random, self.lost_state, self.injected_faults = (
            name,
            settings,
            random,
            blank,
            injected_faults,
        )
        self.term, self.vote = stored.term, stored.vote
        if not stored.snapshot.config.voters:
            stored.snapshot = stored.snapshot._replace(config=config)
        self.log = Log(stored)
        self.commit_index = self.applied_index = stored.snapshot.included_index
        self.configs = [(stored.snapshot.included_index, stored.snapshot.config)]
        for index, entry in enumerate(stored.entries, stored.snapshot.included_index + 1):
            if entry.kind == CONFIG:
                self.configs.append((index, decode_config(entry.data)))
        self.role, self.leader, self.now = "follower", "", now
        self.can_lead = True  # False while the disk accepts no writes
        # An index up to which all was committed by some time in this life; None while unknown.
        self.committed_in_this_life: int | None = None
        self.peers: dict[str, Peer] = {}
        self.votes: set[str] = set()
        self.heartbeat_round = 0  # heartbeat rounds, which confirm leadership for reads
        self.pending_reads: list[tuple[int, int, Any]] = []  # round, index, token
        self.transfer_target = ""  # receiver of a leadership transfer in progress
        self.transfer_deadline = 0.0
        self.incoming_snapshot: tuple[int, int, bytearray] | None = None  # index, term, bytes received
        self.rows_emitted = self.rows_synced = 0  # sequence numbers of rows persisted and known to be on disk
        self.unsynced_rows: deque[list[int]] = deque()  # [row number, last log index after it]
        self.synced_index = self.log.last_index
        # Messages to be sent once a row is on disk: row number, receiver, message, arguments.
        self.held_sends: deque[tuple[int, str, str, tuple[Any, ...]]] = deque()
        self.results = Results()
        self.leader_contact_at = now - settings.election_s
        self.heartbeat_at = 0.0
        self._reset_election_timer()

    # Public interface.

    @property
    def config(self) -> Config:
        """The latest configuration in the log, committed or not."""
        return self.configs[-1][1]

    def take_results(self) -> Results:
        """Outputs since the last call. Messages that depend on unsynced rows follow after `synced`."""
        if self.role == "leader":
            self._send_entries()
        self._apply()
        output, self.results = self.results, Results()
        output.number = self.rows_emitted
        output.wake_at = self.heartbeat_at if self.role == "leader" else self.election_at
        return output

    def propose(self, now: float, data: bytes) -> int:
        """Append an entry; returns its index, or 0 if this node is not the leader, is transferring
        leadership, or has too many uncommitted entries. The entry may still be lost with this term."""
        self.now = now
        if (
            self.role != "leader"
            or self.transfer_target
            or self.log.last_index - self.commit_index >= self.settings.max_uncommitted
        ):
            return 0
        return self._append_entry(Entry(self.term, DATA, data))

    def read(self, now: float, token: Any) -> None:
        """Linearizable read: `reads` reports the token after a heartbeat round confirms leadership,
        `refused` if this node can't serve it."""
        self.now = now
        if self.role != "leader" or self.log.term_at(self.commit_index) != self.term:
            self.results.refused.append(token)
        elif "reads without a round" in self.injected_faults:
            self.results.reads.append((token, self.commit_index))
        else:
            self.heartbeat_round += 1
            self.pending_reads.append((self.heartbeat_round, self.commit_index, token))
            self._send_heartbeats()
            self._answer_reads()

    def change_config(self, now: float, config: Config) -> bool:
        """Propose a new configuration, which may add or remove one voter; False if not possible now."""
        self.now = now
        single_change = len(set(config.voters) ^ set(self.config.voters)) <= 1
        settled = (
            self.configs[-1][0] <= self.commit_index and self.log.term_at(self.commit_index) == self.term
        )
        if "two changes at once" in self.injected_faults:
            single_change = settled = True
        caught_up = all(
            name == self.name
            or name in self.peers
            and self.peers[name].match_index + self.settings.max_in_flight >= self.commit_index
            for name in set(config.voters) - set(self.config.voters)
        )
        if (
            self.role != "leader"
            or self.transfer_target
            or not (single_change and settled and caught_up and config.voters)
        ):
            return False
        self._append_entry(Entry(self.term, CONFIG, config.encode()))
        return True

    def learn_committed(self, index: int) -> None:
        """A leader that was confirmed in this life of the node has told that all up to `index` is committed.

        A removal of this node from the voters up to there may be that of an earlier life, after which it was
        added again and made promises; only a later one ends the promises of all earlier lives.
        """
        if self.committed_in_this_life is None:
            self.committed_in_this_life = index

    def forget_peer(self, name: str) -> None:
        """Discard the replication progress of a peer that has lost its log."""
        self.peers.pop(name, None)

    def transfer_leadership(self, now: float, to: str) -> bool:
        """Transfer leadership; no proposals are accepted meanwhile, for at most one election timeout."""
        self.now = now
        if self.role != "leader" or to not in self.config.voters or to == self.name:
            return False
        self.transfer_target, self.transfer_deadline = to, now + self.settings.election_s
        self._complete_transfer()
        return True

    def compact(self, now: float, data: bytes) -> None:
        """Replace the log up to the applied index with a snapshot whose state is `data`."""
        self.now = now
        if self.applied_index > self.log.snapshot.included_index:
            index = self.applied_index
            config = [config for since, config in self.configs if since <= index][-1]
            self._install_snapshot(Snapshot(index, self.log.term_at(index) or 0, config, data))

    def synced(self, now: float, number: int) -> None:
        """All rows up to sequence number `number` are on disk."""
        self.now, self.rows_synced = now, number
        while self.unsynced_rows and self.unsynced_rows[0][0] <= number:
            self.synced_index = min(self.unsynced_rows.popleft()[1], self.log.last_index)
        while self.held_sends and self.held_sends[0][0] <= number:
            _, to, call, args = self.held_sends.popleft()
            self.results.sends.append((to, call, args))
        if self.role == "leader":
            self._advance_commit_index()
        elif self.role == "candidate" and self._is_majority(self.votes):
            self._election_won(pre_vote=False)  # a single voter

    def wake(self, now: float) -> None:
        """Handle expired timers; to be called at `wake_at` or later."""
        self.now = now
        if self.role == "leader":
            if self.transfer_target and now >= self.transfer_deadline:
                self.transfer_target = ""  # the transfer timed out
            if now >= self.heartbeat_at:
                self._check_quorum()
            if self.role == "leader" and now >= self.heartbeat_at:
                self._send_heartbeats()
        elif now >= self.election_at:
            self._reset_election_timer()
            if self.name in self.config.voters and self.can_lead and not self.lost_state:
                self._start_election(pre_vote=True)

    def receive(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        """Handle a message. Senders outside the configuration are accepted: they may have been added by an
        entry that this node does not have yet."""
        self.now = now
        term = args[0]
        if term > self.term and call != "asked":
            self._become_follower(term)
        getattr(self, f"_{call}")(sender, *args)

    # Elections.

    def _reset_election_timer(self) -> None:
        self.election_at = self.now + self.settings.election_s * (1 + self.random.random())

    def _become_follower(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._persist(("vote", self.term, self.vote))
        if self.role == "leader":
            self.results.refused += [token for _, _, token in self.pending_reads]
            self.pending_reads, self.transfer_target = [], ""
            self.leader_contact_at = self.now - self.settings.election_s
        if self.role != "follower" or leader != self.leader:
            self._reset_election_timer()
        self.role, self.leader = "follower", leader

    def _start_election(self, pre_vote: bool, forced: bool = False) -> None:
        """Request votes. A pre-vote round comes first, so that the term only rises if the election can be
        won."""
        self.role, self.leader, self.votes = "asking" if pre_vote else "candidate", "", {self.name}
        if not pre_vote:
            self.term, self.vote = self.term + 1, self.name
            self._persist(("vote", self.term, self.vote))
        if pre_vote and self._is_majority(self.votes):
            self._election_won(pre_vote)
            return
        for name in self.config.voters:
            if name != self.name:
                args = (self.term + pre_vote, pre_vote, forced, self.log.last_index, self.log.last_term)
                self._send(name, "asked", args, durable=not pre_vote)

    def _asked(
        self, sender: str, term: int, pre_vote: bool, forced: bool, candidate_index: int, candidate_term: int
    ) -> None:
        if not forced and (
            self.role == "leader" or self.now - self.leader_contact_at < self.settings.election_s
        ):
            return  # a leader is active: a node that lost contact to it must not disrupt it
        if term > self.term and not pre_vote:
            self._become_follower(term)
        up_to_date = (candidate_term, candidate_index) >= (
            self.log.last_term,
            self.log.last_index,
        ) or "votes for a shorter log" in self.injected_faults
        can_vote = self.vote in ("", sender) or "votes twice" in self.injected_faults
        granted = (
            term >= self.term
            and up_to_date
            and (term > self.term if pre_vote else can_vote)
            and not self.lost_state
        )
        if granted and not pre_vote:
            self.vote = sender
            if "forgets its vote" not in self.injected_faults:
                self._persist(("vote", self.term, self.vote))
            self._reset_election_timer()
        self._send(sender, "voted", (self.term, pre_vote, granted, term), durable=True)

    def _voted(self, sender: str, term: int, pre_vote: bool, granted: bool, requested_term: int) -> None:
        current = (
            self.role == ("asking" if pre_vote else "candidate") and requested_term == self.term + pre_vote
        )
        if granted and current and sender in self.config.voters:
            self.votes.add(sender)
            if self._is_majority(self.votes):
                self._election_won(pre_vote)

    def _election_won(self, pre_vote: bool) -> None:
        if pre_vote:
            self._start_election(pre_vote=False)
            return
        self.role, self.leader, self.peers = "leader", self.name, {}
        self.transfer_target, self.pending_reads = "", []
        self._append_entry(Entry(self.term, NOOP, b""))
        self._send_heartbeats()

    def _begin(self, sender: str, term: int) -> None:
        """TimeoutNow: the leader transfers leadership to this node."""
        if (
            term == self.term
            and self.name in self.config.voters
            and self.role == "follower"
            and not self.lost_state
        ):
            self._start_election(pre_vote=False, forced=True)

    def _complete_transfer(self) -> None:
        peer = self.peers.get(self.transfer_target)
        if peer is not None and peer.match_index == self.log.last_index:
            self._send(self.transfer_target, "begin", (self.term,))

    def _check_quorum(self) -> None:
        """Step down if no majority has responded within two election timeouts."""
        reachable = {
            name
            for name, peer in self.peers.items()
            if self.now - peer.last_contact_at < 2 * self.settings.election_s
        }
        if not self._is_majority(reachable | {self.name}):
            self._become_follower(self.term)

    def _is_majority(self, names: Iterable[str]) -> bool:
        voters = set(self.config.voters)
        counted = len(
            (set(self.config.all) if "learner counts as a voter" in self.injected_faults else voters)
            & set(names)
        )
        if "minority commits" in self.injected_faults:
            return 2 * counted >= len(voters)
        return 2 * counted > len(voters)

    # Entries, on the leader.

    def _append_entry(self, entry: Entry) -> int:
        self.log.entries.append(entry)
        index = self.log.last_index
        self._persist(("add", index, [entry]))
        if entry.kind == CONFIG:
            self.configs.append((index, decode_config(entry.data)))
        return index

    def _send_heartbeats(self) -> None:
        self.heartbeat_at = self.now + self.settings.heartbeat_s
        self._update_peers()
        for name, peer in self.peers.items():
            if peer.snapshot_offset >= 0:
                self._send_snapshot_chunk(name, peer)
            else:
                entries = (
                    self.log.entries_after(peer.next_index - 1, self.settings.batch_bytes)
                    if peer.probing
                    else []
                )
                self._send_append(name, peer, entries)
        self._advance_commit_index()

    def _update_peers(self) -> None:
        for name in self.config.all:
            if name != self.name and name not in self.peers:
                self.peers[name] = Peer(self.log.last_index + 1, self.now)
        for name in [name for name in self.peers if name not in self.config.all]:
            del self.peers[name]

    def _send_entries(self) -> None:
        """Send new entries to each peer up to its in-flight limit."""
        self._update_peers()
        for name, peer in self.peers.items():
            while (
                not peer.probing
                and peer.snapshot_offset < 0
                and peer.next_index <= self.log.last_index
                and len(peer.in_flight) < self.settings.max_in_flight
            ):
                self._send_append(
                    name, peer, self.log.entries_after(peer.next_index - 1, self.settings.batch_bytes)
                )

    def _send_append(self, name: str, peer: Peer, entries: list[Entry]) -> None:
        prev_term = self.log.term_at(peer.next_index - 1)
        if prev_term is None:
            peer.snapshot_offset = 0  # the entries it needs were compacted
            self._send_snapshot_chunk(name, peer)
            return
        args = (self.term, peer.next_index - 1, prev_term, entries, self.commit_index, self.heartbeat_round)
        self._send(name, "append", args)
        if entries and not peer.probing:
            peer.next_index += len(entries)
            peer.in_flight.append(peer.next_index - 1)

    def _took(self, sender: str, term: int, ok: bool, index: int, round_: int) -> None:
        peer = self.peers.get(sender)
        if self.role != "leader" or term != self.term or peer is None or index > self.log.last_index:
            return
        peer.last_contact_at, peer.acked_round = self.now, max(peer.acked_round, round_)
        if ok or "a refusal counts as held" in self.injected_faults:
            peer.match_index = max(peer.match_index, index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            peer.probing, peer.snapshot_offset = False, -1
            while peer.in_flight and peer.in_flight[0] <= peer.match_index:
                peer.in_flight.popleft()
            self._advance_commit_index()
            if sender == self.transfer_target:
                self._complete_transfer()
        elif peer.snapshot_offset < 0:
            # The conflict hint skips a whole term and may lie below the match index. The logs agree up to the
            # match index, so never go back further; otherwise replication could stall.
            retry_index = max(peer.match_index, index) + 1
            moved = retry_index != peer.next_index or not peer.probing
            peer.next_index, peer.probing = retry_index, True
            peer.in_flight.clear()
            # A voter that lost entries it had acknowledged rejects the same append repeatedly until it is
            # removed. Retry with the next heartbeat instead of at once.
            if moved:
                self._send_append(
                    sender,
                    peer,
                    self.log.entries_after(peer.next_index - 1, self.settings.batch_bytes)
                    if self.log.term_at(peer.next_index - 1) is not None
                    else [],
                )
        self._answer_reads()

    def _advance_commit_index(self) -> None:
        """Commit the highest index of the current term that a majority has on disk."""
        own_index = (
            self.log.last_index if "counts itself before sync" in self.injected_faults else self.synced_index
        )
        match_indices = {name: peer.match_index for name, peer in self.peers.items()} | {self.name: own_index}
        for index in sorted(
            {match for match in match_indices.values() if match > self.commit_index}, reverse=True
        ):
            if self._is_majority(name for name, match in match_indices.items() if match >= index) and (
                self.log.term_at(index) == self.term
                or "commits an older term by count" in self.injected_faults
            ):
                self.commit_index = index
                if self.name not in self.config.voters and self.configs[-1][0] <= index:
                    self._send_commit_index()
                    self._become_follower(self.term)  # removed from the voters, and all peers were informed
                break

    def _send_commit_index(self) -> None:
        for name, peer in self.peers.items():
            if peer.snapshot_offset < 0:
                self._send_append(name, peer, [])

    def _answer_reads(self) -> None:
        remaining = []
        for round_, index, token in self.pending_reads:
            acked = {name for name, peer in self.peers.items() if peer.acked_round >= round_}
            if self._is_majority(acked | {self.name}):
                self.results.reads.append((token, index))
            else:
                remaining.append((round_, index, token))
        self.pending_reads = remaining

    # Entries, on a follower.

    def _leader_contacted(self, sender: str, term: int) -> None:
        if self.role != "follower" or self.leader != sender:
            self._become_follower(term, sender)
        self.leader_contact_at = self.now
        self._reset_election_timer()

    def _append(
        self,
        sender: str,
        term: int,
        prev_index: int,
        prev_term: int,
        entries: list[Entry],
        leader_commit: int,
        round_: int,
    ) -> None:
        if term < self.term:
            self._send(sender, "took", (self.term, False, 0, 0))  # makes the stale leader step down
            return
        if self.role == "leader" and term == self.term:
            return  # invalid: a term has one leader
        self._leader_contacted(sender, term)
        if prev_index < self.commit_index:  # committed entries are identical on all nodes
            skip = min(self.commit_index - prev_index, len(entries))
            prev_index, entries = prev_index + skip, entries[skip:]
            prev_term = self.log.term_at(prev_index) or 0
            if prev_index < self.log.snapshot.included_index:
                self._send(sender, "took", (self.term, True, self.commit_index, round_), durable=True)
                return
        if self.log.term_at(prev_index) != prev_term:
            self._send(
                sender, "took", (self.term, False, self._conflict_hint(prev_index), round_), durable=True
            )
            return
        for first, entry in enumerate(entries, prev_index + 1):
            if self.log.term_at(first) != entry.term or "cuts without a conflict" in self.injected_faults:
                if first <= self.log.last_index:
                    self._truncate_log(first)
                new_entries = entries[first - prev_index - 1 :]
                self.log.entries += new_entries
                self._persist(("add", first, new_entries))
                self.configs += [
                    (index, decode_config(one.data))
                    for index, one in enumerate(new_entries, first)
                    if one.kind == CONFIG
                ]
                break
        match_index = prev_index + len(entries)
        new_commit = (
            leader_commit
            if "commit beyond what is here" in self.injected_faults
            else min(leader_commit, match_index)
        )
        self.commit_index = max(self.commit_index, min(new_commit, self.log.last_index))
        self._send(
            sender,
            "took",
            (self.term, True, match_index, round_),
            durable="acknowledges before sync" not in self.injected_faults,
        )

    def _conflict_hint(self, prev_index: int) -> int:
        """The last index at which the logs may still match: the one before the conflicting term."""
        if prev_index > self.log.last_index:
            return self.log.last_index
        term, index = self.log.term_at(prev_index), prev_index
        while index > self.commit_index and self.log.term_at(index) == term:
            index -= 1
        return index

    def _truncate_log(self, index: int) -> None:
        self.log.truncate_from(index)
        self.configs = [one for one in self.configs if one[0] < index]
        self.synced_index = min(self.synced_index, index - 1)
        for row in self.unsynced_rows:
            row[1] = min(row[1], index - 1)
        self._persist(("cut", index))

    # Snapshot transfer.

    def _send_snapshot_chunk(self, name: str, peer: Peer) -> None:
        current = self.log.snapshot
        peer.snapshot_offset = min(peer.snapshot_offset, len(current.data))
        data = current.data[peer.snapshot_offset : peer.snapshot_offset + self.settings.snapshot_chunk_bytes]
        self._send(
            name,
            "piece",
            (
                self.term,
                current.included_index,
                current.term,
                current.config,
                peer.snapshot_offset,
                len(current.data),
                data,
            ),
        )

    def _piece(
        self,
        sender: str,
        term: int,
        index: int,
        snapshot_term: int,
        config: Config,
        offset: int,
        size: int,
        data: bytes,
    ) -> None:
        if term < self.term:
            self._send(sender, "took", (self.term, False, 0, 0))
            return
        self._leader_contacted(sender, term)
        if index <= self.commit_index:
            self._send(sender, "took", (self.term, True, self.commit_index, 0), durable=True)
            return
        if self.incoming_snapshot is None or self.incoming_snapshot[:2] != (index, snapshot_term):
            self.incoming_snapshot = (index, snapshot_term, bytearray())
        received = self.incoming_snapshot[2]
        if offset == len(received) and offset + len(data) <= size:
            received += data
        if len(received) < size:
            self._send(sender, "pieced", (self.term, index, len(received)))
            return
        self.incoming_snapshot = None
        self._install_snapshot(Snapshot(index, snapshot_term, config, bytes(received)))
        self.commit_index = self.applied_index = index
        self.results.applied = []
        if "snapshot without its state" not in self.injected_faults:
            self.results.restored = self.log.snapshot
        self._send(sender, "took", (self.term, True, index, 0), durable=True)

    def _pieced(self, sender: str, term: int, index: int, received: int) -> None:
        peer = self.peers.get(sender)
        if self.role == "leader" and term == self.term and peer is not None and peer.snapshot_offset >= 0:
            peer.last_contact_at = self.now
            peer.snapshot_offset = received if index == self.log.snapshot.included_index else 0
            self._send_snapshot_chunk(sender, peer)

    def _install_snapshot(self, replacement: Snapshot) -> None:
        log_end = self.log.last_index
        if "snapshot without its state" in self.injected_faults and log_end > replacement.included_index:
            self.log.entries = self.log.entries[
                replacement.included_index - self.log.snapshot.included_index :
            ]
            self.log.snapshot = replacement
        elif not self.log.restore_from(replacement) and log_end > replacement.included_index:
            self._truncate_log(replacement.included_index + 1)
        self.configs = [(replacement.included_index, replacement.config)] + [
            one for one in self.configs if one[0] > replacement.included_index
        ]
        self._persist(("snapshot", replacement))

    # Persistence and message output.

    def _persist(self, row: tuple[Any, ...]) -> None:
        self.rows_emitted += 1
        self.results.persist.append(row)
        self.unsynced_rows.append([self.rows_emitted, self.log.last_index])

    def _send(self, to: str, call: str, args: tuple[Any, ...], durable: bool = False) -> None:
        """Queue a message; a `durable` one is held until all rows emitted so far are on disk."""
        if durable and self.rows_synced < self.rows_emitted:
            self.held_sends.append((self.rows_emitted, to, call, args))
        else:
            self.results.sends.append((to, call, args))

    def _apply(self) -> None:
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry(self.applied_index)
            if entry.kind == CONFIG and self._ends_promises(self.applied_index, entry):
                self.lost_state = False
            self.results.applied.append((self.applied_index, entry))

    def _ends_promises(self, index: int, entry: Entry) -> bool:
        """Whether a committed configuration has no vote of this node, and is later than its earlier lives."""
        before = self.committed_in_this_life
        return before is not None and index > before and self.name not in decode_config(entry.data).voters
