import asyncio
import unittest
from contextlib import AsyncExitStack
from unittest.mock import patch

import asyncmy

from standins.instance import TargetConfig
from standins.replication import Puller, Replicator
from standins.target import Target


class ReplicatorTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_puller_stops_when_its_cancellation_is_lost(self):
        """Guards against pullers that stay alive after a restart of replication.

        asyncio.wait_for of Python 3.11 loses a cancellation that arrives just as the
        connection opens, so that the puller of the former leader would go on.
        """
        stack = await self.enterAsyncContext(AsyncExitStack())
        configs = [
            TargetConfig(name="a", primary=True, connect_ms=0),
            TargetConfig(name="b", connect_ms=0),
        ]
        leader, target = [
            await stack.enter_async_context(Target(cfg)) for cfg in configs
        ]
        target.instance.follow(leader.address, 1)
        connect = asyncmy.connect

        async def connect_ignoring_cancellation(**kwargs):
            # Loses each cancellation, as asyncio.wait_for may do.
            task = asyncio.ensure_future(connect(**kwargs))
            while not task.done():
                try:
                    await asyncio.shield(task)
                except asyncio.CancelledError:
                    continue
            return task.result()

        replicator = Replicator(target.instance)
        with patch.object(asyncmy, "connect", connect_ignoring_cancellation):
            for _ in range(20):
                replicator.restart()
                await asyncio.sleep(0)
            await asyncio.sleep(0.5)
        pulling = [
            t
            for t in asyncio.all_tasks()
            if t.get_coro().__name__ == Puller.run.__name__
        ]
        await replicator.stop()
        self.assertLessEqual(len(pulling), 3)
