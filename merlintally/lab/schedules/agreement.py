"""Schedules of the agreement core: voters with disks under every fault, and the paper's safety at each
step."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from random import Random
from typing import Any

from merlintally.cluster.agreement import (
    Config,
    Entry,
    PersistentState,
    Raft,
    RaftSettings,
    Results,
    Snapshot,
)
from merlintally.lab.schedules.world import Drifting, Found, Judge, Verdict

PACE = RaftSettings(
    heartbeat_s=0.1,
    election_s=0.4,
    batch_bytes=400,
    max_in_flight=4,
    snapshot_chunk_bytes=40,
    max_uncommitted=200,
)
LENGTH_S, HEALED_S = 5.0, 4.0


class Disk:
    """Rows are safe once synced; a crash leaves a part of those that were not."""

    def __init__(self) -> None:
        self.safe, self.unsafe = PersistentState(), list[tuple[int, tuple[Any, ...]]]()
        self.syncing = False

    def write(self, number: int, row: tuple[Any, ...]) -> None:
        self.unsafe.append((number, row))

    def sync(self, upto: int) -> None:
        while self.unsafe and self.unsafe[0][0] <= upto:
            self.safe.apply(self.unsafe.pop(0)[1])

    def crash(self, random: Random) -> None:
        for _, row in self.unsafe[: random.randint(0, len(self.unsafe))]:
            if row[0] == "add" and random.random() < 0.3:  # torn: some of its entries are whole, and no more
                self.safe.apply(("add", row[1], row[2][: random.randint(0, len(row[2]))]))
                break
            self.safe.apply(row)
        self.unsafe, self.syncing = [], False


class Voter:
    """One machine: a core, its disk and clock, and the state that its entries bring about (a list of
    numbers)."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.name, self.disk = rig, name, Disk()
        self.clock = Drifting(rig.world, rig.drift)
        self.core: Raft | None = None
        self.life, self.wake_at = 0, 0.0
        self.state: list[int] = []
        self.reads: list[tuple[int, Op]] = []

    def start(self) -> None:
        self.life += 1
        self.wake_at = 0.0
        kept = PersistentState(
            self.disk.safe.term, self.disk.safe.vote, self.disk.safe.snapshot, list(self.disk.safe.entries)
        )
        self.state, self.reads = states_of(kept.snapshot.data), []
        self.core = Raft(
            self.name,
            kept,
            self.rig.config,
            self.rig.pace,
            Random(self.rig.world.random.random()),
            self.clock.now(),
            injected_faults=self.rig.mistakes,
        )
        self.settle()

    def crash(self) -> None:
        self.core = None
        self.life += 1
        self.disk.crash(self.rig.world.random)
        for _, op in self.reads:
            op.unknown = True

    def settle(self) -> None:
        """Carry out what the core wants."""
        core, rig, world = self.core, self.rig, self.rig.world
        assert core is not None
        found = core.take_results()
        for at, row in enumerate(found.persist, found.number - len(found.persist) + 1):
            self.disk.write(at, row)
        if self.disk.unsafe and not self.disk.syncing:
            self.disk.syncing = True
            world.after(rig.sync_s(), self.synced, self.life, self.disk.unsafe[-1][0])
        for to, call, args in found.sends:
            rig.watch_send(self.name, to, call, args)
            world.send(self.name, to, rig.deliver, to, self.name, call, args)
        self.carry_out(found)
        rig.watch(self)
        when = self.clock.world_time(found.wake_at)
        if not self.wake_at or when < self.wake_at or self.wake_at <= world.now:
            self.wake_at = max(when, world.now + 0.001)
            world.at(self.wake_at, self.woken, self.life)

    def carry_out(self, found: Results) -> None:
        if found.restored is not None:
            self.state = states_of(found.restored.data)
            self.rig.watch_restored(self, found.restored)
        for index, entry in found.applied:
            if entry.kind == 0 and int(entry.data) not in self.state:
                self.state.append(int(entry.data))
            self.rig.watch_applied(self, index, entry)
        self.reads += [(index, op) for op, index in found.reads]
        for op in found.refused:
            op.unknown = True
        assert self.core is not None
        for index, op in [one for one in self.reads if one[0] <= self.core.applied_index]:
            op.done(self.rig.world.now, list(self.state))
            self.reads.remove((index, op))

    def synced(self, life: int, number: int) -> None:
        if life == self.life and self.core is not None:
            self.disk.sync(number)
            self.disk.syncing = False
            self.core.synced(self.clock.now(), number)
            self.settle()

    def woken(self, life: int) -> None:
        if life == self.life and self.core is not None:
            self.core.wake(self.clock.now())
            self.settle()

    def do(self, call: str, *args: Any) -> Any:
        if self.core is None:
            return None
        found = getattr(self.core, call)(self.clock.now(), *args)
        self.settle()
        return found


