"""Token bucket and reserve, by which the operations of an account are granted.

The bucket answers ordinary load: an account may start ``burst`` operations at once and
``rate_per_s`` a second. The reserve answers the loss of the host that keeps the bucket:
a few operations go on, within the tolerance by which a limit may be exceeded.
"""

from collections import deque

import msgspec

# Two hosts may grant from a reserve in one window. A tenth of the tolerance is kept for
# operations that were granted earlier and reach their instance late.
RESERVE_SHARE = 0.45


class QuotaTolerance(msgspec.Struct, frozen=True):
    """How far the operations of a client account may exceed its limit.

    In any window, at most ``(rate * window_s + burst) * (1 + excess) + slack`` of an
    account's operations may reach instances.

    Args:
        window_s: The length of the window, in seconds.
        excess: The share by which the limit may be exceeded.
        slack: The number of operations by which it may be exceeded besides.
    """

    window_s: float = 5.0
    excess: float = 0.0
    slack: float = 0.0


def reserve_bound(rate_per_s: float, burst: float, tolerance: QuotaTolerance) -> float:
    """Return how many operations one host may grant in a window from its reserve.

    Args:
        rate_per_s: The account's limit, in operations per second.
        burst: The number of operations that the account may start at once.
        tolerance: How far the limit may be exceeded.
    """
    limit = rate_per_s * tolerance.window_s + burst
    return RESERVE_SHARE * (limit * tolerance.excess + tolerance.slack)


class TokenBucket:
    """Grants ``rate_per_s`` operations a second, and up to ``burst`` at once.

    Answers a steady load below the limit, of which none is refused, and bursts after
    quiet times. In any window of w seconds it grants at most ``rate_per_s * w + burst``
    operations, also together with an earlier bucket that no longer grants, as long as
    this one began empty.

    Args:
        rate_per_s: The tokens that are added each second.
        burst: The most tokens that it holds. A bucket below one token would never
            grant, so less than one counts as one.
        at_s: The time at which it begins.
        tokens: The tokens that it begins with.
    """

    def __init__(
        self, rate_per_s: float, burst: float, at_s: float, tokens: float = 0.0
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = max(1.0, burst)
        self._at_s = at_s
        self._tokens = min(self._burst, tokens)

    def take(self, count: int, at_s: float) -> int:
        """Take up to a number of whole tokens and return how many were taken.

        Args:
            count: The number of operations that ask.
            at_s: The present time.
        """
        self._refill(at_s)
        taken = min(count, int(self._tokens))
        self._tokens -= taken
        return taken

    def change(self, rate_per_s: float, burst: float, at_s: float) -> None:
        """Change the limit from now on.

        Tokens above the new burst are dropped. A raised burst is only filled at the
        new rate, so that repeated changes grant nothing in addition.
        """
        if (rate_per_s, max(1.0, burst)) == (self._rate_per_s, self._burst):
            return
        self._refill(at_s)
        self._rate_per_s = rate_per_s
        self._burst = max(1.0, burst)
        self._tokens = min(self._burst, self._tokens)

    def is_full(self, at_s: float) -> bool:
        """Return whether the bucket holds its whole burst."""
        self._refill(at_s)
        return self._tokens >= self._burst

    def _refill(self, at_s: float) -> None:
        added = self._rate_per_s * max(0.0, at_s - self._at_s)
        self._tokens = min(self._burst, self._tokens + added)
        self._at_s = max(self._at_s, at_s)


class Reserve:
    """Grants a bounded number of operations in any window.

    Answers the seconds in which no host may grant from the whole limit, or the host
    that may is silent. Unlike a bucket it is not refilled at once when its bound
    rises.

    Args:
        window_s: The length of the window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        # The times of earlier grants and their numbers.
        self._grants: deque[tuple[float, int]] = deque()
        self._granted = 0

    def take(self, count: int, bound: float, at_s: float) -> int:
        """Grant up to a number of operations and return how many were granted.

        Args:
            count: The number of operations that ask.
            bound: How many may be granted in a window.
            at_s: The present time.
        """
        self._drop_old(at_s)
        granted = max(0, min(count, int(bound) - self._granted))
        if granted:
            self._grants.append((at_s, granted))
            self._granted += granted
        return granted

    def is_unused(self, at_s: float) -> bool:
        """Return whether nothing was granted within the last window."""
        self._drop_old(at_s)
        return not self._grants

    def _drop_old(self, at_s: float) -> None:
        while self._grants and at_s - self._grants[0][0] > self._window_s:
            _, count = self._grants.popleft()
            self._granted -= count
