"""Requests status reports from instances and shares each among its waiters."""

import asyncio
import time

from wasabipitch.exceptions import TargetDown, TargetLost
from wasabipitch.targets import InstanceStatus
from wasabipitch.view import GroupView

SAMPLE_TIMEOUT_S = 0.25


class Sampler:
    """Requests status reports and coalesces concurrent requests for one instance.

    ``sample`` returns a report that was requested after the call. While one request is
    in progress, all later calls share the next one.

    Args:
        view: The group's view, which keeps the reports.
    """

    def __init__(self, view: GroupView) -> None:
        self._view = view
        self._running: dict[str, asyncio.Task[InstanceStatus]] = {}
        self._next: dict[str, asyncio.Task[InstanceStatus]] = {}

    async def sample(self, name: str) -> InstanceStatus:
        """Return an instance's report that is requested after this call.

        Raises:
            TargetDown, TargetLost: The instance did not answer.
        """
        running = self._running.get(name)
        if running is None or running.done():
            task = asyncio.create_task(self._request(name))
            self._running[name] = task
        else:
            task = self._next.get(name)
            if task is None:
                task = asyncio.create_task(self._request_after(running, name))
                self._next[name] = task
        return await asyncio.shield(task)

    async def sample_all(self) -> dict[str, InstanceStatus]:
        """Return new reports of all instances that answer, by name."""
        names = list(self._view.instances)
        answers = await asyncio.gather(
            *(self.sample(name) for name in names), return_exceptions=True
        )
        reports = zip(names, answers, strict=True)
        return {n: a for n, a in reports if isinstance(a, InstanceStatus)}

    async def sample_older(self, age_s: float) -> None:
        """Request new reports from instances whose latest one is older than an age.

        Unreachable instances are left out, so that the caller does not wait for them.
        Failures are ignored.

        Args:
            age_s: The age in seconds.
        """
        oldest_s = time.monotonic() - age_s
        views = self._view.instances.values()
        names = [
            v.name for v in views if v.reachable and v.report_asked_at_s < oldest_s
        ]
        await asyncio.gather(*map(self.sample, names), return_exceptions=True)

    async def close(self) -> None:
        """Cancel the requests that are in progress."""
        tasks = [*self._running.values(), *self._next.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _request(self, name: str) -> InstanceStatus:
        asked_at_s = time.monotonic()
        channel = self._view.instances[name].channel
        status = await channel.status(SAMPLE_TIMEOUT_S)
        self._view.update(name, status, asked_at_s)
        return status

    async def _request_after(self, running: asyncio.Task, name: str) -> InstanceStatus:
        await asyncio.wait([running])
        self._running[name] = asyncio.current_task()
        del self._next[name]
        return await self._request(name)


SAMPLE_ERRORS = (TargetDown, TargetLost)
