"""Watches a group's primary and replaces it, in agreement with all hosts."""

import asyncio

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    HEAD_KEY,
    RELINQUISHED_PREFIX,
    SUSPICIONS_PREFIX,
    GroupRecord,
    InstanceEntry,
    Phase,
    RelinquishedRecord,
    SuspicionRecord,
    encode,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.presence import HostRegistration
from wasabipitch.coordination.roster import LiveHosts
from wasabipitch.coordination.store import CoordinationStore, Promoter
from wasabipitch.exceptions import RecordConflict, StoreError
from wasabipitch.group.orders import InstanceOrders
from wasabipitch.group.replacement import Replacement
from wasabipitch.group.state import GroupState
from wasabipitch.instances.dispatcher import Dispatcher
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.succession import (
    TAKEOVER_S,
    TURN_S,
    Evidence,
    find_reason,
    rank,
)
from wasabipitch.wire.codecs import InstanceCodec
from wasabipitch.wire.messages import InstanceReport

TICK_S = 0.1
# A primary that can't be connected to, or answers nothing, for this long.
UNREACHABLE_S = 0.35
SILENT_S = 0.6
# Commits hang this long while other statements are answered.
HANGING_S = 0.6
# A primary that this host doubts is left to its peers for this long, and then tried
# again: without work there is nothing to trust it by.
AVOID_S = 2.0
# For this long a primary counts as one that said it takes no writes.
READ_ONLY_S = 1.5
# Commits under way at a primary that is given up may end within this time.
SETTLE_S = 0.15
SETTLE_STEP_S = 0.01
# Without the store's word for this long nothing is begun.
CONFIRMED_S = 1.5


