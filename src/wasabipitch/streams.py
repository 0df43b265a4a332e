"""Reads and writes packets of the MySQL protocol on a caller's connection."""

import asyncio
import contextlib
import struct
from collections.abc import Sequence
from ssl import SSLContext

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.stream import ConnectionClosed

from wasabipitch.exceptions import Refused

ER_NET_PACKET_TOO_LARGE = 1153
MAX_PAYLOAD_BYTES = 0xFFFFFF
DISCARD_CHUNK_BYTES = 64 * 1024
FLUSH_THRESHOLD_BYTES = 64 * 1024
WRITE_TIMEOUT_S = 60.0
TLS_HANDSHAKE_TIMEOUT_S = 10.0

_HEADER = struct.Struct("<I")


class CallerStream:
    """Reads and writes the packets of a caller's connection.

    It replaces the stream of mysql-mimic, whose ``Connection`` calls its methods.

    Args:
        reader: Receives from the caller.
        writer: Sends to the caller.
        max_bytes: The longest payload that is accepted; longer ones are discarded.

    Attributes:
        idle: Whether the connection waits for the first packet of a command.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_bytes: int,
    ) -> None:
        self.idle = False
        self._reader = reader
        self._writer = writer
        self._max_bytes = max_bytes
        self._sequence = 0
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that the next ``drain`` will send."""
        return len(self._buffer)

    @property
    def closed_by_caller(self) -> bool:
        """Whether the caller has closed its end of the connection."""
        return self._reader.at_eof() or self._writer.transport.is_closing()

    def limit_packets(self, max_bytes: int) -> None:
        """Set the longest payload that is accepted, in bytes."""
        self._max_bytes = max_bytes

    def reset_seq(self) -> None:
        """Reset the packet sequence number, as before each command."""
        self._sequence = 0

    def skip_seq(self) -> None:
        """Number the next packet like the response to a command that was not read."""
        self._sequence = 1

    async def read(self) -> bytes:
        """Return the next packet's payload.

        Raises:
            ConnectionClosed: If the caller has closed the connection.
            MysqlError: If the packets break the protocol.
            Refused: If the payload is too long; it was read and discarded.
        """
        parts = []
        total = 0
        while True:
            size = await self._read_header(first=not total)
            total += size
            if total <= self._max_bytes:
                parts.append(await self._read_payload(size))
            else:
                parts.clear()
                await self._discard(size)
            if size < MAX_PAYLOAD_BYTES:
                break
        if total > self._max_bytes:
            raise Refused(
                f"a packet of {total} bytes exceeds the limit of {self._max_bytes}",
                code=ER_NET_PACKET_TOO_LARGE,
            )
        return b"".join(parts)

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Buffer a packet, and send the buffer unless ``drain`` is false.

        Raises:
            TimeoutError: If the caller doesn't read for too long.
        """
        self.write_many((data,))
        if drain:
            await self.drain()

    def write_many(self, payloads: Sequence[bytes]) -> None:
        """Buffer packets until the next ``drain``.

        A payload that is too long for one packet is split, as the protocol requires.
        """
        buffer = self._buffer
        sequence = self._sequence
        for data in payloads:
            size = len(data)
            while size >= MAX_PAYLOAD_BYTES:
                buffer += _HEADER.pack(MAX_PAYLOAD_BYTES | sequence << 24)
                buffer += data[:MAX_PAYLOAD_BYTES]
                data = data[MAX_PAYLOAD_BYTES:]
                size = len(data)
                sequence = (sequence + 1) & 0xFF
            buffer += _HEADER.pack(size | sequence << 24)
            buffer += data
            sequence = (sequence + 1) & 0xFF
        self._sequence = sequence

    async def drain(self) -> None:
        """Send the buffer, and wait while the caller is slow to read.

        Raises:
            TimeoutError: If the caller doesn't read for ``WRITE_TIMEOUT_S``.
        """
        if self._buffer:
            self._writer.write(self._buffer)
            self._buffer = bytearray()
        if not self._writer.transport.get_write_buffer_size():
            return
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self._writer.drain()

    async def start_tls(self, context: SSLContext) -> None:
        """Switch the connection to TLS, as the server.

        The caller may have sent the start of its TLS handshake together with its
        request. The bytes of it that were already read are passed to the TLS
        protocol.
        """
        early_bytes = await self._read_early_tls_bytes()
        tls_start = asyncio.create_task(
            self._writer.start_tls(
                context, ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S
            )
        )
        if early_bytes:
            tcp_transport = self._writer.transport
            plain_protocol = tcp_transport.get_protocol()
            while (
                tcp_transport.get_protocol() is plain_protocol and not tls_start.done()
            ):
                await asyncio.sleep(0)
            # The TLS protocol's connection_made runs in the next loop iteration.
            await asyncio.sleep(0)
            _feed_protocol(tcp_transport.get_protocol(), early_bytes)
        await tls_start

    async def close_gracefully(self, timeout_s: float) -> None:
        """End the output, then discard input until the caller closes its end.

        If a socket is closed while it has unread input, the kernel resets the
        connection, and the caller loses output that it has not read yet.

        Args:
            timeout_s: The longest wait for the caller, in seconds.
        """
        with contextlib.suppress(OSError, TimeoutError):
            if self._writer.can_write_eof():
                self._writer.write_eof()
            async with asyncio.timeout(timeout_s):
                while await self._reader.read(DISCARD_CHUNK_BYTES):
                    pass

    async def _read_early_tls_bytes(self) -> bytes:
        """Return the input that is already buffered, without waiting for more."""
        read_task = asyncio.create_task(self._reader.read(MAX_PAYLOAD_BYTES))
        await asyncio.sleep(0)
        if read_task.done():
            return read_task.result()
        read_task.cancel()
        await asyncio.wait([read_task])
        return b"" if read_task.cancelled() else read_task.result()

    async def _read_header(self, first: bool) -> int:
        self.idle = first
        try:
            header = await self._reader.readexactly(_HEADER.size)
        except asyncio.IncompleteReadError as exc:
            if exc.partial or not first:
                raise _make_malformed_error(
                    "the connection ended within a packet"
                ) from exc
            raise ConnectionClosed from None
        except ConnectionError as exc:
            raise ConnectionClosed from exc
        self.idle = False
        (header_value,) = _HEADER.unpack(header)
        if header_value >> 24 != self._sequence:
            raise _make_malformed_error(
                f"sequence number {header_value >> 24}, expected {self._sequence}"
            )
        self._sequence = (self._sequence + 1) & 0xFF
        return header_value & MAX_PAYLOAD_BYTES

    async def _read_payload(self, size: int) -> bytes:
        try:
            return await self._reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError) as exc:
            raise _make_malformed_error("the connection ended within a packet") from exc

    async def _discard(self, size: int) -> None:
        while size:
            size -= len(await self._read_payload(min(size, DISCARD_CHUNK_BYTES)))


def _feed_protocol(protocol: asyncio.BufferedProtocol, data: bytes) -> None:
    while data:
        buffer = memoryview(protocol.get_buffer(len(data)))
        count = min(len(buffer), len(data))
        buffer[:count] = data[:count]
        protocol.buffer_updated(count)
        data = data[count:]


def _make_malformed_error(reason: str) -> MysqlError:
    return MysqlError(f"malformed packet: {reason}", ErrorCode.MALFORMED_PACKET)
