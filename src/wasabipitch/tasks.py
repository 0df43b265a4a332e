"""Background tasks that say why they ended."""

import asyncio
import logging
from collections.abc import Coroutine

logger = logging.getLogger(__name__)


def spawn(work: Coroutine, name: str) -> asyncio.Task:
    """Run work in the background; an error that ends it is logged.

    Args:
        work: the coroutine.
        name: of the task, for the log.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_end)
    return task


async def cancel(task: asyncio.Task) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.wait([task])


def _log_end(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        logger.error("task %s ended", task.get_name(), exc_info=exc)