class GroupKeeper:
    """One host's part in looking after one group."""

    def __init__(
        self,
        state: GroupState,
        dispatcher: Dispatcher,
        codec: InstanceCodec,
        store: CoordinationStore,
        promoter: Promoter,
        mirror: StoreMirror,
        presence: HostRegistration,
        roster: LiveHosts,
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._codec = codec
        self._store = store
        self._promoter = promoter
        self._mirror = mirror
        self._presence = presence
        self._roster = roster
        self._decisions = decisions
        self._key = GROUPS_PREFIX + state.name
        host = presence.record.incarnation
        self._host = host
        self._seen_key = f"{RELINQUISHED_PREFIX}{state.name}/{host}"
        self._doubt_key = f"{SUSPICIONS_PREFIX}{state.name}/{host}"
        self._seen_revision = 0
        self._doubt: SuspicionRecord | None = None
        self._reason_since_s: float | None = None

    async def run(self) -> None:
        """Look after the group; runs until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as exc:
                self._decisions.routine(
                    "keeper waits for the store",
                    group=self._state.name,
                    reason=str(exc),
                )
            await self._state.wait_changed(TICK_S)

    async def _step(self) -> None:
        self._dispatcher.keep_open()
        await self._report_seen()
        await self._report_doubt()
        if now_s() - self._mirror.confirmed_at_s > CONFIRMED_S:
            return
        record = self._state.record
        if record is None:
            await self._create()
        elif record.phase is Phase.STEADY:
            await self._watch_primary(record)
        elif record.holder == self._host:
            await self._carry_out(record)
        else:
            await self._watch_holder(record)

    # What this host tells the others

    async def _report_seen(self) -> None:
        state = self._state
        if not state.is_changing or self._seen_revision == state.record_revision:
            return
        if not self._presence.may_serve(state.name):
            return
        revision = state.record_revision
        await self._settle()
        # From here on an answer of the old primary counts as unknown.
        state.abandon_commits(revision)
        acknowledged = state.acknowledged
        record = RelinquishedRecord(revision, acknowledged.term, acknowledged.index)
        await self._write(self._seen_key, record)
        self._seen_revision = revision

    async def _settle(self) -> None:
        until_s = now_s() + SETTLE_S
        while self._state.commits_under_way and now_s() < until_s:
            await asyncio.sleep(SETTLE_STEP_S)

    async def _report_doubt(self) -> None:
        doubt = self._judge_primary()
        if doubt is not None:
            self._state.avoid_primary_until_s = now_s() + AVOID_S
        if doubt == self._doubt:
            return
        if doubt is None:
            await self._store.commit({}, {}, [self._doubt_key])
        else:
            await self._write(self._doubt_key, doubt)
        self._doubt = doubt
        self._decisions.belief(
            "primary doubted" if doubt else "primary trusted",
            group=self._state.name,
            primary=self._state.primary,
            reason=doubt.reason if doubt else None,
        )

    def _judge_primary(self) -> SuspicionRecord | None:
        state, at_s = self._state, now_s()
        pool = self._dispatcher.pools.get(state.primary or "")
        if pool is None:
            return None
        if not pool.open and pool.refused_at_s is not None:
            return SuspicionRecord(state.record_revision, True, "connection refused")
        if _is_older(pool.failing_since_s, at_s, UNREACHABLE_S):
            return SuspicionRecord(state.record_revision, False, "unreachable")
        if _is_older(pool.silent_since_s, at_s, SILENT_S):
            return SuspicionRecord(state.record_revision, False, "silent")
        if pool.failures.is_high(at_s):
            return SuspicionRecord(
                state.record_revision, False, "fails part of its work"
            )
        if _is_older(state.oldest_commit_s, at_s, HANGING_S):
            return SuspicionRecord(state.record_revision, False, "commits hang")
        return None

    async def _write(self, key: str, record: object) -> None:
        lease = self._presence.lease
        await self._store.commit({}, {key: encode(record)}, (), lease)

    # Creating and replacing

    async def _create(self) -> None:
        leaders = [e for e in self._state.entries.values() if e.is_primary]
        if len(leaders) != 1 or not self._is_my_turn(self._mirror.reachable_since_s):
            return
        entry = leaders[0]
        report = await self._ask_leader(entry)
        if report is not None and report.is_primary:
            term = report.term
            record = GroupRecord(Phase.STEADY, entry.name, entry.born_ms, term)
            await self._commit_record(record)

    async def _ask_leader(self, entry: InstanceEntry) -> InstanceReport | None:
        orders = InstanceOrders(self._codec)
        try:
            return await orders.status(entry)
        finally:
            orders.close()

    async def _watch_primary(self, record: GroupRecord) -> None:
        reason = find_reason(self._gather_evidence(record))
        if reason is None:
            self._reason_since_s = None
            return
        if self._reason_since_s is None:
            self._reason_since_s = now_s()
        if self._may_replace() and self._is_my_turn(self._reason_since_s):
            await self._claim(record, reason)

    async def _watch_holder(self, record: GroupRecord) -> None:
        stuck_at_s = self._state.record_since_s + TAKEOVER_S
        if self._may_replace() and self._is_my_turn(stuck_at_s):
            await self._claim(record, f"{record.holder} has not ended it")

    def _may_replace(self) -> bool:
        # While it is new, a host that lost the store may not count on it.
        return not self._presence.is_new or self._roster.all_registered()

    def _is_my_turn(self, since_s: float) -> bool:
        return now_s() >= since_s + self._find_place() * TURN_S

    def _find_place(self) -> int:
        """Return this host's turn; those that serve the group come first."""
        name = self._state.name
        serving = self._roster.list_serving_hosts(name)
        if self._host in serving:
            return rank(name, self._host, serving)
        return len(serving) + rank(name, self._host, self._roster.hosts)

    def _gather_evidence(self, record: GroupRecord) -> Evidence:
        state = self._state
        entry = state.entries.get(record.primary)
        doubts = self._roster.find_suspicions(state.name, state.record_revision)
        registered = entry is not None and entry.born_ms == record.primary_born_ms
        return Evidence(
            registered=registered,
            leaving=registered and entry.leaving,
            demoted=registered and self._is_demoted(),
            doubts=len(doubts),
            certain=any(doubt.certain for doubt in doubts),
            hosts=len(state.owners),
        )

    def _is_demoted(self) -> bool:
        # Only its own answers count: registrations may lag behind a promotion.
        at_s = self._state.read_only_at_s
        return at_s is not None and now_s() - at_s < READ_ONLY_S

    async def _claim(self, old: GroupRecord, reason: str) -> None:
        self._decisions.belief(
            "replacing the primary",
            group=self._state.name,
            primary=old.primary,
            reason=reason,
            hosts=len(self._roster.hosts),
        )
        record = GroupRecord(
            Phase.CHANGING, old.primary, old.primary_born_ms, old.term, self._host
        )
        await self._commit_record(record)

    async def _commit_record(self, record: GroupRecord) -> None:
        expected = {self._key: self._state.record_revision}
        writes = {self._key: encode(record), HEAD_KEY: encode(self._state.name)}
        try:
            revision = await self._store.commit(expected, writes)
        except RecordConflict:
            # Another host was first; the watch brings its record.
            return
        self._mirror.apply_writes(writes, revision)

    async def _carry_out(self, record: GroupRecord) -> None:
        replacement = Replacement(
            self._state,
            self._codec,
            self._promoter,
            self._mirror,
            self._roster,
            self._decisions,
            self._host,
            self._presence,
        )
        done = await replacement.run(record)
        if done is not None:
            await self._commit_record(done)


def _is_older(since_s: float | None, at_s: float, limit_s: float) -> bool:
    return since_s is not None and at_s - since_s > limit_s
