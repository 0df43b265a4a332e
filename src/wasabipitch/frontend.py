"""Accepts the connections of callers, and limits their number."""

import asyncio
import contextlib
import itertools
import logging
import ssl
from collections import Counter

from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.errors import MysqlError, get_sqlstate
from mysql_mimic.server import MysqlServer

from wasabipitch import packets
from wasabipitch.callers import CallerConnection
from wasabipitch.exceptions import ER_CON_COUNT_ERROR, Refused, SettingsError
from wasabipitch.metrics import Metrics
from wasabipitch.models import Address
from wasabipitch.session_runner import SessionRunner
from wasabipitch.settings import Caller, EntrySettings, Tls
from wasabipitch.streams import CallerStream, ConnectionClosed

MAX_HANDSHAKE_BYTES = 64 * 1024
MAX_CONNECTION_ID = 2**32 - 1
LISTEN_BACKLOG = 1024

logger = logging.getLogger(__name__)


class Frontend(MysqlServer):
    """The MySQL server of an entry, which accepts the connections of callers.

    Args:
        runner: Runs the callers' statements.
        settings: The limits, the known users and the TLS certificate.
        metrics: Counts refused connections and protocol errors.

    Attributes:
        callers: The users that may connect, by name.
        stopping: Whether the entry is stopping and takes no new work.
    """

    def __init__(
        self, runner: SessionRunner, settings: EntrySettings, metrics: Metrics
    ) -> None:
        context = load_tls_context(settings.tls) if settings.tls else None
        super().__init__(capabilities=DEFAULT_SERVER_CAPABILITIES, ssl=context)
        self.runner = runner
        self.settings = settings
        self.metrics = metrics
        self.callers = {c.name: c for c in settings.callers}
        self.stopping = False
        self._connections: set[CallerConnection] = set()
        self._connection_counts: Counter[str] = Counter()
        self._connection_ids = itertools.count(1)

    async def start(self, address: Address) -> Address:
        """Listen on an address, and return it with the port that was bound.

        Args:
            address: The IP address and port; port 0 stands for any free port.
        """
        await self.start_server(
            host=address.ip, port=address.port, backlog=LISTEN_BACKLOG
        )
        ip, port = self.sockets()[0].getsockname()[:2]
        return Address(ip, port)

    async def stop(self, timeout_s: float) -> None:
        """Stop listening, and close all connections.

        Idle connections are closed at once, others after their request or
        transaction.

        Args:
            timeout_s: The time in seconds after which the remaining connections are
                cancelled.
        """
        self.stopping = True
        self.close()
        for conn in list(self._connections):
            conn.close_if_idle()
        tasks = {conn.task for conn in self._connections}
        if not tasks:
            return
        _, unfinished = await asyncio.wait(tasks, timeout=timeout_s)
        for task in unfinished:
            task.cancel()
        if unfinished:
            logger.warning(
                "closed %d connections that were in use at the stop timeout",
                len(unfinished),
            )
            await asyncio.wait(unfinished)

    def admit(self, conn: CallerConnection, caller: Caller) -> None:
        """Count a connection towards its user's limit.

        Raises:
            Refused: If the user is at its connection limit.
        """
        if self._connection_counts[caller.name] >= caller.max_connections:
            raise Refused(
                f"too many connections: user {caller.name!r} is limited to"
                f" {caller.max_connections}",
                code=ER_CON_COUNT_ERROR,
            )
        self._connection_counts[caller.name] += 1
        conn.user = caller.name

    def release(self, conn: CallerConnection) -> None:
        """Remove a connection from its user's count, if it was counted."""
        if conn.user:
            self._connection_counts[conn.user] -= 1
            conn.user = ""

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = CallerStream(reader, writer, MAX_HANDSHAKE_BYTES)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(writer.close)
            if len(self._connections) >= self.settings.max_connections:
                await self._refuse(stream)
                return
            connection_id = next(self._connection_ids) % MAX_CONNECTION_ID
            conn = CallerConnection(self, stream, self, connection_id)
            self._connections.add(conn)
            stack.callback(self._connections.discard, conn)
            await self._serve(conn)

    async def _serve(self, conn: CallerConnection) -> None:
        try:
            await conn.serve()
        except MysqlError as exc:
            self.metrics.count("entry.malformed")
            logger.warning("connection %d: %s", conn.connection_id, exc.msg)
            with contextlib.suppress(OSError, TimeoutError):
                sqlstate = get_sqlstate(exc.code).decode()
                await conn.stream.write(
                    packets.make_error(int(exc.code), sqlstate, exc.msg)
                )
        except (ConnectionClosed, OSError, TimeoutError) as exc:
            logger.debug("connection %d ended: %r", conn.connection_id, exc)
        except asyncio.CancelledError:
            if not self.stopping:
                raise
        except Exception:
            logger.exception("connection %d failed", conn.connection_id)

    async def _refuse(self, stream: CallerStream) -> None:
        self.metrics.count("entry.connections.refused")
        text = f"too many connections: the limit is {self.settings.max_connections}"
        sqlstate = get_sqlstate(ER_CON_COUNT_ERROR).decode()
        with contextlib.suppress(OSError, TimeoutError):
            await stream.write(packets.make_error(ER_CON_COUNT_ERROR, sqlstate, text))


def load_tls_context(tls: Tls) -> ssl.SSLContext:
    """Return a server's TLS context with the certificate and key of the settings.

    Raises:
        SettingsError: If the files can't be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as exc:
        names = f"{tls.certificate} and {tls.key}"
        raise SettingsError(f"tls: can't load {names}: {exc}") from exc
    return context
