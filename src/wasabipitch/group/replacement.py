"""Carries out the replacement of a group's primary: failover or switchover.

A leader is an instance that reports itself as primary. It becomes the established
primary once a group record names it.
"""

import asyncio
from collections.abc import Iterable, Mapping

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    UNKNOWN_PRIMARY,
    GroupRecord,
    InstanceEntry,
    Member,
    Phase,
)
from wasabipitch.coordination.live_hosts import LiveHosts
from wasabipitch.coordination.members import GroupMembers
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.registration import HostRegistration
from wasabipitch.coordination.store import Promoter
from wasabipitch.coordination.writers import CommitWriters
from wasabipitch.exceptions import PromotionRefused, StoreUnavailable
from wasabipitch.group.instance_control import InstanceControl
from wasabipitch.group.state import GroupState
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.quorum import READ_LEASE_MARGIN_S, UNADOPTED_CLAIM_S
from wasabipitch.policy.read_leases import READ_LEASE_S
from wasabipitch.policy.recovery import VERIFY_AFTER_S
from wasabipitch.policy.succession import (
    Candidate,
    Choice,
    choose_successor,
    find_gone_members,
)
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import InstanceReport

POLL_INTERVAL_S = 0.02
# Longest time for which replicas may catch up with a primary that still answers.
CATCH_UP_S = 1.0
# Time for unacknowledged commits to reach a replica once one holds every acknowledged
# commit. A commit takes milliseconds, unless the primary is cut off.
UNACKNOWLEDGED_WAIT_S = 0.15
# A promotion takes some hundred ms; it is repeated after this long without effect.
PROMOTION_EFFECT_S = 2.5
# A primary that fails has mostly fallen silent, and its report is not waited for. One
# that leaves must report, since its replicas have to catch up with it.
REPORT_PATIENCE_S = 0.2
# A command takes some 15 ms, unless the instance can't be reached.
RESUME_PATIENCE_S = 0.1
RETRY_S = 0.1


