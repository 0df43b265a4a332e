"""Fresh reports from instances, one question serving all that wait for it."""

import asyncio
import time

from wasabipitch.exceptions import TargetDown, TargetLost
from wasabipitch.targets import InstanceStatus
from wasabipitch.view import GroupView

SAMPLE_TIMEOUT_S = 0.25


class Sampler:
    """Asks instances for their status, coalescing those who wait.

    A caller of ``sample`` gets a report that was asked for after its call.
    While one question is on its way, all later callers share the next one.

    Args:
        view: the group; reports are kept in it.
    """

    def __init__(self, view: GroupView) -> None:
        self._view = view
        self._running: dict[str, asyncio.Task[InstanceStatus]] = {}
        self._next: dict[str, asyncio.Task[InstanceStatus]] = {}

    async def sample(self, name: str) -> InstanceStatus:
        """Return an instance's report, asked for after this call.

        Raises:
            TargetDown, TargetLost: if it gives no answer.
        """
        running = self._running.get(name)
        if running is None or running.done():
            task = asyncio.create_task(self._ask(name))
            self._running[name] = task
        else:
            task = self._next.get(name)
            if task is None:
                task = asyncio.create_task(self._ask_after(running, name))
                self._next[name] = task
        return await asyncio.shield(task)

    async def sample_all(self) -> dict[str, InstanceStatus]:
        """Return the reports of all instances that answer."""
        names = list(self._view.instances)
        answers = await asyncio.gather(
            *(self.sample(name) for name in names), return_exceptions=True
        )
        reports = zip(names, answers, strict=True)
        return {n: a for n, a in reports if isinstance(a, InstanceStatus)}

    async def sample_older(self, age_s: float) -> None:
        """Ask those instances anew whose latest report is older than an age.

        Unreachable ones are left out, so that nobody waits for them.
        """
        oldest_s = time.monotonic() - age_s
        views = self._view.instances.values()
        names = [
            v.name for v in views if v.reachable and v.report_asked_at_s < oldest_s
        ]
        await asyncio.gather(*map(self.sample, names), return_exceptions=True)

    async def close(self) -> None:
        """Cancel the questions that are on their way."""
        tasks = [*self._running.values(), *self._next.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask(self, name: str) -> InstanceStatus:
        asked_at_s = time.monotonic()
        channel = self._view.instances[name].channel
        status = await channel.status(SAMPLE_TIMEOUT_S)
        self._view.update(name, status, asked_at_s)
        return status

    async def _ask_after(self, running: asyncio.Task, name: str) -> InstanceStatus:
        await asyncio.wait([running])
        self._running[name] = asyncio.current_task()
        del self._next[name]
        return await self._ask(name)


SAMPLE_ERRORS = (TargetDown, TargetLost)
