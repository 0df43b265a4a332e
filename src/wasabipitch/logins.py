"""Parses the packets by which callers log in.

mysql-mimic's own parsers are not used: they loop forever on a string whose
terminating NUL is missing.
"""

from dataclasses import dataclass

from mysql_mimic.charset import CharacterSet, Collation
from mysql_mimic.types import Capabilities

from wasabipitch.parameters import PacketReader, convert_parse_errors

# The length of the reserved field in a handshake response.
FILLER_BYTES = 23


@dataclass(frozen=True, slots=True)
class Login:
    """The fields of a login packet.

    Args:
        capabilities: The capabilities that the caller and the server share.
        charset: The caller's character set; None: unchanged.
        is_tls_request: Whether the caller asks for TLS before it logs in. The fields
            that follow are then empty.
        username: The name of the user.
        response: The response of the authentication plugin, which proves that the
            caller knows the password.
        database: The database to select; empty: none.
        plugin: The authentication plugin that made the response; empty: not given.
    """

    capabilities: Capabilities
    charset: CharacterSet | None
    is_tls_request: bool = False
    username: str = ""
    response: bytes = b""
    database: str = ""
    plugin: str = ""


def parse_handshake_response(data: bytes, offered: Capabilities) -> Login:
    """Parse a handshake response.

    Args:
        data: The packet's payload.
        offered: The server's capabilities.

    Raises:
        MysqlError: If the packet breaks the protocol.
    """
    with convert_parse_errors("handshake"):
        reader = PacketReader(data)
        capabilities = Capabilities(reader.read_integer(4)) & offered
        reader.read_integer(4)  # the maximum packet size of the caller
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
    """Parse the login in a COM_CHANGE_USER command.

    Args:
        data: The payload after the command byte.
        capabilities: The capabilities that the caller and the server share.
        codec: The Python codec of the caller's character set.

    Raises:
        MysqlError: If the packet breaks the protocol.
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
    """Return a collation's character set, or utf8mb4 for an unknown one, as MySQL."""
    try:
        return Collation(collation).charset
    except ValueError:
        return CharacterSet.utf8mb4
