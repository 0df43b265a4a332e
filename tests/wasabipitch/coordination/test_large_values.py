"""Values that take longer to arrive than a silent store or watcher is waited for.

A configuration of 1,900 routes takes 0.9 s on a link of 5 Mbit/s. Every time limit
below that began the transfer again, so that it never ended.
"""

import asyncio
import base64
import contextlib
import json
import unittest
from unittest.mock import patch

from tests.adapter import PLATFORM  # noqa: F401 (puts the adapter on the path)
from wasabipitch import tasks
from wasabipitch.coordination.mirror import StoreMirror
from wasabipitch.coordination.relay import RelayedStore
from wasabipitch.coordination.store import Item, Listing
from wasabipitch.exceptions import HttpError, ListingTooLarge, StoreUnavailable
from wasabipitch.http.client import STALL_TIMEOUT_S, HttpClient
from wasabipitch.models import Address
from wasabipitch.operations.decisions import DecisionLog

from adapter.store import CALL_TIMEOUT_S, PlatformStore  # isort: skip

VALUE = b"x" * 40_000
PARTS = 12
PART_INTERVAL_S = 0.1


class SlowPlatform:
    """A store with one value, whose answers arrive in parts.

    Attributes:
        requests: The paths that were asked for.
        parts: How many parts of each answer are sent before the answer stalls.
    """

    def __init__(self):
        self.requests = []
        self.parts = PARTS
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address("127.0.0.1", self._server.sockets[0].getsockname()[1])

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests.append(head.split()[1].partition(b"?")[0].decode())
                await self._answer(writer)
        writer.close()

    async def _answer(self, writer):
        value = base64.b64encode(VALUE).decode()
        item = {"Key": "c", "Value": value, "Revision": 7}
        fields = {"items": [item], "events": [item], "HasMore": False}
        data = json.dumps({**fields, "StoreRevision": 9}).encode()
        writer.write(f"HTTP/1.1 200 X\r\nContent-Length: {len(data)}\r\n\r\n".encode())
        size = -(-len(data) // PARTS)
        for n in range(self.parts):
            writer.write(data[n * size : (n + 1) * size])
            await asyncio.sleep(PART_INTERVAL_S)
        if self.parts < PARTS:
            await asyncio.Event().wait()


class LargeValueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.assertGreater(PARTS * PART_INTERVAL_S, CALL_TIMEOUT_S)
        self.platform = SlowPlatform()
        self.address = await self.platform.start()
        self.addCleanup(self.platform.close)
        self.direct = PlatformStore(self.address)
        self.addAsyncCleanup(self.direct.close)
        decisions = DecisionLog("host")
        self.store = RelayedStore(self.direct, None, lambda: [], decisions)

    async def test_a_listing_that_takes_longer_than_the_time_limit_is_read_once(self):
        # Each attempt was cancelled, and two more made meanwhile halved the bandwidth.
        listing = await self.store.list("")
        self.assertEqual(listing.items, (Item("c", VALUE, 7),))
        self.assertEqual(self.platform.requests, ["/kv-range"])

    async def test_a_listing_that_is_too_large_is_broken_off(self):
        # A slow link would carry the whole of it before anything else.
        with self.assertRaises(ListingTooLarge):
            await self.store.list("", 10_000)
        self.assertEqual(self.platform.requests, ["/kv-range"])
        self.assertEqual((await self.store.list("", 200_000)).revision, 9)

    async def test_a_watch_that_is_delivering_a_value_is_not_restarted(self):
        mirror = StoreMirror(self.store, DecisionLog("host"))
        mirror.received_revision = 8
        watch = mirror._watch = asyncio.ensure_future(self.store.watch("", 8, 0.5))
        while not watch.done():
            mirror._check_watch(9)
            await asyncio.sleep(0.05)
        self.assertEqual(watch.result().events, (Item("c", VALUE, 7),))

    async def test_an_answer_that_stalls_fails(self):
        # Without a limit a host would wait for a store that froze.
        self.platform.parts = 2
        client = HttpClient(self.address)
        self.addAsyncCleanup(client.close)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with self.assertRaises(HttpError):
            await client.request("GET", "/", CALL_TIMEOUT_S)
        self.assertGreater(loop.time() - started_s, STALL_TIMEOUT_S)

    async def test_an_answer_that_never_ends_fails(self):
        client = HttpClient(self.address)
        self.addAsyncCleanup(client.close)
        with (
            patch("wasabipitch.http.client.MAX_TRANSFER_S", 0.2),
            self.assertRaises(HttpError),
        ):
            await client.request("GET", "/", 0.3)

    async def test_progress_postpones_other_attempts_only_while_it_goes_on(self):
        started = []

        async def attempt():
            started.append(len(started))
            await asyncio.sleep(0.15)
            if len(started) == 1:
                raise StoreUnavailable("stalled")
            return Listing((), 1)

        progress = [True]
        result = await tasks.race(
            [attempt, attempt], 0.02, StoreUnavailable, lambda: progress[0]
        )
        self.assertEqual((result.revision, started), (1, [0, 1]))
        started.append("silent")
        progress[0] = False
        await tasks.race([attempt, attempt], 0.02, StoreUnavailable, lambda: False)
        self.assertEqual(len(started), 5)


if __name__ == "__main__":
    unittest.main()
