import asyncio
import unittest

from standins.line_group import HOST, LineGroup
from tests.adapter import PLATFORM  # noqa: F401 (puts the adapter on the path)
from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import NoTarget, Overloaded
from wasabipitch.instances.dispatcher import Dispatcher, Need
from wasabipitch.models import Address
from wasabipitch.operations.decisions import DecisionLog

from adapter.wire import LineInstanceCodec  # isort: skip
from wasabipitch.clock import now_s  # isort: skip


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.group = LineGroup("ledger")
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)
        self.crowded = []
        self.dispatcher = Dispatcher(
            LineInstanceCodec(),
            DecisionLog("host"),
            "rome",
            "i-0".__eq__,
            self.crowded.append,
        )
        self.addCleanup(self.dispatcher.close)
        self.update(part=2)

    def update(self, part, names=("i-0", "i-1", "i-2"), **changes):
        entries = {}
        for name in names:
            fields = {
                "name": name,
                "group": "ledger",
                "address": Address(HOST, self.group.instances[name].port),
                "data_centre": "rome",
                "slots": 2,
                "leaving": False,
                "is_primary": name == "i-0",
                "cold_ms": 0,
                "born_ms": 1,
            }
            entries[name] = InstanceEntry(**{**fields, **changes})
        self.dispatcher.update(entries, part)

    def need(self, *names, priority=1, timeout_s=2.0):
        allowed = names or tuple(self.group.instances)
        until_s = now_s() + timeout_s
        return Need(lambda: allowed, "read", priority, until_s, until_s)

    async def test_a_connection_is_lent_and_lent_again(self):
        loan = await self.dispatcher.acquire(self.need("i-0"))
        conn = loan.conn
        loan.release()
        self.assertIs((await self.dispatcher.acquire(self.need("i-0"))).conn, conn)

    async def test_who_waits_is_served_by_priority(self):
        loans = [await self.dispatcher.acquire(self.need("i-0")) for _ in range(4)]
        low = asyncio.ensure_future(self.dispatcher.acquire(self.need("i-0")))
        await asyncio.sleep(0)
        urgent = self.need("i-0", priority=0)
        high = asyncio.ensure_future(self.dispatcher.acquire(urgent))
        await asyncio.sleep(0)
        loans[0].release()
        await asyncio.wait([low, high], return_when=asyncio.FIRST_COMPLETED)
        self.assertTrue(high.done())
        self.assertFalse(low.done())
        low.cancel()

    async def test_nobody_to_serve_it(self):
        with self.assertRaises(NoTarget):
            await self.dispatcher.acquire(self.need("i-9", timeout_s=0.1))
        with self.assertRaises(Overloaded):
            await self.dispatcher.acquire(self.need("i-0", timeout_s=0.0))

    async def test_a_connection_amid_a_transaction_comes_back_clean(self):
        loan = await self.dispatcher.acquire(self.need("i-0"))
        await loan.conn.send(LineInstanceCodec().begin(False, None))
        loan.release()
        loan = await self.dispatcher.acquire(self.need("i-0"))
        self.assertTrue(loan.conn.is_clean)

    async def test_an_instance_with_another_start_gets_new_connections(self):
        loan = await self.dispatcher.acquire(self.need("i-0"))
        old = loan.conn
        self.update(2, born_ms=2)
        loan.release()
        loan = await self.dispatcher.acquire(self.need("i-0"))
        self.assertIsNot(loan.conn, old)

    async def test_another_instance_at_the_address_is_not_used(self):
        self.group.instances["i-0"].name = "i-7"
        with self.assertRaises((NoTarget, Overloaded)):
            await self.dispatcher.acquire(self.need("i-0", timeout_s=0.3))

    async def test_a_broken_idle_connection_is_noticed_without_traffic(self):
        loan = await self.dispatcher.acquire(self.need("i-0"))
        loan.release()
        await self.group.instances["i-0"].stop()
        for _ in range(20):
            self.dispatcher.keep_open()
            await asyncio.sleep(0.02)
        self.assertIsNotNone(self.dispatcher.pools["i-0"].refused_at_s)

    async def test_a_host_that_owns_nothing_holds_nothing(self):
        self.update(part=0)
        for _ in range(10):
            self.dispatcher.keep_open()
            await asyncio.sleep(0.01)
        self.assertEqual([p.open for p in self.dispatcher.pools.values()], [0, 0, 0])

    async def test_an_instance_that_takes_no_connection_at_all_is_said_to_be_crowded(
        self,
    ):
        self.group.instances["i-0"].max_connections = 0
        with self.assertRaises(Overloaded):
            await self.dispatcher.acquire(self.need("i-0", timeout_s=0.3))
        self.assertIn("i-0", self.crowded)

    async def test_who_gives_way_keeps_what_it_uses(self):
        loans = [await self.dispatcher.acquire(self.need("i-0")) for _ in range(3)]
        loans[0].release()
        pool = self.dispatcher.pools["i-0"]
        self.dispatcher.give_back("i-0")
        self.assertEqual((pool.open, pool.lent), (2, 2))
        pool.want(4)
        self.assertEqual(pool.open, 2)
