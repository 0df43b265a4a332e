import asyncio

from tests.wasabipitch.entry_harness import (
    HOST,
    PAYMENT,
    EntryTestCase,
    answer_one_row,
    break_link,
    fail_with,
    fetch,
    never_answer,
)
from wasabipitch.deployment import Policy
from wasabipitch.dispatch import OwnerRouter
from wasabipitch.events import Clock
from wasabipitch.exceptions import (
    NotOwner,
    Overloaded,
)
from wasabipitch.members import DEAD
from wasabipitch.messages import Hello
from wasabipitch.models import Host
from wasabipitch.peer_links import PeerLinks


class RetryTests(EntryTestCase):
    async def test_the_next_owner_is_asked_if_the_first_is_down(self):
        await self.pool.server.close()
        conn = await self.connect()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        self.assertEqual(self.spare.statements, ["INSERT INTO t VALUES (1)"])
        self.assertEqual(self.suspected_links, [self.links[0]])

    async def test_the_next_owner_is_asked_after_a_refusal(self):
        self.pool.set_handler("INSERT", fail_with(NotOwner("not mine")))
        conn = await self.connect()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        self.assertEqual(len(self.spare.statements), 1)

    async def test_an_overload_is_not_retried(self):
        self.pool.set_handler("INSERT", fail_with(Overloaded("queue full")))
        conn = await self.connect()
        await self.assert_fails(
            conn, "INSERT INTO t VALUES (1)", "3024.*verdict: NOT_RUN"
        )
        self.assertEqual(self.spare.statements, [])

    async def test_a_read_without_an_answer_is_repeated(self):
        self.pool.set_handler("SELECT", break_link)
        self.spare.set_handler("SELECT", answer_one_row)
        conn = await self.connect()
        self.assertEqual(await fetch(conn, "SELECT id FROM t"), ((7,),))

    async def test_repeats_are_bounded(self):
        for pool in (self.pool, self.spare):
            pool.set_handler("SELECT", break_link)
        conn = await self.connect()
        await self.assert_fails(conn, "SELECT id FROM t", "verdict: MAY_HAVE_RUN")
        self.assertEqual(len(self.pool.received + self.spare.received), 3)

    async def test_a_write_without_an_answer_is_in_doubt(self):
        self.pool.set_handler("INSERT", break_link)
        conn = await self.connect()
        await self.assert_fails(
            conn, "INSERT INTO t VALUES (1)", "verdict: MAY_HAVE_RUN"
        )
        self.assertEqual(self.spare.statements, [])

    async def test_a_write_with_an_id_is_repeated_under_it(self):
        self.pool.set_handler("INSERT", break_link)
        conn = await self.connect()
        await fetch(conn, f"/* wasabipitch: id=p1 */ {PAYMENT}")
        (first,), (second,) = self.pool.received, self.spare.received
        self.assertEqual((first.request_id, second.request_id), ("p1", "p1"))
        self.assertEqual((first.in_doubt, second.in_doubt), (False, True))

    async def test_a_refusal_after_a_lost_answer_leaves_it_in_doubt(self):
        self.pool.set_handler("INSERT", break_link)
        self.spare.set_handler("INSERT", fail_with(NotOwner("not mine")))
        conn = await self.connect()
        sql = f"/* wasabipitch: id=p1, deadline_ms=300 */ {PAYMENT}"
        await self.assert_fails(conn, sql, "verdict: MAY_HAVE_RUN")

    async def test_without_any_pool_a_request_does_not_run(self):
        self.links = []
        conn = await self.connect()
        sql = "/* wasabipitch: deadline_ms=100 */ INSERT INTO t VALUES (1)"
        await self.assert_fails(conn, sql, "3024.*no live pool.*verdict: NOT_RUN")

    async def test_no_answer_by_the_deadline_is_in_doubt(self):
        self.pool.set_handler("INSERT", never_answer)
        conn = await self.connect()
        sql = "/* wasabipitch: deadline_ms=50 */ INSERT INTO t VALUES (1)"
        await self.assert_fails(conn, sql, "verdict: MAY_HAVE_RUN")
        await conn.ping()


class FixedOwners:
    """A membership of pools at fixed addresses whose states a test can set."""

    def __init__(self, pools):
        self.links = PeerLinks(Hello(HOST, "i1"), Clock())
        self.states = {}
        self.hosts = [
            Host(f"pool-{i}", "pool", str(p.address), "rome")
            for i, p in enumerate(pools, 1)
        ]

    def owners(self, group, *, local=False):
        live = [h for h in self.hosts if self.state(h.name) != DEAD]
        return tuple(reversed(live) if local else live)

    def state(self, name):
        return self.states.get(name, "live")

    def suspect(self, name):
        pass


class OwnerRouterTests(EntryTestCase):
    async def asyncSetUp(self):
        self.policy = Policy()
        await super().asyncSetUp()
        self.owners = FixedOwners([self.pool, self.spare])
        self.stack.push_async_callback(self.owners.links.close)
        self.router = OwnerRouter(self.owners, lambda: self.policy)

    async def route(self, group):
        return await self.router.route(group)

    async def test_requests_to_a_dead_pool_are_retried_elsewhere(self):
        self.pool.set_handler("SELECT", never_answer)
        self.spare.set_handler("SELECT", answer_one_row)
        conn = await self.connect()
        reading = asyncio.create_task(fetch(conn, "SELECT id FROM t"))
        await self.until(lambda: self.pool.received)
        self.owners.states["pool-1"] = DEAD
        self.router.close_dead_links()
        self.assertEqual(await reading, ((7,),))

    async def test_without_owners_the_entry_uses_its_own_pool(self):
        self.policy = Policy(pooling="entry")
        links = await self.route("workshop")
        self.assertEqual([link.peer for link in links], ["pool-2", "pool-1"])
