import asyncio
import unittest

from soak.proxy import HOST, FaultyProxy
from wasabipitch.models import Address


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self.echo, HOST, 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = FaultyProxy(Address(HOST, port))
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)
        self.reader, self.writer = await asyncio.open_connection(HOST, self.proxy.port)
        self.addCleanup(self.writer.transport.abort)

    async def echo(self, reader, writer):
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    async def ask(self, timeout_s=5.0):
        self.writer.write(b"hello\n")
        async with asyncio.timeout(timeout_s):
            return await self.reader.readline()

    async def test_forwards_bytes_in_both_directions(self):
        self.assertEqual(await self.ask(), b"hello\n")

    async def test_blocked_bytes_arrive_after_heal(self):
        for up, down in ((True, False), (False, True), (True, True)):
            self.proxy.cut(up, down)
            with self.assertRaises(TimeoutError):
                await self.ask(0.1)
            self.proxy.heal()
            async with asyncio.timeout(5):
                self.assertEqual(await self.reader.readline(), b"hello\n")

    async def test_reset_closes_connections_and_new_ones_are_accepted(self):
        await self.ask()
        self.proxy.reset()
        with self.assertRaises(ConnectionError):
            while await self.ask():
                await asyncio.sleep(0.01)
            raise ConnectionResetError
        self.reader, self.writer = await asyncio.open_connection(HOST, self.proxy.port)
        self.assertEqual(await self.ask(), b"hello\n")
