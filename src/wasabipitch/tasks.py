"""Background tasks that say why they ended."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

# Keeps a defect that shows at once from filling the log and the processor.
RESTART_DELAY_S = 0.5

logger = logging.getLogger(__name__)


def spawn(coroutine: Coroutine, name: str) -> asyncio.Task:
    """Run work in the background; an error that ends it is logged.

    Args:
        coroutine: the work.
        name: of the task, for the log.
    """
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(_log_failure)
    return task


def spawn_supervised(start: Callable[[], Coroutine], name: str) -> asyncio.Task:
    """Run work that lasts as long as the process; an error starts it anew.

    Args:
        start: returns the coroutine, each time it is begun.
        name: of the task, for the log.
    """
    return spawn(_run_supervised(start, name), name)


async def _run_supervised(start: Callable[[], Coroutine], name: str) -> None:
    while True:
        try:
            await start()
            return
        except Exception:
            # A defect in one round must not end what all later rounds rest on.
            logger.exception("task %s starts anew", name)
            await asyncio.sleep(RESTART_DELAY_S)


async def cancel(task: asyncio.Task) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.wait([task])


def _log_failure(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        logger.error("task %s ended", task.get_name(), exc_info=exc)
