"""Requests of clients: parsing and validation, the command sent to app servers, and attempts.

The texts of `Malformed` errors raised here are sent to clients.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple, Protocol

from merlintally.fields import Fields, Malformed, integer, number, text
from merlintally.interface import LoadReport, Outcome, StartFacts
from merlintally.net.resp import Span
from merlintally.net.sockets import Buffer
from merlintally.net.timers import Timer

if TYPE_CHECKING:
    from merlintally.choice import Submission

# Per command: whether it is for lanes whose requests may run more than once, and its number of words.
COMMANDS = {b"Q.ASK": (True, 4), b"Q.DO": (False, 5)}
CUSTOMER_PATTERN = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")
ID_PATTERN = re.compile(rb"[!-~]{1,64}")  # printable, since ids are logged and sent to app servers
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")  # float() would also accept 1_0 and 1e9
# Memory accounted for an open request in addition to its command: its state here, in the decisions and in
# timers, and that of its customer.
REQUEST_OVERHEAD_BYTES = 4096
MAX_FIELDS = 64  # of a request; the protocol names eight
DEADLINE_FIELD_PATTERN = re.compile(rb"(?:^|,)d=([^,]*)")


class Connection(Protocol):
    """The client connection on which a request arrived."""

    def write_answers(self) -> None:
        """Write the answers that are ready, in the order of their commands."""
        ...

    def has_left(self) -> bool:
        """Return whether the client has ended the connection."""
        ...

    def end_may_be_unread(self) -> bool:
        """Return whether the client's end may stand behind bytes that cannot be read yet."""
        ...


class PendingAnswer:
    """The place of an answer among those due on a client connection; `answer` is None until it is ready."""

    __slots__ = ("answer",)

    def __init__(self, answer: list[Buffer] | None = None) -> None:
        self.answer = answer


class Request(PendingAnswer):
    """One request and its state, from the arrival of its last byte."""

    __slots__ = (
        "client",
        "raw",
        "terms_span",
        "wait_span",
        "lane",
        "customer",
        "plan",
        "units",
        "spread",
        "id",
        "deadline",
        "held_bytes",
        "number",
        "handle",
        "served",
        "open_attempts",
        "attempt_count",
        "client_gone",
        "client_gone_at",
        "effect",
    )

    def __init__(
        self, client: Connection, raw: bytes, words: list[Span], facts: StartFacts, arrived_at: float
    ) -> None:
        """Parse and check a command; raises Malformed.

        `words` are the spans of its words in `raw`; `arrived_at` is in Unix seconds.
        """
        super().__init__()
        repeatable, word_count = COMMANDS[raw[words[0][0] : words[0][1]].upper()]
        if len(words) != word_count:
            raise Malformed(f"this command has {word_count} words")
        self.client, self.raw, self.terms_span = client, raw, words[3]
        customer, self.id = (raw[a:b] for a, b in words[1:3])
        if not CUSTOMER_PATTERN.fullmatch(customer):
            raise Malformed("the customer is not 16 hex digits, a number below 2^33")
        if not ID_PATTERN.fullmatch(self.id):
            raise Malformed("the id is not 1 to 64 printable characters")
        terms, self.wait_span = terms_of(raw, self.terms_span)
        self.lane, self.plan = text(terms, "c"), text(terms, "t")
        self.customer = customer.decode().lower()
        lane = next((one for one in facts.lanes if one.name == self.lane), None)
        if lane is None:
            raise Malformed("field 'c' names no lane")
        if not any(plan.name == self.plan for plan in facts.plans):
            raise Malformed("field 't' names no plan")
        if repeatable != (lane.effect == "harmless"):
            raise Malformed("the lane does not go with the command")
        if lane.effect == "stamped" and not terms.get("k"):
            raise Malformed("field 'k' is missing")
        for field_name in ("d", "units", "spread", "first"):
            if not NUMBER_PATTERN.fullmatch(text(terms, field_name)):
                raise Malformed(f"field {field_name!r} is no number from 0 to a billion")
        wait_ms, self.units, self.spread = (
            integer(terms, "d"),
            number(terms, "units"),
            integer(terms, "spread"),
        )
        # Checked here, since units drawn for an impossible request would be charged to its customer.
        if not 0 < self.units <= facts.largest_units:
            raise Malformed("field 'units' is not above 0, or beyond the largest")
        if not 1 <= self.spread <= facts.gateways or integer(terms, "first") >= facts.gateways:
            raise Malformed("fields 'spread' and 'first' name no set of gateways")
        # The lane's hard limit bounds for how long the state of a request is kept.
        self.deadline, self.held_bytes = (
            arrived_at + min(wait_ms / 1000, lane.hard_limit),
            len(raw) + REQUEST_OVERHEAD_BYTES,
        )
        self.number, self.attempt_count, self.client_gone = 0, 0, False
        self.client_gone_at: float | None = None  # when the end of its client was seen, in Unix seconds
        self.effect = lane.effect
        self.handle: Submission | None = None
        self.served = False  # its answer is that of an app server
        self.open_attempts: dict[int, Attempt] = {}

    def others(self, attempt: Attempt) -> Iterator[Attempt]:
        """Return the other attempts of this request that have not ended."""
        return (other for other in self.open_attempts.values() if other is not attempt)

    def message(self, wait_s: float) -> list[Buffer]:
        """Return the command for an app server: as received, with `wait_s` as its time to answer in."""
        raw, (first, last), (start, stop) = memoryview(self.raw), self.terms_span, self.wait_span
        digits = b"%d" % max(1, int(wait_s * 1000))
        head = self.raw.rindex(b"\r\n", 0, first - 2) + 2
        length = b"$%d\r\n" % (last - first - (stop - start) + len(digits))
        return [raw[:head], length, raw[first:start], digits, raw[stop:]]


