"""A host's own entry in the store, kept alive by a lease."""

import asyncio
import logging

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    HOSTS_PREFIX,
    HostRecord,
    encode,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import CoordinationStore
from wasabipitch.exceptions import LeaseEnded, StoreError

# Three renewals may fail before the others take the host for gone.
LEASE_S = 6.0
RENEW_INTERVAL_S = 2.0
RETRY_S = 0.3

logger = logging.getLogger(__name__)


class Presence:
    """Registers the host and keeps its lease.

    Args:
        record: says who the host is.
    """

    def __init__(
        self, store: CoordinationStore, mirror: StoreMirror, record: HostRecord
    ) -> None:
        self.record = record
        self.key = HOSTS_PREFIX + record.incarnation
        # The lease that the host's other keys are kept under; 0 before the first.
        self.lease = 0
        self._store = store
        self._mirror = mirror
        self._registered_at_s = 0.0

    async def run(self) -> None:
        """Register, and register again whenever the entry has gone."""
        while True:
            try:
                await self._register()
                await self._renew_while_present()
            except LeaseEnded as exc:
                logger.warning("registering again: %s", exc)
            except StoreError as exc:
                logger.warning("not registered: %s", exc)
                await asyncio.sleep(RETRY_S)

    async def leave(self) -> None:
        """End the lease, so that the others know at once."""
        if self.lease:
            await self._store.end_lease(self.lease)

    async def _register(self) -> None:
        if not self.lease:
            self.lease = await self._store.open_lease(LEASE_S)
        await self._write()

    async def _write(self) -> None:
        try:
            await self._store.commit(
                {}, {self.key: encode(self.record)}, (), self.lease
            )
        except LeaseEnded:
            self.lease = 0
            raise
        self._registered_at_s = now_s()

    async def _renew_while_present(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            try:
                await self._store.renew_lease(self.lease)
            except LeaseEnded:
                self.lease = 0
                raise
            seen = self._mirror.answered_at_s > self._registered_at_s
            if seen and self.key not in self._mirror.items:
                # The store may drop a key and keep its lease.
                return
