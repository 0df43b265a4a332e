"""One MySQL session on an instance: its variables, transaction and statements."""

import asyncio
import re
from dataclasses import dataclass

from mysql_mimic.results import ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from standins.controls import Controls, parse_call
from standins.dialect import Statement, StatementKind, parse
from standins.instance import Instance, Transaction, new_inputs
from standins.results import fetch_result, make_result

_VARIABLE_ITEM = re.compile(
    r"@@(?:(?:session|global|local)\.)?(\w+)(?:\s+AS\s+[`'\"]?(\w+)[`'\"]?)?",
    re.IGNORECASE,
)
_VARIABLES_QUERY = re.compile(r"^\s*SELECT\s+(@@.+?)(?:\s+LIMIT\s+\d+)?$", re.I | re.S)
_AUTOCOMMIT = re.compile(
    r"\bautocommit\s*=\s*'?(0|1|ON|OFF|TRUE|FALSE)\b", re.IGNORECASE
)
_SHOW_TABLES = (
    "SELECT name AS Tables FROM sqlite_master "
    "WHERE type = 'table' AND name NOT LIKE 'sqlite_%' ORDER BY name"
)
_SHOW_EMPTY = "SELECT '' AS Variable_name, '' AS Value WHERE 0"


@dataclass(frozen=True)
class Outcome:
    """Counts that the next OK packet reports for a statement without rows."""

    affected_rows: int = 0
    last_insert_id: int = 0


