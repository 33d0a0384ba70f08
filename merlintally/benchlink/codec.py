"""Decodes the wire's lines into calls on gateways and their submissions, and encodes results as lines."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar, cast

from merlintally.benchlink.framing import Fields, Malformed, number, split_line, text, truth, whole
from merlintally.choice import Gateway, Submission
from merlintally.interface import (
    CounterOutcome,
    Effect,
    Group,
    LaneFacts,
    Outcome,
    PlanFacts,
    Presence,
    Results,
    ServerFacts,
    StartFacts,
)

T = TypeVar("T")

OUTCOMES: dict[str, Outcome] = {
    "0": "ok", "13": "error", "8": "full", "4": "timed_out",
    "14": "unreachable", "10": "broken", "1": "withdrawn", "9": "moot",
}
EFFECTS: dict[str, Effect] = {"repeatable": "harmless", "by_key": "stamped", "once": "one-shot"}
PRESENCES: dict[str, Presence] = {"on": "on", "fading": "draining", "off": "gone"}
REPORTED = {
    "outstanding": "held", "backlog": "waiting", "utilization": "busy",
    "recent_ms": "answer_time", "throughput": "answers_per_s", "errors_per_s": "errors_per_s",
}
ROSTER_MODES = {"D", "F", "C", "X"}


def lane_facts(info: Fields, path: str) -> LaneFacts:
    hard_limit = number(info, path + "deadlineS")
    return LaneFacts(
        name=text(info, path + "name"),
        quoted_time=number(info, path + "aimS", hard_limit),
        hard_limit=hard_limit,
        gain=number(info, path + "importance", 1.0),
        late_gain=number(info, path + "lateWorth", 0.0),
        effect=known(EFFECTS, info.get(path + "repeat", "once"), path + "repeat"),
        discard_group=cast(Group, info.get(path + "keyScope", "cell")),
        remembered=number(info, path + "windowS", 0.0),
    )


def plan_facts(info: Fields, path: str) -> PlanFacts:
    return PlanFacts(
        name=text(info, path + "name"),
        rate=number(info, path + "unitsPerS", 0.0),
        burst=number(info, path + "mostAtOnce", 0.0),
        open_limit=int(number(info, path + "atOnce", 0.0)),
        ceiling_rate=number(info, path + "capRate", 0.0),
        ceiling_burst=number(info, path + "neverOverDepth", 0.0),
        ceiling_slack=number(info, path + "tolerance", 0.0),
        price=number(info, path + "valueFactor", 1.0),
        beyond_gain=number(info, path + "overWorth", 0.0),
        beyond_cost=number(info, path + "beyondCosts", 0.0),
    )


def start_facts(info: Fields) -> StartFacts:
    """What a gateway is told at its start; absent settings take the defaults written here."""
    return StartFacts(
        number=whole(info, "slotNo", 0),
        gateways=whole(info, "balancers", 1),
        zone=info.get("az", ""),
        lanes=tuple(lane_facts(info, f"classes.{i}.") for i in range(whole(info, "classes.count", 0))),
        plans=tuple(plan_facts(info, f"tariffs.{i}.") for i in range(whole(info, "tariffs.count", 0))),
        largest_units=number(info, "familyInfo.largest", 1.0),
        settles=truth(info, "familyInfo.postPaid"),
        may_count=truth(info, "familyInfo.mayCount"),
        count_time_out=number(info, "familyInfo.countLimitS", 0.05),
        count_price=number(info, "familyInfo.callPrice", 0.0),
        may_note=truth(info, "limits.peers"),
        note_price=number(info, "prices.peer", 0.0),
        may_withdraw=truth(info, "limits.mayCancel"),
        parallel=truth(info, "limits.parallelTries"),
        most_executions=whole(info, "limits.maxAttempts", 1),
        retry_after_limit=number(info, "limits.maxRetryAfterS", 0.0) * truth(info, "limits.retryAfter"),
        cross_zone_price=number(info, "prices.crossZone", 0.0),
        waste_price=number(info, "prices.waste", 0.0),
        drain_grace=number(info, "rules.drainGraceS", 0.0),
        cold_share=number(info, "rules.coldFrom", 0.1),
        warm_within=number(info, "rules.warmWithinS", 30.0),
        tip_multiple=number(info, "rules.tipMultiple", 1.0),
        tip_window=number(info, "rules.fallS", 1.0),
    )


def known(table: dict[str, T], word: str, name: str) -> T:
    try:
        return table[word]
    except KeyError:
        raise Malformed(f"{name} has an unknown value {word!r}") from None


def server_facts(fields: Fields) -> ServerFacts:
    return ServerFacts(
        server=text(fields, "server"),
        presence=known(PRESENCES, text(fields, "readiness"), "readiness"),
        zone=fields.get("failureDomain", ""),
        cell=whole(fields, "cluster", 0),
        started=number(fields, "launchedS", 0.0),
        size=number(fields, "size", 1.0),
        machine=fields.get("machine", ""),
    )


def encode(results: Results, node: str, lines: list[str]) -> None:
    """Append the rows of `results` as lines of the reply: sends first, so that a later row may name them."""
    lines.append(f"FROM nodeId={node}")
    lines.extend(f"SAY_LOG line={row}" for row in results.logs)
    for submission, server, time_out in results.sends:
        lines.append(f"SEND req={submission} server={server}" + (f" capS={time_out:.6f}" if time_out else ""))
    for submission, wait in results.bounced:
        lines.append(f"PUSH_BACK req={submission}" + (f" backoffS={wait:.6f}" if wait > 0 else ""))
    lines.extend(f"FINISH_ERROR req={row}" for row in results.given_up)
    lines.extend(f"WITHDRAW req={row} attempt={execution}" for row, execution in results.withdrawn)
    for count, amount, keep in results.adds:
        lines.append(f"ADD counter={count} keepForS={keep:g} qty={amount:.7g}")
    lines.extend(f"NOTIFY dest=* raw={row.hex() or '-'}" for row in results.notes)
    if results.wake_after is not None:
        lines.append(f"SET_ALARM delayS={results.wake_after:.6f} cookie=1")


class Node:
    """One gateway behind the wire, with the handles of the submissions it still has to do with."""

    def __init__(self, info: Fields, salt: int, now: float) -> None:
        named = whole(info, "report.names.count", -1)
        listed = info.get("report.names", "").split(",") if named < 0 else [
            info.get(f"report.names.{i}", "") for i in range(named)
        ]
        self.reported = [REPORTED.get(name, name) for name in listed]
        self.gateway = Gateway(start_facts(info), salt, now)
        self.handles: dict[int, Submission] = {}

    def submit(self, now: float, fields: Fields) -> None:
        submission = whole(fields, "req")
        handle = self.gateway.take(
            now, submission, text(fields, "priority"), text(fields, "userKey"),
            text(fields, "gradeOfService"), number(fields, "timeLeftS"),
            number(fields, "units", 1.0), whole(fields, "spread", 0),
        )
        if not handle.settled:
            self.handles[submission] = handle

    def ended(self, now: float, fields: Fields) -> None:
        submission = whole(fields, "req")
        code = known(OUTCOMES, text(fields, "code"), "code")
        handle = self.handles.get(submission)
        if handle is None:
            return
        report = None
        if fields.get("report", "-") != "-":
            values = fields["report"].split(",")
            try:
                report = {name: float(value) for name, value in zip(self.reported, values, strict=False)}
            except ValueError:
                raise Malformed(f"report is not a row of numbers: {fields['report']!r}") from None
        handle.ended(
            now, whole(fields, "attempt"), code, number(fields, "elapsedS", 0.0),
            truth(fields, "over"), number(fields, "actual", 0.0), report,
        )
        if handle.settled:
            del self.handles[submission]

    def begun(self, now: float, fields: Fields) -> None:
        handle = self.handles.get(whole(fields, "req"))
        if handle is not None:
            handle.begun(now, whole(fields, "attempt"))

    def left(self, now: float, fields: Fields) -> None:
        submission = whole(fields, "req")
        handle = self.handles.get(submission)
        if handle is not None:
            handle.left(now)
            if handle.settled:
                del self.handles[submission]

    def counted(self, now: float, fields: Fields) -> None:
        outcome = known(OUTCOMES, text(fields, "code"), "code")
        self.gateway.counted(
            now, whole(fields, "counter"), cast(CounterOutcome, outcome),
            number(fields, "resultValue", 0.0), number(fields, "elapsedS", 0.0),
        )

    def note(self, now: float, fields: Fields) -> None:
        raw = text(fields, "raw")
        try:
            payload = b"" if raw == "-" else bytes.fromhex(raw)
        except ValueError:
            raise Malformed(f"raw is not hex digits: {raw!r}") from None
        self.gateway.noted(now, whole(fields, "from"), payload)


EVENTS: dict[str, Callable[[Node, float, Fields], None]] = {
    "SUBMIT": Node.submit,
    "ATTEMPT_END": Node.ended,
    "FIRST_BYTE": Node.begun,
    "LEFT": Node.left,
    "TALLY_BACK": Node.counted,
    "NOTE_FROM": Node.note,
    "TIMER": lambda node, now, fields: node.gateway.wake(now),
    "CHECK_RESULT": lambda node, now, fields: None,  # the decisions ask for no checks
}


class Link:
    """All nodes of one process, and the numbered server lists that they share on the wire."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.pages: dict[int, list[ServerFacts]] = {}
        self.clock = 0.0

    def answer(self, first: int, lines: list[str]) -> list[str]:
        """The reply to one batch; `first` is the number of its first line."""
        reply: list[str] = []
        touched: dict[str, None] = {}
        serial, context, at = 0, "", 0
        try:
            while at < len(lines):
                word, fields = split_line(lines[at])
                if word == "TURN":
                    self.clock, serial = number(fields, "timeS"), whole(fields, "serial")
                elif word == "CONTEXT":
                    context = text(fields, "nodeId")
                elif word == "POOL":
                    count = whole(fields, "nodesList", 0)
                    entries = lines[at + 1 : at + 1 + count]
                    self.pages[whole(fields, "page")] = [self._entry(line) for line in entries]
                    if len(entries) < count:
                        raise Malformed(f"POOL announces {count} entries and has {len(entries)}")
                    at += count
                elif word == "CRASH_NOW":
                    self.nodes.pop(context, None)
                    touched.pop(context, None)
                else:
                    self._event(context, word, fields)
                    touched[context] = None
                at += 1
        except Malformed as wrong:
            raise Malformed(f"line {first + at}: {wrong}") from None
        for name in touched:
            encode(self.nodes[name].gateway.take_results(self.clock), name, reply)
        reply.append(f"READY serial={serial}")
        return reply

    def _entry(self, line: str) -> ServerFacts:
        word, fields = split_line(line)
        if word != "ENTRY":
            raise Malformed(f"an ENTRY was due, not {word!r}")
        return server_facts(fields)

    def _event(self, context: str, word: str, fields: Fields) -> None:
        if not context:
            raise Malformed(f"{word} before any CONTEXT")
        if word == "LAUNCH":
            self.nodes[context] = Node(fields, whole(fields, "salt"), self.clock)
            return
        node = self.nodes.get(context)
        if node is None:
            raise Malformed(f"{word} for {context!r}, which has not been launched")
        if word == "ROSTER_CHANGE":
            mode = text(fields, "mode")
            if mode not in ROSTER_MODES:
                raise Malformed(f"mode has an unknown value {mode!r}")
            if mode != "X":
                page = whole(fields, "page")
                if page not in self.pages:
                    raise Malformed(f"no POOL numbered {page} has come")
                node.gateway.roster(self.clock, self.pages[page], complete=mode != "D")
            return
        handler = EVENTS.get(word)
        if handler is None:
            raise Malformed(f"unknown message {word!r}")
        handler(node, self.clock, fields)
