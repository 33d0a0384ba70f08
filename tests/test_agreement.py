"""The agreement core: schedules under faults, planted mistakes, and what a voter keeps on its disk."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from random import Random
from typing import Any

import pytest

from merlintally.cluster.agreement import Config, Entry, Kept, Pace, Raft, Snapshot
from merlintally.cluster.disk import FORM, Disk, Full, Spoilt, read_log
from merlintally.lab.schedules.agreement import play


def test_no_schedule_breaks_what_is_promised() -> None:
    broken = {seed: verdict.broken for seed in range(150) if (verdict := play(seed)).broken}
    assert broken == {}


def test_the_same_seed_gives_the_same_schedule() -> None:
    assert play(7).counts == play(7).counts != play(8).counts


MISTAKES = {  # each with the first schedule that shows it
    "votes twice": 1,
    "forgets its vote": 29,
    "acknowledges before sync": 86,
    "counts itself before sync": 162,
    "votes for a shorter log": 0,
    "cuts without a conflict": 2,
    "commit beyond what is here": 2,
    "minority commits": 13,
    "reads without a round": 4,
    "two changes at once": 80,
    "snapshot without its state": 9,
    "a refusal counts as held": 11,
    "learner counts as a voter": 16,
}


@pytest.mark.parametrize("mistake", MISTAKES)
def test_a_planted_mistake_is_found(mistake: str) -> None:
    assert play(MISTAKES[mistake], (mistake,)).broken and not play(MISTAKES[mistake]).broken


def voter(name: str = "a", voters: tuple[str, ...] = ("a", "b", "c"), **more: Any) -> Raft:
    return Raft(name, Kept(), Config(voters), Pace(), Random(1), 100.0, **more)


def test_an_older_terms_entry_is_not_committed_by_count() -> None:
    for mistakes, commit in ((frozenset[str](), 0), (frozenset({"commits an older term by count"}), 1)):
        kept = Kept(term=1, entries=[Entry(1, 0, b"of before")])
        core = Raft("a", kept, Config(("a", "b", "c")), Pace(), Random(1), 100.0, mistakes=mistakes)
        core.wake(102.0)
        core.hear(102.0, "b", "voted", (1, True, True, 2))
        core.synced(102.0, core.take_results().number)
        core.hear(102.0, "b", "voted", (2, False, True, 2))
        core.synced(102.0, core.take_results().number)
        core.hear(102.0, "b", "took", (2, True, 1, 1))
        assert (core.role, core.commit) == ("leader", commit)
        core.hear(102.0, "b", "took", (2, True, 2, 1))
        assert core.commit == 2


def test_a_refusal_that_leads_nowhere_is_not_answered_at_once() -> None:
    core = elected(voter())
    core.hear(102.1, "b", "took", (1, True, 1, 1))
    core.take_results()
    for times, expected in ((1, 1), (2, 0), (3, 0)):  # b has lost what it had confirmed
        core.hear(102.1, "b", "took", (1, False, 0, 1))
        told = [to for to, call, _ in core.take_results().sends if (to, call) == ("b", "append")]
        assert len(told) == expected, times


def elected(core: Raft) -> Raft:
    """Have it lead in term 1, by the votes of b."""
    core.wake(102.0)
    core.take_results()
    core.hear(102.0, "b", "voted", (0, True, True, 1))
    core.synced(102.0, core.take_results().number)
    core.hear(102.0, "b", "voted", (1, False, True, 1))
    return core


def test_a_vote_is_told_only_once_it_is_on_disk() -> None:
    core = voter()
    core.hear(102.0, "b", "asked", (1, False, False, 0, 0))
    found = core.take_results()
    assert found.persist[-1] == ("vote", 1, "b") and found.sends == []
    core.synced(102.0, found.number)
    assert core.take_results().sends == [("b", "voted", (1, False, True, 1))]


def test_one_that_has_lost_its_log_does_not_vote_until_it_was_voted_out() -> None:
    """Guards against a voter with an empty folder that votes a second time in a term it has forgotten."""
    core = voter(blank=True)
    core.hear(102.0, "b", "asked", (1, False, False, 0, 0))
    core.synced(102.0, core.take_results().number)
    assert core.take_results().sends == [("b", "voted", (1, False, False, 1))]
    out = Entry(1, 1, Config(("b", "c"), ("a",)).encode())
    core.hear(102.0, "b", "append", (1, 0, 0, [out], 1, 0))
    core.take_results()
    assert not core.blank


def test_a_leader_without_a_majority_steps_back_and_refuses_its_reads() -> None:
    core = elected(voter())
    core.read(102.0, "token")
    assert core.role == "leader"
    core.wake(104.0)
    assert core.role == "follower" and core.take_results().refused == ["token"]


def test_a_refusal_from_before_what_is_confirmed_does_not_stop_the_flow() -> None:
    """Guards against a leader that stands still for good: three of 100,000 schedules did, after all faults
    had ended. A follower with a tail of another leader's goes back over the whole term of it."""
    core = elected(voter())
    for _ in range(4):
        core.propose(102.0, b"x")
    core.take_results()
    core.hear(102.0, "b", "took", (1, True, 3, 0))
    core.take_results()
    core.hear(102.0, "b", "took", (1, False, 1, 0))
    ((_, call, args),) = [one for one in core.take_results().sends if one[0] == "b"]
    assert (call, args[1], len(args[3])) == ("append", 3, 2)
    assert not play(9611).broken