class TargetSession(BaseSession):
    """Runs the statements of one connection.

    Transactions are READ COMMITTED: a read sees the last commit. The first write or
    locking read of a transaction takes the write lock of the instance; later reads of
    that transaction also see its own changes.

    Args:
        instance: The instance that runs the statements.
        controls: Handles the control calls.

    Attributes:
        variables: Variables that SELECT @@name returns.
        username: User of the connection; None before its authentication.
        database: Default database, which has no effect.
        outcome: Outcome of the last statement until `take_outcome` returns it.
    """

    def __init__(self, instance: Instance, controls: Controls) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
        self.outcome = Outcome()
        self._instance = instance
        self._controls = controls
        self._autocommit = True
        self._in_transaction = False
        self._tx: Transaction | None = None
        self._last_insert_id = 0
        self._handlers = {
            StatementKind.READ: self._read,
            StatementKind.WRITE: self._write,
            StatementKind.SAVEPOINT: self._savepoint,
            StatementKind.BEGIN: self._begin,
            StatementKind.COMMIT: self._commit,
            StatementKind.ROLLBACK: self._rollback,
            StatementKind.SET: self._set,
            StatementKind.SHOW: self._show,
            StatementKind.NOTHING: self._ignore,
        }

    @property
    def status_flags(self) -> ServerStatus:
        """Status flags of the session for OK and EOF packets."""
        flags = ServerStatus(0)
        if self._autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self._in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        return flags

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> ResultSet | None:
        """Run one statement.

        Args:
            sql: Text of the statement.
            attrs: Query attributes, which are ignored.

        Returns:
            The rows, or None for a statement without rows.

        Raises:
            SqlError: The statement failed.
        """
        self.outcome = Outcome()
        call = parse_call(sql)
        if call is not None:
            return await self._controls.answer(call)
        stmt = parse(sql)
        return await self._handlers[stmt.kind](stmt)

    def take_outcome(self) -> Outcome:
        """Return the outcome of the last statement and reset it."""
        outcome, self.outcome = self.outcome, Outcome()
        return outcome

    async def use(self, database: str) -> None:
        """Record the default database; each instance has a single database."""
        self.database = database

    async def reset(self) -> None:
        """Roll back and return to the state of a new session."""
        self._rollback_transaction()
        self._autocommit = True
        self._last_insert_id = 0

    async def close(self) -> None:
        """Roll back an open transaction."""
        self._rollback_transaction()

    async def _read(self, stmt: Statement) -> ResultSet:
        variables = self._read_variables(stmt.sql)
        if variables is not None:
            return variables
        self._begin_implicitly()
        if stmt.locks and self._in_transaction and self._is_writable():
            await self._ensure_write_transaction()
        if self._tx is not None:
            return await self._read_in_transaction(self._tx, stmt)
        async with self._instance.slots.hold():
            await self._simulate_work(stmt)
            database = self._instance.database
            with database.reader() as conn:
                cursor = conn.execute(stmt.sql, new_inputs(self._last_insert_id))
                return await fetch_result(cursor, database.declared_types)

    async def _read_in_transaction(self, tx: Transaction, stmt: Statement) -> ResultSet:
        self._instance.check_open(tx)
        async with self._instance.slots.hold():
            await self._simulate_work(stmt)
            self._instance.check_open(tx)
            database = self._instance.database
            inputs = new_inputs(self._last_insert_id)
            cursor = database.writer.execute(stmt.sql, inputs)
            try:
                return await fetch_result(cursor, database.declared_types)
            finally:
                self._instance.check_open(tx)

    async def _write(self, stmt: Statement) -> None:
        self._begin_implicitly()
        if self._in_transaction:
            tx = await self._ensure_write_transaction()
            self._instance.check_open(tx)
            async with self._instance.slots.hold():
                await self._execute_write(tx, stmt)
            return
        tx = await self._instance.begin()
        try:
            async with self._instance.slots.hold():
                await self._execute_write(tx, stmt)
                self._instance.commit(tx)
        finally:
            self._instance.rollback(tx)

    async def _execute_write(self, tx: Transaction, stmt: Statement) -> None:
        await self._simulate_work(stmt)
        cursor = self._instance.run(tx, stmt.sql, self._last_insert_id)
        insert_id = self._instance.database.insert_id(stmt.sql, cursor)
        self._last_insert_id = insert_id or self._last_insert_id
        self.outcome = Outcome(max(cursor.rowcount, 0), insert_id)

    async def _savepoint(self, stmt: Statement) -> None:
        if self._in_transaction:
            await self._write(stmt)

    async def _begin(self, stmt: Statement) -> None:
        self._commit_transaction()
        self._in_transaction = True

    async def _commit(self, stmt: Statement) -> None:
        self._commit_transaction()

    async def _rollback(self, stmt: Statement) -> None:
        self._rollback_transaction()

    async def _set(self, stmt: Statement) -> None:
        match = _AUTOCOMMIT.search(stmt.sql)
        if match is None:
            return
        enabled = match.group(1).upper() in ("1", "ON", "TRUE")
        if enabled and not self._autocommit:
            self._commit_transaction()
        self._autocommit = enabled

    async def _show(self, stmt: Statement) -> ResultSet:
        lists_tables = " TABLES" in stmt.sql.upper()
        sql = _SHOW_TABLES if lists_tables else _SHOW_EMPTY
        return await self._read(Statement(StatementKind.READ, sql))

    async def _ignore(self, stmt: Statement) -> None:
        return None

    async def _simulate_work(self, stmt: Statement) -> None:
        work_ms = self._instance.work_ms + stmt.work_ms
        if work_ms > 0:
            await asyncio.sleep(work_ms / 1000)

    def _is_writable(self) -> bool:
        inst = self._instance
        return inst.is_primary and inst.fence_term <= inst.term

    async def _ensure_write_transaction(self) -> Transaction:
        if self._tx is None:
            self._tx = await self._instance.begin()
        return self._tx

    def _begin_implicitly(self) -> None:
        if not self._autocommit:
            self._in_transaction = True

    def _commit_transaction(self) -> None:
        tx, self._tx = self._tx, None
        self._in_transaction = False
        if tx is not None:
            self._instance.commit(tx)

    def _rollback_transaction(self) -> None:
        tx, self._tx = self._tx, None
        self._in_transaction = False
        if tx is not None:
            self._instance.rollback(tx)

    def _read_variables(self, sql: str) -> ResultSet | None:
        match = _VARIABLES_QUERY.match(sql) if "@@" in sql else None
        if match is None:
            return None
        names, values = [], []
        for item in _VARIABLE_ITEM.finditer(match.group(1)):
            names.append(item.group(2) or item.group(0).split()[0])
            values.append(self._variable_value(item.group(1).lower()))
        return make_result(names, [values])

    def _variable_value(self, name: str) -> str | int | None:
        if name == "autocommit":
            return int(self._autocommit)
        value = self.variables.get(name)
        return int(value) if isinstance(value, bool) else value
