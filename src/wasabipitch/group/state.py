"""What a host believes of a group, and since when."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    Consistency,
    GroupRecord,
    GroupSettings,
    InstanceEntry,
    Phase,
    Route,
)
from wasabipitch.models import ORIGIN, Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.rights import (
    RIGHT_S,
    PositionSamples,
    ReadRight,
    judge_read,
)


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """A write that was sent to a primary and has no answer yet.

    Args:
        revision: of the group record when it was sent.
    """

    revision: int
    sent_at_s: float


class GroupState:
    """A group's instances, its primary, and the positions seen on it.

    Args:
        read_confirmed_at_s: returns when the store last confirmed the records.
        is_serving: returns whether the others know that this host serves the group;
            without that it may use no primary.
    """

    def __init__(
        self,
        settings: GroupSettings,
        read_confirmed_at_s: Callable[[], float],
        decisions: DecisionLog,
        is_serving: Callable[[], bool] = lambda: True,
    ) -> None:
        self.settings = settings
        self.entries: dict[str, InstanceEntry] = {}
        # The names of the hosts that hold connections to the instances.
        self.owners: frozenset[str] = frozenset()
        self.record: GroupRecord | None = None
        self.record_revision = 0
        self.record_since_s = 0.0
        self.samples = PositionSamples()
        # The greatest position that this host knows to hold an acknowledged commit.
        self.acknowledged = ORIGIN
        # Since when no request could reach a primary, or None.
        self.primary_unreachable_since_s: float | None = None
        # When the settled primary last said that it takes no writes, or None.
        self.read_only_at_s: float | None = None
        # Until when work that needs the primary goes through a peer.
        self.avoid_primary_until_s = 0.0
        # Commits of records before this one count as unknown from now on.
        self.abandoned_revision = 0
        self._commits: dict[asyncio.Future[None], PendingCommit] = {}
        # Until when the right to the primary went that is being replaced.
        self._read_lease_before_change_s = 0.0
        self._read_confirmed_at_s = read_confirmed_at_s
        self._is_serving = is_serving
        self._decisions = decisions
        self._changed = asyncio.Event()

    @property
    def name(self) -> str:
        """The group's."""
        return self.settings.name

    @property
    def is_changing(self) -> bool:
        """Whether the primary is being replaced."""
        return self.record is not None and self.record.phase is Phase.CHANGING

    @property
    def primary(self) -> str | None:
        """The instance that leads, or None while none may be used."""
        record = self.record
        if record is None or record.phase is not Phase.STEADY:
            return None
        if not self._is_serving():
            return None
        entry = self.entries.get(record.primary)
        if entry is None or entry.born_ms != record.primary_born_ms:
            return None
        return record.primary

    @property
    def read_lease_until_s(self) -> float:
        """Until when no primary after the one of the record can have led."""
        if self.record is None:
            return 0.0
        if self.record.phase is Phase.CHANGING:
            return self._read_lease_before_change_s
        return self._read_confirmed_at_s() + RIGHT_S

    def is_primary(self, name: str) -> bool:
        """Return whether an instance is the settled primary."""
        return name == self.primary

    def decide_read(
        self, route: Route, arrived_s: float, session_floor: Position
    ) -> ReadRight:
        """Return what a read of a route may use."""
        max_age_s = route.max_age_s
        if route.consistency is Consistency.PRIMARY:
            max_age_s = 0.0
        floor = session_floor if route.consistency is Consistency.OWN_WRITES else ORIGIN
        return judge_read(
            arrived_s, max_age_s, self.read_lease_until_s, floor, self.samples
        )

    def update_position(
        self, instance: str, revision: int, sent_at_s: float, position: Position
    ) -> None:
        """Note the primary's position in an answer.

        Args:
            instance: that gave the answer.
            revision: of the group record when the statement was sent.
            sent_at_s: when it was sent.
            position: of its log, by the answer.
        """
        if revision != self.record_revision or not self.is_primary(instance):
            return
        self.samples.add(min(sent_at_s, self.read_lease_until_s), position)

    @property
    def commits_under_way(self) -> int:
        """How many writes were sent to a primary and have no answer yet."""
        return len(self._commits)

    @property
    def oldest_commit_s(self) -> float | None:
        """When the oldest of those was sent to the settled primary, or None."""
        sent = [
            commit.sent_at_s
            for commit in self._commits.values()
            if commit.revision == self.record_revision
        ]
        return min(sent, default=None)

    @contextlib.contextmanager
    def track_commit(self) -> Iterator[asyncio.Future[None]]:
        """Count a write as under way while the block runs.

        Yields:
            A future that is done when the primary has been given up, so that the
            answer to the write no longer counts.
        """
        relinquished = asyncio.get_running_loop().create_future()
        self._commits[relinquished] = PendingCommit(self.record_revision, now_s())
        try:
            yield relinquished
        finally:
            del self._commits[relinquished]

    def abandon_commits(self, revision: int) -> None:
        """Count commits of records before a revision as unknown from now on."""
        self.abandoned_revision = revision
        for relinquished, commit in self._commits.items():
            if commit.revision < revision and not relinquished.done():
                relinquished.set_result(None)

    def update_primary_reachability(self, usable: bool) -> None:
        """Note whether a request could reach a primary just now."""
        if usable:
            self.primary_unreachable_since_s = None
        elif self.primary_unreachable_since_s is None:
            self.primary_unreachable_since_s = now_s()

    def update_read_only(self, instance: str) -> None:
        """Note that an instance said that it takes no writes."""
        if self.is_primary(instance):
            self.read_only_at_s = now_s()

    def update_acknowledged(self, position: Position) -> None:
        """Note that a commit at or before a position was acknowledged."""
        self.acknowledged = max(self.acknowledged, position)

    def set_record(self, record: GroupRecord | None, revision: int) -> None:
        """Take over a newer group record."""
        old, at_s = self.record, now_s()
        # A successor leads only after this host gave the old primary up, or its
        # right to it has ended.
        self._read_lease_before_change_s = min(at_s, self.read_lease_until_s)
        self.record, self.record_revision = record, revision
        self.record_since_s = at_s
        self.read_only_at_s = None
        self.avoid_primary_until_s = 0.0
        if record is None or old is None:
            self.samples = PositionSamples()
        elif record.primary != old.primary:
            self._keep_replicated_samples(record)
        self._decisions.belief(
            "group record",
            group=self.name,
            revision=revision,
            phase=record.phase.value if record else None,
            primary=record.primary if record else None,
            holder=record.holder if record else None,
        )
        self.wake()

    def _keep_replicated_samples(self, record: GroupRecord) -> None:
        if record.start == ORIGIN:
            self.samples = PositionSamples()
        else:
            self.samples.cap(record.start)

    def wake(self) -> None:
        """Wake those who wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_changed(self, timeout_s: float) -> None:
        """Wait until something changes, or for a time."""
        changed = self._changed
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await changed.wait()
        except TimeoutError:
            return
