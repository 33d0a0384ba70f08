"""Loans of ceiling shares between nodes, without input or output.

Shares are thousandths of a customer's ceiling. Each node has an even share of each ceiling. A node that needs
less lends some of it; the borrower may draw the loan only under a valid lease. The shares that all nodes may
draw never sum to more than the ceiling, even while nodes are cut off from each other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from msgspec import Struct, field

WHOLE_CEILING = 1000  # thousandths of a ceiling
# States of a loan.
ASKED = "asked"
LENT = "lent"
RECALLED = "recalled"
MAX_LOANS = 2000  # at once, of all customers

INJECTED_FAULTS = (  # faults that tests inject by name
    "lent before the lender has heard",
    "drawn after the lease",
    "given back before the borrower has ended",
    "a restart forgets what it lent",
    "an old word about a loan counts",
    "more is lent than there is",
)


class Loan(Struct):
    """`share` thousandths of a customer's ceiling that `lender` does not draw and `borrower` may draw.

    `changed_at` is the index of the entry that set the state.
    """

    number: int
    customer: str
    lender: str
    borrower: str
    share: int
    state: str
    changed_at: int


class Refused(Exception):
    """An entry does not fit the current state; the text is the reason.

    The reason is stored in the replicated state, so it has to be the same text on every node.
    """


class LoanTable(Struct):
    """All current loans, by number. Changed by log entries only."""

    loans: dict[int, Loan] = field(default_factory=dict)
    number: int = 0  # of the last loan; never decreases

    def handlers(self) -> dict[str, Callable[..., str]]:
        """Handlers of the entries about loans, by verb; each raises Refused if the entry does not fit."""
        return {"lend": self._lend, "lent": self._lent, "recall": self._recall, "ended": self._ended}

    def of_customer(self, customer: str) -> list[Loan]:
        return [loan for loan in self.loans.values() if loan.customer == customer]

    def own_share(self, customer: str, node: str, even_share: int) -> int:
        """What is left of a node's even share after all that it lends."""
        return even_share - sum(loan.share for loan in self.of_customer(customer) if loan.lender == node)

    def _lend(
        self,
        index: int,
        injected_faults: frozenset[str],
        number: int,
        customer: str,
        lender: str,
        borrower: str,
        share: int,
        even_share: int,
    ) -> str:
        if number != self.number + 1:
            raise Refused(f"loan {number} does not follow {self.number}")
        if lender == borrower or not 0 < share <= even_share <= WHOLE_CEILING or len(self.loans) >= MAX_LOANS:
            raise Refused(f"{customer}: {share} of {even_share} from {lender} to {borrower} can't be lent")
        if (
            share > self.own_share(customer, lender, even_share)
            and "more is lent than there is" not in injected_faults
        ):
            raise Refused(
                f"{customer}: {lender} has {self.own_share(customer, lender, even_share)} left, not {share}"
            )
        self.number = number
        self.loans[number] = Loan(number, customer, lender, borrower, share, ASKED, index)
        return f"loan {number}: {lender} is to do without {share} of {customer} for {borrower}"

    def _set_state(
        self, index: int, injected_faults: frozenset[str], number: int, expected: Iterable[str], state: str
    ) -> str:
        """Set the state of a loan, which must be in one of the `expected` states."""
        loan = self.loans.get(number)
        if loan is None:
            raise Refused(f"loan {number} is over, or never was")
        if loan.state not in expected and "an old word about a loan counts" not in injected_faults:
            raise Refused(f"loan {number} is {loan.state}")
        loan.state, loan.changed_at = state, index
        return f"loan {number} is {state}"

    def _lent(self, index: int, injected_faults: frozenset[str], number: int) -> str:
        return self._set_state(index, injected_faults, number, (ASKED,), LENT)

    def _recall(self, index: int, injected_faults: frozenset[str], number: int) -> str:
        return self._set_state(index, injected_faults, number, (ASKED, LENT), RECALLED)

    def _ended(self, index: int, injected_faults: frozenset[str], number: int) -> str:
        self._set_state(index, injected_faults, number, (RECALLED,), RECALLED)
        del self.loans[number]
        return f"loan {number} is over"


