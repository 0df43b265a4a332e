import itertools
import math
import unittest

from wasabipitch.policy.counters import (
    Candidate,
    Membership,
    ProofChain,
    Standing,
    rank,
    strength,
)

WEAK = [Candidate(f"weak-{number}", 0.516, 5.0) for number in range(75)]
STRONG = [Candidate(f"strong-{number}", 2.15, 100.0) for number in range(6)]
ACCOUNTS = [f"account-{number}" for number in range(83)]


class RankTest(unittest.TestCase):
    def test_strong_hosts_count_as_long_as_some_are_alive(self):
        strong = {host.name for host in STRONG}
        for account in ACCOUNTS:
            self.assertLessEqual(set(rank(account, WEAK + STRONG)), strong)
            self.assertEqual(rank(account, [*WEAK, STRONG[0]])[0], "strong-0")
            self.assertNotIn(rank(account, WEAK)[0], strong)

    def test_a_host_needs_more_of_both_to_be_strong(self):
        self.assertEqual(strength(0.6, 100.0), strength(0.6, 60.0))
        self.assertLess(strength(2.0, 5.0), strength(1.0, 50.0))
        self.assertEqual(strength(0.0, 0.0), 0)

    def test_hosts_that_are_alike_share_the_accounts(self):
        counts = {}
        for account in ACCOUNTS:
            first = rank(account, STRONG)[0]
            counts[first] = counts.get(first, 0) + 1
        self.assertEqual(len(counts), len(STRONG))
        self.assertLess(max(counts.values()), 30)

    def test_other_hosts_never_change_which_of_two_ranks_first(self):
        # Otherwise two hosts whose copies differ in a third one could count at once.
        hosts = [*STRONG[:2], *WEAK[:2], Candidate("unknown")]
        for account in ACCOUNTS[:20]:
            for a, b in itertools.permutations(hosts, 2):
                both = rank(account, [a, b])
                for others in itertools.combinations(hosts, 3):
                    order = rank(account, {a, b, *others})
                    if a.name in order and b.name in order:
                        self.assertEqual(order, both)

    def test_a_host_that_leaves_moves_only_its_own_accounts(self):
        for account in ACCOUNTS:
            order = rank(account, STRONG)
            rest = [host for host in STRONG if host.name != "strong-0"]
            if order[0] == "strong-0":
                self.assertEqual(rank(account, rest)[0], order[1])
            else:
                self.assertEqual(rank(account, rest)[0], order[0])


class StandingTest(unittest.TestCase):
    def setUp(self):
        self.membership = Membership(10.0)
        self.first, self.second = rank("acme", STRONG)
        self.all = frozenset(STRONG)
        self.others = frozenset(h for h in STRONG if h.name != self.first)

    def make(self, name):
        standing = Standing("acme", name)
        standing.update(self.membership)
        return standing

    def test_a_place_lasts_until_it_is_interrupted(self):
        self.membership.record(self.all, 1.0)
        first, second = self.make(self.first), self.make(self.second)
        self.assertEqual((first.first_since_s, second.first_since_s), (1.0, math.inf))
        self.assertEqual(second.granting_since_s, 1.0)
        self.membership.record(self.others, 2.0)
        self.membership.record(self.all, 3.0)
        first.update(self.membership)
        second.update(self.membership)
        self.assertEqual(first.first_since_s, 3.0)
        self.assertEqual(second.granting_since_s, 1.0)

    def test_a_change_that_was_not_looked_at_interrupts_too(self):
        self.membership.record(self.all, 1.0)
        self.membership.record(self.others, 2.0)
        self.membership.record(self.all, 3.0)
        self.assertEqual(self.make(self.first).first_since_s, 3.0)

    def test_old_versions_are_dropped_and_the_last_place_is_kept(self):
        self.membership.record(self.others, 1.0)
        for number in range(100):
            self.membership.record(self.all - {STRONG[number % 2]}, 20.0 + number)
        self.membership.record(self.all, 200.0)
        self.membership.record(self.all, 500.0)
        self.assertEqual(self.make(self.first).first_since_s, 200.0)
        self.assertEqual(len(self.membership.read_since(0)), 1)
        self.assertEqual(self.membership.begun_at_s, 1.0)

    def test_a_host_without_a_copy_has_no_place(self):
        standing = self.make(self.first)
        self.assertEqual((standing.order, standing.first_since_s), ((), math.inf))


class ProofChainTest(unittest.TestCase):
    def setUp(self):
        self.chain = ProofChain(1.6)

    def test_proofs_in_time_keep_the_chain(self):
        self.chain.observe(0.0, 9.0)
        self.assertEqual(self.chain.since_s, math.inf)
        for number in range(20):
            self.chain.observe(10.0 + number, 10.3 + number)
        self.assertEqual(self.chain.since_s, 10.3)

    def test_a_frozen_host_begins_again(self):
        self.chain.observe(10.0, 10.1)
        # The answer that was read after the suspension is recent, but it came late.
        self.chain.observe(12.0, 12.1)
        self.assertEqual(self.chain.since_s, 12.1)
        self.assertEqual(self.chain.begun_at_s, 10.1)

    def test_an_old_proof_counts_for_nothing(self):
        self.chain.observe(10.0, 11.7)
        self.assertEqual(self.chain.since_s, math.inf)


if __name__ == "__main__":
    unittest.main()
