"""Limits how many statements of an instance execute at once."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class Slots:
    """A fixed number of execution slots with a first-in, first-out queue.

    Args:
        limit: Number of slots.

    Attributes:
        running: Number of statements that hold a slot.
        queued: Number of statements that wait for a slot.
    """

    def __init__(self, limit: int) -> None:
        self._semaphore = asyncio.Semaphore(limit)
        self.running = 0
        self.queued = 0

    @asynccontextmanager
    async def hold(self) -> AsyncIterator[None]:
        """Wait for a slot and hold it within the block."""
        self.queued += 1
        try:
            await self._semaphore.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self._semaphore.release()
