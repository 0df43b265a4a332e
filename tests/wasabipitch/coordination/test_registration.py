import asyncio
import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination import registration
from wasabipitch.coordination.documents import (
    GROUPS_PREFIX,
    HEAD_KEY,
    HOSTS_PREFIX,
    NAMED_KEY,
    NAMES_PREFIX,
    WRITERS_PREFIX,
    HostRecord,
    encode,
)
from wasabipitch.coordination.live_hosts import NAME_RETENTION_S, LiveHosts
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.registration import HostRegistration
from wasabipitch.coordination.writers import ENDED_AFTER_S, CommitWriters
from wasabipitch.exceptions import StoreUnavailable
from wasabipitch.operations.decisions import DecisionLog


class HostRegistrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.mirror = StoreMirror(self.store, DecisionLog("a"))
        self.registration = HostRegistration(
            self.store, self.mirror, HostRecord("a", "rome", "a.1", "127.0.0.1:1")
        )
        self.registration.serve(["g"])
        for coroutine in (self.mirror.run(), self.registration.run()):
            self.addAsyncCleanup(tasks.cancel, tasks.spawn(coroutine, "test"))
        before_s = now_s()
        self.assertEqual(self.registration.validate_confirmation("g", before_s), 0.0)
        async with asyncio.timeout(5):
            while self.registration.key not in self.mirror.items:
                await asyncio.sleep(0.01)
        self.before_s = before_s

    async def test_a_confirmation_from_before_the_registration_does_not_count(self):
        self.assertEqual(
            self.registration.validate_confirmation("g", self.before_s), 0.0
        )
        at_s = now_s()
        self.assertEqual(self.registration.validate_confirmation("g", at_s), at_s)

    async def test_without_its_registration_no_confirmation_counts(self):
        self.store.down = True
        self.store.remove(self.registration.key)
        await asyncio.sleep(0.05)
        self.assertEqual(self.registration.validate_confirmation("g", now_s()), 0.0)
        self.store.down = False
        async with asyncio.timeout(2):
            while not self.registration.validate_confirmation("g", now_s()):
                await asyncio.sleep(0.01)

    async def test_only_groups_that_the_store_names_are_served(self):
        self.assertTrue(self.registration.is_serving("g"))
        self.assertEqual(self.registration.validate_confirmation("h", now_s()), 0.0)
        self.registration.serve(["g", "h"])
        self.assertFalse(self.registration.is_serving("h"))
        asked_s = now_s()
        async with asyncio.timeout(2):
            while not self.registration.is_serving("h"):
                await asyncio.sleep(0.01)
        self.assertEqual(self.registration.validate_confirmation("h", asked_s), 0.0)
        self.assertGreater(self.registration.validate_confirmation("h", now_s()), 0.0)

    async def test_a_group_is_not_served_before_earlier_claims_are_known(self):
        # The holder of a claim need not have seen a host that is listed after it, so
        # the host must not commit at the primary that is being replaced.
        claim = f"{GROUPS_PREFIX}h"
        self.store.watches_blocked = True
        self.store.put(claim, b"changing")
        self.store.put(HEAD_KEY, b"h")
        early = []

        def observe(key, item):
            is_known = claim in self.mirror.items
            early.append(self.registration.is_serving("h") and not is_known)

        self.mirror.subscribe(observe)
        self.registration.serve(["g", "h"])
        async with asyncio.timeout(5):
            while not self.registration.is_serving("h"):
                await asyncio.sleep(0.01)
        self.assertNotIn(True, early)
        self.assertIn(claim, self.mirror.items)

    async def test_a_host_that_counts_as_ended_uses_no_primary(self):
        # It was suspended, or cut off from the store only. Its copy still lists it, but
        # another host has answered for its commits and has dropped it.
        at_s = now_s()
        self.assertLess(
            registration.MAX_REGISTRATION_AGE_S, NAME_RETENTION_S + ENDED_AFTER_S
        )
        self.store.down = True
        with patch.object(registration, "now_s", lambda: at_s + 29.0):
            self.assertTrue(self.registration.is_serving("g"))
        with patch.object(registration, "now_s", lambda: at_s + 31.0):
            self.assertFalse(self.registration.is_serving("g"))

    async def test_a_name_that_was_removed_is_written_again(self):
        # A host that was suspended removed it by an old count. Without a name, a host
        # counts as ended soon after its registration lapses.
        self.store.remove(f"{NAMES_PREFIX}a")
        async with asyncio.timeout(1):
            while f"{NAMES_PREFIX}a" not in self.store.items:
                await asyncio.sleep(0.01)

    async def test_a_late_registration_of_an_earlier_run_is_written_over(self):
        # The store executed a call of the earlier run, which had got no answer, after
        # this run had registered. All others took this run for ended.
        mirror = StoreMirror(self.store, DecisionLog("b"))
        live_hosts = LiveHosts(mirror, lambda: None)
        writers = CommitWriters(mirror, live_hosts)
        self.addAsyncCleanup(tasks.cancel, tasks.spawn(mirror.run(), "other"))
        await mirror.loaded.wait()
        earlier = HostRecord("a", "rome", "a.0", "127.0.0.1:1")
        self.store.put(HOSTS_PREFIX + "a.0", encode(earlier))
        await asyncio.sleep(0.05)
        self.assertEqual(list(live_hosts.hosts), ["a.1"])
        self.assertEqual(live_hosts.list_serving_hosts("g"), {"a.1"})
        self.assertEqual(writers.find_ended("g"), {})
        self.store.remove(HOSTS_PREFIX + "a.0")
        commits = self.store.calls.count("commit")
        await asyncio.sleep(0.05)
        self.assertEqual(self.store.calls.count("commit"), commits)

    async def test_a_dropped_group_stays_registered_until_its_transactions_end(self):
        self.registration.serve([])
        self.assertTrue(self.registration.may_serve("g"))
        with (
            patch.object(registration, "DROPPED_GROUP_RETENTION_S", 0.0),
            patch.object(registration, "RENEW_INTERVAL_S", 0.05),
        ):
            async with asyncio.timeout(5):
                while self.registration.is_serving("g"):
                    await asyncio.sleep(0.01)
        self.assertFalse(self.registration.may_serve("g"))

    async def test_a_host_that_is_not_listed_as_a_writer_serves_nothing(self):
        key = f"{WRITERS_PREFIX}g/a.1"
        self.store.down = True
        self.store.remove(key)
        await asyncio.sleep(0.05)
        self.assertFalse(self.registration.is_serving("g"))
        self.store.down = False
        async with asyncio.timeout(2):
            while not self.registration.is_serving("g"):
                await asyncio.sleep(0.01)
        self.assertIn(key, self.store.items)

    async def test_a_dropped_group_is_marked_as_ended_and_can_be_served_again(self):
        key = f"{WRITERS_PREFIX}g/a.1"
        with (
            patch.object(registration, "DROPPED_GROUP_RETENTION_S", 0.0),
            patch.object(registration, "RENEW_INTERVAL_S", 0.05),
        ):
            self.registration.serve([])
            async with asyncio.timeout(5):
                while self.store.items[key].value != registration.ENDED_WRITER:
                    await asyncio.sleep(0.01)
        self.assertFalse(self.registration.is_serving("g"))
        self.registration.serve(["g"])
        async with asyncio.timeout(5):
            while not self.registration.is_serving("g"):
                await asyncio.sleep(0.01)
        self.assertEqual(self.store.items[key].value, registration.ACTIVE_WRITER)

    async def test_many_groups_are_registered_within_the_limit_of_a_commit(self):
        sizes, commit = [], self.store.commit

        async def count(expected, writes, removes=(), lease=0, lasting=None):
            sizes.append(len(writes) + len(lasting or {}))
            return await commit(expected, writes, removes, lease, lasting)

        with patch.object(self.store, "commit", count):
            self.registration.serve([f"g{n}" for n in range(40)])
            async with asyncio.timeout(5):
                while not all(self.registration.is_serving(f"g{n}") for n in range(40)):
                    await asyncio.sleep(0.01)
        self.assertGreater(len(sizes), 2)
        self.assertLessEqual(max(sizes), 32)

    async def test_a_host_that_leaves_removes_its_name(self):
        await self.registration.leave()
        await asyncio.sleep(0.05)
        left = [key for key in self.mirror.items if key.startswith("wasabipitch/")]
        # Nobody answers yet for the commits that it acknowledged.
        self.assertEqual(left, [NAMED_KEY, f"{WRITERS_PREFIX}g/a.1"])


