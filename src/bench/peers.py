"""Many members of one process, to measure what the membership costs."""

import asyncio
import random
from contextlib import AsyncExitStack

from wasabipitch.events import Timeline
from wasabipitch.exceptions import NotOwner
from wasabipitch.hosts import Membership
from wasabipitch.linkserver import Exchange, LinkServer
from wasabipitch.messages import Digest
from wasabipitch.models import Address, Host
from wasabipitch.store import HostList, Record

ANY_ADDRESS = Address("127.0.0.1", 0)
POOL_ROLE = "pool"
DATA_CENTRES = ("thonburi", "bangna", "chatuchak")


class HostListStore:
    """A store that holds nothing but the list of hosts."""

    def __init__(self) -> None:
        self.host_list = HostList((), 0)

    async def get(
        self, key: str, after: int | None = None, wait_s: float = 0.0
    ) -> Record | None:
        """Hold no key."""
        await asyncio.sleep(wait_s)

    async def put(self, key: str, value: str, expect: int | None) -> int:
        """Keep nothing."""
        return 1

    async def delete(self, key: str, expect: int | None = None) -> None:
        """Delete nothing."""

    async def hosts(
        self, after: int | None = None, wait_s: float = 0.0
    ) -> HostList | None:
        """Return the list once; it never changes."""
        if after is not None and self.host_list.revision <= after:
            await asyncio.sleep(wait_s)
            return None
        return self.host_list

    async def close(self) -> None:
        """Have nothing to close."""


class Peer:
    """A member that answers digests.

    Args:
        number: part of its name, and its seed.
        store: gives the list of hosts.
    """

    def __init__(self, number: int, store: HostListStore) -> None:
        self.answered = 0
        self._number = number
        self._store = store
        self._stack = AsyncExitStack()

    async def start(self) -> Host:
        """Start accepting links."""
        name = f"pool-{self._number}"
        timeline = Timeline(name)
        server = LinkServer(self._handle, timeline.clock)
        address = await server.start(ANY_ADDRESS)
        self._stack.push_async_callback(server.close)
        data_centre = DATA_CENTRES[self._number % len(DATA_CENTRES)]
        host = Host(name, POOL_ROLE, str(address), data_centre)
        rng = random.Random(self._number)
        self.membership = Membership(host, self._store, timeline, rng=rng)
        return host

    def run(self) -> None:
        """Start probing; separate from ``start``, so that all hosts are listed."""
        task = asyncio.create_task(self.membership.run())
        self._stack.push_async_callback(_cancel, task)

    async def stop(self) -> None:
        """Stop probing and close all links."""
        await self._stack.aclose()

    async def _handle(self, exchange: Exchange) -> Digest:
        if not isinstance(exchange.message, Digest):
            raise NotOwner("only digests are answered here")
        self.answered += 1
        return await self.membership.answer_digest(exchange)


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
