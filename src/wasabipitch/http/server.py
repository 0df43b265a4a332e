"""A minimal HTTP server for health checks and metrics."""

import asyncio
from collections.abc import Callable

import httptools

from wasabipitch.http.client import Response
from wasabipitch.models import Address

REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
MAX_REQUEST_BYTES = 16_384


class _Connection(asyncio.Protocol):
    """A client's connection, whose requests are answered in order."""

    def __init__(self, handler: Callable[[str], Response]) -> None:
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._received = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request was answered; no other protocol is spoken.
            self._transport.close()
            return
        except httptools.HttpParserError:
            self._transport.abort()
            return
        if self._received > MAX_REQUEST_BYTES:
            self._transport.abort()

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_message_complete(self) -> None:
        response = self._handler(self._path.decode("ascii", "replace"))
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


class HttpServer:
    """Serves HTTP requests at one address.

    Methods and bodies of requests are ignored.

    Args:
        handler: Returns the response for a request target, which is the path
            with the query string.
    """

    def __init__(self, handler: Callable[[str], Response]) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Start listening at an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self._handler), address.ip, address.port
        )

    async def close(self) -> None:
        """Stop listening; open connections stay open."""
        if self._server is not None:
            self._server.close()
