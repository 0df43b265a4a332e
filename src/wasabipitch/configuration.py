"""Distributes the configuration, which never reverts to an earlier revision.

The operators' document is stored under one key of the platform's store, the head key,
whose revision is the configuration's revision. Each process watches the head key and
adopts only greater revisions. Peers tell each other their revision, and pass on the
document where the store does not answer.
"""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabipitch import deployment as deployments
from wasabipitch.deployment import Deployment
from wasabipitch.envelopes import (
    NO_CONFIGURATION,
    StoredConfiguration,
    delete_obsolete,
    encode,
    find_obsolete,
    load_configuration,
    read_stored,
    write_parts,
)
from wasabipitch.events import Timeline
from wasabipitch.exceptions import (
    SettingsError,
    StoreConflict,
    StoreError,
    StoreUnavailable,
    WasabipitchError,
)
from wasabipitch.hosts import Membership
from wasabipitch.messages import HoldConfiguration, OfferConfiguration
from wasabipitch.metrics import Metrics, StatsdMetrics
from wasabipitch.models import Host
from wasabipitch.store import ABSENT, Record, Store
from wasabipitch.verdict import Verdict

# Each process has one watch open: 1,560 processes on 780 nodes make 98 calls a second.
WATCH_S = 16.0
# A change ends the watches of all processes at once; the jitter spreads the new ones.
REWATCH_JITTER_S = 1.0
ABSENT_POLL_S = 1.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
OFFER_PEERS = 3
OFFER_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 5.0
# When a peer has a newer revision, the process's own watch gets this long to deliver
# it, before the process asks the peer for the whole document.
WATCH_GRACE_S = 2.0
APPLY_TIMEOUT_S = 10.0
APPLY_RETRY_S = 0.25

Subscriber = Callable[[Deployment, int], None]

logger = logging.getLogger(__name__)


