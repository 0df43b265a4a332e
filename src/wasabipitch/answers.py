"""Writes result sets to callers, in batches and with back-pressure."""

import asyncio

from wasabipitch import packets
from wasabipitch.contracts import Row, unpack_rows
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.models import Column
from wasabipitch.streams import FLUSH_THRESHOLD_BYTES, CallerStream
from wasabipitch.verdict import Verdict

ROWS_PER_BATCH = 500
UTF8_CODECS = frozenset({"utf8", "utf-8", "utf_8"})


class ResultSetWriter:
    """Writes one result set to a caller.

    Args:
        stream: The connection to the caller.
        columns: The columns of the result set.
        binary: Whether rows are sent in the binary protocol.
        codec: The Python codec of the caller's character set.
        charset: The MySQL number of the caller's character set.
        deprecate_eof: Whether the caller accepts an OK packet in place of an EOF.
    """

    def __init__(
        self,
        stream: CallerStream,
        columns: tuple[Column, ...],
        *,
        binary: bool,
        codec: str,
        charset: int,
        deprecate_eof: bool,
    ) -> None:
        self._stream = stream
        self._columns = columns
        self._codec = codec
        self._deprecate_eof = deprecate_eof
        self._needs_recoding = codec.lower() not in UTF8_CODECS
        self._charset = charset if self._needs_recoding else None
        self._encoders = packets.choose_encoders(columns) if binary else None

    def begin(self, status: int) -> None:
        """Buffer the column definitions.

        Args:
            status: The status flags of the session.
        """
        payloads = [packets.make_column_count(len(self._columns))]
        for column in self._columns:
            if self._encoders is not None:
                column = packets.widen_column(column)
            payloads.append(packets.make_column(column, self._codec, self._charset))
        if not self._deprecate_eof:
            payloads.append(packets.make_eof(status))
        self._stream.write_many(payloads)

    async def write_rows(self, block: bytes) -> None:
        """Write rows, and send them whenever the buffer is full.

        Other tasks can run between two batches.

        Args:
            block: Rows that ``pack_rows`` has packed.

        Raises:
            TimeoutError: If the caller doesn't read for too long.
            WasabipitchError: If a value does not have its column's type.
        """
        rows = unpack_rows(block)
        for start in range(0, len(rows), ROWS_PER_BATCH):
            if start:
                await asyncio.sleep(0)
            self._stream.write_many(
                self._encode_rows(rows[start : start + ROWS_PER_BATCH])
            )
            if self._stream.buffered_bytes >= FLUSH_THRESHOLD_BYTES:
                await self._stream.drain()

    async def finish(self, status: int) -> None:
        """Write the end of the result set, and send what is buffered.

        Args:
            status: The status flags of the session.
        """
        if self._deprecate_eof:
            end = packets.make_ok(status=status, eof=True)
        else:
            end = packets.make_eof(status)
        await self._stream.write(end)

    def _encode_rows(self, rows: list[list[bytes | None]]) -> list[bytes]:
        if self._needs_recoding:
            rows = [self._recode(row) for row in rows]
        if self._encoders is None:
            return [packets.make_text_row(row) for row in rows]
        try:
            return [packets.make_binary_row(row, self._encoders) for row in rows]
        except ValueError as exc:
            raise WasabipitchError(
                f"can't encode a value as its column's type: {exc}",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from exc

    def _recode(self, row: Row) -> list[bytes | None]:
        return [
            value
            if value is None or column.charset == packets.BINARY_CHARSET
            else value.decode("utf8", "replace").encode(self._codec, "replace")
            for value, column in zip(row, self._columns, strict=True)
        ]
