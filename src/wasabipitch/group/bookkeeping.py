"""Keeps the records in the store from which a primary's successor is chosen.

While the primary answers, a host that serves the group adds instances that registered
to the members, drops members that are gone, and answers for hosts that have ended.
"""

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    WRITERS_PREFIX,
    GroupRecord,
    InstanceEntry,
    Member,
    MembersRecord,
    encode,
)
from wasabipitch.coordination.members import GroupMembers, make_key
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import CoordinationStore
from wasabipitch.coordination.writers import CommitWriters
from wasabipitch.exceptions import StoreError
from wasabipitch.group.instance_control import InstanceControl
from wasabipitch.group.state import GroupState
from wasabipitch.group.unanswered import STATEMENT_END_S
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.succession import find_gone_members, may_drop_members
from wasabipitch.wire.codecs import InstanceCodec

# Changes of this time are written together.
BATCH_S = 0.1
# The pause after a round, during which the watch returns what it wrote. It doubles
# with each round that leaves the same work, since a round may ask instances.
ROUND_PAUSE_S = 0.3
MAX_PAUSE_S = 2.4
# The hosts that do this work, by their ranks.
MAX_HOSTS = 3
# The store accepts at most 32 keys in one commit. Each writer takes two, as its key is
# expected at a revision and removed.
MAX_WRITERS_PER_COMMIT = 15


def find_members(entries: dict[str, InstanceEntry]) -> frozenset[Member]:
    """Return the registered instances of a group as members."""
    return frozenset(Member(e.name, e.born_ms) for e in entries.values())


def encode_members(members: frozenset[Member]) -> bytes:
    """Return the members of a group as a record for the store."""
    ordered = sorted(members, key=lambda member: (member.name, member.born_ms))
    return encode(MembersRecord(tuple(ordered)))


