import unittest
import unittest.mock

import msgspec

from wasabipitch.instances.read_locality import ReadLocality
from wasabipitch.policy.locality import DEFAULT_CROSSING_COST_S, STEP_INTERVAL_S
from wasabipitch.policy.placement import Load, ServiceTimes

CLOCK = "wasabipitch.instances.read_locality.now_s"


class Entry(msgspec.Struct):
    data_centre: str


class FakePool(msgspec.Struct):
    entry: Entry
    running: int = 0
    slowness: float = 1.0
    open: int = 2
    silent_since_s: float | None = None
    failing_since_s: float | None = None


class FakeRead(msgspec.Struct):
    objective_s: float = 0.2
    kind: str = "read"
    leaves: bool = False
    compared_at_s: float = 0.0


def describe(pool, at_s):
    near = pool.entry.data_centre == "a"
    return Load("", near, False, pool.running, 4, pool.slowness)


class ReadLocalityTest(unittest.TestCase):
    """Guards against paid traffic that no caller gains by."""

    def setUp(self):
        self.near = FakePool(Entry("a"))
        self.far = FakePool(Entry("b"))
        self.locality = ReadLocality(
            "a", DEFAULT_CROSSING_COST_S, describe, ServiceTimes()
        )

    def restrict(self, read, pools=None, queue_s=0.0):
        pools = [self.near, self.far] if pools is None else pools
        return self.locality.restrict(read, pools, lambda _: queue_s)

    def test_a_read_stays_although_a_statement_runs_here(self):
        self.near.running = 3
        self.assertEqual(self.restrict(FakeRead()), [self.near])

    def test_a_silent_or_unreachable_instance_keeps_no_read(self):
        both = [self.near, self.far]
        self.near.silent_since_s = 1.0
        self.assertEqual(self.restrict(FakeRead()), both)
        self.near.silent_since_s, self.near.open = None, 0
        self.assertEqual(self.restrict(FakeRead()), [self.near])
        self.near.failing_since_s = 1.0
        self.assertEqual(self.restrict(FakeRead()), both)

    def test_without_a_choice_all_pools_are_returned(self):
        for pools in ([self.near], [self.far], []):
            self.assertEqual(self.restrict(FakeRead(), pools), pools)
        both = [self.near, self.far]
        self.assertEqual(self.restrict(FakeRead(objective_s=0.0)), both)

    def test_reads_leave_a_slow_instance_step_by_step(self):
        self.near.slowness = 12.0
        left = []
        with unittest.mock.patch(CLOCK) as clock:
            for interval in range(10):
                clock.return_value = 100.0 + interval * STEP_INTERVAL_S * 1.01
                reads = [FakeRead() for _ in range(8)]
                left.append(sum(self.restrict(read) != [self.near] for read in reads))
        self.assertEqual(left[0], 0)
        self.assertEqual(left, sorted(left))
        self.assertEqual(left[-1], 8)
