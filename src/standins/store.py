"""In-memory key-value store with compare-and-swap, leases and change notification."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from standins.exceptions import ConflictError, NoSuchLeaseError, ValueTooLargeError
from standins.signals import Signal

MAX_VALUE_BYTES = 1 << 20


@dataclass(frozen=True)
class Item:
    """The state of one key.

    Attributes:
        key: The key.
        value: Value of the key; None if the key is absent.
        revision: Store revision of the last change; 0 if the key never existed.
        lease: Id of the lease that the key is attached to, or None.
    """

    key: str
    value: str | None = None
    revision: int = 0
    lease: str | None = None

    @property
    def expected(self) -> int:
        """Revision that a compare-and-swap must expect; 0 for an absent key."""
        return 0 if self.value is None else self.revision

    def is_newer_than(self, revision: int) -> bool:
        """Return whether the key has changed since a watcher saw it.

        Args:
            revision: Revision that the watcher saw; 0 for an absent key.
        """
        if self.value is None:
            return 0 < revision < self.revision
        return self.revision > revision


@dataclass(frozen=True)
class Lease:
    """Time to live of the keys that are attached to one lease.

    Attributes:
        ttl_s: Time between a renewal and the expiry, in seconds.
        expires_at: Time of the expiry on the store's clock, in seconds.
    """

    ttl_s: float
    expires_at: float


class Store:
    """Keys, leases and a revision that each change of any key increments.

    Args:
        clock: Monotonic clock in seconds.

    Attributes:
        changed: Notified after each change of a key.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.changed = Signal()
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._leases: dict[str, Lease] = {}
        self._lease_numbers = count(1)
        self._revision = 0

    def get(self, key: str) -> Item:
        """Return the state of a key, which may be absent."""
        self.expire_leases()
        return self._items.get(key, Item(key))

    def put(self, key: str, value: str, expect: int | None, lease: str | None) -> int:
        """Set a key.

        Args:
            key: The key.
            value: The new value.
            expect: Revision that the key must have, 0 if it must be absent, or None
                for no condition.
            lease: Id of the lease to attach the key to, or None.

        Returns:
            Store revision of the change.

        Raises:
            ConflictError: The key does not have the expected revision.
            NoSuchLeaseError: The lease does not exist or has expired.
            ValueTooLargeError: The value is larger than `MAX_VALUE_BYTES`.
        """
        self.expire_leases()
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(
                f"value of {key!r} exceeds {MAX_VALUE_BYTES} bytes"
            )
        self._check_revision(key, expect)
        if lease is not None:
            self._find_lease(lease)
        return self._apply_change(Item(key, value, lease=lease))

    def delete(self, key: str, expect: int | None) -> int:
        """Delete a key.

        Args:
            key: The key.
            expect: Revision that the key must have, 0 if it must be absent, or None
                for no condition.

        Returns:
            Store revision of the change.

        Raises:
            ConflictError: The key does not have the expected revision.
        """
        self.expire_leases()
        self._check_revision(key, expect)
        return self._apply_change(Item(key))

    def grant(self, ttl_s: float) -> str:
        """Create a lease and return its id."""
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = Lease(ttl_s, self._clock() + ttl_s)
        return lease

    def renew(self, lease: str) -> None:
        """Restart the time to live of a lease.

        Raises:
            NoSuchLeaseError: The lease does not exist or has expired.
        """
        self.expire_leases()
        ttl_s = self._find_lease(lease).ttl_s
        self._leases[lease] = Lease(ttl_s, self._clock() + ttl_s)

    def revoke(self, lease: str) -> None:
        """End a lease and delete its keys.

        Raises:
            NoSuchLeaseError: The lease does not exist or has expired.
        """
        self.expire_leases()
        self._find_lease(lease)
        self._end_lease(lease)

    def expire_leases(self) -> None:
        """End all leases that have expired and delete their keys."""
        now = self._clock()
        for lease in [x for x, item in self._leases.items() if item.expires_at <= now]:
            self._end_lease(lease)

    def _find_lease(self, lease: str) -> Lease:
        if lease not in self._leases:
            raise NoSuchLeaseError(f"lease {lease!r} does not exist")
        return self._leases[lease]

    def _end_lease(self, lease: str) -> None:
        del self._leases[lease]
        for item in [x for x in self._items.values() if x.lease == lease]:
            self._apply_change(Item(item.key))

    def _check_revision(self, key: str, expect: int | None) -> None:
        current = self._items.get(key, Item(key))
        if expect is not None and current.expected != expect:
            raise ConflictError(current, expect)

    def _apply_change(self, item: Item) -> int:
        self._revision += 1
        self._items[item.key] = Item(item.key, item.value, self._revision, item.lease)
        self.changed.notify()
        return self._revision
