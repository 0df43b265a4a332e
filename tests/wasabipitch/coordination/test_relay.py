import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from standins.memory_store import MemoryStore
from tests.wasabipitch.coordination.peers_fixture import Peer, run_peers
from tests.wasabipitch.gateway_fixture import HostStore
from wasabipitch.coordination.relay import RelayedStore, answer
from wasabipitch.exceptions import LeaseEnded, RecordConflict, StoreUnavailable
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_messages import StoreCall
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

    async def test_a_store_that_returns_is_asked_again_before_the_first_timeout(self):
        # A silent store answers no call that it received before its return.
        calls = []

        async def list_silently_once(prefix, max_bytes):
            calls.append(prefix)
            if len(calls) == 1:
                await asyncio.Event().wait()
            return await self.shared.list(prefix)

        with (
            patch.object(self.store, "_read_peers", lambda: []),
            patch.object(
                self.store,
                "_direct",
                SimpleNamespace(list=list_silently_once, read_progress_s=lambda: 0.0),
            ),
        ):
            async with asyncio.timeout(5):
                listing = await self.store.list("a")
        self.assertEqual(listing.items[0].value, b"1")

    async def test_a_peer_without_the_store_makes_no_call_for_others(self):
        reply = await answer(self.shared, StoreCall("get", "a"), is_reachable=False)
        self.assertEqual(reply.error, StoreUnavailable.__name__)
        self.assertEqual(self.shared.calls, [])

    async def test_a_conditional_write_that_a_peer_may_have_made_is_not_repeated(self):
        self.host_stores["own"].cut = True
        third = Peer("third", self.make_handler("peer"))
        await third.start()
        self.addAsyncCleanup(third.server.close)
        peers = [self.peers["peer"].host, third.host]
        self.shared.lost_answers = 1
        with (
            patch.object(self.store, "_read_peers", lambda: peers),
            self.assertRaises(StoreUnavailable) as caught,
        ):
            await self.store.commit({"a": 2}, {"a": b"2"})
        self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.shared.items["a"].value, b"2")
