"""Instances that speak the MySQL protocol, reached through asyncmy.

Values are passed through as the bytes that the target sent: asyncmy is given
no decoders, so nothing is converted on the way.
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
WAIT_GRACE_S = 0.25  # for the answer to arrive after the instance's own timeout

STREAM_BLOCK_ROWS = 1000
STREAM_BLOCK_READS = 8  # each takes at most one receive buffer of 256 KB

# Error numbers that the client library makes up; all others are the target's.
CLIENT_ERRORS = range(2000, 3000)
FIRST_SERVER_ERROR = 1000
DEFAULT_SQLSTATE = "HY000"

# The encoders stay, since asyncmy needs them for its own SET statements.
_ENCODERS_ONLY = {k: v for k, v in converters.conversions.items() if type(k) is not int}

_generations = itertools.count(1)

Row = Sequence[bytes | None]


class MysqlConnector:
    """Opens connections to MySQL instances.

    Args:
        user: the MySQL user that the instances know this process by.
        password: that user's password.
    """

    def __init__(self, user: str, password: str = "") -> None:
        self._user = user
        self._password = password

    async def connect(self, address: Address, database: str) -> "MysqlConn":
        """Open a connection with autocommit on.

        Raises:
            TargetDown: if the instance can't be reached or refuses.
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
        # A second statement hidden behind a semicolon could end a transaction
        # unseen, so the target is told to take one statement at a time.
        conn._client_flag &= ~CLIENT.MULTI_STATEMENTS
        # The library's own timeout uses asyncio.wait_for, which in Python 3.11
        # loses a cancellation that comes just as the connection opens.
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
                f"target {address} can't be connected to: {exc}",
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
    """One connection to a MySQL instance.

    Args:
        conn: connected, with nothing in progress.
        address: the instance's, for messages.

    Attributes:
        generation: unique in the process; no two connections share one.
    """

    def __init__(self, conn: Connection, address: Address) -> None:
        self.generation = next(_generations)
        self._conn = conn
        self._address = address
        self._status = conn.server_status
        # False from the moment a statement is sent until its answer is whole.
        self._idle = True

    @property
    def usable(self) -> bool:
        """Whether its state is known and it may be used again."""
        return self._idle and self._conn.connected and not self._conn._stream_broken

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction was open when the target last said so."""
        return bool(self._status & SERVER_STATUS.SERVER_STATUS_IN_TRANS)

    async def run(self, statement: str) -> Answer:
        """Run a statement and return its whole answer.

        Raises:
            TargetError: the target refused it; the connection stays usable.
            TargetLost: the connection broke; it may have run.
        """
        async with self._mark_busy():
            await self._conn.query(statement)
            result = self._conn._result
            await self._read_remaining_results(result)
            return self._make_answer(result, result.rows or ())

    async def stream(self, statement: str) -> AsyncIterator[Answer]:
        """Run a statement and yield its answer in blocks of rows.

        The first block carries the columns. A stream that is left before its
        end closes the connection; use ``contextlib.aclosing``.

        Raises:
            TargetError: the target refused it; the connection stays usable.
            TargetLost: the connection broke; it may have run.
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
        """Close it at once; whatever it was doing is rolled back."""
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
            raise self._translate(exc) from exc
        except Exception as exc:  # the library raises many kinds on malformed bytes
            raise self._close_as_lost(repr(exc)) from exc
        finally:
            # Left in the middle of an answer: cancelled, or an unforeseen error.
            if not self._idle:
                self.close()

    async def _read_remaining_results(self, result) -> None:
        """Note the transaction's state and read past further results.

        A procedure's call ends with a result of its own, which is dropped.
        """
        self._update_status(result)
        while self._conn._result.has_next:
            await self._conn.next_result()
            self._update_status(self._conn._result)

    def _update_status(self, result) -> None:
        # An old-style end of rows leaves the library's status at 0.
        if result.fields is None or result.server_status:
            self._status = result.server_status

    def _translate(self, exc: errors.MySQLError) -> TargetError | TargetLost:
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

    A connection carries one order at a time. ``wait`` has a connection of its
    own, so that it does not hold up the others. After a timeout the connection
    is closed, since a late answer could be taken for that of a later order.

    Args:
        connector: opens the connections.
        name: the instance's, for messages.
        address: the instance's.
    """

    def __init__(self, connector: MysqlConnector, name: str, address: Address) -> None:
        self._order_connection = _ControlConnection(connector, name, address)
        self._wait_connection = _ControlConnection(connector, name, address)

    async def status(self, timeout_s: float = CONTROL_TIMEOUT_S) -> InstanceStatus:
        """Return what the instance reports of itself now."""
        return await self._order_connection.call("status()", timeout_s)

    async def wait(self, position: Position, timeout_s: float) -> InstanceStatus:
        """Return its status once it has reached a position, or at the timeout."""
        arguments = f"{position.term}, {position.index}, {int(timeout_s * 1000)}"
        return await self._wait_connection.call(
            f"wait({arguments})", timeout_s + WAIT_GRACE_S
        )

    async def fence(
        self, term: int, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> InstanceStatus:
        """Order it to take no log from a term lower than this one."""
        return await self._order_connection.call(f"fence({term})", timeout_s)

    async def promote(
        self, term: int, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> InstanceStatus:
        """Order it to become the primary of a term that fenced it."""
        return await self._order_connection.call(f"promote({term})", timeout_s)

    async def follow(
        self, leader: Address, term: int, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> InstanceStatus:
        """Order it to follow the primary of a term."""
        return await self._order_connection.call(
            f"follow('{leader}', {term})", timeout_s
        )

    async def join(
        self, term: int, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> InstanceStatus:
        """Order it to count in majorities once it holds an entry of the term."""
        return await self._order_connection.call(f"join({term})", timeout_s)

    async def close(self) -> None:
        """Close the channel."""
        self._order_connection.close()
        self._wait_connection.close()


class _ControlConnection:
    """A connection for control calls, opened anew when it is lost."""

    def __init__(self, connector: MysqlConnector, name: str, address: Address) -> None:
        self._connector = connector
        self._name = name
        self._address = address
        self._conn: MysqlConn | None = None
        self._lock = asyncio.Lock()

    async def call(self, order: str, timeout_s: float) -> InstanceStatus:
        """Give an order and return the status that answers it.

        Raises:
            TargetDown: the instance can't be connected to.
            TargetLost: it gave no answer; the order may have been carried out.
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
        """Close the connection; the next call opens another one."""
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
