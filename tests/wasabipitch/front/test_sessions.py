import unittest

from adapter.wire import LineCallerCodec
from tests.adapter import PLATFORM  # noqa: F401 (puts the adapter on the path)
from wasabipitch.accounts.authentication import Authentication
from wasabipitch.clock import now_s
from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.coordination.documents import (
    Account,
    Configuration,
    Consistency,
    Route,
)
from wasabipitch.front.sessions import CallerSession
from wasabipitch.group.session import SessionContext
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.wire.lines import LineStream
from wasabipitch.wire.messages import Reply, Startup, Verb

ROUTE = Route("db", "g", Consistency.PRIMARY, 0.0, 1.0, 0.2, 1)


def make_configuration(version, keys):
    accounts = {name: Account(name) for name in keys.values()}
    return Configuration(
        version, {"db": ROUTE}, accounts=accounts, account_names=dict(keys)
    )


class Checkout:
    """Stands for a connection on which a transaction has begun."""

    def __init__(self):
        self.released = False

    def release(self):
        self.released = True


class Runner:
    """Keeps the account of each statement, and lets all succeed."""

    def __init__(self):
        self.ran = []
        self.checkout = Checkout()

    async def run(self, session: SessionContext, statement, route, arrived_s):
        self.ran.append((statement.text, session.account))
        if session.transaction is not None:
            session.transaction.checkout = self.checkout
            if statement.verb is Verb.COMMIT:
                session.drop_transaction()
        return Reply(state=session.state)


class AccountSessionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against statements that run for a key that was withdrawn or moved."""

    async def asyncSetUp(self):
        self.configuration = make_configuration(1, {"k1": "north", "k2": "south"})
        self.currency = CopyCurrency()
        self.currency.advance(1)
        self.currency.record_read(1e12, 1)
        self.runner, self.measures = Runner(), Measures()
        self.stream = LineStream()
        self.written = []
        self.stream.write = self.written.append
        authentication = Authentication(
            lambda: self.configuration,
            self.currency,
            5.0,
            DecisionLog("host"),
            self.measures,
        )
        self.session = CallerSession(
            self.stream,
            LineCallerCodec(),
            Startup("db", "k1"),
            lambda: self.configuration,
            lambda group: self.runner,
            self.measures,
            authentication,
        )

    def withdraw(self):
        self.configuration = make_configuration(2, {"k2": "south"})

    def lose_proof(self):
        self.currency._proven_at_s = 1.0

    async def ask(self, text):
        """Return whether the session continues after a statement, and the answer."""
        self.written.clear()
        goes_on = await self.session._answer_line(
            f"QUERY 5c0e {text}".encode(), now_s()
        )
        return goes_on, b"".join(self.written).decode().split("\r\n")[:-1]

    async def test_each_statement_runs_for_the_account_of_the_key(self):
        self.assertEqual(await self.ask("READ a"), (True, ["COMPLETE -", "READY I -"]))
        self.assertEqual(self.runner.ran, [(b"READ a", "north")])

    async def test_a_withdrawn_key_ends_the_session_with_any_statement(self):
        self.withdraw()
        for text in ("READ a", "WRITE a b", "SET a b", "PREPARE a READ b", "BEGIN"):
            with self.subTest(text):
                goes_on, lines = await self.ask(text)
                self.assertFalse(goes_on)
                self.assertEqual(lines[0], "ERROR NOAUTH the key is not known")
                self.assertEqual(lines[1], "READY I -")
        self.assertEqual(self.runner.ran, [])
        self.assertEqual(self.session._context.values, {})
        self.assertEqual(self.session._context.prepared, {})

    async def test_a_withdrawn_key_rolls_its_transaction_back(self):
        for end in ("READ a", "COMMIT", "ROLLBACK"):
            with self.subTest(end):
                self.configuration = make_configuration(1, {"k1": "north"})
                self.runner.checkout = Checkout()
                await self.ask("BEGIN")
                await self.ask("WRITE a b")
                ran = len(self.runner.ran)
                self.withdraw()
                goes_on, lines = await self.ask(end)
                self.assertFalse(goes_on)
                self.assertTrue(lines[0].startswith("ERROR NOAUTH"), lines)
                self.assertEqual(lines[1], "READY I -")
                self.assertTrue(self.runner.checkout.released)
                self.assertEqual(len(self.runner.ran), ran)

    async def test_a_withdrawn_key_ends_a_failed_transaction(self):
        self.session._context.failed = True
        self.withdraw()
        goes_on, lines = await self.ask("READ a")
        self.assertFalse(goes_on)
        self.assertEqual(lines[1], "READY I -")

    async def test_a_key_that_moves_is_served_for_its_new_account(self):
        await self.ask("READ a")
        self.configuration = make_configuration(2, {"k1": "south"})
        await self.ask("READ b")
        self.assertEqual(self.runner.ran, [(b"READ a", "north"), (b"READ b", "south")])

    async def test_a_transaction_ends_when_its_key_moves(self):
        await self.ask("BEGIN")
        await self.ask("WRITE a b")
        self.configuration = make_configuration(2, {"k1": "south"})
        goes_on, lines = await self.ask("COMMIT")
        self.assertFalse(goes_on)
        self.assertTrue(lines[0].startswith("ERROR NOAUTH"), lines)
        self.assertEqual(self.runner.ran, [(b"WRITE a b", "north")])
        self.assertTrue(self.runner.checkout.released)

    async def test_without_a_proof_nothing_runs_and_the_session_goes_on(self):
        self.lose_proof()
        goes_on, lines = await self.ask("WRITE a b")
        self.assertTrue(goes_on)
        self.assertTrue(lines[0].startswith("ERROR BUSY"), lines)
        self.assertEqual(lines[1], "READY I -")
        self.assertEqual(self.runner.ran, [])
        self.currency._proven_at_s = 1e12
        self.assertEqual((await self.ask("WRITE a b"))[1][0], "COMPLETE -")

    async def test_without_a_proof_a_transaction_is_rolled_back(self):
        await self.ask("BEGIN")
        await self.ask("WRITE a b")
        self.lose_proof()
        goes_on, lines = await self.ask("READ a")
        self.assertTrue(goes_on)
        self.assertTrue(lines[0].startswith("ERROR BUSY"), lines)
        self.assertEqual(lines[1], "READY E -")
        self.assertTrue(self.runner.checkout.released)
        self.currency._proven_at_s = 1e12
        self.assertEqual((await self.ask("ROLLBACK"))[1][1], "READY I -")
        self.assertEqual(self.runner.ran, [(b"WRITE a b", "north")])

    async def test_without_a_proof_a_commit_ends_the_transaction(self):
        await self.ask("BEGIN")
        await self.ask("WRITE a b")
        self.lose_proof()
        _, lines = await self.ask("COMMIT")
        self.assertTrue(lines[0].startswith("ERROR BUSY"), lines)
        self.assertEqual(lines[1], "READY I -")
        self.assertTrue(self.runner.checkout.released)

    async def test_refusals_are_counted_by_account_and_never_by_key(self):
        self.lose_proof()
        await self.ask("READ a")
        text = self.measures.render().decode()
        self.assertIn('account="north"', text)
        self.assertNotIn("k1", text)