class Replacement:
    """Replaces the primary on the host that claimed the replacement.

    Args:
        host: The incarnation of this host, the holder in the group record.
    """

    def __init__(
        self,
        state: GroupState,
        codec: InstanceCodec,
        promoter: Promoter,
        mirror: StoreMirror,
        live_hosts: LiveHosts,
        decisions: DecisionLog,
        host: str,
        registration: HostRegistration,
        writers: CommitWriters,
        members: GroupMembers,
    ) -> None:
        self._state = state
        self._writers = writers
        self._members = members
        self._registration = registration
        self._promoter = promoter
        self._mirror = mirror
        self._live_hosts = live_hosts
        self._decisions = decisions
        self._host = host
        self._control = InstanceControl(codec)
        self._refused: set[str] = set()

    async def run(self, record: GroupRecord) -> GroupRecord | None:
        """Replace the primary.

        Returns:
            The record of the established primary, or None if another host took over
            the replacement.
        """
        revision = self._state.record_revision
        try:
            while self._is_holder(revision):
                established = await self._attempt(record, revision)
                if established is not None:
                    return established
                await asyncio.sleep(RETRY_S)
            return None
        finally:
            self._control.close()

    def _is_holder(self, revision: int) -> bool:
        # A claim that the store lost counts no more; another host may have claimed.
        is_claimed = self._mirror.is_current(revision) and self._state.is_changing
        return is_claimed and self._state.record_revision == revision

    async def _attempt(self, record: GroupRecord, revision: int) -> GroupRecord | None:
        reports = await self._fetch_reports(record)
        if not _names_primary(record) and set(reports) != set(self._state.entries):
            # The instance that has not answered may lead a later term.
            self._log("no successor yet", record, reason="an instance has not answered")
            return None
        leader = find_later_leader(record, reports)
        if leader is None and self._have_orders_ended():
            leader = find_restarted_primary(record, reports)
        if leader is None:
            choice = await self._choose(record, revision, reports)
            leader = choice.instance
            if leader is None:
                self._log("no successor yet", record, reason=choice.reason)
                return None
            self._log("successor chosen", record, chosen=leader, reason=choice.reason)
            if leader != record.primary and not await self._promote(leader, revision):
                return None
        elif not await self._wait_relinquished(revision):
            return None
        return await self._establish(leader)

    def _have_orders_ended(self) -> bool:
        """Return whether all promotions that earlier holders ordered have taken effect.

        A primary that leads on would acknowledge commits that its successor lacks.
        """
        return now_s() - self._state.record_since_s >= VERIFY_AFTER_S

    async def _fetch_reports(self, record: GroupRecord) -> dict[str, InstanceReport]:
        old = self._state.entries.get(record.primary)
        planned = old is not None and old.leaving
        return await self._control.fetch_reports(
            self._state.entries.values(), None if planned else REPORT_PATIENCE_S
        )

    async def _choose(
        self,
        record: GroupRecord,
        revision: int,
        reports: dict[str, InstanceReport],
    ) -> Choice:
        terms = [max(r.term, r.fenced_term) for r in reports.values()]
        term = max([record.term, *terms]) + 1
        entries = self._state.entries
        old = entries.get(record.primary)
        replicas = [e for name, e in entries.items() if name != record.primary]
        end = None
        if old is not None and record.primary in reports:
            is_ready, end = await self._hand_over(old, replicas, revision, term)
            if not is_ready:
                return self._retain_old_primary(record, reports)
            if old.born_ms != record.primary_born_ms:
                # It has started again without its log.
                end = None
        fenced = await self._control.fence_all(replicas, term)
        if not await self._wait_relinquished(revision):
            return Choice(None, "another host took over the replacement")
        choice = choose_successor(
            {
                entry.name: Candidate(
                    entry.name,
                    fenced[entry.name].received,
                    entry.leaving,
                    entry.name in self._refused,
                )
                for entry in replicas
                if entry.name in fenced
            },
            self._find_silent(record, [e for e in replicas if e.name in fenced]),
            self._live_hosts.find_acknowledged_position(self._state.name, revision),
            self._find_limit(record, revision, end),
        )
        if choice.instance is None:
            await asyncio.gather(*(self._control.resume(entry) for entry in replicas))
        return choice

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
        if _names_primary(record):
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
        reported = None
        if _names_primary(record):
            reported = self._writers.find_limit(self._state.name, revision)
        limits = [limit for limit in (reported, end) if limit is not None]
        return min(limits, default=None)

    async def _hand_over(
        self,
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
            if answered and self._holds_acknowledged(old, reports, revision):
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
        self, old: InstanceEntry, reports: dict[str, InstanceReport], revision: int
    ) -> bool:
        limit = self._writers.find_limit(self._state.name, revision)
        if limit is None:
            return False
        others = [r for name, r in reports.items() if name != old.name]
        return any(report.received >= limit for report in others)

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

    async def _wait_relinquished(self, revision: int) -> bool:
        """Wait until no host uses the old primary.

        Returns:
            Whether that came true before another host took over the replacement.
        """
        while self._is_holder(revision):
            if self._live_hosts.all_relinquished(self._state.name, revision):
                return True
            if self._have_leases_ended(revision):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def _have_leases_ended(self, revision: int) -> bool:
        """Return whether hosts that are silent can't read the old primary any more."""
        claimed_for_s = now_s() - self._state.record_since_s
        if self._registration.is_new:
            return False
        if claimed_for_s < READ_LEASE_S + READ_LEASE_MARGIN_S:
            return False
        if claimed_for_s >= UNADOPTED_CLAIM_S:
            return True
        return self._live_hosts.is_adopted(self._state.name, revision)

    async def _promote(self, instance: str, revision: int) -> bool:
        chosen = self._state.entries.get(instance)
        while self._is_holder(revision):
            # A process that was suspended may no longer be the holder, and must not
            # promote after another host has. A read that the hosts share may be older
            # than the other host's claim.
            confirmed = await self._mirror.check(shared=False)
            if not confirmed or not self._is_holder(revision):
                await asyncio.sleep(RETRY_S)
                continue
            entry = self._state.entries.get(instance)
            if entry is None or chosen is None or entry.born_ms != chosen.born_ms:
                # It has started again without the log for which it was chosen.
                return False
            try:
                await self._promoter.promote(
                    self._state.name, instance, self._host, revision
                )
            except PromotionRefused as exc:
                self._refused.add(instance)
                self._log("promotion refused", None, reason=str(exc))
                return False
            except StoreUnavailable as exc:
                self._log("promotion unanswered", None, reason=str(exc))
                await asyncio.sleep(RETRY_S)
                continue
            return True
        return False

    async def _establish(self, leader: str) -> GroupRecord | None:
        until_s = now_s() + PROMOTION_EFFECT_S
        while now_s() < until_s:
            entry = self._state.entries.get(leader)
            if entry is None:
                return None
            report = await self._control.status(entry)
            if report is not None and report.is_primary:
                await self._resume_replicas(leader)
                self._log("primary settled", None, primary=leader, term=report.term)
                return GroupRecord(
                    Phase.STEADY,
                    leader,
                    entry.born_ms,
                    report.term,
                    self._host,
                    start=report.received,
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def _resume_replicas(self, leader: str) -> None:
        """Let the replicas that can be reached follow the new primary.

        The others are left to ``FollowerRepair``.
        """
        others = [e for n, e in self._state.entries.items() if n != leader]
        if not others:
            return
        resumed = [asyncio.ensure_future(self._control.resume(e)) for e in others]
        _, late = await asyncio.wait(resumed, timeout=RESUME_PATIENCE_S)
        for task in late:
            task.cancel()

    def _log(self, event: str, record: GroupRecord | None, **fields) -> None:
        self._decisions.belief(
            event,
            group=self._state.name,
            record=self._state.record_revision,
            old=record.primary if record else None,
            **fields,
        )


def _names_primary(record: GroupRecord) -> bool:
    """Return whether a record names the primary that is replaced.

    If not, the hosts have forgotten what they saw acknowledged, and every instance
    has to answer.
    """
    return record.primary != UNKNOWN_PRIMARY


def find_later_leader(
    record: GroupRecord, reports: Mapping[str, InstanceReport]
) -> str | None:
    """Return an instance that leads a later term than a record's primary, or None.

    A primary that was replaced earlier may still report itself primary, but at a lower
    term.

    Args:
        record: The group record.
        reports: The reports of the instances that answered, by name.
    """
    old = reports.get(record.primary)
    term = max(record.term, old.term if old is not None and old.is_primary else 0)
    leaders = {
        name: report.term
        for name, report in reports.items()
        if report.is_primary and name != record.primary and report.term > term
    }
    return max(leaders, key=leaders.get, default=None)


def find_restarted_primary(
    record: GroupRecord, reports: Mapping[str, InstanceReport]
) -> str | None:
    """Return a record's primary that runs again under another name, or None.

    It leads the same term, and has the longest log, which holds every commit that was
    acknowledged in this term.

    Args:
        record: The group record.
        reports: The reports of the instances that answered, by name.
    """
    if not record.term or record.primary in reports:
        return None
    needed = max([record.start, *(report.received for report in reports.values())])
    for name, report in reports.items():
        same_term = report.is_primary and report.term == record.term
        if same_term and report.received >= needed:
            return name
    return None


def _has_caught_up(old: InstanceEntry, reports: dict[str, InstanceReport]) -> bool:
    others = [report for name, report in reports.items() if name != old.name]
    end = reports.get(old.name)
    if end is None:
        return bool(others)
    return any(report.received >= end.received for report in others)
