import asyncio
import unittest

import aiohttp
from aiohttp import web
from msgspec import structs

from standins.faults import Faults
from standins.hosts import Host as StandinHost
from standins.platform import Platform, PlatformConfig
from wasabipitch import configuration
from wasabipitch.exceptions import StoreConflict, StoreError, StoreUnavailable
from wasabipitch.metrics import StatsdMetrics
from wasabipitch.models import Address, Host
from wasabipitch.store import ABSENT, MAX_VALUE_BYTES, PlatformStore
from wasabipitch.verdict import Verdict


class AnswerTests(unittest.IsolatedAsyncioTestCase):
    """Tests the store against a server whose answers are wrong or missing."""

    async def asyncSetUp(self):
        self.calls = 0
        self.answer = lambda request: web.json_response({})
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.serve)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.metrics = StatsdMetrics()
        self.store = PlatformStore(
            Address(*runner.addresses[0][:2]), timeout_s=0.3, metrics=self.metrics
        )
        self.addAsyncCleanup(self.store.close)

    async def serve(self, request):
        self.calls += 1
        return self.answer(request)

    def break_connection(self, request):
        request.transport.close()
        return web.Response()

    async def test_lost_answer_to_a_write_is_not_sent_again(self):
        self.answer = lambda request: web.json_response({"revision": 4})
        self.assertEqual(4, await self.store.put("a/b", "x", 0))
        self.answer = self.break_connection
        with self.assertRaises(StoreUnavailable) as caught:
            await self.store.put("a/b", "x", 4)
        self.assertEqual(Verdict.MAY_HAVE_RUN, caught.exception.verdict)
        self.assertEqual(2, self.calls)
        self.assertEqual(2, self.metrics.counters["store.writes"])

    async def test_lost_answer_to_a_read_changes_nothing(self):
        self.answer = self.break_connection
        with self.assertRaises(StoreUnavailable) as caught:
            await self.store.get("a/b")
        self.assertEqual(Verdict.NOT_RUN, caught.exception.verdict)

    async def test_unreachable_platform(self):
        store = PlatformStore(Address("127.0.0.1", 1))
        self.addAsyncCleanup(store.close)
        with self.assertRaisesRegex(StoreUnavailable, "127.0.0.1:1") as caught:
            await store.put("a/b", "x", 0)
        self.assertEqual(Verdict.NOT_RUN, caught.exception.verdict)

    async def test_too_many_requests(self):
        self.answer = lambda request: web.Response(status=429)
        with self.assertRaisesRegex(StoreUnavailable, "try again") as caught:
            await self.store.put("a/b", "x", 0)
        self.assertEqual(Verdict.NOT_RUN, caught.exception.verdict)

    async def test_malformed_answers(self):
        bodies = ('{"key": 5}', '{"key": ', "none", "[]", '{"hosts": 1}')
        for body in bodies:
            self.answer = lambda request, body=body: web.Response(text=body)
            for call in (
                self.store.get("a"),
                self.store.put("a", "x", 0),
                self.store.hosts(),
            ):
                with self.assertRaises(StoreUnavailable):
                    await call

    async def test_value_over_the_limit(self):
        with self.assertRaisesRegex(StoreError, "over 900000"):
            await self.store.put("a/b", "x" * (MAX_VALUE_BYTES + 1), 0)
        self.assertEqual(0, self.calls)


class StandinTests(unittest.IsolatedAsyncioTestCase):
    """Tests the store against the stand-in of the platform."""

    async def asyncSetUp(self):
        faults = Faults(host_lag_s=0.0, delay_ms=0)
        self.platform = Platform(PlatformConfig(faults=faults))
        await self.platform.__aenter__()
        self.addAsyncCleanup(self.platform.__aexit__, None, None, None)
        self.store = PlatformStore(Address.parse(self.platform.address), timeout_s=2)
        self.addAsyncCleanup(self.store.close)

    async def set_faults(self, **faults):
        async with (
            aiohttp.ClientSession() as session,
            session.put(
                f"http://{self.platform.address}/admin/faults", json=faults
            ) as response,
        ):
            self.assertEqual(200, response.status)

    async def test_compare_and_swap(self):
        self.assertIsNone(await self.store.get("w/configuration"))
        first = await self.store.put("w/configuration", "one", ABSENT)
        with self.assertRaises(StoreConflict) as caught:
            await self.store.put("w/configuration", "two", ABSENT)
        conflict = caught.exception
        self.assertEqual((first, "one"), (conflict.revision, conflict.value))
        second = await self.store.put("w/configuration", "two", first)
        self.assertGreater(second, first)
        record = await self.store.get("w/configuration")
        self.assertEqual(("two", second), (record.value, record.revision))
        with self.assertRaises(StoreConflict):
            await self.store.delete("w/configuration", first)
        await self.store.delete("w/configuration", second)
        await self.store.delete("w/configuration")
        self.assertIsNone(await self.store.get("w/configuration"))

    async def test_watch(self):
        revision = await self.store.put("w/configuration", "one", ABSENT)
        self.assertIsNone(await self.store.get("w/configuration", revision, 0.05))
        watch = asyncio.create_task(self.store.get("w/configuration", revision, 5))
        await asyncio.sleep(0.05)
        await self.store.put("w/configuration", "two", revision)
        self.assertEqual("two", (await watch).value)

    async def test_lost_answer_is_resolved_by_reading_back(self):
        await self.set_faults(lose_answers=1)
        document = "name: wheelcraft\ngroups: []\n"
        revision = await configuration.apply(
            self.store, "w/configuration", document, ABSENT, "n1", "malee"
        )
        record = await self.store.get("w/configuration")
        self.assertEqual(revision, record.revision)
        self.assertEqual(1, self.platform.calls["put kv"])

    async def test_outage_ends_a_watch(self):
        revision = await self.store.put("w/configuration", "one", ABSENT)
        watch = asyncio.create_task(self.store.get("w/configuration", revision, 5))
        await asyncio.sleep(0.05)
        await self.set_faults(down=True)
        with self.assertRaises(StoreUnavailable):
            await watch
        with self.assertRaises(StoreUnavailable):
            await self.store.put("w/configuration", "two", revision)

    async def test_host_list(self):
        host = Host("pool-1", "pool", "127.0.0.1:4000", "bangna", "leaving")
        self.platform.hosts.put(StandinHost(**structs.asdict(host)))
        listed = await self.store.hosts()
        self.assertEqual((host,), listed.hosts)
        self.assertIsNone(await self.store.hosts(listed.revision, 0.05))
