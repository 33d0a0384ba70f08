"""The settings of a day's edge nodes, in the form of a real node's configuration.

Simulated nodes read their facts from the same settings, with the same code.
"""

from __future__ import annotations

from typing import Any

from merlintally.facts import EFFECTS
from merlintally.lab.model.days import Day

# Points of G for a note sent through the cluster's replication, which has its own byte budget.
REPLICATED_NOTE_PRICE = 1e-6
REPEAT_WORDS: dict[str, str] = {effect: word for word, effect in EFFECTS.items()}


def settings_of(day: Day, number: int) -> dict[str, Any]:
    """The object `settings` of an edge node's configuration."""
    rules, fleet = day.rules, day.fleet
    return {
        "slotNo": number,
        "balancers": fleet.gateways,
        "az": f"z{number % fleet.zones}",
        "classes": [
            {
                "name": one.name,
                "aimS": one.quoted_time_s,
                "deadlineS": one.hard_limit_s,
                "importance": one.gain,
                "lateWorth": one.late_gain,
                "repeat": REPEAT_WORDS[one.effect],
                "keyScope": one.group,
                "windowS": one.remembered_s,
            }
            for one in day.lane
        ],
        "tariffs": [
            {
                "name": one.name,
                "unitsPerS": one.units_per_s,
                "mostAtOnce": one.burst(day.traffic.units),
                "atOnce": one.open_limit,
                "capRate": one.units_per_s * one.ceiling,
                "neverOverDepth": one.burst(day.traffic.units) * one.ceiling,
                "tolerance": one.ceiling_slack,
                "valueFactor": one.price,
                "overWorth": one.beyond_gain,
                "beyondCosts": one.beyond_cost,
            }
            for one in day.plan
        ],
        "familyInfo": {
            "mayCount": True,
            "countLimitS": day.counter.time_out_s,
            "callPrice": day.counter.price,
            "largest": day.traffic.units,
            "postPaid": True,
        },
        "limits": {
            "maxAttempts": rules.executions,
            "mayCancel": rules.withdraw,
            "parallelTries": rules.parallel,
            "peers": day.notes.allowed,
            "retryAfter": rules.return_limit_s > 0,
            "maxRetryAfterS": rules.return_limit_s,
            "connectTimeoutS": fleet.connect_time_out_s,
            "idleCloseS": fleet.idle_close_s,
        },
        "report": {"names": ["queue", "inflight", "util"] if fleet.report else []},
        "prices": {
            "peer": REPLICATED_NOTE_PRICE if day.notes.copied_s else day.notes.price,
            "waste": day.goal.waste,
        },
        "rules": {
            "drainGraceS": rules.drain_grace_s,
            "coldFrom": rules.cold_share,
            "warmWithinS": rules.warm_s,
            "tipMultiple": rules.tip_multiple,
            "fallS": rules.tip_window_s,
        },
    }
