import asyncio
import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch import tasks
from wasabipitch.coordination.documents import (
    HOSTS_PREFIX,
    NAMED_KEY,
    NAMES_PREFIX,
    RELINQUISHED_PREFIX,
    SERVING_PREFIX,
    HostRecord,
    RelinquishedRecord,
    encode,
)
from wasabipitch.coordination.live_hosts import (
    PRUNE_DELAY_S,
    SHARE_RETENTION_S,
    LiveHosts,
)
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.registration import HOST_LEASE_S
from wasabipitch.coordination.store import Item, Removal
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.quorum import (
    MAX_STORE_OUTAGE_S,
    READ_LEASE_MARGIN_S,
    UNADOPTED_CLAIM_S,
)
from wasabipitch.policy.read_leases import READ_LEASE_S


class LiveHostsTest(unittest.TestCase):
    def setUp(self):
        self.at_s = 100.0
        clock = patch("wasabipitch.coordination.live_hosts.now_s", lambda: self.at_s)
        self.enterContext(clock)
        self.mirror = StoreMirror(MemoryStore(), DecisionLog("host"))
        self.live_hosts = LiveHosts(self.mirror, lambda: None)
        self.revision = 0
        self.mirror.received_revision = 100
        for name in ("a", "b"):
            self.add(name, "1")

    def put(self, key, value):
        self.revision += 1
        self.mirror._apply(Item(key, value, self.revision))

    def remove(self, key):
        self.revision += 1
        self.mirror._apply(Removal(key, self.revision))

    def add(self, name, number):
        incarnation = f"{name}.{number}"
        record = HostRecord(name, "rome", incarnation, "127.0.0.1:1")
        self.put(HOSTS_PREFIX + incarnation, encode(record))
        self.put(NAMES_PREFIX + name, b"")
        self.put(f"{SERVING_PREFIX}g/{incarnation}", b"")

    def put_relinquished(self, incarnation, revision, number=0):
        record = RelinquishedRecord(revision, 1, number)
        self.put(f"{RELINQUISHED_PREFIX}g/{incarnation}", encode(record))

    def test_every_serving_host_must_have_relinquished_the_primary(self):
        self.put_relinquished("a.1", 9, 40)
        self.assertFalse(self.live_hosts.all_relinquished("g", 9))
        self.put_relinquished("b.1", 8)
        self.assertFalse(self.live_hosts.all_relinquished("g", 9))
        self.put_relinquished("b.1", 9, 41)
        self.assertTrue(self.live_hosts.all_relinquished("g", 9))
        self.assertEqual(
            self.live_hosts.find_acknowledged_position("g", 9), Position(1, 41)
        )

    def test_a_listing_that_ends_with_an_earlier_incarnation_keeps_the_later_one(self):
        for revision, number in ((50, "1"), (40, "2")):
            incarnation = f"c.{number}"
            record = HostRecord("c", "rome", incarnation, "127.0.0.1:1")
            item = Item(HOSTS_PREFIX + incarnation, encode(record), revision)
            self.mirror._apply(item)
        self.mirror._apply(Removal(f"{HOSTS_PREFIX}c.2", 60))
        self.assertEqual(set(self.live_hosts.hosts), {"a.1", "b.1", "c.1"})

    def test_hosts_that_do_not_serve_the_group_are_not_waited_for(self):
        self.put(HOSTS_PREFIX + "c.1", encode(HostRecord("c", "rome", "c.1", "")))
        self.put(f"{SERVING_PREFIX}other/c.1", b"")
        self.assertEqual(self.live_hosts.list_serving_hosts("g"), {"a.1", "b.1"})
        for host in ("a.1", "b.1"):
            self.put_relinquished(host, 9)
        self.assertTrue(self.live_hosts.all_relinquished("g", 9))

    def test_a_mirror_behind_the_record_may_lack_hosts(self):
        for host in ("a.1", "b.1"):
            self.put_relinquished(host, 9)
        self.mirror.received_revision = 8
        self.assertFalse(self.live_hosts.all_relinquished("g", 9))

    def test_a_host_that_left_counts_while_it_may_run_without_the_store(self):
        self.put_relinquished("a.1", 9)
        self.remove(f"{SERVING_PREFIX}g/b.1")
        self.assertFalse(self.live_hosts.all_relinquished("g", 9))
        self.at_s += MAX_STORE_OUTAGE_S - 0.1
        self.assertFalse(self.live_hosts.all_relinquished("g", 9))
        self.at_s += 0.2
        self.assertTrue(self.live_hosts.all_relinquished("g", 9))

    def test_a_new_incarnation_replaces_the_earlier_one(self):
        self.add("b", "2")
        self.put_relinquished("a.1", 9)
        self.put_relinquished("b.2", 9)
        self.assertTrue(self.live_hosts.all_relinquished("g", 9))

    def test_a_host_without_its_registration_keeps_its_connections(self):
        self.live_hosts.find_data_centres()
        self.remove(HOSTS_PREFIX + "b.1")
        self.assertEqual(set(self.live_hosts.find_data_centres()), {"a", "b"})
        self.at_s += SHARE_RETENTION_S + 1
        self.assertEqual(set(self.live_hosts.find_data_centres()), {"a"})

    def test_a_name_without_a_registration_is_noticed(self):
        self.assertTrue(self.live_hosts.all_registered())
        self.remove(HOSTS_PREFIX + "b.1")
        self.assertFalse(self.live_hosts.all_registered())

    def find_stale(self):
        """Return the names that each host is to remove now."""
        return [self.live_hosts.find_stale_names(name) for name in ("a", "b")]

    def test_a_name_is_removed_once_its_host_can_hold_no_read_lease(self):
        # Until then hosts that have all restarted wait for the host, if it is gone.
        self.add("c", "1")
        self.remove(HOSTS_PREFIX + "c.1")
        self.assertEqual(self.find_stale(), [[], []])
        self.at_s += MAX_STORE_OUTAGE_S + READ_LEASE_S + READ_LEASE_MARGIN_S
        self.assertEqual(self.find_stale(), [[], []])
        self.at_s += HOST_LEASE_S + 1.0
        self.assertEqual(self.find_stale(), [[NAMES_PREFIX + "c"], []])
        self.at_s += PRUNE_DELAY_S
        self.assertEqual(self.find_stale(), [[NAMES_PREFIX + "c"]] * 2)

    def test_a_name_that_a_copy_brings_back_is_removed_at_once(self):
        self.add("c", "1")
        self.remove(HOSTS_PREFIX + "c.1")
        self.find_stale()
        self.remove(NAMES_PREFIX + "c")
        self.at_s += 30.0
        self.put(NAMES_PREFIX + "c", b"")
        self.assertEqual(self.find_stale(), [[NAMES_PREFIX + "c"]] * 2)

    def test_malformed_records_are_ignored(self):
        self.put(HOSTS_PREFIX + "x", b"\xff")
        self.put(f"{RELINQUISHED_PREFIX}g/x", b"[]")
        self.assertEqual(set(self.live_hosts.hosts), {"a.1", "b.1"})

    def add_names(self, *names):
        for name in names:
            self.add(name, "1")
        self.mirror.loaded.set()
        self.at_s += UNADOPTED_CLAIM_S + 0.1

    def test_a_claim_is_adopted_a_lease_after_half_of_the_hosts_saw_it(self):
        self.add_names("c", "d")
        self.put_relinquished("a.1", 9)
        self.at_s += READ_LEASE_S
        self.put_relinquished("b.1", 9)
        self.assertFalse(self.live_hosts.is_adopted("g", 9))
        self.at_s += READ_LEASE_S
        self.assertFalse(self.live_hosts.is_adopted("g", 9))
        self.at_s += 2 * READ_LEASE_MARGIN_S
        self.assertTrue(self.live_hosts.is_adopted("g", 9))
        self.assertFalse(self.live_hosts.is_adopted("g", 10))

    def test_a_report_that_is_written_again_counts_from_the_first_time(self):
        self.add_names("c", "d")
        for name in ("a.1", "b.1"):
            self.put_relinquished(name, 9)
        self.at_s += READ_LEASE_S + 2 * READ_LEASE_MARGIN_S
        self.remove(f"{RELINQUISHED_PREFIX}g/a.1")
        self.assertFalse(self.live_hosts.is_adopted("g", 9))
        for name in ("a.1", "b.1"):
            self.put_relinquished(name, 9)
        self.assertTrue(self.live_hosts.is_adopted("g", 9))

    def test_a_host_that_left_lately_may_still_count_for_others(self):
        self.add_names("c", "d", "e")
        self.remove(NAMES_PREFIX + "e")
        for name in ("a.1", "b.1"):
            self.put_relinquished(name, 9)
        self.at_s += READ_LEASE_S + 2 * READ_LEASE_MARGIN_S
        self.assertFalse(self.live_hosts.is_adopted("g", 9))
        self.at_s += UNADOPTED_CLAIM_S
        self.assertTrue(self.live_hosts.is_adopted("g", 9))

    def test_half_of_the_hosts_are_too_few_after_changes_were_missed(self):
        self.add_names("c", "d")
        for name in ("a.1", "b.1"):
            self.put_relinquished(name, 9)
        self.at_s += READ_LEASE_S + 2 * READ_LEASE_MARGIN_S
        self.mirror.is_loading = True
        self.put("wasabipitch/groups/g", b"")
        self.assertTrue(self.live_hosts.is_adopted("g", 9))
        self.put(NAMED_KEY, b"")
        self.assertFalse(self.live_hosts.is_adopted("g", 9))


