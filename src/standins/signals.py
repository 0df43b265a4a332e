"""Waiting for a change of state that several tasks may be interested in."""

import asyncio
from collections.abc import Callable


class Signal:
    """Wakes every task that waits for the next change."""

    def __init__(self) -> None:
        self._fut: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake all waiting tasks."""
        if self._fut is not None and not self._fut.done():
            self._fut.set_result(None)
        self._fut = None

    async def wait(self) -> None:
        """Return after the next `notify`."""
        if self._fut is None:
            self._fut = asyncio.get_running_loop().create_future()
        await asyncio.shield(self._fut)

    async def wait_for(
        self, predicate: Callable[[], bool], timeout_s: float | None = None
    ) -> bool:
        """Wait until a condition holds.

        Args:
            predicate: The condition; evaluated at once and after each change.
            timeout_s: Longest wait in seconds; None for no limit.

        Returns:
            Whether the condition holds, as opposed to a timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not predicate():
                    await self.wait()
        except TimeoutError:
            return predicate()
        return True
