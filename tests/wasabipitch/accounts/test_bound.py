"""Searches for faults that let hosts grant more than an account's limit together."""

import os
import unittest
from contextlib import nullcontext
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.wasabipitch.accounts.world import LIMITS, World
from wasabipitch.accounts import counting
from wasabipitch.policy.token_bucket import QuotaTolerance, TokenBucket

STRONG, WEAK, UNKNOWN = (2.15, 100.0), (0.516, 5.0), (0.0, 0.0)
# Set to search with other seeds, for longer than CI does.
EXAMPLES = int(os.environ.get("WASABIPITCH_EXAMPLES", "0"))

FAULTS = st.sampled_from(
    (
        "freeze",
        "thaw",
        "end",
        "restart",
        "power loss",
        "cut",
        "heal",
        "store outage",
        "store back",
        "slow",
        "leave",
        "odd removal",
        "copy store",
        "restore store",
        "limit",
        "wait",
    )
)
STEPS = st.lists(
    st.tuples(FAULTS, st.integers(0, 3), st.integers(1, 16)), min_size=8, max_size=30
)
TOLERANCES = st.sampled_from(
    (QuotaTolerance(5.0, 0.1, 20.0), QuotaTolerance(5.0, 0.0, 0.0))
)
STRENGTHS = st.lists(st.sampled_from((STRONG, WEAK, UNKNOWN)), min_size=4, max_size=4)


def inject(world, fault, number, ticks):
    """Inject one fault, or the end of one, into a host or the store."""
    host = world.hosts.get(number)
    store = world.store
    if fault == "restart":
        world.start(number)
    elif fault == "power loss":
        for each in list(world.hosts):
            world.start(each)
    elif fault == "copy store":
        store.copy = dict(store.records)
    elif fault == "restore store":
        store.restore(world.now_s)
    elif fault == "limit":
        store.limit = ticks % len(LIMITS)
    elif fault in ("store outage", "store back"):
        for each in world.hosts.values():
            each.cut = fault == "store outage"
    elif host is None:
        return
    elif fault in ("freeze", "thaw"):
        host.frozen = fault == "freeze"
    elif fault in ("cut", "heal"):
        host.cut = fault == "cut"
    elif fault == "end":
        del world.hosts[number]
    elif fault == "slow":
        host.delay = ticks % 8
    elif fault == "leave":
        host.leave()
    elif fault == "odd removal":
        store.remove(host.key)


def run_world(strengths, tolerance, steps, warm_up=90):
    """Run a fleet through the faults and return the first window above the bound."""
    world = World(strengths, tolerance, demand=0)
    world.advance(warm_up)
    world.demand = 1000
    for fault, number, ticks in steps:
        inject(world, fault, number, ticks)
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


if __name__ == "__main__":
    unittest.main()
