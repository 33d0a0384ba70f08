"""Reads the start facts of a gateway from its settings, path=value pairs such as `classes.0.deadlineS`.

The defaults of absent settings are defined here only. All functions raise Malformed with the name of a field
that is missing or has an invalid value.
"""

from __future__ import annotations

import math

from merlintally.fields import Fields, boolean, integer, lookup, number, text
from merlintally.interface import Effect, Group, LaneFacts, PlanFacts, StartFacts

EFFECTS: dict[str, Effect] = {"repeatable": "harmless", "by_key": "stamped", "once": "one-shot"}
GROUPS: dict[str, Group] = {"all": "all", "zone": "zone", "cell": "cell"}
REPORT_FIELDS = {  # fields of a load report: names in the settings or on the wire, to those in the decisions
    "outstanding": "held",
    "backlog": "waiting",
    "utilization": "busy",
    "recent_ms": "answer_time",
    "throughput": "answers_per_s",
    "errors_per_s": "errors_per_s",
    "inflight": "held",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "answer_time",
    "qps": "answers_per_s",
    "eps": "errors_per_s",
}


def reported_names(info: Fields) -> list[str]:
    """The fields of a load report in the order of the settings, by their names in the decisions."""
    count = integer(info, "report.names.count", -1)
    names = (
        info.get("report.names", "").split(",")
        if count < 0
        else [info.get(f"report.names.{i}", "") for i in range(count)]
    )
    return [REPORT_FIELDS.get(name, name) for name in names]


def lane_facts(info: Fields, path: str) -> LaneFacts:
    """The facts of the lane whose settings have the prefix `path`."""
    hard_limit = number(info, path + "deadlineS")
    return LaneFacts(
        name=text(info, path + "name"),
        quoted_time=number(info, path + "aimS", hard_limit),
        hard_limit=hard_limit,
        gain=number(info, path + "importance", 1.0),
        late_gain=number(info, path + "lateWorth", 0.0),
        effect=lookup(EFFECTS, info.get(path + "repeat", "once"), path + "repeat"),
        discard_group=lookup(GROUPS, info.get(path + "keyScope", "cell"), path + "keyScope"),
        remembered=number(info, path + "windowS", 0.0),
    )


def plan_facts(info: Fields, path: str) -> PlanFacts:
    """The facts of the plan whose settings have the prefix `path`."""
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
    """The facts of a gateway; absent settings take their defaults."""
    return StartFacts(
        number=integer(info, "slotNo", 0),
        gateways=integer(info, "balancers", 1),
        zone=info.get("az", ""),
        lanes=tuple(lane_facts(info, f"classes.{i}.") for i in range(integer(info, "classes.count", 0))),
        plans=tuple(plan_facts(info, f"tariffs.{i}.") for i in range(integer(info, "tariffs.count", 0))),
        largest_units=number(info, "familyInfo.largest") if "familyInfo.largest" in info else math.inf,
        settles=boolean(info, "familyInfo.postPaid"),
        may_count=boolean(info, "familyInfo.mayCount"),
        count_time_out=number(info, "familyInfo.countLimitS", 0.05),
        count_price=number(info, "familyInfo.callPrice", 0.0),
        may_note=boolean(info, "limits.peers"),
        note_price=number(info, "prices.peer", 0.0),
        may_withdraw=boolean(info, "limits.mayCancel"),
        parallel=boolean(info, "limits.parallelTries"),
        most_executions=integer(info, "limits.maxAttempts", 1),
        retry_after_limit=number(info, "limits.maxRetryAfterS", 0.0) * boolean(info, "limits.retryAfter"),
        cross_zone_price=number(info, "prices.crossZone", 0.0),
        handshake_price=number(info, "prices.handshake", 0.0),
        waste_price=number(info, "prices.waste", 0.0),
        drain_grace=number(info, "rules.drainGraceS", 0.0),
        cold_share=number(info, "rules.coldFrom", 0.1),
        warm_within=number(info, "rules.warmWithinS", 30.0),
        tip_multiple=number(info, "rules.tipMultiple", 1.0),
        tip_window=number(info, "rules.fallS", 1.0),
    )
