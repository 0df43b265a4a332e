import unittest
from unittest.mock import patch

from standins.memory_store import MemoryStore
from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.coordination.currency import MAX_PENDING_READS, CopyCurrency
from wasabipitch.coordination.documents import HEAD_KEY
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.revisions import make_revision
from wasabipitch.operations.decisions import DecisionLog


class CopyCurrencyTest(unittest.TestCase):
    def setUp(self):
        self.currency = CopyCurrency()
        self.currency.advance(10)

    def test_a_read_that_the_copy_has_reached_is_a_proof(self):
        self.currency.record_read(100.0, 10)
        self.assertEqual(self.currency.proven_at_s, 100.0)

    def test_a_read_ahead_of_the_copy_proves_nothing_until_the_copy_has_caught_up(self):
        # The change that withdraws a key may be between the copy and the store.
        self.currency.record_read(100.0, 12)
        self.currency.advance(11)
        self.assertEqual(self.currency.proven_at_s, 0.0)
        self.currency.advance(12)
        self.assertEqual(self.currency.proven_at_s, 100.0)

    def test_the_latest_request_counts_although_its_answer_came_first(self):
        self.currency.record_read(101.0, 10)
        self.currency.record_read(100.0, 10)
        self.assertEqual(self.currency.proven_at_s, 101.0)

    def test_reached_reads_count_while_later_ones_wait(self):
        # A store that changes all the time is always ahead of the copy.
        for n in range(5):
            self.currency.record_read(100.0 + n, 11 + n)
        self.currency.advance(13)
        self.assertEqual(self.currency.proven_at_s, 102.0)

    def test_pending_reads_are_bounded(self):
        for n in range(10 * MAX_PENDING_READS):
            self.currency.record_read(100.0 + n, 11 + n)
        self.assertEqual(len(self.currency._reads), MAX_PENDING_READS)

    def test_a_proof_ages_on_the_clock_that_counts_suspended_time(self):
        self.assertFalse(self.currency.is_proven_within(1e9))
        self.currency.record_read(100.0, 10)
        with patch("wasabipitch.coordination.currency.now_s", return_value=104.5):
            self.assertEqual(self.currency.age_s, 4.5)
            self.assertTrue(self.currency.is_proven_within(4.5))
            self.assertFalse(self.currency.is_proven_within(4.4))


class RestoredStoreCurrencyTest(unittest.TestCase):
    """Guards against proofs by a store that has lost the newest configuration."""

    def setUp(self):
        self.currency = CopyCurrency(needs_survey=True)
        self.currency.advance(10)
        self.currency.record_survey(0, 0)
        self.currency.record_read(100.0, 10)
        self.restored = make_revision(1, 9)

    def test_a_pending_read_of_an_earlier_epoch_is_no_proof(self):
        self.currency.record_read(101.0, 12)
        self.currency.advance(self.restored)
        self.currency.record_survey(0, 1)
        self.assertEqual(self.currency.proven_at_s, 100.0)

    def test_a_read_of_another_epoch_than_the_copy_is_no_proof(self):
        self.currency.record_read(101.0, self.restored)
        self.assertEqual(self.currency.proven_at_s, 100.0)
        self.currency.advance(self.restored)
        self.currency.record_survey(0, 1)
        self.currency.record_read(102.0, 10)
        self.assertEqual(self.currency.proven_at_s, 100.0)

    def test_reads_count_once_the_peers_were_asked_in_the_epoch(self):
        self.currency.advance(self.restored)
        self.currency.record_read(101.0, self.restored)
        self.currency.record_survey(0, 0)
        self.assertEqual(self.currency.proven_at_s, 100.0)
        self.currency.record_survey(0, 1)
        self.assertEqual(self.currency.proven_at_s, 101.0)

    def test_no_read_counts_while_a_peer_knows_a_greater_version(self):
        self.currency.hold_version(4)
        self.currency.advance(self.restored)
        self.currency.record_survey(5, 1)
        self.currency.record_read(101.0, self.restored)
        self.assertEqual(self.currency.proven_at_s, 100.0)
        self.currency.hold_version(5)
        self.assertEqual(self.currency.proven_at_s, 101.0)

    def test_a_proof_stays_true_while_a_newer_version_is_on_its_way(self):
        # Otherwise each change of the configuration would interrupt the service.
        self.currency.record_version(5)
        self.assertEqual(self.currency.proven_at_s, 100.0)


class MirrorCurrencyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.store.put(HEAD_KEY, b"")
        self.started_s = now_s()
        self.mirror = StoreMirror(self.store, DecisionLog("host"))
        task = tasks.spawn(self.mirror.run(), "mirror")
        self.addAsyncCleanup(tasks.cancel, task)
        await self.mirror.loaded.wait()
        self.currency = self.mirror.currency

    async def check_at(self, at_s, read=None):
        with patch("wasabipitch.coordination.mirror.now_s", return_value=at_s):
            return await self.mirror.check()

    async def test_a_load_proves_the_copy_as_of_its_request(self):
        self.assertGreaterEqual(self.currency.proven_at_s, self.started_s)
        self.assertLessEqual(self.currency.proven_at_s, now_s())

    async def test_a_slow_listing_proves_the_copy_as_of_its_request(self):
        at_s = now_s() + 50

        async def list_slowly(prefix, max_bytes=0, read=self.store.list):
            clock.return_value = at_s + 3
            return await read(prefix, max_bytes)

        with (
            patch("wasabipitch.coordination.mirror.now_s", return_value=at_s) as clock,
            patch.object(self.store, "list", list_slowly),
        ):
            await self.mirror._load()
        self.assertEqual(self.currency.proven_at_s, at_s)

    async def test_a_check_proves_the_copy_as_of_its_request(self):
        at_s = now_s() + 50

        async def read_slowly(key, read=self.store.read_revision):
            clock.return_value = at_s + 3
            return await read(key)

        with (
            patch("wasabipitch.coordination.mirror.now_s", return_value=at_s) as clock,
            patch.object(self.store, "read_revision", read_slowly),
        ):
            await self.mirror.check()
        self.assertEqual(self.currency.proven_at_s, at_s)

    async def test_a_check_proves_nothing_while_the_watch_lacks_a_change(self):
        self.store.watches_blocked = True
        self.store.put("config", b"2")
        proven_at_s = self.currency.proven_at_s
        await self.check_at(now_s() + 50)
        self.assertEqual(self.currency.proven_at_s, proven_at_s)

    async def test_agreement_among_hosts_is_no_proof(self):
        # The operator may have written to the store that no host reaches.
        async def confirm():
            return now_s()

        self.store.down = True
        self.mirror.confirm_among_hosts = confirm
        proven_at_s = self.currency.proven_at_s
        self.assertTrue(await self.mirror.check())
        self.assertEqual(self.currency.proven_at_s, proven_at_s)
