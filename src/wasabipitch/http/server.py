"""A minimal HTTP server for health checks and metrics."""

import asyncio
from collections.abc import Callable

import httptools

from wasabipitch import sockets
from wasabipitch.http.client import Response
from wasabipitch.models import Address
from wasabipitch.policy.memory_budget import MALFORMED, TOO_MANY, UNREAD_ANSWERS

REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
MAX_REQUEST_BYTES = 16_384
# A client that sends requests ahead is cut off once so many bytes of answers wait for
# it: rendering the metrics is expensive, and the answers would fill the memory.
MAX_UNSENT_BYTES = 65_536
# One more connection closes the one that has been idle for the longest time.
MAX_CONNECTIONS = 16
SOCKET_BYTES = 32 * 1024


ClosedCallback = Callable[[str], None]


def ignore_closed(reason: str) -> None:
    """Do nothing about a connection that was closed."""


class _Connection(asyncio.Protocol):
    """A client's connection, whose requests are answered in order."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._received = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request was answered; no other protocol is spoken.
            self._transport.close()
            return
        except httptools.HttpParserError:
            self.abort(MALFORMED)
            return
        if self._received > MAX_REQUEST_BYTES:
            self.abort(MALFORMED)

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_message_complete(self) -> None:
        if self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort(UNREAD_ANSWERS)
            return
        self._server.mark_used(self)
        response = self._server.handler(self._path.decode("ascii", "replace"))
        keep = self._parser.should_keep_alive()
        self._path, self._received = b"", 0
        head = (
            f"HTTP/1.1 {response.status} {REASON_PHRASES.get(response.status, '')}\r\n"
            f"Content-Type: text/plain\r\nContent-Length: {len(response.body)}\r\n"
            f"Connection: {'keep-alive' if keep else 'close'}\r\n\r\n"
        )
        self._transport.write(head.encode() + response.body)
        if not keep:
            self._transport.close()

    def abort(self, reason: str) -> None:
        self._server.on_closed(reason)
        sockets.reset(self._transport)
        self._server.remove(self)


class HttpServer:
    """Serves HTTP requests at one address.

    Methods and bodies of requests are ignored.

    Args:
        handler: Returns the response for a request target, which is the path
            with the query string.
        on_closed: Called with the reason for each connection that the server closes
            because its client misbehaves.
    """

    def __init__(
        self,
        handler: Callable[[str], Response],
        on_closed: ClosedCallback = ignore_closed,
    ) -> None:
        self.handler = handler
        self.on_closed = on_closed
        self._server: asyncio.Server | None = None
        # In the order of their last requests.
        self._connections: dict[_Connection, None] = {}

    async def start(self, address: Address) -> None:
        """Start listening at an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), address.ip, address.port
        )
        for listener in self._server.sockets:
            sockets.limit_buffers(listener, SOCKET_BYTES)

    async def close(self) -> None:
        """Stop listening; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def add(self, conn: _Connection) -> None:
        """Keep a connection, and close another one if there are too many."""
        self._connections[conn] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort(TOO_MANY)

    def mark_used(self, conn: _Connection) -> None:
        """Note that a connection has sent a complete request."""
        if self._connections.pop(conn, 0) is None:
            self._connections[conn] = None

    def remove(self, conn: _Connection) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(conn, None)
