"""Encodes MySQL packets.

These are packets that mysql-mimic lacks, or whose contents it doesn't let its user
choose.
"""

import struct
from collections.abc import Callable, Iterable, Sequence
from datetime import date, datetime, timedelta
from decimal import Decimal

from mysql_mimic.types import (
    ColumnType,
    str_len,
    uint_len,
)

from wasabipitch.contracts import Row
from wasabipitch.models import Column
from wasabipitch.parameters import PreparedStatement

SERVER_STATUS_IN_TRANS = 0x0001
SERVER_STATUS_AUTOCOMMIT = 0x0002
BINARY_CHARSET = 63
# In a column definition, this value means that the number of decimals varies.
FLOAT_DECIMALS = 31
DEFAULT_COLUMN_LENGTH = 1024
FIXED_FIELDS_LENGTH = 0x0C
ZERO_DATE = "0000-00-00"

_INTEGER_TYPES = {
    ColumnType.TINY,
    ColumnType.SHORT,
    ColumnType.LONG,
    ColumnType.LONGLONG,
    ColumnType.INT24,
    ColumnType.YEAR,
}
# The length prefixes of one byte; strings of 251 bytes or more have longer prefixes.
_SHORT_LENGTHS = [bytes([n]) for n in range(251)]
_NULL = b"\xfb"


def make_ok(
    *, status: int, affected_rows: int = 0, last_insert_id: int = 0, eof: bool = False
) -> bytes:
    """Return an OK packet.

    Args:
        status: The status flags of the session.
        affected_rows: The number of rows that the statement changed.
        last_insert_id: The first automatic key that it made, or 0.
        eof: Whether the packet ends a result set in place of an EOF packet.
    """
    header = b"\xfe" if eof else b"\x00"
    counts = uint_len(affected_rows) + uint_len(last_insert_id)
    return header + counts + struct.pack("<HH", status, 0)


def make_eof(status: int) -> bytes:
    """Return an EOF packet.

    It is for callers without the capability CLIENT_DEPRECATE_EOF.
    """
    return b"\xfe" + struct.pack("<HH", 0, status)


def make_error(code: int, sqlstate: str, text: str) -> bytes:
    """Return an error packet.

    Args:
        code: The MySQL error number.
        sqlstate: Padded or cut to five characters.
        text: The error message.
    """
    padded_sqlstate = sqlstate.encode("ascii", "replace")[:5].ljust(5, b"0")
    return b"\xff" + struct.pack("<H", code) + b"#" + padded_sqlstate + text.encode()


def make_column_count(count: int) -> bytes:
    """Return the first packet of a result set, which gives the number of columns."""
    return uint_len(count)


def make_column(column: Column, codec: str, charset: int | None = None) -> bytes:
    """Return a column definition packet.

    Args:
        column: The column.
        codec: The Python codec of the caller's character set, for the name.
        charset: The MySQL number of the character set that a text column is sent in;
            None: the column's own.
    """
    name = str_len(column.name.encode(codec, "replace"))
    charset_number = column.charset
    if charset is not None and charset_number != BINARY_CHARSET:
        charset_number = charset
    is_float = column.type_code in (ColumnType.FLOAT, ColumnType.DOUBLE)
    fixed = struct.pack(
        "<HIBHBH",
        charset_number,
        DEFAULT_COLUMN_LENGTH,
        column.type_code,
        0,
        FLOAT_DECIMALS if is_float else 0,
        0,
    )
    # The catalogue, then the empty schema, table and original table.
    prefix = str_len(b"def") + b"\x00\x00\x00"
    return prefix + name + name + uint_len(FIXED_FIELDS_LENGTH) + fixed


def make_prepare_ok(statement: PreparedStatement) -> bytes:
    """Return the first packet of the response to COM_STMT_PREPARE."""
    count = statement.parameter_count
    return b"\x00" + struct.pack("<IHHBH", statement.number, 0, count, 0, 0)


