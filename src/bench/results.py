"""Results of a run, as data classes that become JSON."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ClassResult:
    """What became of one class in one phase.

    Args:
        outcomes: counts by the names of ``Outcome``.
        p50_ms: of the response times of answered requests, from the scheduled
            arrival; as are the others.
    """

    name: str
    offered: int
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    max_ms: float

    @property
    def good_share(self) -> float:
        """The share that was answered within the deadline."""
        return self.outcomes.get("good", 0) / self.offered if self.offered else 0.0


@dataclass(frozen=True)
class PhaseResult:
    """One phase.

    Args:
        offered_per_s: arrivals, stragglers included.
        offered_load: the work offered, against what all slots carry.
        good_load: the work answered in time, against the same.
        refusals: requests answered NOT_RUN, at once or after waiting.
        expired: those of them that waited until their deadline.
        refusal_p99_ms: from sending to the refusal.
        early_refusal_p99_ms: the same of those that did not wait.
        short_p50_ms: response time of short work.
        short_wait_p99_ms: response time less work time of short work.
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
    """One interval of the time line.

    Args:
        at_s: its start, since the start of the schedule.
        offered: arrivals.
        good: answers in time.
        refused: refusals, at once or after waiting.
        p50_ms: response time of the answers.
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
        cores: of all processes of the role together.
        busiest: cores of the busiest one.
        rss_mb: of the largest one.
    """

    role: str
    processes: int
    cores: float
    busiest: float
    rss_mb: float


@dataclass(frozen=True)
class Measures:
    """The four measures of one run; None: the experiment does not give it.

    Args:
        replica_share: reads served by replicas, of those that declare an age.
        failover_gap_s: the longest time without an acknowledged write in the
            group that lost its primary.
        important_good: at the crest, of the most important class, the share
            answered within its deadline.
        crest_good_load: at the crest, the work answered in time, against what
            all slots carry.
        refusal_p99_ms: at the crest, from sending to the refusal; of all, and of
            those that did not wait until their deadline.
        expired_share: of the refusals.
        wait_ratio: p99 wait of short work with stragglers, against without.
        stale: reads below the session's own writes.
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
    """One run of an experiment under one variant of the policy.

    Args:
        capacity_per_s: arrivals of short work a second that the slots of all
            groups carry.
        lost_primary_at_s: when a primary was killed, or None.
        start_delay_p99_ms: from the scheduled arrival until a connection took
            the request up.
        held_after: slots that the pools hold after the run; more than 0 while no
            request is under way means that slots were lost.
        counters: of all entries and pools together, over the run.
        refusals: by phase, class and reason.
        busiest: cores of the busiest process of each role in each phase.
        errors: those that no measure names, by their text.
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
    """A measure over several rounds; None where no round gave it."""

    name: str
    median: float | None
    least: float | None
    greatest: float | None


@dataclass(frozen=True)
class VariantSummary:
    """A variant over the rounds of a comparison."""

    variant: str
    measures: tuple[Spread, ...]


@dataclass(frozen=True)
class Comparison:
    """Two variants, run by turns.

    Args:
        ratios: median of the first against the median of the second, by the
            name of the measure.
    """

    experiment: str
    rounds: int
    variants: tuple[VariantSummary, ...]
    ratios: dict[str, float]
    runs: tuple[RunResult, ...]


@dataclass(frozen=True)
class Point:
    """What was measured at one size."""

    size: int
    values: dict[str, float]


@dataclass(frozen=True)
class Slope:
    """How a cost grows with a size.

    Args:
        size: what the size counts.
        per_unit: the least-squares line's rise for each unit, by value.
        base: the line's value at size 0, by value.
    """

    name: str
    title: str
    size: str
    points: tuple[Point, ...]
    per_unit: dict[str, float]
    base: dict[str, float]
