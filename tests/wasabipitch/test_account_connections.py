import asyncio
import random
import unittest
from unittest import mock

from tests.wasabipitch import gateway_fixture
from tests.wasabipitch.gateway_fixture import BOUNDED_DB, GROUP, OWN_DB, ROUTES, Fleet
from wasabipitch.coordination.documents import Account
from wasabipitch.group.session import SessionContext, Transaction
from wasabipitch.wire.messages import Code, Statement, Verb

from wasabipitch.clock import now_s  # isort: skip

ACCOUNTS = ("north", "south", "east", "west", "middle")
ROUTES_BY_NAME = {route.database: route for route in ROUTES}

_READ = (Verb.READ, "READ job")


class AccountDocuments(gateway_fixture.Documents):
    """Documents of a deployment with client accounts."""

    def decode_configuration(self, item):
        configuration = super().decode_configuration(item)
        configuration.accounts.update({name: Account(name) for name in ACCOUNTS})
        return configuration


class Session:
    """A caller's session on one host, whose statements name its account."""

    def __init__(self, fleet, host, account, database=OWN_DB):
        self.fleet, self.host, self.account = fleet, host, account
        self.route = ROUTES_BY_NAME[database]
        self.context = SessionContext(
            f"{host}-{account}-{id(self)}", database, account=account
        )

    async def run(self, verb, text):
        runner = self.fleet.hosts[self.host].groups.find_runner(GROUP)
        # The instances record the id of each statement that they run.
        statement = Statement(self.account.encode(), text.encode(), verb)
        return await runner.run(self.context, statement, self.route, now_s())

    def begin(self):
        self.context.transaction = Transaction(False, now_s())


class AccountConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a statement on the connection of another account."""

    async def start(self, hosts, **configuration):
        patch = mock.patch.object(gateway_fixture, "Documents", AccountDocuments)
        self.enterContext(patch)
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(hosts, **configuration)

    def check_accounts(self):
        """Check on which connections statements ran, and return how many."""
        count = 0
        for instance in self.fleet.group.instances.values():
            accounts = [request for request, _ in instance.ran]
            self.assertEqual(accounts, instance.ran_as)
            count += len(accounts)
        return count

    async def test_statements_after_a_roll_back_a_reset_and_an_abandoned_one(self):
        await self.start(1, connections=4)
        rng = random.Random(5)

        async def use(account):
            for n in range(20):
                session = Session(self.fleet, "host-0", account)
                await self.run_once(rng, session, n)

        await asyncio.gather(*map(use, ACCOUNTS))
        self.assertGreater(self.check_accounts(), 50)
        started = {
            name
            for instance in self.fleet.group.instances.values()
            for name in instance.started_as
        }
        self.assertLessEqual(set(ACCOUNTS), started)

    async def run_once(self, rng, session, n):
        match rng.randrange(5):
            case 0:
                # Rolled back by the host.
                session.begin()
                await session.run(Verb.WRITE, f"WRITE job {n}")
                session.context.drop_transaction()
            case 1:
                # Makes the next session of the account reset the connection.
                session.context.values[b"zone"] = session.account.encode()
                await session.run(Verb.READ, "READ job")
            case 2:
                abandoned = asyncio.ensure_future(session.run(Verb.READ, "READ job"))
                await asyncio.sleep(rng.random() * 0.005)
                abandoned.cancel()
                await asyncio.wait([abandoned])
            case 3:
                session.begin()
                await session.run(Verb.WRITE, f"WRITE job {n}")
                await session.run(Verb.COMMIT, "COMMIT")
            case _:
                await session.run(Verb.READ, "READ job")

    async def test_statements_after_an_owner_is_lost(self):
        await self.start(7, connections=14)
        states = [self.fleet.state(host) for host in self.fleet.hosts]
        await self.fleet.wait_for(lambda: all(len(s.owners) == 2 for s in states))
        owners = states[0].owners
        pools = [
            (owner, pool)
            for owner in owners
            for pool in self.fleet.dispatcher(owner).pools.values()
        ]
        # Owners that joined one after another use their shares after a while.
        await self.fleet.wait_for(lambda: all(pool.allowed == 6 for _, pool in pools))
        others = [name for name in self.fleet.hosts if name not in owners]
        sessions = [
            Session(self.fleet, host, account, database)
            for host in others
            for account in ACCOUNTS
            for database in (OWN_DB, BOUNDED_DB)
        ]
        for session in sessions:
            self.assertIsNone((await session.run(Verb.READ, "READ job")).failure)
        # Each account's statements went to one owner, so that one has its connections.
        for account in ACCOUNTS:
            holders = {owner for owner, pool in pools if pool._held_by.get(account)}
            self.assertEqual(len(holders), 1, account)
        writing = Session(self.fleet, others[0], "north")
        writing.begin()
        self.assertIsNone((await writing.run(Verb.WRITE, "WRITE job a")).failure)
        lost = writing.context.transaction.checkout.owner.name
        await self.fleet.hosts[lost].close()
        reply = await writing.run(Verb.WRITE, "WRITE job b")
        self.assertEqual(reply.code, Code.ABORTED)
        for session in sessions:
            self.assertIsNone((await session.run(Verb.READ, "READ job")).failure)
        self.assertGreaterEqual(self.check_accounts(), 2 * len(sessions) + 1)

    async def test_host_that_joins_waits_for_the_share_of_the_others(self):
        await self.start(2)
        instances = self.fleet.group.instances.values()
        load = [
            asyncio.ensure_future(self.send(host, account))
            for host in ("host-0", "host-1")
            for account in ACCOUNTS
        ]
        await self.fleet.add_host("host-2")
        await self.fleet.wait_for(lambda: self.fleet.is_settled("host-2"))
        load += [asyncio.ensure_future(self.send("host-2", name)) for name in ACCOUNTS]
        [pool, *_] = self.fleet.dispatcher("host-2").pools.values()
        self.assertEqual(pool.allowed, 1)
        await self.fleet.wait_for(lambda: pool.allowed == 4)
        await asyncio.gather(*load)
        self.assertEqual([i.refused_connections for i in instances], [0, 0, 0])
        self.check_accounts()

    async def send(self, host, account):
        for n in range(60):
            session = Session(self.fleet, host, account)
            await session.run(*((Verb.WRITE, f"WRITE job {n}") if n % 5 else _READ))
            await asyncio.sleep(0.02)

    async def test_host_that_runs_again_has_its_former_share(self):
        # Guards the time after a loss of power, when all hosts start at once.
        await self.start(2)
        await self.fleet.hosts["host-1"].close()
        await self.fleet.add_host("host-1")
        await self.fleet.wait_for(lambda: self.fleet.is_settled("host-1"))
        for pool in self.fleet.dispatcher("host-1").pools.values():
            self.assertEqual(pool.allowed, 7)

    async def test_hosts_that_ran_before_count_while_they_register(self):
        await self.start(1)
        groups = self.fleet.hosts["host-0"].groups
        groups._live_hosts._names.update(f"host-{n}" for n in range(1, 7))
        groups.update_group(GROUP)
        for pool in self.fleet.dispatcher().pools.values():
            self.assertEqual(pool.limit, 2)

    async def test_transaction_whose_session_changes_its_account_is_aborted(self):
        await self.start(1)
        session = Session(self.fleet, "host-0", "north")
        session.begin()
        await session.run(Verb.WRITE, "WRITE job a")
        session.account = session.context.account = "south"
        reply = await session.run(Verb.WRITE, "WRITE job b")
        self.assertEqual(reply.code, Code.ABORTED)
        self.assertEqual(self.check_accounts(), 1)

    async def test_primary_that_is_killed_without_traffic_is_replaced(self):
        # No account's connection may be open that would show the loss.
        await self.start(2)
        self.fleet.mark_hosts_established()
        await self.fleet.group.instances["i-0"].stop()
        await self.fleet.wait_for(
            lambda: self.fleet.state().primary not in (None, "i-0")
        )
