"""Computation of results from samples."""

import dataclasses
import itertools
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from bench.experiments import Experiment
from bench.recording import (
    ANSWERED,
    Outcome,
    Sample,
    new_histogram,
    percentile_ms,
    record_duration,
)
from bench.results import (
    ClassResult,
    Comparison,
    Interval,
    Measures,
    PhaseResult,
    RunResult,
    Spread,
    VariantSummary,
)

INTERVAL_S = 0.5
REFUSALS = (Outcome.REFUSED, Outcome.EXPIRED)
P50 = 50
P99 = 99
CALM = "calm"
STRAGGLERS = "stragglers"
CREST = "crest"


def summarize_phases(
    experiment: Experiment, samples: Sequence[Sample], slots: int
) -> tuple[PhaseResult, ...]:
    """Return the result of each phase from the requests that arrived in it.

    Args:
        experiment: supplies the phases.
        samples: the samples of the whole run.
        slots: the number of slots of all instances of all groups together.
    """
    by_phase: dict[int, list[Sample]] = defaultdict(list)
    for sample in samples:
        by_phase[sample.arrival.phase].append(sample)
    return tuple(
        _summarize_phase(phase.name, phase.seconds, by_phase[i], slots)
        for i, phase in enumerate(experiment.phases)
    )


def _summarize_phase(
    name: str, seconds: float, samples: Sequence[Sample], slots: int
) -> PhaseResult:
    refusals = [s.exchange_s for s in samples if s.outcome in REFUSALS]
    refused = _make_histogram(refusals)
    early = [s.exchange_s for s in samples if s.outcome is Outcome.REFUSED]
    short = [
        s for s in samples if s.outcome in ANSWERED and not s.arrival.work.straggler
    ]
    response = _make_histogram(s.response_s for s in short)
    wait = _make_histogram(s.response_s - s.arrival.work.work_ms / 1000 for s in short)
    good = [s for s in samples if s.outcome is Outcome.GOOD]
    return PhaseResult(
        name=name,
        seconds=seconds,
        offered_per_s=round(len(samples) / seconds, 1),
        offered_load=_compute_load(samples, seconds, slots),
        good_load=_compute_load(good, seconds, slots),
        refusals=len(refusals),
        expired=len(refusals) - len(early),
        refusal_p99_ms=percentile_ms(refused, P99),
        early_refusal_p99_ms=percentile_ms(_make_histogram(early), P99),
        short_p50_ms=percentile_ms(response, P50),
        short_p99_ms=percentile_ms(response, P99),
        short_wait_p50_ms=percentile_ms(wait, P50),
        short_wait_p99_ms=percentile_ms(wait, P99),
        classes=tuple(_summarize_classes(samples)),
    )


def _compute_load(samples: Iterable[Sample], seconds: float, slots: int) -> float:
    work_s = sum(s.arrival.work.work_ms for s in samples) / 1000
    return round(work_s / (slots * seconds), 3)


def _summarize_classes(samples: Sequence[Sample]) -> Iterable[ClassResult]:
    by_class: dict[str, list[Sample]] = defaultdict(list)
    for sample in samples:
        by_class[sample.arrival.work.name].append(sample)
    for name, members in sorted(by_class.items()):
        times = _make_histogram(s.response_s for s in members if s.outcome in ANSWERED)
        yield ClassResult(
            name=name,
            offered=len(members),
            outcomes=dict(Counter(s.outcome.value for s in members)),
            p50_ms=percentile_ms(times, P50),
            p99_ms=percentile_ms(times, P99),
            max_ms=percentile_ms(times, 100),
        )


def summarize_intervals(samples: Sequence[Sample]) -> tuple[Interval, ...]:
    """Return the rates and response times of each interval of ``INTERVAL_S``.

    Arrivals count at their scheduled time, outcomes and response times at the
    end of the request.
    """
    offered: Counter[int] = Counter()
    good: Counter[int] = Counter()
    refused: Counter[int] = Counter()
    times = defaultdict(new_histogram)
    for sample in samples:
        offered[int(sample.arrival.at_s / INTERVAL_S)] += 1
        index = int(sample.done_s / INTERVAL_S)
        good[index] += sample.outcome is Outcome.GOOD
        refused[index] += sample.outcome in REFUSALS
        if sample.outcome in ANSWERED:
            record_duration(times[index], sample.response_s)
    last = max((*offered, *good), default=-1)
    return tuple(
        Interval(
            at_s=i * INTERVAL_S,
            offered=offered[i] / INTERVAL_S,
            good=good[i] / INTERVAL_S,
            refused=refused[i] / INTERVAL_S,
            p50_ms=percentile_ms(times[i], P50),
            p99_ms=percentile_ms(times[i], P99),
        )
        for i in range(last + 1)
    )


