"""Learns which statements run long, by fingerprint."""

from collections import OrderedDict

MAX_FINGERPRINTS = 2048
EWMA_WEIGHT = 0.2
MIN_SAMPLES = 2
# A statement is long if its mean time exceeds this and LONG_FACTOR typical times.
MIN_LONG_S = 0.05
LONG_FACTOR = 20.0
# A sample counts towards the typical time with at most this many times that time.
MAX_TYPICAL_GROWTH = 2.0


class _Timing:
    """A moving average of service times, in seconds."""

    __slots__ = ("count", "mean_s")

    def __init__(self) -> None:
        self.count = 0
        self.mean_s = 0.0

    def add(self, seconds: float) -> None:
        self.count += 1
        weight = max(EWMA_WEIGHT, 1.0 / self.count)
        self.mean_s += weight * (seconds - self.mean_s)


class Workload:
    """The service times of a group's statements, by fingerprint.

    The least recently used fingerprints are dropped.
    """

    def __init__(self) -> None:
        self._timings: OrderedDict[str, _Timing] = OrderedDict()
        self._typical = _Timing()

    def observe(self, fingerprint: str, seconds: float) -> None:
        """Add the service time of one statement.

        Args:
            fingerprint: The statement's fingerprint.
            seconds: The time that the target took.
        """
        timing = self._timings.setdefault(fingerprint, _Timing())
        self._timings.move_to_end(fingerprint)
        timing.add(seconds)
        self._add_typical(seconds)
        if len(self._timings) > MAX_FINGERPRINTS:
            self._timings.popitem(last=False)

    def is_long(self, fingerprint: str) -> bool:
        """Return whether statements of a fingerprint run far longer than most."""
        timing = self._timings.get(fingerprint)
        if timing is None or timing.count < MIN_SAMPLES:
            return False
        threshold_s = max(MIN_LONG_S, LONG_FACTOR * self._typical.mean_s)
        return timing.mean_s > threshold_s

    def _add_typical(self, seconds: float) -> None:
        typical = self._typical
        if typical.count:
            # A single long statement must not raise the typical time so far that the
            # next long one looks typical.
            seconds = min(seconds, typical.mean_s * MAX_TYPICAL_GROWTH)
        typical.add(seconds)
