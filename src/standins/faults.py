"""Rates, outages and lost answers of the platform."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class Faults:
    """How the platform behaves at present.

    Attributes:
        delay_ms: Delay of each call, in milliseconds.
        down: Connections are closed without an answer.
        lose_answers: Below 1 the share, from 1 on the number of the next changes
            whose answers are lost after they took effect.
        host_lag_s: How late the host list is, in seconds.
        reads_per_s: Reads that are answered in a second.
        writes_per_s: Writes that are answered in a second.
    """

    delay_ms: float = 2
    down: bool = False
    lose_answers: float = 0
    host_lag_s: float = 1
    reads_per_s: float = 2000
    writes_per_s: float = 400


class RateLimit:
    """A token bucket that holds one second's worth of calls.

    Args:
        per_s: Calls a second.
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
        """Take one call; return whether the rate allows it."""
        now = self._clock()
        refill = (now - self._refilled_at) * self.per_s
        self._tokens = min(self.per_s, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AnswerLoss:
    """Decides which answers to changes are lost.

    Args:
        seed: Seed of the choice when a share is lost.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._lost_share = 0.0
        self._remaining_losses = 0

    def set(self, lose_answers: float) -> None:
        """Set the share (below 1) or the number (from 1 on) of lost answers."""
        self._lost_share = lose_answers if lose_answers < 1 else 0.0
        self._remaining_losses = int(lose_answers)

    def lose_next(self) -> bool:
        """Return whether the next answer is lost."""
        if self._remaining_losses > 0:
            self._remaining_losses -= 1
            return True
        return self._lost_share > 0 and self._random.random() < self._lost_share
