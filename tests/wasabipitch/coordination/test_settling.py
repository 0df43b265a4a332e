"""The mark of registrations whose successors may count operations at once."""

import asyncio
import math
import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination import registration
from wasabipitch.coordination.documents import SETTLED_PREFIX, HostRecord
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.registration import HostRegistration
from wasabipitch.operations.decisions import DecisionLog


class SettlingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        for name, seconds in (("RENEW_INTERVAL_S", 0.05), ("SETTLE_S", 0.1)):
            patcher = patch.object(registration, name, seconds)
            patcher.start()
            self.addCleanup(patcher.stop)

    async def start(self, run, cores=1.0, needs_settling=True):
        mirror = StoreMirror(self.store, DecisionLog("a"))
        record = HostRecord("a", "rome", f"a.{run}", "127.0.0.1:1", cores, 10.0)
        host = HostRegistration(self.store, mirror, record)
        host.needs_settling = lambda: needs_settling
        running = [
            tasks.spawn(coroutine, "test") for coroutine in (mirror.run(), host.run())
        ]
        for task in running:
            self.addAsyncCleanup(tasks.cancel, task)
        await self.wait_for(lambda: host.listed_since_s < math.inf)
        host.end = lambda: [task.cancel() for task in running]
        return host

    async def wait_for(self, is_true):
        async with asyncio.timeout(5):
            while not is_true():
                await asyncio.sleep(0.01)

    async def settle(self, host):
        await self.wait_for(lambda: host.is_settled)

    async def test_a_run_that_takes_over_a_settled_registration_succeeds_it(self):
        first = await self.start(1)
        self.assertFalse(first.is_successor)
        registered = self.store.items[first.key].revision
        await self.settle(first)
        self.assertEqual(self.store.items[SETTLED_PREFIX + "a.1"].value, b"0")
        # A late mark must not look like a registration of the earlier run.
        self.assertEqual(self.store.items[first.key].revision, registered)
        first.end()
        second = await self.start(2)
        self.assertTrue(second.is_successor)
        self.assertFalse(second.is_settled)
        self.assertGreater(second.listed_until_s, now_s() + 5.0)

    async def start_before_loading(self, run, before_loading):
        """Register a run before its copy of the store is loaded, as at a real start."""
        mirror = StoreMirror(self.store, DecisionLog("a"))
        record = HostRecord("a", "rome", f"a.{run}", "127.0.0.1:1", 1.0, 10.0)
        host = HostRegistration(self.store, mirror, record)
        self.addAsyncCleanup(tasks.cancel, tasks.spawn(host.run(), "test"))
        await self.wait_for(lambda: host.key in self.store.items)
        self.assertFalse(host.is_successor)
        before_loading()
        self.addAsyncCleanup(tasks.cancel, tasks.spawn(mirror.run(), "test"))
        await self.wait_for(mirror.loaded.is_set)
        return host

    async def test_a_run_that_registers_before_it_has_loaded_the_store_succeeds(self):
        # No host counted for 2.5 s after a loss of power, since every host registers
        # before its copy shows the earlier run.
        first = await self.start(1)
        await self.settle(first)
        first.end()
        second = await self.start_before_loading(2, lambda: None)
        self.assertTrue(second.is_successor)

    async def test_a_late_write_of_an_earlier_run_is_no_predecessor(self):
        first = await self.start(1)
        await self.settle(first)
        first.end()
        value = self.store.items[first.key].value
        self.store.remove(first.key)
        late = lambda: self.store.put(first.key, value)  # noqa: E731
        self.assertFalse((await self.start_before_loading(2, late)).is_successor)

    async def test_an_unsettled_registration_has_no_successor(self):
        (await self.start(1, needs_settling=False)).end()
        self.assertFalse((await self.start(2)).is_successor)

    async def test_without_limits_no_call_is_made_to_settle(self):
        first = await self.start(1, needs_settling=False)
        calls = self.store.calls.count("commit")
        await asyncio.sleep(0.4)
        self.assertFalse(first.is_settled)
        self.assertEqual(self.store.calls.count("commit"), calls)

    async def test_a_registration_that_ended_before_has_no_successor(self):
        # Another host may have become the first in between.
        first = await self.start(1)
        await self.settle(first)
        first.end()
        listed = dict(self.store.items)
        mirror = StoreMirror(self.store, DecisionLog("a"))
        record = HostRecord("a", "rome", "a.2", "127.0.0.1:1", 1.0, 10.0)
        host = HostRegistration(self.store, mirror, record)
        loaded = tasks.spawn(mirror.run(), "test")
        self.addAsyncCleanup(tasks.cancel, loaded)
        await self.wait_for(lambda: first.key in mirror.items)
        self.store.watches_blocked = True
        self.store.remove(first.key)
        self.assertIn(first.key, listed)
        self.addAsyncCleanup(tasks.cancel, tasks.spawn(host.run(), "test"))
        await self.wait_for(lambda: host.listed_since_s < math.inf)
        self.assertFalse(host.is_successor)

    async def test_a_host_of_another_strength_is_no_successor(self):
        # It has another rank than the hosts that knew the earlier run believe.
        first = await self.start(1, cores=0.5)
        await self.settle(first)
        first.end()
        self.assertFalse((await self.start(2, cores=2.0)).is_successor)

    async def test_a_mark_that_came_back_with_a_copy_of_the_store_is_void(self):
        first = await self.start(1)
        await self.settle(first)
        first.end()
        self.store.restore(self.store.copy())
        self.assertFalse((await self.start(2)).is_successor)

    async def test_a_lost_registration_begins_again(self):
        first = await self.start(1)
        await self.settle(first)
        since_s = first.listed_since_s
        await self.store.end_lease(first.lease)
        await self.wait_for(lambda: since_s < first.listed_since_s < math.inf)
        self.assertFalse(first.is_successor)

    async def test_a_late_write_does_not_prolong_the_lease(self):
        # The lease runs from its own call; the keys may be written seconds later.
        open_lease, opened_s = self.store.open_lease, []

        async def open_slowly(ttl_s):
            lease = await open_lease(ttl_s)
            opened_s.append(now_s())
            await asyncio.sleep(0.3)
            return lease

        self.store.open_lease = open_slowly
        with patch.object(registration, "RENEW_INTERVAL_S", 60.0):
            first = await self.start(1)
        self.assertLessEqual(first.listed_until_s, opened_s[0] + 6.0)

    async def test_a_mark_from_before_the_registration_was_lost_is_void(self):
        first = await self.start(1)
        await self.settle(first)
        with patch.object(registration, "SETTLE_S", 60.0):
            self.store.remove(first.key)
            await self.wait_for(lambda: first.key in self.store.items)
            await self.wait_for(lambda: first.listed_since_s < math.inf)
            self.assertFalse(first.is_settled)
        await self.settle(first)

    async def test_a_host_that_leaves_is_not_listed(self):
        first = await self.start(1)
        await first.leave()
        self.assertEqual(first.listed_since_s, math.inf)


if __name__ == "__main__":
    unittest.main()
