import unittest

from wasabipitch.policy.retries import (
    CHANGE_S,
    DETECTION_S,
    HEDGE_BUDGET,
    HEDGE_BURST,
    HedgeBudget,
    Outage,
    hedge_after_s,
    may_hold,
)


class HedgeTest(unittest.TestCase):
    def test_second_copies_stay_a_share_of_the_reads(self):
        budget = HedgeBudget()
        sent = 0
        for _ in range(1000):
            budget.earn()
            sent += budget.spend()
        self.assertLessEqual(sent, 1000 * HEDGE_BUDGET + HEDGE_BURST)

    def test_long_work_is_not_taken_for_silence(self):
        self.assertGreaterEqual(hedge_after_s(0.2, 0.1), 0.5)
        self.assertAlmostEqual(hedge_after_s(0.2, 0.012), 0.09)


class MayHoldTest(unittest.TestCase):
    def test_a_request_waits_while_a_primary_is_about_to_come(self):
        self.assertTrue(may_hold(Outage(0.1, None, True)))
        self.assertTrue(may_hold(Outage(None, 0.1, True)))

    def test_it_is_refused_at_once_when_none_is(self):
        self.assertFalse(may_hold(Outage(CHANGE_S + 1, None, True)))
        self.assertFalse(may_hold(Outage(None, DETECTION_S + 1, True)))
        self.assertFalse(may_hold(Outage(None, None, False)))
