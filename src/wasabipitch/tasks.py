"""Background tasks whose unhandled exceptions are logged."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence

from wasabipitch.clock import now_s

# Keeps a task that fails at once on each start from filling the log and using all
# of a CPU.
RESTART_DELAY_S = 0.5
# An answer that goes on to arrive is waited for at most this much longer.
MAX_PROGRESS_S = 30.0

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
    is_progressing: Callable[[], bool] = lambda: False,
):
    """Return the result of the first attempt that succeeds.

    The next attempt starts when one fails, or when none has ended for ``stagger_s``
    seconds. Those that are running go on, since a slow answer is an answer, too.

    Args:
        attempts: Start the attempts, in the order in which they are made.
        stagger_s: The time in seconds from one attempt to the next.
        retry_on: The exception after which the others count. Any other one ends the
            race.
        is_progressing: Returns whether a part of an answer has arrived lately. Then
            no other attempt starts, since it would share the link with the answer.

    Raises:
        Exception: The first failure, if every attempt failed.
    """
    waiting = list(attempts)
    running: set[asyncio.Task] = set()
    failure: Exception | None = None
    try:
        while waiting or running:
            if waiting and not (running and is_progressing()):
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


async def wait_while_progressing(
    call: Coroutine, timeout_s: float, read_progress_s: Callable[[], float]
):
    """Return the result of a call whose answer may be long.

    Args:
        call: The call.
        timeout_s: The time limit in seconds for the first part of the answer, and
            from each part to the next.
        read_progress_s: Returns when a part of an incomplete answer last arrived.

    Raises:
        TimeoutError: No part of the answer arrived in time, or the whole one took
            longer than ``MAX_PROGRESS_S``.
    """
    task = asyncio.ensure_future(call)
    started_s = now_s()
    try:
        while True:
            since_s = max(started_s, read_progress_s())
            left_s = min(since_s + timeout_s, started_s + timeout_s + MAX_PROGRESS_S)
            left_s -= now_s()
            if left_s <= 0:
                raise TimeoutError(f"nothing arrived for {timeout_s:g} s")
            done, _ = await asyncio.wait([task], timeout=left_s)
            if done:
                return task.result()
    finally:
        task.cancel()


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
