"""A test case that runs an entry in the test's process.

The entry listens on a real socket and reaches fake pools over real links.
"""

import asyncio
import contextlib
import hashlib
import struct
import unittest

import asyncmy
import asyncmy.errors
import mysql.connector

from wasabipitch.contracts import pack_rows
from wasabipitch.deployment import Deployment, Group, Instance, RequestClass
from wasabipitch.dispatch import Dispatcher
from wasabipitch.events import Clock, Timeline
from wasabipitch.frontend import Frontend
from wasabipitch.links import Link, describe_failure
from wasabipitch.linkserver import Exchange, LinkServer
from wasabipitch.messages import EndSession, Execute, Hello, Kind, Message, Result
from wasabipitch.metrics import StatsdMetrics
from wasabipitch.models import Address, Column, Host, Position
from wasabipitch.session_runner import SessionRunner
from wasabipitch.settings import Caller, EntrySettings

LOOPBACK_ANY_PORT = Address("127.0.0.1", 0)
HOST = Host("entry-1", "entry", "127.0.0.1:0", "rome")
PASSWORD = "pass word"
PAYMENT = "INSERT INTO payments VALUES (1, 2)"
# Protocol 4.1, secure connection, authentication plugins, query attributes.
CAPABILITIES = 0x080A8200
PLUGIN = b"mysql_native_password"


def hash_password(password: str) -> str:
    return hashlib.sha1(hashlib.sha1(password.encode()).digest()).hexdigest()


def make_group(name: str, port: int) -> Group:
    return Group(name, (Instance(f"{name}-1", f"127.0.0.1:{port}", "rome"),))


DEPLOYMENT = Deployment(
    name="test",
    groups=(make_group("workshop", 1), make_group("ledger", 2)),
    classes=(
        RequestClass(
            name="payment",
            idempotent=False,
            statements=("INSERT INTO payments VALUES (?, ?)",),
        ),
        RequestClass(name="lookup", max_age_s=5.0, deadline_s=2.0),
    ),
)


class FixedConfiguration:
    """A configuration source whose changes the test makes through ``callback``."""

    revision = 1

    def __init__(self, deployment: Deployment | None) -> None:
        self.current = deployment
        self.callback = None

    def subscribe(self, callback) -> None:
        self.callback = callback
        if self.current is not None:
            callback(self.current, self.revision)


