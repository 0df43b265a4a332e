"""Reads the packets by which callers log in.

mysql-mimic's own parsers never end on a string without its final NUL.
"""

from dataclasses import dataclass

from mysql_mimic.charset import CharacterSet, Collation
from mysql_mimic.types import Capabilities

from wasabipitch.parameters import PacketReader, convert_parse_errors

FILLER_BYTES = 23


@dataclass(frozen=True, slots=True)
class Login:
    """What a caller says of itself.

    Args:
        capabilities: those that caller and server share.
        charset: its character set; None: unchanged.
        is_tls_request: whether it asks for TLS first, and the rest is empty.
        plugin: the authentication plugin of its response; empty: none named.
    """

    capabilities: Capabilities
    charset: CharacterSet | None
    is_tls_request: bool = False
    username: str = ""
    response: bytes = b""
    database: str = ""
    plugin: str = ""


def parse_handshake_response(data: bytes, offered: Capabilities) -> Login:
    """Return the login in a handshake response.

    Args:
        data: the packet's payload.
        offered: the server's capabilities.

    Raises:
        MysqlError: if the packet breaks the protocol.
    """
    with convert_parse_errors("handshake"):
        reader = PacketReader(data)
        capabilities = Capabilities(reader.read_integer(4)) & offered
        reader.read_integer(4)  # the greatest packet that the caller takes
        charset = _find_charset(reader.read_integer(1))
        reader.read(FILLER_BYTES)
        if reader.at_end:
            return Login(capabilities, charset, is_tls_request=True)
        username = reader.read_null_terminated_string().decode(charset.codec)
        if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in capabilities:
            response = reader.read_lenenc_string()
        else:
            response = reader.read(reader.read_integer(1))
        database = b""
        if Capabilities.CLIENT_CONNECT_WITH_DB in capabilities:
            database = reader.read_null_terminated_string()
        plugin = b""
        if Capabilities.CLIENT_PLUGIN_AUTH in capabilities:
            plugin = reader.read_null_terminated_string()
        return Login(
            capabilities,
            charset,
            username=username,
            response=response,
            database=database.decode(charset.codec),
            plugin=plugin.decode("ascii"),
        )


def parse_change_user(data: bytes, capabilities: Capabilities, codec: str) -> Login:
    """Return the login in a change-user command.

    Args:
        data: the packet after the command's byte.
        capabilities: those that caller and server share.
        codec: of the caller's character set.

    Raises:
        MysqlError: if the packet breaks the protocol.
    """
    with convert_parse_errors("change user"):
        reader = PacketReader(data)
        username = reader.read_null_terminated_string().decode(codec)
        response = reader.read(reader.read_integer(1))
        database = reader.read_null_terminated_string().decode(codec)
        charset = None
        if not reader.at_end:
            charset = _find_charset(reader.read_integer(2))
        plugin = b""
        if Capabilities.CLIENT_PLUGIN_AUTH in capabilities:
            plugin = reader.read_null_terminated_string()
        return Login(
            capabilities,
            charset,
            username=username,
            response=response,
            database=database,
            plugin=plugin.decode("ascii"),
        )


def _find_charset(collation: int) -> CharacterSet:
    """Return a collation's character set; as in MySQL, utf8mb4 if unknown."""
    try:
        return Collation(collation).charset
    except ValueError:
        return CharacterSet.utf8mb4
