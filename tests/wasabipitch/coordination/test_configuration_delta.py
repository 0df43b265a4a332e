import gc
import unittest
import zlib
from unittest.mock import patch

import msgspec
from msgspec.structs import replace

from wasabipitch.coordination import configuration_delta as delta
from wasabipitch.coordination.configuration_delta import (
    COMPARED_PER_STEP,
    ENTRIES_PER_STEP,
    STEP_BYTES,
    ChangeReader,
    digest_steps,
    encode_steps,
)
from wasabipitch.coordination.documents import (
    Account,
    Configuration,
    Consistency,
    GroupSettings,
    Route,
)
from wasabipitch.coordination.steps import finish
from wasabipitch.exceptions import ConfigurationRefused

# A frame of one block is never longer than what the entries of a step take.
PART_BYTES = 1000


def make_route(n, timeout_s=1.0):
    consistency = list(Consistency)[n % 3]
    return Route(
        f"database-{n}", f"group-{n % 4}", consistency, 0.5, timeout_s, 0.2, n % 5
    )


def make_configuration(version, routes, **fields):
    names = (f"account-{n}" for n in range(40))
    values = {
        "groups": {f"group-{n}": GroupSettings(f"group-{n}", 16, 1) for n in range(4)},
        "accounts": {name: Account(name, 5.0, 2.0) for name in names},
        "account_names": {f"key-{n}": f"account-{n % 40}" for n in range(80)},
        **fields,
    }
    routes = {route.database: route for route in map(make_route, range(routes))}
    return Configuration(version, routes, **values)


def digest(configuration):
    return finish(digest_steps(configuration))


def encode(base, target):
    return finish(encode_steps(base, target))


def read(base, change, data=None):
    reader = ChangeReader(base, change.base, change.version, change.digest)
    data = change.data if data is None else data
    for start in range(0, len(data), PART_BYTES):
        finish(reader.feed_steps(data[start : start + PART_BYTES]))
    return reader.finish()


class ConfigurationDeltaTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.first = digest(make_configuration(1, 300))

    def test_the_whole_is_read_as_it_was(self):
        change = encode(None, self.first)
        self.assertEqual(read(None, change), self.first)
        # The receiver's own configuration plays no part in the whole.
        other = digest(make_configuration(9, 20))
        self.assertEqual(read(other, change), self.first)

    def test_entries_added_changed_and_removed_in_every_table(self):
        configuration = self.first.configuration
        routes = dict(configuration.routes)
        del routes["database-7"]
        routes["database-8"] = make_route(8, timeout_s=9.0)
        routes["database-900"] = make_route(900)
        changed = replace(
            configuration,
            version=2,
            routes=routes,
            groups={"group-0": GroupSettings("group-0", 4, 2)},
            accounts={"new": Account("new")},
            account_names={"key-1": "new"},
            idle_transaction_s=1.5,
            max_message_bytes=99,
        )
        target = digest(changed)
        change = encode(self.first, target)
        self.assertEqual(read(self.first, change), target)
        self.assertEqual(read(self.first, change).configuration, changed)

    def test_the_digest_does_not_depend_on_the_order_or_on_how_it_was_made(self):
        # Hosts that got the same version as the whole, as a change or from the store
        # must take the next change.
        configuration = self.first.configuration
        backwards = dict(reversed(configuration.routes.items()))
        again = digest(replace(configuration, routes=backwards))
        self.assertEqual(again.digest, self.first.digest)
        emptied = digest(Configuration(5))
        back = read(emptied, encode(emptied, self.first))
        self.assertEqual(back.digest, self.first.digest)

    def test_every_field_is_part_of_the_digest_and_of_a_change(self):
        # A field that is added to the configuration must not be forgotten here.
        values = {
            "version": 7,
            "routes": {"r": make_route(1)},
            "groups": {"g": GroupSettings("g", 1, 1)},
            "idle_transaction_s": 77.0,
            "max_message_bytes": 77,
            "accounts": {"a": Account("a")},
            "account_names": {"k": "a"},
        }
        self.assertLessEqual(set(values), set(Configuration.__struct_fields__))
        for field in Configuration.__struct_fields__:
            with self.subTest(field):
                self.assertIn(field, values)
                target = digest(
                    replace(self.first.configuration, **{field: values[field]})
                )
                self.assertNotEqual(target.digest, self.first.digest)
                self.assertEqual(read(self.first, encode(self.first, target)), target)

    def test_a_change_for_another_base_is_refused(self):
        second = digest(make_configuration(2, 301))
        change = encode(self.first, second)
        for base in (None, second, digest(make_configuration(1, 299))):
            with self.assertRaises(ConfigurationRefused):
                read(base, change)

    def test_a_result_with_another_digest_is_refused(self):
        second = digest(make_configuration(2, 301))
        change = encode(self.first, second)
        altered = replace(change, digest=self.first.digest)
        with self.assertRaises(ConfigurationRefused):
            read(self.first, altered)
        with self.assertRaises(ConfigurationRefused):
            read(self.first, replace(change, version=3))

    def test_damaged_and_incomplete_data_are_refused(self):
        change = encode(None, self.first)
        block = msgspec.msgpack.encode(["nowhere", [], []])
        parts = {
            "cut": change.data[:-10],
            "nothing": b"",
            "garbage": b"\x01\x02\x03",
            "no blocks": zlib.compress(b""),
            "no block": zlib.compress(b"\x04\x00\x00\x00\xc1\xc1\xc1\xc1"),
            "table": zlib.compress(len(block).to_bytes(4, "little") + block),
            "cut block": zlib.compress(b"\xff\x00\x00\x00abc"),
        }
        for name, data in parts.items():
            with self.subTest(name), self.assertRaises(ConfigurationRefused):
                read(None, change, data)

    def test_data_that_decompress_to_too_much_are_refused(self):
        with (
            patch.object(delta, "MAX_DECODED_BYTES", 100_000),
            self.assertRaises(ConfigurationRefused),
        ):
            read(None, encode(None, self.first), zlib.compress(bytes(200_000)))

    def test_a_change_of_one_route_costs_bytes_regardless_of_the_other_routes(self):
        sizes = []
        for routes in (100, 4000):
            base = digest(make_configuration(1, routes))
            changed = {**base.configuration.routes, "database-5": make_route(5, 8.0)}
            target = replace(base.configuration, version=2, routes=changed)
            sizes.append(len(encode(base, digest(target)).data))
        self.assertLess(abs(sizes[1] - sizes[0]), 16)
        self.assertLess(sizes[1], 600)

    def test_routes_and_accounts_cost_the_garbage_collector_nothing(self):
        # A full collection visits every tracked object and holds up all callers.
        configuration = self.first.configuration
        for entries in (configuration.routes, configuration.accounts):
            self.assertFalse(any(map(gc.is_tracked, entries.values())))

    def test_a_step_handles_a_bounded_number_of_entries(self):
        # One long step holds up the statements of every caller of a host.
        base = digest(make_configuration(1, 4000))
        target = digest(make_configuration(2, 3000, accounts={}))
        change = encode(None, base)
        reader = ChangeReader(None, change.base, change.version, change.digest)
        counts = [0]
        real_hash = delta._hash_entry

        def count_hash(*args):
            counts[-1] += 1
            return real_hash(*args)

        def run(steps):
            for _ in steps:
                counts.append(0)

        with patch.object(delta, "_hash_entry", count_hash):
            run(digest_steps(base.configuration))
            run(encode_steps(None, base))
            run(encode_steps(base, target))
            run(reader.feed_steps(change.data))
        self.assertEqual(reader.finish(), base)
        self.assertGreater(len(counts), 2 * 4000 / ENTRIES_PER_STEP)
        self.assertLessEqual(max(counts), ENTRIES_PER_STEP)

    def test_blocks_and_comparisons_are_bounded_as_well(self):
        base = digest(make_configuration(1, 4000))
        sizes = []
        real_batches = delta._batches

        def record(items, size):
            sizes.append(size)
            return real_batches(items, size)

        with patch.object(delta, "_batches", record):
            change = encode(None, base)
        self.assertLessEqual(set(sizes), {ENTRIES_PER_STEP, COMPARED_PER_STEP})
        steps = list(encode_steps(None, base))
        self.assertGreaterEqual(len(steps), 4000 / ENTRIES_PER_STEP)
        decompressor = zlib.decompressobj()
        self.assertLessEqual(
            len(decompressor.decompress(change.data, STEP_BYTES)), STEP_BYTES
        )


if __name__ == "__main__":
    unittest.main()
