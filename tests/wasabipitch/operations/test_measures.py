import unittest

from wasabipitch.operations.measures import MAX_SERIES, Gauge, Measures


class MeasuresTest(unittest.TestCase):
    def test_everything_is_rendered_in_the_text_format(self):
        measures = Measures(
            lambda: [
                Gauge("group_term", (("group", "a"),), 3),
                Gauge("group_term", (("group", "b"),), 4),
            ]
        )
        measures.count("decisions", event="started")
        measures.observe("statement_seconds", 0.03, outcome="ok")
        text = measures.render().decode()
        self.assertIn('wasabipitch_decisions_total{event="started"} 1.0', text)
        self.assertIn(
            'wasabipitch_statement_seconds_bucket{le="0.05",outcome="ok"} 1.0', text
        )
        self.assertIn('wasabipitch_group_term{group="b"} 4.0', text)

    def test_series_are_bounded(self):
        measures = Measures()
        for n in range(2 * MAX_SERIES):
            measures.count("sessions_refused", reason=str(n))
        self.assertEqual(len(measures.counters["sessions_refused"]), MAX_SERIES)
