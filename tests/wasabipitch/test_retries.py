import unittest

from wasabipitch.exceptions import LinkLost, Overloaded
from wasabipitch.retries import RetryBudget, may_retry


class RetriesTest(unittest.TestCase):
    def test_retries_stay_a_share_of_the_requests(self):
        budget = RetryBudget(ratio=0.1, burst=5)
        retries = 0
        for _ in range(1000):
            budget.add_tokens()
            retries += budget.try_spend()
        self.assertLessEqual(retries, 1000 * 0.1 + 5)

    def test_only_safe_requests_are_retried(self):
        self.assertTrue(may_retry(Overloaded("full"), idempotent=False))
        self.assertTrue(may_retry(LinkLost("broke"), idempotent=True))
        self.assertFalse(may_retry(LinkLost("broke"), idempotent=False))
