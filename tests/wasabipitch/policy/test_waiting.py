import unittest

from wasabipitch.policy.waiting import MAX_WAITING, Budget, Line, admit


def budget(wait_s, left_s=None, run_s=0.01):
    return Budget(wait_s, wait_s if left_s is None else left_s, run_s)


class AdmitTest(unittest.TestCase):
    def test_a_request_that_can_be_served_in_time_waits(self):
        self.assertIsNone(admit(Line(4, 2, 0.01), budget(0.5)))

    def test_one_that_would_be_late_is_refused_when_it_comes(self):
        self.assertIsNotNone(admit(Line(200, 2, 0.01), budget(0.5)))

    def test_no_time_left(self):
        self.assertIsNotNone(admit(Line(0, 2, 0.01), budget(0.005)))

    def test_the_line_is_bounded_also_while_nothing_is_known_to_serve_it(self):
        self.assertIsNotNone(admit(Line(MAX_WAITING, 0, 0.01), budget(60.0)))

    def test_paused_transactions_make_a_wait_long_and_not_the_statement(self):
        # Seven connections, each held for 0.2 s, serve the next in line soon.
        line = Line(ahead=0, servers=7, held_s=0.2)
        self.assertIsNone(admit(line, budget(0.16, 0.8)))

    def test_a_wait_beyond_what_the_request_may_wait_is_refused(self):
        line = Line(ahead=9, servers=7, held_s=0.2)
        self.assertIsNotNone(admit(line, budget(0.16, 0.8)))

    def test_a_wait_that_leaves_no_time_to_run_is_refused(self):
        line = Line(ahead=0, servers=1, held_s=0.1)
        self.assertIsNotNone(admit(line, budget(0.5, 0.5, run_s=0.4)))
