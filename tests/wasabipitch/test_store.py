import unittest

from aiohttp import web

from wasabipitch.exceptions import StoreError, StoreUnavailable
from wasabipitch.metrics import StatsdMetrics
from wasabipitch.models import Address
from wasabipitch.store import MAX_VALUE_BYTES, PlatformStore
from wasabipitch.verdict import Verdict


class AnswerTests(unittest.IsolatedAsyncioTestCase):
    """What the store makes of odd answers, from a server that gives them."""

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
