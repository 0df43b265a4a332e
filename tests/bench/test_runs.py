import unittest

from bench.experiments import Phase, Work
from bench.runs import Run
from tests.bench.samples import make_deployment, make_experiment

TABLES = (
    "CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER DEFAULT 0)",
    "INSERT INTO t (id) VALUES {rows}",
)
WORKS = (
    Work("lookup", 3, "SELECT n FROM t WHERE id = {own}", 2, reads="t"),
    Work(
        "payment",
        2,
        "UPDATE t SET n = {n} WHERE id = {own}",
        2,
        write=True,
        with_id=True,
        raises="t",
    ),
    Work("report", 1, "SELECT sum(n) FROM t", 50, straggler=True),
)


class RunTests(unittest.IsolatedAsyncioTestCase):
    async def test_run_over_real_processes(self):
        experiment = make_experiment(
            works=WORKS,
            tables=TABLES,
            connections=20,
            phases=(
                Phase("calm", 1.0, 0.05),
                Phase("crest", 2.0, 0.1, lose_primary_at_s=0.5),
            ),
        )
        run = await Run(experiment, make_deployment(), "full", seed=1).execute()
        offered = sum(c.offered for p in run.phases for c in p.classes)
        good = sum(c.outcomes["good"] for p in run.phases for c in p.classes)
        self.assertGreater(offered, 100)
        self.assertGreater(good, 0)
        self.assertEqual(0, run.measures.stale)
        self.assertIsNotNone(run.lost_primary_at_s)
        self.assertGreater(run.measures.failover_gap_s, 0)
        self.assertGreater(run.counters["pool.reads.aged"], 0)
        self.assertEqual({"calm", "crest"}, set(run.busiest))
        self.assertGreater(run.busiest["crest"]["pool"], 0)
        roles = {u.role for u in run.usage}
        self.assertEqual({"bench", "entry", "platform", "pool", "target"}, roles)
