import unittest

from wasabipitch.policy.placement import (
    DECAY_S,
    FailureShare,
    LaggingBackoff,
    Load,
    ServiceTimes,
    Slowness,
    choose_instance,
)


def load(name, running=0, slowness=1.0, near=True, primary=False):
    return Load(name, near, primary, running, 2, slowness)


class ChooseInstanceTest(unittest.TestCase):
    def test_a_slow_instance_gets_work_only_when_the_others_are_busier(self):
        slow = load("slow", slowness=5.0)
        self.assertEqual(choose_instance([slow, load("a", running=3)], 0.012).name, "a")
        self.assertEqual(
            choose_instance([slow, load("a", running=20)], 0.012).name, "slow"
        )

    def test_near_replica_is_preferred_among_equals(self):
        loads = [load("far", near=False), load("primary", primary=True), load("near")]
        self.assertEqual(choose_instance(loads, 0.012).name, "near")

    def test_no_instance(self):
        self.assertIsNone(choose_instance([], 0.012))


class FailureShareTest(unittest.TestCase):
    def test_partial_failures_are_detected(self):
        share = FailureShare()
        for n in range(30):
            share.add(n % 2 == 0, n * 0.01)
        self.assertTrue(share.is_high(0.3))
        self.assertFalse(share.is_high(0.3 + 3 * DECAY_S))

    def test_single_failure_is_not_high(self):
        share = FailureShare()
        for n in range(30):
            share.add(n == 29, n * 0.01)
        self.assertFalse(share.is_high(0.3))

    def test_failing_instance_is_avoided(self):
        failing = Load("failing", True, False, 0, 2, 1.0, failure_share=0.4)
        self.assertEqual(
            choose_instance([failing, load("a", running=2)], 0.012).name, "a"
        )


class SlownessTest(unittest.TestCase):
    def test_rises_with_samples_and_decays(self):
        slowness = Slowness()
        for n in range(40):
            slowness.add(5.0, n * 0.01)
        self.assertGreater(slowness.read(0.4), 3.0)
        self.assertLess(slowness.read(0.4 + 5 * DECAY_S), 1.1)


class ServiceTimesTest(unittest.TestCase):
    def test_slow_outlier_changes_the_mean_little(self):
        times = ServiceTimes()
        for _ in range(100):
            times.add("read", 0.01)
        times.add("read", 1.0)
        self.assertLess(times.read("read"), 0.016)


class LaggingBackoffTest(unittest.TestCase):
    def test_consecutive_rejections_lengthen_the_backoff(self):
        backoff = LaggingBackoff()
        backoff.record_lagging(0.0)
        self.assertTrue(backoff.is_backing_off(0.05))
        backoff.record_lagging(0.11)
        self.assertTrue(backoff.is_backing_off(0.25))
        backoff.record_up_to_date()
        self.assertFalse(backoff.is_backing_off(0.25))
