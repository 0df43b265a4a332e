"""MySQL server of one instance, based on mysql-mimic."""

import asyncio
import contextlib
import logging
import struct
from collections.abc import Sequence
from typing import Any

from mysql_mimic import packets
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.constants import KillKind
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import MysqlError
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.server import MysqlServer
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ColumnType

from standins import prepared
from standins.controls import Controls
from standins.exceptions import (
    ACCESS_DENIED,
    DEFAULT_SQLSTATE,
    SQLSTATES,
    TOO_MANY_CONNECTIONS,
    UNKNOWN_ERROR,
    SqlError,
)
from standins.instance import Instance
from standins.replication import REPLICATION_PROGRAM
from standins.session import TargetSession

# Exempt from network partitions and from the connection limit.
TEST_USER = "harness"
MAX_PACKET_BYTES = 0xFFFFFF
SEND_BATCH_ROWS = 1_000  # sent before the event loop runs other tasks
STOP_TIMEOUT_S = 5.0
STOP_POLL_S = 0.02
# A killed connection still sends a last packet, which can wait for a partition to end.
KILL_ATTEMPTS = 3

logger = logging.getLogger(__name__)


class DisconnectAwareReader(asyncio.StreamReader):
    """A stream reader that cancels the statement of a client that disconnects.

    Without it, a disconnect would be noticed only after the statement, which keeps its
    slot and its locks until then.

    Attributes:
        connection: Connection to notify; None until it is set up.
    """

    def __init__(self) -> None:
        super().__init__()
        self.connection: TargetConnection | None = None

    def feed_eof(self) -> None:
        """Handle the end of the stream; the transport calls this."""
        super().feed_eof()
        if self.connection is not None:
            self.connection.handle_disconnect()

    def set_exception(self, exc: Exception) -> None:
        """Handle a connection error; the transport calls this."""
        super().set_exception(exc)
        if self.connection is not None:
            self.connection.handle_disconnect()


