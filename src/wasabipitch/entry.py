"""The entry process, which accepts callers and forwards their statements to pools."""

import asyncio
import contextlib
import random
import time
import uuid

from wasabipitch.configuration import ConfigurationKeeper
from wasabipitch.control import ControlServer
from wasabipitch.deployment import Policy
from wasabipitch.dispatch import Dispatcher, OwnerRouter
from wasabipitch.events import Timeline
from wasabipitch.frontend import Frontend
from wasabipitch.hosts import Membership
from wasabipitch.links import Cuts
from wasabipitch.linkserver import Exchange, LinkServer
from wasabipitch.messages import Message, ProcessState
from wasabipitch.metrics import StatsdMetrics
from wasabipitch.models import Address, Host
from wasabipitch.session_runner import SessionRunner
from wasabipitch.settings import EntrySettings
from wasabipitch.store import PlatformStore

# The entry waits this long for its first configuration before it accepts callers;
# without one it would refuse their statements.
CONFIGURATION_WAIT_S = 5.0


class Entry:
    """An entry process, from its start to its graceful stop.

    Args:
        cfg: The settings of the process.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        self.cfg = cfg
        self.cuts = Cuts()
        self.timeline = Timeline(cfg.host)
        statsd = cfg.statsd.address
        self.metrics = StatsdMetrics(
            Address.parse(statsd) if statsd else None, cfg.statsd.prefix
        )
        self._incarnation = uuid.uuid4().hex[:12]
        self._started_s = time.monotonic()
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> Host:
        """Start the process and return the description that its peers see."""
        cfg = self.cfg
        links = LinkServer(self._handle, self.timeline.clock, cuts=self.cuts)
        address = await links.start(cfg.link_address)
        self._stack.push_async_callback(links.close)
        self.host = Host(cfg.host, "entry", str(address), cfg.data_centre)
        store = PlatformStore(Address.parse(cfg.platform), metrics=self.metrics)
        self._stack.push_async_callback(store.close)
        self._start_membership(store)
        await self._start_frontend()
        return self.host

    async def stop(self) -> None:
        """Accept no new callers, finish requests in progress, then close."""
        self.timeline.record("process.stopping")
        await self._membership.leave()
        await self._frontend.stop(self.cfg.stop_timeout_s)
        await self._stack.aclose()

    def describe_ready(self) -> dict[str, str]:
        """Return the additional fields of the ready line."""
        return {"address": str(self.address), "data_centre": self.cfg.data_centre}

    def describe(self) -> ProcessState:
        """Return this process's state for ``ctl status``."""
        return ProcessState(
            host=self.host,
            revision=self._keeper.revision,
            uptime_s=round(time.monotonic() - self._started_s, 3),
            sessions=len(self._runner.sessions),
            stopping=self._frontend.stopping,
            counters=dict(self.metrics.counters),
        )

    def _start_membership(self, store: PlatformStore) -> None:
        self._membership = Membership(
            self.host,
            store,
            self.timeline,
            cuts=self.cuts,
            incarnation=self._incarnation,
            metrics=self.metrics,
        )
        self._stack.push_async_callback(self._membership.links.close)
        self._keeper = ConfigurationKeeper(
            store,
            self.cfg.configuration_key,
            self.timeline,
            self._membership,
            metrics=self.metrics,
        )
        self._control = ControlServer(
            self.timeline,
            self.describe,
            self._keeper,
            self._membership,
            cuts=self.cuts if self.cfg.fault_injection else None,
        )
        self._start_task(self._membership.run())
        self._start_task(self._keeper.run())

    async def _start_frontend(self) -> None:
        router = OwnerRouter(self._membership, self._get_policy)
        self._membership.subscribe(router.close_dead_links)
        dispatcher = Dispatcher(router, self.metrics, random.Random())
        self._stack.push_async_callback(dispatcher.close)
        self._runner = SessionRunner(
            self.host,
            self._incarnation,
            self._keeper,
            dispatcher,
            self.timeline,
            self.metrics,
        )
        self._frontend = Frontend(self._runner, self.cfg, self.metrics)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                await self._keeper.wait_current()
        self.address = await self._frontend.start(Address.parse(self.cfg.listen))

    def _get_policy(self) -> Policy:
        deployment = self._keeper.current
        return deployment.policy if deployment else Policy()

    async def _handle(self, exchange: Exchange) -> Message | None:
        return await self._control.handle(exchange)

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._stack.push_async_callback(_cancel, task)


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
