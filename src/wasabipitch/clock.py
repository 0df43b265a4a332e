"""The clock that deadlines and rights are judged by."""

import time


def now_s() -> float:
    """Return seconds on a clock that also counts time spent suspended.

    A host that was suspended must find its rights expired when it wakes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
