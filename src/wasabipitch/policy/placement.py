"""Which instance a statement goes to.

Answers slow, lagging and far instances beside quick ones: work goes where it is
expected to end first, with what was measured a while ago counting less and less.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

# A measured slowness is forgotten at this rate, so that an instance is tried again.
DECAY_S = 3.0
EWMA_WEIGHT = 0.15
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 12.0
# A round trip to another data centre costs some 1 ms, and its bytes are priced.
CROSS_DATA_CENTRE_S = 0.0015
# The primary has work that nobody else can do, and few places for it.
PRIMARY_FACTOR = 2.0
FAILURE_WEIGHT = 0.1
FAILURE_COST = 10.0
MIN_OUTCOMES = 12
# Of a primary's statements; below it a replacement costs callers more.
MAX_FAILURE_SHARE = 0.25
LAGGING_MIN_S = 0.1
LAGGING_MAX_S = 1.0
INITIAL_SERVICE_S = 0.012


@dataclass(frozen=True, slots=True)
class Load:
    """What is known of an instance when a statement is placed.

    Args:
        running: statements of this host that run or wait there.
        slots: that it runs at once.
        slowness: its service times against those of the group, 1 for alike.
        failures: the share of its statements that failed lately.
    """

    name: str
    near: bool
    is_primary: bool
    running: int
    slots: int
    slowness: float
    failure_share: float = 0.0


def expected_response_s(load: Load, service_s: float) -> float:
    """Return when a statement sent there now is expected to be answered."""
    rounds = 1.0 + load.running / max(1, load.slots)
    # A statement that fails is sent again elsewhere, and is late by then.
    expected = (
        service_s * load.slowness * rounds * (1 + FAILURE_COST * load.failure_share)
    )
    if load.is_primary:
        expected *= PRIMARY_FACTOR
    return expected if load.near else expected + CROSS_DATA_CENTRE_S


def choose_instance(loads: Iterable[Load], service_s: float) -> Load | None:
    """Return the instance that is expected to answer first."""
    return min(
        loads, key=lambda load: expected_response_s(load, service_s), default=None
    )


class Slowness:
    """How an instance's service times compare with the group's."""

    def __init__(self) -> None:
        self._value = 1.0
        self._at_s = 0.0

    def read(self, at_s: float) -> float:
        """Return the slowness as far as it is still remembered."""
        age_s = max(0.0, at_s - self._at_s)
        return 1.0 + (self._value - 1.0) * math.exp(-age_s / DECAY_S)

    def add(self, ratio: float, at_s: float) -> None:
        """Add a service time, as a ratio to the group's mean."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        known = self.read(at_s)
        self._value = known + EWMA_WEIGHT * (ratio - known)
        self._at_s = at_s


class FailureShare:
    """Which share of an instance's statements failed lately.

    Answers an instance that fails part of its work while its health check is
    good: reads go elsewhere, and a primary that does so is replaced.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._count = 0
        self._at_s = 0.0

    def read(self, at_s: float) -> float:
        """Return the share, as far as it is still remembered."""
        age_s = max(0.0, at_s - self._at_s)
        return self._share * math.exp(-age_s / DECAY_S)

    def add(self, failed: bool, at_s: float) -> None:
        """Add the outcome of a statement."""
        known = self.read(at_s)
        self._share = known + FAILURE_WEIGHT * (failed - known)
        self._count += 1
        self._at_s = at_s

    def is_high(self, at_s: float) -> bool:
        """Return whether the instance fails too much to be left as it is."""
        enough = self._count >= MIN_OUTCOMES
        return enough and self.read(at_s) > MAX_FAILURE_SHARE


class ServiceTimes:
    """Mean service times of a group, by kind of statement."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def read(self, kind: str) -> float:
        """Return the mean in seconds."""
        return self._means_s.get(kind, INITIAL_SERVICE_S)

    def add(self, kind: str, seconds: float) -> float:
        """Add a service time and return its ratio to the mean so far."""
        mean_s = self.read(kind)
        ratio = seconds / max(mean_s, 1e-4)
        self._means_s[kind] = mean_s + EWMA_WEIGHT * (min(seconds, 4 * mean_s) - mean_s)
        return ratio


class LaggingBackoff:
    """Keeps reads off an instance that has just said that it lags."""

    def __init__(self) -> None:
        self._until_s = 0.0
        self._wait_s = LAGGING_MIN_S

    def is_backing_off(self, at_s: float) -> bool:
        """Return whether it is spared now."""
        return at_s < self._until_s

    def record_lagging(self, at_s: float) -> None:
        """Spare it, each time for longer."""
        if self.is_backing_off(at_s):
            return
        self._until_s = at_s + self._wait_s
        self._wait_s = min(LAGGING_MAX_S, self._wait_s * 2)

    def record_up_to_date(self) -> None:
        """Take it in again: it served a read."""
        self._wait_s = LAGGING_MIN_S
        self._until_s = 0.0
