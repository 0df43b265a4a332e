import asyncio
import struct
import unittest
from contextlib import AsyncExitStack, aclosing, suppress
from dataclasses import replace

from standins.instance import TargetConfig
from standins.target import Target
from wasabipitch.exceptions import (
    ER_CON_COUNT_ERROR,
    TargetDown,
    TargetError,
    TargetLost,
)
from wasabipitch.models import Address, Position
from wasabipitch.mysql_targets import MysqlConn, MysqlConnector
from wasabipitch.verdict import Verdict

BINARY_CHARSET = 63
VAR_STRING = 253
LONGLONG = 8


class InstanceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        cfg = TargetConfig(name="a", connect_ms=1, primary=True, connections=5)
        self.target = await self.stack.enter_async_context(Target(cfg))
        self.address = Address.parse(self.target.address)
        self.connector = MysqlConnector("pool1")

    async def connect(self) -> MysqlConn:
        conn = await self.connector.connect(self.address, "workshop")
        self.stack.callback(conn.close)
        return conn

    def cut(self, *users: str) -> None:
        self.target.instance.partitioned_users = frozenset(users)
        self.target.instance.changed.notify()


class Relay:
    """Forwards the bytes of one connection until ``break_off`` is called."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname())

    def break_off(self, last_bytes: bytes) -> None:
        """Send the last bytes to the client and close both connections."""
        self._writers[0].write(last_bytes)
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self._target.ip, self._target.port
        )
        self._writers = [writer, target_writer]
        await asyncio.gather(
            self._pass(reader, target_writer), self._pass(target_reader, writer)
        )

    async def _pass(self, reader, writer) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(65536):
                writer.write(data)


class MysqlConnTest(InstanceTest):
    async def test_values_are_returned_as_the_target_sent_them(self) -> None:
        conn = await self.connect()
        answer = await conn.run("SELECT 1 AS n, 'é' AS t, x'00ff27' AS b, NULL AS z")
        self.assertEqual(
            list(answer.rows), [(b"1", "é".encode(), b"\x00\xff\x27", None)]
        )
        self.assertEqual([c.name for c in answer.columns], ["n", "t", "b", "z"])
        self.assertEqual(answer.columns[0].type_code, LONGLONG)
        self.assertEqual(answer.columns[1].type_code, VAR_STRING)
        self.assertEqual(answer.columns[2].charset, BINARY_CHARSET)

    async def test_writes_report_rows_insert_id_and_transaction(self) -> None:
        conn = await self.connect()
        await conn.run(
            "CREATE TABLE jobs (id INTEGER PRIMARY KEY AUTO_INCREMENT, v TEXT)"
        )
        answer = await conn.run("INSERT INTO jobs (v) VALUES ('x')")
        self.assertEqual((answer.affected_rows, answer.last_insert_id), (1, 1))
        answer = await conn.run("UPDATE jobs SET v = 'y'")
        self.assertEqual((answer.affected_rows, answer.last_insert_id), (1, 0))
        self.assertFalse(answer.in_transaction)
        for statement, is_open in (
            ("BEGIN", True),
            ("SELECT * FROM jobs", True),
            ("COMMIT", False),
        ):
            answer = await conn.run(statement)
            self.assertEqual(answer.in_transaction, is_open, statement)
            self.assertEqual(conn.in_transaction, is_open, statement)

    async def test_sql_error_keeps_the_connection(self) -> None:
        conn = await self.connect()
        with self.assertRaises(TargetError) as caught:
            await conn.run("SELECT * FROM nowhere")
        self.assertEqual(
            (caught.exception.code, caught.exception.sqlstate), (1146, "42S02")
        )
        self.assertTrue(conn.usable)
        self.assertEqual((await conn.run("SELECT 1")).rows[0], (b"1",))

    async def test_cancelled_statement_closes_the_connection(self) -> None:
        conn = await self.connect()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await conn.run("SELECT SLEEP(5)")
        self.assertFalse(conn.usable)
        with self.assertRaises(TargetDown):
            await conn.run("SELECT 1")

    async def test_connection_in_use_takes_no_second_statement(self) -> None:
        conn = await self.connect()
        first = asyncio.ensure_future(conn.run("SELECT SLEEP(5)"))
        await asyncio.sleep(0.02)
        with self.assertRaises(TargetDown):
            await conn.run("SELECT 1")
        with self.assertRaises(TargetLost):
            await first

    async def test_broken_connection_reports_may_have_run(self) -> None:
        for garbage in (b"", b"\x05\x00\x00\x63hello"):
            with self.subTest(garbage):
                relay = await self.start_relay()
                conn = await self.connector.connect(relay.address, "")
                running = asyncio.ensure_future(conn.run("SELECT SLEEP(5)"))
                await asyncio.sleep(0.05)
                relay.break_off(garbage)
                with self.assertRaises(TargetLost) as caught:
                    await running
                self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
                self.assertFalse(conn.usable)

    async def test_broken_idle_connection_is_not_usable(self) -> None:
        relay = await self.start_relay()
        conn = await self.connector.connect(relay.address, "")
        self.assertTrue(conn.usable)
        relay.break_off(b"")
        await asyncio.sleep(0.05)
        self.assertFalse(conn.usable)

    async def start_relay(self) -> "Relay":
        relay = Relay(self.address)
        await relay.start()
        self.stack.callback(relay.server.close)
        return relay

    async def test_generations_differ(self) -> None:
        first, second = await self.connect(), await self.connect()
        self.assertNotEqual(first.generation, second.generation)

    async def test_second_statement_in_one_text_is_refused(self) -> None:
        conn = await self.connect()
        with self.assertRaises(TargetError):
            await conn.run("SELECT 1; COMMIT")


class StreamTest(InstanceTest):
    ROWS = 100_000
    SERIES = (
        "WITH RECURSIVE s(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM s "
        f"WHERE n < {ROWS}) SELECT n, 'a job card that is some hundred bytes long, "
        "so that the whole answer comes to about ten megabytes of rows' AS t FROM s"
    )

    async def test_large_answer_comes_in_blocks(self) -> None:
        conn = await self.connect()
        blocks = [block async for block in conn.stream(self.SERIES)]
        self.assertGreater(len(blocks), 10)
        self.assertEqual([bool(b.columns) for b in blocks[:3]], [True, False, False])
        numbers = [int(row[0]) for block in blocks for row in block.rows]
        self.assertEqual(numbers, list(range(1, self.ROWS + 1)))
        self.assertTrue(conn.usable)

    async def test_small_answers_are_one_block(self) -> None:
        conn = await self.connect()
        for statement in ("SELECT 1", "SELECT 1 WHERE 0", "BEGIN"):
            (block,) = [block async for block in conn.stream(statement)]
            whole = await conn.run(statement)
            self.assertEqual(list(block.rows), list(whole.rows))
            self.assertEqual(replace(block, rows=()), replace(whole, rows=()))

    async def test_abandoned_stream_closes_the_connection(self) -> None:
        conn = await self.connect()
        async with aclosing(conn.stream(self.SERIES)) as blocks:
            await anext(blocks)
        self.assertFalse(conn.usable)

    async def test_sql_error_keeps_the_connection(self) -> None:
        conn = await self.connect()
        with self.assertRaises(TargetError):
            await anext(conn.stream("SELECT * FROM nowhere"))
        self.assertTrue(conn.usable)


class ConnectTest(InstanceTest):
    async def test_connect_to_a_closed_port_raises_target_down(self) -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        with self.assertRaisesRegex(TargetDown, f"127.0.0.1:{port}"):
            await self.connector.connect(Address("127.0.0.1", port), "")

    async def test_connect_beyond_the_connection_limit_raises_target_down(self) -> None:
        for _ in range(5):
            await self.connect()
        with self.assertRaisesRegex(TargetDown, "Too many connections") as caught:
            await self.connect()
        # The code distinguishes this refusal from the loss of the instance.
        self.assertEqual(caught.exception.code, ER_CON_COUNT_ERROR)

    async def test_connect_without_an_answer_raises_target_down(self) -> None:
        self.cut("pool1")
        with self.assertRaisesRegex(TargetDown, "within"):
            await self.connect()

    async def test_cancelled_connect_ends_cancelled(self) -> None:
        for iterations in range(60):
            task = asyncio.ensure_future(self.connector.connect(self.address, ""))
            for _ in range(iterations % 12):
                await asyncio.sleep(0)
            self.assertTrue(task.cancel())
            await asyncio.wait([task])
            self.assertTrue(
                task.cancelled(), f"after {iterations % 12} loop iterations"
            )

    async def test_malformed_greeting_raises_target_down(self) -> None:
        async def serve(reader, writer) -> None:
            writer.write(struct.pack("<I", 5) + b"\x0ahttp")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        with self.assertRaises(TargetDown):
            await self.connector.connect(Address("127.0.0.1", port), "")


class MysqlControlTest(InstanceTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.control = self.connector.open_control("a", self.address)
        self.stack.push_async_callback(self.control.close)

    async def test_orders_are_answered_by_the_status(self) -> None:
        status = await self.control.status()
        self.assertEqual((status.name, status.role, status.term), ("a", "primary", 1))
        self.assertTrue(status.is_primary)
        status = await self.control.fence(3)
        self.assertEqual((status.accepted, status.fence), (True, 3))
        self.assertFalse(status.is_primary)
        refused = await self.control.promote(2)
        self.assertFalse(refused.accepted)
        self.assertIn("fence 3", refused.reason)
        status = await self.control.promote(3)
        self.assertEqual((status.term, status.position.term), (3, 3))
        status = await self.control.follow(Address("127.0.0.1", 1), 4)
        self.assertEqual((status.role, status.leader), ("replica", "127.0.0.1:1"))
        self.assertTrue((await self.control.join(4)).accepted)

    async def test_wait_does_not_hold_up_the_status(self) -> None:
        waiting = asyncio.ensure_future(self.control.wait(Position(1, 2), 5.0))
        await asyncio.sleep(0.05)
        await self.control.status()
        self.assertFalse(waiting.done())
        conn = await self.connect()
        await conn.run("CREATE TABLE t (n INTEGER)")
        self.assertEqual((await waiting).position, Position(1, 2))

    async def test_timeout_closes_the_connection_and_the_next_call_reopens_it(self):
        await self.control.status()
        self.cut("pool1")
        with self.assertRaisesRegex(TargetLost, "instance a gave no answer"):
            await self.control.status(0.05)
        self.cut()
        await self.control.status()

    async def test_wait_that_times_out_returns_the_status(self) -> None:
        status = await self.control.wait(Position(9, 9), 0.05)
        self.assertEqual(status.position, Position(1, 1))
