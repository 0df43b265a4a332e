"""Serves the command phase of a caller's connection.

The connection phase, which comes before it, is in ``handshake``.
"""

import asyncio
import contextlib
import logging
import struct
from collections.abc import AsyncIterator

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.server import MysqlServer
from mysql_mimic.types import ColumnType, Commands

from wasabipitch import packets
from wasabipitch.answers import ResultSetWriter
from wasabipitch.exceptions import InDoubt, Refused, Stopping, WasabipitchError
from wasabipitch.handshake import HandshakeConnection, Listener
from wasabipitch.logins import parse_change_user
from wasabipitch.messages import Kind, Message, Result
from wasabipitch.models import Column
from wasabipitch.parameters import (
    PreparedStatement,
    parse_execute,
    parse_query,
)
from wasabipitch.statements import inspect_statement, split_placeholders
from wasabipitch.streams import (
    ER_NET_PACKET_TOO_LARGE,
    CallerStream,
    ConnectionClosed,
)
from wasabipitch.verdict import Verdict

ER_UNKNOWN_COM = 1047
ER_SERVER_SHUTDOWN = 1053
ER_UNKNOWN_STMT_HANDLER = 1243
ER_INVALID_CHARACTER_STRING = 1300
ER_MAX_PREPARED_STMT_COUNT = 1461

HANDSHAKE_TIMEOUT_S = 10.0
SHUTDOWN_CLOSE_TIMEOUT_S = 0.5
DISCONNECT_CHECK_INTERVAL_S = 0.5
MAX_UTF8_BYTES_PER_CHARACTER = 4
# Packets may exceed the statement limit by this, as room for query attributes.
PACKET_OVERHEAD_BYTES = 4096
MAX_PREPARED_STATEMENTS = 256
# The prepared statements of a connection, with their long data, may take up at most
# this multiple of the setting max_statement_bytes.
PREPARED_SIZE_FACTOR = 4

logger = logging.getLogger(__name__)


