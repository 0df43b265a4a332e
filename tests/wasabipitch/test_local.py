import asyncmy.errors

from tests.wasabipitch.entry_harness import (
    PASSWORD,
    EntryTestCase,
    fetch,
)


class LocalTests(EntryTestCase):
    async def test_client_library_statements_are_answered_without_a_pool(self):
        conn = await self.connect()
        self.assertEqual(await fetch(conn, "SELECT DATABASE()"), (("workshop",),))
        self.assertEqual(
            await fetch(conn, "SELECT @@version_comment"), (("wasabipitch",),)
        )
        self.assertEqual(await fetch(conn, "SHOW WARNINGS"), ())
        self.assertEqual(
            await fetch(conn, "SHOW DATABASES"), (("ledger",), ("workshop",))
        )
        await fetch(conn, "SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED")
        await fetch(conn, "SET sql_mode='ANSI', time_zone='+07:00'")
        self.assertEqual(await fetch(conn, "SELECT @@time_zone"), (("+07:00",),))
        await conn.ping()
        await conn.select_db("ledger")
        self.assertEqual(await fetch(conn, "SELECT DATABASE()"), (("ledger",),))

        def work():
            with self.connect_blocking(autocommit=False, charset="utf8mb4") as other:
                other.set_charset_collation("utf8mb4", "utf8mb4_bin")
                other.database = "ledger"
                other.ping()
                other.cmd_reset_connection()
                other.cmd_change_user("counter", PASSWORD, "workshop")
                return other.database, other.is_connected()

        self.assertEqual(await self.in_thread(work), ("workshop", True))
        self.assertEqual(self.pool.statements, [])

    async def test_bad_local_statements_leave_the_connection_usable(self):
        conn = await self.connect()
        for sql, code in (
            ("SET GLOBAL sql_mode=''", 1235),
            ("SET no_such_variable=1", 1193),
            ("SET NAMES no_such_charset", 1231),
            ("SET @mine = 1", 1235),
            ("SET = =", 1235),
            ("USE nowhere", 1049),
            ("SET sql_mode='" + "x" * 9000 + "'", 1235),
        ):
            with self.subTest(sql[:40]):
                with self.assertRaisesRegex(asyncmy.errors.Error, "NOT_RUN") as caught:
                    await fetch(conn, sql)
                self.assertEqual(caught.exception.args[0], code)
        await conn.ping()
