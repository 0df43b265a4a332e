import unittest
from unittest.mock import patch

from wasabipitch.coordination.documents import GroupRecord, GroupSettings, Phase
from wasabipitch.group.state import GroupState
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.policy.rights import READ_LEASE_S

STEADY = GroupRecord(Phase.STEADY, "old", 1, 1)
CHANGING = GroupRecord(Phase.CHANGING, "old", 1, 1, "holder")


def make_state(read_confirmed_at_s=lambda: 100.0):
    settings = GroupSettings("ledger", 16, 1)
    return GroupState(settings, read_confirmed_at_s, DecisionLog("host"))


class CommitsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_commit_that_hangs_at_the_old_primary_is_not_the_new_ones(self):
        state = make_state()
        state.set_record(STEADY, 5)
        with state.commit_under_way():
            self.assertIsNotNone(state.oldest_commit_s)
            state.set_record(CHANGING, 6)
            state.set_record(GroupRecord(Phase.STEADY, "new", 1, 2), 7)
            self.assertIsNone(state.oldest_commit_s)
            self.assertEqual(state.commits_under_way, 1)
        self.assertEqual(state.commits_under_way, 0)

    async def test_commits_of_a_primary_that_was_given_up_are_not_waited_for(self):
        state = make_state()
        state.set_record(STEADY, 5)
        with state.commit_under_way() as old:
            state.set_record(STEADY, 7)
            with state.commit_under_way() as new:
                state.abandon_commits(7)
                self.assertTrue(old.done())
                self.assertFalse(new.done())


class CoverageTest(unittest.TestCase):
    def setUp(self):
        self.confirmed_s = 100.0
        self.state = make_state(lambda: self.confirmed_s)

    def set_record(self, record, revision, at_s):
        with patch("wasabipitch.group.state.now_s", return_value=at_s):
            self.state.set_record(record, revision)

    def test_while_a_primary_is_replaced_its_right_holds_until_it_was_given_up(self):
        self.set_record(STEADY, 5, 99.0)
        self.assertEqual(self.state.covered_until_s, 100.0 + READ_LEASE_S)
        self.set_record(CHANGING, 6, 100.5)
        self.confirmed_s = 101.0
        self.assertEqual(self.state.covered_until_s, 100.5)

    def test_one_that_hears_of_it_late_has_no_longer_right(self):
        self.set_record(STEADY, 5, 99.0)
        self.set_record(CHANGING, 6, 110.0)
        self.assertEqual(self.state.covered_until_s, 100.0 + READ_LEASE_S)

    def test_a_takeover_does_not_renew_it(self):
        self.set_record(STEADY, 5, 99.0)
        self.set_record(CHANGING, 6, 100.5)
        self.set_record(CHANGING, 7, 104.0)
        self.assertEqual(self.state.covered_until_s, 100.5)

    def test_a_group_that_was_never_settled_gives_none(self):
        self.assertEqual(self.state.covered_until_s, 0.0)
        self.set_record(CHANGING, 6, 100.5)
        self.assertEqual(self.state.covered_until_s, 0.0)

    def test_without_the_successors_start_none_is_kept(self):
        self.set_record(STEADY, 5, 99.0)
        self.state.samples.add(100.0, Position(1, 9))
        self.set_record(CHANGING, 6, 100.5)
        self.set_record(GroupRecord(Phase.STEADY, "new", 1, 2), 7, 101.0)
        self.assertIsNone(self.state.samples.newest)

    def test_positions_outlive_the_primary_as_far_as_its_successor_has_them(self):
        self.set_record(STEADY, 5, 99.0)
        self.state.samples.add(100.0, Position(1, 9))
        self.set_record(CHANGING, 6, 100.5)
        start = Position(1, 8)
        self.set_record(GroupRecord(Phase.STEADY, "new", 1, 2, start=start), 7, 101.0)
        self.assertEqual(self.state.samples.newest.position, start)
