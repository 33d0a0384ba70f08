"""One HTML page about scale tests: the table of verdicts and a plot of each (SVG within the page)."""

from __future__ import annotations

from importlib import resources
from pathlib import Path

import jinja2
import numpy as np
from matplotlib.figure import Figure

from merlintally.lab.scale.fit import value_at
from merlintally.lab.scale.slope import Row
from merlintally.lab.scale.store import Kept
from merlintally.lab.scale.tables import by_factor
from merlintally.lab.tell.report import svg

CURVE_POINTS = 60


def plot(row: Row, size: int | None = None) -> str:
    """The measured points, the fitted curve to the operators' size, and the budget."""
    figure = Figure(figsize=(4.6, 2.8))
    axes = figure.subplots()
    sizes = [point.size for point in row.points]
    axes.plot(sizes, [point.value for point in row.points], "o", ms=4, label="measured")
    last = max([*sizes, size or 0])
    if row.fit.coefficients:
        curve = np.geomspace(max(1, min(sizes)), last, CURVE_POINTS)
        axes.plot(curve, [value_at(row.fit, int(one)) for one in curve], lw=0.9, label=row.fit.form)
    if row.budget is not None:
        axes.axhline(row.budget, color="C3", lw=0.8, label="budget")
    axes.set_xscale("log")
    axes.set_yscale("symlog" if min(point.value for point in row.points) <= 0 else "log")
    axes.set_xlabel(row.by)
    axes.set_ylabel(row.fit.unit)
    axes.legend(fontsize=7)
    figure.tight_layout()
    return svg(figure)


def page_of(kept: Kept) -> str:
    rows = by_factor(kept)
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(
        (resources.files("merlintally.lab.scale") / "page.html").read_text(encoding="utf-8")
    )
    plots = {row.name: plot(row) for row in rows}
    return template.render(kept=kept, rows=rows, plots=plots)


def write_page(path: Path, kept: Kept) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(page_of(kept), encoding="utf-8")
