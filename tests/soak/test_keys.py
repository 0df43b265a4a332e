import unittest
from unittest.mock import patch

from soak.history import History
from soak.keys import REVOCATION_S, Withdrawals, make_accounts, make_key


class WithdrawalsTest(unittest.TestCase):
    def setUp(self):
        self.withdrawals = Withdrawals()
        self.record_at(100.0, 1)
        self.record_at(110.0, 2)

    def record_at(self, at_s, version):
        with patch("soak.keys.now_s", return_value=at_s):
            self.withdrawals.record_held(make_accounts(version))

    def test_a_request_is_overdue_after_the_bound(self):
        # The key of version 1 is still valid in version 2.
        key = make_key(1)
        self.assertFalse(self.withdrawals.is_overdue(key, 110.0 + REVOCATION_S))
        self.assertTrue(self.withdrawals.is_overdue(key, 110.1 + REVOCATION_S))

    def test_a_store_that_returned_with_a_key_holds_it_again(self):
        self.record_at(120.0, 1)
        key = make_key(1)
        self.assertFalse(self.withdrawals.is_overdue(key, 120.0 + REVOCATION_S))

    def test_a_key_that_the_store_has_just_got_is_not_overdue(self):
        self.assertFalse(self.withdrawals.is_overdue(make_key(3), 500.0))

    def test_a_valid_key_that_is_refused_is_a_violation(self):
        history = History()
        history.check_refusal("ok")
        history.check_refusal("BUSY")
        self.assertEqual(history.violations, [])
        history.check_refusal("NOAUTH")
        self.assertEqual(history.violations[0].promise, "valid key refused")