class HostChangesTest(unittest.IsolatedAsyncioTestCase):
    """The hosts of a store that returns from older copies."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        for n in range(20):
            self.register(f"host-{n}")
        self.mirror = StoreMirror(self.store, DecisionLog("host"))
        self.changes = []
        self.live_hosts = LiveHosts(
            self.mirror,
            lambda: self.changes.append(set(self.live_hosts.find_data_centres())),
        )
        task = tasks.spawn(self.mirror.run(), "mirror")
        self.addAsyncCleanup(tasks.cancel, task)
        await self.mirror.loaded.wait()

    def register(self, name):
        incarnation = f"{name}.1"
        record = HostRecord(name, "rome", incarnation, "127.0.0.1:1")
        self.store.put(HOSTS_PREFIX + incarnation, encode(record))

    async def restore(self, copy):
        self.store.restore(copy)
        async with asyncio.timeout(5):
            while self.mirror.epoch != self.store.epoch:
                await asyncio.sleep(0.01)

    async def settle(self):
        async with asyncio.timeout(5):
            while self.mirror.revision != self.store.revision:
                await asyncio.sleep(0.01)

    async def test_hosts_that_are_listed_together_are_one_change(self):
        self.assertEqual([len(hosts) for hosts in self.changes], [20])

    async def test_hosts_that_register_again_after_a_return_are_no_change(self):
        # The owners of all groups are chosen anew at each change. In a large fleet
        # that took seconds of each host's processor time after a return.
        copy = self.store.copy()
        for _ in range(2):
            await self.restore(copy)
            for n in range(20):
                self.register(f"host-{n}")
            await self.settle()
        self.assertEqual(len(self.changes), 1)

    async def test_a_host_that_the_copy_lacks_joins_once(self):
        copy = self.store.copy()
        self.register("host-20")
        await self.settle()
        await self.restore(copy)
        self.register("host-20")
        await self.settle()
        self.assertEqual([len(hosts) for hosts in self.changes], [20, 21])
        self.assertEqual(len(self.live_hosts.hosts), 21)
