"""Limit on the statements that a host has running at one instance.

A group's owners together may hold more connections than an instance has slots. An
instance rejects statements above its capacity as busy, and their retries displace
other statements. Each host therefore adapts a concurrency window to the instance
(additive increase, multiplicative decrease) and keeps the remaining requests in its
own queue, which is ordered by priority.
"""

import math

# Factor by which a rejection shrinks the window, at most once in each interval.
DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_S = 0.05
# Ten answers for each statement in the window enlarge it by one.
INCREASE_STEP = 0.1
MIN_WINDOW = 1.0

# Limit for all hosts together: one statement runs in the slot, and the others cover
# the time in which an answer and the next statement travel. An instance serves
# further statements in order of arrival, without regard to priority.
STATEMENTS_PER_SLOT = 3
# With a window of one, a host could not use a second slot that is idle.
MIN_WINDOW_LIMIT = 2


def window_limit(connections: int, slots: int, hosts: int) -> int:
    """Return the maximum number of statements that a host runs at an instance.

    Args:
        connections: The number of connections that the host may hold to it.
        slots: The number of statements that the instance runs at once.
        hosts: The number of hosts that send statements to it.
    """
    share = math.ceil(STATEMENTS_PER_SLOT * slots / max(1, hosts))
    return min(connections, max(MIN_WINDOW_LIMIT, share))


class ConcurrencyWindow:
    """Number of statements that a host may have running at an instance.

    The window grows with answers and shrinks when the instance rejects a statement
    as busy.

    Args:
        limit: The maximum size.
    """

    def __init__(self, limit: int) -> None:
        self._limit = max(MIN_WINDOW, float(limit))
        self._size = self._limit
        self._decreased_at_s = 0.0

    @property
    def size(self) -> int:
        """The number of statements that may be at the instance."""
        return int(self._size)

    def resize(self, limit: int) -> None:
        """Set the maximum size; a window at its old maximum grows to the new one."""
        limit = max(MIN_WINDOW, float(limit))
        if limit > self._limit and self._size >= self._limit:
            self._size = limit
        self._limit = limit
        self._size = min(self._size, limit)

    def record_answer(self) -> None:
        """Enlarge the window after the instance has run a statement."""
        self._size = min(self._limit, self._size + INCREASE_STEP / self._size)

    def record_busy(self, running: int, at_s: float) -> None:
        """Shrink the window after the instance has rejected a statement as busy.

        Args:
            running: The number of this host's statements at the instance.
            at_s: The time of the rejection.
        """
        if at_s - self._decreased_at_s < DECREASE_INTERVAL_S:
            return
        self._decreased_at_s = at_s
        self._size = max(MIN_WINDOW, min(self._size, running) * DECREASE_FACTOR)
