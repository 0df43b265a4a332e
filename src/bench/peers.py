"""Many members in one process, to measure the cost of the membership protocol."""

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
    """A store that holds the list of hosts and no other records."""

    def __init__(self) -> None:
        self.host_list = HostList((), 0)

    async def get(
        self, key: str, after: int | None = None, wait_s: float = 0.0
    ) -> Record | None:
        """Return None after the wait, since no key is stored."""
        await asyncio.sleep(wait_s)

    async def put(self, key: str, value: str, expect: int | None) -> int:
        """Discard the value and return revision 1."""
        return 1

    async def delete(self, key: str, expect: int | None = None) -> None:
        """Do nothing, since no key is stored."""

    async def hosts(
        self, after: int | None = None, wait_s: float = 0.0
    ) -> HostList | None:
        """Return the list, or None after the wait if its revision is known."""
        if after is not None and self.host_list.revision <= after:
            await asyncio.sleep(wait_s)
            return None
        return self.host_list

    async def close(self) -> None:
        """Do nothing, since the store holds no connection."""


class Peer:
    """A member that exchanges digests, its view of the hosts, with the others.

    Args:
        number: the number in the member's name; it also seeds the member's
            random choices and selects the data centre.
        store: supplies the list of hosts.
    """

    def __init__(self, number: int, store: HostListStore) -> None:
        self.answered = 0
        self._number = number
        self._store = store
        self._stack = AsyncExitStack()

    async def start(self) -> Host:
        """Start to accept links and return the member's host."""
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
        """Start to probe other members.

        This is separate from ``start`` so that the store lists all hosts before
        the first probe.
        """
        task = asyncio.create_task(self.membership.run())
        self._stack.push_async_callback(_cancel, task)

    async def stop(self) -> None:
        """Stop probing and close all links."""
        await self._stack.aclose()

    async def _handle(self, exchange: Exchange) -> Digest:
        if not isinstance(exchange.message, Digest):
            raise NotOwner("this peer answers digests only")
        self.answered += 1
        return await self.membership.answer_digest(exchange)


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
