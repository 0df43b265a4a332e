import asyncio

import asyncmy.errors

from tests.wasabipitch.entry_harness import (
    DEPLOYMENT,
    PAYMENT,
    EntryTestCase,
    answer_one_row,
    break_link,
    fail_with,
    fetch,
    never_answer,
)
from wasabipitch.catalogue import Catalogue
from wasabipitch.deployment import Deployment
from wasabipitch.exceptions import (
    InDoubt,
    TargetError,
    TransactionLost,
)
from wasabipitch.links import MIN_RECONNECT_S
from wasabipitch.messages import AskEvents, Kind, Result
from wasabipitch.models import Position
from wasabipitch.sessions import encode_token


class TransactionTests(EntryTestCase):
    async def test_transaction_runs_on_one_pool_in_one_session(self):
        conn, other = await self.connect(), await self.connect()
        await conn.begin()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        self.links.reverse()
        await fetch(conn, "SELECT id FROM t")
        await fetch(other, "SELECT id FROM t")
        await conn.commit()
        kinds = [m.kind for m in self.pool.received]
        self.assertEqual(kinds, [Kind.BEGIN, Kind.WRITE, Kind.READ, Kind.COMMIT])
        self.assertEqual(len({m.session for m in self.pool.received}), 1)
        self.assertEqual(
            [m.in_transaction for m in self.pool.received], [False, True, True, True]
        )
        self.assertNotEqual(
            self.spare.received[0].session, self.pool.received[0].session
        )

    async def test_implicit_begin_uses_its_statements_deadline(self):
        conn = await self.connect(autocommit=False)
        hint = "/* wasabipitch: id=a, class=lookup, deadline_ms=700 */"
        await fetch(conn, f"{hint} INSERT INTO t VALUES (1)")
        begin = self.pool.received[0]
        self.assertEqual((begin.request_id, begin.request_class), ("", "lookup"))
        self.assertLessEqual(begin.deadline_ms, 700)

    async def test_autocommit_off_begins_and_autocommit_on_commits(self):
        conn = await self.connect(autocommit=False)
        await fetch(conn, "SELECT DATABASE()")
        await fetch(conn, "INSERT INTO t VALUES (1)")
        await fetch(conn, "BEGIN")
        await conn.autocommit(True)
        await fetch(conn, "INSERT INTO t VALUES (2)")
        self.assertEqual(
            self.pool.statements,
            [
                "BEGIN",
                "INSERT INTO t VALUES (1)",
                "COMMIT",
                "BEGIN",
                "COMMIT",
                "INSERT INTO t VALUES (2)",
            ],
        )

    async def test_transaction_stays_open_after_a_statement_error(self):
        error = TargetError("syntax", code=1064, sqlstate="42000")
        self.pool.set_handler("BAD", fail_with(error, in_transaction=True))
        conn = await self.connect()
        await conn.begin()
        await self.assert_fails(conn, "BAD", "1064")
        await conn.commit()
        self.assertEqual(self.pool.statements[-1], "COMMIT")

    async def test_lost_transaction_accepts_only_its_end(self):
        error = TransactionLost("the target is gone")
        self.pool.set_handler("UPDATE", fail_with(error))
        for end in ("ROLLBACK", "COMMIT", "BEGIN"):
            with self.subTest(end):
                conn = await self.connect()
                await conn.begin()
                await self.assert_fails(conn, "UPDATE t SET a = 1", "target is gone")
                sent_before = len(self.pool.statements)
                await self.assert_fails(conn, "INSERT INTO t VALUES (1)", "rolled back")
                await self.assert_fails(
                    conn, "SELECT id FROM t", "rolled back.*NOT_RUN"
                )
                if end == "COMMIT":
                    await self.assert_fails(conn, end, "rolled back.*NOT_RUN")
                else:
                    await fetch(conn, end)
                begun = ["BEGIN"] if end == "BEGIN" else []
                self.assertEqual(self.pool.statements[sent_before:], begun)
                await fetch(conn, "INSERT INTO t VALUES (1)")

    async def test_broken_link_loses_the_transaction(self):
        conn = await self.connect()
        await conn.begin()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        await self.links[0].close()
        # Another caller's read opens the link again, under the next generation. The
        # transaction ended with the old connection and must not continue on it.
        await asyncio.sleep(MIN_RECONNECT_S)
        await fetch(await self.connect(), "SELECT id FROM t")
        self.assertTrue(self.links[0].connected)
        await self.assert_fails(conn, "INSERT INTO t VALUES (2)", "broke.*NOT_RUN")
        await self.assert_fails(conn, "COMMIT", "rolled back.*NOT_RUN")
        self.assertNotIn("COMMIT", self.pool.statements)

    async def test_unanswered_commit_is_in_doubt(self):
        self.pool.set_handler("COMMIT", break_link)
        conn = await self.connect()
        await conn.begin()
        await self.assert_fails(conn, "COMMIT", "verdict: MAY_HAVE_RUN")
        await fetch(conn, "INSERT INTO t VALUES (1)")

    async def test_unanswered_commit_with_an_id_is_resolved_by_another_pool(self):
        async def resolve(exchange):
            return Result(repeated=True, position=Position(2, 7))

        self.pool.set_handler("COMMIT", break_link)
        self.spare.set_handler("COMMIT", resolve)
        conn = await self.connect()
        await conn.begin()
        await fetch(conn, "/* wasabipitch: id=t-1 */ INSERT INTO t VALUES (1)")
        self.links.reverse()
        await conn.commit()
        outcome_request = self.spare.received[-1]
        self.assertEqual(
            (outcome_request.request_id, outcome_request.in_doubt), ("t-1", True)
        )
        self.assertFalse(outcome_request.in_transaction)

    async def test_unanswered_statement_rolls_the_transaction_back(self):
        self.pool.set_handler("UPDATE", never_answer)
        self.pool.set_handler("ALTER", never_answer)
        for statement, verdict in (
            ("UPDATE t SET a = 1", "NOT_RUN"),
            ("ALTER TABLE t ADD a INT", "MAY_HAVE_RUN"),
        ):
            conn = await self.connect()
            await conn.begin()
            session = self.pool.received[-1].session
            sql = f"/* wasabipitch: deadline_ms=50 */ {statement}"
            await self.assert_fails(conn, sql, f"verdict: {verdict}")
            await self.until(lambda name=session: name in self.pool.ended_sessions)
            await conn.rollback()
            await conn.begin()
            self.assertNotEqual(self.pool.received[-1].session, session)

    async def test_unanswered_begin_is_not_run(self):
        self.pool.set_handler("BEGIN", never_answer)
        conn = await self.connect()
        sql = "/* wasabipitch: deadline_ms=50 */ BEGIN"
        await self.assert_fails(conn, sql, "verdict: NOT_RUN")
        await self.until(lambda: self.pool.ended_sessions)

    async def test_transaction_ends_when_its_caller_leaves(self):
        for leave in ("close", "reset"):
            conn = await self.connect()
            await conn.begin()
            session = self.pool.received[-1].session
            if leave == "close":
                conn.close()
            else:
                await fetch(conn, "INSERT INTO t VALUES (1)")

                def reset():
                    with self.connect_blocking(autocommit=True) as other:
                        other.start_transaction()
                        other.cmd_reset_connection()
                        return other.in_transaction

                self.assertFalse(await self.in_thread(reset))
                session = self.pool.received[-1].session
            await self.until(lambda name=session: name in self.pool.ended_sessions)

    async def test_only_begin_opens_a_transaction(self):
        # A pool may run a single write in a transaction of its own and report it.
        async def answer(exchange):
            return Result(affected_rows=1, in_transaction=True)

        self.pool.set_handler("INSERT", answer)
        conn = await self.connect()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        self.assertEqual(conn.server_status & 1, 0)
        await fetch(conn, "INSERT INTO t VALUES (1)")
        self.assertFalse(self.pool.received[-1].in_transaction)

    async def test_request_id_of_begin_covers_the_transaction(self):
        conn = await self.connect()
        await fetch(conn, "/* wasabipitch: id=t1 */ BEGIN")
        await fetch(conn, PAYMENT)
        await conn.commit()
        await self.assert_fails(conn, PAYMENT, "non-idempotent")

    async def test_running_request_is_cancelled_when_its_caller_leaves(self):
        cancelled = asyncio.Event()

        async def wait(exchange):
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        self.pool.set_handler("SELECT", wait)
        conn = await self.connect()
        reading = asyncio.create_task(fetch(conn, "SELECT id FROM t"))
        await self.until(lambda: self.pool.received)
        conn.close()
        with self.assertRaises(asyncmy.errors.Error):
            await reading
        async with asyncio.timeout(5):
            await cancelled.wait()
        await self.until(lambda: not self.runner.sessions)

    async def test_database_cannot_change_within_a_transaction(self):
        conn = await self.connect()
        await conn.begin()
        await self.assert_fails(conn, "USE ledger", "a transaction is open.*NOT_RUN")
        await fetch(conn, "USE workshop")


