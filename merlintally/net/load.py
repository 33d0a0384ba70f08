"""The load of a node as its own event loop shows it: how late the loop runs, and how long calls wait."""

from __future__ import annotations

from dataclasses import dataclass

from merlintally.net.log import Log

LOG_INTERVAL_S = 10.0


@dataclass(slots=True)
class Gauge:
    """A value in seconds: the latest one, the largest since the last log line, and the largest of all."""

    latest_s: float = 0.0
    recent_max_s: float = 0.0
    max_s: float = 0.0

    def record(self, value_s: float) -> None:
        """Record a value."""
        self.latest_s = value_s
        self.recent_max_s = max(self.recent_max_s, value_s)
        self.max_s = max(self.max_s, value_s)


class LoopLoad:
    """Gauges of the event loop; logged while one of them is above `late_s`.

    >>> load = LoopLoad(0.1)
    >>> load.lag.record(0.25), load.lag.record(0.0), load.lag.max_s
    (None, None, 0.25)
    """

    def __init__(self, late_s: float) -> None:
        self.late_s = late_s
        self.lag = Gauge()  # by which a sleeping task wakes too late
        self.oldest_call = Gauge()  # age of the oldest call in the dispatcher's queue
        self._logged_at = float("-inf")

    def log(self, now: float, log: Log) -> None:
        """Log the largest values since the last line, at most every LOG_INTERVAL_S, if one was large."""
        gauges = (self.lag, self.oldest_call)
        if now < self._logged_at + LOG_INTERVAL_S or all(one.recent_max_s <= self.late_s for one in gauges):
            return
        self._logged_at = now
        lag_s, oldest_call_s = (one.recent_max_s for one in gauges)
        log.say(
            f"the loop ran up to {lag_s:.3f} s late, and calls waited up to {oldest_call_s:.3f} s",
            "node.load",
            lag_s=round(lag_s, 3),
            oldest_call_s=round(oldest_call_s, 3),
        )
        for one in gauges:
            one.recent_max_s = 0.0

    def totals(self) -> dict[str, float]:
        """Return the largest values of all, in seconds, for the log."""
        return {"lag_s": round(self.lag.max_s, 3), "oldest_call_s": round(self.oldest_call.max_s, 3)}
