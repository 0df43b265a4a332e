import unittest
from types import SimpleNamespace

from wasabipitch.group.borrowing import Borrowing
from wasabipitch.models import Position
from wasabipitch.policy.placement import LaggingBackoff
from wasabipitch.policy.rights import ReadDecision


def make_pool(is_primary=False, leaving=False):
    entry = SimpleNamespace(is_primary=is_primary, leaving=leaving)
    return SimpleNamespace(entry=entry, lagging=LaggingBackoff())


class ReadableTest(unittest.TestCase):
    def test_a_replaced_primary_that_does_not_know_it_is_not_read(self):
        pools = {"old": make_pool(is_primary=True), "a": make_pool(), "b": make_pool()}
        borrowing = Borrowing(
            SimpleNamespace(primary="a"), SimpleNamespace(pools=pools), None
        )
        right = ReadDecision(primary=True, floor=Position(1, 24))
        self.assertEqual(borrowing.readable(right), {"a", "b"})
