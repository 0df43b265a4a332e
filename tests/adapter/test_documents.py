import json
import unittest
from unittest.mock import patch

from adapter import documents
from adapter.documents import PlatformDocuments
from wasabipitch.coordination.documents import Consistency
from wasabipitch.coordination.store import Item
from wasabipitch.exceptions import SettingsError
from wasabipitch.models import Address

ENTRY = {
    "Backend": "huvo11a",
    "Addr": "10.128.0.9:8080",
    "Zone": "bkk-thonburi",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "ColdMs": 0,
    "DbRole": "replica",
    "Seq": 4,
    "born": 1789,
}
ROUTE = {
    "Name": "r-1",
    "Host": "fiti832",
    "Type": "read_your_writes",
    "TimeoutMs": 800,
    "GoalMs": 200,
    "Priority": 2,
    "Backend": "huvo11a",
    "MaxStalenessMs": 2500,
}
CONFIG = {
    "Version": 7,
    "Routes": [ROUTE],
    "Backends": [{"Name": "huvo11a", "MaxConns": 16, "SyncReplicas": 1}],
    "Limits": {"TxIdleMs": 3000},
}


class DocumentsTest(unittest.TestCase):
    documents = PlatformDocuments()

    def decode_instance(self, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        return self.documents.decode_instance(Item("servers/i-7", value, 5))

    def decode_configuration(self, fields):
        item = Item("op/config", json.dumps(fields).encode(), 5)
        return self.documents.decode_configuration(item)

    def test_an_instance(self):
        entry = self.decode_instance(ENTRY)
        self.assertEqual((entry.name, entry.group), ("i-7", "huvo11a"))
        self.assertEqual(entry.address, Address("10.128.0.9", 8080))
        self.assertEqual((entry.leaving, entry.born_ms), (False, 1789))
        self.assertEqual(entry.sequence, 4)
        self.assertTrue(self.decode_instance({**ENTRY, "State": "draining"}).leaving)

    def test_an_entry_of_another_writer_names_no_instance(self):
        foreign = [
            b"\xff\x00",
            b"[]",
            {**ENTRY, "State": "resting"},
            {**ENTRY, "Slots": "two"},
            {**ENTRY, "Addr": "nowhere"},
            {**ENTRY, "DbRole": "witness"},
            {"Backend": "huvo11a"},
        ]
        for value in foreign:
            with self.subTest(value=value):
                self.assertIsNone(self.decode_instance(value))

    def test_the_configuration(self):
        configuration = self.decode_configuration(CONFIG)
        route = configuration.routes["fiti832"]
        self.assertEqual(route.consistency, Consistency.OWN_WRITES)
        self.assertEqual((route.max_age_s, route.timeout_s), (2.5, 0.8))
        self.assertEqual(configuration.groups["huvo11a"].max_connections, 16)
        self.assertEqual(configuration.idle_transaction_s, 3.0)

    def test_a_large_configuration_is_decoded_in_steps(self):
        # One long step holds up the statements of every caller of a host.
        routes = [{**ROUTE, "Host": f"database-{n}"} for n in range(1000)]
        value = json.dumps({**CONFIG, "Routes": routes}).encode()
        counts = [0]

        def decode_route(route):
            counts[-1] += 1
            return decode(route)

        decode = documents._decode_route
        steps = self.documents.decode_configuration_steps(Item("c", value, 3))
        with (
            patch.object(documents, "_decode_route", decode_route),
            self.assertRaises(StopIteration) as stopped,
        ):
            while True:
                next(steps)
                counts.append(0)
        configuration = stopped.exception.value
        self.assertEqual(len(configuration.routes), 1000)
        self.assertEqual(sum(counts), 1000)
        self.assertLessEqual(max(counts), documents.ROUTES_PER_STEP)
        whole = self.documents.decode_configuration(Item("c", value, 3))
        self.assertEqual(configuration, whole)

    def test_a_broken_configuration_names_what_is_wrong(self):
        with self.assertRaisesRegex(SettingsError, "Version"):
            self.decode_configuration({"Routes": []})
        with self.assertRaisesRegex(SettingsError, "unknown type 'odd'"):
            routes = [{**ROUTE, "Type": "odd"}]
            self.decode_configuration({**CONFIG, "Routes": routes})
