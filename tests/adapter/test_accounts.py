import json
import unittest

from adapter.documents import PlatformDocuments
from adapter.wire import LineInstanceCodec
from wasabipitch.coordination.documents import Account
from wasabipitch.coordination.store import Item
from wasabipitch.exceptions import SettingsError
from wasabipitch.wire.messages import Startup


def decode(accounts, routes=()):
    value = {"Version": 3, "Tenants": accounts, "Routes": list(routes)}
    item = Item("op/config", json.dumps(value).encode(), 7)
    return PlatformDocuments().decode_configuration(item)


class AccountsTest(unittest.TestCase):
    def test_accounts_are_found_by_their_keys(self):
        fields = {"Name": "north", "ApiKeys": ["k1", "k2"], "RatePerS": 2.5, "Burst": 9}
        configuration = decode([fields, {"Name": "south", "ApiKeys": ["k3"]}])
        self.assertEqual(configuration.find_account("k2"), Account("north", 2.5, 9))
        self.assertEqual(configuration.find_account("k3"), Account("south"))
        self.assertIsNone(configuration.find_account("k4"))
        self.assertIsNone(configuration.find_account(""))

    def test_an_invalid_account_is_refused_without_naming_a_key(self):
        # The error is logged, and a log must not contain a key.
        for accounts in (
            [{"Name": "a b", "ApiKeys": ["secret"]}],
            [{"Name": "a", "ApiKeys": ["secret"]}, {"Name": "a"}],
            [
                {"Name": "a", "ApiKeys": ["secret"]},
                {"Name": "b", "ApiKeys": ["secret"]},
            ],
            [{"Name": "a", "ApiKeys": ["secret"], "RatePerS": -1}],
        ):
            with self.subTest(accounts=accounts), self.assertRaises(SettingsError) as r:
                decode(accounts)
            self.assertNotIn("secret", str(r.exception))

    def test_a_route_says_whether_it_is_public(self):
        route = {"Host": "d", "Type": "primary", "Backend": "g"}
        routes = decode([], [route | {"Public": True}]).routes
        self.assertTrue(routes["d"].public)
        self.assertFalse(decode([], [route]).routes["d"].public)

    def test_an_instance_is_told_the_account(self):
        codec = LineInstanceCodec()
        self.assertEqual(codec.startup("g", "i-1", "north"), b"STARTUP g north i-1\r\n")
        self.assertEqual(codec.startup("g", "i-1"), b"STARTUP g wasabipitch i-1\r\n")

    def test_the_text_of_a_startup_lacks_the_key(self):
        self.assertNotIn("secret", repr(Startup("bookings", "secret")))
