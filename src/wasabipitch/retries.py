"""When a request may be tried again, and how often."""

import random

from wasabipitch.exceptions import WasabipitchError
from wasabipitch.verdict import Verdict

MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
BUDGET_RATIO = 0.1
BUDGET_BURST = 20.0


class RetryBudget:
    """Allows retries as a share of the requests, so that they can't multiply.

    Each request earns a part of a retry; each retry spends one.

    Args:
        ratio: retries earned by each request.
        burst: how many unspent retries are kept.
    """

    def __init__(
        self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def add_tokens(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry; return False if there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(exc: WasabipitchError, idempotent: bool) -> bool:
    """Return whether a request may be sent again after an error.

    Args:
        exc: what the attempt ended in.
        idempotent: whether running it twice does no harm.
    """
    return exc.verdict is Verdict.NOT_RUN or idempotent


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return a jittered wait before an attempt, counted from 1, in seconds."""
    ceiling = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**attempt)
    return rng.uniform(0, ceiling)