class AdmissionTests(EntryTestCase):
    async def test_classes_come_from_hints_and_fingerprints(self):
        self.pool.set_handler("SELECT", answer_one_row)
        conn = await self.connect()
        await fetch(conn, "/* wasabipitch: class=lookup */ SELECT id FROM t")
        request = self.pool.received[-1]
        self.assertEqual(request.request_class, "lookup")
        self.assertEqual(request.statement, "SELECT id FROM t")
        self.assertLessEqual(request.deadline_ms, 2000)
        await fetch(
            conn, "/* wasabipitch: id=a */ insert into payments values (%s, 5)", 3
        )
        self.assertEqual(self.pool.received[-1].request_class, "payment")

    async def test_refusals_are_not_run(self):
        conn = await self.connect()
        await self.assert_fails(
            conn, "/* wasabipitch: class=x */ SELECT 1 FROM t", "class 'x' is not"
        )
        await self.assert_fails(conn, PAYMENT, "non-idempotent.*verdict: NOT_RUN")
        await self.assert_fails(
            conn, "SELECT 1; SELECT 2", "several statements.*NOT_RUN"
        )
        without_database = await self.connect(db=None)
        await self.assert_fails(
            without_database, "SELECT 1 FROM t", "1046.*no database.*NOT_RUN"
        )
        self.assertEqual(self.pool.received, [])

    async def test_nothing_is_served_without_a_configuration(self):
        conn = await self.connect()
        self.runner.catalogue = Catalogue()
        await self.assert_fails(conn, "SELECT 1 FROM t", "no configuration.*NOT_RUN")

    async def test_removed_group_serves_only_open_transactions(self):
        conn = await self.connect()
        other = await self.connect()
        await other.begin()
        remaining = Deployment("test", DEPLOYMENT.groups[1:], DEPLOYMENT.classes)
        self.configuration.callback(remaining, 2)
        await fetch(other, "INSERT INTO t VALUES (1)")
        await other.commit()
        await self.assert_fails(conn, "SELECT 1 FROM t", "1049.*NOT_RUN")

    async def test_query_attributes_are_hints(self):
        def work():
            with self.connect_blocking() as conn:
                for prepared in (False, True):
                    cursor = conn.cursor(prepared=prepared)
                    cursor.clear_attributes()
                    cursor.add_attribute("id", f"p-{prepared}")
                    cursor.add_attribute("class", "payment")
                    cursor.add_attribute("deadline_ms", 700)
                    cursor.execute(PAYMENT)

        await self.in_thread(work)
        hints = [(m.request_id, m.request_class) for m in self.pool.received]
        self.assertEqual(hints, [("p-False", "payment"), ("p-True", "payment")])
        self.assertTrue(all(m.deadline_ms <= 700 for m in self.pool.received))


