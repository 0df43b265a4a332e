"""Keeps a local copy of the store's items, and the time of its last confirmation.

The head is the revision of the newest group record. A read of the head that finds no
newer record than the copy holds confirms the copy as of the time of the read.

If the store returns from an older copy, an epoch begins, and all items are read again.
What was confirmed in the epoch before says nothing about the records of this one.

A large configuration may arrive later than the changes around it, from a peer or by a
read of its own. ``received_revision`` is the revision up to which all other changes
were applied. ``revision`` stays below the revision of a configuration until that one,
or a greater one, is in force here. So a host whose ``revision`` has reached that of a
read holds everything that the store acknowledged before the read, the configuration
too.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.coordination.documents import HEAD_KEY, OWN_PREFIX
from wasabipitch.coordination.following import ChangeFollower, ChangeHistory
from wasabipitch.coordination.revisions import find_epoch, make_revision
from wasabipitch.coordination.store import (
    CoordinationStore,
    Item,
    Listing,
    Omission,
    Removal,
)
from wasabipitch.exceptions import (
    HistoryLost,
    ListingTooLarge,
    StoreError,
    StoreUnavailable,
)
from wasabipitch.operations.decisions import DecisionLog

ALL_KEYS = ""
# A long timeout saves billed calls; the checks detect a watch that returns nothing.
WATCH_TIMEOUT_S = 20.0
# The hosts agree among themselves if a read of the head takes longer than this. A
# store that stays silent would otherwise use up the time of a read lease.
CHECK_PATIENCE_S = 0.2
# The time between reads of the head, each of which renews this host's read leases.
CHECK_INTERVAL_S = 0.45
# A watch that lags behind the store's revision for longer than this is restarted.
MAX_WATCH_LAG_S = 0.6
RETRY_S = 0.15
# Followers get a change after their watcher and the first one have each collected
# others for a batch, and before the next read of the head.
FOLLOWER_PATIENCE_S = 0.3
# A configuration of this size or more is decoded in steps, and passed on to followers
# as a difference. Up to some 150 routes nothing is gained by that.
LARGE_VALUE_BYTES = 32 * 1024

logger = logging.getLogger(__name__)


class StoreMirror:
    """A local copy of all items, updated by one watch and confirmed by reads.

    Args:
        store: The store that it copies.
        decisions: The log of losing and regaining the store.
        currency: Told of each read of the store and of the copy's progress.
    """

    def __init__(
        self,
        store: CoordinationStore,
        decisions: DecisionLog,
        currency: CopyCurrency | None = None,
    ) -> None:
        self.currency = currency or CopyCurrency()
        self.items: dict[str, Item] = {}
        # All changes up to this revision were applied, and a configuration of this
        # revision or a later one is in force.
        self.revision = 0
        # All changes up to this revision were applied, except for configurations.
        self.received_revision = 0
        # The key of the operator's configuration, and the prefixes of all other keys
        # that are needed here. Without them, configurations are items like others.
        self.configuration_key = ""
        self.other_prefixes: tuple[str, ...] = ()
        # A first listing longer than this is broken off, and the configuration is read
        # apart from the other items; 0 for no limit.
        self.max_listing_bytes = 0
        # Set while a configuration is not in force here that the store had at
        # ``awaited_revision``.
        self.configuration_awaited = asyncio.Event()
        self.awaited_revision = 0
        # The first revision at which that configuration may have been written.
        self._awaited_from = 0
        # All group records up to this revision are in the copy. The head in the copy
        # may be newer: pages of a listing are read at different times.
        self._group_records_revision = 0
        self.loaded = asyncio.Event()
        # Whether the items are being loaded, so that changes may have been missed.
        self.is_loading = False
        # Whether the items being loaded came back with a copy of the store.
        self.is_restoring = False
        # The time of the last confirmation, or 0.
        self.confirmed_at_s = 0.0
        # The time of the last confirmation by the store itself, or 0.
        self.store_confirmed_at_s = 0.0
        # When the first items of this epoch were loaded, and whether the host had
        # loaded those of an earlier one before.
        self.epoch_since_s = 0.0
        self.was_restored = False
        # The time of the last confirmation in this epoch, and in the one before it.
        self._epoch_confirmed_at_s = 0.0
        self._earlier_confirmed_at_s = 0.0
        # The greatest revision of the store in any answer.
        self._newest_revision = 0
        self._earlier_epoch = 0
        # Reads the head, sharing reads with other hosts; set once peers can be asked.
        self.read_head_shared: Callable[[], Awaitable[tuple[float, int, int]]] | None
        self.read_head_shared = None
        # The pause in seconds before the next watch. Each watch is a billed call, so
        # a large fleet, which has more changes, waits for several of them.
        self.read_pause_s: Callable[[], float] = lambda: 0.0
        # Confirms the records during an outage; set once peers can be asked.
        self.confirm_among_hosts: Callable[[], Awaitable[float | None]] | None = None
        # The time of the store's last answer, and that of the first after an outage.
        self.answered_at_s = 0.0
        self.reachable_since_s = 0.0
        # The changes that followers of this host ask for.
        self.history = ChangeHistory()
        # Gets the changes from a peer or the store; set once peers can be asked.
        self.follower: ChangeFollower | None = None
        self._store = store
        self._decisions = decisions
        self._listeners: list[Callable[[str, Item | None], None]] = []
        self._applied_listeners: list[Callable[[], None]] = []
        self._confirm_listeners: list[Callable[[], None]] = []
        self._restore_listeners: list[Callable[[], None]] = []
        self._advance_listeners: list[Callable[[], None]] = []
        self._watch: asyncio.Task | None = None
        # The revision that the watch has to return next, and since when.
        self._lagging_revision = 0
        self._lagging_since_s = 0.0
        self._reachable = False
        # Whether the newest configuration that was heard of is large.
        self._is_large_known = False

    @property
    def is_reachable(self) -> bool:
        """Whether the store answered the last call, directly or through a peer."""
        return self._reachable

    def subscribe(self, listener: Callable[[str, Item | None], None]) -> None:
        """Call a listener with each item that changes, or None if it is removed."""
        self._listeners.append(listener)

    def on_applied(self, listener: Callable[[], None]) -> None:
        """Call a listener after the items that arrived together were applied."""
        self._applied_listeners.append(listener)

    def on_advanced(self, listener: Callable[[], None]) -> None:
        """Call a listener after each advance of ``revision``."""
        self._advance_listeners.append(listener)

    def on_confirmed(self, listener: Callable[[], None]) -> None:
        """Call a listener after each confirmation of the copy."""
        self._confirm_listeners.append(listener)

    def on_restored(self, listener: Callable[[], None]) -> None:
        """Call a listener after all items of a restored store were loaded."""
        self._restore_listeners.append(listener)

    @property
    def epoch(self) -> int:
        """The store's epoch in which the copy was loaded."""
        return find_epoch(self.received_revision)

    def is_current(self, revision: int) -> bool:
        """Return whether a revision belongs to the epoch of the copy."""
        return find_epoch(revision) == self.epoch

    def holds_group_records(self, revision: int) -> bool:
        """Return whether all group records up to a revision are in the copy."""
        return self._group_records_revision >= revision

    def is_confirmed_within(self, age_s: float) -> bool:
        """Return whether the copy was confirmed as of a time within the last seconds.

        Args:
            age_s: The age of the oldest confirmation that counts, in seconds.
        """
        return now_s() - self.confirmed_at_s <= age_s

    def find_confirmation(self, revision: int) -> float:
        """Return when a record of a revision was last confirmed, or 0.

        A confirmation counts only for the records of its epoch.
        """
        if self.is_current(revision):
            return self._epoch_confirmed_at_s
        if self.was_restored and find_epoch(revision) == self._earlier_epoch:
            return self._earlier_confirmed_at_s
        return 0.0

    async def run(self) -> None:
        """Load all items, then apply their changes until cancelled."""
        while True:
            loaded_at_s = now_s()
            try:
                await self._load()
                await self._follow()
            except HistoryLost as exc:
                self._decisions.belief("store history lost", reason=str(exc))
                if now_s() - loaded_at_s < RETRY_S:
                    # A store that loses its history with each change is not read
                    # more often than one that fails.
                    await asyncio.sleep(RETRY_S)
            except StoreError as exc:
                self._record_failure(exc)
                await asyncio.sleep(RETRY_S)

    async def run_checks(self) -> None:
        """Confirm the copy every ``CHECK_INTERVAL_S`` until cancelled."""
        await self.loaded.wait()
        late_read: asyncio.Task | None = None
        while True:
            started_s = now_s()
            read = late_read or asyncio.ensure_future(self._read_head(shared=True))
            await self._confirm(read)
            # A late read goes on, since its answer shows that the store is reachable.
            late_read = None if read.done() else read
            await asyncio.sleep(max(RETRY_S, CHECK_INTERVAL_S - (now_s() - started_s)))

    async def check(self, shared: bool = True) -> bool:
        """Read the head once and return whether the copy is confirmed.

        Args:
            shared: Whether the read may be another host's, which may be older.
        """
        read = asyncio.ensure_future(self._read_head(shared))
        try:
            return await self._confirm(read)
        finally:
            read.cancel()

    async def _confirm(self, read: asyncio.Task) -> bool:
        """Confirm the copy by a read of the head, or by agreement if that is late."""
        if not await _ends_within(read, CHECK_PATIENCE_S) and (
            await self._agree_unless_read(read)
        ):
            return True
        return await self._apply_read(read)

    async def _agree_unless_read(self, read: asyncio.Task) -> bool:
        """Agree among the hosts, unless a late read of the head ends first."""
        read.add_done_callback(tasks.ignore_failure)
        agreement = asyncio.ensure_future(self._check_without_store())
        try:
            await asyncio.wait({read, agreement}, return_when=asyncio.FIRST_COMPLETED)
            return agreement.done() and agreement.result()
        finally:
            agreement.cancel()

    async def _apply_read(self, read: asyncio.Task) -> bool:
        """Wait for a read of the head; return whether it confirms the copy."""
        try:
            sent_at_s, head, store_revision = await read
        except StoreError as exc:
            self._record_failure(exc)
            return await self._check_without_store()
        self._record_answer()
        if not self.observe(store_revision):
            return False
        self.currency.record_read(sent_at_s, store_revision)
        self._check_watch(store_revision)
        if head > self._group_records_revision and not await self._fetch_records(head):
            return False
        if not self.is_current(store_revision):
            # The store was restored while the records were read.
            return False
        # The head was the newest group record at the store's revision.
        self._group_records_revision = max(self._group_records_revision, store_revision)
        self.store_confirmed_at_s = sent_at_s
        self._record_confirmation(sent_at_s)
        return True

    async def _read_head(self, shared: bool) -> tuple[float, int, int]:
        if shared and self.read_head_shared is not None:
            return await self.read_head_shared()
        sent_at_s = now_s()
        head, store_revision = await self._store.read_revision(HEAD_KEY)
        return sent_at_s, head, store_revision

    async def _fetch_records(self, head: int) -> bool:
        """Read the group records that the watch has not returned yet."""
        if self.follower is not None and self.follower.is_following:
            await self.history.wait(head - 1, FOLLOWER_PATIENCE_S)
            if self._group_records_revision >= head:
                return True
        try:
            listing = await self._store.list(OWN_PREFIX)
        except StoreError as exc:
            self._record_failure(exc)
            return False
        if not self.observe(listing.revision):
            return False
        self._apply_all(listing.items)
        self._group_records_revision = max(
            self._group_records_revision, listing.revision
        )
        self._decisions.belief(
            "records read", head=head, revision=self.received_revision
        )
        return self._group_records_revision >= head

    async def _check_without_store(self) -> bool:
        if self.confirm_among_hosts is None:
            return False
        head = self.head_revision
        if head > self._group_records_revision:
            return False
        confirmed_at_s = await self.confirm_among_hosts()
        if confirmed_at_s is None or head != self.head_revision:
            return False
        self._record_confirmation(confirmed_at_s)
        return True

    def _record_confirmation(self, at_s: float) -> None:
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)
        self._epoch_confirmed_at_s = max(self._epoch_confirmed_at_s, at_s)
        for listener in self._confirm_listeners:
            listener()

    @property
    def head_revision(self) -> int:
        """The revision of the newest group record known here."""
        head = self.items.get(HEAD_KEY)
        return head.revision if head else 0

    def apply_writes(self, writes: Mapping[str, bytes], revision: int) -> None:
        """Apply this host's own writes before the watch returns them.

        Otherwise the host could agree with others on a head older than a record that
        it wrote itself.
        """
        if self.observe(revision):
            self._apply_all(Item(*pair, revision) for pair in writes.items())

    def observe(self, revision: int) -> bool:
        """Return whether an answer is of the copy's epoch; load a newer epoch's items.

        Args:
            revision: The revision in the answer.
        """
        self._newest_revision = max(self._newest_revision, revision)
        if self._is_outdated and self._watch is not None:
            self._watch.cancel()
        return self.is_current(revision)

    @property
    def _is_outdated(self) -> bool:
        return find_epoch(self._newest_revision) > self.epoch

    def _check_watch(self, store_revision: int) -> None:
        """Restart a watch that has not returned a revision of the store in time.

        Args:
            store_revision: The store's present revision.
        """
        if self._lagging_revision <= self.received_revision:
            self._lagging_revision, self._lagging_since_s = store_revision, now_s()
        elif now_s() - self._find_watch_progress_s() > MAX_WATCH_LAG_S:
            self._lagging_revision = 0
            if self._watch is not None:
                self._watch.cancel()

    def _find_watch_progress_s(self) -> float:
        """Return since when nothing that is awaited from the watch has arrived.

        A large value takes longer than ``MAX_WATCH_LAG_S`` on a slow link. While its
        parts arrive, a restarted watch would only begin to read it again.
        """
        source = self._store if self.follower is None else self.follower
        return max(self._lagging_since_s, source.read_progress_s())

    async def _load(self) -> None:
        sent_at_s = now_s()
        listing, is_whole = await self._list_items()
        self._record_answer()
        if find_epoch(listing.revision) < find_epoch(self._newest_revision):
            raise StoreUnavailable("the items are those before the store was restored")
        if not is_whole:
            self.await_configuration(self.revision + 1, listing.revision)
        is_restored = self._begin_epoch(listing.revision)
        self.is_restoring = is_restored
        self._replace_items(listing, is_whole)
        self.is_restoring = False
        if is_restored:
            self.history.restart(listing.revision)
        else:
            self.history.begin(listing.revision)
        if not is_whole:
            # The followers must not advance past a change that was missed here.
            self.history.add(Omission(self.configuration_key, listing.revision))
        self._advance_revision(listing.revision)
        self.currency.record_read(sent_at_s, listing.revision)
        self.loaded.set()
        if not is_restored:
            return
        if self.head_revision <= listing.revision:
            self.store_confirmed_at_s = sent_at_s
            self._record_confirmation(sent_at_s)
        for listener in self._restore_listeners:
            listener()

    async def _list_items(self) -> tuple[Listing, bool]:
        """Return the items, and whether the configuration is among them.

        On a slow link a large configuration would hold up all other items.
        """
        if not self._has_large_configuration:
            try:
                return await self._store.list(ALL_KEYS, self.max_listing_bytes), True
            except ListingTooLarge as exc:
                self._decisions.belief("listing split", reason=str(exc))
        listings = await asyncio.gather(*map(self._store.list, self.other_prefixes))
        revision = min(listing.revision for listing in listings)
        if find_epoch(revision) != find_epoch(max(each.revision for each in listings)):
            raise StoreUnavailable("the store was restored during the listings")
        items = tuple(item for listing in listings for item in listing.items)
        return Listing(items, revision), False

    @property
    def _has_large_configuration(self) -> bool:
        """Whether a link that takes no long listing need not carry it again."""
        return self._is_large_known and self.max_listing_bytes > 0

    def _replace_items(self, listing: Listing, is_whole: bool = True) -> None:
        known_revision, ignored = self.received_revision, 0
        present = {item.key: item for item in listing.items}
        self.is_loading = True
        for key in set(self.items) - set(present):
            if is_whole or key != self.configuration_key:
                self._apply(Removal(key, listing.revision))
        for item in listing.items:
            known = self.items.get(item.key)
            if known is None or known.revision < item.revision:
                self._apply(item)
            elif known.value != item.value:
                ignored += 1
        self.is_loading = False
        if is_whole:
            self._await_listed_configuration(listing.revision)
        self._end_batch()
        self._decisions.belief(
            "store read",
            items=len(listing.items),
            # Items that differ from the copy, but at lower revisions than in the copy.
            ignored=ignored,
            revision=listing.revision,
            known_revision=known_revision,
        )

    def _begin_epoch(self, revision: int) -> bool:
        """Begin the epoch of a revision; return whether another one ends by that."""
        if self.loaded.is_set() and self.is_current(revision):
            return False
        self.epoch_since_s = now_s()
        self._newest_revision = max(self._newest_revision, revision)
        if not self.loaded.is_set():
            return False
        self.was_restored = True
        self._earlier_epoch = self.epoch
        self._earlier_confirmed_at_s = self._epoch_confirmed_at_s
        self._epoch_confirmed_at_s = 0.0
        self._decisions.belief(
            "store restored",
            epoch=find_epoch(revision),
            revision=revision,
            known_revision=self.received_revision,
        )
        # Advanced before the items are applied, so that their listeners see the epoch.
        self._advance_revision(make_revision(find_epoch(revision), 0))
        return True

    async def _follow(self) -> None:
        while True:
            watch = self._store.watch if self.follower is None else self.follower.watch
            call = watch(ALL_KEYS, self.received_revision, WATCH_TIMEOUT_S)
            self._watch = asyncio.ensure_future(call)
            try:
                # ``_check_watch`` cancels the watch if it lags behind the store.
                await asyncio.wait([self._watch])
                if self._watch.cancelled():
                    if self._is_outdated:
                        raise HistoryLost("the store was restored")
                    if self.follower is not None and self.follower.is_following:
                        self.follower.avoid_watcher()
                        continue
                    raise HistoryLost(
                        "watch lags behind the store at revision"
                        f" {self.received_revision}"
                    )
                changes = self._watch.result()
            except StoreUnavailable as exc:
                self._record_failure(exc)
                await asyncio.sleep(RETRY_S)
                continue
            finally:
                self._watch.cancel()
            self._record_answer()
            if not self.observe(changes.revision):
                raise HistoryLost("the store was restored")
            self._apply_all(changes.events)
            self._advance_revision(changes.revision)
            await asyncio.sleep(self.read_pause_s())

    def _advance_revision(self, revision: int) -> None:
        self.received_revision = max(self.received_revision, revision)
        self._group_records_revision = max(self._group_records_revision, revision)
        self.history.advance(self.received_revision)
        self._advance_complete_revision()

    def _advance_complete_revision(self) -> None:
        """Advance ``revision`` up to the first configuration that is not in force."""
        complete = self.received_revision
        if self.configuration_awaited.is_set():
            complete = min(complete, self._awaited_from - 1)
        if complete <= self.revision:
            return
        self.revision = complete
        self.currency.advance(complete)
        for listener in self._advance_listeners:
            listener()

    def await_configuration(self, first: int, last: int) -> None:
        """Hold ``revision`` back until a configuration of the store is in force.

        Args:
            first: The first revision at which it may have been written.
            last: A revision at which the store had it.
        """
        if self.configuration_awaited.is_set():
            first = min(first, self._awaited_from)
            last = max(last, self.awaited_revision)
        self._awaited_from, self.awaited_revision = first, last
        self.configuration_awaited.set()

    def record_configuration(self, revision: int) -> None:
        """Record that a revision's configuration, or a greater one, is in force.

        A malformed one counts as well, since no host puts it in force.
        """
        if not self.configuration_awaited.is_set() or revision < self._awaited_from:
            return
        if revision >= self.awaited_revision:
            self.configuration_awaited.clear()
        else:
            self._awaited_from = revision + 1
        self._advance_complete_revision()

    def _await_listed_configuration(self, revision: int) -> None:
        """Wait for no configuration that a whole listing shows to be replaced.

        Args:
            revision: The revision of the listing.
        """
        if not self.configuration_awaited.is_set() or self.awaited_revision > revision:
            return
        item = self.items.get(self.configuration_key)
        if item is None or item.revision < self._awaited_from:
            self.record_configuration(self.awaited_revision)
        else:
            self.awaited_revision = item.revision

    def _apply_all(self, events: Iterable[Item | Removal | Omission]) -> None:
        for event in events:
            self._apply(event)
        self._end_batch()

    def _end_batch(self) -> None:
        for listener in self._applied_listeners:
            listener()

    def _apply(self, event: Item | Removal | Omission) -> None:
        if isinstance(event, Omission):
            self._apply_omission(event)
            return
        if isinstance(event, Removal):
            known = self.items.get(event.key)
            if known is None or known.revision > event.revision:
                return
            del self.items[event.key]
            self.history.add(event)
            self._publish(event.key, None)
            return
        known = self.items.get(event.key)
        if known is not None and known.revision >= event.revision:
            return
        self.items[event.key] = event
        if event.key == self.configuration_key:
            self._apply_configuration(event)
            return
        self.history.add(event)
        self._publish(event.key, event)

    def _apply_omission(self, event: Omission) -> None:
        known = self.items.get(event.key)
        if known is not None and known.revision >= event.revision:
            return
        self._is_large_known = True
        self.history.add(event)
        self.await_configuration(event.revision, event.revision)

    def _apply_configuration(self, item: Item) -> None:
        """Apply a configuration; a listener puts a large one in force later."""
        if len(item.value) < LARGE_VALUE_BYTES:
            self._is_large_known = False
            self.history.add(item)
            self._publish(item.key, item)
            self.record_configuration(item.revision)
            return
        self._is_large_known = True
        self.history.add(Omission(item.key, item.revision))
        self.await_configuration(item.revision, item.revision)
        self._publish(item.key, item)

    def _publish(self, key: str, item: Item | None) -> None:
        for listener in self._listeners:
            try:
                listener(key, item)
            except Exception:
                # Others write items, too. One that a listener can't read must not
                # keep the copy from following the rest.
                logger.exception("item %r was not applied", key)

    def _record_answer(self) -> None:
        self.answered_at_s = now_s()
        if not self._reachable:
            self._reachable = True
            self.reachable_since_s = self.answered_at_s
            self._decisions.belief("store reachable", revision=self.received_revision)

    def _record_failure(self, exc: StoreError) -> None:
        if self._reachable:
            self._reachable = False
            self._decisions.belief("store unreachable", reason=str(exc))


async def _ends_within(task: asyncio.Task, timeout_s: float) -> bool:
    """Wait for a task, and cancel it if the wait is cancelled."""
    try:
        done, _ = await asyncio.wait([task], timeout=timeout_s)
    except asyncio.CancelledError:
        task.cancel()
        raise
    return bool(done)
