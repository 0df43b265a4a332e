import asyncio
import unittest
from unittest.mock import patch

from wasabipitch.coordination.documents import GroupRecord, GroupSettings, Phase
from wasabipitch.group.state import GroupState
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.read_leases import READ_LEASE_S

STEADY = GroupRecord(Phase.STEADY, "old", 1, 1)
CHANGING = GroupRecord(Phase.CHANGING, "old", 1, 1, "holder")


def make_state(read_confirmed_at_s=lambda: 100.0):
    settings = GroupSettings("ledger", 16, 1)
    return GroupState(settings, read_confirmed_at_s, DecisionLog("host"))


class CommitsTest(unittest.IsolatedAsyncioTestCase):
    async def test_pending_commit_on_old_primary_is_not_counted_for_successor(self):
        state = make_state()
        state.set_record(STEADY, 5)
        with state.track_commit():
            self.assertIsNotNone(state.oldest_commit_s)
            state.set_record(CHANGING, 6)
            state.set_record(GroupRecord(Phase.STEADY, "new", 1, 2), 7)
            self.assertIsNone(state.oldest_commit_s)
            self.assertEqual(state.commits_under_way, 1)
        self.assertEqual(state.commits_under_way, 0)

    async def test_a_commit_that_its_caller_gave_up_stays_evidence(self):
        # Callers give up after their own time limit. Without this, a primary whose
        # commits hang is trusted again between two of them.
        state = make_state()
        state.set_record(STEADY, 5)
        with patch("wasabipitch.group.state.now_s") as clock:
            clock.return_value = 200.0
            with self.assertRaises(asyncio.CancelledError), state.track_commit():
                clock.return_value = 200.5
                raise asyncio.CancelledError
            self.assertEqual(state.oldest_commit_s, 200.0)
            with state.track_commit():
                pass
            self.assertIsNone(state.oldest_commit_s)

    async def test_a_commit_abandoned_at_once_is_no_evidence(self):
        state = make_state()
        state.set_record(STEADY, 5)
        with self.assertRaises(TimeoutError), state.track_commit():
            raise TimeoutError
        self.assertIsNone(state.oldest_commit_s)

    async def test_lost_answers_count_until_it_is_known_where_a_primary_began(self):
        # The next choice of a successor could not take them into account otherwise.
        state = make_state()
        state.set_record(STEADY, 5)
        fut = asyncio.get_running_loop().create_future()
        state.unanswered.watch(fut)
        fut.cancel()
        await asyncio.sleep(0)
        state.set_record(GroupRecord(Phase.STEADY, "new", 1, 2), 7)
        self.assertFalse(state.unanswered.is_empty)
        start = Position(1, 9)
        state.set_record(GroupRecord(Phase.STEADY, "third", 1, 3, start=start), 9)
        self.assertTrue(state.unanswered.is_empty)

    async def test_abandon_commits_ends_the_wait_for_older_commits_only(self):
        state = make_state()
        state.set_record(STEADY, 5)
        with state.track_commit() as old:
            state.set_record(STEADY, 7)
            with state.track_commit() as new:
                state.abandon_commits(7)
                self.assertTrue(old.done())
                self.assertFalse(new.done())


class ReadLeaseTest(unittest.TestCase):
    def setUp(self):
        self.confirmed_s = 100.0
        self.state = make_state(lambda: self.confirmed_s)

    def set_record(self, record, revision, at_s):
        with patch("wasabipitch.group.state.now_s", return_value=at_s):
            self.state.set_record(record, revision)

    def test_lease_ends_when_the_primary_is_relinquished(self):
        self.set_record(STEADY, 5, 99.0)
        self.assertEqual(self.state.read_lease_until_s, 100.0 + READ_LEASE_S)
        self.set_record(CHANGING, 6, 100.5)
        self.confirmed_s = 101.0
        self.assertEqual(self.state.read_lease_until_s, 100.5)

    def test_late_record_does_not_extend_the_lease(self):
        self.set_record(STEADY, 5, 99.0)
        self.set_record(CHANGING, 6, 110.0)
        self.assertEqual(self.state.read_lease_until_s, 100.0 + READ_LEASE_S)

    def test_takeover_of_a_replacement_does_not_renew_the_lease(self):
        self.set_record(STEADY, 5, 99.0)
        self.set_record(CHANGING, 6, 100.5)
        self.set_record(CHANGING, 7, 104.0)
        self.assertEqual(self.state.read_lease_until_s, 100.5)

    def test_group_without_an_established_primary_has_no_lease(self):
        self.assertEqual(self.state.read_lease_until_s, 0.0)
        self.set_record(CHANGING, 6, 100.5)
        self.assertEqual(self.state.read_lease_until_s, 0.0)

    def test_samples_are_dropped_if_the_successors_start_is_unknown(self):
        self.set_record(STEADY, 5, 99.0)
        self.state.samples.add(100.0, Position(1, 9))
        self.set_record(CHANGING, 6, 100.5)
        self.set_record(GroupRecord(Phase.STEADY, "new", 1, 2), 7, 101.0)
        self.assertIsNone(self.state.samples.newest)

    def test_samples_are_capped_at_the_successors_start(self):
        self.set_record(STEADY, 5, 99.0)
        self.state.samples.add(100.0, Position(1, 9))
        self.set_record(CHANGING, 6, 100.5)
        start = Position(1, 8)
        self.set_record(GroupRecord(Phase.STEADY, "new", 1, 2, start=start), 7, 101.0)
        self.assertEqual(self.state.samples.newest.position, start)
