"""An in-memory coordination store that can fail like the real one."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from wasabipitch.coordination.revisions import find_number, make_revision
from wasabipitch.coordination.store import ABSENT, Changes, Item, Listing, Removal
from wasabipitch.exceptions import (
    HistoryLost,
    LeaseEnded,
    ListingTooLarge,
    RecordConflict,
    StoreUnavailable,
)
from wasabipitch.verdict import Verdict


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of a store at one moment, to which it can be restored."""

    items: dict[str, Item]
    revision: int
    leases: frozenset[int]
    next_lease: int


class MemoryStore:
    """A store of items, leases and history that several hosts can share.

    Leases do not expire; ``end_lease`` ends them. Tests inject faults by setting
    the attributes.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        # The epoch rises by one whenever the store is restored from a copy.
        self.epoch = 0
        self.revision = make_revision(self.epoch, 1)
        self.calls: list[str] = []
        # While set, calls fail with StoreUnavailable and have no effect.
        self.down = False
        # While set, watches report no changes.
        self.watches_blocked = False
        # The number of next commits whose replies are lost after they took effect.
        self.lost_answers = 0
        self.compacted_revision = 0
        # What ``read_progress_s`` returns.
        self.progressed_at_s = 0.0
        self._history: list[Item | Removal] = []
        self._leases: set[int] = set()
        self._next_lease = 100
        self._changed = asyncio.Event()

    def read_progress_s(self) -> float:
        """Return when a part of an answer last arrived, as a test has set it."""
        return self.progressed_at_s

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None."""
        self._begin_call("get")
        return self.items.get(key)

    async def read_revision(self, key: str) -> tuple[int, int]:
        """Return the revision of a key, or ``ABSENT``, and that of the store."""
        self._begin_call("read_revision")
        item = self.items.get(key)
        return (item.revision if item else ABSENT), self.revision

    async def list(self, prefix: str, max_bytes: int = 0) -> Listing:
        """Return the items whose keys start with a prefix.

        Raises:
            ListingTooLarge: The values have more bytes than a limit other than 0.
        """
        self._begin_call("list")
        items = [item for key, item in self.items.items() if key.startswith(prefix)]
        size = sum(len(item.value) for item in items)
        if max_bytes and size > max_bytes:
            raise ListingTooLarge(f"{size} bytes", verdict=Verdict.NOT_RUN)
        return Listing(tuple(items), self.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first one.

        Args:
            prefix: Only keys that start with it are reported.
            after: The revision after which changes are reported.
            wait_s: The longest wait in seconds. After it, or while
                ``watches_blocked`` is set, the result has no events.

        Raises:
            HistoryLost: The history after the revision has been compacted.
        """
        self._begin_call("watch")
        self._check_history(after)
        try:
            async with asyncio.timeout(wait_s):
                while self.watches_blocked or not self._find_events(prefix, after):
                    await self._changed.wait()
                    self._check_history(after)
        except TimeoutError:
            return Changes((), after if self.watches_blocked else self.revision)
        return Changes(self._find_events(prefix, after), self.revision)

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        removes: Sequence[str] = (),
        lease: int = 0,
        lasting: Mapping[str, bytes] | None = None,
    ) -> int:
        """Apply writes and removals atomically and return the new revision.

        Args:
            expected: The required revisions of keys, ``ABSENT`` for no item.
            writes: The new values by key.
            removes: The keys to remove.
            lease: The lease that the written items belong to; 0 for none.
            lasting: More values by key, written without the lease.

        Raises:
            LeaseEnded: The lease does not exist.
            RecordConflict: A key has another revision than the expected one.
            StoreUnavailable: The store is down, or an injected fault lost the
                reply.
        """
        self._begin_call("commit")
        if lease and lease not in self._leases:
            raise LeaseEnded(f"lease {lease} does not exist")
        for key, revision in expected.items():
            item = self.items.get(key)
            if (item.revision if item else ABSENT) != revision:
                raise RecordConflict(f"{key} is not at revision {revision}")
        self.revision += 1
        for key, value in writes.items():
            self._record(Item(key, bytes(value), self.revision, lease))
        for key, value in (lasting or {}).items():
            self._record(Item(key, bytes(value), self.revision))
        for key in removes:
            if key in self.items:
                self._record(Removal(key, self.revision))
        if self.lost_answers:
            self.lost_answers -= 1
            message = "the reply was lost"
            raise StoreUnavailable(message, verdict=Verdict.MAY_HAVE_RUN)
        return self.revision

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""
        self._begin_call("open_lease")
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases.add(lease)
        return lease

    async def renew_lease(self, lease: int) -> None:
        """Raise ``LeaseEnded`` if a lease has ended."""
        self._begin_call("renew_lease")
        if lease not in self._leases:
            raise LeaseEnded(f"lease {lease} does not exist")

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its items."""
        self._leases.discard(lease)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def put(self, key: str, value: bytes) -> None:
        """Write an item directly, which works while the store is down."""
        self.revision += 1
        self._record(Item(key, value, self.revision))

    def remove(self, key: str) -> None:
        """Remove a key directly, which works while the store is down."""
        self.revision += 1
        self._record(Removal(key, self.revision))

    def copy(self) -> StoreCopy:
        """Return a copy of the content, for a later ``restore``."""
        leases = frozenset(self._leases)
        return StoreCopy(dict(self.items), self.revision, leases, self._next_lease)

    def restore(self, copy: StoreCopy, cut_watches: bool = True) -> None:
        """Lose all changes and leases since a copy was made, and begin a new epoch.

        The revisions and the leases since then are given out again.

        Args:
            copy: The copy.
            cut_watches: Whether waiting watches end at once, and not with the next
                change.
        """
        self.epoch += 1
        self.items = {
            key: msgspec.structs.replace(item, revision=self._renew(item.revision))
            for key, item in copy.items.items()
        }
        self.revision = self._renew(copy.revision)
        self._leases = set(copy.leases)
        self._next_lease = copy.next_lease
        self._history = []
        self.compacted_revision = self.revision
        if cut_watches:
            self._wake_watches()

    def _renew(self, revision: int) -> int:
        return make_revision(self.epoch, find_number(revision))

    def compact_history(self) -> None:
        """Drop the history up to the current revision."""
        self.compacted_revision = self.revision

    def _begin_call(self, name: str) -> None:
        self.calls.append(name)
        if self.down:
            raise StoreUnavailable("the store is down", verdict=Verdict.NOT_RUN)

    def _record(self, event: Item | Removal) -> None:
        if isinstance(event, Item):
            self.items[event.key] = event
        else:
            self.items.pop(event.key, None)
        self._history.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _check_history(self, after: int) -> None:
        if not self.compacted_revision <= after <= self.revision:
            raise HistoryLost(f"there is no history after revision {after}")

    def _find_events(self, prefix: str, after: int) -> tuple[Item | Removal, ...]:
        return tuple(
            event
            for event in self._history
            if event.revision > after and event.key.startswith(prefix)
        )
