import unittest

from wasabipitch.policy.ownership import (
    Capacity,
    choose_owners,
    connections_per_owner,
    count_owners,
    find_strong_hosts,
    order_owners,
)


def fleet(count):
    return {f"host-{n}": f"centre-{n % 3}" for n in range(count)}


class OwnershipTest(unittest.TestCase):
    def test_owners_together_stay_within_the_connection_limit(self):
        for limit in (8, 16, 28, 46, 136):
            for hosts in (1, 3, 6, 61, 79, 780):
                owners = count_owners(limit, hosts)
                with self.subTest(limit=limit, hosts=hosts):
                    self.assertLessEqual(
                        owners * connections_per_owner(limit, owners), limit
                    )
                    self.assertGreaterEqual(owners, 1)

    def test_small_fleet_is_all_owners_and_large_fleet_is_not(self):
        self.assertEqual(count_owners(16, 6), 6)
        self.assertEqual(count_owners(46, 79), 7)

    def test_owners_are_spread_over_the_data_centres(self):
        hosts = fleet(79)
        owners = choose_owners("ledger", hosts, 6)
        centres = [hosts[owner] for owner in owners]
        self.assertEqual({centres.count(c) for c in set(centres)}, {2})

    def test_fleet_change_replaces_few_owners(self):
        before = choose_owners("ledger", fleet(79), 7)
        after = choose_owners("ledger", fleet(78), 7)
        self.assertGreaterEqual(len(before & after), 6)

    def test_near_owners_come_first_and_the_load_is_spread(self):
        owners = {f"o-{n}": f"centre-{n % 3}" for n in range(6)}
        firsts = set()
        for n in range(40):
            order = order_owners("ledger", f"host-{n}", "centre-1", owners)
            self.assertEqual({owners[name] for name in order[:2]}, {"centre-1"})
            firsts.add(order[0])
        self.assertEqual(firsts, {"o-1", "o-4"})


STRONG, WEAK = Capacity(2.15, 200), Capacity(0.36, 10)


class StrongHostsTest(unittest.TestCase):
    """Guards against a weak host that delays the statements of all others."""

    def setUp(self):
        self.hosts = fleet(128)
        self.strong = {f"host-{n}" for n in range(6)}

    def test_only_hosts_that_differ_in_both_capacities_are_told_apart(self):
        fleet_of = {"a": STRONG, "b": STRONG, "c": WEAK}
        self.assertEqual(find_strong_hosts(fleet_of), {"a", "b"})
        for other in (STRONG, Capacity(1.1, 100), Capacity(2.15, 10)):
            with self.subTest(other=other):
                self.assertEqual(find_strong_hosts({"a": STRONG, "b": other}), set())
        self.assertEqual(find_strong_hosts({"a": Capacity(0, 0)}), set())
        self.assertEqual(find_strong_hosts({}), set())

    def test_strong_hosts_are_the_owners(self):
        owners = choose_owners("ledger", self.hosts, 11, self.strong)
        self.assertEqual(owners, self.strong)
        self.assertEqual(len(choose_owners("ledger", self.hosts, 3, self.strong)), 3)

    def test_a_data_centre_without_a_strong_host_has_a_weak_owner(self):
        strong = {name for name in self.strong if self.hosts[name] != "centre-2"}
        owners = choose_owners("ledger", self.hosts, 11, strong)
        self.assertEqual(len(owners - strong), 1)
        self.assertEqual({self.hosts[name] for name in owners - strong}, {"centre-2"})

    def test_too_few_strong_hosts_are_not_preferred(self):
        plain = choose_owners("ledger", self.hosts, 11)
        few = choose_owners("ledger", self.hosts, 11, {"host-0", "host-1"})
        self.assertEqual(few, plain)

    def test_hosts_of_a_data_centre_send_an_account_to_the_same_owner(self):
        owners = {f"o-{n}": f"centre-{n % 3}" for n in range(6)}
        firsts = [
            order_owners("ledger", f"account-{n}", "centre-1", owners)[0]
            for n in range(83)
        ]
        # Each of the two owners there has a fair share of the accounts.
        self.assertEqual(set(firsts), {"o-1", "o-4"})
        self.assertGreater(firsts.count("o-1"), 25)
        self.assertGreater(firsts.count("o-4"), 25)

    def test_loss_of_an_owner_moves_only_its_accounts(self):
        owners = {f"o-{n}": "rome" for n in range(6)}
        left = {name: owners[name] for name in owners if name != "o-3"}
        for n in range(83):
            before = order_owners("ledger", f"account-{n}", "rome", owners)
            after = order_owners("ledger", f"account-{n}", "rome", left)
            self.assertEqual([name for name in before if name != "o-3"], after)
