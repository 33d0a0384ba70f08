"""SWIM with Lifeguard's additions, as a core that takes events and gives results.

Each node probes one other a period, directly and then through others; who does not answer is suspected, and
dead once nobody has refuted that in time. News travels on the probes. A node that is slow itself (it misses
answers that others get, or is suspected) gives others more time: its `health` is the measure. What comes in
is one of the calls in `FORMS`, made through `hear`; what is wanted is taken with `take_results`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, log, log10
from random import Random
from typing import Any, NamedTuple

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3  # states; of the same incarnation the higher one holds
STATES = ("alive", "suspect", "dead", "left")
START = 1 << 20  # by which each start of a node raises its incarnation
News = tuple[str, int, int, str, str]  # name, state, incarnation, address, who suspects it

FORMS: dict[str, Any] = {  # call -> types of its arguments
    "ping": tuple[int, str, list[News]],  # number, who is meant, news
    "ask": tuple[int, str, list[News]],  # number, who is to be probed for the sender, news
    "ack": tuple[int, list[News]],
    "gossip": tuple[list[News]],
    "nack": tuple[int, list[News]],  # who was asked has no answer yet, but is there
    "state": tuple[bool, list[News]],  # all that the sender knows; whether it wants the same
}

INJECTED_FAULTS = (  # planted by name, in tests only
    "old news taken",
    "dead returns by the same incarnation",
    "suspicion is not refuted",
    "no indirect probe",
    "left counts as dead",
    "a start forgets its incarnation",
    "suspicion never ends",
    "news is never told on",
)


class Rhythm(NamedTuple):
    """Times in seconds. A stated suspicion lasts `alpha * log10(members)` periods at the least, `beta` times
    that where no other node confirms it."""

    period_s: float = 1.0
    answer_s: float = 0.3  # for a direct answer
    asked: int = 3  # others that probe for it
    alpha: float = 4.0
    beta: float = 6.0
    confirmations: int = 3  # that bring a suspicion down to its least
    told: float = 3.0  # times log10(members + 1) that a piece of news is told on
    gossip_s: float = 0.25  # between datagrams of news alone, while there is any
    fan: int = 2  # to so many others
    room: int = 1100  # bytes of news in one datagram
    exchange_s: float = 15.0  # between full exchanges with one other
    again_s: float = 5.0  # between probes of one of the dead
    worst: int = 8  # of health
    flap_half_s: float = 60.0  # in which half of what was held against one that flaps is forgotten
    flap_most: float = 2.5  # deaths, beyond which a member does not count as steady
    forget_s: float = 3600.0  # after which one that is dead or has left is forgotten


@dataclass(slots=True)
class Member:
    """What is known of one. `since`: when its state was last changed, on this node's clock."""

    name: str
    address: str
    state: int
    incarnation: int
    since: float
    deaths: float = 0.0  # lately, by halves
    deaths_at: float = 0.0
    until: float = 0.0  # when a suspicion ends
    began: float = 0.0
    accusers: list[str] = field(default_factory=list)  # the last one is told on


@dataclass(slots=True)
class Results:
    """What is wanted: datagrams and streamed messages (`to`, call, arguments), and who changed state."""

    sends: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)
    streams: list[tuple[str, str, tuple[Any, ...]]] = field(default_factory=list)
    changed: list[tuple[str, int]] = field(default_factory=list)
    wake_at: float = 0.0


