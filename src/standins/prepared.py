"""Binds the parameters of prepared statements as quoted literals.

mysql-mimic inserts parameters into the text without escaping them, so that a quote
in a value would end its literal.
"""

import io
import struct
from dataclasses import dataclass
from typing import Any

from mysql_mimic import packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.prepared import REGEX_PARAM, PreparedStatement
from mysql_mimic.types import Capabilities, read_uint_len

_EXECUTE_HEADER = struct.Struct("<IBI")  # statement id, flags, iterations
_CURSOR_FLAGS_MASK = 0x07


@dataclass(frozen=True)
class Execution:
    """A COM_STMT_EXECUTE whose parameters were moved into the statement.

    Attributes:
        stmt: The statement with the parameters as literals.
        data: The command for this statement, without parameters.
    """

    stmt: PreparedStatement
    data: bytes


def statement_id(data: bytes) -> int:
    """Return the id of the statement that a COM_STMT_EXECUTE runs."""
    return _EXECUTE_HEADER.unpack_from(data)[0]


def bind(
    stmt: PreparedStatement,
    data: bytes,
    capabilities: Capabilities,
    charset: CharacterSet,
) -> Execution:
    """Insert the parameters of a COM_STMT_EXECUTE into the statement.

    Args:
        stmt: The prepared statement, which has at least one parameter.
        data: The command without its first byte, the command type.
        capabilities: Capabilities that were negotiated with the client.
        charset: Character set of the client.

    Returns:
        The statement with literals, and the command to execute it.
    """
    stmt_id, flags, iterations = _EXECUTE_HEADER.unpack_from(data)
    reader = io.BytesIO(data[_EXECUTE_HEADER.size :])
    param_count = stmt.num_params
    if Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities:
        param_count = read_uint_len(reader)
    params = packets._read_params(
        capabilities, charset, reader, param_count, stmt.param_buffers
    )
    parts = REGEX_PARAM.split(stmt.sql)
    values = [value for _, value in params[: stmt.num_params]]
    text = parts[0] + "".join(
        _quote_literal(value) + part
        for value, part in zip(values, parts[1:], strict=True)
    )
    bound = PreparedStatement(stmt_id=stmt_id, sql=text, num_params=0)
    return Execution(
        bound, _EXECUTE_HEADER.pack(stmt_id, flags & _CURSOR_FLAGS_MASK, iterations)
    )


def _quote_literal(value: Any) -> str:
    if value is None:
        return "NULL"
    if not isinstance(value, str):
        return str(value)
    for char, escaped in (("\\", "\\\\"), ("'", "''"), ("\0", "\\0")):
        value = value.replace(char, escaped)
    return f"'{value}'"
