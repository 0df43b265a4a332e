"""Instances that speak the MySQL protocol, reached through asyncmy.

Values are passed on as the bytes that the target sent: asyncmy is given no decoders,
so it converts nothing.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager

from asyncmy import converters, errors
from asyncmy.connection import Connection
from asyncmy.constants import CLIENT, SERVER_STATUS

from wasabipitch.exceptions import TargetDown, TargetError, TargetLost
from wasabipitch.models import Address, Column, Position
from wasabipitch.targets import Answer, InstanceStatus

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 0.25
WAIT_GRACE_S = 0.25  # lets the answer arrive after the instance's own timeout

STREAM_BLOCK_ROWS = 1000
STREAM_BLOCK_READS = 8  # each reads at most one receive buffer of 256 KB

# Error numbers of the client library itself; all others come from the target.
CLIENT_ERRORS = range(2000, 3000)
FIRST_SERVER_ERROR = 1000
DEFAULT_SQLSTATE = "HY000"

# asyncmy needs the encoders for its own SET statements.
_ENCODERS_ONLY = {k: v for k, v in converters.conversions.items() if type(k) is not int}

_generations = itertools.count(1)

Row = Sequence[bytes | None]


class MysqlConnector:
    """Opens connections to MySQL instances.

    Args:
        user: The MySQL user as which this process logs in to the instances.
        password: The password of that user.
    """

    def __init__(self, user: str, password: str = "") -> None:
        self._user = user
        self._password = password

    async def connect(self, address: Address, database: str) -> "MysqlConn":
        """Open a connection with autocommit on.

        Raises:
            TargetDown: The instance can't be reached or refuses the connection.
        """
        conn = Connection(
            host=address.ip,
            port=address.port,
            user=self._user,
            password=self._password,
            database=database or None,
            conv=_ENCODERS_ONLY,
            use_unicode=False,
            autocommit=True,
        )
        # A second statement after a semicolon could end a transaction unnoticed, so
        # the target is told to accept one statement at a time.
        conn._client_flag &= ~CLIENT.MULTI_STATEMENTS
        # The library's own timeout uses asyncio.wait_for, which in Python 3.11 loses a
        # cancellation that arrives just as the connection opens.
        conn._connect_timeout = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await conn.connect()
        except TimeoutError as exc:
            raise TargetDown(
                f"target {address} did not accept a connection "
                f"within {CONNECT_TIMEOUT_S} s"
            ) from exc
        except Exception as exc:  # the library raises many kinds on malformed bytes
            raise TargetDown(
                f"can't connect to target {address}: {exc}",
                code=_get_error_code(exc),
            ) from exc
        return MysqlConn(conn, address)

    def open_control(self, name: str, address: Address) -> "MysqlControl":
        """Return a control channel; it connects when first used."""
        return MysqlControl(self, name, address)


def _get_error_code(exc: Exception) -> int | None:
    """Return the target's error number, or None if it gave none."""
    code = exc.args[0] if isinstance(exc, errors.MySQLError) and exc.args else None
    return code if isinstance(code, int) and code not in CLIENT_ERRORS else None


