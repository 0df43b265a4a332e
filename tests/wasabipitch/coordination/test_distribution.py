import asyncio
import contextlib
import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from tests.wasabipitch.coordination.peers_fixture import run_peers
from tests.wasabipitch.coordination.test_configuration_delta import (
    digest,
    encode,
    make_configuration,
)
from wasabipitch import tasks
from wasabipitch.coordination import distribution as module
from wasabipitch.coordination.directory import Directory
from wasabipitch.coordination.distribution import (
    PART_BYTES,
    ConfigurationDistribution,
)
from wasabipitch.coordination.mirror import LARGE_VALUE_BYTES, StoreMirror
from wasabipitch.coordination.store import Item, Omission
from wasabipitch.exceptions import SettingsError
from wasabipitch.links import RemoteError
from wasabipitch.messages import AskStoreHead
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.peer_messages import (
    AskConfiguration,
    ConfigurationOffer,
    ConfigurationPart,
    StoreHead,
)

KEY = "config"
ROUTES = 400


class Documents:
    """Decodes configurations whose values name their version and number of routes."""

    configuration_key = KEY
    instances_prefix = "instances/"

    def decode_configuration(self, item):
        version, routes = item.value.split()[:2]
        if int(version) == 0:
            raise SettingsError("no version")
        return make_configuration(int(version), int(routes))

    def decode_configuration_steps(self, item):
        yield
        return self.decode_configuration(item)

    def decode_instance(self, item):
        return None


def make_value(version, routes=ROUTES):
    return b"%d %d " % (version, routes) + b"x" * LARGE_VALUE_BYTES


class Host:
    """The parts of a host that get a configuration and pass it on."""

    def __init__(self, name, peer, store):
        self.name = name
        self.peer = peer
        self.store = store
        self.sources = []
        self.is_reader = False
        self.events = []
        decisions = DecisionLog(name)
        decisions.belief = lambda event, **fields: self.events.append((event, fields))
        self.mirror = StoreMirror(store, decisions)
        self.mirror.configuration_key = KEY
        self.directory = Directory(
            self.mirror, Documents(), decisions, self.apply, lambda group: None
        )
        self.distribution = ConfigurationDistribution(
            self.mirror,
            Documents(),
            store,
            peer.links,
            lambda: [host.peer.host for host in self.sources],
            lambda: self.is_reader,
            self.directory.put_in_force,
            0.0,
            decisions,
            Measures(),
        )
        self.directory.on_large_configuration = self.distribution.offer_value

    def apply(self, configuration):
        self.distribution.record(configuration)

    @property
    def version(self):
        configuration = self.directory.configuration
        return configuration.version if configuration else 0

    def read(self, version, revision, routes=ROUTES):
        """Apply the change of the configuration as the store's watch returns it."""
        self.mirror._apply(Item(KEY, make_value(version, routes), revision))
        self.mirror._advance_revision(revision)

    def hear(self, revision):
        """Apply the change of the configuration as a watcher passes it on."""
        self.mirror._apply(Omission(KEY, revision))
        self.mirror._advance_revision(revision)

    def find_receipts(self):
        return [
            (fields["version"], fields["source"])
            for event, fields in self.events
            if event == "configuration received"
        ]


class DistributionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.hosts = {}
        names = ("first", "second", "third")
        # Replaces the answer of a host by name.
        self.handlers = {}
        peers = run_peers({name: self.make_handler(name) for name in names})
        peers = await self.enterAsyncContext(peers)
        for name in names:
            host = self.hosts[name] = Host(name, peers[name], self.store)
            task = tasks.spawn(host.distribution.run(), name)
            self.addAsyncCleanup(tasks.cancel, task)
        self.first, self.second, self.third = self.hosts.values()
        self.second.sources = [self.first]
        self.third.sources = [self.first, self.second]
        self.first.is_reader = True
        for patched in ("RETRY_S", "ABSENT_RETRY_S"):
            self.enterContext(patch.object(module, patched, 0.02))

    def make_handler(self, name):
        async def handle(exchange):
            if name in self.handlers:
                return await self.handlers[name](exchange)
            if isinstance(exchange.message, AskStoreHead):
                return StoreHead(True)
            distribution = self.hosts[name].distribution
            return await distribution.answer(exchange, exchange.message)

        return handle

    async def wait_for(self, is_true):
        async with asyncio.timeout(5):
            while not is_true():
                await asyncio.sleep(0.005)

    async def test_a_value_of_the_store_comes_into_force_and_is_passed_on_whole(self):
        self.first.read(1, 10)
        self.second.hear(10)
        await self.wait_for(lambda: self.second.version == 1)
        self.assertEqual(
            self.second.directory.configuration, self.first.directory.configuration
        )
        self.assertEqual(self.first.find_receipts(), [(1, "store")])
        self.assertEqual(self.second.find_receipts(), [(1, "peer whole")])
        self.assertEqual(self.store.calls, [])

    async def test_a_host_with_the_version_before_gets_the_difference(self):
        self.first.read(1, 10)
        self.second.hear(10)
        await self.wait_for(lambda: self.second.version == 1)
        self.first.read(2, 12, ROUTES + 1)
        self.second.hear(12)
        await self.wait_for(lambda: self.second.version == 2)
        self.assertEqual(self.second.find_receipts()[-1], (2, "peer delta"))
        received = self.second.events[-1][1]
        self.assertLess(received["bytes"], 600)
        # A host that got the difference passes it on like the one that had the value.
        self.third.sources = [self.second]
        self.third.hear(12)
        await self.wait_for(lambda: self.third.version == 2)

    async def test_the_revision_stays_below_a_configuration_that_is_not_in_force(self):
        # A host would otherwise run requests of a key that is revoked by it.
        self.first.read(1, 10)
        await self.wait_for(lambda: self.first.mirror.revision == 10)
        blocked = asyncio.Event()
        answer = self.first.distribution.answer

        async def answer_later(exchange):
            await blocked.wait()
            return await answer(exchange, exchange.message)

        self.handlers["first"] = answer_later
        self.second.mirror._advance_revision(8)
        self.second.hear(10)
        self.second.mirror._advance_revision(15)
        await asyncio.sleep(0.1)
        self.assertEqual(self.second.mirror.revision, 9)
        self.assertEqual(self.second.mirror.received_revision, 15)
        blocked.set()
        await self.wait_for(lambda: self.second.mirror.revision == 15)
        self.assertEqual(self.second.version, 1)

    async def test_the_revision_advances_after_the_configuration_not_before(self):
        seen = []
        self.first.read(1, 10)
        self.second.mirror.on_advanced(
            lambda: seen.append((self.second.mirror.revision, self.second.version))
        )
        self.second.hear(10)
        await self.wait_for(lambda: self.second.mirror.revision == 10)
        self.assertEqual(seen, [(9, 0), (10, 1)])
        self.first.mirror.on_advanced(
            lambda: seen.append((self.first.mirror.revision, self.first.version))
        )
        self.first.read(2, 12)
        await self.wait_for(lambda: self.first.mirror.revision == 12)
        self.assertEqual(seen[2:], [(11, 1), (12, 2)])

    async def test_versions_that_overtake_each_other(self):
        self.first.read(2, 12)
        await self.wait_for(lambda: self.first.version == 2)
        self.second.hear(10)
        self.second.hear(12)
        await self.wait_for(lambda: self.second.mirror.revision == 12)
        self.assertEqual(self.second.version, 2)
        # The value of the earlier version arrives late.
        self.second.mirror._apply(Item(KEY, make_value(1), 10))
        await asyncio.sleep(0.05)
        self.assertEqual(self.second.version, 2)
        self.assertEqual(self.second.mirror.revision, 12)

    async def test_a_peer_that_has_only_the_version_before_is_not_believed(self):
        self.first.read(1, 10)
        await self.wait_for(lambda: self.first.version == 1)
        with patch.object(module, "ANSWER_PATIENCE_S", 0.05):
            self.second.hear(12)
            await asyncio.sleep(0.2)
            self.assertEqual(self.second.mirror.revision, 11)
            self.assertEqual(self.second.version, 0)
        self.first.read(2, 12)
        await self.wait_for(lambda: self.second.mirror.revision == 12)

    async def test_the_version_never_goes_back(self):
        # The store returned from an older copy, which the peer has read.
        self.first.read(4, 10)
        self.second.read(5, 10)
        await self.wait_for(lambda: self.second.version == 5)
        self.first.mirror._advance_revision(20)
        self.second.hear(20)
        await self.wait_for(lambda: self.second.mirror.revision == 20)
        self.assertEqual(self.second.version, 5)

    async def test_a_malformed_value_is_awaited_no_longer(self):
        self.first.read(1, 10)
        await self.wait_for(lambda: self.first.version == 1)
        self.first.read(0, 12)
        self.second.hear(12)
        await self.wait_for(lambda: self.second.mirror.revision == 12)
        self.assertEqual((self.first.version, self.second.version), (1, 1))
        self.assertIn("configuration kept", [event for event, _ in self.first.events])

    async def test_a_host_that_ends_halfway_is_replaced_by_the_next_one(self):
        self.first.read(1, 10)
        self.second.read(1, 10)
        await self.wait_for(lambda: self.second.version == 1)
        whole = encode(None, digest(make_configuration(1, ROUTES)))

        async def end_halfway(exchange):
            offer = ConfigurationOffer(True, 10, 1, "", whole.digest, len(whole.data))
            await exchange.send(offer, more=True)
            await exchange.send(ConfigurationPart(whole.data[:1000]), more=True)
            exchange.connection.close()

        self.handlers["first"] = end_halfway
        self.third.hear(10)
        await self.wait_for(lambda: self.third.version == 1)
        self.assertEqual(self.third.events[-1][1]["peer"], "second")
        self.assertEqual(self.store.calls, [])

    async def test_a_peer_that_sends_something_else_is_replaced_by_the_next_one(self):
        self.second.read(1, 10)
        await self.wait_for(lambda: self.second.version == 1)

        async def answer_oddly(exchange):
            await exchange.send(ConfigurationOffer(True, 10, 1, "", "d", 9), more=True)
            return StoreHead(True)

        self.handlers["first"] = answer_oddly
        self.third.hear(10)
        await self.wait_for(lambda: self.third.version == 1)
        self.assertEqual(self.third.events[-1][1]["peer"], "second")

    async def test_an_earlier_configuration_than_was_asked_for_is_refused(self):
        # It would be asked for again and again.
        self.second.read(1, 10)
        await self.wait_for(lambda: self.second.version == 1)

        async def answer_early(exchange):
            return ConfigurationOffer(True, 9, 1, "", "d", 9)

        self.handlers["first"] = answer_early
        self.third.hear(10)
        await self.wait_for(lambda: self.third.version == 1)
        self.assertEqual(self.third.events[-1][1]["peer"], "second")

    async def test_a_silent_peer_is_replaced_by_the_next_one(self):
        self.second.read(1, 10)
        await self.wait_for(lambda: self.second.version == 1)

        async def stay_silent(exchange):
            await asyncio.Event().wait()

        self.handlers["first"] = stay_silent
        with patch.object(module, "PART_TIMEOUT_S", 0.1):
            self.third.hear(10)
            await self.wait_for(lambda: self.third.version == 1)
        self.assertEqual(self.store.calls, [])

    async def test_the_store_is_read_once_no_peer_has_delivered_in_time(self):
        self.store.put(KEY, make_value(3))
        with (
            patch.object(module, "PEERS_PATIENCE_S", 0.3),
            patch.object(module, "PATIENCE_SPREAD_S", 0.0),
            patch.object(module, "ANSWER_PATIENCE_S", 0.05),
        ):
            self.third.hear(self.store.revision)
            await asyncio.sleep(0.15)
            self.assertEqual(self.store.calls, [])
            await self.wait_for(lambda: self.third.version == 3)
        self.assertEqual(self.store.calls, ["get"])
        self.assertEqual(self.third.mirror.revision, self.store.revision)

    async def test_a_host_of_a_small_fleet_reads_the_store_at_once(self):
        self.store.put(KEY, make_value(3))
        self.first.hear(self.store.revision)
        await self.wait_for(lambda: self.first.version == 3)
        self.assertEqual(self.store.calls, ["get"])

    async def test_a_watcher_reads_the_store_as_soon_as_its_source_has_ended(self):
        # All followers would otherwise read it at the same time as the watcher.
        self.store.put(KEY, make_value(3))

        async def end(exchange):
            exchange.connection.close()

        self.handlers["first"] = end
        self.second.is_reader = True
        for host in (self.second, self.third):
            host.hear(self.store.revision)
        await self.wait_for(lambda: self.third.version == 3)
        self.assertEqual(self.second.find_receipts(), [(3, "store")])
        self.assertEqual(self.third.find_receipts(), [(3, "peer whole")])
        self.assertEqual(self.store.calls, ["get"])

    async def test_a_store_that_fails_is_read_again(self):
        self.store.put(KEY, make_value(3))
        self.store.down = True
        self.first.hear(self.store.revision)
        await asyncio.sleep(0.1)
        self.store.down = False
        await self.wait_for(lambda: self.first.version == 3)

    async def test_a_difference_with_another_digest_is_replaced_by_the_whole(self):
        self.first.read(1, 10)
        self.second.hear(10)
        await self.wait_for(lambda: self.second.version == 1)
        self.first.read(2, 12, ROUTES + 1)
        find_change = self.first.distribution._find_change

        async def damage(base, target):
            change = await find_change(base, target)
            other = await find_change(base, await find_target())
            return (
                change
                if not base
                else module.EncodedChange(
                    base, change.version, change.digest, other.data
                )
            )

        async def find_target():
            return digest(make_configuration(2, ROUTES + 3))

        with patch.object(self.first.distribution, "_find_change", damage):
            self.second.hear(12)
            await self.wait_for(lambda: self.second.version == 2)
        self.assertEqual(self.second.find_receipts()[-1], (2, "peer whole"))
        self.assertEqual(
            self.second.directory.configuration, self.first.directory.configuration
        )

    async def test_a_call_on_the_same_link_does_not_wait_for_the_configuration(self):
        self.first.read(1, 10, 4000)
        await self.wait_for(lambda: self.first.version == 1)
        link = self.second.peer.links.find(self.first.peer.host)
        sizes, answered_after = [], []
        ask = AskConfiguration(10, "", 60_000.0)

        async def ask_head():
            await link.call(AskStoreHead(), 1.0)
            answered_after.append(len(sizes))

        async with contextlib.aclosing(link.stream(ask, 1.0)) as parts:
            offer = await anext(parts)
            async for part in parts:
                sizes.append(len(part.data))
                if len(sizes) == 2:
                    call = asyncio.ensure_future(ask_head())
        await call
        self.assertEqual(sum(sizes), offer.size)
        self.assertLessEqual(max(sizes), PART_BYTES)
        self.assertLess(answered_after[0], len(sizes) - 1)

    async def test_hosts_that_wait_for_their_turn_hear_that_the_peer_lives(self):
        self.first.read(1, 10)
        await self.wait_for(lambda: self.first.version == 1)
        self.first.distribution._transfers = asyncio.Semaphore(0)
        link = self.second.peer.links.find(self.first.peer.host)
        with patch.object(module, "KEEPALIVE_S", 0.02):
            ask = AskConfiguration(10)
            async with contextlib.aclosing(link.stream(ask, 1.0)) as parts:
                await anext(parts)
                self.assertEqual(await anext(parts), ConfigurationPart())
                self.assertEqual(await anext(parts), ConfigurationPart())
                self.first.distribution._transfers.release()
                data = b"".join([part.data async for part in parts])
        whole = encode(None, digest(make_configuration(1, ROUTES)))
        self.assertEqual(len(data), len(whole.data))
        # The turn is given back, also by a host that stops halfway.
        await self.wait_for(lambda: not self.first.distribution._transfers.locked())

    async def test_a_host_that_takes_no_parts_does_not_keep_others_waiting(self):
        # A frozen host would hold its turn until its connection ends.
        self.first.read(1, 10, 4000)
        await self.wait_for(lambda: self.first.version == 1)
        self.first.distribution._transfers = asyncio.Semaphore(1)
        link = self.second.peer.links.find(self.first.peer.host)
        with (
            patch.object(link, "_send_continue", lambda number: None),
            patch.object(module, "SEND_TIMEOUT_S", 0.1),
            patch.object(module, "PART_BYTES", 512),
            self.assertRaises(RemoteError),
        ):
            async with contextlib.aclosing(
                link.stream(AskConfiguration(10), 1.0)
            ) as parts:
                async for _ in parts:
                    pass
        self.third.hear(10)
        await self.wait_for(lambda: self.third.version == 1)

    async def test_a_host_without_a_configuration_says_so(self):
        link = self.second.peer.links.find(self.first.peer.host)
        with patch.object(module, "ANSWER_PATIENCE_S", 0.01):
            self.assertEqual(
                await link.call(AskConfiguration(0)), ConfigurationOffer(False)
            )


if __name__ == "__main__":
    unittest.main()
