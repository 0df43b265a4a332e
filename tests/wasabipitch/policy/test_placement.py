import unittest

from wasabipitch.policy.placement import (
    FORGET_S,
    FailureShare,
    LaggingBackoff,
    Load,
    ServiceTimes,
    Slowness,
    choose,
)


def load(name, running=0, slowness=1.0, near=True, primary=False):
    return Load(name, near, primary, running, 2, slowness)


class ChooseTest(unittest.TestCase):
    def test_a_slow_instance_gets_work_only_when_the_others_are_busier(self):
        slow = load("slow", slowness=5.0)
        self.assertEqual(choose([slow, load("a", running=3)], 0.012).name, "a")
        self.assertEqual(choose([slow, load("a", running=20)], 0.012).name, "slow")

    def test_among_equals_the_near_one_and_no_primary(self):
        loads = [load("far", near=False), load("primary", primary=True), load("near")]
        self.assertEqual(choose(loads, 0.012).name, "near")

    def test_no_instance(self):
        self.assertIsNone(choose([], 0.012))


class FailureShareTest(unittest.TestCase):
    def test_an_instance_that_fails_part_of_its_work_is_noticed(self):
        share = FailureShare()
        for n in range(30):
            share.add(n % 2 == 0, n * 0.01)
        self.assertTrue(share.is_high(0.3))
        self.assertFalse(share.is_high(0.3 + 3 * FORGET_S))

    def test_a_single_failure_is_no_habit(self):
        share = FailureShare()
        for n in range(30):
            share.add(n == 29, n * 0.01)
        self.assertFalse(share.is_high(0.3))

    def test_reads_go_elsewhere(self):
        failing = Load("failing", True, False, 0, 2, 1.0, failures=0.4)
        self.assertEqual(choose([failing, load("a", running=2)], 0.012).name, "a")


class SlownessTest(unittest.TestCase):
    def test_it_is_learnt_and_forgotten(self):
        slowness = Slowness()
        for n in range(40):
            slowness.add(5.0, n * 0.01)
        self.assertGreater(slowness.read(0.4), 3.0)
        self.assertLess(slowness.read(0.4 + 5 * FORGET_S), 1.1)


class ServiceTimesTest(unittest.TestCase):
    def test_a_straggler_moves_the_mean_little(self):
        times = ServiceTimes()
        for _ in range(100):
            times.add("read", 0.01)
        times.add("read", 1.0)
        self.assertLess(times.read("read"), 0.016)


class LaggingBackoffTest(unittest.TestCase):
    def test_each_refusal_in_a_row_spares_it_for_longer(self):
        backoff = LaggingBackoff()
        backoff.note_lagging(0.0)
        self.assertTrue(backoff.is_off(0.05))
        backoff.note_lagging(0.11)
        self.assertTrue(backoff.is_off(0.25))
        backoff.note_current()
        self.assertFalse(backoff.is_off(0.25))