class PartitionableStream:
    """A packet stream that carries nothing during a simulated network partition.

    Packets are held back and go on after the partition.

    Args:
        inner: Stream that frames the packets.
        instance: Instance whose `partitioned_users` are separated from it.

    Attributes:
        user: User of the connection; empty before its handshake and for the test user.
    """

    def __init__(self, inner: MysqlStream, instance: Instance) -> None:
        self._inner = inner
        self._instance = instance
        self.user = ""

    @property
    def is_partitioned(self) -> bool:
        """Whether a partition separates the user of this stream from the instance."""
        return self.user in self._instance.partitioned_users

    async def read(self) -> bytes:
        """Read one packet, which arrives after a partition if there is one."""
        data = await self._read_packet()
        await self.wait_until_reachable()
        return data

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Write one packet, after a partition if there is one.

        Raises:
            ConnectionClosed: The connection was closed in the meantime.
        """
        await self._wait_writable()
        await self._inner.write(data, drain)

    def write_many(self, items: Sequence[bytes]) -> None:
        """Add several packets to the write buffer."""
        self._inner.write_many(items)

    def write_text_rows(self, rows: Sequence[Any], columns: Sequence[Any]) -> None:
        """Add rows of a result set to the write buffer."""
        self._inner.write_text_rows(rows, columns)

    async def drain(self) -> None:
        """Send the write buffer, after a partition if there is one."""
        await self._wait_writable()
        await self._inner.drain()

    def reset_seq(self) -> None:
        """Restart the packet sequence numbers for a new command."""
        self._inner.reset_seq()

    async def wait_until_reachable(self) -> None:
        """Wait for the end of a partition."""
        if self.is_partitioned:
            await self._instance.changed.wait_for(lambda: not self.is_partitioned)

    async def _wait_writable(self) -> None:
        await self.wait_until_reachable()
        if self._inner.writer.is_closing():
            raise ConnectionClosed

    async def _read_packet(self) -> bytes:
        # MysqlStream.read fails on a header that arrives in more than one segment.
        data = b""
        while True:
            try:
                header = await self._inner.reader.readexactly(4)
                size = struct.unpack("<I", header)[0] & MAX_PACKET_BYTES
                next(self._inner.seq)
                data += await self._inner.reader.readexactly(size)
            except asyncio.IncompleteReadError:
                raise ConnectionClosed from None
            if size < MAX_PACKET_BYTES:
                return data


class TargetConnection(Connection):
    """A connection that completes mysql-mimic where its packets differ from MySQL's.

    OK packets carry counts and ids, errors their SQLSTATE, and result sets are sent
    in batches.

    Attributes:
        instance: Instance of the connection; set after construction.
        counts_against_limit: Whether the connection limit includes this connection.
        is_answering: Whether a statement is in progress, or its answer is being sent.
    """

    instance: Instance
    session: TargetSession
    counts_against_limit = False
    is_answering = False

    async def handle_query(self, data: bytes) -> None:
        """Execute a statement and send its answer."""
        self.is_answering = True
        try:
            await super().handle_query(data)
        finally:
            self.is_answering = False

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet with the outcome of the last statement."""
        self.status_flags = self.session.status_flags
        outcome = self.session.take_outcome()
        kwargs.setdefault("affected_rows", outcome.affected_rows)
        kwargs.setdefault("last_insert_id", outcome.last_insert_id)
        return super().ok(**kwargs)

    def eof(self, **kwargs: Any) -> bytes:
        """Return an EOF packet with the status flags of the session."""
        self.status_flags = self.session.status_flags
        return super().eof(**kwargs)

    def error(self, **kwargs: Any) -> bytes:
        """Return an error packet with the SQLSTATE of its code."""
        msg, code = kwargs.get("msg", ""), int(kwargs.get("code", UNKNOWN_ERROR))
        if isinstance(msg, MysqlError):
            msg, code = msg.msg, int(msg.code)
        sqlstate = SQLSTATES.get(code, DEFAULT_SQLSTATE)
        header = struct.pack("<BH", 0xFF, code) + b"#" + sqlstate.encode()
        return header + str(msg).encode()

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        """Check the user, the password and the connection limit.

        Raises:
            SqlError: The user was refused or the connection limit is reached; the
                connection has to be closed.
        """
        self.stream.user = "" if username == TEST_USER else username
        attrs = kwargs.get("connect_attrs") or {}
        is_replica = attrs.get("program_name") == REPLICATION_PROGRAM
        if is_replica:
            self.identity_provider = AllowList("", "")
        await self.stream.wait_until_reachable()
        self._count_connection(exempt=is_replica or username == TEST_USER)
        self.session.username = None
        await super().authenticate(username, *args, **kwargs)
        if self.session.username is None:
            raise SqlError(ACCESS_DENIED, f"Access denied for user '{username}'")

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Execute a prepared statement and send its answer."""
        self.is_answering = True
        try:
            await self._execute_prepared(data)
        finally:
            self.is_answering = False

    async def _execute_prepared(self, data: bytes) -> None:
        """Execute a prepared statement with its parameters as quoted literals."""
        stmt = self.get_stmt(prepared.statement_id(data))
        if not stmt.num_params:
            await super().handle_stmt_execute(data)
            return
        bound = prepared.bind(stmt, data, self.capabilities, self.client_charset)
        self.prepared_stmts[stmt.stmt_id] = bound.stmt
        try:
            await super().handle_stmt_execute(bound.data)
        finally:
            self.prepared_stmts[stmt.stmt_id] = stmt
            stmt.cursor = bound.stmt.cursor
            stmt.param_buffers = None

    def handle_disconnect(self) -> None:
        """Cancel the statement in progress because the client has disconnected.

        During a partition the statement goes on: a server that no packet reaches
        can't notice a disconnect.
        """
        if not self.stream.is_partitioned:
            self.kill(KillKind.CONNECTION)

    def stop_counting(self) -> None:
        """Stop counting the connection against the limit."""
        if self.counts_against_limit:
            self.counts_against_limit = False
            self.instance.connection_count -= 1

    async def write_text_resultset(self, result_set: ResultSet) -> None:
        """Send a result set in batches, between which other tasks can run."""
        columns = result_set.columns
        self.stream.write_many(self._header_packets(result_set))
        rows = result_set.rows
        for start in range(0, len(rows), SEND_BATCH_ROWS):
            self.stream.write_text_rows(rows[start : start + SEND_BATCH_ROWS], columns)
            await self.stream.drain()
            await asyncio.sleep(0)
        await self.stream.write(self.ok_or_eof())

    def _header_packets(self, result_set: ResultSet) -> list[bytes]:
        header = [packets.make_column_count(self.capabilities, len(result_set.columns))]
        for column in result_set.columns:
            header.append(
                packets.make_column_definition_41(
                    server_charset=self.server_charset,
                    name=column.name,
                    column_type=column.type,
                    character_set=_charset_of(column),
                )
            )
        if not self.deprecate_eof():
            header.append(self.eof())
        return header

    def _count_connection(self, exempt: bool) -> None:
        if exempt or self.counts_against_limit:
            return
        if self.instance.connection_count >= self.instance.cfg.connections:
            raise SqlError(TOO_MANY_CONNECTIONS, "Too many connections")
        self.instance.connection_count += 1
        self.counts_against_limit = True


def _charset_of(column: ResultColumn) -> CharacterSet:
    is_text = column.type == ColumnType.VAR_STRING
    return CharacterSet.utf8mb4 if is_text else CharacterSet.binary


class AllowList(IdentityProvider):
    """Accepts any user, or only the test user and one user with a password.

    Args:
        user: The user to accept; empty to accept any user.
        password: Password of the user; empty to require none.
    """

    def __init__(self, user: str, password: str) -> None:
        self._user = user
        self._password = password

    async def get_user(self, username: str) -> User | None:
        """Return the user with its password hash, or None if the user is unknown."""
        plugin = NativePasswordAuthPlugin
        if not self._user or username == TEST_USER:
            return User(name=username, auth_plugin=plugin.name)
        if username != self._user:
            return None
        secret = plugin.create_auth_string(self._password) if self._password else None
        return User(name=username, auth_string=secret, auth_plugin=plugin.name)


class TargetServer(MysqlServer):
    """Accepts the connections of one instance.

    Args:
        instance: The instance that runs the statements.
        controls: Handles the control calls.
    """

    def __init__(self, instance: Instance, controls: Controls) -> None:
        cfg = instance.cfg
        super().__init__(
            session_factory=lambda: TargetSession(instance, controls),
            control=LocalControl(),
            identity_provider=AllowList(cfg.user, cfg.password),
        )
        self._instance = instance
        self._connections: set[TargetConnection] = set()

    async def start(self) -> str:
        """Listen for connections and return the address as `ip:port`."""
        loop = asyncio.get_running_loop()
        cfg = self._instance.cfg
        self._server = await loop.create_server(
            self._create_protocol, cfg.host, cfg.port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop accepting connections and close all of them.

        Idle connections close at once, and busy ones after their statement or after
        `STOP_TIMEOUT_S`.
        """
        self.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while self._connections:
                    self._kill_idle()
                    await asyncio.sleep(STOP_POLL_S)
        for _ in range(KILL_ATTEMPTS):
            for conn in list(self._connections):
                conn.kill(KillKind.CONNECTION)
            await asyncio.sleep(0)

    def _kill_idle(self) -> None:
        for conn in list(self._connections):
            if not conn.is_answering:
                conn.kill(KillKind.CONNECTION)

    def _create_protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(
            DisconnectAwareReader(), self._client_connected_cb
        )

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = TargetConnection(
            stream=PartitionableStream(MysqlStream(reader, writer), self._instance),
            session=self.session_factory(),
            control=self.control,
            server_capabilities=self.capabilities,
            identity_provider=self.identity_provider,
        )
        conn.instance = self._instance
        conn.status_flags = conn.session.status_flags
        conn.connection_id = await self.control.add(conn)
        self._connections.add(conn)
        reader.connection = conn
        try:
            await asyncio.sleep(self._instance.connect_ms / 1000)
            await conn.start()
        except (MysqlError, ConnectionClosed, OSError, asyncio.CancelledError) as exc:
            logger.info("connection %d ended: %s", conn.connection_id, exc)
        finally:
            conn.stop_counting()
            self._connections.discard(conn)
            writer.close()
            await self.control.remove(conn.connection_id)
