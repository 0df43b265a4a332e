import unittest

from standins.memory_store import MemoryStore
from tests.wasabipitch.coordination.peers_fixture import run_peers
from wasabipitch.clock import now_s
from wasabipitch.coordination.checks import SharedChecks
from wasabipitch.coordination.documents import HEAD_KEY
from wasabipitch.exceptions import StoreUnavailable


class ChecksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.store.put(HEAD_KEY, b"")
        self.checks = {}
        names = [f"host-{n}" for n in range(5)]
        peers = run_peers({name: self.make_handler(name) for name in names})
        self.peers = await self.enterAsyncContext(peers)
        for name, peer in self.peers.items():
            others = [p.host for other, p in self.peers.items() if other != name]
            self.checks[name] = SharedChecks(
                peer.host, self.store, peer.links, lambda others=others: list(others)
            )

    def make_handler(self, name):
        async def handle(exchange):
            return await self.checks[name].answer()

        return handle

    async def test_one_read_serves_all_hosts(self):
        asked_s = now_s()
        for check in self.checks.values():
            read_at_s, revision, store_revision = await check.read()
            self.assertEqual((revision, store_revision), (2, 2))
            self.assertLessEqual(read_at_s, now_s())
            self.assertGreater(read_at_s, asked_s - 0.5)
        self.assertEqual(self.store.calls.count("read_revision"), 1)

    async def test_a_host_reads_the_store_when_the_checker_is_down(self):
        await self.peers["host-0"].server.close()
        _, revision, _ = await self.checks["host-3"].read()
        self.assertEqual(revision, 2)

    async def test_an_outage_of_the_store_raises(self):
        self.store.down = True
        with self.assertRaises(StoreUnavailable):
            await self.checks["host-3"].read()