def test_a_message_of_nonsense_from_a_second_leader_changes_nothing() -> None:
    core = elected(voter())
    last = core.log.last
    core.hear(102.0, "c", "append", (1, 0, 0, [Entry(1, 0, b"x")], 9, 0))
    core.hear(102.0, "c", "took", (1, True, 10**6, 0))
    assert (core.role, core.log.last, core.commit) == ("leader", last, 0)


def test_flow_is_bounded_and_what_is_too_much_is_refused() -> None:
    core = elected(
        Raft("a", Kept(), Config(("a", "b", "c")), Pace(flight=2, batch=10, pending=20), Random(1), 100.0)
    )
    core.take_results()
    core.hear(102.0, "b", "took", (1, True, 1, 0))
    assert [core.propose(102.0, b"12345678") > 0 for _ in range(25)].count(True) < 25
    sends = [args for to, call, args in core.take_results().sends if to == "b" and args[3]]
    assert len(sends) == 2


# The disk.

ROWS: list[tuple[Any, ...]] = [("vote", 3, "b"), ("add", 1, [Entry(3, 0, b"one"), Entry(3, 0, b"two")])]


def disk_with(folder: Path, rows: list[tuple[Any, ...]] = ROWS) -> bytes:
    disk = Disk(folder)
    disk.write(rows)
    disk.close()
    return (folder / "agreement.log").read_bytes()


def test_what_was_written_is_there_after_a_restart(tmp_path: Path) -> None:
    disk_with(tmp_path)
    again = Disk(tmp_path)
    assert (again.kept.term, again.kept.vote, len(again.kept.entries), again.start) == (3, "b", 2, 2)
    with pytest.raises(OSError, match="another process"):
        Disk(tmp_path)


@pytest.mark.parametrize("lost", [1, 9, 17])
def test_a_torn_last_write_is_cut_off(tmp_path: Path, lost: int) -> None:
    data = disk_with(tmp_path)
    (tmp_path / "agreement.log").write_bytes(data[:-lost])
    again = Disk(tmp_path)
    assert again.kept.vote == "b" and again.kept.entries == [] and again.torn > 0
    again.write([("add", 1, [Entry(4, 0, b"new")])])
    assert read_log((tmp_path / "agreement.log").read_bytes(), "x")[0].entries == [Entry(4, 0, b"new")]


def test_a_spoilt_last_record_that_was_on_disk_is_not_taken_for_a_torn_one(tmp_path: Path) -> None:
    data = disk_with(tmp_path)
    spoilt = bytearray(data)
    spoilt[-2] ^= 0x55
    (tmp_path / "agreement.log").write_bytes(spoilt)
    with pytest.raises(Spoilt, match="the last record at byte .* was on disk, and is corrupt"):
        Disk(tmp_path)
    (tmp_path / "synced").unlink()  # an older program's folder, or a power cut: then nobody knows
    assert Disk(tmp_path).torn > 0


def test_a_spoilt_record_in_the_middle_stops_the_node_and_names_the_place(tmp_path: Path) -> None:
    data = bytearray(disk_with(tmp_path))
    data[len(FORM) + 12] ^= 1
    with pytest.raises(Spoilt, match=f"log: the record at byte {len(FORM)} is corrupt"):
        read_log(bytes(data), "log")


def test_every_spoilt_byte_is_seen_or_cut_off(tmp_path: Path) -> None:
    """No byte of a record may change what is read, other than that the last record is gone."""
    data = disk_with(tmp_path)
    whole = read_log(data, "log")[0]
    for at in range(len(FORM), len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 0x55
        try:
            found = read_log(bytes(spoilt), "log")[0]
        except Spoilt:
            continue
        assert found.entries == [] and (found.term, found.vote) in ((whole.term, whole.vote), (0, ""))


def test_a_full_disk_loses_nothing_that_was_promised(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk(tmp_path)
    disk.write(ROWS)
    real = os.write

    def full(file: int, data: bytes) -> int:
        if file == disk.file:
            real(file, data[:5])
            raise OSError(errno.ENOSPC, "No space left on device")
        return real(file, data)

    monkeypatch.setattr(os, "write", full)
    with pytest.raises(Full, match="No space left"):
        disk.write([("add", 3, [Entry(3, 0, b"three")])])
    monkeypatch.undo()
    disk.write([("add", 3, [Entry(3, 0, b"again")])])
    disk.close()
    assert [one.data for one in Disk(tmp_path).kept.entries] == [b"one", b"two", b"again"]


def test_a_snapshot_begins_the_log_anew(tmp_path: Path) -> None:
    shot = Snapshot(1, 3, Config(("a",)), b"state")
    disk_with(tmp_path, [*ROWS, ("snapshot", shot), ("add", 3, [Entry(4, 0, b"three")])])
    kept = Disk(tmp_path).kept
    assert (
        kept.snapshot == shot
        and [one.data for one in kept.entries] == [b"two", b"three"]
        and kept.vote == "b"
    )


def test_an_older_folder_is_set_aside_and_votes_no_more(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    disk.admitted()
    disk.write(ROWS)
    disk.set_aside()
    disk.close()
    again = Disk(tmp_path)
    assert again.blank and again.kept.entries == [] and (tmp_path / "agreement.log.older-1").exists()
