"""An HTTP client for one address, with a pool of kept-alive connections."""

import asyncio
import json
import re
from collections.abc import Callable, Mapping
from typing import Any

import httptools
import msgspec

from wasabipitch import sockets
from wasabipitch.clock import now_s
from wasabipitch.exceptions import HttpError
from wasabipitch.models import Address

# The largest expected response, a page of the store's listing, is at most 1 MB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Further digits of a content length change nothing.
MAX_SIZE_DIGITS = 18
# Query parameters of these characters alone need no escapes.
_UNESCAPED = re.compile(r"[A-Za-z0-9_.~-]*\Z")
# Once a response has begun, the call fails when no more of it arrives for this long. A
# response of 1 MB takes 1.6 s on a link of 5 Mbit/s, longer than a silent server is
# waited for.
STALL_TIMEOUT_S = 0.8
# The longest time that a response may take after the time limit of the call.
MAX_TRANSFER_S = 30.0
# A watch doesn't count here: its connection is in use while it waits.
MAX_IDLE_CONNECTIONS = 4


class Response(msgspec.Struct, frozen=True):
    """A complete HTTP response.

    Args:
        status: The status code.
        body: The body.
        headers: The values of the headers, by name in lower case.
    """

    status: int
    body: bytes
    headers: dict[bytes, bytes] = {}


class _Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self.reusable = False
        # Called when a part of a response has arrived that is not complete.
        self.on_progress: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._headers: dict[bytes, bytes] = {}
        self._response: asyncio.Future[Response] | None = None
        # The longest body of the response.
        self._max_bytes = MAX_RESPONSE_BYTES

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def send(self, request: bytes, max_bytes: int) -> asyncio.Future[Response]:
        self.reusable = False
        self._max_bytes = max_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._headers = {}
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._response

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            self.abort("data received without a request")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.abort(f"malformed response: {exc}")
            return
        if self._parser is not None and self.on_progress is not None:
            self.on_progress()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        size = self._headers.get(b"content-length", b"")
        if size.isdigit() and int(size[:MAX_SIZE_DIGITS]) > self._max_bytes:
            self._refuse(int(size[:MAX_SIZE_DIGITS]))

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._max_bytes:
            self._refuse(len(self._body))

    def on_message_complete(self) -> None:
        self.reusable = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        self._parser = None
        if not self._response.done():
            response = Response(status, bytes(self._body), self._headers)
            self._response.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        self._fail(str(exc) if exc else "connection closed before the response")

    def abort(self, reason: str = "request aborted") -> None:
        self.reusable = False
        self._fail(reason)
        sockets.reset(self._transport)

    def _refuse(self, size: int) -> None:
        if self._response is not None and not self._response.done():
            message = f"response of {size} bytes or more exceeds {self._max_bytes}"
            self._response.set_exception(ResponseTooLarge(message))
        self.abort()

    def _fail(self, reason: str) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(HttpError(reason))


class HttpClient:
    """Sends requests to one address and never repeats one by itself.

    Args:
        address: The address of the server.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[_Connection] = []
        # When a part of a response last arrived that was not complete by then, or 0.
        self.progressed_at_s = 0.0

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        *,
        params: Mapping[str, str] | None = None,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Response:
        """Send a request and return the response.

        Args:
            method: The HTTP method.
            path: The path without the query string.
            timeout_s: The time limit of the whole call, including connecting. Once a
                part of the response has arrived, ``STALL_TIMEOUT_S`` from the last
                part on takes its place.
            params: The parameters of the query string.
            body: A value to send as JSON, or None for an empty body.
            headers: Headers to add to those that every request has.
            max_bytes: The longest body of the response.

        Raises:
            ConnectError: If the connection failed or took too long, so that nothing was
                sent.
            ResponseTooLarge: If the body is longer than allowed.
            HttpError: If no complete and valid response came in time.
        """
        data = self._encode_request(method, path, params, body, headers)
        until_s = now_s() + timeout_s
        try:
            async with asyncio.timeout(timeout_s) as limit:
                conn = await self._connect()
                if now_s() > until_s:
                    # The timeout does not count the time for which a machine is
                    # suspended.
                    conn.abort()
                    raise ConnectError(f"not sent within {timeout_s:g} s")
                conn.on_progress = lambda: self._extend(limit, until_s)
                try:
                    response = await conn.send(data, max_bytes)
                except asyncio.CancelledError:
                    conn.abort()
                    raise
                finally:
                    conn.on_progress = None
        except TimeoutError as exc:
            raise HttpError(f"no response within {timeout_s:g} s") from exc
        if conn.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            conn.abort()
        return response

    def _extend(self, limit: asyncio.Timeout, until_s: float) -> None:
        """Allow more time for a response of which a part has arrived.

        Args:
            limit: The timeout of the call.
            until_s: When the time limit of the call would have passed.
        """
        at_s = self.progressed_at_s = now_s()
        if limit.expired():
            return
        left_s = min(STALL_TIMEOUT_S, until_s + MAX_TRANSFER_S - at_s)
        limit.reschedule(asyncio.get_running_loop().time() + max(0.0, left_s))

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().abort()

    async def _connect(self) -> _Connection:
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable:
                return conn
        loop = asyncio.get_running_loop()
        try:
            _, conn = await loop.create_connection(
                _Connection, self._address.ip, self._address.port
            )
        except OSError as exc:
            raise ConnectError(str(exc)) from exc
        return conn

    def _encode_request(self, method, path, params, body, headers) -> bytes:
        target = f"{path}?{_encode_query(params)}" if params else path
        content = b"" if body is None else json.dumps(body).encode()
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self._address}",
            f"Content-Length: {len(content)}",
        ]
        if body is not None:
            lines.append("Content-Type: application/json")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        return "\r\n".join([*lines, "", ""]).encode() + content


def _encode_query(params: Mapping[str, str]) -> str:
    return "&".join(
        f"{_escape(name)}={_escape(value)}" for name, value in params.items()
    )


def _escape(text: str) -> str:
    if _UNESCAPED.match(text):
        return text
    # This import takes as long as a read of the store, and a host's first calls
    # after a start need no escapes.
    from urllib.parse import quote

    return quote(text, safe="")


class ConnectError(HttpError):
    """The connection to the server failed, so that nothing was sent."""


class ResponseTooLarge(HttpError):
    """The body of the response is longer than allowed; it was not read to its end."""
