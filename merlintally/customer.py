"""One customer of a gateway: its token bucket, the rate without the counter, and its part of the ceiling.

The module does no I/O and reads no clock. Times are in seconds.
"""

from __future__ import annotations

from merlintally.interface import PlanFacts
from merlintally.naming import count_name, phase
from merlintally.ring import Ring

USAGE_SLOT_S = 0.4  # of the window over which a customer's recent use is measured
USAGE_SLOT_COUNT = 5
BEYOND_QUOTA_TARGET_FACTOR = 2.0  # target over reserved rate of plans that earn from use beyond the quota
UPDATE_FRESH_S = 0.3  # age of a counter update up to which it decides without another call
# A customer without an update or use for this long: its deficit is not carried over to a new counter, its
# common rate is no longer updated, and with a full bucket it is forgotten.
STALE_AFTER_S = 2.0
EPOCH_S = 60.0  # period of one counter of a customer
CORRECTION_BURSTS = 1.0  # a counter below its expected minimum by more than this many bursts is corrected
NOTE_MIN_INTERVAL_S = 0.05


class Customer:
    """This gateway's estimate of one customer's token bucket, and the rate that it may grant itself."""

    __slots__ = (
        "key",
        "plan",
        "gateways",
        "epoch_offset",
        "serves_beyond_quota",
        "wall_shift",
        "balance",
        "uncapped_balance",
        "limiting_rate",
        "peer_rate",
        "units_to_add",
        "beyond_quota_credit",
        "last_update_at",
        "advanced_at",
        "last_used_at",
        "notes_complete",
        "mark",
        "drawn",
        "pending_add",
        "admitted_since_add",
        "admitted_in_add",
        "in_flight",
        "open_submissions",
        "counter_name",
        "counter_total",
        "recent_submissions",
        "recent_units",
        "common_rate",
        "common_credit",
        "ceiling_fill_rate",
        "ceiling_depth",
        "ceiling_level",
    )

    def __init__(self, key: str, plan: PlanFacts, gateways: int, now: float, uptime: float) -> None:
        """`gateways`: the number of those that serve it; `uptime`: seconds since this gateway's start."""
        self.key = key
        self.plan = plan
        self.gateways = gateways
        self.epoch_offset = phase(key) * EPOCH_S
        self.serves_beyond_quota = plan.beyond_gain > plan.beyond_cost
        self.wall_shift = 0.0  # seconds by which the wall clock, which numbers the epochs, is ahead of `now`
        # Units left in the bucket by the last update and the use since; the balance is capped at the burst.
        self.balance = plan.burst
        self.uncapped_balance = plan.burst
        # Rates in units per second: the limit set by saturated servers, and the estimated use by peers.
        self.limiting_rate = float("inf")
        self.peer_rate = 0.0
        self.units_to_add = 0.0  # drawn here and not yet added to the counter
        self.beyond_quota_credit = 0.0  # units
        # Times of the counter's last update, of the last refill and of the last use.
        self.last_update_at = -EPOCH_S
        self.advanced_at = now
        self.last_used_at = now
        self.notes_complete = False  # a recent note of each live peer is here: the balance has their use
        # The customer's id in notes, and the units drawn here that no note has reported yet.
        self.mark = int(self.epoch_offset / EPOCH_S * 2**32)
        self.drawn = 0.0
        self.pending_add: float | None = None  # units of the add in flight
        self.admitted_since_add = 0.0  # units of whole submissions
        self.admitted_in_add = 0.0
        self.in_flight = 0  # executions
        self.open_submissions = 0  # without a final answer
        self.counter_name = 0  # the counter last added to
        self.counter_total = 0.0  # of that counter; 0 until it is known
        self.recent_submissions = Ring(USAGE_SLOT_S, USAGE_SLOT_COUNT)
        self.recent_units = Ring(USAGE_SLOT_S, USAGE_SLOT_COUNT)
        # The rate that this gateway grants itself without the counter, in units per second, and its credit.
        self.common_rate = plan.rate / gateways
        self.common_credit = max(plan.burst / gateways, 1.0)
        # This gateway's part of the ceiling fills from empty at its start, so that a restart refills nothing.
        self.ceiling_fill_rate = plan.ceiling_rate / gateways
        self.ceiling_depth = plan.ceiling_burst / gateways
        self.ceiling_level = min(self.ceiling_depth, self.ceiling_fill_rate * uptime)

    @property
    def average_cost(self) -> float:
        """Mean units of a recent submission; 1 without any."""
        return (
            self.recent_units.total(self.advanced_at)
            / (self.recent_submissions.total(self.advanced_at) or float("inf"))
            or 1.0
        )

    @property
    def target(self) -> float:
        """Rate for all gateways together in units per second, at least the reserved rate."""
        return max(
            self.plan.rate,
            min(
                self.plan.rate * (BEYOND_QUOTA_TARGET_FACTOR if self.serves_beyond_quota else 1.0),
                self.limiting_rate,
            ),
        )

    def advance(self, now: float) -> None:
        """Refill all buckets up to `now`."""
        passed, self.advanced_at = max(0.0, now - self.advanced_at), now
        unseen_rate = 0.0 if self.notes_complete else self.peer_rate
        self.balance = min(self.plan.burst, self.balance + (self.plan.rate - unseen_rate) * passed)
        cost, beyond_quota_rate = self.average_cost, max(0.0, self.target - self.plan.rate) / self.gateways
        self.common_credit = min(
            self.common_credit + self.common_rate * passed, max(2 * cost, self.common_rate * 0.5)
        )
        self.beyond_quota_credit = min(
            self.beyond_quota_credit + beyond_quota_rate * passed, max(2 * cost, beyond_quota_rate)
        )
        self.ceiling_level = min(self.ceiling_depth, self.ceiling_level + self.ceiling_fill_rate * passed)

    def exceeds_ceiling(self, units: float) -> bool:
        """Whether this gateway's part of the ceiling has fewer than `units` left."""
        return self.ceiling_fill_rate > 0 and self.ceiling_level < units

    def take_from_ceiling(self, units: float) -> None:
        """Take the units of a first execution from this gateway's part of the ceiling, if there is one."""
        if self.ceiling_fill_rate > 0:
            self.ceiling_level -= units

    def within_quota(self, units: float, now: float) -> bool:
        """Whether the quota admits `units`.

        - A plan with a rate of 0 is admitted by its open limit alone; here an open limit of 0 means "refuse".
        - After an epoch without an update, with several gateways, only the common credit counts, and the
          units of an average submission suffice.
        - Otherwise the balance has to cover `units` and, unless the common credit covers `units`, the
          estimated use by peers since the last update. Without fresh updates the common credit alone
          suffices.
        """
        if self.plan.rate <= 0:
            return self.plan.open_limit > 0
        if now - self.last_update_at >= EPOCH_S and self.gateways > 1:
            return self.common_credit >= min(units, self.average_cost)
        age = NOTE_MIN_INTERVAL_S if self.notes_complete else now - self.last_update_at
        unseen_units = 0.0 if self.common_credit >= units else self.peer_rate * min(age, UPDATE_FRESH_S)
        return self.balance >= units + unseen_units or (self.common_credit >= units and age > UPDATE_FRESH_S)

    def draw(self, units: float, now: float) -> None:
        """Take a submission's units from the balance and record the use."""
        self.last_used_at, self.common_credit = now, max(0.0, self.common_credit - units)
        self.charge(units)
        self.admitted_since_add += units
        self.recent_submissions.add(now, 1.0)
        self.recent_units.add(now, units)

    def charge(self, units: float) -> None:
        """Take `units` from the balance and record them as drawn here; negative units are a refund."""
        self.balance, self.uncapped_balance = (
            min(self.plan.burst, self.balance - units),
            self.uncapped_balance - units,
        )
        self.units_to_add, self.drawn = self.units_to_add + units, self.drawn + units

    def cancel_overdraft(self, units: float) -> None:
        """Give back units that were admitted while the balance was empty: they took nothing from the bucket.

        Otherwise the overdrafts of many gateways add up in the counter, and all of them refuse until the
        bucket is refilled.
        """
        if units > 0:
            self.balance, self.uncapped_balance, self.units_to_add = (
                self.balance + units,
                self.uncapped_balance + units,
                self.units_to_add - units,
            )

    def apply_peer_use(self, drawn: float, now: float) -> None:
        """Take units drawn by another gateway from the balance, but not below 0."""
        self.advance(now)
        drawn = min(drawn, max(0.0, self.balance))
        self.balance, self.uncapped_balance = (
            min(self.plan.burst, self.balance - drawn),
            self.uncapped_balance - drawn,
        )

    def update_common_rate(self, now: float) -> None:
        """Scale the common rate by the target over the use by all gateways, by 0.8 to 1.25 a step.

        The result stays within the target and an even share of it.
        """
        self.advance(now)
        factor = min(1.25, max(0.8, self.target / max(self.recent_units.rate(now) + self.peer_rate, 0.01)))
        self.common_rate = min(self.target, max(self.target / self.gateways, self.common_rate * factor))

    def below_open_limit(self, now: float, answer_time: float) -> bool:
        """Whether the plan's open limit allows another execution here; an open limit of 0 means no limit.

        This gateway may have the larger of the limit less the peers' estimated executions, and an even share
        of the limit; at least 1.
        """
        limit, peer_executions = (
            self.plan.open_limit,
            self.peer_rate / max(self.average_cost, 0.1) * answer_time,
        )
        return not limit or self.in_flight < max(1, int(max(limit - peer_executions, limit / self.gateways)))

    def can_decide_locally(self, units: float, now: float) -> bool:
        """Whether `units` can be decided without asking the counter.

        This holds if the last update is fresh (with complete notes: less than an epoch old), if neither
        refill nor use by peers since then can have changed the result, or if there is no other gateway or no
        quota.
        """
        age, max_change = now - self.last_update_at, self.plan.rate * (now - self.last_update_at)
        unchanged = age < EPOCH_S and (
            self.uncapped_balance - units >= max_change or self.uncapped_balance + max_change < units
        )
        return (
            unchanged
            or age < (EPOCH_S if self.notes_complete else UPDATE_FRESH_S)
            or self.gateways < 2
            or self.plan.rate <= 0
        )

    def current_counter(self, now: float) -> tuple[int, float]:
        """The name of the current counter (an integer), and the seconds since its epoch began."""
        epoch_number, passed = divmod(now + self.wall_shift + self.epoch_offset, EPOCH_S)
        return count_name(self.key, int(epoch_number)), passed

    def apply_count(self, total: float, added: float, now: float) -> None:
        """Update the balance from the counter's total, which includes `added` units of this gateway."""
        self.advance(now)
        since, burst, peer_units = (
            now - self.last_update_at,
            self.plan.burst,
            total - self.counter_total - added,
        )
        # Otherwise each of many gateways admits one more submission by its credit while the bucket is empty.
        self.common_credit = min(self.common_credit, max(burst / self.gateways, self.common_rate * 0.5))
        used, self.last_update_at = total - self.plan.rate * self.current_counter(now)[1], now
        # After a long time without an update the deficit is unknown, and only `added` is carried over.
        deficit = burst - self.balance if since < STALE_AFTER_S else min(added, burst - self.balance)
        if added > 0 and total <= added * 1.000001:  # a new counter: raise it to the use known here
            self.units_to_add, self.counter_total = self.units_to_add + deficit - used, 0.0
            return
        if self.notes_complete and since < EPOCH_S:  # notes are more recent than the counter
            return
        if self.counter_total and peer_units >= 0:
            self.peer_rate += (min(self.plan.rate, peer_units / max(since, 0.02)) - self.peer_rate) * min(
                1.0, since
            )
        self.uncapped_balance, self.counter_total = burst - used - self.units_to_add, total
        self.balance = min(burst, self.uncapped_balance)
        # In steps, since other gateways may correct the same counter.
        if -3 * CORRECTION_BURSTS * burst < used < -CORRECTION_BURSTS * burst:
            self.units_to_add += min(CORRECTION_BURSTS * burst, -used - CORRECTION_BURSTS / 2 * burst)

    @property
    def in_use(self) -> bool:
        """Whether something refers to this object that an object created anew would not know."""
        return bool(self.in_flight or self.open_submissions or self.pending_add is not None)

    @property
    def ceiling_full_at(self) -> float:
        """When the ceiling's level is at its depth, as of the last refill; that time if it is by then."""
        if self.ceiling_fill_rate <= 0:
            return self.advanced_at
        return self.advanced_at + max(0.0, self.ceiling_depth - self.ceiling_level) / self.ceiling_fill_rate

    @property
    def balance_full_at(self) -> float:
        """When the balance is at the burst if nobody uses it, as of the last refill."""
        if self.plan.rate <= 0:
            return self.advanced_at
        return self.advanced_at + max(0.0, self.plan.burst - self.balance) / self.plan.rate

    def limit_ceiling(self, full_at: float, now: float) -> None:
        """Lower the ceiling's level to that of one which is full at `full_at`."""
        missing = max(0.0, full_at - now) * self.ceiling_fill_rate
        self.ceiling_level = min(self.ceiling_level, self.ceiling_depth - missing)

    def limit_balance(self, full_at: float, now: float) -> None:
        """Lower the balance to that of a bucket which is full at `full_at`."""
        missing = max(0.0, full_at - now) * self.plan.rate
        self.balance = min(self.balance, self.plan.burst - missing)
        self.uncapped_balance = min(self.uncapped_balance, self.balance)
        self.common_credit = min(self.common_credit, max(0.0, self.balance))

    def can_forget(self, now: float) -> bool:
        """Whether a new object for this customer would start in the same state."""
        self.advance(now)
        unused, full = now - self.last_used_at, self.balance >= self.plan.burst
        # A new object assumes a ceiling filled since this gateway's start.
        ceiling_full = self.ceiling_level >= self.ceiling_depth
        return ceiling_full and not self.in_use and unused > (STALE_AFTER_S if full else EPOCH_S)
