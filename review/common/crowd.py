"""A crowd of callers that send many statements ahead; a process of its own.

crowd.py ADDRESS PORT COUNT BYTES TEXT AHEAD: each of COUNT callers sends BYTES bytes of
statements with TEXT on one connection. With AHEAD 1 it reads no answer; with AHEAD 0 it
waits for the answer of each statement before it sends the next one.
"""

import asyncio
import contextlib
import sys

address, port = sys.argv[1], int(sys.argv[2])
count, size, text, ahead = int(sys.argv[3]), int(sys.argv[4]), sys.argv[5], sys.argv[6]
message = b"QUERY 1 " + text.encode() + b"\r\n"
sent = answered = 0


async def call():
    global sent, answered
    reader, writer = await asyncio.open_connection(address, port, limit=1 << 16)
    writer.write(b"STARTUP job-card-close u3f1\r\n")
    await reader.readuntil(b"\r\n")
    if ahead == "1":
        # The stream's limit stops the reading, as nothing is read from it.
        writer.write(message * (size // len(message)))
        await writer.drain()
        sent += size // len(message)
        await asyncio.sleep(60)
    for _ in range(size // len(message)):
        writer.write(message)
        sent += 1
        while not (await reader.readuntil(b"\r\n")).startswith(b"READY"):
            pass
        answered += 1
        await asyncio.sleep(0.05)


async def main():
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(60):
            await asyncio.gather(*(call() for _ in range(count)), return_exceptions=True)


asyncio.run(main())