class RestoredLeaseTest(unittest.IsolatedAsyncioTestCase):
    """The store gives out the lease of a host again after it lost it."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.copy = self.store.copy()
        self.mirror = StoreMirror(self.store, DecisionLog("a"))
        self.registration = HostRegistration(
            self.store, self.mirror, HostRecord("a", "rome", "a.1", "127.0.0.1:1")
        )
        self.registration.serve(["g"])
        for coroutine in (self.mirror.run(), self.registration.run()):
            self.addAsyncCleanup(tasks.cancel, tasks.spawn(coroutine, "test"))
        await self.wait_registered()

    async def wait_registered(self):
        async with asyncio.timeout(5):
            while not (
                self.registration.is_serving("g")
                and self.mirror.epoch == self.store.epoch
            ):
                await asyncio.sleep(0.01)

    async def test_a_host_does_not_renew_the_lease_of_another_one(self):
        lease = self.registration.lease
        self.store.restore(self.copy)
        self.assertEqual(await self.store.open_lease(6.0), lease)
        await self.wait_registered()
        await self.store.end_lease(lease)
        self.assertIn(self.registration.key, self.store.items)

    async def test_keys_in_the_copy_do_not_end_with_their_old_lease(self):
        lease = self.registration.lease
        self.store.restore(self.store.copy())
        await self.wait_registered()
        async with asyncio.timeout(5):
            while self.registration.lease == lease:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        await self.store.end_lease(lease)
        keys = [self.registration.key, "wasabipitch/serving/g/a.1"]
        self.assertLessEqual(set(keys), set(self.store.items))

    async def test_a_lease_that_ended_is_no_reason_to_write_without_one(self):
        failure = StoreUnavailable("down")
        with patch.object(self.store, "open_lease", side_effect=failure):
            await self.store.end_lease(self.registration.lease)
            await asyncio.sleep(0.2)
            self.assertTrue(self.registration.lease)
