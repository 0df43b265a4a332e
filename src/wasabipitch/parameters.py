"""Parses statements with parameters and query attributes from callers' packets."""

import contextlib
import struct
from dataclasses import dataclass, field
from decimal import Decimal, InvalidOperation
from typing import Any

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.types import Capabilities, ColumnType

from wasabipitch.statements import quote

# Flags in the packets of COM_STMT_EXECUTE and COM_QUERY.
PARAMETER_COUNT_AVAILABLE = 0x08
UNSIGNED_PARAMETER = 0x80

# The counts that begin a COM_QUERY without attributes: no parameters, in one set.
_NO_ATTRIBUTES = b"\x00\x01"
# The size in bytes of a length-encoded integer, by its first byte.
_LENENC_SIZES = {0xFC: 2, 0xFD: 3, 0xFE: 8}
_DATE_TYPES = {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}


class PacketReader:
    """Reads the fields of a packet one after the other.

    Its methods raise ``ValueError`` if the packet ends within the field.

    Args:
        data: The packet's payload.
    """

    def __init__(self, data: bytes) -> None:
        self.size = len(data)
        self._data = data
        self._start = 0

    @property
    def at_end(self) -> bool:
        """Whether the whole packet has been read."""
        return self._start >= self.size

    def read(self, size: int) -> bytes:
        """Read a field of a fixed size in bytes."""
        end = self._start + size
        if end > self.size:
            raise ValueError(
                f"the packet ends within {size} bytes at offset {self._start}"
            )
        data = self._data[self._start : end]
        self._start = end
        return data

    def read_rest(self) -> bytes:
        """Read the rest of the packet."""
        return self.read(self.size - self._start)

    def read_integer(self, size: int) -> int:
        """Read an unsigned little-endian integer of a size in bytes."""
        return int.from_bytes(self.read(size), "little")

    def read_lenenc_integer(self) -> int:
        """Read a length-encoded integer."""
        first = self.read_integer(1)
        size = _LENENC_SIZES.get(first)
        return first if size is None else self.read_integer(size)

    def read_lenenc_string(self) -> bytes:
        """Read a length-encoded string."""
        return self.read(self.read_lenenc_integer())

    def read_null_terminated_string(self) -> bytes:
        """Read a string that ends with a NUL byte or with the packet."""
        end = self._data.find(b"\0", self._start)
        if end < 0:
            return self.read_rest()
        data = self.read(end - self._start)
        self.read(1)
        return data


@dataclass(slots=True)
class PreparedStatement:
    """A prepared statement of one connection.

    Args:
        number: The statement ID of the protocol.
        pieces: The statement's text, split at its parameters.
        types: The type code, the unsigned flag and the name of each parameter, from
            the latest execution that sent them.
        long_data: The data of COM_STMT_SEND_LONG_DATA by parameter index.
        long_data_rejected: Whether long data exceeded the limit or was sent for a
            parameter that doesn't exist.
    """

    number: int
    pieces: list[str]
    types: list[tuple[int, bool, str]] = field(default_factory=list)
    long_data: dict[int, bytearray] = field(default_factory=dict)
    long_data_rejected: bool = False

    @property
    def size_bytes(self) -> int:
        """The length of the text in characters plus that of the long data in bytes."""
        text = sum(map(len, self.pieces))
        return text + sum(map(len, self.long_data.values()))

    def clear_long_data(self) -> None:
        """Drop the long data, as after an execution or a reset."""
        self.long_data.clear()
        self.long_data_rejected = False

    @property
    def parameter_count(self) -> int:
        """The number of parameters."""
        return len(self.pieces) - 1


def parse_execute(
    data: bytes, statement: PreparedStatement, capabilities: int, codec: str
) -> tuple[str, dict[str, Any]]:
    """Parse a COM_STMT_EXECUTE command.

    Args:
        data: The payload after the statement ID.
        statement: The prepared statement; parameter types in the packet are kept in
            it, since later packets may leave them out.
        capabilities: The capabilities that the caller and the server share.
        codec: The Python codec of the caller's character set.

    Returns:
        The statement with its parameters as literals, and the query attributes.

    Raises:
        MysqlError: If the packet breaks the protocol.
    """
    with convert_parse_errors("execute"):
        return _parse_execute(PacketReader(data), statement, capabilities, codec)