def drawable_share(
    table: LoanTable,
    customer: str,
    node: str,
    even_share: int,
    leased: bool,
    caught_up: bool,
    injected_faults: frozenset[str] = frozenset(),
) -> int:
    """The thousandths of a customer's ceiling that a node may draw now.

    A loan counts against its lender until the lender has applied its end, and for the borrower only while
    its lease is valid. A restarted node draws nothing until it has caught up and has applied what it lent.
    """
    if not caught_up:
        return even_share if "a restart forgets what it lent" in injected_faults else 0
    borrowed = sum(
        loan.share for loan in table.of_customer(customer) if loan.borrower == node and loan.state == LENT
    )
    if not leased and "drawn after the lease" not in injected_faults:
        borrowed = 0
    return max(0, table.own_share(customer, node, even_share)) + borrowed


class NodeStatus(Struct):
    """A node's status as its last report to the leader and its lease give it.

    `acts_on`: index of the last entry that the node has applied. `silent`: whether its lease has expired for
    certain. `wants`: the thousandths that it would draw of each customer who is at the ceiling.
    """

    acts_on: int
    silent: bool
    wants: Mapping[str, int]


def next_loan_entries(
    table: LoanTable,
    nodes: Mapping[str, NodeStatus],
    even_share: int,
    injected_faults: frozenset[str] = frozenset(),
) -> list[tuple[Any, ...]]:
    """The entries about loans that the leader should propose now, as verb and arguments.

    A loan becomes usable once its lender has applied it. It ends once its borrower has applied the recall, or
    has no lease for certain. A new loan is made only while no other waits for its lender.
    """
    entries: list[tuple[Any, ...]] = []
    for loan in table.loans.values():
        lender, borrower = nodes.get(loan.lender), nodes.get(loan.borrower)
        if loan.state == RECALLED:
            returned = borrower is not None and (borrower.silent or borrower.acts_on >= loan.changed_at)
            if returned or "given back before the borrower has ended" in injected_faults:
                entries.append(("ended", loan.number))
        elif _should_recall(table, loan, lender, borrower, even_share):
            entries.append(("recall", loan.number))
        elif loan.state == ASKED and (
            lender is not None
            and lender.acts_on >= loan.changed_at
            or "lent before the lender has heard" in injected_faults
        ):
            entries.append(("lent", loan.number))
    if not any(other.state == ASKED for other in table.loans.values()) and (
        new_loan := _next_loan(table, nodes, even_share)
    ):
        entries.append(("lend", table.number + 1, *new_loan, even_share))
    return entries


def _should_recall(
    table: LoanTable, loan: Loan, lender: NodeStatus | None, borrower: NodeStatus | None, even_share: int
) -> bool:
    """Whether the borrower is silent or needs the loan no longer, or the lender needs its share itself.

    The borrower needs the loan no longer once its surplus is at least twice the loan.
    """
    if borrower is None or borrower.silent:
        return True
    borrower_share = table.own_share(loan.customer, loan.borrower, even_share) + sum(
        other.share for other in table.of_customer(loan.customer) if other.borrower == loan.borrower
    )
    if borrower.wants.get(loan.customer, 0) <= borrower_share - 2 * loan.share:
        return True
    lender_share = table.own_share(loan.customer, loan.lender, even_share)
    return (
        lender is not None
        and not lender.silent
        and lender.wants.get(loan.customer, 0) > lender_share + loan.share
    )


def _next_loan(
    table: LoanTable, nodes: Mapping[str, NodeStatus], even_share: int
) -> tuple[str, str, str, int] | None:
    """Customer, lender, borrower and share of the next loan, or None.

    The borrower is the node with the largest deficit, the lender the one with the largest surplus. It lends
    at most half of its surplus at a time, so that one loan does not leave it without any.
    """
    deficits: list[tuple[int, str, str]] = []
    for node, status in nodes.items():
        if status.silent:
            continue
        for customer, demand in status.wants.items():
            drawable = table.own_share(customer, node, even_share) + sum(
                loan.share for loan in table.of_customer(customer) if loan.borrower == node
            )
            if demand > drawable:
                deficits.append((demand - drawable, customer, node))
    for deficit, customer, borrower in sorted(deficits, key=lambda row: (-row[0], row[1], row[2])):
        surpluses = [
            (table.own_share(customer, node, even_share) - status.wants.get(customer, 0), node)
            for node, status in nodes.items()
            if node != borrower and not status.silent and not _borrows(table, customer, node)
        ]
        if surpluses and (largest := max(surpluses))[0] > 1:
            return customer, largest[1], borrower, max(1, min(deficit, largest[0] // 2))
    return None


def _borrows(table: LoanTable, customer: str, node: str) -> bool:
    return any(loan.borrower == node for loan in table.of_customer(customer))
