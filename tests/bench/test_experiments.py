import tempfile
import unittest
from pathlib import Path

from bench import experiments
from bench.experiments import Work
from tests.bench.samples import make_deployment, make_experiment
from wasabipitch.exceptions import SettingsError

ROOT = Path(__file__).resolve().parents[2]


class ExperimentTests(unittest.TestCase):
    def test_experiments_of_the_repository_are_valid(self):
        for name in ("wheelcraft", "cooperative"):
            experiment, deployment = experiments.load(f"{ROOT}/experiments/{name}.yaml")
            self.assertEqual(name, deployment.name)
            self.assertLess(experiment.seconds, 40)
            self.assertEqual([], experiments.find_problems(experiment, deployment))

    def test_every_error_of_a_file_is_named(self):
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("name: x\nspeed: 3\nphases: [{name: calm, seconds: -1}]\n")
            file.flush()
            with self.assertRaises(SettingsError) as caught:
                experiments.load(file.name)
        for path in (file.name, "speed", "deployment", "phases.0.seconds"):
            self.assertIn(path, caught.exception.message)

    def test_file_that_is_missing(self):
        with self.assertRaisesRegex(SettingsError, "can't read nowhere.yaml"):
            experiments.load("nowhere.yaml")

    def test_works_must_fit_the_deployment(self):
        works = (
            Work("refund", 1, "SELECT 1", 1),
            Work("payment", 1, "UPDATE t SET n = 1", 1, write=True),
        )
        experiment = make_experiment(works=works, important="lookup")
        problems = "\n".join(experiments.find_problems(experiment, make_deployment()))
        for text in ("'refund'", "set with_id", "named lookup", "no work is one"):
            self.assertIn(text, problems)

    def test_capacity_is_slots_by_work_time(self):
        deployment = make_deployment()
        capacity = experiments.compute_capacity(
            make_experiment(), deployment, deployment.groups[0]
        )
        # Three of four arrivals take 10 ms on any instance, one 5 ms on the primary.
        self.assertAlmostEqual(6 / 0.00875, capacity.all_per_s)
        self.assertAlmostEqual(2 / 0.00125, capacity.primary_per_s)
        self.assertAlmostEqual(1 / 0.00125, capacity.writes_per_s)
        self.assertEqual(capacity.all_per_s, capacity.per_s)
