"""Exceptions of the stand-ins and the translation of sqlite errors to MySQL codes."""

import re
import sqlite3
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from mysql_mimic.errors import MysqlError

if TYPE_CHECKING:
    from standins.store import Item

ACCESS_DENIED = 1045
BAD_FIELD = 1054
CHECK_VIOLATED = 3819
DUPLICATE_ENTRY = 1062
FOREIGN_KEY_FAILED = 1452
LOCK_WAIT_TIMEOUT = 1205
NO_SUCH_FUNCTION = 1305
WRONG_ARGUMENTS = 1318
NO_SUCH_TABLE = 1146
NOT_NULL = 1048
PARSE_ERROR = 1064
READ_ONLY = 1290
TABLE_EXISTS = 1050
TOO_MANY_CONNECTIONS = 1040
UNKNOWN_ERROR = 1105

SQLSTATES = {
    ACCESS_DENIED: "28000",
    BAD_FIELD: "42S22",
    DUPLICATE_ENTRY: "23000",
    FOREIGN_KEY_FAILED: "23000",
    NO_SUCH_FUNCTION: "42000",
    WRONG_ARGUMENTS: "42000",
    NO_SUCH_TABLE: "42S02",
    NOT_NULL: "23000",
    PARSE_ERROR: "42000",
    TABLE_EXISTS: "42S01",
    TOO_MANY_CONNECTIONS: "08004",
}
DEFAULT_SQLSTATE = "HY000"

Result = TypeVar("Result")

_SQLITE_PATTERNS = (
    (re.compile(r"no such table: (\S+)"), NO_SUCH_TABLE, "Table '{}' doesn't exist"),
    (
        re.compile(r"no such column: (\S+)"),
        BAD_FIELD,
        "Unknown column '{}' in 'field list'",
    ),
    (
        re.compile(r"has no column named (\S+)"),
        BAD_FIELD,
        "Unknown column '{}' in 'field list'",
    ),
    (re.compile(r"already exists"), TABLE_EXISTS, ""),
    (re.compile(r"no such function: (\S+)"), NO_SUCH_FUNCTION, ""),
    (re.compile(r"UNIQUE constraint failed: (\S+)"), DUPLICATE_ENTRY, ""),
    (re.compile(r"PRIMARY KEY must be unique"), DUPLICATE_ENTRY, ""),
    (
        re.compile(r"NOT NULL constraint failed: (\S+)"),
        NOT_NULL,
        "Column '{}' cannot be null",
    ),
    (re.compile(r"FOREIGN KEY constraint failed"), FOREIGN_KEY_FAILED, ""),
    (re.compile(r"CHECK constraint failed"), CHECK_VIOLATED, ""),
    (re.compile(r"database (table )?is locked"), LOCK_WAIT_TIMEOUT, ""),
    (re.compile(r"syntax error|incomplete input|unrecognized token"), PARSE_ERROR, ""),
    (re.compile(r"one statement at a time|number of bindings"), PARSE_ERROR, ""),
)


class StandinError(Exception):
    """Base class of the exceptions of the stand-ins."""


class UsageError(StandinError):
    """A command line flag has an invalid value."""


class SqlError(StandinError, MysqlError):
    """An error that a MySQL client receives with its code and SQLSTATE.

    Args:
        code: MySQL error code.
        msg: Error message.
    """

    def __init__(self, code: int, msg: str) -> None:
        MysqlError.__init__(self, msg, code)

    @property
    def sqlstate(self) -> str:
        """SQLSTATE that belongs to the code."""
        return SQLSTATES.get(self.code, DEFAULT_SQLSTATE)


class LinkCutError(StandinError):
    """The leader did not answer or is partitioned, or replication has stopped."""


class StoreError(StandinError):
    """Base class of the errors that the key-value store returns."""


class ValueTooLargeError(StoreError):
    """A value is larger than the limit."""


class NoSuchLeaseError(StoreError):
    """A lease does not exist or has expired."""


class ConflictError(StoreError):
    """A compare-and-swap expected a revision that the key does not have.

    Args:
        current: Present state of the key.
        expect: Revision that the caller expected.

    Attributes:
        current: Present state of the key.
    """

    def __init__(self, current: "Item", expect: int) -> None:
        super().__init__(
            f"key {current.key!r} is at revision {current.expected}, not {expect}"
        )
        self.current = current


def syntax_error(detail: str) -> SqlError:
    """Return the error for a statement that can't be parsed."""
    return SqlError(
        PARSE_ERROR, f"You have an error in your SQL syntax; near '{detail}'"
    )


def from_sqlite(exc: sqlite3.Error) -> SqlError:
    """Return the MySQL error that corresponds to an sqlite error."""
    text = str(exc)
    for pattern, code, template in _SQLITE_PATTERNS:
        match = pattern.search(text)
        if match is None:
            continue
        if code == DUPLICATE_ENTRY:
            return SqlError(code, f"Duplicate entry: {text}")
        msg = template.format(*match.groups()) if template else text
        return SqlError(code, msg)
    return SqlError(UNKNOWN_ERROR, text)


def call_sqlite(run: Callable[[], Result]) -> Result:
    """Call a function that uses sqlite and raise its errors as MySQL errors.

    Args:
        run: The function, without parameters.

    Returns:
        The result of the function.

    Raises:
        SqlError: The statement failed.
    """
    try:
        return run()
    except sqlite3.Error as exc:
        raise from_sqlite(exc) from exc
    except ValueError as exc:
        raise syntax_error(str(exc)) from exc
