import random
import unittest

from bench.schedule import plan
from tests.bench.samples import make_experiment


class PlanTests(unittest.TestCase):
    def setUp(self):
        self.experiment = make_experiment()
        self.arrivals = plan(self.experiment, {"a": 100, "b": 50}, random.Random(1))

    def test_same_seed_gives_the_same_arrivals(self):
        again = plan(self.experiment, {"a": 100, "b": 50}, random.Random(1))
        self.assertEqual(self.arrivals, again)
        other = plan(self.experiment, {"a": 100, "b": 50}, random.Random(2))
        self.assertNotEqual(self.arrivals, other)

    def test_arrivals_are_in_order_and_within_their_phase(self):
        times = [a.at_s for a in self.arrivals]
        self.assertEqual(sorted(times), times)
        self.assertTrue(all(int(a.at_s // 10) == a.phase for a in self.arrivals))

    def test_rate_follows_load_and_capacity(self):
        short = [a for a in self.arrivals if not a.work.straggler]
        calm = [a for a in short if a.phase == 0 and a.group == "a"]
        late = [a for a in short if a.at_s >= 11 and a.group == "b"]
        self.assertAlmostEqual(500, len(calm), delta=100)
        self.assertAlmostEqual(900, len(late), delta=150)

    def test_stragglers_come_only_where_the_phase_has_them(self):
        phases = {a.phase for a in self.arrivals if a.work.straggler}
        self.assertEqual({1}, phases)

    def test_works_come_by_their_shares(self):
        short = [a for a in self.arrivals if not a.work.straggler]
        lookups = sum(a.work.name == "lookup" for a in short)
        self.assertAlmostEqual(0.75, lookups / len(short), delta=0.05)
