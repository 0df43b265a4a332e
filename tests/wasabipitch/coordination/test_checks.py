import asyncio
import unittest

from standins.memory_store import MemoryStore
from tests.wasabipitch.coordination.peers_fixture import run_peers
from wasabipitch.clock import now_s
from wasabipitch.coordination.checks import SharedChecks
from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.coordination.documents import HEAD_KEY
from wasabipitch.exceptions import StoreUnavailable
from wasabipitch.peer_messages import AskHead, HeadReport


class ChecksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.store.put(HEAD_KEY, b"")
        self.checks = {}
        self.currencies = {}
        names = [f"host-{n}" for n in range(5)]
        peers = run_peers({name: self.make_handler(name) for name in names})
        self.peers = await self.enterAsyncContext(peers)
        for name, peer in self.peers.items():
            others = [p.host for other, p in self.peers.items() if other != name]
            self.currencies[name] = CopyCurrency(needs_survey=True)
            self.currencies[name].advance(self.store.revision)
            self.checks[name] = SharedChecks(
                peer.host,
                self.store,
                peer.links,
                lambda others=others: list(others),
                self.currencies[name],
                lambda others=others: list(others),
            )

        self.addAsyncCleanup(self.await_surveys)

    async def await_surveys(self):
        surveys = [check._survey for check in self.checks.values()]
        await asyncio.gather(*(task for task in surveys if task is not None))

    def make_handler(self, name):
        async def handle(exchange):
            if isinstance(exchange.message, AskHead):
                return HeadReport(2, True, self.currencies[name].known_version)
            return await self.checks[name].answer(exchange.message)

        return handle

    async def test_one_read_serves_all_hosts(self):
        asked_s = now_s()
        for check in self.checks.values():
            read_at_s, revision, store_revision = await check.read()
            self.assertEqual((revision, store_revision), (2, 2))
            self.assertLessEqual(read_at_s, now_s())
            self.assertGreater(read_at_s, asked_s - 0.5)
        self.assertEqual(self.store.calls.count("read_revision"), 1)

    async def test_a_read_that_is_shared_again_is_dated_by_its_first_request(self):
        # A proof from the time of the question would miss what was acknowledged since.
        first_s, _, _ = await self.checks["host-0"].read()
        await asyncio.sleep(0.2)
        again_s, _, _ = await self.checks["host-3"].read()
        self.assertEqual(self.store.calls.count("read_revision"), 1)
        self.assertLessEqual(again_s, first_s + 0.02)

    async def test_a_host_reads_the_store_when_the_checker_is_down(self):
        await self.peers["host-0"].server.close()
        _, revision, _ = await self.checks["host-3"].read()
        self.assertEqual(revision, 2)

    async def test_an_outage_of_the_store_raises(self):
        self.store.down = True
        with self.assertRaises(StoreUnavailable):
            await self.checks["host-3"].read()

    async def read_proven(self, name):
        """Read through the checker, as the mirror of a host does, and record it."""
        read_at_s, _, store_revision = await self.checks[name].read()
        self.currencies[name].record_read(read_at_s, store_revision)
        await asyncio.sleep(0.1)

    async def test_a_host_without_news_of_other_versions_gets_its_proof(self):
        for name in self.checks:
            self.currencies[name].hold_version(3)
            await self.read_proven(name)
            self.assertGreater(self.currencies[name].proven_at_s, 0.0)

    async def test_a_checker_asks_for_versions_before_its_reads_count(self):
        # The store came back without version 5, and only host-4 knows of it.
        self.currencies["host-4"].hold_version(5)
        self.currencies["host-0"].hold_version(4)
        await self.read_proven("host-0")
        self.assertEqual(self.currencies["host-0"].proven_at_s, 0.0)
        self.currencies["host-0"].hold_version(5)
        self.assertGreater(self.currencies["host-0"].proven_at_s, 0.0)

    async def test_a_checker_passes_on_the_versions_that_it_heard_of(self):
        self.currencies["host-4"].hold_version(5)
        await self.checks["host-4"].read()
        self.currencies["host-2"].hold_version(4)
        await self.read_proven("host-2")
        self.assertEqual(self.currencies["host-2"].known_version, 5)
        self.assertEqual(self.currencies["host-2"].proven_at_s, 0.0)

    async def test_a_silent_peer_delays_a_read_by_nothing_and_proofs_little(self):
        for name in ("host-1", "host-2", "host-3", "host-4"):
            await self.peers[name].server.close()
        async with asyncio.timeout(1.0):
            await self.read_proven("host-0")
            while not self.currencies["host-0"].proven_at_s:
                await asyncio.sleep(0.02)
