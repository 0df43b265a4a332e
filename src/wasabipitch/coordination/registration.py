"""A host's own registration in the store, under a lease."""

import asyncio
import logging
import math
from collections.abc import Callable, Iterable

import msgspec

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    HOSTS_PREFIX,
    NAMED_KEY,
    NAMES_PREFIX,
    SERVING_PREFIX,
    SETTLED_PREFIX,
    WRITERS_PREFIX,
    HostRecord,
    WriterRecord,
    decode,
    encode,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import CoordinationStore, Item
from wasabipitch.exceptions import LeaseEnded, RecordConflict, StoreError
from wasabipitch.policy.quorum import MAX_STORE_OUTAGE_S

# The registration lapses after three failed renewals.
HOST_LEASE_S = 6.0
RENEW_INTERVAL_S = 2.0
# A registration is marked as settled after this time without interruption. By then no
# host counts operations any more on a copy that lacks it, see ``accounts.limits``.
SETTLE_S = 2.5
# A host whose registration was renewed longer ago than this uses no primary. Others
# that can't see it take it for ended 32 s after the renewal at the earliest, and answer
# for the commits that it sent before.
MAX_REGISTRATION_AGE_S = 30.0
RETRY_S = 0.1
RETRY_POLL_S = 0.05
MAX_RETRY_S = 1.5
# A host's last transactions in a group that it no longer serves end within the idle
# timeout of transactions, which is a few seconds.
DROPPED_GROUP_RETENTION_S = 10.0
# The store accepts at most 32 keys in one commit.
MAX_KEYS_PER_COMMIT = 30
# A group takes two keys, and the host and its name take three more.
MAX_GROUPS_PER_COMMIT = 14
ACTIVE_WRITER = encode(WriterRecord())
ENDED_WRITER = encode(WriterRecord(ended=True))

logger = logging.getLogger(__name__)


