import unittest

from wasabipitch.policy.waiting import (
    MAX_QUEUED,
    QueueState,
    TimeBudget,
    check_admission,
)


def budget(wait_s, left_s=None, run_s=0.01):
    return TimeBudget(wait_s, wait_s if left_s is None else left_s, run_s)


class CheckAdmissionTest(unittest.TestCase):
    def test_a_request_that_can_be_served_in_time_waits(self):
        self.assertIsNone(check_admission(QueueState(4, 2, 0.01), budget(0.5)))

    def test_request_expected_late_is_refused_on_arrival(self):
        self.assertIsNotNone(check_admission(QueueState(200, 2, 0.01), budget(0.5)))

    def test_request_without_time_to_run_is_refused(self):
        self.assertIsNotNone(check_admission(QueueState(0, 2, 0.01), budget(0.005)))

    def test_queue_is_bounded_without_connections(self):
        self.assertIsNotNone(
            check_admission(QueueState(MAX_QUEUED, 0, 0.01), budget(60.0))
        )

    def test_long_checkouts_count_for_the_wait_and_not_for_the_run_time(self):
        # With seven checkouts of 0.2 s each, a connection is free after 0.03 s.
        queue = QueueState(ahead=0, servers=7, checkout_s=0.2)
        self.assertIsNone(check_admission(queue, budget(0.16, 0.8)))

    def test_wait_beyond_the_time_budget_is_refused(self):
        queue = QueueState(ahead=9, servers=7, checkout_s=0.2)
        self.assertIsNotNone(check_admission(queue, budget(0.16, 0.8)))

    def test_wait_that_leaves_no_time_to_run_is_refused(self):
        queue = QueueState(ahead=0, servers=1, checkout_s=0.1)
        self.assertIsNotNone(check_admission(queue, budget(0.5, 0.5, run_s=0.4)))
