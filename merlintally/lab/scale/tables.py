"""Results of scale tests as a Markdown table, for docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import Iterator

from merlintally.lab.scale.slope import Row
from merlintally.lab.scale.store import Kept

HEAD = "| test | at size | budget | factor | with whole lists | grows (error) | day |"
RULE = "| --- " * HEAD.count(" |") + "|"


def by_factor(kept: Kept) -> list[Row]:
    """The rows, the worst for their budget first."""
    return sorted(kept.rows.values(), key=lambda row: (-(row.factor or 0.0), row.name))


def markdown(kept: Kept, without_subsets: Kept | None) -> Iterator[str]:
    """Lines of the table; rows of nodes without subsets of app servers stand beside the others."""
    yield HEAD
    yield RULE
    for row in by_factor(kept):
        whole = without_subsets.rows.get(row.name) if without_subsets is not None else None
        cells = [
            f"`{row.name}`",
            f"{figure(row.at_size)} {row.fit.unit}",
            "" if row.budget is None else f"{row.budget:,g}",
            factor(row),
            "" if whole is None else f"{figure(whole.at_size)}{of_budget(whole)}",
            f"{row.fit.form}{', forecast' if row.fit.extrapolated else ''} ({row.fit.error:.0%})",
            kept.days[row.name],
        ]
        yield f"| {' | '.join(cells)} |"


def figure(value: float) -> str:
    """Three digits that count.

    >>> figure(0.012345), figure(145692.9)
    ('0.0123', '146,000')
    """
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 100 else f"{rounded:g}"


def factor(row: Row) -> str:
    """In bold where the budget is broken."""
    if row.factor is None:
        return ""
    return f"**{figure(row.factor)}**" if row.holds is False else figure(row.factor)


def of_budget(row: Row) -> str:
    return f" ({factor(row)})" if row.factor is not None else ""
