import unittest

from wasabipitch.policy.pacing import LINK_SHARE, Pacer, find_bulk_rate


class PacerTest(unittest.TestCase):
    def test_bulk_data_leave_a_share_of_the_link_free(self):
        # Statements of callers on the same link would wait behind all of them.
        at_s = [100.0]
        rate = find_bulk_rate(5.0)
        pacer = Pacer(rate, lambda: at_s[0])
        started_s = at_s[0]
        for _ in range(100):
            at_s[0] += pacer.reserve(4096)
        sent_mbit = 100 * 4096 * 8 / 1e6
        self.assertAlmostEqual(
            at_s[0] - started_s, sent_mbit / (5.0 * LINK_SHARE), delta=0.02
        )

    def test_the_rate_holds_for_all_transfers_of_a_host_together(self):
        pacer = Pacer(1024.0, lambda: 5.0)
        self.assertEqual([pacer.reserve(256) for _ in range(3)], [0.0, 0.25, 0.5])

    def test_unused_time_allows_no_burst(self):
        at_s = [0.0]
        pacer = Pacer(1024.0, lambda: at_s[0])
        pacer.reserve(256)
        at_s[0] = 60.0
        self.assertEqual([pacer.reserve(256), pacer.reserve(256)], [0.0, 0.25])

    def test_a_link_of_unknown_bandwidth_has_no_limit(self):
        pacer = Pacer(find_bulk_rate(0.0), lambda: 1.0)
        self.assertEqual([pacer.reserve(1 << 30), pacer.reserve(1)], [0.0, 0.0])


if __name__ == "__main__":
    unittest.main()
