import unittest

from wasabipitch.coordination.documents import (
    Account,
    Configuration,
    Consistency,
    Route,
)
from wasabipitch.policy.authorization import (
    MOVED_KEY,
    UNKNOWN_KEY,
    UNPROVEN,
    Refused,
    Served,
    authorize,
    find_max_proof_age,
)
from wasabipitch.wire.messages import Code

ROUTES = {
    name: Route(name, "g", Consistency.PRIMARY, 0.0, 1.0, 0.2, 1, public)
    for name, public in (("private", False), ("open", True))
}
ACCOUNTS = {name: Account(name) for name in ("north", "south")}
KEYS = {"k1": "north", "k2": "north", "k3": "south"}
CONFIGURATION = Configuration(3, ROUTES, accounts=ACCOUNTS, account_names=KEYS)
UNKNOWN = Refused(Code.NOT_AUTHENTICATED, UNKNOWN_KEY)


def decide(key, database="private", proven=True, transaction=None, configuration=None):
    return authorize(configuration or CONFIGURATION, database, key, proven, transaction)


class AuthorizationTest(unittest.TestCase):
    def test_a_key_is_served_for_its_account(self):
        self.assertEqual(decide("k2"), Served("north"))
        self.assertEqual(decide("k3"), Served("south"))

    def test_an_unknown_key_is_refused(self):
        # A caller without a key names the empty one.
        for key in ("k4", "", "north"):
            self.assertEqual(decide(key), UNKNOWN)
            self.assertEqual(decide(key, "removed"), UNKNOWN)

    def test_a_configuration_without_accounts_serves_every_caller(self):
        plain = Configuration(3, ROUTES)
        for proven in (True, False):
            decision = decide("any", proven=proven, configuration=plain)
            self.assertEqual(decision, Served(""))

    def test_a_configuration_that_drops_all_accounts_lets_transactions_end(self):
        plain = Configuration(4, ROUTES)
        decision = decide("k1", transaction="north", configuration=plain)
        self.assertEqual(decision, Served("north"))

    def test_a_public_route_refuses_nobody(self):
        self.assertEqual(decide("k1", "open"), Served("north"))
        self.assertEqual(decide("k4", "open"), Served(""))
        self.assertEqual(decide("", "open", proven=False), Served(""))

    def test_a_key_on_a_public_route_is_not_trusted_without_a_proof(self):
        # The key may have been withdrawn, and its account must not be used then.
        self.assertEqual(decide("k1", "open", proven=False), Served(""))

    def test_without_a_proof_no_key_is_accepted_or_rejected(self):
        # A key that this host does not know yet may be valid by now, so that the
        # caller has to try another host.
        busy = Refused(Code.BUSY, UNPROVEN, "north")
        self.assertEqual(decide("k1", proven=False), busy)
        self.assertEqual(decide("k1", proven=False, transaction="north"), busy)
        self.assertEqual(decide("k4", proven=False), Refused(Code.BUSY, UNPROVEN))

    def test_a_transaction_ends_with_the_key_of_its_account(self):
        self.assertEqual(decide("k1", transaction="north"), Served("north"))
        self.assertEqual(decide("k4", transaction="north"), UNKNOWN)
        moved = Refused(Code.NOT_AUTHENTICATED, MOVED_KEY, "south")
        self.assertEqual(decide("k3", transaction="north"), moved)

    def test_a_transaction_on_a_public_route_keeps_its_account(self):
        # Its connection belongs to the account.
        self.assertEqual(decide("k1", "open", transaction="north"), Served("north"))
        self.assertEqual(decide("k4", "open", transaction="north"), UNKNOWN)
        self.assertEqual(decide("k1", "open", transaction=""), Served(""))
        self.assertEqual(decide("k1", "open", False, transaction=""), Served(""))

    def test_a_transaction_without_an_account_goes_on_when_accounts_appear(self):
        self.assertEqual(decide("k1", transaction=""), Served(""))
        self.assertEqual(decide("k4", transaction=""), UNKNOWN)

    def test_no_refusal_contains_the_key(self):
        for key in ("k4-secret", "k1"):
            for proven in (True, False):
                decision = decide(key, proven=proven, transaction="south")
                self.assertNotIn(key, repr(decision))

    def test_a_key_is_refused_before_the_bound(self):
        self.assertLess(find_max_proof_age(5.0), 5.0)
        self.assertGreater(find_max_proof_age(5.0), 3.0)
