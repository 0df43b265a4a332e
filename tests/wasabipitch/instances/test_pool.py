import asyncio
import unittest

from standins.line_group import HOST, LineGroup
from tests.adapter import PLATFORM  # noqa: F401 (puts the adapter on the path)
from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import NoTarget, Overloaded
from wasabipitch.instances.connection import (
    MAX_IDLE_VALUES_BYTES,
    MAX_KEPT_TEXT_BYTES,
    make_prepared_key,
)
from wasabipitch.instances.dispatcher import ConnectionRequest, Dispatcher
from wasabipitch.instances.pool import OVERDUE_S
from wasabipitch.models import Address
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.wire.messages import Shape

from adapter.wire import LineInstanceCodec  # isort: skip
from wasabipitch.clock import now_s  # isort: skip


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.group = LineGroup("ledger")
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)
        self.limit_reports = []
        self.dispatcher = Dispatcher(
            LineInstanceCodec(),
            DecisionLog("host"),
            "rome",
            "i-0".__eq__,
            self.limit_reports.append,
        )
        self.addCleanup(self.dispatcher.close)
        self.update(own_share=2)

    def update(self, own_share, names=("i-0", "i-1", "i-2"), **changes):
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
        self.dispatcher.update(entries, own_share)

    def request(self, *names, priority=1, timeout_s=2.0):
        allowed = names or tuple(self.group.instances)
        until_s = now_s() + timeout_s
        return ConnectionRequest(lambda: allowed, "read", priority, until_s, until_s)

    async def test_returned_connection_is_reused(self):
        checkout = await self.dispatcher.acquire(self.request("i-0"))
        conn = checkout.conn
        checkout.release()
        self.assertIs((await self.dispatcher.acquire(self.request("i-0"))).conn, conn)

    async def test_a_connection_with_large_session_values_is_closed(self):
        # Idle connections must not keep what the sessions that used them had set.
        checkout = await self.dispatcher.acquire(self.request("i-0"))
        checkout.conn.values_bytes = MAX_IDLE_VALUES_BYTES + 1
        checkout.release()
        async with asyncio.timeout(2):
            while checkout.conn.is_open:
                await asyncio.sleep(0.01)

    async def test_lost_answers_do_not_close_the_window(self):
        # An instance that loses a fifth of its answers left owners without a place for
        # other statements: each one counted as running for up to 3.8 s.
        self.update(own_share=8, names=("i-0",))
        self.dispatcher.pools["i-0"].has_accounts = True
        size = self.dispatcher.pools["i-0"].window.size
        spare, *held = [
            await self.dispatcher.acquire(self.request("i-0")) for _ in range(size + 1)
        ]
        spare.release()
        self.group.instances["i-0"].silent = True
        for checkout in held:
            checkout.conn.send(LineInstanceCodec().status())
        with self.assertRaises(Overloaded):
            await self.dispatcher.acquire(self.request("i-0", timeout_s=OVERDUE_S / 2))
        await self.dispatcher.acquire(self.request("i-0", timeout_s=2 * OVERDUE_S))

    async def test_a_connection_whose_answer_is_lost_is_closed_soon(self):
        self.update(own_share=8, names=("i-0",))
        self.dispatcher.pools["i-0"].has_accounts = True
        read = await self.dispatcher.acquire(self.request("i-0"))
        commit = await self.dispatcher.acquire(self.request("i-0"))
        self.group.instances["i-0"].silent = True
        read.conn.send(LineInstanceCodec().status())
        commit.conn.send(LineInstanceCodec().status(), commits=True)
        read.release()
        commit.release()
        async with asyncio.timeout(2):
            while read.conn.is_open:
                await asyncio.sleep(0.01)
        # The answer to a commit shows what a successor of the primary must hold.
        self.assertTrue(commit.conn.is_open)

    async def test_queue_is_served_by_priority(self):
        checkouts = [
            await self.dispatcher.acquire(self.request("i-0")) for _ in range(4)
        ]
        low = asyncio.ensure_future(self.dispatcher.acquire(self.request("i-0")))
        await asyncio.sleep(0)
        urgent = self.request("i-0", priority=0)
        high = asyncio.ensure_future(self.dispatcher.acquire(urgent))
        await asyncio.sleep(0)
        checkouts[0].release()
        await asyncio.wait([low, high], return_when=asyncio.FIRST_COMPLETED)
        self.assertTrue(high.done())
        self.assertFalse(low.done())
        low.cancel()

    async def test_errors_without_an_instance_and_without_a_connection(self):
        with self.assertRaises(NoTarget):
            await self.dispatcher.acquire(self.request("i-9", timeout_s=0.1))
        with self.assertRaises(Overloaded):
            await self.dispatcher.acquire(self.request("i-0", timeout_s=0.0))

    async def test_open_transaction_is_rolled_back_on_return(self):
        checkout = await self.dispatcher.acquire(self.request("i-0"))
        await checkout.conn.send(LineInstanceCodec().begin(False, None))
        checkout.release()
        checkout = await self.dispatcher.acquire(self.request("i-0"))
        self.assertTrue(checkout.conn.is_clean)

    async def test_restarted_instance_gets_new_connections(self):
        checkout = await self.dispatcher.acquire(self.request("i-0"))
        old = checkout.conn
        self.update(2, born_ms=2)
        checkout.release()
        checkout = await self.dispatcher.acquire(self.request("i-0"))
        self.assertIsNot(checkout.conn, old)

    async def test_other_instance_at_the_address_is_not_used(self):
        self.group.instances["i-0"].name = "i-7"
        with self.assertRaises((NoTarget, Overloaded)):
            await self.dispatcher.acquire(self.request("i-0", timeout_s=0.3))

    async def test_broken_idle_connection_is_detected_without_traffic(self):
        checkout = await self.dispatcher.acquire(self.request("i-0"))
        checkout.release()
        await self.group.instances["i-0"].stop()
        for _ in range(20):
            self.dispatcher.maintain()
            await asyncio.sleep(0.02)
        self.assertIsNotNone(self.dispatcher.pools["i-0"].refused_at_s)

    async def test_host_without_a_share_opens_no_connections(self):
        self.update(own_share=0)
        for _ in range(10):
            self.dispatcher.maintain()
            await asyncio.sleep(0.01)
        self.assertEqual([p.open for p in self.dispatcher.pools.values()], [0, 0, 0])

    async def test_instance_without_a_connection_for_this_host_is_reported(
        self,
    ):
        self.group.instances["i-0"].max_connections = 0
        with self.assertRaises(Overloaded):
            await self.dispatcher.acquire(self.request("i-0", timeout_s=0.3))
        self.assertIn("i-0", self.limit_reports)

    async def test_release_unused_keeps_checked_out_connections(self):
        checkouts = [
            await self.dispatcher.acquire(self.request("i-0")) for _ in range(3)
        ]
        checkouts[0].release()
        pool = self.dispatcher.pools["i-0"]
        self.dispatcher.release_unused("i-0")
        self.assertEqual((pool.open, pool.checked_out), (2, 2))
        pool.open_up_to(4)
        self.assertEqual(pool.open, 2)


class PreparedKeyTest(unittest.TestCase):
    def test_a_short_text_is_its_own_key(self):
        shape = Shape(True, b"x" * MAX_KEPT_TEXT_BYTES)
        self.assertIs(make_prepared_key(shape), shape)

    def test_a_long_text_is_not_kept(self):
        text = b"x" * (1 << 20)
        key = make_prepared_key(Shape(True, text))
        self.assertLess(len(repr(key)), 300)
        self.assertEqual(key, make_prepared_key(Shape(True, text)))

    def test_different_statements_have_different_keys(self):
        # Two statements under one name: a session would run that of another one.
        text = b"x" * (1 << 20)
        key = make_prepared_key(Shape(True, text))
        others = [Shape(False, text), Shape(True, text + b"y"), Shape(*key)]
        for other in others:
            self.assertNotEqual(make_prepared_key(other), key)
