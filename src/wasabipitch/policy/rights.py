"""Which reads a host may still serve, given when it last heard from the store.

Answers a host that is cut off, frozen or late while another host replaces a
primary: reads at the old one would miss acknowledged writes. Whoever replaces a
primary waits until every host has given it up or its right has run out.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from wasabipitch.models import Position

# How long a confirmed primary may be read: a check, one that fails, and the
# agreement among the hosts in its place. A replacement of a primary waits this
# long for hosts that don't answer.
READ_LEASE_S = 2.0
SAMPLE_INTERVAL_S = 0.04
# Longer than any declared age, so that an aged read finds an old enough sample.
SAMPLES_KEPT_S = 6.0


@dataclass(frozen=True, slots=True)
class Sample:
    """A primary's position that covers all commits acknowledged before a time."""

    at_s: float
    position: Position


class PositionSamples:
    """Positions of a group's primary over the last seconds."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque()

    @property
    def newest(self) -> Sample | None:
        """The latest sample, or None if there is none."""
        return self._samples[-1] if self._samples else None

    def add(self, at_s: float, position: Position) -> None:
        """Add a position that a primary surely had at a time.

        Args:
            at_s: when the statement was sent whose answer gave the position,
                and no later than the end of the right to the primary.
            position: by the answer.
        """
        while self._samples and self._samples[0].at_s < at_s - SAMPLES_KEPT_S:
            self._samples.popleft()
        if self._samples:
            last = self._samples[-1]
            if at_s < last.at_s + SAMPLE_INTERVAL_S or position < last.position:
                return
        self._samples.append(Sample(at_s, position))

    def cap(self, start: Position) -> None:
        """Go on with a primary that leads from a position.

        It holds every commit that was acknowledged before, so no greater position
        is needed for them; what lies beyond may have been rolled back.

        Args:
            start: the end of the new primary's log when it began to lead.
        """
        self._samples = deque(
            Sample(sample.at_s, min(sample.position, start)) for sample in self._samples
        )

    def find_floor(self, at_s: float) -> Position | None:
        """Return the lowest position that covers all commits before a time."""
        for sample in self._since(at_s):
            return sample.position
        return None

    def _since(self, at_s: float) -> Iterator[Sample]:
        return (sample for sample in self._samples if sample.at_s >= at_s)


@dataclass(frozen=True, slots=True)
class ReadDecision:
    """What a read may use.

    Args:
        primary: whether the primary may serve it.
        floor: that any instance must have reached, or None if only the primary
            will do.
        reason: why neither, or empty.
    """

    primary: bool
    floor: Position | None
    reason: str = ""


def decide_read(
    arrived_s: float,
    max_age_s: float,
    lease_until_s: float,
    session_floor: Position,
    samples: PositionSamples,
) -> ReadDecision:
    """Return what a read may use.

    Args:
        arrived_s: when the host read the request; the caller sent it before.
        max_age_s: how old the data may be; 0 for not at all.
        lease_until_s: until when the host's primary is surely the only one.
        session_floor: the position of the session's last commit.
        samples: the primary's positions over the last seconds.
    """
    needed_s = arrived_s - max_age_s
    if lease_until_s < needed_s:
        return ReadDecision(False, None, "the primary was not confirmed in time")
    if max_age_s <= 0:
        return ReadDecision(True, None)
    floor = samples.find_floor(needed_s)
    if floor is None:
        return ReadDecision(True, None)
    return ReadDecision(True, max(floor, session_floor))
