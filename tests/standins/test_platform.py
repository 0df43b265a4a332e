import asyncio
from contextlib import closing
from dataclasses import dataclass
from http.client import HTTPConnection, RemoteDisconnected
from typing import Any
from unittest import IsolatedAsyncioTestCase, TestCase

import aiohttp

from standins.faults import AnswerLoss, Faults, RateLimit
from standins.platform import Platform, PlatformConfig
from standins.store import MAX_VALUE_BYTES


@dataclass(frozen=True)
class Answer:
    status: int
    body: Any = None


class PlatformTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        cfg = PlatformConfig(faults=Faults(delay_ms=0, host_lag_s=0.1))
        self.platform = await self.enterAsyncContext(Platform(cfg))
        self.http = await self.enterAsyncContext(aiohttp.ClientSession())

    async def send(self, method: str, path: str, **body: Any) -> Answer:
        url = f"http://{self.platform.address}{path}"
        async with self.http.request(method, url, json=body or None) as resp:
            return Answer(
                resp.status, await resp.json() if resp.status != 304 else None
            )

    async def put(self, key: str, value: str, **more: Any) -> Answer:
        return await self.send("PUT", f"/kv/{key}", value=value, **more)

    def put_without_retry(self, path: str, body: str) -> None:
        # aiohttp sends a PUT again if the connection closes without an answer.
        with closing(HTTPConnection(self.platform.address)) as conn:
            conn.request("PUT", path, body)
            conn.getresponse()

    async def test_compare_and_swap_lets_one_writer_win(self) -> None:
        results = await asyncio.gather(
            self.put("dir/key", "a", expect=0), self.put("dir/key", "b", expect=0)
        )
        self.assertEqual(sorted(item.status for item in results), [200, 409])
        current = await self.send("GET", "/kv/dir/key")
        self.assertIn(current, [Answer(200, item.body) for item in results] + [current])
        stale = await self.put("dir/key", "c", expect=99)
        self.assertEqual(stale, Answer(409, current.body))
        revision = current.body["revision"]
        swapped = await self.put("dir/key", "c", expect=revision)
        self.assertGreater(swapped.body["revision"], revision)
        deleted = await self.send("DELETE", f"/kv/dir/key?expect={revision}")
        self.assertEqual(deleted.status, 409)
        deleted = await self.send(
            "DELETE", f"/kv/dir/key?expect={swapped.body['revision']}"
        )
        self.assertEqual(deleted.status, 200)
        self.assertEqual((await self.send("GET", "/kv/dir/key")).status, 404)
        absent = {"key": "dir/key", "value": None, "revision": 0}
        self.assertEqual(await self.put("dir/key", "d", expect=1), Answer(409, absent))
        self.assertEqual((await self.put("dir/key", "d", expect=0)).status, 200)

    async def test_bad_requests_get_a_status_and_a_reason(self) -> None:
        large = await self.put("key", "x" * (MAX_VALUE_BYTES + 1))
        self.assertEqual(large.status, 413)
        self.assertEqual((await self.put("key", "x" * MAX_VALUE_BYTES)).status, 200)
        wrong = await self.send("PUT", "/kv/key", value=7)
        self.assertEqual((wrong.status, "error" in wrong.body), (400, True))
        wrong = await self.send("PUT", "/admin/faults", dwn=True)
        self.assertEqual(wrong, Answer(400, {"error": "unknown fault settings: dwn"}))
        self.assertEqual((await self.put("k", "v", lease="lease-9")).status, 404)

    async def test_a_watch_answers_at_the_change_or_at_its_timeout(self) -> None:
        watch = asyncio.create_task(self.send("GET", "/kv/key?wait=5&after=0"))
        await asyncio.sleep(0.05)
        self.assertEqual((await self.send("GET", "/admin/stats")).body["watches"], 1)
        revision = (await self.put("key", "v")).body["revision"]
        expected = {"key": "key", "value": "v", "revision": revision}
        self.assertEqual(await watch, Answer(200, expected))
        quiet = await self.send("GET", f"/kv/key?wait=0.05&after={revision}")
        self.assertEqual(quiet.status, 304)
        watch = asyncio.create_task(
            self.send("GET", f"/kv/key?wait=5&after={revision}")
        )
        await asyncio.sleep(0.05)
        await self.send("DELETE", "/kv/key")
        self.assertEqual((await watch).status, 404)

    async def test_keys_vanish_with_their_lease(self) -> None:
        lease = (await self.send("POST", "/leases", ttl_s=0.2)).body["lease"]
        revision = (await self.put("key", "v", lease=lease)).body["revision"]
        for _ in range(3):
            await asyncio.sleep(0.1)
            renewed = await self.send("POST", f"/leases/{lease}/renew")
            self.assertEqual(renewed.status, 200)
        gone = await self.send("GET", f"/kv/key?wait=5&after={revision}")
        self.assertEqual(gone.status, 404)
        self.assertEqual(
            (await self.send("POST", f"/leases/{lease}/renew")).status, 404
        )

        lease = (await self.send("POST", "/leases", ttl_s=60)).body["lease"]
        await self.put("key", "v", lease=lease)
        self.assertEqual((await self.send("DELETE", f"/leases/{lease}")).status, 200)
        self.assertEqual((await self.send("GET", "/kv/key")).status, 404)

    async def test_an_answer_is_lost_after_the_change(self) -> None:
        await self.send("PUT", "/admin/faults", lose_answers=1)
        with self.assertRaises(RemoteDisconnected):
            await asyncio.to_thread(self.put_without_retry, "/kv/key", '{"value": "v"}')
        self.assertEqual((await self.send("GET", "/kv/key")).body["value"], "v")
        self.assertEqual((await self.put("key", "w")).status, 200)

    async def test_an_outage_closes_connections_and_ends_watches(self) -> None:
        watch = asyncio.create_task(self.send("GET", "/kv/key?wait=60"))
        await asyncio.sleep(0.05)
        await self.send("PUT", "/admin/faults", down=True)
        with self.assertRaises(aiohttp.ClientError):
            await watch
        with self.assertRaises(aiohttp.ClientError):
            await self.put("key", "v")
        await self.send("PUT", "/admin/faults", down=False)
        self.assertEqual((await self.send("GET", "/kv/key")).status, 404)

    async def test_calls_above_the_rate_are_refused(self) -> None:
        await self.send("PUT", "/admin/faults", writes_per_s=2, reads_per_s=0)
        statuses = [(await self.put("key", "v")).status for _ in range(4)]
        self.assertEqual(statuses, [200, 200, 429, 429])
        self.assertEqual((await self.send("GET", "/kv/key")).status, 429)
        stats = (await self.send("GET", "/admin/stats")).body["calls"]
        self.assertEqual((stats["put kv"], stats["refused"]), (4, 3))

    async def test_the_host_list_lags(self) -> None:
        host = {"name": "e1", "role": "entry", "address": "127.0.0.1:1"}
        await self.send("PUT", "/admin/hosts", **host)
        self.assertEqual((await self.send("GET", "/hosts")).body["hosts"], [])
        seen = await self.send("GET", "/hosts?wait=5&after=0")
        whole = host | {"data_centre": "", "state": "live"}
        self.assertEqual(seen.body, {"hosts": [whole], "revision": 1})
        await self.send("PUT", "/admin/hosts", hosts=[host | {"state": "leaving"}])
        await self.send("DELETE", "/admin/hosts/e1")
        seen = await self.send("GET", "/hosts?wait=5&after=2")
        self.assertEqual(seen.body, {"hosts": [], "revision": 3})
        quiet = await self.send("GET", "/hosts?wait=0.05&after=3")
        self.assertEqual(quiet.status, 304)
        wrong = await self.send("PUT", "/admin/hosts", **host | {"role": "other"})
        self.assertEqual(wrong.status, 400)


class FaultsTest(TestCase):
    def test_a_rate_refills_with_time(self) -> None:
        now = [0.0]
        rate = RateLimit(2, lambda: now[0])
        self.assertEqual([rate.try_spend() for _ in range(3)], [True, True, False])
        now[0] = 0.5
        self.assertEqual([rate.try_spend() for _ in range(2)], [True, False])

    def test_a_share_of_answers_is_lost_by_the_seed(self) -> None:
        losses = [AnswerLoss(7), AnswerLoss(7)]
        taken = []
        for loss in losses:
            loss.set(0.25)
            taken.append([loss.lose_next() for _ in range(400)])
        self.assertEqual(taken[0], taken[1])
        self.assertTrue(60 < sum(taken[0]) < 140)
