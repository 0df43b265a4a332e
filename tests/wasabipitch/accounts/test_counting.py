"""The failures that move the counting of an account from one host to another."""

import unittest
from unittest.mock import patch

from tests.wasabipitch.accounts.world import LIMITS, NAME, TICK_S, World
from wasabipitch.accounts import counting
from wasabipitch.accounts.counting import COUNTING_PROOF_S, COUNTING_WAIT_S
from wasabipitch.coordination.documents import Account
from wasabipitch.policy.counters import Candidate, rank
from wasabipitch.policy.token_bucket import QuotaTolerance, reserve_bound

ALIKE = ((1.0, 10.0),) * 4
WARM_UP_TICKS = 100
RATE_PER_S, BURST = LIMITS[2]
ACCOUNT = Account(NAME, RATE_PER_S, BURST)


def ticks(seconds):
    return round(seconds / TICK_S)


class CountingTest(unittest.TestCase):
    def setUp(self):
        self.world = World(ALIKE, demand=0)
        self.world.store.limit = 2
        self.world.advance(WARM_UP_TICKS)
        order = rank(NAME, [Candidate(f"host-{n}", *ALIKE[n]) for n in range(4)])
        self.first, self.second = (int(name[-1]) for name in order)

    def host(self, number):
        return self.world.hosts[number]

    def grant(self, number, count=1000):
        return self.host(number).counter.grant(ACCOUNT, count)

    def reserve(self):
        return int(reserve_bound(RATE_PER_S, BURST, self.world.tolerance))

    def test_in_calm_one_host_counts_and_grants_the_whole_limit(self):
        self.assertEqual(self.grant(self.first).granted, BURST)
        granted = 0
        for _ in range(ticks(20.0)):
            self.world.advance(1)
            for number in range(4):
                grant = self.grant(number)
                self.assertEqual(grant.counts, number == self.first)
                granted += grant.granted if grant.counts else 0
        self.assertGreaterEqual(granted, 0.9 * RATE_PER_S * 20.0)

    def test_in_calm_an_account_at_half_its_limit_is_never_refused(self):
        self.grant(self.first)
        for _ in range(ticks(20.0)):
            # 1.5 operations in each tick, half of RATE_PER_S.
            self.world.advance(2)
            for _ in range(3):
                self.assertEqual(self.grant(self.first, 1).granted, 1)

    def test_an_account_that_was_quiet_has_its_whole_burst(self):
        self.grant(self.first)
        self.world.advance(ticks(60.0))
        self.host(self.first).counter.drop_unused({NAME: ACCOUNT})
        self.assertEqual(self.host(self.first).counter.accounts, 0)
        self.assertEqual(self.grant(self.first).granted, BURST)

    def test_a_frozen_counter_grants_nothing_on_its_old_proof(self):
        # The clock includes suspended time, so the proof is old when the host wakes.
        self.host(self.first).frozen = True
        self.world.advance(ticks(COUNTING_PROOF_S + 0.3))
        self.assertFalse(self.grant(self.first).counts)

    def test_the_second_host_grants_its_reserve_while_the_counter_is_frozen(self):
        self.host(self.first).frozen = True
        self.world.advance(ticks(1.0))
        grant = self.grant(self.second)
        self.assertEqual(grant.granted, self.reserve())
        self.assertFalse(grant.counts)
        self.assertEqual(self.grant(self.second).granted, 0)

    def test_a_counter_without_the_store_falls_back_to_its_reserve(self):
        self.host(self.first).cut = True
        self.world.advance(ticks(2.5))
        grant = self.grant(self.first)
        self.assertEqual((grant.granted, grant.counts), (self.reserve(), False))
        self.world.advance(ticks(5.0))
        # Its lease may have ended, and another host may have taken its place.
        self.assertEqual(self.grant(self.first).granted, 0)

    def test_the_second_host_counts_once_the_counter_has_ended(self):
        del self.world.hosts[self.first]
        self.world.advance(ticks(6.0 + COUNTING_WAIT_S + 1.0))
        self.assertTrue(self.grant(self.second).counts)

    def test_a_new_counter_begins_with_an_empty_bucket(self):
        self.grant(self.first)
        self.host(self.first).leave()
        granted = []
        while not granted or not granted[-1].counts:
            self.world.advance(1)
            granted.append(self.grant(self.second))
        turn = granted[-1]
        self.assertLess(turn.granted - turn.reserved, RATE_PER_S * 2 * TICK_S + 1)

    def test_a_counter_whose_turn_comes_again_begins_empty(self):
        # A bucket that was kept could grant tokens that another host granted meanwhile.
        first = self.first
        self.host(first).cut = True
        self.world.advance(ticks(3.0))
        self.host(first).cut = False
        self.world.advance(ticks(0.9))
        self.assertFalse(self.grant(first, 0).counts)
        for _ in range(ticks(10.0)):
            self.world.advance(1)
            grant = self.grant(first)
            if grant.counts:
                break
        self.assertLess(grant.granted - grant.reserved, RATE_PER_S * 2 * TICK_S + 1)

    def test_a_counter_that_starts_again_counts_at_once(self):
        # After a power loss the callers of all hosts wait for this.
        for number in range(4):
            self.world.start(number)
        self.world.advance(ticks(1.0))
        grant = self.grant(self.first)
        self.assertTrue(grant.counts)
        self.assertGreaterEqual(grant.granted, 0.5 * RATE_PER_S)
        self.assertEqual(grant.reserved, 0)

    def test_a_host_that_joined_lately_waits_after_a_restart(self):
        # Nothing shows that the host that counted before knows of it.
        del self.world.hosts[self.first]
        self.world.advance(ticks(12.0))
        self.world.start(self.first)
        self.world.advance(ticks(1.0))
        self.world.start(self.first)
        self.world.advance(ticks(1.0))
        self.assertFalse(self.grant(self.first).counts)
        self.world.advance(ticks(COUNTING_WAIT_S + 0.5))
        self.assertTrue(self.grant(self.first).counts)

    def test_a_new_host_has_no_part_in_the_reserve(self):
        self.world.start(self.first)
        self.host(self.second).frozen = True
        self.world.advance(ticks(3.0))
        self.assertEqual(self.grant(self.first).reserved, 0)

    def test_a_host_that_is_cut_off_with_an_old_proof_does_not_count(self):
        # Were proofs valid for longer, two hosts would count at once.
        for limit_s, expected in ((COUNTING_PROOF_S, 1), (60.0, 2)):
            with patch.object(counting, "COUNTING_PROOF_S", limit_s):
                world = World(ALIKE, demand=0)
                del world.hosts[self.first]
                world.advance(WARM_UP_TICKS)
                world.hosts[self.second].cut = True
                world.start(self.first)
                world.advance(ticks(2.6))
                counters = [
                    host.counter.grant(ACCOUNT, 1).counts
                    for host in world.hosts.values()
                ]
                self.assertEqual(sum(counters), expected)

    def test_a_lowered_limit_applies_to_the_next_operations(self):
        self.grant(self.first)
        lowered = Account(NAME, 1.0, 2.0)
        counter = self.host(self.first).counter
        self.world.advance(ticks(10.0))
        self.assertEqual(counter.grant(lowered, 1000).granted, 2)
        self.world.advance(ticks(3.0))
        self.assertEqual(counter.grant(lowered, 1000).granted, 2)

    def test_a_raised_limit_gives_no_fresh_burst(self):
        self.grant(self.first)
        raised = Account(NAME, 2 * RATE_PER_S, 1000.0)
        counter = self.host(self.first).counter
        self.assertEqual(counter.grant(raised, 1000).granted, 0)
        self.world.advance(ticks(1.5))
        self.assertEqual(counter.grant(raised, 1000).granted, 3 * RATE_PER_S)

    def test_state_of_unused_accounts_is_dropped(self):
        counter = self.host(self.first).counter
        for number in range(50):
            counter.grant(Account(f"account-{number}", 1.0, 5.0), 1)
        self.assertEqual(counter.accounts, 50)
        self.world.advance(ticks(60.0))
        counter.drop_unused({})
        self.assertEqual(counter.accounts, 0)

    def test_without_a_tolerance_there_is_no_reserve(self):
        world = World(ALIKE, QuotaTolerance(5.0, 0.0, 0.0), demand=0)
        world.advance(WARM_UP_TICKS)
        grant = world.hosts[self.second].counter.grant(ACCOUNT, 10)
        self.assertEqual(grant.granted, 0)


if __name__ == "__main__":
    unittest.main()
