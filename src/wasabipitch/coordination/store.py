"""The interfaces of the platform's key-value store and its promotion service."""

from collections.abc import Mapping, Sequence
from typing import Protocol

import msgspec

# The revision of a key that does not exist.
ABSENT = 0


class Item(msgspec.Struct, frozen=True):
    """A key with its value.

    Args:
        key: The key.
        value: The value.
        revision: The revision of its last change.
        lease: The lease that it is kept under, or 0.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Removal(msgspec.Struct, frozen=True):
    """The removal of a key at a revision."""

    key: str
    revision: int


class Omission(msgspec.Struct, frozen=True):
    """The change of a key at a revision, without the value, which is large."""

    key: str
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """The items under a prefix, and the store's revision when they were read."""

    items: tuple[Item, ...]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """The changes after one revision up to another, in order.

    Only a peer that passes changes on omits a value.
    """

    events: tuple[Item | Removal | Omission, ...]
    revision: int


class CoordinationStore(Protocol):
    """A linearizable key-value store with conditions, leases and watches.

    The store may lose its latest changes by returning from an older copy. Revisions
    have the epoch of the store in them, see ``coordination.revisions``.

    Every call raises ``StoreUnavailable`` if no answer came or the store rejected
    it. The verdict of the error tells whether a write may have taken effect, or may
    still do so.
    """

    def read_progress_s(self) -> float:
        """Return when a part of an incomplete answer last arrived, or 0.

        An answer that is late because of its size is no sign of a failure.
        """

    async def get(self, key: str) -> Item | None:
        """Return a key's item, or None if the key is absent."""

    async def read_revision(self, key: str) -> tuple[int, int]:
        """Return a key's revision (``ABSENT`` if there is none) and the store's."""

    async def list(self, prefix: str, max_bytes: int = 0) -> Listing:
        """Return the items under a prefix.

        The listing is no snapshot: its pages are read at different times.

        Args:
            prefix: The prefix.
            max_bytes: The longest answer, or 0 for any.

        Raises:
            ListingTooLarge: A page has more bytes; it was not read to its end.
        """

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix after a revision.

        Returns:
            The changes, none after ``wait_s`` seconds.

        Raises:
            HistoryLost: The store no longer has all changes after the revision, or
                it was restored since.
        """

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        removes: Sequence[str] = (),
        lease: int = 0,
        lasting: Mapping[str, bytes] | None = None,
    ) -> int:
        """Write and remove keys atomically if keys are at expected revisions.

        Args:
            expected: The revisions that keys must be at, ``ABSENT`` for none.
            writes: The new values, by key.
            removes: The keys to remove.
            lease: The lease of the written keys, or 0.
            lasting: More values, by key, which are written without the lease.

        Returns:
            The revision of the change.

        Raises:
            RecordConflict: A key is at another revision, or the store was restored
                since the expected revision.
            LeaseEnded: There is no such lease.
        """

    async def open_lease(self, ttl_s: float) -> int:
        """Return a new lease; its keys are removed when it ends."""

    async def renew_lease(self, lease: int) -> None:
        """Restart the whole time of a lease.

        Raises:
            LeaseEnded: The lease has ended.
        """

    async def end_lease(self, lease: int) -> None:
        """End a lease; its keys are removed at once."""


class Promoter(Protocol):
    """Makes an instance the primary of a group."""

    async def promote(self, group: str, instance: str, holder: str, fence: int) -> None:
        """Order a promotion.

        Args:
            group: The group whose primary is replaced.
            instance: The new primary.
            holder: The host that gives the order.
            fence: The fencing token, greater than that of any earlier holder.

        Raises:
            PromotionRefused: The instance isn't running.
            StoreUnavailable: There was no answer; the order may have been accepted.
        """
