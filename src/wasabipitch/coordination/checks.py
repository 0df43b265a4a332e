"""Reads of the head, the revision of the newest group record, for several hosts.

Each read is a billed call of the store, and every host needs about one a second. So
one host, the checker, reads the head, and the others ask the checker. A reply says how
old its read is, and confirms records only as of the time of that read.

With each question and answer the hosts tell each other the greatest version of the
configuration that they know of (``coordination/currency.py``). A host whose checker has
not asked the others in the present epoch of the store asks some of them itself.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.coordination.documents import HEAD_KEY
from wasabipitch.coordination.revisions import find_epoch
from wasabipitch.coordination.store import CoordinationStore
from wasabipitch.exceptions import LinkError, StoreError
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import AskHead, AskStoreHead, StoreHead

# The result of one read is reused for this long.
READ_REUSE_S = 0.45
ASK_TIMEOUT_S = 0.2
# A checker that did not answer is not asked again for this long.
CHECKER_BACKOFF_S = 2.0
# The hosts that are asked for their versions after a start or a return of the store.
# All hosts of a large fleet may start at once. A version that these hosts lack is heard
# of by the checker with its peers' next questions.
MAX_SURVEYED_HOSTS = 12
SURVEY_TIMEOUT_S = 0.3


class SharedChecks:
    """Reads the head through the checker, or for other hosts as the checker.

    Args:
        own: This host.
        store: The store that the checker reads.
        links: The links to the peers.
        read_peers: Returns all other hosts that were registered recently.
        currency: Told of the versions that other hosts know of.
        read_surveyed: Returns the hosts that can be asked for their versions.
    """

    def __init__(
        self,
        own: Host,
        store: CoordinationStore,
        links: PeerLinks,
        read_peers: Callable[[], Iterable[Host]],
        currency: CopyCurrency,
        read_surveyed: Callable[[], Iterable[Host]],
    ) -> None:
        self._currency = currency
        self._read_surveyed = read_surveyed
        self._survey: asyncio.Task | None = None
        self._own = own
        self._store = store
        self._links = links
        self._read_peers = read_peers
        self._backoff_until_s: dict[str, float] = {}
        self._read: asyncio.Task[tuple[int, int]] | None = None
        self._read_at_s = 0.0

    async def read(self) -> tuple[float, int, int]:
        """Return the time of a read, the head's revision and the store's revision.

        Raises:
            StoreUnavailable: Neither the checker nor the store answered.
        """
        checker = self._find_checker()
        if checker.name != self._own.name:
            asked_at_s = now_s()
            head = await self._ask(checker)
            if head is not None and head.confirmed:
                self._record_versions(head)
                return asked_at_s - head.age_s, head.revision, head.store_revision
            self._backoff_until_s[checker.name] = now_s() + CHECKER_BACKOFF_S
        read_at_s, revision, store_revision = await self._read_store()
        self._begin_survey(find_epoch(store_revision))
        return read_at_s, revision, store_revision

    async def answer(self, ask: AskStoreHead) -> StoreHead:
        """Return the head to a host that asks this one as its checker."""
        self._currency.record_version(ask.version)
        try:
            read_at_s, revision, store_revision = await self._read_store()
        except StoreError:
            # The host that asked then reads the store itself, and logs a failure.
            return StoreHead(False)
        return StoreHead(
            True,
            revision,
            store_revision,
            now_s() - read_at_s,
            self._currency.known_version,
            self._currency.is_surveyed_in(find_epoch(store_revision)),
        )

    def _record_versions(self, head: StoreHead) -> None:
        epoch = find_epoch(head.store_revision)
        if head.surveyed:
            self._currency.record_survey(head.version, epoch)
        else:
            self._currency.record_version(head.version)
            self._begin_survey(epoch)

    def _begin_survey(self, epoch: int) -> None:
        """Ask peers for their versions, unless this was done in an epoch."""
        is_running = self._survey is not None and not self._survey.done()
        if not self._currency.is_surveyed and not is_running:
            # The read that is under way must not wait for silent hosts.
            self._survey = tasks.spawn(self._ask_versions(epoch), "survey")

    async def _ask_versions(self, epoch: int) -> None:
        peers = list(self._read_surveyed())
        chosen = random.sample(peers, min(MAX_SURVEYED_HOSTS, len(peers)))
        versions = await asyncio.gather(*map(self._ask_version, chosen))
        self._currency.record_survey(max(versions, default=0), epoch)

    async def _ask_version(self, peer: Host) -> int:
        try:
            async with asyncio.timeout(SURVEY_TIMEOUT_S):
                report = await self._links.find(peer).call(AskHead(), SURVEY_TIMEOUT_S)
        except (LinkError, RemoteError, TimeoutError):
            # The host may be gone. If it comes back, it tells its version itself.
            return 0
        return report.version

    async def _read_store(self) -> tuple[float, int, int]:
        if self._read is None or now_s() - self._read_at_s > READ_REUSE_S:
            self._read_at_s = now_s()
            self._read = asyncio.ensure_future(self._store.read_revision(HEAD_KEY))
            # A host that asked may have given up on the answer.
            self._read.add_done_callback(tasks.ignore_failure)
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
                    AskStoreHead(self._currency.known_version), ASK_TIMEOUT_S
                )
        except (LinkError, RemoteError, TimeoutError):
            # ``read`` asks the store itself next.
            return None
