"""A large configuration on hosts that all watch the store themselves."""

import unittest

from tests.wasabipitch.gateway_fixture import BOUNDED_DB, PRIMARY_DB, Fleet
from wasabipitch.coordination.mirror import LARGE_VALUE_BYTES

PADDING = "x" * LARGE_VALUE_BYTES


class LargeConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)

    def find_versions(self):
        return {
            gateway.configuration and gateway.configuration.version
            for gateway in self.fleet.hosts.values()
        }

    async def wait_version(self, version):
        await self.fleet.wait_for(lambda: self.find_versions() == {version})

    async def test_a_start_takes_the_same_calls_as_with_a_small_one(self):
        await self.fleet.start(2, padding=PADDING)
        self.assertEqual(self.find_versions(), {1})
        self.assertEqual(self.fleet.store.calls.count("list"), 2)
        self.assertEqual(self.fleet.store.calls.count("get"), 0)

    async def test_callers_get_the_routes_of_a_large_one(self):
        await self.fleet.start(2)
        self.fleet.configure(2, padding=PADDING, dropped=[PRIMARY_DB])
        await self.wait_version(2)
        _, greeting = await self.fleet.connect(PRIMARY_DB)
        self.assertTrue(greeting.startswith("ERROR"), greeting)
        _, greeting = await self.fleet.connect(BOUNDED_DB)
        self.assertTrue(greeting.startswith("READY"), greeting)
        for gateway in self.fleet.hosts.values():
            mirror = gateway._mirror
            await self.fleet.wait_for(
                lambda mirror=mirror: mirror.revision == mirror.received_revision
            )

    async def test_metrics_tell_which_version_is_in_force(self):
        await self.fleet.start(1)
        gateway = self.fleet.hosts["host-0"]
        self.fleet.configure(2, padding=PADDING)
        await self.wait_version(2)
        await self.fleet.wait_for(
            lambda: not gateway._mirror.configuration_awaited.is_set()
        )
        lines = gateway.measures.render().decode().splitlines()
        self.assertIn("wasabipitch_configuration_version 2.0", lines)
        self.assertIn("wasabipitch_configuration_routes 3.0", lines)
        self.assertIn("wasabipitch_configuration_awaited 0.0", lines)
        count = 'wasabipitch_configuration_seconds_count{source="store"} 1.0'
        self.assertIn(count, lines)

    async def test_a_small_one_follows_a_large_one_and_the_reverse(self):
        await self.fleet.start(2)
        for version in range(2, 6):
            padding = PADDING if version % 2 else ""
            self.fleet.configure(version, padding=padding)
            await self.wait_version(version)

    async def test_the_version_stays_when_the_store_returns_from_an_older_copy(self):
        await self.fleet.start(2, padding=PADDING)
        copy = self.fleet.store.copy()
        self.fleet.configure(2, padding=PADDING)
        await self.wait_version(2)
        self.fleet.store.restore(copy)
        epoch = self.fleet.store.epoch
        for gateway in self.fleet.hosts.values():
            mirror = gateway._mirror
            await self.fleet.wait_for(
                lambda mirror=mirror: (
                    mirror.epoch == epoch
                    and mirror.revision == mirror.received_revision
                )
            )
        self.assertEqual(self.find_versions(), {2})
        self.fleet.configure(3, padding=PADDING)
        await self.wait_version(3)


if __name__ == "__main__":
    unittest.main()
