import asyncio
import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch import tasks
from wasabipitch.coordination.documents import HEAD_KEY
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.store import Item, Listing
from wasabipitch.operations.decisions import DecisionLog


class _LateWatcher:
    """A watcher that passes changes on after a delay."""

    is_following = True

    def __init__(self, store):
        self.delay_s = 0.1
        self._store = store

    async def watch(self, prefix, after, wait_s):
        changes = await self._store.watch(prefix, after, wait_s)
        await asyncio.sleep(self.delay_s)
        return changes


class MirrorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.store.put("a", b"1")
        self.mirror = StoreMirror(self.store, DecisionLog("host"))
        self.changes = []
        self.mirror.subscribe(lambda key, item: self.changes.append((key, item)))
        task = tasks.spawn(self.mirror.run(), "mirror")
        self.addAsyncCleanup(tasks.cancel, task)
        await self.mirror.loaded.wait()

    async def settle(self):
        for _ in range(20):
            await asyncio.sleep(0.01)

    async def test_changes_and_removals_arrive(self):
        self.store.put("a", b"2")
        self.store.remove("a")
        await self.settle()
        self.assertEqual(
            [item and item.value for _, item in self.changes][-2:], [b"2", None]
        )
        self.assertNotIn("a", self.mirror.items)

    async def test_an_item_that_a_listener_fails_on_is_no_reason_to_load_again(self):
        # Another writer's entry ended the task, and each start of it read everything.
        def fail(key, item):
            raise ZeroDivisionError

        self.mirror._listeners.insert(0, fail)
        with self.assertLogs("wasabipitch.coordination.mirror"):
            self.store.put("odd", b"1")
            self.store.put("b", b"1")
            await self.settle()
        self.assertIn("b", [key for key, _ in self.changes])
        self.assertEqual(self.store.calls.count("list"), 1)

    async def test_lost_history_reloads_all_items(self):
        self.store.watches_blocked = True
        self.store.remove("a")
        self.store.put("b", b"1")
        self.store.compact_history()
        self.store.watches_blocked = False
        self.store.put("c", b"1")
        await self.settle()
        self.assertEqual(set(self.mirror.items), {"b", "c"})

    async def test_a_check_confirms_as_of_when_it_was_sent(self):
        with patch("wasabipitch.coordination.mirror.now_s", return_value=500.0):
            self.assertTrue(await self.mirror.check())
        self.assertEqual(self.mirror.confirmed_at_s, 500.0)

    async def test_a_newer_head_that_the_watch_misses_is_read_at_once(self):
        self.store.watches_blocked = True
        await self.store.commit({}, {HEAD_KEY: b"", "wasabipitch/groups/g": b"r"})
        self.assertTrue(await self.mirror.check())
        self.assertEqual(self.mirror.items["wasabipitch/groups/g"].value, b"r")

    async def test_a_follower_awaits_the_records_that_its_watcher_passes_on(self):
        # All hosts of a large fleet would otherwise read the records themselves
        # whenever one is written, and after a return all are.
        self.mirror.follower = _LateWatcher(self.store)
        self.store.put("a", b"2")
        await self.settle()
        with patch.object(self.store, "list", side_effect=AssertionError):
            await self.store.commit({}, {HEAD_KEY: b"", "wasabipitch/groups/g": b"r"})
            self.assertTrue(await self.mirror.check())
        self.assertEqual(self.mirror.items["wasabipitch/groups/g"].value, b"r")
        self.mirror.follower.delay_s = 60.0
        await self.store.commit({}, {HEAD_KEY: b"", "wasabipitch/groups/g": b"s"})
        self.assertTrue(await self.mirror.check())
        self.assertEqual(self.mirror.items["wasabipitch/groups/g"].value, b"s")

    async def test_a_head_read_later_than_the_records_confirms_none_of_them(self):
        # Pages of a listing are read at different times: this listing has the new
        # head, but was begun before the group record was written.
        revision = self.store.revision
        self.store.watches_blocked = True
        await self.store.commit({}, {HEAD_KEY: b"", "wasabipitch/groups/g": b"r"})
        pages = Listing((self.store.items[HEAD_KEY],), revision)
        with patch.object(self.store, "list", return_value=pages):
            await self.mirror._load()
            self.assertFalse(await self.mirror.check())
        self.assertTrue(await self.mirror.check())
        self.assertEqual(self.mirror.items["wasabipitch/groups/g"].value, b"r")

    async def watch_behind(self, revision_after):
        """Return whether a watch is kept for 3 s while the store changes every 0.1 s.

        Args:
            revision_after: Returns the copy's revision at a time in seconds.
        """
        self.mirror._watch = watch = asyncio.Future()
        for step in range(30):
            at_s = 0.1 * step
            self.mirror.received_revision = revision_after(at_s)
            with patch("wasabipitch.coordination.mirror.now_s", return_value=at_s):
                self.mirror._check_watch(100 + step)
        return not watch.cancelled()

    async def test_a_watch_that_stays_a_little_behind_many_changes_is_kept(self):
        # It lags by 0.3 s. After a return of the store all hosts register again, so
        # that it changes all the time.
        self.assertTrue(await self.watch_behind(lambda at_s: 97 + round(10 * at_s)))

    async def test_a_watch_that_returns_nothing_is_restarted(self):
        self.assertFalse(await self.watch_behind(lambda at_s: 99))

    async def test_a_watch_that_returns_changes_late_is_restarted(self):
        self.assertFalse(await self.watch_behind(lambda at_s: 91 + round(10 * at_s)))

    async def test_own_writes_are_visible_before_the_watch_returns_them(self):
        self.store.watches_blocked = True
        writes = {HEAD_KEY: b"", "wasabipitch/groups/g": b"r"}
        revision = await self.store.commit({}, writes)
        self.mirror.apply_writes(writes, revision)
        self.assertEqual(self.mirror.head_revision, revision)
        self.assertEqual(self.changes[-1][0], "wasabipitch/groups/g")

    async def test_hosts_do_not_confirm_a_head_without_its_records(self):
        pages = Listing((Item(HEAD_KEY, b"", 99),), self.store.revision)
        with patch.object(self.store, "list", return_value=pages):
            await self.mirror._load()
        self.store.down = True

        async def confirm():
            return 123.0

        self.mirror.confirm_among_hosts = confirm
        self.assertFalse(await self.mirror.check())

    async def test_an_outage_confirms_nothing(self):
        self.store.down = True
        self.assertFalse(await self.mirror.check())
        self.assertEqual(self.mirror.confirmed_at_s, 0.0)

    async def test_agreement_among_hosts_confirms_without_the_store(self):
        self.store.down = True

        async def confirm():
            return 123.0

        self.mirror.confirm_among_hosts = confirm
        self.assertTrue(await self.mirror.check())
        self.assertEqual(self.mirror.confirmed_at_s, 123.0)
        self.assertEqual(self.mirror.store_confirmed_at_s, 0.0)

    async def test_hosts_agree_while_the_store_stays_silent(self):
        async def read_silently(key):
            await asyncio.Event().wait()

        async def confirm():
            return 123.0

        self.mirror.confirm_among_hosts = confirm
        with patch.object(self.store, "read_revision", read_silently):
            async with asyncio.timeout(5):
                self.assertTrue(await self.mirror.check())
        self.assertEqual(self.mirror.confirmed_at_s, 123.0)

    async def test_a_late_answer_of_the_store_ends_a_vain_agreement(self):
        answered = asyncio.Event()
        read_revision = self.store.read_revision

        async def read_late(key):
            await answered.wait()
            return await read_revision(key)

        async def confirm_never():
            answered.set()
            await asyncio.Event().wait()

        self.mirror.confirm_among_hosts = confirm_never
        with patch.object(self.store, "read_revision", read_late):
            async with asyncio.timeout(5):
                self.assertTrue(await self.mirror.check())
        self.assertGreater(self.mirror.store_confirmed_at_s, 0.0)

    async def test_a_cancelled_mirror_ends(self):
        mirror = StoreMirror(self.store, DecisionLog("host"))
        task = tasks.spawn(mirror.run(), "mirror")
        await mirror.loaded.wait()
        async with asyncio.timeout(2):
            await tasks.cancel(task)
        self.assertTrue(task.cancelled())
