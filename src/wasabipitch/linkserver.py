"""The serving end of links: accepts connections and passes requests to a handler."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from wasabipitch import contracts
from wasabipitch.contracts import Envelope
from wasabipitch.events import Clock
from wasabipitch.exceptions import LinkError, WasabipitchError
from wasabipitch.links import (
    HEARTBEAT_NUMBER,
    REPLY_WINDOW_MESSAGES,
    WRITE_HIGH_WATER_BYTES,
    Cuts,
    describe_failure,
    read_envelope,
)
from wasabipitch.messages import Cancel, Continue, Execute, Heartbeat, Hello, Message
from wasabipitch.models import Address, Host
from wasabipitch.policy.memory_budget import MALFORMED, NO_HELLO, TOO_MANY
from wasabipitch.verdict import Verdict

# Anything can connect to the port. Until a connection has said which peer it comes
# from, its frames are small, it is closed after a time, and there are few of them. A
# peer sends its hello as soon as it has connected.
MAX_HELLO_BYTES = 16 * 1024
HELLO_TIMEOUT_S = 5.0
MAX_UNIDENTIFIED = 32

logger = logging.getLogger(__name__)


def log_closed(reason: str, **fields: str) -> None:
    """Log a connection that was closed, and why."""
    logger.warning("link closed: %s %s", reason, fields)


class Exchange:
    """One request received over a link, with the means to answer it.

    Args:
        connection: The connection on which the request came.
        envelope: The request with its number.

    Attributes:
        message: The request.
        connection: The connection on which the request came.
    """

    def __init__(self, connection: "LinkConnection", envelope: Envelope) -> None:
        self.message = envelope.message
        self.connection = connection
        self._number = envelope.number
        self._window = asyncio.Semaphore(REPLY_WINDOW_MESSAGES)

    @property
    def peer(self) -> Host | None:
        """The host that sent the request, or None before its hello."""
        return self.connection.peer

    async def send(self, message: Message, *, more: bool = False) -> None:
        """Send a message of the reply.

        Waits while the requester has not confirmed ``REPLY_WINDOW_MESSAGES`` earlier
        messages, so that a reply to a slow requester takes little memory.

        Args:
            message: The message.
            more: Whether other messages of the reply follow.
        """
        if more:
            await self._window.acquire()
        await self.connection.send(self._number, message, more)

    def release_window(self, taken: int) -> None:
        """Allow more messages after the requester confirmed some of them."""
        for _ in range(taken):
            self._window.release()


Handler = Callable[[Exchange], Awaitable[Message | None]]
PeerLostCallback = Callable[["LinkConnection"], Awaitable[None]]


class LinkConnection:
    """The serving end of one connection from a peer."""

    def __init__(
        self, server: "LinkServer", reader: asyncio.StreamReader, writer
    ) -> None:
        self.peer: Host | None = None
        self.incarnation = ""
        self._server = server
        self._reader = reader
        self._writer = writer
        self._tasks: dict[int, asyncio.Task] = {}
        self._exchanges: dict[int, Exchange] = {}

    async def send(self, number: int, message: Message, more: bool = False) -> None:
        """Send a message under a request's number.

        The message is dropped if the connection is closing or the peer is cut off.
        """
        if self._is_cut_off() or self._writer.is_closing():
            return
        envelope = Envelope(number, self._server.clock.tick(), message, more)
        self._writer.write(contracts.pack(envelope))
        if self._writer.transport.get_write_buffer_size() > WRITE_HIGH_WATER_BYTES:
            with contextlib.suppress(OSError):
                await self._writer.drain()

    def close(self) -> None:
        """Close the connection, which cancels the requests being served."""
        self._writer.close()

    async def run(self) -> None:
        """Serve requests until the peer closes the connection."""
        try:
            await self._read_hello()
            while True:
                envelope = await read_envelope(self._reader)
                if not self._is_cut_off():
                    self._accept(envelope)
        except TimeoutError:
            self._server.on_closed(NO_HELLO)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except LinkError as exc:
            self._server.on_closed(MALFORMED, peer=self._peer_name(), why=exc.message)
        finally:
            for task in list(self._tasks.values()):
                task.cancel()
            self._writer.close()

    async def _read_hello(self) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            while self.peer is None:
                self._accept(
                    await read_envelope(self._reader, max_bytes=MAX_HELLO_BYTES)
                )
        self._server.mark_identified(self)

    def abort(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def _accept(self, envelope: Envelope) -> None:
        self._server.clock.observe(envelope.clock)
        message = envelope.message
        if isinstance(message, Hello):
            self.peer = message.host
            self.incarnation = message.incarnation
        elif isinstance(message, Heartbeat):
            self._answer_heartbeat()
        elif isinstance(message, Continue):
            exchange = self._exchanges.get(envelope.number)
            if exchange is not None:
                exchange.release_window(message.taken)
        elif isinstance(message, Cancel):
            task = self._tasks.get(envelope.number)
            if task is not None:
                task.cancel()
        else:
            exchange = Exchange(self, envelope)
            task = asyncio.create_task(self._serve(exchange))
            self._exchanges[envelope.number] = exchange
            self._tasks[envelope.number] = task
            task.add_done_callback(lambda _: self._forget(envelope.number))

    def _answer_heartbeat(self) -> None:
        clock = self._server.clock.tick()
        envelope = Envelope(HEARTBEAT_NUMBER, clock, Heartbeat())
        self._writer.write(contracts.pack(envelope))

    def _forget(self, number: int) -> None:
        self._tasks.pop(number, None)
        self._exchanges.pop(number, None)

    async def _serve(self, exchange: Exchange) -> None:
        try:
            reply = await self._server.handler(exchange)
            if reply is not None:
                await exchange.send(reply)
        except WasabipitchError as exc:
            await exchange.send(describe_failure(exc))
        except Exception as exc:
            logger.exception("request %s failed", type(exchange.message).__name__)
            is_statement = isinstance(exchange.message, Execute)
            verdict = Verdict.MAY_HAVE_RUN if is_statement else Verdict.NOT_RUN
            error = WasabipitchError(f"internal error: {exc!r}", verdict=verdict)
            await exchange.send(describe_failure(error))

    def _is_cut_off(self) -> bool:
        return self.peer is not None and self._server.cuts.drops(self.peer.name)

    def _peer_name(self) -> str:
        return self.peer.name if self.peer else "unknown peer"


class LinkServer:
    """Accepts links and passes each request to a handler.

    Each request runs in its own task, which is cancelled when the peer cancels the
    request or its connection closes.

    Args:
        handler: Returns the reply, or sends it itself and returns None.
        clock: The clock whose time is sent with every message.
        on_peer_lost: Called after a peer's connection has closed.
        cuts: The peers whose traffic fault injection drops.
        on_closed: Called with the reason, and fields that explain it, for each
            connection that the server closes because its client misbehaves.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        *,
        on_peer_lost: PeerLostCallback | None = None,
        cuts: Cuts | None = None,
        on_closed: Callable[..., None] = log_closed,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.cuts = cuts or Cuts()
        self._on_peer_lost = on_peer_lost
        self._server: asyncio.Server | None = None
        self.on_closed = on_closed
        self._connections: set[LinkConnection] = set()
        # The connections without a hello, the oldest first.
        self._unidentified: dict[LinkConnection, None] = {}

    async def start(self, address: Address) -> Address:
        """Listen on an address and return it; port 0 chooses a free port."""
        self._server = await asyncio.start_server(
            self._accept, address.ip, address.port
        )
        ip, port = self._server.sockets[0].getsockname()[:2]
        return Address(ip, port)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for connection in self._connections:
            connection.close()
        while self._connections:
            await asyncio.sleep(0)

    def mark_identified(self, connection: LinkConnection) -> None:
        """Count a connection no longer among those without a hello."""
        self._unidentified.pop(connection, None)

    async def _accept(self, reader: asyncio.StreamReader, writer) -> None:
        connection = LinkConnection(self, reader, writer)
        self._connections.add(connection)
        self._unidentified[connection] = None
        if len(self._unidentified) > MAX_UNIDENTIFIED:
            oldest = next(iter(self._unidentified))
            self.mark_identified(oldest)
            oldest.abort()
            self.on_closed(TOO_MANY)
        try:
            await connection.run()
        finally:
            self._unidentified.pop(connection, None)
            self._connections.discard(connection)
            if self._on_peer_lost is not None:
                await self._on_peer_lost(connection)
