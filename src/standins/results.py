"""Result sets with the column types that MySQL clients expect."""

import asyncio
import sqlite3
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import fields
from typing import Any

from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType

from standins.exceptions import call_sqlite

FETCH_BATCH_ROWS = 1_000  # fetched before the event loop runs other tasks
Row = Sequence[Any]

_COLUMN_TYPE_BY_VALUE_TYPE = {
    int: ColumnType.LONGLONG,
    float: ColumnType.DOUBLE,
    str: ColumnType.VAR_STRING,
    bytes: ColumnType.BLOB,
}
_COLUMN_TYPE_BY_DECLARED_PART = (
    ("INT", ColumnType.LONGLONG),
    ("BLOB", ColumnType.BLOB),
    ("BINARY", ColumnType.BLOB),
    ("REAL", ColumnType.DOUBLE),
    ("FLOA", ColumnType.DOUBLE),
    ("DOUB", ColumnType.DOUBLE),
)


class ColumnTypes:
    """Collects the types of the values in each column of a result.

    Sqlite types each value and not the column, but MySQL sends one type per column.

    Args:
        names: Names of the columns.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names
        self._value_types: list[set[type]] = [set() for _ in names]

    def add(self, rows: Sequence[Row]) -> None:
        """Record the types of the values in some rows."""
        for i, value_types in enumerate(self._value_types):
            value_types.update(type(row[i]) for row in rows)

    def columns(self, declared: Mapping[str, str]) -> list[ResultColumn]:
        """Return the columns, each with a type that fits all its values.

        Args:
            declared: Declared type by column name, for columns without a value.
        """
        return [
            ResultColumn(name, _column_type(value_types, declared.get(name, "")))
            for name, value_types in zip(self._names, self._value_types, strict=True)
        ]


def make_result(names: Sequence[str], rows: Sequence[Row]) -> ResultSet:
    """Build a result set from rows that are all in memory."""
    column_types = ColumnTypes(names)
    column_types.add(rows)
    return ResultSet(rows, column_types.columns({}))


async def fetch_result(
    cursor: sqlite3.Cursor, declared: Mapping[str, str]
) -> ResultSet:
    """Fetch all rows in batches, between which other tasks can run.

    Args:
        cursor: Cursor of a statement that was executed.
        declared: Declared type by column name, for columns without a value.

    Raises:
        SqlError: The statement failed while it produced a row.
    """
    rows: list[Row] = []
    column_types = ColumnTypes([item[0] for item in cursor.description or ()])
    while batch := call_sqlite(lambda: cursor.fetchmany(FETCH_BATCH_ROWS)):
        column_types.add(batch)
        rows.extend(batch)
        if len(batch) == FETCH_BATCH_ROWS:
            await asyncio.sleep(0)
    return ResultSet(rows, column_types.columns(declared))


def make_records_result(kind: type, records: Iterable[Any]) -> ResultSet:
    """Build a result set from dataclass instances, with one column for each field."""
    names = [item.name for item in fields(kind)]
    rows = [tuple(getattr(record, name) for name in names) for record in records]
    columns = [
        ResultColumn(
            item.name,
            ColumnType.VAR_STRING if item.type is str else ColumnType.LONGLONG,
        )
        for item in fields(kind)
    ]
    return ResultSet(rows, columns)


def _column_type(value_types: set[type], declared: str) -> ColumnType:
    value_types = value_types - {type(None)}
    if len(value_types) == 1:
        return _COLUMN_TYPE_BY_VALUE_TYPE[next(iter(value_types))]
    if value_types == {int, float}:
        return ColumnType.DOUBLE
    if bytes in value_types:
        return ColumnType.BLOB
    return ColumnType.VAR_STRING if value_types else _declared_type(declared)


def _declared_type(declared: str) -> ColumnType:
    for part, column_type in _COLUMN_TYPE_BY_DECLARED_PART:
        if part in declared.upper():
            return column_type
    return ColumnType.VAR_STRING