class SuccessionBookkeeping:
    """Keeps the members of one group and the list of its writers up to date.

    Args:
        state: The state of the group on this host.
        codec: Encodes the messages to instances.
        store: The store.
        mirror: The local copy of the store.
        writers: The hosts that may have acknowledged commits.
        members: The members of the groups.
        decisions: The log of decisions.
    """

    def __init__(
        self,
        state: GroupState,
        codec: InstanceCodec,
        store: CoordinationStore,
        mirror: StoreMirror,
        writers: CommitWriters,
        members: GroupMembers,
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._codec = codec
        self._store = store
        self._mirror = mirror
        self._writers = writers
        self._members = members
        self._decisions = decisions
        # What there was to do, and since when.
        self._work: tuple[frozenset, frozenset, frozenset] | None = None
        self._work_since_s = 0.0
        # The last registration of each member that this host has seen.
        self._last_entries: dict[Member, InstanceEntry] = {}
        # Since when this host has known that a listed host has ended.
        self._ended_since_s: dict[str, float] = {}
        self._round_ended_s = 0.0
        self._pause_s = ROUND_PAUSE_S

    def find_work_since_s(self) -> float | None:
        """Return since when there has been something to do, or None if there isn't."""
        work = self._find_work()
        if not any(work):
            self._work = None
            return None
        if work != self._work:
            # An end of the log that is read from now on covers all of this work.
            self._work, self._work_since_s = work, now_s()
            self._pause_s = ROUND_PAUSE_S
        return self._work_since_s + BATCH_S

    @property
    def is_pausing(self) -> bool:
        """Whether the last round has just ended."""
        return now_s() - self._round_ended_s < self._pause_s

    def _find_work(self) -> tuple[frozenset, frozenset, frozenset]:
        """Return members to add, members that are gone, and writers to answer for."""
        name = self._state.name
        membership = self._members.find(name)
        registered = find_members(self._state.entries)
        added = (membership.known | registered) - membership.stored
        self._last_entries |= {
            Member(entry.name, entry.born_ms): entry
            for entry in self._state.entries.values()
        }
        for member in self._last_entries.keys() - membership.known - registered:
            del self._last_entries[member]
        gone = find_gone_members(membership.known, registered)
        return added, gone, self._find_ended_writers()

    def _find_ended_writers(self) -> frozenset[str]:
        """Return the writers that ended so long ago that their statements have, too."""
        at_s = now_s()
        self._ended_since_s = {
            host: self._ended_since_s.get(host, at_s)
            for host in self._writers.find_ended(self._state.name)
        }
        return frozenset(
            host
            for host, since_s in self._ended_since_s.items()
            if at_s - since_s >= STATEMENT_END_S
        )

    async def settle(self, record: GroupRecord) -> None:
        """Answer for the commits whose answers this host has lost.

        Args:
            record: The record of the established primary.
        """
        unanswered = self._state.unanswered
        lost_at_s = unanswered.lost_at_s
        control = InstanceControl(self._codec)
        try:
            end = await self._read_log_end(control, record)
            if end is not None and record.names_same_primary(self._state.record):
                self._state.cover(end)
                unanswered.settle(lost_at_s)
        finally:
            control.close()
            self._end_round()

    def _end_round(self) -> None:
        self._round_ended_s = now_s()
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)

    async def run(self, record: GroupRecord, revision: int) -> None:
        """Do what there is to do, as far as the instances answer.

        Args:
            record: The record of the established primary.
            revision: Its revision.
        """
        added, gone, ended = self._work or self._find_work()
        control = InstanceControl(self._codec)
        try:
            end = None
            if gone or ended:
                end = await self._read_log_end(control, record)
            if end is not None and ended:
                await self._answer_for(ended, end, revision)
            if end is None or not await self._may_drop(control, gone, end):
                gone = frozenset()
            if added or gone:
                await self._write_members(gone, revision)
        except StoreError as exc:
            self._decisions.routine(
                "bookkeeping waits", group=self._state.name, reason=str(exc)
            )
        finally:
            control.close()
            self._end_round()

    async def _read_log_end(
        self, control: InstanceControl, record: GroupRecord
    ) -> Position | None:
        """Return the end of the primary's log, or None.

        The positions in its answers to statements need not cover commits that wait
        for a replica.
        """
        entry = self._state.entries.get(record.primary)
        if entry is None or entry.born_ms != record.primary_born_ms:
            return None
        report = await control.status(entry)
        if report is None or not report.is_primary:
            return None
        is_same = not record.term or report.term == record.term
        return report.received if is_same else None

    async def _answer_for(
        self, ended: frozenset[str], end: Position, revision: int
    ) -> None:
        """Answer for the commits that hosts acknowledged before they ended."""
        name = self._state.name
        revisions = self._writers.find_ended(name)
        self._state.cover(end)
        chosen = sorted(ended & revisions.keys())[:MAX_WRITERS_PER_COMMIT]
        keys = {host: f"{WRITERS_PREFIX}{name}/{host}" for host in chosen}
        expected = {keys[host]: revisions[host] for host in chosen}
        # A later primary may have acknowledged commits that this end does not cover.
        expected[GROUPS_PREFIX + name] = revision
        await self._store.commit(expected, {}, list(keys.values()))
        for host in chosen:
            self._writers.drop(name, host)
        self._decisions.belief(
            "hosts answered for", group=name, ended=chosen, end=str(end)
        )

    async def _may_drop(
        self, control: InstanceControl, gone: frozenset[Member], end: Position
    ) -> bool:
        """Return whether another replica holds what the gone members may hold."""
        if not gone or await self._is_any_running(control, gone):
            return False
        primary = self._state.primary
        replicas = [
            e
            for e in self._state.entries.values()
            if e.name != primary and not e.leaving
        ]
        reports = await control.fetch_reports(replicas)
        received = {
            Member(e.name, e.born_ms): reports[e.name].received
            for e in replicas
            if e.name in reports
        }
        members = self._members.find(self._state.name).known
        return may_drop_members(
            end, received, members | find_members(self._state.entries)
        )

    async def _is_any_running(
        self, control: InstanceControl, gone: frozenset[Member]
    ) -> bool:
        """Return whether a member without a registration answers at its last address.

        It can't reach the store, and may go on confirming commits of the primary.
        """
        entries = [
            entry
            for member, entry in self._last_entries.items()
            if member in gone and member.name not in self._state.entries
        ]
        return bool(entries) and bool(await control.fetch_reports(entries))

    async def _write_members(self, gone: frozenset[Member], revision: int) -> None:
        name = self._state.name
        membership = self._members.find(name)
        registered = find_members(self._state.entries)
        # A member that was never in the store is written first, since the other hosts
        # keep it until then.
        dropped = (gone & membership.stored) - registered
        members = (membership.known | registered) - dropped
        key, value = make_key(name), encode_members(members)
        expected = {key: membership.revision, GROUPS_PREFIX + name: revision}
        written = await self._store.commit(expected, {key: value})
        self._mirror.apply_writes({key: value}, written)
        self._decisions.belief(
            "group members",
            group=name,
            members=sorted(member.name for member in members),
            dropped=sorted(member.name for member in dropped),
        )
