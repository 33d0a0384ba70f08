"""One HTML page about results: tables and plots (SVG within the page), readable without a network."""

from __future__ import annotations

import io
from collections.abc import Iterable
from importlib import resources
from pathlib import Path
from typing import Any

import jinja2
import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "merlintally"  # the same page for the same results

from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from merlintally.lab.tell.results import Result  # noqa: E402

SHOWN = (
    "G",
    "service",
    "worst_window",
    "worst_plan",
    "refused",
    "refused_with_room",
    "units_beyond",
    "held",
    "answer_p50_ms",
    "answer_p99_ms",
    "executions_per_try",
    "counter_calls_per_try",
    "rules_broken",
)
MOST_PLOTTED = 12  # days with plots on one page


def svg(figure: Figure) -> str:
    held = io.StringIO()
    figure.savefig(held, format="svg", metadata={"Date": None})
    return held.getvalue()[held.getvalue().index("<svg") :]


def mark(axes: Axes, result: Result) -> None:
    """The troubles, as bands over the day."""
    for at, (kind, begins, lasts) in enumerate(result.troubles):
        axes.axvspan(begins, begins + max(lasts, 0.2), color=f"C{at % 6 + 3}", alpha=0.15, label=kind)


def sliding(values: list[float], width: int = 3) -> list[float]:
    """Means over `width` seconds up to each.

    >>> sliding([3.0, 6.0, 9.0, 0.0])
    [3.0, 4.5, 6.0, 5.0]
    """
    return [sum(values[max(0, at - width + 1) : at + 1]) / min(width, at + 1) for at in range(len(values))]


def plot_service(result: Result) -> str:
    """Served worth beside what was offered, and what was refused with room, over time."""
    figure = Figure(figsize=(9, 3))
    axes = figure.subplots()
    offered, earned = (sliding(result.series[name]) for name in ("offered", "earned"))
    axes.plot(offered, label="offered worth a second", color="0.6")
    axes.plot(earned, label="earned worth a second", color="C0")
    axes.set_ylim(bottom=0)
    other = axes.twinx()
    other.plot(sliding(result.series["with room"]), label="refused with room, a second", color="C1", lw=0.9)
    other.set_ylim(bottom=0)
    mark(axes, result)
    axes.set_xlabel("seconds")
    lines = [*axes.get_legend_handles_labels()[0], *other.get_legend_handles_labels()[0]]
    axes.legend(
        lines,
        [str(line.get_label()) for line in lines],
        fontsize=7,
        loc="lower center",
        ncols=6,
        bbox_to_anchor=(0.5, 1.0),
        frameon=False,
    )
    figure.tight_layout()
    return svg(figure)


def plot_customers(result: Result) -> str:
    """Use of the busiest customers against quota and ceiling, units a second."""
    figure = Figure(figsize=(9, 3.4))
    shown = result.customers[:6]
    grid = figure.subplots(2, 3, sharex=True).flat
    for axes, one in zip(grid, shown, strict=False):
        axes.plot(sliding(one["use"], 2), lw=0.9)
        axes.axhline(one["rate"], color="0.4", lw=0.8, ls="--")
        if one["ceiling"]:
            axes.axhline(one["ceiling"], color="C3", lw=0.8)
        axes.set_title(f"{one['plan']} {one['kind']} {one['key'][-4:]}", fontsize=7)
        axes.tick_params(labelsize=6)
    figure.suptitle("units a second: use, quota (dashed), ceiling (red)", fontsize=8)
    figure.tight_layout()
    return svg(figure)


def plot_out(result: Result) -> str:
    """What servers hold, as a picture: a row a server, a column a look."""
    names = sorted({name for _, held in result.out for name in held}, key=lambda name: (len(name), name))
    figure = Figure(figsize=(9, 3))
    axes = figure.subplots()
    rows = [[held.get(name, 0) for _, held in result.out] for name in names]
    if rows:
        last = result.out[-1][0] if result.out else 1.0
        picture = axes.imshow(
            rows, aspect="auto", cmap="viridis", interpolation="nearest", extent=(0, last, len(names), 0)
        )
        figure.colorbar(picture, label="executions held")
        axes.set_yticks([at + 0.5 for at in range(len(names))][:: max(1, len(names) // 12)])
        axes.set_yticklabels(names[:: max(1, len(names) // 12)], fontsize=6)
    axes.set_xlabel("seconds")
    figure.tight_layout()
    return svg(figure)


def plot_growth(results: list[Result]) -> str:
    """Wall time and memory by the number of edge nodes, where there is more than one size."""
    figure = Figure(figsize=(9, 2.6))
    left, right = figure.subplots(1, 2)
    for build in sorted({one.build for one in results}):
        rows = sorted((one.gateways, one.wall_s, one.peak_mb) for one in results if one.build == build)
        sizes = [size for size, _, _ in rows]
        left.plot(sizes, [wall for _, wall, _ in rows], "o-", label=build, ms=3)
        right.plot(sizes, [memory for _, _, memory in rows], "o-", label=build, ms=3)
    left.set_ylabel("wall s")
    right.set_ylabel("peak MB")
    for axes in (left, right):
        axes.set_xlabel("edge nodes")
        axes.legend(fontsize=7)
    figure.tight_layout()
    return svg(figure)


def page(results: Iterable[Result], sentences: Iterable[str] = ()) -> str:
    """The whole page."""
    rows = sorted(results, key=lambda one: (one.day, one.gateways, one.seed, one.build))
    plotted: list[dict[str, Any]] = [
        {"result": one, "plots": [plot_service(one), plot_customers(one), plot_out(one)]}
        for one in [one for one in rows if one.series][:MOST_PLOTTED]
    ]
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(
        (resources.files("merlintally.lab.tell") / "report.html").read_text(encoding="utf-8")
    )
    sizes = len({one.gateways for one in rows}) > 1
    return template.render(
        rows=rows,
        names=SHOWN,
        plotted=plotted,
        sentences=list(sentences),
        growth=plot_growth(rows) if sizes else "",
        left_out=sum(1 for one in rows if one.series) - len(plotted),
    )


def write(path: Path, results: Iterable[Result], sentences: Iterable[str] = ()) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(page(results, sentences), encoding="utf-8")