class FakePool:
    """A pool that records messages and answers them by handlers of the test.

    A handler answers the statements that begin with its prefix. Other statements
    get a successful result, and the pool tracks the transaction of each session.
    """

    def __init__(self) -> None:
        self.received: list[Message] = []
        self.handlers: dict[str, object] = {}
        self.server = LinkServer(self._handle, Clock())
        self.address = LOOPBACK_ANY_PORT
        self._open: set[str] = set()
        self._index = 0

    async def start(self) -> None:
        self.address = await self.server.start(LOOPBACK_ANY_PORT)

    @property
    def statements(self) -> list[str]:
        return [m.statement for m in self.received if isinstance(m, Execute)]

    @property
    def ended_sessions(self) -> list[str]:
        return [m.session for m in self.received if isinstance(m, EndSession)]

    def set_handler(self, prefix: str, handler) -> None:
        self.handlers[prefix] = handler

    async def _handle(self, exchange: Exchange) -> Message | None:
        message = exchange.message
        self.received.append(message)
        if not isinstance(message, Execute):
            return Result()
        for prefix, handler in self.handlers.items():
            if message.statement.startswith(prefix):
                return await handler(exchange)
        return self.default(message)

    def default(self, message: Execute) -> Result:
        if message.kind is Kind.BEGIN:
            self._open.add(message.session)
        elif message.kind in (Kind.COMMIT, Kind.ROLLBACK):
            self._open.discard(message.session)
        elif message.kind is Kind.WRITE:
            self._index += 1
        is_open = message.session in self._open
        position = Position(1, self._index)
        return Result(affected_rows=1, in_transaction=is_open, position=position)


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts an entry that has two pools, and acts as its router.

    Requests are sent to ``pool`` first and then to ``spare``, in the order of
    ``links``.
    """

    settings: dict = {}

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.pool, self.spare = FakePool(), FakePool()
        self.timeline = Timeline("entry-1")
        self.links = [await self.connect_pool(p) for p in (self.pool, self.spare)]
        self.metrics = StatsdMetrics()
        self.suspected_links: list[Link] = []
        dispatcher = Dispatcher(self, self.metrics)
        self.configuration = FixedConfiguration(DEPLOYMENT)
        self.runner = SessionRunner(
            HOST, "i1", self.configuration, dispatcher, self.timeline, self.metrics
        )
        self.frontend = Frontend(self.runner, self.make_settings(), self.metrics)
        self.address = await self.frontend.start(LOOPBACK_ANY_PORT)
        self.stack.push_async_callback(dispatcher.close)
        self.stack.push_async_callback(self.frontend.stop, 1.0)

    def make_settings(self) -> EntrySettings:
        callers = (
            Caller("counter", hash_password(PASSWORD)),
            Caller("open", max_connections=2),
        )
        return EntrySettings(
            host="entry-1",
            data_centre="rome",
            platform="127.0.0.1:1",
            **({"callers": callers} | self.settings),
        )

    async def route(self, group: str) -> list[Link]:
        return self.links

    def suspect(self, link: Link) -> None:
        self.suspected_links.append(link)

    async def connect_pool(self, pool: FakePool) -> Link:
        await pool.start()
        self.stack.push_async_callback(pool.server.close)
        link = Link(pool.address, Hello(HOST, "i1"), Clock())
        self.stack.push_async_callback(link.close)
        return link

    async def connect(self, **options):
        options = {
            "user": "counter",
            "password": PASSWORD,
            "db": "workshop",
            "autocommit": True,
        } | options
        conn = await asyncmy.connect(
            host=self.address.ip, port=self.address.port, **options
        )
        self.stack.callback(conn.close)
        return conn

    def connect_blocking(self, **options):
        options = {
            "user": "counter",
            "password": PASSWORD,
            "database": "workshop",
            "autocommit": True,
            "use_pure": True,
            "ssl_disabled": True,
        } | options
        return mysql.connector.connect(
            host=self.address.ip, port=self.address.port, **options
        )

    @property
    def address_pair(self) -> tuple[str, int]:
        return self.address.ip, self.address.port

    async def open_socket(self):
        reader, writer = await asyncio.open_connection(*self.address_pair)
        self.stack.callback(writer.close)
        return reader, writer

    async def until(self, condition) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)

    async def assert_fails(self, conn, sql: str, pattern: str) -> None:
        with self.assertRaisesRegex(asyncmy.errors.Error, pattern):
            await fetch(conn, sql)

    async def in_thread(self, function, *args):
        async with asyncio.timeout(20):
            return await asyncio.to_thread(function, *args)


def make_packet(sequence: int, payload: bytes) -> bytes:
    return struct.pack("<I", len(payload) | sequence << 24) + payload


async def read_packet(reader: asyncio.StreamReader) -> bytes:
    (word,) = struct.unpack("<I", await reader.readexactly(4))
    return await reader.readexactly(word & 0xFFFFFF)


def make_handshake(user: bytes, scramble: bytes, plugin: bytes = PLUGIN) -> bytes:
    head = struct.pack("<IIB23x", CAPABILITIES, 2**24, 45)
    secret = bytes([len(scramble)]) + scramble
    return make_packet(1, head + user + b"\0" + secret + plugin + b"\0")


async def fetch(conn, sql: str, args=None):
    async with conn.cursor() as cursor:
        await cursor.execute(sql, args)
        return await cursor.fetchall()


def fail_with(exc, in_transaction=False):
    async def answer(exchange):
        return describe_failure(exc, in_transaction)

    return answer


async def break_link(exchange):
    exchange.connection.close()


async def never_answer(exchange):
    await asyncio.Event().wait()


async def answer_one_row(exchange):
    return Result((Column("id", 8),), pack_rows([[b"7"]]), position=Position(4, 2))
