import unittest

from wasabipitch.policy.locality import (
    DEFAULT_CROSSING_COST_S,
    SHARE_STEP,
    STEP_INTERVAL_S,
    Comparison,
    LeavingShare,
    Side,
    compare,
)

OBJECTIVE_S = 0.2
WAY_S = 0.002


def compare_sides(near, far, objective_s=OBJECTIVE_S):
    return compare(near, far, objective_s, DEFAULT_CROSSING_COST_S)


class CompareTest(unittest.TestCase):
    def check(self, expected, *args, **kwargs):
        self.assertEqual(compare_sides(*args, **kwargs), expected)

    def test_a_read_stays_while_its_caller_loses_little(self):
        self.check(Comparison.RETURN, Side(0.03), Side(0.01 + WAY_S))
        self.check(Comparison.LEAVE, Side(0.03, wait_s=0.05), Side(0.01 + WAY_S))

    def test_a_gain_near_the_cost_changes_nothing(self):
        self.check(Comparison.KEEP, Side(0.05), Side(0.01 + WAY_S))

    def test_a_tight_objective_gives_up_less(self):
        near, far = Side(0.05), Side(0.02)
        self.check(Comparison.KEEP, near, far, objective_s=0.2)
        self.check(Comparison.LEAVE, near, far, objective_s=0.1)

    def test_without_a_usable_instance_here_all_leave(self):
        self.check(Comparison.LEAVE, Side(), Side(0.3))

    def test_without_an_instance_elsewhere_none_leaves(self):
        self.check(Comparison.RETURN, Side(5.0), Side())
        self.check(Comparison.RETURN, Side(), Side())

    def test_a_slow_way_counts_in_full(self):
        self.check(Comparison.LEAVE, Side(0.1), Side(0.01 + 0.002))
        self.check(Comparison.KEEP, Side(0.1), Side(0.01 + 0.060))


class Place:
    """A data centre whose response time grows with its load above its capacity."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.load = 0.0

    @property
    def response_s(self):
        return 0.015 * max(1.0, (self.load / self.capacity) ** 3)


def play(demands, capacities, seconds=4.0, fetch_s=0.02):
    """Replay demands on the last place as the neighbour; return the shares over time.

    Every place but the last sends reads to the last one while leaving pays. Load is
    seen with the delay of one step of ``fetch_s``.
    """
    places = [Place(capacity) for capacity in capacities]
    shares = [LeavingShare() for _ in demands]
    history = []
    for step in range(int(seconds / fetch_s)):
        at_s = step * fetch_s
        loads = [0.0] * len(places)
        for i, share in enumerate(shares[:-1]):
            near, far = Side(places[i].response_s), Side(places[-1].response_s + WAY_S)
            demand = demands[i](at_s)
            comparison = compare_sides(near, far)
            sent = sum(share.admit(comparison, at_s) for _ in range(int(demand)))
            loads[i] += demand - sent
            loads[-1] += sent
        loads[-1] += demands[-1](at_s)
        for place, load in zip(places, loads, strict=True):
            place.load += 0.3 * (load - place.load)
        history.append((at_s, [s.read(at_s) for s in shares], loads))
    return history


class LeavingShareTest(unittest.TestCase):
    def test_a_peak_leaves_in_steps_and_all_return_afterwards(self):
        peak = play([lambda t: 40 if t < 2 else 5, lambda t: 5], [15, 60], seconds=6.0)
        shares = [s[0] for at_s, s, _ in peak]
        self.assertLessEqual(max(shares[:5]), SHARE_STEP)
        self.assertGreater(max(shares), 0.4)
        self.assertEqual(shares[-1], 0.0)
        self.assertEqual(peak[-1][2][1], 5)

    def test_traffic_does_not_swing_during_a_long_peak(self):
        peak = play([lambda t: 40, lambda t: 5], [15, 60], seconds=8.0)
        late = [s[0] for at_s, s, _ in peak if at_s > 3]
        self.assertLessEqual(max(late) - min(late), 2 * SHARE_STEP)

    def test_two_that_send_to_the_third_do_not_overrun_it(self):
        # With a bare comparison both would send all of their reads at once: 85.
        history = play([lambda t: 40, lambda t: 40, lambda t: 5], [15, 15, 40])
        late = [loads[2] for at_s, _, loads in history if at_s > 2]
        self.assertLess(max(late), 85 * 0.8)
        self.assertGreater(sum(late) / len(late), 15)

    def test_calm_reads_never_leave(self):
        history = play([lambda t: 10, lambda t: 5], [15, 60])
        self.assertEqual({s[0] for _, s, _ in history}, {0.0})

    def test_the_share_falls_in_steps_and_without_reads(self):
        share, at_s = LeavingShare(), 10.0
        for _ in range(40):
            share.admit(Comparison.LEAVE, at_s)
            at_s += STEP_INTERVAL_S / 4
        self.assertEqual(share.read(at_s), 1.0)
        falling = [share.read(at_s + n * STEP_INTERVAL_S * 1.01) for n in range(1, 40)]
        self.assertEqual(falling, sorted(falling, reverse=True))
        self.assertEqual(falling[-1], 0.0)

    def test_the_share_of_the_reads_that_leave_is_even(self):
        share, at_s = LeavingShare(), 10.0
        for _ in range(5):
            share.admit(Comparison.LEAVE, at_s)
            at_s += STEP_INTERVAL_S
        expected = share.read(at_s)
        sent = sum(share.admit(Comparison.KEEP, at_s) for _ in range(80))
        self.assertAlmostEqual(sent, 80 * expected, delta=1)
