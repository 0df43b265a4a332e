import unittest

from wasabipitch.models import ORIGIN, Position
from wasabipitch.policy.read_leases import PositionSamples, decide_read


class DecideReadTest(unittest.TestCase):
    def setUp(self):
        self.samples = PositionSamples()
        for n in range(10):
            self.samples.add(100.0 + n, Position(1, n))

    def decide(self, arrived_s, max_age_s, read_lease_until_s, floor=ORIGIN):
        return decide_read(
            arrived_s, max_age_s, read_lease_until_s, floor, self.samples
        )

    def test_read_without_max_age_needs_a_lease_until_its_arrival(self):
        self.assertTrue(self.decide(109.0, 0.0, 109.0).primary)
        refused = self.decide(109.1, 0.0, 109.0)
        self.assertFalse(refused.primary)
        self.assertIsNone(refused.floor)

    def test_aged_read_gets_the_lowest_floor_that_covers_its_age(self):
        self.assertEqual(self.decide(108.5, 2.0, 110.0).floor, Position(1, 7))

    def test_aged_read_is_allowed_after_the_lease_by_its_age(self):
        self.assertTrue(self.decide(111.0, 2.0, 109.0).primary)
        self.assertFalse(self.decide(111.1, 2.0, 109.0).primary)

    def test_only_the_primary_serves_without_a_recent_sample(self):
        decision = self.decide(112.0, 2.0, 120.0)
        self.assertTrue(decision.primary)
        self.assertIsNone(decision.floor)

    def test_the_sessions_own_commit_raises_the_floor(self):
        decision = self.decide(108.5, 2.0, 110.0, Position(1, 50))
        self.assertEqual(decision.floor, Position(1, 50))


class PositionSamplesTest(unittest.TestCase):
    def test_a_lower_position_never_replaces_a_higher_one(self):
        samples = PositionSamples()
        samples.add(1.0, Position(1, 9))
        samples.add(2.0, Position(1, 8))
        self.assertEqual(samples.newest.position, Position(1, 9))
        self.assertIsNone(samples.find_floor(1.5))

    def test_old_samples_are_dropped(self):
        samples = PositionSamples()
        for n in range(1000):
            samples.add(float(n), Position(1, n))
        self.assertEqual(samples.find_floor(0.0), Position(1, 993))

    def test_cap_limits_floors_to_what_the_successor_holds(self):
        samples = PositionSamples()
        samples.add(100.0, Position(1, 5))
        samples.add(101.0, Position(1, 9))
        samples.cap(Position(1, 7))
        self.assertEqual(samples.find_floor(99.0), Position(1, 5))
        self.assertEqual(samples.find_floor(100.5), Position(1, 7))
        samples.add(102.0, Position(2, 8))
        self.assertEqual(samples.find_floor(101.5), Position(2, 8))
