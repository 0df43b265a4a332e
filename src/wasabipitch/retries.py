"""Limits and delays for retries."""

import random

from wasabipitch.exceptions import WasabipitchError
from wasabipitch.verdict import Verdict

MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
BUDGET_RATIO = 0.1
BUDGET_BURST = 20.0


class RetryBudget:
    """A token budget that limits retries to a share of the requests.

    It keeps retries from multiplying the load of a target that fails. Each request
    adds a fraction of a token, and each retry spends one token.

    Args:
        ratio: The tokens that each request adds.
        burst: The largest number of tokens kept.
    """

    def __init__(
        self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def add_tokens(self) -> None:
        """Add the tokens of one request; call it on the first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend a token on a retry; return False if too few are left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(exc: WasabipitchError, idempotent: bool) -> bool:
    """Return whether a request may be sent again after an error.

    Args:
        exc: The error of the attempt.
        idempotent: Whether running the request twice does no harm.
    """
    return exc.verdict is Verdict.NOT_RUN or idempotent


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return a wait with full jitter, in seconds, that grows exponentially.

    Args:
        attempt: The number of the attempt that failed, from 1.
        rng: The source of the jitter.
    """
    ceiling = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**attempt)
    return rng.uniform(0, ceiling)
