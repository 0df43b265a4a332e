import asyncio
import unittest
from unittest.mock import patch

from wasabipitch.exceptions import HttpError
from wasabipitch.http.client import ConnectError, HttpClient, Response
from wasabipitch.http.server import MAX_CONNECTIONS, MAX_UNSENT_BYTES, HttpServer
from wasabipitch.models import Address
from wasabipitch.operations.statusserver import make_status_server
from wasabipitch.policy.memory_budget import TOO_MANY, UNREAD_ANSWERS


class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, server):
        await server.start(Address("127.0.0.1", 0))
        self.addAsyncCleanup(server.close)
        return self.client(server._server.sockets[0].getsockname()[1])

    def client(self, port):
        client = HttpClient(Address("127.0.0.1", port))
        self.addAsyncCleanup(client.close)
        return client

    async def test_a_connection_serves_many_requests(self):
        paths = []

        def answer(path):
            paths.append(path)
            return Response(200, b"x" * 100_000)

        client = await self.serve(HttpServer(answer))
        for n in range(3):
            response = await client.request("GET", "/a", 1.0, params={"n": str(n)})
            self.assertEqual(len(response.body), 100_000)
        self.assertEqual(paths, ["/a?n=0", "/a?n=1", "/a?n=2"])
        self.assertEqual(len(client._idle), 1)

    async def test_health(self):
        ready = [True]
        client = await self.serve(make_status_server(lambda: ready[0]))
        statuses = [(await client.request("GET", "/readyz", 1.0)).status]
        ready[0] = False
        statuses.append((await client.request("GET", "/readyz", 1.0)).status)
        statuses.append((await client.request("GET", "/else", 1.0)).status)
        self.assertEqual(statuses, [200, 503, 404])

    async def test_silent_malformed_and_truncated_responses(self):
        async def misbehave(reader, writer):
            line = await reader.readline()
            if b"garbage" in line:
                writer.write(b"\x00\x01 what\r\n\r\n")
            if b"short" in line:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabc")
            if b"silent" in line:
                await asyncio.sleep(1)
            writer.close()

        server = await asyncio.start_server(misbehave, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = self.client(server.sockets[0].getsockname()[1])
        for path in ("/garbage", "/short", "/silent"):
            with self.subTest(path=path), self.assertRaises(HttpError):
                await client.request("GET", path, 0.2)
        self.assertEqual(client._idle, [])

    async def test_a_port_without_a_listener(self):
        with self.assertRaises(ConnectError):
            await self.client(1).request("GET", "/", 1.0)

    async def test_silent_connections_do_not_keep_a_client_out(self):
        closed = []
        server = HttpServer(lambda path: Response(200, b""), closed.append)
        client = await self.serve(server)
        address = server._server.sockets[0].getsockname()
        # A stream that is not referenced any more closes its connection.
        streams = []
        for _ in range(2 * MAX_CONNECTIONS):
            streams.append(await asyncio.open_connection(*address))
            self.addCleanup(streams[-1][1].close)
        response = await client.request("GET", "/", 1.0)
        self.assertEqual(response.status, 200)
        self.assertEqual(len(server._connections), MAX_CONNECTIONS)
        self.assertEqual(closed, [TOO_MANY] * (MAX_CONNECTIONS + 1))

    async def test_requests_sent_ahead_render_no_more_than_is_read(self):
        # 2,000 requests of the metrics in one piece blocked a host for a minute.
        rendered, closed = [], []

        def answer(path):
            rendered.append(path)
            return Response(200, b"x" * (MAX_UNSENT_BYTES // 2))

        server = HttpServer(answer, closed.append)
        await self.serve(server)
        address = server._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        self.addCleanup(writer.transport.abort)
        # In one piece, as far as the receive buffer takes it.
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 500)
        with self.assertRaises(ConnectionError):
            while await reader.read(1 << 20):
                pass
        self.assertLess(len(rendered), 500)
        self.assertEqual(closed, [UNREAD_ANSWERS])
        self.assertEqual(server._connections, {})

    async def test_a_request_is_not_sent_after_its_time(self):
        # The machine was suspended while it connected, and its steady clock stopped. An
        # order to promote arrived after another host had promoted.
        received = []
        client = await self.serve(HttpServer(received.append))
        times_s = iter((100.0, 130.0))
        with (
            patch("wasabipitch.http.client.now_s", lambda: next(times_s)),
            self.assertRaises(ConnectError),
        ):
            await client.request("POST", "/promote", 1.0)
        self.assertEqual(received, [])
