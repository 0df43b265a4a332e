"""How many statements a host keeps at one instance.

Answers more owners than an instance has places: statements that it turns away as
busy come back at once and push out others, so a host sends fewer and lets the rest
wait in its own line, where the most urgent goes first.
"""

import math

# Each refusal for want of a place takes this share, at most once in a while.
DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_S = 0.05
# Ten windows of answers give one more place back.
INCREASE_STEP = 0.1
MIN_WINDOW = 1.0

# All hosts together keep so many statements a slot at an instance: one runs, and
# the others bridge the way of an answer and of the next statement. More would wait
# there in order of arrival, the least urgent among them.
STATEMENTS_PER_SLOT = 3
# A host with one could not use a second slot that stands idle.
MIN_WINDOW_LIMIT = 2


def window_limit(connections: int, slots: int, hosts: int) -> int:
    """Return how many statements one host may keep at an instance at most.

    Args:
        connections: that it may hold to the instance.
        slots: that the instance runs at once.
        hosts: that send statements to it.
    """
    share = math.ceil(STATEMENTS_PER_SLOT * slots / max(1, hosts))
    return min(connections, max(MIN_WINDOW_LIMIT, share))


class ConcurrencyWindow:
    """Grows with answers, and shrinks when the instance is busy.

    Args:
        limit: the most that it grows to.
    """

    def __init__(self, limit: int) -> None:
        self._limit = max(MIN_WINDOW, float(limit))
        self._size = self._limit
        self._decreased_at_s = 0.0

    @property
    def size(self) -> int:
        """How many statements may be at the instance."""
        return int(self._size)

    def resize(self, limit: int) -> None:
        """Set the most that it grows to."""
        limit = max(MIN_WINDOW, float(limit))
        if limit > self._limit and self._size >= self._limit:
            self._size = limit
        self._limit = limit
        self._size = min(self._size, limit)

    def record_answer(self) -> None:
        """Note that a statement ran."""
        self._size = min(self._limit, self._size + INCREASE_STEP / self._size)

    def record_busy(self, running: int, at_s: float) -> None:
        """Note that the instance had no place.

        Args:
            running: statements of this host that are there now.
            at_s: the time.
        """
        if at_s - self._decreased_at_s < DECREASE_INTERVAL_S:
            return
        self._decreased_at_s = at_s
        self._size = max(MIN_WINDOW, min(self._size, running) * DECREASE_FACTOR)
