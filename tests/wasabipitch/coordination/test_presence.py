import asyncio
import unittest

from standins.memory_store import MemoryStore
from wasabipitch import tasks
from wasabipitch.clock import now_s
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
        for work in (self.mirror.run(), self.presence.run()):
            self.addAsyncCleanup(tasks.cancel, tasks.spawn(work, "test"))
        before_s = now_s()
        self.assertEqual(self.presence.count_confirmation(before_s), 0.0)
        async with asyncio.timeout(5):
            while self.presence.key not in self.mirror.items:
                await asyncio.sleep(0.01)
        self.before_s = before_s

    async def test_a_confirmation_from_before_the_entry_gives_no_right(self):
        self.assertEqual(self.presence.count_confirmation(self.before_s), 0.0)
        at_s = now_s()
        self.assertEqual(self.presence.count_confirmation(at_s), at_s)

    async def test_without_its_entry_a_host_has_no_right(self):
        self.store.down = True
        self.store.remove(self.presence.key)
        await asyncio.sleep(0.05)
        self.assertEqual(self.presence.count_confirmation(now_s()), 0.0)
        self.store.down = False
        async with asyncio.timeout(2):
            while not self.presence.count_confirmation(now_s()):
                await asyncio.sleep(0.01)

    async def test_a_host_that_leaves_takes_its_name_along(self):
        await self.presence.leave()
        await asyncio.sleep(0.05)
        self.assertEqual(self.mirror.select("wasabipitch/"), {})
