import unittest

from wasabipitch.policy.waiting import MAX_WAITING, Line, admit


class AdmitTest(unittest.TestCase):
    def test_a_request_that_can_be_served_in_time_waits(self):
        self.assertIsNone(admit(Line(4, 2, 0.01), 0.5))

    def test_one_that_would_be_late_is_refused_when_it_comes(self):
        self.assertIsNotNone(admit(Line(200, 2, 0.01), 0.5))

    def test_no_time_left(self):
        self.assertIsNotNone(admit(Line(0, 2, 0.01), 0.005))

    def test_the_line_is_bounded_also_while_nothing_is_known_to_serve_it(self):
        self.assertIsNotNone(admit(Line(MAX_WAITING, 0, 0.01), 60.0))
