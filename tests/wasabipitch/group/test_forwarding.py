import unittest
from types import SimpleNamespace

from wasabipitch.coordination.documents import Consistency, Route
from wasabipitch.group.forwarding import ForwardingRunner
from wasabipitch.group.remote import RemoteTransaction
from wasabipitch.group.session import SessionContext, Transaction
from wasabipitch.models import Host
from wasabipitch.wire.messages import Statement, Verb

ROUTE = Route("bookings", "ledger", Consistency.OWN_WRITES, 1.0, 0.6, 0.2, 1)
READ = Statement(b"r1", b"READ job", Verb.READ)
WRITE = Statement(b"w1", b"WRITE job a", Verb.WRITE)
OTHER = Host("o-1", "gateway", "127.0.0.1:1", "rome")


class Runner:
    def __init__(self, name):
        self.name = name
        self.avoided = False

    async def run(self, session, statement, route, arrived_s):
        return self.name

    def is_avoided(self, owner):
        return self.avoided


class AccountTest(unittest.IsolatedAsyncioTestCase):
    """An owner's own callers, whose account's statements go to another owner."""

    def setUp(self):
        self.remote = Runner("remote")
        self.connections = set()
        self.owner = OTHER
        self.runner = ForwardingRunner(
            SimpleNamespace(avoid_primary_until_s=0.0),
            Runner("local"),
            self.remote,
            lambda account, primary_only: (account, primary_only) in self.connections,
            lambda account: self.owner,
        )
        self.session = SessionContext("s-1", "bookings", account="north")

    async def run_statement(self, statement=READ):
        return await self.runner.run(self.session, statement, ROUTE, 0.0)

    async def test_account_without_a_connection_or_room_here_goes_to_its_owner(self):
        self.assertEqual(await self.run_statement(), "remote")

    async def test_connection_here_is_used(self):
        self.connections = {("north", False)}
        self.assertEqual(await self.run_statement(), "local")
        self.assertEqual(await self.run_statement(WRITE), "remote")

    async def test_account_of_this_owner_runs_here(self):
        self.owner = None
        self.assertEqual(await self.run_statement(), "local")

    async def test_owner_that_does_not_answer_is_not_asked(self):
        self.remote.avoided = True
        self.assertEqual(await self.run_statement(), "local")

    async def test_statements_without_an_account_run_here(self):
        self.session = SessionContext("s-1", "bookings")
        self.assertEqual(await self.run_statement(), "local")

    async def test_transaction_stays_where_it_began(self):
        self.session.transaction = Transaction(False, 0.0)
        self.session.transaction.checkout = SimpleNamespace()
        self.assertEqual(await self.run_statement(WRITE), "local")
        self.connections = {("north", True)}
        self.session.transaction.checkout = RemoteTransaction(OTHER, lambda host: None)
        self.assertEqual(await self.run_statement(WRITE), "remote")
