"""Parts of ceilings that nodes lend each other, without input or output: what is agreed, what a node may draw
by it, and what the leader does next. Shares are thousandths of a customer's ceiling.

Each node has an even part. One that needs less does without some of it, one that needs more may draw that
under a lease; the sum never passes the ceiling, whoever is cut off.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from msgspec import Struct, field

WHOLE = 1000
ASKED = "asked"
LENT = "lent"
RECALLED = "recalled"
MOST_LOANS = 2000  # at once, of all customers

MISTAKES = (  # planted by name, in tests only
    "lent before the lender has heard",
    "drawn after the lease",
    "given back before the borrower has ended",
    "a restart forgets what it lent",
    "an old word about a loan counts",
    "more is lent than there is",
)


class Loan(Struct):
    """`share` of a customer's ceiling that `lender` does without and `borrower` may draw under its lease.
    `changed_at` is the index of the entry that brought its state about."""

    number: int
    customer: str
    lender: str
    borrower: str
    share: int
    state: str
    changed_at: int


class Refused(Exception):
    """An entry does not fit what is agreed by now; the text says why."""


class Parts(Struct):
    """All loans, by number. Changed by entries alone."""

    loans: dict[int, Loan] = field(default_factory=dict)
    number: int = 0  # of the last one: it only rises

    def verbs(self) -> dict[str, Callable[..., str]]:
        return {"lend": self._lend, "lent": self._lent, "recall": self._recall, "ended": self._ended}

    def of(self, customer: str) -> list[Loan]:
        return [one for one in self.loans.values() if one.customer == customer]

    def own(self, customer: str, node: str, even: int) -> int:
        """What is left of a node's even part when all that it lends is taken off."""
        return even - sum(one.share for one in self.of(customer) if one.lender == node)

    def _lend(
        self,
        index: int,
        mistakes: frozenset[str],
        number: int,
        customer: str,
        lender: str,
        borrower: str,
        share: int,
        even: int,
    ) -> str:
        if number != self.number + 1:
            raise Refused(f"loan {number} does not follow {self.number}")
        if lender == borrower or not 0 < share <= even <= WHOLE or len(self.loans) >= MOST_LOANS:
            raise Refused(f"{customer}: {share} of {even} from {lender} to {borrower} can't be lent")
        if share > self.own(customer, lender, even) and "more is lent than there is" not in mistakes:
            raise Refused(f"{customer}: {lender} has {self.own(customer, lender, even)} left, not {share}")
        self.number = number
        self.loans[number] = Loan(number, customer, lender, borrower, share, ASKED, index)
        return f"loan {number}: {lender} is to do without {share} of {customer} for {borrower}"

    def _move(
        self, index: int, mistakes: frozenset[str], number: int, before: Iterable[str], state: str
    ) -> str:
        loan = self.loans.get(number)
        if loan is None:
            raise Refused(f"loan {number} is over, or never was")
        if loan.state not in before and "an old word about a loan counts" not in mistakes:
            raise Refused(f"loan {number} is {loan.state}")
        loan.state, loan.changed_at = state, index
        return f"loan {number} is {state}"

    def _lent(self, index: int, mistakes: frozenset[str], number: int) -> str:
        return self._move(index, mistakes, number, (ASKED,), LENT)

    def _recall(self, index: int, mistakes: frozenset[str], number: int) -> str:
        return self._move(index, mistakes, number, (ASKED, LENT), RECALLED)

    def _ended(self, index: int, mistakes: frozenset[str], number: int) -> str:
        self._move(index, mistakes, number, (RECALLED,), RECALLED)
        del self.loans[number]
        return f"loan {number} is over"


def share_of(
    parts: Parts,
    customer: str,
    node: str,
    even: int,
    leased: bool,
    caught_up: bool,
    mistakes: frozenset[str] = frozenset(),
) -> int:
    """What a node may draw of a customer's ceiling now, in thousandths: what it lends is gone until it hears
    that it is back, what it borrows lasts as long as its lease. One that starts anew draws nothing before it
    has heard what it lent."""
    if not caught_up:
        return even if "a restart forgets what it lent" in mistakes else 0
    borrowed = sum(one.share for one in parts.of(customer) if one.borrower == node and one.state == LENT)
    if not leased and "drawn after the lease" not in mistakes:
        borrowed = 0
    return max(0, parts.own(customer, node, even)) + borrowed


class Heard(Struct):
    """What the leader knows of a node: by which entry it acts, whether its lease is over for certain, and
    what it would draw of each customer at a ceiling (thousandths)."""

    acts_on: int
    silent: bool
    wants: Mapping[str, int]


def next_words(
    parts: Parts, heard: Mapping[str, Heard], even: int, mistakes: frozenset[str] = frozenset()
) -> list[tuple[Any, ...]]:
    """What the leader proposes now. A loan is lent once its lender has heard that it does without; it ends
    once its borrower has heard that it is called back, or has no lease any more for certain."""
    wanted: list[tuple[Any, ...]] = []
    for loan in parts.loans.values():
        lender, borrower = heard.get(loan.lender), heard.get(loan.borrower)
        if loan.state == RECALLED:
            over = borrower is not None and (borrower.silent or borrower.acts_on >= loan.changed_at)
            if over or "given back before the borrower has ended" in mistakes:
                wanted.append(("ended", loan.number))
        elif _useless(parts, loan, lender, borrower, even):
            wanted.append(("recall", loan.number))
        elif loan.state == ASKED and (
            lender is not None
            and lender.acts_on >= loan.changed_at
            or "lent before the lender has heard" in mistakes
        ):
            wanted.append(("lent", loan.number))
    if not any(one.state == ASKED for one in parts.loans.values()) and (loan_ := _next(parts, heard, even)):
        wanted.append(("lend", parts.number + 1, *loan_, even))
    return wanted


def _useless(parts: Parts, loan: Loan, lender: Heard | None, borrower: Heard | None, even: int) -> bool:
    """Whether the borrower is gone or draws little, or the lender needs its part itself."""
    if borrower is None or borrower.silent:
        return True
    has = parts.own(loan.customer, loan.borrower, even) + sum(
        one.share for one in parts.of(loan.customer) if one.borrower == loan.borrower
    )
    if borrower.wants.get(loan.customer, 0) <= has - 2 * loan.share:
        return True
    own = parts.own(loan.customer, loan.lender, even)
    return lender is not None and not lender.silent and lender.wants.get(loan.customer, 0) > own + loan.share


def _next(parts: Parts, heard: Mapping[str, Heard], even: int) -> tuple[str, str, str, int] | None:
    """Customer, lender, borrower and share of the next loan: to whoever lacks most, half of what the one who
    needs least has over, so that neither is emptied by one word."""
    lacks: list[tuple[int, str, str]] = []
    for node, one in heard.items():
        if one.silent:
            continue
        for customer, want in one.wants.items():
            has = parts.own(customer, node, even) + sum(
                loan.share for loan in parts.of(customer) if loan.borrower == node
            )
            if want > has:
                lacks.append((want - has, customer, node))
    for lack, customer, borrower in sorted(lacks, key=lambda row: (-row[0], row[1], row[2])):
        over = [
            (parts.own(customer, node, even) - one.wants.get(customer, 0), node)
            for node, one in heard.items()
            if node != borrower and not one.silent and not _borrows(parts, customer, node)
        ]
        if over and (best := max(over))[0] > 1:
            return customer, best[1], borrower, max(1, min(lack, best[0] // 2))
    return None


def _borrows(parts: Parts, customer: str, node: str) -> bool:
    return any(one.borrower == node for one in parts.of(customer))
