"""A coordination store in memory, with the faults that the real one shows."""

import asyncio
import itertools
from collections.abc import Mapping, Sequence

from wasabipitch.coordination.store import ABSENT, Changes, Item, Listing, Removal
from wasabipitch.exceptions import (
    HistoryLost,
    LeaseEnded,
    RecordConflict,
    StoreUnavailable,
)
from wasabipitch.verdict import Verdict


class MemoryStore:
    """Keeps items, leases and history; one instance serves any number of hosts.

    Leases end only when they are ended. Faults are set by the attributes.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.calls: list[str] = []
        # Whether calls are turned away, and whether watches hear nothing.
        self.down = False
        self.watches_blocked = False
        # How many of the next writes are done and not answered.
        self.lost_answers = 0
        self.compacted_revision = 0
        self._history: list[Item | Removal] = []
        self._leases: set[int] = set()
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Event()

    async def get(self, key: str) -> Item | None:
        """Return a key's item."""
        self._begin_call("get")
        return self.items.get(key)

    async def read_revision(self, key: str) -> tuple[int, int]:
        """Return a key's revision and the store's."""
        self._begin_call("read_revision")
        item = self.items.get(key)
        return (item.revision if item else ABSENT), self.revision

    async def list(self, prefix: str) -> Listing:
        """Return the items under a prefix."""
        self._begin_call("list")
        items = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Listing(tuple(items), self.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes; a deaf watch waits in vain."""
        self._begin_call("watch")
        if after < self.compacted_revision:
            raise HistoryLost(f"no history after {after}")
        try:
            async with asyncio.timeout(wait_s):
                while self.watches_blocked or not self._find_events(prefix, after):
                    await self._changed.wait()
        except TimeoutError:
            return Changes((), after if self.watches_blocked else self.revision)
        return Changes(self._find_events(prefix, after), self.revision)

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        removes: Sequence[str] = (),
        lease: int = 0,
    ) -> int:
        """Write all or nothing."""
        self._begin_call("commit")
        if lease and lease not in self._leases:
            raise LeaseEnded(f"no lease {lease}")
        for key, revision in expected.items():
            item = self.items.get(key)
            if (item.revision if item else ABSENT) != revision:
                raise RecordConflict(f"{key} has changed")
        self.revision += 1
        for key, value in writes.items():
            self._record(Item(key, bytes(value), self.revision, lease))
        for key in removes:
            if key in self.items:
                self._record(Removal(key, self.revision))
        if self.lost_answers:
            self.lost_answers -= 1
            message = "the answer was lost"
            raise StoreUnavailable(message, verdict=Verdict.MAY_HAVE_RUN)
        return self.revision

    async def open_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        self._begin_call("open_lease")
        lease = next(self._lease_ids)
        self._leases.add(lease)
        return lease

    async def renew_lease(self, lease: int) -> None:
        """Check that a lease has not ended."""
        self._begin_call("renew_lease")
        if lease not in self._leases:
            raise LeaseEnded(f"no lease {lease}")

    async def end_lease(self, lease: int) -> None:
        """End a lease; its keys go."""
        self._leases.discard(lease)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def put(self, key: str, value: bytes) -> None:
        """Write as somebody else would, also while calls are turned away."""
        self.revision += 1
        self._record(Item(key, value, self.revision))

    def remove(self, key: str) -> None:
        """Remove a key as somebody else would."""
        self.revision += 1
        self._record(Removal(key, self.revision))

    def compact_history(self) -> None:
        """Forget what led to the present items."""
        self.compacted_revision = self.revision

    def _begin_call(self, name: str) -> None:
        self.calls.append(name)
        if self.down:
            raise StoreUnavailable("turned away", verdict=Verdict.NOT_RUN)

    def _record(self, event: Item | Removal) -> None:
        if isinstance(event, Item):
            self.items[event.key] = event
        else:
            self.items.pop(event.key, None)
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _find_events(self, prefix: str, after: int) -> tuple[Item | Removal, ...]:
        return tuple(
            event
            for event in self._history
            if event.revision > after and event.key.startswith(prefix)
        )
