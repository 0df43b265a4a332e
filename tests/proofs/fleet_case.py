"""The base class of tests that run callers against a fleet of real processes."""

import unittest

from proofs import checker, scenarios
from proofs.faults import FAILOVER_LIMIT_S
from proofs.history import Outcome

SEED = 20261204


class FleetCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, **fields):
        fleet = await self.enterAsyncContext(scenarios.make_fleet(**fields))
        return fleet

    async def prove(self, *faults, seed=SEED, **fields):
        """Run callers under faults and assert that no guarantee is violated."""
        fleet = await self.start(**fields)
        report = await scenarios.run_scenario(fleet, faults, seed)
        summary = f"seed {seed}: {report.history.describe()}"
        problems = checker.describe(report.violations)
        self.assertEqual(report.violations, [], f"{summary}\n{problems}")
        self.assertGreater(report.history.count(Outcome.OK), 0, summary)
        gap_s = report.history.longest_write_gap_s()
        self.assertLess(gap_s, FAILOVER_LIMIT_S, summary)
        return report
