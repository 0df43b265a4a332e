import asyncio
import contextlib
import random
import struct
import unittest

import asyncmy.errors
import mysql.connector
from mysql_mimic.errors import MysqlError
from mysql_mimic.types import Capabilities

from tests.wasabipitch.entry_harness import (
    EntryTestCase,
    fetch,
    make_handshake,
    make_packet,
    read_packet,
)
from wasabipitch.logins import parse_change_user, parse_handshake_response
from wasabipitch.parameters import PreparedStatement, parse_execute, parse_query


class AccessTests(EntryTestCase):
    settings = {"max_connections": 4, "max_statement_bytes": 2048}

    async def assert_refused(self, code: int, **options):
        with self.assertRaises(asyncmy.errors.Error) as caught:
            await self.connect(**options)
        self.assertEqual(caught.exception.args[0], code)

    async def test_passwords(self):
        await self.assert_refused(1045, password="wrong")
        await self.assert_refused(1045, password="")
        await self.assert_refused(1045, user="nobody", password="")
        await self.assert_refused(1045, user="open", password="any")
        await self.assert_refused(1049, db="nowhere")
        await self.connect(user="open", password="", db=None)
        self.assertEqual(len(self.runner.sessions), 1)

    async def test_nothing_is_served_after_a_failed_password(self):
        reader, writer = await self.open_socket()
        await read_packet(reader)
        writer.write(make_handshake(b"counter", b"x" * 20))
        writer.write(make_packet(0, b"\x03INSERT INTO t VALUES (1)"))
        self.assertEqual((await read_packet(reader))[:1], b"\xff")
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.pool.statements, [])

    async def test_a_failed_change_of_user_ends_the_connection(self):
        conn = await self.connect(user="open", password="")

        def work():
            with self.connect_blocking() as other:
                try:
                    other.cmd_change_user("open", "wrong", "workshop")
                except mysql.connector.Error as exc:
                    return exc.errno, other.is_connected()

        self.assertEqual(await self.in_thread(work), (1045, False))
        await conn.ping()

    async def test_connection_limits(self):
        for _ in range(2):
            last = await self.connect(user="open", password="")
        await self.assert_refused(1040, user="open", password="")
        for _ in range(2):
            await self.connect()
        await self.assert_refused(1040)
        await last.ensure_closed()
        await self.until(lambda: len(self.runner.sessions) == 3)
        await self.connect(user="open", password="")

    async def test_a_statement_over_the_limit_leaves_the_connection_usable(self):
        conn = await self.connect()
        for size in (3000, 70_000, 17_000_000):
            with self.assertRaises(asyncmy.errors.Error) as caught:
                await fetch(conn, f"SELECT '{'x' * size}'")
            self.assertEqual(caught.exception.args[0], 1153)
        await conn.ping()
        self.assertEqual(self.pool.statements, [])

    async def test_malformed_packets_end_only_their_connection(self):
        conn = await self.connect()
        packets = (
            make_packet(1, b"\x00" * 10),
            make_packet(1, struct.pack("<IIB23x", 0x0A8200, 9, 45) + b"no end"),
            make_packet(7, b"\x03SELECT 1"),
            b"\x01",
            make_packet(1, b"\xff" * 200),
        )
        for packet in packets:
            with self.subTest(packet[:40]):
                reader, writer = await self.open_socket()
                await read_packet(reader)
                writer.write(packet)
                writer.write_eof()
                async with asyncio.timeout(5):
                    await reader.read()
                writer.close()
        await conn.ping()
        self.assertEqual(len(self.runner.sessions), 1)

    async def test_an_unsupported_auth_plugin_is_switched(self):
        reader, writer = await self.open_socket()
        await read_packet(reader)
        writer.write(make_handshake(b"open", b"x" * 32, b"caching_sha2_password"))
        self.assertEqual((await read_packet(reader))[:6], b"\xfemysql")
        writer.write(make_packet(3, b""))
        self.assertEqual((await read_packet(reader))[:1], b"\x00")

    async def test_malformed_commands_end_only_their_connection(self):
        other = await self.connect()
        commands = (b"", b"\x03\x05\x01", b"\x03\xfe", b"\x03\x01\x01\x00\x01", b"\xee")
        for command in (*commands, b"\x17\x09\x00", b"\x17\x01\x00\x00\x00\x00"):
            with self.subTest(command):
                reader, writer = await self.open_socket()
                await read_packet(reader)
                writer.write(make_handshake(b"open", b""))
                self.assertEqual((await read_packet(reader))[:1], b"\x00")
                writer.write(make_packet(0, b"\x16SELECT ?"))
                writer.write(make_packet(0, command))
                writer.write_eof()
                async with asyncio.timeout(5):
                    self.assertIn(b"\xff", await reader.read())
                writer.close()
        await other.ping()

    async def test_prepared_statements_are_bounded(self):
        def work():
            with self.connect_blocking() as conn:
                for _ in range(256):
                    conn.cmd_stmt_prepare(b"SELECT ?")
                try:
                    conn.cmd_stmt_prepare(b"SELECT ?")
                except mysql.connector.Error as exc:
                    conn.ping()
                    return exc.errno

        self.assertEqual(await self.in_thread(work), 1461)

    async def test_long_data_is_bounded(self):
        def work():
            with self.connect_blocking() as conn:
                number = conn.cmd_stmt_prepare(b"SELECT ?")["statement_id"]
                for _ in range(3):
                    conn.cmd_stmt_send_long_data(number, 0, _Blob(b"x" * 1000))
                try:
                    conn.cmd_stmt_execute(number, (1,), [None])
                except mysql.connector.Error as exc:
                    return exc.errno

        self.assertEqual(await self.in_thread(work), 1153)


class _Blob:
    def __init__(self, data: bytes) -> None:
        self._data = data

    def read(self, size: int) -> bytes:
        data, self._data = self._data[:size], self._data[size:]
        return data


class ParserTests(unittest.TestCase):
    def test_arbitrary_bytes_are_parsed_or_rejected(self):
        rng = random.Random(5)
        marker_bytes = [0, 1, 2, 5, 8, 0xFB, 0xFC, 0xFD, 0xFE, 0xFF]
        all_capabilities = Capabilities(0xFFFFFFFF)
        for _ in range(3000):
            body = bytes(
                rng.choices([*marker_bytes, rng.randrange(256)], k=rng.randrange(60))
            )
            fixed_fields = struct.pack(
                "<IIB23x", rng.choice([2**32 - 1, 0x0A8200]), 9, 45
            )
            statement = PreparedStatement(1, ["SELECT ", ", ", ""])
            with contextlib.suppress(MysqlError):
                parse_handshake_response(fixed_fields + body, all_capabilities)
            with contextlib.suppress(MysqlError):
                parse_change_user(body, all_capabilities, "utf8")
            with contextlib.suppress(MysqlError):
                parse_query(body, all_capabilities, "utf8")
            with contextlib.suppress(MysqlError):
                parse_execute(b"\0\1\0\0\0" + body, statement, all_capabilities, "utf8")