def make_text_row(row: Row) -> bytes:
    """Return a row packet of the text protocol."""
    parts = []
    for value in row:
        if value is None:
            parts.append(_NULL)
            continue
        size = len(value)
        parts.append(_SHORT_LENGTHS[size] if size < 251 else uint_len(size))
        parts.append(value)
    return b"".join(parts)


def widen_column(column: Column) -> Column:
    """Return the column with the type in which the binary protocol sends it.

    All integers are sent as signed 64-bit integers, since ``Column`` doesn't say
    whether they are unsigned, and this range includes all smaller types.
    """
    if column.type_code not in _INTEGER_TYPES:
        return column
    return Column(column.name, int(ColumnType.LONGLONG), column.charset)


def choose_encoders(columns: Iterable[Column]) -> list[Callable[[bytes], bytes]]:
    """Return a function per column that converts text values to binary ones."""
    return [_choose_encoder(c.type_code) for c in columns]


def make_binary_row(row: Row, encoders: Sequence[Callable[[bytes], bytes]]) -> bytes:
    """Return a row packet of the binary protocol.

    Args:
        row: The values in text form.
        encoders: A function per column, from ``choose_encoders``.

    Raises:
        ValueError: If a value does not have its column's type.
    """
    # The NULL bitmap of a row begins with two unused bits.
    nulls = bytearray((len(row) + 9) // 8)
    parts = []
    for i, value in enumerate(row):
        if value is None:
            nulls[(i + 2) // 8] |= 1 << ((i + 2) % 8)
        else:
            parts.append(encoders[i](value))
    return b"\x00" + bytes(nulls) + b"".join(parts)


def _choose_encoder(type_code: int) -> Callable[[bytes], bytes]:
    if type_code in _INTEGER_TYPES:
        return _encode_integer
    if type_code == ColumnType.DOUBLE:
        return lambda value: struct.pack("<d", float(value))
    if type_code == ColumnType.FLOAT:
        return lambda value: struct.pack("<f", float(value))
    if type_code == ColumnType.DATE:
        return _encode_date
    if type_code in (ColumnType.DATETIME, ColumnType.TIMESTAMP):
        return _encode_datetime
    if type_code == ColumnType.TIME:
        return _encode_time
    return str_len


def _encode_integer(value: bytes) -> bytes:
    number = int(value)
    try:
        return struct.pack("<q", number)
    except struct.error:
        raise ValueError(f"integer {number} does not fit in 64 signed bits") from None


def _encode_date(value: bytes) -> bytes:
    text = value.decode("ascii")
    if text.startswith(ZERO_DATE):
        return b"\x00"
    day = date.fromisoformat(text)
    return b"\x04" + struct.pack("<HBB", day.year, day.month, day.day)


def _encode_datetime(value: bytes) -> bytes:
    text = value.decode("ascii")
    if text.startswith(ZERO_DATE):
        return b"\x00"
    at = datetime.fromisoformat(text)
    packed = struct.pack("<HBB", at.year, at.month, at.day)
    packed += struct.pack("<BBB", at.hour, at.minute, at.second)
    if at.microsecond:
        packed += struct.pack("<I", at.microsecond)
    return bytes([len(packed)]) + packed


def _encode_time(value: bytes) -> bytes:
    text = value.decode("ascii")
    hours, minutes, seconds = text.lstrip("-").split(":")
    duration = timedelta(
        hours=int(hours), minutes=int(minutes), microseconds=_to_microseconds(seconds)
    )
    whole_hours, remaining_s = divmod(duration.seconds, 3600)
    packed = struct.pack(
        "<BIBBB",
        text.startswith("-"),
        duration.days,
        whole_hours,
        remaining_s // 60,
        remaining_s % 60,
    )
    if duration.microseconds:
        packed += struct.pack("<I", duration.microseconds)
    return bytes([len(packed)]) + packed


def _to_microseconds(seconds: str) -> int:
    return int(Decimal(seconds) * 1_000_000)
