"""Two builds on the same days and seeds: paired differences, with bootstrap intervals."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

from merlintally.lab.tell.results import Result

RESAMPLES, SEED = 5000, 7
COMPARED = ("G", "service", "worst_window", "refused_with_room", "units_beyond", "answer_p99_ms")
BETTER_LOWER = {"refused_with_room", "units_beyond", "answer_p99_ms"}


@dataclass(frozen=True, slots=True)
class Difference:
    """The second build's figure less the first's, over pairs of the same day, seed and size."""

    figure: str
    day: str  # "" over all days
    pairs: int
    first: float  # means
    second: float
    mean: float
    low: float  # of the 95% interval of the mean
    high: float

    @property
    def told(self) -> bool:
        """Whether it is told from noise: the interval leaves out 0."""
        return self.pairs >= 3 and (self.low > 0 or self.high < 0)

    def sentence(self) -> str:
        """In plain words."""
        where = f"on {self.day}" if self.day else "over all days"
        if self.pairs < 3:
            return f"{self.figure} {where}: {self.mean:+.4f} from {self.pairs} pairs, too few to tell."
        if not self.told:
            return (
                f"{self.figure} {where}: {self.mean:+.4f} is not told from noise "
                f"({self.low:+.4f} to {self.high:+.4f}, {self.pairs} pairs)."
            )
        better = (self.mean < 0) == (self.figure in BETTER_LOWER)
        return (
            f"{self.figure} {where}: the second is {'better' if better else 'worse'} by {abs(self.mean):.4f} "
            f"({self.low:+.4f} to {self.high:+.4f}, {self.pairs} pairs)."
        )


def interval(differences: list[float]) -> tuple[float, float]:
    """The 95% bootstrap interval of the mean, by percentiles; the same for the same differences."""
    values = np.array(differences)
    dice = np.random.default_rng(SEED)
    means = values[dice.integers(0, len(values), (RESAMPLES, len(values)))].mean(axis=1)
    low, high = np.quantile(means, [0.025, 0.975])
    return float(low), float(high)


def paired(results: Iterable[Result], first: str, second: str) -> dict[str, list[tuple[Result, Result]]]:
    """By day: results of the same seed and size, of the two builds."""
    found: dict[tuple[str, int, int], dict[str, Result]] = {}
    for one in results:
        found.setdefault((one.day, one.seed, one.gateways), {})[one.build] = one
    pairs: dict[str, list[tuple[Result, Result]]] = {}
    for (day, _, _), builds in found.items():
        if first in builds and second in builds:
            pairs.setdefault(day, []).append((builds[first], builds[second]))
    return pairs


def difference(figure: str, day: str, pairs: list[tuple[Result, Result]]) -> Difference:
    rows = [(one.figures[figure], other.figures[figure]) for one, other in pairs]
    each = [other - one for one, other in rows]
    low, high = interval(each)
    firsts, seconds = [one for one, _ in rows], [other for _, other in rows]
    return Difference(
        figure,
        day,
        len(rows),
        float(np.mean(firsts)),
        float(np.mean(seconds)),
        float(np.mean(each)),
        low,
        high,
    )


def compare(
    results: Iterable[Result], first: str, second: str, names: Iterable[str] = COMPARED
) -> list[Difference]:
    """Differences by figure: over all days first, then day by day; empty where there are no pairs."""
    pairs = paired(results, first, second)
    every = [pair for rows in pairs.values() for pair in rows]
    if not every:
        return []
    found = [difference(figure, "", every) for figure in names]
    return found + [difference("G", day, rows) for day, rows in sorted(pairs.items())]


def rank_correlation(xs: list[float], ys: list[float]) -> float:
    """Spearman's: of the ranks, ties at their mean.

    >>> rank_correlation([1, 2, 3, 4], [10, 20, 40, 30])
    0.8
    """

    def ranks(values: list[float]) -> np.ndarray:
        order = np.argsort(values, kind="stable")
        found = np.empty(len(values))
        found[order] = np.arange(len(values))
        array = np.array(values)
        return np.array([found[array == one].mean() for one in array])

    if len(xs) < 2 or np.std(xs) == 0 or np.std(ys) == 0:
        return 0.0
    return round(float(np.corrcoef(ranks(xs), ranks(ys))[0, 1]), 4)
