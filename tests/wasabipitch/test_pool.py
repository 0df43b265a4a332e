import asyncio
import dataclasses
import unittest

from wasabipitch import declare
from wasabipitch.deployment import dump
from wasabipitch.events import Clock
from wasabipitch.links import Link
from wasabipitch.messages import AskEvents, Hello, OfferConfiguration
from wasabipitch.models import Address, Host
from wasabipitch.pool import Pool
from wasabipitch.settings import PoolSettings

TIMEOUT_S = 10.0
POLL_S = 0.05
UNUSED_ADDRESS = "127.0.0.1:1"


class ChangedGroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        cfg = PoolSettings(
            host="pool-1", data_centre="thonburi", platform=UNUSED_ADDRESS
        )
        pool = Pool(cfg)
        host = await pool.start()
        self.addAsyncCleanup(pool.stop)
        hello = Hello(Host("pool-2", "entry", UNUSED_ADDRESS, "bangna"), "1")
        self.link = Link(Address.parse(host.address), hello, Clock())
        self.addAsyncCleanup(self.link.close)

    async def offer(self, revision, group):
        document = dump(declare.deployment("shop", groups=[group]))
        await self.link.call(OfferConfiguration(revision, document), TIMEOUT_S)

    async def wait_for(self, *kinds):
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                found = await self.link.call(AskEvents(group="orders"), TIMEOUT_S)
                served = [e.kind for e in found.events if e.kind.startswith("group.")]
                if served == list(kinds):
                    return
                await asyncio.sleep(POLL_S)

    async def test_changed_request_retention_restarts_the_group(self):
        instances = [declare.instance("orders-1", UNUSED_ADDRESS, "thonburi")]
        group = declare.group("orders", instances, request_retention_s=7200)
        await self.offer(1, group)
        await self.wait_for("group.served")
        await self.offer(2, dataclasses.replace(group, request_retention_s=3600))
        await self.wait_for("group.served", "group.released", "group.served")
