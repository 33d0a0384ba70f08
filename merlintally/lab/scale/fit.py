"""How a cost grows with a size: least squares over a few forms, the simplest that explains the points."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import numpy as np
from numpy.typing import NDArray

from merlintally.lab.scale.slope import Fit, Point

Column = NDArray[np.float64]

FORMS: dict[str, tuple[Callable[[Column], Column], ...]] = {  # simplest first; each has an intercept, too
    "constant": (),
    "logarithmic": (np.log,),
    "linear": (lambda sizes: sizes,),
    "quadratic": (lambda sizes: sizes, np.square),
}
WITHIN = 2.0  # of the best form's error, up to which a simpler form is taken
NEGLIGIBLE = 0.06  # relative error below which a form is as good as any: measurements repeat no better
LEAST_SHARE = 0.05  # of the largest value, as which smaller ones are weighted
SMALLEST = 1e-12  # guards against a division by a value of zero


def _columns(form: str, sizes: Column) -> NDArray[np.float64]:
    return np.column_stack([np.ones_like(sizes), *(column(sizes) for column in FORMS[form])])


def fit_form(form: str, points: Sequence[Point], unit: str = "") -> Fit:
    """Least squares of one form, each point weighted by its value: relative errors count, so that the small
    sizes matter as much as the large ones. The error is by degrees of freedom: a form with more coefficients
    than the points bear out does not look better for them."""
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    weights = 1 / np.maximum(np.abs(values), max(SMALLEST, LEAST_SHARE * float(np.abs(values).max())))
    columns = _columns(form, sizes)
    solved = np.linalg.lstsq(columns * weights[:, None], values * weights, rcond=None)[0]
    residuals = (columns @ solved - values) * weights
    freedom = max(1, len(points) - columns.shape[1])
    error = float(np.sqrt(np.sum(np.square(residuals)) / freedom))
    return Fit(form=form, unit=unit, error=error, coefficients=tuple(map(float, solved)))


def _bends_down(fit: Fit) -> bool:
    """Guards against noise fitted by a parabola that falls again beyond the points."""
    return fit.form == "quadratic" and fit.coefficients[-1] < 0


def best_fit(points: Sequence[Point], unit: str = "", within: float = WITHIN) -> Fit:
    """The simplest form whose error is within a factor of the best one's (or negligible)."""
    fits = [fit_form(form, points, unit) for form in FORMS if len(FORMS[form]) + 1 < len(points)]
    fits = [fit for fit in fits if not _bends_down(fit)]
    allowed = max(NEGLIGIBLE, within * min(fit.error for fit in fits))
    return next(fit for fit in fits if fit.error <= allowed)


def value_at(fit: Fit, size: int) -> float:
    """The cost that the fit says for `size`; never below zero.

    >>> value_at(Fit("linear", "ms", coefficients=(1.0, 0.5)), 10)
    6.0
    """
    columns = _columns(fit.form, np.array([size], dtype=float))
    return max(0.0, float(columns[0] @ np.array(fit.coefficients)))