class MysqlConn:
    """A connection to a MySQL instance.

    Args:
        conn: The library's connection, open and with nothing in progress.
        address: The address of the instance, for messages.

    Attributes:
        generation: A number that no other connection of the process has.
    """

    def __init__(self, conn: Connection, address: Address) -> None:
        self.generation = next(_generations)
        self._conn = conn
        self._address = address
        self._status = conn.server_status
        # False from when a statement is sent until its answer has been read completely.
        self._idle = True

    @property
    def usable(self) -> bool:
        """Whether the connection's state is known, so that it may be used again."""
        return self._idle and self._conn.connected and not self._conn._stream_broken

    @property
    def in_transaction(self) -> bool:
        """Whether the target last reported an open transaction."""
        return bool(self._status & SERVER_STATUS.SERVER_STATUS_IN_TRANS)

    async def run(self, statement: str) -> Answer:
        """Run a statement and return its complete answer.

        Raises:
            TargetError: The target refused the statement; the connection stays usable.
            TargetLost: The connection broke; the statement may have run.
        """
        async with self._mark_busy():
            await self._conn.query(statement)
            result = self._conn._result
            await self._read_remaining_results(result)
            return self._make_answer(result, result.rows or ())

    async def stream(self, statement: str) -> AsyncIterator[Answer]:
        """Run a statement and yield its answer in blocks of rows.

        Only the first block has the columns. Closing the stream before its end closes
        the connection; use ``contextlib.aclosing``.

        Raises:
            TargetError: The target refused the statement; the connection stays usable.
            TargetLost: The connection broke; the statement may have run.
        """
        async with self._mark_busy():
            await self._conn.query(statement, unbuffered=True)
            result = self._conn._result
            rows = await _read_block(result)
            if not result.unbuffered_active:
                await self._read_remaining_results(result)
            yield self._make_answer(result, rows)
            if result.unbuffered_active:
                async for rows in _read_blocks(result):
                    yield Answer(rows=rows, in_transaction=self.in_transaction)
                await self._read_remaining_results(result)

    def close(self) -> None:
        """Close the connection at once; the target rolls back what was in progress."""
        self._idle = False
        self._conn.close()

    @asynccontextmanager
    async def _mark_busy(self) -> AsyncIterator[None]:
        if not self.usable:
            self.close()
            raise TargetDown(f"the connection to target {self._address} is not usable")
        self._idle = False
        try:
            yield
            self._idle = True
        except errors.MySQLError as exc:
            raise self._translate_error(exc) from exc
        except Exception as exc:  # the library raises many kinds on malformed bytes
            raise self._close_as_lost(repr(exc)) from exc
        finally:
            # The statement was cancelled or failed before its answer was complete, so
            # the connection's state is unknown.
            if not self._idle:
                self.close()

    async def _read_remaining_results(self, result) -> None:
        """Record the transaction's state and discard all further results.

        The call of a procedure ends with a result of its own, which is not used.
        """
        self._update_status(result)
        while self._conn._result.has_next:
            await self._conn.next_result()
            self._update_status(self._conn._result)

    def _update_status(self, result) -> None:
        # After an EOF packet of the older protocol the library's status is 0.
        if result.fields is None or result.server_status:
            self._status = result.server_status

    def _translate_error(self, exc: errors.MySQLError) -> TargetError | TargetLost:
        code = exc.args[0] if len(exc.args) == 2 else 0
        if not isinstance(code, int) or code < FIRST_SERVER_ERROR:
            return self._close_as_lost(str(exc))
        if code in CLIENT_ERRORS:
            return self._close_as_lost(str(exc.args[1]))
        self._idle = True
        return TargetError(
            str(exc.args[1]), code=code, sqlstate=exc.sqlstate or DEFAULT_SQLSTATE
        )

    def _close_as_lost(self, reason: str) -> TargetLost:
        self.close()
        return TargetLost(f"the connection to target {self._address} broke: {reason}")

    def _make_answer(self, result, rows: Sequence[Row]) -> Answer:
        if result.fields is None:
            return Answer(
                affected_rows=result.affected_rows,
                last_insert_id=result.insert_id,
                in_transaction=self.in_transaction,
            )
        columns = tuple(Column(f.name, f.type_code, f.charsetnr) for f in result.fields)
        return Answer(columns, rows, in_transaction=self.in_transaction)


