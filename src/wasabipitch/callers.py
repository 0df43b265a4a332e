"""One caller's connection: its handshake and its commands."""

import asyncio
import contextlib
import logging
import struct
from collections.abc import AsyncIterator
from typing import Protocol

from mysql_mimic import packets as mimic_packets
from mysql_mimic.auth import NativePasswordAuthPlugin, User
from mysql_mimic.connection import Connection
from mysql_mimic.errors import ErrorCode, MysqlError, get_sqlstate
from mysql_mimic.packets import SSLRequest
from mysql_mimic.server import MysqlServer
from mysql_mimic.types import ColumnType, Commands

from wasabipitch import packets
from wasabipitch.answers import AnswerWriter
from wasabipitch.entry import Entry
from wasabipitch.exceptions import InDoubt, Refused, Stopping, WasabipitchError
from wasabipitch.local import LocalSession
from wasabipitch.messages import Message, Result
from wasabipitch.metrics import Metrics
from wasabipitch.models import Column
from wasabipitch.packets import Prepared
from wasabipitch.sessions import Session
from wasabipitch.settings import Caller, EntrySettings
from wasabipitch.statements import read_statement, split_placeholders
from wasabipitch.streams import (
    ER_NET_PACKET_TOO_LARGE,
    CallerStream,
    ConnectionClosed,
)
from wasabipitch.verdict import Verdict

ER_HANDSHAKE_ERROR = 1043
ER_ACCESS_DENIED = 1045
ER_UNKNOWN_COM = 1047
ER_SERVER_SHUTDOWN = 1053
ER_UNKNOWN_STMT_HANDLER = 1243
ER_INVALID_CHARACTER_STRING = 1300
ER_MAX_PREPARED_STMT_COUNT = 1461
ER_SECURE_TRANSPORT_REQUIRED = 3159

HANDSHAKE_TIMEOUT_S = 10.0
GOODBYE_TIMEOUT_S = 0.5
SSL_REQUEST_LENGTH = 32
MAX_PREPARED_STATEMENTS = 256
PLUGIN_NAME = "mysql_native_password"
# No caller's password has this hash, so an unknown user is always denied.
IMPOSSIBLE_HASH = "0" * 40

logger = logging.getLogger(__name__)


class Listener(Protocol):
    """What a connection needs of the server that accepted it."""

    entry: Entry
    settings: EntrySettings
    metrics: Metrics
    stopping: bool
    callers: dict[str, Caller]

    def admit(self, conn: "CallerConnection", caller: Caller) -> None:
        """Count a caller's connection, or raise ``Refused`` at its limit."""

    def release(self, conn: "CallerConnection") -> None:
        """Count a caller's connection no more."""


