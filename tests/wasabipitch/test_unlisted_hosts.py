import asyncio
import unittest
from unittest.mock import patch

from tests.wasabipitch.gateway_fixture import GROUP, PRIMARY_DB, Fleet
from wasabipitch.coordination import registration
from wasabipitch.coordination.documents import WRITERS_PREFIX


class UnlistedHostsTest(unittest.IsolatedAsyncioTestCase):
    """A host that the store doesn't list as a writer commits nothing.

    A replacement doesn't wait for its report, so nobody knows of its commits.
    """

    async def asyncSetUp(self):
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(1)
        self.registration = self.fleet.hosts["host-0"].registration
        incarnation = self.registration.record.incarnation
        self.key = f"{WRITERS_PREFIX}{GROUP}/{incarnation}"

    async def test_a_transaction_that_outlasts_the_listing_does_not_commit(self):
        # Its statements follow each other within the idle timeout for longer than the
        # host stays listed after it has dropped the group.
        caller, _ = await self.fleet.connect(PRIMARY_DB)
        await caller.ask("BEGIN")
        await caller.ask("WRITE job v1", "w1")
        with (
            patch.object(registration, "DROPPED_GROUP_RETENTION_S", 0.0),
            patch.object(registration, "RENEW_INTERVAL_S", 0.05),
        ):
            self.registration.serve([])
            async with asyncio.timeout(5):
                while (
                    self.fleet.store.items[self.key].value != registration.ENDED_WRITER
                ):
                    await asyncio.sleep(0.01)
        lines = await caller.ask("COMMIT", "w2")
        self.assertTrue(lines[0].startswith("ERROR ABORTED"), lines)
        self.assertEqual(self.fleet.group.instances["i-0"].log, [])