class MysqlControl:
    """The control channel of one MySQL instance.

    A connection carries one order at a time. ``wait`` has a connection of its own, so
    that it does not delay other orders. After a timeout the connection is closed, since
    a late answer could be taken for the answer to a later order.

    Args:
        connector: Opens the connections.
        name: The name of the instance, for messages.
        address: The address of the instance.
    """

    def __init__(self, connector: MysqlConnector, name: str, address: Address) -> None:
        self._order_connection = _ControlConnection(connector, name, address)
        self._wait_connection = _ControlConnection(connector, name, address)

    async def status(self, timeout_s: float = CONTROL_TIMEOUT_S) -> InstanceStatus:
        """Return the instance's current status."""
        return await self._order_connection.call("status()", timeout_s)

    async def wait(self, position: Position, timeout_s: float) -> InstanceStatus:
        """Return the status once the instance has reached a position, or at timeout."""
        arguments = f"{position.term}, {position.index}, {int(timeout_s * 1000)}"
        return await self._wait_connection.call(
            f"wait({arguments})", timeout_s + WAIT_GRACE_S
        )

    async def fence(
        self, term: int, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> InstanceStatus:
        """Order the instance to take no log from a term lower than this one."""
        return await self._order_connection.call(f"fence({term})", timeout_s)

    async def promote(
        self, term: int, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> InstanceStatus:
        """Order the instance to become primary of the term at which it is fenced."""
        return await self._order_connection.call(f"promote({term})", timeout_s)

    async def follow(
        self, leader: Address, term: int, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> InstanceStatus:
        """Order the instance to follow the primary of a term."""
        return await self._order_connection.call(
            f"follow('{leader}', {term})", timeout_s
        )

    async def join(
        self, term: int, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> InstanceStatus:
        """Order the instance to count towards majorities.

        It counts from the moment at which it holds an entry of the term.
        """
        return await self._order_connection.call(f"join({term})", timeout_s)

    async def close(self) -> None:
        """Close the channel's connections."""
        self._order_connection.close()
        self._wait_connection.close()


class _ControlConnection:
    """A connection for control calls that is reopened when it is lost."""

    def __init__(self, connector: MysqlConnector, name: str, address: Address) -> None:
        self._connector = connector
        self._name = name
        self._address = address
        self._conn: MysqlConn | None = None
        self._lock = asyncio.Lock()

    async def call(self, order: str, timeout_s: float) -> InstanceStatus:
        """Send an order and return the status that answers it.

        Args:
            order: The stored procedure's name after ``wasabipitch_``, with arguments.
            timeout_s: The time allowed for connecting and for the answer.

        Raises:
            TargetDown: The instance can't be connected to.
            TargetLost: The instance gave no answer; it may have carried the order out.
        """
        try:
            async with asyncio.timeout(timeout_s), self._lock:
                conn = await self._open()
                answer = await conn.run(f"CALL wasabipitch_{order}")
        except TimeoutError as exc:
            raise TargetLost(
                f"instance {self._name} gave no answer to {order} within {timeout_s} s"
            ) from exc
        except TargetError as exc:
            self.close()
            raise TargetLost(f"instance {self._name} refused {order}: {exc}") from exc
        return self._read_status(answer)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    async def _open(self) -> MysqlConn:
        if self._conn is None or not self._conn.usable:
            self.close()
            self._conn = await self._connector.connect(self._address, "")
        return self._conn

    def _read_status(self, answer: Answer) -> InstanceStatus:
        names = [column.name for column in answer.columns]
        try:
            row = dict(zip(names, answer.rows[0], strict=True))
            return _parse_status(row)
        except (LookupError, TypeError, ValueError) as exc:
            self.close()
            raise TargetLost(
                f"instance {self._name} reported a malformed status: {exc!r}"
            ) from exc


def _parse_status(row: Mapping[str, bytes | None]) -> InstanceStatus:
    return InstanceStatus(
        name=_decode_text(row["name"]),
        role=_decode_text(row["role"]),
        term=int(row["term"]),
        fence=int(row["fence"]),
        position=Position(int(row["last_term"]), int(row["last_index"])),
        member=int(row["member"]) == 1,
        leader=_decode_text(row["leader"]),
        running=int(row["running"]),
        queued=int(row["queued"]),
        connections=int(row["connections"]),
        connection_limit=int(row["connection_limit"]),
        accepted=int(row["accepted"]) == 1,
        reason=_decode_text(row["reason"]),
    )


def _decode_text(value: bytes | None) -> str:
    return (value or b"").decode()


async def _read_blocks(result) -> AsyncIterator[list[Row]]:
    while result.unbuffered_active:
        rows = await _read_block(result)
        if rows:
            yield rows


async def _read_block(result) -> list[Row]:
    rows: list[Row] = []
    for _ in range(STREAM_BLOCK_READS):
        if not result.unbuffered_active:
            break
        row = await result._read_rowdata_packet_unbuffered()
        if row is None:
            break
        rows.append(row)
        rows.extend(result._take_pending_rows())
        if len(rows) >= STREAM_BLOCK_ROWS:
            break
    return rows
