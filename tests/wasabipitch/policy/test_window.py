import random
import unittest

from wasabipitch.group.exchange import RETRY_PAUSE_S
from wasabipitch.policy.window import (
    MIN_WINDOW_LIMIT,
    STATEMENTS_PER_SLOT,
    ConcurrencyWindow,
    window_limit,
)

SERVICE_S = 0.012
SLOTS, QUEUE = 4, 16
TICK_S = 0.001
OWNERS, CONNECTIONS_PER_OWNER = 7, 8


class ReplayTest(unittest.TestCase):
    """Guards against owners that overload an instance with retries.

    The owners together hold more connections than the instance can run and queue
    statements. When each has work for all its connections, as at a load peak after a
    failover, an instance rejects more statements than it runs unless the owners limit
    theirs with windows.
    """

    def replay(self, windows):
        rng = random.Random(7)
        at_instance, ran, refused = [], 0, 0
        at_s = 0.0
        retry_at_s = [0.0] * OWNERS
        while at_s < 5.0:
            at_s += TICK_S
            for sender in list(at_instance[:SLOTS]):
                if rng.random() < TICK_S / SERVICE_S:
                    at_instance.remove(sender)
                    ran += 1
                    if windows:
                        windows[sender].record_answer()
            for owner in range(OWNERS):
                own = at_instance.count(owner)
                full = own >= (
                    windows[owner].size if windows else CONNECTIONS_PER_OWNER
                )
                if full or at_s < retry_at_s[owner]:
                    continue
                if len(at_instance) < SLOTS + QUEUE:
                    at_instance.append(owner)
                    continue
                refused += 1
                retry_at_s[owner] = at_s + RETRY_PAUSE_S
                if windows:
                    windows[owner].record_busy(own, at_s)
        return ran, refused

    def test_windows_avoid_rejections_without_loss_of_throughput(self):
        ran_off, refused_off = self.replay([])
        ran_on, refused_on = self.replay(
            [ConcurrencyWindow(CONNECTIONS_PER_OWNER) for _ in range(7)]
        )
        self.assertGreater(refused_off, ran_off)
        self.assertLess(refused_on, ran_on / 5)
        self.assertGreater(ran_on, 0.95 * ran_off)

    def test_size_stays_between_one_and_the_limit(self):
        window = ConcurrencyWindow(6)
        for n in range(100):
            window.record_busy(1, float(n))
        self.assertEqual(window.size, 1)
        for _ in range(1000):
            window.record_answer()
        self.assertEqual(window.size, 6)

    def test_simultaneous_rejections_count_once(self):
        window = ConcurrencyWindow(8)
        for _ in range(10):
            window.record_busy(8, 1.0)
        self.assertEqual(window.size, 5)


class LimitTest(unittest.TestCase):
    def test_all_hosts_together_keep_within_statements_per_slot(self):
        for slots, hosts, connections in ((4, 7, 8), (4, 3, 8), (2, 1, 16), (8, 4, 9)):
            with self.subTest(slots=slots, hosts=hosts):
                limit = window_limit(connections, slots, hosts)
                self.assertGreaterEqual(limit * hosts, slots)
                at_most = max(
                    STATEMENTS_PER_SLOT * slots + hosts, MIN_WINDOW_LIMIT * hosts
                )
                self.assertLessEqual(limit * hosts, at_most)

    def test_each_host_may_use_two_slots(self):
        self.assertEqual(window_limit(8, 4, 60), MIN_WINDOW_LIMIT)

    def test_limit_stays_within_the_connections(self):
        self.assertEqual(window_limit(1, 4, 2), 1)