class HostRegistration:
    """Registers the host and the groups that it serves, and renews its lease.

    Args:
        store: The store.
        mirror: The local copy of the store, which shows what is registered.
        record: The host's registration.
    """

    def __init__(
        self, store: CoordinationStore, mirror: StoreMirror, record: HostRecord
    ) -> None:
        self.record = record
        self.key = HOSTS_PREFIX + record.incarnation
        # The lease of all keys of this host but its name; 0 before the first one. It
        # may have ended.
        self.lease = 0
        # The time of the first registration, or of the first one after a gap longer
        # than ``MAX_STORE_OUTAGE_S``.
        self.registered_since_s = math.inf
        # When the call was made by which the lease was opened or last renewed, or 0.
        self._lease_at_s = 0.0
        # Since when the store has listed this host without interruption.
        self._listed_since_s = math.inf
        # Whether this run took over the settled registration of an earlier one, and
        # has been listed ever since.
        self._is_successor = False
        # The revision of the first registration, until the copy has reached it.
        self._first_revision = 0
        # Whether registrations are marked as settled, which takes a call for each run.
        self.needs_settling: Callable[[], bool] = lambda: False
        self._store = store
        self._mirror = mirror
        self._name_key = NAMES_PREFIX + record.name
        # The last revision at which another run of this host was registered.
        self._earlier_run_revision = 0
        # When the call was made by which the registration was last renewed, or 0.
        self._registered_at_s = 0.0
        # The groups that this host serves, and the times of their registrations.
        self._groups: frozenset[str] = frozenset()
        self._serving_since_s: dict[str, float] = {}
        # The times at which groups were dropped whose registrations still exist.
        self._dropped_at_s: dict[str, float] = {}
        # The dropped groups whose registrations are being removed.
        self._retired: set[str] = set()
        self._incomplete = asyncio.Event()
        self._needs_lease = True
        # The lease under which all keys were written.
        self._written_lease = 0
        self._leaving = False
        mirror.subscribe(self._update)
        mirror.on_restored(self._replace_lease)

    async def run(self) -> None:
        """Register, and register again when a key is missing, until cancelled."""
        while True:
            try:
                self._incomplete.clear()
                await self._register()
                # Start the read leases at once.
                await self._mirror.check(shared=False)
                await self._renew_while_complete()
            except LeaseEnded as exc:
                logger.warning("registering the host again: %s", exc)
            except StoreError as exc:
                logger.warning("host registration failed: %s", exc)
                await self._wait_for_store()

    async def _wait_for_store(self) -> None:
        """Wait until the store answers other calls, at most ``MAX_RETRY_S``.

        Refused calls are billed, and the checks of the local copy find out when the
        store is back.
        """
        await asyncio.sleep(RETRY_S)
        until_s = now_s() + MAX_RETRY_S
        while not self._mirror.is_reachable and now_s() < until_s:
            await asyncio.sleep(RETRY_POLL_S)

    async def leave(self) -> None:
        """Remove all keys of this host, so that no host waits for its lease to end."""
        self._leaving = True
        keys = [
            self.key,
            self._name_key,
            *map(self._serving_key, self._list_registered_groups()),
        ]
        writes = {NAMED_KEY: encode(self.record.name)}
        for start in range(0, len(keys), MAX_KEYS_PER_COMMIT):
            chunk = keys[start : start + MAX_KEYS_PER_COMMIT]
            await self._store.commit({}, writes, chunk)
            writes = {}

    def serve(self, groups: Iterable[str]) -> None:
        """Set the groups that this host serves.

        A dropped group stays registered for ``DROPPED_GROUP_RETENTION_S``, while this
        host's last transactions in it end.
        """
        groups = frozenset(groups)
        if groups == self._groups:
            return
        at_s = now_s()
        for group in self._groups - groups:
            self._dropped_at_s[group] = at_s
        for group in groups:
            self._dropped_at_s.pop(group, None)
            self._retired.discard(group)
        self._groups = groups
        self._incomplete.set()

    def may_serve(self, group: str) -> bool:
        """Return whether the store may still list this host as serving a group."""
        return group in self._groups or group in self._dropped_at_s

    def is_serving(self, group: str) -> bool:
        """Return whether this host may use a group's primary.

        The host that replaces the group's primary waits for the hosts that were listed
        before its claim to relinquish it and to report what they saw acknowledged. So a
        host must be listed, and know each claim that was written before. A host that is
        cut off or was suspended may have been dropped from the list as ended.
        """
        is_recent = now_s() - self._registered_at_s <= MAX_REGISTRATION_AGE_S
        if not is_recent or not self._is_listed(group):
            return False
        listed = self._mirror.items[self._writer_key(group)]
        return self._mirror.holds_group_records(listed.revision)

    def _is_listed(self, group: str) -> bool:
        """Return whether the store lists this host as serving a group."""
        if group in self._retired or not self._is_writer(group):
            return False
        return self._serving_key(group) in self._mirror.items

    def _is_writer(self, group: str) -> bool:
        """Return whether the store lists this host as one that acknowledges commits."""
        item = self._mirror.items.get(self._writer_key(group))
        return item is not None and item.value == ACTIVE_WRITER

    @property
    def is_new(self) -> bool:
        """Whether a host that is cut off from the store may not know this one yet."""
        return now_s() - self.registered_since_s < MAX_STORE_OUTAGE_S + RENEW_INTERVAL_S

    def validate_confirmation(self, group: str, at_s: float) -> float:
        """Return a confirmation's time, or 0 if it starts no read lease.

        The host that replaces a primary waits for the hosts registered as serving
        its group. So a confirmation counts only if its read was sent after this host
        was registered.

        Args:
            group: The group whose primary is to be read.
            at_s: The time as of which the local copy is confirmed.
        """
        if self.key not in self._mirror.items or not self.is_serving(group):
            return 0.0
        serving_since_s = self._serving_since_s.get(group, math.inf)
        return at_s if at_s >= max(self.registered_since_s, serving_since_s) else 0.0

    @property
    def listed_since_s(self) -> float:
        """Since when the store has listed this host without interruption.

        Infinity while it may not be listed.
        """
        if self._needs_lease or self._leaving or self.key not in self._mirror.items:
            return math.inf
        return self._listed_since_s

    @property
    def listed_until_s(self) -> float:
        """Until when the lease of the registration can't end."""
        return self._lease_at_s + HOST_LEASE_S if self._lease_at_s else 0.0

    @property
    def is_successor(self) -> bool:
        """Whether this host was listed before its start, without interruption."""
        self._look_for_predecessor()
        return self._is_successor and self.listed_since_s < math.inf

    def _look_for_predecessor(self) -> None:
        """Look for an earlier run that was listed when this one was registered.

        A host registers while it still loads the store. An earlier run that the copy
        contains at the revision of the registration, or later, was listed until then.
        """
        revision = self._first_revision
        if not revision or not self._mirror.loaded.is_set():
            return
        if self._mirror.received_revision >= revision:
            self._first_revision = 0
            predecessor = self._find_predecessor()
            # A call of the earlier run may have been executed late.
            self._is_successor = (
                predecessor is not None and predecessor.revision < revision
            )

    def _find_predecessor(self) -> Item | None:
        """Return the settled registration of an earlier run, or None.

        The mark of another epoch came back with a copy of the store, and a host of
        another strength has another rank.
        """
        for key, item in self._mirror.items.items():
            if not self._is_of_earlier_run(key):
                continue
            try:
                record = decode(item.value, HostRecord)
            except msgspec.MsgspecError:
                continue
            strength = (record.cores, record.link_mbps)
            if self._is_settled(item) and strength == (
                self.record.cores,
                self.record.link_mbps,
            ):
                return item
        return None

    @property
    def is_settled(self) -> bool:
        """Whether this run's registration is marked as settled."""
        own = self._mirror.items.get(self.key)
        return own is not None and self._is_settled(own)

    def _is_settled(self, item: Item) -> bool:
        """Return whether a registration was marked after it was last written."""
        incarnation = item.key.removeprefix(HOSTS_PREFIX)
        mark = self._mirror.items.get(SETTLED_PREFIX + incarnation)
        return (
            mark is not None
            and mark.value == encode(self._mirror.epoch)
            and mark.revision > item.revision
        )

    async def _settle(self) -> None:
        """Mark the registration as settled, again after it was written again."""
        own = self._mirror.items.get(self.key)
        is_due = now_s() - self.listed_since_s >= SETTLE_S and own is not None
        if not is_due or self.is_settled or not self.needs_settling():
            return
        mark = encode(self._mirror.epoch)
        writes = {SETTLED_PREFIX + self.record.incarnation: mark}
        try:
            expected = {self.key: own.revision}
            revision = await self._store.commit(expected, writes, (), self.lease)
        except RecordConflict:
            # The store was restored or the key was written by another program; a later
            # call finds the new revision.
            return
        self._mirror.apply_writes(writes, revision)

    def _serving_key(self, group: str) -> str:
        return f"{SERVING_PREFIX}{group}/{self.record.incarnation}"

    def _writer_key(self, group: str) -> str:
        return f"{WRITERS_PREFIX}{group}/{self.record.incarnation}"

    def _list_registered_groups(self) -> set[str]:
        return {*self._groups, *self._dropped_at_s}

    def _replace_lease(self) -> None:
        """Take a new lease, since a restored store may give the old one to others."""
        self._end_listing()
        self._needs_lease = True
        self._incomplete.set()

    async def _register(self) -> None:
        if self._needs_lease:
            # Cleared first, since the store may be restored again meanwhile.
            self._needs_lease = False
            opened_at_s = now_s()
            try:
                self.lease = await self._store.open_lease(HOST_LEASE_S)
            except StoreError:
                self._needs_lease = True
                raise
            self._lease_at_s = opened_at_s
        try:
            await self._write()
        except LeaseEnded:
            self._end_listing()
            self._needs_lease = True
            raise

    def _end_listing(self) -> None:
        """Record that the store may not list this host any more."""
        self._listed_since_s = math.inf
        self._is_successor = False
        self._first_revision = 0

    async def _write(self) -> None:
        started_s = now_s()
        lease = self.lease
        if self.key not in self._mirror.items:
            self._end_listing()
        is_first = not self._written_lease
        predecessor = self._find_predecessor() if is_first else None
        lasting = {}
        if self._name_key not in self._mirror.items:
            name = encode(self.record.name)
            lasting = {self._name_key: name, NAMED_KEY: name}
        missing = [group for group in self._groups if not self._is_listed(group)]
        # Keys that are left at an earlier lease would end with it.
        writes_all = lease != self._written_lease or self._is_displaced
        groups = list(self._list_registered_groups() if writes_all else missing)
        for start in range(0, max(1, len(groups)), MAX_GROUPS_PER_COMMIT):
            chunk = groups[start : start + MAX_GROUPS_PER_COMMIT]
            writes = {self._serving_key(group): encode(group) for group in chunk}
            expected = {}
            for group in chunk:
                if not self._is_writer(group):
                    lasting[self._writer_key(group)] = ACTIVE_WRITER
            if start + MAX_GROUPS_PER_COMMIT >= len(groups):
                # The host's own key comes last: where it exists, the groups are
                # registered.
                writes[self.key] = encode(self.record)
                # The earlier run is listed until this one is.
                if predecessor is not None:
                    expected[predecessor.key] = predecessor.revision
            try:
                revision = await self._store.commit(
                    expected, writes, (), lease, lasting
                )
            except RecordConflict:
                predecessor = None
                revision = await self._store.commit({}, writes, (), lease, lasting)
            # The read leases need not wait until a watch returns the keys.
            self._mirror.apply_writes(writes | lasting, revision)
            lasting = {}
        self._written_lease = lease
        self._record_registration(started_s)
        at_s = now_s()
        self._listed_since_s = min(self._listed_since_s, at_s)
        if is_first:
            self._is_successor = predecessor is not None
            self._first_revision = 0 if predecessor else revision
        self._serving_since_s.update(dict.fromkeys(missing, at_s))

    async def _remove_dropped(self) -> None:
        at_s = now_s()
        ended = [
            group
            for group, dropped_s in self._dropped_at_s.items()
            if at_s - dropped_s > DROPPED_GROUP_RETENTION_S
        ]
        if not ended:
            return
        ended = ended[:MAX_GROUPS_PER_COMMIT]
        # No commit is acknowledged after the group is marked.
        self._retired.update(ended)
        items = self._mirror.items
        writers = [key for key in map(self._writer_key, ended) if key in items]
        await self._store.commit(
            {key: items[key].revision for key in writers},
            dict.fromkeys(writers, ENDED_WRITER),
            [self._serving_key(group) for group in ended],
        )
        for group in ended:
            self._dropped_at_s.pop(group, None)
            self._serving_since_s.pop(group, None)

    def _record_registration(self, started_s: float) -> None:
        """Record that the store has renewed the registration.

        Args:
            started_s: The time before the call to the store.
        """
        at_s = now_s()
        if at_s - self._registered_at_s > MAX_STORE_OUTAGE_S:
            self.registered_since_s = at_s
        self._registered_at_s = started_s

    def _is_complete(self) -> bool:
        items = self._mirror.items
        if self.key not in items or self._name_key not in items:
            return False
        return not self._is_displaced and all(map(self._is_listed, self._groups))

    @property
    def _is_displaced(self) -> bool:
        """Whether an earlier run's registration was written after that of this run."""
        own = self._mirror.items.get(self.key)
        return own is not None and own.revision < self._earlier_run_revision

    def _is_of_earlier_run(self, key: str) -> bool:
        if not key.startswith(HOSTS_PREFIX) or key == self.key:
            return False
        name = key.removeprefix(HOSTS_PREFIX).rpartition(".")[0]
        return name == self.record.name

    def _update(self, key: str, item: Item | None) -> None:
        if self._leaving:
            return
        is_own = key.endswith(self.record.incarnation) or key == self._name_key
        is_lost = item is None or item.value == ENDED_WRITER
        if item is not None and self._is_of_earlier_run(key):
            # A call that got no answer may be executed seconds later. The others take
            # the run that registered last for the one that runs.
            self._earlier_run_revision = max(self._earlier_run_revision, item.revision)
            is_lost = is_own = self._is_displaced
        if is_lost and is_own and not self._is_complete():
            self._incomplete.set()

    async def _sleep_while_complete(self) -> None:
        try:
            async with asyncio.timeout(RENEW_INTERVAL_S):
                await self._incomplete.wait()
        except TimeoutError:
            return
        self._incomplete.clear()

    async def _renew_while_complete(self) -> None:
        while True:
            await self._sleep_while_complete()
            if self._needs_lease:
                return
            started_s = now_s()
            try:
                await self._store.renew_lease(self.lease)
            except LeaseEnded:
                self._end_listing()
                self._needs_lease = True
                raise
            self._record_registration(started_s)
            self._lease_at_s = started_s
            await self._settle()
            if not self._is_complete():
                # The store may remove a key although its lease has not ended.
                return
            await self._remove_dropped()
