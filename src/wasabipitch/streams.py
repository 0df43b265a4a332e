"""Packets of the MySQL protocol over one caller's connection."""

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
    """Reads and writes packets; ``mysql_mimic.Connection`` calls it.

    Args:
        reader: from the caller.
        writer: to the caller.
        max_bytes: a longer packet is skipped and refused.
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
        """How much was written since the latest ``drain``."""
        return len(self._buffer)

    @property
    def closed_by_caller(self) -> bool:
        """Whether the caller has closed its end of the connection."""
        return self._reader.at_eof() or self._writer.transport.is_closing()

    def limit_packets(self, max_bytes: int) -> None:
        """Refuse packets longer than this from now on."""
        self._max_bytes = max_bytes

    def reset_seq(self) -> None:
        """Expect the first packet of a command."""
        self._sequence = 0

    def skip_seq(self) -> None:
        """Write as if the caller had sent the first packet of a command."""
        self._sequence = 1

    async def read(self) -> bytes:
        """Return the next packet's payload.

        Raises:
            ConnectionClosed: if the caller has closed the connection.
            MysqlError: if the packets break the protocol.
            Refused: if the packet is too long; it was skipped.
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
        """Write a packet, and send it unless ``drain`` is false."""
        self.write_many((data,))
        if drain:
            await self.drain()

    def write_many(self, payloads: Sequence[bytes]) -> None:
        """Buffer packets until the next ``drain``."""
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
        """Send what is buffered, and wait while the caller is slow to take it.

        Raises:
            TimeoutError: if the caller took nothing for a long time.
        """
        if self._buffer:
            self._writer.write(self._buffer)
            self._buffer = bytearray()
        if not self._writer.transport.get_write_buffer_size():
            return
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self._writer.drain()

    async def start_tls(self, context: SSLContext) -> None:
        """Go on under TLS, as the server.

        The caller may have sent the start of its handshake already; what was
        read of it is handed to the TLS protocol.
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
            # The protocol's own connection_made runs one iteration later.
            await asyncio.sleep(0)
            _feed_protocol(tcp_transport.get_protocol(), early_bytes)
        await tls_start

    async def close_gracefully(self, timeout_s: float) -> None:
        """Let the caller read what was written, then close.

        Data that is left unread would make the kernel reset the connection,
        and the caller lose what it has not read yet.
        """
        with contextlib.suppress(OSError, TimeoutError):
            if self._writer.can_write_eof():
                self._writer.write_eof()
            async with asyncio.timeout(timeout_s):
                while await self._reader.read(DISCARD_CHUNK_BYTES):
                    pass

    async def _read_early_tls_bytes(self) -> bytes:
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
                f"packet {header_value >> 24} came for {self._sequence}"
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
