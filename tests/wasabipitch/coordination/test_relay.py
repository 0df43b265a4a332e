import unittest

from standins.memory_store import MemoryStore
from tests.wasabipitch.coordination.peers_fixture import run_peers
from tests.wasabipitch.gateway_fixture import HostStore
from wasabipitch.coordination.relay import RelayedStore, answer
from wasabipitch.exceptions import LeaseEnded, RecordConflict, StoreUnavailable
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.verdict import Verdict


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.shared = MemoryStore()
        self.shared.put("a", b"1")
        self.host_stores = {name: HostStore(self.shared) for name in ("own", "peer")}
        peers = run_peers({name: self.make_handler(name) for name in self.host_stores})
        self.peers = await self.enterAsyncContext(peers)
        own = self.peers["own"]
        self.store = RelayedStore(
            self.host_stores["own"],
            own.links,
            lambda: [self.peers["peer"].host],
            DecisionLog("own"),
        )

    def make_handler(self, name):
        async def handle(exchange):
            return await answer(self.host_stores[name], exchange.message)

        return handle

    async def test_a_host_cut_off_from_the_store_uses_a_peer(self):
        self.host_stores["own"].cut = True
        self.assertEqual((await self.store.get("a")).value, b"1")
        lease = await self.store.open_lease(5.0)
        revision = await self.store.commit({"b": 0}, {"b": b"2"}, (), lease)
        self.assertEqual((await self.store.list("b")).items[0].revision, revision)
        changes = await self.store.watch("b", revision - 1, 0.2)
        self.assertEqual(changes.events[0].value, b"2")
        await self.store.renew_lease(lease)

    async def test_errors_keep_their_class(self):
        self.host_stores["own"].cut = True
        with self.assertRaises(RecordConflict):
            await self.store.commit({"a": 99}, {"a": b"2"})
        with self.assertRaises(LeaseEnded):
            await self.store.renew_lease(5)

    async def test_no_host_reaches_the_store(self):
        self.shared.down = True
        with self.assertRaises(StoreUnavailable):
            await self.store.get("a")

    async def test_a_conditional_write_of_unknown_outcome_is_not_repeated(self):
        self.shared.lost_answers = 1
        with self.assertRaises(StoreUnavailable) as caught:
            await self.store.commit({"a": 2}, {"a": b"2"})
        self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.shared.calls.count("commit"), 1)
