"""Runs of an experiment, each against its own fleet of processes."""

import asyncio
import dataclasses
import random
import time
from collections import Counter

from bench.callers import USER, Caller, connect, running
from bench.experiments import Experiment, compute_capacity
from bench.recording import Outcome, Recorder, percentile_ms
from bench.results import RunResult
from bench.schedule import Arrival, plan
from bench.summaries import (
    compute_measures,
    find_write_gap_s,
    summarize_intervals,
    summarize_phases,
)
from bench.usage import UsageMeter
from bench.variants import find_policy
from standins.fleet import HARNESS_USER, Fleet, FleetConfig
from wasabipitch.deployment import Deployment
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.messages import AskStatus, ProcessState

MAX_CALLER_CONNECTIONS = 5000
START_DELAY_S = 0.5
# The run starts after this pause, so that the pools are in a steady state.
WARM_UP_S = 1.0
DRAIN_TIMEOUT_S = 10.0
# The write gap is measured from this long before the kill.
GAP_BEFORE_S = 0.5
P99 = 99
ENTRY_SETTINGS = {
    "callers": [
        {"name": USER, "max_connections": MAX_CALLER_CONNECTIONS},
        {"name": HARNESS_USER},
    ],
}


class Run:
    """One run of an experiment under one variant of the policy.

    Args:
        experiment: the experiment, which defines the load.
        deployment: the deployment; the variant's policy replaces its own.
        variant: the name of a policy variant in ``variants``.
        seed: the seed of arrivals and callers.
    """

    def __init__(
        self, experiment: Experiment, deployment: Deployment, variant: str, seed: int
    ) -> None:
        self._experiment = experiment
        self._deployment = dataclasses.replace(deployment, policy=find_policy(variant))
        self._variant = variant
        self._seed = seed
        self._killed_at_s: float | None = None
        self._killed_group = ""
        self._busiest: dict[str, dict[str, float]] = {}

    async def execute(self) -> RunResult:
        """Start a fleet, run the load and return the result."""
        cfg = FleetConfig(
            self._deployment,
            self._experiment.data_centres,
            target_flags=self._experiment.targets,
            entry_settings=ENTRY_SETTINGS,
        )
        async with Fleet(cfg) as fleet:
            await self._prepare_tables(fleet)
            return await self._run_load(fleet)

    async def _prepare_tables(self, fleet: Fleet) -> None:
        rows = ", ".join(f"({i})" for i in range(self._experiment.connections))
        for group in self._deployment.groups:
            conn = await connect(fleet.entries[0].address, group.name)
            async with conn.cursor() as cursor:
                for table in self._experiment.tables:
                    await cursor.execute(table.replace("{rows}", rows))
            conn.close()
        await asyncio.sleep(WARM_UP_S)

    async def _run_load(self, fleet: Fleet) -> RunResult:
        capacities = {
            g.name: compute_capacity(self._experiment, self._deployment, g).per_s
            for g in self._deployment.groups
        }
        rng = random.Random(self._seed)
        arrivals = plan(self._experiment, capacities, rng)
        queues = {name: asyncio.Queue() for name in capacities}
        recorder = Recorder(0.0)
        callers = self._make_callers(fleet, queues, recorder)
        async with running(callers):
            before = await read_counters(fleet)
            meter = UsageMeter(fleet)
            recorder.start_s = time.monotonic() + START_DELAY_S
            loss = asyncio.create_task(self._kill_primary(fleet, recorder.start_s))
            watch = asyncio.create_task(self._watch_usage(fleet, recorder.start_s))
            await _dispatch_arrivals(arrivals, queues, recorder.start_s)
            usage = meter.summarize()
            await asyncio.gather(loss, watch)
            await _drain(queues)
            counters = await read_counters(fleet)
            held = await _count_held_slots(fleet)
        _record_unsent(queues, recorder)
        counters.subtract(before)
        capacity = sum(capacities.values())
        return self._summarize(recorder, capacity, counters, usage, held)

    def _make_callers(
        self, fleet: Fleet, queues: dict[str, asyncio.Queue], recorder: Recorder
    ) -> list[Caller]:
        entries = [entry.address for entry in fleet.entries]
        return [
            Caller(
                number,
                group,
                entries,
                self._deployment,
                queue,
                recorder,
                random.Random(f"{self._seed}-{group}-{number}"),
            )
            for group, queue in queues.items()
            for number in range(self._experiment.connections)
        ]

    async def _kill_primary(self, fleet: Fleet, start_s: float) -> None:
        at_s = self._find_kill_time_s()
        if at_s is None:
            return
        await asyncio.sleep(start_s + at_s - time.monotonic())
        group = self._deployment.groups[0].name
        primary = await fleet.fetch_primary(group)
        self._killed_group = group
        self._killed_at_s = time.monotonic() - start_s
        await fleet.processes[primary].kill()

    async def _watch_usage(self, fleet: Fleet, start_s: float) -> None:
        end_s = start_s
        await asyncio.sleep(start_s - time.monotonic())
        for phase in self._experiment.phases:
            end_s += phase.seconds
            meter = UsageMeter(fleet)
            await asyncio.sleep(end_s - time.monotonic())
            self._busiest[phase.name] = {u.role: u.busiest for u in meter.summarize()}

    def _find_kill_time_s(self) -> float | None:
        start_s = 0.0
        for phase in self._experiment.phases:
            if phase.lose_primary_at_s is not None:
                return start_s + phase.lose_primary_at_s
            start_s += phase.seconds
        return None

    def _summarize(self, recorder, capacity, counters, usage, held) -> RunResult:
        samples = recorder.samples
        slots = sum(g.slots * len(g.instances) for g in self._deployment.groups)
        phases = summarize_phases(self._experiment, samples, slots)
        gap_s = None
        if self._killed_at_s is not None:
            begin_s = self._killed_at_s - GAP_BEFORE_S
            end_s = self._experiment.seconds
            gap_s = find_write_gap_s(samples, self._killed_group, begin_s, end_s)
        return RunResult(
            experiment=self._experiment.name,
            variant=self._variant,
            seed=self._seed,
            capacity_per_s=round(capacity, 1),
            lost_primary_at_s=self._killed_at_s,
            start_delay_p99_ms=percentile_ms(recorder.start_delays, P99),
            measures=compute_measures(self._experiment, phases, counters, gap_s),
            phases=phases,
            seconds=summarize_intervals(samples),
            usage=usage,
            held_after=held,
            counters=dict(sorted(counters.items())),
            refusals=dict(sorted(recorder.refusals.items())),
            busiest=self._busiest,
            errors=dict(recorder.errors.most_common(10)),
        )


async def read_counters(fleet: Fleet) -> Counter:
    """Return the counters summed over the entries and pools that answer."""
    total: Counter = Counter()
    for process in [*fleet.pools, *fleet.entries]:
        try:
            state: ProcessState = await fleet.ask(process.name, AskStatus())
        except WasabipitchError:
            continue
        total.update(state.counters)
    return total


async def _count_held_slots(fleet: Fleet) -> int:
    held = 0
    for pool in fleet.pools:
        state: ProcessState = await fleet.ask(pool.name, AskStatus())
        held += sum(i.running for g in state.groups for i in g.instances)
    return held


def _record_unsent(queues: dict[str, asyncio.Queue], recorder: Recorder) -> None:
    for queue in queues.values():
        while not queue.empty():
            recorder.record(queue.get_nowait(), Outcome.UNSENT)


async def _dispatch_arrivals(
    arrivals: list[Arrival], queues: dict[str, asyncio.Queue], start_s: float
) -> None:
    for arrival in arrivals:
        wait_s = start_s + arrival.at_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        queues[arrival.group].put_nowait(arrival)


async def _drain(queues: dict[str, asyncio.Queue]) -> None:
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            await asyncio.gather(*(queue.join() for queue in queues.values()))
    except TimeoutError:
        return
