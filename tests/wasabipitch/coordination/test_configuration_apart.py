"""The configuration arrives apart from the other items of the store."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch.coordination.following import ChangeFollower, unpack
from wasabipitch.coordination.mirror import LARGE_VALUE_BYTES, StoreMirror
from wasabipitch.coordination.store import Item, Omission, Removal
from wasabipitch.exceptions import StoreUnavailable
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_messages import AskChanges

KEY = "config"
SMALL, LARGE = b"small", b"x" * LARGE_VALUE_BYTES


class MirrorCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.mirror = StoreMirror(self.store, DecisionLog("host"))
        self.mirror.configuration_key = KEY
        self.mirror.other_prefixes = ("instances/", "wasabipitch/")
        self.published = []
        self.mirror.subscribe(lambda key, item: self.published.append((key, item)))
        self.store.put("instances/i", b"i")
        self.store.put("wasabipitch/named", b"n")

    def put(self, value):
        self.store.put(KEY, value)
        return self.store.revision


class ListingTest(MirrorCase):
    """What a start lists, and what it awaits afterwards."""

    async def test_a_small_configuration_is_listed_with_all_other_items(self):
        # Each call is billed: the start of small deployments takes one.
        self.mirror.max_listing_bytes = 4 * LARGE_VALUE_BYTES
        revision = self.put(SMALL)
        await self.mirror._load()
        self.assertEqual(self.store.calls, ["list"])
        self.assertEqual(self.mirror.revision, revision)
        self.assertFalse(self.mirror.configuration_awaited.is_set())

    async def test_a_large_listing_on_a_fast_link_is_read_whole(self):
        revision = self.put(LARGE)
        await self.mirror._load()
        self.assertEqual(self.store.calls, ["list"])
        self.assertEqual(self.mirror.revision, revision - 1)
        self.mirror.record_configuration(revision)
        self.assertEqual(self.mirror.revision, revision)

    async def load_apart(self):
        self.mirror.max_listing_bytes = LARGE_VALUE_BYTES
        await self.mirror._load()
        return self.store.revision

    async def test_a_large_listing_on_a_slow_link_is_made_without_it(self):
        self.put(LARGE)
        revision = await self.load_apart()
        self.assertEqual(self.store.calls, ["list"] * 3)
        self.assertEqual(set(self.mirror.items), {"instances/i", "wasabipitch/named"})
        self.assertTrue(self.mirror.loaded.is_set())
        self.assertEqual(self.mirror.received_revision, revision)
        self.assertEqual(self.mirror.revision, 0)
        self.assertEqual(self.mirror.awaited_revision, revision)
        # A configuration from before the listing proves nothing about its time.
        self.mirror.record_configuration(revision - 1)
        self.assertEqual(self.mirror.revision, revision - 1)
        self.mirror.record_configuration(revision)
        self.assertEqual(self.mirror.revision, revision)

    async def test_the_configuration_that_is_held_stays_when_it_is_not_listed(self):
        revision = self.put(LARGE)
        await self.mirror._load()
        self.mirror.record_configuration(revision)
        self.store.put("instances/j", b"j")
        self.published.clear()
        revision = await self.load_apart()
        # The value is known to be large, so no listing is broken off.
        self.assertEqual(self.store.calls, ["list"] * 3)
        self.assertIn(KEY, self.mirror.items)
        self.assertEqual([key for key, _ in self.published], ["instances/j"])
        self.assertEqual(self.mirror.revision, revision - 1)

    async def test_a_whole_listing_ends_the_wait_for_what_it_shows_to_be_held(self):
        revision = self.put(LARGE)
        await self.mirror._load()
        self.mirror.record_configuration(revision)
        self.store.put("instances/j", b"j")
        await self.load_apart()
        self.mirror.max_listing_bytes = 0
        await self.mirror._load()
        self.assertEqual(self.mirror.revision, self.store.revision)

    async def test_a_whole_listing_ends_the_wait_for_what_is_gone(self):
        self.put(LARGE)
        await self.load_apart()
        self.store.remove(KEY)
        self.mirror.max_listing_bytes = 0
        self.mirror._is_large_known = False
        await self.mirror._load()
        self.assertEqual(self.mirror.revision, self.store.revision)

    async def test_a_return_of_the_store_between_two_listings_is_noticed(self):
        copy = self.store.copy()
        self.put(LARGE)
        real_list, calls = self.store.list, []

        async def list_and_restore(prefix, max_bytes=0):
            calls.append(prefix)
            if prefix == "wasabipitch/":
                self.store.restore(copy)
            return await real_list(prefix, max_bytes)

        with (
            patch.object(self.store, "list", list_and_restore),
            self.assertRaises(StoreUnavailable),
        ):
            await self.load_apart()
        self.assertEqual(len(calls), 3)


class RevisionTest(MirrorCase):
    """``revision`` proves that the configuration is the newest one, too."""

    async def asyncSetUp(self):
        await self.mirror._load()

    def receive(self, *events):
        self.mirror._apply_all(events)
        self.mirror._advance_revision(events[-1].revision)

    async def test_a_small_configuration_holds_nothing_back(self):
        self.receive(Item(KEY, SMALL, 20))
        self.assertEqual(self.mirror.revision, 20)

    async def test_other_changes_do_not_wait_for_the_configuration(self):
        # A primary is replaced meanwhile.
        record = Item("wasabipitch/groups/g", b"r", 21)
        self.receive(Omission(KEY, 20), record)
        self.assertEqual(self.published[-1], (record.key, record))
        self.assertTrue(self.mirror.holds_group_records(21))
        self.assertEqual(
            (self.mirror.revision, self.mirror.received_revision), (19, 21)
        )
        self.receive(Removal("instances/i", 22))
        self.assertEqual(
            (self.mirror.revision, self.mirror.received_revision), (19, 22)
        )

    async def test_each_of_two_configurations_holds_the_revision_back(self):
        self.receive(Omission(KEY, 20), Omission(KEY, 30))
        self.mirror.record_configuration(20)
        self.assertLess(self.mirror.revision, 30)
        self.assertEqual(self.mirror.revision, 20)
        self.mirror.record_configuration(30)
        self.assertEqual(self.mirror.revision, 30)

    async def test_the_greater_one_ends_the_wait_for_both(self):
        self.receive(Omission(KEY, 20), Item(KEY, LARGE, 30))
        self.mirror.record_configuration(30)
        self.assertEqual(self.mirror.revision, 30)
        self.assertFalse(self.mirror.configuration_awaited.is_set())

    async def test_a_small_one_ends_the_wait_for_a_large_one_before_it(self):
        self.receive(Omission(KEY, 20), Item(KEY, SMALL, 30))
        self.assertEqual(self.mirror.revision, 30)

    async def test_an_earlier_one_does_not_end_the_wait(self):
        self.receive(Omission(KEY, 20))
        self.mirror.record_configuration(19)
        self.assertEqual(self.mirror.revision, 19)
        self.assertTrue(self.mirror.configuration_awaited.is_set())

    async def test_what_was_held_in_an_earlier_epoch_proves_nothing_in_a_later_one(
        self,
    ):
        self.mirror.max_listing_bytes = LARGE_VALUE_BYTES
        copy = self.store.copy()
        known = self.put(LARGE)
        self.receive(Item(KEY, LARGE, known))
        self.mirror.record_configuration(known)
        self.store.restore(copy)
        await self.mirror._load()
        self.assertEqual(self.mirror.epoch, self.store.epoch)
        self.assertEqual(self.mirror.revision, known)
        self.assertTrue(self.mirror.configuration_awaited.is_set())
        self.mirror.record_configuration(self.store.revision)
        self.assertEqual(self.mirror.revision, self.store.revision)


class PassingOnTest(MirrorCase):
    """What a watcher passes on to its followers."""

    async def asyncSetUp(self):
        await self.mirror._load()
        self.follower = ChangeFollower(
            Host("host", "gateway", "", "rome"),
            self.store,
            self.mirror.history,
            SimpleNamespace(),
            dict,
            None,
            12,
            DecisionLog("host"),
        )
        self.after = self.mirror.received_revision

    async def ask(self, takes_omissions):
        ask = AskChanges(self.after, 0.1, takes_omissions)
        report = await self.follower.answer(ask)
        return report.known, tuple(map(unpack, report.items))

    def receive(self, value):
        revision = self.put(value)
        self.mirror._apply(Item(KEY, value, revision))
        self.mirror._advance_revision(revision)
        return revision

    async def test_a_large_value_is_omitted(self):
        # 40 followers on a link of 5 Mbit/s would each wait for the copies of all.
        revision = self.receive(LARGE)
        self.assertEqual(await self.ask(True), (True, (Omission(KEY, revision),)))

    async def test_a_small_value_is_passed_on_as_it_is(self):
        revision = self.receive(SMALL)
        self.assertEqual(await self.ask(True), (True, (Item(KEY, SMALL, revision),)))

    async def test_a_host_of_an_earlier_version_watches_the_store_itself(self):
        # It would take the omission for a malformed configuration.
        self.receive(LARGE)
        self.assertEqual(await self.ask(False), (False, ()))

    async def test_a_change_that_a_listing_left_out_is_not_kept_from_followers(self):
        # Their revision would pass a configuration that they never heard of.
        self.mirror.max_listing_bytes = LARGE_VALUE_BYTES
        self.put(LARGE)
        await self.mirror._load()
        revision = self.store.revision
        self.assertEqual(await self.ask(True), (True, (Omission(KEY, revision),)))

    async def test_changes_are_passed_on_before_the_configuration_is_in_force(self):
        revision = self.receive(LARGE)
        self.assertLess(self.mirror.revision, revision)
        self.assertEqual(self.mirror.history.revision, revision)


if __name__ == "__main__":
    unittest.main()