def find_gap_s(done_s: Iterable[float], start_s: float, end_s: float) -> float:
    """Return the longest time without an event between start and end.

    The times from the start to the first event and from the last event to the
    end count as well.
    """
    inside = sorted(t for t in done_s if start_s < t < end_s)
    boundaries = [start_s, *inside, end_s]
    return max(b - a for a, b in itertools.pairwise(boundaries))


def find_write_gap_s(
    samples: Sequence[Sample], group: str, start_s: float, end_s: float
) -> float:
    """Return the longest time in which a group acknowledged no write."""
    acknowledged = (
        s.done_s
        for s in samples
        if s.arrival.group == group
        and s.arrival.work.write
        and s.outcome in (Outcome.GOOD, Outcome.LATE)
    )
    return round(find_gap_s(acknowledged, start_s, end_s), 3)


def compute_measures(
    experiment: Experiment,
    phases: Sequence[PhaseResult],
    counters: dict[str, float],
    gap_s: float | None,
) -> Measures:
    """Return the measures of a run.

    Args:
        experiment: supplies the most important class.
        phases: the results of the phases.
        counters: the counters of all pools over the run.
        gap_s: the longest time without an acknowledged write around the kill of
            a primary, or None if none was killed.
    """
    by_name = {phase.name: phase for phase in phases}
    calm, mixed, crest = (by_name.get(n) for n in (CALM, STRAGGLERS, CREST))
    important = None
    if crest is not None:
        found = [c for c in crest.classes if c.name == experiment.important]
        important = round(found[0].good_share, 4) if found else None
    aged = counters.get("pool.reads.aged", 0)
    replica = counters.get("pool.reads.replica", 0)
    ratio = None
    if calm is not None and mixed is not None and calm.short_wait_p99_ms:
        ratio = round(mixed.short_wait_p99_ms / calm.short_wait_p99_ms, 2)
    refused = crest is not None and crest.refusals > 0
    stale = sum(c.outcomes.get("stale", 0) for p in phases for c in p.classes)
    return Measures(
        replica_share=round(replica / aged, 4) if aged else None,
        failover_gap_s=gap_s,
        important_good=important,
        crest_offered_load=crest.offered_load if crest else None,
        crest_good_load=crest.good_load if crest else None,
        refusal_p99_ms=crest.refusal_p99_ms if refused else None,
        early_refusal_p99_ms=crest.early_refusal_p99_ms if refused else None,
        expired_share=round(crest.expired / crest.refusals, 4) if refused else None,
        wait_p99_calm_ms=calm.short_wait_p99_ms if calm else None,
        wait_p99_stragglers_ms=mixed.short_wait_p99_ms if mixed else None,
        wait_ratio=ratio,
        stale=stale,
    )


def compare(experiment: str, runs: Sequence[RunResult]) -> Comparison:
    """Return the measures of two variants over all rounds, and their ratios."""
    variants = list(dict.fromkeys(run.variant for run in runs))
    summaries = tuple(
        VariantSummary(
            v, _compute_spreads([r.measures for r in runs if r.variant == v])
        )
        for v in variants
    )
    ratios = {}
    for first, second in zip(
        summaries[0].measures, summaries[-1].measures, strict=True
    ):
        if first.median and second.median:
            ratios[first.name] = round(first.median / second.median, 3)
    rounds = len(runs) // len(variants)
    return Comparison(experiment, rounds, summaries, ratios, tuple(runs))


def _compute_spreads(measures: Sequence[Measures]) -> tuple[Spread, ...]:
    spreads = []
    for field in dataclasses.fields(Measures):
        values = [getattr(m, field.name) for m in measures]
        known = [v for v in values if v is not None]
        if not known:
            spreads.append(Spread(field.name, None, None, None))
            continue
        median = round(statistics.median(known), 4)
        spreads.append(Spread(field.name, median, min(known), max(known)))
    return tuple(spreads)


def _make_histogram(seconds: Iterable[float]):
    histogram = new_histogram()
    for value in seconds:
        record_duration(histogram, value)
    return histogram
