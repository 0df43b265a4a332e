"""The sqlite database of one instance: one writer and several snapshot readers.

MySQL functions are emulated by functions that take time, random values and the last
insert id from given inputs, so that a replay of the log gives the same data.
"""

import random
import re
import sqlite3
import time
import uuid
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from typing import Any

from standins.exceptions import call_sqlite
from standins.log import Entry, StatementInputs

SERVER_VERSION = "8.0.29"
BUSY_TIMEOUT_S = 5.0
CACHED_STATEMENTS = 64
_INSERT_INTO = re.compile(
    r"^\s*(?:INSERT|REPLACE)\b.*?\bINTO\s+[`\"]?(\w+)", re.IGNORECASE | re.DOTALL
)
_SCHEMA_WORDS = ("CREATE", "DROP", "ALTER")


class SqliteConnection:
    """A connection whose SQL functions depend only on the inputs of a statement."""

    def __init__(self, path: Path) -> None:
        self.raw = sqlite3.connect(
            path,
            timeout=BUSY_TIMEOUT_S,
            isolation_level=None,
            cached_statements=CACHED_STATEMENTS,
        )
        self._inputs = StatementInputs()
        self._random = random.Random(0)
        self.raw.execute("PRAGMA synchronous=OFF")
        self._add_functions()

    def execute(self, sql: str, inputs: StatementInputs) -> sqlite3.Cursor:
        """Run one statement.

        Raises:
            SqlError: The statement failed; sqlite has undone its changes.
        """
        self._inputs = inputs
        self._random.seed(inputs.seed)
        return call_sqlite(lambda: self.raw.execute(sql))

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        self.raw.close()

    def _add_functions(self) -> None:
        add = self.raw.create_function
        for name in ("now", "current_timestamp", "utc_timestamp", "sysdate"):
            add(name, 0, self._now)
        add("unix_timestamp", 0, lambda: self._inputs.at_ms // 1000)
        add("rand", 0, self._random.random)
        add("random", 0, lambda: self._random.getrandbits(63))
        add("uuid", 0, self._uuid)
        add("last_insert_id", 0, lambda: self._inputs.last_insert_id)
        add("sleep", 1, lambda _seconds: 0)
        add("version", 0, lambda: SERVER_VERSION)
        add("database", 0, lambda: None)
        add("concat", -1, _concat, deterministic=True)
        add("if", 3, lambda cond, yes, no: yes if cond else no, deterministic=True)

    def _now(self) -> str:
        return time.strftime(
            "%Y-%m-%d %H:%M:%S", time.gmtime(self._inputs.at_ms / 1000)
        )

    def _uuid(self) -> str:
        return str(uuid.UUID(int=self._random.getrandbits(128), version=4))


class Database:
    """A database file with one writing connection and a pool of reading ones.

    Args:
        directory: Private directory that holds the file.

    Attributes:
        writer: The only connection that changes data.
        declared_types: Declared type of each column by column name, over all tables.
    """

    _file_numbers = count(1)

    def __init__(self, directory: Path) -> None:
        self._path = directory / f"data-{next(self._file_numbers)}.sqlite"
        self.writer = SqliteConnection(self._path)
        self.writer.raw.execute("PRAGMA journal_mode=WAL")
        self._idle_readers: list[SqliteConnection] = []
        self._closed = False
        self._auto_increment_tables: frozenset[str] = frozenset()
        self.declared_types: dict[str, str] = {}

    @contextmanager
    def reader(self) -> Iterator[SqliteConnection]:
        """Check out a connection that sees only committed data."""
        conn = self._idle_readers.pop() if self._idle_readers else self._new_reader()
        try:
            yield conn
        finally:
            if self._closed:
                conn.close()
            else:
                self._idle_readers.append(conn)

    def replay(self, entry: Entry) -> None:
        """Apply a transaction from the log."""
        self.writer.raw.execute("BEGIN IMMEDIATE")
        try:
            for stmt in entry.statements:
                self.writer.execute(stmt.sql, stmt.inputs)
        except BaseException:
            self.writer.raw.execute("ROLLBACK")
            raise
        self.writer.raw.execute("COMMIT")
        self.update_schema(stmt.sql for stmt in entry.statements)

    def update_schema(self, statements: Iterable[str]) -> None:
        """Read the schema again if one of the statements may have changed it."""
        if any(
            sql.lstrip()[:6].upper().startswith(_SCHEMA_WORDS) for sql in statements
        ):
            self._read_schema()

    def insert_id(self, sql: str, cursor: sqlite3.Cursor) -> int:
        """Return the first id that an INSERT generated, or 0 if there is none."""
        match = _INSERT_INTO.match(sql)
        if match is None or match.group(1).lower() not in self._auto_increment_tables:
            return 0
        if cursor.rowcount < 1 or not cursor.lastrowid:
            return 0
        return cursor.lastrowid - cursor.rowcount + 1

    def close(self) -> None:
        """Close the idle connections and delete the files.

        A reader that is checked out closes when it is returned.
        """
        self._closed = True
        self.writer.close()
        while self._idle_readers:
            self._idle_readers.pop().close()
        for suffix in ("", "-wal", "-shm"):
            Path(f"{self._path}{suffix}").unlink(missing_ok=True)

    def _new_reader(self) -> SqliteConnection:
        conn = SqliteConnection(self._path)
        conn.raw.execute("PRAGMA query_only=ON")
        return conn

    def _read_schema(self) -> None:
        raw = self.writer.raw
        tables = raw.execute("SELECT name, sql FROM sqlite_master WHERE type='table'")
        auto_increment_tables, types = set(), {}
        for name, sql in tables.fetchall():
            if "AUTOINCREMENT" in (sql or "").upper():
                auto_increment_tables.add(name.lower())
            for column in raw.execute(f'PRAGMA table_info("{name}")').fetchall():
                types[column[1]] = column[2]
        self._auto_increment_tables = frozenset(auto_increment_tables)
        self.declared_types = types


def _concat(*values: Any) -> str | None:
    if any(value is None for value in values):
        return None
    return "".join(str(value) for value in values)