class FloorTests(EntryTestCase):
    async def test_floors_rise_with_results_and_transfer_by_token(self):
        conn = await self.connect()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        await fetch(conn, "SELECT id FROM t")
        self.assertEqual([m.floor for m in self.pool.received], [None, Position(1, 1)])
        ((token,),) = await fetch(conn, "SELECT @@wasabipitch_token")
        for statement in (
            "SET @wasabipitch_token = %s",
            "SET wasabipitch_token=%s",
            "SET SESSION wasabipitch_token = %s",
        ):
            other = await self.connect()
            await fetch(other, statement, (token,))
            await fetch(other, "SELECT id FROM t")
            self.assertEqual(self.pool.received[-1].floor, Position(1, 1))
            ((returned_token,),) = await fetch(
                other, "SELECT @wasabipitch_token AS token"
            )
            self.assertEqual(returned_token, token)

    async def test_a_malformed_token_is_refused(self):
        conn = await self.connect()
        good = encode_token({"workshop": Position(3, 3)})
        await fetch(conn, f"SET @wasabipitch_token = '{good}'")
        await self.assert_fails(
            conn, "SET @wasabipitch_token = 'x'", "1231.*token.*NOT_RUN"
        )
        ((token,),) = await fetch(conn, "SELECT @wasabipitch_token")
        self.assertEqual(token, good)

    async def test_timeline_records_sessions_and_requests(self):
        self.pool.set_handler("INSERT", fail_with(InDoubt("no majority")))
        conn = await self.connect()
        await self.assert_fails(
            conn, f"/* wasabipitch: id=p9 */ {PAYMENT}", "no majority"
        )
        await conn.ensure_closed()
        await self.until(lambda: not self.runner.sessions)
        kinds = [e.kind for e in self.timeline.select(AskEvents())]
        self.assertEqual(
            kinds,
            ["session.opened", "request.sent", "request.failed", "session.closed"],
        )
        failed = self.timeline.select(AskEvents(request="p9"))[-1]
        self.assertEqual((failed.detail, failed.group), ("MAY_HAVE_RUN", "workshop"))
