"""Notification of several tasks about a change of shared state."""

import asyncio
from collections.abc import Callable


class Signal:
    """Wakes all tasks that wait for the next change of a state."""

    def __init__(self) -> None:
        self._fut: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake all waiting tasks."""
        if self._fut is not None and not self._fut.done():
            self._fut.set_result(None)
        self._fut = None

    async def wait(self) -> None:
        """Wait for the next call of `notify`."""
        if self._fut is None:
            self._fut = asyncio.get_running_loop().create_future()
        await asyncio.shield(self._fut)

    async def wait_for(
        self, predicate: Callable[[], bool], timeout_s: float | None = None
    ) -> bool:
        """Wait until a condition holds.

        Args:
            predicate: The condition, evaluated at once and after each change.
            timeout_s: Timeout in seconds; None for no timeout.

        Returns:
            True if the condition holds, False if it still does not at the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not predicate():
                    await self.wait()
        except TimeoutError:
            return predicate()
        return True
