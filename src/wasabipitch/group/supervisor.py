"""Watches a group's primary and replaces it after a failure.

Every host watches. The host that first writes a changing group record to the store
carries out the replacement.
"""

import asyncio
from collections.abc import Mapping

from msgspec.structs import replace

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    HEAD_KEY,
    RELINQUISHED_PREFIX,
    SUSPICIONS_PREFIX,
    UNKNOWN_PRIMARY,
    GroupRecord,
    InstanceEntry,
    Phase,
    RelinquishedRecord,
    SuspicionRecord,
    encode,
)
from wasabipitch.coordination.live_hosts import LiveHosts
from wasabipitch.coordination.members import GroupMembers, make_key
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.registration import HostRegistration
from wasabipitch.coordination.revisions import find_epoch
from wasabipitch.coordination.store import CoordinationStore, Promoter
from wasabipitch.coordination.writers import CommitWriters
from wasabipitch.exceptions import RecordConflict, StoreError, StoreUnavailable
from wasabipitch.group.bookkeeping import (
    MAX_HOSTS,
    SuccessionBookkeeping,
    encode_members,
    find_members,
)
from wasabipitch.group.instance_control import InstanceControl
from wasabipitch.group.recovery import RecordRecovery
from wasabipitch.group.repair import FollowerRepair
from wasabipitch.group.replacement import Replacement
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Dispatcher
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.quorum import MAX_QUORUM_HOSTS, READ_LEASE_MARGIN_S
from wasabipitch.policy.read_leases import READ_LEASE_S
from wasabipitch.policy.succession import (
    RANK_DELAY_S,
    TAKEOVER_S,
    Evidence,
    find_replacement_reason,
    rank,
)
from wasabipitch.policy.suspicion import PrimaryEvidence, find_doubt
from wasabipitch.verdict import Verdict
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import InstanceReport

STEP_INTERVAL_S = 0.1
# Work for a suspected primary is forwarded to peers for this long and then sent to it
# again, since only answers to work can end the suspicion.
AVOID_PRIMARY_S = 2.0
# A read-only refusal by the primary counts as evidence for this long.
READ_ONLY_EVIDENCE_S = 1.5
# Time for commits that were sent to a primary to end before it is relinquished.
COMMIT_WAIT_S = 0.15
COMMIT_POLL_S = 0.01
# A host whose copy of the store was confirmed longer ago than this neither creates a
# group record nor replaces a primary.
MAX_CONFIRMATION_AGE_S = 1.5


