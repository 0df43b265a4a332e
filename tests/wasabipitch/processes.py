"""Processes for tests, with links, membership, configuration and control."""

import asyncio
import contextlib
import random

from wasabipitch.configuration import ConfigurationKeeper
from wasabipitch.control import ControlServer
from wasabipitch.events import Timeline
from wasabipitch.hosts import Membership
from wasabipitch.links import Cuts
from wasabipitch.linkserver import LinkServer
from wasabipitch.messages import ProcessState
from wasabipitch.models import Address, Host

KEY = "wasabipitch/configuration"


class Process:
    """A process that answers control messages on a port chosen by the kernel.

    Attributes:
        responsive: While this event is cleared, the process answers no message, as if
            it were frozen.
    """

    def __init__(self, name, store, role="pool", data_centre="thonburi", seed=1):
        self.name = name
        self.role = role
        self.data_centre = data_centre
        self.store = store
        self.seed = seed
        self.describe = lambda: ProcessState(self.host, self.keeper.revision, 1.0)
        self.responsive = asyncio.Event()
        self.responsive.set()
        self._stack = contextlib.AsyncExitStack()

    async def start(self, port=0):
        self.timeline = Timeline(self.name)
        self.cuts = Cuts()
        self.server = LinkServer(self._handle, self.timeline.clock, cuts=self.cuts)
        address = await self.server.start(Address("127.0.0.1", port))
        self._stack.push_async_callback(self.server.close)
        self.host = Host(self.name, self.role, str(address), self.data_centre)
        rng = random.Random(self.seed)
        self.membership = Membership(
            self.host, self.store, self.timeline, cuts=self.cuts, rng=rng
        )
        self.keeper = ConfigurationKeeper(
            self.store, KEY, self.timeline, self.membership, rng=rng
        )
        self.control = ControlServer(
            self.timeline,
            self.describe,
            self.keeper,
            self.membership,
            cuts=self.cuts,
        )
        return self

    def run(self):
        """Start the background loops.

        They are separate from ``start`` so that the hosts of all processes are known
        first.
        """
        for loop in (
            self.keeper.run(),
            self.membership.run(),
        ):
            task = asyncio.create_task(loop)
            self._stack.push_async_callback(_stop, task)

    async def kill(self):
        await self._stack.aclose()
        self._stack = contextlib.AsyncExitStack()

    async def _handle(self, exchange):
        await self.responsive.wait()
        return await self.control.handle(exchange)


async def _stop(task):
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def wait_until(predicate, timeout_s=20.0):
    """Wait until a condition holds, or fail the test."""
    async with asyncio.timeout(timeout_s):
        while not predicate():
            await asyncio.sleep(0.02)
