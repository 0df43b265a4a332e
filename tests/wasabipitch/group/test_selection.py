import unittest
from types import SimpleNamespace

from wasabipitch.group.selection import ConnectionSelector
from wasabipitch.models import Position
from wasabipitch.policy.placement import LaggingBackoff
from wasabipitch.policy.read_leases import ReadDecision


def make_pool(is_primary=False, leaving=False):
    entry = SimpleNamespace(is_primary=is_primary, leaving=leaving)
    return SimpleNamespace(entry=entry, lagging=LaggingBackoff())


class FindReadableTest(unittest.TestCase):
    def test_replaced_primary_that_still_reports_itself_primary_is_not_read(self):
        pools = {"old": make_pool(is_primary=True), "a": make_pool(), "b": make_pool()}
        selector = ConnectionSelector(
            SimpleNamespace(primary="a"), SimpleNamespace(pools=pools), None
        )
        decision = ReadDecision(primary=True, floor=Position(1, 24))
        self.assertEqual(selector.find_readable(decision), {"a", "b"})
