"""A submission as it came from a client: its command, checked, and the form for an app server."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from merlintally.fields import Fields, Malformed, number, text, whole
from merlintally.interface import LaneFacts
from merlintally.net.resp import Span
from merlintally.net.sockets import Buffer

if TYPE_CHECKING:
    from merlintally.choice import Submission
    from merlintally.net.clients import Client
    from merlintally.net.servers import Execution

COMMANDS = {b"Q.ASK": True, b"Q.DO": False}  # whether it is for lanes that may run again
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
NUMERAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")  # stricter than Python, which also reads 1_0 and 1e9
LIMIT_TERM = re.compile(rb"(?:^|,)d=([^,]*)")


class Due:
    """An answer that a client's connection owes, in the order of its commands."""

    __slots__ = ("answer",)

    def __init__(self, answer: list[Buffer] | None = None) -> None:
        self.answer = answer


class Taken(Due):
    """One submission, from its last byte on."""

    __slots__ = ("client", "raw", "terms_at", "limit_at", "lane", "customer", "plan", "units", "spread",
                 "ends", "size", "number", "handle", "out", "sent", "gone")

    def __init__(self, client: Client, raw: bytes, words: list[Span], lanes: dict[str, LaneFacts],
                 plans: frozenset[str], arrived: float) -> None:
        """Check a command of which `words` are the spans in `raw`; Malformed says what is wrong."""
        super().__init__()
        if len(words) not in (4, 5):
            raise Malformed("a submission has 4 or 5 words")
        self.client, self.raw, self.terms_at = client, raw, words[3]
        name, customer, submission = (raw[a:b] for a, b in words[:3])
        if not CUSTOMER.fullmatch(customer):
            raise Malformed("the customer is not 16 hex digits")
        if not 0 < len(submission) <= 64:
            raise Malformed("the id has not 1 to 64 bytes")
        terms, self.limit_at = terms_of(raw, self.terms_at)
        self.lane, self.plan, self.customer = text(terms, "c"), text(terms, "t"), customer.decode()
        lane = lanes.get(self.lane)
        if lane is None:
            raise Malformed("field 'c' names no lane")
        if self.plan not in plans:
            raise Malformed("field 't' names no plan")
        if COMMANDS[name.upper()] != (lane.effect == "harmless"):
            raise Malformed("the lane does not go with the command")
        if lane.effect == "stamped" and not terms.get("k"):
            raise Malformed("field 'k' is missing")
        for numeral in ("d", "units", "spread", "first"):
            if not NUMERAL.fullmatch(text(terms, numeral)):
                raise Malformed(f"field {numeral!r} is no number from 0 to a billion")
        limit, self.units, self.spread = whole(terms, "d"), number(terms, "units"), whole(terms, "spread")
        whole(terms, "first")
        if self.units <= 0 or self.spread < 1:
            raise Malformed("fields 'units' and 'spread' are above 0")
        # Guards against a stated wait of weeks, for as long as which all that belongs to it would be kept.
        self.ends, self.size = arrived + min(limit / 1000, lane.hard_limit), len(raw)
        self.number, self.sent, self.gone = 0, 0, False
        self.handle: Submission | None = None
        self.out: dict[int, Execution] = {}

    def message(self, wait: float) -> list[Buffer]:
        """The command for an app server, unchanged but for how long the answer is waited for."""
        raw, (first, last), (start, stop) = memoryview(self.raw), self.terms_at, self.limit_at
        digits = b"%d" % max(1, int(wait * 1000))
        head = self.raw.rindex(b"\r\n", 0, first - 2) + 2
        length = b"$%d\r\n" % (last - first - (stop - start) + len(digits))
        return [raw[:head], length, raw[first:start], digits, raw[stop:]]


def terms_of(raw: bytes, span: Span) -> tuple[Fields, Span]:
    """The names and values of a submission, and where the value of `d` stands."""
    found = raw[span[0]:span[1]]
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