def parse_query(
    data: bytes, capabilities: int, codec: str
) -> tuple[bytes, dict[str, Any]]:
    """Parse a COM_QUERY command.

    Args:
        data: The payload after the command byte.
        capabilities: The capabilities that the caller and the server share.
        codec: The Python codec of the caller's character set, for the attributes.

    Returns:
        The statement, still encoded, and the query attributes.

    Raises:
        MysqlError: If the packet breaks the protocol.
    """
    if not capabilities & Capabilities.CLIENT_QUERY_ATTRIBUTES:
        return data, {}
    if data.startswith(_NO_ATTRIBUTES):
        return data[len(_NO_ATTRIBUTES) :], {}
    with convert_parse_errors("query"):
        reader = PacketReader(data)
        count = reader.read_lenenc_integer()
        reader.read_lenenc_integer()  # the number of parameter sets, always 1
        _check_count(count, 0, len(data))
        empty_statement = PreparedStatement(0, [""])
        values, names = _read_values(reader, empty_statement, count, True, codec)
        named_values = zip(names, values, strict=True)
        return reader.read_rest(), {
            k: _decode_attribute(v, codec) for k, v in named_values if k
        }


@contextlib.contextmanager
def convert_parse_errors(name: str):
    """Convert parse errors to ``MysqlError``, which closes the connection.

    Args:
        name: The kind of packet, for the message.
    """
    try:
        yield
    except (struct.error, ValueError, IndexError, InvalidOperation) as exc:
        text = f"malformed {name} packet: {exc}"
        raise MysqlError(text, ErrorCode.MALFORMED_PACKET) from exc


def _check_count(count: int, least: int, size: int) -> None:
    # Each parameter takes at least the two bytes of its type.
    if not least <= count <= size // 2:
        raise ValueError(
            f"{count} parameters in {size} bytes, expected at least {least}"
        )


def _parse_execute(
    reader: PacketReader, statement: PreparedStatement, capabilities: int, codec: str
):
    flags, _ = struct.unpack("<BI", reader.read(5))
    has_names = bool(capabilities & Capabilities.CLIENT_QUERY_ATTRIBUTES)
    count = statement.parameter_count
    if has_names and (count or flags & PARAMETER_COUNT_AVAILABLE):
        count = reader.read_lenenc_integer()
    _check_count(count, statement.parameter_count, reader.size)
    values, names = _read_values(reader, statement, count, has_names, codec)
    texts = [quote(v) for v in values[: statement.parameter_count]]
    sql = "".join(
        piece + text for piece, text in zip(statement.pieces, [*texts, ""], strict=True)
    )
    start = statement.parameter_count
    attributes = zip(names[start:], values[start:], strict=True)
    return sql, {k: _decode_attribute(v, codec) for k, v in attributes if k}


def _read_values(
    reader: PacketReader,
    statement: PreparedStatement,
    count: int,
    has_names: bool,
    codec: str,
):
    if not count:
        return [], []
    nulls = reader.read((count + 7) // 8)
    if reader.read(1) == b"\x01":
        statement.types = [_read_type(reader, has_names, codec) for _ in range(count)]
    if len(statement.types) != count:
        raise ValueError(
            "the packet has no parameter types, and no matching ones are known"
        )
    values: list[Any] = []
    for i, (type_code, unsigned, _) in enumerate(statement.types):
        if i in statement.long_data:
            values.append(_decode(bytes(statement.long_data[i]), codec))
        elif nulls[i // 8] & (1 << (i % 8)):
            values.append(None)
        else:
            values.append(_read_value(reader, type_code, unsigned, codec))
    return values, [name for _, _, name in statement.types]


def _read_type(
    reader: PacketReader, has_names: bool, codec: str
) -> tuple[int, bool, str]:
    type_code, flags = struct.unpack("<BB", reader.read(2))
    name = reader.read_lenenc_string().decode(codec) if has_names else ""
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


def _read_value(
    reader: PacketReader, type_code: int, unsigned: bool, codec: str
) -> Any:
    if type_code in _INTEGER_FORMATS:
        fmt = _INTEGER_FORMATS[type_code]
        fmt = "<" + (fmt.upper() if unsigned else fmt)
        return struct.unpack(fmt, reader.read(struct.calcsize(fmt)))[0]
    if type_code == ColumnType.DOUBLE:
        return struct.unpack("<d", reader.read(8))[0]
    if type_code == ColumnType.FLOAT:
        return struct.unpack("<f", reader.read(4))[0]
    if type_code == ColumnType.NULL:
        return None
    data = reader.read_lenenc_string()
    if type_code in _DATE_TYPES:
        return _read_date(data, type_code)
    if type_code == ColumnType.TIME:
        return _read_time(data)
    if type_code in (ColumnType.DECIMAL, ColumnType.NEWDECIMAL):
        return Decimal(data.decode("ascii"))
    return _decode(data, codec)


def _decode(data: bytes, codec: str) -> str | bytes:
    try:
        return data.decode(codec)
    except UnicodeDecodeError:
        return data


def _decode_attribute(value: Any, codec: str) -> Any:
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
