"""The settings of a soak: a class of each effect, short deadlines and windows, a plan with a ceiling."""

from __future__ import annotations

from typing import Any

from merlintally.lab.soak.oracle import Limits

DEADLINE_S, WINDOW_S = 1.6, 0.8
CLASSES = {"look": "repeatable", "order": "by_key", "pay": "once"}
CEILING_PER_S, CEILING_UNITS, CEILING_SLACK = 30.0, 40.0, 6.0
COLD_FROM, WARM_WITHIN_S, TIP_MULTIPLE, TIP_WINDOW_S, DRAIN_GRACE_S = 0.3, 8.0, 2.0, 1.5, 0.25


def settings_of(number: int, nodes: int) -> dict[str, Any]:
    """The object `settings` of one node's configuration."""
    return {
        "slotNo": number,
        "balancers": nodes,
        "discovery": "pushed",
        "classes": [
            {
                "name": name,
                "aimS": DEADLINE_S / 2,
                "deadlineS": DEADLINE_S,
                "lateWorth": 0.2,
                "repeat": effect,
                "keyScope": "all",
                "windowS": WINDOW_S,
            }
            for name, effect in CLASSES.items()
        ],
        "tariffs": [
            {"name": "open", "unitsPerS": 100.0, "mostAtOnce": 200.0},
            {
                "name": "capped",
                "unitsPerS": CEILING_PER_S / 2,
                "mostAtOnce": CEILING_UNITS / 2,
                "capRate": CEILING_PER_S,
                "neverOverDepth": CEILING_UNITS,
                "tolerance": CEILING_SLACK,
                "overWorth": 0.5,
            },
        ],
        "familyInfo": {"mayCount": True, "countLimitS": 0.05, "largest": 6},
        "limits": {
            "maxAttempts": 4,
            "mayCancel": True,
            "parallelTries": True,
            "retryAfter": True,
            "maxRetryAfterS": 1.0,
            "connectTimeoutS": 0.25,
            "idleCloseS": 5.0,
        },
        "rules": {
            "drainGraceS": DRAIN_GRACE_S,
            "coldFrom": COLD_FROM,
            "warmWithinS": WARM_WITHIN_S,
            "tipMultiple": TIP_MULTIPLE,
            "fallS": TIP_WINDOW_S,
        },
    }


def limits_of(server_per_s: float, capped: frozenset[str]) -> Limits:
    """What the oracle holds the nodes to."""
    return Limits(
        DRAIN_GRACE_S,
        WINDOW_S,
        COLD_FROM,
        WARM_WITHIN_S,
        TIP_MULTIPLE,
        TIP_WINDOW_S,
        server_per_s,
        CEILING_PER_S,
        CEILING_UNITS,
        CEILING_SLACK,
        capped,
    )
