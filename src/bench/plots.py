"""SVG plots of results."""

from pathlib import Path

import matplotlib
from matplotlib.figure import Figure

from bench.results import Comparison, RunResult

SIZE_INCHES = (9, 6)
# A fixed salt makes the SVG identifiers, and so the file, reproducible.
SVG_SALT = "wasabipitch"


def plot_run(run: RunResult, path: Path) -> None:
    """Plot load, goodput, refusals and response times over time."""
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    rates, times = figure.subplots(2, 1, sharex=True)
    at_s = [s.at_s for s in run.seconds]
    rates.plot(at_s, [s.offered for s in run.seconds], label="offered", color="gray")
    rates.plot(at_s, [s.good for s in run.seconds], label="in time", color="tab:green")
    rates.plot(at_s, [s.refused for s in run.seconds], label="refused", color="tab:red")
    rates.axhline(run.capacity_per_s, linestyle=":", color="black", label="capacity")
    rates.set_ylabel("requests/s")
    rates.set_title(f"{run.experiment}, {run.variant}, seed {run.seed}")
    times.plot(at_s, [s.p50_ms or None for s in run.seconds], label="median")
    times.plot(at_s, [s.p99_ms or None for s in run.seconds], label="p99")
    times.set_yscale("log")
    times.set_ylabel("response time, ms")
    times.set_xlabel("s")
    for axes in (rates, times):
        if run.lost_primary_at_s is not None:
            axes.axvline(
                run.lost_primary_at_s, linestyle="--", color="tab:red", label="failover"
            )
        axes.legend(loc="upper left", fontsize="small")
    _save(figure, path)


def plot_comparison(comparison: Comparison, path: Path) -> None:
    """Plot load, goodput and refusals of each variant's first run in a column."""
    runs = {run.variant: run for run in reversed(comparison.runs)}
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    plots = figure.subplots(len(runs), 1, sharex=True, sharey=True, squeeze=False)
    variants = [summary.variant for summary in comparison.variants]
    for axes, variant in zip(plots[:, 0], variants, strict=True):
        run = runs[variant]
        at_s = [s.at_s for s in run.seconds]
        axes.plot(at_s, [s.offered for s in run.seconds], label="offered", color="gray")
        axes.plot(
            at_s, [s.good for s in run.seconds], label="in time", color="tab:green"
        )
        axes.plot(
            at_s, [s.refused for s in run.seconds], label="refused", color="tab:red"
        )
        if run.lost_primary_at_s is not None:
            axes.axvline(run.lost_primary_at_s, linestyle="--", label="failover")
        axes.set_title(f"{run.experiment}, {variant}")
        axes.set_ylabel("requests/s")
        axes.legend(loc="upper left", fontsize="small")
    plots[-1, 0].set_xlabel("s")
    _save(figure, path)


def _save(figure: Figure, path: Path) -> None:
    matplotlib.rcParams["svg.hashsalt"] = SVG_SALT
    figure.savefig(path, format="svg", metadata={"Date": None})
