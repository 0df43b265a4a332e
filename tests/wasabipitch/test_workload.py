import unittest

from wasabipitch.statements import fingerprint
from wasabipitch.workload import Workload


class WorkloadTest(unittest.TestCase):
    def test_literals_and_spacing_do_not_matter(self):
        one = fingerprint("SELECT *  FROM jobs WHERE id = 17 /* x */ AND n='a''b'")
        two = fingerprint("select * from jobs where id = 4 and n = 'c'")
        self.assertEqual(one.replace(" ", ""), two.replace(" ", ""))

    def test_learns_what_runs_long(self):
        workload = Workload()
        for _ in range(20):
            workload.observe("short", 0.003)
        workload.observe("report", 0.4)
        self.assertFalse(workload.is_long("report"))
        workload.observe("report", 0.4)
        self.assertTrue(workload.is_long("report"))
        self.assertFalse(workload.is_long("short"))
