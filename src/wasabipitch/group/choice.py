"""Chooses the successor of a primary, on the host that replaces it."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Any

from msgspec.structs import replace

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    UNKNOWN_PRIMARY,
    GroupRecord,
    InstanceEntry,
    Member,
)
from wasabipitch.coordination.live_hosts import LiveHosts
from wasabipitch.coordination.members import GroupMembers
from wasabipitch.coordination.writers import CommitWriters
from wasabipitch.group.instance_control import InstanceControl
from wasabipitch.group.state import GroupState
from wasabipitch.models import Position
from wasabipitch.policy.succession import (
    Candidate,
    Choice,
    choose_successor,
    find_gone_members,
)
from wasabipitch.wire.messages import InstanceReport

POLL_INTERVAL_S = 0.02
# Longest time for which replicas may catch up with a primary that still answers.
CATCH_UP_S = 1.0
# Time for unacknowledged commits to reach a replica once one holds every acknowledged
# commit. A commit takes milliseconds, unless the primary is cut off.
UNACKNOWLEDGED_WAIT_S = 0.15
# Of a large fleet, a log line names so many hosts.
MAX_LOGGED_HOSTS = 12


class SuccessorChoice:
    """Finds the instance that holds every acknowledged commit.

    Args:
        state: The state of the group on this host.
        control: Sends commands to the instances.
        live_hosts: The hosts that are alive, and their reports.
        writers: The hosts that may have acknowledged commits.
        members: The members of the groups.
        wait_relinquished: Waits until no host uses the old primary; returns whether
            this host still holds the replacement of that revision then.
        may_command: Returns whether this host is certain to hold the replacement of a
            revision, so that it ends no fence of another host.
    """

    def __init__(
        self,
        state: GroupState,
        control: InstanceControl,
        live_hosts: LiveHosts,
        writers: CommitWriters,
        members: GroupMembers,
        wait_relinquished: Callable[[int], Awaitable[bool]],
        may_command: Callable[[int], Awaitable[bool]],
    ) -> None:
        self._state = state
        self._control = control
        self._live_hosts = live_hosts
        self._writers = writers
        self._members = members
        self._wait_relinquished = wait_relinquished
        self._may_command = may_command

    async def run(
        self,
        record: GroupRecord,
        revision: int,
        reports: dict[str, InstanceReport],
        refused: Collection[str],
    ) -> Choice:
        """Hand over from a primary that answers, fence the replicas, and choose.

        Args:
            record: The group record that began the replacement.
            revision: Its revision.
            reports: The reports of the instances that answered, by name.
            refused: The instances whose promotion was refused.
        """
        terms = [max(r.term, r.fenced_term) for r in reports.values()]
        term = max([record.term, *terms]) + 1
        entries = self._state.entries
        old = entries.get(record.primary)
        replicas = [e for name, e in entries.items() if name != record.primary]
        end = None
        if old is not None and record.primary in reports:
            await self._end_fences(replicas, reports, revision)
            is_ready, end = await self._hand_over(record, old, replicas, revision, term)
            if not is_ready:
                return self._retain_old_primary(record, reports)
            if old.born_ms != record.primary_born_ms:
                # It has started again without its log.
                end = None
        if not await self._wait_relinquished(revision):
            return Choice(None, "another host took over the replacement")
        # A host that began an earlier replacement ends its commands before it
        # relinquishes the primary, so none of them ends the fences that follow.
        fenced = await self._control.fence_all(replicas, term)
        silences = dict(self._control.failures)
        candidates = {
            entry.name: Candidate(
                entry.name,
                fenced[entry.name].received,
                entry.leaving,
                entry.name in refused,
            )
            for entry in replicas
            if entry.name in fenced
        }
        silent = self._find_silent(record, [e for e in replicas if e.name in fenced])
        acknowledged = self._live_hosts.find_acknowledged_position(
            self._state.name, revision
        )
        if end is not None and end < acknowledged:
            # It has started again without its log, and is not registered anew yet.
            end = None
        limit = self._find_limit(record, revision, end)
        choice = choose_successor(candidates, silent, acknowledged, limit)
        inputs = {
            "term": term,
            "received": {name: str(c.received) for name, c in candidates.items()},
            "fenced": {name: report.fenced_term for name, report in fenced.items()},
            "silent": {name: silences.get(name, "gone") for name in silent},
            "acknowledged": str(acknowledged),
            "limit": None if limit is None else str(limit),
            "end": None if end is None else str(end),
            **self._describe_reports(revision),
        }
        return replace(choice, inputs=inputs)

    async def _end_fences(
        self,
        replicas: list[InstanceEntry],
        reports: dict[str, InstanceReport],
        revision: int,
    ) -> None:
        """Let replicas receive the log again that an earlier attempt has fenced.

        The fences stay while the old primary doesn't answer: it may still run, and
        commits that a replica confirms then may be missing at the successor that
        another holder has chosen.
        """
        fenced = [
            entry
            for entry in replicas
            if entry.name in reports and reports[entry.name].fenced_term
        ]
        if fenced and await self._may_command(revision):
            await asyncio.gather(*(self._control.resume(entry) for entry in fenced))

    def _describe_reports(self, revision: int) -> dict[str, Any]:
        """Return the hosts' reports and the hosts without one, for the log."""
        name = self._state.name
        reports = self._live_hosts.describe_reports(name, revision)
        missing = self._writers.find_unreported(name, revision)
        return {
            "reports": dict(itertools.islice(reports.items(), MAX_LOGGED_HOSTS)),
            "unreported": missing[:MAX_LOGGED_HOSTS],
        }

    def _find_silent(
        self, record: GroupRecord, fenced: Iterable[InstanceEntry]
    ) -> list[str]:
        """Return the instances that may have confirmed commits and don't answer.

        Every commit that was confirmed by the primary, too, is held by a replica.

        Args:
            record: The group record.
            fenced: The instances that answered.
        """
        registered = {Member(e.name, e.born_ms) for e in self._state.entries.values()}
        answered = {Member(e.name, e.born_ms) for e in fenced}
        members = self._members.find(self._state.name).known
        gone = find_gone_members(members, registered | answered)
        silent = [m.name for m in registered - answered if m.name != record.primary]
        if names_primary(record):
            return silent + [m.name for m in gone if m.name != record.primary]
        # One of those that are gone may be the primary.
        is_held = len(gone) <= self._state.settings.acknowledged_by
        return silent if is_held else silent + [m.name for m in gone]

    def _find_limit(
        self, record: GroupRecord, revision: int, end: Position | None
    ) -> Position | None:
        """Return a position that no acknowledged commit exceeds, or None.

        Args:
            record: The group record.
            revision: The revision of the record.
            end: The log end of the old primary after it stepped down, or None.
        """
        if end is not None or not names_primary(record):
            return end
        limit = self._writers.find_limit(self._state.name, revision)
        # The reports count commits of earlier primaries only as far as a host has read
        # their answers; all of them lie before the log end at which this one began.
        return None if limit is None else max(limit, record.start)

    async def _hand_over(
        self,
        record: GroupRecord,
        old: InstanceEntry,
        replicas: list[InstanceEntry],
        revision: int,
        term: int,
    ) -> tuple[bool, Position | None]:
        """Let replicas catch up with a primary that still answers, then stop it.

        Returns:
            Whether a replica holds every acknowledged commit; if not, the primary was
            not stopped. And the end of the primary's log after it stopped, or None.
        """
        started_s = now_s()
        acknowledged_held_since_s: float | None = None
        while True:
            reports = await self._control.fetch_reports([old, *replicas])
            answered = self._live_hosts.all_relinquished(self._state.name, revision)
            if answered and _has_caught_up(old, reports):
                break
            if answered and self._holds_acknowledged(
                record, replicas, reports, revision
            ):
                acknowledged_held_since_s = acknowledged_held_since_s or now_s()
                if now_s() - acknowledged_held_since_s >= UNACKNOWLEDGED_WAIT_S:
                    break
            if now_s() - started_s >= CATCH_UP_S:
                if not _has_caught_up(old, reports):
                    return False, None
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        report = await self._control.step_down(old, term)
        if report is None or report.is_primary:
            return True, None
        return True, report.received

    def _holds_acknowledged(
        self,
        record: GroupRecord,
        replicas: list[InstanceEntry],
        reports: dict[str, InstanceReport],
        revision: int,
    ) -> bool:
        """Return whether a replica is certain to hold every acknowledged commit."""
        answered = [e for e in replicas if e.name in reports]
        choice = choose_successor(
            {
                e.name: Candidate(e.name, reports[e.name].received, False)
                for e in answered
            },
            self._find_silent(record, answered),
            self._live_hosts.find_acknowledged_position(self._state.name, revision),
            self._find_limit(record, revision, None),
        )
        return choice.instance is not None

    def _retain_old_primary(
        self, record: GroupRecord, reports: dict[str, InstanceReport]
    ) -> Choice:
        """Choose the old primary again, since no replica holds all its commits."""
        old = self._state.entries.get(record.primary)
        leads = reports[record.primary].is_primary
        if leads and old is not None and old.born_ms == record.primary_born_ms:
            return Choice(
                record.primary, "no replica holds every commit that it acknowledged"
            )
        return Choice(
            None, "no replica holds every commit that the old primary acknowledged"
        )


def names_primary(record: GroupRecord) -> bool:
    """Return whether a record names the primary that is replaced.

    If not, the hosts have forgotten what they saw acknowledged, and every instance
    has to answer.
    """
    return record.primary != UNKNOWN_PRIMARY


def _has_caught_up(old: InstanceEntry, reports: dict[str, InstanceReport]) -> bool:
    others = [report for name, report in reports.items() if name != old.name]
    end = reports.get(old.name)
    if end is None:
        return bool(others)
    return any(report.received >= end.received for report in others)
