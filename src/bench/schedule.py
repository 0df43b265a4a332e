"""Open-loop arrivals: a seeded schedule that is independent of the answers."""

import bisect
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

from bench.experiments import Experiment, Phase, Work


@dataclass(frozen=True, slots=True)
class Arrival:
    """One scheduled request.

    Args:
        at_s: the time since the start of the schedule.
        phase: the index of the phase.
        group: the name of the database group.
        work: the statement to send.
        roams: whether the caller first reconnects to another entry.
        with_token: whether the caller passes on the session's token when it
            reconnects.
    """

    at_s: float
    phase: int
    group: str
    work: Work
    roams: bool = False
    with_token: bool = False


class WorkMix:
    """Picks kinds of work at random, weighted by their shares."""

    def __init__(self, works: tuple[Work, ...]) -> None:
        self._works = works
        self._sums = list(itertools.accumulate(w.share for w in works))

    def pick(self, rng: random.Random) -> Work:
        """Return one kind of work at random."""
        point = rng.random() * self._sums[-1]
        return self._works[bisect.bisect_right(self._sums, point)]


def plan(
    experiment: Experiment, groups: dict[str, float], rng: random.Random
) -> list[Arrival]:
    """Return all arrivals of the schedule, ordered by time.

    Args:
        experiment: supplies the works and the phases.
        groups: the capacity of each group by name, in arrivals/s of short work.
        rng: seeded, so that the same seed gives the same arrivals.
    """
    arrivals: list[Arrival] = []
    for group, capacity in groups.items():
        start_s = load = 0.0
        for index, phase in enumerate(experiment.phases):
            previous_load = load or phase.load
            times = _draw_times(phase, start_s, previous_load, capacity, rng)
            arrivals += _make_arrivals(experiment, index, group, times, rng)
            start_s += phase.seconds
            load = phase.load
    arrivals.sort(key=lambda a: a.at_s)
    return arrivals


def _draw_times(
    phase: Phase,
    start_s: float,
    previous_load: float,
    capacity: float,
    rng: random.Random,
) -> Iterator[float]:
    elapsed_s = 0.0
    while True:
        load = phase.load
        if elapsed_s < phase.ramp_s:
            load = (
                previous_load + (phase.load - previous_load) * elapsed_s / phase.ramp_s
            )
        elapsed_s += rng.expovariate(load * capacity)
        if elapsed_s >= phase.seconds:
            return
        yield start_s + elapsed_s


def _make_arrivals(
    experiment: Experiment,
    index: int,
    group: str,
    times: Iterator[float],
    rng: random.Random,
) -> Iterator[Arrival]:
    short = WorkMix(experiment.short_works)
    stragglers = WorkMix(experiment.stragglers) if experiment.stragglers else None
    roaming = experiment.roaming
    for at_s in times:
        roams = rng.random() < roaming.share
        with_token = rng.random() < roaming.with_token
        work = short.pick(rng)
        yield Arrival(at_s, index, group, work, roams, with_token)
        straggles = rng.random() < experiment.straggler_share
        if straggles and stragglers and experiment.phases[index].stragglers:
            yield Arrival(at_s, index, group, stragglers.pick(rng))
