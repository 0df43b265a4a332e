"""Choice of the instance that a statement is sent to.

Each statement goes to the instance with the lowest expected response time. The
estimate is based on recent service times, failures and running statements;
measurements lose weight with age, so that an instance that was slow is tried again.
"""

import math
from collections.abc import Iterable

import msgspec

# Time constant of the exponential decay of measurements.
DECAY_S = 3.0
EWMA_WEIGHT = 0.15
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 12.0
# Added for another data centre: a round trip costs some 1 ms, and the traffic is
# paid for.
CROSS_DATA_CENTRE_S = 0.0015
# Keeps the primary's few slots free for work that only the primary can do.
PRIMARY_FACTOR = 2.0
FAILURE_WEIGHT = 0.1
FAILURE_COST = 10.0
MIN_OUTCOMES = 12
# Share of a primary's statements; at lower shares a failover costs callers more
# than the failures do.
MAX_FAILURE_SHARE = 0.25
LAGGING_MIN_S = 0.1
LAGGING_MAX_S = 1.0
INITIAL_SERVICE_S = 0.012


class Load(msgspec.Struct, frozen=True):
    """State of an instance from which its response time is estimated.

    Args:
        name: The instance's name.
        near: Whether the instance is in this host's data centre.
        is_primary: Whether the instance is the group's primary.
        running: The number of connections to the instance that this host has
            checked out.
        slots: The number of statements that the instance runs at once.
        slowness: The ratio of its service times to the group's mean, 1 for equal.
        failure_share: The share of its recent statements that failed, 0 to 1.
    """

    name: str
    near: bool
    is_primary: bool
    running: int
    slots: int
    slowness: float
    failure_share: float = 0.0


def expected_response_s(load: Load, service_s: float) -> float:
    """Return the expected response time of a statement sent to an instance now.

    Args:
        load: The state of the instance.
        service_s: The group's mean service time for this kind of statement.
    """
    rounds = 1.0 + load.running / max(1, load.slots)
    # A failed statement is retried at another instance and is late by then.
    expected = (
        service_s * load.slowness * rounds * (1 + FAILURE_COST * load.failure_share)
    )
    if load.is_primary:
        expected *= PRIMARY_FACTOR
    return expected if load.near else expected + CROSS_DATA_CENTRE_S


def queued_response_s(load: Load, service_s: float) -> float:
    """Return the expected response time, with a queue only above the slots.

    This compares data centres, where a statement that finds a free slot is as fast as
    the first one. The way to another data centre is included.

    Args:
        load: The state of the instance.
        service_s: The group's mean service time for this kind of statement.
    """
    rounds = max(1.0, (load.running + 1) / max(1, load.slots))
    expected = (
        service_s * load.slowness * rounds * (1 + FAILURE_COST * load.failure_share)
    )
    if load.is_primary:
        expected *= PRIMARY_FACTOR
    return expected if load.near else expected + CROSS_DATA_CENTRE_S


def choose_instance(loads: Iterable[Load], service_s: float) -> Load | None:
    """Return the instance with the lowest expected response time.

    Args:
        loads: The instances to choose from.
        service_s: The group's mean service time for this kind of statement.
    """
    return min(
        loads, key=lambda load: expected_response_s(load, service_s), default=None
    )


class Slowness:
    """Ratio of an instance's service times to the group's mean.

    The ratio is an exponentially weighted moving average that decays to 1 while
    nothing is measured.
    """

    def __init__(self) -> None:
        self._value = 1.0
        self._at_s = 0.0

    def read(self, at_s: float) -> float:
        """Return the ratio, decayed to the given time."""
        age_s = max(0.0, at_s - self._at_s)
        return 1.0 + (self._value - 1.0) * math.exp(-age_s / DECAY_S)

    def add(self, ratio: float, at_s: float) -> None:
        """Add a measured service time, given as its ratio to the group's mean."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        known = self.read(at_s)
        self._value = known + EWMA_WEIGHT * (ratio - known)
        self._at_s = at_s


class FailureShare:
    """Share of an instance's recent statements that failed.

    Detects an instance that fails some of its statements although its health check
    passes. Reads avoid such an instance, and such a primary is replaced. The share
    is an exponentially weighted moving average that decays to 0.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._count = 0
        self._at_s = 0.0

    def read(self, at_s: float) -> float:
        """Return the share, decayed to the given time."""
        age_s = max(0.0, at_s - self._at_s)
        return self._share * math.exp(-age_s / DECAY_S)

    def add(self, failed: bool, at_s: float) -> None:
        """Add the outcome of a statement."""
        known = self.read(at_s)
        self._share = known + FAILURE_WEIGHT * (failed - known)
        self._count += 1
        self._at_s = at_s

    def is_high(self, at_s: float) -> bool:
        """Return whether a primary with this share should be replaced."""
        enough = self._count >= MIN_OUTCOMES
        return enough and self.read(at_s) > MAX_FAILURE_SHARE


class ServiceTimes:
    """Mean service times of a group, by kind of statement."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def read(self, kind: str) -> float:
        """Return the mean service time of a kind of statement in seconds."""
        return self._means_s.get(kind, INITIAL_SERVICE_S)

    def add(self, kind: str, seconds: float) -> float:
        """Add a service time and return its ratio to the mean before it.

        A single sample counts as at most four times the mean, so that one slow
        statement changes the mean little.
        """
        mean_s = self.read(kind)
        ratio = seconds / max(mean_s, 1e-4)
        self._means_s[kind] = mean_s + EWMA_WEIGHT * (min(seconds, 4 * mean_s) - mean_s)
        return ratio


class LaggingBackoff:
    """Exponential backoff for an instance that rejected a read because it lags."""

    def __init__(self) -> None:
        self._until_s = 0.0
        self._wait_s = LAGGING_MIN_S

    def is_backing_off(self, at_s: float) -> bool:
        """Return whether no reads should be sent to the instance now."""
        return at_s < self._until_s

    def record_lagging(self, at_s: float) -> None:
        """Start a backoff, twice as long as the one before up to a limit."""
        if self.is_backing_off(at_s):
            return
        self._until_s = at_s + self._wait_s
        self._wait_s = min(LAGGING_MAX_S, self._wait_s * 2)

    def record_up_to_date(self) -> None:
        """End the backoff after the instance has served a read."""
        self._wait_s = LAGGING_MIN_S
        self._until_s = 0.0
