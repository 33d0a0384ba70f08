"""A request as it came from a client: its command, checked, the form for an app server, its attempts."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple, Protocol

from merlintally.fields import Fields, Malformed, integer, number, text
from merlintally.interface import LoadReport, Outcome, StartFacts
from merlintally.net.resp import Span
from merlintally.net.sockets import Buffer

if TYPE_CHECKING:
    from merlintally.choice import Submission

COMMANDS = {b"Q.ASK": (True, 4), b"Q.DO": (False, 5)}  # whether for lanes that may run again; words
CUSTOMER = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")
WORD = re.compile(rb"[!-~]{1,64}")  # an id, as app servers and logs can bear it
NUMERAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")  # stricter than Python, which also reads 1_0 and 1e9
BESIDE = 1024  # bytes held for a request beside its own
LIMIT_TERM = re.compile(rb"(?:^|,)d=([^,]*)")


class Connection(Protocol):
    """Whoever brought a request, and is told once its answer is there."""

    def pass_on(self) -> None: ...
    def has_left(self) -> bool: ...
    def is_unseen(self) -> bool: ...


class PendingAnswer:
    """An answer that a client's connection owes, in the order of its commands."""

    __slots__ = ("answer",)

    def __init__(self, answer: list[Buffer] | None = None) -> None:
        self.answer = answer


class Request(PendingAnswer):
    """One request, from its last byte on."""

    __slots__ = (
        "client",
        "raw",
        "terms_at",
        "limit_at",
        "lane",
        "customer",
        "plan",
        "units",
        "spread",
        "id",
        "deadline",
        "size",
        "number",
        "handle",
        "out",
        "sent",
        "gone",
        "gone_at",
        "effect",
    )

    def __init__(
        self, client: Connection, raw: bytes, words: list[Span], facts: StartFacts, arrived: float
    ) -> None:
        """Check a command of which `words` are the spans in `raw`; Malformed says what is wrong."""
        super().__init__()
        repeats, length = COMMANDS[raw[words[0][0] : words[0][1]].upper()]
        if len(words) != length:
            raise Malformed(f"this command has {length} words")
        self.client, self.raw, self.terms_at = client, raw, words[3]
        customer, self.id = (raw[a:b] for a, b in words[1:3])
        if not CUSTOMER.fullmatch(customer):
            raise Malformed("the customer is not 16 hex digits, a number below 2^33")
        if not WORD.fullmatch(self.id):
            raise Malformed("the id is not 1 to 64 printable characters")
        terms, self.limit_at = terms_of(raw, self.terms_at)
        self.lane, self.plan = text(terms, "c"), text(terms, "t")
        self.customer = customer.decode().lower()
        lane = next((one for one in facts.lanes if one.name == self.lane), None)
        if lane is None:
            raise Malformed("field 'c' names no lane")
        if not any(plan.name == self.plan for plan in facts.plans):
            raise Malformed("field 't' names no plan")
        if repeats != (lane.effect == "harmless"):
            raise Malformed("the lane does not go with the command")
        if lane.effect == "stamped" and not terms.get("k"):
            raise Malformed("field 'k' is missing")
        for numeral in ("d", "units", "spread", "first"):
            if not NUMERAL.fullmatch(text(terms, numeral)):
                raise Malformed(f"field {numeral!r} is no number from 0 to a billion")
        limit, self.units, self.spread = integer(terms, "d"), number(terms, "units"), integer(terms, "spread")
        # Guards against units drawn from a customer in whose name somebody else sends what can't be.
        if not 0 < self.units <= facts.largest_units:
            raise Malformed("field 'units' is not above 0, or beyond the largest")
        if not 1 <= self.spread <= facts.gateways or integer(terms, "first") >= facts.gateways:
            raise Malformed("fields 'spread' and 'first' name no set of gateways")
        # Guards against a stated wait of weeks, for as long as which all that belongs to it would be kept.
        self.deadline, self.size = arrived + min(limit / 1000, lane.hard_limit), len(raw) + BESIDE
        self.number, self.sent, self.gone = 0, 0, False
        self.gone_at: float | None = None  # when its client's end was seen
        self.effect = lane.effect
        self.handle: Submission | None = None
        self.out: dict[int, Attempt] = {}

    def others(self, attempt: Attempt) -> Iterator[Attempt]:
        """The attempts of this request that are out beside `attempt`."""
        return (one for one in self.out.values() if one is not attempt)

    def message(self, wait: float) -> list[Buffer]:
        """The command for an app server, unchanged but for how long the answer is waited for."""
        raw, (first, last), (start, stop) = memoryview(self.raw), self.terms_at, self.limit_at
        digits = b"%d" % max(1, int(wait * 1000))
        head = self.raw.rindex(b"\r\n", 0, first - 2) + 2
        length = b"$%d\r\n" % (last - first - (stop - start) + len(digits))
        return [raw[:head], length, raw[first:start], digits, raw[stop:]]


class Attempt:
    """One attempt of a request at an app server."""

    __slots__ = (
        "request",
        "number",
        "began",
        "until",
        "begin_by",
        "link",
        "written",
        "answered",
        "over",
        "refusal",
    )

    def __init__(self, request: Request, number: int, began: float, until: float, begin_by: float) -> None:
        self.request, self.number, self.began, self.until = request, number, began, until
        self.begin_by = begin_by  # it is not written later, whenever its connection comes up
        self.link: object = None  # the connection that carries it, which is for who carries it alone
        self.written = False  # its last byte is written: from then on it may have run
        self.answered = False  # its end is on its way to the owner of the decisions
        self.over = False
        self.refusal: str | None = None  # why the guard of sends held it back

    def may_run(self) -> bool:
        """Whether it is out, and its app server may have begun it."""
        return self.written and not self.over and not self.answered


class Answer(NamedTuple):
    """What an app server said of an attempt; `value`, if any, is what the client is told, as a whole."""

    outcome: Outcome
    value: bytes = b""
    actual: float = 0.0
    report: LoadReport | None = None


def terms_of(raw: bytes, span: Span) -> tuple[Fields, Span]:
    """The names and values of a request, and where the value of `d` stands."""
    found = raw[span[0] : span[1]]
    try:
        words = found.decode("ascii")
    except UnicodeDecodeError:
        raise Malformed("the list of names and values is not ASCII") from None
    terms: Fields = {}
    for part in words.split(","):
        name, equals, value = part.partition("=")
        if not equals or name in terms:
            raise Malformed("the list of names and values is not of the form name=value")
        terms[name] = value
    limit = LIMIT_TERM.search(found)
    if limit is None:
        raise Malformed("field 'd' is missing")
    return terms, (span[0] + limit.start(1), span[0] + limit.end(1))
