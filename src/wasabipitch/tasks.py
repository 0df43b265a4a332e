"""Background tasks whose unhandled exceptions are logged."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence

# Keeps a task that fails at once on each start from filling the log and using all
# of a CPU.
RESTART_DELAY_S = 0.5

logger = logging.getLogger(__name__)


def spawn(coroutine: Coroutine, name: str) -> asyncio.Task:
    """Run a coroutine in the background and log an exception that ends it.

    Args:
        coroutine: The coroutine to run.
        name: The name of the task in the log.
    """
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(_log_failure)
    return task


def spawn_supervised(start: Callable[[], Coroutine], name: str) -> asyncio.Task:
    """Run a coroutine for the life of the process; restart it after an exception.

    Args:
        start: Returns a new coroutine for each start.
        name: The name of the task in the log.
    """
    return spawn(_run_supervised(start, name), name)


async def _run_supervised(start: Callable[[], Coroutine], name: str) -> None:
    while True:
        try:
            await start()
            return
        except Exception:
            # The host depends on this task, so one failure must not end it.
            logger.exception("task %s failed; restarting it", name)
            await asyncio.sleep(RESTART_DELAY_S)


async def race(
    attempts: Sequence[Callable[[], Coroutine]],
    stagger_s: float,
    retry_on: type[Exception],
):
    """Return the result of the first attempt that succeeds.

    The next attempt starts when one fails, or when none has ended for ``stagger_s``
    seconds. Those that are running go on, since a slow answer is an answer, too.

    Args:
        attempts: Start the attempts, in the order in which they are made.
        stagger_s: The time in seconds from one attempt to the next.
        retry_on: The exception after which the others count. Any other one ends the
            race.

    Raises:
        Exception: The first failure, if every attempt failed.
    """
    waiting = list(attempts)
    running: set[asyncio.Task] = set()
    failure: Exception | None = None
    try:
        while waiting or running:
            if waiting:
                running.add(asyncio.ensure_future(waiting.pop(0)()))
            done, running = await asyncio.wait(
                running,
                timeout=stagger_s if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                try:
                    return task.result()
                except retry_on as exc:
                    failure = failure or exc
    finally:
        for task in running:
            task.cancel()
    raise failure


async def cancel(task: asyncio.Task) -> None:
    """Cancel a task and wait until it has ended; its outcome is ignored."""
    task.cancel()
    await asyncio.wait([task])


def ignore_failure(fut: asyncio.Future) -> None:
    """Keep asyncio from logging the exception of a future that nobody awaits.

    This is a callback for ``add_done_callback``, for futures whose reader may have
    given up on them.
    """
    if not fut.cancelled():
        fut.exception()


def _log_failure(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        logger.error("task %s ended with an exception", task.get_name(), exc_info=exc)
