"""Holds what this host knows about a group: its record, primary and positions."""

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterator

import msgspec

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    Consistency,
    GroupRecord,
    GroupSettings,
    InstanceEntry,
    Phase,
    Route,
)
from wasabipitch.group.unanswered import UnansweredCommits
from wasabipitch.models import ORIGIN, Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.read_leases import (
    READ_LEASE_S,
    PositionSamples,
    ReadDecision,
    decide_read,
)

# A commit that its request abandons sooner says nothing about the primary.
MIN_HANG_S = 0.3
# An abandoned commit counts against the primary for this long.
UNANSWERED_EVIDENCE_S = 2.0


class PendingCommit(msgspec.Struct, frozen=True):
    """A write or commit that was sent to a primary and has not been answered.

    Args:
        revision: The revision of the group record when it was sent.
        sent_at_s: The time of ``now_s`` when it was sent.
        begun_revision: The revision when its transaction began.
    """

    revision: int
    sent_at_s: float
    begun_revision: int


class GroupState:
    """Holds a group's instances, its primary and the log positions seen on it.

    Args:
        settings: The group's settings from the configuration.
        read_confirmed_at_s: Returns the time at which the store last confirmed the
            group record to this host, or 0.
        decisions: The log of decisions.
        is_serving: Returns whether the store lists this host as one that serves the
            group, and the host knows the group records up to then. A replacement
            waits only for the listed hosts, so no other host may use the primary.
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
        # Names of the hosts that hold connections to the instances.
        self.owners: frozenset[str] = frozenset()
        self.record: GroupRecord | None = None
        self.record_revision = 0
        self.record_since_s = 0.0
        self.samples = PositionSamples()
        # The highest position of a commit that an instance acknowledged to this host.
        self.acknowledged = ORIGIN
        self.unanswered = UnansweredCommits(self.update_acknowledged)
        # A log end of the primary that no commit exceeds for which this host answers,
        # because the host that acknowledged it has ended.
        self.covered = ORIGIN
        # Since when this host may not use the group's primaries because it is not yet
        # registered as one that serves the group, or None.
        self.registering_since_s: float | None = now_s()
        # When this host last ordered a promotion that may have been carried out.
        self.ordered_at_s = -math.inf
        # Returns whether every host has relinquished the primary that the record
        # replaces.
        self.is_relinquished: Callable[[], bool] = lambda: False
        # Returns whether a successor can't be chosen before more instances answer.
        self.is_blocked: Callable[[], bool] = lambda: False
        # Time of the first request in a row that could not reach a primary, or None.
        self.primary_unreachable_since_s: float | None = None
        # Time of the last read-only refusal by the established primary, or None.
        self.read_only_at_s: float | None = None
        # Until this time, work that needs the primary is forwarded through a peer.
        self.avoid_primary_until_s = 0.0
        # The outcome of commits that were sent under an older record revision than
        # this one is reported as unknown.
        self.abandoned_revision = 0
        # The last record that established a primary.
        self._established: GroupRecord | None = None
        self._commits: dict[asyncio.Future[None], PendingCommit] = {}
        # The last commit whose request ended before an answer, unless the primary has
        # answered a later one since, and until when it counts as evidence.
        self._unanswered: PendingCommit | None = None
        self._unanswered_until_s = 0.0
        # End of the read lease on the primary that is being replaced.
        self._old_read_lease_until_s = 0.0
        self._read_confirmed_at_s = read_confirmed_at_s
        self._is_serving = is_serving
        self._decisions = decisions
        self._changed = asyncio.Event()

    @property
    def name(self) -> str:
        """The name of the group."""
        return self.settings.name

    @property
    def is_changing(self) -> bool:
        """Whether a replacement of the primary is in progress."""
        return self.record is not None and self.record.phase is Phase.CHANGING

    @property
    def primary(self) -> str | None:
        """The established primary, or None while this host may use none.

        An instance that was restarted under the same name is not the primary that
        the record names.
        """
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
        """The end of this host's read lease on the record's primary.

        Until this time no later primary can have been established. During a
        replacement the lease is not renewed.
        """
        if self.record is None:
            return 0.0
        if self.record.phase is Phase.CHANGING:
            return self._old_read_lease_until_s
        return self._read_confirmed_at_s() + READ_LEASE_S

    def is_primary(self, name: str) -> bool:
        """Return whether an instance is the established primary."""
        return name == self.primary

    def decide_read(
        self, route: Route, arrived_s: float, session_floor: Position
    ) -> ReadDecision:
        """Return which instances a read may use.

        Args:
            route: The route of the read's database.
            arrived_s: The time at which this host received the read.
            session_floor: The lowest position that the session must see; it applies
                only to routes that promise a session its own writes.
        """
        max_age_s = route.max_age_s
        if route.consistency is Consistency.PRIMARY:
            max_age_s = 0.0
        floor = session_floor if route.consistency is Consistency.OWN_WRITES else ORIGIN
        return decide_read(
            arrived_s, max_age_s, self.read_lease_until_s, floor, self.samples
        )

    def update_position(
        self, instance: str, revision: int, sent_at_s: float, position: Position
    ) -> None:
        """Add a position sample from an answer, unless it is not the primary's.

        Args:
            instance: The instance that gave the answer.
            revision: The revision of the group record when the statement was sent.
            sent_at_s: The time at which the statement was sent.
            position: The instance's log position in the answer.
        """
        if revision != self.record_revision or not self.is_primary(instance):
            return
        self.samples.add(min(sent_at_s, self.read_lease_until_s), position)

    @property
    def commits_under_way(self) -> int:
        """The number of commits that were sent to a primary and are unanswered."""
        return len(self._commits)

    @property
    def oldest_commit_s(self) -> float | None:
        """The send time of the oldest unanswered commit of this record, or None."""
        commits = [*self._commits.values()]
        if self._unanswered is not None and now_s() < self._unanswered_until_s:
            commits.append(self._unanswered)
        sent = [
            commit.sent_at_s
            for commit in commits
            if commit.revision == self.record_revision
        ]
        return min(sent, default=None)

    @contextlib.contextmanager
    def track_commit(
        self, begun_revision: int | None = None
    ) -> Iterator[asyncio.Future[None]]:
        """Count a commit as under way while the block runs.

        Args:
            begun_revision: The revision of the group record when its transaction
                began, or None for a single write.

        Yields:
            A future that is done once this host has relinquished the primary. The
            answer to the commit must then be reported as unknown.
        """
        relinquished = asyncio.get_running_loop().create_future()
        if begun_revision is None:
            begun_revision = self.record_revision
        commit = PendingCommit(self.record_revision, now_s(), begun_revision)
        self._commits[relinquished] = commit
        try:
            yield relinquished
            if self._unanswered and self._unanswered.sent_at_s <= commit.sent_at_s:
                self._unanswered = None
        except (TimeoutError, asyncio.CancelledError):
            # The time limit was reached, or the caller gave up.
            if now_s() - commit.sent_at_s >= MIN_HANG_S:
                self._unanswered = commit
                self._unanswered_until_s = now_s() + UNANSWERED_EVIDENCE_S
            raise
        finally:
            del self._commits[relinquished]

    def may_commit(self, begun_revision: int) -> bool:
        """Return whether a commit may be sent for a transaction that is open.

        A commit that is sent after this host has reported what it saw acknowledged, or
        while no replacement waits for its report, may be acknowledged by the old
        primary and be missing at the new one.

        Args:
            begun_revision: The revision of the group record when the transaction began.
        """
        return self._is_serving() and begun_revision >= self.abandoned_revision

    def abandon_commits(self, revision: int) -> None:
        """Report commits that began under earlier record revisions as unknown.

        None is sent from now on.
        """
        self.abandoned_revision = revision
        for relinquished, commit in self._commits.items():
            if commit.begun_revision < revision and not relinquished.done():
                relinquished.set_result(None)

    def update_primary_reachability(self, usable: bool) -> None:
        """Update since when no primary can be reached."""
        if usable:
            self.primary_unreachable_since_s = None
        elif self.primary_unreachable_since_s is None:
            self.primary_unreachable_since_s = now_s()

    def update_registration(self) -> None:
        """Update since when this host has not been registered for the group."""
        if self._read_confirmed_at_s() > 0:
            self.registering_since_s = None
        elif self.registering_since_s is None:
            self.registering_since_s = now_s()

    def update_read_only(self, instance: str) -> None:
        """Update the time of the last read-only refusal if the primary gave it."""
        if self.is_primary(instance):
            self.read_only_at_s = now_s()

    def update_acknowledged(self, position: Position) -> None:
        """Raise the highest acknowledged position to at least this one."""
        self.acknowledged = max(self.acknowledged, position)

    def cover(self, end: Position) -> None:
        """Answer for commits up to a log end of the primary."""
        self.covered = max(self.covered, end)

    def set_record(self, record: GroupRecord | None, revision: int) -> None:
        """Adopt a newer group record."""
        old, at_s = self.record, now_s()
        # A successor is established only after this host has relinquished the old
        # primary or its read lease has ended, so the lease ends here at the latest.
        self._old_read_lease_until_s = min(at_s, self.read_lease_until_s)
        self.record, self.record_revision = record, revision
        self.record_since_s = at_s
        self.read_only_at_s = None
        self.avoid_primary_until_s = 0.0
        if record is None or old is None:
            self.samples = PositionSamples()
        elif record.primary != old.primary:
            self._keep_replicated_samples(record)
        if record is not None and record.phase is Phase.STEADY:
            if not record.names_same_primary(self._established):
                # This host may not have seen the record that began the replacement.
                self.abandon_commits(revision)
                if record.start != ORIGIN:
                    # No commit that was acknowledged before exceeds the start, which
                    # the next choice of a successor takes into account.
                    self.unanswered.clear()
            self._established = record
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
        # ORIGIN stands for an unknown start. Without the start, the samples can't be
        # limited to what the successor's log holds.
        if record.start == ORIGIN:
            self.samples = PositionSamples()
        else:
            self.samples.cap(record.start)
            # The new primary holds every commit that was acknowledged before.
            self.covered = min(self.covered, record.start)

    def wake(self) -> None:
        """Wake all callers of ``wait_changed``."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_changed(self, timeout_s: float) -> None:
        """Wait until ``wake`` is called, or for ``timeout_s``."""
        changed = self._changed
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await changed.wait()
        except TimeoutError:
            return
