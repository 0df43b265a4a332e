import os
import unittest

from bench.results import Point
from bench.slopes import fit_line
from bench.usage import find_role, read_process
from bench.variants import VARIANTS, find_policy
from wasabipitch.exceptions import SettingsError


class SlopeTests(unittest.TestCase):
    def test_line_through_points(self):
        points = [Point(n, {"kb": 7.0 + 3 * n}) for n in (10, 20, 40)]
        slope = fit_line("s", "a size", "things", points)
        self.assertAlmostEqual(3, slope.per_unit["kb"])
        self.assertAlmostEqual(7, slope.base["kb"])

    def test_processes_are_read_and_have_roles(self):
        self.assertGreater(read_process(os.getpid()).rss_bytes, 1024)
        self.assertIsNone(read_process(2**22 + 1))
        roles = [find_role(n) for n in ("pool-1", "entry-2", "platform", "w-1")]
        self.assertEqual(["pool", "entry", "platform", "target"], roles)

    def test_each_variant_switches_one_part(self):
        self.assertEqual("entry", find_policy("baseline").pooling)
        for name in set(VARIANTS) - {"full", "baseline"}:
            full = vars(VARIANTS["full"])
            changed = [k for k, v in vars(VARIANTS[name]).items() if v != full[k]]
            self.assertEqual(1, len(changed), name)
        with self.assertRaisesRegex(SettingsError, "known: full"):
            find_policy("best")
