import asyncio
import contextlib
import unittest
from unittest.mock import patch

from wasabipitch.contracts import FRAME_HEADER
from wasabipitch.events import Clock
from wasabipitch.exceptions import LinkDown, LinkLost, NoTarget
from wasabipitch.links import (
    HEARTBEAT_S,
    REPLY_WINDOW_MESSAGES,
    Cuts,
    Link,
    RemoteError,
)
from wasabipitch.linkserver import (
    MAX_HELLO_BYTES,
    MAX_UNIDENTIFIED,
    LinkConnection,
    LinkServer,
)
from wasabipitch.messages import AskStatus, Done, EndSession, Hello, Rows
from wasabipitch.models import Address, Host
from wasabipitch.policy.memory_budget import MALFORMED, NO_HELLO, TOO_MANY
from wasabipitch.verdict import Verdict

REPLY_MESSAGES = 30
HELLO = Hello(Host("entry-1", "entry", "127.0.0.1:1", "rome"), "i")


class LinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.lost = []
        self.cuts = Cuts()
        self.server, self.address = await self.serve(0)
        self.link = Link(self.address, HELLO, Clock(), peer="pool-1", cuts=self.cuts)
        self.stack.push_async_callback(self.link.close)

    async def serve(self, port):
        async def on_lost(conn):
            self.lost.append(conn.peer.name)

        server = LinkServer(self.handle, Clock(), on_peer_lost=on_lost)
        address = await server.start(Address("127.0.0.1", port))
        self.stack.push_async_callback(server.close)
        return server, address

    async def handle(self, exchange):
        match exchange.message:
            case EndSession(session="slow"):
                await asyncio.sleep(0.05)
            case EndSession(session="many"):
                for n in range(REPLY_MESSAGES):
                    await exchange.send(Rows(b"%d" % n), more=n < REPLY_MESSAGES - 1)
                    self.sent = n + 1
                return None
            case EndSession(session="never"):
                await asyncio.Event().wait()
            case EndSession(session="refused"):
                raise NoTarget("no target")
            case EndSession(session="broken"):
                raise RuntimeError("defect")
            case AskStatus():
                await exchange.send(Rows(b"1"), more=True)
                return Rows(b"2")
        return Done(exchange.message.session)

    async def test_replies_out_of_order_reach_their_requests(self):
        slow = asyncio.create_task(self.link.call(EndSession("slow")))
        fast = await self.link.call(EndSession("fast"))
        self.assertFalse(slow.done())
        self.assertEqual((fast.detail, (await slow).detail), ("fast", "slow"))

    async def test_a_reply_of_several_messages_ends(self):
        replies = [m.rows async for m in self.link.stream(AskStatus())]
        self.assertEqual(replies, [b"1", b"2"])

    async def test_a_reply_runs_only_a_window_ahead_of_a_slow_requester(self):
        replies = self.link.stream(EndSession("many"))
        first = await anext(replies)
        await asyncio.sleep(0.05)
        self.assertEqual(self.sent, REPLY_WINDOW_MESSAGES)
        rest = [m.rows async for m in replies]
        self.assertEqual(
            [first.rows, *rest], [b"%d" % n for n in range(REPLY_MESSAGES)]
        )

    async def test_failures_carry_their_verdict(self):
        with self.assertRaises(RemoteError) as refused:
            await self.link.call(EndSession("refused"))
        self.assertEqual(refused.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(refused.exception.sqlstate, "WPNRN")
        with self.assertRaises(RemoteError) as broken:
            await self.link.call(EndSession("broken"))
        self.assertIn("defect", broken.exception.message)

    async def test_no_reply_in_time_may_have_run(self):
        with self.assertRaises(LinkLost) as lost:
            await self.link.call(EndSession("never"), timeout_s=0.05)
        self.assertEqual(lost.exception.verdict, Verdict.MAY_HAVE_RUN)

    async def test_a_silent_peer_fails_requests_in_flight(self):
        waiting = asyncio.create_task(self.link.call(EndSession("never"), 30))
        await asyncio.sleep(2 * HEARTBEAT_S + 0.1)
        self.assertFalse(waiting.done())  # the peer answers heartbeats
        silent = patch.object(LinkConnection, "_answer_heartbeat", lambda _: None)
        with silent, self.assertRaises(LinkLost):
            await waiting
        await asyncio.sleep(0.06)
        await self.link.call(EndSession("fast"))

    async def test_a_broken_link_fails_requests_in_flight_and_reconnects(self):
        call = asyncio.create_task(self.link.call(EndSession("never")))
        await self.link.call(EndSession("fast"))
        await self.server.close()
        with self.assertRaises(LinkLost):
            await call
        await asyncio.sleep(0.06)
        with self.assertRaises(LinkDown) as down:
            await self.link.call(EndSession("fast"))
        self.assertEqual(down.exception.verdict, Verdict.NOT_RUN)
        await self.serve(self.address.port)
        await asyncio.sleep(0.06)
        self.assertEqual((await self.link.call(EndSession("fast"))).detail, "fast")
        self.assertEqual(self.link.generation, 2)

    async def test_server_is_notified_of_a_lost_peer(self):
        await self.link.call(EndSession("fast"))
        await self.link.close()
        await asyncio.sleep(0.02)
        self.assertEqual(self.lost, ["entry-1"])

    async def test_a_cut_drops_both_directions(self):
        await self.link.call(EndSession("fast"))
        self.cuts.peers = frozenset({"pool-1"})
        with self.assertRaises(LinkLost):
            await self.link.call(EndSession("fast"), timeout_s=0.05)
        self.cuts.peers = frozenset()
        await self.link.call(EndSession("fast"))


class UnidentifiedTest(unittest.IsolatedAsyncioTestCase):
    """Anything can connect to the port of the links."""

    async def asyncSetUp(self):
        self.closed = []
        self.server = LinkServer(
            self.answer,
            Clock(),
            on_closed=lambda reason, **fields: self.closed.append(reason),
        )
        self.address = await self.server.start(Address("127.0.0.1", 0))
        self.addAsyncCleanup(self.server.close)

    async def answer(self, exchange):
        return Done(exchange.message.session)

    async def connect(self, data=b""):
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        # A stream that is not referenced any more closes its connection.
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def is_closed(self, reader):
        async with asyncio.timeout(5):
            try:
                return not await reader.read(1)
            except ConnectionError:
                return True

    async def test_a_large_frame_before_the_hello(self):
        reader = await self.connect(FRAME_HEADER.pack(MAX_HELLO_BYTES + 1))
        self.assertTrue(await self.is_closed(reader))
        self.assertEqual(self.closed, [MALFORMED])

    async def test_a_connection_without_a_hello(self):
        with patch("wasabipitch.linkserver.HELLO_TIMEOUT_S", 0.05):
            reader = await self.connect()
            self.assertTrue(await self.is_closed(reader))
        self.assertEqual(self.closed, [NO_HELLO])

    async def test_silent_connections_do_not_keep_a_peer_out(self):
        readers = [await self.connect() for _ in range(MAX_UNIDENTIFIED)]
        links = [Link(self.address, HELLO, Clock(), peer=f"h-{n}") for n in range(3)]
        for link in links:
            self.addAsyncCleanup(link.close)
            # A peer that said its hello no longer counts.
            self.assertEqual((await link.call(EndSession("a"))).detail, "a")
        self.assertTrue(await self.is_closed(readers[0]))
        self.assertEqual(self.closed, [TOO_MANY])

    async def test_a_large_frame_after_the_hello(self):
        link = Link(self.address, HELLO, Clock())
        self.addAsyncCleanup(link.close)
        text = "x" * (1 << 20)
        self.assertEqual((await link.call(EndSession(text))).detail, text)
