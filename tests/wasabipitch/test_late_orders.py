import asyncio
import unittest

from standins.line_group import LineInstance
from tests.wasabipitch.gateway_fixture import OWN_DB, Fleet
from wasabipitch.exceptions import StoreUnavailable
from wasabipitch.verdict import Verdict

ORDER_DELAY_S = 1.2


class LateOrderTest(unittest.IsolatedAsyncioTestCase):
    """An order to promote is carried out, but its answer is lost.

    The old primary, which was back under another name, led on, and the order took
    effect after callers had been told of commits that the promoted replica lacks.
    """

    async def asyncSetUp(self):
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(3)
        self.instances = self.fleet.group.instances
        self.order = None
        self.lacking = None

    async def carry_out(self, *order):
        await asyncio.sleep(ORDER_DELAY_S)
        chosen = self.instances["i-2"].log
        self.lacking = [e for e in self.instances["i-1"].log if e not in chosen]
        await self.promote(*order)

    async def receive_order(self, *order):
        """Accept one order after some time, and lose its answer."""
        waited_s = asyncio.get_running_loop().time() - self.lost_at_s
        if waited_s < 3.0 or self.order is not None:
            raise StoreUnavailable("unavailable", verdict=Verdict.NOT_RUN)
        self.order = asyncio.ensure_future(self.carry_out(*order))
        await self.return_primary()
        raise StoreUnavailable("no answer", verdict=Verdict.MAY_HAVE_RUN)

    async def return_primary(self):
        returned = LineInstance(self.fleet.group, "i-3")
        returned.log, returned.applied = list(self.lost.log), self.lost.applied
        returned.is_primary = True
        self.instances["i-3"] = returned
        await returned.start()
        self.addAsyncCleanup(returned.stop)
        self.fleet.register("i-3", born_ms=3)
        await asyncio.sleep(0.3)

    async def test_the_old_primary_does_not_lead_on_before_it_took_effect(self):
        caller, _ = await self.fleet.connect(OWN_DB)
        self.assertEqual((await caller.ask("WRITE job v1", "w1"))[0], "COMPLETE i-0.w1")
        self.instances["i-2"].replication_blocked = True
        self.promote = self.fleet.group.promote
        self.fleet.group.promote = self.receive_order
        self.lost = self.instances.pop("i-0")
        await self.lost.stop()
        self.lost_at_s = asyncio.get_running_loop().time()
        self.fleet.store.remove("instances/i-0")
        await self.fleet.wait_for(lambda: self.order is not None)
        while not self.order.done():
            caller, _ = await self.fleet.connect(OWN_DB)
            await caller.ask("WRITE job v2", "w2")
            await asyncio.sleep(0.05)
        self.assertEqual(self.lacking, [])
