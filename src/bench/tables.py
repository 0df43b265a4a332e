"""Results as text tables."""

import statistics
from collections import defaultdict
from collections.abc import Sequence

from bench.loops import FailoverResult, PathResult
from bench.results import Comparison, PhaseResult, RunResult, Slope, Spread

NONE_TEXT = "-"


def format_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a text table with the first column left-aligned, the others right."""
    lines = [list(head), *(list(row) for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]
    texts = []
    for line in lines:
        cells = [line[0].ljust(widths[0])]
        cells += [c.rjust(w) for c, w in zip(line[1:], widths[1:], strict=True)]
        texts.append("  ".join(cells).rstrip())
    return "\n".join(texts)


def format_value(value: float | None) -> str:
    """Return a number as text, or ``NONE_TEXT`` for None."""
    if value is None:
        return NONE_TEXT
    if isinstance(value, int) or float(value).is_integer():
        return f"{value:.0f}"
    return f"{value:.3f}"


def describe_run(run: RunResult) -> str:
    """Return the phases, classes, measures and usage of a run as text."""
    parts = [
        f"{run.experiment}, variant {run.variant}, seed {run.seed}",
        f"capacity of all groups: {run.capacity_per_s:.0f} arrivals/s of short"
        " work; loads are relative to the slots of all instances",
        _format_phases(run.phases),
        _format_classes(run.phases),
        _format_measures(run),
        _format_usage(run),
        _format_busiest(run),
        f"slots in use after the run: {run.held_after};"
        f" p99 from arrival to sending: {run.start_delay_p99_ms:.0f} ms",
    ]
    if run.refusals:
        reasons = [f"{n} x {text}" for text, n in run.refusals.items()]
        parts.append("refusals\n" + "\n".join(reasons))
    if run.errors:
        parts.append("\n".join(f"{n} x {text}" for text, n in run.errors.items()))
    return "\n\n".join(parts)


def describe_comparison(comparison: Comparison) -> str:
    """Return the measures of two variants side by side as text."""
    first, last = comparison.variants[0], comparison.variants[-1]
    rows = [
        [
            a.name,
            _format_spread(a),
            _format_spread(b),
            format_value(comparison.ratios.get(a.name)),
        ]
        for a, b in zip(first.measures, last.measures, strict=True)
    ]
    title = (
        f"{comparison.experiment}, {comparison.rounds} alternating rounds:"
        " median (least to greatest)"
    )
    table = format_table(["measure", first.variant, last.variant, "ratio"], rows)
    return f"{title}\n\n{table}"


def _format_spread(spread: Spread) -> str:
    if spread.median is None:
        return NONE_TEXT
    least, greatest = format_value(spread.least), format_value(spread.greatest)
    return f"{format_value(spread.median)} ({least} to {greatest})"


def _format_phases(phases: Sequence[PhaseResult]) -> str:
    head = ["phase", "s", "offered/s", "load", "good load", "refused", "expired"]
    head += ["early p99 ms", "short p50 ms", "short p99 ms", "wait p99 ms"]
    rows = [
        [
            p.name,
            format_value(p.seconds),
            format_value(p.offered_per_s),
            format_value(p.offered_load),
            format_value(p.good_load),
            format_value(p.refusals),
            format_value(p.expired),
            format_value(p.early_refusal_p99_ms),
            format_value(p.short_p50_ms),
            format_value(p.short_p99_ms),
            format_value(p.short_wait_p99_ms),
        ]
        for p in phases
    ]
    return format_table(head, rows)


def _format_classes(phases: Sequence[PhaseResult]) -> str:
    head = ["phase class", "offered", "good", "p50 ms", "p99 ms", "other outcomes"]
    rows = []
    for phase in phases:
        for cls in phase.classes:
            rest = {k: n for k, n in cls.outcomes.items() if k != "good"}
            rows.append(
                [
                    f"{phase.name} {cls.name}",
                    format_value(cls.offered),
                    f"{cls.good_share:.1%}",
                    format_value(cls.p50_ms),
                    format_value(cls.p99_ms),
                    " ".join(f"{k}={n}" for k, n in sorted(rest.items())),
                ]
            )
    return format_table(head, rows)


def _format_measures(run: RunResult) -> str:
    fields = vars(run.measures)
    rows = [[name, format_value(value)] for name, value in fields.items()]
    return format_table(["measure", "value"], rows)


def _format_busiest(run: RunResult) -> str:
    roles = sorted({role for phase in run.busiest.values() for role in phase})
    rows = [
        [phase, *(format_value(cores.get(role)) for role in roles)]
        for phase, cores in run.busiest.items()
    ]
    head = ["busiest process, cores", *roles]
    return format_table(head, rows)


def _format_usage(run: RunResult) -> str:
    head = ["role", "processes", "cores", "busiest", "largest MB"]
    rows = [
        [
            u.role,
            str(u.processes),
            format_value(u.cores),
            format_value(u.busiest),
            format_value(u.rss_mb),
        ]
        for u in run.usage
    ]
    return format_table(head, rows)


def describe_path(results: Sequence[PathResult]) -> str:
    """Return all rounds of both ways and the ratios of their medians as text."""
    rows = [
        [
            r.way,
            str(r.connections),
            format_value(r.requests_per_s),
            format_value(r.p50_ms),
            format_value(r.p99_ms),
            format_value(r.entry_cores),
            format_value(r.pool_cores),
        ]
        for r in results
    ]
    head = ["way", "connections", "requests/s", "p50 ms", "p99 ms"]
    table = format_table([*head, "entry cores", "pool cores"], rows)
    return f"{table}\n\n{_format_path_cost(results)}"


def _format_path_cost(results: Sequence[PathResult]) -> str:
    by_way: dict[str, list[PathResult]] = defaultdict(list)
    for result in results:
        by_way[result.way].append(result)
    lines = []
    for name in ("requests_per_s", "p50_ms", "p99_ms"):
        direct, proxy = (
            statistics.median(getattr(r, name) for r in by_way[way])
            for way in ("direct", "proxy")
        )
        lines.append(f"median {name}: {proxy:.3f} by proxy, {direct:.3f} direct")
        lines[-1] += f", ratio {proxy / direct:.2f}"
    return "\n".join(lines)


def describe_failovers(result: FailoverResult) -> str:
    """Return the write gaps of repeated failovers as text."""
    gaps = " ".join(format_value(g) for g in sorted(result.gaps_s))
    return (
        f"variant {result.variant}, {result.kills} failures of the primary by"
        f" {result.loss}:"
        f" longest time without an acknowledged write\n"
        f"median {result.median_s:.3f} s, worst {result.worst_s:.3f} s,"
        f" failed connections or writes {result.failed_writes}\n"
        f"all gaps in s, sorted: {gaps}"
    )


def describe_slopes(result: Slope) -> str:
    """Return the points of a slope and the rise of each line as text."""
    names = list(result.points[0].values)
    head = [result.size, *names]
    rows = [
        [str(p.size), *(format_value(p.values[n]) for n in names)]
        for p in result.points
    ]
    rows.append(["per 1000", *(f"{result.per_unit[n] * 1000:.4g}" for n in names)])
    return f"{result.name}: {result.title}\n\n{format_table(head, rows)}"
