import unittest

from wasabipitch.coordination.documents import GroupRecord, Phase
from wasabipitch.group.replacement import find_later_leader
from wasabipitch.models import Position
from wasabipitch.wire.messages import InstanceReport

RECORD = GroupRecord(Phase.CHANGING, "second", 1, 2, "holder")


def report(is_primary, term):
    return InstanceReport(is_primary, term, Position(term, 9), 0, 0.0, 0, 1)


class FindLaterLeaderTest(unittest.TestCase):
    def test_primary_of_an_earlier_term_is_no_later_leader(self):
        # The first primary is cut off from its replicas and still reports itself
        # primary at term 1. The second one is too busy to report. The first must not
        # count as its successor. The fault was found in the Wheelcraft run trouble-1
        # with seed 830042208225.
        reports = {"first": report(True, 1), "third": report(False, 2)}
        self.assertIsNone(find_later_leader(RECORD, reports))

    def test_instance_promoted_at_a_later_term_is_the_leader(self):
        reports = {"second": report(True, 2), "third": report(True, 3)}
        self.assertEqual(find_later_leader(RECORD, reports), "third")
        del reports["second"]
        self.assertEqual(find_later_leader(RECORD, reports), "third")

    def test_primary_of_the_record_is_no_later_leader(self):
        self.assertIsNone(find_later_leader(RECORD, {"second": report(True, 4)}))
