"""MySQL packets that mysql-mimic lacks, or whose contents it fixes itself."""

import contextlib
import io
import struct
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import date, datetime, timedelta
from decimal import Decimal, InvalidOperation
from typing import Any

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.types import (
    Capabilities,
    ColumnType,
    read_str_len,
    read_uint_len,
    str_len,
    uint_len,
)

from wasabipitch.contracts import Row
from wasabipitch.models import Column
from wasabipitch.statements import quote

SERVER_STATUS_IN_TRANS = 0x0001
SERVER_STATUS_AUTOCOMMIT = 0x0002
PARAMETER_COUNT_AVAILABLE = 0x08
UNSIGNED_PARAMETER = 0x80
BINARY_CHARSET = 63
FLOAT_DECIMALS = 31
DEFAULT_COLUMN_LENGTH = 1024
FIXED_FIELDS_LENGTH = 0x0C

_INTEGER_TYPES = {
    ColumnType.TINY,
    ColumnType.SHORT,
    ColumnType.LONG,
    ColumnType.LONGLONG,
    ColumnType.INT24,
    ColumnType.YEAR,
}
_DATE_TYPES = {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}
_SHORT_LENGTHS = [bytes([n]) for n in range(251)]
_NULL = b"\xfb"
_NO_ATTRIBUTES = b"\x00\x01"


@dataclass(slots=True)
class Prepared:
    """A prepared statement of one connection.

    Args:
        pieces: the text between its parameters.
        types: the parameters' types and names as last bound.
        long_data: parameters that came in parts.
        overlong: whether those parts exceeded the limit.
    """

    number: int
    pieces: list[str]
    types: list[tuple[int, bool, str]] = field(default_factory=list)
    long_data: dict[int, bytearray] = field(default_factory=dict)
    overlong: bool = False

    def forget_long_data(self) -> None:
        """Drop the parameters that came in parts."""
        self.long_data.clear()
        self.overlong = False

    @property
    def parameter_count(self) -> int:
        """How many parameters it has."""
        return len(self.pieces) - 1


def make_ok(
    *, status: int, affected_rows: int = 0, last_insert_id: int = 0, eof: bool = False
) -> bytes:
    """Return an OK packet; ``eof`` for the one that ends a result set."""
    head = b"\xfe" if eof else b"\x00"
    counts = uint_len(affected_rows) + uint_len(last_insert_id)
    return head + counts + struct.pack("<HH", status, 0)


def make_eof(status: int) -> bytes:
    """Return an EOF packet, for callers that do not take an OK in its place."""
    return b"\xfe" + struct.pack("<HH", 0, status)


def make_error(code: int, sqlstate: str, text: str) -> bytes:
    """Return an error packet."""
    state = sqlstate.encode("ascii", "replace")[:5].ljust(5, b"0")
    return b"\xff" + struct.pack("<H", code) + b"#" + state + text.encode()


def make_column_count(count: int) -> bytes:
    """Return the packet that begins a result set."""
    return uint_len(count)


def make_column(column: Column, codec: str, charset: int | None = None) -> bytes:
    """Return a column definition.

    Args:
        column: the column.
        codec: of the caller's character set, for the name.
        charset: replaces the column's character set, except for binary ones.
    """
    name = str_len(column.name.encode(codec, "replace"))
    number = column.charset
    if charset is not None and number != BINARY_CHARSET:
        number = charset
    is_float = column.type_code in (ColumnType.FLOAT, ColumnType.DOUBLE)
    fixed = struct.pack(
        "<HIBHBH",
        number,
        DEFAULT_COLUMN_LENGTH,
        column.type_code,
        0,
        FLOAT_DECIMALS if is_float else 0,
        0,
    )
    # Catalogue, schema, table and original table come before both names.
    head = str_len(b"def") + b"\x00\x00\x00"
    return head + name + name + uint_len(FIXED_FIELDS_LENGTH) + fixed


def make_prepare_ok(statement: Prepared) -> bytes:
    """Return the first packet of the answer to a prepare command."""
    count = statement.parameter_count
    return b"\x00" + struct.pack("<IHHBH", statement.number, 0, count, 0, 0)


def make_text_row(row: Row) -> bytes:
    """Return a row of the text protocol."""
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
    """Return the column as the binary protocol sends it.

    Integers travel as 64-bit ones, because columns do not say whether they are
    unsigned.
    """
    if column.type_code not in _INTEGER_TYPES:
        return column
    return Column(column.name, int(ColumnType.LONGLONG), column.charset)


