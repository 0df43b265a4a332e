"""Searches for faults that let hosts grant more than an account's limit together."""

import os
import unittest
from contextlib import nullcontext
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.wasabipitch.accounts.world import LIMITS, NAME, TICK_S, World
from wasabipitch.accounts import counting
from wasabipitch.coordination.documents import Account
from wasabipitch.policy.counters import Standing
from wasabipitch.policy.token_bucket import QuotaTolerance, TokenBucket

STRONG, WEAK, UNKNOWN = (2.15, 100.0), (0.516, 5.0), (0.0, 0.0)
# Set to search with other seeds, for longer than CI does.
EXAMPLES = int(os.environ.get("WASABIPITCH_EXAMPLES", "0"))


def restart(world, number, ticks):
    world.start(number)


def restart_all(world, number, ticks):
    for each in list(world.hosts):
        world.start(each)


def copy_store(world, number, ticks):
    world.store.copy = dict(world.store.records)


def restore_store(world, number, ticks):
    world.store.restore(world.now_s)


def change_limit(world, number, ticks):
    world.store.limit = ticks % len(LIMITS)


def wait(world, number, ticks):
    pass


def end(world, number, ticks):
    world.hosts.pop(number, None)


def set_for_all(name, value):
    def inject(world, number, ticks):
        for host in world.hosts.values():
            setattr(host, name, value)

    return inject


def set_for_one(name, value):
    def inject(world, number, ticks):
        if number in world.hosts:
            setattr(world.hosts[number], name, value)

    return inject


def slow_down(world, number, ticks):
    if number in world.hosts:
        world.hosts[number].delay = ticks % 8


def leave(world, number, ticks):
    if number in world.hosts:
        world.hosts[number].leave()


def remove_oddly(world, number, ticks):
    if number in world.hosts:
        world.store.remove(world.hosts[number].key)


FAULTS = st.sampled_from(
    (
        set_for_one("frozen", True),
        set_for_one("frozen", False),
        set_for_one("cut", True),
        set_for_one("cut", False),
        set_for_all("cut", True),
        set_for_all("cut", False),
        restart,
        restart_all,
        end,
        leave,
        slow_down,
        remove_oddly,
        copy_store,
        restore_store,
        change_limit,
        wait,
    )
)
STEPS = st.lists(
    st.tuples(FAULTS, st.integers(0, 3), st.integers(1, 16)), min_size=8, max_size=30
)
TOLERANCES = st.sampled_from(
    (QuotaTolerance(5.0, 0.1, 20.0), QuotaTolerance(5.0, 0.0, 0.0))
)
STRENGTHS = st.lists(st.sampled_from((STRONG, WEAK, UNKNOWN)), min_size=4, max_size=4)


def run_world(strengths, tolerance, steps, warm_up=90):
    """Run a fleet through the faults and return the first window above the bound."""
    world = World(strengths, tolerance, demand=0)
    world.advance(warm_up)
    world.demand = 1000
    for fault, number, ticks in steps:
        fault(world, number, ticks)
        world.advance(ticks)
    return world.find_excess()


def search(examples, **broken):
    """Return the excess that a search finds; derandomized unless a longer one runs."""
    found = []

    @settings(
        max_examples=EXAMPLES or examples,
        derandomize=not EXAMPLES,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(STRENGTHS, TOLERANCES, STEPS)
    def check(strengths, tolerance, steps):
        if found:
            return
        excess = run_world(strengths, tolerance, steps)
        if excess is not None:
            found.append((excess, strengths, tolerance, steps))

    with patch.multiple(counting, **broken) if broken else nullcontext():
        check()
    return found


class BoundTest(unittest.TestCase):
    def test_no_faults_make_hosts_grant_more_than_the_bound(self):
        self.assertEqual(search(60), [])

    def test_the_search_finds_a_counter_that_does_not_wait(self):
        self.assertTrue(search(400, COUNTING_WAIT_S=0.0))

    def test_the_search_finds_a_bucket_that_begins_full(self):
        def make_full(rate_per_s, burst, at_s, tokens=0.0):
            return TokenBucket(rate_per_s, burst, at_s, burst)

        self.assertTrue(search(400, TokenBucket=make_full))

    def test_the_search_finds_reserves_above_the_tolerance(self):
        def take_whole(rate_per_s, burst, tolerance):
            limit = rate_per_s * tolerance.window_s + burst
            return limit * tolerance.excess + tolerance.slack

        self.assertTrue(search(400, reserve_bound=take_whole))


class CalmTest(unittest.TestCase):
    """Guards accounts against refusals that their limit does not call for."""

    @settings(max_examples=15, derandomize=True, deadline=None, database=None)
    @given(STRENGTHS, st.floats(0.5, 100.0), st.floats(1.0, 50.0), st.integers(0, 3))
    def test_in_calm_the_whole_limit_is_usable_and_half_is_never_refused(
        self, strengths, rate_per_s, burst, delay
    ):
        # Operations are sent in ticks, so a tick's worth has to fit into the burst.
        account = Account(NAME, rate_per_s, max(burst, rate_per_s * TICK_S + 1))
        world = World(strengths, demand=0)
        for host in world.hosts.values():
            host.delay = delay
        world.advance(90)
        self.check_half(world, account)
        granted, ticks = 0, 150
        for _ in range(ticks):
            world.advance(1)
            granted += self.grant(world, account, 1000)
        self.assertGreaterEqual(granted, 0.9 * int(rate_per_s * ticks * TICK_S))

    def check_half(self, world, account):
        due = 0.0
        for _ in range(100):
            world.advance(1)
            due += account.rate_per_s / 2 * TICK_S
            self.assertEqual(self.grant(world, account, int(due)), int(due))
            due -= int(due)

    def grant(self, world, account, count):
        host = next(iter(world.hosts.values()))
        standing = Standing(NAME, host.name)
        standing.update(host.counter.membership)
        counter = world.hosts[int(standing.order[0][-1])].counter
        return counter.grant(account, count).granted


if __name__ == "__main__":
    unittest.main()
