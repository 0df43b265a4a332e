"""Writes log lines to standard output without ever blocking the process."""

import asyncio
import os
from collections import Counter, deque

# The queue while the reader stalls: 4,000 lines of about 300 bytes are 1.2 MB.
MAX_QUEUED_LINES = 4000
# Routine lines are dropped from this queue length on, to leave room for others.
ROUTINE_MAX_QUEUED_LINES = 1000
# A line with a text that a caller chose can be as long as a message.
MAX_LINE_BYTES = 16_384
FLUSH_INTERVAL_S = 0.05
MAX_BATCH_BYTES = 32_768


class LogWriter:
    """Queues log lines up to a limit and writes them to a non-blocking descriptor.

    ``dropped`` counts the lines that found the queue full or were too long, by their
    kind.

    Args:
        fd: The file descriptor to write to, which is made non-blocking.
    """

    def __init__(self, fd: int = 1) -> None:
        self.dropped: Counter[str] = Counter()
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        os.set_blocking(fd, False)

    def write(self, line: str, kind: str, routine: bool) -> None:
        """Queue a line, or count it as dropped if it is too long or the queue is full.

        Args:
            line: The text without a line ending.
            kind: The kind under which it is counted if it is dropped.
            routine: Whether it is dropped earlier than other lines.
        """
        limit = ROUTINE_MAX_QUEUED_LINES if routine else MAX_QUEUED_LINES
        if len(line) > MAX_LINE_BYTES or len(self._lines) >= limit:
            self.dropped[kind] += 1
            return
        self._lines.append(line.encode() + b"\n")

    async def run(self) -> None:
        """Flush the queue at intervals until cancelled, then once more."""
        try:
            while True:
                self.flush()
                await asyncio.sleep(FLUSH_INTERVAL_S)
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as many queued lines as the descriptor accepts without blocking."""
        while self._lines or self._unwritten:
            batch = self._take_batch()
            try:
                written = os.write(self._fd, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, and there is no other place to report that.
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = batch[written:]
            if self._unwritten:
                return

    def _take_batch(self) -> bytes:
        parts = [self._unwritten]
        size = len(self._unwritten)
        while self._lines and size < MAX_BATCH_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        return b"".join(parts)
