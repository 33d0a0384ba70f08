"""Selects the app servers that a node uses from the list: those of its subset, or all if it has none."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from merlintally.choice import Gateway
from merlintally.interface import Outcome
from merlintally.net.configuration import Deployment
from merlintally.subsets import Listing, Subset
from merlintally.subsets.pressure import waits_for_capacity

ANSWERED: tuple[Outcome, ...] = ("ok", "error", "full")
UNANSWERED: tuple[Outcome, ...] = ("timed_out", "unreachable", "broken")
# Called with entries, and whether they are the whole list.
OnUpdate = Callable[[Sequence[Listing], bool], None]


def subset_of(deployment: Deployment) -> Subset | None:
    """This node's subset; None if subsets are off or the settings don't number the node among the others."""
    facts = deployment.facts
    if deployment.subsets is None or facts.number >= facts.gateways:
        return None
    return Subset(facts.number, facts.gateways, deployment.subsets)


class Roster:
    """Tracks the list and the ends of attempts, and publishes changes of the node's subset to `on_update`.

    A server that leaves the subset is published as gone: its attempts end, and it gets no new ones.
    """

    def __init__(self, subset: Subset | None, gateway: Gateway, on_update: OnUpdate) -> None:
        self.subset, self._gateway, self._on_update = subset, gateway, on_update

    def listed(self, now: float, entries: Sequence[Listing], complete: bool) -> None:
        """Applies a list from discovery, or changes to it unless `complete`."""
        if self.subset is not None:
            entries, complete = self.subset.apply_list(now, entries, complete)
        if entries or complete:
            self._publish(entries, complete)

    def ended(self, now: float, server: str, outcome: Outcome) -> None:
        """Records the end of an attempt: a server that leaves several unanswered counts as failing."""
        if self.subset is None or outcome not in ANSWERED + UNANSWERED:
            return
        if self.subset.record_attempt(now, server, outcome in ANSWERED):
            self._publish(self.subset.members(), True)

    def resize(self, now: float) -> None:
        """Grows the subset while requests wait for capacity in it; shrinks it when a smaller one suffices."""
        if self.subset is None or not self.subset.bounded:
            return
        overloaded = self.subset.record_waiting(now, waits_for_capacity(self._gateway, now))
        if self.subset.shrink_if_due(now) or overloaded:
            self._publish(self.subset.members(), True)

    def _publish(self, entries: Sequence[Listing], complete: bool) -> None:
        if self.subset is not None and self.subset.nodes_per_server != self._gateway.gateways_per_server:
            self._gateway.share(self.subset.nodes_per_server)
        self._on_update(entries, complete)