class ConfigurationKeeper:
    """Keeps the valid configuration with the greatest revision known here.

    Args:
        store: The store that holds the head key.
        key: The head key.
        timeline: The timeline, which records each revision adopted or rejected.
        membership: The membership, which knows the peers and sends them the revision
            in its digests.
        metrics: The metrics, with the revision as ``configuration.revision``.
        rng: The random generator for jitter.

    Attributes:
        current: The configuration in force, or None before the first one.
        revision: The revision in force, or 0.
        document: The YAML text in force, or an empty string.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        timeline: Timeline,
        membership: Membership,
        *,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.key = key
        self.current: Deployment | None = None
        self.revision = 0
        self.document = ""
        self._rejected_revision = 0
        self._store = store
        self._timeline = timeline
        self._membership = membership
        membership.set_revision_keeper(self)
        self._metrics = metrics or StatsdMetrics()
        self._rng = rng or random.Random()
        self._subscribers: list[Subscriber] = []
        self._is_store_available = False
        self._part_cache: dict[str, str] = {}
        self._newer_at_peer: tuple[int, Host] | None = None
        self._newer_at_peer_event = asyncio.Event()
        self._adopted_event = asyncio.Event()

    def subscribe(self, callback: Subscriber) -> None:
        """Call a function with each configuration adopted, and with the current one."""
        self._subscribers.append(callback)
        if self.current is not None:
            callback(self.current, self.revision)

    async def wait_current(self) -> Deployment:
        """Wait until there is a configuration, and return it."""
        while self.current is None:
            await self._adopted_event.wait()
        return self.current

    async def run(self) -> None:
        """Watch the store and exchange revisions with peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_store())
            tasks.create_task(self._fetch_newer())
            tasks.create_task(self._announce_revision())

    def adopt(self, revision: int, document: str) -> bool:
        """Put a document in force if it is valid and its revision is greater.

        A malformed document is logged and its revision is never adopted.

        Args:
            revision: The document's revision.
            document: The YAML text.

        Returns:
            Whether the document was adopted.
        """
        if revision <= max(self.revision, self._rejected_revision):
            return False
        try:
            deployment = deployments.parse(document)
        except SettingsError as exc:
            logger.error("configuration revision %d rejected: %s", revision, exc)
            self._rejected_revision = revision
            self._timeline.record(
                "configuration.rejected", detail=f"revision {revision}"
            )
            return False
        self.current = deployment
        self.revision = revision
        self.document = document
        self._metrics.gauge("configuration.revision", revision)
        self._timeline.record("configuration.taken", detail=f"revision {revision}")
        self._notify()
        return True

    def answer_offer(
        self, offer: OfferConfiguration, peer: Host | None
    ) -> HoldConfiguration:
        """Adopt a peer's offer if it is newer, and return what this process holds.

        An offer without a document only states the peer's revision. The answer contains
        this process's document if its revision is greater than the offered one.
        """
        if offer.document:
            self.adopt(offer.revision, offer.document)
        elif peer is not None:
            self.record_peer_revision(offer.revision, peer)
        document = self.document if self.revision > offer.revision else ""
        return HoldConfiguration(self.revision, document)

    def record_peer_revision(self, revision: int, peer: Host) -> None:
        """Record that a peer holds a revision, to be fetched from it if newer."""
        if revision <= max(self.revision, self._rejected_revision):
            return
        if self._newer_at_peer is None or revision >= self._newer_at_peer[0]:
            self._newer_at_peer = (revision, peer)
            self._newer_at_peer_event.set()

    def _notify(self) -> None:
        self._adopted_event.set()
        self._adopted_event = asyncio.Event()
        for callback in self._subscribers:
            try:
                callback(self.current, self.revision)
            except Exception:
                logger.exception("a configuration subscriber failed")

    async def _watch_store(self) -> None:
        failures = 0
        while True:
            after = max(self.revision, self._rejected_revision)
            try:
                record = await self._store.get(self.key, after, WATCH_S)
                if record is not None:
                    await self._adopt_record(record)
                    await asyncio.sleep(self._rng.uniform(0, REWATCH_JITTER_S))
            except StoreError as exc:
                self._is_store_available = False
                failures += 1
                logger.debug("watching the configuration failed: %s", exc)
                await asyncio.sleep(self._backoff_s(failures))
                continue
            failures = 0
            self._is_store_available = True
            if record is None and after == 0:
                await asyncio.sleep(ABSENT_POLL_S * self._rng.uniform(0.5, 1.5))

    async def _adopt_record(self, record: Record) -> None:
        stored = await load_configuration(self._store, record, self._part_cache)
        if stored is None:
            raise StoreError(
                f"a part of configuration revision {record.revision} is missing"
            )
        self.adopt(stored.revision, stored.document)

    def _backoff_s(self, failures: int) -> float:
        limit_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**failures)
        return self._rng.uniform(limit_s / 2, limit_s)

    async def _fetch_newer(self) -> None:
        while True:
            await self._newer_at_peer_event.wait()
            if self._is_store_available:
                await asyncio.sleep(WATCH_GRACE_S)
            self._newer_at_peer_event.clear()
            newer, self._newer_at_peer = self._newer_at_peer, None
            if newer is not None and newer[0] > self.revision:
                await self._fetch_from(newer[1])

    async def _fetch_from(self, peer: Host) -> None:
        ask = OfferConfiguration(self.revision, "")
        try:
            held = await self._membership.links.find(peer).call(ask, FETCH_TIMEOUT_S)
        except WasabipitchError as exc:
            logger.debug("fetching the configuration of %s failed: %s", peer.name, exc)
            return
        if isinstance(held, HoldConfiguration) and held.document:
            self.adopt(held.revision, held.document)

    async def _announce_revision(self) -> None:
        announced = 0
        while True:
            adopted = self._adopted_event
            if announced < self.revision:
                announced = self.revision
                peers = self._membership.pick_peers(OFFER_PEERS)
                await asyncio.gather(*(self._announce_to(peer) for peer in peers))
            else:
                await adopted.wait()

    async def _announce_to(self, peer: Host) -> None:
        offer = OfferConfiguration(self.revision, "")
        with contextlib.suppress(WasabipitchError):
            held = await self._membership.links.find(peer).call(offer, OFFER_TIMEOUT_S)
            if isinstance(held, HoldConfiguration):
                self.record_peer_revision(held.revision, peer)


