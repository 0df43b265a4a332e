import asyncio
import socket
import unittest

import uvloop

from wasabipitch import sockets

# More than the buffers of both ends hold, so that some bytes have not arrived.
UNSENT = b"x" * (8 << 20)


class ResetTest(unittest.TestCase):
    """A request that was given up must not arrive after the connection's end."""

    def test_a_peer_that_reads_later_gets_an_error_and_no_more_bytes(self):
        for new_loop in (asyncio.new_event_loop, uvloop.new_event_loop):
            with (
                self.subTest(loop=new_loop.__module__),
                asyncio.Runner(loop_factory=new_loop) as runner,
            ):
                runner.run(self.check_reset())

    async def check_reset(self):
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            transport, _ = await loop.create_connection(
                asyncio.Protocol, *listener.getsockname()
            )
            peer, _ = listener.accept()
        with peer:
            transport.write(UNSENT)
            await asyncio.sleep(0.05)
            sockets.reset(transport)
            await asyncio.sleep(0.05)
            peer.settimeout(1.0)
            with self.assertRaises(ConnectionResetError):
                while peer.recv(1 << 20):
                    pass


class BuffersTest(unittest.TestCase):
    """The kernel's buffers count towards the machine's memory, too."""

    def accept(self, size):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            sockets.limit_buffers(listener, size)
            client = socket.create_connection(listener.getsockname())
            self.addCleanup(client.close)
            conn, _ = listener.accept()
            self.addCleanup(conn.close)
        return conn

    def test_accepted_connections_have_the_size_of_the_listener(self):
        conn = self.accept(32 * 1024)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            # The kernel doubles the size for its own bookkeeping.
            self.assertEqual(conn.getsockopt(socket.SOL_SOCKET, option), 64 * 1024)
