"""Line-based TCP connections, used towards callers and instances alike."""

import asyncio
import socket
import sys
from collections import deque
from typing import Protocol

from wasabipitch import sockets
from wasabipitch.exceptions import (
    ConnectionRefused,
    InstanceLost,
    MalformedMessage,
    TargetDown,
)
from wasabipitch.models import Address

# The longest statement is 1 MiB; the rest is room for the other fields of its line.
MAX_LINE_BYTES = (1 << 20) + 1024
# Only this ends a line. A line feed alone is part of a text field: if it ended the
# line, the rest of the field would run as a statement of its own.
LINE_END = b"\r\n"
# Reading pauses while more lines than this are queued, which bounds the memory
# that a peer can fill by sending faster than its lines are read.
MAX_QUEUED_LINES = 64
# The kernel closes a connection whose sent data stays unacknowledged this long.
USER_TIMEOUT_MS = 1500
# The kernel closes an idle connection whose peer no longer answers after
# KEEPALIVE_IDLE_S + KEEPALIVE_COUNT * KEEPALIVE_INTERVAL_S.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2


class ByteCounter(Protocol):
    """Counts the bytes that a stream holds in memory."""

    def hold(self, size: int) -> None:
        """Set the bytes that were received and not read, or written and not sent.

        The stream may be discarded by this call.
        """

    def close(self) -> None:
        """Forget the stream, which is closed."""


class LineStream(asyncio.Protocol):
    """Reads lines from a connection and writes bytes to it.

    Reading from the connection pauses while its lines are not asked for and
    ``read_ahead_bytes`` are unread, or too many lines. The rest of a line that is
    awaited is read in any case.

    Args:
        memory: Counts the bytes that the stream holds, or None.
        read_ahead_bytes: The number of unread bytes from which on they are counted
            and reading may pause.

    Attributes:
        closed: An event that is set once either side has closed the connection.
        received: The number of bytes received so far.
        unread: The number of bytes received and not read by ``read_line``.
    """

    def __init__(
        self, memory: ByteCounter | None = None, read_ahead_bytes: int = sys.maxsize
    ) -> None:
        self.closed = asyncio.Event()
        self.memory = memory
        self.received = 0
        self.unread = 0
        self._read_ahead_bytes = read_ahead_bytes
        # Whether ``read_line`` waits for the end of a line.
        self._awaited = False
        # Whether ``memory`` was last given a number other than 0.
        self._is_counted = False
        self._transport: asyncio.Transport | None = None
        self._lines: deque[bytes] = deque()
        self._buffer = bytearray()
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading_paused = False
        self._line_too_long = False

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self.closed.is_set()

    @property
    def has_line(self) -> bool:
        """Whether a complete line is queued."""
        return bool(self._lines)

    @property
    def awaits_rest(self) -> bool:
        """Whether a part of a message has arrived and the rest is awaited."""
        return self._awaited and not self._lines and self.unread > 0

    @property
    def unsent(self) -> int:
        """The bytes that the peer has not taken, or 0 below the high-water mark."""
        if self._writable.is_set() or not self.is_open:
            return 0
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport and set the socket's options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_socket_options(sock)

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into lines and queue them."""
        self.received += len(data)
        self.unread += len(data)
        size = len(data) - 2
        if not self._buffer and 0 <= data.find(LINE_END) == size <= MAX_LINE_BYTES:
            # By far the most common case: one whole message.
            self._lines.append(data[:size])
        else:
            self._split(data)
        if self.unread >= self._read_ahead_bytes or len(self._lines) > MAX_QUEUED_LINES:
            self._limit_unread()
        self._readable.set()

    def _limit_unread(self) -> None:
        if not self._awaited or self._lines:
            self._pause_reading()
        self._count_bytes()

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self._transport.is_closing():
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._reading_paused = False
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _count_bytes(self) -> None:
        if self.memory is not None:
            size = self.unread + self.unsent
            self._is_counted = size >= self._read_ahead_bytes
            self.memory.hold(size if self._is_counted else 0)

    def _split(self, data: bytes) -> None:
        buffer = self._buffer
        # The line ending may have arrived in two pieces.
        searched = max(0, len(buffer) - 1)
        buffer += data
        start = 0
        end = buffer.find(LINE_END, searched)
        while end >= 0 and end - start <= MAX_LINE_BYTES:
            self._lines.append(bytes(memoryview(buffer)[start:end]))
            start = end + 2
            end = buffer.find(LINE_END, start)
        if start:
            # A new buffer, because the old one keeps the size that it has grown to.
            self._buffer = buffer = buffer[start:]
        # The buffer may end with the first byte of the line ending.
        if len(buffer) > MAX_LINE_BYTES + 1:
            self._line_too_long = True
            self.discard()

    def eof_received(self) -> bool:
        """Return False, so that the transport closes when the peer does."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the stream as closed and wake all waiting readers and writers."""
        self.closed.set()
        self._readable.set()
        self._writable.set()
        if self.memory is not None:
            self.memory.close()

    def pause_writing(self) -> None:
        """Make ``drain`` wait, because the peer reads too slowly."""
        self._writable.clear()
        self._count_bytes()

    def resume_writing(self) -> None:
        """Let ``drain`` return again."""
        self._writable.set()
        self._count_bytes()

    async def read_line(self) -> bytes | None:
        """Return the next line without its line ending, or None once closed.

        Raises:
            MalformedMessage: If a line is longer than the protocol allows.
        """
        while not self._lines:
            if self._line_too_long:
                raise MalformedMessage(f"line exceeds {MAX_LINE_BYTES} bytes")
            if self.closed.is_set():
                return None
            await self._wait_for_bytes()
        line = self._lines.popleft()
        self.unread -= len(line) + len(LINE_END)
        if self._reading_paused and self._is_mostly_read():
            self._resume_reading()
        if self._is_counted:
            self._count_bytes()
        return line

    async def _wait_for_bytes(self) -> None:
        if self._reading_paused:
            self._resume_reading()
        self._readable.clear()
        self._awaited = True
        try:
            await self._readable.wait()
        finally:
            self._awaited = False

    def _is_mostly_read(self) -> bool:
        few_lines = len(self._lines) < MAX_QUEUED_LINES // 2
        return few_lines and self.unread < self._read_ahead_bytes

    def write(self, data: bytes) -> None:
        """Send bytes; do nothing if the connection is closed or closing."""
        if self.is_open and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has fallen below its limit."""
        await self._writable.wait()

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def discard(self) -> None:
        """Close the connection at once and forget what it has received."""
        self._lines.clear()
        self._buffer = bytearray()
        self.unread = 0
        self.abort()

    def abort(self) -> None:
        """Close the connection at once and discard bytes that have not arrived."""
        if self._transport is not None:
            sockets.reset(self._transport)


def _set_socket_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def open_stream(address: Address, timeout_s: float) -> LineStream:
    """Connect to an address.

    Raises:
        ConnectionRefused: If no process listens there.
        TargetDown: If the connection fails otherwise or takes longer than
            ``timeout_s``.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, stream = await loop.create_connection(
                LineStream, address.ip, address.port
            )
    except ConnectionRefusedError as exc:
        raise ConnectionRefused(f"{address}: refused") from exc
    except (OSError, TimeoutError) as exc:
        reason = str(exc) or "no answer"
        raise TargetDown(f"{address}: {reason}") from exc
    return stream


async def read_message(stream: LineStream) -> bytes:
    """Return the next line of an instance.

    Raises:
        InstanceLost: If the connection is closed first.
    """
    line = await stream.read_line()
    if line is None:
        raise InstanceLost("the connection ended")
    return line
