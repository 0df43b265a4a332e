"""The state of a group's instances as known to a pool that serves the group."""

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabipitch.deployment import Group, Instance
from wasabipitch.models import ORIGIN, Position, majority
from wasabipitch.targets import ControlChannel, InstanceStatus

SAMPLE_INTERVAL_S = 0.05
MAX_SAMPLES = 2048  # 102 s at SAMPLE_INTERVAL_S


@dataclass
class InstanceView:
    """The latest report of an instance, and when it was requested.

    Args:
        instance: The declaration of the instance.
        channel: Carries orders and status requests to the instance.
        status: The latest report, or None before the first.
        report_asked_at_s: The monotonic time at which the latest report was
            requested; the report describes a moment no earlier than that.
        misses: The number of unanswered probes since the latest report.
        leaving: Whether the instance receives no new work.
    """

    instance: Instance
    channel: ControlChannel
    status: InstanceStatus | None = None
    report_asked_at_s: float = 0.0
    misses: int = 0
    leaving: bool = False

    @property
    def name(self) -> str:
        """The instance's declared name."""
        return self.instance.name

    @property
    def position(self) -> Position:
        """The latest reported log position; ``ORIGIN`` before the first report."""
        return self.status.position if self.status else ORIGIN

    @property
    def reachable(self) -> bool:
        """Whether the instance answered the latest probe."""
        return self.status is not None and self.misses == 0


@dataclass(frozen=True, slots=True)
class PrimarySample:
    """The end of the primary's log at a time, used to compute the age of replicas.

    Args:
        at_s: The monotonic time at which the position was requested.
        position: The primary's log end.
    """

    at_s: float
    position: Position


@dataclass
class GroupView:
    """All instances of a group, and its primary.

    Args:
        group: The declaration of the group.
        instances: The views of the instances by name.
        primary: The name of the established primary, or empty if there is none. A
            primary is established once a majority of the members follows it and
            holds the opening entry of its term, the first that it writes.
        term: The term of the latest established primary.
        activity: What the pool is doing with the group, for ``ctl status``.
        version: Incremented with every change, so that derived data can be cached.
        samples: Recent positions of the primary, sorted by time and position.
    """

    group: Group
    instances: dict[str, InstanceView]
    primary: str = ""
    term: int = 0
    activity: str = ""
    version: int = 0
    samples: list[PrimarySample] = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def primary_view(self) -> InstanceView | None:
        """The established primary, or None while there is none."""
        return self.instances.get(self.primary)

    @property
    def majority(self) -> int:
        """The number of instances that form a majority."""
        return majority(len(self.instances))

    def greatest_term(self) -> int:
        """Return the greatest term that any instance has reported."""
        statuses = self._statuses()
        return max((max(s.term, s.fence) for s in statuses), default=0)

    def update(self, name: str, status: InstanceStatus, asked_at_s: float) -> None:
        """Store a report of an instance, unless a later request was answered before.

        Args:
            name: The instance.
            status: The report.
            asked_at_s: The monotonic time at which the report was requested.
        """
        view = self.instances[name]
        view.misses = 0
        if asked_at_s >= view.report_asked_at_s:
            view.status = status
            view.report_asked_at_s = asked_at_s
        self._sample_primary(name, SAMPLE_INTERVAL_S)
        self.notify()

    def record_miss(self, name: str) -> None:
        """Count an unanswered probe of an instance."""
        self.instances[name].misses += 1
        self.notify()

    def establish(self, name: str, term: int) -> None:
        """Set the established primary and its term; a lower term is ignored."""
        if term < self.term:
            return
        self.primary = name
        self.term = term
        self._sample_primary(name, 0.0)
        self.notify()

    def add_sample(self, sample: PrimarySample) -> None:
        """Store a sample of the primary's log end.

        Samples stay sorted by time and by position; one that is out of order is
        dropped.
        """
        if self.samples and _is_out_of_order(self.samples[-1], sample):
            return
        self.samples.append(sample)
        if len(self.samples) > MAX_SAMPLES:
            del self.samples[: len(self.samples) - MAX_SAMPLES]
        self.version += 1

    def demote(self) -> None:
        """Leave the group without a primary until one is established again."""
        self.primary = ""
        self.notify()

    def notify(self) -> None:
        """Increment the version and wake all tasks that wait for a change."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_changed(self, timeout_s: float) -> bool:
        """Wait for any change; return whether one came within the timeout."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    async def wait_primary(self, deadline_s: float) -> InstanceView | None:
        """Wait until a primary is established, up to a monotonic time.

        Returns:
            The primary, or None if there is still none at the deadline.
        """
        while self.primary_view is None:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0 or not await self.wait_changed(left_s):
                return self.primary_view
        return self.primary_view

    def _sample_primary(self, name: str, interval_s: float) -> None:
        view = self.instances[name]
        if name != self.primary or view.status is None:
            return
        if view.status.term != self.term or view.position.term != self.term:
            return
        if self.samples and view.report_asked_at_s - self.samples[-1].at_s < interval_s:
            return
        self.add_sample(PrimarySample(view.report_asked_at_s, view.position))

    def _statuses(self) -> Iterable[InstanceStatus]:
        return [v.status for v in self.instances.values() if v.status is not None]


def _is_out_of_order(last: PrimarySample, sample: PrimarySample) -> bool:
    return sample.at_s <= last.at_s or sample.position < last.position
