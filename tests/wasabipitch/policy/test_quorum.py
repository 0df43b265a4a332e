import itertools
import unittest

from wasabipitch.policy.quorum import MAX_QUORUM_HOSTS, excludes_quorum, is_quorum

NAMES = frozenset("abcdefgh")


class QuorumTest(unittest.TestCase):
    def test_a_lost_host_ends_no_agreement_of_a_majority(self):
        self.assertTrue(is_quorum(6, 7))
        self.assertTrue(is_quorum(4, 7))
        self.assertFalse(is_quorum(3, 7))
        self.assertFalse(is_quorum(3, 6))

    def test_large_fleets_need_every_host(self):
        self.assertFalse(is_quorum(MAX_QUORUM_HOSTS, MAX_QUORUM_HOSTS + 1))
        many = frozenset(map(str, range(MAX_QUORUM_HOSTS + 1)))
        self.assertTrue(excludes_quorum(many, frozenset()))

    def test_no_quorum_is_left_among_those_unaware_of_an_adopted_claim(self):
        for count in range(1, len(NAMES) + 1):
            names = frozenset(sorted(NAMES)[:count])
            for size in range(count + 1):
                for adopted in map(frozenset, itertools.combinations(names, size)):
                    if excludes_quorum(names, adopted):
                        self.assertFalse(is_quorum(len(names - adopted), count))

    def test_nor_among_those_that_know_one_host_more(self):
        for count in range(1, len(NAMES)):
            names = frozenset(sorted(NAMES)[:count])
            for size in range(count + 1):
                adopted = frozenset(sorted(names)[:size])
                if excludes_quorum(names, adopted, is_complete=False):
                    unaware = len(names - adopted) + 1
                    self.assertFalse(is_quorum(unaware, count + 1))
