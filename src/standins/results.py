"""Result sets with the column types that MySQL clients expect."""

import asyncio
import sqlite3
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import fields
from typing import Any

from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType

FETCH_ROWS = 1_000  # rows fetched before other tasks get a turn
Row = Sequence[Any]

_TYPES = {
    int: ColumnType.LONGLONG,
    float: ColumnType.DOUBLE,
    str: ColumnType.VAR_STRING,
    bytes: ColumnType.BLOB,
}
_DECLARED = (
    ("INT", ColumnType.LONGLONG),
    ("BLOB", ColumnType.BLOB),
    ("BINARY", ColumnType.BLOB),
    ("REAL", ColumnType.DOUBLE),
    ("FLOA", ColumnType.DOUBLE),
    ("DOUB", ColumnType.DOUBLE),
)


def make_result(
    names: Sequence[str], rows: Sequence[Row], declared: Mapping[str, str]
) -> ResultSet:
    """Build a result set whose column types fit all its values.

    Args:
        names: Names of the columns.
        rows: All rows.
        declared: Declared type by column name, for columns without a value.
    """
    columns = [
        ResultColumn(name, _column_type([row[i] for row in rows], declared.get(name)))
        for i, name in enumerate(names)
    ]
    return ResultSet(rows, columns)


def records_result(kind: type, records: Iterable[Any]) -> ResultSet:
    """Build a result set from instances of one data class, a column a field."""
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


async def fetch_all(cursor: sqlite3.Cursor) -> list[Row]:
    """Fetch all rows in blocks, with turns for other tasks between them."""
    rows: list[Row] = []
    while block := cursor.fetchmany(FETCH_ROWS):
        rows.extend(block)
        if len(block) == FETCH_ROWS:
            await asyncio.sleep(0)
    return rows


def _column_type(values: Iterable[Any], declared: str | None) -> ColumnType:
    kinds = {type(value) for value in values}
    kinds.discard(type(None))
    if len(kinds) == 1:
        return _TYPES[kinds.pop()]
    if kinds == {int, float}:
        return ColumnType.DOUBLE
    if bytes in kinds:
        return ColumnType.BLOB
    if kinds:
        return ColumnType.VAR_STRING
    return _declared_type(declared or "")


def _declared_type(declared: str) -> ColumnType:
    for part, column_type in _DECLARED:
        if part in declared.upper():
            return column_type
    return ColumnType.VAR_STRING
