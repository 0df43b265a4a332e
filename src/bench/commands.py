"""Commands of ``wasabipitch-bench``."""

import asyncio
import dataclasses
import json
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import uvloop

from bench import experiments, loops, slopes
from bench.results import RunResult
from bench.runs import Run
from bench.summaries import compare
from bench.tables import (
    describe_comparison,
    describe_failovers,
    describe_path,
    describe_run,
    describe_slopes,
)
from bench.variants import find_policy
from wasabipitch.exceptions import SettingsError

ALL_SLOPES = "all"

T = TypeVar("T")


class Commands:
    """Benchmarks real entries and pools against stand-in targets on this machine."""

    def run(
        self,
        file: str,
        variant: str = "full",
        seed: int = 1,
        json: bool = False,
        out: str = "",
    ) -> None:
        """Run an experiment once.

        Args:
            file: the experiment file.
            variant: the policy variant.
            seed: the seed of the arrivals.
            json: print JSON instead of a table.
            out: the folder to which the result is written as JSON and as a plot.
        """
        experiment, deployment = experiments.load(str(file))
        find_policy(variant)
        result = _run(
            Run(experiment, deployment, variant, _check_count(seed)).execute()
        )
        _print(result, describe_run(result), json)
        if out:
            # The import is local because matplotlib loads slowly.
            from bench.plots import plot_run

            stem = f"{result.experiment}-{variant}"
            plot_run(result, _save(result, out, stem).with_suffix(".svg"))

    def compare(
        self,
        file: str,
        a: str = "full",
        b: str = "baseline",
        rounds: int = 3,
        seed: int = 1,
        json: bool = False,
        out: str = "",
    ) -> None:
        """Run an experiment under two policy variants alternately.

        Args:
            file: the experiment file.
            a: the first variant.
            b: the second variant.
            rounds: the number of runs of each variant; each round adds one to
                the seed.
            seed: the seed of the first round.
            json: print JSON instead of a table.
            out: the folder to which the result is written as JSON and as a plot.
        """
        runs = _run(_run_rounds(str(file), (a, b), _check_count(rounds), seed))
        result = compare(runs[0].experiment, runs)
        _print(result, describe_comparison(result), json)
        if out:
            from bench.plots import plot_comparison

            stem = f"{result.experiment}-{a}-{b}"
            plot_comparison(result, _save(result, out, stem).with_suffix(".svg"))

    def failover(
        self,
        kills: int = 20,
        variant: str = "full",
        loss: str = "kill",
        json: bool = False,
        out: str = "",
    ) -> None:
        """Fail the primary repeatedly and measure each gap in acknowledged writes.

        Args:
            kills: the number of failures.
            variant: the policy variant.
            loss: ``kill`` ends the primary's process, ``freeze`` suspends it, so
                that its connections stay open without answers.
            json: print JSON instead of a table.
            out: the folder to which the result is written as JSON.
        """
        find_policy(variant)
        if loss not in loops.LOSSES:
            raise SettingsError(f"{loss!r} is not one of {', '.join(loops.LOSSES)}")
        result = _run(loops.measure_failovers(_check_count(kills), variant, loss))
        _print(result, describe_failovers(result), json)
        if out:
            _save(result, out, f"failover-{loss}-{variant}")

    def path(
        self,
        connections: int = 8,
        rounds: int = 3,
        json: bool = False,
        out: str = "",
    ) -> None:
        """Compare direct connections with connections through an entry and a pool.

        Args:
            connections: the number of caller connections.
            rounds: the number of measurements of each way.
            json: print JSON instead of a table.
            out: the folder to which the results are written as JSON.
        """
        results = _run(loops.measure_path(connections, _check_count(rounds)))
        _print(results, describe_path(results), json)
        if out:
            _save(results, out, "path")

    def slopes(self, name: str = ALL_SLOPES, json: bool = False, out: str = "") -> None:
        """Measure how resource use grows with load or size, for docs/CAPACITY.md.

        Args:
            name: the name of one slope, or ``all``.
            json: print JSON instead of a table.
            out: the folder to which the result is written as JSON.
        """
        names = list(slopes.SLOPES) if name == ALL_SLOPES else [name]
        unknown = [n for n in names if n not in slopes.SLOPES]
        if unknown:
            known = ", ".join(slopes.SLOPES)
            raise SettingsError(f"no slope is named {unknown[0]!r}; known: {known}")
        for one in names:
            result = _run(slopes.SLOPES[one]())
            _print(result, describe_slopes(result), json)
            if out:
                _save(result, out, f"slope-{one}")


def to_json(result: Any) -> str:
    """Return a result or a list of results as JSON text."""
    return json.dumps(result, default=dataclasses.asdict, indent=1)


async def _run_rounds(
    file: str, variants: tuple[str, str], rounds: int, seed: int
) -> list[RunResult]:
    experiment, deployment = experiments.load(file)
    for variant in variants:
        find_policy(variant)
    results = []
    for number in range(rounds):
        for variant in variants:
            run = Run(experiment, deployment, variant, seed + number)
            results.append(await run.execute())
    return results


def _run(work: Coroutine[Any, Any, T]) -> T:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


def _check_count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise SettingsError(f"{value!r} is not a whole number above 0")
    return value


def _print(result: Any, text: str, as_json: bool) -> None:
    print(to_json(result) if as_json else text, flush=True)


def _save(result: Any, folder: str, stem: str) -> Path:
    path = Path(folder) / f"{stem}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(to_json(result) + "\n", encoding="utf-8")
    return path
