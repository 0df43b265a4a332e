"""Probes the instances of a group and derives the group's state from the reports.

The opening entry of a term is the first log entry that its primary writes. A
primary is established once a majority of the members holds that entry.
"""

import asyncio
import time
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wasabipitch.events import Timeline
from wasabipitch.exceptions import RequestError
from wasabipitch.metrics import Metrics
from wasabipitch.targets import InstanceStatus
from wasabipitch.view import GroupView, InstanceView

PROBE_INTERVAL_S = 0.2
STANDBY_PROBE_INTERVAL_S = 1.0  # for pools other than the first owner
PROBE_TIMEOUT_S = 0.25
RETRY_INTERVAL_S = 0.1  # after a miss, to detect a failed primary sooner

# A probe that exceeds its timeout by this much shows that this process was paused,
# and proves nothing about the instance. Only a few such misses in a row are ignored,
# since on a host that is always slow they would otherwise hide a failed instance.
PAUSE_THRESHOLD_S = 0.1
MAX_IGNORED_MISSES = 2

SUSPECT_MISSES = 2  # a single slow probe must not demote a primary


@dataclass(frozen=True, slots=True)
class Leadership:
    """An instance that is, or claims to be, the primary of a term."""

    name: str
    term: int


class Monitor:
    """Keeps the view of a group up to date, with one task per instance.

    A probe over the MySQL protocol carries about 650 bytes, nearly all of them
    descriptions of the status columns: 10 KB per second for three instances.

    Args:
        view: Receives every report and every miss.
        timeline: Records when an instance stops answering and when it answers again.
        metrics: Counts the missed probes.
        rank: Returns this pool's rank in the order of the group's owners; only the
            pool of rank 0 probes at the short interval.
    """

    def __init__(
        self,
        view: GroupView,
        timeline: Timeline,
        metrics: Metrics,
        rank: Callable[[], int] = lambda: 0,
    ) -> None:
        self._view = view
        self._timeline = timeline
        self._metrics = metrics
        self._rank = rank
        self._ignored_misses: Counter[str] = Counter()

    async def run(self) -> None:
        """Probe all instances until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for view in self._view.instances.values():
                tasks.create_task(self._probe_forever(view))

    async def probe(self, view: InstanceView) -> None:
        """Request the status of an instance, and record the report or the miss."""
        asked_at_s = time.monotonic()
        try:
            status = await view.channel.status(PROBE_TIMEOUT_S)
        except RequestError as exc:
            if not self._should_ignore_miss(view, time.monotonic() - asked_at_s):
                self._record_miss(view, str(exc))
            return
        self._ignored_misses[view.name] = 0
        self._record_report(view, status, asked_at_s)

    async def _probe_forever(self, view: InstanceView) -> None:
        while True:
            started_s = time.monotonic()
            await self.probe(view)
            interval_s = self._choose_interval_s(view)
            elapsed_s = time.monotonic() - started_s
            await asyncio.sleep(max(RETRY_INTERVAL_S / 2, interval_s - elapsed_s))

    def _should_ignore_miss(self, view: InstanceView, elapsed_s: float) -> bool:
        if elapsed_s < PROBE_TIMEOUT_S + PAUSE_THRESHOLD_S:
            return False
        self._ignored_misses[view.name] += 1
        return self._ignored_misses[view.name] <= MAX_IGNORED_MISSES

    def _choose_interval_s(self, view: InstanceView) -> float:
        if view.misses:
            return RETRY_INTERVAL_S
        return STANDBY_PROBE_INTERVAL_S if self._rank() else PROBE_INTERVAL_S

    def _record_report(
        self, view: InstanceView, status: InstanceStatus, asked_at_s: float
    ) -> None:
        if view.misses >= SUSPECT_MISSES:
            self._record("health.back", view, "")
        self._view.update(view.name, status, asked_at_s)

    def _record_miss(self, view: InstanceView, reason: str) -> None:
        self._metrics.count("health.misses")
        self._view.record_miss(view.name)
        if view.misses == SUSPECT_MISSES:
            self._record("health.lost", view, reason)

    def _record(self, kind: str, view: InstanceView, detail: str) -> None:
        self._timeline.record(
            kind,
            group=self._view.group.name,
            term=self._view.term,
            detail=f"{view.name}: {detail}" if detail else view.name,
        )


def age_s(view: GroupView, name: str, now_s: float) -> float | None:
    """Return an upper bound on the age of an instance's data, in seconds.

    Args:
        view: The group's view.
        name: The instance.
        now_s: The current monotonic time.

    Returns:
        The age, or None if it is unknown.
    """
    up_to_date_at_s = find_up_to_date_as_of_s(view, name)
    return None if up_to_date_at_s is None else max(0.0, now_s - up_to_date_at_s)


def find_up_to_date_as_of_s(view: GroupView, name: str) -> float | None:
    """Return the monotonic time as of which an instance's data are up to date.

    An instance that has reached the position of the primary at time t holds every
    commit acknowledged before t. A sample of the primary counts only once a
    majority, asked no earlier than the sample, has shown no greater term: samples
    of an old primary that is cut off would otherwise make stale data look up to
    date.

    Returns:
        The time, or None if it is unknown.
    """
    instance = view.instances[name]
    confirmed_s = _find_confirmed_at_s(view)
    if confirmed_s is None or instance.status is None:
        return None
    if instance.position.term != view.term:
        return None
    samples = view.samples
    reached = bisect_right(samples, instance.position, key=lambda s: s.position)
    confirmed = bisect_right(samples, confirmed_s, key=lambda s: s.at_s)
    latest = min(reached, confirmed) - 1
    if latest < 0 or samples[latest].position.term != view.term:
        return None
    return samples[latest].at_s


def _find_confirmed_at_s(view: GroupView) -> float | None:
    """Return the latest time as of which the latest primary's term is confirmed.

    A majority of reports requested at or after that monotonic time showed no greater
    term. The confirmation remains valid for the past if that primary fails.

    Returns:
        The time, or None if no majority has confirmed the term.
    """
    if not view.term:
        return None
    asked_times_s = sorted(
        (
            v.report_asked_at_s
            for v in view.instances.values()
            if v.status is not None and v.status.member and v.status.fence <= view.term
        ),
        reverse=True,
    )
    return (
        asked_times_s[view.majority - 1]
        if len(asked_times_s) >= view.majority
        else None
    )


def find_claimant(view: GroupView) -> Leadership | None:
    """Return the reachable primary of the greatest term that still takes writes."""
    claims = [
        Leadership(v.name, v.status.term)
        for v in view.instances.values()
        if v.reachable and v.status.member and v.status.is_primary
    ]
    return max(claims, key=lambda c: c.term, default=None)


def find_established(view: GroupView) -> Leadership | None:
    """Return the primary whose opening entry is held by a majority, if any.

    The majority includes the primary. Instances fenced at a greater term don't count.
    """
    claim = find_claimant(view)
    if claim is None:
        return None
    holders = [
        v
        for v in _unfenced_members(view, claim.term)
        if v.status.position.term == claim.term
    ]
    return claim if len(holders) >= view.majority else None


def find_pending(view: GroupView) -> Leadership | None:
    """Return a promoted primary whose opening entry can still reach a majority."""
    claim = find_claimant(view)
    if claim is None:
        return None
    able = list(_unfenced_members(view, claim.term))
    return claim if len(able) >= view.majority else None


def infer_primary(view: GroupView) -> Leadership | None:
    """Return the primary that reachable replicas report as their leader.

    A pool that starts to serve a group whose primary does not answer needs this to
    ask other pools about that primary.
    """
    names = {str(v.instance.endpoint): v.name for v in view.instances.values()}
    claims = [
        Leadership(names[v.status.leader], v.status.term)
        for v in view.instances.values()
        if v.reachable and v.status.leader in names
    ]
    return max(claims, key=lambda c: c.term, default=None)


def find_suspicion_reason(view: GroupView) -> str:
    """Return the evidence against the established primary, or '' if there is none."""
    primary = view.primary_view
    if primary is None or primary.status is None:
        return ""
    if primary.misses >= SUSPECT_MISSES:
        return f"{primary.name} missed {primary.misses} probes"
    if primary.status.fence > view.term:
        return f"{primary.name} is fenced at term {primary.status.fence}"
    if not primary.status.is_primary or primary.status.term != view.term:
        return f"{primary.name} is no longer the primary of term {view.term}"
    claim = find_claimant(view)
    if claim is not None and claim.term > view.term:
        return f"{claim.name} was promoted at term {claim.term}"
    if count_fenced_above(view, view.term) >= view.majority:
        return f"a majority is fenced above term {view.term}"
    return ""


def count_fenced_above(view: GroupView, term: int) -> int:
    """Return the number of reachable members that are fenced above a term."""
    return sum(
        v.reachable and v.status.member and v.status.fence > term
        for v in view.instances.values()
    )


def count_members(view: GroupView) -> int:
    """Return the number of instances that answer and count in majorities."""
    return sum(v.reachable and v.status.member for v in view.instances.values())


def _unfenced_members(view: GroupView, term: int) -> Iterator[InstanceView]:
    for v in view.instances.values():
        if v.reachable and v.status.member and v.status.fence <= term:
            yield v
