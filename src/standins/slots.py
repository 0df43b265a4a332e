"""The execution slots of an instance."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class Slots:
    """Lets a fixed number of statements execute; others queue first in, first out.

    Attributes:
        running: Statements that execute now.
        queued: Statements that wait for a slot.
    """

    def __init__(self, limit: int) -> None:
        self._semaphore = asyncio.Semaphore(limit)
        self.running = 0
        self.queued = 0

    @asynccontextmanager
    async def hold(self) -> AsyncIterator[None]:
        """Hold a slot for the length of the block."""
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
