"""The configuration in force: accepted once, and never reverted.

The operators' document stands under one head key of the platform's store; the
key's revision there is the configuration's revision. Each process watches the
head key and keeps the greatest revision it has heard of. Peers tell each other
the revision, and hand the document on where the store does not answer.
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

# One watch a process: 1,560 processes on 780 nodes make 98 calls a second.
WATCH_S = 16.0
# After a change all processes watch again, and not all at the same moment.
REWATCH_JITTER_S = 1.0
ABSENT_POLL_S = 1.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
OFFER_PEERS = 3
OFFER_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 5.0
# How long a process that hears of a revision leaves its own watch to bring it,
# before it asks the peer for the whole document.
WATCH_GRACE_S = 2.0
APPLY_TIMEOUT_S = 10.0
APPLY_RETRY_S = 0.25

Subscriber = Callable[[Deployment, int], None]

logger = logging.getLogger(__name__)


class ConfigurationKeeper:
    """Keeps the accepted configuration of the greatest revision.

    Args:
        store: holds the head key.
        key: the head key.
        timeline: gets an event for each revision taken.
        membership: knows the peers; its digests carry the revision.
        metrics: gets the revision as ``configuration.revision``.
        rng: for jitter.
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
        self._store_answers = False
        self._parts: dict[str, str] = {}
        self._newer_at_peer: tuple[int, Host] | None = None
        self._newer_at_peer_event = asyncio.Event()
        self._adopted_event = asyncio.Event()

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with each revision taken, and now if there is one."""
        self._subscribers.append(callback)
        if self.current is not None:
            callback(self.current, self.revision)

    async def wait_current(self) -> Deployment:
        """Return the configuration, as soon as there is one."""
        while self.current is None:
            await self._adopted_event.wait()
        return self.current

    async def run(self) -> None:
        """Watch the store and talk to peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_store())
            tasks.create_task(self._fetch_newer())
            tasks.create_task(self._announce_revision())

    def adopt(self, revision: int, document: str) -> bool:
        """Put a document in force if its revision is greater than the current.

        Returns:
            Whether it was taken.
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
        """Answer a peer's offer.

        An offer without a document tells the peer's revision only. The answer
        holds this process's document where its revision is the greater one.
        """
        if offer.document:
            self.adopt(offer.revision, offer.document)
        elif peer is not None:
            self.record_peer_revision(offer.revision, peer)
        document = self.document if self.revision > offer.revision else ""
        return HoldConfiguration(self.revision, document)

    def record_peer_revision(self, revision: int, peer: Host) -> None:
        """Note that a peer holds a revision; it is asked for a greater one."""
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
                self._store_answers = False
                failures += 1
                logger.debug("configuration watch: %s", exc)
                await asyncio.sleep(self._backoff_s(failures))
                continue
            failures = 0
            self._store_answers = True
            if record is None and after == 0:
                await asyncio.sleep(ABSENT_POLL_S * self._rng.uniform(0.5, 1.5))

    async def _adopt_record(self, record: Record) -> None:
        stored = await load_configuration(self._store, record, self._parts)
        if stored is None:
            raise StoreError(f"a part of revision {record.revision} is gone")
        self.adopt(stored.revision, stored.document)

    def _backoff_s(self, failures: int) -> float:
        limit_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**failures)
        return self._rng.uniform(limit_s / 2, limit_s)

    async def _fetch_newer(self) -> None:
        while True:
            await self._newer_at_peer_event.wait()
            if self._store_answers:
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
            logger.debug("configuration of %s: %s", peer.name, exc)
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
    """One change of the configuration, tried until its outcome is known.

    Args:
        store: holds the head key.
        key: the head key.
        document: the YAML text.
        expect: the revision that the change was made from.
        nonce: unique to this change.
        author: who makes the change.
        in_doubt: whether a write was sent whose outcome is unknown.
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
        """Write the change, or find out what became of it; see ``apply``."""
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
                    maybe = Verdict.MAY_HAVE_RUN if self.in_doubt else Verdict.NOT_RUN
                    raise StoreUnavailable(exc.message, verdict=maybe) from exc
            await asyncio.sleep(APPLY_RETRY_S)

    async def find_outcome(self) -> int | None:
        """Return the revision of the change, or None if it is still to write.

        Raises:
            StoreConflict: another revision than the expected one is in force.
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
        """Write the change; return its revision, or None after a conflict."""
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

    It is safe to repeat: a document that is in force already is not written
    again, and an answer that was lost is told by reading the nonce back.

    Args:
        store: holds the head key.
        key: the head key.
        document: the YAML text.
        expect: the revision that the change was made from; ``ABSENT`` if none.
        nonce: unique to this change; the same one when it is repeated.
        author: who makes the change.
        timeout_s: how long to find out what became of a lost answer.

    Returns:
        The revision at which the document came into force.

    Raises:
        StoreConflict: another revision is in force; ``value`` is its document.
        StoreUnavailable: the store gave no answer; see its verdict.
    """
    change = ConfigurationChange(store, key, document, expect, nonce, author)
    return await change.carry_out(timeout_s)
