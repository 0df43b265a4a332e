"""Data classes for the results of runs, which are written as JSON."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ClassResult:
    """The outcomes and response times of one request class in one phase.

    Response times count from the scheduled arrival, and only answered requests
    have one.

    Args:
        name: the name of the request class.
        offered: the number of arrivals.
        outcomes: the number of requests by the values of ``Outcome``.
        p50_ms: the median response time.
        p99_ms: the 99th percentile of the response time.
        max_ms: the greatest response time.
    """

    name: str
    offered: int
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    max_ms: float

    @property
    def good_share(self) -> float:
        """The share of the arrivals that were answered within the deadline."""
        return self.outcomes.get("good", 0) / self.offered if self.offered else 0.0


@dataclass(frozen=True)
class PhaseResult:
    """The result of one phase.

    Args:
        name: the name of the phase.
        seconds: the duration.
        offered_per_s: the arrivals per second, stragglers included.
        offered_load: the work time of all arrivals, divided by the time that all
            slots of all instances have in the phase.
        good_load: the same for the requests that were answered in time.
        refusals: the number of requests answered NOT_RUN, before or at their
            deadline.
        expired: the number of these that waited until their deadline.
        refusal_p99_ms: the 99th percentile from sending a request to its refusal.
        early_refusal_p99_ms: the same without the expired requests.
        short_p50_ms: the median response time of short work.
        short_p99_ms: the 99th percentile of the response time of short work.
        short_wait_p50_ms: the median response time of short work less its work
            time.
        short_wait_p99_ms: the 99th percentile of the same.
        classes: the results of the request classes.
    """

    name: str
    seconds: float
    offered_per_s: float
    offered_load: float
    good_load: float
    refusals: int
    expired: int
    refusal_p99_ms: float
    early_refusal_p99_ms: float
    short_p50_ms: float
    short_p99_ms: float
    short_wait_p50_ms: float
    short_wait_p99_ms: float
    classes: tuple[ClassResult, ...]


@dataclass(frozen=True)
class Interval:
    """The rates and response times of one short interval of the run.

    Args:
        at_s: the start of the interval, since the start of the schedule.
        offered: arrivals per second.
        good: answers in time per second.
        refused: refusals per second, early or expired.
        p50_ms: the median response time of the answers.
        p99_ms: the 99th percentile of the response time of the answers.
    """

    at_s: float
    offered: float
    good: float
    refused: float
    p50_ms: float
    p99_ms: float


@dataclass(frozen=True)
class Usage:
    """Processor time and memory of the processes of one role.

    Args:
        role: the role, such as ``entry`` or ``pool``.
        processes: the number of processes.
        cores: the processor cores that all processes of the role used together.
        busiest: the cores that the busiest process used.
        rss_mb: the resident memory of the largest process.
    """

    role: str
    processes: int
    cores: float
    busiest: float
    rss_mb: float


@dataclass(frozen=True)
class Measures:
    """The measures by which variants are compared.

    A measure is None if the experiment does not yield it. The crest is the phase
    of overload, named ``crest``.

    Args:
        replica_share: the share of reads served by replicas, out of the reads
            whose class declares a maximum age.
        failover_gap_s: the longest time without an acknowledged write in the
            group whose primary was killed.
        important_good: the share of the most important class that was answered
            within its deadline at the crest.
        crest_offered_load: the offered load at the crest, as in ``PhaseResult``.
        crest_good_load: the load answered in time at the crest.
        refusal_p99_ms: the 99th percentile from sending a request to its refusal
            at the crest.
        early_refusal_p99_ms: the same without the expired requests.
        expired_share: the share of the refusals at the crest that waited until
            their deadline.
        wait_p99_calm_ms: the 99th percentile of the wait of short work in the
            phase without stragglers, named ``calm``.
        wait_p99_stragglers_ms: the same in the phase named ``stragglers``.
        wait_ratio: ``wait_p99_stragglers_ms`` divided by ``wait_p99_calm_ms``.
        stale: the number of reads that returned an older value than the session
            itself had written.
    """

    replica_share: float | None
    failover_gap_s: float | None
    important_good: float | None
    crest_offered_load: float | None
    crest_good_load: float | None
    refusal_p99_ms: float | None
    early_refusal_p99_ms: float | None
    expired_share: float | None
    wait_p99_calm_ms: float | None
    wait_p99_stragglers_ms: float | None
    wait_ratio: float | None
    stale: int


@dataclass(frozen=True)
class RunResult:
    """The result of one run of an experiment under one variant of the policy.

    Args:
        experiment: the name of the experiment.
        variant: the name of the policy variant.
        seed: the seed of arrivals and callers.
        capacity_per_s: the arrivals of short work per second that all groups
            together can run.
        lost_primary_at_s: the time since the start of the schedule at which a
            primary was killed, or None.
        start_delay_p99_ms: the 99th percentile of the time from the scheduled
            arrival until a connection took the request from the queue.
        measures: the measures by which variants are compared.
        phases: the results of the phases.
        seconds: the rates over time, one item for each interval.
        usage: the processor time and memory of each role.
        held_after: the number of slots still in use after the run. More than 0
            means that the pools did not release slots, since no request is
            running.
        counters: the increase of each counter during the run, summed over all
            entries and pools.
        refusals: the number of refusals by phase, class and reason.
        busiest: for each phase and role, the cores that the busiest process used.
        errors: the number of errors that no other outcome covers, by their text.
    """

    experiment: str
    variant: str
    seed: int
    capacity_per_s: float
    lost_primary_at_s: float | None
    start_delay_p99_ms: float
    measures: Measures
    phases: tuple[PhaseResult, ...]
    seconds: tuple[Interval, ...]
    usage: tuple[Usage, ...]
    held_after: int
    counters: dict[str, float]
    refusals: dict[str, int]
    busiest: dict[str, dict[str, float]]
    errors: dict[str, int]


@dataclass(frozen=True)
class Spread:
    """Median and range of a measure over several rounds, or None without values."""

    name: str
    median: float | None
    least: float | None
    greatest: float | None


@dataclass(frozen=True)
class VariantSummary:
    """The measures of one variant over the rounds of a comparison."""

    variant: str
    measures: tuple[Spread, ...]


@dataclass(frozen=True)
class Comparison:
    """The comparison of two variants that were run alternately.

    Args:
        experiment: the name of the experiment.
        rounds: the number of runs of each variant.
        variants: the summaries of the two variants.
        ratios: by the name of the measure, the first variant's median divided by
            the second's.
        runs: the results of all runs.
    """

    experiment: str
    rounds: int
    variants: tuple[VariantSummary, ...]
    ratios: dict[str, float]
    runs: tuple[RunResult, ...]


@dataclass(frozen=True)
class Point:
    """The values measured at one size."""

    size: int
    values: dict[str, float]


@dataclass(frozen=True)
class Slope:
    """The growth of resource use with a size, as a least-squares line.

    Args:
        name: the name on the command line.
        title: a short description of what was measured.
        size: the unit of the size, such as ``connections``.
        points: the values measured at each size.
        per_unit: the slope of the line for each value.
        base: the line's value at size 0 for each value.
    """

    name: str
    title: str
    size: str
    points: tuple[Point, ...]
    per_unit: dict[str, float]
    base: dict[str, float]
