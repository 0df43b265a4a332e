"""A host's own entry in the store, kept alive by a lease."""

import asyncio
import logging
import math

from wasabipitch.clock import now_s
from wasabipitch.coordination.agreement import EXTENSION_S
from wasabipitch.coordination.documents import (
    HOSTS_PREFIX,
    NAMES_PREFIX,
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
        # Since when the entry has been there, or back after a long absence.
        self.registered_since_s = math.inf
        self._name_key = NAMES_PREFIX + record.name
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
        """Remove the entry and the name, so that the others know at once."""
        await self._store.commit({}, {}, [self.key, self._name_key])

    @property
    def is_new(self) -> bool:
        """Whether a host that lost the store may not know this one yet."""
        return now_s() - self.registered_since_s < EXTENSION_S + RENEW_INTERVAL_S

    async def _register(self) -> None:
        if not self.lease:
            self.lease = await self._store.open_lease(LEASE_S)
        await self._write()

    async def _write(self) -> None:
        if self._name_key not in self._mirror.items:
            await self._store.commit({}, {self._name_key: encode(self.record.name)})
        writes = {self.key: encode(self.record)}
        try:
            await self._store.commit({}, writes, (), self.lease)
        except LeaseEnded:
            self.lease = 0
            raise
        self._note_present()

    def _note_present(self) -> None:
        at_s = now_s()
        if at_s - self._registered_at_s > EXTENSION_S:
            self.registered_since_s = at_s
        self._registered_at_s = at_s

    async def _renew_while_present(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            try:
                await self._store.renew_lease(self.lease)
            except LeaseEnded:
                self.lease = 0
                raise
            self._note_present()
            if self.key not in self._mirror.items:
                # The store may drop a key and keep its lease.
                return