class Op:
    """One call of a client: an append of a number of its own, or a read of the whole list."""

    def __init__(self, began: float, value: int | None) -> None:
        self.began, self.value = began, value
        self.ended, self.seen, self.unknown = 0.0, list[int](), False

    def done(self, now: float, seen: list[int]) -> None:
        if not self.ended:
            self.ended, self.seen = now, seen


def states_of(data: bytes) -> list[int]:
    return [int(one) for one in data.split()]


class Rig(Judge):
    """One schedule. Safety is looked at whenever a core has done something."""

    def __init__(self, seed: int, mistakes: Iterable[str] = ()) -> None:
        super().__init__(seed, mistakes)
        random = self.world.random
        count = random.choice((3, 3, 3, 4, 5))
        names = [f"v{at}" for at in range(count + 1)]
        cut = random.choice((count, count, count, 2 if count == 3 else 3))  # the others learn at first
        self.config = Config(tuple(names[:cut]), tuple(names[cut:]) if random.random() < 0.6 else ())
        self.pace = PACE._replace(batch_bytes=random.choice((20, 20, 400)))
        self.drift = random.choice((0.0, 0.01, 0.1))
        self.slow_disk = random.choice((0.0, 0.02, 0.2))
        self.voters = {name: Voter(self, name) for name in names}
        self.leaders: dict[int, str] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.committed: dict[int, Entry] = {}
        self.states: dict[int, list[int]] = {}
        self.ops: list[Op] = []
        self.by_value: dict[int, Op] = {}
        self.last_value = 0

    def sync_s(self) -> float:
        random = self.world.random
        return random.uniform(0.0005, 0.004) + (
            random.random() * 0.4 if random.random() < self.slow_disk else 0
        )

    def deliver(self, to: str, sender: str, call: str, args: tuple[Any, ...]) -> None:
        voter = self.voters[to]
        if voter.core is not None:
            voter.core.receive(voter.clock.now(), sender, call, args)
            voter.settle()

    # Faults and load, drawn from the seed.

    def play(self) -> Verdict:
        world, random = self.world, self.world.random
        for voter in self.voters.values():
            voter.start()
        world.loss, world.double = random.choice((0, 0, 0.02, 0.2)), random.choice((0, 0, 0.1))
        world.slow = random.choice((0, 0, 0.03, 0.2))
        if random.random() < 0.3:
            world.delay = (0.001, 0.15)
        faults = random.sample(
            (
                self._crash,
                self._crash_leader,
                self._part,
                self._one_way,
                self._compact,
                self._change,
                self._transfer,
                self._all_down,
                self._lose_leader,
                self._narrow,
                self._narrow,
            ),
            random.randint(1, 7),
        )
        at = 0.8
        while at < LENGTH_S:
            world.at(at, random.choice(faults))
            at += random.expovariate(3.0)
        at = 0.5
        while at < LENGTH_S:
            world.at(at, self._client)
            at += random.expovariate(15.0)
        world.run(LENGTH_S)
        world.cut.clear()
        world.loss = world.double = world.slow = 0.0
        world.delay, self.slow_disk = (0.001, 0.01), 0.0
        for voter in self.voters.values():
            if voter.core is None:
                voter.start()
        marks = [Op(world.now, None)]
        for when in range(int(HEALED_S / 0.2)):
            world.at(LENGTH_S + when * 0.2, self._mark, marks)
        world.run(LENGTH_S + HEALED_S)
        self.verdict.finished = any(op.ended for op in marks)
        if not self.verdict.finished and not self.mistakes:
            self.broken("after all faults had ended nothing was committed in time")
        self.linearizable()
        self.verdict.counts |= {
            "leaders": len(self.leaders),
            "committed": len(self.committed),
            "messages": world.sent,
            "lost": world.lost,
            "calls": len(self.ops),
        }
        return self.verdict

    def _leader(self) -> Voter | None:
        led = [one for one in self.voters.values() if one.core is not None and one.core.role == "leader"]
        return self.world.random.choice(led) if led else None

    def _crash(self, voter: Voter | None = None) -> None:
        voter = voter or self.world.random.choice(list(self.voters.values()))
        if voter.core is not None:
            self.count("crashes")
            voter.crash()
            self.world.after(self.world.random.choice((0.01, 0.3, 1.5)), self._back, voter)

    def _back(self, voter: Voter) -> None:
        if voter.core is None:
            voter.start()

    def _crash_leader(self) -> None:
        if (led := self._leader()) is not None:
            self._crash(led)

    def _all_down(self) -> None:
        for voter in self.voters.values():
            self._crash(voter)

    def _part(self) -> None:
        self.count("partitions")
        names = list(self.voters)
        side = set(self.world.random.sample(names, self.world.random.randint(1, len(names) - 1)))
        self._cut(side, set(names) - side, True)

    def _one_way(self) -> None:
        self.count("one-way cuts")
        one, other = self.world.random.sample(list(self.voters), 2)
        self._cut({one}, {other}, False)

    def _lose_leader(self) -> None:
        if (led := self._leader()) is not None:
            self.count("partitions")
            self._cut({led.name}, set(self.voters) - {led.name}, self.world.random.random() < 0.5)

    def _narrow(self) -> None:
        """A leader reaches a minority alone with what it is given, and is gone before more have it."""
        random = self.world.random
        if (led := self._leader()) is not None:
            self.count("narrowed leaders")
            others = [name for name in self.voters if name != led.name]
            near = random.sample(others, min(len(others), random.randint(0, 1)))
            self._cut({led.name}, set(others) - set(near), True)
            self._append(led)
            self.world.after(random.uniform(0.02, 0.3), self._crash, led)

    def _cut(self, one: set[str], other: set[str], both: bool) -> None:
        self.world.part(one, other, both)
        self.world.after(self.world.random.uniform(0.1, 1.5), self.world.cut.clear)

    def _compact(self) -> None:
        voter = self.world.random.choice(list(self.voters.values()))
        if voter.core is not None and voter.core.applied_index > voter.core.log.snapshot.included_index + 2:
            self.count("snapshots")
            voter.do("compact", b" ".join(b"%d" % one for one in voter.state))

    def _change(self) -> None:
        random = self.world.random
        if (led := self._leader()) is not None and led.core is not None:
            now, other = led.core.config, random.choice(list(self.voters))
            voters, learners = set(now.voters), set(now.learners)
            if other in voters and len(voters) > 2:
                voters.discard(other)
                learners.discard(other)
            elif other in learners:
                voters.add(other)
                learners.discard(other)
            else:
                learners.add(other)
            if "two changes at once" in self.mistakes:
                voters = set(random.sample(list(self.voters), random.randint(1, len(self.voters))))
                learners -= voters
            if other not in now.voters or len(now.voters) > 2:
                self.count(
                    "changes of members"
                    if led.do(
                        "change_config", Config(tuple(sorted(voters)), tuple(sorted(learners - voters)))
                    )
                    else "changes refused"
                )

    def _transfer(self) -> None:
        if (led := self._leader()) is not None and led.core is not None:
            self.count("transfers")
            led.do("transfer_leadership", self.world.random.choice(led.core.config.voters))

    def _client(self) -> None:
        """A client calls whoever it takes for the leader."""
        random = self.world.random
        led = self._leader() if random.random() < 0.9 else random.choice(list(self.voters.values()))
        if led is None or led.core is None:
            return
        if random.random() < 0.35:
            self.ops.append(op := Op(self.world.now, None))
            led.do("read", op)
            return
        self._append(led)

    def _append(self, voter: Voter) -> Op:
        self.last_value += 1
        op = self.by_value[self.last_value] = Op(self.world.now, self.last_value)
        self.ops.append(op)
        voter.do("propose", b"%d" % self.last_value)
        return op

    def _mark(self, marks: list[Op]) -> None:
        if not any(op.ended for op in marks) and (led := self._leader()) is not None:
            marks.append(self._append(led))

    # What must hold.

    def watch_send(self, sender: str, to: str, call: str, args: tuple[Any, ...]) -> None:
        if call == "voted" and args[2] and not args[1] and self.votes.setdefault((sender, args[3]), to) != to:
            self.broken(f"{sender} votes for {self.votes[sender, args[3]]} and {to} in term {args[3]}")

    def watch(self, voter: Voter) -> None:
        core = voter.core
        if core is None or core.role != "leader" or self.leaders.get(core.term) == voter.name:
            return
        if core.term in self.leaders:
            self.broken(f"{voter.name} and {self.leaders[core.term]} lead in term {core.term}")
        self.leaders[core.term] = voter.name
        for index, entry in self.committed.items():
            if index > core.log.snapshot.included_index and core.log.term_at(index) != entry.term:
                self.broken(f"{voter.name} leads in term {core.term} without the committed entry {index}")
                return

    def watch_applied(self, voter: Voter, index: int, entry: Entry) -> None:
        first = self.committed.setdefault(index, entry)
        if first != entry:
            self.broken(f"{voter.name} applies another entry {index} than was applied before")
        if self.states.setdefault(index, list(voter.state)) != voter.state:
            self.broken(f"{voter.name} has another state behind {index}")
        if (
            entry.kind == 0
            and (op := self.by_value.get(int(entry.data))) is not None
            and voter.core is not None
            and voter.core.role == "leader"
        ):
            op.done(self.world.now, [])

    def watch_restored(self, voter: Voter, shot: Snapshot) -> None:
        if shot.included_index in self.states and self.states[shot.included_index] != voter.state:
            self.broken(f"{voter.name} takes a snapshot at {shot.included_index} of another state")

    def linearizable(self) -> None:
        """Reads of a list that only grows, of numbers that each client gave once: every read has to be a part
        of the longest from its beginning, and what had ended before another call began comes before it."""
        reads = [op for op in self.ops if op.value is None and op.ended]
        last = max(self.states.items(), default=(0, list[int]()))[1]
        place = {value: at for at, value in enumerate(last)}
        for op in reads:
            if op.seen != last[: len(op.seen)]:
                self.broken("a read shows a list that is no beginning of the last one")
        ends = [
            (op.ended, len(op.seen) if op.value is None else place.get(op.value, len(last)) + 1)
            for op in self.ops
            if op.ended
        ]
        for op in self.ops:
            if op.ended and op.value is not None and op.value not in place:
                self.broken(f"{op.value} was confirmed and is not in the list")
            seen = len(op.seen) if op.value is None and op.ended else place.get(op.value or 0, len(last))
            if (op.ended or op.value in place) and any(
                end < op.began and least > seen for end, least in ends
            ):
                self.broken("a call does not see what had ended before it began")


def play(seed: int, mistakes: Iterable[str] = ()) -> Verdict:
    """One schedule; the same seed gives the same verdict."""
    rig = Rig(seed, mistakes)
    with suppress(Found):
        rig.play()
    return rig.verdict
