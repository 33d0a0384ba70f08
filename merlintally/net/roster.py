"""Which of the listed app servers a node is told of: those of its subset, or all where it has none."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from merlintally.choice import Gateway
from merlintally.interface import Outcome
from merlintally.net.configuration import Deployment
from merlintally.subsets import Listing, Subset
from merlintally.subsets.pressure import waits_for_place

ANSWERED: tuple[Outcome, ...] = ("ok", "error", "full")
UNANSWERED: tuple[Outcome, ...] = ("timed_out", "unreachable", "broken")
Tell = Callable[[Sequence[Listing], bool], None]  # entries, and whether they are the whole list


def subset_of(deployment: Deployment) -> Subset | None:
    """This node's subset; None where it is off, or the settings give the node no number among the others."""
    facts = deployment.facts
    if deployment.subsets is None or facts.number >= facts.gateways:
        return None
    return Subset(facts.number, facts.gateways, deployment.subsets)


class Roster:
    """Follows the list and the attempts, and tells what concerns the node's subset.

    A server that has left the subset is told as gone: its attempts end, and it gets nothing more.
    """

    def __init__(self, subset: Subset | None, gateway: Gateway, tell: Tell) -> None:
        self.subset, self._gateway, self._tell = subset, gateway, tell

    def listed(self, now: float, entries: Sequence[Listing], complete: bool) -> None:
        """Discovery has told a list, or its changes."""
        if self.subset is not None:
            entries, complete = self.subset.listed(now, entries, complete)
        if entries or complete:
            self._share_and_tell(entries, complete)

    def ended(self, now: float, server: str, outcome: Outcome) -> None:
        """An attempt has ended: a server that leaves several without an answer counts as failing."""
        if self.subset is None or outcome not in ANSWERED + UNANSWERED:
            return
        if self.subset.reported(now, server, outcome in ANSWERED):
            self._share_and_tell(self.subset.members(), True)

    def fit(self, now: float) -> None:
        """Grow the subset while work waits for places in it; shrink it once a smaller one has been enough."""
        if self.subset is None or not self.subset.bounded:
            return
        pressed = self.subset.pressed(now, waits_for_place(self._gateway, now))
        if self.subset.wake(now) or pressed:
            self._share_and_tell(self.subset.members(), True)

    def _share_and_tell(self, entries: Sequence[Listing], complete: bool) -> None:
        if self.subset is not None and self.subset.sharing != self._gateway.gateways_per_server:
            self._gateway.share(self.subset.sharing)
        self._tell(entries, complete)