@dataclass
class ConfigurationChange:
    """One change of the configuration, retried until its outcome is known.

    Args:
        store: The store that holds the head key.
        key: The head key.
        document: The YAML text.
        expect: The revision on which the change is based.
        nonce: A text unique to this change.
        author: The person or program that makes the change.
        in_doubt: Whether a write was sent whose outcome is unknown.
    """

    store: Store
    key: str
    document: str
    expect: int
    nonce: str
    author: str
    in_doubt: bool = False
    _current: StoredConfiguration = NO_CONFIGURATION

    async def carry_out(self, timeout_s: float) -> int:
        """Write the change unless it took effect already; see ``apply``."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            try:
                revision = await self.find_outcome()
                if revision is None:
                    revision = await self.write()
                if revision is not None:
                    return revision
            except StoreUnavailable as exc:
                if time.monotonic() > deadline_s:
                    verdict = Verdict.MAY_HAVE_RUN if self.in_doubt else Verdict.NOT_RUN
                    raise StoreUnavailable(exc.message, verdict=verdict) from exc
            await asyncio.sleep(APPLY_RETRY_S)

    async def find_outcome(self) -> int | None:
        """Return the revision of the change, or None if it was not written yet.

        Raises:
            StoreConflict: If another revision than the expected one is in force.
        """
        self._current = await read_stored(self.store, self.key) or NO_CONFIGURATION
        current = self._current
        revision = current.find_revision(self.nonce)
        if revision is not None:
            return revision
        if current.revision != ABSENT and current.document == self.document:
            return current.revision
        if current.revision != self.expect:
            raise StoreConflict(
                f"revision {current.revision} by {current.envelope.author or 'nobody'}"
                f" is in force, not {self.expect}",
                revision=current.revision,
                value=current.document,
            )
        return None

    async def write(self) -> int | None:
        """Write the change and return its revision, or None after a conflict."""
        envelope = await write_parts(
            self.store,
            self.key,
            self.document,
            nonce=self.nonce,
            author=self.author,
            parent=self._current,
        )
        obsolete = await find_obsolete(self.store, self.key, self._current, envelope)
        try:
            revision = await self.store.put(self.key, encode(envelope), self.expect)
        except StoreConflict:
            return None
        except StoreUnavailable as exc:
            self.in_doubt = self.in_doubt or exc.verdict is not Verdict.NOT_RUN
            raise
        await delete_obsolete(self.store, obsolete)
        return revision


async def apply(
    store: Store,
    key: str,
    document: str,
    expect: int,
    nonce: str,
    author: str,
    *,
    timeout_s: float = APPLY_TIMEOUT_S,
) -> int:
    """Put a document in force by compare-and-swap.

    The call may be repeated: a document that is already in force is not written again,
    and if the answer to a write was lost, the stored nonce shows whether the write took
    effect.

    Args:
        store: The store that holds the head key.
        key: The head key.
        document: The YAML text.
        expect: The revision on which the change is based; ``ABSENT`` if there is none.
        nonce: A text unique to this change, and the same when the call is repeated.
        author: The person or program that makes the change.
        timeout_s: The time for retries while the store does not answer.

    Returns:
        The revision at which the document came into force.

    Raises:
        StoreConflict: If another revision is in force; ``value`` is its document.
        StoreUnavailable: If the store gave no answer; see its verdict.
    """
    change = ConfigurationChange(store, key, document, expect, nonce, author)
    return await change.carry_out(timeout_s)
