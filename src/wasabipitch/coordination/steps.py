"""Work in steps, between which the event loop serves others."""

import asyncio
from collections.abc import Generator
from time import perf_counter
from typing import TypeVar

T = TypeVar("T")

# A generator that yields after each step of its work and returns the result.
Steps = Generator[None, None, T]


class StepRunner:
    """Runs work in steps and measures how long a step held the event loop.

    Attributes:
        longest_s: The duration of the longest step so far, in seconds.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self, steps: Steps[T]) -> T:
        """Return the result of the steps; others run between them."""
        while True:
            started_s = perf_counter()
            try:
                next(steps)
            except StopIteration as stop:
                return stop.value
            finally:
                self.longest_s = max(self.longest_s, perf_counter() - started_s)
            await asyncio.sleep(0)


def finish(steps: Steps[T]) -> T:
    """Return the result of the steps without a pause between them."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
