import asyncio
import unittest
from unittest import mock

from tests.wasabipitch.group_fixture import ServedGroup
from wasabipitch import stalls
from wasabipitch.links import RemoteError
from wasabipitch.verdict import Verdict


class StallTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        patch = mock.patch.object(stalls, "STALL_TIMEOUT_S", 0.5)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_a_primary_that_only_pools_reach_is_replaced(self):
        async with ServedGroup() as group:
            await group.send("CREATE TABLE jobs (bike VARCHAR(40))")
            await group.send("INSERT INTO jobs VALUES ('red')")
            await group.on_target("w1", "CALL standin_cut('w2,w3')")
            for name in ("w2", "w3"):
                await group.on_target(name, "CALL standin_cut('w1')")
            with self.assertRaises(RemoteError) as caught:
                await group.send("INSERT INTO jobs VALUES ('lost')")
            self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
            await group.wait_primary(other_than="w1")
            await group.send("INSERT INTO jobs VALUES ('blue')")
            answer = await group.on_target(
                group.server.view.primary, "SELECT * FROM jobs"
            )
            self.assertEqual([row[0] for row in answer.rows], [b"red", b"blue"])

    async def test_replicas_that_lag_change_no_primary(self):
        async with ServedGroup(lag_ms=200) as group:
            await group.send("CREATE TABLE jobs (bike VARCHAR(40))")
            for _ in range(20):
                writes = (group.send("INSERT INTO jobs VALUES ('red')") for _ in "ab")
                await asyncio.gather(*writes)
            self.assertEqual(group.server.view.primary, "w1")
