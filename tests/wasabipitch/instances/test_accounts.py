import asyncio
import unittest

from standins.line_group import HOST, LineGroup
from tests.adapter import PLATFORM  # noqa: F401 (puts the adapter on the path)
from wasabipitch.coordination.documents import InstanceEntry
from wasabipitch.exceptions import Overloaded
from wasabipitch.instances import pool as pool_module
from wasabipitch.instances.dispatcher import ConnectionRequest, Dispatcher
from wasabipitch.models import Address
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.wire.messages import Statement, Verb

from adapter.wire import LineInstanceCodec  # isort: skip
from wasabipitch.clock import now_s  # isort: skip

CODEC = LineInstanceCodec()


class AccountsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.group = LineGroup("ledger")
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)
        self.measures = Measures()
        decisions = DecisionLog("host", measures=self.measures)
        self.dispatcher = Dispatcher(
            CODEC, decisions, "rome", "i-0".__eq__, lambda name: None
        )
        self.addCleanup(self.dispatcher.close)
        self.update(own_share=2)

    @property
    def pool(self):
        return self.dispatcher.pools["i-0"]

    @property
    def instance(self):
        return self.group.instances["i-0"]

    def update(self, own_share):
        entry = InstanceEntry(
            name="i-0",
            group="ledger",
            address=Address(HOST, self.instance.port),
            data_centre="rome",
            slots=2,
            leaving=False,
            is_primary=True,
            cold_ms=0,
            born_ms=1,
        )
        self.dispatcher.update({"i-0": entry}, own_share, has_accounts=True)

    async def acquire(self, account, timeout_s=2.0):
        until_s = now_s() + timeout_s
        request = ConnectionRequest(
            lambda: ("i-0",), "read", 1, until_s, until_s, account=account
        )
        return await self.dispatcher.acquire(request)

    async def run_one(self, account):
        checkout = await self.acquire(account)
        await checkout.conn.send(
            CODEC.forward(Statement(b"r", b"READ job", Verb.READ), None)
        )
        checkout.release()
        return checkout.conn

    async def test_an_instance_is_told_the_account_of_each_connection(self):
        for account in ("north", "south", ""):
            await self.run_one(account)
        self.assertEqual(self.instance.started_as, ["north", "south", "wasabipitch"])
        self.assertEqual(self.instance.ran_as, ["north", "south", "wasabipitch"])

    async def test_idle_connection_of_the_account_is_used_again(self):
        first = await self.run_one("north")
        await self.run_one("south")
        self.assertIs(await self.run_one("north"), first)

    async def test_least_recently_used_connection_makes_room(self):
        north = await self.run_one("north")
        south = await self.run_one("south")
        await self.run_one("north")
        await self.run_one("east")
        self.assertFalse(south.is_open)
        self.assertTrue(north.is_open)
        self.assertLessEqual(self.instance.most_connections, 2)

    async def test_connection_in_use_is_not_closed_for_another_account(self):
        held = [await self.acquire("north"), await self.acquire("south")]
        with self.assertRaises(Overloaded):
            await self.acquire("east", timeout_s=0.1)
        self.assertTrue(all(checkout.conn.is_open for checkout in held))

    async def test_waiting_account_gets_the_room_of_a_hot_account(self):
        held = [await self.acquire("hot") for _ in range(2)]
        more = [asyncio.ensure_future(self.acquire("hot")) for _ in range(4)]
        await asyncio.sleep(0)
        small = asyncio.ensure_future(self.acquire("small"))
        await asyncio.sleep(0)
        held[0].release()
        await asyncio.wait([small, *more], return_when=asyncio.FIRST_COMPLETED)
        self.assertTrue(small.done())
        self.assertFalse(any(task.done() for task in more))
        for task in more:
            task.cancel()

    async def test_several_accounts_open_connections_at_the_same_time(self):
        self.dispatcher.update({}, 0)
        self.update(own_share=8)
        self.instance.handshake_s = 0.1
        started_s = now_s()
        await asyncio.gather(*(self.run_one(f"a-{n}") for n in range(4)))
        # Two at a time, one for each slot.
        self.assertLess(now_s() - started_s, 0.35)

    async def test_larger_share_is_used_after_the_former_owner_has_closed(self):
        self.update(own_share=4)
        for account in ("north", "south", "east"):
            await self.run_one(account)
        self.assertLessEqual(self.instance.most_connections, 2)

    async def test_updates_do_not_put_off_the_use_of_a_larger_share(self):
        self.update(own_share=4)
        grows_at_s = self.pool._grows_at_s
        self.assertGreater(grows_at_s, now_s())
        await asyncio.sleep(0.01)
        self.update(own_share=4)
        self.assertEqual(self.pool._grows_at_s, grows_at_s)
        self.assertEqual(self.pool.allowed, 2)

    async def test_statements_of_a_transaction_that_end_make_room_for_others(self):
        self.pool.window.resize(1)
        north, south = await self.acquire("north"), await self.acquire("south")
        south.release()
        statement = Statement(b"r", b"READ job", Verb.READ)
        self.instance.silent = True
        answer = north.conn.send(CODEC.forward(statement, None))
        waiting = asyncio.ensure_future(self.acquire("south"))
        await asyncio.sleep(0.03)
        self.assertFalse(waiting.done())
        self.instance.silent = False
        await answer
        # The transaction keeps its connection.
        async with asyncio.timeout(0.2):
            (await waiting).release()
        north.release()

    async def test_handshake_without_an_answer_counts_until_the_instance_drops_it(self):
        self.instance.silent = True
        with self.assertRaises(Overloaded):
            await self.acquire("north", timeout_s=0.5)
        self.assertEqual((self.pool.open, self.pool.held), (0, 1))
        await asyncio.sleep(pool_module.BUSY_CLOSE_SETTLE_S)
        self.assertEqual(self.pool.held, 0)

    async def test_refused_connections_are_counted(self):
        self.instance.max_connections = 0
        with self.assertRaises(Overloaded):
            await self.acquire("north", timeout_s=0.05)
        counts = self.measures.counters["instance_connections_refused"]
        self.assertEqual(dict(counts), {(("group", "ledger"), ("instance", "i-0")): 1})

    async def test_peer_that_lacks_connections_gets_those_not_in_use_lately(self):
        self.update(own_share=3)
        self.pool._grows_at_s = 0.0
        old, north = await self.run_one("old"), await self.run_one("north")
        old.used_at_s -= 2 * pool_module.IDLE_TIMEOUT_S
        self.dispatcher.release_unused("i-0")
        await asyncio.sleep(0.01)
        self.assertEqual((old.is_open, north.is_open), (False, True))

    async def test_lost_share_is_closed_at_once(self):
        await self.run_one("north")
        held = await self.acquire("south")
        self.update(own_share=0)
        self.dispatcher.maintain()
        held.release()
        await asyncio.sleep(2 * pool_module.CLOSE_SETTLE_S)
        self.assertEqual(self.pool.held, 0)
