"""Rules for which reads a host may serve, given its last confirmation of the primary.

A host that is cut off, frozen or slow may not notice that another host replaces the
primary, and reads at the old primary would miss acknowledged writes. A confirmation
of the primary therefore gives a host a read lease of ``READ_LEASE_S``. The host that
replaces a primary waits until every other host has relinquished it or until the read
leases of those that don't answer have expired.
"""

from collections import deque
from collections.abc import Iterator

import msgspec

from wasabipitch.models import Position

# Duration of a read lease. It covers one check, one check that fails, and the
# agreement among the hosts that takes the check's place. A failover waits this long
# for hosts that don't answer.
READ_LEASE_S = 1.6
SAMPLE_INTERVAL_S = 0.04
# Longer than any maximum age that a route may declare, so that a read of aged data
# finds a sample that is old enough.
SAMPLES_KEPT_S = 6.0


class Sample(msgspec.Struct, frozen=True):
    """A primary's log position that covers all commits acknowledged before a time."""

    at_s: float
    position: Position


class PositionSamples:
    """Log positions of a group's primary over the last ``SAMPLES_KEPT_S`` seconds."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque()

    @property
    def newest(self) -> Sample | None:
        """The latest sample, or None if there is none."""
        return self._samples[-1] if self._samples else None

    def add(self, at_s: float, position: Position) -> None:
        """Add a position that the primary is known to have reached at a time.

        A sample that follows the last one too closely, or whose position is lower,
        is ignored.

        Args:
            at_s: When the statement was sent whose answer gave the position, and no
                later than the end of the read lease.
            position: The position in that answer.
        """
        while self._samples and self._samples[0].at_s < at_s - SAMPLES_KEPT_S:
            self._samples.popleft()
        if self._samples:
            last = self._samples[-1]
            if at_s < last.at_s + SAMPLE_INTERVAL_S or position < last.position:
                return
        self._samples.append(Sample(at_s, position))

    def cap(self, start: Position) -> None:
        """Limit all samples to the position from which a new primary leads.

        The new primary holds every commit that was acknowledged before, so these
        commits need no higher position. Log entries beyond it may have been rolled
        back.

        Args:
            start: The end of the new primary's log when it began to lead.
        """
        self._samples = deque(
            Sample(sample.at_s, min(sample.position, start)) for sample in self._samples
        )

    def find_floor(self, at_s: float) -> Position | None:
        """Return the lowest known position that covers all commits before a time.

        Returns None if no sample was taken at that time or later.
        """
        for sample in self._since(at_s):
            return sample.position
        return None

    def _since(self, at_s: float) -> Iterator[Sample]:
        return (sample for sample in self._samples if sample.at_s >= at_s)


class ReadDecision(msgspec.Struct, frozen=True):
    """The instances that may serve a read.

    Args:
        primary: Whether the primary may serve it.
        floor: The lowest log position that an instance must have reached to serve
            it, or None if no instance but the primary may serve it.
        reason: Why no instance may serve it, or empty.
    """

    primary: bool
    floor: Position | None
    reason: str = ""


def decide_read(
    arrived_s: float,
    max_age_s: float,
    read_lease_until_s: float,
    session_floor: Position,
    samples: PositionSamples,
) -> ReadDecision:
    """Return which instances may serve a read.

    Args:
        arrived_s: When the host received the request, which is after the caller
            sent it.
        max_age_s: The maximum age of the data; 0 if they must be up to date as of
            the arrival.
        read_lease_until_s: The end of the host's read lease; until then no other
            instance can have become primary.
        session_floor: The position of the session's last commit.
        samples: The recent positions of the primary.
    """
    needed_s = arrived_s - max_age_s
    if read_lease_until_s < needed_s:
        return ReadDecision(False, None, "the primary was not confirmed in time")
    if max_age_s <= 0:
        return ReadDecision(True, None)
    floor = samples.find_floor(needed_s)
    if floor is None:
        return ReadDecision(True, None)
    return ReadDecision(True, max(floor, session_floor))