class Attempt:
    """One attempt of a request at an app server."""

    __slots__ = (
        "request",
        "number",
        "started_at",
        "deadline",
        "begin_by",
        "link",
        "timer",
        "written",
        "result_queued",
        "finished",
        "refusal",
    )

    def __init__(
        self, request: Request, number: int, started_at: float, deadline: float, begin_by: float
    ) -> None:
        self.request, self.number, self.started_at, self.deadline = request, number, started_at, deadline
        self.begin_by = begin_by  # latest time at which it may be written
        self.link: object = None  # the app server connection that carries it; opaque here
        self.timer: Timer | None = None  # of its timeout
        self.written = False  # up to its last byte: from then on it may run
        self.result_queued = False  # its result is in the queue of the owner of the decisions
        self.finished = False
        self.refusal: str | None = None  # why the send guard held it back, if it did

    def may_run(self) -> bool:
        """Return whether its app server may be running it now, as far as the node has seen."""
        return self.written and not self.finished and not self.result_queued


class Answer(NamedTuple):
    """The result of an attempt.

    `value` is the complete reply for the client, empty if there is none; `actual` is the cost in units that
    the app server reported, 0 if none.
    """

    outcome: Outcome
    value: bytes = b""
    actual: float = 0.0
    report: LoadReport | None = None


def terms_of(raw: bytes, span: Span) -> tuple[Fields, Span]:
    """Return the fields of a request, and the span in `raw` of the value of field `d`."""
    row = raw[span[0] : span[1]]
    if row.count(b",") >= MAX_FIELDS:
        raise Malformed(f"the list of names and values has more than {MAX_FIELDS} of them")
    try:
        decoded = row.decode("ascii")
    except UnicodeDecodeError:
        raise Malformed("the list of names and values is not ASCII") from None
    terms: Fields = {}
    for part in decoded.split(","):
        name, equals, value = part.partition("=")
        if not equals or name in terms:
            raise Malformed("the list of names and values is not of the form name=value")
        terms[name] = value
    wait = DEADLINE_FIELD_PATTERN.search(row)
    if wait is None:
        raise Malformed("field 'd' is missing")
    return terms, (span[0] + wait.start(1), span[0] + wait.end(1))
