import asyncio
import base64
import contextlib
import json
import unittest

from adapter.store import PlatformPromoter, PlatformStore
from wasabipitch.coordination.store import Item, Removal
from wasabipitch.exceptions import (
    HistoryLost,
    LeaseEnded,
    PromotionRefused,
    RecordConflict,
    StoreUnavailable,
)
from wasabipitch.models import Address
from wasabipitch.verdict import Verdict

ITEM = {
    "Key": "my/leader",
    "Value": base64.b64encode(b"host-1").decode(),
    "Revision": 412,
    "Created": 400,
    "Lease": 77,
}


class Platform:
    """An HTTP server with one answer for each method and path.

    A call without an answer ends the connection.
    """

    def __init__(self):
        self.answers = {}
        self.requests = []

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = dict(ln.lower().split(": ", 1) for ln in lines[1:] if ln)
                size = int(headers["content-length"])
                body = json.loads(await reader.readexactly(size)) if size else None
                self.requests.append((method, target, body, headers))
                answer = self.answers.get(f"{method} {target.partition('?')[0]}")
                if answer is None:
                    break
                status, fields = answer
                data = json.dumps(fields).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
        writer.close()


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = Platform()
        server = await asyncio.start_server(self.platform.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        self.store = PlatformStore(self.address)
        self.addAsyncCleanup(self.store.close)

    async def test_items_and_their_revisions(self):
        self.platform.answers["GET /kv-key"] = (200, {**ITEM, "StoreRevision": 530})
        item = await self.store.get("my/leader")
        self.assertEqual(item, Item("my/leader", b"host-1", 412, 77))
        self.assertEqual(await self.store.read_revision("my/leader"), (412, 530))
        self.platform.answers["GET /kv-key"] = (404, {"StoreRevision": 531})
        self.assertIsNone(await self.store.get("my/leader"))
        self.assertEqual(await self.store.read_revision("my/leader"), (0, 531))

    async def test_a_listing_has_the_revision_of_its_first_page(self):
        page = {"items": [ITEM], "HasMore": True, "StoreRevision": 5}

        async def list_both():
            task = asyncio.ensure_future(self.store.list("my/"))
            while not self.platform.requests:
                await asyncio.sleep(0)
            last = {"items": [], "HasMore": False, "StoreRevision": 9}
            self.platform.answers["GET /kv-range"] = (200, last)
            return await task

        self.platform.answers["GET /kv-range"] = (200, page)
        listing = await list_both()
        self.assertEqual(listing.revision, 5)
        self.assertIn("after=my%2Fleader", self.platform.requests[-1][1])

    async def test_changes_and_lost_history(self):
        events = [ITEM, {"Key": "my/old", "Revision": 413, "Deleted": True}]
        answer = (200, {"events": events, "StoreRevision": 413})
        self.platform.answers["GET /kv-watch"] = answer
        changes = await self.store.watch("my/", 411, 0.1)
        self.assertEqual(changes.events[1], Removal("my/old", 413))
        self.platform.answers["GET /kv-watch"] = (410, {})
        with self.assertRaises(HistoryLost):
            await self.store.watch("my/", 411, 0.1)

    async def test_conditional_writes(self):
        self.platform.answers["POST /kv-txn"] = (200, {"Revision": 412})
        revision = await self.store.commit({"a": 0}, {"a": b"x"}, ["b"], 77)
        self.assertEqual(revision, 412)
        body = self.platform.requests[-1][2]
        self.assertEqual(body["Expected"], [{"Key": "a", "Revision": 0}])
        self.assertEqual(body["Writes"], [{"Key": "a", "Value": "eA==", "Lease": 77}])
        self.platform.answers["POST /kv-txn"] = (412, {"items": []})
        with self.assertRaises(RecordConflict):
            await self.store.commit({"a": 0}, {"a": b"x"})
        self.platform.answers["POST /kv-txn"] = (404, {})
        with self.assertRaises(LeaseEnded):
            await self.store.commit({}, {"a": b"x"}, (), 77)

    async def test_a_lost_answer_leaves_the_outcome_of_a_write_unknown(self):
        with self.assertRaises(StoreUnavailable) as caught:
            await self.store.commit({}, {"a": b"x"})
        self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(len(self.platform.requests), 1)

    async def test_a_rejected_call_has_no_effect(self):
        for status in (429, 503):
            self.platform.answers["POST /kv-txn"] = (status, {})
            with self.assertRaises(StoreUnavailable) as caught:
                await self.store.commit({}, {"a": b"x"})
            self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)

    async def test_a_refused_connection_has_no_effect(self):
        store = PlatformStore(Address("127.0.0.1", 1))
        with self.assertRaises(StoreUnavailable) as caught:
            await store.commit({}, {"a": b"x"})
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)

    async def test_a_promotion_carries_its_holder_and_fence(self):
        promoter = PlatformPromoter(self.address)
        self.addAsyncCleanup(promoter.close)
        self.platform.answers["POST /promote"] = (200, {})
        await promoter.promote("huvo11a", "i-7", "front-1", 42)
        _, _, body, headers = self.platform.requests[-1]
        self.assertEqual(body, {"Backend": "huvo11a", "Id": "i-7"})
        self.assertEqual(headers["wasabipitch-fence-token"], "42")
        self.platform.answers["POST /promote"] = (409, {})
        with self.assertRaises(PromotionRefused):
            await promoter.promote("huvo11a", "i-7", "front-1", 43)
