"""Faults of the stand-in platform: delays, rate limits, outages, lost answers."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class Faults:
    """Faults that are in force.

    Attributes:
        delay_ms: Delay of each call, in milliseconds.
        down: Whether the platform closes connections without an answer.
        lose_answers: Which changes take effect but lose their answers. A value below
            1 is a share of all changes; a value from 1 on is the number of the next
            changes.
        host_lag_s: Delay after which a change shows in the host list, in seconds.
        reads_per_s: Rate limit for reads, in calls per second.
        writes_per_s: Rate limit for writes, in calls per second.
    """

    delay_ms: float = 2
    down: bool = False
    lose_answers: float = 0
    host_lag_s: float = 1
    reads_per_s: float = 2000
    writes_per_s: float = 400


class RateLimit:
    """A token bucket whose capacity is the number of calls in one second.

    Args:
        per_s: Calls per second.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self, per_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.per_s = per_s
        self._clock = clock
        self._tokens = per_s
        self._refilled_at = clock()

    def try_spend(self) -> bool:
        """Spend the token of one call; return False if there is none left."""
        now = self._clock()
        refill = (now - self._refilled_at) * self.per_s
        self._tokens = min(self.per_s, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AnswerLoss:
    """Selects the changes whose answers are lost.

    Args:
        seed: Seed of the random choice for a share of answers.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._lost_share = 0.0
        self._remaining_losses = 0

    def set(self, lose_answers: float) -> None:
        """Set how many answers are lost.

        Args:
            lose_answers: As in `Faults`: a share below 1, a number from 1 on.
        """
        self._lost_share = lose_answers if lose_answers < 1 else 0.0
        self._remaining_losses = int(lose_answers)

    def lose_next(self) -> bool:
        """Return whether the next answer is lost, and count it."""
        if self._remaining_losses > 0:
            self._remaining_losses -= 1
            return True
        return self._lost_share > 0 and self._random.random() < self._lost_share
