import asyncio
import contextlib
import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from tests.wasabipitch.coordination.peers_fixture import run_peers
from wasabipitch.clock import now_s
from wasabipitch.coordination import following
from wasabipitch.coordination.following import (
    MAX_KEPT_CHANGES,
    WATCHERS_HASH_KEY,
    ChangeFollower,
    ChangeHistory,
    pack,
    unpack,
)
from wasabipitch.coordination.store import Item, Omission, Removal
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_messages import AskChanges, ChangesReport
from wasabipitch.policy.ownership import choose_owners, order_owners


def item(revision):
    return Item("k", b"v", revision)


class ChangeHistoryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.history = ChangeHistory()
        self.history.begin(10)

    async def test_changes_after_a_revision_are_returned(self):
        for revision in (11, 12, 13):
            self.history.add(item(revision))
        self.history.advance(13)
        changes = await self.history.wait(11, 0.1)
        self.assertEqual([event.revision for event in changes.events], [12, 13])
        self.assertEqual(changes.revision, 13)

    async def test_a_change_added_early_is_returned_again_later(self):
        self.history.add(item(15))
        self.history.add(item(12))
        self.history.advance(12)
        first = await self.history.wait(10, 0.1)
        self.assertEqual({event.revision for event in first.events}, {12, 15})
        self.history.advance(15)
        second = await self.history.wait(first.revision, 0.1)
        self.assertEqual([event.revision for event in second.events], [15])

    async def test_revisions_before_the_start_are_unknown(self):
        self.history.advance(12)
        self.assertIsNone(await self.history.wait(9, 0.1))

    async def test_dropped_revisions_are_unknown(self):
        for revision in range(11, 11 + MAX_KEPT_CHANGES + 5):
            self.history.add(item(revision))
        self.history.advance(11 + MAX_KEPT_CHANGES)
        self.assertIsNone(await self.history.wait(12, 0.1))
        self.assertIsNotNone(await self.history.wait(15, 0.1))

    async def test_without_changes_the_wait_ends(self):
        changes = await self.history.wait(10, 0.01)
        self.assertEqual((changes.events, changes.revision), ((), 10))

    async def test_a_history_that_was_not_started_knows_nothing(self):
        history = ChangeHistory()
        history.advance(5)
        self.assertIsNone(await history.wait(1, 0.1))

    def test_events_survive_packing(self):
        for event in (Item("k", b"", 4, 7), Removal("k", 5), Omission("k", 6)):
            self.assertEqual(unpack(pack(event)), event)


