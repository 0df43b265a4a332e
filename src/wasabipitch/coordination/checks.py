"""Reads of the store's newest group record, shared among the hosts.

Each read is a priced call, and every host needs one each second. So one host,
the checker, reads, and the others ask it; the age of its answer counts.
"""

import asyncio
from collections.abc import Callable, Iterable

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import HEAD_KEY
from wasabipitch.coordination.store import CoordinationStore
from wasabipitch.exceptions import LinkError, StoreError
from wasabipitch.linkbook import LinkBook
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.peer_messages import AskStoreHead, StoreHead

# A read serves all that ask within this time.
READ_REUSE_S = 0.3
ASK_TIMEOUT_S = 0.2
# A checker that failed is not asked for this long.
CHECKER_BACKOFF_S = 2.0


class SharedChecks:
    """One host's part in reading the newest group record.

    Args:
        own: this host.
        store: read by the checker.
        links: to the peers.
        read_peers: returns all other hosts that were here lately.
    """

    def __init__(
        self,
        own: Host,
        store: CoordinationStore,
        links: LinkBook,
        read_peers: Callable[[], Iterable[Host]],
    ) -> None:
        self._own = own
        self._store = store
        self._links = links
        self._read_peers = read_peers
        self._backoff_until_s: dict[str, float] = {}
        self._read: asyncio.Task[tuple[int, int]] | None = None
        self._read_at_s = 0.0

    async def read(self) -> tuple[float, int, int]:
        """Return when the store was asked, the head's revision and the store's.

        Raises:
            StoreUnavailable: neither the checker nor the store answered.
        """
        checker = self._find_checker()
        if checker.name != self._own.name:
            asked_at_s = now_s()
            head = await self._ask(checker)
            if head is not None and head.confirmed:
                return asked_at_s - head.age_s, head.revision, head.store_revision
            self._backoff_until_s[checker.name] = now_s() + CHECKER_BACKOFF_S
        return await self._read_store()

    async def answer(self) -> StoreHead:
        """Return what the store says, as the checker of the others."""
        try:
            read_at_s, revision, store_revision = await self._read_store()
        except StoreError:
            # The other host asks the store itself, and logs what it finds.
            return StoreHead(False)
        return StoreHead(True, revision, store_revision, now_s() - read_at_s)

    async def _read_store(self) -> tuple[float, int, int]:
        if self._read is None or now_s() - self._read_at_s > READ_REUSE_S:
            self._read_at_s = now_s()
            self._read = asyncio.ensure_future(self._store.read_revision(HEAD_KEY))
        read_at_s = self._read_at_s
        revision, store_revision = await asyncio.shield(self._read)
        return read_at_s, revision, store_revision

    def _find_checker(self) -> Host:
        at_s = now_s()
        hosts = sorted([self._own, *self._read_peers()], key=lambda host: host.name)
        for host in hosts:
            if self._backoff_until_s.get(host.name, 0.0) <= at_s:
                return host
        return self._own

    async def _ask(self, checker: Host) -> StoreHead | None:
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await self._links.find(checker).call(
                    AskStoreHead(), ASK_TIMEOUT_S
                )
        except (LinkError, RemoteError, TimeoutError):
            # The store itself is asked next.
            return None