class CallerConnection(HandshakeConnection):
    """A caller's connection, from its handshake to its end.

    Args:
        listener: The server that accepted the connection.
        stream: Reads and writes the connection's packets.
        server: Gives the arguments that mysql-mimic's connection class needs.
        connection_id: The number that the greeting gives to the caller.

    Attributes:
        task: The task that serves the connection.
    """

    def __init__(
        self,
        listener: Listener,
        stream: CallerStream,
        server: MysqlServer,
        connection_id: int,
    ) -> None:
        super().__init__(listener, stream, server, connection_id)
        self.task = asyncio.current_task()
        self._caller_disconnected = False
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
        """The Python codec of the caller's character set."""
        return self.client_charset.codec

    async def serve(self) -> None:
        """Serve the caller until it disconnects or the entry stops.

        Raises:
            ConnectionClosed: If the caller disconnects within the handshake or a
                command, or fails to change its user.
            MysqlError: If a packet breaks the protocol.
            OSError: If the connection fails.
            TimeoutError: If the handshake or a write takes too long.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._listener.release, self)
            stack.push_async_callback(self._close_session)
            try:
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                    await self.connection_phase()
            except WasabipitchError as exc:
                await self._refuse_connection(exc)
                return
            limit = self._listener.settings.max_statement_bytes
            self.stream.limit_packets(limit + PACKET_OVERHEAD_BYTES)
            await self._serve_commands()

    def close_if_idle(self) -> None:
        """Close the connection unless a request or transaction is in progress."""
        has_transaction = self.state is not None and self.state.in_transaction
        if self.stream.idle and not has_transaction:
            self.task.cancel()

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
        await self._send_shutdown_error()

    async def _serve_command(self, data: bytes) -> None:
        handler = self._handlers.get(data[0] if data else None)
        try:
            if not data:
                text = "malformed packet: it has no command byte"
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
            if self._caller_disconnected:
                self.task.uncancel()
                raise ConnectionClosed from None
            reason = "the entry stopped before the request was answered"
            with contextlib.suppress(OSError, TimeoutError):
                await self._write_error(InDoubt(reason))
            raise

    async def handle_query(self, data: bytes) -> None:
        """Run a statement of the text protocol."""
        sql, attributes = parse_query(data, self.capabilities, self.codec)
        await self._run_statement(self._decode(sql), attributes, binary=False)

    async def handle_init_db(self, data: bytes) -> None:
        """Select the current database."""
        self._runner.select_group(self.state, self._decode(data))
        await self.stream.write(self.ok())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back and clear the session's state, except its floors.

        A floor is the lowest log position that the session's reads must see.
        """
        await self._reset_session()
        await self.stream.write(self.ok())

    async def handle_change_user(self, data: bytes) -> None:
        """Authenticate the caller as another user.

        Raises:
            ConnectionClosed: If the authentication fails.
            MysqlError: If the packet breaks the protocol.
            Refused: If the database doesn't exist.
        """
        login = parse_change_user(data, self.capabilities, self.codec)
        self._listener.release(self)
        try:
            await self.authenticate(login)
        except Refused as exc:
            await self._refuse_connection(exc)
            raise ConnectionClosed from exc
        await self._reset_session()
        self.state.group = ""
        if login.database:
            self._runner.select_group(self.state, login.database)
        await self.stream.write(self.ok())

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement for execution with parameters.

        Raises:
            Refused: If the statement is not supported, or the connection's
                prepared statements reach their limit.
        """
        if len(self.prepared_stmts) >= MAX_PREPARED_STATEMENTS:
            raise Refused(
                f"the connection already has {MAX_PREPARED_STATEMENTS}"
                " prepared statements",
                code=ER_MAX_PREPARED_STMT_COUNT,
            )
        total_bytes = sum(p.size_bytes for p in self.prepared_stmts.values())
        limit = PREPARED_SIZE_FACTOR * self._listener.settings.max_statement_bytes
        if total_bytes + len(data) > limit:
            raise Refused(
                f"the connection's prepared statements exceed {limit} bytes",
                code=ER_MAX_PREPARED_STMT_COUNT,
            )
        sql = self._decode(data)
        inspect_statement(sql)
        statement = PreparedStatement(
            next(self.prepared_stmt_seq) + 1, split_placeholders(sql)
        )
        self.prepared_stmts[statement.number] = statement
        payloads = [packets.make_prepare_ok(statement)]
        if statement.parameter_count:
            column = packets.make_column(
                Column("?", int(ColumnType.VAR_STRING)), self.codec
            )
            payloads += [column] * statement.parameter_count
            payloads.append(packets.make_eof(self._get_status_flags()))
        self.stream.write_many(payloads)
        await self.stream.drain()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement.

        Raises:
            MysqlError: If the packet breaks the protocol.
            Refused: If the statement is unknown, or its parameters are too long.
        """
        statement = self._find_prepared(data)
        if statement.long_data_rejected:
            statement.clear_long_data()
            raise self._make_too_long_error()
        sql, attributes = parse_execute(
            data[4:], statement, self.capabilities, self.codec
        )
        statement.clear_long_data()
        await self._run_statement(sql, attributes, binary=True)

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Append a chunk to a parameter's long data.

        The protocol has no response to this command, so an error is recorded and
        raised when the statement is executed.
        """
        statement = self._find_prepared(data)
        (index,) = struct.unpack_from("<H", data.ljust(6, b"\0"), 4)
        chunk = data[6:]
        total_bytes = sum(p.size_bytes for p in self.prepared_stmts.values())
        limit = PREPARED_SIZE_FACTOR * self._listener.settings.max_statement_bytes
        exceeds_limit = total_bytes + len(chunk) > limit
        if exceeds_limit or index >= statement.parameter_count:
            statement.long_data_rejected = True
            return
        statement.long_data.setdefault(index, bytearray()).extend(chunk)

    async def handle_stmt_close(self, data: bytes) -> None:
        """Close a prepared statement; the protocol has no response to this."""
        self.prepared_stmts.pop(int.from_bytes(data[:4], "little"), None)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Drop a prepared statement's long data."""
        self._find_prepared(data).clear_long_data()
        await self.stream.write(self.ok())

    def _find_prepared(self, data: bytes) -> PreparedStatement:
        number = int.from_bytes(data[:4], "little")
        statement = self.prepared_stmts.get(number)
        if statement is None:
            raise Refused(
                f"unknown prepared statement ID {number}",
                code=ER_UNKNOWN_STMT_HANDLER,
            )
        return statement

    async def _reset_session(self) -> None:
        await self._runner.reset_session(self.state)
        await self.local_session.reset()
        self.prepared_stmts.clear()

    async def _close_session(self) -> None:
        if self.state is not None:
            await self._runner.close_session(self.state)

    async def _run_statement(self, sql: str, attributes: dict, *, binary: bool) -> None:
        limit = self._listener.settings.max_statement_bytes
        if (
            len(sql) * MAX_UTF8_BYTES_PER_CHARACTER > limit
            and len(sql.encode()) > limit
        ):
            raise self._make_too_long_error()
        statement = inspect_statement(sql, attributes)
        if statement.local:
            result = await self.local_session.answer(statement)
            await self._write_result(result, None, binary)
            return
        replies = self._runner.run(self.state, statement)
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(contextlib.aclosing(replies))
            if statement.kind is Kind.READ or self.state.in_transaction:
                stack.enter_context(self._cancel_on_disconnect())
            result = await anext(replies)
            await self._write_result(result, replies, binary)

    @contextlib.contextmanager
    def _cancel_on_disconnect(self):
        """Cancel the request if its caller disconnects while it runs.

        Writes outside a transaction are run without this, because the caller wants
        their effect even if it doesn't wait for the response.
        """
        loop = asyncio.get_running_loop()

        def check() -> None:
            nonlocal handle
            if self.stream.closed_by_caller:
                self._caller_disconnected = True
                self.task.cancel()
            else:
                handle = loop.call_later(DISCONNECT_CHECK_INTERVAL_S, check)

        handle = loop.call_later(DISCONNECT_CHECK_INTERVAL_S, check)
        try:
            yield
        finally:
            handle.cancel()

    async def _write_result(
        self, result: Result, replies: AsyncIterator[Message] | None, binary: bool
    ) -> None:
        """Write a result, and the further rows that a pool sends after it.

        Args:
            result: The first message of the reply.
            replies: The messages that follow it; None if the entry answered.
            binary: Whether rows are sent in the binary protocol.
        """
        if not result.columns:
            await self._consume_replies(replies)
            await self.stream.write(
                self.ok(result.affected_rows, result.last_insert_id)
            )
            return
        writer = ResultSetWriter(
            self.stream,
            result.columns,
            binary=binary,
            codec=self.codec,
            charset=int(self.client_charset),
            deprecate_eof=self.deprecate_eof(),
        )
        writer.begin(self._get_status_flags())
        await writer.write_rows(result.rows)
        if replies is not None:
            async for message in replies:
                await writer.write_rows(message.rows)
        await writer.finish(self._get_status_flags())

    async def _consume_replies(self, replies: AsyncIterator[Message] | None) -> None:
        if replies is not None:
            async for _ in replies:
                pass

    async def _write_error(self, exc: WasabipitchError) -> None:
        text = f"{exc.message} (verdict: {Verdict(exc.verdict).name})"
        await self.stream.write(packets.make_error(exc.code, exc.sqlstate, text))

    async def _send_shutdown_error(self) -> None:
        """Send the shutdown error to an idle caller, and close the connection.

        A caller that sends a request at the same time takes this error for the
        response. Its verdict, NOT_RUN, is then correct, since the request was not
        read.
        """
        self.stream.reset_seq()
        self.stream.skip_seq()
        error = Stopping("the entry is stopping", code=ER_SERVER_SHUTDOWN)
        await self._write_error(error)
        await self.stream.close_gracefully(SHUTDOWN_CLOSE_TIMEOUT_S)

    def _make_too_long_error(self) -> Refused:
        limit = self._listener.settings.max_statement_bytes
        return Refused(
            f"the statement with its parameters exceeds {limit} bytes",
            code=ER_NET_PACKET_TOO_LARGE,
        )

    def _decode(self, data: bytes) -> str:
        try:
            return data.decode(self.codec)
        except UnicodeDecodeError as exc:
            raise Refused(
                f"the statement is not valid {self.codec}: {exc.reason} at byte"
                f" {exc.start}",
                code=ER_INVALID_CHARACTER_STRING,
            ) from exc
