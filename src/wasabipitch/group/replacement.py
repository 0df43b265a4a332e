"""Carries out the replacement of a group's primary."""

import asyncio
from collections.abc import Mapping

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import GroupRecord, InstanceEntry, Phase
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.presence import Presence
from wasabipitch.coordination.roster import Roster
from wasabipitch.coordination.store import Promoter
from wasabipitch.exceptions import PromotionRefused, StoreUnavailable
from wasabipitch.group.orders import InstanceOrders
from wasabipitch.group.state import GroupState
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.rights import READ_LEASE_S
from wasabipitch.policy.succession import Candidate, Choice, choose_successor
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import InstanceReport

STEP_S = 0.02
# Replicas of a primary that leaves are given this long to receive all it has.
CATCH_UP_S = 1.0
# Once every acknowledged commit is held, the others are waited for only so long:
# a commit reaches a replica within milliseconds, or its primary is cut off.
UNACKNOWLEDGED_S = 0.15
# A promotion takes some hundred ms; without effect for this long it is repeated.
EFFECT_S = 2.5
# Rights end by clocks that may tick a little apart.
RIGHT_MARGIN_S = 0.1
RETRY_S = 0.1


class Replacement:
    """One attempt of the host that holds a group's record as changing."""

    def __init__(
        self,
        state: GroupState,
        codec: InstanceCodec,
        promoter: Promoter,
        mirror: StoreMirror,
        roster: Roster,
        decisions: DecisionLog,
        host: str,
        presence: Presence,
    ) -> None:
        self._state = state
        self._presence = presence
        self._promoter = promoter
        self._mirror = mirror
        self._roster = roster
        self._decisions = decisions
        self._host = host
        self._orders = InstanceOrders(codec)
        self._refused: set[str] = set()

    async def run(self, record: GroupRecord) -> GroupRecord | None:
        """Return the record of the settled primary, or None if it was overtaken."""
        revision = self._state.record_revision
        try:
            while self._is_holder(revision):
                settled = await self._attempt(record, revision)
                if settled is not None:
                    return settled
                await asyncio.sleep(RETRY_S)
            return None
        finally:
            self._orders.close()

    def _is_holder(self, revision: int) -> bool:
        return self._state.record_revision == revision and self._state.is_changing

    async def _attempt(self, record: GroupRecord, revision: int) -> GroupRecord | None:
        reports = await self._orders.status_of(self._state.entries.values())
        leader = find_later_leader(record, reports)
        if leader is None:
            choice = await self._choose(record, revision, reports)
            leader = choice.instance
            if leader is None:
                self._log("no successor yet", record, reason=choice.reason)
                return None
            self._log("successor chosen", record, chosen=leader, reason=choice.reason)
            if leader != record.primary and not await self._promote(leader, revision):
                return None
        elif not await self._wait_given_up(revision):
            return None
        return await self._settle(leader)

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
        if old is not None and record.primary in reports:
            ready = await self._hand_over(old, replicas, revision, term)
            if not ready:
                return self._keep(record, reports)
        paused = await self._orders.pause_all(replicas, term)
        if not await self._wait_given_up(revision):
            return Choice(None, "overtaken")
        candidates = {
            entry.name: Candidate(
                entry.name, paused[entry.name].received, entry.leaving
            )
            for entry in replicas
            if entry.name in paused and entry.name not in self._refused
        }
        choice = choose_successor(
            candidates,
            [entry.name for entry in replicas if entry.name not in paused],
            self._roster.find_acknowledged(self._state.name, revision),
            self._roster.hosts_answered(self._state.name, revision),
        )
        if choice.instance is None:
            await asyncio.gather(*(self._orders.resume(entry) for entry in replicas))
        return choice

    async def _hand_over(
        self,
        old: InstanceEntry,
        replicas: list[InstanceEntry],
        revision: int,
        term: int,
    ) -> bool:
        """Let replicas receive all that a primary within reach has, then stop it.

        Returns:
            Whether a replica holds every acknowledged commit.
        """
        started_s = now_s()
        covered_since_s: float | None = None
        while True:
            reports = await self._orders.status_of([old, *replicas])
            answered = self._roster.hosts_answered(self._state.name, revision)
            if answered and _has_caught_up(old, reports):
                break
            if answered and self._holds_acknowledged(old, reports, revision):
                covered_since_s = covered_since_s or now_s()
                if now_s() - covered_since_s >= UNACKNOWLEDGED_S:
                    break
            if now_s() - started_s >= CATCH_UP_S:
                if not _has_caught_up(old, reports):
                    return False
                break
            await asyncio.sleep(STEP_S)
        await self._orders.step_down(old, term)
        return True

    def _holds_acknowledged(
        self, old: InstanceEntry, reports: dict[str, InstanceReport], revision: int
    ) -> bool:
        acknowledged = self._roster.find_acknowledged(self._state.name, revision)
        others = [r for name, r in reports.items() if name != old.name]
        return any(report.received >= acknowledged for report in others)

    def _keep(self, record: GroupRecord, reports: dict[str, InstanceReport]) -> Choice:
        """Name the old primary again: no replica could take over from it."""
        old = self._state.entries.get(record.primary)
        leads = reports[record.primary].is_primary
        if leads and old is not None and old.born_ms == record.primary_born_ms:
            return Choice(record.primary, "no replica holds all that it confirmed")
        return Choice(None, "no replica holds all that the old primary confirmed")

    async def _wait_given_up(self, revision: int) -> bool:
        """Wait until no host uses the old primary any more."""
        ends_s = self._state.record_since_s + READ_LEASE_S + RIGHT_MARGIN_S
        while self._is_holder(revision):
            if self._roster.hosts_answered(self._state.name, revision):
                return True
            if now_s() >= ends_s and not self._presence.is_new:
                return True
            await asyncio.sleep(STEP_S)
        return False

    async def _promote(self, instance: str, revision: int) -> bool:
        while self._is_holder(revision):
            # A holder that was suspended must not use its fence after another's.
            if not await self._mirror.check() or not self._is_holder(revision):
                await asyncio.sleep(RETRY_S)
                continue
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

    async def _settle(self, leader: str) -> GroupRecord | None:
        until_s = now_s() + EFFECT_S
        while now_s() < until_s:
            entry = self._state.entries.get(leader)
            if entry is None:
                return None
            report = await self._orders.status(entry)
            if report is not None and report.is_primary:
                await self._follow(leader, report.term)
                self._log("primary settled", None, primary=leader, term=report.term)
                return GroupRecord(
                    Phase.STEADY,
                    leader,
                    entry.born_ms,
                    report.term,
                    start=report.received,
                )
            await asyncio.sleep(STEP_S)
        return None

    async def _follow(self, leader: str, term: int) -> None:
        """Let the others receive from a primary, also one that it replaced."""
        others = [e for n, e in self._state.entries.items() if n != leader]
        await asyncio.gather(*(self._orders.resume(entry) for entry in others))
        reports = await self._orders.status_of(others)
        await asyncio.gather(
            *(
                self._orders.step_down(entry, term)
                for entry in others
                if entry.name in reports and reports[entry.name].is_primary
            )
        )

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

    A primary that was replaced before may still call itself one, at a lower term.
    """
    old = reports.get(record.primary)
    term = max(record.term, old.term if old is not None and old.is_primary else 0)
    leaders = {
        name: report.term
        for name, report in reports.items()
        if report.is_primary and name != record.primary and report.term > term
    }
    return max(leaders, key=leaders.get, default=None)


def _has_caught_up(old: InstanceEntry, reports: dict[str, InstanceReport]) -> bool:
    others = [report for name, report in reports.items() if name != old.name]
    end = reports.get(old.name)
    if end is None:
        return bool(others)
    return any(report.received >= end.received for report in others)
