import asyncio
import unittest

from msgspec.structs import replace

from tests.wasabipitch.coordination.peers_fixture import run_peers
from wasabipitch.coordination.documents import Consistency, Route
from wasabipitch.group.remote import RemoteRunner, StatementService
from wasabipitch.group.session import SessionContext
from wasabipitch.messages import Done
from wasabipitch.models import ORIGIN
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_messages import EndTransaction, RunStatement, StatementReply
from wasabipitch.wire.messages import (
    Code,
    Reply,
    SessionState,
    Shape,
    Statement,
    Verb,
)

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
            if isinstance(exchange.message, EndTransaction):
                self.ended.append((name, exchange.message.number))
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

    async def test_account_goes_to_its_own_first_owner(self):
        orders = {"north": ["o-2", "o-1"], "south": ["o-1", "o-2"]}
        self.runner = RemoteRunner(
            "ledger",
            self.peers["own"].links,
            lambda: self.fail("the order without an account is not asked for"),
            DecisionLog("own"),
            lambda account: [self.peers[name].host for name in orders[account]],
        )
        for account in ("north", "south"):
            for statement in (READ, WRITE):
                self.session = SessionContext("s-1", "bookings", account=account)
                await self.run_statement(statement)
        self.assertEqual(self.asked, ["o-2", "o-2", "o-1", "o-1"])

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
        self.session.begin(False, now_s())
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
                self.session.begin(False, now_s())
                self.replies = dict.fromkeys(self.replies, open_reply)
                await self.run_statement(statement)
                self.replies = dict.fromkeys(self.replies)
                self.assertEqual((await self.run_statement(COMMIT)).code, code)

    async def test_owner_is_told_of_the_end_if_the_first_statement_has_no_answer(self):
        # The owner may have answered too late. It would hold the transaction open, and
        # run the session's next one in it.
        self.replies["o-1"] = None
        self.session.begin(False, now_s())
        self.assertEqual((await self.run_statement(WRITE)).code, Code.ABORTED)
        for _ in range(100):
            if self.ended:
                break
            await asyncio.sleep(0.01)
        self.assertEqual(self.ended, [("o-1", 1)])


class FakeCheckout:
    def __init__(self):
        self.released = False

    def release(self):
        self.released = True


class FakeRunner:
    """Begins a transaction's checkout with its first statement, as an owner does."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.gate.set()
        self.checkouts = []
        self.contexts = []

    async def run(self, context, statement, route, arrived_s):
        if context.transaction is not None and context.transaction.checkout is None:
            context.transaction.checkout = FakeCheckout()
            self.checkouts.append(context.transaction.checkout)
        self.contexts.append(context)
        await self.gate.wait()
        if statement.verb is Verb.COMMIT:
            context.drop_transaction()
        return Reply((b"row",), b"sig", None, context.state)


class StatementServiceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a statement that runs in another transaction than its own.

    A write that was answered with ABORTED was committed by a later transaction of its
    session, after the host that forwarded it had given up on its answer.
    """

    def setUp(self):
        self.runner = FakeRunner()
        self.service = StatementService(lambda group: self.runner)
        self.link = object()

    def make(self, number, *, begins=False, statement=WRITE):
        return RunStatement(
            session="s-1",
            statement=statement,
            route=ROUTE,
            left_s=0.5,
            values={},
            shape=None,
            floor=ORIGIN,
            in_transaction=number > 0,
            read_only=False,
            begins=begins,
            transaction=number,
        )

    async def run_statement(self, number, **fields):
        return await self.service.run(self.link, self.make(number, **fields))

    async def test_the_next_transaction_does_not_run_in_an_abandoned_one(self):
        await self.run_statement(1, begins=True)
        await self.run_statement(2, begins=True)
        first, second = self.runner.contexts
        self.assertIsNot(first, second)
        self.assertEqual([c.released for c in self.runner.checkouts], [True, False])

    async def test_a_single_statement_does_not_run_in_an_abandoned_transaction(self):
        await self.run_statement(1, begins=True)
        await self.run_statement(0)
        self.assertIsNone(self.runner.contexts[1].transaction)
        self.assertTrue(self.runner.checkouts[0].released)

    async def test_statements_of_one_transaction_share_its_connection(self):
        await self.run_statement(1, begins=True)
        await self.run_statement(1)
        await self.run_statement(1, statement=COMMIT)
        self.assertEqual(len(self.runner.checkouts), 1)
        reply = await self.run_statement(1)
        self.assertEqual(reply.code, Code.ABORTED)

    async def test_an_end_applies_only_to_its_own_transaction(self):
        await self.run_statement(2, begins=True)
        self.service.end(self.link, "s-1", 1)
        self.assertFalse(self.runner.checkouts[0].released)
        self.service.end(self.link, "s-1", 2)
        self.assertTrue(self.runner.checkouts[0].released)
        self.assertEqual((await self.run_statement(2)).code, Code.ABORTED)

    async def test_an_end_that_arrives_while_the_statement_runs_is_kept(self):
        self.runner.gate.clear()
        running = asyncio.ensure_future(self.run_statement(1, begins=True))
        await asyncio.sleep(0)
        self.service.end(self.link, "s-1", 1)
        self.runner.gate.set()
        await running
        self.assertTrue(self.runner.checkouts[0].released)

    async def test_a_transaction_that_ends_late_does_not_replace_the_next_one(self):
        self.runner.gate.clear()
        late = asyncio.ensure_future(self.run_statement(1, begins=True))
        await asyncio.sleep(0)
        following = asyncio.ensure_future(self.run_statement(2, begins=True))
        await asyncio.sleep(0)
        self.runner.gate.set()
        await asyncio.gather(late, following)
        self.assertEqual([c.released for c in self.runner.checkouts], [True, False])

    async def test_a_closed_link_ends_its_transactions(self):
        await self.run_statement(1, begins=True)
        await self.service.end_all(self.link)
        self.assertTrue(self.runner.checkouts[0].released)

    async def test_a_statement_refused_for_memory_ends_its_transaction(self):
        # A later COMMIT must not commit the transaction without the statement.
        await self.run_statement(1, begins=True)
        reply = self.service.refuse(self.link, self.make(1), "no memory")
        self.assertEqual(
            (reply.code, reply.state),
            (Code.ABORTED, SessionState.FAILED_TRANSACTION),
        )
        self.assertTrue(self.runner.checkouts[0].released)
        reply = await self.run_statement(1, statement=COMMIT)
        self.assertEqual(reply.code, Code.ABORTED)

    def test_a_single_statement_refused_for_memory_is_busy(self):
        reply = self.service.refuse(self.link, self.make(0), "no memory")
        self.assertEqual((reply.code, reply.state), (Code.BUSY, SessionState.IDLE))

    def test_all_texts_of_callers_are_counted(self):
        message = replace(
            self.make(0),
            statement=Statement(b"1", b"x" * 10, Verb.EXECUTE, arguments=b"y" * 20),
            values={b"a": b"z" * 30, b"b": b"z" * 40},
            shape=Shape(True, b"t" * 50),
        )
        self.assertEqual(message.count_bytes(), 150)
