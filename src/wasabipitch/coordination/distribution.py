"""Passes large configurations on between hosts, as a difference where possible.

The hosts that watch the store read a configuration from it. The others hear of it with
the changes that they follow, without the value, and ask for the difference between
their version and the new one, or for the whole if they have no version that the peer
knows. Only if no peer delivers it within ``PEERS_PATIENCE_S`` do they read the store. A
watcher that fails to get it from the watchers before it reads the store at once.

A configuration comes into force only if it is greater than the one in force. The
revision of the local copy stays below that of a configuration until then, see
``coordination.mirror``.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence

import msgspec

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.configuration_delta import (
    NO_BASE,
    ChangeReader,
    DigestedConfiguration,
    EncodedChange,
    digest_steps,
    encode_steps,
)
from wasabipitch.coordination.documents import Configuration, DocumentDecoder
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.revisions import find_epoch
from wasabipitch.coordination.steps import StepRunner
from wasabipitch.coordination.store import CoordinationStore, Item
from wasabipitch.exceptions import (
    ConfigurationRefused,
    LinkError,
    LinkLost,
    SettingsError,
    StoreError,
)
from wasabipitch.links import RemoteError
from wasabipitch.linkserver import Exchange
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import (
    AskConfiguration,
    ConfigurationOffer,
    ConfigurationPart,
)
from wasabipitch.policy.pacing import Pacer, find_bulk_rate

# A part takes 6.5 ms on a link of 5 Mbit/s; a statement waits for at most one.
PART_BYTES = 4096
# More transfers at a time would each take longer without any ending sooner.
MAX_TRANSFERS = 8
# A host that waits for its turn is told at this interval that the peer is alive.
KEEPALIVE_S = 0.3
# A peer that sends neither a part nor a sign of life for this long has failed.
PART_TIMEOUT_S = 1.0
# A host that takes no part for this long is given up, so that others get its turn.
SEND_TIMEOUT_S = 3.0
# A peer waits for this long for a configuration that it does not have in force yet.
ANSWER_PATIENCE_S = 0.5
# The store is read if no peer has begun to deliver within this time. Hosts that all
# start after a loss of power are registered and have read the store in less.
PEERS_PATIENCE_S = 1.5
# The patience of a host is longer by a random time up to this, so that those that read
# the store late find that others have the configuration meanwhile.
PATIENCE_SPREAD_S = 1.0
# The pause before the same peers, or a store without a configuration, are asked again.
RETRY_S = 0.15
ABSENT_RETRY_S = 2.0
# The versions that differences start from. Hosts that are further behind get the whole.
KEPT_VERSIONS = 3
KEPT_CHANGES = 4
# The sources of a configuration in log lines and metrics.
FROM_STORE, FROM_PEER_WHOLE, FROM_PEER_DELTA = "store", "peer whole", "peer delta"
UNCHANGED = "peer unchanged"


class Receipt(msgspec.Struct, frozen=True):
    """How a configuration arrived.

    Args:
        source: Where it came from, and whether as the whole.
        size: The bytes that were received.
        longest_s: How long the longest step of decoding held the event loop.
        peer: The name of the peer, or an empty string.
    """

    source: str
    size: int
    longest_s: float
    peer: str = ""


class ConfigurationDistribution:
    """Gets large configurations from peers or the store, and passes them on.

    Args:
        mirror: The local copy, which tells of configurations.
        decoder: Decodes the configuration of the store.
        store: The store.
        links: The links to the peers.
        list_sources: Returns the hosts to ask, the best first.
        is_reader: Returns whether this host reads the store once its sources have
            failed, since other hosts wait for it.
        put_in_force: Puts a configuration in force, with its revision, unless a
            greater one is.
        link_mbps: The bandwidth of this host's link in Mbit/s, or 0 if unknown.
        decisions: The log of arrivals.
        measures: Times the arrivals.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        decoder: DocumentDecoder,
        store: CoordinationStore,
        links: PeerLinks,
        list_sources: Callable[[], Sequence[Host]],
        is_reader: Callable[[], bool],
        put_in_force: Callable[[Configuration, int], None],
        link_mbps: float,
        decisions: DecisionLog,
        measures: Measures,
    ) -> None:
        self._mirror = mirror
        self._decoder = decoder
        self._store = store
        self._links = links
        self._list_sources = list_sources
        self._is_reader = is_reader
        self._put_in_force = put_in_force
        self._rate = find_bulk_rate(link_mbps)
        self._pacer = Pacer(self._rate)
        self._decisions = decisions
        self._measures = measures
        # The versions that were in force last, the newest at the end.
        self._versions: list[Configuration] = []
        self._digests: dict[int, asyncio.Future[DigestedConfiguration]] = {}
        self._changes: dict[tuple[str, str], asyncio.Task[EncodedChange]] = {}
        self._transfers = asyncio.Semaphore(MAX_TRANSFERS)
        # A value of the store that was read by the watch or the listing.
        self._value: Item | None = None
        self._advanced = asyncio.Event()
        mirror.on_advanced(self._wake)

    def offer_value(self, item: Item) -> None:
        """Take a large value of the store, which is decoded in steps."""
        self._value = item

    def record(self, configuration: Configuration) -> None:
        """Record the configuration that has come into force, to pass it on."""
        self._versions.append(configuration)
        for dropped in self._versions[:-KEPT_VERSIONS]:
            self._digests.pop(dropped.version, None)
        del self._versions[:-KEPT_VERSIONS]
        self._wake()

    async def run(self) -> None:
        """Get each configuration that the local copy waits for, until cancelled."""
        while True:
            await self._mirror.configuration_awaited.wait()
            await self._obtain()

    async def answer(self, exchange: Exchange, ask: AskConfiguration):
        """Send the configuration in force to a host; return the last message."""
        if not await self._wait_for(ask.revision):
            return ConfigurationOffer(False)
        # Read before the configuration, which is at least as new.
        revision = self._mirror.revision
        current = await self._find_current()
        if current is None:
            return ConfigurationOffer(False)
        version = current.configuration.version
        if ask.base == current.digest:
            return ConfigurationOffer(True, revision, version, ask.base, ask.base)
        change = await self._find_change(ask.base, current)
        offer = ConfigurationOffer(
            True, revision, version, change.base, change.digest, len(change.data)
        )
        await _send(exchange, offer)
        async with self._take_turn(exchange):
            return await self._send_parts(exchange, change.data, ask.bytes_per_s)

    async def _send_parts(
        self, exchange: Exchange, data: bytes, bytes_per_s: float
    ) -> ConfigurationPart:
        """Send all parts except for the last one, which is returned."""
        pacer = Pacer(bytes_per_s)
        parts = [
            ConfigurationPart(data[start : start + PART_BYTES])
            for start in range(0, len(data), PART_BYTES)
        ]
        for n, part in enumerate(parts):
            size = len(part.data)
            await asyncio.sleep(max(self._pacer.reserve(size), pacer.reserve(size)))
            if n < len(parts) - 1:
                await _send(exchange, part)
        return parts[-1]

    @contextlib.asynccontextmanager
    async def _take_turn(self, exchange: Exchange) -> AsyncIterator[None]:
        """Wait for a turn to send; tell the peer meanwhile that this host lives."""
        turn = asyncio.ensure_future(self._transfers.acquire())
        try:
            while not (await asyncio.wait([turn], timeout=KEEPALIVE_S))[0]:
                await _send(exchange, ConfigurationPart())
            yield
        finally:
            turn.cancel()
            if turn.done() and not turn.cancelled():
                self._transfers.release()

    async def _wait_for(self, revision: int) -> bool:
        """Wait for the configuration of a revision; return whether it is in force."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_PATIENCE_S):
                while not self._versions or self._mirror.revision < revision:
                    await self._advanced.wait()
                return True
        return False

    def _wake(self) -> None:
        advanced, self._advanced = self._advanced, asyncio.Event()
        advanced.set()

    async def _obtain(self) -> None:
        """Get the configuration that is awaited from the first source that has it."""
        since_s = now_s()
        value, self._value = self._value, None
        if value is not None:
            await self._apply_value(value, value.revision, since_s)
            return
        awaited = self._mirror.awaited_revision
        until_s = since_s + PEERS_PATIENCE_S + random.uniform(0.0, PATIENCE_SPREAD_S)
        failed: Counter[str] = Counter()
        while True:
            for peer in sorted(
                self._list_sources(), key=lambda peer: failed[peer.name]
            ):
                if await self._ask(peer, awaited, since_s):
                    return
                if self._is_superseded(awaited):
                    return
                failed[peer.name] += 1
                if now_s() >= until_s:
                    break
            if self._is_reader() or now_s() >= until_s:
                break
            await asyncio.sleep(RETRY_S)
        await self._read_store(awaited, since_s)

    def _is_superseded(self, awaited: int) -> bool:
        """Return whether the awaited configuration has arrived in another way."""
        return (
            self._value is not None
            or not self._mirror.configuration_awaited.is_set()
            or self._mirror.revision >= awaited
        )

    async def _ask(self, peer: Host, awaited: int, since_s: float) -> bool:
        """Ask a peer for the configuration; return whether it is in force now."""
        own = await self._find_current()
        for base in (own, None):
            try:
                return await self._receive(peer, awaited, base, since_s)
            except ConfigurationRefused as exc:
                # The whole may still be good.
                self._decisions.belief(
                    "configuration refused", peer=peer.name, reason=exc.message
                )
            except (LinkError, RemoteError) as exc:
                self._decisions.belief(
                    "configuration not received", peer=peer.name, reason=exc.message
                )
                return False
            if base is None:
                break
        return False

    async def _receive(
        self,
        peer: Host,
        awaited: int,
        base: DigestedConfiguration | None,
        since_s: float,
    ) -> bool:
        ask = AskConfiguration(awaited, base.digest if base else NO_BASE, self._rate)
        replies = self._links.find(peer).stream(ask, PART_TIMEOUT_S)
        async with contextlib.aclosing(replies):
            offer = await anext(replies, None)
            if not isinstance(offer, ConfigurationOffer) or not offer.known:
                return False
            if offer.revision < awaited:
                raise ConfigurationRefused("the peer has an earlier configuration")
            if base is not None and offer.digest == base.digest:
                receipt = Receipt(UNCHANGED, 0, 0.0, peer.name)
                self._accept(base, offer.revision, receipt, since_s)
                return True
            runner = StepRunner()
            reader = ChangeReader(base, offer.base, offer.version, offer.digest)
            size = 0
            async for part in replies:
                if not isinstance(part, ConfigurationPart):
                    name = type(part).__name__
                    raise ConfigurationRefused(f"unexpected message {name}")
                size += len(part.data)
                await runner.run(reader.feed_steps(part.data))
        result = reader.finish()
        source = FROM_PEER_WHOLE if offer.base == NO_BASE else FROM_PEER_DELTA
        receipt = Receipt(source, size, runner.longest_s, peer.name)
        self._accept(result, offer.revision, receipt, since_s)
        return True

    def _accept(
        self,
        result: DigestedConfiguration,
        revision: int,
        receipt: Receipt,
        since_s: float,
    ) -> None:
        version = result.configuration.version
        self._put_in_force(result.configuration, revision)
        if self._versions and self._versions[-1] is result.configuration:
            self._digests.setdefault(version, _make_done(result))
        self._mirror.record_configuration(revision)
        self._report(version, receipt, since_s)

    async def _read_store(self, awaited: int, since_s: float) -> None:
        try:
            item = await self._store.get(self._mirror.configuration_key)
        except StoreError as exc:
            self._decisions.belief("configuration not read", reason=exc.message)
            await asyncio.sleep(RETRY_S)
            return
        if item is None:
            await asyncio.sleep(ABSENT_RETRY_S)
            return
        revision = item.revision
        if find_epoch(awaited) == find_epoch(revision):
            # The read was made after the store was known to have reached ``awaited``.
            revision = max(revision, awaited)
        await self._apply_value(item, revision, since_s)

    async def _apply_value(self, item: Item, revision: int, since_s: float) -> None:
        """Put a value of the store in force.

        Args:
            item: The value.
            revision: A revision at which it was the newest value.
            since_s: When this host first heard of it.
        """
        runner = StepRunner()
        try:
            configuration = await runner.run(
                self._decoder.decode_configuration_steps(item)
            )
        except SettingsError as exc:
            self._decisions.belief(
                "configuration kept", reason=str(exc), revision=item.revision
            )
        else:
            self._put_in_force(configuration, item.revision)
            receipt = Receipt(FROM_STORE, len(item.value), runner.longest_s)
            self._report(configuration.version, receipt, since_s)
        self._mirror.record_configuration(revision)

    def _report(self, version: int, receipt: Receipt, since_s: float) -> None:
        taken_s = now_s() - since_s
        self._measures.observe("configuration_seconds", taken_s, source=receipt.source)
        self._measures.observe(
            "configuration_step_seconds", receipt.longest_s, source=receipt.source
        )
        self._decisions.belief(
            "configuration received",
            version=version,
            source=receipt.source,
            peer=receipt.peer,
            bytes=receipt.size,
            taken_s=round(taken_s, 3),
            longest_step_s=round(receipt.longest_s, 4),
        )

    async def _find_current(self) -> DigestedConfiguration | None:
        """Return the configuration in force with its digest, or None without one."""
        if not self._versions:
            return None
        return await self._find_digested(self._versions[-1])

    async def _find_digested(
        self, configuration: Configuration
    ) -> DigestedConfiguration:
        version = configuration.version
        task = self._digests.get(version)
        if task is None:
            steps = digest_steps(configuration)
            task = self._digests[version] = asyncio.ensure_future(
                StepRunner().run(steps)
            )
            task.add_done_callback(tasks.ignore_failure)
        return await asyncio.shield(task)

    async def _find_change(
        self, base_digest: str, target: DigestedConfiguration
    ) -> EncodedChange:
        """Return the change from a base, or the whole if the base is not known."""
        base = None
        for configuration in list(self._versions):
            known = await self._find_digested(configuration)
            if known.digest == base_digest:
                base = known
        key = (base.digest if base else NO_BASE, target.digest)
        task = self._changes.get(key)
        if task is None:
            # Many followers ask for the same change at the same time.
            steps = encode_steps(base, target)
            task = asyncio.ensure_future(StepRunner().run(steps))
            task.add_done_callback(tasks.ignore_failure)
            self._changes[key] = task
            while len(self._changes) > KEPT_CHANGES:
                del self._changes[next(iter(self._changes))]
        return await asyncio.shield(task)


async def _send(
    exchange: Exchange, message: ConfigurationOffer | ConfigurationPart
) -> None:
    """Send a message that others follow.

    Raises:
        LinkLost: The host that asked has taken none for ``SEND_TIMEOUT_S``.
    """
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await exchange.send(message, more=True)
    except TimeoutError as exc:
        raise LinkLost(f"no part was taken for {SEND_TIMEOUT_S:g} s") from exc


def _make_done(result: DigestedConfiguration) -> asyncio.Future:
    fut = asyncio.get_running_loop().create_future()
    fut.set_result(result)
    return fut
