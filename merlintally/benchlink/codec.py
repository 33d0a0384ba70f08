"""Decodes lines of the bench's protocol into calls on gateways, and encodes the results as lines.

Input that does not follow the protocol raises Malformed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

from merlintally.benchlink.framing import split_line
from merlintally.choice import Gateway, Submission
from merlintally.facts import reported_names, start_facts
from merlintally.fields import Fields, Malformed, boolean, integer, lookup, number, text
from merlintally.interface import CounterOutcome, Outcome, Presence, Results, ServerFacts

OUTCOMES: dict[str, Outcome] = {
    "0": "ok",
    "13": "error",
    "8": "full",
    "4": "timed_out",
    "14": "unreachable",
    "10": "broken",
    "1": "withdrawn",
    "9": "moot",
}
PRESENCES: dict[str, Presence] = {"on": "on", "fading": "draining", "off": "gone"}
ROSTER_MODES = {"D", "F", "C", "X"}


def server_facts(fields: Fields) -> ServerFacts:
    """One row of a server list."""
    return ServerFacts(
        server=text(fields, "server"),
        presence=lookup(PRESENCES, text(fields, "readiness"), "readiness"),
        zone=fields.get("failureDomain", ""),
        cell=integer(fields, "cluster", 0),
        started=number(fields, "launchedS", 0.0),
        size=number(fields, "size", 1.0),
        machine=fields.get("machine", ""),
    )


def encode(results: Results, node: str, lines: list[str]) -> None:
    """Append `results` to the lines of a reply: sends first, as later rows may refer to them."""
    lines.append(f"FROM nodeId={node}")
    lines.extend(f"SAY_LOG line={row}" for row in results.logs)
    for submission, server, timeout in results.sends:
        lines.append(f"SEND req={submission} server={server}" + (f" capS={timeout:.6f}" if timeout else ""))
    for submission, wait in results.bounced:
        lines.append(f"PUSH_BACK req={submission}" + (f" backoffS={wait:.6f}" if wait > 0 else ""))
    lines.extend(f"FINISH_ERROR req={row}" for row in results.given_up)
    lines.extend(f"WITHDRAW req={row} attempt={execution}" for row, execution in results.withdrawn)
    for counter, amount, keep_s in results.adds:
        lines.append(f"ADD counter={counter} keepForS={keep_s:g} qty={amount:.7g}")
    lines.extend(f"NOTIFY dest=* raw={row.hex() or '-'}" for row in results.notes)
    if results.wake_after is not None:
        lines.append(f"SET_ALARM delayS={results.wake_after:.6f} cookie=1")


class Node:
    """One gateway and the handles of its submissions that are not settled."""

    def __init__(self, info: Fields, salt: int, now: float) -> None:
        self.report_fields = reported_names(info)
        self.gateway = Gateway(start_facts(info), salt, now)
        self.handles: dict[int, Submission] = {}

    def submit(self, now: float, fields: Fields) -> None:
        submission = integer(fields, "req")
        handle = self.gateway.take(
            now,
            submission,
            text(fields, "priority"),
            text(fields, "userKey"),
            text(fields, "gradeOfService"),
            number(fields, "timeLeftS"),
            number(fields, "units", 1.0),
            integer(fields, "spread", 0),
        )
        if not handle.settled:
            self.handles[submission] = handle

    def ended(self, now: float, fields: Fields) -> None:
        submission = integer(fields, "req")
        code = lookup(OUTCOMES, text(fields, "code"), "code")
        handle = self.handles.get(submission)
        if handle is None:
            return
        report = None
        if fields.get("report", "-") != "-":
            values = fields["report"].split(",")
            try:
                report = {name: float(value) for name, value in zip(self.report_fields, values, strict=False)}
            except ValueError:
                raise Malformed(f"report is not a list of numbers: {fields['report']!r}") from None
        handle.ended(
            now,
            integer(fields, "attempt"),
            code,
            number(fields, "elapsedS", 0.0),
            boolean(fields, "over"),
            number(fields, "actual", 0.0),
            report,
        )
        if handle.settled:
            del self.handles[submission]

    def begun(self, now: float, fields: Fields) -> None:
        handle = self.handles.get(integer(fields, "req"))
        if handle is not None:
            handle.begun(now, integer(fields, "attempt"))

    def left(self, now: float, fields: Fields) -> None:
        submission = integer(fields, "req")
        handle = self.handles.get(submission)
        if handle is not None:
            handle.left(now)
            if handle.settled:
                del self.handles[submission]

    def counted(self, now: float, fields: Fields) -> None:
        outcome = lookup(OUTCOMES, text(fields, "code"), "code")
        self.gateway.counted(
            now,
            integer(fields, "counter"),
            cast(CounterOutcome, outcome),
            number(fields, "resultValue", 0.0),
            number(fields, "elapsedS", 0.0),
        )

    def note(self, now: float, fields: Fields) -> None:
        raw = text(fields, "raw")
        try:
            payload = b"" if raw == "-" else bytes.fromhex(raw)
        except ValueError:
            raise Malformed(f"raw is not hex digits: {raw!r}") from None
        self.gateway.noted(now, integer(fields, "from"), payload)


EVENTS: dict[str, Callable[[Node, float, Fields], None]] = {
    "SUBMIT": Node.submit,
    "ATTEMPT_END": Node.ended,
    "FIRST_BYTE": Node.begun,
    "LEFT": Node.left,
    "TALLY_BACK": Node.counted,
    "NOTE_FROM": Node.note,
    "TIMER": lambda node, now, fields: node.gateway.wake(now),
    "CHECK_RESULT": lambda node, now, fields: None,  # the decisions request no health checks
}


class Link:
    """The nodes of one process, and the server lists (pages) that they share."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.pages: dict[int, list[ServerFacts]] = {}
        self.clock = 0.0

    def answer(self, first: int, lines: list[str]) -> list[str]:
        """The reply to one batch; `first` is the number of its first line, for errors."""
        reply: list[str] = []
        changed: dict[str, None] = {}
        serial, context, index = 0, "", 0
        try:
            while index < len(lines):
                word, fields = split_line(lines[index])
                if word == "TURN":
                    self.clock, serial = number(fields, "timeS"), integer(fields, "serial")
                elif word == "CONTEXT":
                    context = text(fields, "nodeId")
                elif word == "POOL":
                    count = integer(fields, "nodesList", 0)
                    entries = lines[index + 1 : index + 1 + count]
                    self.pages[integer(fields, "page")] = [self._entry(line) for line in entries]
                    if len(entries) < count:
                        raise Malformed(f"POOL announces {count} entries but has {len(entries)}")
                    index += count
                elif word == "CRASH_NOW":
                    self.nodes.pop(context, None)
                    changed.pop(context, None)
                else:
                    self._event(context, word, fields)
                    changed[context] = None
                index += 1
        except Malformed as error:
            raise Malformed(f"line {first + index}: {error}") from None
        for name in changed:
            encode(self.nodes[name].gateway.take_results(self.clock), name, reply)
        reply.append(f"READY serial={serial}")
        return reply

    def _entry(self, line: str) -> ServerFacts:
        word, fields = split_line(line)
        if word != "ENTRY":
            raise Malformed(f"expected ENTRY, got {word!r}")
        return server_facts(fields)

    def _event(self, context: str, word: str, fields: Fields) -> None:
        if not context:
            raise Malformed(f"{word} before any CONTEXT")
        if word == "LAUNCH":
            self.nodes[context] = Node(fields, integer(fields, "salt"), self.clock)
            return
        node = self.nodes.get(context)
        if node is None:
            raise Malformed(f"{word} for {context!r}, which has not been launched")
        if word == "ROSTER_CHANGE":
            mode = text(fields, "mode")
            if mode not in ROSTER_MODES:
                raise Malformed(f"mode has an unknown value {mode!r}")
            if mode != "X":
                page = integer(fields, "page")
                if page not in self.pages:
                    raise Malformed(f"unknown page {page}: no POOL has defined it")
                node.gateway.roster(self.clock, self.pages[page], complete=mode != "D")
            return
        handler = EVENTS.get(word)
        if handler is None:
            raise Malformed(f"unknown message {word!r}")
        handler(node, self.clock, fields)
