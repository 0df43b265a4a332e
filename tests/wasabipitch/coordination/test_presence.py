import asyncio
import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination import presence
from wasabipitch.coordination.documents import HostRecord
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.presence import Presence
from wasabipitch.operations.decisions import DecisionLog


class PresenceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.mirror = StoreMirror(self.store, DecisionLog("a"))
        self.presence = Presence(
            self.store, self.mirror, HostRecord("a", "rome", "a.1", "127.0.0.1:1")
        )
        self.presence.serve(["g"])
        for work in (self.mirror.run(), self.presence.run()):
            self.addAsyncCleanup(tasks.cancel, tasks.spawn(work, "test"))
        before_s = now_s()
        self.assertEqual(self.presence.count_confirmation("g", before_s), 0.0)
        async with asyncio.timeout(5):
            while self.presence.key not in self.mirror.items:
                await asyncio.sleep(0.01)
        self.before_s = before_s

    async def test_a_confirmation_from_before_the_entry_gives_no_right(self):
        self.assertEqual(self.presence.count_confirmation("g", self.before_s), 0.0)
        at_s = now_s()
        self.assertEqual(self.presence.count_confirmation("g", at_s), at_s)

    async def test_without_its_entry_a_host_has_no_right(self):
        self.store.down = True
        self.store.remove(self.presence.key)
        await asyncio.sleep(0.05)
        self.assertEqual(self.presence.count_confirmation("g", now_s()), 0.0)
        self.store.down = False
        async with asyncio.timeout(2):
            while not self.presence.count_confirmation("g", now_s()):
                await asyncio.sleep(0.01)

    async def test_only_groups_that_the_store_names_are_served(self):
        self.assertTrue(self.presence.is_serving("g"))
        self.assertEqual(self.presence.count_confirmation("h", now_s()), 0.0)
        self.presence.serve(["g", "h"])
        self.assertFalse(self.presence.is_serving("h"))
        asked_s = now_s()
        async with asyncio.timeout(2):
            while not self.presence.is_serving("h"):
                await asyncio.sleep(0.01)
        self.assertEqual(self.presence.count_confirmation("h", asked_s), 0.0)
        self.assertGreater(self.presence.count_confirmation("h", now_s()), 0.0)

    async def test_a_group_that_is_dropped_counts_until_its_work_has_ended(self):
        self.presence.serve([])
        self.assertTrue(self.presence.may_serve("g"))
        with (
            patch.object(presence, "DROPPED_MEMORY_S", 0.0),
            patch.object(presence, "RENEW_INTERVAL_S", 0.05),
        ):
            async with asyncio.timeout(5):
                while self.presence.is_serving("g"):
                    await asyncio.sleep(0.01)
        self.assertFalse(self.presence.may_serve("g"))

    async def test_a_host_that_leaves_takes_its_name_along(self):
        await self.presence.leave()
        await asyncio.sleep(0.05)
        self.assertEqual(self.mirror.select("wasabipitch/"), {})
