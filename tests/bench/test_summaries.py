import json
import unittest

from bench import summaries
from bench.commands import to_json
from bench.recording import Outcome
from bench.results import RunResult
from bench.tables import describe_comparison, describe_run
from tests.bench.samples import PAYMENT, REPORT, make_experiment, make_sample

COUNTERS = {"pool.reads.aged": 200, "pool.reads.replica": 150}


def make_run(variant, samples, gap_s=0.5):
    experiment = make_experiment()
    phases = summaries.summarize_phases(experiment, samples, slots=6)
    return RunResult(
        experiment="shop",
        variant=variant,
        seed=1,
        capacity_per_s=100.0,
        lost_primary_at_s=None,
        start_delay_p99_ms=0.1,
        measures=summaries.compute_measures(experiment, phases, COUNTERS, gap_s),
        phases=phases,
        seconds=summaries.summarize_intervals(samples),
        usage=(),
        held_after=0,
        counters=COUNTERS,
        refusals={},
        busiest={},
        errors={},
    )


class SummaryTests(unittest.TestCase):
    def setUp(self):
        self.samples = [
            make_sample(response_s=0.03),
            make_sample(REPORT, response_s=1.0, phase=1),
            make_sample(PAYMENT, response_s=0.025, phase=1),
            make_sample(PAYMENT, Outcome.EXPIRED, response_s=0.5, phase=1),
            make_sample(PAYMENT, Outcome.REFUSED, response_s=0.04, phase=1),
            make_sample(PAYMENT, Outcome.STALE, phase=1),
        ]
        self.run_result = make_run("full", self.samples)

    def test_crest_counts_outcomes_and_refusals(self):
        crest = self.run_result.phases[1]
        self.assertEqual((2, 1), (crest.refusals, crest.expired))
        self.assertAlmostEqual(500, crest.refusal_p99_ms, delta=1)
        self.assertAlmostEqual(40, crest.early_refusal_p99_ms, delta=1)
        payment = next(c for c in crest.classes if c.name == "payment")
        self.assertEqual(0.25, payment.good_share)

    def test_load_is_work_against_slots(self):
        crest = self.run_result.phases[1]
        self.assertEqual(round((1.0 + 4 * 0.005) / 60, 3), crest.offered_load)
        self.assertEqual(round((1.0 + 0.005) / 60, 3), crest.good_load)

    def test_wait_is_the_response_less_the_work(self):
        self.assertAlmostEqual(20, self.run_result.phases[0].short_wait_p99_ms, 0)

    def test_measures(self):
        measures = self.run_result.measures
        self.assertEqual(0.75, measures.replica_share)
        self.assertEqual(0.25, measures.important_good)
        self.assertEqual(0.5, measures.expired_share)
        self.assertEqual(1, measures.stale)

    def test_gap_counts_to_both_ends(self):
        self.assertEqual(4, summaries.find_gap_s([1, 2, 6, 7], 0, 8))
        self.assertEqual(8, summaries.find_gap_s([], 0, 8))
        self.assertEqual(5, summaries.find_gap_s([-1, 3, 9], 0, 8))

    def test_write_gap_takes_only_acknowledged_writes_of_the_group(self):
        samples = [
            make_sample(PAYMENT, at_s=1, response_s=0),
            make_sample(at_s=2, response_s=0),
            make_sample(PAYMENT, Outcome.UNSURE, at_s=3, response_s=0),
            make_sample(PAYMENT, at_s=3, response_s=0, group="other"),
            make_sample(PAYMENT, Outcome.LATE, at_s=4, response_s=0),
        ]
        self.assertEqual(3, summaries.find_write_gap_s(samples, "g", 0, 5))

    def test_comparison_has_medians_spread_and_ratios(self):
        runs = [
            make_run(variant, self.samples, gap_s)
            for variant, gap_s in (("full", 1), ("baseline", 4))
            for gap_s in (gap_s, gap_s * 2, gap_s * 3)
        ]
        comparison = summaries.compare("shop", runs)
        gap = next(
            m for m in comparison.variants[0].measures if m.name == "failover_gap_s"
        )
        self.assertEqual((2, 1, 3), (gap.median, gap.least, gap.greatest))
        self.assertEqual(0.25, comparison.ratios["failover_gap_s"])
        self.assertEqual(3, comparison.rounds)
        self.assertIn("2 (1 to 3)", describe_comparison(comparison))

    def test_results_become_json_and_text(self):
        read = json.loads(to_json(self.run_result))
        self.assertEqual("crest", read["phases"][1]["name"])
        self.assertIn("expired=1 refused=1 stale=1", describe_run(self.run_result))