class GroupSupervisor:
    """Supervises one group on one host: reports, watches and replaces the primary."""

    def __init__(
        self,
        state: GroupState,
        dispatcher: Dispatcher,
        codec: InstanceCodec,
        store: CoordinationStore,
        promoter: Promoter,
        mirror: StoreMirror,
        registration: HostRegistration,
        live_hosts: LiveHosts,
        recovery: RecordRecovery,
        writers: CommitWriters,
        members: GroupMembers,
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._writers = writers
        self._members = members
        self._recovery = recovery
        self._dispatcher = dispatcher
        self._codec = codec
        self._store = store
        self._promoter = promoter
        self._mirror = mirror
        self._registration = registration
        self._live_hosts = live_hosts
        self._decisions = decisions
        self._record_key = GROUPS_PREFIX + state.name
        host = registration.record.incarnation
        self._host = host
        self._relinquished_key = f"{RELINQUISHED_PREFIX}{state.name}/{host}"
        self._suspicion_key = f"{SUSPICIONS_PREFIX}{state.name}/{host}"
        # The last report, and the lease with which it ends.
        self._relinquished: tuple[RelinquishedRecord, int] | None = None
        self._suspicion: SuspicionRecord | None = None
        self._suspicion_lease = 0
        self._reason_since_s: float | None = None
        # Since when the group has no record and not exactly one leader.
        self._leaderless_since_s: float | None = None
        # The revision of the last claim of this host over which it wrote a record
        # without getting an answer, or None.
        self._unanswered_revision: int | None = None
        # Repairs the followers of the primary that this host established last.
        self._repair: asyncio.Task | None = None
        self._bookkeeping = SuccessionBookkeeping(
            state, codec, store, mirror, writers, members, decisions
        )
        self._round: asyncio.Task | None = None

    async def run(self) -> None:
        """Supervise the group until cancelled."""
        try:
            while True:
                try:
                    await self._step()
                except StoreError as exc:
                    self._decisions.routine(
                        "keeper waits for the store",
                        group=self._state.name,
                        reason=str(exc),
                    )
                await self._state.wait_changed(STEP_INTERVAL_S)
        finally:
            for task in (self._repair, self._round):
                if task is not None:
                    task.cancel()

    async def _step(self) -> None:
        self._dispatcher.maintain()
        await self._report_relinquished()
        await self._report_suspicion()
        if now_s() - self._mirror.confirmed_at_s > MAX_CONFIRMATION_AGE_S:
            return
        record = self._state.record
        if self._recovery.is_needed:
            await self._recover_record()
        elif record is None:
            await self._create_record()
        elif record.phase is Phase.STEADY:
            self._keep_books(record)
            await self._watch_primary(record)
        elif record.holder == self._host:
            await self._replace_primary(record)
        else:
            await self._watch_holder(record)

    # Reports to the other hosts

    async def _report_relinquished(self) -> None:
        state = self._state
        if not state.is_changing:
            return
        # In a small fleet the hosts that don't serve the group count, too: by their
        # reports the replacing host knows who has adopted its claim.
        is_small = self._live_hosts.count_names() <= MAX_QUORUM_HOSTS
        may_serve = self._registration.may_serve(state.name)
        is_awaited = may_serve or self._writers.is_listed(state.name, self._host)
        if not is_awaited and not is_small:
            return
        revision, started_s = state.record_revision, now_s()
        if state.abandoned_revision < revision:
            await self._end_repair()
            await self._wait_for_commits()
            # The successor may be chosen as soon as the report is written. Answers of
            # the old primary that arrive later must not count as acknowledged.
            state.abandon_commits(revision)
        # Answers that arrive later change the report.
        report = (self._make_relinquished_record(revision), self._registration.lease)
        if self._relinquished == report:
            return
        await self._write(self._relinquished_key, report[0])
        self._relinquished = report
        self._decisions.belief(
            "primary relinquished",
            group=state.name,
            record=revision,
            acknowledged=str(report[0].acknowledged),
            covered=str(state.covered),
            unanswered=not report[0].is_answered,
            taken_s=round(now_s() - started_s, 3),
        )

    def _make_relinquished_record(self, revision: int) -> RelinquishedRecord:
        state = self._state
        return RelinquishedRecord(
            revision,
            state.acknowledged.term,
            state.acknowledged.index,
            state.covered.term,
            state.covered.index,
            state.unanswered.is_empty,
        )

    async def _end_repair(self) -> None:
        """End the repair of an earlier replacement, which ends fences of replicas."""
        if self._repair is not None:
            self._repair.cancel()
            await asyncio.gather(self._repair, return_exceptions=True)
            self._repair = None

    async def _wait_for_commits(self) -> None:
        until_s = now_s() + COMMIT_WAIT_S
        while self._state.commits_under_way and now_s() < until_s:
            await asyncio.sleep(COMMIT_POLL_S)

    async def _report_suspicion(self) -> None:
        suspicion = self._find_suspicion()
        if suspicion is not None:
            self._state.avoid_primary_until_s = now_s() + AVOID_PRIMARY_S
        lease = self._registration.lease
        is_new = suspicion != self._suspicion
        if not is_new and (suspicion is None or lease == self._suspicion_lease):
            return
        if suspicion is None:
            await self._store.commit({}, {}, [self._suspicion_key])
        else:
            await self._write(self._suspicion_key, suspicion)
        self._suspicion, self._suspicion_lease = suspicion, lease
        if not is_new:
            return
        self._decisions.belief(
            "primary doubted" if suspicion else "primary trusted",
            group=self._state.name,
            primary=self._state.primary,
            reason=suspicion.reason if suspicion else None,
        )

    def _find_suspicion(self) -> SuspicionRecord | None:
        state, at_s = self._state, now_s()
        pool = self._dispatcher.pools.get(state.primary or "")
        if pool is None:
            return None
        doubt = find_doubt(
            PrimaryEvidence(
                refused=not pool.open and pool.refused_at_s is not None,
                unreachable_for_s=_age(pool.failing_since_s, at_s),
                silent_for_s=_age(pool.silent_since_s, at_s),
                commit_for_s=_age(state.oldest_commit_s, at_s),
                fails_work=pool.failures.is_high(at_s),
                established_for_s=at_s - state.record_since_s,
            )
        )
        if doubt is None:
            return None
        return SuspicionRecord(state.record_revision, doubt.certain, doubt.reason)

    def _keep_books(self, record: GroupRecord) -> None:
        """Start a round of the bookkeeping if it is this host's turn."""
        running = self._round is not None and not self._round.done()
        if running or self._bookkeeping.is_pausing:
            return
        if not self._registration.is_serving(self._state.name):
            return
        if self._state.unanswered.is_settleable:
            # No other host knows what this one has sent.
            self._round = tasks.spawn(
                self._bookkeeping.settle(record), f"bookkeeping of {self._state.name}"
            )
            return
        if self._find_rank() >= MAX_HOSTS:
            return
        since_s = self._bookkeeping.find_work_since_s()
        if since_s is not None and self._is_rank_due(since_s):
            self._round = tasks.spawn(
                self._bookkeeping.run(record, self._state.record_revision),
                f"bookkeeping of {self._state.name}",
            )

    async def _write(self, key: str, record: object) -> None:
        lease = self._registration.lease
        await self._store.commit({}, {key: encode(record)}, (), lease)

    # Creation of the group record and replacement of the primary

    async def _create_record(self) -> None:
        leaders = [e for e in self._state.entries.values() if e.is_primary]
        if len(leaders) != 1:
            await self._claim_unknown_primary()
            return
        self._leaderless_since_s = None
        if not self._is_rank_due(self._mirror.reachable_since_s):
            return
        entry = leaders[0]
        revision = self._state.record_revision
        report = await self._fetch_leader_report(entry)
        if report is not None and report.is_primary:
            if await self._recovery.fetch_newest() is not None:
                # A restored store has no record, but a peer knows one.
                return
            term = report.term
            record = GroupRecord(Phase.STEADY, entry.name, entry.born_ms, term)
            await self._commit_record(record, revision, self._list_members())

    async def _claim_unknown_primary(self) -> None:
        """Replace a primary of which no record is left, if the group has no leader.

        A restored store may have lost the record of a replacement whose host ended
        after the old primary had stepped down.
        """
        since_s = max(
            self._leaderless_since_s or now_s(),
            self._mirror.reachable_since_s,
            self._mirror.epoch_since_s,
        )
        self._leaderless_since_s = since_s
        due = self._is_rank_due(since_s + TAKEOVER_S)
        if not due or not self._state.entries or not self._may_replace():
            return
        if await self._recovery.fetch_newest() is None:
            unknown = GroupRecord(Phase.STEADY, UNKNOWN_PRIMARY, 0, 0)
            await self._claim(unknown, "no instance leads, and no record is left")

    async def _fetch_leader_report(self, entry: InstanceEntry) -> InstanceReport | None:
        control = InstanceControl(self._codec)
        try:
            return await control.status(entry)
        finally:
            control.close()

    async def _recover_record(self) -> None:
        """Write the record again that the store lost when it was restored."""
        due = self._is_rank_due(self._mirror.epoch_since_s)
        if not due or not self._recovery.is_due:
            return
        stored_revision = self._recovery.stored_revision
        recovered = await self._recovery.run()
        if recovered is None:
            return
        record, claims = recovered
        if not claims or self._may_replace():
            await self._commit_record(record, stored_revision)

    async def _watch_primary(self, record: GroupRecord) -> None:
        reason = find_replacement_reason(self._gather_evidence(record))
        if reason is None:
            self._reason_since_s = None
            if record.epoch is None and self._is_rank_due(self._state.record_since_s):
                # A version that did not write the epoch established this primary.
                await self._commit_record(record, self._state.record_revision)
            return
        # The reason may have held for the primary before, too.
        since_s = max(self._reason_since_s or now_s(), self._state.record_since_s)
        self._reason_since_s = since_s
        if self._may_replace() and self._is_rank_due(since_s):
            await self._claim(record, reason)

    async def _watch_holder(self, record: GroupRecord) -> None:
        stuck_at_s = self._state.record_since_s + TAKEOVER_S
        if self._may_replace() and self._is_rank_due(stuck_at_s):
            await self._claim(
                record, f"{record.holder} has not finished the replacement"
            )

    def _may_replace(self) -> bool:
        """Return whether no host can have a read lease that this one does not know.

        Hosts that have lost the store extend their read leases by asking the hosts that
        they know. They may not know a host that registered recently, so such a host
        replaces a primary only if every host that may still run is registered. A copy
        of the store may lack hosts that registered since, whose leases end soon.
        """
        loaded_for_s = now_s() - self._mirror.epoch_since_s
        if not self._mirror.was_restored and (
            loaded_for_s < READ_LEASE_S + READ_LEASE_MARGIN_S
        ):
            return False
        return not self._registration.is_new or self._live_hosts.all_registered()

    def _is_rank_due(self, since_s: float) -> bool:
        return now_s() >= since_s + self._find_rank() * RANK_DELAY_S

    def _find_rank(self) -> int:
        """Return this host's rank for replacing the primary.

        The host that replaced it last comes first, so that hosts do not promote by
        turns while the list of those that serve the group changes. Owners follow.
        """
        name, hosts = self._state.name, self._live_hosts.hosts
        record = self._state.record
        last = record.holder if record and record.phase is Phase.STEADY else ""
        if last == self._host:
            return 0
        serving = self._live_hosts.list_serving_hosts(name) - {last}
        before = int(last in hosts)
        if self._host in serving:
            return before + rank(name, self._host, serving)
        return before + len(serving) + rank(name, self._host, hosts)

    def _gather_evidence(self, record: GroupRecord) -> Evidence:
        state = self._state
        entry = state.entries.get(record.primary)
        suspicions = self._live_hosts.find_suspicions(state.name, state.record_revision)
        known = entry is not None and entry.born_ms == record.primary_born_ms
        # The records may be read before changes that the watch still has to return.
        behind = self._mirror.received_revision < state.record_revision
        return Evidence(
            registered=known or behind,
            leaving=known and entry.leaving,
            demoted=known and self._is_demoted(),
            suspicions=len(suspicions),
            certain=any(suspicion.certain for suspicion in suspicions),
            hosts=len(state.owners),
        )

    def _is_demoted(self) -> bool:
        # Only the instance's own refusals count, because a registration may lag
        # behind a promotion.
        at_s = self._state.read_only_at_s
        return at_s is not None and now_s() - at_s < READ_ONLY_EVIDENCE_S

    async def _claim(self, old: GroupRecord, reason: str) -> None:
        self._decisions.belief(
            "replacing the primary",
            group=self._state.name,
            primary=old.primary,
            reason=reason,
            hosts=len(self._live_hosts.hosts),
        )
        is_taken_over = old.phase is Phase.CHANGING or old.primary == UNKNOWN_PRIMARY
        record = GroupRecord(
            Phase.CHANGING,
            old.primary,
            old.primary_born_ms,
            old.term,
            self._host,
            start=old.start,
            may_have_orders=is_taken_over,
        )
        await self._commit_record(record, self._state.record_revision)

    def _list_members(self) -> dict[str, bytes]:
        """Return the members to write with the group's first record."""
        name = self._state.name
        known = self._members.find(name).known
        members = known | find_members(self._state.entries)
        return {make_key(name): encode_members(members)}

    async def _commit_record(
        self,
        record: GroupRecord,
        revision: int,
        others: Mapping[str, bytes] | None = None,
    ) -> bool:
        """Replace the group record, and return whether that succeeded.

        Args:
            record: The new record.
            revision: The revision of the record on which the new one is based, which
                is older than the present one if another host wrote in the meantime.
            others: Values of other keys that are written with it.
        """
        epoch = self._mirror.epoch
        record = replace(record, epoch=epoch)
        expected = {self._record_key: revision}
        writes = {self._record_key: encode(record), HEAD_KEY: encode(self._state.name)}
        writes |= others or {}
        try:
            written = await self._store.commit(expected, writes)
        except RecordConflict:
            # Another host wrote the record first; the watch will deliver it.
            return False
        self._mirror.apply_writes(writes, written)
        # The record of a host that did not know of a restored store is not in force.
        return find_epoch(written) == epoch

    async def _replace_primary(self, record: GroupRecord) -> None:
        revision = self._state.record_revision
        if revision == self._unanswered_revision:
            # The store may still establish the primary of the last attempt while the
            # next one promotes another instance. After a new claim, it can't.
            await self._claim(record, "the end of the replacement got no answer")
            return
        replacement = Replacement(
            self._state,
            self._codec,
            self._promoter,
            self._mirror,
            self._live_hosts,
            self._decisions,
            self._host,
            self._registration,
            self._writers,
            self._members,
            self._report_relinquished,
        )
        established = await replacement.run(record)
        if established is None:
            return
        try:
            is_written = await self._commit_record(established, revision)
        except StoreUnavailable as exc:
            if exc.verdict is not Verdict.NOT_RUN:
                self._unanswered_revision = revision
            raise
        if is_written:
            self._repair = tasks.spawn(
                FollowerRepair(
                    self._state, self._codec, self._mirror, self._decisions
                ).run(established),
                f"repair of {self._state.name}",
            )


def _age(since_s: float | None, at_s: float) -> float | None:
    return None if since_s is None else at_s - since_s
