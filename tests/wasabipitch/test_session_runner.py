import asyncio

import asyncmy.errors

from tests.wasabipitch.entry_harness import (
    DEPLOYMENT,
    PAYMENT,
    EntryCase,
    break_link,
    fail_with,
    fetch,
    never,
    one_row,
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


class TransactionTests(EntryCase):
    async def test_all_of_it_goes_to_one_pool_under_one_session(self):
        conn, other = await self.connect(), await self.connect()
        await conn.begin()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        self.links.reverse()
        await fetch(conn, "SELECT id FROM t")
        await fetch(other, "SELECT id FROM t")
        await conn.commit()
        kinds = [m.kind for m in self.pool.asked]
        self.assertEqual(kinds, [Kind.BEGIN, Kind.WRITE, Kind.READ, Kind.COMMIT])
        self.assertEqual(len({m.session for m in self.pool.asked}), 1)
        self.assertEqual(
            [m.in_transaction for m in self.pool.asked], [False, True, True, True]
        )
        self.assertNotEqual(self.spare.asked[0].session, self.pool.asked[0].session)

    async def test_an_implicit_begin_has_its_statements_deadline(self):
        conn = await self.connect(autocommit=False)
        hint = "/* wasabipitch: id=a, class=lookup, deadline_ms=700 */"
        await fetch(conn, f"{hint} INSERT INTO t VALUES (1)")
        begin = self.pool.asked[0]
        self.assertEqual((begin.request_id, begin.request_class), ("", "lookup"))
        self.assertLessEqual(begin.deadline_ms, 700)

    async def test_autocommit_off_begins_and_on_commits(self):
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

    async def test_an_error_that_keeps_it_open(self):
        error = TargetError("syntax", code=1064, sqlstate="42000")
        self.pool.answer("BAD", fail_with(error, in_transaction=True))
        conn = await self.connect()
        await conn.begin()
        await self.assert_fails(conn, "BAD", "1064")
        await conn.commit()
        self.assertEqual(self.pool.statements[-1], "COMMIT")

    async def test_after_its_loss_only_its_end_is_accepted(self):
        error = TransactionLost("the target is gone")
        self.pool.answer("UPDATE", fail_with(error))
        for end in ("ROLLBACK", "COMMIT", "BEGIN"):
            with self.subTest(end):
                conn = await self.connect()
                await conn.begin()
                await self.assert_fails(conn, "UPDATE t SET a = 1", "target is gone")
                asked = len(self.pool.statements)
                await self.assert_fails(conn, "INSERT INTO t VALUES (1)", "rolled back")
                await self.assert_fails(
                    conn, "SELECT id FROM t", "rolled back.*NOT_RUN"
                )
                if end == "COMMIT":
                    await self.assert_fails(conn, end, "rolled back.*NOT_RUN")
                else:
                    await fetch(conn, end)
                begun = ["BEGIN"] if end == "BEGIN" else []
                self.assertEqual(self.pool.statements[asked:], begun)
                await fetch(conn, "INSERT INTO t VALUES (1)")

    async def test_a_broken_link_loses_it(self):
        conn = await self.connect()
        await conn.begin()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        await self.links[0].close()
        await asyncio.sleep(MIN_RECONNECT_S)
        await fetch(await self.connect(), "SELECT id FROM t")
        self.assertTrue(self.links[0].connected)
        await self.assert_fails(conn, "INSERT INTO t VALUES (2)", "broke.*NOT_RUN")
        await self.assert_fails(conn, "COMMIT", "rolled back.*NOT_RUN")
        self.assertNotIn("COMMIT", self.pool.statements)

    async def test_no_answer_to_a_commit_is_in_doubt(self):
        self.pool.answer("COMMIT", break_link)
        conn = await self.connect()
        await conn.begin()
        await self.assert_fails(conn, "COMMIT", "verdict: MAY_HAVE_RUN")
        await fetch(conn, "INSERT INTO t VALUES (1)")

    async def test_no_answer_to_a_commit_under_an_id_is_settled_elsewhere(self):
        async def settle(exchange):
            return Result(repeated=True, position=Position(2, 7))

        self.pool.answer("COMMIT", break_link)
        self.spare.answer("COMMIT", settle)
        conn = await self.connect()
        await conn.begin()
        await fetch(conn, "/* wasabipitch: id=t-1 */ INSERT INTO t VALUES (1)")
        self.links.reverse()
        await conn.commit()
        question = self.spare.asked[-1]
        self.assertEqual((question.request_id, question.in_doubt), ("t-1", True))
        self.assertFalse(question.in_transaction)

    async def test_no_answer_within_it_rolls_it_back(self):
        self.pool.answer("UPDATE", never)
        self.pool.answer("ALTER", never)
        for statement, verdict in (
            ("UPDATE t SET a = 1", "NOT_RUN"),
            ("ALTER TABLE t ADD a INT", "MAY_HAVE_RUN"),
        ):
            conn = await self.connect()
            await conn.begin()
            session = self.pool.asked[-1].session
            sql = f"/* wasabipitch: deadline_ms=50 */ {statement}"
            await self.assert_fails(conn, sql, f"verdict: {verdict}")
            await self.until(lambda ended=session: ended in self.pool.ended)
            await conn.rollback()
            await conn.begin()
            self.assertNotEqual(self.pool.asked[-1].session, session)

    async def test_no_answer_to_a_begin_is_not_run(self):
        self.pool.answer("BEGIN", never)
        conn = await self.connect()
        sql = "/* wasabipitch: deadline_ms=50 */ BEGIN"
        await self.assert_fails(conn, sql, "verdict: NOT_RUN")
        await self.until(lambda: self.pool.ended)

    async def test_a_caller_that_leaves_ends_it(self):
        for leave in ("close", "reset"):
            conn = await self.connect()
            await conn.begin()
            session = self.pool.asked[-1].session
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
                session = self.pool.asked[-1].session
            await self.until(lambda ended=session: ended in self.pool.ended)

    async def test_only_begin_opens_one(self):
        async def answer(exchange):
            return Result(affected_rows=1, in_transaction=True)

        self.pool.answer("INSERT", answer)
        conn = await self.connect()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        self.assertEqual(conn.server_status & 1, 0)
        await fetch(conn, "INSERT INTO t VALUES (1)")
        self.assertFalse(self.pool.asked[-1].in_transaction)

    async def test_an_id_names_the_whole_of_it(self):
        conn = await self.connect()
        await fetch(conn, "/* wasabipitch: id=t1 */ BEGIN")
        await fetch(conn, PAYMENT)
        await conn.commit()
        await self.assert_fails(conn, PAYMENT, "non-idempotent")

    async def test_a_caller_that_leaves_ends_its_running_request(self):
        cancelled = asyncio.Event()

        async def wait(exchange):
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        self.pool.answer("SELECT", wait)
        conn = await self.connect()
        reading = asyncio.create_task(fetch(conn, "SELECT id FROM t"))
        await self.until(lambda: self.pool.asked)
        conn.close()
        with self.assertRaises(asyncmy.errors.Error):
            await reading
        async with asyncio.timeout(5):
            await cancelled.wait()
        await self.until(lambda: not self.runner.sessions)

    async def test_no_change_of_database_within_it(self):
        conn = await self.connect()
        await conn.begin()
        await self.assert_fails(conn, "USE ledger", "a transaction is open.*NOT_RUN")
        await fetch(conn, "USE workshop")


class AdmissionTests(EntryCase):
    async def test_classes_come_from_hints_and_shapes(self):
        self.pool.answer("SELECT", one_row)
        conn = await self.connect()
        await fetch(conn, "/* wasabipitch: class=lookup */ SELECT id FROM t")
        request = self.pool.asked[-1]
        self.assertEqual(request.request_class, "lookup")
        self.assertEqual(request.statement, "SELECT id FROM t")
        self.assertLessEqual(request.deadline_ms, 2000)
        await fetch(
            conn, "/* wasabipitch: id=a */ insert into payments values (%s, 5)", 3
        )
        self.assertEqual(self.pool.asked[-1].request_class, "payment")

    async def test_refusals_are_not_run(self):
        conn = await self.connect()
        await self.assert_fails(
            conn, "/* wasabipitch: class=x */ SELECT 1 FROM t", "class 'x' is not"
        )
        await self.assert_fails(conn, PAYMENT, "non-idempotent.*verdict: NOT_RUN")
        await self.assert_fails(
            conn, "SELECT 1; SELECT 2", "several statements.*NOT_RUN"
        )
        bare = await self.connect(db=None)
        await self.assert_fails(bare, "SELECT 1 FROM t", "1046.*no database.*NOT_RUN")
        self.assertEqual(self.pool.asked, [])

    async def test_nothing_is_served_without_a_configuration(self):
        conn = await self.connect()
        self.runner.catalogue = Catalogue()
        await self.assert_fails(conn, "SELECT 1 FROM t", "no configuration.*NOT_RUN")

    async def test_a_group_that_is_no_longer_declared(self):
        conn = await self.connect()
        other = await self.connect()
        await other.begin()
        rest = Deployment("test", DEPLOYMENT.groups[1:], DEPLOYMENT.classes)
        self.configuration.callback(rest, 2)
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
        hints = [(m.request_id, m.request_class) for m in self.pool.asked]
        self.assertEqual(hints, [("p-False", "payment"), ("p-True", "payment")])
        self.assertTrue(all(m.deadline_ms <= 700 for m in self.pool.asked))


class FloorTests(EntryCase):
    async def test_floors_rise_with_results_and_roam_by_token(self):
        conn = await self.connect()
        await fetch(conn, "INSERT INTO t VALUES (1)")
        await fetch(conn, "SELECT id FROM t")
        self.assertEqual([m.floor for m in self.pool.asked], [None, Position(1, 1)])
        ((token,),) = await fetch(conn, "SELECT @@wasabipitch_token")
        for statement in (
            "SET @wasabipitch_token = %s",
            "SET wasabipitch_token=%s",
            "SET SESSION wasabipitch_token = %s",
        ):
            other = await self.connect()
            await fetch(other, statement, (token,))
            await fetch(other, "SELECT id FROM t")
            self.assertEqual(self.pool.asked[-1].floor, Position(1, 1))
            ((again,),) = await fetch(other, "SELECT @wasabipitch_token AS token")
            self.assertEqual(again, token)

    async def test_a_malformed_token_is_refused(self):
        conn = await self.connect()
        good = encode_token({"workshop": Position(3, 3)})
        await fetch(conn, f"SET @wasabipitch_token = '{good}'")
        await self.assert_fails(
            conn, "SET @wasabipitch_token = 'x'", "1231.*token.*NOT_RUN"
        )
        ((token,),) = await fetch(conn, "SELECT @wasabipitch_token")
        self.assertEqual(token, good)

    async def test_the_time_line_tells_of_sessions_and_requests(self):
        self.pool.answer("INSERT", fail_with(InDoubt("no majority")))
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