class ReceivingWatcherTest(unittest.IsolatedAsyncioTestCase):
    """A watcher that takes long to receive a large value from the store."""

    async def asyncSetUp(self):
        peers = await self.enterAsyncContext(
            run_peers({"watcher": self.answer, "follower": self.answer})
        )
        self.store, self.history = MemoryStore(), ChangeHistory()
        self.history.begin(10)
        self.watcher = self.make_follower(peers["watcher"], peers, self.history)
        self.follower = self.make_follower(peers["follower"], peers, ChangeHistory())

    def make_follower(self, own, peers, history):
        return ChangeFollower(
            own.host,
            self.store,
            history,
            own.links,
            lambda: {"watcher": "rome", "follower": "rome"},
            lambda name: peers[name].host,
            1,
            DecisionLog(own.name),
        )

    async def answer(self, exchange):
        return await self.watcher.answer(exchange.message)

    async def test_its_followers_hear_of_the_parts_that_arrive(self):
        # They counted it as late after 0.6 s, and then each read the value themselves.
        watchers = patch.object(following, "choose_owners", lambda *_: {"watcher"})
        self.enterContext(watchers)
        self.store.progressed_at_s = started_s = now_s()
        changes = await self.follower.watch("", 10, 5.0)
        self.assertEqual((changes.events, changes.revision), ((), 10))
        self.assertTrue(self.follower.is_following)
        self.assertGreaterEqual(self.follower.read_progress_s(), started_s)
        self.assertEqual(self.store.calls, [])
        # The answer comes with the value, and then nothing more is received.
        self.store.progressed_at_s = 0.0
        self.history.add(Omission("k", 11))
        self.history.advance(11)
        changes = await self.follower.watch("", 10, 5.0)
        self.assertEqual(changes.events, (Omission("k", 11),))

    async def test_without_parts_a_question_waits_as_long_as_it_asks_for(self):
        with patch.object(following, "PROGRESS_REPORT_S", 0.02):
            started_s = now_s()
            report = await self.watcher.answer(AskChanges(10, 0.2, True))
            self.assertGreaterEqual(now_s() - started_s, 0.2)
        self.assertEqual(report, ChangesReport(True, (), 10))

    async def test_a_change_ends_the_wait_at_once(self):
        with patch.object(following, "PROGRESS_REPORT_S", 5.0):
            call = asyncio.ensure_future(self.watcher.answer(AskChanges(10, 5.0, True)))
            await asyncio.sleep(0.02)
            self.history.add(item(11))
            self.history.advance(11)
            async with asyncio.timeout(1.0):
                self.assertEqual((await call).revision, 11)

    async def test_the_revision_advances_without_events_as_well(self):
        call = asyncio.ensure_future(self.watcher.answer(AskChanges(10, 5.0, True)))
        await asyncio.sleep(0.02)
        self.history.advance(12)
        async with asyncio.timeout(1.0):
            self.assertEqual((await call).revision, 12)


class ChoiceOfWatcherTest(unittest.IsolatedAsyncioTestCase):
    """A follower whose watcher has ended."""

    async def asyncSetUp(self):
        centres = {f"host-{n}": f"centre-{n % 2}" for n in range(6)}
        self.watchers = choose_owners(WATCHERS_HASH_KEY, centres, 2)
        self.name = min(set(centres) - self.watchers)
        self.order = order_owners(
            WATCHERS_HASH_KEY,
            self.name,
            centres[self.name],
            {name: centres[name] for name in self.watchers},
        )
        self.ended = set()
        self.asked = []
        peers = run_peers({name: self.make_handler(name) for name in centres})
        peers = await self.enterAsyncContext(peers)
        self.store = MemoryStore()
        self.store.put("k", b"v")
        own = peers[self.name]
        self.follower = ChangeFollower(
            own.host,
            self.store,
            ChangeHistory(),
            own.links,
            lambda: centres,
            lambda name: peers[name].host,
            3,
            DecisionLog(self.name),
        )
        self.peers = peers

    def make_handler(self, name):
        async def handle(exchange):
            self.asked.append(name)
            if name in self.ended:
                exchange.connection.close()
            return ChangesReport(isinstance(exchange.message, AskChanges), (), 7)

        return handle

    async def watch(self):
        return (await self.follower.watch("", 1, 0.1)).revision

    async def test_the_next_watcher_is_followed_before_the_store_is_watched(self):
        # The store would send each follower the whole of a large value.
        self.ended.add(self.order[0])
        self.assertEqual(await self.watch(), 7)
        self.assertEqual(self.asked, self.order)
        self.assertEqual(self.store.calls, [])
        self.assertTrue(self.follower.is_following)
        self.assertFalse(self.follower.is_watcher)

    async def test_the_store_is_watched_once_all_watchers_have_ended(self):
        self.ended |= self.watchers
        self.assertEqual(await self.watch(), self.store.revision)
        self.assertEqual(self.asked, self.order)
        self.assertEqual(self.store.calls, ["watch"])
        self.assertFalse(self.follower.is_following)
        # They are not asked again for a while.
        with contextlib.suppress(TimeoutError):
            await self.watch()
        self.assertEqual(self.asked, self.order)

    async def test_the_first_watcher_follows_no_host(self):
        own = self.peers[min(self.watchers)].host
        self.follower._own = own
        self.assertTrue(self.follower.is_watcher)
        self.assertEqual(self.follower.list_watchers(), [])
