import asyncio
import datetime
from decimal import Decimal

import asyncmy.errors
import mysql.connector

from tests.wasabipitch.entry_harness import (
    EntryTestCase,
    fetch,
)
from wasabipitch.contracts import pack_rows
from wasabipitch.exceptions import TargetError
from wasabipitch.messages import Result, Rows
from wasabipitch.models import Column, Position

COLUMNS = (
    Column("id", 8, 63),
    Column("name", 253),
    Column("price", 246, 63),
    Column("rate", 5, 63),
    Column("day", 10, 63),
    Column("at", 12, 63),
    Column("span", 11, 63),
    Column("photo", 252, 63),
    Column("tiny", 1, 63),
)
TEXTS = [
    b"-9007199254740993",
    "จักรยาน".encode(),
    b"12.50",
    b"0.25",
    b"2026-03-04",
    b"2026-03-04 05:06:07.000089",
    b"30:15:01",
    b"\x00\xff",
    b"200",
]
VALUES = (
    -9007199254740993,
    "จักรยาน",
    Decimal("12.50"),
    0.25,
    datetime.date(2026, 3, 4),
    datetime.datetime(2026, 3, 4, 5, 6, 7, 89),
    datetime.timedelta(hours=30, minutes=15, seconds=1),
    b"\x00\xff",
    200,
)
NULLS = (None,) * len(COLUMNS)


async def answer_types(exchange):
    return Result(COLUMNS, pack_rows([TEXTS, NULLS]), position=Position(1, 1))


class AnswerTests(EntryTestCase):
    async def test_types_and_nulls_in_text(self):
        self.pool.set_handler("SELECT", answer_types)
        conn = await self.connect()
        rows = await fetch(conn, "SELECT * FROM jobs")
        self.assertEqual(rows, (VALUES, NULLS))

    async def test_types_and_nulls_in_binary(self):
        self.pool.set_handler("SELECT", answer_types)

        def work():
            with self.connect_blocking() as conn:
                cursor = conn.cursor(prepared=True)
                cursor.execute("SELECT * FROM jobs WHERE a = ?", (1,))
                return cursor.fetchall()

        rows = await self.in_thread(work)
        self.assertEqual(rows[0], VALUES)
        self.assertEqual(rows[1], NULLS)

    async def test_parameters_reach_the_target_as_literals(self):
        values = (
            -5,
            "it's ? \\",
            None,
            1.5,
            Decimal("2.50"),
            datetime.datetime(2026, 1, 2, 3, 4, 5),
            datetime.timedelta(hours=30),
            b"\xff\x00",
        )

        def work():
            with self.connect_blocking() as conn:
                cursor = conn.cursor(prepared=True)
                placeholders = ", ".join("?" * len(values))
                cursor.execute(f"INSERT INTO t VALUES ({placeholders}, '?')", values)
                cursor.execute(f"INSERT INTO t VALUES ({placeholders}, '?')", values)

        await self.in_thread(work)
        self.assertEqual(
            self.pool.statements,
            [
                "INSERT INTO t VALUES (-5, 'it''s ? \\\\', NULL, 1.5, 2.50,"
                " '2026-01-02 03:04:05', '30:00:00', x'ff00', '?')"
            ]
            * 2,
        )

    async def test_counts_and_flags(self):
        async def insert(exchange):
            return Result(affected_rows=3, last_insert_id=70_000)

        self.pool.set_handler("INSERT", insert)
        conn = await self.connect()
        cursor = conn.cursor()
        self.assertEqual(await cursor.execute("INSERT INTO t VALUES (1)"), 3)
        self.assertEqual(cursor.lastrowid, 70_000)
        self.assertEqual(await fetch(conn, "SELECT LAST_INSERT_ID()"), ((70_000,),))
        self.assertEqual(conn.server_status & 3, 2)
        await conn.begin()
        self.assertEqual(conn.server_status & 3, 3)
        await conn.rollback()
        self.assertEqual(conn.server_status & 3, 2)
        await conn.autocommit(False)
        self.assertEqual(conn.server_status & 3, 0)

    async def test_a_target_error_keeps_its_code_and_state(self):
        async def refuse(exchange):
            raise TargetError("Duplicate entry", code=1062, sqlstate="23000")

        self.pool.set_handler("INSERT", refuse)

        def work():
            with self.connect_blocking() as conn:
                try:
                    conn.cursor().execute("INSERT INTO t VALUES (1)")
                except mysql.connector.IntegrityError as exc:
                    return exc.errno, exc.sqlstate, exc.msg

        code, state, text = await self.in_thread(work)
        self.assertEqual((code, state), (1062, "23000"))
        self.assertTrue(text.endswith("Duplicate entry (verdict: NOT_RUN)"))

    async def test_a_large_result_streams_without_blocking_the_event_loop(self):
        block = pack_rows([[b"%d" % i, b"x" * 96] for i in range(10_000)])
        columns = (Column("id", 8, 63), Column("text", 253))

        async def stream(exchange):
            await exchange.send(Result(columns, block), more=True)
            for _ in range(8):
                await exchange.send(Rows(block), more=True)
            return Rows(block)

        self.pool.set_handler("SELECT", stream)
        other = await self.connect()

        def work(prepared):
            with self.connect_blocking() as conn:
                cursor = conn.cursor(prepared=prepared)
                cursor.execute("SELECT * FROM big")
                return sum(len(text) for _, text in cursor)

        for prepared in (False, True):
            reading = asyncio.create_task(self.in_thread(work, prepared))
            pings = 0
            while not reading.done():
                await other.ping()
                pings += 1
            self.assertEqual(reading.result(), 9_600_000)
            self.assertGreater(pings, 20)

    async def test_a_truncated_result_set_is_an_error(self):
        async def break_off(exchange):
            await exchange.send(
                Result((Column("id", 8),), pack_rows([[b"1"]])), more=True
            )
            exchange.connection.close()

        self.pool.set_handler("SELECT", break_off)
        conn = await self.connect()
        with self.assertRaisesRegex(asyncmy.errors.Error, "verdict: MAY_HAVE_RUN"):
            await fetch(conn, "SELECT * FROM jobs")
        await conn.ping()

    async def test_a_caller_with_another_character_set(self):
        async def name(exchange):
            return Result((Column("name", 253),), pack_rows([["é".encode()]]))

        self.pool.set_handler("SELECT", name)
        conn = await self.connect(charset="latin1")
        self.assertEqual(await fetch(conn, "SELECT 'é' FROM t"), (("é",),))
        self.assertEqual(self.pool.statements, ["SELECT 'é' FROM t"])
