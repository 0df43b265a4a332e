"""What the product needs of a store that outlives every host."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

ABSENT = 0


@dataclass(frozen=True, slots=True)
class Item:
    """A key's value.

    Args:
        revision: of its last change.
        lease: under which it is kept, or 0.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that is gone since a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """The items under a prefix, and the store's revision when they were read."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed after a revision, in order, up to another."""

    events: tuple[Item | Removal, ...]
    revision: int


class CoordinationStore(Protocol):
    """A linearizable key-value store with conditions, leases and watches.

    Every call raises ``StoreUnavailable`` if no answer came or the store turned
    it away; its verdict tells whether a write may have taken effect or may
    still do so.
    """

    async def get(self, key: str) -> Item | None:
        """Return a key's item, or None if the key is absent."""

    async def read_revision(self, key: str) -> tuple[int, int]:
        """Return a key's revision (``ABSENT`` if there is none) and the store's."""

    async def list(self, prefix: str) -> Listing:
        """Return the items under a prefix; its pages are not a snapshot."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix after a revision.

        Raises:
            HistoryLost: the store no longer knows them.
        """

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        removes: Sequence[str] = (),
        lease: int = 0,
    ) -> int:
        """Write all or nothing if keys are at expected revisions.

        Returns:
            The revision of the change.

        Raises:
            RecordConflict: a key is at another revision.
            LeaseEnded: there is no such lease.
        """

    async def open_lease(self, ttl_s: float) -> int:
        """Return a new lease; keys under it go when it ends."""

    async def renew_lease(self, lease: int) -> None:
        """Make a lease last for its whole time again.

        Raises:
            LeaseEnded: it has ended.
        """

    async def end_lease(self, lease: int) -> None:
        """End a lease; the keys under it go at once."""


class Promoter(Protocol):
    """Names the instance that leads a group from now on."""

    async def promote(self, group: str, instance: str, holder: str, fence: int) -> None:
        """Order a promotion.

        Args:
            group: whose primary is replaced.
            instance: that leads from now on.
            holder: the host that gives the order.
            fence: the fencing token; greater than that of any earlier holder.

        Raises:
            PromotionRefused: the instance isn't running.
            StoreUnavailable: no answer; the order may have been taken.
        """
