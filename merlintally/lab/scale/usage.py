"""The counter and the other nodes' use of tenants, modelled: they draw at random, at each tenant's mean rate.

What the other nodes draw reaches the counter at once; they keep a count from falling far behind, as the
module does. The truth about each tenant's store is kept beside it, to hold a node's view against.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from merlintally.customer import CORRECTION_BURSTS, EPOCH_S
from merlintally.lab.scale.workload import Tenant
from merlintally.naming import phase

FULL_AFTER = 4.0  # times of filling up, after which a store counts as full
STEPS = 8.0  # in which a time of filling up is looked at
MANY = 30.0  # draws from which their number is drawn as a normal one


def poisson(random: Random, mean: float) -> int:
    """A Poisson number.

    >>> poisson(Random(1), 0.0)
    0
    """
    if mean > MANY:
        return max(0, round(random.gauss(mean, math.sqrt(mean))))
    count, left = 0, random.random()
    least = math.exp(-mean)
    while left > least:
        count, left = count + 1, left * random.random()
    return count


@dataclass
class Use:
    """One tenant's use by all nodes together."""

    tenant: Tenant
    at: float  # when the other nodes' draws were last drawn
    store: float  # units that its quota truly has left
    phase_s: float
    count: int = 0  # name of the count that holds
    total: float = 0.0  # in it


class OtherNodes:
    """All nodes but one, and the counter."""

    def __init__(self, tenants: Iterable[Tenant], nodes: int, seed: int, slow: bool = False) -> None:
        self.slow = slow  # the counter
        self.random, self.others_share = Random(seed), (nodes - 1) / nodes
        self._uses: dict[str, Use] = {}
        self._tenants = {one.key: one for one in tenants}

    def use(self, key: str, now: float) -> Use:
        """A tenant's use up to now."""
        found = self._uses.get(key)
        if found is None:
            tenant = self._tenants[key]
            found = self._uses[key] = Use(tenant, now, tenant.burst, phase(key) * EPOCH_S)
        passed, found.at = now - found.at, now
        fills_in = found.tenant.burst / found.tenant.quota
        if passed > FULL_AFTER * fills_in:  # use is below the quota: it was full again meanwhile
            found.total += self._drawn(found, passed - FULL_AFTER * fills_in)
            found.store, passed = found.tenant.burst, FULL_AFTER * fills_in
        steps = 1 + int(STEPS * passed / fills_in)
        for _ in range(steps):
            drawn = self._drawn(found, passed / steps)
            found.total += drawn
            found.store = min(found.tenant.burst, found.store + found.tenant.quota * passed / steps)
            found.store = max(0.0, found.store - drawn)
        return found

    def _drawn(self, use: Use, passed: float) -> int:
        """What the other nodes drew meanwhile."""
        return poisson(self.random, use.tenant.requests_per_s * self.others_share * passed)

    def draw(self, key: str, now: float, units: float) -> None:
        """The node itself draws; the counter hears of it by `add`."""
        use = self.use(key, now)
        use.store = max(0.0, use.store - units)

    def add(self, now: float, key: str, name: int, amount: float) -> float:
        """The count after the node's add."""
        use = self.use(key, now)
        elapsed = (now + use.phase_s) % EPOCH_S
        if name != use.count:
            use.count = name
            use.total = poisson(self.random, use.tenant.requests_per_s * self.others_share * elapsed)
        level = use.total - use.tenant.quota * elapsed
        if level < -CORRECTION_BURSTS * use.tenant.burst:  # the other nodes have put it right
            use.total += -level - CORRECTION_BURSTS / 2 * use.tenant.burst
        use.total += amount
        return use.total
