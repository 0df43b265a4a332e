import asyncio
import unittest

from wasabipitch.events import Clock
from wasabipitch.links import Link
from wasabipitch.messages import Hello, OfferConfiguration
from wasabipitch.models import Address, Host
from wasabipitch.pool import Pool
from wasabipitch.settings import PoolSettings, Statsd

TIMEOUT_S = 10.0
DOCUMENT = "{name: shop, groups: []}"


class FakeStatsdDaemon(asyncio.DatagramProtocol):
    """Receives metrics in place of a statsd daemon."""

    def __init__(self):
        self.lines = asyncio.Queue()

    def datagram_received(self, data, addr):
        for line in data.decode().splitlines():
            self.lines.put_nowait(line)

    async def wait_for(self, line):
        async with asyncio.timeout(TIMEOUT_S):
            while await self.lines.get() != line:
                pass


class PoolMetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_pool_sends_the_revision_that_it_has_taken(self):
        loop = asyncio.get_running_loop()
        transport, daemon = await loop.create_datagram_endpoint(
            FakeStatsdDaemon, local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(transport.close)
        ip, port = transport.get_extra_info("sockname")
        cfg = PoolSettings(
            host="pool-1",
            data_centre="thonburi",
            platform="127.0.0.1:1",
            statsd=Statsd(f"{ip}:{port}", "test"),
        )
        pool = Pool(cfg)
        host = await pool.start()
        self.addAsyncCleanup(pool.stop)
        peer = Host("pool-2", "pool", "127.0.0.1:1", "bangna")
        link = Link(Address.parse(host.address), Hello(peer, "1"), Clock())
        self.addAsyncCleanup(link.close)
        await link.call(OfferConfiguration(7, DOCUMENT), TIMEOUT_S)
        await daemon.wait_for("test.configuration.revision:7|g")
