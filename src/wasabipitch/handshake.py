"""Serves the connection phase: greeting, TLS and authentication of a caller."""

import logging
from typing import Protocol

from mysql_mimic import packets as mimic_packets
from mysql_mimic.auth import NativePasswordAuthPlugin, User
from mysql_mimic.connection import Connection
from mysql_mimic.errors import get_sqlstate
from mysql_mimic.server import MysqlServer
from mysql_mimic.types import ServerStatus

from wasabipitch import packets
from wasabipitch.exceptions import Refused, WasabipitchError
from wasabipitch.local import LocalSession
from wasabipitch.logins import Login, parse_handshake_response
from wasabipitch.metrics import Metrics
from wasabipitch.session_runner import SessionRunner
from wasabipitch.sessions import Session
from wasabipitch.settings import Caller, EntrySettings
from wasabipitch.streams import CallerStream

ER_HANDSHAKE_ERROR = 1043
ER_ACCESS_DENIED = 1045
ER_SECURE_TRANSPORT_REQUIRED = 3159

PLUGIN_NAME = "mysql_native_password"
# The password of an unknown user is checked against this hash. No password has it, so
# the check always fails.
IMPOSSIBLE_HASH = "0" * 40

logger = logging.getLogger(__name__)


class Listener(Protocol):
    """The part of ``Frontend`` that a connection uses.

    Attributes:
        runner: Runs the callers' statements.
        settings: The settings of the entry.
        metrics: Counts refused connections.
        stopping: Whether the entry is stopping and takes no new work.
        callers: The users that may connect, by name.
    """

    runner: SessionRunner
    settings: EntrySettings
    metrics: Metrics
    stopping: bool
    callers: dict[str, Caller]

    def admit(self, conn: "HandshakeConnection", caller: Caller) -> None:
        """Count a connection towards its user's limit.

        Raises:
            Refused: If the user is at its connection limit.
        """

    def release(self, conn: "HandshakeConnection") -> None:
        """Remove a connection from its user's count, if it was counted."""


class HandshakeConnection(Connection):
    """The connection phase of a caller's connection.

    Args:
        listener: The server that accepted the connection.
        stream: Reads and writes the connection's packets.
        server: Gives the arguments that mysql-mimic's connection class needs.
        connection_id: The number that the greeting gives to the caller.

    Attributes:
        local_session: Answers the statements that need no target.
        state: The caller's session; None until the caller is authenticated.
        user: The user for whom the connection is counted, or empty.
    """

    def __init__(
        self,
        listener: Listener,
        stream: CallerStream,
        server: MysqlServer,
        connection_id: int,
    ) -> None:
        self.local_session = LocalSession(listener.runner)
        super().__init__(
            stream=stream,
            session=self.local_session,
            control=server.control,
            identity_provider=server.identity_provider,
            server_capabilities=server.capabilities,
            ssl=server.ssl,
        )
        self.local_session.attach(self)
        self.connection_id = connection_id
        self.state: Session | None = None
        self.user = ""
        self._listener = listener
        self._runner = listener.runner

    async def connection_phase(self) -> None:
        """Send the greeting, authenticate the caller and open its session.

        Raises:
            ConnectionClosed: If the caller disconnects.
            MysqlError: If a packet breaks the protocol.
            Refused: If the caller may not connect.
        """
        self.handshake_auth_data = await self._send_greeting()
        login = parse_handshake_response(
            await self.stream.read(), self.server_capabilities
        )
        if login.is_tls_request:
            if self.ssl is None:
                raise Refused("TLS is not configured", code=ER_HANDSHAKE_ERROR)
            await self.stream.start_tls(self.ssl)
            login = parse_handshake_response(
                await self.stream.read(), self.server_capabilities
            )
        elif self._requires_tls():
            raise Refused("TLS is required", code=ER_SECURE_TRANSPORT_REQUIRED)
        self.capabilities = login.capabilities
        await self.authenticate(login)
        self.state = self._runner.open_session()
        self.local_session.state = self.state
        if login.database:
            self._runner.select_group(self.state, login.database)
        await self.stream.write(self.ok())

    async def authenticate(self, login: Login) -> None:
        """Check the caller's password and count its connection.

        A caller that uses another authentication plugin is asked to switch to
        ``mysql_native_password``.

        Raises:
            Refused: If the user is unknown or at its connection limit, or the
                password is wrong.
        """
        nonce = self.handshake_auth_data.rstrip(b"\0")
        response = login.response
        if login.plugin not in ("", PLUGIN_NAME):
            request = mimic_packets.make_auth_switch_request(
                self.server_charset, PLUGIN_NAME, nonce + b"\0"
            )
            await self.stream.write(request)
            response = await self.stream.read()
        caller = self._listener.callers.get(login.username)
        password_hash = caller.password_sha1 if caller else IMPOSSIBLE_HASH
        user = User(login.username, auth_string=password_hash)
        if not NativePasswordAuthPlugin().password_matches(user, response, nonce):
            password_used = "YES" if response else "NO"
            raise Refused(
                f"access denied for user {login.username!r}"
                f" (using password: {password_used})",
                code=ER_ACCESS_DENIED,
            )
        self._listener.admit(self, caller)
        self.local_session.username = login.username
        self.local_session.variables.set("external_user", login.username, force=True)
        if login.charset is not None:
            self.local_session.variables.set("character_set_client", login.charset.name)

    async def _send_greeting(self) -> bytes:
        plugin = self.identity_provider.get_default_plugin()
        nonce, _ = await plugin.start()
        greeting = mimic_packets.make_handshake_v10(
            capabilities=self.server_capabilities,
            server_charset=self.server_charset,
            server_version=str(self.local_session.variables.get("version")),
            connection_id=self.connection_id,
            auth_data=nonce,
            status_flags=ServerStatus(self._get_status_flags()),
            auth_plugin_name=plugin.name,
        )
        await self.stream.write(greeting)
        return nonce

    async def _refuse_connection(self, exc: WasabipitchError) -> None:
        """Send an error without a verdict, because no request has been sent yet."""
        self._listener.metrics.count("entry.connections.refused")
        logger.warning("connection %d refused: %s", self.connection_id, exc.message)
        sqlstate = get_sqlstate(exc.code).decode()
        await self.stream.write(packets.make_error(exc.code, sqlstate, exc.message))

    def ok(self, affected_rows: int = 0, last_insert_id: int = 0) -> bytes:
        """Return an OK packet with the session's status flags."""
        return packets.make_ok(
            status=self._get_status_flags(),
            affected_rows=affected_rows,
            last_insert_id=last_insert_id,
        )

    def _get_status_flags(self) -> int:
        status = 0
        if self.state is None or self.state.autocommit:
            status |= packets.SERVER_STATUS_AUTOCOMMIT
        if self.state is not None and self.state.in_transaction:
            status |= packets.SERVER_STATUS_IN_TRANS
        return status

    def _requires_tls(self) -> bool:
        tls = self._listener.settings.tls
        return tls is not None and tls.required
