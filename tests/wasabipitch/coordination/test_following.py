import unittest

from wasabipitch.coordination.following import (
    MAX_KEPT_CHANGES,
    ChangeHistory,
    pack,
    unpack,
)
from wasabipitch.coordination.store import Item, Removal


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
        for event in (Item("k", b"", 4, 7), Removal("k", 5)):
            self.assertEqual(unpack(pack(event)), event)
