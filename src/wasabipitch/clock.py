"""The clock for deadlines and read leases."""

import time


def now_s() -> float:
    """Return the seconds of a monotonic clock that also advances during suspension.

    After a suspension a host must find that its read leases have expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
