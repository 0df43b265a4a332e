import asyncio
import unittest

from tests.wasabipitch.coordination.peers_fixture import run_peers
from wasabipitch.coordination.documents import Consistency, Route
from wasabipitch.group.remote import RemoteRunner, StatementService
from wasabipitch.group.session import SessionContext, Transaction
from wasabipitch.messages import Done, EndSession
from wasabipitch.models import ORIGIN
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_messages import RunStatement, StatementReply
from wasabipitch.wire.messages import Code, SessionState, Shape, Statement, Verb

from wasabipitch.clock import now_s  # isort: skip

ROUTE = Route("bookings", "ledger", Consistency.OWN_WRITES, 1.0, 0.6, 0.2, 1)
OK = StatementReply((b"row",), b"sig", None, b"", SessionState.IDLE)
BUSY = StatementReply((), None, Code.BUSY, b"no room", SessionState.IDLE)
READ = Statement(b"r1", b"READ job", Verb.READ)
WRITE = Statement(b"w1", b"WRITE job a", Verb.WRITE)
COMMIT = Statement(b"c1", b"COMMIT", Verb.COMMIT)


class RemoteRunnerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.replies = {"o-1": OK, "o-2": OK}
        self.asked = []
        self.ended = []
        names = ("own", "o-1", "o-2")
        peers = run_peers({name: self.make_handler(name) for name in names})
        self.peers = await self.enterAsyncContext(peers)
        self.runner = RemoteRunner(
            "ledger",
            self.peers["own"].links,
            lambda: [self.peers["o-1"].host, self.peers["o-2"].host],
            DecisionLog("own"),
        )
        self.session = SessionContext("s-1", "bookings")

    def make_handler(self, name):
        async def handle(exchange):
            if isinstance(exchange.message, EndSession):
                self.ended.append(name)
                return Done()
            self.asked.append(name)
            reply = self.replies[name]
            if reply is None:
                await asyncio.Event().wait()
            return reply

        return handle

    async def run_statement(self, statement):
        return await self.runner.run(self.session, statement, ROUTE, now_s())

    async def test_first_owner_runs_the_statement(self):
        reply = await self.run_statement(READ)
        self.assertEqual((reply.rows, reply.signature), ((b"row",), b"sig"))
        self.assertEqual(self.asked, ["o-1"])

    async def test_busy_reply_of_an_owner_is_returned(self):
        self.replies["o-1"] = BUSY
        for statement in (READ, WRITE):
            self.assertEqual((await self.run_statement(statement)).code, Code.BUSY)
        self.assertEqual(self.asked, ["o-1", "o-1"])

    async def test_read_on_a_silent_owner_is_hedged_within_its_objective(self):
        self.replies["o-1"] = None
        started_s = now_s()
        self.assertIsNone((await self.run_statement(READ)).failure)
        self.assertLess(now_s() - started_s, ROUTE.objective_s)

    async def test_write_on_a_silent_owner_is_unknown_and_sent_once(self):
        self.replies["o-1"] = None
        self.assertEqual((await self.run_statement(WRITE)).code, Code.UNKNOWN)
        self.assertEqual(self.asked, ["o-1"])

    async def test_unreachable_owner_is_skipped(self):
        await self.peers["o-1"].server.close()
        self.assertIsNone((await self.run_statement(WRITE)).failure)
        self.assertEqual(self.asked, ["o-2"])

    async def test_transaction_lost_before_its_commit_is_aborted(self):
        self.session.transaction = Transaction(False, now_s())
        in_transaction = StatementReply(
            (), b"sig", None, b"", SessionState.IN_TRANSACTION
        )
        self.replies["o-1"] = in_transaction
        await self.run_statement(WRITE)
        self.replies["o-1"] = None
        self.assertEqual((await self.run_statement(READ)).code, Code.ABORTED)
        self.assertTrue(self.session.failed)

    async def test_unanswered_commit_is_unknown_if_the_transaction_wrote(self):
        open_reply = StatementReply((), b"sig", None, b"", SessionState.IN_TRANSACTION)
        for statement, code in ((WRITE, Code.UNKNOWN), (READ, Code.ABORTED)):
            with self.subTest(verb=statement.verb):
                self.session = SessionContext("s-2", "bookings")
                self.session.transaction = Transaction(False, now_s())
                self.replies = dict.fromkeys(self.replies, open_reply)
                await self.run_statement(statement)
                self.replies = dict.fromkeys(self.replies)
                self.assertEqual((await self.run_statement(COMMIT)).code, code)


class Checkout:
    def __init__(self):
        self.released = False

    def release(self):
        self.released = True


class OwnerWithoutMemoryTest(unittest.IsolatedAsyncioTestCase):
    """An owner that has no memory for a peer's statement refuses it unrun."""

    def make_message(self, in_transaction=False, **changes):
        fields = {
            "session": "s-1",
            "statement": WRITE,
            "route": ROUTE,
            "left_s": 0.5,
            "values": {},
            "shape": None,
            "floor": ORIGIN,
            "in_transaction": in_transaction,
            "read_only": False,
            "begins": False,
        }
        return RunStatement(**{**fields, **changes})

    def test_a_statement_is_busy(self):
        service = StatementService(lambda group: None)
        reply = service.refuse("link", self.make_message(), "no memory")
        self.assertEqual((reply.code, reply.state), (Code.BUSY, SessionState.IDLE))

    def test_its_transaction_is_rolled_back(self):
        # A later COMMIT must not commit the transaction without the statement.
        service = StatementService(lambda group: None)
        checkout = Checkout()
        context = SessionContext("s-1", "bookings")
        context.transaction = Transaction(False, now_s(), checkout)
        service._open["link", "s-1"] = context
        reply = service.refuse("link", self.make_message(True), "no memory")
        self.assertEqual(
            (reply.code, reply.state),
            (Code.ABORTED, SessionState.FAILED_TRANSACTION),
        )
        self.assertTrue(checkout.released)
        self.assertEqual(service._open, {})

    def test_all_texts_of_callers_are_counted(self):
        message = self.make_message(
            statement=Statement(b"1", b"x" * 10, Verb.EXECUTE, arguments=b"y" * 20),
            values={b"a": b"z" * 30, b"b": b"z" * 40},
            shape=Shape(True, b"t" * 50),
        )
        self.assertEqual(message.count_bytes(), 150)
