import unittest

from wasabipitch.policy.retries import (
    HEDGE_BUDGET,
    HEDGE_BURST,
    MAX_DETECTION_S,
    MAX_FAILOVER_S,
    MAX_REGISTRATION_S,
    MAX_RELINQUISH_S,
    HedgeBudget,
    Outage,
    earliest_primary_s,
    hedge_after_s,
    may_wait_for_primary,
    may_wait_for_registration,
)


class HedgeTest(unittest.TestCase):
    def test_hedged_reads_stay_within_the_token_budget(self):
        budget = HedgeBudget()
        hedged = 0
        for _ in range(1000):
            budget.add_tokens()
            hedged += budget.try_spend()
        self.assertLessEqual(hedged, 1000 * HEDGE_BUDGET + HEDGE_BURST)

    def test_long_statement_is_not_hedged_early(self):
        self.assertGreaterEqual(hedge_after_s(0.2, 0.1), 0.5)
        self.assertAlmostEqual(hedge_after_s(0.2, 0.012), 0.09)


class MayWaitForPrimaryTest(unittest.TestCase):
    def test_request_waits_while_a_primary_is_expected(self):
        self.assertTrue(may_wait_for_primary(Outage(0.1, None, True)))
        self.assertTrue(may_wait_for_primary(Outage(None, 0.1, True)))

    def test_request_waits_until_its_host_is_registered(self):
        registering = Outage(None, 9.0, False, registering_for_s=0.1)
        self.assertTrue(may_wait_for_primary(registering))
        self.assertTrue(may_wait_for_registration(0.1))
        self.assertFalse(may_wait_for_registration(None))
        self.assertFalse(may_wait_for_registration(MAX_REGISTRATION_S))

    def test_nothing_waits_while_instances_have_to_return_first(self):
        # Which of them would hold the commits of hosts that ended is not known.
        starting = Outage(0.1, None, True, blocked=True)
        self.assertTrue(may_wait_for_primary(starting))
        blocked = Outage(MAX_RELINQUISH_S + 0.1, None, True, True, blocked=True)
        self.assertFalse(may_wait_for_primary(blocked, left_s=9.0))

    def test_request_without_time_for_a_replacement_is_refused_at_once(self):
        # A silent host holds the replacement up until the read leases have ended.
        silent = Outage(MAX_RELINQUISH_S + 0.1, None, True)
        self.assertGreater(earliest_primary_s(silent), 1.0)
        self.assertFalse(may_wait_for_primary(silent, left_s=0.5))
        self.assertTrue(may_wait_for_primary(silent, left_s=2.0))
        # All hosts may still relinquish it, or have done so.
        self.assertTrue(may_wait_for_primary(Outage(0.1, None, True), left_s=0.5))
        relinquished = Outage(MAX_RELINQUISH_S + 0.1, None, True, relinquished=True)
        self.assertTrue(may_wait_for_primary(relinquished, left_s=0.5))

    def test_request_is_refused_when_no_primary_is_expected(self):
        self.assertFalse(may_wait_for_primary(Outage(MAX_FAILOVER_S + 1, None, True)))
        self.assertFalse(may_wait_for_primary(Outage(None, MAX_DETECTION_S + 1, True)))
        self.assertFalse(may_wait_for_primary(Outage(None, None, False)))
