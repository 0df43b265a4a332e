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
from wasabipitch.coordination.store import CoordinationStore, Item
from wasabipitch.exceptions import LeaseEnded, StoreError

# Three renewals may fail before the others take the host for gone.
LEASE_S = 6.0
RENEW_INTERVAL_S = 2.0
RETRY_S = 0.3
# The host's own entry comes back with the next watch, some 10 ms later.
SEEN_TIMEOUT_S = 0.5
SEEN_STEP_S = 0.005

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
        self._gone = asyncio.Event()
        self._leaving = False
        mirror.subscribe(self._note)

    async def run(self) -> None:
        """Register, and register again whenever the entry has gone."""
        while True:
            try:
                self._gone.clear()
                await self._register()
                await self._confirm_soon()
                await self._renew_while_present()
            except LeaseEnded as exc:
                logger.warning("registering again: %s", exc)
            except StoreError as exc:
                logger.warning("not registered: %s", exc)
                await asyncio.sleep(RETRY_S)

    async def leave(self) -> None:
        """Remove the entry and the name, so that the others know at once."""
        self._leaving = True
        await self._store.commit({}, {}, [self.key, self._name_key])

    @property
    def is_new(self) -> bool:
        """Whether a host that lost the store may not know this one yet."""
        return now_s() - self.registered_since_s < EXTENSION_S + RENEW_INTERVAL_S

    def count_confirmation(self, at_s: float) -> float:
        """Return a confirmation's time, or 0 if it gives this host no right.

        Whoever replaces a primary waits for the hosts that have an entry, so a
        confirmation counts only if it was asked for after the entry was written.
        """
        has_entry = self.key in self._mirror.items
        return at_s if has_entry and at_s >= self.registered_since_s else 0.0

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

    async def _confirm_soon(self) -> None:
        """Ask for the first confirmation that counts, once the entry is seen."""
        until_s = now_s() + SEEN_TIMEOUT_S
        while self.key not in self._mirror.items and now_s() < until_s:
            await asyncio.sleep(SEEN_STEP_S)
        await self._mirror.check(shared=False)

    def _note(self, key: str, item: Item | None) -> None:
        if key == self.key and item is None and not self._leaving:
            self._gone.set()

    async def _sleep_unless_gone(self) -> None:
        try:
            async with asyncio.timeout(RENEW_INTERVAL_S):
                await self._gone.wait()
        except TimeoutError:
            return

    async def _renew_while_present(self) -> None:
        while True:
            await self._sleep_unless_gone()
            try:
                await self._store.renew_lease(self.lease)
            except LeaseEnded:
                self.lease = 0
                raise
            self._note_present()
            if self.key not in self._mirror.items:
                # The store may drop a key and keep its lease.
                return
