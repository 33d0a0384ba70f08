"""Figures of a day from the referee's books."""

from __future__ import annotations

import numpy as np

from merlintally.lab.judge.referee import Figures, Referee

WINDOW = 10  # seconds of the worst window


def quantile(values: list[float], part: float) -> float:
    return float(np.quantile(values, part)) if values else 0.0


def service(referee: Referee) -> tuple[float, float, float]:
    """Earned over offered, 0 to 1: of the whole day, its worst 10 seconds, the worst-served plan."""
    offered, earned = referee.by_second["offered"], referee.by_second["earned"]
    length = int(max(offered, default=0)) + 1
    asked = np.array([offered.get(at, 0.0) for at in range(length)])
    got = np.array([earned.get(at, 0.0) for at in range(length)])
    whole = min(1.0, float(got.sum() / asked.sum())) if asked.sum() > 0 else 1.0
    window = np.ones(min(WINDOW, length))
    asked, got = np.convolve(asked, window, "valid"), np.convolve(got, window, "valid")
    parts = got[asked > 0] / asked[asked > 0]
    worst = min(1.0, float(parts.min())) if len(parts) else whole
    plans = [min(1.0, earned / offered) for offered, earned in referee.by_plan.values() if offered > 0]
    return whole, worst, min(plans, default=whole)


def figures(referee: Referee) -> Figures:
    """All figures by name: shares of 0 to 1 unless the name says otherwise (`_ms`, `_per_try`)."""
    day, counts, goal = referee.day, referee.counts, referee.day.goal
    whole, worst, plan = service(referee)
    tries, firsts = max(1, counts["tries"]), max(1, counts["first tries"])
    offered = sum(one for one, _ in referee.by_plan.values()) or 1.0
    weights = goal.whole + goal.worst_window + goal.worst_plan or 1.0
    gross = (goal.whole * whole + goal.worst_window * worst + goal.worst_plan * plan) / weights
    beyond = referee.beyond_quota_cost / offered
    waste = goal.waste * max(0.0, referee.work_sent - referee.work_served) / max(referee.work_asked, 1e-9)
    counter = day.counter.price * counts["counter calls"] / firsts
    notes = day.notes.price * counts["note bytes"] / (256 * firsts)
    refused = counts["bounced"] + counts["given up"]
    return {
        "G": max(0.0, gross - beyond - waste - counter - notes),
        "service": whole,
        "worst_window": worst,
        "worst_plan": plan,
        "price_beyond": beyond,
        "price_waste": waste,
        "price_counter": counter,
        "price_notes": notes,
        "refused": refused / tries,
        "refused_with_room": counts["with room"] / tries,
        "units_beyond": referee.units_beyond / max(1.0, referee.units_sent),
        "in_time": counts["in time"] / firsts,
        "late": counts["late"] / firsts,
        "held": float(np.mean(np.array(referee.first_sends) > 0.005)) if referee.first_sends else 0.0,
        "first_send_p50_ms": 1000 * quantile(referee.first_sends, 0.5),
        "first_send_p99_ms": 1000 * quantile(referee.first_sends, 0.99),
        "answer_p50_ms": 1000 * quantile(referee.answer_times, 0.5),
        "answer_p99_ms": 1000 * quantile(referee.answer_times, 0.99),
        "executions_per_try": counts["executions"] / tries,
        "tries_per_first": tries / firsts,
        "counter_calls_per_try": counts["counter calls"] / tries,
        "counter_unanswered": counts["counter unanswered"] / max(1, counts["counter calls"]),
        "first_tries": float(counts["first tries"]),
        "rules_broken": float(sum(referee.broken.values())),
    }


def series(referee: Referee) -> dict[str, list[float]]:
    """Measures by second of the day, for plots."""
    length = int(max(referee.by_second["offered"], default=0)) + 1
    names = ("offered", "earned", "beyond", "with room")
    return {name: [round(referee.by_second[name].get(at, 0.0), 4) for at in range(length)] for name in names}


def customers(referee: Referee, most: int = 6) -> list[dict[str, object]]:
    """Those that used most, half of them under a ceiling where there are such: use by second, units."""
    length = int(max(referee.by_second["offered"], default=0)) + 1

    def telling(key: str) -> tuple[float, float, str]:
        book = referee.usage_by_customer[key]
        return book.lowest_ceiling_level, -sum(book.by_second.values()) / max(book.customer.rate, 1e-9), key

    order = sorted(referee.usage_by_customer, key=telling)
    under = [key for key in order if referee.usage_by_customer[key].ceiling is not None]
    free = [key for key in order if referee.usage_by_customer[key].ceiling is None]
    half = max(most // 2, most - len(free))
    found = under[:half] + free[: most - len(under[:half])]
    return [
        {
            "key": key,
            "plan": book.customer.plan,
            "kind": book.customer.kind,
            "rate": book.customer.rate,
            "burst": book.customer.burst,
            "ceiling": book.customer.rate * book.customer.form.ceiling,
            "least_of_ceiling": book.lowest_ceiling_level,
            "use": [book.by_second.get(at, 0.0) for at in range(length)],
        }
        for key in found
        for book in (referee.usage_by_customer[key],)
    ]
