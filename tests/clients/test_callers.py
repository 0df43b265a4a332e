"""Crowds of callers that misbehave must not run a host out of memory or descriptors.

Observed: 120 connections that each sent 16 writes of just under 1 MiB ahead and read no
answer took a process from 28 to 1,540 MB; 400 that each stopped one byte before the end
of such a message took it to 417 MB. The crowds here are smaller, and the host's limits
are lowered to match (``host_fixture``). The bounds hold on a machine of any speed.
"""

import asyncio
import unittest

from tests.clients.host_fixture import (
    LEGAL_BYTES,
    STARTUP,
    STAY_S,
    TRANSACTION,
    Crowd,
    Host,
    HostTestCase,
    make_write,
)

CROWD = 40
# The crowds that fill the memory with one message each.
LARGE_CROWD = 100
PIPELINED = 8
OVER_LIMIT_BYTES = 8 << 20
PIECE_BYTES = 4096
WRITES = b"".join(make_write(number) for number in range(PIPELINED))
ONE_WRITE = make_write(0)
HALF = ONE_WRITE[:-3]


class CallersTests(HostTestCase, unittest.IsolatedAsyncioTestCase):
    async def crowd(self, host, data, count=CROWD, piece=0, pause_s=0.0):
        """Let a crowd send, and check the host while the crowd stays."""
        async with Crowd(host.process.front, count) as crowd:
            await crowd.send(data, piece, pause_s)
            await asyncio.sleep(STAY_S)
            await self.check_host(host)

    async def test_legal_messages_at_once(self):
        async with Host() as host:
            await self.crowd(host, STARTUP + ONE_WRITE, LARGE_CROWD)

    async def test_legal_messages_in_small_pieces(self):
        async with Host() as host:
            await self.crowd(host, STARTUP + ONE_WRITE, CROWD, PIECE_BYTES)

    async def test_messages_far_over_the_limit(self):
        async with Host() as host:
            data = STARTUP + b"QUERY 1 WRITE a " + b"x" * OVER_LIMIT_BYTES
            await self.crowd(host, data)

    async def test_startup_messages_far_over_the_limit(self):
        async with Host() as host:
            data = b"STARTUP " + b"x" * OVER_LIMIT_BYTES
            await self.crowd(host, data)

    async def test_writes_sent_ahead_without_reading_the_answers(self):
        async with Host() as host:
            await self.crowd(host, STARTUP + WRITES)

    async def test_reads_sent_ahead_whose_large_answers_are_not_read(self):
        async with Host() as host:
            async with Crowd(host.process.front, 1) as crowd:
                await crowd.send(STARTUP + ONE_WRITE)
                await asyncio.sleep(STAY_S)
            await self.crowd(host, STARTUP + b"QUERY 1 READ item-0\r\n" * 64)

    async def test_many_small_messages_sent_ahead(self):
        async with Host() as host:
            data = STARTUP + b"QUERY 1 READ item-0\r\n" * 40_000
            await self.crowd(host, data)

    async def test_stop_half_way_before_the_startup(self):
        async with Host() as host:
            await self.crowd(host, HALF, LARGE_CROWD)

    async def test_stop_half_way_after_the_startup(self):
        async with Host() as host:
            await self.crowd(host, STARTUP + HALF, LARGE_CROWD)

    async def test_stop_half_way_inside_a_transaction(self):
        async with Host() as host:
            await self.crowd(host, STARTUP + TRANSACTION + HALF, LARGE_CROWD)

    async def test_large_session_values(self):
        # Session values and prepared statements stay in memory between statements.
        async with Host() as host:
            size = LEGAL_BYTES - 40
            value = b"".join(
                b"QUERY 1 SET name-%d " % number + b"x" * size + b"\r\n"
                for number in range(PIPELINED)
            )
            await self.crowd(host, STARTUP + value)

    async def test_large_prepared_statements(self):
        async with Host() as host:
            size = LEGAL_BYTES - 40
            value = b"".join(
                b"QUERY 1 PREPARE p-%d READ " % number + b"x" * size + b"\r\n"
                for number in range(PIPELINED)
            )
            await self.crowd(host, STARTUP + value)

    async def test_large_prepared_statements_that_run(self):
        # Connections to instances keep the statements that were prepared on them.
        async with Host() as host:
            size = LEGAL_BYTES - 40
            data = b"".join(
                b"QUERY 1 PREPARE p READ %d" % number
                + b"x" * size
                + b"\r\nQUERY 2 EXECUTE p item-0\r\n"
                for number in range(4 * PIPELINED)
            )
            await self.crowd(host, STARTUP + data, CROWD // 4)

    async def test_large_session_values_that_are_used(self):
        # Connections to instances keep the session values that were set on them.
        async with Host() as host:
            size = LEGAL_BYTES - 40
            data = b"".join(
                b"QUERY 1 SET name %d" % number
                + b"x" * size
                + b"\r\nQUERY 2 READ item-0\r\n"
                for number in range(PIPELINED)
            )
            await self.crowd(host, STARTUP + data, CROWD // 4)

    async def test_large_keys(self):
        # The startup message must not stay in memory as long as its session.
        async with Host() as host:
            data = STARTUP[:-2] + b"k" * (LEGAL_BYTES - 40) + b"\r\n"
            await self.crowd(host, data, LARGE_CROWD)

    async def test_large_database_names(self):
        # An unknown name is logged when it is refused.
        async with Host() as host:
            data = b"STARTUP " + b"d" * (LEGAL_BYTES - 40) + b" key\r\n"
            await self.crowd(host, data, LARGE_CROWD)

    async def test_large_request_ids(self):
        # The id of a request that fails or is late is logged.
        async with Host() as host:
            size = LEGAL_BYTES - 40
            data = b"QUERY " + b"i" * size + b" EXECUTE unknown 1\r\n"
            await self.crowd(host, STARTUP + data * PIPELINED)

    async def test_send_very_slowly_before_the_startup(self):
        async with Host() as host:
            await self.crowd(host, STARTUP, LARGE_CROWD, 1, 0.1)

    async def test_send_very_slowly_after_the_startup(self):
        async with Host() as host:
            data = STARTUP + b"QUERY 1 READ item-0\r\n"
            await self.crowd(host, data, LARGE_CROWD, 8, 0.2)

    async def test_send_very_slowly_inside_a_transaction(self):
        async with Host() as host:
            data = STARTUP + TRANSACTION + b"QUERY 1 READ item-0\r\n"
            await self.crowd(host, data, LARGE_CROWD, 12, 0.2)

    async def test_read_very_slowly(self):
        async with Host() as host, Crowd(host.process.front, CROWD, 4096) as crowd:
            await crowd.send(STARTUP + ONE_WRITE)
            reads = b"QUERY 1 READ item-0\r\n" * 64
            await asyncio.gather(crowd.send(reads), crowd.read_slowly(3.0))
            await self.check_host(host)

    async def test_read_very_slowly_inside_a_transaction(self):
        async with Host() as host, Crowd(host.process.front, CROWD, 4096) as crowd:
            async with Crowd(host.process.front, 1) as writer:
                await writer.send(STARTUP + ONE_WRITE)
                await asyncio.sleep(STAY_S)
            reads = b"QUERY 1 READ item-0\r\n" * 64
            data = STARTUP + TRANSACTION + reads
            await asyncio.gather(crowd.send(data), crowd.read_slowly(3.0))
            await self.check_host(host)

    async def test_more_idle_sessions_than_descriptors(self):
        async with Host() as host:
            await self.crowd(host, STARTUP, 2 * LARGE_CROWD)

    async def test_more_silent_connections_than_descriptors(self):
        async with Host() as host, Crowd(host.process.front, 2 * LARGE_CROWD):
            await asyncio.sleep(STAY_S)
            await self.check_host(host)

    async def test_crowds_that_come_again(self):
        # A connection that is gone must free its share of the budget.
        async with Host() as host:
            for _ in range(4):
                async with Crowd(host.process.front, CROWD) as crowd:
                    await crowd.send(STARTUP + HALF)
            await self.check_host(host)

    async def test_one_message_of_the_greatest_size_is_answered(self):
        # The smallest memory must still serve what the protocol allows.
        async with Host() as host:
            ip, port = host.process.front.ip, host.process.front.port
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(STARTUP + ONE_WRITE)
            async with asyncio.timeout(10):
                await reader.readline()
                answer = await reader.readline()
            writer.close()
            self.assertTrue(answer.startswith(b"COMPLETE"), answer)
            await self.check_host(host)
