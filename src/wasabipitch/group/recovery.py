"""Writes a group record again that the store lost when it was restored from a copy."""

import asyncio
import enum
from collections.abc import Callable, Iterable

from msgspec.structs import replace

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    GroupRecord,
    Phase,
    read_group_record,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.revisions import (
    find_epoch,
    find_number,
    make_revision,
)
from wasabipitch.coordination.store import ABSENT
from wasabipitch.exceptions import LinkDown, LinkError
from wasabipitch.group.instance_control import InstanceControl
from wasabipitch.group.state import GroupState
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import AskRecord, RecordReport
from wasabipitch.policy.recovery import (
    VERIFY_AFTER_S,
    KnownRecord,
    Recovery,
    decide_recovery,
    find_confirmed_leader,
    find_newest,
)
from wasabipitch.wire.codecs import InstanceCodec

# Some hundred round trips. A later answer counts as none.
ASK_TIMEOUT_S = 0.3
# Of a large fleet, the owners of the group and some others are asked.
MAX_ASKED = 24


def is_from_copy(record: GroupRecord, revision: int) -> bool:
    """Return whether a stored record was written before the store was restored.

    Args:
        record: The record.
        revision: Its revision in the store.
    """
    return record.epoch is not None and record.epoch != find_epoch(revision)


def report_record(state: GroupState | None, serves: bool) -> RecordReport:
    """Return the record that this host has in force for a host that asks."""
    if state is None or state.record is None:
        return RecordReport()
    return RecordReport(state.record, state.record_revision, serves)


class _NoAnswer(enum.Enum):
    """Why a peer gave no answer."""

    SILENT = "it may still run"
    STOPPED = "no process runs at its address"


class RecordRecovery:
    """Finds what to write over a group record that came back with a copy.

    Args:
        state: The state of the group on this host.
        mirror: The local copy of the store.
        codec: Encodes the messages to instances.
        links: The links to the peers.
        read_peers: Returns all other hosts, those that serve the group first.
        count_hosts: Returns the number of hosts that may run.
        serves: Returns whether this host serves the group.
        host: The incarnation of this host.
        decisions: The log of decisions.
    """

    def __init__(
        self,
        state: GroupState,
        mirror: StoreMirror,
        codec: InstanceCodec,
        links: PeerLinks,
        read_peers: Callable[[], Iterable[Host]],
        count_hosts: Callable[[], int],
        serves: Callable[[], bool],
        host: str,
        decisions: DecisionLog,
    ) -> None:
        self._state = state
        self._mirror = mirror
        self._codec = codec
        self._links = links
        self._read_peers = read_peers
        self._count_hosts = count_hosts
        self._serves = serves
        self._host = host
        self._decisions = decisions
        self._key = GROUPS_PREFIX + state.name

    @property
    def is_needed(self) -> bool:
        """Whether the group has a record, but the store none of its present epoch."""
        item = self._mirror.items.get(self._key)
        if item is None:
            record_revision = self._state.record_revision
            return self._state.record is not None and (
                not self._mirror.is_current(record_revision)
            )
        record = read_group_record(item)
        # Where another writer left something else, the record is written again.
        return record is None or is_from_copy(record, item.revision)

    @property
    def is_due(self) -> bool:
        """Whether this host may write the record again.

        A host without a record in force can't do so sooner than by the instances,
        unless the others do it before.
        """
        return self._state.record is not None or self._waited_s > VERIFY_AFTER_S

    @property
    def _waited_s(self) -> float:
        return now_s() - self._mirror.epoch_since_s

    @property
    def stored_revision(self) -> int:
        """The revision of the record in the store, or ``ABSENT``."""
        item = self._mirror.items.get(self._key)
        return ABSENT if item is None else item.revision

    async def fetch_newest(self) -> GroupRecord | None:
        """Return the newest record that any host or the store knows, or None."""
        known, _, _ = await self._ask_peers()
        return find_newest([*known, self._read_stored()]).record

    async def run(self) -> tuple[GroupRecord, bool] | None:
        """Find the record to write over the one in the store.

        Returns:
            The record, and whether it claims the replacement of the primary for this
            host, or None if no record can be written yet or none is known.
        """
        known, silent, asked = await self._ask_peers()
        newest = find_newest([*known, self._read_stored()]).record
        if newest is None:
            return None
        hosts = max(self._count_hosts(), asked + 1)
        recovery = decide_recovery(
            known, silent, min(hosts, MAX_ASKED + 1), self._waited_s
        )
        if recovery is Recovery.WAIT:
            return None
        if recovery is Recovery.VERIFY:
            verified = await self._fetch_verified(newest)
            claims = verified is None
            newest = verified or newest
        else:
            # The holder of a claim starts anew in any case, and may have ended.
            claims = recovery is Recovery.REPLACE or newest.phase is Phase.CHANGING
        self._decisions.belief(
            "group record recovered",
            group=self._state.name,
            primary=newest.primary,
            phase=newest.phase.value,
            reason=recovery.value,
            answers=len(known) - 1,
            silent=silent,
            claims=claims,
        )
        if claims:
            newest = replace(
                newest, phase=Phase.CHANGING, holder=self._host, may_have_orders=True
            )
        return newest, claims

    async def _ask_peers(self) -> tuple[list[KnownRecord], int, int]:
        """Ask the peers what they had in force.

        Returns:
            What this host and the peers that answered had in force, the number of
            peers that are silent, and the number of peers.
        """
        peers = list(self._read_peers())[:MAX_ASKED]
        answers = await asyncio.gather(*map(self._ask, peers))
        own = report_record(self._state, self._serves())
        reports = [own, *(a for a in answers if isinstance(a, RecordReport))]
        known = [KnownRecord(r.record, r.revision, r.serves) for r in reports]
        return known, answers.count(_NoAnswer.SILENT), len(peers)

    def _read_stored(self) -> KnownRecord:
        """Return the record that came back, under its revision in its own epoch."""
        item = self._mirror.items.get(self._key)
        if item is None:
            return KnownRecord(None)
        record = read_group_record(item)
        if record is None:
            return KnownRecord(None)
        number = find_number(item.revision)
        return KnownRecord(record, make_revision(record.epoch or 0, number))

    async def _fetch_verified(self, newest: GroupRecord) -> GroupRecord | None:
        """Return the record of the primary that all instances confirm, or None.

        Args:
            newest: The newest known record.
        """
        control = InstanceControl(self._codec)
        entries = self._state.entries
        try:
            reports = await control.fetch_reports(entries.values())
        finally:
            control.close()
        if set(reports) != set(entries):
            return None
        leader = find_confirmed_leader(
            {
                name: max(report.term, report.fenced_term, report.received.term)
                for name, report in reports.items()
            },
            {n: report.term for n, report in reports.items() if report.is_primary},
        )
        if leader is None:
            return None
        born_ms, term = entries[leader].born_ms, reports[leader].term
        verified = GroupRecord(Phase.STEADY, leader, born_ms, term)
        return newest if newest.names_same_primary(verified) else verified

    async def _ask(self, peer: Host) -> RecordReport | _NoAnswer:
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                link = self._links.find(peer)
                return await link.call(AskRecord(self._state.name), ASK_TIMEOUT_S)
        except (LinkError, RemoteError, TimeoutError) as exc:
            self._decisions.routine(
                "peer did not help", peer=peer.name, reason=str(exc)
            )
            cause = exc.__context__ or exc.__cause__
            refused = isinstance(cause, ConnectionRefusedError)
            stopped = isinstance(exc, LinkDown) and refused
            return _NoAnswer.STOPPED if stopped else _NoAnswer.SILENT
