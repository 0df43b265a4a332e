"""The links of one process to its peers."""

import asyncio
import errno

from wasabipitch.events import Clock
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.links import Cuts, Link
from wasabipitch.messages import Hello
from wasabipitch.models import Address, Host


def is_descriptor_shortage(exc: WasabipitchError) -> bool:
    """Return whether a link failed because file descriptors ran out here.

    Such a failure is no evidence that the peer failed.
    """
    cause = exc.__cause__
    return isinstance(cause, OSError) and cause.errno in (errno.EMFILE, errno.ENFILE)


class PeerLinks:
    """Holds one link for each peer, created on demand.

    Args:
        hello: The identity of this process, sent first on each connection.
        clock: The clock whose time is sent with every message.
        cuts: The peers whose traffic fault injection drops.
    """

    def __init__(self, hello: Hello, clock: Clock, cuts: Cuts | None = None) -> None:
        self.hello = hello
        self.cuts = cuts or Cuts()
        self._clock = clock
        self._links: dict[str, Link] = {}
        self._closing: set[asyncio.Task] = set()

    async def __aenter__(self) -> "PeerLinks":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    def find(self, host: Host) -> Link:
        """Return the link to a host, and create it if needed.

        If the host's address has changed, the old link is closed and replaced.
        """
        address = Address.parse(host.address)
        link = self._links.get(host.name)
        if link is not None and link.address != address:
            self._close_in_background(link)
            link = None
        if link is None:
            link = Link(
                address, self.hello, self._clock, peer=host.name, cuts=self.cuts
            )
            self._links[host.name] = link
        return link

    def drop(self, name: str) -> None:
        """Close the link to a host that is no longer known."""
        link = self._links.pop(name, None)
        if link is not None:
            self._close_in_background(link)

    async def close(self) -> None:
        """Close every link."""
        links = list(self._links.values())
        self._links.clear()
        for link in links:
            await link.close()
        for task in list(self._closing):
            await task

    def _close_in_background(self, link: Link) -> None:
        task = asyncio.get_running_loop().create_task(link.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
