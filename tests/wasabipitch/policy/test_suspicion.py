import unittest

from msgspec.structs import replace

from wasabipitch.policy.suspicion import (
    COMMIT_HANG_S,
    SETTLING_COMMIT_HANG_S,
    SETTLING_S,
    SILENT_S,
    UNREACHABLE_S,
    PrimaryEvidence,
    find_doubt,
)

HEALTHY = PrimaryEvidence(False, None, None, None, False, 60.0)


class FindDoubtTest(unittest.TestCase):
    def find(self, **changes):
        doubt = find_doubt(replace(HEALTHY, **changes))
        return doubt and doubt.reason

    def test_a_healthy_primary_is_trusted(self):
        self.assertIsNone(find_doubt(HEALTHY))
        self.assertIsNone(self.find(silent_for_s=SILENT_S, commit_for_s=COMMIT_HANG_S))

    def test_a_dark_primary_is_suspected_before_a_callers_time_limit(self):
        for seconds in (SILENT_S, UNREACHABLE_S, COMMIT_HANG_S):
            self.assertLess(seconds, 0.6)
        self.assertEqual(self.find(silent_for_s=SILENT_S + 0.01), "silent")
        self.assertEqual(
            self.find(unreachable_for_s=UNREACHABLE_S + 0.01), "unreachable"
        )
        self.assertEqual(self.find(commit_for_s=COMMIT_HANG_S + 0.01), "commits hang")

    def test_only_a_refused_connection_is_certain(self):
        self.assertTrue(find_doubt(replace(HEALTHY, refused=True)).certain)
        self.assertFalse(find_doubt(replace(HEALTHY, fails_work=True)).certain)

    def test_commits_of_a_new_primary_may_wait_for_its_replicas(self):
        # The die library's scale-1: the only replica of a new primary received nothing
        # for a second, and the primary was replaced again at once.
        hanging = {"commit_for_s": COMMIT_HANG_S + 0.3}
        self.assertIsNone(self.find(established_for_s=1.0, **hanging))
        self.assertIsNotNone(self.find(established_for_s=SETTLING_S + 0.1, **hanging))
        self.assertIsNotNone(
            self.find(established_for_s=2.5, commit_for_s=SETTLING_COMMIT_HANG_S + 0.1)
        )