class Members:
    """One node's view. `everyone` has the others that it is told of at the start: name -> address."""

    def __init__(
        self,
        name: str,
        address: str,
        everyone: dict[str, str],
        start: int,
        rhythm: Rhythm,
        random: Random,
        now: float,
        mistakes: frozenset[str] = frozenset(),
    ) -> None:
        self.name, self.rhythm, self.random, self.mistakes, self.now = name, rhythm, random, mistakes, now
        self.incarnation = 0 if "a start forgets its incarnation" in mistakes else start * START
        self.known = {name: Member(name, address, ALIVE, self.incarnation, now)}
        for other, where in everyone.items():
            if other != name:
                self.known[other] = Member(other, where, ALIVE, 0, now)
        self.health = 0  # 0: well; higher: this node is slow itself, and gives the others more time
        self.leaving = False
        self.queue: dict[str, int] = {}  # news -> how often it was told
        self.order: list[str] = []  # whom to probe next
        self.number = 0
        self.probing = ""  # who is probed in this period
        self.answered = True
        self.nacks = self.asked = 0
        self.relays: dict[
            int, tuple[str, int, float, bool]
        ] = {}  # own number -> asker, its number, until, nacked
        self.period_at = now + random.random() * rhythm.period_s
        self.answer_at = 0.0
        self.exchange_at = now + random.random()
        self.gossip_at = now
        self.again_at = now + rhythm.again_s
        self.suspects: set[str] = set()  # who is suspected now: looked at with each message
        self.results = Results()
        self._tell(name)

    # What others ask of it.

    def state(self, name: str) -> int | None:
        found = self.known.get(name)
        return found.state if found is not None else None

    def alive(self) -> list[str]:
        """All that are not dead and have not left, by name; those suspected are among them."""
        return sorted(name for name, one in self.known.items() if one.state <= SUSPECT)

    def steady(self, name: str, now: float) -> bool:
        """Whether it is alive and has not died over and over lately."""
        one = self.known.get(name)
        return one is not None and one.state == ALIVE and self._held(one, now) <= self.rhythm.flap_most

    def leave(self, now: float) -> None:
        """Say that it goes; nobody has to find out."""
        self.now, self.leaving = now, True
        me = self.known[self.name]
        me.state = DEAD if "left counts as dead" in self.mistakes else LEFT
        for name in self._some(self.rhythm.asked + 1, ()):
            self._tell(self.name)  # each of them hears it, however often it was told before
            self._send(name, "ping", 0, name)

    def take_results(self) -> Results:
        found, self.results = self.results, Results()
        due = [self.period_at, self.exchange_at, self.again_at]
        if self.answer_at:
            due.append(self.answer_at)
        if self.queue:
            due.append(self.gossip_at)
        due += [self.known[name].until for name in self.suspects]
        due += [until for _, _, until, nacked in self.relays.values() if not nacked]
        found.wake_at = min(due)
        return found

    def wake(self, now: float) -> None:
        """Time has passed; call it at `wake_at` or later."""
        self.now = now
        for one in list(self.known.values()):
            if one.state == SUSPECT and now >= one.until and "suspicion never ends" not in self.mistakes:
                self._news((one.name, DEAD, one.incarnation, one.address, ""))
            elif one.state >= DEAD and now - one.since > self.rhythm.forget_s:
                del self.known[one.name]
                self.suspects.discard(one.name)
                self.queue.pop(one.name, None)
        for number, (asker, its, until, nacked) in list(self.relays.items()):
            if now >= until + self.rhythm.period_s:
                del self.relays[number]
            elif now >= until and not nacked:
                self.relays[number] = (asker, its, until, True)
                self._send(asker, "nack", its)
        if self.leaving:
            self.period_at = self.exchange_at = self.again_at = now + self.rhythm.period_s
            return
        if self.answer_at and now >= self.answer_at:
            self.answer_at = 0.0
            if not self.answered and "no indirect probe" not in self.mistakes:
                self._ask_others()
        if now >= self.period_at:
            self._end_period()
            self._probe()
        if now >= self.exchange_at:
            self.exchange_at = now + self.rhythm.exchange_s * (0.5 + self.random.random())
            for name in self._some(1, ()):
                self.results.streams.append((name, "state", (True, self._all())))
        if self.queue and now >= self.gossip_at:
            self.gossip_at = now + self.rhythm.gossip_s
            for name in self._some(self.rhythm.fan, ()):
                self._send(name, "gossip")
        if now >= self.again_at:
            self.again_at = now + self.rhythm.again_s * (0.5 + self.random.random())
            dead = [name for name, one in self.known.items() if one.state == DEAD]
            if (
                dead
            ):  # guards against two halves of a healed partition that hold each other to be dead for good
                name = self.random.choice(dead)
                self._send(name, "ping", 0, name)

    def hear(self, now: float, sender: str, call: str, args: tuple[Any, ...]) -> None:
        """A message. News in it is judged piece by piece."""
        self.now = now
        if call != "state":
            for piece in args[-1]:
                self._news(piece)
        getattr(self, f"_{call}")(sender, *args)

    # Probes.

    def _end_period(self) -> None:
        probed = self.known.get(self.probing)
        if not self.answered and probed is not None and probed.state <= SUSPECT:
            self.health = min(self.rhythm.worst, self.health + 1 + max(0, self.asked - self.nacks - 1))
            self._news((probed.name, SUSPECT, probed.incarnation, probed.address, self.name))
        elif self.probing:
            self.health = max(0, self.health - 1)

    def _probe(self) -> None:
        self.period_at = self.now + self.rhythm.period_s * (1 + self.health)
        self.probing, self.answered, self.nacks, self.asked = "", True, 0, 0
        while self.order or any(True for _ in self._others()):
            if not self.order:
                self.order = list(self._others())
                self.random.shuffle(self.order)
            name = self.order.pop()
            one = self.known.get(name)
            if one is not None and one.state <= SUSPECT:
                self.number += 1
                self.probing, self.answered = name, False
                self.answer_at = self.now + self.rhythm.answer_s * (1 + self.health)
                self._send(name, "ping", self.number, name)
                return

    def _ask_others(self) -> None:
        for name in self._some(self.rhythm.asked, (self.probing,)):
            self.asked += 1
            self._send(name, "ask", self.number, self.probing)

    def _others(self) -> Iterable[str]:
        return (name for name, one in self.known.items() if one.state <= SUSPECT and name != self.name)

    def _some(self, count: int, but: tuple[str, ...]) -> list[str]:
        names = [name for name in self._others() if name not in but]
        return self.random.sample(names, min(count, len(names)))

    def _ping(self, sender: str, number: int, meant: str, _: list[News]) -> None:
        if meant == self.name:  # guards against an answer for one whose address another has now
            self._send(sender, "ack", number)

    def _ask(self, sender: str, number: int, meant: str, _: list[News]) -> None:
        if meant in self.known and len(self.relays) < 256:
            self.number += 1
            self.relays[self.number] = (sender, number, self.now + self.rhythm.answer_s * 0.8, False)
            self._send(meant, "ping", self.number, meant)

    def _ack(self, sender: str, number: int, _: list[News]) -> None:
        if number == self.number and sender == self.probing:
            self.answered = True
        elif (relay := self.relays.pop(number, None)) is not None:
            self._send(relay[0], "ack", relay[1])
        elif number == self.number and self.asked:
            self.answered = True  # through another

    def _gossip(self, sender: str, _: list[News]) -> None:
        """News alone."""

    def _nack(self, sender: str, number: int, _: list[News]) -> None:
        if number == self.number:
            self.nacks += 1

    def _state(self, sender: str, wants: bool, news: list[News]) -> None:
        for piece in news:
            self._news(piece)
        if wants:
            self.results.streams.append((sender, "state", (False, self._all())))

    # News.

    def _news(self, piece: News) -> None:
        """The one place where a member's state changes: a higher incarnation holds, and of the same one the
        higher state. Only a member itself raises its incarnation."""
        name, state, incarnation, address, accuser = piece
        if name == self.name:
            if state == ALIVE or self.leaving or "suspicion is not refuted" in self.mistakes:
                return
            if incarnation >= self.incarnation:
                self.incarnation = incarnation + 1
                self.known[name].incarnation = self.incarnation
                self.health = min(self.rhythm.worst, self.health + 1)
            # Also where it is old news of a former start. Guards against a node that came back while cut off,
            # told its fellows so in vain, and is held to be dead by them for good.
            self._tell(name)
            return
        one = self.known.get(name)
        if one is None:
            one = self.known[name] = Member(name, address, state, incarnation, self.now)
            one.accusers, one.began, one.until = [accuser], self.now, self.now + self._patience(0)
            self._changed(one)
            return
        if one.state == SUSPECT and state == SUSPECT and incarnation == one.incarnation:
            self._confirmed(one, accuser)
            return
        newer = incarnation > one.incarnation
        if "dead returns by the same incarnation" in self.mistakes and one.state == DEAD:
            newer = incarnation >= one.incarnation
        if (
            "old news taken" not in self.mistakes
            and not newer
            and not (incarnation == one.incarnation and state > one.state)
        ):
            return
        was, one.state, one.incarnation = one.state, state, incarnation
        if state == ALIVE:
            one.address = address
        if state != was:
            one.since = self.now
            if state == DEAD:
                one.deaths, one.deaths_at = self._held(one, self.now) + 1, self.now
            if state == SUSPECT:
                one.accusers, one.began = [accuser], self.now
                one.until = self.now + self._patience(0)
            self._changed(one)
        self._tell(name)

    def _changed(self, one: Member) -> None:
        (self.suspects.add if one.state == SUSPECT else self.suspects.discard)(one.name)
        self.results.changed.append((one.name, one.state))
        self._tell(one.name)

    def _confirmed(self, one: Member, accuser: str) -> None:
        """Another node's own probe has failed, too. Guards against one node's suspicion that counts as many
        since many pass it on."""
        if accuser and accuser not in one.accusers and len(one.accusers) <= self.rhythm.confirmations:
            one.accusers.append(accuser)
            one.until = one.began + self._patience(len(one.accusers) - 1)
            self._tell(one.name)

    def _patience(self, confirmed: int) -> float:
        """How long a suspicion lasts, by how many others have confirmed it, and by this node's own health."""
        rhythm = self.rhythm
        least = rhythm.alpha * max(1.0, log10(len(self.known))) * rhythm.period_s
        most = rhythm.beta * least
        share = min(1.0, log(confirmed + 1) / log(rhythm.confirmations + 1))
        return max(least, most - (most - least) * share) if len(self.known) > 3 else least

    def _held(self, one: Member, now: float) -> float:
        return one.deaths * float(0.5 ** ((now - one.deaths_at) / self.rhythm.flap_half_s))

    def _tell(self, name: str) -> None:
        self.queue[name] = 0

    def _row(self, name: str) -> News:
        one = self.known[name]
        accuser = one.accusers[-1] if one.state == SUSPECT and one.accusers else ""
        return (name, one.state, one.incarnation, one.address, accuser)

    def _all(self) -> list[News]:
        return [self._row(name) for name in self.known]

    def _send(self, to: str, call: str, *args: Any) -> None:
        """A datagram, with as much news as it bears: what was told least first, and what is held against the
        receiver in any case, so that it can refute it at once (Lifeguard's buddies)."""
        news: list[News] = []
        room = self.rhythm.room
        if (one := self.known.get(to)) is not None and one.state in (SUSPECT, DEAD):
            news.append(self._row(to))
            room -= 64
        most = ceil(self.rhythm.told * log10(len(self.known) + 1))
        if "news is never told on" not in self.mistakes:
            for name in sorted(self.queue, key=self.queue.__getitem__):
                row = self._row(name)
                room -= len(name) + len(row[3]) + len(row[4]) + 16
                if room < 0:
                    break
                news.append(row)
                self.queue[name] += 1
                if self.queue[name] >= most:
                    del self.queue[name]
        self.results.sends.append((to, call, (*args, news)))
