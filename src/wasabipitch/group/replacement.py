"""Carries out the replacement of a group's primary: failover or switchover.

A leader is an instance that reports itself as primary. It becomes the established
primary once a group record names it.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    GroupRecord,
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
from wasabipitch.group.bookkeeping import find_members
from wasabipitch.group.choice import POLL_INTERVAL_S, SuccessorChoice, names_primary
from wasabipitch.group.instance_control import InstanceControl
from wasabipitch.group.state import GroupState
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.quorum import (
    COMMAND_LEASE_S,
    READ_LEASE_MARGIN_S,
    UNADOPTED_CLAIM_S,
)
from wasabipitch.policy.read_leases import READ_LEASE_S
from wasabipitch.policy.recovery import VERIFY_AFTER_S
from wasabipitch.policy.succession import Choice
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import InstanceReport

# A promotion takes some hundred ms; it is repeated after this long without effect.
PROMOTION_EFFECT_S = 2.5
# A primary that fails has mostly fallen silent, and its report is not waited for. One
# that leaves must report, since its replicas have to catch up with it.
REPORT_PATIENCE_S = 0.2
# A command takes some 15 ms, unless the instance can't be reached.
RESUME_PATIENCE_S = 0.1
RETRY_S = 0.1
# A replacement that waits for the same instances is logged again after this time.
LOG_AGAIN_S = 2.0


class Replacement:
    """Replaces the primary on the host that claimed the replacement.

    Args:
        host: The incarnation of this host, the holder in the group record.
        report: Writes this host's own report on the replacement again if it has
            changed, as an answer that was read late changes it.
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
        report: Callable[[], Awaitable[None]],
    ) -> None:
        self._state = state
        self._report = report
        self._registration = registration
        self._promoter = promoter
        self._mirror = mirror
        self._live_hosts = live_hosts
        self._decisions = decisions
        self._host = host
        self._control = InstanceControl(codec)
        self._choice = SuccessorChoice(
            state,
            self._control,
            live_hosts,
            writers,
            members,
            self._wait_relinquished,
            self._may_command,
        )
        self._refused: set[str] = set()
        # The last reason that was logged for a wait, and when it is logged again.
        self._logged_reason = ""
        self._log_again_s = 0.0

    async def run(self, record: GroupRecord) -> GroupRecord | None:
        """Replace the primary.

        Returns:
            The record of the established primary, or None if another host took over
            the replacement.
        """
        revision = self._state.record_revision
        try:
            while self._is_holder(revision):
                await self._report()
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

    async def _may_command(self, revision: int) -> bool:
        """Return whether no other host can have acted on a later claim.

        A process that was suspended may have been taken over without knowing it.
        """
        if not self._mirror.is_confirmed_within(COMMAND_LEASE_S):
            await self._mirror.check(shared=False)
        recent = self._mirror.is_confirmed_within(COMMAND_LEASE_S)
        return recent and self._is_holder(revision)

    async def _attempt(self, record: GroupRecord, revision: int) -> GroupRecord | None:
        if not self._have_orders_ended(record):
            self._log_waiting(record, Choice(None, "earlier orders may take effect"))
            return None
        reports = await self._fetch_reports(record)
        if not names_primary(record) and set(reports) != set(self._state.entries):
            # The instance that has not answered may lead a later term.
            self._log_waiting(record, Choice(None, "an instance has not answered"))
            return None
        leader = find_later_leader(record, reports)
        if leader is None and self._may_lead_on(record, reports):
            leader = find_restarted_primary(record, reports)
        if leader is not None:
            if not await self._wait_relinquished(revision):
                return None
        else:
            leader = await self._replace(record, revision, reports)
            if leader is None:
                return None
        return await self._establish(leader, revision)

    async def _replace(
        self, record: GroupRecord, revision: int, reports: dict[str, InstanceReport]
    ) -> str | None:
        """Choose the next primary and promote it; return its name, or None."""
        asked = find_members(self._state.entries)
        choice = await self._choice.run(record, revision, reports, self._refused)
        leader = choice.instance
        leads_on = leader == record.primary
        if leads_on and not self._may_lead_on(record, reports):
            choice = Choice(None, "an instance that may lead has not answered")
        if choice.instance is None:
            self._log_waiting(record, choice)
            return None
        self._log(
            "successor chosen",
            record,
            chosen=leader,
            reason=choice.reason,
            **choice.inputs,
        )
        if leads_on or await self._promote(leader, revision, asked):
            return leader
        return None

    def _have_orders_ended(self, record: GroupRecord) -> bool:
        """Return whether all promotions that were ordered before have taken effect.

        Whichever instance leads until one of them does acknowledges commits that the
        promoted instance lacks.
        """
        at_s = self._state.ordered_at_s
        if record.may_have_orders:
            at_s = max(at_s, self._state.record_since_s)
        return now_s() - at_s >= VERIFY_AFTER_S

    def _may_lead_on(
        self, record: GroupRecord, reports: Mapping[str, InstanceReport]
    ) -> bool:
        """Return whether no instance that was ordered to lead may be silent."""
        if not record.may_have_orders and self._state.ordered_at_s == -math.inf:
            return True
        return set(reports) >= set(self._state.entries)

    async def _fetch_reports(self, record: GroupRecord) -> dict[str, InstanceReport]:
        old = self._state.entries.get(record.primary)
        planned = old is not None and old.leaving
        return await self._control.fetch_reports(
            self._state.entries.values(), None if planned else REPORT_PATIENCE_S
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

    async def _promote(
        self, instance: str, revision: int, asked: frozenset[Member]
    ) -> bool:
        while self._is_holder(revision):
            # A process that was suspended may no longer be the holder, and must not
            # promote after another host has. A read that the hosts share may be older
            # than the other host's claim.
            confirmed = await self._mirror.check(shared=False)
            # The answer may have been waiting here while the process was suspended.
            recent = self._mirror.is_confirmed_within(COMMAND_LEASE_S)
            if not (confirmed and recent and self._is_holder(revision)):
                await asyncio.sleep(RETRY_S)
                continue
            registered = find_members(self._state.entries)
            if not registered <= asked or not any(
                member.name == instance for member in registered
            ):
                # An instance that was not fenced may confirm commits of the old
                # primary, and one that has started again has lost its log.
                return False
            ordered_at_s = self._state.ordered_at_s
            self._state.ordered_at_s = now_s()
            try:
                await self._promoter.promote(
                    self._state.name, instance, self._host, revision
                )
            except PromotionRefused as exc:
                self._state.ordered_at_s = ordered_at_s
                self._refused.add(instance)
                self._log("promotion refused", None, reason=str(exc))
                return False
            except StoreUnavailable as exc:
                self._state.ordered_at_s = now_s()
                self._log("promotion unanswered", None, reason=str(exc))
                await asyncio.sleep(RETRY_S)
                continue
            return True
        return False

    async def _establish(self, leader: str, revision: int) -> GroupRecord | None:
        until_s = now_s() + PROMOTION_EFFECT_S
        while now_s() < until_s and self._is_holder(revision):
            entry = self._state.entries.get(leader)
            if entry is None:
                return None
            report = await self._control.status(entry)
            if report is not None and report.is_primary:
                if await self._may_command(revision):
                    await self._resume_replicas(leader)
                self._log(
                    "primary settled",
                    None,
                    primary=leader,
                    term=report.term,
                    start=str(report.received),
                )
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

    def _log_waiting(self, record: GroupRecord, choice: Choice) -> None:
        """Log why no instance can be promoted, when that changes or after a while."""
        at_s = now_s()
        if choice.reason == self._logged_reason and at_s < self._log_again_s:
            return
        self._logged_reason, self._log_again_s = choice.reason, at_s + LOG_AGAIN_S
        self._log("no successor yet", record, reason=choice.reason, **choice.inputs)

    def _log(self, event: str, record: GroupRecord | None, **fields) -> None:
        self._decisions.belief(
            event,
            group=self._state.name,
            record=self._state.record_revision,
            old=record.primary if record else None,
            **fields,
        )


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
