"""Whether a read leaves its host's data centre, and how many do.

Traffic between data centres is slower and costs money, but a data centre's own
instances can be too few. A read that instances in several data centres may serve stays
as long as its caller loses little by that, and leaves once the expected response time
here exceeds the one elsewhere, the way included, by more than a crossing is worth.

The rules are made for these patterns of load:

- *A peak in one data centre*: reads leave, at first a few, and more for as long as
  leaving still pays, so that the neighbour isn't overrun by all of them at once.
- *A data centre without a usable instance*: all reads leave at once.
- *A slow way*: the way counts in full, so that a read leaves only for a greater gain.
- *Two data centres that would both send to the third*: its expected response time grows
  with what it gets, and the shares of both stop growing.
- *A return to normal load*: the share falls again, in steps.
"""

import enum
import math

import msgspec

# The response time that a caller gives up to save a crossing, in seconds. Operators set
# it; 0.05 s is below what callers notice.
DEFAULT_CROSSING_COST_S = 0.05
# A caller never gives up more than this share of its response-time objective.
MAX_OBJECTIVE_SHARE = 0.25
# The share of the reads that leave changes by at most one step in each interval. All
# leave within 0.8 s, longer than the response times by which both sides are compared.
# They return more slowly, since a return ends the relief that calls for it.
SHARE_STEP = 0.125
RETURN_STEP = 0.03125
STEP_INTERVAL_S = 0.1
# Between the gain from which on reads leave and this share of it, the share stays.
HYSTERESIS = 0.5


class Comparison(enum.Enum):
    """How the two sides compare for a read."""

    LEAVE = "leave"
    KEEP = "keep"
    RETURN = "return"


class Side(msgspec.Struct, frozen=True):
    """The instances on one side that may serve a read: near, or elsewhere.

    Args:
        response_s: The least expected response time of an instance, the way included;
            infinite if none can be used.
        wait_s: The expected wait for a connection to one of them.
    """

    response_s: float = math.inf
    wait_s: float = 0.0

    @property
    def total_s(self) -> float:
        """The expected time until the answer."""
        return self.response_s + self.wait_s


def crossing_cost_s(objective_s: float, cost_s: float) -> float:
    """Return the response time that a read's caller gives up to save a crossing.

    Args:
        objective_s: The response-time objective of the read.
        cost_s: The operator's setting.
    """
    return min(cost_s, MAX_OBJECTIVE_SHARE * objective_s)


def compare(near: Side, far: Side, objective_s: float, cost_s: float) -> Comparison:
    """Return whether more reads should leave, fewer, or as many as now.

    Args:
        near: The instances in the host's data centre.
        far: The instances elsewhere.
        objective_s: The response-time objective of the read.
        cost_s: The operator's setting for a crossing.
    """
    if math.isinf(far.total_s):
        return Comparison.RETURN
    gain_s, cost_s = near.total_s - far.total_s, crossing_cost_s(objective_s, cost_s)
    if gain_s > cost_s:
        return Comparison.LEAVE
    return Comparison.RETURN if gain_s < HYSTERESIS * cost_s else Comparison.KEEP


class LeavingShare:
    """The share of a group's reads that leave the data centre.

    In each interval it grows by a step if leaving pays for most of the reads, and falls
    by a smaller one if it doesn't pay. Reads leave evenly, so that the share of any few
    of them is close to the whole.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._credit = 0.0
        # How many more reads compared as LEAVE than as RETURN in this interval.
        self._votes = 0
        self._kept = False
        self._stepped_at_s = 0.0

    def read(self, at_s: float) -> float:
        """Return the share at a time, 0 to 1."""
        self._step(at_s)
        return self._share

    def admit(self, comparison: Comparison, at_s: float) -> bool:
        """Return whether a read leaves.

        Args:
            comparison: How the two sides compare for it.
            at_s: The time.
        """
        self._step(at_s)
        if comparison is Comparison.KEEP:
            self._kept = True
        else:
            self._votes += 1 if comparison is Comparison.LEAVE else -1
        self._credit += self._share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _step(self, at_s: float) -> None:
        steps = int((at_s - self._stepped_at_s) // STEP_INTERVAL_S)
        if steps <= 0:
            return
        if self._votes > 0:
            self._share = min(1.0, self._share + SHARE_STEP)
            steps -= 1
        elif self._kept and self._votes == 0:
            steps -= 1
        # Intervals without reads count as calm.
        self._share = max(0.0, self._share - steps * RETURN_STEP)
        if self._share == 0.0:
            self._credit = 0.0
        self._votes, self._kept = 0, False
        self._stepped_at_s = at_s
