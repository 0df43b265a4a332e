import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabipitch.policy.token_bucket import (
    QuotaTolerance,
    Reserve,
    TokenBucket,
    reserve_bound,
)

WINDOW_S = 5.0
# Seconds until the next request, and the number of its operations.
REQUESTS = st.lists(
    st.tuples(st.floats(0.0, 4.0), st.integers(0, 60)), min_size=1, max_size=60
)
RATES = st.floats(0.0, 30.0)
BURSTS = st.floats(0.0, 40.0)
SETTINGS = settings(max_examples=150, derandomize=True, deadline=None, database=None)


def run(requests, take):
    """Return the times and numbers of the tokens that ``take`` grants."""
    at_s, grants = 100.0, []
    for pause_s, count in requests:
        at_s += pause_s
        grants.append((at_s, take(count, at_s)))
    return grants


def find_most(grants):
    """Return the most tokens in any window."""
    return max(
        sum(n for at_s, n in grants if start_s <= at_s <= start_s + WINDOW_S)
        for start_s, _ in grants
    )


class TokenBucketTest(unittest.TestCase):
    @SETTINGS
    @given(RATES, BURSTS, REQUESTS)
    def test_no_window_has_more_than_the_rate_and_the_burst(self, rate, burst, reqs):
        bucket = TokenBucket(rate, burst, 100.0, tokens=burst)
        most = find_most(run(reqs, bucket.take))
        self.assertLessEqual(most, rate * WINDOW_S + max(1.0, burst) + 1e-6)

    @SETTINGS
    @given(st.lists(st.tuples(RATES, BURSTS), min_size=1, max_size=20), REQUESTS)
    def test_changes_of_the_limit_grant_no_fresh_burst(self, limits, reqs):
        bucket = TokenBucket(*limits[0], 100.0, tokens=1000.0)
        number = 0

        def take(count, at_s):
            nonlocal number
            number += 1
            bucket.change(*limits[number % len(limits)], at_s)
            return bucket.take(count, at_s)

        most = find_most(run(reqs, take))
        rate = max(limit[0] for limit in limits)
        burst = max(limit[1] for limit in limits)
        self.assertLessEqual(most, rate * WINDOW_S + max(1.0, burst) + 1e-6)

    def test_a_later_bucket_that_begins_empty_adds_nothing_to_a_window(self):
        first = TokenBucket(10.0, 20.0, 0.0, tokens=20.0)
        granted = first.take(100, 0.0) + first.take(100, 2.0)
        second = TokenBucket(10.0, 20.0, 2.0)
        granted += sum(second.take(100, at_s) for at_s in (2.0, 3.5, 5.0))
        self.assertEqual(granted, 10.0 * 5 + 20)

    def test_an_even_load_at_nine_tenths_of_the_limit_is_never_refused(self):
        bucket = TokenBucket(10.0, 1.0, 0.0)
        taken = [bucket.take(1, 1.0 + n / 9.0) for n in range(500)]
        self.assertEqual(sum(taken), 500)

    def test_a_burst_below_one_still_grants(self):
        bucket = TokenBucket(2.0, 0.0, 0.0)
        self.assertEqual(bucket.take(1, 0.5), 1)
        self.assertEqual(bucket.take(1, 0.6), 0)

    def test_a_rate_of_zero_grants_only_what_is_there(self):
        bucket = TokenBucket(0.0, 5.0, 0.0)
        self.assertEqual(bucket.take(5, 1000.0), 0)

    def test_a_clock_that_stands_still_grants_nothing_more(self):
        bucket = TokenBucket(10.0, 5.0, 0.0, tokens=5.0)
        self.assertEqual([bucket.take(5, 1.0), bucket.take(5, 0.5)], [5, 0])

    def test_a_full_bucket_is_told(self):
        bucket = TokenBucket(10.0, 5.0, 0.0)
        self.assertFalse(bucket.is_full(0.4))
        self.assertTrue(bucket.is_full(0.6))


class ReserveTest(unittest.TestCase):
    @SETTINGS
    @given(st.lists(st.floats(0.0, 30.0), min_size=1, max_size=10), REQUESTS)
    def test_no_window_has_more_than_the_greatest_bound(self, bounds, reqs):
        reserve, number = Reserve(WINDOW_S), 0

        def take(count, at_s):
            nonlocal number
            number += 1
            return reserve.take(count, bounds[number % len(bounds)], at_s)

        self.assertLessEqual(find_most(run(reqs, take)), max(bounds))

    def test_two_reserves_stay_within_the_tolerance(self):
        tolerance = QuotaTolerance(5.0, 0.1, 20.0)
        bound = reserve_bound(10.0, 10.0, tolerance)
        self.assertAlmostEqual(bound, 0.45 * (6.0 + 20.0))
        self.assertLess(2 * bound, 26.0)

    def test_a_grant_leaves_the_window_after_its_length(self):
        reserve = Reserve(WINDOW_S)
        self.assertEqual(reserve.take(5, 3.9, 10.0), 3)
        self.assertEqual(reserve.take(5, 3.9, 15.0), 0)
        self.assertFalse(reserve.is_unused(15.0))
        self.assertEqual(reserve.take(5, 3.9, 15.1), 3)
        self.assertTrue(reserve.is_unused(25.0))


if __name__ == "__main__":
    unittest.main()
