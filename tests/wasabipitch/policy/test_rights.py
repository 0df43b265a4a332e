import unittest

from wasabipitch.models import ORIGIN, Position
from wasabipitch.policy.rights import PositionSamples, judge_read


class JudgeReadTest(unittest.TestCase):
    def setUp(self):
        self.samples = PositionSamples()
        for n in range(10):
            self.samples.add(100.0 + n, Position(1, n))

    def judge(self, arrived_s, max_age_s, covered_until_s, floor=ORIGIN):
        return judge_read(arrived_s, max_age_s, covered_until_s, floor, self.samples)

    def test_a_fresh_read_needs_a_primary_confirmed_until_it_arrived(self):
        self.assertTrue(self.judge(109.0, 0.0, 109.0).primary)
        refused = self.judge(109.1, 0.0, 109.0)
        self.assertFalse(refused.primary)
        self.assertIsNone(refused.floor)

    def test_an_aged_read_takes_the_oldest_position_that_covers_its_age(self):
        self.assertEqual(self.judge(108.5, 2.0, 110.0).floor, Position(1, 7))

    def test_an_aged_read_outlives_the_confirmation_by_its_age(self):
        self.assertTrue(self.judge(111.0, 2.0, 109.0).primary)
        self.assertFalse(self.judge(111.1, 2.0, 109.0).primary)

    def test_without_a_position_young_enough_only_the_primary_will_do(self):
        right = self.judge(112.0, 2.0, 120.0)
        self.assertTrue(right.primary)
        self.assertIsNone(right.floor)

    def test_the_sessions_own_commit_raises_the_floor(self):
        right = self.judge(108.5, 2.0, 110.0, Position(1, 50))
        self.assertEqual(right.floor, Position(1, 50))


class PositionSamplesTest(unittest.TestCase):
    def test_a_lower_position_never_replaces_a_higher_one(self):
        samples = PositionSamples()
        samples.add(1.0, Position(1, 9))
        samples.add(2.0, Position(1, 8))
        self.assertEqual(samples.newest.position, Position(1, 9))
        self.assertIsNone(samples.find(1.5))

    def test_old_ones_are_dropped(self):
        samples = PositionSamples()
        for n in range(1000):
            samples.add(float(n), Position(1, n))
        self.assertEqual(samples.find(0.0), Position(1, 993))

    def test_after_a_replacement_no_more_than_the_successor_holds_is_needed(self):
        samples = PositionSamples()
        samples.add(100.0, Position(1, 5))
        samples.add(101.0, Position(1, 9))
        samples.cap(Position(1, 7))
        self.assertEqual(samples.find(99.0), Position(1, 5))
        self.assertEqual(samples.find(100.5), Position(1, 7))
        samples.add(102.0, Position(2, 8))
        self.assertEqual(samples.find(101.5), Position(2, 8))