def choose_encoders(columns: Iterable[Column]) -> list[Callable[[bytes], bytes]]:
    """Return for each column what turns its text form into its binary form."""
    return [_choose_encoder(c.type_code) for c in columns]


def make_binary_row(row: Row, encoders: Sequence[Callable[[bytes], bytes]]) -> bytes:
    """Return a row of the binary protocol.

    Raises:
        ValueError: if a value does not have its column's type.
    """
    nulls = bytearray((len(row) + 9) // 8)
    parts = []
    for i, value in enumerate(row):
        if value is None:
            nulls[(i + 2) // 8] |= 1 << ((i + 2) % 8)
        else:
            parts.append(encoders[i](value))
    return b"\x00" + bytes(nulls) + b"".join(parts)


def read_execute(
    data: bytes, statement: Prepared, capabilities: int, codec: str
) -> tuple[str, dict[str, Any]]:
    """Return the text and the query attributes of an execute command.

    Args:
        data: the packet after the statement's number.
        statement: the prepared statement; its bound types are kept.
        capabilities: as agreed with the caller.
        codec: of the caller's character set.

    Raises:
        MysqlError: if the packet breaks the protocol.
    """
    with refuse_malformed("execute"):
        return _read_execute(io.BytesIO(data), statement, capabilities, codec)


def read_query(
    data: bytes, capabilities: int, codec: str
) -> tuple[bytes, dict[str, Any]]:
    """Return the statement, still encoded, and attributes of a query command.

    Raises:
        MysqlError: if the packet breaks the protocol.
    """
    if not capabilities & Capabilities.CLIENT_QUERY_ATTRIBUTES:
        return data, {}
    if data.startswith(_NO_ATTRIBUTES):
        return data[len(_NO_ATTRIBUTES) :], {}
    with refuse_malformed("query"):
        reader = io.BytesIO(data)
        count = read_uint_len(reader)
        read_uint_len(reader)  # the number of parameter sets, always 1
        _check_count(count, 0, len(data))
        bound = Prepared(0, [""])
        values, names = _read_values(reader, bound, count, True, codec)
        named = zip(names, values, strict=True)
        return reader.read(), {k: _as_attribute(v, codec) for k, v in named if k}


@contextlib.contextmanager
def refuse_malformed(name: str):
    """Turn the errors of parsing into ``MysqlError``, which ends a connection."""
    try:
        yield
    except (struct.error, ValueError, IndexError, InvalidOperation) as exc:
        text = f"malformed {name} packet: {exc}"
        raise MysqlError(text, ErrorCode.MALFORMED_PACKET) from exc


def _check_count(count: int, least: int, size: int) -> None:
    # Each parameter takes at least its two bytes of type.
    if not least <= count <= size // 2:
        raise ValueError(f"{count} parameters in {size} bytes, for {least}")


def _read_execute(reader, statement: Prepared, capabilities: int, codec: str):
    flags, _ = struct.unpack("<BI", reader.read(5))
    named = bool(capabilities & Capabilities.CLIENT_QUERY_ATTRIBUTES)
    count = statement.parameter_count
    if named and (count or flags & PARAMETER_COUNT_AVAILABLE):
        count = read_uint_len(reader)
    _check_count(count, statement.parameter_count, len(reader.getbuffer()))
    values, names = _read_values(reader, statement, count, named, codec)
    texts = [quote(v) for v in values[: statement.parameter_count]]
    sql = "".join(
        piece + text for piece, text in zip(statement.pieces, [*texts, ""], strict=True)
    )
    start = statement.parameter_count
    attributes = zip(names[start:], values[start:], strict=True)
    return sql, {k: _as_attribute(v, codec) for k, v in attributes if k}


def _read_values(reader, statement: Prepared, count: int, named: bool, codec: str):
    if not count:
        return [], []
    nulls = reader.read((count + 7) // 8)
    if reader.read(1) == b"\x01":
        statement.types = [_read_type(reader, named, codec) for _ in range(count)]
    if len(statement.types) != count:
        raise ValueError("the parameters' types are not bound")
    values: list[Any] = []
    for i, (type_code, unsigned, _) in enumerate(statement.types):
        if i in statement.long_data:
            values.append(_decode(bytes(statement.long_data[i]), codec))
        elif nulls[i // 8] & (1 << (i % 8)):
            values.append(None)
        else:
            values.append(_read_value(reader, type_code, unsigned, codec))
    return values, [name for _, _, name in statement.types]


def _read_type(reader, named: bool, codec: str) -> tuple[int, bool, str]:
    type_code, flags = struct.unpack("<BB", reader.read(2))
    name = read_str_len(reader).decode(codec) if named else ""
    return type_code, bool(flags & UNSIGNED_PARAMETER), name


_INTEGER_FORMATS = {
    ColumnType.TINY: "b",
    ColumnType.BOOL: "b",
    ColumnType.SHORT: "h",
    ColumnType.YEAR: "h",
    ColumnType.LONG: "i",
    ColumnType.INT24: "i",
    ColumnType.LONGLONG: "q",
}


def _read_value(reader, type_code: int, unsigned: bool, codec: str) -> Any:
    if type_code in _INTEGER_FORMATS:
        form = _INTEGER_FORMATS[type_code]
        form = "<" + (form.upper() if unsigned else form)
        return struct.unpack(form, reader.read(struct.calcsize(form)))[0]
    if type_code == ColumnType.DOUBLE:
        return struct.unpack("<d", reader.read(8))[0]
    if type_code == ColumnType.FLOAT:
        return struct.unpack("<f", reader.read(4))[0]
    if type_code == ColumnType.NULL:
        return None
    data = _read_exactly(reader, read_uint_len(reader))
    if type_code in _DATE_TYPES:
        return _read_date(data, type_code)
    if type_code == ColumnType.TIME:
        return _read_time(data)
    if type_code in (ColumnType.DECIMAL, ColumnType.NEWDECIMAL):
        return Decimal(data.decode("ascii"))
    return _decode(data, codec)


def _read_exactly(reader, size: int) -> bytes:
    data = reader.read(size)
    if len(data) != size:
        raise ValueError("a value is cut short")
    return data


def _decode(data: bytes, codec: str) -> str | bytes:
    try:
        return data.decode(codec)
    except UnicodeDecodeError:
        return data


def _as_attribute(value: Any, codec: str) -> Any:
    return value.decode(codec, "replace") if isinstance(value, bytes) else value


def _read_date(data: bytes, type_code: int) -> str:
    parts = struct.unpack("<HBBBBBI", data.ljust(11, b"\0"))
    year, month, day, hour, minute, second, microsecond = parts
    text = f"{year:04}-{month:02}-{day:02}"
    if type_code == ColumnType.DATE:
        return text
    text += f" {hour:02}:{minute:02}:{second:02}"
    return f"{text}.{microsecond:06}" if microsecond else text


def _read_time(data: bytes) -> str:
    parts = struct.unpack("<BIBBBI", data.ljust(12, b"\0"))
    negative, days, hours, minutes, seconds, microseconds = parts
    sign = "-" if negative else ""
    text = f"{sign}{days * 24 + hours:02}:{minutes:02}:{seconds:02}"
    return f"{text}.{microseconds:06}" if microseconds else text


def _choose_encoder(type_code: int) -> Callable[[bytes], bytes]:
    if type_code in _INTEGER_TYPES:
        return _encode_integer
    if type_code == ColumnType.DOUBLE:
        return lambda value: struct.pack("<d", float(value))
    if type_code == ColumnType.FLOAT:
        return lambda value: struct.pack("<f", float(value))
    if type_code in _DATE_TYPES:
        return _encode_date
    if type_code == ColumnType.TIME:
        return _encode_time
    return str_len


def _encode_integer(value: bytes) -> bytes:
    number = int(value)
    try:
        return struct.pack("<q", number)
    except struct.error:
        raise ValueError(f"integer {number} does not fit 64 signed bits") from None


def _encode_date(value: bytes) -> bytes:
    text = value.decode("ascii")
    if text.startswith("0000-00-00"):
        return b"\x00"
    moment = datetime.fromisoformat(text)
    day = date(moment.year, moment.month, moment.day)
    packed = struct.pack("<HBB", day.year, day.month, day.day)
    packed += struct.pack("<BBB", moment.hour, moment.minute, moment.second)
    if moment.microsecond:
        packed += struct.pack("<I", moment.microsecond)
    return bytes([len(packed)]) + packed


def _encode_time(value: bytes) -> bytes:
    text = value.decode("ascii")
    hours, minutes, seconds = text.lstrip("-").split(":")
    span = timedelta(
        hours=int(hours), minutes=int(minutes), microseconds=_to_microseconds(seconds)
    )
    whole_hours, rest = divmod(span.seconds, 3600)
    packed = struct.pack(
        "<BIBBB",
        text.startswith("-"),
        span.days,
        whole_hours,
        rest // 60,
        rest % 60,
    )
    if span.microseconds:
        packed += struct.pack("<I", span.microseconds)
    return bytes([len(packed)]) + packed


def _to_microseconds(seconds: str) -> int:
    return int(Decimal(seconds) * 1_000_000)
