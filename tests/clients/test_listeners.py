"""Crowds at the listeners for peers, health checks and metrics.

Peers are trusted, but anything that can reach the ports may connect to them.
"""

import asyncio
import struct
import unittest

from tests.clients.host_fixture import (
    METRICS_PORT,
    STAY_S,
    Crowd,
    Host,
    HostTestCase,
)
from wasabipitch.models import Address

CROWD = 40
LARGE_CROWD = 100
FRAME_BYTES = 4 << 20
FRAME_HEADER = struct.Struct("<I")


class ListenersTests(HostTestCase, unittest.IsolatedAsyncioTestCase):
    async def crowd(self, host, address, data, count=CROWD, piece=0, pause_s=0.0):
        async with Crowd(address, count) as crowd:
            await crowd.send(data, piece, pause_s)
            await asyncio.sleep(STAY_S)
            await self.check_host(host)

    def find_addresses(self, host):
        yield "checks", host.process._readiness_address
        yield "metrics", Address(host.process.ip, METRICS_PORT)

    async def test_large_frames_before_the_hello(self):
        async with Host() as host:
            data = FRAME_HEADER.pack(FRAME_BYTES + 1) + b"x" * FRAME_BYTES
            await self.crowd(host, host.process.links, data)

    async def test_frames_far_over_the_limit(self):
        async with Host() as host:
            data = FRAME_HEADER.pack(0xFFFFFFFF) + b"x" * FRAME_BYTES
            await self.crowd(host, host.process.links, data)

    async def test_half_frame_headers(self):
        async with Host() as host:
            await self.crowd(host, host.process.links, b"x", 2 * LARGE_CROWD)

    async def test_silent_links(self):
        async with Host() as host, Crowd(host.process.links, 2 * LARGE_CROWD):
            await asyncio.sleep(STAY_S)
            await self.check_host(host)

    async def test_silent_http_connections(self):
        async with Host() as host:
            for name, address in self.find_addresses(host):
                with self.subTest(name):
                    async with Crowd(address, 2 * LARGE_CROWD):
                        await asyncio.sleep(STAY_S)
                        await self.check_host(host)

    async def test_http_requests_that_stop_half_way(self):
        async with Host() as host:
            for name, address in self.find_addresses(host):
                with self.subTest(name):
                    data = b"GET /metrics HTTP/1.1\r\nX: " + b"x" * 15_000
                    await self.crowd(host, address, data, 2 * LARGE_CROWD)

    async def test_http_requests_far_over_the_limit(self):
        async with Host() as host:
            for name, address in self.find_addresses(host):
                with self.subTest(name):
                    data = b"GET /" + b"x" * FRAME_BYTES
                    await self.crowd(host, address, data)

    async def test_http_requests_sent_ahead_without_reading_the_answers(self):
        async with Host() as host:
            for name, address in self.find_addresses(host):
                with self.subTest(name):
                    path = b"metrics" if name == "metrics" else b"readyz"
                    data = b"GET /%s HTTP/1.1\r\n\r\n" % path * 2000
                    await self.crowd(host, address, data)

    async def test_http_requests_sent_very_slowly(self):
        async with Host() as host:
            for name, address in self.find_addresses(host):
                with self.subTest(name):
                    data = b"GET /readyz HTTP/1.1\r\n\r\n"
                    await self.crowd(host, address, data, LARGE_CROWD, 2, 0.1)