class CallerConnection(Connection):
    """One caller's connection.

    Args:
        listener: the server that accepted it.
        stream: its packets.
        server: gives mysql-mimic's own parts.
        connection_id: as the caller is told.
    """

    def __init__(
        self,
        listener: Listener,
        stream: CallerStream,
        server: MysqlServer,
        connection_id: int,
    ) -> None:
        self.local = LocalSession(listener.entry)
        super().__init__(
            stream=stream,
            session=self.local,
            control=server.control,
            identity_provider=server.identity_provider,
            server_capabilities=server.capabilities,
            ssl=server.ssl,
        )
        self.local.attach(self)
        self.connection_id = connection_id
        self.state: Session | None = None
        self.user = ""
        self.task = asyncio.current_task()
        self._listener = listener
        self._entry = listener.entry
        self._handlers = {
            Commands.COM_QUERY: self.handle_query,
            Commands.COM_INIT_DB: self.handle_init_db,
            Commands.COM_PING: self.handle_ping,
            Commands.COM_STMT_PREPARE: self.handle_stmt_prepare,
            Commands.COM_STMT_EXECUTE: self.handle_stmt_execute,
            Commands.COM_STMT_SEND_LONG_DATA: self.handle_stmt_send_long_data,
            Commands.COM_STMT_CLOSE: self.handle_stmt_close,
            Commands.COM_STMT_RESET: self.handle_stmt_reset,
            Commands.COM_RESET_CONNECTION: self.handle_reset_connection,
            Commands.COM_CHANGE_USER: self.handle_change_user,
        }

    @property
    def codec(self) -> str:
        """The codec of the caller's character set."""
        return self.client_charset.codec

    async def serve(self) -> None:
        """Serve the caller until it leaves or the entry stops."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._listener.release, self)
            try:
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                    await self.connection_phase()
            except WasabipitchError as exc:
                await self._refuse_connection(exc)
                return
            stack.push_async_callback(self._entry.close_session, self.state)
            # The limit is on the statement, besides the command's own byte.
            self.stream.limit_packets(self._listener.settings.max_statement_bytes + 1)
            await self._serve_commands()

    def leave_if_idle(self) -> None:
        """End the connection unless a request or transaction is in progress."""
        busy = self.state is not None and self.state.in_transaction
        if self.stream.idle and not busy:
            self.task.cancel()

    # The connection phase.

    async def connection_phase(self) -> None:
        """Greet and authenticate the caller, and open its session.

        Raises:
            Refused: if it may not connect.
        """
        self.handshake_auth_data = await self._greet()
        response = self._parse_handshake(await self.stream.read())
        if isinstance(response, SSLRequest):
            if self.ssl is None:
                raise Refused("TLS is not configured", code=ER_HANDSHAKE_ERROR)
            await self.stream.start_tls(self.ssl)
            response = self._parse_handshake(await self.stream.read())
        elif self._requires_tls():
            raise Refused("TLS is required", code=ER_SECURE_TRANSPORT_REQUIRED)
        self.capabilities = response.capabilities
        self.local.variables.set("character_set_client", response.client_charset.name)
        await self.authenticate(
            response.username, response.auth_response, response.client_plugin, {}
        )
        session = self._entry.open_session()
        self.local.state = session
        try:
            if response.database:
                self._entry.use(session, response.database)
        except Refused:
            await self._entry.close_session(session)
            raise
        self.state = session
        await self.stream.write(self.ok())

    async def authenticate(
        self,
        username: str,
        auth_response: bytes,
        client_plugin_name: str | None,
        connect_attrs: dict[str, str],
        auth_state=None,
        server_plugin=None,
    ) -> None:
        """Check the caller's password and count its connection.

        Raises:
            Refused: if it is unknown, has another password, or holds too many
                connections.
        """
        nonce = self.handshake_auth_data.rstrip(b"\0")
        if client_plugin_name not in (None, "", PLUGIN_NAME):
            request = mimic_packets.make_auth_switch_request(
                self.server_charset, PLUGIN_NAME, nonce + b"\0"
            )
            await self.stream.write(request)
            auth_response = await self.stream.read()
        caller = self._listener.callers.get(username)
        secret = caller.password_sha1 if caller else IMPOSSIBLE_HASH
        user = User(username, auth_string=secret)
        if not NativePasswordAuthPlugin().password_matches(user, auth_response, nonce):
            used = "YES" if auth_response else "NO"
            raise Refused(
                f"access denied for user {username!r} (using password: {used})",
                code=ER_ACCESS_DENIED,
            )
        self._listener.admit(self, caller)
        self.local.username = username
        self.local.variables.set("external_user", username, force=True)

    async def _greet(self) -> bytes:
        plugin = self.identity_provider.get_default_plugin()
        nonce, _ = await plugin.start()
        greeting = mimic_packets.make_handshake_v10(
            capabilities=self.server_capabilities,
            server_charset=self.server_charset,
            server_version=str(self.local.variables.get("version")),
            connection_id=self.connection_id,
            auth_data=nonce,
            status_flags=self.status_flags,
            auth_plugin_name=plugin.name,
        )
        await self.stream.write(greeting)
        return nonce

    def _parse_handshake(self, data: bytes):
        # mysql-mimic's parser never ends on a string without its final NUL.
        padded = data if len(data) <= SSL_REQUEST_LENGTH else data + b"\0\0\0"
        with packets.refuse_malformed("handshake"):
            return mimic_packets.parse_handshake_response(
                self.server_capabilities, padded
            )

    async def _refuse_connection(self, exc: WasabipitchError) -> None:
        """Send an error in the connection phase; no request has a verdict yet."""
        self._listener.metrics.count("entry.connections.refused")
        logger.warning("connection %d refused: %s", self.connection_id, exc.message)
        sqlstate = get_sqlstate(exc.code).decode()
        await self.stream.write(packets.make_error(exc.code, sqlstate, exc.message))

    # The command phase.

    async def _serve_commands(self) -> None:
        while self.state.in_transaction or not self._listener.stopping:
            self.stream.reset_seq()
            try:
                data = await self.stream.read()
            except ConnectionClosed:
                return
            except Refused as exc:
                await self._write_error(exc)
                continue
            except asyncio.CancelledError:
                if not (self._listener.stopping and self.stream.idle):
                    raise
                self.task.uncancel()
                break
            if data[:1] == bytes([Commands.COM_QUIT]):
                return
            await self._serve_command(data)
        await self._say_goodbye()

    async def _serve_command(self, data: bytes) -> None:
        handler = self._handlers.get(data[0] if data else None)
        try:
            if not data:
                text = "malformed packet: it has no command"
                raise MysqlError(text, ErrorCode.MALFORMED_PACKET)
            if handler is None:
                text = f"command {data[0]:#04x} is not supported"
                raise Refused(text, code=ER_UNKNOWN_COM)
            await handler(data[1:])
        except WasabipitchError as exc:
            await self._write_error(exc)
        except MysqlError as exc:
            if exc.code == ErrorCode.MALFORMED_PACKET:
                raise
            await self._write_error(Refused(exc.msg, code=int(exc.code)))
        except asyncio.CancelledError:
            reason = "the entry stopped before the request was answered"
            with contextlib.suppress(OSError, TimeoutError):
                await self._write_error(InDoubt(reason))
            raise

    async def handle_query(self, data: bytes) -> None:
        """Run a statement in text form."""
        sql, attributes = packets.read_query(data, self.capabilities, self.codec)
        await self._run(self._decode(sql), attributes, binary=False)

    async def handle_init_db(self, data: bytes) -> None:
        """Select the current database."""
        self._entry.use(self.state, self._decode(data))
        await self.stream.write(self.ok())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back and clear the session, but keep its floors."""
        await self._reset()
        await self.stream.write(self.ok())

    async def handle_change_user(self, data: bytes) -> None:
        """Authenticate another user; a failure ends the connection."""
        # mysql-mimic's parser never ends on a string without its final NUL.
        with packets.refuse_malformed("change user"):
            change = mimic_packets.parse_com_change_user(
                self.capabilities, self.client_charset, data + b"\0\0\0\0"
            )
        self._listener.release(self)
        try:
            await self.authenticate(
                change.username, change.auth_response, change.client_plugin, {}
            )
        except Refused as exc:
            await self._refuse_connection(exc)
            raise ConnectionClosed from exc
        await self._reset()
        self.state.group = ""
        if change.database:
            self._entry.use(self.state, change.database)
        await self.stream.write(self.ok())

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Keep a statement for execution with parameters."""
        if len(self.prepared_stmts) >= MAX_PREPARED_STATEMENTS:
            raise Refused(
                f"the connection holds {MAX_PREPARED_STATEMENTS} prepared statements",
                code=ER_MAX_PREPARED_STMT_COUNT,
            )
        sql = self._decode(data)
        read_statement(sql)
        statement = Prepared(next(self.prepared_stmt_seq) + 1, split_placeholders(sql))
        self.prepared_stmts[statement.number] = statement
        answer = [packets.make_prepare_ok(statement)]
        if statement.parameter_count:
            column = packets.make_column(
                Column("?", int(ColumnType.VAR_STRING)), self.codec
            )
            answer += [column] * statement.parameter_count
            answer.append(packets.make_eof(self._status()))
        self.stream.write_many(answer)
        await self.stream.drain()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement."""
        statement = self._find_prepared(data)
        limit = self._listener.settings.max_statement_bytes
        overlong = statement.overlong
        sql, attributes = packets.read_execute(
            data[4:], statement, self.capabilities, self.codec
        )
        statement.forget_long_data()
        if overlong or len(sql) > limit:
            raise Refused(
                f"the statement with its parameters exceeds {limit} bytes",
                code=ER_NET_PACKET_TOO_LARGE,
            )
        await self._run(sql, attributes, binary=True)

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Take a part of a parameter; this command has no answer."""
        statement = self._find_prepared(data)
        (index,) = struct.unpack_from("<H", data.ljust(6, b"\0"), 4)
        part = data[6:]
        held = sum(len(p) for p in statement.long_data.values())
        too_much = held + len(part) > self._listener.settings.max_statement_bytes
        if too_much or index >= statement.parameter_count:
            statement.overlong = True
            return
        statement.long_data.setdefault(index, bytearray()).extend(part)

    async def handle_stmt_close(self, data: bytes) -> None:
        """Forget a prepared statement; this command has no answer."""
        self.prepared_stmts.pop(int.from_bytes(data[:4], "little"), None)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Forget the parameters that came in parts."""
        self._find_prepared(data).forget_long_data()
        await self.stream.write(self.ok())

    def _find_prepared(self, data: bytes) -> Prepared:
        number = int.from_bytes(data[:4], "little")
        statement = self.prepared_stmts.get(number)
        if statement is None:
            raise Refused(
                f"no prepared statement has the number {number}",
                code=ER_UNKNOWN_STMT_HANDLER,
            )
        return statement

    async def _reset(self) -> None:
        await self._entry.reset_session(self.state)
        await self.local.reset()
        self.prepared_stmts.clear()

    async def _run(self, sql: str, attributes: dict, *, binary: bool) -> None:
        statement = read_statement(sql, attributes)
        if statement.local:
            result = await self.local.answer(statement)
            await self._write_answer(result, None, binary)
            return
        replies = self._entry.run(self.state, statement)
        async with contextlib.aclosing(replies):
            result = await anext(replies)
            await self._write_answer(result, replies, binary)

    async def _write_answer(
        self, result: Result, replies: AsyncIterator[Message] | None, binary: bool
    ) -> None:
        """Write a result and the rows that follow it."""
        if not result.columns:
            await self._exhaust(replies)
            await self.stream.write(
                self.ok(result.affected_rows, result.last_insert_id)
            )
            return
        writer = AnswerWriter(
            self.stream,
            result.columns,
            binary=binary,
            codec=self.codec,
            charset=int(self.client_charset),
            deprecate_eof=self.deprecate_eof(),
        )
        writer.begin(self._status())
        await writer.write_rows(result.rows)
        if replies is not None:
            async for message in replies:
                await writer.write_rows(message.rows)
        await writer.finish(self._status())

    async def _exhaust(self, replies: AsyncIterator[Message] | None) -> None:
        if replies is not None:
            async for _ in replies:
                pass

    def ok(self, affected_rows: int = 0, last_insert_id: int = 0) -> bytes:
        """Return an OK packet with the session's status."""
        return packets.make_ok(
            status=self._status(),
            affected_rows=affected_rows,
            last_insert_id=last_insert_id,
        )

    def _status(self) -> int:
        status = 0
        if self.state is None or self.state.autocommit:
            status |= packets.SERVER_STATUS_AUTOCOMMIT
        if self.state is not None and self.state.in_transaction:
            status |= packets.SERVER_STATUS_IN_TRANS
        return status

    async def _write_error(self, exc: WasabipitchError) -> None:
        text = f"{exc.message} (verdict: {Verdict(exc.verdict).name})"
        await self.stream.write(packets.make_error(exc.code, exc.sqlstate, text))

    async def _say_goodbye(self) -> None:
        """Tell the caller that the entry stops.

        A request that was sent at this moment meets this error in place of its
        answer. It was not read, so that its verdict is true.
        """
        self.stream.reset_seq()
        self.stream.skip_seq()
        error = Stopping("the entry is stopping", code=ER_SERVER_SHUTDOWN)
        await self._write_error(error)
        await self.stream.close_gently(GOODBYE_TIMEOUT_S)

    def _requires_tls(self) -> bool:
        tls = self._listener.settings.tls
        return tls is not None and tls.required

    def _decode(self, data: bytes) -> str:
        try:
            return data.decode(self.codec)
        except UnicodeDecodeError as exc:
            raise Refused(
                f"the statement is not valid {self.codec}: {exc.reason} at byte"
                f" {exc.start}",
                code=ER_INVALID_CHARACTER_STRING,
            ) from exc
