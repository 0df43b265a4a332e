"""Hosts that have only links, for tests of messages between hosts."""

import contextlib

from wasabipitch.events import Clock
from wasabipitch.linkserver import LinkServer
from wasabipitch.messages import Hello
from wasabipitch.models import Address, Host
from wasabipitch.peer_links import PeerLinks


class Peer:
    """A link server and the links of one host; ``handler`` answers messages."""

    def __init__(self, name, handler):
        self.name = name
        self.server = LinkServer(handler, Clock())
        self.host = None
        self.links = None

    async def start(self):
        address = await self.server.start(Address("127.0.0.1", 0))
        self.host = Host(self.name, "gateway", str(address), "rome")
        self.links = PeerLinks(Hello(self.host, self.name), Clock())
        return self


@contextlib.asynccontextmanager
async def run_peers(handlers):
    """Run one peer for each name, and yield the peers by name."""
    async with contextlib.AsyncExitStack() as stack:
        peers = {}
        for name, handler in handlers.items():
            peer = await Peer(name, handler).start()
            stack.push_async_callback(peer.server.close)
            stack.push_async_callback(peer.links.close)
            peers[name] = peer
        yield peers
